//! Replays floods of one account over a fleet with faults. In no window of 8 s may more run than
//! `(rate x 8 + burst) x 1.1 + 190,000`, which `Fleet::run` checks at each run.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use super::fleet::{Fleet, Network};
use super::{limit, ms};
use crate::gateway::quota::QuotaLimit;

const ROUTERS: usize = 24;
const SMALL: QuotaLimit = limit(47_000.0, 94_000.0);
const LARGE: QuotaLimit = limit(1_050_000.0, 1_050_000.0);
const LONG: u32 = 17_032;
const SHORT: u32 = 383;
const SOUND: Network = Network {
    lost: 0.0,
    late: 0.0,
};
const POOR: Network = Network {
    lost: 0.02,
    late: 0.05,
};

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Returns how many requests per second make `times` the rate.
fn flood(limit: QuotaLimit, costs: &[u32], times: f64) -> f64 {
    let sum: u32 = costs.iter().sum();
    times * limit.rate_per_s * costs.len() as f64 / f64::from(sum)
}

/// Fills the bucket and begins a flood of `time` with pauses, in which the bucket fills again.
fn begin_floods(fleet: &mut Fleet, limit: QuotaLimit, times: f64, time: Duration) {
    const COSTS: [u32; 3] = [LONG, SHORT, SHORT];
    fleet.run(s(9));
    let mut start = Duration::ZERO;
    while start < time {
        let length = s(10).min(time - start);
        fleet.load(start, flood(limit, &COSTS, times), &COSTS, length);
        start += s(13);
    }
}

/// The whole quota is used in a flood, and no more.
#[parameterized(
    small_long = { SMALL, &[LONG] },
    small_mixed = { SMALL, &[LONG, SHORT, SHORT, SHORT] },
    large_long = { LARGE, &[LONG] },
    large_mixed = { LARGE, &[LONG, SHORT, SHORT, SHORT] },
)]
fn flood_uses_the_whole_quota(limit: QuotaLimit, costs: &[u32]) {
    let mut fleet = Fleet::new(ROUTERS, limit, SOUND, 1);
    fleet.load(Duration::ZERO, flood(limit, costs, 6.0), costs, s(30));
    fleet.run(s(30));
    let used = fleet.total as f64 / (limit.rate_per_s * 30.0);
    println!(
        "used {used:.3}, asked {}, worst {:.3}",
        fleet.asked, fleet.worst
    );
    assert!(used > 0.9, "{used}");
    assert!(
        used < 1.1 + limit.burst / (limit.rate_per_s * 30.0),
        "{used}"
    );
}

/// A load within the quota is served. A refused request within the quota is lost to its account.
#[parameterized(
    small_long = { SMALL, &[LONG] },
    large_mixed = { LARGE, &[LONG, SHORT, SHORT, SHORT] },
)]
fn load_within_quota_is_served(limit: QuotaLimit, costs: &[u32]) {
    let mut fleet = Fleet::new(ROUTERS, limit, SOUND, 2);
    // The bucket fills.
    fleet.run(s(2));
    fleet.load(Duration::ZERO, flood(limit, costs, 0.5), costs, s(30));
    fleet.run(s(31));
    let refused = fleet.refused as f64 / (fleet.refused + fleet.total) as f64;
    println!("refused {refused:.4}, asked {}", fleet.asked);
    assert!(refused < 0.02, "{refused}");
}

/// The owner dies in a flood, and so do its successors. Two owners granted at once when a router answered for accounts
/// that it no longer owned.
#[parameterized(small = { SMALL }, large = { LARGE })]
fn death_of_owner_keeps_quota(limit: QuotaLimit) {
    for seed in 0..6 {
        let mut fleet = Fleet::new(ROUTERS, limit, POOR, seed);
        begin_floods(&mut fleet, limit, 6.0, s(40));
        for _ in 0..4 {
            fleet.run(s(7));
            let owner = fleet.owner();
            fleet.kill(owner);
            fleet.run(s(3));
            fleet.restart(owner);
        }
        println!("worst {:.3}", fleet.worst);
    }
}

/// A fleet is cut in two, for longer than the membership needs to notice, and reconnected.
#[parameterized(
    small_half = { SMALL, ROUTERS / 2 },
    small_few = { SMALL, 3 },
    large_half = { LARGE, ROUTERS / 2 },
    large_few = { LARGE, 3 },
)]
fn partition_keeps_quota(limit: QuotaLimit, count: usize) {
    for seed in 0..4 {
        let mut fleet = Fleet::new(ROUTERS, limit, SOUND, seed);
        begin_floods(&mut fleet, limit, 6.0, s(120));
        fleet.run(s(10));
        fleet.cut(count);
        fleet.run(s(60));
        fleet.cut(0);
        fleet.run(s(10));
        // Flaps.
        for _ in 0..10 {
            fleet.cut(count);
            fleet.run(s(2));
            fleet.cut(0);
            fleet.run(s(2));
        }
        println!("worst {:.3}", fleet.worst);
    }
}

/// The owner and other routers are paused for shorter and longer than their grants last.
#[parameterized(small = { SMALL }, large = { LARGE })]
fn pause_keeps_quota(limit: QuotaLimit) {
    for seed in 0..4 {
        let mut fleet = Fleet::new(ROUTERS, limit, POOR, seed);
        begin_floods(&mut fleet, limit, 6.0, s(40));
        for pause_ms in [300, 600, 900, 1_500, 4_000, 8_000] {
            fleet.run(s(3));
            let owner = fleet.owner();
            fleet.pause(owner, ms(pause_ms));
            fleet.pause((owner + 1) % ROUTERS, ms(pause_ms / 2));
            fleet.run(ms(pause_ms));
        }
        println!("worst {:.3}", fleet.worst);
    }
}

/// The limit rises and falls, at all routers at once and at one after another. A change that filled the bucket let a
/// burst through each time.
#[test]
fn changes_of_limit_keep_quota() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut fleet = Fleet::new(ROUTERS, SMALL, SOUND, 3);
    begin_floods(&mut fleet, SMALL, 12.0, s(100));
    for change in 0..60 {
        let next = limit(
            rng.random_range(47_000.0..200_000.0),
            rng.random_range(0.0..150_000.0),
        );
        if change % 4 == 0 {
            for router in 0..ROUTERS {
                fleet.set_limit(Some(router), next);
                fleet.run(ms(20));
            }
        } else {
            fleet.set_limit(None, next);
        }
        fleet.run(ms(rng.random_range(100..2_000)));
    }
}

/// All faults at random. The seeds that have failed stay in the list.
#[test]
fn random_faults_keep_quota() {
    let mut worst: f64 = 0.0;
    for seed in 0..24 {
        let quota = if seed % 2 == 0 { SMALL } else { LARGE };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::new(ROUTERS, quota, POOR, seed);
        begin_floods(&mut fleet, quota, 6.0, s(60));
        for _ in 0..20 {
            let owner = fleet.owner();
            let index = if rng.random_bool(0.5) {
                owner
            } else {
                rng.random_range(0..ROUTERS)
            };
            match rng.random_range(0..6) {
                0 => fleet.kill(index),
                1 => fleet.restart(index),
                2 => fleet.pause(index, ms(rng.random_range(100..4_000))),
                3 => fleet.cut(rng.random_range(1..ROUTERS)),
                4 => fleet.cut(0),
                _ => fleet.leave(index),
            }
            fleet.run(ms(rng.random_range(200..3_000)));
        }
        worst = worst.max(fleet.worst);
    }
    println!("worst {worst:.3}");
}
