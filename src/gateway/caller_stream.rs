//! The connection to a caller: records its activity and closes it without a reset.
//!
//! Closing a socket with unread bytes resets the connection, and the caller may then lose a response that it has not
//! read yet. After the last response, the rest of what the caller sends is therefore read and dropped for a while.
//!
//! A connection must not be closed over a request that has arrived. The runtime may not have reported it yet if the
//! process got no processor for a while, so the socket itself is asked.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::caller_activity::CallerActivity;
use super::clock::boot_time;
use super::shared::Shared;

/// How long a caller's bytes are read after the last response.
const LINGER_LIMIT: Duration = Duration::from_secs(2);
/// The number of bytes that are dropped at once.
const DROP_LEN: usize = 16 << 10;

/// The activity of a connection, shared between the connection and its requests.
#[derive(Clone, Debug)]
pub(crate) struct SharedActivity(Arc<Mutex<CallerActivity>>);

/// Records that a request occupies its connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestActivity {
    shared: Arc<Shared>,
    activity: SharedActivity,
}

/// A connection to a caller.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: Arc<TcpStream>,
    activity: SharedActivity,
    /// Ends the reading after the last response.
    linger: Option<Pin<Box<Sleep>>>,
}

/// The socket of a connection that a [`CallerStream`] reads.
#[derive(Debug)]
pub(crate) struct CallerSocket(Arc<TcpStream>);

impl CallerSocket {
    /// Returns whether bytes have arrived that were not read yet.
    pub(crate) fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.0).peek(&mut byte);
        peeked.is_ok_and(|length| length > 0)
    }
}

impl SharedActivity {
    /// Shares an activity.
    pub(crate) fn new(activity: CallerActivity) -> Self {
        Self(Arc::new(Mutex::new(activity)))
    }

    /// Returns the activity for a short time.
    pub(crate) fn lock(&self) -> MutexGuard<'_, CallerActivity> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RequestActivity {
    /// Records that the head of a request has arrived.
    pub(crate) fn begin(shared: &Arc<Shared>, activity: &SharedActivity) -> Self {
        activity.lock().request_began(boot_time());
        Self {
            shared: Arc::clone(shared),
            activity: activity.clone(),
        }
    }
}

impl Drop for RequestActivity {
    fn drop(&mut self) {
        let limits = self.shared.caller_limits();
        self.activity.lock().request_ended(boot_time(), limits);
    }
}

impl CallerStream {
    /// Records in `activity` what passes through `stream`; also returns its socket.
    pub(crate) fn new(stream: TcpStream, activity: SharedActivity) -> (Self, CallerSocket) {
        let stream = Arc::new(stream);
        let socket = CallerSocket(Arc::clone(&stream));
        let stream = Self {
            stream,
            activity,
            linger: None,
        };
        (stream, socket)
    }

    fn poll_read_socket(
        &self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(length) => {
                    buffer.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn poll_write_socket(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let result = loop {
            let ready = match self.stream.poll_write_ready(context) {
                Poll::Ready(ready) => ready,
                Poll::Pending => break Poll::Pending,
            };
            match ready.and_then(|()| write(&self.stream)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => break Poll::Ready(result),
            }
        };
        self.record_sent(&result);
        result
    }

    fn record_sent(&self, result: &Poll<io::Result<usize>>) {
        self.activity.lock().sent(boot_time(), result.is_pending());
    }

    /// Reads and drops bytes until the caller has closed the connection.
    fn poll_drop_rest(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DROP_LEN];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let result = ready!(self.poll_read_socket(context, &mut buffer));
            if result.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(());
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(self.poll_read_socket(context, buffer))?;
        if buffer.filled().len() > before {
            self.activity.lock().received(boot_time());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_socket(context, |stream| stream.try_write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            SockRef::from(&*self.stream).shutdown(Shutdown::Write)?;
            self.linger = Some(Box::pin(tokio::time::sleep(LINGER_LIMIT)));
        }
        let linger = self.linger.as_mut().expect("it was set above");
        if linger.as_mut().poll(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        self.poll_drop_rest(context).map(Ok)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_socket(context, |stream| stream.try_write_vectored(buffers))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
