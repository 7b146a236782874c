//! The list of replicas with lapses, later lives, forged entries and notices.

use super::{ms, record};
use crate::gateway::fleet::{Fleet, FleetChange, ReplicaEntry, ReplicaPhase, ReplicaState};

fn listed(records: &[(&str, u64, u64)]) -> Fleet {
    let mut fleet = Fleet::default();
    let entries = records
        .iter()
        .map(|(id, born, version)| ReplicaEntry::Present(record(id, *born, *version)));
    fleet.take_list(entries.collect(), ms(0));
    fleet
}

#[test]
fn take_list_missing_is_gone() {
    let mut fleet = listed(&[("a", 1, 1), ("b", 1, 1)]);
    let changes = fleet.take_list(vec![ReplicaEntry::Present(record("a", 1, 1))], ms(100));
    assert_eq!(changes, [FleetChange::Removed("b".into())]);
    assert!(fleet.get("b").is_none());
}

#[test]
fn take_entry_gone_after_outage_is_kept_for_its_return() {
    let mut fleet = listed(&[("a", 1, 1)]);
    fleet.platform_returned(ms(1_000));
    let change = fleet.take_entry(ReplicaEntry::Gone("a".into()), ms(1_100));
    assert_eq!(change, Some(FleetChange::Lapsed("a".into())));
    assert!(fleet.get("a").is_some_and(|known| known.is_open()));
    assert!(fleet.expire(ms(3_100)).is_empty());
    assert_eq!(fleet.expire(ms(3_300)), [FleetChange::Removed("a".into())]);
}

#[test]
fn take_entry_back_after_outage_stays() {
    let mut fleet = listed(&[("a", 1, 1)]);
    fleet.platform_returned(ms(1_000));
    fleet.take_list(Vec::new(), ms(1_050));
    fleet.take_entry(ReplicaEntry::Present(record("a", 1, 1)), ms(2_000));
    assert!(fleet.expire(ms(9_000)).is_empty());
    assert!(fleet.get("a").is_some());
}

#[test]
fn take_entry_leaving_is_never_undone_in_one_life() {
    let mut fleet = listed(&[("a", 1, 1)]);
    let mut draining = record("a", 1, 1);
    draining.state = ReplicaState::Draining;
    let change = fleet.take_entry(ReplicaEntry::Present(draining), ms(10));
    assert_eq!(change, Some(FleetChange::Leaving("a".into())));
    fleet.take_entry(ReplicaEntry::Present(record("a", 1, 1)), ms(20));
    assert!(fleet.get("a").is_some_and(|known| !known.is_open()));
    fleet.take_entry(ReplicaEntry::Present(record("a", 2, 1)), ms(30));
    assert!(fleet.get("a").is_some_and(|known| known.is_open()));
}

#[test]
fn take_entry_malformed_names_no_replica_and_takes_none_away() {
    let mut fleet = listed(&[("a", 1, 1)]);
    for id in ["a", "forged"] {
        let entry = ReplicaEntry::Malformed {
            id: id.into(),
            reason: "torn".into(),
        };
        let change = fleet.take_entry(entry, ms(10));
        assert_eq!(change, Some(FleetChange::Ignored(id.into(), "torn".into())));
    }
    assert!(fleet.get("a").is_some_and(|known| known.is_open()));
    assert!(fleet.get("forged").is_none());
}

#[test]
fn note_weights_never_goes_back_in_one_life() {
    let mut fleet = listed(&[("a", 1, 1)]);
    let model = "m".into();
    assert!(fleet.note_weights("a", 1, &model, 3).is_some());
    // The list lags behind what an answer has told.
    fleet.take_entry(ReplicaEntry::Present(record("a", 1, 2)), ms(10));
    assert_eq!(
        fleet.get("a").and_then(|known| known.version_of("m")),
        Some(3)
    );
    assert!(
        fleet.note_weights("a", 2, &model, 9).is_none(),
        "another life"
    );
    fleet.take_entry(ReplicaEntry::Present(record("a", 2, 1)), ms(20));
    assert_eq!(
        fleet.get("a").and_then(|known| known.version_of("m")),
        Some(1)
    );
}

#[test]
fn begin_loading_ends_with_weights_or_time() {
    let mut fleet = listed(&[("a", 1, 1)]);
    fleet.begin_loading("a", 1, ms(0));
    assert!(fleet.get("a").is_some_and(|known| !known.is_open()));
    // The list still shows the old weights.
    fleet.take_entry(ReplicaEntry::Present(record("a", 1, 1)), ms(100));
    assert!(fleet.get("a").is_some_and(|known| !known.is_open()));
    fleet.note_weights("a", 1, &"m".into(), 2);
    assert!(fleet.get("a").is_some_and(|known| known.is_open()));
    fleet.begin_loading("a", 1, ms(200));
    fleet.expire(ms(3_300));
    let phase = fleet.get("a").map(|known| known.phase);
    assert_eq!(phase, Some(ReplicaPhase::Serving));
}
