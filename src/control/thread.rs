//! The control thread: one loop over one queue of events.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;

use tokio::sync::{mpsc, oneshot};

use super::Shared;
use super::feed::follow_configuration;
use super::fetch::follow_vms;
use super::loads::poll_load;
use super::peers::{PeerChange, Peers, TICK_INTERVAL};
use super::publisher::Publisher;
use crate::configuration::StoredState;
use crate::error::{Error, ErrorKind};
use crate::id::{PoolName, ReplicaId};
use crate::membership::Heartbeat;
use crate::peer::{Inbound, PeerEvent};
use crate::protocol::{LoadReport, Vm};
use crate::recovery::{Section, StateChunk};
use crate::service::ServiceKind;

/// What the control thread reacts to.
#[derive(Debug)]
pub(crate) enum Event {
    /// A configuration was loaded.
    Configuration(Arc<StoredState>),
    /// An engine was asked for its load.
    Load {
        /// The pool of the replica.
        pool: PoolName,
        /// The replica.
        replica: ReplicaId,
        /// The report, or nothing where the engine did not answer.
        load: Option<Box<LoadReport>>,
    },
    /// A probe of another router was acknowledged.
    Heartbeat(Box<Heartbeat>),
    /// The platform's VM list was read.
    Vms(Vec<Vm>),
    /// A peer has answered with a chunk of its state.
    State {
        /// The peer.
        from: SocketAddr,
        /// The part of the state.
        section: Section,
        /// The answer.
        chunk: StateChunk,
    },
    /// A fetch of a peer's configuration has ended.
    FetchEnded,
}

/// The running control thread; dropping it stops the thread.
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
    /// Fails with [`ErrorKind::Io`] where the operating system gives no thread.
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
            log::error!("control: The thread has panicked.");
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
    let feed = tokio::spawn(follow_configuration(
        Arc::clone(&shared),
        shared.events().clone(),
    ));
    let vms = tokio::spawn(follow_vms(Arc::clone(&shared)));
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
    feed.abort();
    vms.abort();
}

/// The control state.
struct Control {
    shared: Arc<Shared>,
    publisher: Publisher,
    peers: Peers,
    polls: HashMap<(PoolName, ReplicaId), tokio::task::JoinHandle<()>>,
}

impl Control {
    fn new(shared: Arc<Shared>, peers: Peers) -> Self {
        // Set once here, so that an earlier value is impossible.
        let _ = shared.links.set(peers.links().clone());
        let mut control = Self {
            shared,
            publisher: Publisher::default(),
            peers,
            polls: HashMap::new(),
        };
        control.take_change(PeerChange {
            members: true,
            leaving_vms: true,
        });
        control
    }

    fn tick(&mut self) {
        let change = self.peers.tick();
        self.take_change(change);
    }

    fn receive(&mut self, event: PeerEvent) {
        let change = self.peers.receive(event, &self.publisher);
        self.take_change(change);
    }

    fn take_change(&mut self, change: PeerChange) {
        if change.members {
            let directory = self.peers.plan_directory();
            self.publisher.set_members(self.peers.members(), directory);
        }
        if change.leaving_vms {
            self.publisher.set_leaving_vms(self.peers.leaving_vms());
        }
        if change != PeerChange::default() {
            self.publish();
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Configuration(state) => self.adopt(&state),
            Event::Load {
                pool,
                replica,
                load,
            } => {
                self.publisher
                    .set_load(&pool, &replica, load.map(|load| *load));
            }
            Event::Heartbeat(heartbeat) => {
                let change = self.peers.take_heartbeat(&heartbeat, None);
                return self.take_change(change);
            }
            Event::Vms(vms) => {
                let change = self.peers.take_vms(&vms);
                return self.take_change(change);
            }
            Event::State {
                from,
                section,
                chunk,
            } => {
                for item in self.peers.take_state(from, section, &chunk) {
                    self.publisher.take_health(&item);
                }
            }
            Event::FetchEnded => return self.peers.end_fetch(),
        }
        self.publish();
    }

    fn adopt(&mut self, state: &Arc<StoredState>) {
        let revision = state.revision();
        if !self.publisher.adopt(Arc::new(state.configuration())) {
            return;
        }
        self.shared.stored.store(Arc::clone(state));
        log::info!("config: Revision is in force. revision={revision}");
        self.peers.announce();
        self.peers.note_configuration();
        self.follow_engines();
    }

    /// Polls the engines of the configuration, and those only.
    fn follow_engines(&mut self) {
        for (_, poll) in self.polls.drain() {
            poll.abort();
        }
        let configuration = Arc::clone(self.publisher.configuration());
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
                if let Some(twin) = self.polls.insert(key, poll) {
                    twin.abort();
                }
            }
        }
    }

    fn publish(&self) {
        self.shared
            .snapshot
            .store(Arc::new(self.publisher.snapshot()));
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        for poll in self.polls.values() {
            poll.abort();
        }
    }
}
