//! Passes the checker records that break one promise each, and expects exactly that finding.

use std::time::{Duration, Instant};

use crocuswharf_platform_fakes::daemon::{REVOCATION_LIMIT, WEIGHTS_LIMIT};
use crocuswharf_platform_fakes::replica::{
    BegunStream, Mode, ReceivedOrder, ReceivedRequest, stream_text,
};
use crocuswharf_soak::{
    AvailabilityChange, Changes, ConfigurationChange, CutPeriod, Ends, EndsByChange, KeyRecord,
    Member, Outcome, Records, RequestKind, RouterOutage, SentRequest, Silence, TakeUp,
    check_records,
};

const SECOND: Duration = Duration::from_secs(1);
/// How long a router must have been sound, and a cut must have lasted, before it is judged.
const TOUCH_TIME: Duration = Duration::from_secs(4);

fn answer(status: u16, signature: &str, body: &str, is_complete: bool) -> Outcome {
    Outcome::Answer {
        status,
        signature: (!signature.is_empty()).then(|| signature.to_owned()),
        body: body.into(),
        is_complete,
        closes: false,
    }
}

fn seen_run(replica: &'static str, id: &str, kind: RequestKind) -> ReceivedRequest {
    ReceivedRequest::valid(replica, id, kind.route(), &format!("body of {id}"))
}

/// Returns the records of one request that succeeded.
fn valid_records(kind: RequestKind) -> Records {
    let body = if kind.is_stream() {
        stream_text()
    } else {
        "a".to_owned()
    };
    let at = Instant::now();
    let sent = SentRequest {
        id: "r1".into(),
        kind,
        key: 0,
        router: 0,
        at,
        ended_at: at + SECOND,
        outcome: answer(200, "a", &body, true),
        take_up: None,
    };
    Records {
        sent: vec![sent],
        received: vec![seen_run("a", "r1", kind)],
        keys: vec![KeyRecord::default()],
        ..Records::default()
    }
}

#[track_caller]
fn assert_single_finding(records: &Records, promise: &str) {
    let findings = check_records(records);
    let promises: Vec<_> = findings.iter().map(|finding| finding.promise).collect();
    assert_eq!(promises, [promise], "{findings:?}");
}

#[test]
fn check_records_valid_records_finds_nothing() {
    for kind in [
        RequestKind::Pay,
        RequestKind::Safe,
        RequestKind::Stream,
        RequestKind::Resumable,
    ] {
        assert_eq!(check_records(&valid_records(kind)), []);
    }
}

#[test]
fn check_records_second_run_is_found_unless_it_may_be_repeated() {
    for (kind, is_found) in [
        (RequestKind::Pay, true),
        (RequestKind::Stream, true),
        (RequestKind::Safe, false),
    ] {
        let mut records = valid_records(kind);
        records.received.push(seen_run("b", "r1", kind));
        if is_found {
            assert_single_finding(&records, "what may not be repeated runs once");
        } else {
            assert_eq!(check_records(&records), []);
        }
    }
}

#[test]
fn check_records_refusal_of_what_ran_is_found() {
    let mut records = valid_records(RequestKind::Pay);
    records.sent[0].outcome = answer(503, "", "", true);
    assert_single_finding(&records, "what is refused has not run");
}

#[test]
fn check_records_answers_that_are_not_the_replicas_are_found() {
    let promise = "answers are whole and the replica's own";
    let mut records = valid_records(RequestKind::Pay);
    records.sent[0].outcome = answer(200, "b", "b", true);
    assert_single_finding(&records, promise);
    records.sent[0].outcome = answer(200, "", "a", true);
    assert_single_finding(&records, promise);
    let mut records = valid_records(RequestKind::Resumable);
    records.sent[0].outcome = answer(200, "a", "id: 1\ndata: e1\n\n", true);
    assert_single_finding(&records, promise);
    // A stream that its replica visibly truncates is allowed; one that repeats an event is not.
    records.received[0].mode = Mode::BreakStream;
    records.sent[0].outcome = answer(200, "a", "id: 1\ndata: e1\n\n", false);
    assert_eq!(check_records(&records), []);
    let twice = "id: 1\ndata: e1\n\nid: 1\ndata: e1\n\n";
    records.sent[0].outcome = answer(200, "a", twice, false);
    assert_single_finding(&records, promise);
}

#[test]
fn check_records_forged_signature_is_found() {
    let mut records = valid_records(RequestKind::Pay);
    records.sent[0].outcome = answer(502, "a", "", true);
    assert_single_finding(&records, "only a replica's answer bears its signature");
}

#[test]
fn check_records_changed_request_is_found() {
    let mut records = valid_records(RequestKind::Pay);
    records.received[0].body = "another body".into();
    assert_single_finding(&records, "requests run as their callers sent them");
    let mut records = valid_records(RequestKind::Pay);
    records.received[0].add_key();
    assert_single_finding(&records, "requests run as their callers sent them");
}

#[test]
fn check_records_run_that_nobody_sent_is_found() {
    let mut records = valid_records(RequestKind::Pay);
    records.received.push(seen_run("a", "r2", RequestKind::Pay));
    assert_single_finding(&records, "only callers' requests run");
}

#[test]
fn check_records_revoked_key_that_works_too_long_is_found() {
    let mut records = valid_records(RequestKind::Pay);
    let sent_at = records.sent[0].at;
    records.keys[0].revoked_at = Some(sent_at - REVOCATION_LIMIT);
    assert_eq!(check_records(&records), []);
    records.keys[0].revoked_at = Some(sent_at - REVOCATION_LIMIT - SECOND);
    assert_single_finding(&records, "a revoked key stops working in time");
}

#[test]
fn check_records_late_answer_is_found_unless_its_router_was_down() {
    let mut records = valid_records(RequestKind::Pay);
    records.sent[0].ended_at = records.sent[0].at + 4 * SECOND;
    assert_single_finding(&records, "every request is answered in time");
    let from = records.sent[0].at + SECOND;
    let outage = |router| RouterOutage {
        router,
        from,
        to: from + SECOND,
    };
    records.outages.push(outage(1));
    assert_single_finding(&records, "every request is answered in time");
    records.outages.push(outage(0));
    assert_eq!(check_records(&records), []);
}

#[test]
fn check_records_scope_of_two_versions_is_found() {
    let mut records = valid_records(RequestKind::Resumable);
    let mut other = seen_run("b", "r1", RequestKind::Resumable);
    other.expect_weights(2);
    records.received.push(other);
    assert_single_finding(&records, "cached entries are used for one version");
}

#[test]
fn check_records_number_with_two_holders_is_found() {
    let mut records = valid_records(RequestKind::Pay);
    let order = |holder: &str| ReceivedOrder {
        born_ms: 1,
        fencing_number: 7,
        holder: holder.into(),
    };
    records.orders = vec![("a", order("x")), ("b", order("x"))];
    assert_eq!(check_records(&records), []);
    records.orders.push(("c", order("y")));
    assert_single_finding(&records, "one holder gives orders");
}

#[test]
fn check_records_runs_past_the_limits_in_the_final_phase_are_found() {
    let mut records = valid_records(RequestKind::Stream);
    let at = records.received[0].at;
    records.draining_replica = Some(("a", at - 4 * SECOND));
    assert_single_finding(&records, "a leaving replica gets nothing new");
    records.draining_replica = None;
    records.published_weights = Some((2, at - WEIGHTS_LIMIT - SECOND));
    assert_single_finding(&records, "nothing begins on old weights after the bound");
}

#[test]
fn check_records_runs_at_too_many_replicas_are_found() {
    let mut records = Records::default();
    for number in 0..4 {
        let id = format!("s{number}");
        let mut single = valid_records(RequestKind::Safe);
        single.sent[0].id.clone_from(&id);
        records.sent.append(&mut single.sent);
        for replica in ["a", "b", "c"] {
            records
                .received
                .push(seen_run(replica, &id, RequestKind::Safe));
        }
    }
    assert_single_finding(&records, "runs stay within the route's attempts");
}

const LOSS: &str = "what a sound replica can still answer is not lost";

/// Returns the records of a stream that was cut after one event, while its replica `a` was silent for a second.
fn cut_stream() -> Records {
    let mut records = valid_records(RequestKind::Resumable);
    records.sent[0].outcome = answer(200, "a", "id: 1\ndata: e1\n\n", false);
    records.silences.push(Silence {
        replica: "a",
        from: records.sent[0].at,
        to: records.sent[0].at + SECOND,
    });
    records
}

#[test]
fn check_records_cut_stream_of_a_silent_replica_is_found() {
    assert_single_finding(&cut_stream(), LOSS);
    let mut records = cut_stream();
    records.sent[0].outcome = answer(502, "", "", true);
    assert_single_finding(&records, LOSS);
    records.sent[0].outcome = Outcome::NoAnswer("closed".into());
    assert_single_finding(&records, LOSS);
    records.sent[0].outcome = answer(503, "", "", true);
    assert_eq!(check_records(&records), []);
}

#[test]
fn check_records_cut_stream_is_found_unless_another_replica_began_a_response() {
    for (mode, is_found) in [
        (Mode::Break, true),
        (Mode::Mute, true),
        (Mode::BreakStream, false),
    ] {
        let mut records = cut_stream();
        let mut other = seen_run("b", "r1", RequestKind::Resumable);
        other.mode = mode;
        records.received.push(other);
        if is_found {
            assert_single_finding(&records, LOSS);
        } else {
            assert_eq!(check_records(&records), []);
        }
    }
}

#[test]
fn check_records_stream_of_a_replica_that_is_silent_past_the_deadline_may_be_cut() {
    let mut records = cut_stream();
    let sent_at = records.sent[0].at;
    let mut changes = Changes::default();
    changes.add(ConfigurationChange::RouteTimeout(SECOND));
    records.configurations.push((sent_at, changes));
    assert_eq!(check_records(&records), []);
    let mut records = cut_stream();
    records.silences[0].to = sent_at + 2 * SECOND;
    assert_eq!(check_records(&records), []);
}

#[test]
fn check_records_cut_stream_is_found_unless_a_process_or_link_failed() {
    for (member, is_found) in [
        (Member::Router(0), false),
        (Member::Replica("a"), false),
        (Member::Router(1), true),
        (Member::Replica("b"), true),
    ] {
        let mut records = cut_stream();
        let at = records.sent[0].at + SECOND / 2;
        for (at, is_available) in [(at, false), (at + SECOND / 10, true)] {
            records.availability.push(AvailabilityChange {
                member,
                at,
                is_available,
            });
        }
        if is_found {
            assert_single_finding(&records, LOSS);
        } else {
            assert_eq!(check_records(&records), []);
        }
    }
}

#[test]
fn check_records_route_that_the_configuration_lacks_or_has_is_found() {
    let mut records = valid_records(RequestKind::Safe);
    let sent_at = records.sent[0].at;
    let mut removed = Changes::default();
    removed.add(ConfigurationChange::RouteRemoved("safe"));
    let removed_at = sent_at - REVOCATION_LIMIT;
    records.configurations = vec![(removed_at - SECOND, Changes::default())];
    records.configurations.push((removed_at, removed));
    assert_eq!(check_records(&records), []);
    records.configurations[1].0 -= SECOND;
    assert_single_finding(&records, "a removed route stops working in time");
    let mut records = valid_records(RequestKind::Pay);
    records.received.clear();
    records.sent[0].outcome = answer(404, "", "", true);
    assert_single_finding(&records, "routes of all configurations are found");
}

#[test]
fn check_records_request_that_goes_on_to_crash_replicas_is_found() {
    let arrivals_ms = [0, 100, 200, 3_100, 3_300, 3_400, 3_500, 3_600];
    let mut records = Records::default();
    let start = Instant::now();
    for (number, ms) in arrivals_ms.into_iter().enumerate() {
        let at = start + Duration::from_millis(ms);
        let id = format!("c{number}");
        let mut run = seen_run("a", &id, RequestKind::Crashing);
        run.body = "a body that crashes replicas".into();
        run.at = at;
        records.received.push(run);
        records.sent.push(SentRequest {
            id,
            kind: RequestKind::Crashing,
            key: 0,
            router: 0,
            at,
            ended_at: at + SECOND / 10,
            outcome: answer(502, "", "", true),
            take_up: None,
        });
    }
    let last = records.sent.len() - 1;
    assert_single_finding(&records, "a request that crashes replicas is refused");
    let mut without_last = records.clone();
    without_last.received.remove(last);
    assert_eq!(check_records(&without_last), []);
    // A router that has just started knows nothing yet.
    records.sent[last].router = 1;
    let member = Member::Router(1);
    for (at, is_available) in [(start + SECOND, false), (start + 2 * SECOND, true)] {
        records.availability.push(AvailabilityChange {
            member,
            at,
            is_available,
        });
    }
    assert_eq!(check_records(&records), []);
}

const END: &str = "a request that was read whole is answered";

/// Returns the records of a request that got no response for this time and reached only a replica that refused it.
fn unanswered_after(ms: u64) -> Records {
    let mut records = valid_records(RequestKind::Pay);
    records.sent[0].outcome = Outcome::NoAnswer("closed".into());
    records.sent[0].ended_at = records.sent[0].at + Duration::from_millis(ms);
    records.received[0].ran = false;
    records.received[0].mode = Mode::Refuse;
    records
}

#[test]
fn check_records_unanswered_request_is_found_once_it_was_read() {
    assert_single_finding(&unanswered_after(100), END);
    let mut records = unanswered_after(100);
    records.received.clear();
    assert_eq!(check_records(&records), []);
    let mut records = unanswered_after(300);
    records.received.clear();
    assert_single_finding(&records, END);
}

#[test]
fn check_records_unanswered_request_is_found_unless_it_is_excused() {
    let mut records = unanswered_after(1_500);
    assert_eq!(check_records(&records), []);
    records = unanswered_after(300);
    records.received[0].mode = Mode::Break;
    assert_eq!(check_records(&records), []);
    for (member, age, is_found) in [
        (Member::Router(0), 2 * SECOND, false),
        (Member::Router(0), 4 * SECOND, true),
        (Member::Router(1), 2 * SECOND, true),
    ] {
        let mut records = unanswered_after(300);
        let at = records.sent[0].at - age;
        for (at, is_available) in [(at, false), (at + SECOND / 10, true)] {
            records.availability.push(AvailabilityChange {
                member,
                at,
                is_available,
            });
        }
        if is_found {
            assert_single_finding(&records, END);
        } else {
            assert_eq!(check_records(&records), []);
        }
    }
}

#[test]
fn count_unanswered_request_beside_a_change_and_away() {
    let mut records = unanswered_after(1_500);
    let one = Ends {
        requests: 1,
        unanswered: 1,
    };
    assert_eq!(EndsByChange::count(&records).away, one);
    let ended_at = records.sent[0].ended_at;
    let change = |age| (ended_at - age, Changes::default());
    records.configurations.push(change(5 * SECOND));
    assert_eq!(EndsByChange::count(&records).away, one);
    records.configurations.push(change(3 * SECOND));
    assert_eq!(EndsByChange::count(&records).beside, one);
    records.sent[0].outcome = answer(503, "", "", true);
    assert_eq!(EndsByChange::count(&records).beside.unanswered, 0);
}

#[test]
fn check_records_limits_of_recent_configurations_are_applied() {
    let changed = |kind, change| {
        let mut records = valid_records(kind);
        let mut changes = Changes::default();
        changes.add(change);
        records.configurations = vec![(records.sent[0].at, changes)];
        records
    };
    let too_large = |bytes| {
        let change = ConfigurationChange::Number("/Limits/MaxBodyBytes", bytes);
        let mut records = changed(RequestKind::Pay, change);
        records.received.clear();
        records.sent[0].outcome = answer(413, "", "", true);
        records
    };
    assert_eq!(check_records(&too_large(5)), []);
    let promise = "requests within the limits are not too large";
    assert_single_finding(&too_large(50), promise);
    let public = |is_public| {
        let change = ConfigurationChange::Flag("/Routes/1/Public", is_public);
        let mut records = changed(RequestKind::Pay, change);
        records.keys[0].revoked_at = Some(records.sent[0].at - 2 * REVOCATION_LIMIT);
        records
    };
    assert_eq!(check_records(&public(true)), []);
    assert_single_finding(&public(false), "a revoked key stops working in time");
    let keyless = changed(RequestKind::Pay, ConfigurationChange::KeysRemoved(true));
    assert_single_finding(&keyless, "a removed route stops working in time");
}

/// Streams of which each attempt is right by itself, and which hold events of two software versions.
#[test]
fn check_records_streams_joined_from_two_versions_are_found() {
    let mut records = Records::default();
    for number in 0..3 {
        let (first, second) = (format!("s{number}"), format!("t{number}"));
        let mut valid = valid_records(RequestKind::Resumable);
        let sent = valid.sent.remove(0);
        let take_up = TakeUp {
            first_attempt: first.clone(),
            last_event: 4,
        };
        records.sent.push(SentRequest {
            id: first.clone(),
            outcome: answer(200, "a", stream_text().split_at(64).0, false),
            ..sent.clone()
        });
        records.sent.push(SentRequest {
            id: second.clone(),
            outcome: answer(200, "a", "id: 5\ndata: e5 v2\n\n", true),
            take_up: Some(take_up),
            ..sent
        });
        for id in [&first, &second] {
            let mut run = seen_run("a", id, RequestKind::Resumable);
            run.mode = Mode::BreakStream;
            records.received.push(run);
        }
        records.keys = valid.keys;
        if number < 2 {
            assert_eq!(check_records(&records), []);
        }
    }
    assert_single_finding(&records, "a stream goes on at its software version");
}

#[test]
fn check_records_stream_that_begins_on_old_weights_after_the_bound_is_found() {
    let mut records = valid_records(RequestKind::Resumable);
    let at = records.sent[0].at + SECOND;
    records.begun.push((
        "a",
        BegunStream {
            id: "r1".into(),
            at,
            weights: 1,
        },
    ));
    let bound = at - WEIGHTS_LIMIT;
    records.named_weights = vec![(bound - 2 * SECOND, 1), (bound, 2)];
    assert_eq!(check_records(&records), []);
    records.named_weights = vec![(bound - SECOND, 2), (bound + SECOND, 3)];
    let promise = "no request begins on old weights after the bound";
    assert_single_finding(&records, promise);
    for (member, age, is_found) in [
        (Member::Router(0), 3 * SECOND, false),
        (Member::Entry(0), 3 * SECOND, false),
        (Member::StoreLink(0), 3 * SECOND, false),
        (Member::Store, 3 * SECOND, false),
        (Member::Replica("a"), 3 * SECOND, false),
        (Member::Store, 5 * SECOND, true),
        (Member::StoreLink(1), 3 * SECOND, true),
    ] {
        let mut records = records.clone();
        for (at, is_available) in [(at - age, false), (at - age + SECOND / 10, true)] {
            records.availability.push(AvailabilityChange {
                member,
                at,
                is_available,
            });
        }
        if is_found {
            assert_single_finding(&records, promise);
        } else {
            assert_eq!(check_records(&records), []);
        }
    }
}

/// Returns the records of a cut of router 0 for ten seconds, in which it serves this many of 40 requests, and router 1 all.
fn cut_off_router(served: usize) -> Records {
    let from = Instant::now();
    let mut records = Records::default();
    for number in 0..80 {
        let mut valid = valid_records(RequestKind::Safe);
        let mut sent = valid.sent.remove(0);
        sent.id = format!("s{number}");
        sent.router = number % 2;
        sent.at = from + TOUCH_TIME + Duration::from_millis(10 * number as u64);
        sent.ended_at = sent.at + SECOND;
        if sent.router == 0 && number / 2 >= served {
            sent.outcome = answer(503, "", "", true);
        } else {
            let run = seen_run("a", &sent.id, RequestKind::Safe);
            records.received.push(run);
        }
        records.sent.push(sent);
    }
    records.cuts.push(CutPeriod {
        routers: vec![0],
        from,
        to: from + 10 * SECOND,
    });
    records
}

#[test]
fn check_records_router_that_is_cut_off_and_serves_far_less_is_found() {
    let promise = "routers that are cut off serve nearly as often";
    assert_single_finding(&cut_off_router(26), promise);
    assert_eq!(check_records(&cut_off_router(27)), []);
    let mut records = cut_off_router(0);
    // A few failures are allowed, whatever their share.
    records
        .sent
        .retain(|sent| sent.router == 1 || sent.at < records.cuts[0].from + 4_200 * SECOND / 1_000);
    assert_eq!(check_records(&records), []);
    // Nothing can be asked where the others reach no replicas either, or of routers that aren't in touch.
    let mut records = cut_off_router(0);
    for sent in &mut records.sent {
        sent.outcome = answer(503, "", "", true);
    }
    assert_eq!(check_records(&records), []);
    let mut records = cut_off_router(0);
    records.availability.push(AvailabilityChange {
        member: Member::StoreLink(0),
        at: records.cuts[0].from + SECOND,
        is_available: false,
    });
    assert_eq!(check_records(&records), []);
}

/// A request at a router that is cut off may be lost, which is not blamed on a sound replica.
#[test]
fn check_records_cut_stream_at_a_router_that_is_cut_off_is_not_lost() {
    let mut records = cut_stream();
    records.availability.push(AvailabilityChange {
        member: Member::ReplicaLinks(0),
        at: records.sent[0].at + SECOND / 2,
        is_available: false,
    });
    assert_eq!(check_records(&records), []);
}

/// A replica that begins a request later than routers wait for it, shortly before the bound on old weights, may lose it.
#[test]
fn check_records_request_withdrawn_before_the_bound_is_excused() {
    let mut records = valid_records(RequestKind::Stream);
    records.sent[0].outcome = answer(502, "", "withdrawn", true);
    records.received[0].mode = Mode::Slow(SECOND / 2);
    assert_single_finding(&records, LOSS);
    let begins_at = records.received[0].at + SECOND / 2;
    let named_at = |before_bound: Duration| begins_at + before_bound - WEIGHTS_LIMIT;
    records.named_weights = vec![(named_at(SECOND), 2)];
    assert_single_finding(&records, LOSS);
    records.named_weights = vec![(named_at(SECOND / 2), 2)];
    assert_eq!(check_records(&records), []);
}
