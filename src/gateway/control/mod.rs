//! The control thread: processes events from the platform, other gateways and traffic threads, and publishes the
//! routing state.
//!
//! The decisions are made in [`super::fleet`], [`super::weights`], [`crate::rollout::Lease`] and [`crate::membership`],
//! which do no I/O. This module passes events to them and executes the resulting actions.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc, oneshot, watch};

use crate::error::{Error, ErrorKind};
use crate::gateway::clock::boot_time;
use crate::gateway::fleet::{Fleet, FleetChange, KnownReplica, ReplicaEntry, ReplicaPhase};
use crate::gateway::fleet_size::FleetSize;
use crate::gateway::list_watch::{ListWatchEvent, list_and_watch};
use crate::gateway::load::{PeerLoads, PeerSpeeds, UnreachableView, replica_key};
use crate::gateway::named_versions::NamedVersions;
use crate::gateway::notice::ReplicaNotice;
use crate::gateway::peers::{PeerMessage, Peers};
use crate::gateway::prefill::{PrefillDecision, PrefillMessage, PrefillTracker, PrefixKey};
use crate::gateway::quota::message::QuotaRequest;
use crate::gateway::quota::owned::OwnedQuotas;
use crate::gateway::relay_client::RelayClient;
use crate::gateway::relay_message::ConnectRequest;
use crate::gateway::relay_server;
use crate::gateway::releases::{ReleaseRecord, Releases};
use crate::gateway::route::RouteTable;
use crate::gateway::shared::{Observation, Replica, ReplicaLoad, Shared, Snapshot};
use crate::gateway::source::{SourceSelector, UpdateSource};
use crate::gateway::store::{ConfigurationRead, NamedWeights, PlatformStore, StoreFault};
use crate::gateway::stream_origin::{ReleaseKey, StreamKey, release_key};
use crate::gateway::take_up::StreamLookup;
use crate::gateway::updates::PlatformUpdate;
use crate::gateway::upstream::{RelayRoute, ReplicaPool, ServiceLinks};
use crate::gateway::weights::{LoadTarget, OrderReply, WeightsReport, WeightsRollout};
use crate::id::{ReplicaId, RouterId, ServiceName};
use crate::membership::Heartbeat;
use crate::peer::{Inbound, PeerEvent};
use crate::request::quarantine::Quarantine;
use crate::rollout::{Lease, LeaseEvent};
use crate::store::ObjectVersion;

pub(crate) mod contain;
mod limits;
mod loads;
mod orders;
mod paths;
mod prefill;
mod quarantine;
mod quota;
mod speeds;
mod streams;
mod unreachable;
mod updates;

pub(crate) use self::orders::lease_timing;
#[cfg(test)]
pub(crate) use self::orders::send_if_permitted;
pub use self::orders::{OrderCall, ReplicaCall, ReplicaCalls, ReportCall};
#[cfg(test)]
pub(crate) use self::streams::holders;

use self::contain::{contain, restart_after_panic};
use self::paths::MAX_PATH_PROBES;
use self::prefill::{PendingPrefill, PrefillResponder};
use self::quarantine::PendingCrashes;
use self::updates::{PendingUpdate, PlatformState, poll_configuration};

/// The capacity of the event queue of the control thread.
const EVENT_QUEUE_LEN: usize = 1_024;
/// The tick interval while no rollout is needed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The tick interval during a rollout.
const ROLLOUT_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The pause after changes to replicas; they come in bursts, and each watch is charged.
const REPLICAS_PAUSE: Duration = Duration::from_millis(600);
/// The pause after changes to named weights.
const WEIGHTS_PAUSE: Duration = Duration::from_millis(50);
/// The number of routers that announce departing replicas; all routers watch the platform, but some may be
/// disconnected.
const LEAVING_ANNOUNCERS: usize = 2;
/// How long named versions are kept after their successors were named, at least.
const NAMED_TTL: Duration = Duration::from_secs(60);
/// The fraction of a replica's connection limit that all routers together use.
const CONNECTIONS_FRACTION: f64 = 0.85;
/// The number of connections to a replica that each router may always open.
const MIN_CONNECTIONS: u32 = 4;

/// An event for the control thread.
#[derive(Debug)]
pub(crate) enum Event {
    /// A read of the configuration, sent at this time, has ended.
    Configuration(Duration, Box<Result<Option<ConfigurationRead>, StoreFault>>),
    /// An event of the list of replicas.
    Replicas(ListWatchEvent<ReplicaEntry>),
    /// An event of the list of named weights.
    Weights(ListWatchEvent<NamedWeights>),
    /// A peer acknowledged a probe.
    Acknowledged(Box<Heartbeat>),
    /// A store call for the lease has ended.
    Lease(LeaseEvent),
    /// An order has ended.
    OrderEnded(LoadTarget, OrderReply, u64),
    /// A request for a report has ended.
    ReportEnded(ReportCall, Option<WeightsReport>),
    /// Another router replied to an update request sent at this time; `None` if it did not reply.
    Update(Duration, Option<Box<PlatformUpdate>>),
    /// A request of this router needs a prefill decision.
    PrefillRequested(PrefixKey, oneshot::Sender<PrefillDecision>),
    /// A prefill of this router has ended.
    PrefillEnded(PrefillMessage),
    /// Requests of this router need tokens of an account; the number matches the reply.
    QuotaRequested(u64, QuotaRequest),
    /// This router passes events of a release on to the caller of a stream.
    StreamBegun(StreamKey, ReleaseKey),
    /// A request of this router needs the release that began a stream.
    StreamLookup(StreamLookup),
    /// A read of the record of releases has ended.
    ReleasesRead(Option<Option<(ObjectVersion, ReleaseRecord)>>),
    /// A write of the record of releases has ended; without a version, its result is not known.
    ReleasesWritten(ReleaseRecord, Option<ObjectVersion>),
    /// The process is shutting down.
    Leave,
}

/// The dependencies of the control thread.
pub(crate) struct ControlParts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: PlatformStore,
    pub(crate) replicas: ReplicaCalls,
    pub(crate) observations: mpsc::Receiver<Observation>,
    pub(crate) peers: TcpListener,
    /// The address that this router listens on for callers.
    pub(crate) callers: SocketAddr,
    /// The runtime that serves traffic.
    pub(crate) traffic: Handle,
}

/// Starts the control thread and returns the sender of its events.
pub(crate) fn start(parts: ControlParts) -> Result<mpsc::Sender<Event>, Error> {
    let (events, receiver) = mpsc::channel(EVENT_QUEUE_LEN);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| Error::new(ErrorKind::Io, format!("control runtime: {error}")))?;
    let sender = events.clone();
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || runtime.block_on(run(parts, sender, receiver)))
        .map_err(|error| Error::new(ErrorKind::Io, format!("control thread: {error}")))?;
    Ok(events)
}

async fn run(
    parts: ControlParts,
    events: mpsc::Sender<Event>,
    mut receiver: mpsc::Receiver<Event>,
) {
    let ControlParts {
        shared,
        store,
        replicas,
        mut observations,
        peers,
        callers,
        traffic,
    } = parts;
    let started = Peers::start(&shared.settings, peers, callers, events.clone());
    let (peers, mut inbound) = match started {
        Ok(started) => started,
        Err(error) => {
            log::error!("control: Failed to start the peer links. error={error}");
            std::process::exit(1);
        }
    };
    let relays = Arc::new(RelayClient::new(peers.links().clone()));
    let requests = peers.links().accept_relays();
    traffic.spawn(relay_server::serve(
        Arc::clone(&shared),
        Arc::clone(&relays),
        requests,
    ));
    let mut control = Control::new(shared, store, replicas, peers, relays, events);
    control.start_platform_tasks();
    loop {
        let tick = control.tick_interval();
        tokio::select! {
            event = receiver.recv() => match event {
                Some(event) => contain("event", || control.handle_event(event)),
                None => return,
            },
            observation = observations.recv() => match observation {
                Some(observation) => contain("observation", || control.handle_observation(observation)),
                None => return,
            },
            () = receive(&mut inbound, &mut control) => {}
            () = tokio::time::sleep(tick) => contain("tick", || control.tick()),
        }
        // A timer that is restarted with each event may never fire while events follow each other.
        contain("tick", || control.tick());
        let now = boot_time();
        contain("source", || control.select_source(now));
        contain("paths", || control.advance_paths(now));
        contain("reachability", || control.advance_reachability(now));
        contain("updates", || control.answer_update_requests(now));
        contain("loads", || control.exchange_loads(now));
        contain("speeds", || control.publish_speeds(now));
        contain("prefills", || control.release_pending_prefills(now));
        contain("crashes", || control.release_pending_crashes(now));
        contain("orders", || control.advance());
        contain("publish", || control.publish());
    }
}

async fn receive(inbound: &mut Inbound, control: &mut Control) {
    let Some(event) = inbound.recv().await else {
        // The peer links end with the process; without them the router runs without peers.
        return std::future::pending().await;
    };
    contain("peer", || handle_peer_event(event, control));
}

fn handle_peer_event(event: PeerEvent, control: &mut Control) {
    match control.peers.receive(event) {
        Some(PeerMessage::Notices(from, notices)) => control.handle_notices(&from, &notices),
        Some(PeerMessage::UpdateRequested(from, request, reply)) => {
            control.enqueue_update_request(from, request, reply);
        }
        Some(PeerMessage::Loads(from, load)) => {
            let now = boot_time();
            control
                .unreachable
                .record_aggregate(Arc::clone(&from), &load.reachability, now);
            if let Some(speeds) = &load.speeds {
                let from = Arc::clone(&from);
                control.peer_speeds.record_aggregate(from, speeds, now);
            }
            control.merge_limits(&load.limits, now);
            control
                .peer_loads
                .record_aggregate(from, load.into_loads(), now);
        }
        Some(PeerMessage::PrefillRequested(message, reply)) => {
            control.answer_prefill(message.key, PrefillResponder::Peer(reply));
        }
        Some(PeerMessage::PrefillEnded(message)) => control.end_prefill(message),
        Some(PeerMessage::QuotaRequested(request, reply)) => {
            control.answer_quota_request(&request, reply);
        }
        Some(PeerMessage::Streams(message, reply)) => control.handle_streams(&message, reply),
        Some(PeerMessage::Crashes(report)) => control.handle_crash_report(report, boot_time()),
        None => {}
    }
}

struct Control {
    shared: Arc<Shared>,
    store: Arc<PlatformStore>,
    replicas: Arc<ReplicaCalls>,
    peers: Peers,
    relays: Arc<RelayClient>,
    /// The probes of direct paths that may still begin.
    path_probes: Arc<Semaphore>,
    next_path_check: Duration,
    events: mpsc::Sender<Event>,
    table: Option<Arc<RouteTable>>,
    fleet: Fleet,
    fleet_size: FleetSize,
    named: NamedVersions,
    lease: Lease,
    rollout: WeightsRollout,
    last_holder: Option<RouterId>,
    last_report_requests: HashMap<ReplicaId, Duration>,
    replica_states: HashMap<(ReplicaId, u64), (Arc<ReplicaLoad>, Arc<ReplicaPool>)>,
    links: HashMap<ServiceName, Arc<ServiceLinks>>,
    source: SourceSelector,
    current_source: UpdateSource,
    platform: PlatformState,
    pending_updates: Vec<PendingUpdate>,
    peer_loads: PeerLoads,
    unreachable: UnreachableView,
    next_reachability_check: Duration,
    /// Counts the changes of the unreachable replicas; each is sent at once to the routers that get updates from this one.
    unreachable_generation: u64,
    peer_speeds: PeerSpeeds,
    next_speed_report: Duration,
    next_speeds: Duration,
    next_speed_log: Duration,
    prefills: PrefillTracker,
    pending_prefills: Vec<PendingPrefill>,
    quarantine: Quarantine,
    pending_crashes: PendingCrashes,
    quotas: OwnedQuotas,
    releases: Releases,
    next_load_exchange: Duration,
    is_update_pending: bool,
    polls_configuration: watch::Sender<bool>,
    watches_lists: watch::Sender<bool>,
    next_tick: Duration,
    is_dirty: bool,
    was_ready: bool,
}

/// Queues an event; drops it and logs an error if the queue is full, which means that the control thread is far behind.
pub(crate) fn enqueue(events: &mpsc::Sender<Event>, event: Event) {
    if events.try_send(event).is_err() {
        log::error!("control: An event was dropped because the queue is full.");
    }
}

impl Control {
    fn new(
        shared: Arc<Shared>,
        store: PlatformStore,
        replicas: ReplicaCalls,
        peers: Peers,
        relays: Arc<RelayClient>,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let seeds = shared.settings.seeds.len();
        let lease = Lease::with_timing(Arc::clone(peers.own()), 1, lease_timing(&shared.bounds()));
        let unreachable = UnreachableView::new(Arc::clone(peers.own()));
        Self {
            shared,
            store: Arc::new(store),
            replicas: Arc::new(replicas),
            peers,
            relays,
            path_probes: Arc::new(Semaphore::new(MAX_PATH_PROBES)),
            next_path_check: Duration::ZERO,
            events,
            table: None,
            fleet: Fleet::default(),
            fleet_size: FleetSize::default(),
            named: NamedVersions::default(),
            lease,
            rollout: WeightsRollout::default(),
            last_holder: None,
            last_report_requests: HashMap::new(),
            replica_states: HashMap::new(),
            links: HashMap::new(),
            source: SourceSelector::new(boot_time()),
            current_source: UpdateSource::Platform,
            platform: PlatformState::default(),
            pending_updates: Vec::new(),
            peer_loads: PeerLoads::default(),
            unreachable,
            next_reachability_check: Duration::ZERO,
            unreachable_generation: 0,
            peer_speeds: PeerSpeeds::default(),
            next_speed_report: Duration::ZERO,
            next_speeds: Duration::ZERO,
            next_speed_log: Duration::ZERO,
            prefills: PrefillTracker::default(),
            pending_prefills: Vec::new(),
            quarantine: Quarantine::default(),
            pending_crashes: PendingCrashes::default(),
            quotas: OwnedQuotas::new(seeds, boot_time()),
            releases: Releases::new(),
            next_load_exchange: Duration::ZERO,
            is_update_pending: false,
            polls_configuration: watch::Sender::new(true),
            watches_lists: watch::Sender::new(true),
            next_tick: Duration::ZERO,
            is_dirty: true,
            was_ready: false,
        }
    }

    /// Starts the tasks that poll the configuration and watch the replicas and named weights.
    fn start_platform_tasks(&self) {
        let is_active = self.polls_configuration.subscribe();
        let (store, shared) = (Arc::clone(&self.store), Arc::clone(&self.shared));
        let events = self.events.clone();
        tokio::spawn(restart_after_panic("configuration", move || {
            poll_configuration(
                Arc::clone(&store),
                Arc::clone(&shared),
                is_active.clone(),
                events.clone(),
            )
        }));
        let is_active = self.watches_lists.subscribe();
        let (store, events) = (Arc::clone(&self.store), self.events.clone());
        tokio::spawn(restart_after_panic("replicas", move || {
            let (store, events, is_active) =
                (Arc::clone(&store), events.clone(), is_active.clone());
            async move {
                let list = |after| (store.list_replicas)(after);
                let watch = |since| (store.watch_replicas)(since);
                let take = |event| enqueue(&events, Event::Replicas(event));
                list_and_watch(list, watch, REPLICAS_PAUSE, is_active, take).await;
            }
        }));
        let is_active = self.watches_lists.subscribe();
        let (store, events) = (Arc::clone(&self.store), self.events.clone());
        tokio::spawn(restart_after_panic("weights", move || {
            let (store, events, is_active) =
                (Arc::clone(&store), events.clone(), is_active.clone());
            async move {
                let list = |after| (store.list_weights)(after);
                let watch = |since| (store.watch_weights)(since);
                let take = |event| enqueue(&events, Event::Weights(event));
                list_and_watch(list, watch, WEIGHTS_PAUSE, is_active, take).await;
            }
        }));
    }

    fn tick_interval(&self) -> Duration {
        let interval = if self.is_rollout_wanted() {
            ROLLOUT_TICK_INTERVAL
        } else {
            TICK_INTERVAL
        };
        let due_at = self.pending_crashes.due_at();
        let next_tick = due_at.map_or(self.next_tick, |at| at.min(self.next_tick));
        let until_tick = next_tick.saturating_sub(boot_time());
        interval.min(until_tick.max(Duration::from_millis(1)))
    }

    fn tick(&mut self) {
        let now = boot_time();
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK_INTERVAL;
        let changes = self.fleet.expire(now);
        self.apply_fleet_changes(changes);
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
        self.update_quotas(now);
        self.advance_releases(now);
        self.expire_streams(now);
        for (_, pool) in self.replica_states.values() {
            pool.close_idle(false);
        }
        self.shared.memory.record_gauges();
        self.record_limit_gauges(now);
        let bound = self.shared.weights_bounds().expired_after;
        self.named
            .prune(now, NAMED_TTL.max(bound.unwrap_or_default()));
    }

    fn handle_event(&mut self, event: Event) {
        let now = boot_time();
        self.detect_store_restoration(now);
        match event {
            Event::Configuration(sent_at, result) => {
                self.handle_configuration(sent_at, *result, now);
            }
            Event::Update(sent_at, update) => {
                self.handle_update(sent_at, update.map(|update| *update), now);
            }
            Event::Replicas(event) => self.handle_replicas(event, now),
            Event::Weights(event) => self.handle_weights(event, now),
            Event::Acknowledged(heartbeat) => self.peers.handle_heartbeat(&heartbeat, None),
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
            Event::ReportEnded(call, report) => self.handle_report(&call, report.as_ref(), now),
            Event::PrefillRequested(key, sender) => self.request_prefill(key, sender),
            Event::PrefillEnded(message) => {
                let router = self.peers.prefill_owner(message.key);
                if router == self.peers.own() {
                    self.end_prefill(message);
                } else {
                    self.peers.send_prefill_outcome(router, message);
                }
            }
            Event::QuotaRequested(number, request) => self.request_quota(number, request),
            Event::StreamBegun(stream, release) => self.tell_streams(&[(stream, release)]),
            Event::StreamLookup(lookup) => self.look_up_stream(lookup),
            Event::ReleasesRead(result) => self.handle_releases_read(result, now),
            Event::ReleasesWritten(record, version) => {
                self.handle_releases_written(record, version);
            }
            Event::Leave => {
                self.peers.leave();
                self.release_lease("this router shuts down");
            }
        }
    }

    /// Logs changes to the fleet and marks the snapshot as outdated.
    fn apply_fleet_changes(&mut self, changes: Vec<FleetChange>) {
        let mut leaving = Vec::new();
        for change in changes {
            match &change {
                FleetChange::Ignored(id, reason) => {
                    log::warn!("fleet: An entry was ignored. entry={id} reason=\"{reason}\"");
                    continue;
                }
                FleetChange::Draining(id, born_ms) => {
                    leaving.push(ReplicaNotice::of_leaving(id, *born_ms));
                    log::info!("fleet: Replica leaves. replica={id}");
                }
                FleetChange::Changed(id) => log::debug!("fleet: Replica changed. replica={id}"),
                FleetChange::Added(id) => log::info!("fleet: Replica added. replica={id}"),
                FleetChange::Removed(id) => log::info!("fleet: Replica removed. replica={id}"),
                FleetChange::Retained(id) => {
                    log::info!(
                        "fleet: Replica retained after its entry expired with the store unreachable. replica={id}"
                    );
                }
            }
            self.is_dirty = true;
        }
        if !leaving.is_empty()
            && self
                .lease_rank()
                .is_some_and(|lease_rank| lease_rank < LEAVING_ANNOUNCERS)
        {
            self.peers.broadcast_notices(leaving, false);
        }
    }

    /// Publishes a new snapshot if anything has changed.
    fn publish(&mut self) {
        if self.peers.has_changed() {
            self.is_dirty = true;
        }
        if !std::mem::take(&mut self.is_dirty) {
            return;
        }
        // Streams of a new release are told to other routers from the first one on.
        self.advance_releases(boot_time());
        self.relays.set_helpers(self.peers.helpers());
        let routers = self.peers.alive().count().max(1);
        let mut snapshot = Snapshot {
            table: self.table.clone(),
            named: self.named.models().clone(),
            entries: self.peers.entries(),
            budget_routers: self.fleet_size.observe(routers, boot_time()),
            has_replicas: self.fleet.has_list(),
            ..Snapshot::default()
        };
        let known: Vec<KnownReplica> = self.fleet.replicas().cloned().collect();
        self.replica_states.retain(|(id, born_ms), _| {
            let is_same =
                |known: &KnownReplica| known.record.id == *id && known.record.born_ms == *born_ms;
            known.iter().any(is_same)
        });
        for known in known {
            let replica = self.replica(known, routers);
            let service = Arc::clone(&replica.known.record.service);
            snapshot
                .services
                .entry(service)
                .or_default()
                .push(Arc::new(replica));
        }
        for (service, replicas) in &snapshot.services {
            let ids = replicas
                .iter()
                .map(|replica| Arc::clone(&replica.known.record.id));
            self.shared.set_tracked_replicas(service, ids.collect());
        }
        for (service, replicas) in &snapshot.services {
            if let Some(links) = self.links.get(service) {
                links.set_replicas(replicas.len());
            }
        }
        self.links
            .retain(|service, _| snapshot.services.contains_key(service));
        self.shared.publish(snapshot);
    }

    fn replica(&mut self, known: KnownReplica, routers: usize) -> Replica {
        let record = &known.record;
        let service = self
            .table
            .as_ref()
            .and_then(|table| table.service(&record.service));
        let max_connections = service.map_or(MIN_CONNECTIONS, |service| service.max_connections);
        let share = f64::from(max_connections) * CONNECTIONS_FRACTION / routers as f64;
        let limit = (share as u32).max(MIN_CONNECTIONS);
        let key = (Arc::clone(&record.id), record.born_ms);
        let address = record.address;
        let relays = &self.relays;
        let links = self.links.entry(Arc::clone(&record.service)).or_default();
        let (load, pool) = self.replica_states.entry(key).or_insert_with(|| {
            let route = RelayRoute {
                client: Arc::clone(relays),
                request: ConnectRequest {
                    replica: record.id.to_string(),
                    born_ms: record.born_ms,
                },
                key: replica_key(&record.id, record.born_ms),
                links: Arc::clone(links),
            };
            let pool = ReplicaPool::new(address, limit, route);
            (Arc::default(), Arc::new(pool))
        });
        pool.set_limit(limit);
        if known.phase == ReplicaPhase::Draining {
            pool.close_idle(true);
        }
        Replica {
            key: replica_key(&record.id, record.born_ms),
            release: release_key(&record.service, &record.software_version),
            load: Arc::clone(load),
            pool: Arc::clone(pool),
            known,
        }
    }
}
