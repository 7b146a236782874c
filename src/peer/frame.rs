//! The frame that routers exchange.

use bytes::Bytes;
use prost::Message;

use crate::error::{Error, ErrorKind};

/// The largest encoded body; larger state goes in several bodies.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 20;
/// The largest frame with its authentication code.
pub(crate) const MAX_FRAME_BYTES: usize = MAX_PAYLOAD_BYTES + 64;
/// The bytes of a frame's authentication code.
pub(crate) const CODE_BYTES: usize = 16;
/// The bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// What a body is about; it decides who decodes the payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Asks the other side of a connection whether it still hears.
    Ping = 0,
    /// Answers [`Kind::Ping`].
    Pong = 1,
    /// Heartbeats and what rides on them.
    Heartbeat = 2,
    /// Asks an opening's owner where the opening is warm.
    Lookup = 3,
    /// Tells an opening's owner what happened.
    Observation = 4,
    /// Pushes configuration or asks for it.
    Configuration = 5,
    /// Asks a peer for the state that a restarted router lacks.
    State = 6,
    /// Hands claims of non-idempotent calls to their bucket's owner.
    Claim = 7,
    /// Asks for a kept answer or a kept stream.
    Answer = 8,
    /// Hands a view of warm openings to its new owner.
    Handover = 9,
    /// Asks which revision a router has in force, and other reports for operators.
    Status = 10,
    /// Adds up the usage of heavy client accounts.
    Usage = 11,
    /// Tells what replicas do: loads of weights, and replicas that leave.
    Replicas = 12,
    /// Asks a router what the platform has changed.
    News = 13,
    /// Tells the work at replicas, summed up over several routers.
    Work = 14,
    /// Asks who reads an opening, or tells what became of a reading.
    Reading = 15,
}

impl Kind {
    /// All kinds, in the order of their numbers.
    pub const ALL: [Self; 16] = [
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
    ];

    /// Returns the name under which metrics count the kind.
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
        }
    }
}

/// A message between routers: its kind and its encoded content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Body {
    /// What the body is about.
    pub kind: Kind,
    /// The encoded message of that kind.
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
    /// Fails with [`ErrorKind::Protocol`] where the payload is no such message.
    pub fn decode<M: Message + Default>(&self) -> Result<M, Error> {
        M::decode(self.payload.clone()).map_err(|error| {
            let message = format!("{} body can't be decoded: {error}", self.kind.label());
            Error::new(ErrorKind::Protocol, message)
        })
    }
}

/// One frame as it travels, before its code is put in front.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Frame {
    /// Joins a reply to its request; zero where no reply is expected.
    #[prost(uint64, tag = "1")]
    pub(crate) request: u64,
    /// Whether this answers a request.
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
    /// Makes a frame that carries `body`.
    pub(crate) fn new(request: u64, reply: bool, body: Body) -> Self {
        Self {
            request,
            reply,
            kind: body.kind.into(),
            payload: body.payload,
        }
    }

    /// Takes the body out.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] where the kind is not known here.
    pub(crate) fn into_body(self) -> Result<Body, Error> {
        let kind = Kind::try_from(self.kind).map_err(|_| {
            Error::new(
                ErrorKind::Protocol,
                format!("frame kind {} is unknown", self.kind),
            )
        })?;
        Ok(Body {
            kind,
            payload: self.payload,
        })
    }
}

/// Returns the bytes that `body` takes on a connection, with length and code and without the headers of TCP and IP.
#[must_use]
pub fn wire_bytes(body: &Body) -> usize {
    LENGTH_BYTES + CODE_BYTES + Frame::new(0, false, body.clone()).encoded_len()
}

/// Returns the bytes that a sealed frame of `sealed_len` takes on a connection.
pub(crate) const fn wire_len(sealed_len: usize) -> usize {
    LENGTH_BYTES + sealed_len
}
