//! The connection to a caller, which records its activity.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::caller_activity::CallerActivity;
use super::clock::boot_time;
use super::shared::Shared;

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
    stream: TcpStream,
    activity: SharedActivity,
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
    /// Records in `activity` what passes through `stream`.
    pub(crate) const fn new(stream: TcpStream, activity: SharedActivity) -> Self {
        Self { stream, activity }
    }

    fn record_sent(&self, result: &Poll<io::Result<usize>>) {
        self.activity.lock().sent(boot_time(), result.is_pending());
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.activity.lock().received(boot_time());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_sent(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_sent(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
