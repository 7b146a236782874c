//! Tests of the learned speeds of replicas.

use std::collections::HashMap;

use std::time::Duration;

use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::ms;
use crate::gateway::load::{
    PeerSpeeds, ReplicaKey, SpeedMap, SpeedObservations, SpeedReport, expected_ms, service_speeds,
};

const LONG_OWN_TOKENS: u32 = 3_720;

/// Returns the time to the first event at a replica that prefills `rate` tokens per millisecond.
fn first_event(rate: f64, tokens: f64) -> Duration {
    Duration::from_secs_f64((5.0 + tokens / rate) / 1_000.0)
}

fn speed_of(speeds: &[(ReplicaKey, crate::gateway::load::ReplicaSpeed)], key: ReplicaKey) -> f64 {
    speeds[key as usize].1.speed
}

/// Replays 88 routers in front of 60 replicas with speeds from 0.6 to 1.6: each router sees one long request a second,
/// behind work that it knows only roughly, and one request in fifty meets a pause of its replica. No router sees enough
/// of a replica, so the speeds must come from the sums of all routers.
#[test]
fn service_speeds_few_requests_at_each_router_are_learned_together() {
    const ROUTERS: usize = 88;
    const REPLICAS: usize = 60;
    const SECONDS: u64 = 60;
    let speed = |replica: usize| 0.6 + replica as f64 / (REPLICAS - 1) as f64;
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let mut observations = vec![[SpeedObservations::default(); REPLICAS]; ROUTERS];
    for second in 0..SECONDS {
        for router in &mut observations {
            let replica = rng.random_range(0..REPLICAS);
            let ahead: u64 = rng.random_range(0..8_000);
            let error = rng.random_range(0.6..1.4);
            let tokens = f64::from(LONG_OWN_TOKENS) + ahead as f64 * error;
            let mut observed = first_event(50.0 * speed(replica), tokens);
            if rng.random_range(0..50) == 0 {
                observed += ms(1_000);
            }
            let expected = expected_ms(LONG_OWN_TOKENS, ahead).expect("the request is long");
            router[replica].record(expected, observed, ms(1_000 * second));
        }
    }
    let now = ms(1_000 * SECONDS);
    let mut peers = PeerSpeeds::default();
    for (index, router) in observations.iter().enumerate() {
        let sums = router.iter().enumerate();
        let sums: SpeedMap = sums
            .map(|(replica, own)| (replica as ReplicaKey, own.sums(now)))
            .collect();
        peers.record_follower(format!("r{index}").into(), &SpeedReport::of(&sums), now);
    }
    let total = peers.total_excluding(None, &SpeedMap::new());
    let keys: Vec<_> = (0..REPLICAS as ReplicaKey).collect();
    let speeds = service_speeds(&keys, &total, &HashMap::new());
    let wrong = (0..REPLICAS).filter(|replica| {
        let ratio = speed_of(&speeds, *replica as ReplicaKey) / speed(*replica);
        !(1.0 / 1.2..1.2).contains(&ratio)
    });
    assert!(wrong.count() <= REPLICAS / 20, "{speeds:?}");
}

/// Engines three times as fast as the reference: a replica without observations gets the median, not the reference.
#[test]
fn service_speeds_fast_engines_are_faster_than_the_reference() {
    let mut total = SpeedMap::new();
    assert_eq!(
        speed_of(&service_speeds(&[0], &total, &HashMap::new()), 0),
        1.0
    );
    for replica in 0..9 {
        let mut observations = SpeedObservations::default();
        for _ in 0..40 {
            let observed = first_event(157.0, f64::from(LONG_OWN_TOKENS));
            let expected = expected_ms(LONG_OWN_TOKENS, 0).expect("the request is long");
            observations.record(expected, observed, ms(0));
        }
        total.insert(replica, observations.sums(ms(0)));
    }
    let speeds = service_speeds(&(0..10).collect::<Vec<_>>(), &total, &HashMap::new());
    for (_, speed) in &speeds {
        assert!((3.0..3.3).contains(&speed.speed), "{speeds:?}");
        assert_eq!(speed.home_weight, 1.0);
    }
}

/// The time of a short prompt is that of the network, so it tells nothing about the speed.
#[test]
fn expected_ms_short_prompts_are_not_observed() {
    assert_eq!(expected_ms(291, 0), None);
    assert!(expected_ms(291, 10_000).is_some());
}

/// A replica that hangs for a while must not look slow for long.
#[test]
fn sums_pause_of_a_sound_replica_is_forgotten() {
    let expected = expected_ms(LONG_OWN_TOKENS, 0).expect("the request is long");
    let mut slow = SpeedObservations::default();
    let mut sound = SpeedObservations::default();
    for _ in 0..10 {
        slow.record(expected, ms(9_000), ms(0));
    }
    for second in 0..90 {
        for observations in [&mut slow, &mut sound] {
            observations.record(expected, ms(80), ms(1_000 * second));
        }
    }
    let sums = |observations: &SpeedObservations| observations.sums(ms(90_000));
    let total = SpeedMap::from([(0, sums(&slow)), (1, sums(&sound)), (2, sums(&sound))]);
    let speeds = service_speeds(&[0, 1, 2], &total, &HashMap::new());
    assert!(speed_of(&speeds, 0) > 0.85, "{speeds:?}");
}

/// A malformed report may claim anything: its figures are bounded and gone once it is not repeated.
#[test]
fn record_malformed_report_is_bounded_and_expires() {
    let bytes =
        b"\x0a\x08\x01\x00\x00\x00\x02\x00\x00\x00\x12\x05\xff\xff\xff\xff\x0f\x1a\x02\x00\x01";
    let report = SpeedReport::decode(&bytes[..]).expect("the frame itself is valid");
    let mut peers = PeerSpeeds::default();
    peers.record_follower("a".into(), &report, ms(0));
    let speeds = service_speeds(
        &[0, 1],
        &peers.total_excluding(None, &SpeedMap::new()),
        &HashMap::new(),
    );
    assert!(
        speeds
            .iter()
            .all(|(_, speed)| (0.25..=6.0).contains(&speed.speed))
    );
    peers.expire(ms(5_000));
    assert!(peers.total_excluding(None, &SpeedMap::new()).is_empty());
}
