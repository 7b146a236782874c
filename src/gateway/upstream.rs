//! Connections to one replica.
//!
//! A request has to know whether any of its bytes may have left, and on which connection an answer came. Pools of ready
//! HTTP clients hide both, and retry on their own, so hyper's connections are used one by one here (docs/HOUSE_STYLE.md).
//! A connection that is dropped before its answer was read to the end is closed, which tells the replica to stop.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::clock::boot_time;

/// The longest time to open a connection; links take 1 ms and a replica's handshake 1 ms by the sheets.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long bytes may stay unacknowledged. Two retransmissions fit; a replica without power does not stay unnoticed.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(700);
/// How long a connection without use is kept where the replica names no time.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Kept back from the time that a replica names, which it gives in whole seconds.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// The idle time of the first keep-alive probe and between probes, in whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The probes without an answer after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// The body of a request to a replica.
pub(crate) type RequestBody = Full<Bytes>;

/// The connections to one replica.
#[derive(Debug)]
pub(crate) struct ReplicaPool {
    address: SocketAddr,
    idle: Mutex<Vec<Idle>>,
    open: AtomicU32,
    limit: AtomicU32,
}

#[derive(Debug)]
struct Idle {
    link: Link,
    since: Duration,
    kept_for: Duration,
}

/// One connection to a replica, with no or one request on it.
#[derive(Debug)]
pub(crate) struct Link {
    sender: SendRequest<RequestBody>,
    driver: AbortHandle,
    pool: Arc<ReplicaPool>,
}

/// How sending a request failed.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// Nothing of it has left.
    Unsent(Arc<str>),
    /// It may have reached the replica.
    Broken(Arc<str>),
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
        self.pool.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ReplicaPool {
    /// Makes a pool without connections.
    pub(crate) fn new(address: SocketAddr, limit: u32) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            open: AtomicU32::new(0),
            limit: AtomicU32::new(limit),
        }
    }

    /// Takes in the connections that this router may hold open.
    pub(crate) fn set_limit(&self, limit: u32) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns an idle connection that was used within `max_idle`, or opens one.
    pub(crate) async fn take(self: &Arc<Self>, max_idle: Duration) -> Result<Link, SendFailure> {
        if let Some(link) = self.take_idle(max_idle) {
            return Ok(link);
        }
        if self.open.load(Ordering::Relaxed) >= self.limit.load(Ordering::Relaxed) {
            return Err(SendFailure::Unsent("all connections are in use".into()));
        }
        self.connect().await
    }

    /// Closes idle connections whose time is over, and all of them where `all` is set.
    pub(crate) fn close_idle(&self, all: bool) {
        let now = boot_time();
        let mut idle = self.lock_idle();
        idle.retain(|kept| {
            !all && !kept.link.sender.is_closed() && now < kept.since + kept.kept_for
        });
    }

    fn take_idle(&self, max_idle: Duration) -> Option<Link> {
        let now = boot_time();
        let mut idle = self.lock_idle();
        // The latest one is the least likely to have been closed by the other side.
        while let Some(kept) = idle.pop() {
            let age = now.saturating_sub(kept.since);
            let is_usable = kept.link.sender.is_ready() && age < kept.kept_for;
            if is_usable && age < max_idle {
                return Some(kept.link);
            }
            if is_usable {
                idle.push(kept);
                return None;
            }
        }
        None
    }

    fn lock_idle(&self) -> std::sync::MutexGuard<'_, Vec<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(self: &Arc<Self>) -> Result<Link, SendFailure> {
        let unsent =
            |reason: &dyn std::fmt::Display| SendFailure::Unsent(reason.to_string().into());
        let connecting = TcpStream::connect(self.address);
        let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(unsent(&error)),
            Err(_) => return Err(unsent(&"connection timed out")),
        };
        set_liveness_options(&stream).map_err(|error| unsent(&error))?;
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|error| unsent(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("upstream: connection ended: {error}");
            }
        });
        metrics::counter!("crocuswharf_gateway_connections_total").increment(1);
        self.open.fetch_add(1, Ordering::Relaxed);
        Ok(Link {
            sender,
            driver: driver.abort_handle(),
            pool: Arc::clone(self),
        })
    }
}

impl Link {
    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendFailure> {
        match self.sender.try_send_request(request).await {
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

    /// Puts the connection back after its answer was read to the end.
    ///
    /// `kept_for` is the time that the replica named, if it did.
    pub(crate) fn put_back(self, kept_for: Option<Duration>) {
        let kept_for = kept_for.map_or(DEFAULT_IDLE, |time| time.saturating_sub(IDLE_MARGIN));
        if self.sender.is_closed() || kept_for.is_zero() {
            return;
        }
        let pool = Arc::clone(&self.pool);
        pool.lock_idle().push(Idle {
            link: self,
            since: boot_time(),
            kept_for,
        });
    }
}

/// Lets the kernel find connections that have gone silent: by keep-alive probes, and by bytes without acknowledgement.
pub(crate) fn set_liveness_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}
