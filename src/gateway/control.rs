//! The control thread: it hears from the platform, from other gateways and from traffic, and publishes what traffic goes by.
//!
//! Decisions are those of the pure parts: [`super::fleet`], [`super::weights`], [`crate::rollout::Lease`],
//! [`crate::membership`]. Here events are handed to them and what they ask for is carried out.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64;

use super::clock::boot_time;
use super::fleet::{Fleet, FleetChange, KnownReplica, ReplicaEntry, ReplicaPhase};
use super::follow::{Followed, follow, store_backoff};
use super::notice::{NoticePhase, ReplicaNotice, ReplicaNotices};
use super::peers::Peers;
use super::route::{ModelName, RouteTable};
use super::shared::{Observation, Replica, ReplicaLoad, Shared, Snapshot};
use super::store::{CallFuture, ConfigurationRead, NamedWeights, PlatformStore, StoreFault};
use super::upstream::ReplicaPool;
use super::weights::{LoadTarget, OrderReply, WeightsReport, WeightsRollout, WeightsStep};
use crate::error::{Error, ErrorKind};
use crate::id::{ReplicaId, RouterId, WeightsVersion};
use crate::membership::{Heartbeat, watchers_of};
use crate::peer::Inbound;
use crate::rollout::{Lease, LeaseAction, LeaseEvent, LeaseTimes};

/// The events that may wait for the control thread.
const EVENTS_IN_HAND: usize = 1_024;
/// The pause between looks at the time while nothing is rolled out.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The pause between looks at the time during a rollout.
const ROLLOUT_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The pause between two readings of the configuration: half of the bound of 2 s in which one has to be in force.
const CONFIGURATION_INTERVAL: Duration = Duration::from_secs(1);
/// The pause after changes of replicas; they come in groups, and each watch is priced.
const REPLICAS_PAUSE: Duration = Duration::from_millis(600);
/// The pause after changes of named weights.
const WEIGHTS_PAUSE: Duration = Duration::from_millis(50);
/// How many routers stand by for the lease for orders.
const LEASE_CANDIDATES: usize = 3;
/// How many routers tell the others of replicas that leave; all of them watch, but some may be out of touch.
const LEAVING_TELLERS: usize = 2;
/// How long an order may take to be answered.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long versions that were named stay remembered behind the newest.
const NAMED_LIFE: Duration = Duration::from_secs(60);
/// The share of a replica's connections that all routers together use.
const CONNECTIONS_SHARE: f64 = 0.85;
/// The connections to a replica that each router may open in any case.
const MIN_CONNECTIONS: u32 = 4;

/// An order to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderCall {
    /// The replica and what it shall load.
    pub target: LoadTarget,
    /// The orders that it must have accepted for this one to count.
    pub accepted_orders: u64,
    /// The lease's fencing number.
    pub fencing_number: u64,
    /// This router.
    pub holder: RouterId,
    /// How long the answer may take.
    pub timeout: Duration,
}

/// A question to a replica how it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportCall {
    /// The replica.
    pub replica: ReplicaId,
    /// When it started.
    pub born_ms: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// How long the answer may take.
    pub timeout: Duration,
}

/// A call to a replica other than a request.
pub type ReplicaCall<A, T> = Box<dyn Fn(A) -> CallFuture<T> + Send + Sync>;

/// The calls to replicas other than requests, which an adapter fills in.
pub struct ReplicaCalls {
    /// Sends an order.
    pub order: ReplicaCall<OrderCall, OrderReply>,
    /// Asks how a replica is; `None` where no usable answer came.
    pub report: ReplicaCall<ReportCall, Option<WeightsReport>>,
}

impl std::fmt::Debug for ReplicaCalls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ReplicaCalls")
    }
}

/// What the control thread hears.
#[derive(Debug)]
pub(crate) enum Event {
    /// The configuration was read by a call sent at this time.
    Configuration(Duration, Box<Result<Option<ConfigurationRead>, StoreFault>>),
    /// The list of replicas.
    Replicas(Followed<ReplicaEntry>),
    /// The named weights.
    Weights(Followed<NamedWeights>),
    /// A peer acknowledged a probe.
    Acknowledged(Box<Heartbeat>),
    /// A call for the lease ended.
    Lease(LeaseEvent),
    /// An order ended.
    OrderEnded(LoadTarget, OrderReply, u64),
    /// A report ended.
    ReportEnded(ReportCall, Option<WeightsReport>),
    /// The process was told to leave.
    Leave,
}

/// What the control thread needs from outside.
pub(crate) struct ControlParts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: PlatformStore,
    pub(crate) replicas: ReplicaCalls,
    pub(crate) observations: mpsc::Receiver<Observation>,
    pub(crate) peers: TcpListener,
}

/// Starts the control thread; the sender takes events for it.
pub(crate) fn start(parts: ControlParts) -> Result<mpsc::Sender<Event>, Error> {
    let (events, heard) = mpsc::channel(EVENTS_IN_HAND);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::new(ErrorKind::Io, format!("control runtime: {error}")))?;
    let sender = events.clone();
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(run(parts, sender, heard)))
        .map_err(|error| Error::new(ErrorKind::Io, format!("control thread: {error}")))?;
    Ok(events)
}

async fn run(parts: ControlParts, events: mpsc::Sender<Event>, mut heard: mpsc::Receiver<Event>) {
    let ControlParts {
        shared,
        store,
        replicas,
        mut observations,
        peers,
    } = parts;
    let (peers, mut inbound) = match Peers::start(&shared.settings, peers, events.clone()) {
        Ok(started) => started,
        Err(error) => {
            log::error!("control: The peers' address can't be used. error={error}");
            std::process::exit(1);
        }
    };
    let mut control = Control::new(shared, store, replicas, peers, events);
    control.follow_platform();
    loop {
        let tick = control.tick_interval();
        tokio::select! {
            event = heard.recv() => match event {
                Some(event) => control.take(event),
                None => return,
            },
            observation = observations.recv() => match observation {
                Some(observation) => control.observe(observation),
                None => return,
            },
            () = receive(&mut inbound, &mut control) => {}
            () = tokio::time::sleep(tick) => control.tick(),
        }
        control.advance();
        control.publish();
    }
}

async fn receive(inbound: &mut Inbound, control: &mut Control) {
    let Some(event) = inbound.recv().await else {
        // The links end with the process; without them the router serves alone.
        return std::future::pending().await;
    };
    if let Some((from, notices)) = control.peers.receive(event) {
        control.take_notices(&from, &notices);
    }
}

struct Control {
    shared: Arc<Shared>,
    store: Arc<PlatformStore>,
    replicas: Arc<ReplicaCalls>,
    peers: Peers,
    events: mpsc::Sender<Event>,
    table: Option<Arc<RouteTable>>,
    fleet: Fleet,
    named: BTreeMap<ModelName, Vec<(WeightsVersion, Duration)>>,
    lease: Lease,
    rollout: WeightsRollout,
    last_holder: Option<RouterId>,
    asked: HashMap<ReplicaId, Duration>,
    runtime: HashMap<(ReplicaId, u64), (Arc<ReplicaLoad>, Arc<ReplicaPool>)>,
    next_tick: Duration,
    is_dirty: bool,
    was_ready: bool,
    store_lost: bool,
}

impl Control {
    fn new(
        shared: Arc<Shared>,
        store: PlatformStore,
        replicas: ReplicaCalls,
        peers: Peers,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let lease = Lease::with_times(Arc::clone(peers.own()), 1, lease_times(&shared));
        Self {
            shared,
            store: Arc::new(store),
            replicas: Arc::new(replicas),
            peers,
            events,
            table: None,
            fleet: Fleet::default(),
            named: BTreeMap::new(),
            lease,
            rollout: WeightsRollout::default(),
            last_holder: None,
            asked: HashMap::new(),
            runtime: HashMap::new(),
            next_tick: Duration::ZERO,
            is_dirty: true,
            was_ready: false,
            store_lost: false,
        }
    }

    /// Begins to read the configuration and to follow replicas and weights.
    fn follow_platform(&self) {
        tokio::spawn(read_configuration(Arc::clone(&self.store), self.events.clone()));
        let (store, events) = (Arc::clone(&self.store), self.events.clone());
        tokio::spawn(async move {
            let list = |after| (store.list_replicas)(after);
            let watch = |since| (store.watch_replicas)(since);
            let take = |followed| pass_on(&events, Event::Replicas(followed));
            follow(list, watch, REPLICAS_PAUSE, take).await;
        });
        let (store, events) = (Arc::clone(&self.store), self.events.clone());
        tokio::spawn(async move {
            let list = |after| (store.list_weights)(after);
            let watch = |since| (store.watch_weights)(since);
            let take = |followed| pass_on(&events, Event::Weights(followed));
            follow(list, watch, WEIGHTS_PAUSE, take).await;
        });
    }

    fn tick_interval(&self) -> Duration {
        let interval = if self.is_rollout_wanted() {
            ROLLOUT_TICK_INTERVAL
        } else {
            TICK_INTERVAL
        };
        let until_tick = self.next_tick.saturating_sub(boot_time());
        interval.min(until_tick.max(Duration::from_millis(1)))
    }

    fn tick(&mut self) {
        let now = boot_time();
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        let changes = self.fleet.expire(now);
        self.changed(changes);
        let is_ready = self.shared.is_ready();
        if is_ready != self.was_ready {
            let age = self.shared.freshness(now).age;
            log::info!(
                "control: Readiness changed. ready={is_ready} configuration_age_ms={}",
                age.as_millis()
            );
        }
        self.was_ready = is_ready;
        self.peers.set_ready(is_ready);
        self.peers.tick();
        for (_, pool) in self.runtime.values() {
            pool.close_idle(false);
        }
        for versions in self.named.values_mut() {
            let newest = versions.last().copied();
            versions.retain(|entry| Some(*entry) == newest || now < entry.1 + NAMED_LIFE);
        }
    }

    fn take(&mut self, event: Event) {
        let now = boot_time();
        match event {
            Event::Configuration(sent_at, result) => self.take_configuration(sent_at, *result),
            Event::Replicas(followed) => self.take_replicas(followed, now),
            Event::Weights(followed) => self.take_weights(followed, now),
            Event::Acknowledged(heartbeat) => self.peers.take_heartbeat(&heartbeat, None),
            Event::Lease(event) => self.advance_lease(event, now),
            Event::OrderEnded(target, reply, fencing_number) => {
                log::info!(
                    "rollout: Order ended. replica={} model={} version={} fencing_number={fencing_number} reply={reply:?}",
                    target.replica,
                    target.model,
                    target.version
                );
                self.rollout
                    .order_ended(&target.replica, reply, fencing_number, now);
            }
            Event::ReportEnded(call, report) => self.take_report(&call, report.as_ref(), now),
            Event::Leave => self.peers.leave(),
        }
    }

    fn take_configuration(
        &mut self,
        sent_at: Duration,
        result: Result<Option<ConfigurationRead>, StoreFault>,
    ) {
        let read = match result {
            Ok(read) => read,
            Err(fault) => {
                if !std::mem::replace(&mut self.store_lost, true) {
                    log::warn!("store: The configuration can't be read. fault=\"{fault}\"");
                }
                return;
            }
        };
        if std::mem::take(&mut self.store_lost) {
            log::info!("store: The configuration is read again.");
        }
        let Some(read) = read else {
            return;
        };
        if let Some(configuration) = read.changed {
            let known = self.table.as_ref().map_or(0, |table| table.version());
            if configuration.version >= known {
                log::info!(
                    "config: Adopted. version={} before={known} revision={} routes={}",
                    configuration.version,
                    read.revision,
                    configuration.routes.len()
                );
                let table = RouteTable::new(Arc::unwrap_or_clone(configuration));
                self.table = Some(Arc::new(table));
                self.is_dirty = true;
                // Requests go by the new table before it counts as confirmed.
                self.publish();
            } else {
                log::warn!(
                    "config: An older version was ignored. version={} known={known}",
                    configuration.version
                );
                return;
            }
        }
        self.shared.confirm(sent_at);
    }

    fn take_replicas(&mut self, followed: Followed<ReplicaEntry>, now: Duration) {
        match followed {
            Followed::Listed(entries) => {
                let changes = self.fleet.take_list(entries, now);
                self.is_dirty = true;
                self.changed(changes);
            }
            Followed::Changed(entries) => {
                let mut changes = Vec::new();
                for entry in entries {
                    changes.extend(self.fleet.take_entry(entry, now));
                }
                self.changed(changes);
            }
            Followed::Lost(fault) => {
                log::warn!("store: Replicas can't be followed. fault=\"{fault}\"");
            }
            Followed::Regained(faults) => {
                log::info!("store: Replicas are followed again. faults={faults}");
                self.fleet.platform_returned(now);
            }
        }
    }

    fn take_weights(&mut self, followed: Followed<NamedWeights>, now: Duration) {
        let entries = match followed {
            Followed::Listed(entries) | Followed::Changed(entries) => entries,
            Followed::Lost(fault) => {
                log::warn!("store: Named weights can't be followed. fault=\"{fault}\"");
                return;
            }
            Followed::Regained(faults) => {
                log::info!("store: Named weights are followed again. faults={faults}");
                return;
            }
        };
        for named in entries {
            let versions = self.named.entry(Arc::clone(&named.model)).or_default();
            let is_newer = versions.last().is_none_or(|(newest, _)| named.version > *newest);
            if is_newer {
                log::info!("rollout: Weights named. model={} version={}", named.model, named.version);
                versions.push((named.version, now));
                self.is_dirty = true;
            }
        }
    }

    /// Takes what traffic learned.
    fn observe(&mut self, observation: Observation) {
        let now = boot_time();
        let change = match observation {
            Observation::Weights {
                replica,
                born_ms,
                model,
                version,
            } => self.fleet.note_weights(&replica, born_ms, &model, version),
            Observation::AddressReused { replica, born_ms } => {
                self.fleet.note_leaving(&replica, born_ms)
            }
            Observation::OtherWeights { replica } => {
                self.ask(&replica, now);
                None
            }
        };
        self.changed(change.into_iter().collect());
    }

    /// Asks a replica for its weights, unless it was asked a moment ago.
    fn ask(&mut self, replica: &ReplicaId, now: Duration) {
        let Some(known) = self.fleet.get(replica) else {
            return;
        };
        let asked = self.asked.get(replica);
        if asked.is_some_and(|at| now < *at + ORDER_TIMEOUT) {
            return;
        }
        let call = ReportCall {
            replica: Arc::clone(replica),
            born_ms: known.record.born_ms,
            address: known.record.address,
            timeout: ORDER_TIMEOUT,
        };
        self.asked.insert(Arc::clone(replica), now);
        self.send_report(call);
    }

    fn take_report(&mut self, call: &ReportCall, report: Option<&WeightsReport>, now: Duration) {
        let mut changes = Vec::new();
        if let Some(report) = report.filter(|report| !report.is_busy) {
            for (model, version) in &report.weights {
                let known = self.fleet.get(&call.replica);
                let is_newer = known
                    .and_then(|known| known.version_of(model))
                    .is_none_or(|known| known < *version);
                if is_newer {
                    let born_ms = call.born_ms;
                    let change = self.fleet.note_weights(&call.replica, born_ms, model, *version);
                    changes.extend(change);
                }
            }
        }
        self.changed(changes);
        if let Some(step) = self.rollout.report_ended(&call.replica, report, now) {
            self.act(step, now);
        }
    }

    fn take_notices(&mut self, from: &RouterId, notices: &ReplicaNotices) {
        if notices.from_holder {
            self.last_holder = Some(Arc::clone(from));
        }
        let now = boot_time();
        let changes = notices.notices.iter();
        let changes: Vec<_> = changes
            .filter_map(|notice| notice.apply(&mut self.fleet, now))
            .collect();
        self.changed(changes);
    }

    /// Logs changes of the fleet and lets them be published.
    fn changed(&mut self, changes: Vec<FleetChange>) {
        let mut told = Vec::new();
        for change in changes {
            match &change {
                FleetChange::Ignored(id, reason) => {
                    log::warn!("fleet: An entry names no replica. entry={id} reason=\"{reason}\"");
                    continue;
                }
                FleetChange::Leaving(id) => {
                    if let Some(known) = self.fleet.get(id) {
                        told.push(ReplicaNotice::of_leaving(id, known.record.born_ms));
                    }
                    log::info!("fleet: Replica leaves. replica={id}");
                }
                FleetChange::Changed(id) => log::debug!("fleet: Replica changed. replica={id}"),
                change => log::info!("fleet: {change:?}"),
            }
            self.is_dirty = true;
        }
        if !told.is_empty() && self.rank().is_some_and(|rank| rank < LEAVING_TELLERS) {
            self.peers.tell(told, false);
        }
    }

    fn wanted(&self) -> BTreeMap<ModelName, WeightsVersion> {
        let newest = self.named.iter().filter_map(|(model, versions)| {
            versions.last().map(|(version, _)| (Arc::clone(model), *version))
        });
        newest.collect()
    }

    fn is_rollout_wanted(&self) -> bool {
        !self.named.is_empty() && WeightsRollout::is_wanted(self.fleet.replicas(), &self.wanted())
    }

    /// Returns this router's place among those that stand by for the lease, the last holder first.
    fn rank(&self) -> Option<usize> {
        let alive: Vec<_> = self.peers.alive().map(|member| &member.router).collect();
        let last = self.last_holder.as_ref().filter(|last| alive.contains(last));
        let others = watchers_of(xxh3_64(b"orders"), alive.iter().copied(), LEASE_CANDIDATES);
        let order = last.into_iter().chain(others.into_iter().filter(|other| Some(*other) != last));
        order
            .take(LEASE_CANDIDATES)
            .position(|router| router == self.peers.own())
    }

    /// Advances the lease and the rollout where there is something to roll out.
    fn advance(&mut self) {
        let now = boot_time();
        if !self.is_rollout_wanted() || self.shared.is_leaving() {
            return;
        }
        let Some(rank) = self.rank() else {
            return;
        };
        let action = self.lease.next(LeaseEvent::Tick, rank as u32, now);
        self.act_on_lease(action);
        let Some(fencing_number) = self.lease.fencing_number(now) else {
            if !self.lease.is_held(now) {
                self.rollout.lose_lease();
            }
            return;
        };
        self.last_holder = Some(Arc::clone(self.peers.own()));
        let wanted = self.wanted();
        let steps = self
            .rollout
            .step(self.fleet.replicas(), &wanted, fencing_number, now);
        for step in steps {
            self.act(step, now);
        }
    }

    fn advance_lease(&mut self, event: LeaseEvent, now: Duration) {
        log::debug!("rollout: Lease call ended. event={event:?}");
        let rank = self.rank().unwrap_or(LEASE_CANDIDATES);
        let action = self.lease.next(event, rank as u32, now);
        self.act_on_lease(action);
    }

    fn act_on_lease(&self, action: Option<LeaseAction>) {
        let Some(action) = action else {
            return;
        };
        let (store, events) = (Arc::clone(&self.store), self.events.clone());
        tokio::spawn(async move {
            let event = match action {
                LeaseAction::Read => LeaseEvent::Read((store.read_lease)(()).await.ok()),
                LeaseAction::Write(record, condition) => {
                    LeaseEvent::Written((store.write_lease)(record, condition).await)
                }
            };
            pass_on(&events, Event::Lease(event));
        });
    }

    fn act(&mut self, step: WeightsStep, now: Duration) {
        match step {
            WeightsStep::Announce(target) => self.tell_load(&target, NoticePhase::Loading, now),
            WeightsStep::Loaded(target) => self.tell_load(&target, NoticePhase::Loaded, now),
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

    /// Tells all routers, this one included, how far a load is.
    fn tell_load(&mut self, target: &LoadTarget, phase: NoticePhase, now: Duration) {
        log::info!(
            "rollout: Load. phase={phase:?} replica={} model={} version={}",
            target.replica,
            target.model,
            target.version
        );
        let notice = ReplicaNotice::of_load(target, phase);
        let change = notice.apply(&mut self.fleet, now);
        self.changed(change.into_iter().collect());
        self.peers.tell(vec![notice], true);
    }

    fn send_report(&self, call: ReportCall) {
        let (replicas, events) = (Arc::clone(&self.replicas), self.events.clone());
        tokio::spawn(async move {
            let report = (replicas.report)(call.clone()).await;
            pass_on(&events, Event::ReportEnded(call, report));
        });
    }

    fn send_order(&self, target: LoadTarget, accepted_orders: u64, fencing_number: u64) {
        let call = OrderCall {
            target: target.clone(),
            accepted_orders,
            fencing_number,
            holder: Arc::clone(self.peers.own()),
            timeout: ORDER_TIMEOUT,
        };
        let (replicas, events) = (Arc::clone(&self.replicas), self.events.clone());
        tokio::spawn(async move {
            let reply = (replicas.order)(call).await;
            pass_on(&events, Event::OrderEnded(target, reply, fencing_number));
        });
    }

    /// Publishes what traffic goes by, if anything has changed.
    fn publish(&mut self) {
        if self.peers.has_changed() {
            self.is_dirty = true;
        }
        if !std::mem::take(&mut self.is_dirty) {
            return;
        }
        let routers = self.peers.alive().count().max(1);
        let mut snapshot = Snapshot {
            table: self.table.clone(),
            named: self.named.clone(),
            entries: self.peers.entries(),
            routers,
            knows_replicas: self.fleet.is_listed(),
            ..Snapshot::default()
        };
        let known: Vec<KnownReplica> = self.fleet.replicas().cloned().collect();
        self.runtime.retain(|(id, born_ms), _| {
            let is_same = |known: &KnownReplica| {
                known.record.id == *id && known.record.born_ms == *born_ms
            };
            known.iter().any(is_same)
        });
        for known in known {
            let replica = self.replica(known, routers);
            let service = Arc::clone(&replica.known.record.service);
            snapshot.services.entry(service).or_default().push(Arc::new(replica));
        }
        for (service, replicas) in &snapshot.services {
            let ids = replicas.iter().map(|replica| Arc::clone(&replica.known.record.id));
            self.shared.set_health(service, ids.collect());
        }
        self.shared.snapshot.store(Arc::new(snapshot));
    }

    fn replica(&mut self, known: KnownReplica, routers: usize) -> Replica {
        let record = &known.record;
        let service = self.table.as_ref().and_then(|table| table.service(&record.service));
        let most = service.map_or(MIN_CONNECTIONS, |service| service.max_connections);
        let share = f64::from(most) * CONNECTIONS_SHARE / routers as f64;
        let limit = (share as u32).max(MIN_CONNECTIONS);
        let key = (Arc::clone(&record.id), record.born_ms);
        let address = record.address;
        let (load, pool) = self
            .runtime
            .entry(key)
            .or_insert_with(|| (Arc::default(), Arc::new(ReplicaPool::new(address, limit))));
        pool.set_limit(limit);
        if known.phase == ReplicaPhase::Leaving {
            pool.close_idle(true);
        }
        Replica {
            load: Arc::clone(load),
            pool: Arc::clone(pool),
            known,
        }
    }
}

fn lease_times(shared: &Shared) -> LeaseTimes {
    let bounds = shared.bounds();
    let lease = Duration::from_millis(bounds.lease_ms);
    if bounds.replicas_check_fencing {
        // Replicas refuse an old holder's orders, so a shorter life is safe and a new holder need not wait.
        return LeaseTimes {
            life: lease / 2,
            renewal_interval: lease / 6,
            clock_margin: lease / 15,
            order_timeout: ORDER_TIMEOUT,
            settle: Duration::ZERO,
            failure_pause: Duration::from_millis(200),
        };
    }
    LeaseTimes {
        life: lease,
        renewal_interval: lease / 4,
        clock_margin: lease / 10,
        order_timeout: lease / 3,
        settle: lease,
        failure_pause: Duration::from_millis(300),
    }
}

/// Reads the configuration again and again; each reading confirms that what is known is current.
async fn read_configuration(store: Arc<PlatformStore>, events: mpsc::Sender<Event>) {
    let mut revision = 0;
    let mut backoff = store_backoff();
    loop {
        let sent_at = boot_time();
        let result = (store.read_configuration)(revision).await;
        let pause = match &result {
            Ok(Some(read)) => {
                revision = read.revision;
                backoff.reset();
                CONFIGURATION_INTERVAL.saturating_sub(boot_time().saturating_sub(sent_at))
            }
            Ok(None) => CONFIGURATION_INTERVAL / 4,
            Err(_) => backoff.next_pause(&mut rand::rng()),
        };
        let event = Event::Configuration(sent_at, Box::new(result));
        if events.send(event).await.is_err() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Queues an event; a full queue means that the control thread is far behind.
fn pass_on(events: &mpsc::Sender<Event>, event: Event) {
    if events.try_send(event).is_err() {
        log::error!("control: An event was dropped because the queue is full.");
    }
}
