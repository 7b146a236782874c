//! The connections of callers: their limits, and how they are closed.
//!
//! A connection is closed while it awaits a request only after a last read of its socket, whatever the runtime has
//! reported: a process that got no processor for a while may not have seen a request that has arrived. A response is
//! complete for its caller only when the last byte was written, which is later than the end of its handler, so a
//! connection that is told to close does so after its current response.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::uri::Scheme;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::service::{Service as HyperService, service_fn};
use salvo::conn::{ConnCtrl, HttpBuilder, StraightStream};
use salvo::fuse::FuseConfig;
use salvo::http::{ResBody, Version};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::server::ServerState;
use crate::gateway::{
    CallerActivity, CallerLimits, CallerStream, MemoryAccount, QuietReason, SharedActivity,
    boot_time,
};

/// The minimum time between two checks whether a connection is quiet.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The timeout for heads in the protocol layer, longer than all limits: it closes connections without a last read.
const PROTOCOL_HEADER_TIMEOUT: Duration = Duration::from_secs(365 * 24 * 3_600);

/// What is known of one connection.
struct Connection {
    server: Arc<ServerState>,
    activity: SharedActivity,
    open_requests: AtomicUsize,
    is_multiplexed: AtomicBool,
    /// Is cancelled when the first request arrives.
    first_request: CancellationToken,
    /// Makes a server that stops wait for the connection.
    tracked: OnceLock<TaskTrackerToken>,
}

/// Keeps a request open until its response was handed to the connection.
struct OpenCall {
    connection: Arc<Connection>,
}

/// The body of a response, which keeps its request open.
struct OpenBody {
    body: ResBody,
    _open: OpenCall,
}

/// Serves one connection until it is closed.
pub(super) async fn serve_connection(
    stream: TcpStream,
    caller: SocketAddr,
    builder: &HttpBuilder,
    service: &salvo::Service,
    server: Arc<ServerState>,
) {
    let local = match stream.local_addr() {
        Ok(local) => local,
        Err(error) => {
            log::debug!("entry: A connection closed before it was served. error={error}");
            return;
        }
    };
    let connection = Arc::new(Connection::new(server));
    let timeouts = protocol_timeouts(&connection);
    let control = ConnCtrl::new();
    let stream = CallerStream::new(stream, connection.activity.clone());
    let stream = StraightStream::new(stream, Some(timeouts), control.clone(), None);
    let handler = service.hyper_handler(
        local.into(),
        caller.into(),
        Scheme::HTTP,
        Some(timeouts),
        control.clone(),
        None,
    );
    let handling = Arc::clone(&connection);
    let service = service_fn(move |request: http::Request<Incoming>| {
        let open = OpenCall::begin(&handling, request.version());
        let response = HyperService::call(&handler, request);
        async move {
            let response = response.await?;
            Ok::<_, hyper::Error>(response.map(|body| OpenBody { body, _open: open }))
        }
    });
    let close = CancellationToken::new();
    let serving = builder.serve_connection(
        stream,
        service,
        Some(timeouts),
        control,
        Some(close.clone()),
    );
    tokio::pin!(serving);
    let reason = loop {
        let reason = tokio::select! {
            // Bytes that have arrived count before a time that has passed.
            biased;
            result = serving.as_mut() => return log_end(result),
            () = connection.wait_for_closing() => None,
            reason = connection.wait_until_quiet() => Some(reason),
        };
        if !connection.activity.lock().awaits_request() {
            break reason;
        }
        // A request may have arrived that the runtime has not reported yet.
        connection.activity.force_read();
        tokio::select! {
            biased;
            result = serving.as_mut() => return log_end(result),
            () = std::future::ready(()) => {}
        }
        if !connection.activity.forced_read_got_bytes() {
            break reason;
        }
    };
    if let Some(reason) = reason {
        log::debug!("entry: A quiet connection is closed. reason={reason:?}");
    }
    let is_slow_head = reason == Some(QuietReason::SlowHead) && !connection.is_multiplexed();
    if is_slow_head || !connection.first_request.is_cancelled() {
        return;
    }
    close.cancel();
    log_end(serving.await);
}

fn log_end(result: Result<(), Box<dyn std::error::Error + Send + Sync>>) {
    if let Err(error) = result {
        log::debug!("entry: Connection ended. error={error}");
    }
}

/// Returns the timeouts that apply while a request is handled.
fn protocol_timeouts(connection: &Connection) -> FuseConfig {
    let times = &connection.server.shared.settings.times;
    FuseConfig::disabled()
        .with_http1_header_timeout(PROTOCOL_HEADER_TIMEOUT)
        .with_write_stall_timeout(Duration::from_millis(times.idle_timeout_ms))
        .with_request_body_timeout(Duration::from_millis(times.body_timeout_ms))
}

impl Connection {
    fn new(server: Arc<ServerState>) -> Self {
        let limits = limits(&server, false);
        Self {
            server,
            activity: SharedActivity::new(
                CallerActivity::new(boot_time(), limits),
                MemoryAccount::unlimited_connection(),
            ),
            open_requests: AtomicUsize::new(0),
            is_multiplexed: AtomicBool::new(false),
            first_request: CancellationToken::new(),
            tracked: OnceLock::new(),
        }
    }

    /// Returns whether the connection speaks HTTP/2, whose frames are not all parts of requests.
    fn is_multiplexed(&self) -> bool {
        self.is_multiplexed.load(Ordering::Relaxed)
    }

    /// Waits until the server closes connections, and this one has had a request.
    async fn wait_for_closing(&self) {
        self.first_request.cancelled().await;
        self.server.wait_for_closing().await;
    }

    /// Waits until no request has arrived for longer than the settings allow.
    async fn wait_until_quiet(&self) -> QuietReason {
        loop {
            let limits = limits(&self.server, self.is_multiplexed());
            let now = boot_time();
            let expiry = self.activity.lock().expiry(limits);
            let check_at = match expiry {
                // The stream itself limits the time in which its caller takes no bytes.
                Some((_, QuietReason::Stalled)) | None => now + limits.idle_timeout,
                Some((at, reason)) if at <= now => return reason,
                Some((at, _)) => at,
            };
            // The next phase of the connection may have a shorter limit.
            let next_check = (check_at - now).min(limits.header_timeout);
            tokio::time::sleep(next_check.max(MIN_CHECK_INTERVAL)).await;
        }
    }
}

/// Returns the limits of a connection that awaits a request.
fn limits(server: &ServerState, is_multiplexed: bool) -> CallerLimits {
    let times = &server.shared.settings.times;
    let idle_timeout = Duration::from_millis(times.idle_timeout_ms);
    let header_timeout = match is_multiplexed {
        true => idle_timeout,
        false => Duration::from_millis(times.header_timeout_ms),
    };
    CallerLimits {
        header_timeout,
        idle_timeout: idle_timeout.min(header_timeout),
        ..CallerLimits::default()
    }
}

impl OpenCall {
    fn begin(connection: &Arc<Connection>, version: Version) -> Self {
        let server = &connection.server;
        if version == Version::HTTP_2 {
            connection.is_multiplexed.store(true, Ordering::Relaxed);
        }
        connection.tracked.get_or_init(|| server.track_connection());
        server.request_began();
        connection.open_requests.fetch_add(1, Ordering::Relaxed);
        connection.activity.lock().request_began(boot_time());
        connection.first_request.cancel();
        Self {
            connection: Arc::clone(connection),
        }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let connection = &self.connection;
        let mut activity = connection.activity.lock();
        if connection.open_requests.fetch_sub(1, Ordering::Relaxed) == 1 {
            let limits = limits(&connection.server, connection.is_multiplexed());
            activity.request_ended(boot_time(), limits);
        }
        connection.server.request_ended();
    }
}

impl Body for OpenBody {
    type Data = Bytes;
    type Error = <ResBody as Body>::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
