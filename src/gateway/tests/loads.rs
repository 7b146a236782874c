//! Tests of the load reports that routers exchange.

use super::ms;
use crate::gateway::load::{LoadMap, LoadMessage, LoadSample, PeerLoads, replica_key, subtract};

fn load(in_flight: u32, prefill_tokens: u64) -> LoadSample {
    LoadSample {
        in_flight,
        prefill_tokens,
        ..LoadSample::default()
    }
}

#[test]
fn into_loads_keeps_all_but_idle_replicas() {
    let loads: LoadMap = [(1, load(3, 400)), (2, load(0, 0)), (3, load(1, 0))].into();
    let decoded = LoadMessage::of(&loads).into_loads();
    assert_eq!(decoded, LoadMap::from([(1, load(3, 400)), (3, load(1, 0))]));
}

#[test]
fn total_counts_each_router_once() {
    let mut peers = PeerLoads::default();
    let own: LoadMap = [(1, load(1, 10))].into();
    peers.record_follower("a".into(), [(1, load(2, 20))].into(), ms(0));
    // A newer report of a router replaces the previous one.
    peers.record_follower("a".into(), [(1, load(4, 40))].into(), ms(100));
    peers.record_aggregate(
        "z".into(),
        [(1, load(8, 80)), (2, load(1, 0))].into(),
        ms(100),
    );
    let total = peers.total(&own);
    assert_eq!(total[&1], load(13, 130));
    assert_eq!(peers.total_excluding(&"a".into(), &total)[&1], load(9, 90));
    assert_eq!(subtract(&total, Some(&own))[&1], load(12, 120));
    assert_eq!(
        peers.local_total(&own)[&1],
        load(5, 50),
        "totals of other routers must not be passed on"
    );
}

#[test]
fn expire_drops_routers_that_stopped_reporting() {
    let mut peers = PeerLoads::default();
    peers.record_follower("a".into(), [(1, load(2, 20))].into(), ms(0));
    peers.record_aggregate("z".into(), [(1, load(8, 80))].into(), ms(1_000));
    peers.expire(ms(2_000));
    assert_eq!(peers.total(&LoadMap::default())[&1], load(8, 80));
}

#[test]
fn replica_key_differs_between_incarnations() {
    assert_ne!(replica_key("i-1", 5), replica_key("i-1", 6));
    assert_ne!(replica_key("i-1", 5), replica_key("i-2", 5));
}

#[test]
fn total_includes_refusals_of_any_router() {
    let mut peers = PeerLoads::default();
    let refused = LoadSample {
        is_refusing: true,
        version: 4,
        ..LoadSample::default()
    };
    let decoded = LoadMessage::of(&[(1, refused), (2, load(1, 0))].into()).into_loads();
    peers.record_aggregate("z".into(), decoded, ms(0));
    let total = peers.total(&[(1, load(2, 0))].into());
    assert!(total[&1].is_refusing);
    assert_eq!(total[&1].version, 4);
    assert!(!total[&2].is_refusing);
    assert!(peers.total_excluding(&"a".into(), &total)[&1].is_refusing);
}
