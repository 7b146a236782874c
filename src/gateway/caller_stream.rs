//! The connection to a caller: records its activity and closes it without a reset.
//!
//! Closing a socket with unread bytes resets the connection, and the caller may then lose a response that it has not
//! read yet. After the last response, the rest of what the caller sends is therefore read and dropped for a while.
//!
//! A connection must not be closed over a request that has arrived. The runtime may not have reported it yet if the
//! process got no processor for a while, so a last read is forced.
//!
//! Rejected: sharing the socket with the task that closes it, which can look into it at any time. A shared socket can't
//! use that a read that fills less than its buffer has emptied the socket, and makes one more system call for each read.

use std::io::{self, Read};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::caller_activity::CallerActivity;
use super::clock::boot_time;
use super::memory::{ConnectionMemory, HolderPhase, MemoryUse, Reservation};
use super::request_end::ClosedBy;
use super::shared::Shared;

/// How long a caller's bytes are read after the last response.
const LINGER_LIMIT: Duration = Duration::from_secs(2);
/// How long that is done on a connection that was evicted, whose place others wait for.
const EVICTED_LINGER_LIMIT: Duration = Duration::from_millis(200);
/// The number of bytes that are read at once. hyper doubles its buffer of 8 KiB when a read fills it; this is just less.
const READ_LEN: usize = (8 << 10) - 1;
/// The number of bytes that are dropped at once.
const DROP_LEN: usize = 16 << 10;

/// The activity of a connection, shared between the connection and its requests.
#[derive(Clone, Debug)]
pub(crate) struct SharedActivity(Arc<ConnectionState>);

#[derive(Debug)]
struct ConnectionState {
    activity: Mutex<CallerActivity>,
    memory: ConnectionMemory,
    /// Whether the next read is done even if the runtime has reported nothing to read.
    is_read_forced: AtomicBool,
    /// Whether the last such read got bytes.
    forced_read_got_bytes: AtomicBool,
    /// The code of who ended the connection, or zero while it lasts.
    closed_by: AtomicU8,
    /// When the last byte arrived or was sent.
    last_byte_ms: AtomicU64,
    /// The number of bytes of a request that is not handled yet.
    unhandled_bytes: AtomicU64,
    /// The number of bytes that were dropped after the last response.
    dropped_bytes: AtomicU64,
    /// Whether the last response was given before the body of its request was complete.
    is_body_unread: AtomicBool,
    /// Whether nothing more can be sent.
    has_shutdown_begun: AtomicBool,
}

/// Records that a request occupies its connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestActivity {
    shared: Arc<Shared>,
    activity: SharedActivity,
}

/// A connection to a caller.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    activity: SharedActivity,
    /// The memory for a head that does not fit into the first read buffer, kept until the next head.
    head: Option<Reservation>,
    /// Ends the reading after the last response.
    linger: Option<Pin<Box<Sleep>>>,
}

impl SharedActivity {
    /// Shares an activity of a connection with this memory.
    pub(crate) fn new(activity: CallerActivity, memory: ConnectionMemory) -> Self {
        Self(Arc::new(ConnectionState {
            activity: Mutex::new(activity),
            memory,
            is_read_forced: AtomicBool::new(false),
            forced_read_got_bytes: AtomicBool::new(false),
            closed_by: AtomicU8::new(0),
            last_byte_ms: AtomicU64::new(0),
            unhandled_bytes: AtomicU64::new(0),
            dropped_bytes: AtomicU64::new(0),
            is_body_unread: AtomicBool::new(false),
            has_shutdown_begun: AtomicBool::new(false),
        }))
    }

    /// Returns the memory of the connection.
    pub(crate) fn memory(&self) -> &ConnectionMemory {
        &self.0.memory
    }

    /// Returns the activity for a short time.
    pub(crate) fn lock(&self) -> MutexGuard<'_, CallerActivity> {
        self.0
            .activity
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Forces the next read, whatever the runtime has reported.
    pub(crate) fn force_read(&self) {
        self.0.forced_read_got_bytes.store(false, Ordering::Relaxed);
        self.0.is_read_forced.store(true, Ordering::Relaxed);
    }

    /// Returns whether the read after [`force_read`](Self::force_read) got bytes.
    pub(crate) fn forced_read_got_bytes(&self) -> bool {
        self.0.forced_read_got_bytes.load(Ordering::Relaxed)
    }

    /// Records who ended the connection, unless that is known already.
    pub(crate) fn close(&self, closed_by: ClosedBy) {
        let code = &self.0.closed_by;
        // Fails if it is known already.
        let _ = code.compare_exchange(0, closed_by.code(), Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Returns who ended the connection; `None` while it lasts.
    pub(crate) fn closed_by(&self) -> Option<ClosedBy> {
        ClosedBy::from_code(self.0.closed_by.load(Ordering::Relaxed))
    }

    /// Returns when the last byte arrived or was sent.
    pub(crate) fn last_byte_at(&self) -> Duration {
        Duration::from_millis(self.0.last_byte_ms.load(Ordering::Relaxed))
    }

    /// Returns the number of bytes that have arrived of a request that is not handled yet.
    pub(crate) fn unhandled_bytes(&self) -> u64 {
        self.0.unhandled_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that were dropped after the last response.
    pub(crate) fn dropped_bytes(&self) -> u64 {
        self.0.dropped_bytes.load(Ordering::Relaxed)
    }

    /// Records that a response was given before the body of its request was complete.
    pub(crate) fn leave_body_unread(&self) {
        self.0.is_body_unread.store(true, Ordering::Relaxed);
    }

    /// Returns whether the last response was given before the body of its request was complete.
    pub(crate) fn is_body_unread(&self) -> bool {
        self.0.is_body_unread.load(Ordering::Relaxed)
    }

    /// Returns whether the connection is being shut down, so that nothing more can be sent.
    pub(crate) fn has_shutdown_begun(&self) -> bool {
        self.0.has_shutdown_begun.load(Ordering::Relaxed)
    }

    fn received(&self, length: usize) {
        let now = boot_time();
        self.record_byte(now);
        let mut activity = self.lock();
        activity.received(now);
        if activity.awaits_request() {
            let unhandled = &self.0.unhandled_bytes;
            unhandled.fetch_add(length as u64, Ordering::Relaxed);
        }
    }

    fn sent(&self, result: &Poll<io::Result<usize>>) {
        let now = boot_time();
        match result {
            Poll::Ready(Ok(_)) => self.record_byte(now),
            Poll::Ready(Err(_)) => self.close(ClosedBy::CallerReset),
            Poll::Pending => {}
        }
        self.lock().sent(now, result.is_pending());
    }

    fn record_byte(&self, now: Duration) {
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.0.last_byte_ms.store(now_ms, Ordering::Relaxed);
    }

    fn take_forced_read(&self) -> bool {
        // Reads are rarely forced, and loading needs no exclusive access to the cache line.
        self.0.is_read_forced.load(Ordering::Relaxed)
            && self.0.is_read_forced.swap(false, Ordering::Relaxed)
    }
}

impl RequestActivity {
    /// Records that the head of a request has arrived.
    pub(crate) fn begin(shared: &Arc<Shared>, activity: &SharedActivity) -> Self {
        activity.lock().request_began(boot_time());
        activity.memory().set_phase(HolderPhase::Receiving);
        activity.0.unhandled_bytes.store(0, Ordering::Relaxed);
        Self {
            shared: Arc::clone(shared),
            activity: activity.clone(),
        }
    }

    /// Returns the state of the router.
    pub(crate) const fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the activity of the connection.
    pub(crate) const fn connection(&self) -> &SharedActivity {
        &self.activity
    }
}

impl Drop for RequestActivity {
    fn drop(&mut self) {
        let limits = self.shared.caller_limits();
        self.activity.lock().request_ended(boot_time(), limits);
        self.activity.memory().set_phase(HolderPhase::Idle);
    }
}

impl CallerStream {
    /// Records in `activity` what passes through `stream`.
    pub(crate) const fn new(stream: TcpStream, activity: SharedActivity) -> Self {
        Self {
            stream,
            activity,
            head: None,
            linger: None,
        }
    }

    /// Sends `response` and closes the connection, as [`poll_shutdown`](AsyncWrite::poll_shutdown) does.
    ///
    /// # Errors
    ///
    /// Fails if the caller has closed the connection.
    pub(crate) async fn end_with(mut self, response: &[u8]) -> io::Result<()> {
        // A caller that reads nothing may have left no room for it.
        let writing = tokio::time::timeout(LINGER_LIMIT, self.write_all(response));
        writing.await.map_err(io::Error::from).flatten()?;
        self.shutdown().await
    }

    /// Reads what the socket has, reported or not; returns `None` if it has neither bytes nor an end.
    fn read_unreported(&self, buffer: &mut ReadBuf<'_>) -> Option<io::Result<()>> {
        let socket = SockRef::from(&self.stream);
        match (&*socket).read(buffer.initialize_unfilled()) {
            Ok(length) => {
                buffer.advance(length);
                let got_bytes = &self.activity.0.forced_read_got_bytes;
                got_bytes.store(length > 0, Ordering::Relaxed);
                Some(Ok(()))
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => None,
            Err(error) => Some(Err(error)),
        }
    }

    /// Reads and drops bytes until the caller has closed the connection.
    fn poll_drop_rest(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DROP_LEN];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let result = ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer));
            if result.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
            let dropped = &self.activity.0.dropped_bytes;
            dropped.fetch_add(buffer.filled().len() as u64, Ordering::Relaxed);
        }
    }

    /// Reserves the memory for a long head; returns whether there is any.
    fn reserve_head(&mut self) -> bool {
        let unhandled = self.activity.unhandled_bytes();
        if unhandled == 0 {
            return true;
        }
        if unhandled <= READ_LEN as u64 {
            self.head = None;
            return true;
        }
        // The buffer doubles.
        let needed = unhandled.next_power_of_two();
        let reserved = self.head.as_ref().map_or(0, Reservation::bytes);
        if needed <= reserved {
            return true;
        }
        let memory = self.activity.memory();
        let Some(more) = memory.reserve_now(needed - reserved, MemoryUse::Request) else {
            return false;
        };
        match &mut self.head {
            Some(head) => head.merge(more),
            None => self.head = Some(more),
        }
        true
    }

    fn poll_read_stream(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let unreported = match self.activity.take_forced_read() {
            true => self.read_unreported(buffer),
            false => None,
        };
        match unreported {
            Some(result) => Poll::Ready(result),
            None => Pin::new(&mut self.stream).poll_read(context, buffer),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let room = buffer.remaining().min(READ_LEN);
        let has_room = room > 0;
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(room));
        let result = ready!(self.poll_read_stream(context, &mut part));
        let length = part.filled().len();
        buffer.advance(length);
        match &result {
            Ok(()) if length > 0 => {
                self.activity.received(length);
                if !self.reserve_head() {
                    self.activity.close(ClosedBy::MemoryLimit);
                    let error = io::Error::other("no memory for the head of a request");
                    return Poll::Ready(Err(error));
                }
            }
            Ok(()) if has_room => self.activity.close(ClosedBy::CallerClosed),
            Ok(()) => {}
            Err(_) => self.activity.close(ClosedBy::CallerReset),
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.activity.sent(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            let has_begun = &self.activity.0.has_shutdown_begun;
            has_begun.store(true, Ordering::Relaxed);
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            let limit = match self.activity.memory().is_evicted() {
                true => EVICTED_LINGER_LIMIT,
                false => LINGER_LIMIT,
            };
            self.linger = Some(Box::pin(tokio::time::sleep(limit)));
        }
        let linger = self.linger.as_mut().expect("it was set above");
        if linger.as_mut().poll(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        self.poll_drop_rest(context).map(Ok)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.activity.sent(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
