//! Decides in which parts the body of a replica's response is forwarded, and whether its end is that of the response.
//!
//! A stream that another replica may resume is forwarded in complete events, so that it can be resumed after the last
//! one. All other bodies are forwarded as they arrive: an event that is held back reaches its caller later.
//!
//! Callers get every stream in chunks, whose last one says that the response is complete. A response that ends with its
//! connection doesn't say so itself: the connection ends in the same way if the replica fails. Its events must tell.
//!
//! Load pattern handled: replicas that mark the end of streams only by closing the connection, and fail in the middle of
//! some.

use bytes::Bytes;
use http::Response;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::body::Body;

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
    Opaque,
    /// Events whose bytes are forwarded as they arrive.
    Events(EventScanner),
    /// Complete events only.
    CompleteEvents(EventSplitter),
}

impl BodyFraming {
    /// Returns the framing of a response whose body has not been read.
    #[must_use]
    pub(crate) fn of_response(response: &Response<impl Body>) -> Self {
        let headers = response.headers();
        if let Some(coding) = headers.get_all(TRANSFER_ENCODING).iter().next_back() {
            // With another last coding, the connection marks the end, whatever length is named.
            let coding = coding.as_bytes().trim_ascii_end().to_ascii_lowercase();
            return if coding.ends_with(b"chunked") {
                Self::Chunks
            } else {
                Self::Connection
            };
        }
        // Responses to some methods and with some statuses have no body and need no length.
        if headers.contains_key(CONTENT_LENGTH) || response.body().is_end_stream() {
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
            CallKind::Idempotent | CallKind::NonIdempotent => Self::Opaque,
        }
    }

    /// Reads the next bytes of the body and returns those to forward now.
    ///
    /// # Errors
    ///
    /// Returns an error if an event that is held back becomes too long.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Result<Bytes, EventTooLong> {
        match self {
            Self::Opaque => Ok(bytes),
            Self::Events(scanner) => {
                scanner.push(&bytes);
                Ok(bytes)
            }
            Self::CompleteEvents(splitter) => splitter.push(&bytes),
        }
    }

    /// Returns whether a body that ended here, as `framing` marks it, is complete.
    ///
    /// An end inside an event is that of a replica that failed. The same holds before the first event of a replica if
    /// only the connection marks the end: a response, and the rest of one that is resumed, has at least one event.
    #[must_use]
    pub(crate) fn is_complete(&self, framing: BodyFraming) -> bool {
        match self.position() {
            None | Some(StreamPosition::BetweenEvents) => true,
            Some(StreamPosition::Start) => framing != BodyFraming::Connection,
            Some(StreamPosition::InsideEvent) => false,
        }
    }

    /// Returns the number of complete events received from the current replica.
    #[must_use]
    pub(crate) const fn events(&self) -> u32 {
        match self {
            Self::Opaque => 0,
            Self::Events(scanner) => scanner.events(),
            Self::CompleteEvents(splitter) => splitter.events(),
        }
    }

    /// Returns where in its events the body ends so far; `None` if it has none.
    #[must_use]
    pub(crate) const fn position(&self) -> Option<StreamPosition> {
        match self {
            Self::Opaque => None,
            Self::Events(scanner) => Some(scanner.position()),
            Self::CompleteEvents(splitter) => Some(splitter.position()),
        }
    }
}
