//! Replays limits that a replica names, over a fleet with faults. In no window of 4 s may more run than
//! `rate x 4 x 1.5 + 5`, which `Fleet::run` checks at each run.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use super::fleet::{Fleet, Network, Rule};
use super::ms;
use crate::gateway::replica_limit::granted_limit;

const RULE: Rule = Rule {
    window: Duration::from_secs(4),
    factor: 1.5,
    slack: 5.0,
    is_unknown: true,
};
const SOUND: Network = Network {
    lost: 0.0,
    late: 0.0,
};
const POOR: Network = Network {
    lost: 0.02,
    late: 0.05,
};

fn fleet(routers: usize, rate_per_s: f64, network: Network, seed: u64) -> Fleet {
    Fleet::with_rule(routers, granted_limit(rate_per_s), network, seed, RULE)
}

/// A limited replica still gets nearly what it named. A burst of one request at each of 90 or 400 routers alone would exceed its
/// limit.
#[parameterized(
    few_routers = { 9, 5.9, 60.0, 0.7 },
    many_routers = { 90, 5.9, 60.0, 0.7 },
    fast_replica = { 9, 80.0, 200.0, 0.8 },
    target_size = { 400, 1.0, 100.0, 0.5 },
)]
fn limited_replica_is_used(routers: usize, rate_per_s: f64, load_per_s: f64, least: f64) {
    let mut fleet = fleet(routers, rate_per_s, SOUND, 1);
    let time = Duration::from_secs(20);
    fleet.load(Duration::ZERO, load_per_s, &[1], time);
    fleet.run(time);
    let used = fleet.total as f64 / (rate_per_s * time.as_secs_f64());
    println!("used {used:.3}, asked {}", fleet.asked);
    assert!(used > least, "{used}");
}

/// The owner dies and is back, again and again, in a storm of retries.
#[parameterized(slow = { 1.0 }, usual = { 5.9 }, fast = { 80.0 })]
fn death_of_owner_keeps_limit(rate_per_s: f64) {
    for seed in 0..6 {
        let mut fleet = fleet(24, rate_per_s, POOR, seed);
        fleet.load(ms(0), 20.0 * rate_per_s, &[1], Duration::from_secs(40));
        for _ in 0..4 {
            fleet.run(Duration::from_secs(6));
            let owner = fleet.owner();
            fleet.kill(owner);
            fleet.run(Duration::from_secs(3));
            fleet.restart(owner);
        }
    }
}

/// The limit changes at all routers, half a second apart.
#[test]
fn changes_of_limit_keep_limit() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut fleet = fleet(24, 6.0, SOUND, 5);
    fleet.load(ms(0), 200.0, &[1], Duration::from_secs(60));
    for _ in 0..20 {
        let next = granted_limit(rng.random_range(1.0..12.0));
        fleet.run(Duration::from_secs(2));
        fleet.set_limit(Some(0), next);
        fleet.run(ms(500));
        fleet.set_limit(None, next);
    }
}

/// Routers die, start, are paused and cut off at random.
#[test]
fn random_faults_keep_limit() {
    for seed in 0..24 {
        let rate_per_s = [1.0, 5.9, 20.0][seed as usize % 3];
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = fleet(24, rate_per_s, POOR, seed);
        fleet.load(ms(0), 10.0 * rate_per_s, &[1], Duration::from_secs(40));
        for _ in 0..20 {
            let owner = fleet.owner();
            let index = if rng.random_bool(0.5) {
                owner
            } else {
                rng.random_range(0..24)
            };
            match rng.random_range(0..6) {
                0 => fleet.kill(index),
                1 => fleet.restart(index),
                2 => fleet.pause(index, ms(rng.random_range(100..4_000))),
                3 => fleet.cut(rng.random_range(1..24)),
                4 => fleet.cut(0),
                _ => fleet.leave(index),
            }
            fleet.run(ms(rng.random_range(200..2_000)));
        }
    }
}
