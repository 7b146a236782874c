//! Tests of the replica list with expired entries, restarts, forged entries and notices.

use super::{ms, record};
use crate::gateway::fleet::{Fleet, FleetChange, ReplicaEntry, ReplicaPhase, ReplicaState};
use crate::gateway::revision::store_revision;

fn fleet_of(records: &[(&str, u64, u64)]) -> Fleet {
    let mut fleet = Fleet::default();
    let entries = records
        .iter()
        .map(|(id, born, version)| ReplicaEntry::Present(record(id, *born, *version)));
    fleet.apply_list(entries.collect(), ms(0));
    fleet
}

#[test]
fn apply_list_missing_is_removed() {
    let mut fleet = fleet_of(&[("a", 1, 1), ("b", 1, 1)]);
    let changes = fleet.apply_list(vec![ReplicaEntry::Present(record("a", 1, 1))], ms(100));
    assert_eq!(changes, [FleetChange::Removed("b".into())]);
    assert!(fleet.get("b").is_none());
}

#[test]
fn apply_entry_gone_after_outage_is_retained_for_a_grace_period() {
    let mut fleet = fleet_of(&[("a", 1, 1)]);
    fleet.platform_recovered(ms(1_000));
    let change = fleet.apply_entry(ReplicaEntry::Gone("a".into()), ms(1_100));
    assert_eq!(change, Some(FleetChange::Retained("a".into())));
    assert!(fleet.get("a").is_some_and(|known| known.is_accepting()));
    assert!(fleet.expire(ms(3_100)).is_empty());
    assert_eq!(fleet.expire(ms(3_300)), [FleetChange::Removed("a".into())]);
}

#[test]
fn apply_entry_reappearing_after_outage_is_kept() {
    let mut fleet = fleet_of(&[("a", 1, 1)]);
    fleet.platform_recovered(ms(1_000));
    fleet.apply_list(Vec::new(), ms(1_050));
    fleet.apply_entry(ReplicaEntry::Present(record("a", 1, 1)), ms(2_000));
    assert!(fleet.expire(ms(9_000)).is_empty());
    assert!(fleet.get("a").is_some());
}

#[test]
fn apply_entry_draining_is_final_within_an_incarnation() {
    let mut fleet = fleet_of(&[("a", 1, 1)]);
    let mut draining = record("a", 1, 1);
    draining.state = ReplicaState::Draining;
    let change = fleet.apply_entry(ReplicaEntry::Present(draining), ms(10));
    assert_eq!(change, Some(FleetChange::Draining("a".into(), 1)));
    fleet.apply_entry(ReplicaEntry::Present(record("a", 1, 1)), ms(20));
    assert!(fleet.get("a").is_some_and(|known| !known.is_accepting()));
    fleet.apply_entry(ReplicaEntry::Present(record("a", 2, 1)), ms(30));
    assert!(fleet.get("a").is_some_and(|known| known.is_accepting()));
}

#[test]
fn apply_entry_malformed_adds_and_removes_no_replica() {
    let mut fleet = fleet_of(&[("a", 1, 1)]);
    for id in ["a", "forged"] {
        let entry = ReplicaEntry::Malformed {
            id: id.into(),
            reason: "torn".into(),
        };
        let change = fleet.apply_entry(entry, ms(10));
        assert_eq!(change, Some(FleetChange::Ignored(id.into(), "torn".into())));
    }
    assert!(fleet.get("a").is_some_and(|known| known.is_accepting()));
    assert!(fleet.get("forged").is_none());
}

#[test]
fn apply_entry_restart_with_clock_set_back_is_a_new_incarnation() {
    let mut fleet = fleet_of(&[("a", 50, 1)]);
    let mut draining = record("a", 50, 1);
    draining.revision = 4;
    draining.state = ReplicaState::Draining;
    fleet.apply_entry(ReplicaEntry::Present(draining), ms(10));
    let mut restarted = record("a", 20, 1);
    restarted.revision = 5;
    let change = fleet.apply_entry(ReplicaEntry::Present(restarted), ms(20));
    assert_eq!(change, Some(FleetChange::Added("a".into())));
    assert!(fleet.get("a").is_some_and(|known| known.is_accepting()));
    assert_eq!(
        fleet.record_draining("a", 20),
        Some(FleetChange::Draining("a".into(), 20))
    );
}

#[test]
fn apply_entry_older_than_the_known_one_is_ignored() {
    let mut fleet = Fleet::default();
    for (revision, born_ms) in [(7, 20), (6, 50)] {
        let mut entry = record("a", born_ms, 1);
        entry.revision = revision;
        fleet.apply_entry(ReplicaEntry::Present(entry), ms(revision));
    }
    assert_eq!(fleet.get("a").map(|known| known.record.born_ms), Some(20));
}

#[test]
fn record_weights_never_goes_back_within_an_incarnation() {
    let mut fleet = fleet_of(&[("a", 1, 1)]);
    let model = "m".into();
    assert!(fleet.record_weights("a", 1, &model, 3).is_some());
    // The list is behind what a response reported.
    fleet.apply_entry(ReplicaEntry::Present(record("a", 1, 2)), ms(10));
    assert_eq!(
        fleet.get("a").and_then(|known| known.version_of("m")),
        Some(3)
    );
    assert!(
        fleet.record_weights("a", 2, &model, 9).is_none(),
        "another incarnation"
    );
    fleet.apply_entry(ReplicaEntry::Present(record("a", 2, 1)), ms(20));
    assert_eq!(
        fleet.get("a").and_then(|known| known.version_of("m")),
        Some(1)
    );
}

#[test]
fn start_loading_ends_with_weights_or_timeout() {
    let mut fleet = fleet_of(&[("a", 1, 1)]);
    fleet.start_loading("a", 1, ms(0));
    assert!(fleet.get("a").is_some_and(|known| !known.is_accepting()));
    // The list still contains the old weights.
    fleet.apply_entry(ReplicaEntry::Present(record("a", 1, 1)), ms(100));
    assert!(fleet.get("a").is_some_and(|known| !known.is_accepting()));
    fleet.record_weights("a", 1, &"m".into(), 2);
    assert!(fleet.get("a").is_some_and(|known| known.is_accepting()));
    fleet.start_loading("a", 1, ms(200));
    fleet.expire(ms(3_300));
    let phase = fleet.get("a").map(|known| known.phase);
    assert_eq!(phase, Some(ReplicaPhase::Serving));
}

/// A departed replica keeps serving for a while; a copy of the store that lists it again must not bring it back.
#[test]
fn apply_list_restored_store_does_not_bring_back_departed_replicas() {
    let mut fleet = Fleet::default();
    let entry = |id: &str, born, era, number| {
        let mut record = record(id, born, 1);
        record.revision = store_revision(era, number);
        ReplicaEntry::Present(record)
    };
    fleet.apply_list(vec![entry("left", 1, 0, 5), entry("gone", 1, 0, 6)], ms(0));
    fleet.record_draining("left", 1);
    fleet.apply_entry(ReplicaEntry::Gone("left".into()), ms(100));
    fleet.apply_entry(ReplicaEntry::Gone("gone".into()), ms(100));
    fleet.platform_recovered(ms(200));
    fleet.apply_list(
        vec![entry("left", 1, 1, 5), entry("gone", 1, 1, 6)],
        ms(200),
    );
    assert_eq!(fleet.replicas().count(), 0);
    // An entry without heartbeats expires; one that stays belongs to a replica that lives.
    fleet.expire(ms(6_100));
    assert_eq!(fleet.replicas().count(), 0);
    assert_eq!(fleet.expire(ms(6_300)), [FleetChange::Added("gone".into())]);
}

#[test]
fn apply_list_restored_store_keeps_the_newer_incarnation() {
    let mut fleet = Fleet::default();
    let mut entry = record("a", 1, 1);
    entry.revision = store_revision(0, 5);
    fleet.apply_entry(ReplicaEntry::Present(entry.clone()), ms(0));
    entry.born_ms = 9;
    entry.revision = store_revision(0, 6);
    fleet.apply_entry(ReplicaEntry::Present(entry.clone()), ms(10));
    fleet.record_draining("a", 9);
    entry.born_ms = 1;
    entry.revision = store_revision(1, 5);
    fleet.apply_list(vec![ReplicaEntry::Present(entry)], ms(20));
    let known = fleet.get("a").expect("the replica is known");
    assert_eq!((known.record.born_ms, known.is_accepting()), (9, false));
}

/// After trouble of the store, one batch holds the end of an incarnation and the start of the next. The notice of the
/// first one's departure named the second, which all routers then took for leaving.
#[test]
fn apply_entries_batch_with_next_incarnation_names_the_one_that_leaves() {
    let mut fleet = Fleet::default();
    fleet.apply_entry(ReplicaEntry::Present(record("a", 1, 1)), ms(0));
    let mut draining = record("a", 1, 1);
    draining.state = ReplicaState::Draining;
    let batch = [
        ReplicaEntry::Present(draining),
        ReplicaEntry::Gone("a".into()),
        ReplicaEntry::Present(record("a", 2, 1)),
    ];
    let changes: Vec<_> = batch
        .into_iter()
        .filter_map(|entry| fleet.apply_entry(entry, ms(10)))
        .collect();
    assert!(changes.contains(&FleetChange::Draining("a".into(), 1)));
    assert!(fleet.get("a").is_some_and(|known| known.is_accepting()));
}
