//! The control thread: it hears from the platform, from other gateways and from traffic, and publishes what traffic goes by.
//!
//! Decisions are those of the pure parts: [`super::fleet`], [`super::weights`], [`crate::rollout::Lease`],
//! [`crate::membership`]. Here events are handed to them and what they ask for is carried out.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot, watch};
use xxhash_rust::xxh3::xxh3_64;

use super::clock::boot_time;
use super::fleet::{Fleet, FleetChange, KnownReplica, ReplicaEntry, ReplicaPhase};
use super::follow::{Followed, follow, store_backoff, wait_for};
use super::loads::{Told, WorkNews, Works, replica_key, without};
use super::notice::{NoticePhase, ReplicaNotice, ReplicaNotices};
use super::peers::{PeerWord, Peers};
use super::readings::{OpeningKey, ReadingAnswer, ReadingWord, Readings, Told as ReadingTold};
use super::relayed::{News, NewsRequest, ReplicaNews, WeightsNews};
use super::route::{ModelName, RouteTable};
use super::settings::GatewayBounds;
use super::shared::{Observation, Replica, ReplicaLoad, Shared, Snapshot};
use super::source::{ChangeLog, Source, SourceChoice};
use super::store::{CallFuture, ConfigurationRead, NamedWeights, PlatformStore, StoreFault};
use super::upstream::ReplicaPool;
use super::weights::{LoadTarget, OrderReply, WeightsReport, WeightsRollout, WeightsStep};
use crate::error::{Error, ErrorKind};
use crate::id::{ReplicaId, RouterId, WeightsVersion};
use crate::membership::{Heartbeat, watchers_of};
use crate::peer::{Body, Inbound, Kind, ReplyHandle};
use crate::rollout::{Lease, LeaseAction, LeaseEvent, LeaseTimes};

/// The events that may wait for the control thread.
const EVENTS_IN_HAND: usize = 1_024;
/// The pause between looks at the time while nothing is rolled out.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The pause between looks at the time during a rollout.
const ROLLOUT_TICK_INTERVAL: Duration = Duration::from_millis(10);
/// The pause between two readings of the configuration: half of the bound of 2 s in which one has to be in force.
const CONFIGURATION_INTERVAL: Duration = Duration::from_secs(1);
/// The failed readings in a row after which the platform counts as lost; one alone may be a lost packet.
const FAILED_READS_OF_AN_OUTAGE: u32 = 2;
/// How long a question for news waits at another router; so old is what it tells of other routers' work.
const NEWS_WAIT: Duration = Duration::from_millis(200);
/// How long the answer is held while another request reads an opening; most are read in less.
const READING_HOLD: Duration = Duration::from_millis(600);
/// How much longer the answer of another router may take.
const READING_SLACK: Duration = Duration::from_millis(60);
/// The pause between two sums of work told to other routers.
const WORK_INTERVAL: Duration = Duration::from_millis(150);
/// How much longer an answer may take before the platform is asked instead.
const NEWS_SLACK: Duration = Duration::from_millis(300);
/// Two tellings of one return of the platform differ by less.
const RETURN_SLACK: Duration = Duration::from_millis(500);
/// The largest configuration that is passed on in a frame between routers.
const MAX_TOLD_CONFIGURATION_BYTES: usize = 768 << 10;
/// The pause after changes of replicas; they come in groups, and each watch is priced.
const REPLICAS_PAUSE: Duration = Duration::from_millis(600);
/// The pause after changes of named weights.
const WEIGHTS_PAUSE: Duration = Duration::from_millis(50);
/// How many routers stand by for the lease for orders.
const LEASE_CANDIDATES: usize = 3;
/// How much longer each further candidate waits for a lapsed lease: some calls of the store.
const RANK_STEP: Duration = Duration::from_millis(300);
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
    /// Another router told its news, asked for at this time; `None` where it did not answer.
    News(Duration, Option<Box<News>>),
    /// A request of this router asks who reads an opening.
    ReadingAsked(OpeningKey, oneshot::Sender<ReadingTold>),
    /// What became of a reading at this router.
    ReadingEnded(ReadingWord),
    /// The process was told to leave.
    Leave,
}

/// Takes the answer to a question who reads an opening.
#[derive(Debug)]
enum ReadingReply {
    Peer(ReplyHandle),
    Here(oneshot::Sender<ReadingTold>),
}

/// A request that waits until an opening has been read.
#[derive(Debug)]
struct WaitingForReading {
    key: OpeningKey,
    reply: ReadingReply,
    until: Duration,
}

impl ReadingReply {
    fn send(self, told: ReadingTold) {
        match self {
            Self::Peer(reply) => {
                reply.send(Body::encode(Kind::Reading, &ReadingAnswer::of(told)));
            }
            // The request may have ended meanwhile.
            Self::Here(answer) => drop(answer.send(told)),
        }
    }
}

/// What the control thread needs from outside.
pub(crate) struct ControlParts {
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: PlatformStore,
    pub(crate) replicas: ReplicaCalls,
    pub(crate) observations: mpsc::Receiver<Observation>,
    pub(crate) peers: TcpListener,
    /// Where this router listens for callers.
    pub(crate) callers: SocketAddr,
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
        callers,
    } = parts;
    let started = Peers::start(&shared.settings, peers, callers, events.clone());
    let (peers, mut inbound) = match started {
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
        let now = boot_time();
        control.find_source(now);
        control.tell_news(now);
        control.sum_up_work(now);
        control.release_readings(now);
        control.advance();
        control.publish();
    }
}

async fn receive(inbound: &mut Inbound, control: &mut Control) {
    let Some(event) = inbound.recv().await else {
        // The links end with the process; without them the router serves alone.
        return std::future::pending().await;
    };
    match control.peers.receive(event) {
        Some(PeerWord::Notices(from, notices)) => control.take_notices(&from, &notices),
        Some(PeerWord::NewsWanted(from, request, reply)) => {
            control.hold_news(from, request, reply);
        }
        Some(PeerWord::Work(from, work)) => {
            control.told.take_sum(from, work.into_works(), boot_time());
        }
        Some(PeerWord::ReadingAsked(word, reply)) => {
            control.answer_reading(word.key, ReadingReply::Peer(reply));
        }
        Some(PeerWord::ReadingEnded(word)) => control.end_reading(word),
        None => {}
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
    source: SourceChoice,
    from: Source,
    platform: PlatformState,
    waiting: Vec<WaitingForNews>,
    told: Told,
    readings: Readings,
    waiting_for_readings: Vec<WaitingForReading>,
    next_sum: Duration,
    is_asking: bool,
    reads_configuration: watch::Sender<bool>,
    follows_lists: watch::Sender<bool>,
    next_tick: Duration,
    is_dirty: bool,
    was_ready: bool,
}

/// What is known of the platform, and up to which of its revisions.
#[derive(Debug, Default)]
struct PlatformState {
    configuration_revision: u64,
    configuration: Bytes,
    replicas_as_of: u64,
    weights_as_of: u64,
    changes: ChangeLog,
    /// The readings of the configuration that failed in a row.
    failed_reads: u32,
    returned_at: Option<Duration>,
}

/// A router that waits for news.
#[derive(Debug)]
struct WaitingForNews {
    router: RouterId,
    request: NewsRequest,
    reply: ReplyHandle,
    until: Duration,
}

impl Control {
    fn new(
        shared: Arc<Shared>,
        store: PlatformStore,
        replicas: ReplicaCalls,
        peers: Peers,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let lease = Lease::with_times(Arc::clone(peers.own()), 1, lease_times(&shared.bounds()));
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
            source: SourceChoice::default(),
            from: Source::Platform,
            platform: PlatformState::default(),
            waiting: Vec::new(),
            told: Told::default(),
            readings: Readings::default(),
            waiting_for_readings: Vec::new(),
            next_sum: Duration::ZERO,
            is_asking: false,
            reads_configuration: watch::Sender::new(true),
            follows_lists: watch::Sender::new(true),
            next_tick: Duration::ZERO,
            is_dirty: true,
            was_ready: false,
        }
    }

    /// Begins to read the configuration and to follow replicas and weights.
    fn follow_platform(&self) {
        tokio::spawn(read_configuration(
            Arc::clone(&self.store),
            self.reads_configuration.subscribe(),
            self.events.clone(),
        ));
        let is_active = self.follows_lists.subscribe();
        let (store, events) = (Arc::clone(&self.store), self.events.clone());
        tokio::spawn(async move {
            let list = |after| (store.list_replicas)(after);
            let watch = |since| (store.watch_replicas)(since);
            let take = |followed| pass_on(&events, Event::Replicas(followed));
            follow(list, watch, REPLICAS_PAUSE, is_active, take).await;
        });
        let is_active = self.follows_lists.subscribe();
        let (store, events) = (Arc::clone(&self.store), self.events.clone());
        tokio::spawn(async move {
            let list = |after| (store.list_weights)(after);
            let watch = |since| (store.watch_weights)(since);
            let take = |followed| pass_on(&events, Event::Weights(followed));
            follow(list, watch, WEIGHTS_PAUSE, is_active, take).await;
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
            Event::Configuration(sent_at, result) => {
                self.take_configuration(sent_at, *result, now);
            }
            Event::News(sent_at, news) => {
                self.take_news(sent_at, news.map(|news| *news), now);
            }
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
            Event::ReadingAsked(key, answer) => self.ask_reading(key, answer),
            Event::ReadingEnded(word) => {
                let router = self.peers.reader_of(word.key);
                if router == self.peers.own() {
                    self.end_reading(word);
                } else {
                    self.peers.tell_reader(router, word);
                }
            }
            Event::Leave => self.peers.leave(),
        }
    }

    fn take_configuration(
        &mut self,
        sent_at: Duration,
        result: Result<Option<ConfigurationRead>, StoreFault>,
        now: Duration,
    ) {
        let read = match result {
            Ok(read) => read,
            Err(fault) => {
                self.platform.failed_reads += 1;
                if self.platform.failed_reads == FAILED_READS_OF_AN_OUTAGE {
                    log::warn!("store: The configuration can't be read. fault=\"{fault}\"");
                }
                return;
            }
        };
        let failed = std::mem::take(&mut self.platform.failed_reads);
        if failed >= FAILED_READS_OF_AN_OUTAGE {
            log::info!("store: The configuration is read again. failed_reads={failed}");
            self.platform.returned_at = Some(now);
            self.fleet.platform_returned(now);
        }
        if let Some(read) = read {
            self.adopt(read.revision, read.changed, sent_at);
        }
    }

    /// Takes a configuration, or the word that none is newer, which was true at `confirmed_at`.
    fn adopt(&mut self, revision: u64, changed: Option<Bytes>, confirmed_at: Duration) {
        let known = self.platform.configuration_revision;
        if revision < known {
            log::warn!("config: An older revision was ignored. revision={revision} known={known}");
            return;
        }
        if revision > known {
            let Some(bytes) = changed else {
                return;
            };
            let configuration = match (self.store.decode_configuration)(&bytes) {
                Ok(configuration) => configuration,
                Err(fault) => {
                    log::error!("config: Not adopted. revision={revision} fault=\"{fault}\"");
                    return;
                }
            };
            let before = self.table.as_ref().map_or(0, |table| table.version());
            if configuration.version < before {
                let version = configuration.version;
                log::error!("config: Not adopted. version={version} known={before}");
                return;
            }
            log::info!(
                "config: Adopted. version={} before={before} revision={revision} routes={} age_ms={}",
                configuration.version,
                configuration.routes.len(),
                boot_time().saturating_sub(confirmed_at).as_millis()
            );
            self.platform.configuration_revision = revision;
            self.platform.configuration = bytes;
            self.table = Some(Arc::new(RouteTable::new(configuration)));
            self.is_dirty = true;
            // Requests go by the new table before it counts as confirmed.
            self.publish();
        }
        self.shared.confirm(confirmed_at);
    }

    fn take_replicas(&mut self, followed: Followed<ReplicaEntry>, now: Duration) {
        match followed {
            Followed::Listed(entries, as_of) => self.replace_replicas(entries, as_of, now),
            Followed::Changed(entries, as_of) => self.change_replicas(entries, as_of, now),
            Followed::Lost(fault) => {
                log::warn!("store: Replicas can't be followed. fault=\"{fault}\"");
            }
            Followed::Regained(faults) => {
                log::info!("store: Replicas are followed again. faults={faults}");
                self.platform.returned_at = Some(now);
                self.fleet.platform_returned(now);
            }
        }
    }

    fn replace_replicas(&mut self, entries: Vec<ReplicaEntry>, as_of: u64, now: Duration) {
        if as_of < self.platform.replicas_as_of {
            return;
        }
        self.platform.replicas_as_of = as_of;
        self.platform.changes.restart(as_of);
        let changes = self.fleet.take_list(entries, now);
        self.is_dirty = true;
        self.changed(changes);
    }

    fn change_replicas(&mut self, entries: Vec<ReplicaEntry>, as_of: u64, now: Duration) {
        if as_of <= self.platform.replicas_as_of {
            return;
        }
        self.platform.replicas_as_of = as_of;
        let mut changes = Vec::new();
        for entry in &entries {
            changes.extend(self.fleet.take_entry(entry.clone(), now));
        }
        self.platform.changes.push(as_of, entries);
        self.changed(changes);
    }

    fn take_weights(&mut self, followed: Followed<NamedWeights>, now: Duration) {
        let (entries, as_of) = match followed {
            Followed::Listed(entries, as_of) | Followed::Changed(entries, as_of) => {
                (entries, as_of)
            }
            Followed::Lost(fault) => {
                log::warn!("store: Named weights can't be followed. fault=\"{fault}\"");
                return;
            }
            Followed::Regained(faults) => {
                log::info!("store: Named weights are followed again. faults={faults}");
                return;
            }
        };
        self.platform.weights_as_of = self.platform.weights_as_of.max(as_of);
        for named in entries {
            self.name_weights(&named.model, named.version, now);
        }
    }

    /// Notes that the operator named a version, which was heard of at `named_at`.
    fn name_weights(&mut self, model: &ModelName, version: WeightsVersion, named_at: Duration) {
        let versions = self.named.entry(Arc::clone(model)).or_default();
        if versions
            .last()
            .is_some_and(|(newest, _)| version <= *newest)
        {
            return;
        }
        log::info!("rollout: Weights named. model={model} version={version}");
        versions.push((version, named_at));
        self.is_dirty = true;
    }

    /// Takes another router's news, which were asked for at `sent_at`.
    fn take_news(&mut self, sent_at: Duration, news: Option<News>, now: Duration) {
        self.is_asking = false;
        let mut news = news;
        if let Some(work) = news.as_mut().and_then(|news| news.others_work.take()) {
            self.take_others_work(work.into_works());
        }
        let Some(news) = news.filter(|news| !news.is_lost) else {
            log::info!(
                "source: No news from another router. source={:?}",
                self.from
            );
            self.source.failed(now);
            return;
        };
        if let Some(age_ms) = news.returned_age_ms {
            let at = now.saturating_sub(Duration::from_millis(age_ms));
            if self
                .platform
                .returned_at
                .is_none_or(|known| known + RETURN_SLACK < at)
            {
                self.platform.returned_at = Some(at);
                self.fleet.platform_returned(at);
            }
        }
        // The answer is younger than the question, so this is no later than the moment it tells of.
        let confirmed_at = sent_at.saturating_sub(Duration::from_millis(news.confirmed_age_ms));
        let changed = (!news.configuration.is_empty()).then_some(news.configuration);
        if news.configuration_revision >= self.platform.configuration_revision {
            self.adopt(news.configuration_revision, changed, confirmed_at);
        }
        let entries: Vec<_> = news
            .replicas
            .into_iter()
            .map(ReplicaNews::into_entry)
            .collect();
        if news.has_all_replicas {
            self.replace_replicas(entries, news.replicas_as_of, now);
        } else {
            self.change_replicas(entries, news.replicas_as_of, now);
        }
        self.platform.weights_as_of = self.platform.weights_as_of.max(news.weights_as_of);
        for named in news.weights {
            let age = Duration::from_millis(named.age_ms);
            let model = named.model.into();
            self.name_weights(&model, named.version, now.saturating_sub(age));
        }
    }

    /// Keeps a router's question until there is news for it or its time is over.
    fn hold_news(&mut self, router: RouterId, mut request: NewsRequest, reply: ReplyHandle) {
        let wait = Duration::from_millis(u64::from(request.wait_ms));
        if let Some(work) = request.work.take() {
            let works = work.into_works();
            self.told
                .take_follower(Arc::clone(&router), works, boot_time());
        }
        self.waiting.push(WaitingForNews {
            router,
            request,
            reply,
            until: boot_time() + wait,
        });
    }

    /// Answers the routers for which there is news, and those that have waited long enough.
    fn tell_news(&mut self, now: Duration) {
        let is_lost = !self.can_tell();
        let is_due = |waiting: &WaitingForNews| {
            is_lost || now >= waiting.until || self.has_news_for(&waiting.request)
        };
        if !self.waiting.iter().any(is_due) {
            return;
        }
        let total = self.told.total(&self.own_works());
        let waiting = std::mem::take(&mut self.waiting);
        for waiting in waiting {
            if is_lost || now >= waiting.until || self.has_news_for(&waiting.request) {
                let mut news = self.news_for(&waiting.request, is_lost, now);
                let others = self.told.others_of(&waiting.router, &total);
                news.others_work = Some(WorkNews::of(&others));
                waiting.reply.send(Body::encode(Kind::News, &news));
            } else {
                self.waiting.push(waiting);
            }
        }
    }

    /// Tells whether this router hears from the platform itself.
    fn can_tell(&self) -> bool {
        self.from == Source::Platform
            && self.platform.failed_reads < FAILED_READS_OF_AN_OUTAGE
            && self.fleet.is_listed()
            && self.table.is_some()
    }

    fn has_news_for(&self, request: &NewsRequest) -> bool {
        request.configuration_revision < self.platform.configuration_revision
            || request.replicas_as_of < self.platform.replicas_as_of
            || request.weights_as_of < self.platform.weights_as_of
    }

    fn news_for(&self, request: &NewsRequest, is_lost: bool, now: Duration) -> News {
        let platform = &self.platform;
        if is_lost {
            return News {
                is_lost,
                ..News::default()
            };
        }
        let age_of =
            |at: Duration| u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX);
        let has_configuration = request.configuration_revision >= platform.configuration_revision
            || platform.configuration.len() > MAX_TOLD_CONFIGURATION_BYTES;
        let changed = platform.changes.since(request.replicas_as_of);
        let has_all_replicas = changed.is_none();
        let replicas = match changed {
            Some(changed) => changed.filter_map(ReplicaNews::of).collect(),
            None => {
                let known = self
                    .fleet
                    .replicas()
                    .filter(|known| known.lapses_at.is_none());
                known
                    .map(|known| ReplicaNews::of_record(&known.record))
                    .collect()
            }
        };
        let named = self.named.iter().flat_map(|(model, versions)| {
            versions.iter().map(|(version, at)| WeightsNews {
                model: model.to_string(),
                version: *version,
                age_ms: age_of(*at),
            })
        });
        let knows_weights = request.weights_as_of >= platform.weights_as_of;
        News {
            is_lost,
            confirmed_age_ms: age_of(self.shared.confirmed_at()) + 1,
            configuration_revision: platform.configuration_revision,
            configuration: if has_configuration {
                Bytes::new()
            } else {
                platform.configuration.clone()
            },
            replicas_as_of: platform.replicas_as_of,
            has_all_replicas,
            replicas,
            weights_as_of: platform.weights_as_of,
            weights: if knows_weights {
                Vec::new()
            } else {
                named.collect()
            },
            returned_age_ms: platform.returned_at.map(age_of),
            others_work: None,
        }
    }

    /// Asks the router that answers for an opening, which may be this one.
    fn ask_reading(&mut self, key: OpeningKey, answer: oneshot::Sender<ReadingTold>) {
        let router = self.peers.reader_of(key);
        if router == self.peers.own() {
            self.answer_reading(key, ReadingReply::Here(answer));
            return;
        }
        let word = ReadingWord {
            key,
            ..ReadingWord::default()
        };
        let timeout = READING_HOLD + READING_SLACK;
        self.peers.ask_reader(router, word, timeout, answer);
    }

    /// Answers who reads an opening; while another request does, the answer is held for a while.
    fn answer_reading(&mut self, key: OpeningKey, reply: ReadingReply) {
        let now = boot_time();
        match self.readings.ask(key, now) {
            ReadingTold::Wait => self.waiting_for_readings.push(WaitingForReading {
                key,
                reply,
                until: now + READING_HOLD,
            }),
            told => reply.send(told),
        }
    }

    /// Takes what became of a reading, and answers those that wait for it.
    fn end_reading(&mut self, word: ReadingWord) {
        let now = boot_time();
        match word.read_by {
            Some(by) => self.readings.read(word.key, by, now),
            None => self.readings.failed(word.key),
        }
        let waiting = std::mem::take(&mut self.waiting_for_readings);
        for waiting in waiting {
            if waiting.key == word.key {
                self.answer_reading(waiting.key, waiting.reply);
            } else {
                self.waiting_for_readings.push(waiting);
            }
        }
    }

    /// Lets requests go on that have waited long enough for a reading.
    fn release_readings(&mut self, now: Duration) {
        if !self
            .waiting_for_readings
            .iter()
            .any(|waiting| now >= waiting.until)
        {
            return;
        }
        let waiting = std::mem::take(&mut self.waiting_for_readings);
        for waiting in waiting {
            if now >= waiting.until {
                waiting.reply.send(ReadingTold::Wait);
            } else {
                self.waiting_for_readings.push(waiting);
            }
        }
    }

    /// Returns the work that this router's requests make at replicas.
    fn own_works(&self) -> Works {
        let now = boot_time();
        let replicas = self.runtime.iter();
        let works =
            replicas.map(|((id, born_ms), (load, _))| (replica_key(id, *born_ms), load.work(now)));
        works.filter(|(_, work)| !work.is_none()).collect()
    }

    /// Takes in the work of all other routers, and the weights that their answers named.
    fn take_others_work(&mut self, others: Works) {
        let mut changes = Vec::new();
        for (id, born_ms) in self.runtime.keys() {
            let work = others.get(&replica_key(id, *born_ms));
            let Some(version) = work.map(|work| work.version).filter(|version| *version > 0) else {
                continue;
            };
            let known = self
                .fleet
                .get(id)
                .and_then(|known| known.record.weights.first());
            if let Some((model, known)) = known.cloned().filter(|(_, known)| *known < version) {
                log::debug!("fleet: Weights told. replica={id} before={known} version={version}");
                changes.extend(self.fleet.note_weights(id, *born_ms, &model, version));
            }
        }
        self.changed(changes);
        self.shared.set_others_work(others);
    }

    /// Tells the other routers that sum up work this one's sum, and takes in what they told.
    fn sum_up_work(&mut self, now: Duration) {
        if self.from != Source::Platform || now < self.next_sum {
            return;
        }
        self.next_sum = now + WORK_INTERVAL;
        self.told.expire(now);
        let own = self.own_works();
        self.peers
            .tell_work(&WorkNews::of(&self.told.own_sum(&own)));
        let others = without(&self.told.total(&own), Some(&own));
        self.take_others_work(others);
    }

    /// Decides where the news come from, and asks the other router if it is one.
    fn find_source(&mut self, now: Duration) {
        let zone = self.peers.zone_routers();
        let mut source = self.source.choose(self.peers.own(), &zone, now);
        // A configuration too large for a frame has to be read from the platform.
        let is_large = self.platform.configuration.len() > MAX_TOLD_CONFIGURATION_BYTES;
        if self.table.is_none() || is_large {
            source = Source::Platform;
        }
        if source != self.from {
            log::info!("source: Changed. source={source:?}");
            self.from = source;
        }
        let is_direct = self.from == Source::Platform;
        let is_reached = self.platform.failed_reads < FAILED_READS_OF_AN_OUTAGE;
        set_flag(&self.reads_configuration, is_direct);
        set_flag(&self.follows_lists, is_direct && is_reached);
        if let Source::Router(router) = &self.from
            && !self.is_asking
        {
            self.is_asking = true;
            let request = NewsRequest {
                configuration_revision: self.platform.configuration_revision,
                replicas_as_of: self.platform.replicas_as_of,
                weights_as_of: self.platform.weights_as_of,
                wait_ms: NEWS_WAIT.as_millis() as u32,
                work: Some(WorkNews::of(&self.own_works())),
            };
            self.peers
                .ask_for_news(router, &request, NEWS_WAIT + NEWS_SLACK);
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
                    let change = self
                        .fleet
                        .note_weights(&call.replica, born_ms, model, *version);
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
            versions
                .last()
                .map(|(version, _)| (Arc::clone(model), *version))
        });
        newest.collect()
    }

    fn is_rollout_wanted(&self) -> bool {
        !self.named.is_empty() && WeightsRollout::is_wanted(self.fleet.replicas(), &self.wanted())
    }

    /// Returns this router's place among those that stand by for the lease, the last holder first.
    fn rank(&self) -> Option<usize> {
        let alive = self.peers.candidates();
        let last = self
            .last_holder
            .as_ref()
            .filter(|last| alive.contains(last));
        let others = watchers_of(xxh3_64(b"orders"), alive.iter().copied(), LEASE_CANDIDATES);
        let order = last
            .into_iter()
            .chain(others.into_iter().filter(|other| Some(*other) != last));
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
        let works = self.told.total(&self.own_works());
        let replicas: Vec<_> = self
            .fleet
            .replicas()
            .map(|known| {
                let record = &known.record;
                let work = works.get(&replica_key(&record.id, record.born_ms));
                (known, work.map_or(0, |work| work.in_flight))
            })
            .collect();
        let steps = self.rollout.step(&replicas, &wanted, fencing_number, now);
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
            self.shared.set_health(service, ids.collect());
        }
        self.shared.snapshot.store(Arc::new(snapshot));
    }

    fn replica(&mut self, known: KnownReplica, routers: usize) -> Replica {
        let record = &known.record;
        let service = self
            .table
            .as_ref()
            .and_then(|table| table.service(&record.service));
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
            key: replica_key(&record.id, record.born_ms),
            load: Arc::clone(load),
            pool: Arc::clone(pool),
            known,
        }
    }
}

/// Returns the times of the lease for orders under the users' bounds.
pub(crate) fn lease_times(bounds: &GatewayBounds) -> LeaseTimes {
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
            rank_step: RANK_STEP,
        };
    }
    LeaseTimes {
        life: lease,
        renewal_interval: lease / 4,
        clock_margin: lease / 10,
        order_timeout: lease / 3,
        settle: lease,
        failure_pause: Duration::from_millis(300),
        rank_step: RANK_STEP,
    }
}

fn set_flag(flag: &watch::Sender<bool>, value: bool) {
    flag.send_if_modified(|known| std::mem::replace(known, value) != value);
}

/// Reads the configuration again and again while `is_active`; each reading confirms that what is known is current.
async fn read_configuration(
    store: Arc<PlatformStore>,
    mut is_active: watch::Receiver<bool>,
    events: mpsc::Sender<Event>,
) {
    let mut revision = 0;
    let mut backoff = store_backoff();
    loop {
        if !wait_for(&mut is_active, true).await {
            return;
        }
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
pub(crate) fn pass_on(events: &mpsc::Sender<Event>, event: Event) {
    if events.try_send(event).is_err() {
        log::error!("control: An event was dropped because the queue is full.");
    }
}
