//! Tests of the load reports that routers exchange.

use prost::Message;

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

/// A router with few requests at a replica must learn from others how long requests wait there.
#[test]
fn total_has_the_longest_wait_of_any_router() {
    let waiting = |wait_ms| LoadSample {
        begin_wait: ms(wait_ms),
        ..LoadSample::default()
    };
    let mut peers = PeerLoads::default();
    let decoded = LoadMessage::of(&[(1, waiting(2_300)), (2, load(1, 0))].into()).into_loads();
    assert_eq!(decoded[&1], waiting(2_300));
    assert_eq!(decoded[&2], load(1, 0));
    peers.record_follower("a".into(), decoded, ms(0));
    peers.record_aggregate("z".into(), [(1, waiting(900))].into(), ms(0));
    let own: LoadMap = [(1, waiting(400))].into();
    let total = peers.total(&own);
    assert_eq!(total[&1].begin_wait, ms(2_300));
    assert_eq!(subtract(&total, Some(&own))[&1].begin_wait, ms(2_300));
    peers.expire(ms(2_000));
    assert_eq!(peers.total(&own)[&1].begin_wait, ms(400));
}

/// The load of a replica with three requests as routers of earlier versions encode it, which name no waits.
#[test]
fn into_loads_of_an_earlier_version_has_no_waits() {
    let earlier = [
        0x0d, 7, 0, 0, 0, // key 7
        0x10, 3, // in flight
        0x18, 9, // prefill tokens
        0x28, 0, // version
        0x38, 0, // held tokens
        0x40, 0, // held prefix tokens
    ];
    let message = LoadMessage::decode(&earlier[..]).unwrap();
    assert_eq!(message.into_loads(), LoadMap::from([(7, load(3, 9))]));
}

#[test]
fn encoded_waits_cost_nothing_without_and_a_byte_with_one() {
    let length = |wait_ms| {
        let loads = (0..60).map(|key| {
            let begin_wait = ms(if key == 0 { wait_ms } else { 0 });
            (
                key,
                LoadSample {
                    begin_wait,
                    ..load(1, 0)
                },
            )
        });
        LoadMessage::of(&loads.collect()).encoded_len()
    };
    assert_eq!(length(6_000) - length(0), 60 + 2);
}

/// A report may claim a wait, but none beyond what any caller waits for.
#[test]
fn into_loads_limits_the_wait() {
    let sample = LoadSample {
        begin_wait: ms(90_000_000),
        ..load(1, 0)
    };
    let mut bytes = LoadMessage::of(&[(1, sample)].into()).encode_to_vec();
    assert_eq!(
        LoadMessage::decode(&bytes[..]).unwrap().into_loads()[&1].begin_wait,
        ms(30_000)
    );
    // The last column is that of the waits; 300 becomes 16,383.
    let units = bytes.len() - 2;
    assert_eq!(bytes[units..], [0xac, 2]);
    bytes[units..].copy_from_slice(&[0xff, 0x7f]);
    let decoded = LoadMessage::decode(&bytes[..]).unwrap().into_loads();
    assert_eq!(decoded[&1].begin_wait, ms(30_000));
}
