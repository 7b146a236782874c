//! Communication with other gateways: membership, notices about replicas, prefill tracking, loads, crashes and platform
//! updates.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use smallvec::SmallVec;
use tokio::sync::{mpsc, oneshot};

use super::clock::boot_time;
use super::control::{Event, enqueue};
use super::crash_report::CrashReport;
use super::helpers::Helper;
use super::load::LoadMessage;
use super::notice::{ReplicaNotice, ReplicaNotices};
use super::prefill::{PrefillDecision, PrefillMessage, PrefillReply, PrefixKey};
use super::quota::AccountKey;
use super::quota::message::{QuotaReply, QuotaRequest};
use super::settings::GatewaySettings;
use super::shared::EntryPoint;
use super::source::watchers;
use super::stream_origin::{StreamKey, StreamMessage, StreamReply};
use super::updates::{PlatformUpdate, UpdateRequest};
use crate::error::Error;
use crate::id::{RouterId, ZoneName};
use crate::membership::{
    Action, Heartbeat, Liveness, LoadLevel, Member, Membership, MembershipOptions, Stage, owner_of,
    watchers_of,
};
use crate::peer::{
    Body, Inbound, Kind, LinkOptions, LinkTimes, Links, PeerEvent, PeerIdentity, PeerKeys,
    ReplyHandle,
};

/// The timeout for the acknowledgement of a probe; the membership protocol gives up earlier.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum number of connections accepted from peers.
const MAX_ACCEPTED_CONNECTIONS: usize = 1_024;
/// The timing of the membership protocol: a router that crashed is absent from directory responses after about two
/// seconds.
const MEMBERSHIP: MembershipOptions = MembershipOptions {
    probe_interval: Duration::from_millis(400),
    probe_timeout: Duration::from_millis(300),
    indirect_timeout: Duration::from_millis(400),
    suspicion_timeout: Duration::from_secs(3),
    reconnect_interval: Duration::from_secs(2),
    sync_interval: Duration::from_secs(1),
    removed_ttl: Duration::from_mins(2),
    pause_threshold: Duration::from_millis(500),
};

/// A message of a peer for the control thread.
#[derive(Debug)]
pub(crate) enum PeerMessage {
    /// A router has begun streams, or asks for one.
    Streams(StreamMessage, Option<ReplyHandle>),
    /// Notices about replicas, sent by this router.
    Notices(RouterId, ReplicaNotices),
    /// A request for platform updates, sent by this router.
    UpdateRequested(RouterId, UpdateRequest, ReplyHandle),
    /// The aggregated loads of replicas, sent by this router.
    Loads(RouterId, LoadMessage),
    /// A request for a prefill decision.
    PrefillRequested(PrefillMessage, ReplyHandle),
    /// The outcome of a prefill.
    PrefillEnded(PrefillMessage),
    /// Crashes of replicas and kept answers.
    Crashes(CrashReport),
    /// A request for tokens of an account.
    QuotaRequested(QuotaRequest, ReplyHandle),
}

/// The connections to other gateways and the membership state.
#[derive(Debug)]
pub(crate) struct Peers {
    links: Links,
    membership: Membership,
    events: mpsc::Sender<Event>,
    generation: u64,
    /// The routers that [`Peers::newcomers`] has returned, as of a generation of the membership.
    greeted: HashSet<RouterId>,
    greeted_generation: u64,
}

impl Peers {
    /// Starts listening for other gateways; the membership contains only this gateway at first.
    pub(crate) fn start(
        settings: &GatewaySettings,
        listener: TcpListener,
        callers: SocketAddr,
        events: mpsc::Sender<Event>,
    ) -> Result<(Self, Inbound), Error> {
        // Each process start is a separate member because no clock survives a restart that could order two incarnations
        // of the same name.
        let life: u32 = rand::random();
        let router: RouterId = format!("{}.{life:08x}", settings.router).into();
        let options = LinkOptions {
            identity: PeerIdentity {
                router: Arc::clone(&router),
                incarnation: 1,
                address: settings.listen.peers,
            },
            keys: PeerKeys::new(&settings.peer_keys)?,
            times: LinkTimes::default(),
            max_accepted_connections: MAX_ACCEPTED_CONNECTIONS,
        };
        let (links, inbound) = Links::listen(options, listener)?;
        let own = Member {
            router,
            zone: Arc::clone(&settings.zone),
            peers: links.identity().address,
            callers,
            incarnation: 1,
            version: 1,
            liveness: Liveness::Alive,
            leaving: false,
            // Not ready until the first configuration is applied.
            load: LoadLevel::Full,
            activity: 0,
        };
        let membership = Membership::new(own, settings.seeds.clone(), MEMBERSHIP, boot_time());
        let peers = Self {
            links,
            membership,
            events,
            generation: u64::MAX,
            greeted: HashSet::new(),
            greeted_generation: u64::MAX,
        };
        Ok((peers, inbound))
    }

    /// Returns the member ID of this gateway.
    pub(crate) fn own(&self) -> &RouterId {
        &self.membership.own().router
    }

    /// Returns the routers that are believed to be alive, including this one.
    pub(crate) fn alive(&self) -> impl Iterator<Item = &Member> {
        let members = self.membership.members();
        members.filter(|member| member.liveness == Liveness::Alive)
    }

    /// Returns the routers that may acquire the lease for orders: the ready ones, or all alive ones if none is ready.
    pub(crate) fn candidates(&self) -> Vec<&Member> {
        let is_ready = |member: &&Member| member.takes_new_work() && member.load != LoadLevel::Full;
        let ready: Vec<_> = self.alive().filter(is_ready).collect();
        if ready.is_empty() {
            return self.alive().collect();
        }
        ready
    }

    /// Returns whether the membership has changed since the last call.
    pub(crate) fn has_changed(&mut self) -> bool {
        let generation = self.membership.generation();
        std::mem::replace(&mut self.generation, generation) != generation
    }

    /// Returns a number that changes with the membership.
    pub(crate) fn generation(&self) -> u64 {
        self.membership.generation()
    }

    /// Returns the addresses of the routers that were seen for the first time since the last call.
    pub(crate) fn newcomers(&mut self) -> SmallVec<[SocketAddr; 2]> {
        let generation = self.membership.generation();
        if std::mem::replace(&mut self.greeted_generation, generation) == generation {
            return SmallVec::new();
        }
        let alive: HashMap<RouterId, SocketAddr> = self
            .alive()
            .filter(|member| member.router != *self.own())
            .map(|member| (Arc::clone(&member.router), member.peers))
            .collect();
        self.greeted.retain(|router| alive.contains_key(router));
        let new = alive.into_iter();
        new.filter_map(|(router, peers)| self.greeted.insert(router).then_some(peers))
            .collect()
    }

    /// Returns the routers that callers may use: the ready ones, or all alive ones that are not leaving if none is
    /// ready.
    pub(crate) fn entries(&self) -> Vec<EntryPoint> {
        let entry = |member: &Member| EntryPoint {
            callers: member.callers,
            zone: Arc::clone(&member.zone),
        };
        let is_ready = |member: &&Member| member.takes_new_work() && member.load != LoadLevel::Full;
        let mut entries: Vec<_> = self
            .membership
            .members()
            .filter(is_ready)
            .map(entry)
            .collect();
        if entries.is_empty() {
            let is_staying = |member: &&Member| !member.leaving;
            entries = self.alive().filter(is_staying).map(entry).collect();
        }
        entries.sort_by_key(|entry| entry.callers);
        entries.dedup_by_key(|entry| entry.callers);
        entries
    }

    /// Announces whether this router accepts new callers.
    pub(crate) fn set_ready(&mut self, is_ready: bool) {
        let load = if is_ready {
            LoadLevel::Normal
        } else {
            LoadLevel::Full
        };
        self.membership.set_load(load);
    }

    /// Announces immediately to all members that this router is leaving.
    pub(crate) fn leave(&mut self) {
        self.membership.leave();
        let outcomes = self.membership.broadcast_own();
        self.apply_outcomes(outcomes);
    }

    /// Advances the membership protocol to the current time.
    pub(crate) fn tick(&mut self) {
        let outcomes = self.membership.tick(boot_time(), &mut rand::rng());
        self.apply_outcomes(outcomes);
    }

    /// Handles a heartbeat, using `reply` for the response if it came as a request.
    pub(crate) fn handle_heartbeat(&mut self, heartbeat: &Heartbeat, reply: Option<ReplyHandle>) {
        let outcomes = self
            .membership
            .receive(heartbeat, boot_time(), &mut rand::rng());
        let mut reply = reply;
        for outcome in outcomes {
            self.apply_outcome(outcome, reply.take());
        }
    }

    /// Handles a message of a peer and returns what the control thread has to process.
    pub(crate) fn receive(&mut self, event: PeerEvent) -> Option<PeerMessage> {
        let decoded = match event.body.kind {
            Kind::Heartbeat => event.body.decode::<Heartbeat>().map(|heartbeat| {
                self.handle_heartbeat(&heartbeat, event.reply);
                None
            }),
            Kind::Replicas => event.body.decode::<ReplicaNotices>().map(|notices| {
                let from = Arc::clone(&event.from.router);
                Some(PeerMessage::Notices(from, notices))
            }),
            Kind::News => event.body.decode::<UpdateRequest>().map(|request| {
                let reply = event.reply?;
                let from = Arc::clone(&event.from.router);
                Some(PeerMessage::UpdateRequested(from, request, reply))
            }),
            Kind::Work => event.body.decode::<LoadMessage>().map(|loads| {
                let from = Arc::clone(&event.from.router);
                Some(PeerMessage::Loads(from, loads))
            }),
            Kind::Reading => event.body.decode::<PrefillMessage>().map(|message| {
                Some(match event.reply {
                    Some(reply) => PeerMessage::PrefillRequested(message, reply),
                    None => PeerMessage::PrefillEnded(message),
                })
            }),
            Kind::Crashes => {
                let report = event.body.decode::<CrashReport>();
                report.map(|report| Some(PeerMessage::Crashes(report)))
            }
            Kind::Quota => event.body.decode::<QuotaRequest>().map(|request| {
                let reply = event.reply?;
                Some(PeerMessage::QuotaRequested(request, reply))
            }),
            Kind::Streams => {
                let message = event.body.decode::<StreamMessage>();
                message.map(|message| Some(PeerMessage::Streams(message, event.reply)))
            }
            _ => Ok(None),
        };
        match decoded {
            Ok(message) => message,
            Err(error) => {
                let from = event.from.router;
                log::warn!(
                    "peer: Failed to decode a message of a peer. router={from} error={error}"
                );
                None
            }
        }
    }

    /// Broadcasts notices about replicas to all other routers.
    pub(crate) fn broadcast_notices(&self, notices: Vec<ReplicaNotice>, from_holder: bool) {
        let message = ReplicaNotices {
            notices,
            from_holder,
        };
        self.broadcast(&Body::encode(Kind::Replicas, &message));
    }

    /// Broadcasts crashes of replicas to all other routers.
    pub(crate) fn broadcast_crashes(&self, report: &CrashReport) {
        self.broadcast(&Body::encode(Kind::Crashes, report));
    }

    /// Sends crashes of replicas to the router at `to`.
    pub(crate) fn send_crashes(&self, to: SocketAddr, report: &CrashReport) {
        self.links.send(to, Body::encode(Kind::Crashes, report));
    }

    /// Returns the address of a random other router.
    pub(crate) fn random_other(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let others = self.alive().filter(|member| member.router != *self.own());
        others.choose(rng).map(|member| member.peers)
    }

    fn broadcast(&self, body: &Body) {
        let own = self.own();
        for member in self
            .membership
            .members()
            .filter(|member| member.router != *own)
        {
            self.links.send(member.peers, body.clone());
        }
    }

    /// Returns the connections to other routers.
    pub(crate) const fn links(&self) -> &Links {
        &self.links
    }

    /// Returns the routers that may open connections for this one: the other ready ones.
    pub(crate) fn helpers(&self) -> impl Iterator<Item = Helper> {
        let is_ready = |member: &&Member| member.takes_new_work() && member.load != LoadLevel::Full;
        let others = self.membership.members().filter(is_ready);
        let others = others.filter(|member| member.router != *self.own());
        others.map(|member| Helper {
            router: Arc::clone(&member.router),
            address: member.peers,
            zone: Arc::clone(&member.zone),
        })
    }

    /// Returns the routers in this router's zone that are believed to be alive and not leaving, including this one.
    pub(crate) fn zone_routers(&self) -> Vec<&RouterId> {
        let zone = &self.membership.own().zone;
        let is_staying = |member: &&Member| member.zone == *zone && !member.leaving;
        self.alive()
            .filter(is_staying)
            .map(|member| &member.router)
            .collect()
    }

    /// Returns the router that tracks the prefill of a prefix.
    pub(crate) fn prefill_owner(&self, key: PrefixKey) -> &RouterId {
        let staying = self.alive().filter(|member| !member.leaving);
        owner_of(key, staying.map(|member| &member.router)).unwrap_or(self.own())
    }

    /// Returns the router that owns the quota of an account.
    pub(crate) fn quota_owner(&self, account: AccountKey) -> &RouterId {
        let staying = self.alive().filter(|member| !member.leaving);
        owner_of(account, staying.map(|member| &member.router)).unwrap_or(self.own())
    }

    /// Requests tokens from the owner of an account; the result is `None` if it does not answer in time.
    pub(crate) fn request_quota(
        &self,
        owner: &RouterId,
        request: &QuotaRequest,
        timeout: Duration,
    ) -> impl Future<Output = Option<QuotaReply>> + use<> {
        let to = self.membership.get(owner).map(|member| member.peers);
        let links = self.links.clone();
        let body = Body::encode(Kind::Quota, request);
        async move {
            let reply = links.request(to?, body, timeout).await?;
            reply.decode::<QuotaReply>().ok()
        }
    }

    /// Returns the addresses of up to `count` other routers to which the hash of a stream leads.
    pub(crate) fn stream_holders(&self, stream: StreamKey, count: usize) -> Vec<SocketAddr> {
        let others = self
            .alive()
            .filter(|member| !member.leaving && member.router != *self.own());
        let holders = watchers_of(stream, others.map(|member| &member.router), count);
        let members = holders.into_iter();
        members
            .filter_map(|router| self.membership.get(router))
            .map(|member| member.peers)
            .collect()
    }

    /// Tells another router about streams.
    pub(crate) fn send_streams(&self, to: SocketAddr, message: &StreamMessage) {
        self.links.send(to, Body::encode(Kind::Streams, message));
    }

    /// Tells all other routers about streams.
    pub(crate) fn broadcast_streams(&self, message: &StreamMessage) {
        self.broadcast(&Body::encode(Kind::Streams, message));
    }

    /// Asks another router for a stream; the result is `None` if it does not answer in time.
    pub(crate) fn request_stream(
        &self,
        to: SocketAddr,
        message: &StreamMessage,
        timeout: Duration,
    ) -> impl Future<Output = Option<StreamReply>> + use<> {
        let links = self.links.clone();
        let body = Body::encode(Kind::Streams, message);
        async move {
            let reply = links.request(to, body, timeout).await?;
            reply.decode::<StreamReply>().ok()
        }
    }

    /// Requests a decision from the router that tracks a prefix; `decision` is dropped unsent if the router is
    /// unreachable.
    pub(crate) fn request_prefill(
        &self,
        router: &RouterId,
        message: PrefillMessage,
        timeout: Duration,
        decision: oneshot::Sender<PrefillDecision>,
    ) {
        let Some(to) = self.membership.get(router).map(|member| member.peers) else {
            return;
        };
        let links = self.links.clone();
        let body = Body::encode(Kind::Reading, &message);
        tokio::spawn(async move {
            let reply = links.request(to, body, timeout).await;
            if let Some(Ok(reply)) = reply.map(|body| body.decode::<PrefillReply>()) {
                // The caller's request may have ended in the meantime.
                let _ = decision.send(reply.decision());
            }
        });
    }

    /// Sends the outcome of a prefill to the router that tracks the prefix.
    pub(crate) fn send_prefill_outcome(&self, router: &RouterId, message: PrefillMessage) {
        if let Some(member) = self.membership.get(router) {
            self.links
                .send(member.peers, Body::encode(Kind::Reading, &message));
        }
    }

    /// Broadcasts aggregated loads to all other aggregating routers.
    pub(crate) fn broadcast_loads(&self, loads: &LoadMessage) {
        let mut zones: BTreeMap<&ZoneName, Vec<&RouterId>> = BTreeMap::new();
        for member in self.alive().filter(|member| !member.leaving) {
            zones.entry(&member.zone).or_default().push(&member.router);
        }
        let body = Body::encode(Kind::Work, loads);
        let aggregating = zones.values().flat_map(|zone| watchers(zone));
        for router in aggregating.filter(|router| *router != self.own()) {
            if let Some(member) = self.membership.get(router) {
                self.links.send(member.peers, body.clone());
            }
        }
    }

    /// Requests platform updates from another router; the reply arrives as an event.
    pub(crate) fn request_update(
        &self,
        router: &RouterId,
        request: &UpdateRequest,
        timeout: Duration,
    ) {
        let events = self.events.clone();
        let Some(to) = self.membership.get(router).map(|member| member.peers) else {
            return enqueue(&events, Event::Update(boot_time(), None));
        };
        let links = self.links.clone();
        let body = Body::encode(Kind::News, request);
        tokio::spawn(async move {
            let sent_at = boot_time();
            let reply = links.request(to, body, timeout).await;
            let update = reply.and_then(|body| body.decode::<PlatformUpdate>().ok());
            enqueue(&events, Event::Update(sent_at, update.map(Box::new)));
        });
    }

    fn apply_outcomes(&self, outcomes: Vec<Action>) {
        for outcome in outcomes {
            self.apply_outcome(outcome, None);
        }
    }

    fn apply_outcome(&self, outcome: Action, reply: Option<ReplyHandle>) {
        match outcome {
            Action::Send { to, heartbeat } if heartbeat.known_stage() == Some(Stage::Probe) => {
                self.probe(to, &heartbeat);
            }
            Action::Send { to, heartbeat } => {
                self.links
                    .send(to, Body::encode(Kind::Heartbeat, &heartbeat));
            }
            Action::Reply { heartbeat } => {
                if let Some(reply) = reply {
                    reply.send(Body::encode(Kind::Heartbeat, &heartbeat));
                }
            }
        }
    }

    /// Sends a probe and passes its acknowledgement to the control thread.
    fn probe(&self, to: SocketAddr, heartbeat: &Heartbeat) {
        let links = self.links.clone();
        let events = self.events.clone();
        let body = Body::encode(Kind::Heartbeat, heartbeat);
        tokio::spawn(async move {
            let reply = links.request(to, body, ACKNOWLEDGE_TIMEOUT).await;
            if let Some(Ok(heartbeat)) = reply.map(|body| body.decode::<Heartbeat>()) {
                let event = Event::Acknowledged(Box::new(heartbeat));
                if events.send(event).await.is_err() {
                    log::debug!("peer: The control thread has ended.");
                }
            }
        });
    }
}
