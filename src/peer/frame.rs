//! The frames exchanged between routers.

use bytes::Bytes;
use prost::Message;

use crate::error::{Error, ErrorKind};

/// The maximum size of an encoded body; larger state is split into several bodies.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 20;
/// The maximum size of a frame including its authentication code.
pub(crate) const MAX_FRAME_BYTES: usize = MAX_PAYLOAD_BYTES + 64;
/// The size of a frame's authentication code (MAC) in bytes.
pub(crate) const MAC_BYTES: usize = 16;
/// The size of the length prefix of each frame in bytes.
const LENGTH_BYTES: usize = 4;

/// The message type of a body, which determines the component that decodes the payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Checks whether the other end of the connection still responds.
    Ping = 0,
    /// Answers [`Kind::Ping`].
    Pong = 1,
    /// Heartbeats with the data piggybacked on them.
    Heartbeat = 2,
    /// Asks the owner of a prompt prefix which replicas have it cached.
    Lookup = 3,
    /// Reports an event to the owner of a prompt prefix.
    Observation = 4,
    /// Announces or fetches configuration.
    Configuration = 5,
    /// Requests state that a restarted router lacks.
    State = 6,
    /// Sends claims of non-idempotent calls to the owner of their bucket.
    Claim = 7,
    /// Requests a stored answer or a stored stream.
    Answer = 8,
    /// Transfers a view of cached prompt prefixes to its new owner.
    Handover = 9,
    /// Requests the active configuration revision and other reports for operators.
    Status = 10,
    /// Aggregates the usage of heavy client accounts.
    Usage = 11,
    /// Reports replica events: loading of weights, and replicas that are leaving.
    Replicas = 12,
    /// Requests the platform's changes from a router that watches it.
    News = 13,
    /// Reports the load of replicas, aggregated over several routers.
    Work = 14,
    /// Asks which replica is computing a prompt prefix, or reports how that computation ended.
    Reading = 15,
    /// Reports replicas that crashed as they began an answer, and answers that were kept.
    Crashes = 16,
    /// Requests tokens of a client account's quota from its owner.
    Quota = 17,
    /// Tells which software versions began streams, or asks for one of them.
    Streams = 18,
    /// Asks for a connection to a replica that carries its bytes on the connection of the request.
    Connect = 19,
}

impl Kind {
    /// All kinds, ordered by their numbers.
    pub const ALL: [Self; 20] = [
        Self::Ping,
        Self::Pong,
        Self::Heartbeat,
        Self::Lookup,
        Self::Observation,
        Self::Configuration,
        Self::State,
        Self::Claim,
        Self::Answer,
        Self::Handover,
        Self::Status,
        Self::Usage,
        Self::Replicas,
        Self::News,
        Self::Work,
        Self::Reading,
        Self::Crashes,
        Self::Quota,
        Self::Streams,
        Self::Connect,
    ];

    /// The newest kind that routers know which don't announce theirs in the handshake.
    pub(crate) const NEWEST_UNANNOUNCED: Self = Self::Crashes;

    /// Returns the newest kind.
    pub(crate) const fn newest() -> Self {
        Self::ALL[Self::ALL.len() - 1]
    }

    /// Returns the value of the metric label for this kind.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Ping => "ping",
            Self::Pong => "pong",
            Self::Heartbeat => "heartbeat",
            Self::Lookup => "lookup",
            Self::Observation => "observation",
            Self::Configuration => "configuration",
            Self::State => "state",
            Self::Claim => "claim",
            Self::Answer => "answer",
            Self::Handover => "handover",
            Self::Status => "status",
            Self::Usage => "usage",
            Self::Replicas => "replicas",
            Self::News => "news",
            Self::Work => "work",
            Self::Reading => "reading",
            Self::Crashes => "crashes",
            Self::Quota => "quota",
            Self::Streams => "streams",
            Self::Connect => "connect",
        }
    }
}

/// A message between routers: its kind and its encoded content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body {
    /// The message type.
    pub kind: Kind,
    /// The encoded message of that type.
    pub payload: Bytes,
}

impl Body {
    /// Encodes `message` as a body of `kind`.
    #[must_use]
    pub fn encode(kind: Kind, message: &impl Message) -> Self {
        Self {
            kind,
            payload: message.encode_to_vec().into(),
        }
    }

    /// Decodes the payload as the message type that belongs to the kind.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] if the payload can't be decoded as that type.
    pub fn decode<M: Message + Default>(&self) -> Result<M, Error> {
        M::decode(self.payload.clone()).map_err(|error| {
            let message = format!("{} body can't be decoded: {error}", self.kind.label());
            Error::new(ErrorKind::Protocol, message)
        })
    }
}

/// The encoded form of a frame, without the authentication code that precedes it.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Frame {
    /// Matches a reply to its request; zero if no reply is expected.
    #[prost(uint64, tag = "1")]
    pub(crate) request: u64,
    /// Whether this is a reply.
    #[prost(bool, tag = "2")]
    pub(crate) reply: bool,
    /// The body's kind.
    #[prost(enumeration = "Kind", tag = "3")]
    pub(crate) kind: i32,
    /// The body's payload.
    #[prost(bytes = "bytes", tag = "4")]
    pub(crate) payload: Bytes,
}

impl Frame {
    /// Creates a frame that carries `body`.
    pub(crate) fn new(request: u64, reply: bool, body: Body) -> Self {
        Self {
            request,
            reply,
            kind: body.kind.into(),
            payload: body.payload,
        }
    }

    /// Returns the body of the frame.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] if this version of the router does not know the kind.
    pub(crate) fn into_body(self) -> Result<Body, Error> {
        let kind = Kind::try_from(self.kind).map_err(|_| {
            Error::new(
                ErrorKind::Protocol,
                format!("unknown frame kind {}", self.kind),
            )
        })?;
        Ok(Body {
            kind,
            payload: self.payload,
        })
    }
}

/// Returns the number of bytes that `body` occupies on a connection, including the length prefix and the authentication
/// code but not the TCP and IP headers.
#[must_use]
pub fn wire_bytes(body: &Body) -> usize {
    LENGTH_BYTES + MAC_BYTES + Frame::new(0, false, body.clone()).encoded_len()
}

/// Returns the number of bytes that a frame of `signed_len` bytes, including its authentication code, occupies on a
/// connection.
pub(crate) const fn wire_len(signed_len: usize) -> usize {
    LENGTH_BYTES + signed_len
}
