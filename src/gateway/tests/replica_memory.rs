//! Tests of the memory that requests hold at replicas.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::ms;
use crate::gateway::admission::Room;
use crate::gateway::load::{
    HeldMemory, LoadMap, LoadMessage, LoadSample, PeerLoads, free_tokens, subtract,
};
use crate::gateway::placement::{Candidate, PlacementRequest, WeightsStatus, choose};
use crate::id::ReplicaId;

const CACHE_TOKENS: u64 = 213_390;

fn long(prefix: u64) -> PlacementRequest {
    PlacementRequest {
        prefix: Some(prefix),
        shared_tokens: 13_300,
        own_tokens: 3_720,
        output_tokens: 12,
        room: Room::All,
    }
}

fn sample(held: &HeldMemory, in_flight: u32) -> LoadSample {
    LoadSample {
        in_flight,
        held_tokens: held.own_tokens(),
        held_prefix_tokens: held.prefix_tokens(),
        ..LoadSample::default()
    }
}

/// Places `requests` at 12 replicas, all running at once, and returns how many tokens each replica holds.
fn place(requests: &[PlacementRequest]) -> Vec<u64> {
    let ids: Vec<ReplicaId> = (0..12).map(|index| format!("r{index}").into()).collect();
    let mut held: Vec<HeldMemory> = ids.iter().map(|_| HeldMemory::default()).collect();
    let mut in_flight = [0; 12];
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for request in requests {
        let candidates: Vec<_> = (0..ids.len())
            .map(|index| Candidate {
                id: &ids[index],
                is_same_zone: true,
                in_flight: in_flight[index],
                prefill_tokens: 0,
                slots: 48,
                free_tokens: free_tokens(CACHE_TOKENS, &sample(&held[index], in_flight[index])),
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
            .collect();
        let chosen = choose(request, &candidates, &[], &mut rng).expect("all replicas accept");
        held[chosen].add(request);
        in_flight[chosen] += 1;
    }
    let tokens = held
        .iter()
        .map(|held| held.own_tokens() + held.prefix_tokens());
    tokens.collect()
}

/// Replays a burst of long prompts with different prefixes that have been prefilled, so that only their memory counts: a
/// replica that is the home of several of them must not get more than it can hold while others are free.
#[test]
fn choose_burst_of_different_long_prompts_fits_into_memory() {
    let requests: Vec<_> = (0..120).map(long).collect();
    let tokens = place(&requests);
    assert!(
        tokens.iter().all(|tokens| *tokens <= CACHE_TOKENS),
        "{tokens:?}"
    );
}

/// Requests with one prefix hold it once, so that they stay at its home instead of prefilling it elsewhere.
#[test]
fn choose_requests_with_one_prefix_stay_at_its_home() {
    let tokens = place(&[long(7); 20]);
    let mut used = tokens.into_iter().filter(|tokens| *tokens > 0);
    assert_eq!(used.next(), Some(13_300 + 20 * 3_732));
    assert_eq!(used.next(), None);
}

#[test]
fn held_memory_is_empty_after_all_requests_ended() {
    let mut held = HeldMemory::default();
    let requests = [long(1), long(2), long(1)];
    for request in &requests {
        held.add(request);
    }
    assert_eq!(
        (held.own_tokens(), held.prefix_tokens()),
        (3 * 3_732, 26_600)
    );
    for request in &requests {
        held.remove(request);
    }
    assert_eq!((held.own_tokens(), held.prefix_tokens()), (0, 0));
}

/// The routers' requests add up, and a prefix that they share counts once.
#[test]
fn total_counts_a_shared_prefix_once() {
    let mut held = HeldMemory::default();
    held.add(&long(1));
    let loads: LoadMap = [(9, sample(&held, 1))].into();
    let decoded = LoadMessage::of(&loads).into_loads();
    assert_eq!(decoded, loads);
    let mut peers = PeerLoads::default();
    peers.record_follower("a".into(), decoded.clone(), ms(0));
    peers.record_aggregate("b".into(), decoded, ms(0));
    let total = peers.total(&loads);
    assert_eq!(
        free_tokens(CACHE_TOKENS, &total[&9]),
        Some(CACHE_TOKENS - 3 * 3_732 - 13_300)
    );
    let others = subtract(&total, Some(&loads));
    assert_eq!(others[&9].held_tokens, 2 * 3_732);
    assert_eq!(free_tokens(0, &total[&9]), None);
}
