//! What disturbs a world, drawn from a seed.

use std::time::Duration;

use crocuswharf_platform_fakes::replica::Mode;
use crocuswharf_platform_fakes::store::StoreMode;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::proxy::Link;

/// The mean pause between two faults of a world with few routers.
const MEAN_PAUSE: Duration = Duration::from_millis(700);
/// The longest that one fault lasts.
const LONGEST: Duration = Duration::from_secs(5);

/// How large a world is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// The router processes.
    pub routers: usize,
    /// The replicas of the plain service.
    pub app_replicas: usize,
    /// The replicas of the model service.
    pub model_replicas: usize,
    /// How long it is disturbed.
    pub length: Duration,
}

/// One disturbance. Routers and replicas are given by their places; replicas of the plain service come first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A router stands still for a while.
    RouterStops(usize, Duration),
    /// A router is killed and started again after a while.
    RouterKilled(usize, Duration),
    /// A router is told to leave and is started again.
    RouterLeaves(usize),
    /// All routers are killed and started again after a while.
    AllKilled(Duration),
    /// A router reads its settings again, which may have changed.
    RouterReloads(usize),
    /// The link between a router and the store changes for a while.
    StoreLink(usize, Link, Duration),
    /// The store misbehaves towards all for a while.
    Store(StoreMode, Duration),
    /// The store forgets its history.
    StoreCompacts,
    /// A replica misbehaves for a while.
    Replica(usize, Mode, Duration),
    /// The link to a replica changes for a while.
    ReplicaLink(usize, Link, Duration),
    /// A replica crashes, is away for a while and begins another life.
    ReplicaCrashes(usize, Duration),
    /// A replica says that it leaves, is gone after a while, and comes back.
    ReplicaLeaves(usize, Duration),
    /// The oldest valid key is revoked and another one added, right before some routers are killed.
    KeysRotate,
    /// Newer weights are named.
    WeightsNamed,
    /// Entries appear that name no replica.
    EntriesForged,
}

/// The faults of a world, each with the time at which it begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The faults in order of time.
    pub faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Draws a plan; the same seed and size give the same plan.
    #[must_use]
    pub fn draw(seed: u64, size: Size) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::from_millis(300);
        while at < size.length {
            let fault = draw_fault(&mut rng, size);
            // Faults come in series: the same kind strikes again soon after.
            let repeats = if rng.random_bool(0.25) { 3 } else { 1 };
            for repeat in 0..repeats {
                let gap = Duration::from_millis(rng.random_range(50..600));
                faults.push((at + gap * repeat, fault.clone()));
            }
            at += MEAN_PAUSE.mul_f64(rng.random_range(0.1..1.9));
        }
        faults.retain(|(at, _)| *at < size.length);
        faults.sort_by_key(|(at, _)| *at);
        Self { faults }
    }
}

fn draw_fault(rng: &mut impl Rng, size: Size) -> Fault {
    let router = rng.random_range(0..size.routers);
    let replica = rng.random_range(0..size.app_replicas + size.model_replicas);
    let time = LONGEST.mul_f64(rng.random_range(0.04..1.0));
    match rng.random_range(0..22) {
        0..=1 => Fault::RouterStops(router, time),
        2..=3 => Fault::RouterKilled(router, time / 4),
        4..=5 => Fault::RouterLeaves(router),
        6 => Fault::AllKilled(time / 8),
        7 => Fault::RouterReloads(router),
        8..=9 => Fault::StoreLink(router, draw_link(rng), time),
        10..=11 => Fault::Store(draw_store(rng), time),
        12 => Fault::StoreCompacts,
        13..=14 => Fault::Replica(replica, draw_mode(rng), time),
        15..=16 => Fault::ReplicaLink(replica, draw_link(rng), time),
        17 => Fault::ReplicaCrashes(replica, time / 2),
        18 => Fault::ReplicaLeaves(replica, time),
        19 => Fault::KeysRotate,
        20 => Fault::WeightsNamed,
        _ => Fault::EntriesForged,
    }
}

fn draw_link(rng: &mut impl Rng) -> Link {
    match rng.random_range(0..5) {
        0 => Link::Slow(Duration::from_millis(rng.random_range(5..400))),
        1 => Link::CutTowardsServer,
        2 => Link::CutTowardsClient,
        3 => Link::Silent,
        _ => Link::Reset,
    }
}

fn draw_store(rng: &mut impl Rng) -> StoreMode {
    let time = Duration::from_millis(rng.random_range(50..2_500));
    match rng.random_range(0..5) {
        0 => StoreMode::Down,
        1 => StoreMode::Silent,
        2 => StoreMode::Slow(time / 4),
        3 => StoreMode::LoseAnswers,
        _ => StoreMode::ApplyLate(time),
    }
}

fn draw_mode(rng: &mut impl Rng) -> Mode {
    match rng.random_range(0..7) {
        0 => Mode::Slow(Duration::from_millis(rng.random_range(50..3_000))),
        1 => Mode::Fail,
        2 => Mode::Refuse,
        3 => Mode::Break,
        4 => Mode::Mute,
        5 => Mode::WrongId,
        _ => Mode::BreakStream,
    }
}
