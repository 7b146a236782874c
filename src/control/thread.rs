//! The control thread, an event loop that owns all control state.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Instant;

use tokio::sync::{mpsc, oneshot};

use super::Shared;
use super::config_watch::watch_configuration;
use super::fetch::poll_vm_list;
use super::load_polling::poll_load;
use super::owner_views::OwnerViews;
use super::peers::{PeerChange, Peers, TICK_INTERVAL};
use super::reports::Reports;
use super::rollouts::{RolloutEvent, Rollouts};
use super::snapshot_builder::SnapshotBuilder;
use crate::admission::{Usage, UsageTree};
use crate::configuration::{ActiveConfiguration, Adoption, StateSource, StoredState};
use crate::error::{Error, ErrorKind};
use crate::id::{PoolName, ReplicaId};
use crate::membership::Heartbeat;
use crate::peer::{Body, Inbound, Kind, PeerEvent};
use crate::policy::{Lookup, Observation, OwnerReply};
use crate::protocol::{LoadReport, Vm};
use crate::recovery::{Section, StateChunk};
use crate::service::ServiceKind;
use crate::status::{ReportReply, RequestedReport};
use crate::telemetry::CompletedRequest;

/// An event handled by the control thread.
#[derive(Debug)]
pub(crate) enum Event {
    /// A configuration was loaded from the platform or a peer.
    Configuration(StateSource, Box<StoredState>),
    /// This router accepted a change ticket, which created a configuration. The sender is used once requests are served
    /// with it.
    TicketAccepted(Box<StoredState>, oneshot::Sender<()>),
    /// An engine was polled for its load.
    Load {
        /// The pool of the replica.
        pool: PoolName,
        /// The replica.
        replica: ReplicaId,
        /// The report, or `None` if the engine did not respond.
        load: Option<Box<LoadReport>>,
    },
    /// A probe of another router was acknowledged.
    Heartbeat(Box<Heartbeat>),
    /// The platform's VM list was read.
    VmList(Vec<Vm>),
    /// A peer responded with a chunk of its state.
    StateChunk {
        /// The peer.
        from: SocketAddr,
        /// The section of the state.
        section: Section,
        /// The chunk.
        chunk: StateChunk,
    },
    /// A fetch of a peer's configuration ended.
    FetchFinished,
    /// A traffic thread requests placement candidates from this router's own view.
    Lookup {
        /// The pool's tag.
        pool: u32,
        /// The lookup.
        lookup: Box<Lookup>,
        /// Receives the reply.
        reply: oneshot::Sender<OwnerReply>,
    },
    /// A traffic thread observed a replica.
    Observation {
        /// The pool's tag.
        pool: u32,
        /// The cell whose owner was queried.
        cell: usize,
        /// The observation.
        observation: Box<Observation>,
    },
    /// A request finished.
    RequestEnded(Box<CompletedRequest>),
    /// An operator requested this router's part of a report.
    Report(RequestedReport, oneshot::Sender<ReportReply>),
    /// The metrics are about to be scraped.
    Scrape(oneshot::Sender<()>),
    /// A call made for a rollout completed.
    Rollout(RolloutEvent),
}

/// A handle to the running control thread. Dropping it stops and joins the thread.
#[derive(Debug)]
pub(crate) struct ControlThread {
    stop: Option<oneshot::Sender<()>>,
    join: Option<JoinHandle<()>>,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Io`] if the runtime or the thread can't be created.
    pub(crate) fn start(
        shared: Arc<Shared>,
        events: mpsc::Receiver<Event>,
        listener: TcpListener,
        callers: SocketAddr,
    ) -> Result<Self, Error> {
        let (stop, stopped) = oneshot::channel();
        let name = format!("control-{}", shared.settings.router);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| Error::new(ErrorKind::Io, format!("control runtime: {error}")))?;
        let (peers, inbound) = {
            let _context = runtime.enter();
            Peers::start(&shared, listener, callers)?
        };
        let join = std::thread::Builder::new()
            .name(name)
            .spawn(move || runtime.block_on(run(shared, events, peers, inbound, stopped)))
            .map_err(|error| Error::new(ErrorKind::Io, format!("control thread: {error}")))?;
        Ok(Self {
            stop: Some(stop),
            join: Some(join),
        })
    }
}

impl Drop for ControlThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(join) = self.join.take()
            && join.join().is_err()
        {
            log::error!("control: The control thread panicked.");
        }
    }
}

async fn run(
    shared: Arc<Shared>,
    mut events: mpsc::Receiver<Event>,
    peers: Peers,
    mut inbound: Inbound,
    mut stopped: oneshot::Receiver<()>,
) {
    let configuration_watch = tokio::spawn(watch_configuration(Arc::clone(&shared)));
    let vm_list_poll = tokio::spawn(poll_vm_list(Arc::clone(&shared)));
    let mut control = Control::new(shared, peers);
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = &mut stopped => break,
            _ = ticks.tick() => control.tick(),
            Some(event) = inbound.recv() => control.receive(event),
            event = events.recv() => match event {
                Some(event) => control.handle(event),
                None => break,
            },
        }
    }
    configuration_watch.abort();
    vm_list_poll.abort();
}

/// The state owned by the control thread.
struct Control {
    shared: Arc<Shared>,
    started: Instant,
    active: ActiveConfiguration,
    builder: SnapshotBuilder,
    peers: Peers,
    owner_views: OwnerViews,
    rollouts: Rollouts,
    polls: HashMap<(PoolName, ReplicaId), tokio::task::JoinHandle<()>>,
    reports: Reports,
    usage: UsageTree,
    // Whether load reports arrived since the last snapshot.
    has_new_loads: bool,
}

impl Control {
    fn new(shared: Arc<Shared>, peers: Peers) -> Self {
        // This is the only place that sets the links, so `set` can't fail.
        let _ = shared.links.set(peers.links().clone());
        let started = Instant::now();
        let owner_views = OwnerViews::new(
            Arc::clone(&shared.settings.router),
            Arc::clone(&shared.settings.zone),
            peers.links().clone(),
            started,
        );
        let mut control = Self {
            reports: Reports::new(&shared),
            rollouts: Rollouts::new(Arc::clone(&shared)),
            shared,
            started,
            owner_views,
            active: ActiveConfiguration::new(),
            builder: SnapshotBuilder::default(),
            peers,
            usage: UsageTree::default(),
            has_new_loads: false,
            polls: HashMap::new(),
        };
        control.apply_change(PeerChange {
            members: true,
            leaving_vms: true,
        });
        control
    }

    fn tick(&mut self) {
        self.owner_views.flush();
        let change = self.peers.tick();
        self.apply_change(change);
        let configuration = Arc::clone(self.builder.configuration());
        let notices = self.rollouts.tick(&configuration, &self.peers.members());
        if !notices.is_empty() {
            self.peers.send_notices(notices);
        }
        self.apply_drains();
        self.exchange_usage();
        if self.has_new_loads {
            self.publish();
        }
    }

    /// Exchanges the usage of heavy accounts with other routers.
    fn exchange_usage(&mut self) {
        let own = &self.shared.settings.router;
        let ring = self.peers.ring();
        let limiter = &self.shared.limiter;
        let messages = limiter.exchange(&mut self.usage, own, ring, ring.len());
        for (to, usage) in messages {
            self.peers.send(&to, Body::encode(Kind::Usage, &usage));
        }
    }

    fn handle_usage(&mut self, event: &PeerEvent) {
        match event.body.decode::<Usage>() {
            Ok(usage) => {
                let limiter = &self.shared.limiter;
                limiter.receive(&mut self.usage, &event.from.router, &usage);
            }
            Err(error) => log::warn!("peer: Rejected an invalid usage message. error={error}"),
        }
    }

    fn apply_drains(&mut self) {
        if let Some(drained) = self.rollouts.changed_drains() {
            self.builder.set_drained(drained);
            self.publish();
        }
    }

    fn receive(&mut self, event: PeerEvent) {
        match event.body.kind {
            Kind::Status => return self.reports.answer_peer(event, &self.shared),
            Kind::Lookup => return self.handle_lookup(event),
            Kind::Observation => return self.handle_observations(&event),
            Kind::Usage => return self.handle_usage(&event),
            _ => {}
        }
        let change = self.peers.receive(event, &self.builder);
        self.apply_change(change);
        let mut notices = self.peers.take_notices();
        notices.retain(|notice| self.rollouts.apply_notice(notice));
        if !notices.is_empty() {
            self.peers.send_notices(notices);
            self.apply_drains();
        }
    }

    fn handle_lookup(&mut self, event: PeerEvent) {
        match self.owner_views.handle_lookup(&event.body) {
            Ok(answer) => {
                if let Some(reply) = event.reply {
                    reply.send(answer);
                }
            }
            Err(error) => log::warn!("peer: Rejected an invalid lookup. error={error}"),
        }
    }

    fn handle_observations(&mut self, event: &PeerEvent) {
        if let Err(error) = self.owner_views.handle_observations(&event.body) {
            log::warn!("peer: Rejected an invalid batch of observations. error={error}");
        }
    }

    fn apply_change(&mut self, change: PeerChange) {
        if change.members {
            let directory = self.peers.build_directory();
            self.builder.set_members(self.peers.members(), directory);
            self.shared.claims.set_peers(Some(self.peers.claim_peers()));
        }
        if change.leaving_vms {
            self.builder.set_leaving_vms(self.peers.leaving_vms());
        }
        if change != PeerChange::default() {
            self.publish();
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Configuration(source, state) => self.adopt(source, *state),
            Event::TicketAccepted(state, activated) => {
                self.adopt(StateSource::Ticket, *state);
                self.publish();
                // Sending fails if the operator's connection was closed.
                let _ = activated.send(());
                return;
            }
            Event::Load {
                pool,
                replica,
                load,
            } => {
                let before = self.builder.replica_state(&pool, &replica);
                if let Some(load) = &load {
                    if let Some(position) = self.builder.position_of(&pool, &replica) {
                        self.owner_views.record_load(&pool, position, load);
                    }
                    self.rollouts.observe(&pool, &replica, load);
                }
                self.builder
                    .set_load(&pool, &replica, load.map(|load| *load));
                let after = self.builder.replica_state(&pool, &replica);
                self.reports.record_replica_change(&replica, before, after);
                // Changed load figures are published with the next tick; a new incarnation or availability is published
                // at once.
                if before == after {
                    self.has_new_loads = true;
                    return;
                }
            }
            Event::Heartbeat(heartbeat) => {
                let change = self.peers.handle_heartbeat(&heartbeat, None);
                return self.apply_change(change);
            }
            Event::VmList(vms) => {
                let change = self.peers.handle_vm_list(&vms);
                return self.apply_change(change);
            }
            Event::StateChunk {
                from,
                section,
                chunk,
            } => {
                for item in self.peers.handle_state_chunk(from, section, &chunk) {
                    self.builder.apply_health(&item);
                }
            }
            Event::FetchFinished => return self.peers.finish_fetch(),
            Event::Lookup {
                pool,
                lookup,
                reply,
            } => {
                // Sending fails if the requester no longer waits.
                let _ = reply.send(self.owner_views.answer(pool, &lookup));
                return;
            }
            Event::Observation {
                pool,
                cell,
                observation,
            } => return self.owner_views.observe(pool, cell, *observation),
            Event::RequestEnded(entry) => {
                let configuration = self.builder.configuration();
                return self.reports.record(*entry, configuration);
            }
            Event::Report(asked, reply) => {
                // Sending fails if the operator's connection was closed.
                let _ = reply.send(self.reports.answer(asked, &self.shared));
                return;
            }
            Event::Scrape(done) => {
                self.reports.update_gauges(self.builder.configuration());
                let _ = done.send(());
                return;
            }
            Event::Rollout(event) => {
                return self.rollouts.handle(event, &self.peers.members());
            }
        }
        self.publish();
    }

    fn adopt(&mut self, source: StateSource, state: StoredState) {
        let source = source.label();
        let revision = state.revision();
        match self.active.offer(state, self.started.elapsed()) {
            Adoption::Adopted { before } => {
                log::info!(
                    "config: Activated a revision. revision={revision} before={before} source={source}"
                );
                self.activate();
            }
            Adoption::Same => self
                .shared
                .stored_state
                .store(Arc::clone(self.active.state())),
            Adoption::Older => log::debug!(
                "config: Ignored an older revision. revision={revision} source={source}"
            ),
            Adoption::Diverged => {
                log::error!(
                    "config: Ignored different content for the active revision. revision={revision} source={source}"
                );
            }
        }
    }

    fn activate(&mut self) {
        let configuration = Arc::clone(self.active.configuration());
        self.builder
            .set_configuration(configuration, Arc::clone(self.active.keys()));
        self.shared
            .stored_state
            .store(Arc::clone(self.active.state()));
        self.reports.retain_services(self.builder.configuration());
        self.peers.announce();
        self.peers.configuration_loaded();
        self.restart_load_polls();
    }

    /// Restarts the load polls, one for each replica of a model pool in the active configuration.
    fn restart_load_polls(&mut self) {
        for (_, poll) in self.polls.drain() {
            poll.abort();
        }
        let configuration = Arc::clone(self.builder.configuration());
        let interval = self.shared.settings.times.load_interval();
        for service in configuration.services.values() {
            if service.kind != ServiceKind::Model {
                continue;
            }
            let Some(pool) = configuration.pools.get(&service.pool) else {
                continue;
            };
            for replica in &pool.replicas {
                let key = (Arc::clone(&service.pool), Arc::clone(&replica.id));
                let poll = poll_load(
                    self.shared.engines.clone(),
                    Arc::clone(&service.pool),
                    Arc::new(replica.clone()),
                    interval,
                    self.shared.events().clone(),
                );
                if let Some(previous) = self.polls.insert(key, poll) {
                    previous.abort();
                }
            }
        }
    }

    fn publish(&mut self) {
        self.has_new_loads = false;
        self.builder.update_routing(&mut self.owner_views);
        self.shared
            .snapshot
            .store(Arc::new(self.builder.snapshot()));
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        for poll in self.polls.values() {
            poll.abort();
        }
    }
}
