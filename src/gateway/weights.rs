//! Rolls named weights over the replicas, as the holder of the lease drives it.
//!
//! Each step is worked out from what is named and what replicas report, so that a new holder repairs whatever an old one
//! left. A replica goes straight to the newest version; versions in between are skipped. Every order names the number of
//! orders that the replica had accepted, so an order that is carried out late, after a newer one, is refused.
//!
//! Load pattern answered: weights named every few seconds under traffic. A replica refuses work while it loads, so the
//! other routers hear of the load right before the order is sent, and of its end right after.
//!
//! Rejected: the plan of [`crate::rollout`], which drains each replica through the routers first. Here the replica itself
//! lets its runs end, and a drain known everywhere would take longer than the load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::fleet::{KnownReplica, ReplicaPhase};
use super::route::ModelName;
use crate::id::{ReplicaId, WeightsVersion};

/// How long a notice of a load may take to the other routers; twice the delay between availability zones, and a margin.
const NOTICE_SPREAD: Duration = Duration::from_millis(10);
/// How long an order waits for a replica's queue to run down: what waits there when the order comes is refused.
const QUEUE_TIME: Duration = Duration::from_millis(300);
/// The first look at whether a load has ended; loads take 0.29 s and more by the users' sheets.
const FIRST_REPORT_AFTER: Duration = Duration::from_millis(400);
/// The pause between looks.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// How long a load may take before the order is given again.
const LOAD_LIMIT: Duration = Duration::from_secs(4);
/// The pause after a call without an answer; the replica's report is some hundred milliseconds old.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);
/// How long a replica counts against the loads at once; it takes new weights in 0.29 to 0.57 s.
const LOADING_SHARE_TIME: Duration = Duration::from_millis(500);
/// One in so many replicas may load at once; by the sheets loads slow down beyond 3 of 18 and 2 of 12.
const REPLICAS_PER_LOAD: usize = 6;
/// One in so many replicas may be out for loads at once, ended or not, so that the others carry the traffic.
const REPLICAS_PER_OUTAGE: usize = 3;

/// What a replica reports of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsReport {
    /// The orders that it has accepted in this life.
    pub accepted_orders: u64,
    /// Whether it carries out an order.
    pub is_busy: bool,
    /// The weights that it serves.
    pub weights: super::fleet::LoadedWeights,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The replica carries it out.
    Accepted,
    /// The replica is in that state already.
    AlreadyHolds,
    /// Another order is carried out, or the number of accepted orders is another one.
    Conflict,
    /// The replica has seen a higher fencing number.
    Fenced,
    /// The address belongs to another replica.
    WrongReplica,
    /// The replica does not take this order at all.
    Rejected,
    /// No usable answer came; the order may be carried out, also later.
    Unanswered,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WeightsStep {
    /// Tell all routers that the replica is about to load.
    Announce(LoadTarget),
    /// Send an order.
    Order {
        /// The replica and what it shall load.
        target: LoadTarget,
        /// The orders that it must have accepted for this one to count.
        accepted_orders: u64,
        /// The lease's fencing number.
        fencing_number: u64,
    },
    /// Ask the replica how far it is.
    Report(LoadTarget),
    /// Tell all routers that the replica serves the weights.
    Loaded(LoadTarget),
}

/// A replica and the weights that it shall serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadTarget {
    /// The replica.
    pub replica: ReplicaId,
    /// When it started.
    pub born_ms: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightsVersion,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The routers were told; the order goes out at this time.
    Announced(Duration),
    /// The order is under way.
    Ordering,
    /// The replica took the order.
    Loading {
        since: Duration,
        next_report: Duration,
    },
    /// A report was asked for, and what follows depends on it.
    Asking { loading_since: Option<Duration> },
    /// The replica waits for its next report.
    Paused(Duration),
}

#[derive(Clone, Debug)]
struct Work {
    target: LoadTarget,
    stage: Stage,
}

#[derive(Clone, Copy, Debug)]
struct Orders {
    born_ms: u64,
    accepted: u64,
}

/// The rollout of weights over all replicas, as one holder of the lease sees it.
#[derive(Debug, Default)]
pub(crate) struct WeightsRollout {
    work: BTreeMap<ReplicaId, Work>,
    accepted: BTreeMap<ReplicaId, Orders>,
    /// The fencing number that a replica refused; only a higher one orders again.
    refused_fencing: Option<u64>,
}

impl WeightsRollout {
    /// Tells whether any replica serves weights older than `wanted`.
    #[must_use]
    pub(crate) fn is_wanted<'a>(
        replicas: impl IntoIterator<Item = &'a KnownReplica>,
        wanted: &BTreeMap<ModelName, WeightsVersion>,
    ) -> bool {
        replicas
            .into_iter()
            .any(|replica| target_of(replica, wanted).is_some())
    }

    /// Drops what belonged to a lease that is over; another holder may order meanwhile.
    pub(crate) fn lose_lease(&mut self) {
        self.work.clear();
        self.accepted.clear();
    }

    /// Works out what to do now under the lease's `fencing_number`.
    ///
    /// Each replica comes with the requests that all routers have there.
    pub(crate) fn step(
        &mut self,
        replicas: &[(&KnownReplica, u32)],
        wanted: &BTreeMap<ModelName, WeightsVersion>,
        fencing_number: u64,
        now: Duration,
    ) -> Vec<WeightsStep> {
        if self
            .refused_fencing
            .is_some_and(|refused| fencing_number <= refused)
        {
            return Vec::new();
        }
        let mut replicas = replicas.to_vec();
        replicas.retain(|(known, _)| !known.record.weights.is_empty());
        let mut steps = Vec::new();
        self.drop_lost(&replicas);
        self.begin(&replicas, wanted, now, &mut steps);
        for (known, in_flight) in &replicas {
            let Some(work) = self.work.get_mut(&known.record.id) else {
                continue;
            };
            let accepted = self.accepted.get(&known.record.id).copied();
            let has_queue = *in_flight > known.record.slots;
            steps.extend(advance(work, accepted, has_queue, fencing_number, now));
        }
        steps
    }

    /// Takes the end of an order.
    pub(crate) fn order_ended(
        &mut self,
        replica: &ReplicaId,
        reply: OrderReply,
        fence: u64,
        now: Duration,
    ) {
        let Some(work) = self.work.get_mut(replica) else {
            return;
        };
        match reply {
            OrderReply::Accepted | OrderReply::AlreadyHolds => {
                if reply == OrderReply::Accepted
                    && let Some(orders) = self.accepted.get_mut(replica)
                {
                    orders.accepted += 1;
                }
                work.stage = Stage::Loading {
                    since: now,
                    next_report: now + FIRST_REPORT_AFTER,
                };
            }
            OrderReply::Fenced => {
                self.refused_fencing = Some(fence);
                self.lose_lease();
            }
            OrderReply::WrongReplica => {
                self.work.remove(replica);
                self.accepted.remove(replica);
            }
            OrderReply::Conflict | OrderReply::Rejected | OrderReply::Unanswered => {
                self.accepted.remove(replica);
                work.stage = Stage::Paused(now + UNANSWERED_PAUSE);
            }
        }
    }

    /// Takes a replica's report, or that none came; returns the step that follows at once.
    pub(crate) fn report_ended(
        &mut self,
        replica: &ReplicaId,
        report: Option<&WeightsReport>,
        now: Duration,
    ) -> Option<WeightsStep> {
        let work = self.work.get_mut(replica)?;
        let Stage::Asking { loading_since } = work.stage else {
            return None;
        };
        let Some(report) = report else {
            work.stage = Stage::Paused(now + UNANSWERED_PAUSE);
            return None;
        };
        let weights = report.weights.iter();
        let serves = weights
            .filter(|(model, _)| *model == work.target.model)
            .any(|(_, version)| *version >= work.target.version);
        if serves && !report.is_busy {
            let target = work.target.clone();
            self.work.remove(replica);
            return Some(WeightsStep::Loaded(target));
        }
        match loading_since {
            Some(since) if now < since + LOAD_LIMIT => {
                work.stage = Stage::Loading {
                    since,
                    next_report: now + REPORT_INTERVAL,
                };
            }
            _ if report.is_busy => work.stage = Stage::Paused(now + REPORT_INTERVAL),
            _ => {
                let orders = Orders {
                    born_ms: work.target.born_ms,
                    accepted: report.accepted_orders,
                };
                self.accepted.insert(replica.clone(), orders);
                work.stage = Stage::Paused(now);
            }
        }
        None
    }

    fn drop_lost(&mut self, replicas: &[(&KnownReplica, u32)]) {
        let is_same_life = |id: &ReplicaId, born_ms: u64| {
            replicas.iter().any(|(known, _)| {
                known.record.id == *id
                    && known.record.born_ms == born_ms
                    && known.phase != ReplicaPhase::Leaving
            })
        };
        self.work
            .retain(|id, work| is_same_life(id, work.target.born_ms));
        self.accepted
            .retain(|id, orders| is_same_life(id, orders.born_ms));
    }

    /// Takes replicas with old weights into work, and lets as many of them load as may at once.
    fn begin(
        &mut self,
        replicas: &[(&KnownReplica, u32)],
        wanted: &BTreeMap<ModelName, WeightsVersion>,
        now: Duration,
        steps: &mut Vec<WeightsStep>,
    ) {
        for (known, _) in replicas {
            let Some(target) = target_of(known, wanted) else {
                continue;
            };
            let waiting = Work {
                target: target.clone(),
                stage: Stage::Paused(now),
            };
            let id = known.record.id.clone();
            let work = self.work.entry(id).or_insert(waiting);
            // A newer version replaces one that was not ordered yet.
            if matches!(work.stage, Stage::Announced(_) | Stage::Paused(_)) {
                work.target = target;
            }
        }
        let most_out = (replicas.len() / REPLICAS_PER_OUTAGE).max(1);
        for id in self.ready(replicas, now) {
            if self.loading(now) >= at_once(replicas.len()) || self.out() >= most_out {
                return;
            }
            if let Some(work) = self.work.get_mut(&id) {
                work.stage = Stage::Announced(now + NOTICE_SPREAD);
                steps.push(WeightsStep::Announce(work.target.clone()));
            }
        }
    }

    /// Returns the replicas that can be ordered now, those with the oldest weights first, then those with the least work.
    ///
    /// Where versions follow each other faster than a rollout ends, the replicas that the last one did not reach would
    /// otherwise fall behind for good.
    fn ready(&self, replicas: &[(&KnownReplica, u32)], now: Duration) -> Vec<ReplicaId> {
        let is_ready = |id: &ReplicaId, work: &Work| {
            let is_due = matches!(work.stage, Stage::Paused(at) if now >= at);
            is_due && self.accepted.contains_key(id)
        };
        let mut ready: Vec<_> = replicas
            .iter()
            .filter_map(|(known, in_flight)| {
                let id = &known.record.id;
                let work = self.work.get(id).filter(|work| is_ready(id, work))?;
                Some((known.version_of(&work.target.model), *in_flight, id.clone()))
            })
            .collect();
        ready.sort_unstable();
        ready.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Returns how many replicas load at the moment, as far as is known.
    fn loading(&self, now: Duration) -> usize {
        let is_loading = |work: &&Work| match work.stage {
            Stage::Announced(_) | Stage::Ordering => true,
            Stage::Loading { since, .. }
            | Stage::Asking {
                loading_since: Some(since),
            } => now < since + LOADING_SHARE_TIME,
            _ => false,
        };
        self.work.values().filter(is_loading).count()
    }

    /// Returns how many replicas take no work because of a load.
    fn out(&self) -> usize {
        let is_out = |work: &&Work| {
            matches!(
                work.stage,
                Stage::Announced(_)
                    | Stage::Ordering
                    | Stage::Loading { .. }
                    | Stage::Asking {
                        loading_since: Some(_)
                    }
            )
        };
        self.work.values().filter(is_out).count()
    }
}

/// Returns how many of `replicas` may load at once.
fn at_once(replicas: usize) -> usize {
    (replicas / REPLICAS_PER_LOAD).max(1)
}

fn advance(
    work: &mut Work,
    accepted: Option<Orders>,
    has_queue: bool,
    fencing_number: u64,
    now: Duration,
) -> Option<WeightsStep> {
    match (work.stage, accepted) {
        (Stage::Announced(at), Some(_)) if has_queue && now < at + QUEUE_TIME => None,
        (Stage::Announced(at), Some(orders)) if now >= at => {
            work.stage = Stage::Ordering;
            Some(WeightsStep::Order {
                target: work.target.clone(),
                accepted_orders: orders.accepted,
                fencing_number,
            })
        }
        (Stage::Loading { since, next_report }, _) if now >= next_report => {
            work.stage = Stage::Asking {
                loading_since: Some(since),
            };
            Some(WeightsStep::Report(work.target.clone()))
        }
        (Stage::Paused(at), None) if now >= at => {
            work.stage = Stage::Asking {
                loading_since: None,
            };
            Some(WeightsStep::Report(work.target.clone()))
        }
        _ => None,
    }
}

/// Returns what `known` shall load, if anything.
fn target_of(
    known: &KnownReplica,
    wanted: &BTreeMap<ModelName, WeightsVersion>,
) -> Option<LoadTarget> {
    if known.phase == ReplicaPhase::Leaving || known.lapses_at.is_some() {
        return None;
    }
    let record = &known.record;
    let older = record.weights.iter().find_map(|(model, version)| {
        let newest = wanted.get(model)?;
        (newest > version).then_some((model, *newest))
    });
    let (model, version) = older?;
    Some(LoadTarget {
        replica: record.id.clone(),
        born_ms: record.born_ms,
        address: record.address,
        model: model.clone(),
        version,
    })
}
