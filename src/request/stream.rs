//! Reassembly of one response stream: each chunk is delivered once and in order, up to an explicit terminal event.
//!
//! Chunks may arrive late, duplicated or on the wrong connection, and a connection may go silent while new ones work.
//! The assembler relies only on the request ID and the sequence number of a chunk. It gives up a connection that is
//! closed, idle for too long, or carries a chunk of another request, and requests to resume after the last delivered
//! chunk on a new connection.
//!
//! Rejected: detecting silence at the transport level only, because a connection that was dropped by an intermediary
//! looks idle to both ends.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;

use crate::id::RequestId;

const MAX_BUFFERED_CHUNKS: usize = 64;

/// Numbers the connections of one stream; late chunks of earlier connections are dropped.
pub type ConnectionNumber = u32;

/// One chunk as sent by the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The request that the engine states it responds to.
    pub request_id: RequestId,
    /// The position in the engine's stream, starting at one.
    pub sequence: u64,
    /// The data of the event.
    pub data: Bytes,
    /// Whether this is the engine's terminal event.
    pub is_last: bool,
}

/// Where to resume an interrupted stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeTarget {
    /// At the same replica, from the stream that it retains.
    SameReplica,
    /// At another replica, from the prompt and the text so far.
    OtherReplica,
}

/// Why a stream ends without its terminal event; sent to the caller as an error event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// The stream was interrupted more often than the limit allows.
    TooManyInterruptions,
}

/// Why a connection is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interruption {
    /// The connection was closed or failed before the terminal event.
    Closed,
    /// No chunk arrived within the idle timeout.
    IdleTimeout,
    /// A chunk of another request arrived.
    WrongRequest,
    /// More chunks arrived out of order than can be buffered.
    ReorderOverflow,
    /// The replica no longer has the stream, or could not be connected to.
    StreamLost,
}

/// The next step of the I/O layer after an event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamStep {
    /// Deliver these chunks to the caller; the last may be the terminal event.
    Deliver(SmallVec<[Chunk; 2]>),
    /// Do nothing: the chunk is a duplicate, late, or buffered until its predecessors arrive.
    Wait,
    /// Close the connection and resume the stream on a new one.
    Resume {
        /// Why the old connection is closed.
        interruption: Interruption,
        /// The number under which to report events of the new connection.
        connection: ConnectionNumber,
        /// The last delivered sequence number; zero if none.
        after_sequence: u64,
        /// Where to connect.
        target: ResumeTarget,
    },
    /// Close the connection and end the stream with an error event.
    Fail(StreamError),
}

/// Limits of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamLimits {
    /// The maximum time without a chunk on a connection.
    pub idle_timeout: Duration,
    /// The maximum number of interruptions of a stream.
    pub max_interruptions: u32,
}

/// The state of one response stream.
#[derive(Clone, Debug)]
pub struct Assembler {
    request_id: RequestId,
    limits: StreamLimits,
    connection: ConnectionNumber,
    last_received_at: Duration,
    delivered: u64,
    buffered: BTreeMap<u64, Chunk>,
    interruptions: u32,
    is_finished: bool,
}

impl Assembler {
    /// Creates the state of a stream on its first connection, which has number zero.
    #[must_use]
    pub const fn new(request_id: RequestId, limits: StreamLimits, now: Duration) -> Self {
        Self::resumed(request_id, limits, 0, now)
    }

    /// Resumes a stream whose chunks up to `after_sequence` the caller received through another router.
    #[must_use]
    pub const fn resumed(
        request_id: RequestId,
        limits: StreamLimits,
        after_sequence: u64,
        now: Duration,
    ) -> Self {
        Self {
            request_id,
            limits,
            connection: 0,
            last_received_at: now,
            delivered: after_sequence,
            buffered: BTreeMap::new(),
            interruptions: 0,
            is_finished: false,
        }
    }

    /// Returns whether the stream has ended, by its terminal event or an error.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.is_finished
    }

    /// Returns the sequence number of the last delivered chunk.
    #[must_use]
    pub const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns when [`poll`](Self::poll) should next be called.
    #[must_use]
    pub fn next_poll(&self) -> Option<Duration> {
        (!self.is_finished).then(|| self.last_received_at + self.limits.idle_timeout)
    }

    /// Handles a chunk received over `connection`.
    pub fn chunk(
        &mut self,
        connection: ConnectionNumber,
        chunk: Chunk,
        now: Duration,
    ) -> StreamStep {
        if self.is_finished || connection != self.connection {
            return StreamStep::Wait;
        }
        if chunk.request_id != self.request_id {
            return self.interrupt(Interruption::WrongRequest, now);
        }
        self.last_received_at = now;
        if chunk.sequence <= self.delivered {
            return StreamStep::Wait;
        }
        self.buffered.entry(chunk.sequence).or_insert(chunk);
        self.deliver(now)
    }

    fn deliver(&mut self, now: Duration) -> StreamStep {
        let mut chunks = SmallVec::new();
        while let Some(chunk) = self.buffered.remove(&(self.delivered + 1)) {
            assert!(!self.is_finished, "chunk after the terminal event");
            self.delivered += 1;
            self.is_finished = chunk.is_last;
            chunks.push(chunk);
        }
        if !chunks.is_empty() {
            return StreamStep::Deliver(chunks);
        }
        if self.buffered.len() > MAX_BUFFERED_CHUNKS {
            return self.interrupt(Interruption::ReorderOverflow, now);
        }
        StreamStep::Wait
    }

    /// Handles the loss of `connection` before the terminal event, or a failure to establish it.
    pub fn interrupted(
        &mut self,
        connection: ConnectionNumber,
        interruption: Interruption,
        now: Duration,
    ) -> StreamStep {
        if self.is_finished || connection != self.connection {
            return StreamStep::Wait;
        }
        self.interrupt(interruption, now)
    }

    /// Gives up the connection if it was idle for too long.
    pub fn poll(&mut self, now: Duration) -> StreamStep {
        let is_timed_out = now >= self.last_received_at + self.limits.idle_timeout;
        if self.is_finished || !is_timed_out {
            return StreamStep::Wait;
        }
        self.interrupt(Interruption::IdleTimeout, now)
    }

    fn interrupt(&mut self, interruption: Interruption, now: Duration) -> StreamStep {
        self.connection += 1;
        self.interruptions += 1;
        self.last_received_at = now;
        self.buffered.clear();
        if self.interruptions > self.limits.max_interruptions {
            self.is_finished = true;
            return StreamStep::Fail(StreamError::TooManyInterruptions);
        }
        let target = match interruption {
            Interruption::StreamLost => ResumeTarget::OtherReplica,
            _ => ResumeTarget::SameReplica,
        };
        StreamStep::Resume {
            interruption,
            connection: self.connection,
            after_sequence: self.delivered,
            target,
        }
    }

    /// Continues the stream at another replica, whose own stream starts at sequence number one.
    ///
    /// The I/O layer has sent the prompt and the text so far to that replica, so its first chunk follows the last
    /// delivered one.
    pub fn move_replica(&mut self, request_id: RequestId, now: Duration) {
        assert!(
            !self.is_finished,
            "stream moved to another replica after its end"
        );
        self.request_id = request_id;
        self.delivered = 0;
        self.last_received_at = now;
        self.buffered.clear();
    }
}
