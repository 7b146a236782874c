//! Decides which replicas of a pool are drained and ordered next.
//!
//! Rejected: a stored plan with steps, which a newer ticket would have to undo. Each step is instead worked out from the
//! ticket in force and the engines' reports, so that stopping, turning back and repairing are all the same thing.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::notice::DrainNotice;
use crate::id::{AdapterName, Incarnation, ReplicaId, WeightsVersion};
use crate::pool::{Pool, Replica, ReplicaRole};
use crate::protocol::EngineOrder;

/// How long a drain must be known to all routers before an idle engine counts as drained.
const NOTICE_SPREAD: Duration = Duration::from_secs(2);
/// How often notices are renewed.
const NOTICE_INTERVAL: Duration = Duration::from_secs(5);
/// The longest wait for the answers in flight; the routers' own limit ends them before.
const DRAIN_LIMIT: Duration = Duration::from_secs(150);
/// How long an engine may take to reach what was ordered before the order is repeated.
const LOAD_LIMIT: Duration = Duration::from_secs(30);
/// The pause before an order that failed is repeated.
const ORDER_PAUSE: Duration = Duration::from_secs(2);
/// The age at which a report says nothing any longer.
const REPORT_LIFE: Duration = Duration::from_secs(5);
/// How long a replica in work may stay silent before its place goes to another.
const SILENCE_LIMIT: Duration = Duration::from_secs(60);

/// What an engine reported last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedReplica {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The weights version that it serves.
    pub weights_version: WeightsVersion,
    /// The adapter that it serves.
    pub adapter: Option<AdapterName>,
    /// The role that it has.
    pub role: ReplicaRole,
    /// Requests that wait or run on it.
    pub busy_requests: u32,
    /// When the engine made the report, on this router's clock.
    pub reported_at: Duration,
}

/// The state that a replica shall reach.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Target {
    weights_version: WeightsVersion,
    adapter: Option<AdapterName>,
    role: ReplicaRole,
}

impl Target {
    fn of(pool: &Pool, replica: &Replica) -> Self {
        Self {
            weights_version: pool.weights_version,
            adapter: pool.adapter.clone(),
            role: replica.role,
        }
    }

    fn of_observed(observed: &ObservedReplica) -> Self {
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

/// What the plan asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Send this order to a replica, with the fencing number that the lease gives right before it is sent.
    Order {
        /// The replica.
        replica: ReplicaId,
        /// Its address.
        address: SocketAddr,
        /// The order.
        order: EngineOrder,
    },
    /// Tell all routers which replicas get no new work.
    Notice(DrainNotice),
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The engine took the order.
    Taken,
    /// The engine has seen a higher fencing number; this router's lease is over.
    Fenced,
    /// No usable answer came; the engine may have taken the order.
    Failed,
}

/// One replica in work.
#[derive(Clone, Debug)]
struct Work {
    drained_since: Duration,
    heard_at: Duration,
    ordered: Option<Ordered>,
}

#[derive(Clone, Debug)]
struct Ordered {
    target: Target,
    /// Whether the order is still under way; the next one waits for its end.
    is_under_way: bool,
    /// When the engine was known to have taken the order; a report from before says nothing of its effect.
    taken_at: Option<Duration>,
    repeat_at: Duration,
}

impl Ordered {
    const fn new(target: Target, now: Duration) -> Self {
        Self {
            target,
            is_under_way: true,
            taken_at: None,
            repeat_at: now,
        }
    }

    fn end(&mut self, end: OrderEnd, now: Duration) {
        self.is_under_way = false;
        self.taken_at = (end == OrderEnd::Taken).then_some(now);
        let pause = if end == OrderEnd::Taken {
            LOAD_LIMIT
        } else {
            ORDER_PAUSE
        };
        self.repeat_at = now + pause;
    }

    /// Tells whether `seen` shows the effect of this order.
    fn is_done(&self, target: &Target, seen: &ObservedReplica) -> bool {
        let is_since = self.taken_at.is_some_and(|at| seen.reported_at > at);
        is_since && self.target == *target && Target::of_observed(seen) == *target
    }
}

/// The rollout over one pool, as the holder of the pool's lease drives it.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    work: BTreeMap<ReplicaId, Work>,
    /// The replicas that have taken an order under this holder's lease, and so refuse an older one's.
    fenced: BTreeSet<ReplicaId>,
    fencing_asked: BTreeMap<ReplicaId, Duration>,
    highest_fencing: u64,
    sequence: u64,
    noticed: BTreeSet<ReplicaId>,
    notice_at: Duration,
    is_stopped: bool,
    /// When this holder's lease first allowed orders; older reports may miss what the holder before did.
    began_at: Option<Duration>,
}

impl Rollout {
    /// Begins without any work.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the replicas that are drained or loading.
    pub fn in_work(&self) -> impl Iterator<Item = &ReplicaId> {
        self.work.keys()
    }

    /// Works out what to do now; `fencing_number` is what the lease gives, if anything.
    pub fn step(
        &mut self,
        name: &str,
        pool: &Pool,
        observed: &BTreeMap<ReplicaId, ObservedReplica>,
        fencing_number: Option<u64>,
        now: Duration,
    ) -> Vec<RolloutAction> {
        let Some(fencing_number) = fencing_number.filter(|_| !self.is_stopped) else {
            self.forget(fencing_number);
            return Vec::new();
        };
        assert!(
            fencing_number >= self.highest_fencing,
            "fencing number {fencing_number} follows {}",
            self.highest_fencing
        );
        self.highest_fencing = fencing_number;
        let began_at = *self.began_at.get_or_insert(now);
        let observed: BTreeMap<_, _> = observed
            .iter()
            .filter(|(_, seen)| seen.reported_at >= began_at && is_fresh(seen, now))
            .map(|(id, seen)| (id.clone(), seen.clone()))
            .collect();
        let observed = &observed;
        self.end_work(pool, observed, now);
        let mut orders = self.fence(pool, observed, fencing_number, now);
        if orders.is_empty() && self.is_fenced(pool, observed) {
            self.begin_work(pool, observed, now);
        }
        orders.extend(self.order_drained(pool, observed, fencing_number, now));
        orders.extend(self.notice(name, fencing_number, now));
        orders
    }

    /// Notes how an order ended; each order of [`RolloutAction::Order`] must end within its timeout.
    pub fn order_ended(&mut self, replica: &ReplicaId, end: OrderEnd, now: Duration) {
        match end {
            OrderEnd::Taken => {
                self.fenced.insert(replica.clone());
            }
            OrderEnd::Fenced => self.is_stopped = true,
            OrderEnd::Failed => {
                self.fencing_asked.remove(replica);
            }
        }
        let ordered = self
            .work
            .get_mut(replica)
            .and_then(|work| work.ordered.as_mut());
        if let Some(ordered) = ordered.filter(|ordered| ordered.is_under_way) {
            ordered.end(end, now);
        }
    }

    /// Drops all that belonged to a lease that is over; the next holder sees what the engines report.
    fn forget(&mut self, fencing_number: Option<u64>) {
        self.work.clear();
        self.fenced.clear();
        self.fencing_asked.clear();
        self.noticed.clear();
        self.began_at = None;
        // An engine has seen a higher number than ours: only a lease taken anew may order again.
        let is_new_lease = fencing_number.is_none_or(|number| number > self.highest_fencing);
        self.is_stopped = self.is_stopped && !is_new_lease;
    }

    fn end_work(
        &mut self,
        pool: &Pool,
        observed: &BTreeMap<ReplicaId, ObservedReplica>,
        now: Duration,
    ) {
        for (id, seen) in observed {
            if let Some(work) = self.work.get_mut(id) {
                work.heard_at = work.heard_at.max(seen.reported_at);
            }
        }
        self.work.retain(|id, work| {
            let Some(replica) = pool.replicas.iter().find(|replica| replica.id == *id) else {
                return false;
            };
            let target = Target::of(pool, replica);
            let is_done = observed.get(id).is_some_and(|seen| match &work.ordered {
                Some(ordered) => ordered.is_done(&target, seen),
                None => Target::of_observed(seen) == target,
            });
            let is_silent = now >= work.heard_at + SILENCE_LIMIT;
            !is_done && !is_silent
        });
    }

    /// Asks each engine that checks numbers to keep its state under the new number, so that no older order counts.
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
            let asked = self.fencing_asked.get(&replica.id);
            let is_asked = asked.is_some_and(|at| now < *at + LOAD_LIMIT);
            let is_wanted = !is_asked && !self.fenced.contains(&replica.id);
            let Some(seen) = observed.get(&replica.id).filter(|_| is_wanted) else {
                continue;
            };
            self.fencing_asked.insert(replica.id.clone(), now);
            let order = Target::of_observed(seen).order(fencing_number);
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

    fn begin_work(
        &mut self,
        pool: &Pool,
        observed: &BTreeMap<ReplicaId, ObservedReplica>,
        now: Duration,
    ) {
        let fresh: Vec<_> = pool
            .replicas
            .iter()
            .filter_map(|replica| Some((replica, observed.get(&replica.id)?)))
            .collect();
        let limit = at_once(pool, fresh.len());
        let mut waiting: Vec<_> = fresh
            .into_iter()
            .filter(|(replica, seen)| Target::of_observed(seen) != Target::of(pool, replica))
            .filter(|(replica, _)| !self.work.contains_key(&replica.id))
            .collect();
        waiting.sort_by_key(|(replica, seen)| (seen.busy_requests, replica.id.clone()));
        let free = limit.saturating_sub(self.work.len());
        for (replica, _) in waiting.into_iter().take(free) {
            let work = Work {
                drained_since: now,
                heard_at: now,
                ordered: None,
            };
            self.work.insert(replica.id.clone(), work);
            let in_work = self.work.len();
            assert!(
                in_work <= pool.concurrent_loads as usize,
                "{in_work} replicas in work at once"
            );
        }
    }

    fn order_drained(
        &mut self,
        pool: &Pool,
        observed: &BTreeMap<ReplicaId, ObservedReplica>,
        fencing_number: u64,
        now: Duration,
    ) -> Vec<RolloutAction> {
        let mut orders = Vec::new();
        for replica in &pool.replicas {
            let Some(work) = self.work.get_mut(&replica.id) else {
                continue;
            };
            let target = Target::of(pool, replica);
            if !work.is_drained(observed.get(&replica.id), now) || !work.is_due(&target, now) {
                continue;
            }
            let order = target.order(fencing_number);
            work.ordered = Some(Ordered::new(target, now));
            orders.push(order_action(replica, order));
        }
        orders
    }

    fn notice(&mut self, name: &str, fencing_number: u64, now: Duration) -> Option<RolloutAction> {
        let drained: BTreeSet<_> = self.work.keys().cloned().collect();
        let is_changed = drained != self.noticed;
        let is_due = !drained.is_empty() && now >= self.notice_at + NOTICE_INTERVAL;
        if !is_changed && !is_due {
            return None;
        }
        self.sequence += 1;
        self.notice_at = now;
        let replicas = drained.iter().map(ToString::to_string).collect();
        self.noticed = drained;
        Some(RolloutAction::Notice(DrainNotice {
            pool: name.to_owned(),
            fencing_number,
            sequence: self.sequence,
            replicas,
        }))
    }
}

impl Work {
    /// Tells whether the engine has ended all answers that began before the routers heard of the drain.
    fn is_drained(&self, seen: Option<&ObservedReplica>, now: Duration) -> bool {
        let known_at = self.drained_since + NOTICE_SPREAD;
        let is_idle =
            seen.is_some_and(|seen| seen.reported_at >= known_at && seen.busy_requests == 0);
        is_idle || self.ordered.is_some() || now >= self.drained_since + DRAIN_LIMIT
    }

    fn is_due(&self, target: &Target, now: Duration) -> bool {
        match &self.ordered {
            Some(ordered) if ordered.is_under_way => false,
            Some(ordered) => ordered.target != *target || now >= ordered.repeat_at,
            None => true,
        }
    }
}

/// How many replicas may be in work at once, so that two thirds of those that answer keep serving.
fn at_once(pool: &Pool, reachable: usize) -> usize {
    let limit = pool.concurrent_loads as usize;
    limit.min((reachable / 3).max(1))
}

fn is_fresh(seen: &ObservedReplica, now: Duration) -> bool {
    now.saturating_sub(seen.reported_at) <= REPORT_LIFE
}

fn order_action(replica: &Replica, order: EngineOrder) -> RolloutAction {
    RolloutAction::Order {
        replica: replica.id.clone(),
        address: replica.address,
        order,
    }
}
