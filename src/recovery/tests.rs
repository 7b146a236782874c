use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;

const STEP: Duration = Duration::from_millis(10);

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8], 7_000))
}

fn items(count: usize, bytes: usize) -> Vec<Bytes> {
    (0..count)
        .map(|index| vec![index as u8; bytes].into())
        .collect()
}

fn peer(index: usize, in_zone: bool) -> RecoveryPeer {
    RecoveryPeer {
        address: address(index),
        in_zone,
    }
}

#[test]
fn next_zone_first_then_elsewhere() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut recovery = Recovery::new(&[Section::Health], Duration::ZERO);
    let peers = [peer(1, false), peer(2, true), peer(3, false)];
    let asks = recovery.next(&peers, Duration::ZERO, &mut rng);
    assert_eq!(asks[0].to, address(2));
    let unknown = StateChunk::default();
    recovery.take(address(2), Section::Health, unknown, STEP);
    let asks = recovery.next(&peers, STEP * 2, &mut rng);
    assert!([address(1), address(3)].contains(&asks[0].to));
}

#[test]
fn next_silent_peer_is_left() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut recovery = Recovery::new(&[Section::Health], Duration::ZERO);
    let peers = [peer(1, true), peer(2, false)];
    assert_eq!(
        recovery.next(&peers, Duration::ZERO, &mut rng)[0].to,
        address(1)
    );
    assert!(recovery.next(&peers, STEP, &mut rng).is_empty());
    let later = Duration::from_secs(2);
    assert_eq!(recovery.next(&peers, later, &mut rng)[0].to, address(2));
    assert!(
        recovery
            .take(address(1), Section::Health, StateChunk::default(), later)
            .is_empty()
    );
}

#[test]
fn next_no_peer_gives_up() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut recovery = Recovery::new(&Section::ALL, Duration::ZERO);
    assert!(recovery.next(&[], Duration::ZERO, &mut rng).is_empty());
    assert!(!recovery.is_done());
    assert!(
        recovery
            .next(&[], Duration::from_secs(60), &mut rng)
            .is_empty()
    );
    assert!(recovery.is_done());
}

/// Returns the generation of a router's state, which it keeps for ten seconds at a time.
fn generation_of(router: usize, now: Duration) -> u64 {
    1 + (now + Duration::from_millis(1_100) * router as u32).as_secs() / 10
}

/// One run: some of nine routers restart at once, the others serve, may crash, and change their state meanwhile.
///
/// Returns when the last one had recovered.
fn run(seed: u64, restarted: usize) -> Duration {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let state = items(rng.random_range(0..400), rng.random_range(1..4_000));
    let mut servers: Vec<StateServer> = (0..9).map(|_| StateServer::new(Duration::ZERO)).collect();
    let mut recoveries: BTreeMap<usize, Recovery> = (0..restarted)
        .map(|index| (index, Recovery::new(&[Section::Health], Duration::ZERO)))
        .collect();
    let mut taken: BTreeMap<usize, Vec<Bytes>> = BTreeMap::new();
    let mut done: BTreeSet<usize> = BTreeSet::new();
    // One of those that know the state stays for good.
    let mut crashed: BTreeSet<usize> = BTreeSet::new();
    let mut now = Duration::ZERO;
    while done.len() < restarted {
        now += STEP;
        if rng.random_range(0..100) == 0 {
            crashed.insert(rng.random_range(restarted..9).min(7));
        }
        for index in 0..restarted {
            let peers: Vec<RecoveryPeer> = (0..9)
                .filter(|other| *other != index)
                .map(|other| peer(other, other % 3 == index % 3))
                .collect();
            let recovery = recoveries.get_mut(&index).expect("the router restarts");
            for ask in recovery.next(&peers, now, &mut rng) {
                let to = (0..9)
                    .find(|other| address(*other) == ask.to)
                    .expect("is a router");
                if crashed.contains(&to) && to >= restarted {
                    continue;
                }
                let known = (to >= restarted || done.contains(&to)).then_some(&state[..]);
                let chunk =
                    servers[to].chunk(ask.request, generation_of(to, now), known, now, &mut rng);
                let bytes: usize = chunk.items.iter().map(Bytes::len).sum();
                assert!(bytes <= MAX_CHUNK_BYTES, "seed {seed}");
                if chunk.first_item == 0 {
                    taken.insert(index, Vec::new());
                }
                let received = recovery.take(ask.to, Section::Health, chunk, now);
                taken.entry(index).or_default().extend(received);
            }
            if recovery.is_done() && done.insert(index) {
                assert_eq!(taken[&index], state, "seed {seed}: router {index}");
            }
        }
        assert!(
            now < Duration::from_secs(29),
            "seed {seed}: not recovered in time"
        );
    }
    now
}

#[yare::parameterized(one_of_nine = { 1 }, two_thirds = { 6 }, eight_of_nine = { 8 })]
fn recovery_whole_state_once(restarted: usize) {
    let mut worst = Duration::ZERO;
    for seed in 0..100 {
        worst = worst.max(run(seed, restarted));
    }
    println!("{restarted} of 9 restarted: recovered within {worst:?} in the worst of 100 runs");
}

#[test]
fn chunk_herd_is_served_within_rate() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut server = StateServer::new(Duration::ZERO);
    let state = items(200, 8_000);
    let mut served = 0;
    let mut refused = 0;
    for step in 0..1_000 {
        let request = StateRequest::default();
        let chunk = server.chunk(request, 1, Some(&state), STEP * step / 10, &mut rng);
        served += chunk.items.iter().map(Bytes::len).sum::<usize>();
        if chunk.items.is_empty() {
            refused += 1;
            assert!((50..150).contains(&chunk.retry_after_ms));
        }
    }
    assert!(refused > 0);
    assert!(served <= 2 * 1_048_576 + MAX_CHUNK_BYTES, "{served}");
}

#[test]
fn next_all_unknown_asks_ever_less() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut recovery = Recovery::new(&[Section::Health], Duration::ZERO);
    let peers: Vec<RecoveryPeer> = (1..40).map(|index| peer(index, true)).collect();
    let mut asked = 0;
    for step in 0..1_000 {
        let now = STEP * step;
        for ask in recovery.next(&peers, now, &mut rng) {
            asked += 1;
            recovery.take(ask.to, Section::Health, StateChunk::default(), now);
        }
    }
    assert!((8..20).contains(&asked), "{asked}");
}
