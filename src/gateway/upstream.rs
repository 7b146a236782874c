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
use super::link_silence::{LinkSilence, LinkUse, SilenceChange};
use super::load::ReplicaKey;
use super::memory::BodyReader;
use super::path::Path;
use super::relay_client::{HelperLease, RelayClient, RelayFailure};
use super::relay_message::ConnectRequest;

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

/// How long a direct connection may take before another router is asked too; several times what the link and the handshake
/// take.
const RELAY_AFTER: Duration = Duration::from_millis(60);
/// How long it is known that the replica refuses the connections of other routers too; a crash makes many requests ask.
const REFUTED_TTL: Duration = Duration::from_millis(100);

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

/// The way to a replica over other routers.
#[derive(Debug)]
pub(crate) struct RelayRoute {
    /// The client that asks them.
    pub(crate) client: Arc<RelayClient>,
    /// The replica.
    pub(crate) request: ConnectRequest,
    /// The key of the replica.
    pub(crate) key: ReplicaKey,
    /// The direct links to the replicas of the service.
    pub(crate) links: Arc<ServiceLinks>,
}

/// What is known about the direct links to the replicas of a service.
#[derive(Debug, Default)]
pub(crate) struct ServiceLinks {
    silence: Mutex<LinkSilence>,
    /// The number of replicas.
    replicas: AtomicU32,
}

impl ServiceLinks {
    /// Sets the number of replicas.
    pub(crate) fn set_replicas(&self, replicas: usize) {
        let replicas = u32::try_from(replicas).unwrap_or(u32::MAX);
        self.replicas.store(replicas, Ordering::Relaxed);
    }

    /// Returns whether the links are silent, while replicas respond to other routers.
    pub(crate) fn are_silent(&self) -> bool {
        self.lock().is_confirmed()
    }

    fn next_use(&self, is_retryable: bool) -> LinkUse {
        let replicas = self.replicas.load(Ordering::Relaxed) as usize;
        self.lock().next_use(replicas, is_retryable, boot_time())
    }

    /// Records a part of a response.
    fn responded(&self, is_relayed: bool) {
        let change = match is_relayed {
            true => self.lock().relayed_responded(),
            false => self.lock().responded(boot_time()),
        };
        let Some(change) = change else {
            return;
        };
        match change {
            SilenceChange::Confirmed => {
                metrics::counter!("crocuswharf_gateway_cut_offs_total", "change" => "silent")
                    .increment(1);
                log::warn!(
                    "path: The links to a service are silent, and its replicas respond to others."
                );
            }
            SilenceChange::Ended(time) => {
                metrics::counter!("crocuswharf_gateway_cut_offs_total", "change" => "responding")
                    .increment(1);
                log::warn!(
                    "path: The replicas of a service respond directly again. silent_ms={}",
                    time.as_millis()
                );
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LinkSilence> {
        self.silence.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The connections to one replica.
#[derive(Debug)]
pub(crate) struct ReplicaPool {
    address: SocketAddr,
    route: RelayRoute,
    path: Mutex<Path>,
    /// When the replica last responded over a direct connection, in milliseconds of boot time; 0 if never.
    direct_response_ms: AtomicU64,
    /// When other routers last said that the replica refuses connections, in milliseconds of boot time; 0 if never.
    refuted_ms: AtomicU64,
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
    /// Set if the connection runs over another router.
    lease: Option<HelperLease>,
}

/// A TCP connection to a replica.
struct OpenedStream {
    stream: TcpStream,
    lease: Option<HelperLease>,
}

/// Why no connection to a replica was opened.
enum OpenFailure {
    /// The replica failed, as far as this router and those that it asked can tell.
    Replica(io::Error),
    /// This router has failed, and those that it asked could not tell.
    Unclear(io::Error),
    /// The links of this router are cut, and no other router has helped.
    NoPath,
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
    /// Nothing of the request was sent, because this router's links are cut and no other router could help.
    NoPath,
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
    pub(crate) fn new(address: SocketAddr, limit: u32, route: RelayRoute) -> Self {
        Self {
            address,
            route,
            path: Mutex::default(),
            direct_response_ms: AtomicU64::new(0),
            refuted_ms: AtomicU64::new(0),
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

    /// Returns an idle connection that was used within `max_idle`, or opens one, for a request that may be repeated or not.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        max_idle: Duration,
        is_retryable: bool,
    ) -> Result<ReplicaConnection, SendFailure> {
        let link_use = self.route.links.next_use(is_retryable);
        if let Some(connection) = self.take_idle(max_idle, link_use) {
            return Ok(connection);
        }
        if link_use == LinkUse::Relayed
            && let Ok(opened) = self.open_relayed().await
        {
            return self.handshake(opened).await;
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
        let opened = match self.open().await {
            Ok(opened) => opened,
            Err(OpenFailure::Replica(error)) => return is_refusal(&error),
            Err(OpenFailure::Unclear(_) | OpenFailure::NoPath) => return false,
        };
        let is_direct = opened.lease.is_none();
        let is_closed = self.is_closed_at_once(opened).await;
        if !is_closed || !is_direct {
            return is_closed;
        }
        // A cut link may close connections in the same way.
        match self.open_relayed().await {
            Ok(opened) => self.is_closed_at_once(opened).await,
            Err(failure) => matches!(failure, RelayFailure::NoHelper | RelayFailure::Refused),
        }
    }

    /// Returns whether the replica closes the connection; otherwise it is kept for the next request.
    async fn is_closed_at_once(self: &Arc<Self>, opened: OpenedStream) -> bool {
        let Ok(connection) = self.handshake(opened).await else {
            return false;
        };
        tokio::time::sleep(PROXY_CLOSE_TIME).await;
        let is_closed = connection.sender.is_closed();
        connection.release(None);
        is_closed
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
                && entry.connection.has_valid_helper()
                && now < entry.idle_since + entry.idle_timeout
        });
    }

    fn take_idle(&self, max_idle: Duration, link_use: LinkUse) -> Option<ReplicaConnection> {
        let now = boot_time();
        let direct_response = read_time(&self.direct_response_ms);
        let allows_direct = link_use == LinkUse::Direct
            && self.lock_path().allows_idle_direct(direct_response, now);
        let mut idle = self.lock_idle();
        // The most recently used connection is the least likely to have been closed by the replica.
        while let Some(entry) = idle.pop() {
            let age = now.saturating_sub(entry.idle_since);
            let is_usable = entry.connection.sender.is_ready()
                && entry.connection.has_valid_helper()
                && age < entry.idle_timeout
                && (allows_direct || entry.connection.is_relayed());
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
        let opened = self.open().await.map_err(|failure| match failure {
            OpenFailure::Replica(error) | OpenFailure::Unclear(error) => unsent(&error),
            OpenFailure::NoPath => SendFailure::NoPath,
        })?;
        self.handshake(opened).await
    }

    /// Opens a connection, directly or over another router.
    async fn open(self: &Arc<Self>) -> Result<OpenedStream, OpenFailure> {
        let path = *self.lock_path();
        let prefers_direct = path.prefers_direct(boot_time(), rand::random());
        if !prefers_direct {
            match self.open_relayed().await {
                Ok(opened) => return Ok(opened),
                Err(RelayFailure::Refused) if path.is_relayed() => {
                    let error = io::Error::from(io::ErrorKind::ConnectionRefused);
                    return Err(self.replica_failed(error));
                }
                Err(RelayFailure::TimedOut) if path.is_relayed() => {
                    let error = io::Error::from(io::ErrorKind::TimedOut);
                    return Err(self.replica_failed(error));
                }
                Err(_) if path.is_relayed() => return Err(OpenFailure::NoPath),
                Err(_) => {}
            }
        }
        let (error, relayed) = match self.open_first().await {
            Ok(opened) => return Ok(opened),
            Err(failed) => failed,
        };
        match relayed {
            None => Err(OpenFailure::Replica(error)),
            Some(RelayFailure::Unknown) => {
                record_time(&self.failed_ms);
                Err(OpenFailure::Unclear(error))
            }
            Some(_) => Err(self.replica_failed(error)),
        }
    }

    /// Opens a connection directly, or over another router once that fails or takes long; returns how both failed, the
    /// latter if it was tried.
    async fn open_first(&self) -> Result<OpenedStream, (io::Error, Option<RelayFailure>)> {
        let direct = self.open_stream();
        tokio::pin!(direct);
        let first = match tokio::time::timeout(RELAY_AFTER, &mut direct).await {
            Ok(Ok(stream)) => return Ok(self.opened_directly(stream)),
            Ok(Err(error)) if !is_link_failure(&error) => return Err((error, None)),
            Ok(Err(error)) => Some(error),
            Err(_) => None,
        };
        self.route.client.direct_failed(self.route.key);
        let relayed = self.open_relayed();
        tokio::pin!(relayed);
        if let Some(error) = first {
            return match relayed.await {
                Ok(opened) => Ok(self.opened_over_cut_path(opened, &error.to_string())),
                Err(failure) => Err((error, Some(failure))),
            };
        }
        tokio::select! {
            result = &mut direct => match result {
                Ok(stream) => Ok(self.opened_directly(stream)),
                Err(error) => match relayed.await {
                    Ok(opened) => Ok(self.opened_over_cut_path(opened, &error.to_string())),
                    Err(failure) => Err((error, Some(failure))),
                },
            },
            result = &mut relayed => match result {
                Ok(opened) => Ok(self.opened_over_cut_path(opened, "no answer yet")),
                Err(failure) => match direct.await {
                    Ok(stream) => Ok(self.opened_directly(stream)),
                    Err(error) => Err((error, Some(failure))),
                },
            },
        }
    }

    fn opened_directly(&self, stream: TcpStream) -> OpenedStream {
        self.direct_connected();
        OpenedStream {
            stream,
            lease: None,
        }
    }

    fn opened_over_cut_path(&self, opened: OpenedStream, reason: &str) -> OpenedStream {
        self.cut_path(reason);
        opened
    }

    async fn open_relayed(&self) -> Result<OpenedStream, RelayFailure> {
        let refuted_at = read_time(&self.refuted_ms);
        if refuted_at.is_some_and(|at| boot_time() < at + REFUTED_TTL) {
            return Err(RelayFailure::Refused);
        }
        let opened = self.route.client.open(&self.route.request).await;
        match opened {
            Ok(relayed) => {
                record_time(&self.connected_ms);
                Ok(OpenedStream {
                    stream: relayed.stream,
                    lease: Some(relayed.lease),
                })
            }
            Err(failure) => {
                if failure == RelayFailure::Refused {
                    record_time(&self.refuted_ms);
                }
                Err(failure)
            }
        }
    }

    /// Records a failed connection that no other router has refuted.
    fn replica_failed(&self, error: io::Error) -> OpenFailure {
        record_time(&self.failed_ms);
        OpenFailure::Replica(error)
    }

    /// Opens a direct connection for another router.
    pub(crate) async fn open_for_peer(&self) -> io::Result<TcpStream> {
        let result = self.open_stream().await;
        match &result {
            Ok(stream) => {
                self.direct_connected();
                set_keepalive_options(stream)?;
            }
            Err(error) if is_link_failure(error) => {
                self.route.client.direct_failed(self.route.key);
            }
            Err(_) => {}
        }
        result
    }

    /// Records that the replica has accepted a direct connection.
    fn direct_connected(&self) {
        record_time(&self.connected_ms);
        self.route.client.direct_responded();
        let restored = self.lock_path().connected(boot_time());
        if let Some(time) = restored {
            metrics::counter!("crocuswharf_gateway_path_changes_total", "path" => "direct")
                .increment(1);
            log::info!(
                "path: Replica is connected directly again. replica={} relayed_ms={}",
                self.route.request.replica,
                time.as_millis()
            );
        }
    }

    /// Opens the next connections over other routers, until a probe connects.
    pub(crate) fn cut_path(&self, reason: &str) {
        if self.lock_path().cut(boot_time()) {
            metrics::counter!("crocuswharf_gateway_path_changes_total", "path" => "relayed")
                .increment(1);
            log::info!(
                "path: Replica is connected over other routers. replica={} reason=\"{reason}\"",
                self.route.request.replica
            );
        }
    }

    /// Returns the key of the replica.
    pub(crate) const fn key(&self) -> ReplicaKey {
        self.route.key
    }

    /// Returns whether the links to the replica's service are silent, as far as this router can tell.
    pub(crate) fn has_suspected_links(&self) -> bool {
        self.route.links.lock().is_suspected()
    }

    /// Returns whether connections are opened over other routers.
    pub(crate) fn is_relayed(&self) -> bool {
        self.lock_path().is_relayed()
    }

    /// Returns whether the direct path is to be probed now.
    pub(crate) fn take_due_path_probe(&self, now: Duration) -> bool {
        self.lock_path().take_due_probe(now)
    }

    /// Opens a direct connection and closes it, without evidence against the replica if that fails.
    pub(crate) async fn probe_path(&self) {
        match self.open_stream().await {
            Ok(stream) if is_kept_open(&stream).await => self.direct_connected(),
            Err(error) if !is_link_failure(&error) => {}
            Ok(_) | Err(_) => self.route.client.direct_failed(self.route.key),
        }
    }

    fn lock_path(&self) -> std::sync::MutexGuard<'_, Path> {
        self.path.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn open_stream(&self) -> io::Result<TcpStream> {
        let connecting = TcpStream::connect(self.address);
        let timeout = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        timeout.unwrap_or_else(|_| {
            Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "connection timed out",
            ))
        })
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
        let is_accepted = match self.open_stream().await {
            Ok(stream) => is_kept_open(&stream).await,
            // Other errors, such as a lack of descriptors, are this router's own.
            Err(error) if !is_link_failure(&error) => return false,
            Err(_) => false,
        };
        if is_accepted {
            self.direct_connected();
        } else {
            record_time(&self.failed_ms);
        }
        is_accepted
    }

    async fn handshake(
        self: &Arc<Self>,
        opened: OpenedStream,
    ) -> Result<ReplicaConnection, SendFailure> {
        let OpenedStream { stream, lease } = opened;
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
            lease,
        })
    }
}

/// Returns whether the replica keeps the connection: a proxy accepts those for a replica without a process and closes them at
/// once.
async fn is_kept_open(stream: &TcpStream) -> bool {
    let closed = tokio::time::timeout(PROXY_CLOSE_TIME, stream.peek(&mut [0; 1])).await;
    matches!(closed, Err(_) | Ok(Ok(1..)))
}

/// Returns whether the replica or the link to it has failed; other errors, such as a lack of descriptors, are this router's
/// own.
fn is_link_failure(error: &io::Error) -> bool {
    let is_silence = matches!(
        error.kind(),
        io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable
    );
    is_silence || is_refusal(error)
}

fn is_refusal(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset
    )
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
    /// Returns whether the connection is direct, or runs over a router that does not leave.
    fn has_valid_helper(&self) -> bool {
        self.lease.as_ref().is_none_or(HelperLease::is_valid)
    }

    /// Returns whether the connection runs over another router.
    pub(crate) const fn is_relayed(&self) -> bool {
        self.lease.is_some()
    }

    /// Records that a part of a response has arrived.
    pub(crate) fn record_response(&self) {
        self.pool.route.links.responded(self.is_relayed());
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.allowance.set(MAX_BYTES_TO_HEAD);
        let route = &self.pool.route;
        if !self.is_relayed() {
            route.links.lock().sent(route.key, boot_time());
        }
        let result = self.sender.try_send_request(request).await;
        self.allowance.set(usize::MAX);
        match result {
            Ok(response) => {
                self.record_response();
                if !self.is_relayed() {
                    record_time(&self.pool.direct_response_ms);
                    self.pool.route.client.direct_responded();
                }
                Ok(response)
            }
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
