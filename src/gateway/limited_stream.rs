//! Limits the bytes that a replica may send before the head of its response is complete, and the time for which it may
//! leave a short request unacknowledged.
//!
//! hyper limits the size of one head, but not the number of interim responses (1xx) before it, and it parses all that a
//! replica sends before it returns to the scheduler. A faulty replica could therefore occupy a traffic thread until the
//! deadline.
//!
//! The kernel's limit on unacknowledged bytes also ends a connection whose receive window stays closed, though the peer
//! acknowledges every probe: a replica that is slow to read a long body would lose the request. The limit is therefore
//! raised once what was sent may not fit into a receive window. Rejected: reading the kernel's counters (`TCP_INFO`),
//! for which there is no interface without unsafe code.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The number of bytes that fit into the receive window of a replica that has not read what was sent before.
const MAX_WINDOW_BYTES: usize = 16 << 10;
/// The number of bytes that are read at once. hyper doubles its buffer when a read fills it; this is just less than a
/// buffer, so that one part of a response keeps at most 16 KiB.
const READ_LEN: usize = (16 << 10) - 1;
/// How long bytes of a long request may stay unacknowledged.
const LONG_REQUEST_LIMIT: Duration = Duration::from_secs(4);

/// The number of bytes that may still be received, shared between a connection and its user.
#[derive(Clone, Debug)]
pub(crate) struct ReadAllowance(Arc<AtomicUsize>);

/// A connection that fails once more bytes arrive than its allowance permits.
#[derive(Debug)]
pub(crate) struct LimitedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
    /// The number of bytes sent since the replica last sent any.
    sent: usize,
    is_time_limited: bool,
}

impl ReadAllowance {
    /// Creates an unlimited allowance.
    pub(crate) fn unlimited() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }

    /// Permits `bytes` from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Subtracts received bytes; returns whether they were permitted.
    fn subtract(&self, bytes: usize) -> bool {
        let subtract = |left: usize| {
            if left == usize::MAX {
                return Some(left);
            }
            left.checked_sub(bytes)
        };
        let updated = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
        updated.is_ok()
    }
}

impl LimitedStream {
    /// Limits `stream` to an allowance that its user may change at any time.
    pub(crate) const fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self {
            stream,
            allowance,
            sent: 0,
            is_time_limited: true,
        }
    }

    /// Records sent bytes, and raises the limit on unacknowledged bytes once they may not fit into the receive window.
    fn record_sent(&mut self, bytes: usize) {
        self.sent += bytes;
        if !self.is_time_limited || self.sent <= MAX_WINDOW_BYTES {
            return;
        }
        // Not set again after the response, since the replica may read the rest of the request later.
        self.is_time_limited = false;
        if let Err(error) =
            SockRef::from(&self.stream).set_tcp_user_timeout(Some(LONG_REQUEST_LIMIT))
        {
            log::debug!(
                "upstream: Failed to raise the limit on unacknowledged bytes. error={error}"
            );
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buffer.remaining().min(READ_LEN);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let length = part.filled().len();
        buffer.advance(length);
        self.sent = 0;
        if self.allowance.subtract(length) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "too many bytes before the head of a response",
        )))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.record_sent(sent);
        Poll::Ready(Ok(sent))
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
        let sent = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, buffers))?;
        self.record_sent(sent);
        Poll::Ready(Ok(sent))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
