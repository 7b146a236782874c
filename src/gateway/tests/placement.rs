//! The choice of a replica, by the load pattern that each part answers.

use std::collections::HashSet;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::ms;
use crate::gateway::placement::{
    Candidate, Need, NoReplica, WeightsBounds, WeightsStanding, choose,
};
use crate::id::ReplicaId;

const LONG: Need = Need {
    opening: Some(7),
    shared_tokens: 13_300,
    own_tokens: 3_720,
};
const SHORT: Need = Need {
    opening: Some(9),
    shared_tokens: 92,
    own_tokens: 291,
};
const PLAIN: Need = Need {
    opening: None,
    shared_tokens: 0,
    own_tokens: 0,
};

fn ids(count: usize) -> Vec<ReplicaId> {
    (0..count).map(|index| format!("r{index}").into()).collect()
}

fn candidates(ids: &[ReplicaId]) -> Vec<Candidate<'_>> {
    ids.iter()
        .enumerate()
        .map(|(index, id)| Candidate {
            id,
            is_near: index % 3 == 0,
            in_flight: 0,
            unread_tokens: 0,
            slots: 12,
            health: 1.0,
            weights: WeightsStanding::Current,
            is_open: true,
            is_refusing: false,
            is_warm: false,
        })
        .collect()
}

fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

#[test]
fn choose_same_opening_same_home_at_all_routers() {
    let ids = ids(18);
    let homes: HashSet<_> = (0..50)
        .map(|seed| {
            let mut candidates = candidates(&ids);
            // Routers of different zones, each with a little traffic of its own.
            for (index, candidate) in candidates.iter_mut().enumerate() {
                candidate.is_near = (index as u64 + seed).is_multiple_of(3);
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
    // Where all refuse, one of them still gets the request.
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
    candidates[warm].is_open = false;
    assert_eq!(choose(&LONG, &candidates, &[], &mut rng(1)), Ok(home));
}

#[test]
fn choose_short_opening_home_is_near() {
    let ids = ids(18);
    let candidates = candidates(&ids);
    let chosen = choose(&SHORT, &candidates, &[], &mut rng(1)).unwrap();
    assert!(candidates[chosen].is_near);
}

#[test]
fn choose_hot_opening_spills_when_home_is_far_behind() {
    let ids = ids(18);
    let mut candidates = candidates(&ids);
    let home = choose(&LONG, &candidates, &[], &mut rng(1)).unwrap();
    candidates[home].unread_tokens = 20_000;
    assert_eq!(choose(&LONG, &candidates, &[], &mut rng(1)), Ok(home));
    candidates[home].unread_tokens = 90_000;
    assert_ne!(choose(&LONG, &candidates, &[], &mut rng(1)), Ok(home));
}

#[test]
fn choose_plain_service_near_until_busy() {
    let ids = ids(3);
    let mut candidates = candidates(&ids);
    assert_eq!(choose(&PLAIN, &candidates, &[], &mut rng(1)), Ok(0));
    candidates[0].in_flight = 20;
    assert_ne!(choose(&PLAIN, &candidates, &[], &mut rng(1)), Ok(0));
}

#[test]
fn choose_skips_tried_closed_and_ejected() {
    let ids = ids(3);
    let mut candidates = candidates(&ids);
    candidates[1].health = 0.0;
    candidates[2].is_open = false;
    let tried = [ids[0].clone()];
    let chosen = choose(&PLAIN, &candidates, &tried, &mut rng(1));
    assert_eq!(chosen, Err(NoReplica::NoneHealthy));
    assert_eq!(choose(&PLAIN, &candidates, &[], &mut rng(1)), Ok(0));
}

#[test]
fn choose_refuses_closed_weights() {
    let ids = ids(2);
    let mut candidates = candidates(&ids);
    for candidate in &mut candidates {
        candidate.weights = WeightsStanding::Closed;
    }
    let chosen = choose(&LONG, &candidates, &[], &mut rng(1));
    assert_eq!(chosen, Err(NoReplica::OldWeights));
}

#[test]
fn judge_counts_from_first_newer_version() {
    let bounds = WeightsBounds {
        preferred_after: ms(1_500),
        closed_after: Some(ms(5_000)),
    };
    // Versions 2 and 3 were named 5.1 s and 0.1 s ago.
    let named = [(2, ms(5_100)), (3, ms(100))];
    assert_eq!(bounds.judge(3, &named), WeightsStanding::Current);
    assert_eq!(bounds.judge(2, &named), WeightsStanding::Current);
    assert_eq!(bounds.judge(1, &named), WeightsStanding::Closed);
    assert_eq!(bounds.judge(1, &[(2, ms(2_000))]), WeightsStanding::Old);
}

/// A router that starts while others are still on their way to a version can't know when it was named.
#[test]
fn age_of_found_closes_old_weights_soon_after_a_start() {
    let bounds = WeightsBounds {
        preferred_after: ms(1_500),
        closed_after: Some(ms(6_500)),
    };
    let at_start = bounds.age_of_found();
    assert_ne!(bounds.judge(3, &[(4, at_start)]), WeightsStanding::Closed);
    assert_eq!(
        bounds.judge(3, &[(4, at_start + ms(2_600))]),
        WeightsStanding::Closed
    );
    assert_eq!(
        bounds.judge(4, &[(4, at_start + ms(60_000))]),
        WeightsStanding::Current
    );
}
