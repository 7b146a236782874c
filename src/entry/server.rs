//! A server on one listener: accepts connections until the process ends, and stops without losing a request.
//!
//! A server that stops goes on accepting connections and answers each new request with a refusal, which closes its
//! connection. Once nothing has arrived for a while, the connections that have had a request are closed. One that has had
//! none stays open until the process ends, since its first request may be on its way.
//!
//! Rejected: salvo's own server. It closes its listener and all idle connections as soon as it is told to stop, and an
//! idle connection over a request that has arrived and was not read yet.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use salvo::Service;
use salvo::conn::HttpBuilder;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::connection::serve_connection;
use crate::control::Shared;
use crate::gateway::{LeavePhase, LeaveSchedule, boot_time};

/// The delay after a failed accept, which is mostly caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often a server that stops checks for open requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A server that accepts connections.
#[derive(Debug)]
pub(crate) struct RunningServer {
    state: Arc<ServerState>,
}

/// What the connections of a server share.
#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) shared: Arc<Shared>,
    is_refusing: AtomicBool,
    /// Becomes true when the connections that have had a request are closed after their current response.
    closing: watch::Sender<bool>,
    arrivals: Mutex<Arrivals>,
    /// Tracks the connections that have had a request.
    used_connections: TaskTracker,
}

/// The requests of a server whose responses were not handed to their connections in full.
#[derive(Clone, Copy, Debug, Default)]
struct Arrivals {
    open_requests: usize,
    last_arrival: Duration,
}

impl RunningServer {
    /// Starts to serve `service` on `listener`, within a runtime.
    pub(super) fn start(listener: TcpListener, state: Arc<ServerState>, service: Service) -> Self {
        let max_connections = state.shared.settings.bounds.connections;
        let permits = Arc::new(Semaphore::new(max_connections.max(1)));
        tokio::spawn(accept(
            listener,
            permits,
            Arc::clone(&state),
            Arc::new(service),
        ));
        Self { state }
    }

    /// Refuses all requests that arrive from now on as not run.
    pub(crate) fn refuse_requests(&self) {
        self.state.is_refusing.store(true, Ordering::Relaxed);
    }

    /// Refuses new requests until none has arrived for a while, and closes each connection that has had a request after
    /// its current response, all within `limit`.
    ///
    /// Returns whether these connections were closed in time. New connections are accepted, and their requests refused,
    /// until the runtime ends.
    pub(crate) async fn stop(&self, limit: Duration) -> bool {
        let state = &self.state;
        let begun = boot_time();
        let schedule = LeaveSchedule::new(begun, limit, Duration::ZERO);
        self.refuse_requests();
        loop {
            let Arrivals {
                open_requests,
                last_arrival,
            } = *state.arrivals();
            let last_arrival = last_arrival.max(begun);
            if schedule.phase(boot_time(), open_requests, last_arrival) == LeavePhase::Closing {
                break;
            }
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
        state.closing.send_replace(true);
        state.used_connections.close();
        let time_left = (begun + limit).saturating_sub(boot_time());
        let closed = tokio::time::timeout(time_left, state.used_connections.wait()).await;
        log::info!(
            "entry: Stopped. open_requests={} open_connections={}",
            state.arrivals().open_requests,
            state.used_connections.len()
        );
        closed.is_ok()
    }
}

impl ServerState {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            is_refusing: AtomicBool::new(false),
            closing: watch::Sender::new(false),
            arrivals: Mutex::default(),
            used_connections: TaskTracker::new(),
        }
    }

    /// Returns whether requests that arrive now are refused.
    pub(super) fn refuses_requests(&self) -> bool {
        self.is_refusing.load(Ordering::Relaxed)
    }

    /// Tracks a connection that has had a request, until the token is dropped.
    pub(super) fn track_connection(&self) -> TaskTrackerToken {
        self.used_connections.token()
    }

    pub(super) fn request_began(&self) {
        let mut arrivals = self.arrivals();
        arrivals.open_requests += 1;
        arrivals.last_arrival = boot_time();
    }

    pub(super) fn request_ended(&self) {
        self.arrivals().open_requests -= 1;
    }

    /// Waits until the connections are closed.
    pub(super) async fn wait_for_closing(&self) {
        let mut closing = self.closing.subscribe();
        let is_closing = closing.wait_for(|is_closing| *is_closing).await;
        is_closing.expect("the state holds the sender");
    }

    fn arrivals(&self) -> MutexGuard<'_, Arrivals> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(
    listener: TcpListener,
    permits: Arc<Semaphore>,
    state: Arc<ServerState>,
    service: Arc<Service>,
) {
    let builder = Arc::new(HttpBuilder::new());
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let (stream, caller) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("entry: Failed to accept a connection. error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (builder, service) = (Arc::clone(&builder), Arc::clone(&service));
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let _permit = permit;
            serve_connection(stream, caller, &builder, &service, state).await;
        });
    }
}
