//! Tests of how a request's end is evaluated, by replaying what its guard records.

use yare::parameterized;

use super::ms;
use crate::gateway::request_end::{
    ClosedBy, ConfigurationChange, RequestEnd, RequestPhase, RequestProgress, Responder,
    Surroundings,
};

/// A step of a request, as its guard records it.
#[derive(Clone, Copy, Debug)]
enum Step {
    Read(usize),
    BodyCompleted,
    ReplicaResponded,
    /// The response begins; its length is stated if there is one.
    ResponseBegan(Option<u64>),
    Sent(usize),
    Completed,
    Truncated,
    /// Somebody ends the connection.
    Closed(ClosedBy),
    /// The relay gives the response up.
    GivenUp(ClosedBy),
    Stops,
    Panics,
}

use Step::{
    BodyCompleted, Closed, Completed, GivenUp, Panics, Read, ReplicaResponded, ResponseBegan, Sent,
    Stops, Truncated,
};

/// Replays `steps`; the first one that ends a connection counts.
fn replay(steps: &[Step]) -> (RequestProgress, RequestEnd) {
    let mut progress = RequestProgress::default();
    let mut surroundings = Surroundings::default();
    for step in steps {
        match *step {
            Read(length) => progress.read(length),
            BodyCompleted => progress.body_completed(),
            ReplicaResponded => progress.replica_responded(),
            ResponseBegan(length) => progress.response_began(length, surroundings.connection),
            Sent(length) => progress.sent(length),
            Completed => progress.completed(),
            Truncated => progress.truncated(),
            Closed(closed_by) => {
                surroundings.connection.get_or_insert(closed_by);
            }
            GivenUp(closed_by) => surroundings.response = Some(closed_by),
            Stops => surroundings.is_stopping = true,
            Panics => surroundings.is_panicking = true,
        }
    }
    let end = progress.end(&surroundings);
    (progress, end)
}

const STREAM: [Step; 4] = [
    BodyCompleted,
    ReplicaResponded,
    ResponseBegan(None),
    Sent(30),
];

#[parameterized(
    reply_of_gateway = { &[ResponseBegan(Some(9)), Sent(9)], Responder::Gateway },
    plain_response = { &[Read(4), BodyCompleted, ReplicaResponded, ResponseBegan(Some(9)), Sent(9)], Responder::Replica },
    response_without_body = { &[BodyCompleted, ReplicaResponded, ResponseBegan(Some(0))], Responder::Replica },
    stream_with_end = { &[BodyCompleted, ReplicaResponded, ResponseBegan(None), Sent(5), Completed], Responder::Replica },
    stream_with_length = { &[BodyCompleted, ReplicaResponded, ResponseBegan(Some(9)), Sent(5), Sent(4)], Responder::Replica },
    caller_leaves_afterwards = { &[ResponseBegan(Some(9)), Sent(9), Closed(ClosedBy::CallerReset)], Responder::Gateway },
    process_stops_afterwards = { &[ResponseBegan(Some(9)), Sent(9), Stops], Responder::Gateway },
)]
fn end_of_whole_response_names_its_responder(steps: &[Step], responder: Responder) {
    let (progress, end) = replay(steps);
    assert_eq!(end, RequestEnd::Whole(responder));
    assert_eq!(progress.phase(), RequestPhase::Whole);
    assert_eq!(end.closed_by(), None);
}

#[parameterized(
    caller_closes = { &[Closed(ClosedBy::CallerClosed)], ClosedBy::CallerClosed },
    caller_resets = { &[Closed(ClosedBy::CallerReset)], ClosedBy::CallerReset },
    caller_reads_nothing = { &[Closed(ClosedBy::StallLimit)], ClosedBy::StallLimit },
    first_close_counts = { &[Closed(ClosedBy::StallLimit), Closed(ClosedBy::CallerReset)], ClosedBy::StallLimit },
    replica_breaks_off = { &[GivenUp(ClosedBy::Replica), Truncated], ClosedBy::Replica },
    deadline_passes = { &[GivenUp(ClosedBy::Deadline), Truncated], ClosedBy::Deadline },
    caller_leaves_before_it_is_given_up = { &[Closed(ClosedBy::CallerClosed), GivenUp(ClosedBy::Replica)], ClosedBy::CallerClosed },
    relay_panics = { &[Truncated], ClosedBy::Task },
    connection_panics = { &[Closed(ClosedBy::CallerClosed), Panics], ClosedBy::Task },
    process_stops = { &[Stops], ClosedBy::Stop },
    caller_leaves_while_process_stops = { &[Stops, Closed(ClosedBy::CallerClosed)], ClosedBy::CallerClosed },
)]
fn end_in_the_middle_of_a_stream_is_in_part(steps: &[Step], closed_by: ClosedBy) {
    let steps = [&STREAM, steps].concat();
    let (progress, end) = replay(&steps);
    assert_eq!(end, RequestEnd::Part(closed_by));
    assert_eq!(progress.phase(), RequestPhase::Responding);
    assert_eq!(progress.bytes_sent(), 30);
}

#[parameterized(
    no_event = { &[], RequestPhase::ReadingBody, ClosedBy::Task },
    caller_closes_in_body = { &[Read(4), Closed(ClosedBy::CallerClosed)], RequestPhase::ReadingBody, ClosedBy::CallerClosed },
    reply_to_caller_that_left = {
        &[Read(4), Closed(ClosedBy::CallerClosed), ResponseBegan(Some(9)), Sent(9), Completed],
        RequestPhase::ReadingBody,
        ClosedBy::CallerClosed
    },
    caller_resets_while_waiting = { &[BodyCompleted, Closed(ClosedBy::CallerReset)], RequestPhase::WaitingForReplica, ClosedBy::CallerReset },
    response_after_caller_left = {
        &[BodyCompleted, Closed(ClosedBy::CallerReset), ReplicaResponded, ResponseBegan(None), Sent(9)],
        RequestPhase::WaitingForReplica,
        ClosedBy::CallerReset
    },
    process_stops_while_waiting = { &[BodyCompleted, Stops], RequestPhase::WaitingForReplica, ClosedBy::Stop },
    handler_panics = { &[BodyCompleted, Panics], RequestPhase::WaitingForReplica, ClosedBy::Task },
)]
fn end_without_response_keeps_its_phase(steps: &[Step], phase: RequestPhase, closed_by: ClosedBy) {
    let (progress, end) = replay(steps);
    assert_eq!(end, RequestEnd::Unanswered(closed_by));
    assert_eq!(progress.phase(), phase);
    assert_eq!(progress.bytes_sent(), 0);
}

/// Callers leave at each point of the same stream, as on a day of short patience.
#[test]
fn end_at_each_point_of_a_stream_names_what_the_caller_has() {
    let whole = [
        Read(4),
        BodyCompleted,
        ReplicaResponded,
        ResponseBegan(None),
        Sent(10),
        Sent(20),
        Completed,
    ];
    let left = RequestEnd::Unanswered(ClosedBy::CallerClosed);
    let cut = RequestEnd::Part(ClosedBy::CallerClosed);
    let answered = RequestEnd::Whole(Responder::Replica);
    let ends = [left, left, left, left, cut, cut, cut, answered];
    let sent = [0, 0, 0, 0, 0, 10, 30, 30];
    for (count, (expected, bytes_sent)) in ends.into_iter().zip(sent).enumerate() {
        let mut steps = whole[..count].to_vec();
        steps.push(Closed(ClosedBy::CallerClosed));
        let (progress, end) = replay(&steps);
        assert_eq!(end, expected, "after {count} steps");
        assert_eq!(progress.bytes_sent(), bytes_sent, "after {count} steps");
        assert_eq!(progress.bytes_read(), if count > 0 { 4 } else { 0 });
    }
}

#[test]
fn closed_by_has_one_code_for_each_value() {
    assert_eq!(ClosedBy::from_code(0), None);
    let values: Vec<_> = (1..=u8::MAX).filter_map(ClosedBy::from_code).collect();
    assert_eq!(values.len(), 12);
    for value in values {
        assert_eq!(ClosedBy::from_code(value.code()), Some(value));
    }
}

#[parameterized(
    ends_soon_after = { 10_100, 12_900, true },
    ends_at_the_window = { 10_100, 13_000, false },
    ends_long_after = { 20_000, 21_000, false },
    open_when_it_was_applied = { 9_000, 60_000, true },
    arrives_when_it_was_applied = { 10_000, 60_000, true },
)]
fn change_is_beside_requests_near_it(arrived_ms: u64, ended_ms: u64, is_beside: bool) {
    let change = ConfigurationChange {
        applied_at: ms(10_000),
        is_change: true,
    };
    let is_beside_at =
        |change: ConfigurationChange| change.is_beside(ms(arrived_ms), ms(ended_ms), ms(3_000));
    assert_eq!(is_beside_at(change), is_beside);
    let first = ConfigurationChange {
        is_change: false,
        ..change
    };
    assert!(!is_beside_at(first), "the first version changes nothing");
}

/// Changes that follow each other closely share the time beside them.
#[parameterized(
    first_version = { None, 0, false, 0 },
    first_change = { Some((0, false)), 5_000, true, 4_000 },
    change_within_the_window = { Some((5_000, true)), 6_500, true, 1_500 },
    change_after_the_window = { Some((5_000, true)), 20_000, true, 4_000 },
)]
fn added_window_overlap_counts_once(
    before: Option<(u64, bool)>,
    applied_at_ms: u64,
    is_change: bool,
    added_ms: u64,
) {
    let change = |(applied_at_ms, is_change)| ConfigurationChange {
        applied_at: ms(applied_at_ms),
        is_change,
    };
    let before = before.map_or_else(ConfigurationChange::default, change);
    let added = change((applied_at_ms, is_change)).added_window(before, ms(4_000));
    assert_eq!(added, ms(added_ms));
}

#[test]
fn is_gateway_holds_for_ends_that_callers_and_replicas_did_not_cause() {
    use ClosedBy::{
        CallerClosed, CallerReset, Deadline, HeadLimit, IdleLimit, InvalidRequest,
        Replica as ByReplica, StallLimit, Stop, Task,
    };
    for closed_by in [IdleLimit, HeadLimit, StallLimit, Stop, Task] {
        assert!(closed_by.is_gateway(), "{closed_by:?}");
    }
    for closed_by in [
        CallerClosed,
        CallerReset,
        InvalidRequest,
        Deadline,
        ByReplica,
    ] {
        assert!(!closed_by.is_gateway(), "{closed_by:?}");
    }
}
