//! Decides in which parts the body of a replica's response is forwarded.
//!
//! A stream that another replica may resume is forwarded in complete events, so that it can be resumed after the last
//! one. All other bodies are forwarded as they arrive: an event that is held back reaches its caller later.

use bytes::Bytes;
use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

use super::events::{EventScanner, EventSplitter, EventTooLong, StreamPosition};
use super::route::CallKind;

/// How a response marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// By a length in its head.
    Length,
    /// By the last of its chunks.
    Chunks,
    /// Only by the end of its connection, which a replica that fails ends too.
    Connection,
}

/// How far a response was received, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BodyEnd {
    /// How the last replica marks the end of the body.
    pub(crate) framing: BodyFraming,
    /// Where in its events the body ended; `None` if it has none.
    pub(crate) position: Option<StreamPosition>,
}

/// The body of a response on its way to the caller.
#[derive(Debug)]
pub(crate) enum Forwarding {
    /// Bytes without events, as they arrive.
    Bytes,
    /// Events whose bytes are forwarded as they arrive.
    Events(EventScanner),
    /// Complete events only.
    CompleteEvents(EventSplitter),
}

impl BodyFraming {
    /// Returns the framing that the head of a response announces.
    #[must_use]
    pub(crate) fn of_response(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Returns the framing as it is written to the log.
    #[must_use]
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

impl Forwarding {
    /// Returns how responses to requests of `kind` are forwarded.
    #[must_use]
    pub(crate) fn of_kind(kind: CallKind) -> Self {
        match kind {
            CallKind::Stream { is_resumable: true } => {
                Self::CompleteEvents(EventSplitter::default())
            }
            CallKind::Stream {
                is_resumable: false,
            } => Self::Events(EventScanner::default()),
            CallKind::Idempotent | CallKind::NonIdempotent => Self::Bytes,
        }
    }

    /// Reads the next bytes of the body and returns those to forward now.
    ///
    /// # Errors
    ///
    /// Returns an error if an event that is held back becomes too long.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Result<Bytes, EventTooLong> {
        match self {
            Self::Bytes => Ok(bytes),
            Self::Events(scanner) => {
                scanner.push(&bytes);
                Ok(bytes)
            }
            Self::CompleteEvents(splitter) => splitter.push(&bytes),
        }
    }

    /// Returns where in its events the body ends so far; `None` if it has none.
    #[must_use]
    pub(crate) const fn position(&self) -> Option<StreamPosition> {
        match self {
            Self::Bytes => None,
            Self::Events(scanner) => Some(scanner.position()),
            Self::CompleteEvents(splitter) => Some(splitter.position()),
        }
    }
}
