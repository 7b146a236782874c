//! The connections of callers: their timeouts, and how they are closed.
//!
//! A response is complete for its caller only when the last byte was written, which is later than the end of its handler.
//! A server that stops therefore closes each connection after its current response. Rejected: dropping the connections
//! once no handler runs, because that cuts responses that callers are still reading.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use salvo::fuse::FuseConfig;
use salvo::http::{HeaderValue, Version, header};
use salvo::server::ServerHandle;
use salvo::{Depot, FlowCtrl, Request, Response, async_trait};
use tokio::sync::watch;

use crate::control::Shared;

/// A server that accepts connections.
pub(crate) struct RunningServer {
    /// Controls the server.
    pub(super) handle: ServerHandle,
    /// Whether the server has stopped and all its connections are closed.
    pub(super) has_ended: watch::Receiver<bool>,
}

/// Announces in each response of a router that drains that its connection closes.
pub(crate) struct CloseWhileDraining {
    shared: Arc<Shared>,
}

impl RunningServer {
    /// Stops accepting connections, and waits up to `limit` until each open one is closed after its current response.
    ///
    /// Returns whether all were closed in time; otherwise the others are cut.
    pub(crate) async fn stop(&self, limit: Duration) -> bool {
        self.handle.stop_graceful(limit);
        let mut has_ended = self.has_ended.clone();
        let ended = has_ended.wait_for(|has_ended| *has_ended);
        // The sender is dropped only together with the runtime, which cuts all connections.
        tokio::time::timeout(limit, ended)
            .await
            .is_ok_and(|ended| ended.is_ok())
    }
}

impl std::fmt::Debug for RunningServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RunningServer").finish_non_exhaustive()
    }
}

impl CloseWhileDraining {
    /// Creates the middleware.
    pub(crate) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[async_trait]
impl salvo::Handler for CloseWhileDraining {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        ctrl.call_next(request, depot, res).await;
        // HTTP/2 has no such header; its connections are closed when the server stops.
        if request.version() <= Version::HTTP_11 && self.shared.draining.load(Ordering::Relaxed) {
            res.headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

/// Returns the timeouts of a connection that is accepted now.
///
/// The server also counts a connection as idle while a request on it waits for its response, so the idle timeout covers
/// the longest time that the configuration gives a request. A caller that takes no more bytes is cut off earlier.
pub(super) fn connection_timeouts(shared: &Shared) -> FuseConfig {
    let times = &shared.settings.times;
    let idle_timeout = Duration::from_millis(times.idle_timeout_ms);
    let snapshot = shared.snapshot.load();
    let services = snapshot.configuration.services.values();
    let longest_request_ms = services.map(|service| service.request_timeout_ms).max();
    let longest_request = Duration::from_millis(longest_request_ms.unwrap_or(0));
    FuseConfig::default()
        .with_http1_header_timeout(Duration::from_millis(times.header_timeout_ms))
        .with_connection_idle_timeout(idle_timeout + longest_request)
        .with_write_stall_timeout(idle_timeout)
        .with_request_body_timeout(Duration::from_millis(times.body_timeout_ms))
}
