//! State shared by the traffic threads and the control thread.
//!
//! Traffic threads read an immutable snapshot that the control thread replaces, and count their own load in atomics.
//! Their observations go to the control thread through a bounded channel; if it is full, they are dropped and counted
//! instead of blocking.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use smallvec::SmallVec;
use tokio::sync::{mpsc, oneshot, watch};

use super::begin_limit::WITHDRAWAL_MARGIN;
use super::call::Call;
use super::clock::boot_time;
use super::control::Event;
use super::fleet::KnownReplica;
use super::freshness::{Freshness, FreshnessBounds};
use super::headers::HeaderNames;
use super::leaving::LeaveSchedule;
use super::load::{
    BeginWaits, HeldMemory, LoadMap, LoadSample, ReplicaKey, ReplicaSpeed, SpeedObservations,
    SpeedSums,
};
use super::memory::MemoryAccount;
use super::open_requests::OpenRequests;
use super::placement::{PlacementRequest, WeightsBounds};
use super::prefill::{PrefillDecision, PrefillMessage, PrefixKey};
use super::quota::gate::QuotaGate;
use super::releases::ReleaseView;
use super::replica_limit::{LimitChange, LimitReport, NamedLimit, ReplicaLimit};
use super::request_end::ConfigurationChange;
use super::route::{CallerLimits, ModelName, RouteTable};
use super::settings::{GatewayBounds, GatewaySettings};
use super::stream_origin::{ReleaseKey, StreamTable};
use super::upstream::ReplicaPool;
use crate::id::{ReplicaId, ServiceName, WeightsVersion, ZoneName};
use crate::request::ejection::{Ejection, EjectionOptions};
use crate::request::kept_parts::KeptParts;
use crate::request::quarantine::{Crash, Kept, SuspectKey, SuspectKind, Suspects};
use crate::request::retry::RetryBudget;

/// The fraction of the users' retry share that this router uses; the rest is reserved for requests that never arrived.
const RETRY_SHARE_FRACTION: f64 = 0.7;
/// The fraction of the retry slack that all routers together keep as a reserve.
const RETRY_SLACK_FRACTION: f64 = 0.6;
/// The age of a newer named version from which a run on older weights has less value, as specified by the users.
const WEIGHTS_PREFERRED_AFTER: Duration = Duration::from_millis(1_500);
/// The time before the bound on old weights from which no request is sent to them, so that one that was sent before has
/// time to begin.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1_800);
/// How long a replica that refused a request is avoided; half of the time of a weights load, during which it refuses
/// all requests.
const REFUSAL_TTL: Duration = Duration::from_millis(300);
/// How long a version named in a response is reported to other routers; the platform's list includes it within that
/// time.
const NAMED_VERSION_TTL: Duration = Duration::from_secs(2);
/// Outlier ejection: a replica is ejected after one failed connection or three consecutive failures, for about as long
/// as a crash lasts.
const EJECTION: EjectionOptions = EjectionOptions {
    consecutive_failures: 3,
    base_ejection_time: Duration::from_millis(800),
    max_ejection_time: Duration::from_secs(4),
    slow_start: Duration::from_secs(1),
};

/// The load that this router's requests cause at one replica.
#[derive(Debug, Default)]
pub(crate) struct ReplicaLoad {
    in_flight: AtomicU32,
    prefill_tokens: AtomicU64,
    held: Mutex<HeldMemory>,
    speed: Mutex<SpeedObservations>,
    waits: Mutex<BeginWaits>,
    last_response_ms: AtomicU64,
    last_refusal_ms: AtomicU64,
    /// Until when the replica wants no requests of this router.
    backoff_until_ms: AtomicU64,
    /// Whether a response said that the replica is leaving.
    is_leaving: AtomicBool,
    limit: Mutex<ReplicaLimit>,
    /// Whether `limit` may hold anything, so that requests to other replicas don't lock it.
    has_limit: AtomicBool,
    /// The weights version named in a response, and when it was received.
    named_version: AtomicU64,
    named_at_ms: AtomicU64,
}

/// A replica as seen by traffic threads.
#[derive(Debug)]
pub(crate) struct Replica {
    /// The state of the replica in the fleet.
    pub(crate) known: KnownReplica,
    /// The key of the replica in load messages between routers.
    pub(crate) key: ReplicaKey,
    /// The service and the software version of the replica.
    pub(crate) release: ReleaseKey,
    /// The load that this router causes at the replica.
    pub(crate) load: Arc<ReplicaLoad>,
    /// This router's connections to the replica.
    pub(crate) pool: Arc<ReplicaPool>,
}

/// A router that callers may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EntryPoint {
    /// The address for callers.
    pub(crate) callers: SocketAddr,
    /// The availability zone of the router.
    pub(crate) zone: ZoneName,
}

/// The routing state read by traffic threads, replaced as a whole with each change.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// The configuration in force; `None` before the first one.
    pub(crate) table: Option<Arc<RouteTable>>,
    /// The replicas of each service.
    pub(crate) services: HashMap<ServiceName, Vec<Arc<Replica>>>,
    /// The named versions of each model, oldest first, with the time when this router learned of each.
    pub(crate) named: BTreeMap<ModelName, Vec<(WeightsVersion, Duration)>>,
    /// The routers that callers may use.
    pub(crate) entries: Vec<EntryPoint>,
    /// The number of routers that share the retry budget ([`super::fleet_size`]).
    pub(crate) budget_routers: usize,
    /// Whether the complete list of replicas has been read.
    pub(crate) has_replicas: bool,
}

impl Snapshot {
    /// Returns when the first version newer than `version` was named; `None` if there is none.
    pub(crate) fn outdated_since(
        &self,
        model: &ModelName,
        version: WeightsVersion,
    ) -> Option<Duration> {
        let newer = self.named.get(model)?.iter();
        let newer = newer.filter(|(newer, _)| *newer > version);
        newer.map(|(_, named_at)| *named_at).min()
    }
}

/// What a traffic thread observed about a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// A response named the weights of a replica.
    Weights {
        /// The replica.
        replica: ReplicaId,
        /// The start time of the replica, in milliseconds since the Unix epoch.
        born_ms: u64,
        /// The model.
        model: ModelName,
        /// The weights version.
        version: WeightsVersion,
    },
    /// A replica refused a request because it serves weights other than the expected ones, without naming them.
    OtherWeights {
        /// The replica.
        replica: ReplicaId,
    },
    /// A response said that the replica is leaving.
    Leaving {
        /// The replica.
        replica: ReplicaId,
        /// The start time of the replica, in milliseconds since the Unix epoch.
        born_ms: u64,
    },
    /// A replica broke a request off.
    Crash(Crash),
    /// An answer went on under a suspect.
    Kept(Kept),
    /// The address now belongs to another replica.
    AddressReused {
        /// The replica that was expected.
        replica: ReplicaId,
        /// The start time of that replica, in milliseconds since the Unix epoch.
        born_ms: u64,
    },
}

/// State shared by the traffic threads and the control thread.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The settings at process start; [`Shared::bounds`] returns the current bounds.
    pub(crate) settings: GatewaySettings,
    bounds: ArcSwap<GatewayBounds>,
    /// The names of the HTTP headers.
    pub(crate) header_names: HeaderNames,
    /// The routing state.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    confirmed_ms: AtomicU64,
    configuration_change: ArcSwap<ConfigurationChange>,
    /// Set when the process begins to shut down.
    leave_schedule: OnceLock<LeaveSchedule>,
    /// Becomes true when a router that shuts down answers the requests that still wait for a response.
    closing: watch::Sender<bool>,
    /// The connections that this router relays for others.
    open_relays: Arc<AtomicUsize>,
    /// The memory that callers' connections hold.
    pub(crate) memory: MemoryAccount,
    /// The requests of callers that have not been answered in full.
    pub(crate) open_requests: Arc<OpenRequests>,
    health: Mutex<HashMap<ServiceName, Ejection>>,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    others_load: ArcSwap<LoadMap>,
    /// The replicas that no router can reach.
    unreachable: ArcSwap<HashSet<ReplicaKey>>,
    speeds: ArcSwap<HashMap<ReplicaKey, ReplicaSpeed>>,
    releases: ArcSwap<ReleaseView>,
    streams: Mutex<StreamTable>,
    /// The parts of prompts and whole requests that are suspected to crash replicas.
    pub(crate) suspects: ArcSwap<Suspects>,
    /// Whether whole requests are among the suspects.
    suspects_requests: AtomicBool,
    suspects_changed: watch::Sender<()>,
    named_changed: watch::Sender<()>,
    kept_parts: Mutex<KeptParts>,
    /// The quotas of client accounts.
    pub(crate) quota: QuotaGate,
    observations: mpsc::Sender<Observation>,
    /// Set when the control thread starts.
    control: OnceLock<mpsc::Sender<Event>>,
}

/// Why and for how long requests like one are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    /// What has crashed replicas.
    pub(crate) kind: SuspectKind,
    /// How long the refusal still lasts.
    pub(crate) time: Duration,
}

/// Counts one request towards the load of a replica until it is dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    load: Arc<ReplicaLoad>,
    prefill_tokens: u64,
    request: PlacementRequest,
}

impl Refusal {
    /// Returns the reason given to the caller.
    pub(crate) const fn reason(self) -> &'static str {
        match self.kind {
            SuspectKind::Part => {
                "a part of the prompt has crashed several replicas, it is useless to send it again"
            }
            SuspectKind::Request => {
                "this request has crashed several replicas, it is useless to send it again"
            }
        }
    }
}

impl Replica {
    /// Returns whether the replica accepts new requests.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.known.is_accepting() && !self.load.is_leaving()
    }
}

impl ReplicaLoad {
    /// Counts a request whose own part of the prompt the replica still has to prefill.
    pub(crate) fn begin(self: &Arc<Self>, request: &PlacementRequest) -> LoadGuard {
        let prefill_tokens = u64::from(request.own_tokens);
        lock(&self.held).add(request);
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.prefill_tokens
            .fetch_add(prefill_tokens, Ordering::Relaxed);
        LoadGuard {
            load: Arc::clone(self),
            prefill_tokens,
            request: *request,
        }
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the number of tokens that still have to be prefilled.
    pub(crate) fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens.load(Ordering::Relaxed)
    }

    /// Records that the replica refused a request.
    pub(crate) fn record_refusal(&self) {
        self.last_refusal_ms.store(now_ms(), Ordering::Relaxed);
    }

    /// Records that the replica wants no requests of this router for `time`; an earlier longer delay is kept.
    pub(crate) fn record_backoff(&self, time: Duration) {
        let until_ms = millis(boot_time() + time);
        self.backoff_until_ms.fetch_max(until_ms, Ordering::Relaxed);
    }

    /// Returns for how long after `now` the replica wants no requests of this router; zero if it takes them.
    pub(crate) fn backoff(&self, now: Duration) -> Duration {
        let until = Duration::from_millis(self.backoff_until_ms.load(Ordering::Relaxed));
        until.saturating_sub(now)
    }

    /// Records that a response said that the replica is leaving; returns whether this is the first one.
    pub(crate) fn record_leaving(&self) -> bool {
        !self.is_leaving.swap(true, Ordering::Relaxed)
    }

    /// Returns whether a response said that the replica is leaving.
    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Records what the response to a request sent at `asked_at` says about the replica's limit; returns the change.
    pub(crate) fn record_limit(
        &self,
        named: NamedLimit,
        asked_at: Duration,
    ) -> Option<LimitChange> {
        if named == NamedLimit::None && !self.has_limit.load(Ordering::Relaxed) {
            return None;
        }
        self.change_limit(|limit| limit.record(named, asked_at))
    }

    /// Records what another router has reported about the replica's limit; returns the change.
    pub(crate) fn merge_limit(&self, report: &LimitReport, now: Duration) -> Option<LimitChange> {
        self.change_limit(|limit| limit.merge(report, now))
    }

    fn change_limit<T>(&self, change: impl FnOnce(&mut ReplicaLimit) -> T) -> T {
        let mut limit = lock(&self.limit);
        let result = change(&mut limit);
        let has_limit = *limit != ReplicaLimit::default();
        self.has_limit.store(has_limit, Ordering::Relaxed);
        result
    }

    /// Returns the requests per second that all routers together may send to the replica; `None` if there is no limit.
    pub(crate) fn limit_rate_per_s(&self, now: Duration) -> Option<f64> {
        if !self.has_limit.load(Ordering::Relaxed) {
            return None;
        }
        lock(&self.limit).rate_per_s(now)
    }

    /// Returns what this router knows about the replica's limit, for other routers.
    pub(crate) fn limit_report(&self, key: ReplicaKey, now: Duration) -> Option<LimitReport> {
        if !self.has_limit.load(Ordering::Relaxed) {
            return None;
        }
        self.change_limit(|limit| limit.report(key, now))
    }

    /// Records that a response named newer weights than were known.
    pub(crate) fn record_version(&self, version: WeightsVersion) {
        self.named_version.fetch_max(version, Ordering::Relaxed);
        self.named_at_ms.store(now_ms(), Ordering::Relaxed);
    }

    /// Returns the load caused by this router's requests, with the refusals and versions observed recently.
    pub(crate) fn sample(&self, now: Duration) -> LoadSample {
        let is_recent = |at_ms: &AtomicU64, ttl: Duration| {
            let at_ms = at_ms.load(Ordering::Relaxed);
            at_ms > 0 && now < Duration::from_millis(at_ms) + ttl
        };
        let held = lock(&self.held);
        let names_version = is_recent(&self.named_at_ms, NAMED_VERSION_TTL);
        LoadSample {
            in_flight: self.in_flight(),
            prefill_tokens: self.prefill_tokens(),
            held_tokens: held.own_tokens(),
            held_prefix_tokens: held.prefix_tokens(),
            begin_wait: lock(&self.waits).wait(now),
            is_refusing: is_recent(&self.last_refusal_ms, REFUSAL_TTL),
            version: if names_version {
                self.named_version.load(Ordering::Relaxed)
            } else {
                0
            },
        }
    }

    /// Returns whether the replica has responded to any request since `time`.
    pub(crate) fn has_responded_since(&self, time: Duration) -> bool {
        Duration::from_millis(self.last_response_ms.load(Ordering::Relaxed)) >= time
    }

    /// Records that the first event of a stream, expected after `expected_ms`, came after `observed`.
    pub(crate) fn record_first_event(&self, expected_ms: f64, observed: Duration) {
        lock(&self.speed).record(expected_ms, observed, boot_time());
        metrics::counter!("crocuswharf_gateway_speed_observations_total").increment(1);
    }

    /// Lets `act` read or change the waits of this router's requests at the replica.
    pub(crate) fn with_waits<T>(&self, act: impl FnOnce(&mut BeginWaits) -> T) -> T {
        act(&mut lock(&self.waits))
    }

    /// Returns what this router has observed of the replica's speed.
    pub(crate) fn speed_sums(&self, now: Duration) -> SpeedSums {
        lock(&self.speed).sums(now)
    }

    /// Returns when the replica last sent a part of a response.
    pub(crate) fn responded_at(&self) -> Option<Duration> {
        let at_ms = self.last_response_ms.load(Ordering::Relaxed);
        (at_ms > 0).then(|| Duration::from_millis(at_ms))
    }
}

impl LoadGuard {
    /// Records that the replica sent a part of the response.
    pub(crate) fn record_response(&self) {
        self.load
            .last_response_ms
            .store(now_ms(), Ordering::Relaxed);
    }

    /// Records that the response has started, so the prompt was prefilled.
    pub(crate) fn response_started(&mut self) {
        self.record_response();
        let tokens = std::mem::take(&mut self.prefill_tokens);
        self.load
            .prefill_tokens
            .fetch_sub(tokens, Ordering::Relaxed);
    }
}

/// A connection that this router relays for another one.
#[derive(Debug)]
pub(crate) struct OpenRelay(Arc<AtomicUsize>);

impl Drop for OpenRelay {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        lock(&self.load.held).remove(&self.request);
        self.load.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.load
            .prefill_tokens
            .fetch_sub(self.prefill_tokens, Ordering::Relaxed);
    }
}

impl Shared {
    /// Creates the initial state of a router that has no configuration.
    pub(crate) fn new(
        settings: GatewaySettings,
        header_names: HeaderNames,
        observations: mpsc::Sender<Observation>,
    ) -> Self {
        let seeds = settings.seeds.len();
        Self {
            quota: QuotaGate::new(seeds),
            bounds: ArcSwap::from_pointee(settings.bounds),
            memory: MemoryAccount::new(settings.memory_budget_bytes()),
            settings,
            header_names,
            snapshot: ArcSwap::default(),
            confirmed_ms: AtomicU64::new(0),
            configuration_change: ArcSwap::default(),
            leave_schedule: OnceLock::new(),
            closing: watch::Sender::new(false),
            open_relays: Arc::default(),
            open_requests: Arc::default(),
            health: Mutex::default(),
            budgets: Mutex::default(),
            others_load: ArcSwap::default(),
            unreachable: ArcSwap::default(),
            speeds: ArcSwap::default(),
            releases: ArcSwap::default(),
            streams: Mutex::default(),
            suspects: ArcSwap::default(),
            suspects_requests: AtomicBool::new(false),
            suspects_changed: watch::Sender::new(()),
            named_changed: watch::Sender::new(()),
            kept_parts: Mutex::default(),
            observations,
            control: OnceLock::new(),
        }
    }

    /// Replaces the routing state.
    pub(crate) fn publish(&self, snapshot: Snapshot) {
        let before = self.snapshot.swap(Arc::new(snapshot));
        if before.named != self.snapshot.load().named {
            self.named_changed.send_replace(());
        }
    }

    /// Returns a receiver that changes when versions are named or the bounds change.
    pub(crate) fn named_changes(&self) -> watch::Receiver<()> {
        self.named_changed.subscribe()
    }

    /// Sets the sender of events to the control thread.
    pub(crate) fn set_control(&self, control: mpsc::Sender<Event>) {
        assert!(
            self.control.set(control).is_ok(),
            "the control thread was started twice"
        );
    }

    /// Sends an event to the control thread; returns whether its queue had room.
    pub(crate) fn send_to_control(&self, event: Event) -> bool {
        let control = self.control.get();
        control.is_some_and(|control| control.try_send(event).is_ok())
    }

    /// Requests a prefill decision; returns `None` if there is none within `limit`.
    pub(crate) async fn request_prefill(
        &self,
        key: PrefixKey,
        limit: Duration,
    ) -> Option<PrefillDecision> {
        let (sender, decision) = oneshot::channel();
        let control = self.control.get()?;
        control
            .try_send(Event::PrefillRequested(key, sender))
            .ok()?;
        tokio::time::timeout(limit, decision).await.ok()?.ok()
    }

    /// Reports the outcome of a prefill; if the report is lost, another request may prefill after a timeout.
    pub(crate) fn end_prefill(&self, message: PrefillMessage) {
        let control = self.control.get();
        if control.is_none_or(|control| control.try_send(Event::PrefillEnded(message)).is_err()) {
            metrics::counter!("crocuswharf_gateway_observations_dropped_total").increment(1);
        }
    }

    /// Returns the current bounds.
    pub(crate) fn bounds(&self) -> GatewayBounds {
        **self.bounds.load()
    }

    /// Replaces the bounds; returns whether they changed.
    pub(crate) fn set_bounds(&self, bounds: GatewayBounds) -> bool {
        let before = self.bounds.swap(Arc::new(bounds));
        let has_changed = *before != bounds;
        if has_changed {
            self.named_changed.send_replace(());
        }
        has_changed
    }

    /// Records that the configuration was current when a call was sent at `sent_at`.
    pub(crate) fn confirm(&self, sent_at: Duration) {
        self.confirmed_ms
            .fetch_max(millis(sent_at), Ordering::Relaxed);
    }

    /// Returns when the configuration was last known to be current.
    pub(crate) fn confirmed_at(&self) -> Duration {
        Duration::from_millis(self.confirmed_ms.load(Ordering::Relaxed))
    }

    /// Returns the uses that the age of the configuration permits.
    pub(crate) fn freshness(&self, now: Duration) -> Freshness {
        let bounds = FreshnessBounds {
            revocation: self.bounds().revocation_ms.map(Duration::from_millis),
        };
        bounds.evaluate(self.confirmed_at(), now)
    }

    /// Returns the limits on callers in force.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let snapshot = self.snapshot.load();
        let table = snapshot.table.as_ref();
        table.map_or_else(CallerLimits::default, |table| table.configuration().limits)
    }

    /// Returns the version of the configuration in force; 0 before the first one.
    pub(crate) fn configuration_version(&self) -> u64 {
        let snapshot = self.snapshot.load();
        let table = snapshot.table.as_ref();
        table.map_or(0, |table| table.version())
    }

    /// Records that a version of the configuration came into force.
    pub(crate) fn record_configuration(&self, change: ConfigurationChange) {
        let before = self.configuration_change.swap(Arc::new(change));
        let added = change.added_window(*before, self.change_window());
        metrics::counter!("crocuswharf_gateway_beside_change_ms_total").increment(millis(added));
    }

    /// Returns when the version in force was applied.
    pub(crate) fn configuration_change(&self) -> ConfigurationChange {
        **self.configuration_change.load()
    }

    /// Returns whether this router is ready for new callers.
    pub(crate) fn is_ready(&self) -> bool {
        let snapshot = self.snapshot.load();
        let has_state = snapshot.table.is_some() && snapshot.has_replicas;
        has_state && !self.is_leaving() && self.freshness(boot_time()).is_ready
    }

    /// Begins to shut down; returns the schedule, which is that of the first call.
    pub(crate) fn leave(&self, schedule: LeaveSchedule) -> LeaveSchedule {
        *self.leave_schedule.get_or_init(|| schedule)
    }

    /// Counts a connection that this router relays until the result is dropped.
    pub(crate) fn begin_relay(&self) -> OpenRelay {
        self.open_relays.fetch_add(1, Ordering::Relaxed);
        OpenRelay(Arc::clone(&self.open_relays))
    }

    /// Returns the number of connections that this router relays for others.
    pub(crate) fn open_relays(&self) -> usize {
        self.open_relays.load(Ordering::Relaxed)
    }

    /// Ends the wait of all requests that have no response yet.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Returns whether the process is about to end.
    pub(crate) fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Waits until requests without a response have to be answered, since the process is about to end.
    pub(crate) async fn wait_until_closing(&self) {
        let mut closing = self.closing.subscribe();
        if closing.wait_for(|is_closing| *is_closing).await.is_err() {
            std::future::pending().await
        }
    }

    /// Returns whether the process is shutting down.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leave_schedule.get().is_some()
    }

    /// Returns whether new requests are refused because the process is shutting down.
    pub(crate) fn refuses_requests(&self) -> bool {
        let schedule = self.leave_schedule.get();
        schedule.is_some_and(|schedule| schedule.refuses_at(boot_time()))
    }

    /// Returns the bounds on the age of weights that requests may start on.
    pub(crate) fn weights_bounds(&self) -> WeightsBounds {
        let bound = self.bounds().weights_ms.map(Duration::from_millis);
        WeightsBounds {
            stale_after: WEIGHTS_PREFERRED_AFTER,
            expired_after: bound.map(|bound| bound.saturating_sub(WEIGHTS_MARGIN)),
            withdrawn_after: bound.map(|bound| bound.saturating_sub(WITHDRAWAL_MARGIN)),
        }
    }

    /// Replaces the loads caused by all other routers.
    pub(crate) fn set_others_load(&self, loads: LoadMap) {
        self.others_load.store(Arc::new(loads));
    }

    /// Returns the loads caused by all other routers, by replica.
    pub(crate) fn others_load(&self) -> Arc<LoadMap> {
        self.others_load.load_full()
    }

    /// Replaces what is known about the releases of services.
    pub(crate) fn set_releases(&self, releases: ReleaseView) {
        self.releases.store(Arc::new(releases));
    }

    /// Returns what is known about the releases of services.
    pub(crate) fn releases(&self) -> Arc<ReleaseView> {
        self.releases.load_full()
    }

    /// Locks the streams whose releases are known.
    pub(crate) fn lock_streams(&self) -> MutexGuard<'_, StreamTable> {
        lock(&self.streams)
    }

    /// Replaces the replicas that no router can reach.
    pub(crate) fn set_unreachable(&self, replicas: HashSet<ReplicaKey>) {
        if **self.unreachable.load() != replicas {
            self.unreachable.store(Arc::new(replicas));
        }
    }

    /// Returns the replicas that no router can reach.
    pub(crate) fn unreachable(&self) -> Arc<HashSet<ReplicaKey>> {
        self.unreachable.load_full()
    }

    /// Replaces the speeds of replicas.
    pub(crate) fn set_speeds(&self, speeds: HashMap<ReplicaKey, ReplicaSpeed>) {
        self.speeds.store(Arc::new(speeds));
    }

    /// Returns the speeds of replicas.
    pub(crate) fn speeds(&self) -> Arc<HashMap<ReplicaKey, ReplicaSpeed>> {
        self.speeds.load_full()
    }

    /// Replaces the suspects.
    pub(crate) fn set_suspects(&self, suspects: Suspects) {
        let mut kinds = suspects.values().map(|status| status.kind);
        let has_requests = kinds.any(|kind| kind == SuspectKind::Request);
        self.suspects.store(Arc::new(suspects));
        self.suspects_requests
            .store(has_requests, Ordering::Relaxed);
        self.suspects_changed.send_replace(());
    }

    /// Returns the keys under which a request may be suspected.
    ///
    /// The key of the whole request is left out while there are no such suspects, since it costs a hash of the body.
    pub(crate) fn suspect_keys(&self, call: &Call) -> SmallVec<[SuspectKey; 4]> {
        let mut keys = call.parts.clone();
        if self.suspects_requests.load(Ordering::Relaxed) {
            keys.push(call.request_key());
        }
        keys
    }

    /// Returns why and for how long requests like `call` are refused; `None` if they aren't.
    pub(crate) fn refusal(&self, call: &Call, now: Duration) -> Option<Refusal> {
        self.refusal_under(&self.suspect_keys(call), now)
    }

    fn refusal_under(&self, keys: &[SuspectKey], now: Duration) -> Option<Refusal> {
        let suspects = self.suspects.load();
        let statuses = keys.iter().filter_map(|key| suspects.get(key));
        let refusals = statuses.filter_map(|status| {
            let time = status.refused_for(now)?;
            let kind = status.kind;
            Some(Refusal { kind, time })
        });
        refusals.max_by_key(|refusal| refusal.time)
    }

    /// Returns whether `call` may be sent again, or to a second replica, after replicas crashed under its keys.
    pub(crate) fn allows_resend(&self, call: &Call) -> bool {
        let suspects = self.suspects.load();
        let keys = self.suspect_keys(call);
        let mut statuses = keys.iter().filter_map(|key| suspects.get(key));
        statuses.all(|status| status.allows_resend())
    }

    /// Waits until a part of the prompt of `call` is refused.
    ///
    /// A whole request is not awaited: its replica may be running it by now, and if it is sound, its answer ends the
    /// refusal.
    pub(crate) async fn wait_until_part_refused(&self, call: &Call) -> Refusal {
        if call.parts.is_empty() {
            return std::future::pending().await;
        }
        let mut changes = self.suspects_changed.subscribe();
        loop {
            if let Some(refusal) = self.refusal_under(&call.parts, boot_time()) {
                return refusal;
            }
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Records that the answer to `call` went on, or is whole, which clears those of its keys that are suspected.
    pub(crate) fn record_kept(&self, call: &Call, at: Duration, is_complete: bool) {
        let mut kept_parts = lock(&self.kept_parts);
        for part in &call.parts {
            kept_parts.record(*part, at);
        }
        drop(kept_parts);
        let suspects = self.suspects.load();
        let keys = self.suspect_keys(call);
        for key in keys.into_iter().filter(|key| suspects.contains_key(key)) {
            self.observe(Observation::Kept(Kept {
                key,
                at,
                is_complete,
            }));
        }
    }

    /// Returns when an answer last went on under `part`, unless it is long ago.
    pub(crate) fn last_kept(&self, part: SuspectKey, now: Duration) -> Option<Duration> {
        lock(&self.kept_parts).last(part, now)
    }

    /// Sets the replicas of a service whose health is tracked.
    pub(crate) fn set_tracked_replicas(&self, service: &ServiceName, replicas: Vec<ReplicaId>) {
        let mut health = lock(&self.health);
        let ejection = health.entry(Arc::clone(service));
        let ejection = ejection.or_insert_with(|| Ejection::new(EJECTION));
        ejection.set_replicas(replicas);
    }

    /// Calls `read` with the health of a service's replicas.
    pub(crate) fn with_health<T>(
        &self,
        service: &ServiceName,
        read: impl FnOnce(Option<&Ejection>) -> T,
    ) -> T {
        read(lock(&self.health).get(service))
    }

    /// Forgets the failures of all replicas, which were those of this router's links.
    pub(crate) fn forget_failures(&self) {
        for ejection in lock(&self.health).values_mut() {
            ejection.forget_failures();
        }
    }

    /// Records the outcome of an attempt at a replica; `failures` is the weight of the failure, 0 for success.
    pub(crate) fn record_outcome(&self, replica: &Replica, failures: u32, now: Duration) {
        let record = &replica.known.record;
        let mut health = lock(&self.health);
        let Some(ejection) = health.get_mut(&record.service) else {
            return;
        };
        if failures == 0 {
            ejection.record_success(&record.id, now);
            return;
        }
        for _ in 0..failures {
            if ejection.record_failure(&record.id, now) {
                log::warn!(
                    "health: Replica ejected. replica={} service={} address={}",
                    record.id,
                    record.service,
                    record.address
                );
                return;
            }
        }
    }

    /// Records the first send of a request.
    pub(crate) fn record_first_send(&self, service: &ServiceName, routers: usize) {
        self.with_budget(service, routers, RetryBudget::deposit);
    }

    /// Withdraws a retry from the budget of a service; returns whether one was available.
    pub(crate) fn withdraw_retry(&self, service: &ServiceName, routers: usize) -> bool {
        self.with_budget(service, routers, RetryBudget::withdraw)
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        routers: usize,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let bounds = self.bounds();
        let reserve = bounds.retry_slack * RETRY_SLACK_FRACTION / routers.max(1) as f64;
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(Arc::clone(service)).or_insert_with(|| {
            RetryBudget::with_reserve(bounds.retry_share * RETRY_SHARE_FRACTION, reserve)
        });
        budget.set_reserve(reserve);
        act(budget)
    }

    /// Reports an observation to the control thread; if the channel is full, it is dropped, since the platform's list
    /// will show the same.
    pub(crate) fn observe(&self, observation: Observation) {
        if self.observations.try_send(observation).is_err() {
            metrics::counter!("crocuswharf_gateway_observations_dropped_total").increment(1);
        }
    }
}

fn now_ms() -> u64 {
    millis(boot_time())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
