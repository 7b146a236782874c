//! Tests of which routers query the platform and of the updates that routers relay.

use std::collections::HashSet;

use yare::parameterized;

use super::{ms, record};
use crate::gateway::fleet::{Fleet, ReplicaEntry};
use crate::gateway::source::{
    ChangeLog, SourceSelector, UPDATE_WAIT, UpdateSource, configuration_interval, is_current,
    witnesses,
};
use crate::gateway::updates::ReplicaUpdate;
use crate::id::{RouterId, ZoneName};

fn routers(count: usize) -> Vec<RouterId> {
    (0..count)
        .map(|index| format!("front-{index}").into())
        .collect()
}

/// Returns the routers of a zone that query the platform directly.
fn watchers_in(zone: &[RouterId]) -> HashSet<RouterId> {
    let selector = SourceSelector::new(ms(0));
    let names: Vec<&RouterId> = zone.iter().collect();
    let is_watcher =
        |own: &&RouterId| selector.choose(own, &names, ms(5_000)) == UpdateSource::Platform;
    zone.iter().filter(is_watcher).cloned().collect()
}

#[test]
fn choose_few_watch_the_platform() {
    assert_eq!(watchers_in(&routers(1)).len(), 1);
    assert_eq!(watchers_in(&routers(4)).len(), 1);
    assert_eq!(watchers_in(&routers(30)).len(), 2);
}

#[test]
fn choose_others_follow_a_watcher() {
    let zone = routers(30);
    let watchers = watchers_in(&zone);
    let names: Vec<&RouterId> = zone.iter().collect();
    for own in &zone {
        if let UpdateSource::Router(router) =
            SourceSelector::new(ms(0)).choose(own, &names, ms(5_000))
        {
            assert!(watchers.contains(&router));
        }
    }
}

#[test]
fn choose_platform_after_failure() {
    let zone = routers(4);
    let watchers = watchers_in(&zone);
    let names: Vec<&RouterId> = zone.iter().collect();
    let own = zone
        .iter()
        .find(|router| !watchers.contains(*router))
        .unwrap();
    let mut selector = SourceSelector::new(ms(0));
    selector.failed(ms(5_000));
    assert_eq!(
        selector.choose(own, &names, ms(6_000)),
        UpdateSource::Platform
    );
    assert_ne!(
        selector.choose(own, &names, ms(9_000)),
        UpdateSource::Platform
    );
}

/// The other zones' routers that query the platform, or all others if there is no such router.
#[test]
fn witnesses_are_others_that_query_the_platform() {
    let names = routers(30);
    let zones: [ZoneName; 2] = ["ikeja".into(), "yaba".into()];
    let zone_of = |index: usize| &zones[index / 15];
    let all: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(index, name)| (name, zone_of(index)))
        .collect();
    let own = watchers_in(&names[..15]).into_iter().next().unwrap();
    let expected: Vec<_> = watchers_in(&names[15..]).into_iter().collect();
    let found: Vec<_> = witnesses(&own, &all).into_iter().cloned().collect();
    assert_eq!(found, expected);
    let followers = witnesses(&own, &all[..15]);
    assert_eq!(followers.len(), 14);
    assert!(!followers.contains(&&own));
    assert!(witnesses(&own, &[(&own, &zones[0])]).is_empty());
}

fn present(id: &str, version: u64) -> ReplicaEntry {
    ReplicaEntry::Present(record(id, 1, version))
}

#[test]
fn since_brings_every_follower_to_the_same_fleet() {
    let mut log = ChangeLog::default();
    let mut expected = Fleet::default();
    expected.apply_list(vec![present("a", 1), present("b", 1)], ms(0));
    log.reset(10);
    let batches = [
        (12, vec![present("a", 2), present("c", 1)]),
        (15, vec![ReplicaEntry::Gone("b".into())]),
        (19, vec![present("c", 2)]),
    ];
    for (as_of, entries) in &batches {
        for entry in entries {
            expected.apply_entry(entry.clone(), ms(0));
        }
        log.push(*as_of, entries.clone());
    }
    // Followers that know the list alone, or were updated up to any of the batches.
    for known in [10, 12, 15, 19] {
        let mut fleet = Fleet::default();
        fleet.apply_list(vec![present("a", 1), present("b", 1)], ms(0));
        for (_, entries) in batches.iter().filter(|(as_of, _)| *as_of <= known) {
            for entry in entries {
                fleet.apply_entry(entry.clone(), ms(0));
            }
        }
        for entry in log.since(known).unwrap() {
            let entry = ReplicaUpdate::of(entry).unwrap().into_entry();
            fleet.apply_entry(entry, ms(0));
        }
        let replicas = |fleet: &Fleet| fleet.replicas().cloned().collect::<Vec<_>>();
        assert_eq!(
            replicas(&fleet),
            replicas(&expected),
            "starting from revision {known}"
        );
    }
}

#[test]
fn since_unknown_revision_needs_the_whole_list() {
    let mut log = ChangeLog::default();
    log.reset(10);
    assert!(log.since(9).is_none());
    assert!(log.since(0).is_none());
    for as_of in 11..200 {
        log.push(as_of, Vec::new());
    }
    assert!(
        log.since(20).is_none(),
        "changes before the oldest batch are not kept"
    );
    assert!(log.since(190).is_some());
}

#[test]
fn into_entry_bad_address_is_malformed() {
    let mut update = ReplicaUpdate::of(&present("a", 1)).unwrap();
    update.address = bytes::Bytes::from_static(b"xy");
    assert!(matches!(
        update.into_entry(),
        ReplicaEntry::Malformed { .. }
    ));
}

/// Guards against a source router whose platform calls hang: others must stop using it early enough to get a
/// configuration in force within 2 s of its acknowledgement, or 3 s on the larger sites.
#[parameterized(
    current_sites = { 2_000 },
    larger_sites = { 3_000 },
)]
fn is_current_hanging_source_is_left_within_the_bound(bound_ms: u64) {
    let interval = configuration_interval(ms(bound_ms));
    let mut age = ms(0);
    // The source reads the configuration right before it changes; from then on its calls hang.
    while is_current(age, interval) {
        age += ms(10);
    }
    let call_time = ms(250);
    assert!(age + UPDATE_WAIT + call_time < ms(bound_ms), "{age:?}");
    assert!(
        is_current(interval + call_time, interval),
        "a slow store alone must not make the source unusable"
    );
}

/// Replays the start of 39 routers of a zone: those that follow others wait for them, and ask each of them in turn.
#[test]
fn had_no_state_at_start_asks_the_next_router() {
    let zone = routers(39);
    let watchers = watchers_in(&zone);
    let names: Vec<&RouterId> = zone.iter().collect();
    let followers = zone.iter().filter(|router| !watchers.contains(*router));
    for own in followers {
        let mut selector = SourceSelector::new(ms(0));
        let mut asked = HashSet::new();
        for now in [100, 300, 500] {
            let UpdateSource::Router(router) = selector.choose(own, &names, ms(now)) else {
                panic!("{own} queries the platform at its start");
            };
            asked.insert(router);
            selector.had_no_state(ms(now));
            assert!(!selector.may_ask(ms(now + 199)) && selector.may_ask(ms(now + 200)));
        }
        assert_eq!(asked, watchers);
        // Later, a router without current state is no reason to wait.
        selector.had_no_state(ms(2_600));
        assert_eq!(
            selector.choose(own, &names, ms(2_600)),
            UpdateSource::Platform
        );
    }
}
