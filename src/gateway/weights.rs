//! Rolls out named weights to the replicas; driven by the lease holder.
//!
//! Each step is derived from the named versions and the replicas' reports, so that a new lease holder repairs whatever
//! state its predecessor left. A replica goes directly to the newest version and skips those in between. Every order
//! carries the number of orders that the replica had accepted, so an order that arrives after a newer one is rejected.
//!
//! Load pattern handled: new weights every few seconds under traffic. A replica rejects requests while it loads
//! weights, so the other routers are notified right before the order is sent and right after the load ends.
//!
//! Rejected: the plan of [`crate::rollout`], which first drains each replica through the routers. Here the replica
//! itself lets its running requests finish, and propagating a drain to all routers would take longer than the load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::fleet::{KnownReplica, ReplicaPhase};
use super::route::ModelName;
use crate::id::{ReplicaId, WeightsVersion};

/// The time allowed for a load notice to reach the other routers: twice the latency between availability zones, plus a
/// margin.
const NOTICE_DELAY: Duration = Duration::from_millis(10);
/// How long to delay an order while a replica's queue drains; requests still queued when the order arrives are
/// rejected.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(300);
/// The delay before the first report is requested; loads take at least 0.29 s according to the users' specifications.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(400);
/// The interval between further report requests.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// The time after which an unfinished load is ordered again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// The delay after a call without a usable response; a replica's report lags by several hundred milliseconds.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long a load counts towards the limit on concurrent loads; replicas load new weights in 0.29 to 0.57 s.
const LOAD_TIME: Duration = Duration::from_millis(500);
/// One in this many replicas may load concurrently; by the users' specifications loads slow down beyond 3 of 18 and 2
/// of 12.
const REPLICAS_PER_LOAD: usize = 6;
/// One in this many replicas may be unavailable because of a load that is not known to have ended, so that the rest can
/// serve the traffic.
const REPLICAS_PER_UNAVAILABLE: usize = 3;

/// The rollout state that a replica reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsReport {
    /// The number of orders accepted in this incarnation.
    pub accepted_orders: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// The weights that the replica serves.
    pub weights: super::fleet::LoadedWeights,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// The replica carries out the order.
    Accepted,
    /// The replica already serves these weights.
    AlreadyHolds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The replica has seen a higher fencing number.
    Fenced,
    /// The address belongs to another replica.
    WrongReplica,
    /// The replica does not support the order.
    Rejected,
    /// No usable response arrived; the order may still be carried out, even later.
    Unanswered,
}

/// An action of the rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WeightsStep {
    /// Notify all routers that the replica is about to load weights.
    Announce(LoadTarget),
    /// Send an order.
    Order {
        /// The replica and the weights to load.
        target: LoadTarget,
        /// The number of accepted orders that the replica must report for the order to be valid.
        accepted_orders: u64,
        /// The fencing number of the lease.
        fencing_number: u64,
    },
    /// Request a report from the replica.
    Report(LoadTarget),
    /// Notify all routers that the replica serves the weights.
    Loaded(LoadTarget),
}

/// A replica and the weights that it should serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadTarget {
    /// The id of the replica.
    pub replica: ReplicaId,
    /// The start time of the replica, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The address that the replica listens on.
    pub address: SocketAddr,
    /// The model to load.
    pub model: ModelName,
    /// The version to load.
    pub version: WeightsVersion,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The routers were notified; the order is due at this time.
    Announced(Duration),
    /// The order was sent, and no response has arrived.
    Ordered,
    /// The replica accepted the order.
    Loading {
        since: Duration,
        next_report: Duration,
    },
    /// A report was requested; its content decides how to continue.
    Querying { loading_since: Option<Duration> },
    /// Idle until this time, when a report or a load is due.
    Waiting(Duration),
}

#[derive(Clone, Debug)]
struct Task {
    target: LoadTarget,
    stage: Stage,
}

#[derive(Clone, Copy, Debug)]
struct OrderCount {
    born_ms: u64,
    accepted: u64,
}

/// The rollout of weights to all replicas, as seen by the lease holder.
#[derive(Debug, Default)]
pub(crate) struct WeightsRollout {
    tasks: BTreeMap<ReplicaId, Task>,
    accepted: BTreeMap<ReplicaId, OrderCount>,
    /// The fencing number that a replica rejected; orders resume only with a higher one.
    refused_fencing: Option<u64>,
}

impl WeightsRollout {
    /// Returns whether any replica serves weights older than `wanted`.
    #[must_use]
    pub(crate) fn is_needed<'a>(
        replicas: impl IntoIterator<Item = &'a KnownReplica>,
        wanted: &BTreeMap<ModelName, WeightsVersion>,
    ) -> bool {
        replicas
            .into_iter()
            .any(|replica| load_target(replica, wanted).is_some())
    }

    /// Discards the state of a lease that ended, since another holder may send orders in the meantime.
    pub(crate) fn lease_lost(&mut self) {
        self.tasks.clear();
        self.accepted.clear();
    }

    /// Returns the actions that are due now under the lease's `fencing_number`.
    ///
    /// Each replica is paired with its requests in flight from all routers.
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
        self.drop_stale(&replicas);
        self.start_loads(&replicas, wanted, now, &mut steps);
        for (known, in_flight) in &replicas {
            let Some(task) = self.tasks.get_mut(&known.record.id) else {
                continue;
            };
            let accepted = self.accepted.get(&known.record.id).copied();
            let has_queue = *in_flight > known.record.slots;
            steps.extend(advance(task, accepted, has_queue, fencing_number, now));
        }
        steps
    }

    /// Records the outcome of an order.
    pub(crate) fn order_ended(
        &mut self,
        replica: &ReplicaId,
        reply: OrderReply,
        fencing_number: u64,
        now: Duration,
    ) {
        let Some(task) = self.tasks.get_mut(replica) else {
            return;
        };
        match reply {
            OrderReply::Accepted | OrderReply::AlreadyHolds => {
                if reply == OrderReply::Accepted
                    && let Some(orders) = self.accepted.get_mut(replica)
                {
                    orders.accepted += 1;
                }
                task.stage = Stage::Loading {
                    since: now,
                    next_report: now + FIRST_REPORT_DELAY,
                };
            }
            OrderReply::Fenced => {
                self.refused_fencing = Some(fencing_number);
                self.lease_lost();
            }
            OrderReply::WrongReplica => {
                self.tasks.remove(replica);
                self.accepted.remove(replica);
            }
            OrderReply::Conflict | OrderReply::Rejected | OrderReply::Unanswered => {
                self.accepted.remove(replica);
                task.stage = Stage::Waiting(now + RETRY_DELAY);
            }
        }
    }

    /// Records a replica's report, or that none arrived; returns the action that follows immediately.
    pub(crate) fn report_ended(
        &mut self,
        replica: &ReplicaId,
        report: Option<&WeightsReport>,
        now: Duration,
    ) -> Option<WeightsStep> {
        let task = self.tasks.get_mut(replica)?;
        let Stage::Querying { loading_since } = task.stage else {
            return None;
        };
        let Some(report) = report else {
            task.stage = Stage::Waiting(now + RETRY_DELAY);
            return None;
        };
        let weights = report.weights.iter();
        let serves = weights
            .filter(|(model, _)| *model == task.target.model)
            .any(|(_, version)| *version >= task.target.version);
        if serves && !report.is_busy {
            let target = task.target.clone();
            self.tasks.remove(replica);
            return Some(WeightsStep::Loaded(target));
        }
        match loading_since {
            Some(since) if now < since + LOAD_TIMEOUT => {
                task.stage = Stage::Loading {
                    since,
                    next_report: now + REPORT_INTERVAL,
                };
            }
            _ if report.is_busy => task.stage = Stage::Waiting(now + REPORT_INTERVAL),
            _ => {
                let orders = OrderCount {
                    born_ms: task.target.born_ms,
                    accepted: report.accepted_orders,
                };
                self.accepted.insert(replica.clone(), orders);
                task.stage = Stage::Waiting(now);
            }
        }
        None
    }

    fn drop_stale(&mut self, replicas: &[(&KnownReplica, u32)]) {
        let is_current_incarnation = |id: &ReplicaId, born_ms: u64| {
            replicas.iter().any(|(known, _)| {
                known.record.id == *id
                    && known.record.born_ms == born_ms
                    && known.phase != ReplicaPhase::Draining
            })
        };
        self.tasks
            .retain(|id, task| is_current_incarnation(id, task.target.born_ms));
        self.accepted
            .retain(|id, orders| is_current_incarnation(id, orders.born_ms));
    }

    /// Creates tasks for replicas with outdated weights and starts as many loads as the limits allow.
    fn start_loads(
        &mut self,
        replicas: &[(&KnownReplica, u32)],
        wanted: &BTreeMap<ModelName, WeightsVersion>,
        now: Duration,
        steps: &mut Vec<WeightsStep>,
    ) {
        for (known, _) in replicas {
            let Some(target) = load_target(known, wanted) else {
                continue;
            };
            let waiting = Task {
                target: target.clone(),
                stage: Stage::Waiting(now),
            };
            let id = known.record.id.clone();
            let task = self.tasks.entry(id).or_insert(waiting);
            // A newer version replaces one that was not ordered yet.
            if matches!(task.stage, Stage::Announced(_) | Stage::Waiting(_)) {
                task.target = target;
            }
        }
        let max_unavailable = (replicas.len() / REPLICAS_PER_UNAVAILABLE).max(1);
        for id in self.ready_replicas(replicas, now) {
            if self.loading_count(now) >= max_loads(replicas.len())
                || self.unavailable_count() >= max_unavailable
            {
                return;
            }
            if let Some(task) = self.tasks.get_mut(&id) {
                task.stage = Stage::Announced(now + NOTICE_DELAY);
                steps.push(WeightsStep::Announce(task.target.clone()));
            }
        }
    }

    /// Returns the replicas that are ready for an order, those with the oldest weights first, then those with the
    /// fewest requests.
    ///
    /// If versions are named faster than a rollout completes, the replicas that the last rollout missed would otherwise
    /// fall behind permanently.
    fn ready_replicas(&self, replicas: &[(&KnownReplica, u32)], now: Duration) -> Vec<ReplicaId> {
        let is_ready = |id: &ReplicaId, task: &Task| {
            let is_due = matches!(task.stage, Stage::Waiting(at) if now >= at);
            is_due && self.accepted.contains_key(id)
        };
        let mut ready: Vec<_> = replicas
            .iter()
            .filter_map(|(known, in_flight)| {
                let id = &known.record.id;
                let task = self.tasks.get(id).filter(|task| is_ready(id, task))?;
                Some((known.version_of(&task.target.model), *in_flight, id.clone()))
            })
            .collect();
        ready.sort_unstable();
        ready.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Returns the estimated number of replicas that are loading weights.
    fn loading_count(&self, now: Duration) -> usize {
        let is_loading = |task: &&Task| match task.stage {
            Stage::Announced(_) | Stage::Ordered => true,
            Stage::Loading { since, .. }
            | Stage::Querying {
                loading_since: Some(since),
            } => now < since + LOAD_TIME,
            _ => false,
        };
        self.tasks.values().filter(is_loading).count()
    }

    /// Returns the number of replicas that are unavailable because of a load.
    fn unavailable_count(&self) -> usize {
        let is_unavailable = |task: &&Task| {
            matches!(
                task.stage,
                Stage::Announced(_)
                    | Stage::Ordered
                    | Stage::Loading { .. }
                    | Stage::Querying {
                        loading_since: Some(_)
                    }
            )
        };
        self.tasks.values().filter(is_unavailable).count()
    }
}

/// Returns how many of `replicas` may load weights concurrently.
fn max_loads(replicas: usize) -> usize {
    (replicas / REPLICAS_PER_LOAD).max(1)
}

fn advance(
    task: &mut Task,
    accepted: Option<OrderCount>,
    has_queue: bool,
    fencing_number: u64,
    now: Duration,
) -> Option<WeightsStep> {
    match (task.stage, accepted) {
        (Stage::Announced(at), Some(_)) if has_queue && now < at + MAX_QUEUE_WAIT => None,
        (Stage::Announced(at), Some(orders)) if now >= at => {
            task.stage = Stage::Ordered;
            Some(WeightsStep::Order {
                target: task.target.clone(),
                accepted_orders: orders.accepted,
                fencing_number,
            })
        }
        (Stage::Loading { since, next_report }, _) if now >= next_report => {
            task.stage = Stage::Querying {
                loading_since: Some(since),
            };
            Some(WeightsStep::Report(task.target.clone()))
        }
        (Stage::Waiting(at), None) if now >= at => {
            task.stage = Stage::Querying {
                loading_since: None,
            };
            Some(WeightsStep::Report(task.target.clone()))
        }
        _ => None,
    }
}

/// Returns the weights that `known` should load, if it is outdated.
fn load_target(
    known: &KnownReplica,
    wanted: &BTreeMap<ModelName, WeightsVersion>,
) -> Option<LoadTarget> {
    if known.phase == ReplicaPhase::Draining || known.remove_at.is_some() {
        return None;
    }
    let record = &known.record;
    let outdated = record.weights.iter().find_map(|(model, version)| {
        let newest = wanted.get(model)?;
        (newest > version).then_some((model, *newest))
    });
    let (model, version) = outdated?;
    Some(LoadTarget {
        replica: record.id.clone(),
        born_ms: record.born_ms,
        address: record.address,
        model: model.clone(),
        version,
    })
}
