//! Connections to one replica.
//!
//! A request must know whether any of its bytes may have been sent, and which connection its response arrived on. The
//! connection pools of existing HTTP clients hide both and retry on their own, so hyper's connections are used directly
//! (docs/HOUSE_STYLE.md). A connection that is dropped before its response was read to the end is closed, which makes
//! the replica stop generating.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::clock::boot_time;
use super::limited_stream::{LimitedStream, ReadAllowance};
use super::memory::BodyReader;

/// The timeout for opening a connection; the specified latency is 1 ms for a link and 1 ms for the handshake of a
/// replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long sent bytes may stay unacknowledged. This leaves time for two retransmissions but detects a replica that
/// lost power. Long requests raise it, see [`super::limited_stream`].
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(700);
/// How long an idle connection is kept if the replica does not announce a keep-alive timeout.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// The safety margin subtracted from the announced keep-alive timeout, which is in whole seconds.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// The idle time before the first keep-alive probe and the interval between probes, in whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unacknowledged probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// How long a proxy may take to close a connection that it has accepted for a replica without a process.
const PROXY_CLOSE_TIME: Duration = Duration::from_millis(20);

/// The maximum size of the head of a response, and of what is read at once of its body; a replica that sends a longer
/// head is not answering.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// The maximum number of bytes before the head of a response is complete: interim responses, the head itself and what
/// is read of the body with it.
const MAX_BYTES_TO_HEAD: usize = 256 << 10;

/// The body of a request to a replica.
pub(crate) type RequestBody = BodyReader;

/// The connections to one replica.
#[derive(Debug)]
pub(crate) struct ReplicaPool {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    open: AtomicU32,
    limit: AtomicU32,
    /// When a connection last failed in a way that may be the replica's fault, and when one was last opened for a
    /// request or a probe, in milliseconds of boot time; 0 if never.
    failed_ms: AtomicU64,
    connected_ms: AtomicU64,
    /// The last check whether the replica is down; locked while it runs.
    check: tokio::sync::Mutex<Option<Check>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: ReplicaConnection,
    idle_since: Duration,
    idle_timeout: Duration,
}

/// A connection to a replica that carries at most one request at a time.
#[derive(Debug)]
pub(crate) struct ReplicaConnection {
    sender: SendRequest<RequestBody>,
    allowance: ReadAllowance,
    driver: AbortHandle,
    pool: Arc<ReplicaPool>,
}

/// The result of a check whether a replica is down.
#[derive(Clone, Copy, Debug)]
struct Check {
    ended_at: Duration,
    is_down: bool,
}

/// How sending a request failed.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// Nothing of the request was sent.
    Unsent(Arc<str>),
    /// Nothing of the request was sent, because this router may open no more connections to the replica.
    Full,
    /// The request may have reached the replica.
    Broken(Arc<str>),
}

impl Drop for ReplicaConnection {
    fn drop(&mut self) {
        self.driver.abort();
        self.pool.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ReplicaPool {
    /// Creates a pool without connections.
    pub(crate) fn new(address: SocketAddr, limit: u32) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            open: AtomicU32::new(0),
            limit: AtomicU32::new(limit),
            failed_ms: AtomicU64::new(0),
            connected_ms: AtomicU64::new(0),
            check: tokio::sync::Mutex::default(),
        }
    }

    /// Sets the maximum number of open connections of this router to the replica.
    pub(crate) fn set_limit(&self, limit: u32) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns an idle connection that was used within `max_idle`, or opens one.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        max_idle: Duration,
    ) -> Result<ReplicaConnection, SendFailure> {
        if let Some(connection) = self.take_idle(max_idle) {
            return Ok(connection);
        }
        if self.open.load(Ordering::Relaxed) >= self.limit.load(Ordering::Relaxed) {
            return Err(SendFailure::Full);
        }
        self.connect().await
    }

    /// Returns whether the replica has no process, as far as connections show.
    ///
    /// An address without one refuses connections, or closes them at once if a proxy accepts them. Silence shows nothing:
    /// the link may be cut. A crash brings many calls at once, which share one check.
    pub(crate) async fn is_down(self: &Arc<Self>) -> bool {
        let asked_at = boot_time();
        let mut last = self.check.lock().await;
        if let Some(check) = last.filter(|check| check.ended_at >= asked_at) {
            return check.is_down;
        }
        let is_down = self.check_connection().await;
        *last = Some(Check {
            ended_at: boot_time(),
            is_down,
        });
        is_down
    }

    /// Returns whether the replica refuses or closes connections. One that is opened for this is kept for the next request.
    async fn check_connection(self: &Arc<Self>) -> bool {
        if self.has_open_idle() {
            return false;
        }
        if self.open.load(Ordering::Relaxed) >= self.limit.load(Ordering::Relaxed) {
            return false;
        }
        let stream = match self.open_stream().await {
            Ok(stream) => stream,
            Err(error) => {
                return matches!(
                    error.kind(),
                    io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
                );
            }
        };
        let Ok(connection) = self.handshake(stream).await else {
            return false;
        };
        tokio::time::sleep(PROXY_CLOSE_TIME).await;
        let is_down = connection.sender.is_closed();
        connection.release(None);
        is_down
    }

    fn has_open_idle(&self) -> bool {
        let idle = self.lock_idle();
        idle.iter()
            .any(|entry| !entry.connection.sender.is_closed())
    }

    /// Closes expired idle connections, or all idle connections if `all` is set.
    pub(crate) fn close_idle(&self, all: bool) {
        let now = boot_time();
        let mut idle = self.lock_idle();
        idle.retain(|entry| {
            !all && !entry.connection.sender.is_closed()
                && now < entry.idle_since + entry.idle_timeout
        });
    }

    fn take_idle(&self, max_idle: Duration) -> Option<ReplicaConnection> {
        let now = boot_time();
        let mut idle = self.lock_idle();
        // The most recently used connection is the least likely to have been closed by the replica.
        while let Some(entry) = idle.pop() {
            let age = now.saturating_sub(entry.idle_since);
            let is_usable = entry.connection.sender.is_ready() && age < entry.idle_timeout;
            if is_usable && age < max_idle {
                return Some(entry.connection);
            }
            if is_usable {
                idle.push(entry);
                return None;
            }
        }
        None
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(self: &Arc<Self>) -> Result<ReplicaConnection, SendFailure> {
        let stream = self.open_stream().await.map_err(|error| unsent(&error))?;
        record_time(&self.connected_ms);
        self.handshake(stream).await
    }

    async fn open_stream(&self) -> io::Result<TcpStream> {
        let connecting = TcpStream::connect(self.address);
        let timeout = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let result = timeout.unwrap_or_else(|_| {
            Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "connection timed out",
            ))
        });
        // Other errors, such as a lack of descriptors, are this router's own.
        if let Err(error) = &result
            && matches!(
                error.kind(),
                io::ErrorKind::TimedOut
                    | io::ErrorKind::ConnectionRefused
                    | io::ErrorKind::ConnectionReset
                    | io::ErrorKind::HostUnreachable
            )
        {
            record_time(&self.failed_ms);
        }
        result
    }

    /// Returns when a connection last failed in a way that may be the replica's fault.
    pub(crate) fn failed_at(&self) -> Option<Duration> {
        read_time(&self.failed_ms)
    }

    /// Returns when a connection was last opened for a request or a probe.
    pub(crate) fn connected_at(&self) -> Option<Duration> {
        read_time(&self.connected_ms)
    }

    /// Opens a connection and closes it; returns whether the replica accepted it.
    pub(crate) async fn probe(&self) -> bool {
        let Ok(stream) = self.open_stream().await else {
            return false;
        };
        // A proxy accepts connections for a replica without a process and closes them at once.
        let closed = tokio::time::timeout(PROXY_CLOSE_TIME, stream.peek(&mut [0; 1])).await;
        let is_accepted = matches!(closed, Err(_) | Ok(Ok(1..)));
        record_time(if is_accepted {
            &self.connected_ms
        } else {
            &self.failed_ms
        });
        is_accepted
    }

    async fn handshake(
        self: &Arc<Self>,
        stream: TcpStream,
    ) -> Result<ReplicaConnection, SendFailure> {
        set_liveness_options(&stream).map_err(|error| unsent(&error))?;
        let allowance = ReadAllowance::unlimited();
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(LimitedStream::new(stream, allowance.clone())));
        let (sender, connection) = handshake.await.map_err(|error| unsent(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("upstream: connection ended: {error}");
            }
        });
        metrics::counter!("crocuswharf_gateway_connections_total").increment(1);
        self.open.fetch_add(1, Ordering::Relaxed);
        Ok(ReplicaConnection {
            sender,
            allowance,
            driver: driver.abort_handle(),
            pool: Arc::clone(self),
        })
    }
}

fn record_time(time_ms: &AtomicU64) {
    let now_ms = u64::try_from(boot_time().as_millis()).unwrap_or(u64::MAX);
    time_ms.store(now_ms, Ordering::Relaxed);
}

fn read_time(time_ms: &AtomicU64) -> Option<Duration> {
    let time_ms = time_ms.load(Ordering::Relaxed);
    (time_ms > 0).then(|| Duration::from_millis(time_ms))
}

fn unsent(reason: &dyn std::fmt::Display) -> SendFailure {
    SendFailure::Unsent(reason.to_string().into())
}

impl ReplicaConnection {
    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.allowance.set(MAX_BYTES_TO_HEAD);
        let result = self.sender.try_send_request(request).await;
        self.allowance.set(usize::MAX);
        match result {
            Ok(response) => Ok(response),
            Err(mut failure) => {
                let is_unsent = failure.take_message().is_some();
                let reason: Arc<str> = failure.into_error().to_string().into();
                Err(if is_unsent {
                    SendFailure::Unsent(reason)
                } else {
                    SendFailure::Broken(reason)
                })
            }
        }
    }

    /// Closes the connection, which makes the replica drop its request.
    pub(crate) fn close(&self) {
        self.driver.abort();
    }

    /// Returns the connection to the pool after the response was read to the end.
    ///
    /// `idle_timeout` is the keep-alive timeout announced by the replica, if any.
    pub(crate) fn release(self, idle_timeout: Option<Duration>) {
        let idle_timeout =
            idle_timeout.map_or(DEFAULT_IDLE, |time| time.saturating_sub(IDLE_MARGIN));
        if self.sender.is_closed() || idle_timeout.is_zero() {
            return;
        }
        let pool = Arc::clone(&self.pool);
        pool.lock_idle().push(IdleConnection {
            connection: self,
            idle_since: boot_time(),
            idle_timeout,
        });
    }
}

/// Sets the keep-alive probes by which the kernel detects that the other end of an idle connection is gone.
pub(crate) fn set_keepalive_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Sets the keep-alive probes, and the limit on unacknowledged bytes by which the kernel detects a replica that is gone
/// while it is sent to. It also ends a connection whose receive window is closed for that long.
fn set_liveness_options(stream: &TcpStream) -> io::Result<()> {
    set_keepalive_options(stream)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}
