//! The test cluster: the store, the replicas, the proxied links, the router processes and the callers.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;
use crocuswharf_platform_fakes::daemon::{Daemon, GRACE, configuration, settings};
use crocuswharf_platform_fakes::replica::{FIRST_VERSION, Mode, ReceivedRequest, Replica};
use crocuswharf_platform_fakes::store::{Store, StoreMode};
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::callers::{CRASH_BODY, CallerState, lock, run_caller, run_crashing_caller};
use crate::checker::{
    Finding, KeyRecord, Records, RouterOutage, Served, check_records, finding, joined_streams,
};
use crate::configuration::Changes;
use crate::cut_off::CutPeriod;
use crate::loss::{AvailabilityChange, Member, Silence};
use crate::partition::{Cut, Partition};
use crate::plan::{Fault, FaultPlan, Overlay, Size, slowness};
use crate::proxy::{Link, Proxy};
use crate::unanswered::EndsByChange;

/// The number of callers for each router.
const CALLERS_PER_ROUTER: usize = 2;
/// The number of callers for each router in runs with silent replicas, which have to find many streams open.
const CALLERS_AT_SILENCES: usize = 5;
/// The number of callers for each router in runs with cuts, in which many of them wait for routers that are cut off.
const CALLERS_AT_CUTS: usize = 8;
/// The delay between two events of a stream in runs with silent replicas.
const EVENT_INTERVAL_AT_SILENCES: Duration = Duration::from_millis(30);
/// The delay between two events of a stream in runs with several software versions, which have to break off many streams.
const EVENT_INTERVAL_AT_VERSIONS: Duration = Duration::from_millis(60);
/// The maximum number of seed peers in a router's settings.
const MAX_SEED_PEERS: usize = 3;
/// The time after the last fault within which all routers must serve again, by the users' sheets.
pub(crate) const RECOVERY: Duration = Duration::from_secs(12);
/// The time that a replica takes to load weights, by the users' sheets.
const LOAD_TIME: Duration = Duration::from_millis(570);
/// How long a process that has not exited in time is watched, for the report.
const EXIT_WATCH_LIMIT: Duration = Duration::from_secs(2);
/// The time for which old and new keys are both valid, so that callers can switch to the new one.
const KEY_OVERLAP: Duration = Duration::from_millis(500);
/// The base of the replicas' start times, in milliseconds since the Unix epoch; far enough from 0 for clocks that step
/// back.
const FIRST_START_MS: u64 = 1_000_000;
/// The interval of start times that leaves room for those of replicas that crash and start by themselves.
const START_INTERVAL_MS: u64 = 1_300;
/// The software versions of replicas, and how many replicas start with one until the next one follows.
const VERSIONS: [&str; 3] = [FIRST_VERSION, "v2", "v3"];
const STARTS_PER_VERSION: u64 = 3;
/// The ids of the replicas, which must be `'static`.
const APP_REPLICAS: [&str; 4] = ["app-1", "app-2", "app-3", "app-4"];
const MODEL_REPLICAS: [&str; 6] = ["llm-1", "llm-2", "llm-3", "llm-4", "llm-5", "llm-6"];

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The broken promises.
    pub findings: Vec<Finding>,
    /// The number of requests that callers sent.
    pub sent: usize,
    /// The number of requests that were served.
    pub served: usize,
    /// The requests that ended without a response, beside changes of the configuration and away from them.
    pub ends: EndsByChange,
    /// How often callers took up a stream, and how often it went on.
    pub take_ups: (usize, usize),
    /// The number of streams that hold events of two software versions.
    pub joined: usize,
    /// The number of injected faults.
    pub faults: usize,
    /// The log lines of all processes, by router name.
    pub logs: Vec<(String, Vec<String>)>,
}

/// A router, whose process may be down.
pub(crate) struct Router {
    name: String,
    store_link: Proxy,
    pub(crate) daemon: Option<Daemon>,
    /// The number of processes started for it so far.
    generation: u32,
    /// Whether it was told to shut down.
    pub(crate) is_terminating: bool,
    /// When its last pause ends, if it was paused.
    paused_until: Option<Instant>,
    /// The logs of its previous processes.
    logs: Vec<Vec<String>>,
}

/// A running test cluster, with what was observed in it.
pub(crate) struct Cluster {
    binary: PathBuf,
    started_at: Instant,
    store: Store,
    pub(crate) replicas: Vec<(Replica, Proxy)>,
    pub(crate) routers: Vec<Router>,
    partition: Arc<Partition>,
    pub(crate) callers: Arc<CallerState>,
    pub(crate) records: Records,
    pub(crate) findings: Vec<Finding>,
    configuration_version: u64,
    changes: Changes,
    /// The key that routers show each other.
    peer_key: String,
    /// The index of the first key in the configuration.
    first_key: usize,
    pub(crate) weights_version: u64,
    /// Whether a request is sent that crashes replicas.
    pub(crate) has_crashing_request: bool,
    replica_starts: u64,
    /// The software versions of replicas, in the order in which they begin to be used.
    versions: &'static [&'static str],
    /// The difference between the start times of two replicas, apart from clocks that step back.
    start_interval_ms: u64,
    /// The scheduled actions, each with its time.
    scheduled: Vec<(Instant, Action)>,
}

/// An action scheduled for later, mostly the end of a fault.
#[derive(Clone, Debug)]
enum Action {
    ResumeRouter(usize),
    StartRouter(usize),
    /// Checks that a router that was told to shut down has exited, unless its generation has changed.
    CheckRouterExit(usize, u32, Instant),
    OpenStoreLink(usize),
    RestoreStore,
    RestoreReplica(usize),
    OpenReplicaLink(usize),
    FollowOrders(Vec<usize>),
    EndCut(Vec<usize>),
    RestartReplica(usize),
    UnregisterReplica(usize),
    RevokeOldKeys,
}

/// Returns a key that keeps routers apart from those of other runs, which may listen on ports of routers that were killed.
fn unique_peer_key() -> String {
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let run = RUNS.fetch_add(1, Ordering::Relaxed);
    format!("peer-key-of-run-{}-{run}", std::process::id())
}

/// Runs a test cluster with the fault plan of `seed`, and checks what was observed.
///
/// # Errors
///
/// Returns an error if the cluster can't be set up.
pub async fn run(binary: &Path, seed: u64, size: Size) -> anyhow::Result<Report> {
    let plan = FaultPlan::generate(seed, size);
    let mut cluster = Cluster::start(binary, size).await?;
    let mut callers = JoinSet::new();
    let mut callers_per_router = if size.overlays.contains(&Overlay::Silence) {
        let replicas = cluster.replicas.iter();
        replicas.for_each(|(replica, _)| replica.set_event_interval(EVENT_INTERVAL_AT_SILENCES));
        CALLERS_AT_SILENCES
    } else {
        CALLERS_PER_ROUTER
    };
    if size.overlays.contains(&Overlay::Uneven) {
        let slowness = slowness(seed, cluster.replicas.len());
        for ((replica, _), slowness) in cluster.replicas.iter().zip(slowness) {
            replica.set_event_interval(EVENT_INTERVAL_AT_SILENCES.mul_f64(slowness));
        }
        let is_slow = &cluster.callers.has_slow_readers;
        is_slow.store(true, Ordering::Relaxed);
    }
    if size.overlays.contains(&Overlay::Versions) {
        let takes_up = &cluster.callers.takes_up;
        takes_up.store(true, Ordering::Relaxed);
        let replicas = cluster.replicas.iter();
        replicas.for_each(|(replica, _)| replica.set_event_interval(EVENT_INTERVAL_AT_VERSIONS));
    }
    if size.overlays.contains(&Overlay::Cuts) {
        callers_per_router = CALLERS_AT_CUTS;
    }
    if size.overlays.contains(&Overlay::Weights) {
        let waits_long = &cluster.callers.waits_long;
        waits_long.store(true, Ordering::Relaxed);
    }
    for number in 0..size.routers * callers_per_router {
        let caller_seed = seed.wrapping_mul(1_000).wrapping_add(number as u64);
        callers.spawn(run_caller(Arc::clone(&cluster.callers), caller_seed));
    }
    if size.overlays.contains(&Overlay::CrashingRequest) {
        cluster.has_crashing_request = true;
        for replica in 0..cluster.replicas.len() {
            cluster.restore_replica(replica);
        }
        cluster.start_interval_ms = START_INTERVAL_MS;
        callers.spawn(run_crashing_caller(Arc::clone(&cluster.callers), seed));
    }
    let started_at = Instant::now();
    for (at, fault) in &plan.faults {
        cluster.wait_until(started_at + *at).await;
        cluster.apply(fault).await;
    }
    cluster.wait_until(started_at + size.length).await;
    cluster.end_faults().await;
    cluster.check_recovery(&plan.late_faults).await;
    cluster.callers.is_stopped.store(true, Ordering::Relaxed);
    callers.join_all().await;
    Ok(cluster.into_report(seed, plan.faults.len()))
}

impl Cluster {
    async fn start(binary: &Path, size: Size) -> anyhow::Result<Self> {
        let store = Store::start().await;
        let versions = match size.overlays.contains(&Overlay::Versions) {
            true => &VERSIONS[..],
            false => &VERSIONS[..1],
        };
        let partition = Arc::new(Partition::default());
        let mut replicas = Vec::new();
        let apps = APP_REPLICAS.iter().take(size.app_replicas);
        let models = MODEL_REPLICAS.iter().take(size.model_replicas);
        for (id, service) in apps
            .map(|id| (*id, "app"))
            .chain(models.map(|id| (*id, "llm")))
        {
            let replica = Replica::start_unregistered(&store, id, service).await;
            let link = Proxy::start_in(&partition, replica.address)
                .await
                .context("cannot start a proxy")?;
            replica.set_registered_address(link.address);
            replica.set_load_time(LOAD_TIME);
            // Two versions serve from the beginning.
            replica.set_software_version(versions[replicas.len() % versions.len().min(2)]);
            replica.register("ready");
            replicas.push((replica, link));
        }
        let mut routers = Vec::new();
        for number in 0..size.routers {
            routers.push(Router {
                name: format!("front-{number}"),
                store_link: Proxy::start(store.address)
                    .await
                    .context("cannot start a proxy")?,
                daemon: None,
                generation: 0,
                is_terminating: false,
                paused_until: None,
                logs: Vec::new(),
            });
        }
        let mut cluster = Self {
            binary: binary.to_owned(),
            started_at: Instant::now(),
            store,
            replicas,
            routers,
            partition,
            callers: Arc::default(),
            records: Records::default(),
            findings: Vec::new(),
            configuration_version: 0,
            changes: Changes::default(),
            peer_key: unique_peer_key(),
            first_key: 0,
            weights_version: 1,
            has_crashing_request: false,
            replica_starts: 10,
            versions,
            start_interval_ms: 1,
            scheduled: Vec::new(),
        };
        cluster.add_key();
        *lock(&cluster.callers.routers) = vec![None; size.routers];
        for router in 0..size.routers {
            cluster.start_router(router).await;
        }
        Ok(cluster)
    }

    /// Runs the actions scheduled up to `end`, and returns at `end`.
    pub(crate) async fn wait_until(&mut self, end: Instant) {
        while let Some(index) = self.next_action(end) {
            let (at, action) = self.scheduled.swap_remove(index);
            tokio::time::sleep_until(at.into()).await;
            self.run_action(action).await;
        }
        tokio::time::sleep_until(end.into()).await;
    }

    fn next_action(&self, end: Instant) -> Option<usize> {
        let actions = self.scheduled.iter().enumerate();
        let actions = actions.filter(|(_, (at, _))| *at <= end);
        actions
            .min_by_key(|(_, (at, _))| *at)
            .map(|(index, _)| index)
    }

    fn schedule(&mut self, after: Duration, action: Action) {
        self.scheduled.push((Instant::now() + after, action));
    }

    pub(crate) async fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::RouterPaused(router, time) => {
                if self.signal(*router, Signal::STOP) {
                    self.record_outage(*router, *time);
                    self.routers[*router].paused_until = Some(Instant::now() + *time);
                    self.schedule(*time, Action::ResumeRouter(*router));
                }
            }
            Fault::RouterKilled(router, time) => self.kill(*router, *time).await,
            Fault::AllRoutersKilled(time) => {
                for router in 0..self.routers.len() {
                    self.kill(router, *time).await;
                }
            }
            Fault::RouterTerminated(router) => {
                if self.signal(*router, Signal::TERM) {
                    self.record_outage(*router, GRACE + RECOVERY);
                    self.routers[*router].is_terminating = true;
                    let generation = self.routers[*router].generation;
                    let due = Instant::now() + GRACE;
                    self.schedule(GRACE, Action::CheckRouterExit(*router, generation, due));
                }
            }
            Fault::RouterReloaded(router) => self.reload(*router),
            Fault::StoreLink(router, link, time) => {
                self.set_store_link(*router, *link);
                self.schedule(*time, Action::OpenStoreLink(*router));
            }
            Fault::Store(mode, time) => {
                self.store.set_mode(*mode);
                self.note_availability(Member::Store, false);
                self.schedule(*time, Action::RestoreStore);
            }
            Fault::StoreCompacted => self.store.compact(),
            Fault::RoutersCutOff(cuts, time) => self.cut_off(cuts, *time),
            Fault::OrdersIgnored(replicas, time) => {
                self.set_ignores_orders(replicas, true);
                self.schedule(*time, Action::FollowOrders(replicas.clone()));
            }
            Fault::ReplicasSilent(replicas, time) => self.silence(replicas, *time),
            Fault::ConfigurationChanged(change) => {
                self.changes.add(*change);
                self.put_configuration();
            }
            Fault::Replica(replica, mode, time) => {
                self.replicas[*replica].0.set_mode(*mode);
                self.schedule(*time, Action::RestoreReplica(*replica));
            }
            Fault::ReplicaLink(replica, link, time) => {
                self.set_replica_link(*replica, *link);
                self.schedule(*time, Action::OpenReplicaLink(*replica));
            }
            Fault::ReplicaCrashed(replica, time) => {
                self.set_replica_link(*replica, Link::Reset);
                self.schedule(*time, Action::RestartReplica(*replica));
            }
            Fault::ReplicaDrained(replica, time) => {
                self.replicas[*replica].0.register("draining");
                self.schedule(*time / 2, Action::UnregisterReplica(*replica));
                self.schedule(*time, Action::RestartReplica(*replica));
            }
            Fault::KeysRotated => {
                self.add_key();
                self.schedule(KEY_OVERLAP, Action::RevokeOldKeys);
            }
            Fault::WeightsPublished => self.publish_weights(),
            Fault::InvalidEntriesAdded => self.add_invalid_entries(),
        }
    }

    async fn run_action(&mut self, action: Action) {
        match action {
            Action::ResumeRouter(router) => {
                self.signal(router, Signal::CONT);
            }
            Action::StartRouter(router) => {
                if self.routers[router].daemon.is_none() {
                    self.start_router(router).await;
                }
            }
            Action::CheckRouterExit(router, generation, due) => {
                if self.routers[router].generation == generation {
                    self.check_exit(router, due).await;
                }
            }
            Action::OpenStoreLink(router) => self.set_store_link(router, Link::Open),
            Action::RestoreStore => {
                self.store.set_mode(StoreMode::Serve);
                self.note_availability(Member::Store, true);
            }
            Action::EndCut(routers) => {
                for router in routers {
                    self.partition.set(router, None);
                    self.note_availability(Member::ReplicaLinks(router), true);
                }
            }
            Action::FollowOrders(replicas) => self.set_ignores_orders(&replicas, false),
            Action::RestoreReplica(replica) => self.restore_replica(replica),
            Action::OpenReplicaLink(replica) => self.set_replica_link(replica, Link::Open),
            Action::RestartReplica(replica) => {
                self.replica_starts += 1;
                // Every third start is reported by a clock that stepped back by one second.
                let clock_stepped_back = self.replica_starts.is_multiple_of(3);
                let born_ms = FIRST_START_MS + self.replica_starts * self.start_interval_ms
                    - if clock_stepped_back { 1_000 } else { 0 };
                // What the previous instance was running is lost.
                self.note_availability(Member::Replica(self.replicas[replica].0.id), false);
                self.set_replica_link(replica, Link::Open);
                let starts = (self.replica_starts / STARTS_PER_VERSION) as usize;
                let version = self.versions[starts % self.versions.len()];
                self.replicas[replica].0.set_software_version(version);
                self.replicas[replica].0.restart(born_ms);
            }
            Action::UnregisterReplica(replica) => self.replicas[replica].0.unregister(),
            Action::RevokeOldKeys => self.revoke_old_keys(),
        }
    }

    /// Sends a signal to a router, and returns whether the router is running.
    pub(crate) fn signal(&mut self, router: usize, signal: Signal) -> bool {
        self.check_unexpected_exit(router);
        let Some(daemon) = &mut self.routers[router].daemon else {
            return false;
        };
        daemon.signal(signal);
        match signal {
            Signal::STOP => self.note_availability(Member::Router(router), false),
            Signal::CONT => self.note_availability(Member::Router(router), true),
            // What is still open in the last sixth of the grace period may be lost.
            Signal::TERM => {
                self.note_availability(Member::Entry(router), false);
                self.records.availability.push(AvailabilityChange {
                    member: Member::Router(router),
                    at: Instant::now() + GRACE * 5 / 6,
                    is_available: false,
                });
            }
            _ => {}
        }
        true
    }

    fn note_availability(&mut self, member: Member, is_available: bool) {
        self.records.availability.push(AvailabilityChange {
            member,
            at: Instant::now(),
            is_available,
        });
    }

    fn set_replica_link(&mut self, replica: usize, link: Link) {
        let (replica, proxy) = &self.replicas[replica];
        let member = Member::Replica(replica.id);
        proxy.set(link);
        self.note_availability(member, link == Link::Open);
    }

    fn set_store_link(&mut self, router: usize, link: Link) {
        self.routers[router].store_link.set(link);
        self.note_availability(Member::StoreLink(router), link == Link::Open);
    }

    fn cut_off(&mut self, cuts: &[(usize, Cut)], time: Duration) {
        let routers: Vec<_> = cuts.iter().map(|(router, _)| *router).collect();
        for (router, cut) in cuts {
            self.partition.set(*router, Some(*cut));
            self.note_availability(Member::ReplicaLinks(*router), false);
        }
        let from = Instant::now();
        self.records.cuts.push(CutPeriod {
            routers: routers.clone(),
            from,
            to: from + time,
        });
        self.schedule(time, Action::EndCut(routers));
    }

    fn set_ignores_orders(&self, replicas: &[usize], ignores_orders: bool) {
        for replica in replicas {
            self.replicas[*replica].0.set_ignores_orders(ignores_orders);
        }
    }

    fn silence(&mut self, replicas: &[usize], time: Duration) {
        for replica in replicas {
            let replica = &self.replicas[*replica].0;
            replica.fall_silent(time);
            let from = Instant::now();
            self.records.silences.push(Silence {
                replica: replica.id,
                from,
                to: from + time,
            });
        }
    }

    /// Adds a finding if a router has exited without being told to.
    fn check_unexpected_exit(&mut self, router: usize) {
        let is_terminating = self.routers[router].is_terminating;
        let daemon = &mut self.routers[router].daemon;
        let ended = daemon.as_mut().and_then(Daemon::try_exit_code);
        if let Some(code) = ended.filter(|_| !is_terminating) {
            self.findings.push(finding(
                "a router ends only when it is told to",
                format!("router {router} ended by itself with {code:?}"),
            ));
            self.remove_process(router);
        }
    }

    fn record_outage(&mut self, router: usize, time: Duration) {
        let from = Instant::now();
        let outage = RouterOutage {
            router,
            from,
            to: from + time,
        };
        self.records.outages.push(outage);
    }

    async fn kill(&mut self, router: usize, time: Duration) {
        self.check_unexpected_exit(router);
        if self.routers[router].daemon.is_none() {
            return;
        }
        self.record_outage(router, time + RECOVERY);
        // Dropping the daemon kills the process.
        self.remove_process(router);
        self.schedule(time, Action::StartRouter(router));
    }

    /// Removes a router's process, killing it if it still runs, and keeps its log.
    fn remove_process(&mut self, router: usize) {
        lock(&self.callers.routers)[router] = None;
        // The next process isn't in this one's grace period.
        let now = Instant::now();
        let is_due = |change: &AvailabilityChange| {
            change.member != Member::Router(router) || change.at <= now
        };
        self.records.availability.retain(is_due);
        self.note_availability(Member::Router(router), false);
        let router = &mut self.routers[router];
        if let Some(daemon) = router.daemon.take() {
            let log = Arc::clone(&daemon.log);
            drop(daemon);
            router.logs.push(lock(&log).clone());
        }
        if self.routers.iter().all(|router| router.daemon.is_none()) {
            self.records.all_routers_down.push(Instant::now());
        }
    }

    /// Checks that a router that was told to shut down and had to exit by `due` has exited, and starts it again.
    pub(crate) async fn check_exit(&mut self, router: usize, due: Instant) {
        let state = &mut self.routers[router];
        let was_paused = state
            .paused_until
            .is_some_and(|end| end + GRACE > Instant::now());
        let Some(daemon) = &mut state.daemon else {
            return;
        };
        match daemon.try_exit_code() {
            Some(Some(0)) => {}
            // Signals are pending while a process is paused, and its grace period starts when it resumes.
            None if was_paused => {}
            ended => {
                let late = Instant::now().saturating_duration_since(due);
                let threads = daemon.thread_states();
                let exit = tokio::time::timeout(EXIT_WATCH_LIMIT, daemon.exit_code()).await;
                self.findings.push(finding(
                    "a router that is told to leave ends well and in time",
                    format!(
                        "router {router} after {GRACE:?}: {ended:?}, threads {threads:?}, then {exit:?} after {:?}, \
                         checked {late:?} late",
                        due.elapsed()
                    ),
                ));
            }
        }
        self.remove_process(router);
        self.start_router(router).await;
    }

    async fn start_router(&mut self, router: usize) {
        let settings = self.router_settings(router);
        let daemon = Daemon::start_with(&self.binary, &settings).await;
        self.partition.set_process(router, daemon.process_id());
        lock(&self.callers.routers)[router] = Some(daemon.callers());
        self.note_availability(Member::Router(router), true);
        self.note_availability(Member::Entry(router), true);
        let started = &mut self.routers[router];
        started.daemon = Some(daemon);
        started.generation += 1;
        started.is_terminating = false;
        started.paused_until = None;
    }

    /// Returns a router's settings, with up to [`MAX_SEED_PEERS`] running routers as seed peers.
    fn router_settings(&self, router: usize) -> Value {
        let running = self
            .routers
            .iter()
            .filter_map(|other| other.daemon.as_ref());
        let seeds: Vec<_> = running.map(Daemon::peers).take(MAX_SEED_PEERS).collect();
        let router = &self.routers[router];
        let mut settings = settings(&router.name, router.store_link.address, &seeds);
        settings["peer_keys"] = json!([self.peer_key]);
        settings
    }

    fn reload(&mut self, router: usize) {
        let settings = self.router_settings(router);
        if let Some(daemon) = &self.routers[router].daemon {
            daemon.write_settings(&settings);
        }
        self.signal(router, Signal::HUP);
    }

    /// Adds a key, and writes a configuration in which it is valid beside the previous key.
    fn add_key(&mut self) {
        let index = {
            let mut keys = lock(&self.callers.keys);
            let index = keys.len();
            keys.push(format!("key-{index}"));
            index
        };
        self.records.keys.push(KeyRecord::default());
        self.first_key = index.saturating_sub(1);
        self.put_configuration();
    }

    /// Revokes all keys but the newest.
    fn revoke_old_keys(&mut self) {
        let newest = lock(&self.callers.keys).len() - 1;
        self.first_key = newest;
        self.put_configuration();
        let now = Instant::now();
        for key in &mut self.records.keys[..newest] {
            key.revoked_at.get_or_insert(now);
        }
        *lock(&self.callers.first_valid_key) = newest;
    }

    fn put_configuration(&mut self) {
        self.configuration_version += 1;
        let keys = lock(&self.callers.keys);
        let valid: Vec<&str> = keys[self.first_key..].iter().map(String::as_str).collect();
        let mut configuration = configuration(self.configuration_version, &valid);
        self.changes.apply_to(&mut configuration);
        self.store.put("config", "main", configuration);
        self.records
            .configurations
            .push((Instant::now(), self.changes.clone()));
    }

    /// Lets a replica serve again; plain ones crash under the crashing request.
    fn restore_replica(&self, replica: usize) {
        let replica = &self.replicas[replica].0;
        let is_plain = APP_REPLICAS.contains(&replica.id);
        let mode = if self.has_crashing_request && is_plain {
            Mode::CrashOnBody(CRASH_BODY)
        } else {
            Mode::Serve
        };
        replica.set_mode(mode);
    }

    pub(crate) fn publish_weights(&mut self) {
        self.weights_version += 1;
        self.store.name_weights("m0", self.weights_version);
        let named = (Instant::now(), self.weights_version);
        self.records.named_weights.push(named);
    }

    fn add_invalid_entries(&self) {
        self.store.put("servers", "forged-1", "torn".into());
        self.store.put("servers", "forged-2", 7.into());
    }

    /// Ends all faults at once, and starts the routers that are down.
    async fn end_faults(&mut self) {
        for cut in &mut self.records.cuts {
            cut.to = cut.to.min(Instant::now());
        }
        if self.changes != Changes::default() {
            self.changes = Changes::default();
            self.put_configuration();
        }
        let mut scheduled = std::mem::take(&mut self.scheduled);
        // A replica that leaves is removed before it starts again.
        scheduled.sort_by_key(|(at, _)| *at);
        for (_, action) in &scheduled {
            // A router that is shutting down keeps its grace period.
            if !matches!(action, Action::CheckRouterExit(..)) {
                self.run_action(action.clone()).await;
            }
        }
        let exits = scheduled
            .into_iter()
            .filter(|(_, action)| matches!(action, Action::CheckRouterExit(..)));
        self.scheduled = exits.collect();
        self.wait_until(Instant::now() + GRACE).await;
        for router in 0..self.routers.len() {
            self.check_unexpected_exit(router);
            if self.routers[router].daemon.is_none() {
                self.start_router(router).await;
            }
        }
        for outage in &mut self.records.outages {
            outage.to = outage.to.min(Instant::now());
        }
    }

    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        let replicas = self.replicas.iter();
        replicas
            .flat_map(|(replica, _)| replica.received())
            .collect()
    }

    fn into_report(mut self, seed: u64, faults: usize) -> Report {
        for router in 0..self.routers.len() {
            self.check_unexpected_exit(router);
            self.remove_process(router);
        }
        self.records.sent = std::mem::take(&mut *lock(&self.callers.sent));
        self.records.received = self.received();
        for (replica, _) in &self.replicas {
            let orders = replica.received_orders();
            let orders = orders.into_iter().map(|order| (replica.id, order));
            self.records.orders.extend(orders);
            let begun = replica.begun().into_iter();
            let begun = begun.map(|begun| (replica.id, begun));
            self.records.begun.extend(begun);
        }
        let mut findings = std::mem::take(&mut self.findings);
        findings.extend(check_records(&self.records));
        let first_valid_key = *lock(&self.callers.first_valid_key);
        let share = Served::since(&self.records.sent, self.started_at, first_valid_key);
        let taken_up = self
            .records
            .sent
            .iter()
            .filter(|sent| sent.take_up.is_some());
        let (went_on, refused): (Vec<_>, Vec<_>) =
            taken_up.partition(|sent| sent.outcome.is_success());
        let logs = self.routers.into_iter().map(|router| {
            let lines = router.logs.into_iter().flatten();
            (router.name, lines.collect())
        });
        Report {
            seed,
            findings,
            sent: self.records.sent.len(),
            served: share.served,
            take_ups: (went_on.len() + refused.len(), went_on.len()),
            joined: joined_streams(&self.records.sent).len(),
            ends: EndsByChange::count(&self.records),
            faults,
            logs: logs.collect(),
        }
    }
}
