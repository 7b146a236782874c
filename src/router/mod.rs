//! A router instance and its lifecycle: bind, serve, drain and stop.
//!
//! The daemon is a thin wrapper around [`Router`]. Tests and the demonstration run several routers in one process, so
//! this module keeps no global state.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::runtime::Runtime;

use crate::control::{ControlThread, Shared};
use crate::entry::{self, RunningServer};
use crate::error::{Error, ErrorKind};
use crate::listener::bind_listener;
use crate::settings::RouterSettings;

/// The interval at which a drain checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The fraction of the drain limit after which new requests are refused, so that earlier ones are completed.
const SERVE_FRACTION_OF_DRAIN: f64 = 0.65;

/// The addresses on which a router listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterAddresses {
    /// Serves callers.
    pub callers: SocketAddr,
    /// Serves operators and metrics.
    pub operators: SocketAddr,
    /// Serves other routers.
    pub peers: SocketAddr,
}

/// The result of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// The number of requests that were still open when the drain limit expired and are cut off.
    pub cut_requests: usize,
    /// What is left of the drain limit.
    pub time_left: Duration,
}

/// A running router.
#[derive(Debug)]
pub struct Router {
    addresses: RouterAddresses,
    shared: Arc<Shared>,
    callers: RunningServer,
    traffic: Option<Runtime>,
    // Dropped after `traffic`, whose requests read the snapshots that the control thread publishes.
    _control: ControlThread,
}

impl Router {
    /// Binds the addresses in `settings` and starts serving.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidInput`] if a setting is invalid, and [`ErrorKind::Io`] if an address can't be bound
    /// or a thread can't be started.
    pub fn start(settings: RouterSettings) -> Result<Self, Error> {
        settings.check()?;
        let callers = bind("listen.callers", settings.listen.callers)?;
        let operators = bind("listen.operators", settings.listen.operators)?;
        let peers = bind("listen.peers", settings.listen.peers)?;
        let addresses = RouterAddresses {
            callers: local_address(&callers)?,
            operators: local_address(&operators)?,
            peers: local_address(&peers)?,
        };
        let traffic = traffic_runtime(&settings)?;
        let started = (|| {
            let (shared, events) = Shared::new(settings, traffic.handle())?;
            let shared = Arc::new(shared);
            let control =
                ControlThread::start(Arc::clone(&shared), events, peers, addresses.callers)?;
            let callers = entry::serve_callers(&traffic, callers, &shared)?;
            entry::serve_operators(&traffic, operators, &shared)?;
            Ok((shared, control, callers))
        })();
        let (shared, control, callers) = match started {
            Ok(started) => started,
            Err(error) => {
                // Dropping a runtime panics in an asynchronous context, which would hide the error.
                traffic.shutdown_background();
                return Err(error);
            }
        };
        log::info!(
            "router: Started serving. router={} callers={} operators={} peers={}",
            shared.settings.router,
            addresses.callers,
            addresses.operators,
            addresses.peers
        );
        Ok(Self {
            addresses,
            shared,
            callers,
            traffic: Some(traffic),
            _control: control,
        })
    }

    /// Returns the addresses on which the router listens.
    #[must_use]
    pub const fn addresses(&self) -> RouterAddresses {
        self.addresses
    }

    /// Shuts down gracefully.
    ///
    /// The router leaves the directory, keeps accepting requests until cached directory responses have expired, and
    /// then waits up to `limit` for requests in flight. If callers keep coming, their requests are refused for the last
    /// part of `limit`. Requests that are still open after `limit` are counted in the report. Otherwise the router goes
    /// on serving callers until it is closed with [`close`](Self::close).
    pub async fn drain(&self, limit: Duration) -> DrainReport {
        let router = &self.shared.settings.router;
        self.shared.draining.store(true, Ordering::Relaxed);
        log::info!("drain: Removed this router from the directory. router={router}");
        tokio::time::sleep(self.shared.settings.times.directory_ttl()).await;
        let started = Instant::now();
        let serving = limit.mul_f64(SERVE_FRACTION_OF_DRAIN);
        let mut waited = tokio::time::timeout(serving, self.wait_for_requests()).await;
        if waited.is_err() {
            self.callers.refuse_requests();
            log::info!("drain: New requests are refused. router={router}");
            waited = tokio::time::timeout(limit - serving, self.wait_for_requests()).await;
        }
        let cut_requests = match waited {
            Ok(()) => 0,
            Err(_) => self.shared.open_requests(),
        };
        log::info!("drain: Completed. router={router} cut_requests={cut_requests}");
        DrainReport {
            cut_requests,
            time_left: limit.saturating_sub(started.elapsed()),
        }
    }

    /// Refuses new requests as not run, and waits up to `limit` until none has arrived for a while and the connections
    /// that had requests are closed, each after its current response.
    ///
    /// Connections are accepted, and their requests refused, until the router is dropped.
    ///
    /// A response is written after its request has ended, so a router that is dropped without this cuts responses that
    /// callers are still reading.
    pub async fn close(&self, limit: Duration) {
        if !self.callers.stop(limit).await {
            let router = &self.shared.settings.router;
            log::warn!("drain: Cut connections that callers were still reading. router={router}");
        }
    }

    async fn wait_for_requests(&self) {
        while self.shared.open_requests() > 0 || self.shared.claims.open_calls() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
    }
}

fn bind(field: &str, address: SocketAddr) -> Result<TcpListener, Error> {
    bind_listener(address)
        .map_err(|error| Error::new(ErrorKind::Io, format!("{field}: {address}: {error}")))
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener
        .local_addr()
        .map_err(|error| Error::new(ErrorKind::Io, error.to_string()))
}

fn traffic_runtime(settings: &RouterSettings) -> Result<Runtime, Error> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name(format!("traffic-{}", settings.router))
        .enable_all()
        .build()
        .map_err(|error| Error::new(ErrorKind::Io, format!("traffic runtime: {error}")))
}
