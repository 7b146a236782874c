//! Messages with which a router requests operator reports from its peers, and their replies.

use prost::{Message, Oneof};

use crate::burn::{MemberStats, Window};
use crate::error::{Error, ErrorKind};
use crate::explain::Explanation;
use crate::id::RequestId;
use crate::status::MemberStatus;

/// A request to a peer for one report.
#[derive(Clone, PartialEq, Message)]
pub struct ReportRequest {
    #[prost(oneof = "Query", tags = "1, 2, 3")]
    query: Option<Query>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Query {
    /// Burn statistics over the named window.
    #[prost(string, tag = "1")]
    Burn(String),
    /// The explanation of the request with this id.
    #[prost(bytes = "vec", tag = "2")]
    Explain(Vec<u8>),
    /// The peer's status.
    #[prost(bool, tag = "3")]
    Status(bool),
}

/// The validated content of a [`ReportRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestedReport {
    /// Burn statistics over a window.
    Burn(Window),
    /// The explanation of a request.
    Explain(RequestId),
    /// The peer's status.
    Status,
}

impl ReportRequest {
    /// Creates a request for burn statistics over `window`.
    #[must_use]
    pub fn burn(window: Window) -> Self {
        Self::new(Query::Burn(window.name().to_owned()))
    }

    /// Creates a request for the explanation of the request `id`.
    #[must_use]
    pub fn explain(id: RequestId) -> Self {
        Self::new(Query::Explain(id.as_bytes().to_vec()))
    }

    /// Creates a request for the peer's status.
    #[must_use]
    pub const fn status() -> Self {
        Self::new(Query::Status(true))
    }

    const fn new(query: Query) -> Self {
        Self { query: Some(query) }
    }

    /// Returns the requested report.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] if the request is empty, invalid or of a kind unknown to this router.
    pub fn report(&self) -> Result<RequestedReport, Error> {
        match &self.query {
            Some(Query::Burn(window)) => Window::parse(window)
                .map(RequestedReport::Burn)
                .map_err(|error| protocol_error(&error)),
            Some(Query::Explain(id)) => RequestId::from_slice(id)
                .map(RequestedReport::Explain)
                .map_err(|error| protocol_error(&error)),
            Some(Query::Status(_)) => Ok(RequestedReport::Status),
            None => Err(protocol_error(&"an empty request for a report")),
        }
    }
}

/// A peer's reply to a [`ReportRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct ReportReply {
    #[prost(oneof = "Payload", tags = "1, 2, 3, 4")]
    payload: Option<Payload>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Payload {
    /// Burn statistics.
    #[prost(message, tag = "1")]
    Burn(MemberStats),
    /// An explanation in JSON; empty if the peer has none.
    #[prost(string, tag = "2")]
    Explanation(String),
    /// The peer's status in JSON.
    #[prost(string, tag = "3")]
    Status(String),
    /// The reason why there is no report.
    #[prost(string, tag = "4")]
    Failed(String),
}

impl ReportReply {
    /// Creates a reply with burn statistics.
    #[must_use]
    pub const fn burn(stats: MemberStats) -> Self {
        Self::new(Payload::Burn(stats))
    }

    /// Creates a reply with an explanation, or without one if there is none.
    #[must_use]
    pub fn explanation(explanation: Option<&Explanation>) -> Self {
        let json = explanation.and_then(|explanation| serde_json::to_string(explanation).ok());
        Self::new(Payload::Explanation(json.unwrap_or_default()))
    }

    /// Creates a reply with this router's status.
    #[must_use]
    pub fn status(status: &MemberStatus) -> Self {
        match serde_json::to_string(status) {
            Ok(json) => Self::new(Payload::Status(json)),
            Err(error) => Self::failed(&error),
        }
    }

    /// Creates a reply that the report could not be created.
    #[must_use]
    pub fn failed(reason: &impl std::fmt::Display) -> Self {
        Self::new(Payload::Failed(reason.to_string()))
    }

    const fn new(payload: Payload) -> Self {
        Self {
            payload: Some(payload),
        }
    }

    /// Returns the burn statistics of the reply.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] if the reply contains none, or contains invalid ones.
    pub fn into_burn(self) -> Result<MemberStats, Error> {
        match self.payload {
            Some(Payload::Burn(stats)) => stats.validate().map(|()| stats),
            other => Err(unexpected(other)),
        }
    }

    /// Returns the explanation of the reply, or `None` if the peer has none.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] if the reply is of another kind or cannot be parsed.
    pub fn into_explanation(self) -> Result<Option<Explanation>, Error> {
        match self.payload {
            Some(Payload::Explanation(json)) if json.is_empty() => Ok(None),
            Some(Payload::Explanation(json)) => serde_json::from_str(&json)
                .map(Some)
                .map_err(|error| protocol_error(&error)),
            other => Err(unexpected(other)),
        }
    }

    /// Returns the status of the reply.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] if the reply is of another kind or cannot be parsed.
    pub fn into_status(self) -> Result<MemberStatus, Error> {
        match self.payload {
            Some(Payload::Status(json)) => {
                serde_json::from_str(&json).map_err(|error| protocol_error(&error))
            }
            other => Err(unexpected(other)),
        }
    }
}

fn unexpected(payload: Option<Payload>) -> Error {
    match payload {
        Some(Payload::Failed(reason)) => protocol_error(&reason),
        _ => protocol_error(&"the peer answered with another report than asked for"),
    }
}

fn protocol_error(reason: &impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Protocol, reason.to_string())
}
