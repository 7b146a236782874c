//! Sends orders to replicas under the lease, and records the weights that replicas report.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::clock::boot_time;
use crate::gateway::load::replica_key;
use crate::gateway::notice::{NoticePhase, ReplicaNotice, ReplicaNotices};
use crate::gateway::route::ModelName;
use crate::gateway::settings::GatewayBounds;
use crate::gateway::shared::Observation;
use crate::gateway::store::CallFuture;
use crate::gateway::weights::{LoadTarget, OrderReply, WeightsReport, WeightsRollout, WeightsStep};
use crate::id::{ReplicaId, RouterId, WeightsVersion};
use crate::membership::watchers_of;
use crate::rollout::{LeaseAction, LeaseEvent, LeaseTiming};
use crate::store::PutOutcome;

use super::contain::result_or;
use super::{Control, Event, enqueue};

/// The number of routers that may acquire the lease for orders; several, since those of a zone may reach no replicas.
const LEASE_CANDIDATES: usize = 5;
/// How much longer each lower-ranked candidate waits after a lease expires; several store calls fit in.
const RANK_DELAY: Duration = Duration::from_millis(300);
/// The timeout of an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// An order to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderCall {
    /// The replica and the weights that it should load.
    pub target: LoadTarget,
    /// The number of orders that the replica must have accepted before for this one to take effect.
    pub accepted_orders: u64,
    /// The fencing number of the lease.
    pub fencing_number: u64,
    /// The router that holds the lease and sends the order.
    pub holder: RouterId,
    /// The timeout of the call.
    pub timeout: Duration,
    /// The boot time after which the order must not be sent, since another router may hold the lease.
    pub(crate) send_until: Duration,
}

impl OrderCall {
    /// Returns whether the order may still be sent. An adapter asks immediately before it sends, since the process may
    /// have been paused after the order was decided.
    #[must_use]
    pub fn may_be_sent(&self) -> bool {
        boot_time() <= self.send_until
    }
}

/// A request for a replica's report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportCall {
    /// The replica.
    pub replica: ReplicaId,
    /// The start time of the replica, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The address that the replica listens on.
    pub address: SocketAddr,
    /// The timeout of the call.
    pub timeout: Duration,
}

/// A control call to a replica.
pub type ReplicaCall<A, T> = Box<dyn Fn(A) -> CallFuture<T> + Send + Sync>;

/// The control calls to replicas, implemented by an adapter.
pub struct ReplicaCalls {
    /// Sends an order.
    pub order: ReplicaCall<OrderCall, OrderReply>,
    /// Requests a report; returns `None` if there was no valid response.
    pub report: ReplicaCall<ReportCall, Option<WeightsReport>>,
}

impl std::fmt::Debug for ReplicaCalls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ReplicaCalls")
    }
}

/// Returns the timing of the lease for orders that satisfies the users' bounds.
pub(crate) fn lease_timing(bounds: &GatewayBounds) -> LeaseTiming {
    let lease = Duration::from_millis(bounds.lease_ms);
    if bounds.replicas_check_fencing {
        // Replicas reject orders of a previous holder, so a shorter duration is safe and a new holder need not wait.
        return LeaseTiming {
            duration: lease / 2,
            renewal_interval: lease / 6,
            drift_margin: lease / 15,
            order_timeout: ORDER_TIMEOUT,
            takeover_delay: Duration::ZERO,
            retry_delay: Duration::from_millis(200),
            rank_delay: RANK_DELAY,
        };
    }
    LeaseTiming {
        duration: lease,
        renewal_interval: lease / 4,
        drift_margin: lease / 10,
        order_timeout: lease / 3,
        takeover_delay: lease,
        retry_delay: Duration::from_millis(300),
        rank_delay: RANK_DELAY,
    }
}

impl Control {
    /// Applies an observation of a traffic thread.
    pub(super) fn handle_observation(&mut self, observation: Observation) {
        let now = boot_time();
        let change = match observation {
            Observation::Weights {
                replica,
                born_ms,
                model,
                version,
            } => self
                .fleet
                .record_weights(&replica, born_ms, &model, version),
            Observation::Leaving { replica, born_ms } => {
                let change = self.fleet.record_draining(&replica, born_ms);
                if change.is_some() {
                    let notice = ReplicaNotice::of_leaving(&replica, born_ms);
                    self.peers.broadcast_notices(vec![notice], false);
                }
                change
            }
            Observation::AddressReused { replica, born_ms } => {
                self.fleet.record_draining(&replica, born_ms)
            }
            Observation::Crash(crash) => {
                self.handle_crash(crash, now);
                None
            }
            Observation::Kept(kept) => {
                self.handle_kept(kept, now);
                None
            }
            Observation::OtherWeights { replica } => {
                self.request_report(&replica, now);
                None
            }
        };
        self.apply_fleet_changes(change.into_iter().collect());
    }

    /// Requests a report of a replica's weights, unless one was requested within the order timeout.
    pub(super) fn request_report(&mut self, replica: &ReplicaId, now: Duration) {
        let Some(known) = self.fleet.get(replica) else {
            return;
        };
        let last_report_requests = self.last_report_requests.get(replica);
        if last_report_requests.is_some_and(|at| now < *at + ORDER_TIMEOUT) {
            return;
        }
        let call = ReportCall {
            replica: Arc::clone(replica),
            born_ms: known.record.born_ms,
            address: known.record.address,
            timeout: ORDER_TIMEOUT,
        };
        self.last_report_requests.insert(Arc::clone(replica), now);
        self.send_report(call);
    }

    pub(super) fn handle_report(
        &mut self,
        call: &ReportCall,
        report: Option<&WeightsReport>,
        now: Duration,
    ) {
        let mut changes = Vec::new();
        if let Some(report) = report.filter(|report| !report.is_busy) {
            for (model, version) in &report.weights {
                let known = self.fleet.get(&call.replica);
                let is_newer = known
                    .and_then(|known| known.version_of(model))
                    .is_none_or(|known| known < *version);
                if is_newer {
                    let born_ms = call.born_ms;
                    let change = self
                        .fleet
                        .record_weights(&call.replica, born_ms, model, *version);
                    changes.extend(change);
                }
            }
        }
        self.apply_fleet_changes(changes);
        if let Some(step) = self.rollout.report_ended(&call.replica, report, now) {
            self.execute(step, now);
        }
    }

    pub(super) fn handle_notices(&mut self, from: &RouterId, notices: &ReplicaNotices) {
        if notices.from_holder {
            self.last_holder = Some(Arc::clone(from));
        }
        let now = boot_time();
        let changes = notices.notices.iter();
        let changes: Vec<_> = changes
            .filter_map(|notice| notice.apply(&mut self.fleet, now))
            .collect();
        self.apply_fleet_changes(changes);
    }

    pub(super) fn target_versions(&self) -> BTreeMap<ModelName, WeightsVersion> {
        let newest = self.named.models().iter().filter_map(|(model, versions)| {
            versions
                .last()
                .map(|(version, _)| (Arc::clone(model), *version))
        });
        newest.collect()
    }

    pub(super) fn is_rollout_wanted(&self) -> bool {
        !self.named.models().is_empty()
            && WeightsRollout::is_needed(self.fleet.replicas(), &self.target_versions())
    }

    /// Returns this router's rank among the lease candidates, with the last holder first, then one of each zone; `None` if it
    /// is not a candidate.
    pub(super) fn lease_rank(&self) -> Option<usize> {
        let candidates = self.peers.candidates();
        let routers: Vec<_> = candidates.iter().map(|member| &member.router).collect();
        let last = self
            .last_holder
            .as_ref()
            .filter(|last| routers.contains(last));
        let ranked = watchers_of(xxh3_64(b"orders"), routers.iter().copied(), routers.len());
        let zone = |router: &RouterId| {
            let member = candidates.iter().find(|member| member.router == *router);
            member.map(|member| &member.zone)
        };
        let mut zones = Vec::new();
        let (firsts, others): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|router| {
            let is_first = !zones.contains(&zone(router));
            zones.push(zone(router));
            is_first
        });
        let ordered = firsts.into_iter().chain(others);
        let order = last
            .into_iter()
            .chain(ordered.filter(|other| Some(*other) != last));
        order
            .take(LEASE_CANDIDATES)
            .position(|router| router == self.peers.own())
    }

    /// Advances the lease and the rollout if a rollout is needed.
    pub(super) fn advance(&mut self) {
        let now = boot_time();
        if !self.is_rollout_wanted() || self.shared.is_leaving() {
            return;
        }
        if self.reaches_no_replicas() {
            self.release_lease("this router reaches no replicas");
            self.rollout.lease_lost();
            return;
        }
        let Some(lease_rank) = self.lease_rank() else {
            return;
        };
        let action = self.lease.next(LeaseEvent::Tick, lease_rank as u32, now);
        self.execute_lease_action(action);
        let Some(fencing_number) = self.lease.fencing_number(now) else {
            if !self.lease.is_held(now) {
                self.rollout.lease_lost();
            }
            return;
        };
        self.last_holder = Some(Arc::clone(self.peers.own()));
        let target_versions = self.target_versions();
        let loads = self.peer_loads.total(&self.own_loads());
        let replicas: Vec<_> = self
            .fleet
            .replicas()
            .map(|known| {
                let record = &known.record;
                let load = loads.get(&replica_key(&record.id, record.born_ms));
                (known, load.map_or(0, |load| load.in_flight))
            })
            .collect();
        let steps = self
            .rollout
            .step(&replicas, &target_versions, fencing_number, now);
        for step in steps {
            self.execute(step, now);
        }
    }

    /// Gives the lease up, so that another router can acquire it at once.
    pub(super) fn release_lease(&mut self, reason: &str) {
        let released = self.lease.release(boot_time());
        if released.is_some() {
            log::info!("rollout: The lease was released. reason=\"{reason}\"");
        }
        self.execute_lease_action(released);
    }

    pub(super) fn advance_lease(&mut self, event: LeaseEvent, now: Duration) {
        log::debug!("rollout: Lease call ended. event={event:?}");
        let lease_rank = self.lease_rank().unwrap_or(LEASE_CANDIDATES);
        let action = self.lease.next(event, lease_rank as u32, now);
        self.execute_lease_action(action);
    }

    pub(super) fn execute_lease_action(&self, action: Option<LeaseAction>) {
        let Some(action) = action else {
            return;
        };
        let (store, events) = (Arc::clone(&self.store), self.events.clone());
        tokio::spawn(async move {
            let event = match action {
                LeaseAction::Read => {
                    let read = async { (store.read_lease)(()).await.ok() };
                    LeaseEvent::Read(result_or("lease", read, None).await)
                }
                LeaseAction::Write(record, condition) => {
                    let write = async { (store.write_lease)(record, condition).await };
                    LeaseEvent::Written(result_or("lease", write, PutOutcome::Unknown).await)
                }
            };
            enqueue(&events, Event::Lease(event));
        });
    }

    pub(super) fn execute(&mut self, step: WeightsStep, now: Duration) {
        match step {
            WeightsStep::Announce(target) => self.announce_load(&target, NoticePhase::Loading, now),
            WeightsStep::Loaded(target) => self.announce_load(&target, NoticePhase::Loaded, now),
            WeightsStep::Report(target) => self.send_report(ReportCall {
                replica: target.replica,
                born_ms: target.born_ms,
                address: target.address,
                timeout: ORDER_TIMEOUT,
            }),
            WeightsStep::Order {
                target,
                accepted_orders,
                fencing_number,
            } => self.send_order(target, accepted_orders, fencing_number),
        }
    }

    /// Announces the progress of a load to all routers and applies it to this one.
    pub(super) fn announce_load(&mut self, target: &LoadTarget, phase: NoticePhase, now: Duration) {
        log::info!(
            "rollout: Load. phase={phase:?} replica={} model={} version={}",
            target.replica,
            target.model,
            target.version
        );
        let notice = ReplicaNotice::of_load(target, phase);
        let change = notice.apply(&mut self.fleet, now);
        self.apply_fleet_changes(change.into_iter().collect());
        self.peers.broadcast_notices(vec![notice], true);
    }

    pub(super) fn send_report(&self, call: ReportCall) {
        let (replicas, events) = (Arc::clone(&self.replicas), self.events.clone());
        tokio::spawn(async move {
            let report = async { (replicas.report)(call.clone()).await };
            let report = result_or("report", report, None).await;
            enqueue(&events, Event::ReportEnded(call, report));
        });
    }

    pub(super) fn send_order(&self, target: LoadTarget, accepted_orders: u64, fencing_number: u64) {
        let call = OrderCall {
            target: target.clone(),
            accepted_orders,
            fencing_number,
            holder: Arc::clone(self.peers.own()),
            timeout: ORDER_TIMEOUT,
            send_until: self.lease.orders_allowed_until().unwrap_or_default(),
        };
        let (replicas, events) = (Arc::clone(&self.replicas), self.events.clone());
        tokio::spawn(async move {
            let reply = send_if_permitted(&replicas, call);
            let reply = result_or("order", reply, OrderReply::Unanswered).await;
            enqueue(&events, Event::OrderEnded(target, reply, fencing_number));
        });
    }
}

/// Sends an order unless its lease has expired meanwhile.
pub(crate) async fn send_if_permitted(replicas: &ReplicaCalls, call: OrderCall) -> OrderReply {
    if !call.may_be_sent() {
        metrics::counter!("crocuswharf_gateway_expired_orders_total").increment(1);
        log::warn!(
            "rollout: An order was not sent because the lease has expired. replica={} fencing_number={}",
            call.target.replica,
            call.fencing_number
        );
        return OrderReply::Unanswered;
    }
    (replicas.order)(call).await
}
