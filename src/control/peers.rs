//! Communication of the control thread with other routers. It executes the actions that [`Membership`] decides on.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use prost::Message;
use tokio::sync::mpsc;

use super::Shared;
use super::fetch::fetch_configuration;
use super::snapshot_builder::SnapshotBuilder;
use super::state_transfer::{ReplicaHealth, StateTransfer, encode_health};
use super::thread::Event;
use crate::configuration::{Announce, Fetch, StateSource, UpdateServer};
use crate::directory::Directory;
use crate::error::Error;
use crate::id::RouterId;
use crate::membership::{
    Action, Heartbeat, LeavingVms, Liveness, LoadLevel, Member, MemberRecord, Membership,
    MembershipOptions, Ring, Stage,
};
use crate::peer::{
    Body, Inbound, Kind, LinkOptions, LinkTimes, Links, PeerEvent, PeerIdentity, PeerKeys,
    ReplyHandle,
};
use crate::protocol::Vm;
use crate::recovery::{Section, StateChunk, StateRequest};
use crate::request::claim_service::{ClaimMember, ClaimPeers};
use crate::rollout::DrainNotice;

/// The interval of the control thread's tick.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which the directory is recomputed.
const DIRECTORY_INTERVAL: Duration = Duration::from_secs(1);
/// The timeout for the acknowledgement of a probe. The membership protocol gives up on a probe well before it expires.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout for a chunk of a peer's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of open connections accepted from peers.
const MAX_ACCEPTED_CONNECTIONS: usize = 1_024;
/// The weight of each tick's sample in the moving average of requests in flight that is reported as activity.
const ACTIVITY_SMOOTHING: f64 = 0.05;
/// The scale of the reported activity, so that averages below one request remain visible.
const ACTIVITY_UNITS_PER_REQUEST: f64 = 10.0;

/// The control thread's connections to other routers and the state exchanged over them.
pub(crate) struct Peers {
    shared: Arc<Shared>,
    links: Links,
    membership: Membership,
    leaving_vms: LeavingVms,
    updates: UpdateServer,
    is_fetching: bool,
    state: StateTransfer,
    received_notices: Vec<DrainNotice>,
    mean_open_requests: f64,
    next_directory_at: Duration,
    last_generation: u64,
    started: Instant,
}

/// The updates that the control thread must make after a peer event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PeerChange {
    /// The members changed, or the directory is due to be recomputed.
    pub(crate) members: bool,
    /// The set of leaving VMs may have changed.
    pub(crate) leaving_vms: bool,
}

impl Peers {
    /// Starts listening for other routers, with this router as the only member.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        listener: TcpListener,
        callers: SocketAddr,
    ) -> Result<(Self, Inbound), Error> {
        let settings = &shared.settings;
        let options = LinkOptions {
            identity: PeerIdentity {
                router: Arc::clone(&settings.router),
                incarnation: shared.incarnation,
                address: settings.listen.peers,
            },
            keys: PeerKeys::new(&settings.peer_keys)?,
            times: LinkTimes::default(),
            max_accepted_connections: MAX_ACCEPTED_CONNECTIONS,
        };
        let (links, inbound) = Links::listen(options, listener)?;
        let own = Member {
            router: Arc::clone(&settings.router),
            zone: Arc::clone(&settings.zone),
            peers: links.identity().address,
            callers,
            incarnation: shared.incarnation,
            version: 1,
            liveness: Liveness::Alive,
            leaving: false,
            load: LoadLevel::Normal,
            activity: 0,
        };
        let options = MembershipOptions::default();
        let membership = Membership::new(own, settings.seeds.clone(), options, Duration::ZERO);
        let peers = Self {
            shared: Arc::clone(shared),
            links,
            membership,
            leaving_vms: LeavingVms::default(),
            updates: UpdateServer::default(),
            is_fetching: false,
            state: StateTransfer::new(Duration::ZERO),
            received_notices: Vec::new(),
            mean_open_requests: 0.0,
            next_directory_at: Duration::ZERO,
            last_generation: 0,
            started: Instant::now(),
        };
        Ok((peers, inbound))
    }

    /// Returns the links to other routers.
    pub(crate) const fn links(&self) -> &Links {
        &self.links
    }

    /// Returns the current members.
    pub(crate) fn members(&self) -> Arc<[Member]> {
        self.membership.members().cloned().collect()
    }

    /// Returns the routers that the claim buckets are partitioned across.
    pub(crate) fn claim_peers(&self) -> ClaimPeers {
        let is_active = |member: &&Member| !member.leaving && member.liveness == Liveness::Alive;
        let members = self.membership.members().filter(is_active);
        ClaimPeers {
            links: self.links.clone(),
            members: members
                .map(|member| ClaimMember {
                    router: Arc::clone(&member.router),
                    address: member.peers,
                })
                .collect(),
        }
    }

    /// Returns the hash ring of the routers.
    pub(crate) const fn ring(&self) -> &Ring {
        self.membership.ring()
    }

    /// Sends `body` to a router, if it is a member.
    pub(crate) fn send(&self, to: &RouterId, body: Body) {
        if let Some(member) = self.membership.get(to) {
            self.links.send(member.peers, body);
        }
    }

    /// Returns the leaving VMs.
    pub(crate) const fn leaving_vms(&self) -> &LeavingVms {
        &self.leaving_vms
    }

    /// Computes the directory for the current members.
    pub(crate) fn build_directory(&self) -> Directory {
        let ttl = self.shared.settings.times.directory_ttl();
        let own = &self.membership.own().router;
        Directory::new(self.membership.members(), own, ttl, &mut rand::rng())
    }

    /// Runs the periodic tasks of membership, leaving VMs and state recovery.
    pub(crate) fn tick(&mut self) -> PeerChange {
        let now = self.now();
        self.update_own_state();
        for outcome in self.membership.tick(now, &mut rand::rng()) {
            self.perform(outcome, None);
        }
        self.leaving_vms.expire(now);
        self.request_state();
        let is_due = self.next_directory_at <= now;
        if is_due {
            self.next_directory_at = now + DIRECTORY_INTERVAL;
        }
        PeerChange {
            members: is_due || self.members_changed(),
            leaving_vms: is_due,
        }
    }

    /// Handles a message from a peer.
    pub(crate) fn receive(&mut self, event: PeerEvent, builder: &SnapshotBuilder) -> PeerChange {
        match event.body.kind {
            Kind::State => {
                if let Err(error) = self.serve_state(&event.body, event.reply, builder) {
                    log_rejected(&event.from, &error);
                }
            }
            Kind::Heartbeat => match event.body.decode::<Heartbeat>() {
                Ok(heartbeat) => return self.handle_heartbeat(&heartbeat, event.reply),
                Err(error) => log_rejected(&event.from, &error),
            },
            Kind::Configuration => {
                if let Err(error) = self.handle_configuration(&event.body, event.reply, &event.from)
                {
                    log_rejected(&event.from, &error);
                }
            }
            Kind::Claim => self.shared.claims.receive(event),
            kind => log::debug!(
                "peer: Ignored a message of an unsupported kind. kind={}",
                kind.label()
            ),
        }
        PeerChange::default()
    }

    /// Handles a heartbeat. `reply` is present if it was sent as a request.
    pub(crate) fn handle_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        mut reply: Option<ReplyHandle>,
    ) -> PeerChange {
        let now = self.now();
        for outcome in self.membership.receive(heartbeat, now, &mut rand::rng()) {
            self.perform(outcome, reply.take());
        }
        let leaving_vms = self.leaving_vms.merge(&heartbeat.leaving_vms, now);
        let sender = heartbeat
            .sender
            .as_ref()
            .and_then(|sender| sender.to_member());
        if let Some(sender) = sender {
            self.fetch_if_newer(heartbeat.revision, sender.peers);
        }
        PeerChange {
            members: self.members_changed(),
            leaving_vms,
        }
    }

    /// Handles an update of the platform's VM list.
    pub(crate) fn handle_vm_list(&mut self, vms: &[Vm]) -> PeerChange {
        let now = self.now();
        self.leaving_vms.observe(vms, now);
        for outcome in self.membership.observe_vms(vms) {
            self.perform(outcome, None);
        }
        PeerChange {
            members: self.members_changed(),
            leaving_vms: true,
        }
    }

    /// Announces the active revision to the routers that this router probes.
    pub(crate) fn announce(&self) {
        self.send_notices(Vec::new());
    }

    /// Sends notices of drained replicas, with the active revision, to the routers that this router probes.
    pub(crate) fn send_notices(&self, drains: Vec<DrainNotice>) {
        let announce = Announce {
            revision: self.shared.stored_state.load().revision(),
            drains,
        };
        let own = &self.membership.own().router;
        for router in self.membership.ring().fingers(own) {
            if let Some(member) = self.membership.get(&router) {
                let body = Body::encode(Kind::Configuration, &announce);
                self.links.send(member.peers, body);
            }
        }
    }

    /// Starts recovering the state that depends on the configuration, once there is one.
    pub(crate) fn configuration_loaded(&mut self) {
        self.state.configuration_loaded(self.now());
        self.request_state();
    }

    /// Handles a chunk of a peer's state and returns the replica states it contains.
    pub(crate) fn handle_state_chunk(
        &mut self,
        from: SocketAddr,
        section: Section,
        chunk: &StateChunk,
    ) -> Vec<ReplicaHealth> {
        let now = self.now();
        let items = self.state.handle_chunk(from, section, chunk, now);
        let mut health = Vec::new();
        if section == Section::Members {
            let records = items
                .into_iter()
                .filter_map(|item| MemberRecord::decode(item).ok());
            self.membership.merge_records(records.collect(), now);
        } else {
            health.extend(
                items
                    .into_iter()
                    .filter_map(|item| ReplicaHealth::decode(item).ok()),
            );
        }
        self.request_state();
        health
    }

    fn request_state(&mut self) {
        let now = self.now();
        let own = self.membership.own().clone();
        for ask in self.state.next(&own, self.membership.members(), now) {
            let Ok(section) = Section::try_from(ask.request.section) else {
                continue;
            };
            let links = self.links.clone();
            let events = self.shared.events().clone();
            let body = Body::encode(Kind::State, &ask.request);
            tokio::spawn(async move {
                let answer = links.request(ask.to, body, STATE_TIMEOUT).await;
                if let Some(Ok(chunk)) = answer.map(|body| body.decode::<StateChunk>()) {
                    let from = ask.to;
                    enqueue(
                        &events,
                        Event::StateChunk {
                            from,
                            section,
                            chunk,
                        },
                    );
                }
            });
        }
    }

    fn serve_state(
        &mut self,
        body: &Body,
        reply: Option<ReplyHandle>,
        builder: &SnapshotBuilder,
    ) -> Result<(), Error> {
        let request: StateRequest = body.decode()?;
        let now = self.now();
        let membership = &self.membership;
        let encode = |section| match section {
            Section::Members => {
                let records = membership.records();
                records
                    .iter()
                    .map(|record| record.encode_to_vec().into())
                    .collect()
            }
            _ => encode_health(builder),
        };
        let chunk = self.state.serve(request, encode, now);
        if let Some(reply) = reply {
            reply.send(Body::encode(Kind::State, &chunk));
        }
        Ok(())
    }

    /// Returns the drain notices received since the last call.
    pub(crate) fn take_notices(&mut self) -> Vec<DrainNotice> {
        std::mem::take(&mut self.received_notices)
    }

    /// Records that the configuration fetch from a peer has ended.
    pub(crate) const fn finish_fetch(&mut self) {
        self.is_fetching = false;
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn members_changed(&mut self) -> bool {
        let generation = self.membership.generation();
        std::mem::replace(&mut self.last_generation, generation) != generation
    }

    /// Updates the state of this router that the next heartbeats carry.
    fn update_own_state(&mut self) {
        if self.shared.draining.load(Ordering::Relaxed) {
            self.membership.leave();
        }
        let open = self.shared.open_requests();
        self.mean_open_requests += ACTIVITY_SMOOTHING * (open as f64 - self.mean_open_requests);
        let activity = (self.mean_open_requests * ACTIVITY_UNITS_PER_REQUEST).round();
        self.membership.set_activity(activity as u32);
        let max_connections = self.shared.settings.bounds.connections.max(1);
        let utilisation_percent = u32::try_from(open * 100 / max_connections).unwrap_or(u32::MAX);
        let load = self.membership.own().load.next(utilisation_percent);
        self.membership.set_load(load);
    }

    fn perform(&self, outcome: Action, reply: Option<ReplyHandle>) {
        match outcome {
            Action::Send { to, heartbeat } if heartbeat.known_stage() == Some(Stage::Probe) => {
                self.probe(to, self.piggyback(heartbeat));
            }
            Action::Send { to, heartbeat } => {
                self.links.send(
                    to,
                    Body::encode(Kind::Heartbeat, &self.piggyback(heartbeat)),
                );
            }
            Action::Reply { heartbeat } => {
                if let Some(reply) = reply {
                    reply.send(Body::encode(Kind::Heartbeat, &self.piggyback(heartbeat)));
                }
            }
        }
    }

    /// Adds the data that is piggybacked on every heartbeat.
    fn piggyback(&self, mut heartbeat: Heartbeat) -> Heartbeat {
        heartbeat.leaving_vms = self.leaving_vms.to_message(self.now());
        heartbeat.revision = self.shared.stored_state.load().revision();
        heartbeat
    }

    /// Sends a probe and forwards its acknowledgement to the control thread.
    fn probe(&self, to: SocketAddr, heartbeat: Heartbeat) {
        let links = self.links.clone();
        let events = self.shared.events().clone();
        let body = Body::encode(Kind::Heartbeat, &heartbeat);
        tokio::spawn(async move {
            let answer = links.request(to, body, ACKNOWLEDGE_TIMEOUT).await;
            if let Some(Ok(heartbeat)) = answer.map(|body| body.decode::<Heartbeat>()) {
                enqueue(&events, Event::Heartbeat(Box::new(heartbeat)));
            }
        });
    }

    fn handle_configuration(
        &mut self,
        body: &Body,
        reply: Option<ReplyHandle>,
        from: &PeerIdentity,
    ) -> Result<(), Error> {
        let Some(reply) = reply else {
            let announce: Announce = body.decode()?;
            self.fetch_if_newer(announce.revision, from.address);
            self.received_notices.extend(announce.drains);
            return Ok(());
        };
        let fetch: Fetch = body.decode()?;
        let part = self.updates.part(&self.shared.stored_state.load(), fetch);
        reply.send(Body::encode(Kind::Configuration, &part));
        Ok(())
    }

    /// Fetches the configuration from a peer with a newer revision, one fetch at a time.
    fn fetch_if_newer(&mut self, revision: u64, from: SocketAddr) {
        let known = self.shared.stored_state.load_full();
        if revision <= known.revision() || self.is_fetching {
            return;
        }
        self.is_fetching = true;
        let links = self.links.clone();
        let events = self.shared.events().clone();
        tokio::spawn(async move {
            match fetch_configuration(&links, from, known).await {
                Ok(Some(state)) => {
                    let event = Event::Configuration(StateSource::Peer, Box::new(state));
                    enqueue(&events, event);
                }
                Ok(None) => {}
                Err(error) => {
                    log::info!("config: Failed to fetch a peer's configuration. error={error}")
                }
            }
            enqueue(&events, Event::FetchFinished);
        });
    }
}

/// Queues an event for the control thread, or drops it if the queue is full. Later heartbeats make up for a dropped
/// event.
fn enqueue(events: &mpsc::Sender<Event>, event: Event) {
    if events.try_send(event).is_err() {
        log::warn!("control: Dropped a peer event because the queue is full.");
    }
}

fn log_rejected(from: &PeerIdentity, error: &Error) {
    log::warn!(
        "peer: Rejected an invalid message. router={} error={error}",
        from.router
    );
}
