//! Tests of replica selection, one for each load pattern that it handles.

use std::collections::HashSet;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::ms;
use crate::gateway::admission::Room;
use crate::gateway::placement::{
    Candidate, NoReplica, PlacementRequest, WeightsBounds, WeightsStatus, choose, expected_wait,
};
use crate::id::ReplicaId;

const LONG: PlacementRequest = PlacementRequest {
    prefix: Some(7),
    shared_tokens: 13_300,
    own_tokens: 3_720,
    output_tokens: 12,
    room: Room::All,
};
const SHORT: PlacementRequest = PlacementRequest {
    prefix: Some(9),
    shared_tokens: 92,
    own_tokens: 291,
    output_tokens: 5,
    room: Room::All,
};
const PLAIN: PlacementRequest = PlacementRequest {
    prefix: None,
    shared_tokens: 0,
    own_tokens: 0,
    output_tokens: 0,
    room: Room::All,
};

fn ids(count: usize) -> Vec<ReplicaId> {
    (0..count).map(|index| format!("r{index}").into()).collect()
}

fn candidates(ids: &[ReplicaId]) -> Vec<Candidate<'_>> {
    ids.iter()
        .enumerate()
        .map(|(index, id)| Candidate {
            id,
            is_same_zone: index % 3 == 0,
            in_flight: 0,
            prefill_tokens: 0,
            slots: 12,
            free_tokens: None,
            health: 1.0,
            speed: 1.0,
            home_weight: 1.0,
            weights: WeightsStatus::Current,
            is_accepting: true,
            backoff: ms(0),
            is_withheld: false,
            is_refusing: false,
            is_warm: false,
        })
        .collect()
}

fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

#[test]
fn choose_same_prefix_same_home_at_all_routers() {
    let ids = ids(18);
    let homes: HashSet<_> = (0..50)
        .map(|seed| {
            let mut candidates = candidates(&ids);
            // Routers of different zones, each with a little traffic of its own.
            for (index, candidate) in candidates.iter_mut().enumerate() {
                candidate.is_same_zone = (index as u64 + seed).is_multiple_of(3);
                candidate.in_flight = ((index as u64 * seed) % 2) as u32;
            }
            choose(&LONG, &candidates, &[], &mut rng(seed)).unwrap()
        })
        .collect();
    assert_eq!(homes.len(), 1);
}

#[test]
fn choose_avoids_replicas_that_refuse() {
    let ids = ids(18);
    let mut candidates = candidates(&ids);
    let home = choose(&SHORT, &candidates, &[], &mut rng(1)).unwrap();
    candidates[home].is_refusing = true;
    assert_ne!(choose(&SHORT, &candidates, &[], &mut rng(1)), Ok(home));
    // If all replicas reject requests, one of them is still selected.
    for candidate in &mut candidates {
        candidate.is_refusing = true;
    }
    assert!(choose(&SHORT, &candidates, &[], &mut rng(1)).is_ok());
}

#[test]
fn choose_warm_replica_before_home() {
    let ids = ids(18);
    let mut candidates = candidates(&ids);
    let home = choose(&LONG, &candidates, &[], &mut rng(1)).unwrap();
    let warm = (home + 1) % ids.len();
    candidates[warm].is_warm = true;
    assert_eq!(choose(&LONG, &candidates, &[], &mut rng(1)), Ok(warm));
    candidates[warm].is_accepting = false;
    assert_eq!(choose(&LONG, &candidates, &[], &mut rng(1)), Ok(home));
}

#[test]
fn choose_short_prefix_home_is_in_same_zone() {
    let ids = ids(18);
    let candidates = candidates(&ids);
    let chosen = choose(&SHORT, &candidates, &[], &mut rng(1)).unwrap();
    assert!(candidates[chosen].is_same_zone);
}

#[test]
fn choose_hot_prefix_spills_when_home_is_far_behind() {
    let ids = ids(18);
    let mut candidates = candidates(&ids);
    let home = choose(&LONG, &candidates, &[], &mut rng(1)).unwrap();
    candidates[home].prefill_tokens = 20_000;
    assert_eq!(choose(&LONG, &candidates, &[], &mut rng(1)), Ok(home));
    candidates[home].prefill_tokens = 90_000;
    assert_ne!(choose(&LONG, &candidates, &[], &mut rng(1)), Ok(home));
}

#[test]
fn choose_plain_service_prefers_same_zone_until_busy() {
    let ids = ids(3);
    let mut candidates = candidates(&ids);
    assert_eq!(choose(&PLAIN, &candidates, &[], &mut rng(1)), Ok(0));
    candidates[0].in_flight = 20;
    assert_ne!(choose(&PLAIN, &candidates, &[], &mut rng(1)), Ok(0));
}

#[test]
fn choose_skips_tried_draining_and_ejected() {
    let ids = ids(3);
    let mut candidates = candidates(&ids);
    candidates[1].health = 0.0;
    candidates[2].is_accepting = false;
    let tried = [ids[0].clone()];
    let chosen = choose(&PLAIN, &candidates, &tried, &mut rng(1));
    assert_eq!(chosen, Err(NoReplica::NoneHealthy));
    assert_eq!(choose(&PLAIN, &candidates, &[], &mut rng(1)), Ok(0));
}

#[test]
fn choose_refuses_expired_weights() {
    let ids = ids(2);
    let mut candidates = candidates(&ids);
    for candidate in &mut candidates {
        candidate.weights = WeightsStatus::Expired;
    }
    let chosen = choose(&LONG, &candidates, &[], &mut rng(1));
    assert_eq!(chosen, Err(NoReplica::ExpiredWeights));
}

#[test]
fn status_counts_from_first_newer_version() {
    let bounds = WeightsBounds {
        stale_after: ms(1_500),
        expired_after: Some(ms(5_000)),
        withdrawn_after: None,
    };
    // Versions 2 and 3 were named 5.1 s and 0.1 s ago.
    let named = [(2, ms(5_100)), (3, ms(100))];
    assert_eq!(bounds.status(3, &named, ms(0)), WeightsStatus::Current);
    assert_eq!(bounds.status(2, &named, ms(0)), WeightsStatus::Current);
    assert_eq!(bounds.status(1, &named, ms(0)), WeightsStatus::Expired);
    assert_eq!(
        bounds.status(1, &[(2, ms(2_000))], ms(0)),
        WeightsStatus::Stale
    );
}

/// Guards against a router that keeps starting requests on old weights after a restart: it can't know when a version
/// that it finds already was named, so the age that it assumes must make older weights expire soon.
#[test]
fn initial_age_expires_old_weights_soon_after_a_start() {
    let bounds = WeightsBounds {
        stale_after: ms(1_500),
        expired_after: Some(ms(6_500)),
        withdrawn_after: None,
    };
    let at_start = bounds.initial_age();
    assert_ne!(
        bounds.status(3, &[(4, at_start)], ms(0)),
        WeightsStatus::Expired
    );
    assert_eq!(
        bounds.status(3, &[(4, at_start + ms(2_600))], ms(0)),
        WeightsStatus::Expired
    );
    assert_eq!(
        bounds.status(4, &[(4, at_start + ms(60_000))], ms(0)),
        WeightsStatus::Current
    );
}

#[test]
fn choose_overloaded_replicas_are_skipped_until_their_delay_is_over() {
    let ids = ids(3);
    let mut candidates = candidates(&ids);
    candidates[0].backoff = ms(700);
    candidates[1].backoff = ms(300);
    for _ in 0..50 {
        assert_eq!(choose(&PLAIN, &candidates, &[], &mut rng(1)), Ok(2));
    }
    candidates[2].backoff = ms(500);
    assert_eq!(
        choose(&PLAIN, &candidates, &[], &mut rng(1)),
        Err(NoReplica::Overloaded(ms(300)))
    );
}

/// Replays a burst at a plain service: 195 routers send 600 requests a second to six replicas with six slots, each request
/// takes 50 ms, and routers see the loads of the others 300 ms late. Each replica queues as many requests as it has
/// slots and rejects more.
#[test]
fn choose_plain_burst_with_delayed_loads_is_spread() {
    const ROUTERS: usize = 195;
    const REQUESTS_PER_MS: f64 = 0.6;
    const WORK_MS: usize = 50;
    const DELAY_MS: usize = 300;
    const SLOTS: u32 = 6;
    let ids = ids(6);
    let mut rng = rng(3);
    let mut in_flight = [0_u32; 6];
    let mut history = vec![in_flight; DELAY_MS];
    let mut ends = vec![Vec::new(); 3_000];
    let (mut sent, mut rejected, mut due) = (0, 0, 0.0);
    for now in 0..2_500 {
        for replica in std::mem::take(&mut ends[now]) {
            in_flight[replica] -= 1;
        }
        due += REQUESTS_PER_MS;
        while due >= 1.0 {
            due -= 1.0;
            let zone = rng.random_range(0..ROUTERS) % 5;
            let mut seen = candidates(&ids);
            for (index, candidate) in seen.iter_mut().enumerate() {
                candidate.slots = SLOTS;
                candidate.is_same_zone = index % 5 == zone;
                candidate.in_flight = history[now][index];
            }
            let chosen = choose(&PLAIN, &seen, &[], &mut rng).expect("all replicas accept");
            sent += 1;
            if in_flight[chosen] >= 2 * SLOTS {
                rejected += 1;
                continue;
            }
            in_flight[chosen] += 1;
            ends[now + WORK_MS].push(chosen);
        }
        history.push(in_flight);
    }
    assert!(rejected * 20 < sent, "{rejected} of {sent} were rejected");
}

/// A request was sent to a replica 0.2 s before its weights expired, and started there 1.9 s later.
#[test]
fn status_wait_at_a_busy_replica_counts_towards_the_bound() {
    let bounds = WeightsBounds {
        stale_after: ms(1_500),
        expired_after: Some(ms(8_500)),
        withdrawn_after: None,
    };
    let named = [(2, ms(8_280))];
    assert_eq!(bounds.status(1, &named, ms(0)), WeightsStatus::Stale);
    // Nine prompts of 6,610 tokens of their own wait for their prefill.
    let wait = expected_wait(9 * 6_610, 1.0);
    assert!(wait >= ms(1_900), "{wait:?}");
    assert_eq!(bounds.status(1, &named, wait), WeightsStatus::Expired);
    assert_eq!(bounds.status(2, &named, wait), WeightsStatus::Current);
}

/// Replicas of one service with speeds from 0.6 to 1.6: homes in equal numbers would overload the slow ones, and a learned
/// speed that changes must not make many prefixes be prefilled again.
#[test]
fn choose_homes_follow_the_weights_and_a_change_moves_few() {
    let ids = ids(60);
    let homes = |weight_of: &dyn Fn(usize) -> f64| -> Vec<usize> {
        let mut candidates = candidates(&ids);
        for (index, candidate) in candidates.iter_mut().enumerate() {
            candidate.home_weight = weight_of(index);
        }
        let home = |prefix| {
            let request = PlacementRequest {
                prefix: Some(prefix),
                ..LONG
            };
            choose(&request, &candidates, &[], &mut rng(1)).unwrap()
        };
        (0..6_000).map(home).collect()
    };
    let weight = |index: usize| if index < 30 { 0.6 } else { 1.6 };
    let before = homes(&weight);
    let slow = before.iter().filter(|home| **home < 30).count() as f64;
    let share = slow / before.len() as f64;
    assert!((share / (0.6 / 2.2) - 1.0).abs() < 0.1, "{share}");
    let after = homes(&|index| if index == 40 { 1.28 } else { weight(index) });
    let pairs = before.iter().zip(&after);
    let moved: Vec<_> = pairs.filter(|(before, after)| before != after).collect();
    assert!(moved.len() < 60, "{} of 6000 moved", moved.len());
    assert!(moved.iter().all(|(before, _)| **before == 40));
}

/// A request waits for the work ahead at its home at the home's actual speed, which may be far from the reference.
#[test]
fn choose_slow_home_is_left_earlier_than_a_fast_one() {
    let ids = ids(18);
    let mut candidates = candidates(&ids);
    let home = choose(&LONG, &candidates, &[], &mut rng(1)).unwrap();
    candidates[home].prefill_tokens = 40_000;
    assert_eq!(choose(&LONG, &candidates, &[], &mut rng(1)), Ok(home));
    candidates[home].speed = 0.6;
    assert_ne!(choose(&LONG, &candidates, &[], &mut rng(1)), Ok(home));
    assert!(candidates[home].expected_wait() > ms(2_600));
    candidates[home].speed = 3.0;
    candidates[home].prefill_tokens = 90_000;
    assert_eq!(choose(&LONG, &candidates, &[], &mut rng(1)), Ok(home));
}
