//! Decides which replicas of a pool are drained and get an order next.
//!
//! Rejected: a stored plan with steps, which a newer ticket would have to undo. Each step is computed from the active
//! ticket and the engines' reports instead, so that stopping, rolling back and repairing take the same code path.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::drain::DrainNotice;
use crate::id::{AdapterName, Incarnation, ReplicaId, WeightsVersion};
use crate::pool::{Pool, Replica, ReplicaRole};
use crate::protocol::EngineOrder;

/// The time that a drain notice takes to reach all routers. An engine that is idle earlier does not count as drained.
const NOTICE_PROPAGATION: Duration = Duration::from_secs(2);
/// The interval at which drain notices are renewed.
const NOTICE_INTERVAL: Duration = Duration::from_secs(5);
/// The longest wait for responses in flight. The routers' own limit ends them sooner.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(150);
/// The time that an engine has to reach the ordered state before the order is sent again.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The delay before a failed order is sent again.
const ORDER_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The age above which a report is ignored.
const REPORT_MAX_AGE: Duration = Duration::from_secs(5);
/// The time after which a replica that is being updated and sends no reports loses its slot to another replica.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// The latest report of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedReplica {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The weights version that it serves.
    pub weights_version: WeightsVersion,
    /// The adapter that it serves, if any.
    pub adapter: Option<AdapterName>,
    /// The role that it has.
    pub role: ReplicaRole,
    /// The number of requests that are queued or running on it.
    pub busy_requests: u32,
    /// The time at which the engine made the report, on this router's clock.
    pub reported_at: Duration,
}

/// The state that a replica is to reach.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Target {
    weights_version: WeightsVersion,
    adapter: Option<AdapterName>,
    role: ReplicaRole,
}

impl Target {
    fn desired(pool: &Pool, replica: &Replica) -> Self {
        Self {
            weights_version: pool.weights_version,
            adapter: pool.adapter.clone(),
            role: replica.role,
        }
    }

    fn from_report(observed: &ObservedReplica) -> Self {
        Self {
            weights_version: observed.weights_version,
            adapter: observed.adapter.clone(),
            role: observed.role,
        }
    }

    fn order(&self, fencing_number: u64) -> EngineOrder {
        EngineOrder {
            fencing_number,
            weights_version: self.weights_version,
            adapter: self.adapter.clone(),
            role: self.role,
        }
    }
}

/// An action that [`Rollout::step`] asks its caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Send this order to a replica, with the fencing number that the lease returns immediately before sending.
    Order {
        /// The replica.
        replica: ReplicaId,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: EngineOrder,
    },
    /// Announce to all routers which replicas get no new requests.
    Notice(DrainNotice),
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Taken,
    /// The engine has seen a higher fencing number, so this router no longer holds the lease.
    Fenced,
    /// No valid response arrived. The engine may have accepted the order.
    Failed,
}

/// The update of one replica, from its drain to the report that shows the target state.
#[derive(Clone, Debug)]
struct ReplicaUpdate {
    drained_since: Duration,
    last_report_at: Duration,
    sent_order: Option<SentOrder>,
}

#[derive(Clone, Debug)]
struct SentOrder {
    target: Target,
    /// Whether the response is outstanding. The next order waits for it.
    is_in_flight: bool,
    /// The time at which the engine had accepted the order. Earlier reports do not show its effect.
    accepted_at: Option<Duration>,
    retry_at: Duration,
}

impl SentOrder {
    const fn new(target: Target, now: Duration) -> Self {
        Self {
            target,
            is_in_flight: true,
            accepted_at: None,
            retry_at: now,
        }
    }

    fn record(&mut self, outcome: OrderOutcome, now: Duration) {
        self.is_in_flight = false;
        self.accepted_at = (outcome == OrderOutcome::Taken).then_some(now);
        let delay = if outcome == OrderOutcome::Taken {
            LOAD_TIMEOUT
        } else {
            ORDER_RETRY_DELAY
        };
        self.retry_at = now + delay;
    }

    /// Returns whether `report` shows that this order has brought the engine to `target`.
    fn is_complete(&self, target: &Target, report: &ObservedReplica) -> bool {
        let is_later = self.accepted_at.is_some_and(|at| report.reported_at > at);
        is_later && self.target == *target && Target::from_report(report) == *target
    }
}

/// The rollout over one pool, run by the holder of the pool's lease.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    updates: BTreeMap<ReplicaId, ReplicaUpdate>,
    /// The replicas that have accepted an order under this holder's lease, and so reject orders under an older one.
    fenced: BTreeSet<ReplicaId>,
    fence_sent_at: BTreeMap<ReplicaId, Duration>,
    highest_fencing_number: u64,
    sequence: u64,
    announced: BTreeSet<ReplicaId>,
    announced_at: Duration,
    is_fenced_out: bool,
    /// The time at which this holder's lease first allowed orders. Older reports may not show what the previous holder
    /// did.
    held_since: Option<Duration>,
}

impl Rollout {
    /// Creates a rollout with no update in progress.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the replicas that are being drained or are loading.
    pub fn in_progress(&self) -> impl Iterator<Item = &ReplicaId> {
        self.updates.keys()
    }

    /// Returns the actions due at `now`. `fencing_number` is that of the lease, or `None` while no order may be sent.
    pub fn step(
        &mut self,
        name: &str,
        pool: &Pool,
        observed: &BTreeMap<ReplicaId, ObservedReplica>,
        fencing_number: Option<u64>,
        now: Duration,
    ) -> Vec<RolloutAction> {
        let Some(fencing_number) = fencing_number.filter(|_| !self.is_fenced_out) else {
            self.reset(fencing_number);
            return Vec::new();
        };
        assert!(
            fencing_number >= self.highest_fencing_number,
            "fencing number {fencing_number} is lower than {}",
            self.highest_fencing_number
        );
        self.highest_fencing_number = fencing_number;
        let held_since = *self.held_since.get_or_insert(now);
        let observed: BTreeMap<_, _> = observed
            .iter()
            .filter(|(_, report)| report.reported_at >= held_since && is_fresh(report, now))
            .map(|(id, report)| (id.clone(), report.clone()))
            .collect();
        let observed = &observed;
        self.finish_updates(pool, observed, now);
        let mut orders = self.fence(pool, observed, fencing_number, now);
        if orders.is_empty() && self.is_fenced(pool, observed) {
            self.start_updates(pool, observed, now);
        }
        orders.extend(self.send_orders(pool, observed, fencing_number, now));
        orders.extend(self.drain_notice(name, fencing_number, now));
        orders
    }

    /// Records the outcome of an order. Each [`RolloutAction::Order`] must get an outcome within its timeout.
    pub fn record_outcome(&mut self, replica: &ReplicaId, outcome: OrderOutcome, now: Duration) {
        match outcome {
            OrderOutcome::Taken => {
                self.fenced.insert(replica.clone());
            }
            OrderOutcome::Fenced => self.is_fenced_out = true,
            OrderOutcome::Failed => {
                self.fence_sent_at.remove(replica);
            }
        }
        let sent_order = self
            .updates
            .get_mut(replica)
            .and_then(|update| update.sent_order.as_mut());
        if let Some(sent_order) = sent_order.filter(|sent_order| sent_order.is_in_flight) {
            sent_order.record(outcome, now);
        }
    }

    /// Discards all state of an expired lease. The next holder starts from what the engines report.
    fn reset(&mut self, fencing_number: Option<u64>) {
        self.updates.clear();
        self.fenced.clear();
        self.fence_sent_at.clear();
        self.announced.clear();
        self.held_since = None;
        // An engine has seen a higher fencing number. Only a newly acquired lease may send orders again.
        let is_new_lease = fencing_number.is_none_or(|number| number > self.highest_fencing_number);
        self.is_fenced_out = self.is_fenced_out && !is_new_lease;
    }

    fn finish_updates(
        &mut self,
        pool: &Pool,
        observed: &BTreeMap<ReplicaId, ObservedReplica>,
        now: Duration,
    ) {
        for (id, report) in observed {
            if let Some(update) = self.updates.get_mut(id) {
                update.last_report_at = update.last_report_at.max(report.reported_at);
            }
        }
        self.updates.retain(|id, update| {
            let Some(replica) = pool.replicas.iter().find(|replica| replica.id == *id) else {
                return false;
            };
            let target = Target::desired(pool, replica);
            let is_complete = observed
                .get(id)
                .is_some_and(|report| match &update.sent_order {
                    Some(sent_order) => sent_order.is_complete(&target, report),
                    None => Target::from_report(report) == target,
                });
            let is_silent = now >= update.last_report_at + SILENCE_TIMEOUT;
            !is_complete && !is_silent
        });
    }

    /// Returns an order for each engine that checks fencing numbers and has not yet accepted the new one.
    ///
    /// The order keeps the engine's state, and makes the engine reject orders with an older number.
    fn fence(
        &mut self,
        pool: &Pool,
        observed: &BTreeMap<ReplicaId, ObservedReplica>,
        fencing_number: u64,
        now: Duration,
    ) -> Vec<RolloutAction> {
        if !pool.checks_fencing {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for replica in &pool.replicas {
            let sent_at = self.fence_sent_at.get(&replica.id);
            let is_fence_pending = sent_at.is_some_and(|at| now < *at + LOAD_TIMEOUT);
            let is_fence_due = !is_fence_pending && !self.fenced.contains(&replica.id);
            let Some(report) = observed.get(&replica.id).filter(|_| is_fence_due) else {
                continue;
            };
            self.fence_sent_at.insert(replica.id.clone(), now);
            let order = Target::from_report(report).order(fencing_number);
            orders.push(order_action(replica, order));
        }
        orders
    }

    fn is_fenced(&self, pool: &Pool, observed: &BTreeMap<ReplicaId, ObservedReplica>) -> bool {
        let mut reachable = pool
            .replicas
            .iter()
            .filter(|replica| observed.contains_key(&replica.id));
        !pool.checks_fencing || reachable.all(|replica| self.fenced.contains(&replica.id))
    }

    fn start_updates(
        &mut self,
        pool: &Pool,
        observed: &BTreeMap<ReplicaId, ObservedReplica>,
        now: Duration,
    ) {
        let reporting: Vec<_> = pool
            .replicas
            .iter()
            .filter_map(|replica| Some((replica, observed.get(&replica.id)?)))
            .collect();
        let limit = max_concurrent_updates(pool, reporting.len());
        let mut outdated: Vec<_> = reporting
            .into_iter()
            .filter(|(replica, report)| {
                Target::from_report(report) != Target::desired(pool, replica)
            })
            .filter(|(replica, _)| !self.updates.contains_key(&replica.id))
            .collect();
        outdated.sort_by_key(|(replica, report)| (report.busy_requests, replica.id.clone()));
        let free_slots = limit.saturating_sub(self.updates.len());
        for (replica, _) in outdated.into_iter().take(free_slots) {
            let update = ReplicaUpdate {
                drained_since: now,
                last_report_at: now,
                sent_order: None,
            };
            self.updates.insert(replica.id.clone(), update);
            let in_progress = self.updates.len();
            assert!(
                in_progress <= pool.concurrent_loads as usize,
                "{in_progress} replicas are updated at once"
            );
        }
    }

    fn send_orders(
        &mut self,
        pool: &Pool,
        observed: &BTreeMap<ReplicaId, ObservedReplica>,
        fencing_number: u64,
        now: Duration,
    ) -> Vec<RolloutAction> {
        let mut orders = Vec::new();
        for replica in &pool.replicas {
            let Some(update) = self.updates.get_mut(&replica.id) else {
                continue;
            };
            let target = Target::desired(pool, replica);
            if !update.is_drained(observed.get(&replica.id), now) || !update.is_due(&target, now) {
                continue;
            }
            let order = target.order(fencing_number);
            update.sent_order = Some(SentOrder::new(target, now));
            orders.push(order_action(replica, order));
        }
        orders
    }

    fn drain_notice(
        &mut self,
        name: &str,
        fencing_number: u64,
        now: Duration,
    ) -> Option<RolloutAction> {
        let drained: BTreeSet<_> = self.updates.keys().cloned().collect();
        let is_changed = drained != self.announced;
        let is_due = !drained.is_empty() && now >= self.announced_at + NOTICE_INTERVAL;
        if !is_changed && !is_due {
            return None;
        }
        self.sequence += 1;
        self.announced_at = now;
        let replicas = drained.iter().map(ToString::to_string).collect();
        self.announced = drained;
        Some(RolloutAction::Notice(DrainNotice {
            pool: name.to_owned(),
            fencing_number,
            sequence: self.sequence,
            replicas,
        }))
    }
}

impl ReplicaUpdate {
    /// Returns whether the engine has completed all requests that began before the routers received the drain notice.
    fn is_drained(&self, report: Option<&ObservedReplica>, now: Duration) -> bool {
        let propagated_at = self.drained_since + NOTICE_PROPAGATION;
        let is_idle = report
            .is_some_and(|report| report.reported_at >= propagated_at && report.busy_requests == 0);
        is_idle || self.sent_order.is_some() || now >= self.drained_since + DRAIN_TIMEOUT
    }

    fn is_due(&self, target: &Target, now: Duration) -> bool {
        match &self.sent_order {
            Some(sent_order) if sent_order.is_in_flight => false,
            Some(sent_order) => sent_order.target != *target || now >= sent_order.retry_at,
            None => true,
        }
    }
}

/// Returns how many replicas may be updated at once, so that two thirds of the reachable ones keep serving.
fn max_concurrent_updates(pool: &Pool, reachable: usize) -> usize {
    let limit = pool.concurrent_loads as usize;
    limit.min((reachable / 3).max(1))
}

fn is_fresh(report: &ObservedReplica, now: Duration) -> bool {
    now.saturating_sub(report.reported_at) <= REPORT_MAX_AGE
}

fn order_action(replica: &Replica, order: EngineOrder) -> RolloutAction {
    RolloutAction::Order {
        replica: replica.id.clone(),
        address: replica.address,
        order,
    }
}
