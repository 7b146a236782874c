//! The body of a request in parts of a fixed size.
//!
//! The bytes are copied out of the buffers of the connection: a part of a few bytes would keep its whole buffer. Parts of
//! one size are reused by the allocator without gaps, and none is so large that it is mapped by itself. Rejected: one
//! growing buffer, which is copied, and held twice, each time that it grows.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::account::{ConnectionMemory, MemoryRefused, Reservation};
use super::budget::MemoryUse;

/// The size of a part of a long body.
const PART_BYTES: usize = 16 << 10;
/// The size of the first part of a body whose length is unknown.
const MIN_PART_BYTES: usize = 1 << 10;

/// The body of a request, with the memory that is reserved for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoredBody(Arc<Stored>);

#[derive(Debug, Default)]
struct Stored {
    parts: Vec<Bytes>,
    length: usize,
    _reservation: Option<Reservation>,
}

/// Collects a body as it arrives.
#[derive(Debug)]
pub(crate) struct BodyCollector {
    memory: ConnectionMemory,
    parts: Vec<Bytes>,
    current: Vec<u8>,
    length: usize,
    /// The announced length; 0 if there is none.
    expected: usize,
    reservation: Option<Reservation>,
}

/// Sends a stored body.
#[derive(Debug)]
pub(crate) struct BodyReader {
    body: StoredBody,
    next: usize,
    left: usize,
}

impl StoredBody {
    /// Returns the parts of the body.
    pub(crate) fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.0.parts.iter().map(|part| &part[..])
    }

    /// Returns a body to send.
    pub(crate) fn reader(&self) -> BodyReader {
        BodyReader {
            body: self.clone(),
            next: 0,
            left: self.0.length,
        }
    }
}

impl BodyCollector {
    /// Collects a body of this announced length, or of an unknown one if it is 0.
    pub(crate) const fn new(memory: ConnectionMemory, expected: usize) -> Self {
        Self {
            memory,
            parts: Vec::new(),
            current: Vec::new(),
            length: 0,
            expected,
            reservation: None,
        }
    }

    /// Copies the next bytes.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for them.
    pub(crate) async fn push(&mut self, mut bytes: &[u8]) -> Result<(), MemoryRefused> {
        while !bytes.is_empty() {
            if self.current.len() == self.current.capacity() {
                self.add_part().await?;
            }
            let room = self.current.capacity() - self.current.len();
            let (now, later) = bytes.split_at(bytes.len().min(room));
            self.current.extend_from_slice(now);
            self.length += now.len();
            bytes = later;
        }
        Ok(())
    }

    /// Returns the collected body.
    pub(crate) fn finish(mut self) -> StoredBody {
        self.end_part();
        StoredBody(Arc::new(Stored {
            parts: self.parts,
            length: self.length,
            _reservation: self.reservation,
        }))
    }

    async fn add_part(&mut self) -> Result<(), MemoryRefused> {
        self.end_part();
        let wanted = match self.expected.saturating_sub(self.length) {
            0 => self.length.max(MIN_PART_BYTES),
            left => left,
        };
        let size = wanted.min(PART_BYTES);
        let reserving = self.memory.reserve(size as u64, MemoryUse::Request);
        let reserved = reserving.await?;
        match &mut self.reservation {
            Some(reservation) => reservation.merge(reserved),
            None => self.reservation = Some(reserved),
        }
        self.current = Vec::with_capacity(size);
        Ok(())
    }

    fn end_part(&mut self) {
        if !self.current.is_empty() {
            self.parts
                .push(Bytes::from(std::mem::take(&mut self.current)));
        }
    }
}

impl Body for BodyReader {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.body.0.parts.get(self.next).cloned();
        Poll::Ready(part.map(|part| {
            self.next += 1;
            self.left -= part.len();
            Ok(Frame::data(part))
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
