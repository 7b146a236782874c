//! Fault plans, generated from a seed.

use std::time::Duration;

use crocuswharf_platform_fakes::daemon::WEIGHTS_LIMIT;
use crocuswharf_platform_fakes::replica::Mode;
use crocuswharf_platform_fakes::store::StoreMode;
use rand::seq::SliceRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::configuration::ConfigurationChange;
use crate::partition::Cut;
use crate::proxy::Link;

/// The mean interval between two faults in a cluster with few routers.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(700);
/// The maximum duration of one fault.
const MAX_FAULT_DURATION: Duration = Duration::from_secs(5);

/// How long the faults for a stable cluster last, which is longer than the time limit for new weights.
const LATE_FAULTS_TIME: Duration = WEIGHTS_LIMIT.saturating_add(Duration::from_millis(2_500));

/// How long after their time the ends of faults are certainly due.
const SCHEDULING_MARGIN: Duration = Duration::from_secs(1);

/// The size of a test cluster and the duration of its faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// The number of router processes.
    pub routers: usize,
    /// The number of replicas of the service without a model.
    pub app_replicas: usize,
    /// The number of replicas of the model service.
    pub model_replicas: usize,
    /// How long faults are injected.
    pub length: Duration,
    /// Faults that are injected beside those of the base plan, which doesn't depend on them.
    pub overlays: &'static [Overlay],
}

/// A kind of faults that overlap those of the base plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overlay {
    /// Replicas fall silent and go on, while others refuse, break or don't respond.
    Silence,
    /// The operator changes the configuration in quick series.
    Configuration,
    /// A request that crashes the replicas that run it comes again and again. It adds no faults to the plan.
    CrashingRequest,
    /// The operator also changes the fields of the configuration that [`Self::Configuration`] leaves as they are.
    Fields,
    /// Replicas differ in speed, and some callers read slowly. It adds no faults to the plan.
    Uneven,
    /// Replicas start with different software versions, routers and replicas are killed under long streams, and callers take
    /// up those that break off.
    Versions,
    /// New weights are named in quick succession, while replicas ignore orders and requests wait there before they begin.
    Weights,
    /// Routers are cut off from all replicas.
    Cuts,
}

/// One injected fault. Routers and replicas are given by index; the replicas of the service without a model come first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A router is paused with SIGSTOP for this time.
    RouterPaused(usize, Duration),
    /// A router is killed and started again after this time.
    RouterKilled(usize, Duration),
    /// A router is shut down with SIGTERM and started again.
    RouterTerminated(usize),
    /// All routers are killed and started again after this time.
    AllRoutersKilled(Duration),
    /// A router reloads its settings, which may have changed, on SIGHUP.
    RouterReloaded(usize),
    /// The link between a router and the store changes its state for this time.
    StoreLink(usize, Link, Duration),
    /// The store misbehaves towards all its clients for this time.
    Store(StoreMode, Duration),
    /// The store drops its change history, so that watchers must list the objects again.
    StoreCompacted,
    /// These replicas send nothing for this time, and then go on.
    ReplicasSilent(Vec<usize>, Duration),
    /// The operator changes the configuration.
    ConfigurationChanged(ConfigurationChange),
    /// A replica misbehaves for this time.
    Replica(usize, Mode, Duration),
    /// The link to a replica changes its state for this time.
    ReplicaLink(usize, Link, Duration),
    /// A replica crashes and restarts as a new instance after this time.
    ReplicaCrashed(usize, Duration),
    /// A replica registers as draining, unregisters after half of this time, and restarts at its end.
    ReplicaDrained(usize, Duration),
    /// A new key is added, and the older keys are revoked soon after.
    KeysRotated,
    /// A newer version of the weights is published.
    WeightsPublished,
    /// These routers are cut off from all replicas for this time, each in its own way.
    RoutersCutOff(Vec<(usize, Cut)>, Duration),
    /// These replicas neither answer orders nor carry them out for this time.
    OrdersIgnored(Vec<usize>, Duration),
    /// Server entries that describe no replica are written to the store.
    InvalidEntriesAdded,
}

/// The faults of a run, each with the time at which it begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// The faults, sorted by the time since the start of the run.
    pub faults: Vec<(Duration, Fault)>,
    /// Faults for a stable cluster after all others have ended, each with its time from then on.
    pub late_faults: Vec<(Duration, Fault)>,
}

impl FaultPlan {
    /// Generates a plan; the same seed and size give the same plan.
    #[must_use]
    pub fn generate(seed: u64, size: Size) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut late_faults = Vec::new();
        let mut at = Duration::from_millis(300);
        while at < size.length {
            let fault = random_fault(&mut rng, size);
            // Some faults come in bursts: the same fault is repeated shortly after.
            let repeats = if rng.random_bool(0.25) { 3 } else { 1 };
            for repeat in 0..repeats {
                let gap = Duration::from_millis(rng.random_range(50..600));
                faults.push((at + gap * repeat, fault.clone()));
            }
            at += MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.1..1.9));
        }
        for overlay in size.overlays {
            // A generator of its own keeps the base plan and the other overlays as they are.
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(1 + *overlay as u64);
            match overlay {
                Overlay::Silence => add_silences(&mut rng, size, &mut faults),
                Overlay::Configuration => add_changes(&mut rng, size, &mut faults),
                Overlay::CrashingRequest | Overlay::Uneven => {}
                Overlay::Versions => add_kills(&mut rng, size, &mut faults),
                Overlay::Cuts => {
                    add_cuts(&mut rng, size, &mut faults);
                    let at = late_faults_end(&late_faults);
                    let late_cut = late_cut(&mut rng, size).into_iter();
                    late_faults.extend(late_cut.map(|(after, fault)| (at + after, fault)));
                }
                Overlay::Weights => {
                    add_rollouts(&mut rng, size, &mut faults);
                    late_faults = held_rollout(&mut rng, size, LATE_FAULTS_TIME);
                }
                Overlay::Fields => add_field_changes(&mut rng, size, &mut faults),
            }
        }
        faults.retain(|(at, _)| *at < size.length);
        faults.sort_by_key(|(at, _)| *at);
        Self {
            faults,
            late_faults,
        }
    }
}

/// Returns how long after their start all of these faults have ended.
pub(crate) fn late_faults_end(faults: &[(Duration, Fault)]) -> Duration {
    let starts = faults.iter().map(|(at, _)| *at);
    let last = starts.max();
    last.map_or(Duration::ZERO, |at| {
        at + LATE_FAULTS_TIME + SCHEDULING_MARGIN
    })
}

/// Returns by how much longer than the others each of these replicas takes between two events, from 0.6 to 1.6 times.
pub(crate) fn slowness(seed: u64, replicas: usize) -> Vec<f64> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(1 + Overlay::Uneven as u64);
    (0..replicas).map(|_| rng.random_range(0.6..1.6)).collect()
}

fn random_fault(rng: &mut impl Rng, size: Size) -> Fault {
    let router = rng.random_range(0..size.routers);
    let replica = rng.random_range(0..size.app_replicas + size.model_replicas);
    let time = MAX_FAULT_DURATION.mul_f64(rng.random_range(0.04..1.0));
    match rng.random_range(0..22) {
        0..=1 => Fault::RouterPaused(router, time),
        2..=3 => Fault::RouterKilled(router, time / 4),
        4..=5 => Fault::RouterTerminated(router),
        6 => Fault::AllRoutersKilled(time / 8),
        7 => Fault::RouterReloaded(router),
        8..=9 => Fault::StoreLink(router, random_link(rng), time),
        10..=11 => Fault::Store(random_store_mode(rng), time),
        12 => Fault::StoreCompacted,
        13..=14 => Fault::Replica(replica, random_replica_mode(rng), time),
        15..=16 => Fault::ReplicaLink(replica, random_link(rng), time),
        17 => Fault::ReplicaCrashed(replica, time / 2),
        18 => Fault::ReplicaDrained(replica, time),
        19 => Fault::KeysRotated,
        20 => Fault::WeightsPublished,
        _ => Fault::InvalidEntriesAdded,
    }
}

/// Lets one, half or all replicas of a service fall silent, while some of the others take no requests.
fn add_silences(rng: &mut impl Rng, size: Size, faults: &mut Vec<(Duration, Fault)>) {
    let mut at = MEAN_FAULT_INTERVAL;
    while at < size.length {
        // Most silences end before their requests' deadlines.
        let longest_ms = if rng.random_bool(0.75) { 1_800 } else { 3_000 };
        let time = Duration::from_millis(rng.random_range(500..longest_ms));
        let mut replicas: Vec<usize> = if rng.random_bool(0.4) {
            (0..size.app_replicas).collect()
        } else {
            (size.app_replicas..size.app_replicas + size.model_replicas).collect()
        };
        replicas.shuffle(rng);
        let silent = match rng.random_range(0..3) {
            0 => 1,
            1 => replicas.len() / 2,
            _ => replicas.len(),
        };
        let others = replicas.split_off(silent);
        faults.push((at, Fault::ReplicasSilent(replicas, time)));
        let refusing_share = rng.random_range(0.0..1.5_f64).min(1.0);
        for other in others {
            if rng.random_bool(refusing_share) {
                let mode = match rng.random_range(0..4) {
                    0 => Mode::Break,
                    1 => Mode::Mute,
                    _ => Mode::Refuse,
                };
                let from = at + time.mul_f64(rng.random_range(0.0..0.7));
                faults.push((from, Fault::Replica(other, mode, time)));
            }
        }
        at += time + MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.0..2.0));
    }
}

/// Adds changes of the configuration in quick series.
fn add_changes(rng: &mut impl Rng, size: Size, faults: &mut Vec<(Duration, Fault)>) {
    let mut at = MEAN_FAULT_INTERVAL;
    while at < size.length {
        for _ in 0..rng.random_range(2..9) {
            let change = ConfigurationChange::random(rng);
            faults.push((at, Fault::ConfigurationChanged(change)));
            at += Duration::from_millis(rng.random_range(30..500));
        }
        at += MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.0..3.0));
    }
}

/// Adds changes of the other fields of the configuration in series.
fn add_field_changes(rng: &mut impl Rng, size: Size, faults: &mut Vec<(Duration, Fault)>) {
    let mut at = MEAN_FAULT_INTERVAL;
    while at < size.length {
        for _ in 0..rng.random_range(2..9) {
            let (change, next) = ConfigurationChange::random_field(rng);
            for change in std::iter::once(change).chain(next) {
                faults.push((at, Fault::ConfigurationChanged(change)));
                at += Duration::from_millis(rng.random_range(50..900));
            }
        }
        at += MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.0..3.0));
    }
}

/// Kills routers, one or all, and replicas of the model service.
fn add_kills(rng: &mut impl Rng, size: Size, faults: &mut Vec<(Duration, Fault)>) {
    let mut at = MEAN_FAULT_INTERVAL;
    while at < size.length {
        let time = Duration::from_millis(rng.random_range(200..900));
        let replica = size.app_replicas + rng.random_range(0..size.model_replicas);
        faults.push((
            at,
            match rng.random_range(0..5) {
                0 => Fault::AllRoutersKilled(time / 2),
                1..=2 => Fault::RouterKilled(rng.random_range(0..size.routers), time),
                _ => Fault::ReplicaCrashed(replica, time),
            },
        ));
        at += Duration::from_millis(rng.random_range(600..2_000));
    }
}

/// Adds series of new weights, held up for less or more than their time limit.
fn add_rollouts(rng: &mut impl Rng, size: Size, faults: &mut Vec<(Duration, Fault)>) {
    let mut at = MEAN_FAULT_INTERVAL;
    while at < size.length {
        let time = WEIGHTS_LIMIT.mul_f64(rng.random_range(0.2..1.6));
        let rollout = held_rollout(rng, size, time).into_iter();
        faults.extend(rollout.map(|(after, fault)| (at + after, fault)));
        at += time + MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.0..4.0));
    }
}

/// Names new weights in a quick series while some or all replicas ignore orders for this time, and while requests wait at
/// most replicas before they begin.
fn held_rollout(rng: &mut impl Rng, size: Size, time: Duration) -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    let mut replicas: Vec<usize> =
        (size.app_replicas..size.app_replicas + size.model_replicas).collect();
    for replica in &replicas {
        if rng.random_bool(0.2) {
            continue;
        }
        let wait = Duration::from_millis(rng.random_range(200..3_000));
        let mode = if rng.random_bool(0.6) {
            Mode::Slow(wait)
        } else {
            Mode::SlowBegin(wait)
        };
        let time = time.max(WEIGHTS_LIMIT.mul_f64(1.3));
        faults.push((Duration::ZERO, Fault::Replica(*replica, mode, time)));
    }
    replicas.shuffle(rng);
    if rng.random_bool(0.5) {
        replicas.truncate(rng.random_range(1..replicas.len().max(2)));
    }
    faults.push((Duration::ZERO, Fault::OrdersIgnored(replicas, time)));
    let mut at = Duration::ZERO;
    for _ in 0..rng.random_range(1..4) {
        faults.push((at, Fault::WeightsPublished));
        at += Duration::from_millis(rng.random_range(50..800));
    }
    faults
}

/// Cuts routers off from all replicas in series that don't overlap.
fn add_cuts(rng: &mut impl Rng, size: Size, faults: &mut Vec<(Duration, Fault)>) {
    let mut at = MEAN_FAULT_INTERVAL;
    while at < size.length {
        let time = Duration::from_millis(rng.random_range(6_000..10_000));
        faults.push((at, random_cuts(rng, size, time)));
        at += time + MEAN_FAULT_INTERVAL.mul_f64(rng.random_range(0.2..2.0));
    }
}

/// Cuts one, half or all but one of the routers off.
fn random_cuts(rng: &mut impl Rng, size: Size, time: Duration) -> Fault {
    let mut routers: Vec<usize> = (0..size.routers).collect();
    routers.shuffle(rng);
    routers.truncate(match rng.random_range(0..3) {
        0 => 1,
        1 => size.routers.div_ceil(2),
        _ => size.routers.saturating_sub(1),
    });
    let common = random_cut(rng);
    let are_alike = rng.random_bool(0.6);
    let cuts = routers.into_iter().map(|router| {
        let cut = if are_alike { common } else { random_cut(rng) };
        (router, cut)
    });
    Fault::RoutersCutOff(cuts.collect(), time)
}

/// Cuts routers off, and stops, releases or kills a router meanwhile, unless it is the only one that isn't cut off.
fn late_cut(rng: &mut impl Rng, size: Size) -> Vec<(Duration, Fault)> {
    let cut = random_cuts(rng, size, LATE_FAULTS_TIME);
    let router = rng.random_range(0..size.routers);
    let time = Duration::from_millis(rng.random_range(200..1_500));
    let disturbance = match rng.random_range(0..3) {
        0 => Fault::RouterPaused(router, time),
        1 => Fault::RouterKilled(router, time),
        _ => Fault::RouterTerminated(router),
    };
    let after = LATE_FAULTS_TIME.mul_f64(rng.random_range(0.1..0.7));
    let may_disturb = matches!(
        &cut,
        Fault::RoutersCutOff(cuts, _)
            if cuts.len() + 1 < size.routers || cuts.iter().any(|(other, _)| *other == router)
    );
    let mut faults = vec![(Duration::ZERO, cut)];
    faults.extend(may_disturb.then_some((after, disturbance)));
    faults
}

fn random_cut(rng: &mut impl Rng) -> Cut {
    match rng.random_range(0..6) {
        0..=1 => Cut::All(Link::BlockBoth),
        2 => Cut::All(Link::Reset),
        3 => Cut::All(Link::BlockToServer),
        4 => Cut::All(Link::BlockToClient),
        _ => Cut::New,
    }
}

fn random_link(rng: &mut impl Rng) -> Link {
    match rng.random_range(0..5) {
        0 => Link::Slow(Duration::from_millis(rng.random_range(5..400))),
        1 => Link::BlockToServer,
        2 => Link::BlockToClient,
        3 => Link::BlockBoth,
        _ => Link::Reset,
    }
}

fn random_store_mode(rng: &mut impl Rng) -> StoreMode {
    let time = Duration::from_millis(rng.random_range(50..2_500));
    match rng.random_range(0..5) {
        0 => StoreMode::Down,
        1 => StoreMode::Silent,
        2 => StoreMode::Slow(time / 4),
        3 => StoreMode::LoseAnswers,
        _ => StoreMode::ApplyLate(time),
    }
}

fn random_replica_mode(rng: &mut impl Rng) -> Mode {
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
