//! Rollouts on the control thread. Performs the calls that the lease and rollout state machines request.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64;

use super::Shared;
use super::thread::Event;
use crate::configuration::Configuration;
use crate::engine::OrderReply;
use crate::id::{PoolName, ReplicaId, RouterId};
use crate::membership::{Member, watchers_of};
use crate::pool::Pool;
use crate::protocol::{EngineOrder, LoadReport};
use crate::rollout::{
    DrainNotice, DrainTable, Lease, LeaseAction, LeaseEvent, LeaseRecord, ORDER_TIMEOUT,
    ObservedReplica, OrderOutcome, Rollout, RolloutAction,
};
use crate::service::ServiceKind;
use crate::store::PutOutcome;

/// The number of routers that compete for the lease of a pool.
const LEASE_CANDIDATES: usize = 3;
/// The key prefix of lease objects.
const LEASE_PREFIX: &str = "leases/";

/// The completion of a call made for a rollout.
#[derive(Debug)]
pub(crate) enum RolloutEvent {
    /// A call for the pool's lease completed.
    Lease(PoolName, LeaseEvent),
    /// An order to a replica completed.
    Order(PoolName, ReplicaId, OrderOutcome),
}

/// The rollouts of all model pools.
pub(crate) struct Rollouts {
    shared: Arc<Shared>,
    started: Instant,
    pools: BTreeMap<PoolName, PoolRollout>,
    drains: DrainTable,
    drained: BTreeSet<(PoolName, ReplicaId)>,
}

struct PoolRollout {
    lease: Lease,
    rollout: Rollout,
    observed: BTreeMap<ReplicaId, ObservedReplica>,
}

impl Rollouts {
    /// Creates the state of a router that holds no lease.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            started: Instant::now(),
            pools: BTreeMap::new(),
            drains: DrainTable::default(),
            drained: BTreeSet::new(),
        }
    }

    /// Advances leases and rollouts, and returns the drain notices to send to other routers.
    pub(crate) fn tick(
        &mut self,
        configuration: &Configuration,
        members: &[Member],
    ) -> Vec<DrainNotice> {
        let mut notices = Vec::new();
        for (name, pool) in model_pools(configuration) {
            let rank = rank_of(&name, &self.shared.settings.router, members);
            if let Some(rank) = rank {
                self.advance_lease(&name, LeaseEvent::Tick, rank);
            }
            notices.extend(self.advance_rollout(&name, &pool));
        }
        notices
    }

    /// Handles the completion of a call.
    pub(crate) fn handle(&mut self, event: RolloutEvent, members: &[Member]) {
        match event {
            RolloutEvent::Lease(name, event) => {
                let own = &self.shared.settings.router;
                let rank = rank_of(&name, own, members).unwrap_or(LEASE_CANDIDATES as u32);
                self.advance_lease(&name, event, rank);
            }
            RolloutEvent::Order(name, replica, outcome) => {
                let now = self.now();
                log::info!("rollout: Order ended. pool={name} replica={replica} end={outcome:?}");
                let pool = self.pool_mut(&name);
                pool.rollout.record_outcome(&replica, outcome, now);
            }
        }
    }

    /// Records an engine's load report.
    pub(crate) fn observe(&mut self, name: &PoolName, replica: &ReplicaId, load: &LoadReport) {
        let reported_at = self
            .now()
            .saturating_sub(Duration::from_millis(load.age_ms));
        let observed = ObservedReplica {
            incarnation: load.incarnation,
            weights_version: load.weights_version,
            adapter: load.adapter.clone(),
            role: load.role,
            busy_requests: load.waiting_requests + load.running_requests,
            reported_at,
        };
        let pool = self.pool_mut(name);
        pool.observed.insert(Arc::clone(replica), observed);
    }

    /// Applies a drain notice from another router and returns whether it was new.
    pub(crate) fn apply_notice(&mut self, notice: &DrainNotice) -> bool {
        let now = self.now();
        self.drains.apply(notice, now)
    }

    /// Returns the drained replicas if they changed since the last call.
    pub(crate) fn changed_drains(&mut self) -> Option<BTreeSet<(PoolName, ReplicaId)>> {
        let drained = self.drains.drained(self.now());
        if drained == self.drained {
            return None;
        }
        self.drained.clone_from(&drained);
        Some(drained)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn pool_mut(&mut self, name: &PoolName) -> &mut PoolRollout {
        let (router, incarnation) = (&self.shared.settings.router, self.shared.incarnation);
        let pool = self.pools.entry(Arc::clone(name));
        pool.or_insert_with(|| PoolRollout {
            lease: Lease::new(Arc::clone(router), incarnation),
            rollout: Rollout::new(),
            observed: BTreeMap::new(),
        })
    }

    fn advance_lease(&mut self, name: &PoolName, event: LeaseEvent, rank: u32) {
        let now = self.now();
        let lease = &mut self.pool_mut(name).lease;
        let was_held = lease.is_held(now);
        let action = lease.next(event, rank, now);
        let is_held = lease.is_held(now);
        if was_held != is_held {
            log::info!("rollout: Acquired or lost the lease. pool={name} held={is_held}");
        }
        if let Some(action) = action {
            self.spawn_lease_action(name, action);
        }
    }

    fn advance_rollout(&mut self, name: &PoolName, pool: &Pool) -> Vec<DrainNotice> {
        let now = self.now();
        let state = self.pool_mut(name);
        let fencing_number = state.lease.fencing_number(now);
        let actions = state
            .rollout
            .step(name, pool, &state.observed, fencing_number, now);
        let mut notices = Vec::new();
        for action in actions {
            match action {
                RolloutAction::Order {
                    replica,
                    address,
                    order,
                } => self.send_order(name, replica, address, order),
                RolloutAction::Notice(notice) => {
                    self.drains.apply(&notice, now);
                    notices.push(notice);
                }
            }
        }
        notices
    }

    fn send_order(
        &self,
        name: &PoolName,
        replica: ReplicaId,
        address: SocketAddr,
        order: EngineOrder,
    ) {
        let shared = Arc::clone(&self.shared);
        let name = Arc::clone(name);
        tokio::spawn(async move {
            let answer = shared.engines.order(address, &order, ORDER_TIMEOUT).await;
            let outcome = match answer {
                OrderReply::Accepted => OrderOutcome::Taken,
                OrderReply::Fenced => OrderOutcome::Fenced,
                OrderReply::Unknown => OrderOutcome::Failed,
            };
            let event = RolloutEvent::Order(name, replica, outcome);
            // Sending fails only if the router is stopping.
            let _ = shared.events().send(Event::Rollout(event)).await;
        });
    }

    fn spawn_lease_action(&self, name: &PoolName, action: LeaseAction) {
        let shared = Arc::clone(&self.shared);
        let name = Arc::clone(name);
        tokio::spawn(async move {
            let event = run_lease_action(&shared, &name, action).await;
            let event = RolloutEvent::Lease(name, event);
            // Sending fails only if the router is stopping.
            let _ = shared.events().send(Event::Rollout(event)).await;
        });
    }
}

async fn run_lease_action(shared: &Shared, name: &str, action: LeaseAction) -> LeaseEvent {
    let key = format!("{LEASE_PREFIX}{name}");
    match action {
        LeaseAction::Read => {
            let read = shared.store.get(&key).await;
            let Ok(found) = read else {
                return LeaseEvent::Read(None);
            };
            let Some(object) = found else {
                return LeaseEvent::Read(Some(None));
            };
            let record = serde_json::from_slice::<LeaseRecord>(&object.value).ok();
            LeaseEvent::Read(record.map(|record| Some((object.version, record))))
        }
        LeaseAction::Write(record, condition) => {
            let outcome = match serde_json::to_vec(&record) {
                Ok(value) => shared.store.put(&key, Bytes::from(value), condition).await,
                Err(_) => PutOutcome::NotSent,
            };
            LeaseEvent::Written(outcome)
        }
    }
}

/// Returns the pools of model services. Replicas of plain services accept no orders.
fn model_pools(configuration: &Configuration) -> BTreeMap<PoolName, Arc<Pool>> {
    let services = configuration.services.values();
    services
        .filter(|service| service.kind == ServiceKind::Model)
        .filter_map(|service| {
            let pool = configuration.pools.get(&service.pool)?;
            Some((Arc::clone(&service.pool), Arc::clone(pool)))
        })
        .collect()
}

/// Returns the router's rank among the candidates for a pool's lease, or `None` if it is not a candidate.
fn rank_of(pool: &str, own: &RouterId, members: &[Member]) -> Option<u32> {
    let routers = members.iter().map(|member| &member.router);
    let candidates = watchers_of(xxh3_64(pool.as_bytes()), routers, LEASE_CANDIDATES);
    let rank = candidates.iter().position(|router| *router == own)?;
    u32::try_from(rank).ok()
}
