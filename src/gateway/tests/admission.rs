//! Tests of admission control, one for each load pattern that it handles.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use super::ms;
use crate::gateway::admission::Room;
use crate::gateway::placement::{Candidate, NoReplica, PlacementRequest, WeightsStatus, choose};
use crate::id::ReplicaId;

const SLOTS: u32 = 12;
/// The requests that a replica queues behind its slots.
const QUEUE: u32 = 36;
const LIMIT: f64 = 1.5;

fn long_request(prefix: u64) -> PlacementRequest {
    PlacementRequest {
        prefix: Some(prefix),
        shared_tokens: 13_300,
        own_tokens: 3_720,
        output_tokens: 12,
        room: Room::of(2, 17_020, Some(LIMIT)),
    }
}

fn short_request(prefix: u64) -> PlacementRequest {
    PlacementRequest {
        prefix: Some(prefix),
        shared_tokens: 92,
        own_tokens: 291,
        output_tokens: 5,
        room: Room::of(0, 383, Some(LIMIT)),
    }
}

fn candidates<'a>(ids: &'a [ReplicaId], in_flight: &[u32]) -> Vec<Candidate<'a>> {
    let replicas = ids.iter().zip(in_flight);
    replicas
        .map(|(id, in_flight)| Candidate {
            id,
            is_same_zone: true,
            in_flight: *in_flight,
            prefill_tokens: 0,
            slots: SLOTS,
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

/// Sends one request after the other and returns which were placed; none ends.
fn place_all(requests: impl Iterator<Item = PlacementRequest>, in_flight: &mut [u32]) -> Vec<bool> {
    let ids: Vec<ReplicaId> = (0..in_flight.len())
        .map(|index| format!("r{index}").into())
        .collect();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let place = |request: PlacementRequest| {
        let chosen = choose(&request, &candidates(&ids, in_flight), &[], &mut rng);
        if let Ok(index) = chosen {
            in_flight[index] += 1;
        } else {
            assert_eq!(chosen, Err(NoReplica::Full));
        }
        chosen.is_ok()
    };
    requests.map(place).collect()
}

/// Guards against a burst of long prompts that fills the queues, so that replicas reject short urgent requests.
#[test]
fn burst_of_long_requests_leaves_queue_to_short_ones() {
    let mut in_flight = [0; 4];
    let long = place_all((0..400).map(long_request), &mut in_flight);
    let placed = long.iter().filter(|placed| **placed).count();
    assert_eq!(placed, 4 * 18, "all slots and half as many places are used");
    assert!(
        long[..placed].iter().all(|placed| *placed),
        "none is refused before"
    );
    let short = place_all((0..100).map(short_request), &mut in_flight);
    assert!(short.iter().all(|placed| *placed));
    assert!(in_flight.iter().all(|count| *count <= SLOTS + QUEUE));
}

/// Guards against refusing a request although a replica is free.
#[test]
fn long_request_is_placed_at_the_only_free_replica() {
    let mut in_flight = [48, 30, 0, 48];
    assert_eq!(place_all((0..1).map(long_request), &mut in_flight), [true]);
    assert_eq!(in_flight, [48, 30, 1, 48]);
}

/// Guards against a limit that leaves no room for any request at a replica with a single slot.
#[test]
fn limit_below_one_request_admits_one() {
    let room = Room::of(2, 17_020, Some(0.1));
    assert!(room.is_left(0, 1));
    assert!(!room.is_left(1, 1));
}

/// Guards against limits on requests that are urgent or small, or of deployments that set none.
#[parameterized(
    urgent = { 0, 17_020, Some(LIMIT) },
    small = { 2, 383, Some(LIMIT) },
    no_limit = { 2, 17_020, None },
)]
fn request_is_not_limited(priority: u8, tokens: u32, limit: Option<f64>) {
    assert_eq!(Room::of(priority, tokens, limit), Room::All);
}
