//! One router process as a value: bind, serve, drain, stop.
//!
//! The daemon is a thin shell around [`Router`]. Tests and the demonstration run several routers in one process, so
//! nothing here is global.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::runtime::Runtime;

use crate::control::{ControlThread, Shared};
use crate::entry;
use crate::error::{Error, ErrorKind};
use crate::listener::bind_listener;
use crate::settings::RouterSettings;

/// How often the drain looks whether requests are in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The addresses that a router has bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and metrics.
    pub operators: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
}

/// How a graceful exit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// The requests that were cut because the operator's limit had passed.
    pub cut_requests: usize,
}

/// A running router.
#[derive(Debug)]
pub struct Router {
    addresses: RouterAddresses,
    shared: Arc<Shared>,
    traffic: Option<Runtime>,
    // Dropped after `traffic`, whose requests read what it publishes.
    _control: ControlThread,
}

impl Router {
    /// Binds the addresses of `settings` and begins to serve.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::InvalidInput`] where a setting is not allowed and with [`ErrorKind::Io`] where an address
    /// can't be bound.
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
        let (shared, events) = Shared::new(settings, traffic.handle())?;
        let shared = Arc::new(shared);
        let control = ControlThread::start(Arc::clone(&shared), events, peers, addresses.callers)?;
        entry::serve_callers(&traffic, callers, &shared)?;
        entry::serve_operators(&traffic, operators, &shared)?;
        log::info!(
            "router: Serving. router={} callers={} operators={} peers={}",
            shared.settings.router,
            addresses.callers,
            addresses.operators,
            addresses.peers
        );
        Ok(Self {
            addresses,
            shared,
            traffic: Some(traffic),
            _control: control,
        })
    }

    /// Returns the bound addresses.
    #[must_use]
    pub const fn addresses(&self) -> RouterAddresses {
        self.addresses
    }

    /// Leaves gracefully: out of the directory, accept until its answers have expired, then wait for the rest.
    ///
    /// Requests are cut only when `limit` has passed; the report counts them.
    pub async fn drain(&self, limit: Duration) -> DrainReport {
        let router = &self.shared.settings.router;
        self.shared.draining.store(true, Ordering::Relaxed);
        log::info!("drain: Left the directory. router={router}");
        tokio::time::sleep(self.shared.settings.times.directory_life()).await;
        let waited = tokio::time::timeout(limit, self.wait_for_requests()).await;
        let cut_requests = match waited {
            Ok(()) => 0,
            Err(_) => self.shared.open_requests(),
        };
        log::info!("drain: Done. router={router} cut_requests={cut_requests}");
        DrainReport { cut_requests }
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
