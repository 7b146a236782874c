//! Randomised and focused tests of the claims.

mod cost;
mod parts;
mod store;
mod world;

use self::parts::{Ends, Faults};
use self::world::World;

/// Prints the seed of the world that fails.
struct SeedPrinter(u64);

impl Drop for SeedPrinter {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("failing seed: {}", self.0);
        }
    }
}

fn cases(default: u64) -> u64 {
    let cases = std::env::var("CROCUSWHARF_CASES").ok();
    cases.map_or(default, |cases| cases.parse().expect("a number of cases"))
}

fn run_worlds(count: u64, faults: Faults) -> Ends {
    let mut total = Ends::default();
    for seed in 0..count {
        let _printer = SeedPrinter(seed);
        let mut world = World::new(seed, faults);
        world.run();
        total.answered += world.ends.answered;
        total.answer_not_kept += world.ends.answer_not_kept;
        total.unknown += world.ends.unknown;
        total.not_run += world.ends.not_run;
        total.runs += world.ends.runs;
        total.takeovers += world.ends.takeovers;
    }
    println!("{count} interleavings: {total:?}");
    total
}

#[test]
fn claims_all_faults() {
    let ends = run_worlds(cases(2_000), Faults::All);
    assert!(ends.answered > 0 && ends.answer_not_kept > 0 && ends.takeovers > 0);
    assert!(ends.unknown > 0 && ends.not_run > 0);
}

#[test]
fn claims_wild_clocks() {
    let ends = run_worlds(cases(1_000), Faults::WildClocks);
    assert!(ends.runs > 0 && ends.unknown > 0);
}

#[test]
fn claims_no_faults() {
    let ends = run_worlds(200, Faults::None);
    assert!(ends.answered > 0);
}
