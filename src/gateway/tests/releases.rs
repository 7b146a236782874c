//! Tests of the releases that a router knows, of their record in the platform's store, and of the search for the release
//! of a stream.

use std::sync::Arc;
use std::time::Duration;

use yare::parameterized;

use super::ms;
use crate::gateway::control::holders;
use crate::gateway::releases::{RecordCall, ReleaseRecord, Releases};
use crate::gateway::stream_origin::{
    Origin, OriginSearch, ReleaseKey, StreamReply, StreamTable, release_key, stream_key,
};
use crate::id::{RouterId, ServiceName};
use crate::membership::watchers_of;

const LIFE: Duration = ms(10_000);

fn releases() -> Releases {
    let mut releases = Releases::new();
    releases.set_services(&["llm".into()], LIFE);
    releases
}

fn observe(releases: &mut Releases, versions: &[&str], at: Duration) {
    let service: ServiceName = "llm".into();
    let versions: Vec<Arc<str>> = versions.iter().map(|version| (*version).into()).collect();
    releases.observe(versions.iter().map(|version| (&service, version)), at);
}

fn record(era: u64, versions: &[&str]) -> ReleaseRecord {
    let versions = versions.iter().map(|version| (*version).into()).collect();
    ReleaseRecord {
        era,
        services: [("llm".into(), versions)].into(),
    }
}

fn keys(versions: &[&str]) -> Vec<ReleaseKey> {
    let versions = versions.iter();
    versions
        .map(|version| release_key("llm", version))
        .collect()
}

/// A router begins within a release, after all routers were killed. It doesn't know the old version, which has left, and took the
/// only one that it saw for the only one there was.
#[test]
fn router_that_starts_within_a_release_knows_the_recorded_ones() {
    let mut releases = releases();
    observe(&mut releases, &["v2"], ms(1_000));
    assert!(!releases.is_complete(ms(1_000)));
    assert_eq!(
        releases.next_call(0, Some(0), ms(1_000)),
        Some(RecordCall::Read)
    );
    releases.record_read(Some(Some((5, record(0, &["v1"])))), 0, ms(1_010));
    let reply = releases.reply(["llm"].iter(), ms(1_020));
    assert!(reply.is_complete);
    assert_eq!(reply.seen, keys(&["v1", "v2"]));
    assert!(releases.view(ms(1_020)).mixed.contains("llm"));
    // The new version begins streams only once it is recorded.
    let recorded = releases.view(ms(1_020)).recorded.unwrap();
    assert_eq!(Vec::from_iter(recorded), keys(&["v1"]));
    assert_eq!(
        releases.next_call(0, Some(0), ms(1_020)),
        Some(RecordCall::Write(record(0, &["v1", "v2"]), Some(5)))
    );
    let written = releases.record_written(record(0, &["v1", "v2"]), Some(6));
    assert_eq!(written, keys(&["v1", "v2"]));
    // The old version is removed when none of its streams can live any more.
    observe(&mut releases, &["v2"], ms(9_000));
    assert_eq!(releases.next_call(0, Some(0), ms(9_000)), None);
    observe(&mut releases, &["v2"], ms(11_100));
    assert_eq!(
        releases.next_call(0, Some(0), ms(11_100)),
        Some(RecordCall::Write(record(0, &["v2"]), Some(6)))
    );
    assert!(releases.view(ms(11_100)).mixed.is_empty());
}

#[parameterized(
    first_start = { None, 0, true },
    same_era = { Some(1), 1, true },
    restored_store = { Some(0), 1, false },
    first_record_of_a_restored_store = { None, 1, false },
)]
fn record_read_is_complete_unless_releases_may_be_lost(
    written_in: Option<u64>,
    era: u64,
    expected: bool,
) {
    let mut releases = releases();
    observe(&mut releases, &["v1"], ms(1_000));
    let read = written_in.map(|written_in| (7, record(written_in, &["v1"])));
    releases.record_read(Some(read), era, ms(1_100));
    assert_eq!(releases.is_complete(ms(1_200)), expected);
    // What may be lost can't live longer than a stream.
    assert!(releases.is_complete(ms(1_000) + LIFE));
}

/// Routers that don't write read the record only if no announcement of another router reaches them.
#[test]
fn next_call_of_a_router_that_does_not_write() {
    let mut releases = releases();
    observe(&mut releases, &["v1"], ms(1_000));
    releases.record_read(Some(Some((5, record(0, &["v1"])))), 0, ms(1_010));
    observe(&mut releases, &["v1", "v2"], ms(5_000));
    assert_eq!(releases.next_call(0, None, ms(5_000)), None);
    assert_eq!(
        releases.next_call(0, None, ms(5_700)),
        Some(RecordCall::Read)
    );
    releases.record_read(None, 0, ms(5_800));
    releases.announce(&keys(&["v1", "v2"]));
    assert_eq!(releases.next_call(0, None, ms(9_000)), None);
    let recorded = releases.view(ms(9_000)).recorded.unwrap();
    assert!(keys(&["v1", "v2"]).iter().all(|key| recorded.contains(key)));
}

/// Most routers die at once under their streams. With two holders, one survivor of nine knew 14 of 85 streams that callers took up.
#[parameterized(
    one_of_nine_lives = { 9, 1 },
    an_eighth_of_90_lives = { 90, 12 },
    a_quarter_of_400_lives = { 400, 100 },
)]
fn holders_that_live_know_half_of_the_streams(routers: usize, living: usize) {
    let names: Vec<RouterId> = (0..routers)
        .map(|index| format!("r{index}").into())
        .collect();
    let mut known = 0;
    for number in 0..1_000_u64 {
        let stream = stream_key("dues", &number.to_string());
        let origin = number as usize % routers;
        let others = names
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != origin);
        let others = others.map(|(_, name)| name);
        let told = watchers_of(stream, others, holders(routers - 1));
        let lives = |name: &&RouterId| names[..living].contains(name);
        known += usize::from(told.iter().any(lives) || origin < living);
    }
    println!("{known} of 1000 streams are known");
    assert!(known >= 500, "{known}");
}

fn reply(release: Option<ReleaseKey>, seen: &[&str], is_complete: bool) -> StreamReply {
    StreamReply {
        release,
        seen: keys(seen),
        is_complete,
    }
}

#[parameterized(
    alone = { &["v1"], true, true, None, Origin::Sole(release_key("llm", "v1")) },
    alone_of_two = { &["v1", "v2"], true, true, None, Origin::Unknown },
    alone_just_started = { &["v1"], false, true, None, Origin::Unconfirmed },
    alone_without_replicas = { &[], true, true, None, Origin::Unknown },
    nobody_answers = { &["v1"], true, false, None, Origin::Unconfirmed },
    confirmed = { &["v1"], false, false, Some(reply(None, &["v1"], true)), Origin::Sole(release_key("llm", "v1")) },
    other_has_seen_more = { &["v1"], true, false, Some(reply(None, &["v1", "v2"], true)), Origin::Unknown },
    known_to_the_other = { &["v1"], true, false, Some(reply(Some(9), &["v1", "v2"], false)), Origin::Known(9) },
)]
fn origin_search_result(
    seen: &[&str],
    is_complete: bool,
    is_alone: bool,
    other: Option<StreamReply>,
    expected: Origin,
) {
    let mut search = OriginSearch::new(reply(None, seen, is_complete), is_alone);
    let found = other.and_then(|other| search.add(other));
    assert_eq!(found.unwrap_or_else(|| search.end()), expected);
}

/// A stream is remembered for as long as its caller may come back, and by its own account's name only.
#[test]
fn stream_table_remembers_streams_that_are_used() {
    let mut table = StreamTable::default();
    let (stream, other) = (stream_key("dues", "id"), stream_key("other", "id"));
    assert!(table.record(stream, 1, true, ms(0)));
    assert!(table.record(stream_key("dues", "told"), 1, false, ms(0)));
    assert_eq!(table.own_streams(&[1, 2]), [(stream, 1)]);
    assert_eq!(table.find(other, ms(0)), None);
    table.expire(LIFE, ms(9_000));
    assert_eq!(table.find(stream, ms(9_000)), Some(1));
    // A stream keeps the release that began it.
    assert!(table.record(stream, 2, false, ms(9_000)));
    table.expire(LIFE, ms(18_000));
    assert_eq!(table.find(stream, ms(18_000)), Some(1));
    table.expire(LIFE, ms(28_000));
    assert_eq!(table.len(), 0);
}
