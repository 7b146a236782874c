//! A router that treats request bodies as opaque, for a platform that lists replicas and stores the configuration in
//! objects.
//!
//! [`Gateway`] matches requests by host and path prefix, checks API keys, selects a replica that is likely to have the
//! prompt prefix cached, and forwards the replica's response unchanged. An adapter defines the names of headers and the
//! formats of objects and calls: it provides [`HeaderNames`], a [`PlatformStore`] and [`ReplicaCalls`]. See
//! docs/design/gateway.md.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio_util::task::TaskTracker;

use crate::error::{Error, ErrorKind};
use crate::listener::bind_listener;

mod admission;
mod attempt;
mod attempt_watch;
mod authorization;
mod backpressure;
mod begin_limit;
mod cache_isolation;
mod call;
mod caller_activity;
mod caller_stream;
mod clock;
mod control;
mod crash_report;
mod dispatch;
mod events;
mod exchange;
mod fleet;
mod fleet_size;
mod forwarding;
mod freshness;
mod front;
mod headers;
mod helpers;
mod leaving;
mod limited_stream;
mod link_silence;
mod list_watch;
mod load;
mod memory;
mod named_versions;
mod notice;
mod open_requests;
mod path;
mod peers;
mod placement;
mod prefill;
mod prompt;
mod quota;
mod relay;
mod relay_client;
mod relay_message;
mod relay_server;
mod releases;
mod replica_limit;
mod request_end;
mod request_log;
mod response;
mod revision;
mod route;
mod send_permit;
mod settings;
mod shared;
mod source;
mod store;
mod stream_origin;
mod stream_progress;
mod take_up;
mod updates;
mod upstream;
mod weights;

#[cfg(test)]
mod tests;

pub use self::control::{OrderCall, ReplicaCall, ReplicaCalls, ReportCall};
pub use self::fleet::{LoadedWeights, ReplicaEntry, ReplicaRecord, ReplicaState};
pub use self::headers::HeaderNames;
pub use self::quota::{AccountQuota, QuotaLimit, QuotaUnit};
pub use self::releases::ReleaseRecord;
pub use self::revision::{StoreRevision, revision_era, revision_number, store_revision};
pub use self::route::{
    CallKind, CallerLimits, EngineTraits, GatewayAccount, GatewayConfiguration, GatewayService,
    KvStoreTraits, ModelName, Route, WeightedService,
};
pub use self::settings::{
    AdmissionSettings, GatewayBounds, GatewayListen, GatewaySettings, MemorySettings,
    PlacementSettings, StoreAccess, VmSize,
};
pub use self::store::{
    CallFuture, ConfigurationRead, ListPage, NamedWeights, PlatformStore, StoreCall, StoreFault,
    WatchPage,
};
pub use self::weights::{LoadTarget, OrderReply, WeightsReport};

pub(crate) use self::caller_activity::{CallerActivity, QuietReason};
pub(crate) use self::caller_stream::{CallerStream, SharedActivity};
pub(crate) use self::clock::boot_time;
use self::control::{ControlParts, Event};
pub(crate) use self::leaving::{LeavePhase, LeaveSchedule};
pub(crate) use self::memory::MemoryAccount;
use self::shared::Shared;

/// The capacity of the queue of observations from traffic threads to the control thread.
const OBSERVATION_QUEUE_LEN: usize = 1_024;
/// How often a process that is shutting down checks for open requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of requests that are named when a shutdown cuts them.
const MAX_LOGGED_CUTS: usize = 50;

/// The parts of the gateway that an adapter provides.
#[derive(Debug)]
pub struct GatewayAdapters {
    /// The client of the platform's store.
    pub store: PlatformStore,
    /// The client for control calls to replicas.
    pub replicas: ReplicaCalls,
    /// The names of the HTTP headers.
    pub header_names: HeaderNames,
}

/// The addresses that a gateway is bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayAddresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other gateways.
    pub peers: SocketAddr,
}

/// A running gateway process.
#[derive(Debug)]
pub struct Gateway {
    addresses: GatewayAddresses,
    shared: Arc<Shared>,
    events: mpsc::Sender<Event>,
    closing: watch::Sender<bool>,
    /// The tasks that serve callers' connections.
    connections: TaskTracker,
    traffic: Runtime,
}

/// A handle to query a running gateway; clones refer to the same gateway.
#[derive(Clone, Debug)]
pub struct GatewayHandle {
    shared: Arc<Shared>,
}

impl Gateway {
    /// Binds the addresses for callers and peers and starts serving.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Io`] if an address can't be bound or a thread can't be started.
    pub fn start(settings: GatewaySettings, adapters: GatewayAdapters) -> Result<Self, Error> {
        let traffic = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(|error| Error::new(ErrorKind::Io, format!("traffic runtime: {error}")))?;
        let callers = bind("listen.callers", settings.listen.callers)?;
        let peers = bind("listen.peers", settings.listen.peers)?;
        let addresses = GatewayAddresses {
            callers: local_address(&callers)?,
            peers: local_address(&peers)?,
        };
        let (observed, observations) = mpsc::channel(OBSERVATION_QUEUE_LEN);
        let shared = Arc::new(Shared::new(settings, adapters.header_names, observed));
        let events = control::start(ControlParts {
            shared: Arc::clone(&shared),
            store: adapters.store,
            replicas: adapters.replicas,
            observations,
            peers,
            callers: addresses.callers,
            traffic: traffic.handle().clone(),
        })?;
        shared.set_control(events.clone());
        let (closing, closed) = watch::channel(false);
        let connections = TaskTracker::new();
        let listener = front::CallerListener {
            listener: callers,
            connections: connections.clone(),
            closing: closed,
        };
        front::serve(traffic.handle(), listener, Arc::clone(&shared))?;
        let settings = &shared.settings;
        log::info!(
            "gateway: Started. router={} zone={} callers={} version={}",
            settings.router,
            settings.zone,
            addresses.callers,
            env!("CARGO_PKG_VERSION")
        );
        Ok(Self {
            addresses,
            shared,
            events,
            closing,
            connections,
            traffic,
        })
    }

    /// Returns the bound addresses.
    #[must_use]
    pub const fn addresses(&self) -> GatewayAddresses {
        self.addresses
    }

    /// Returns the runtime that serves traffic, for an adapter's own listeners.
    #[must_use]
    pub fn runtime(&self) -> &tokio::runtime::Handle {
        self.traffic.handle()
    }

    /// Returns a handle to query this gateway.
    #[must_use]
    pub fn handle(&self) -> GatewayHandle {
        GatewayHandle {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Reloads the settings file and applies the settings that may change at run time: the bounds.
    ///
    /// If the file can't be read or is invalid, the settings stay unchanged and an error is logged.
    pub fn reload(&self, path: &Path) {
        match GatewaySettings::from_file(path) {
            Ok(settings) => {
                let changed = self.shared.set_bounds(settings.bounds);
                log::info!("gateway: Settings read again. changed={changed}");
            }
            Err(error) => log::error!("gateway: Failed to reload the settings. error=\"{error}\""),
        }
    }

    /// Shuts down gracefully: leaves the directory at once, keeps serving callers with old directory responses, refuses
    /// later requests as not run, and closes the connections when all is answered and nothing more arrives.
    ///
    /// Returns how long the process may still run within the grace period.
    pub async fn leave(&self) -> Duration {
        let bounds = self.shared.bounds();
        let life = Duration::from_millis(bounds.directory_life_ms);
        let schedule = LeaveSchedule::new(clock::boot_time(), bounds.grace(), life);
        let schedule = self.shared.leave(schedule);
        let requests = &self.shared.open_requests;
        let (open, _) = requests.count_and_last_arrival();
        log::info!("gateway: Leaving. open_requests={open}");
        if self.events.send(Event::Leave).await.is_err() {
            log::error!("gateway: The control thread has ended.");
        }
        let mut phase = LeavePhase::Serving;
        while phase != LeavePhase::Closing {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            let (open, last_arrival) = requests.count_and_last_arrival();
            // The routers that asked close idle connections over a router that leaves; those that are left carry requests.
            let open = open + self.shared.open_relays();
            let next = schedule.phase(clock::boot_time(), open, last_arrival);
            if next != phase {
                log::info!("gateway: Shutdown proceeds. phase={next:?} open_requests={open}");
                phase = next;
            }
        }
        self.shared.close();
        self.closing.send_replace(true);
        self.connections.close();
        let flushed = tokio::time::timeout(schedule.flush_limit(), self.connections.wait()).await;
        let cut = requests.records();
        for record in cut.iter().take(MAX_LOGGED_CUTS) {
            log::warn!(
                "gateway: The shutdown cuts a request. id={} replica={} is_responding={}",
                record.id,
                record.replica,
                record.is_responding
            );
        }
        log::info!(
            "gateway: Stopped. cut_requests={} open_connections={} flushed={}",
            cut.len(),
            self.connections.len(),
            flushed.is_ok()
        );
        schedule.time_left(clock::boot_time())
    }
}

impl GatewayHandle {
    /// Returns whether the gateway is ready for new callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns the addresses that a caller in `zone` should use: those in its zone, or all if there are none in its
    /// zone.
    #[must_use]
    pub fn entries(&self, zone: Option<&str>) -> Vec<SocketAddr> {
        let snapshot = self.shared.snapshot.load();
        let near = snapshot
            .entries
            .iter()
            .filter(|entry| Some(&*entry.zone) == zone);
        let mut addresses: Vec<_> = near.map(|entry| entry.callers).collect();
        if addresses.is_empty() {
            addresses = snapshot.entries.iter().map(|entry| entry.callers).collect();
        }
        addresses
    }

    /// Returns how long a directory response may be cached.
    #[must_use]
    pub fn directory_life(&self) -> Duration {
        Duration::from_millis(self.shared.bounds().directory_life_ms)
    }
}

fn bind(field: &str, address: SocketAddr) -> Result<std::net::TcpListener, Error> {
    bind_listener(address)
        .map_err(|error| Error::new(ErrorKind::Io, format!("{field}: {address}: {error}")))
}

fn local_address(listener: &std::net::TcpListener) -> Result<SocketAddr, Error> {
    listener
        .local_addr()
        .map_err(|error| Error::new(ErrorKind::Io, error.to_string()))
}
