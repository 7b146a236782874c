//! Limits over a whole fleet in one process: what is admitted against what is allowed.

use std::collections::HashMap;
use std::time::Duration;

use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::account::AccountLimits;
use crate::admission::*;
use crate::id::{AccountId, RouterId};
use crate::membership::Ring;
use crate::peer::{Body, Kind, wire_bytes};

/// Ticks and hops between routers take this long, far more than on a real network.
const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_SECOND: usize = 10;
const LIGHT_ACCOUNTS: usize = 41_000;

struct Fleet {
    rng: ChaCha8Rng,
    ring: Ring,
    routers: Vec<RouterId>,
    places: HashMap<RouterId, usize>,
    limiters: Vec<Limiter>,
    trees: Vec<UsageTree>,
    tick: usize,
    sent_bytes: Vec<usize>,
}

/// An account's demand: its limit, what it asks for in requests per second, and how that is spread over routers.
struct Demand {
    name: AccountId,
    limit: f64,
    offered: f64,
    spread: Vec<f64>,
    admitted: Vec<u32>,
    refused: u32,
}

impl Demand {
    fn new(name: &str, limit: f64, offered: f64, spread: Vec<f64>) -> Self {
        Self {
            name: name.into(),
            limit,
            offered,
            spread,
            admitted: Vec::new(),
            refused: 0,
        }
    }

    /// Returns the most admitted in any `seconds` from tick `from` on, over what is allowed there.
    fn worst(&self, seconds: usize, from: usize) -> f64 {
        let allowed = self.limit * seconds as f64;
        self.admitted[from..]
            .windows(seconds * TICKS_PER_SECOND)
            .map(|window| f64::from(window.iter().sum::<u32>()) / allowed)
            .fold(0.0, f64::max)
    }
}

fn zipf(size: usize, reversed: bool) -> Vec<f64> {
    let mut weights: Vec<f64> = (1..=size)
        .map(|rank| 1.0 / (rank as f64).powf(0.8))
        .collect();
    if reversed {
        weights.reverse();
    }
    normalised(weights)
}

fn even(size: usize) -> Vec<f64> {
    normalised(vec![1.0; size])
}

fn at_one(size: usize) -> Vec<f64> {
    let mut weights = vec![0.0; size];
    weights[size / 2] = 1.0;
    weights
}

fn normalised(weights: Vec<f64>) -> Vec<f64> {
    let sum: f64 = weights.iter().sum();
    weights.into_iter().map(|weight| weight / sum).collect()
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let routers: Vec<RouterId> = (0..size)
            .map(|index| format!("router-{index}").into())
            .collect();
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            ring: Ring::new(&routers),
            limiters: (0..size).map(|_| Limiter::new(size)).collect(),
            trees: (0..size).map(|_| UsageTree::default()).collect(),
            sent_bytes: vec![0; size],
            places: routers.iter().cloned().zip(0..).collect(),
            routers,
            tick: 0,
        }
    }

    fn now(&self) -> Duration {
        TICK * self.tick as u32
    }

    fn run(&mut self, demands: &mut [Demand], light_per_second: f64, seconds: usize) {
        for _ in 0..seconds * TICKS_PER_SECOND {
            self.tick += 1;
            for demand in demands.iter_mut() {
                self.offer(demand);
            }
            self.offer_light(light_per_second);
            self.exchange();
        }
    }

    fn offer(&mut self, demand: &mut Demand) {
        let limits = limits(demand.limit);
        let mut admitted = 0;
        for index in 0..self.routers.len() {
            let expected = demand.offered * demand.spread[index] * TICK.as_secs_f64();
            let count = expected as u32 + u32::from(self.rng.random_bool(expected.fract()));
            for _ in 0..count {
                if self.admit(index, &demand.name, &limits) {
                    admitted += 1;
                } else {
                    demand.refused += 1;
                }
            }
        }
        demand.admitted.push(admitted);
    }

    /// Offers requests of the many small accounts, each far below its limit.
    fn offer_light(&mut self, per_second: f64) {
        let count = (per_second * TICK.as_secs_f64()) as u32;
        for _ in 0..count {
            let index = self.rng.random_range(0..self.routers.len());
            let account = self.rng.random_range(0..LIGHT_ACCOUNTS);
            let name = AccountId::from(format!("light-{account}"));
            assert!(
                self.admit(index, &name, &limits(100.0)),
                "an account far below its limit was refused"
            );
        }
    }

    fn admit(&mut self, index: usize, account: &AccountId, limits: &AccountLimits) -> bool {
        let now = self.now();
        let decision = self.limiters[index].admit(account, limits, 100, now);
        let admitted = decision == LimitDecision::Admitted;
        if admitted {
            self.limiters[index].finish(account, 100, now);
        }
        admitted
    }

    fn exchange(&mut self) {
        let now = self.now();
        let mut messages = Vec::new();
        for index in 0..self.routers.len() {
            let usage = self.limiters[index].report(now);
            let own = &self.routers[index];
            for (to, message) in self.trees[index].tick(own, &self.ring, &usage, now) {
                self.sent_bytes[index] += wire_bytes(&Body::encode(Kind::Usage, &message));
                messages.push((own.clone(), to, message));
            }
            let (totals, at) = (self.trees[index].totals(), self.trees[index].totals_at());
            self.limiters[index].set_totals(&totals, self.routers.len(), at);
        }
        for (from, to, message) in messages {
            let message =
                Usage::decode(message.encode_to_vec().as_slice()).expect("was just encoded");
            self.trees[self.places[&to]].receive(&from, &message, now);
        }
    }
}

fn limits(requests_per_second: f64) -> AccountLimits {
    AccountLimits {
        requests_per_second,
        tokens_per_second: 1e9,
        concurrent_requests: 100_000,
    }
}

/// Returns the most that may be admitted in 10 s from cold, over what is allowed there.
///
/// Each router may admit a burst of 4 requests and go into debt by one more, and uses two equal shares for the time
/// that the fleet's demand takes to go round.
fn cold_bound(size: usize, limit: f64) -> f64 {
    let burst = (4.0 + 1.0) * size as f64;
    let round = 2.0 * limit * 1.5;
    let settled = 1.01 * limit * 10.0;
    (burst + round + settled) / (limit * 10.0)
}

#[yare::parameterized(
    nine = { 9, 150.0 },
    four_hundred = { 400, 6_600.0 },
)]
fn admit_fleet_overshoot(size: usize, light_per_second: f64) {
    let mut fleet = Fleet::new(size, 17);
    fleet.run(&mut [], light_per_second, 3);
    let mut demands = [
        Demand::new(
            "large, skewed, three times its limit",
            1_000.0,
            3_000.0,
            zipf(size, false),
        ),
        Demand::new(
            "middle, skewed, three times its limit",
            100.0,
            300.0,
            zipf(size, false),
        ),
        Demand::new(
            "middle, even, three times its limit",
            100.0,
            300.0,
            even(size),
        ),
        Demand::new(
            "middle, even, twenty times its limit",
            100.0,
            2_000.0,
            even(size),
        ),
        Demand::new(
            "middle, at one router, three times its limit",
            100.0,
            300.0,
            at_one(size),
        ),
        Demand::new(
            "middle, skewed, half its limit",
            200.0,
            100.0,
            zipf(size, false),
        ),
        Demand::new(
            "middle, at one router, half its limit",
            200.0,
            100.0,
            at_one(size),
        ),
    ];
    fleet.run(&mut demands, light_per_second, 20);
    let settled = 10 * TICKS_PER_SECOND;
    for demand in &mut demands {
        println!(
            "{size} routers, {}: admitted over limit in the worst 1 s from cold {:.2}, worst 10 s {:.2}, settled 10 s {:.3}, refused {}",
            demand.name,
            demand.worst(1, 0),
            demand.worst(10, 0),
            demand.worst(10, settled),
            demand.refused,
        );
        assert!(demand.worst(10, settled) <= 1.05, "{}", demand.name);
        assert!(
            demand.worst(10, 0) <= cold_bound(size, demand.limit),
            "{}",
            demand.name
        );
        demand.refused = 0;
    }
    // The skew turns round from one moment to the next.
    for demand in demands
        .iter_mut()
        .filter(|demand| demand.name.contains("skewed"))
    {
        demand.spread = zipf(size, true);
    }
    let turned = demands[0].admitted.len();
    fleet.sent_bytes.fill(0);
    fleet.run(&mut demands, light_per_second, 15);
    for demand in &demands {
        println!(
            "{size} routers, {}: after the skew turned, worst 1 s {:.2}, worst 10 s {:.2}, refused {}",
            demand.name,
            demand.worst(1, turned),
            demand.worst(10, turned),
            demand.refused
        );
        assert!(demand.worst(10, turned) <= 1.25, "{}", demand.name);
    }
    let mean = fleet.sent_bytes.iter().sum::<usize>() / size / 15;
    let worst = fleet.sent_bytes.iter().max().copied().unwrap_or_default() / 15;
    println!("{size} routers: {mean} B/s of usage sent per router, {worst} at the busiest");
    assert!(mean <= 1_024 && worst <= 3_072);
}
