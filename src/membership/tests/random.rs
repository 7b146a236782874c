//! Randomised runs: faults together and twice, then agreement. `CROCUSWHARF_CASES` raises the number of runs.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::PATIENCE;
use super::fleet::Fleet;

const CASES: u64 = 24;

fn cases() -> u64 {
    std::env::var("CROCUSWHARF_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(CASES)
}

fn inject(fleet: &mut Fleet, rng: &mut ChaCha8Rng) {
    let size = fleet.nodes.len();
    let index = rng.random_range(0..size);
    match rng.random_range(0..9) {
        0 => fleet.crash(index),
        1 | 2 => fleet.start(index),
        3 => {
            let pause = Duration::from_millis(rng.random_range(300..20_000));
            fleet.nodes[index].paused_until = fleet.now + pause;
        }
        4 | 5 => {
            fleet.cuts.insert((index, rng.random_range(0..size)));
        }
        6 => fleet.cut_zone(rng.random_range(0..3)),
        7 => fleet.loss_percent = rng.random_range(0..40),
        _ => fleet.heal(),
    }
}

#[test]
fn membership_agrees_after_faults_stop() {
    for seed in 0..cases() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let size = rng.random_range(3..24);
        let mut fleet = Fleet::new(size, seed);
        fleet.run_for(Duration::from_secs(rng.random_range(0..20)));
        for _ in 0..rng.random_range(1..30) {
            inject(&mut fleet, &mut rng);
            fleet.run_for(Duration::from_millis(rng.random_range(100..8_000)));
        }
        fleet.heal();
        // Some seed must run, or the survivors could not find each other.
        if fleet.nodes[0].state.is_none() {
            fleet.start(0);
        }
        let agreed = fleet.time_to_agreement(PATIENCE);
        assert!(agreed.is_some(), "seed {seed}: {:?}", fleet.disagreement());
    }
}
