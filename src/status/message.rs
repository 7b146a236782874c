//! What a router asks its peers for on behalf of an operator, and what they answer.

use prost::{Message, Oneof};

use crate::burn::{MemberFigures, Window};
use crate::error::{Error, ErrorKind};
use crate::explain::Explanation;
use crate::id::RequestId;
use crate::status::MemberStatus;

/// Asks a peer for one report.
#[derive(Clone, PartialEq, Message)]
pub struct ReportRequest {
    #[prost(oneof = "Asked", tags = "1, 2, 3")]
    asked: Option<Asked>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Asked {
    /// The window of a burn report, by name.
    #[prost(string, tag = "1")]
    Burn(String),
    /// The request to explain.
    #[prost(bytes = "vec", tag = "2")]
    Explain(Vec<u8>),
    /// The peer's part of the status.
    #[prost(bool, tag = "3")]
    Status(bool),
}

/// What a [`ReportRequest`] asks for, once checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskedReport {
    /// Burn figures over a window.
    Burn(Window),
    /// What was done with a request.
    Explain(RequestId),
    /// The peer's part of the status.
    Status,
}

impl ReportRequest {
    /// Asks for burn figures over `window`.
    #[must_use]
    pub fn burn(window: Window) -> Self {
        Self::of(Asked::Burn(window.name().to_owned()))
    }

    /// Asks what was done with the request `id`.
    #[must_use]
    pub fn explain(id: RequestId) -> Self {
        Self::of(Asked::Explain(id.as_bytes().to_vec()))
    }

    /// Asks for the peer's part of the status.
    #[must_use]
    pub const fn status() -> Self {
        Self::of(Asked::Status(true))
    }

    const fn of(asked: Asked) -> Self {
        Self { asked: Some(asked) }
    }

    /// Returns what is asked for.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] where nothing is asked for that this router knows.
    pub fn report(&self) -> Result<AskedReport, Error> {
        match &self.asked {
            Some(Asked::Burn(window)) => Window::parse(window)
                .map(AskedReport::Burn)
                .map_err(|error| protocol(&error)),
            Some(Asked::Explain(id)) => RequestId::from_slice(id)
                .map(AskedReport::Explain)
                .map_err(|error| protocol(&error)),
            Some(Asked::Status(_)) => Ok(AskedReport::Status),
            None => Err(protocol(&"an empty request for a report")),
        }
    }
}

/// A peer's answer to a [`ReportRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct ReportReply {
    #[prost(oneof = "Told", tags = "1, 2, 3, 4")]
    told: Option<Told>,
}

#[derive(Clone, PartialEq, Oneof)]
enum Told {
    #[prost(message, tag = "1")]
    Burn(MemberFigures),
    /// An explanation in JSON; empty where the peer has none.
    #[prost(string, tag = "2")]
    Explanation(String),
    /// The peer's part of the status in JSON.
    #[prost(string, tag = "3")]
    Status(String),
    /// Why there is no report.
    #[prost(string, tag = "4")]
    Failed(String),
}

impl ReportReply {
    /// Answers with burn figures.
    #[must_use]
    pub const fn burn(figures: MemberFigures) -> Self {
        Self::of(Told::Burn(figures))
    }

    /// Answers with an explanation, or that there is none.
    #[must_use]
    pub fn explanation(explanation: Option<&Explanation>) -> Self {
        let json = explanation.and_then(|explanation| serde_json::to_string(explanation).ok());
        Self::of(Told::Explanation(json.unwrap_or_default()))
    }

    /// Answers with this router's part of the status.
    #[must_use]
    pub fn status(status: &MemberStatus) -> Self {
        match serde_json::to_string(status) {
            Ok(json) => Self::of(Told::Status(json)),
            Err(error) => Self::failed(&error),
        }
    }

    /// Answers that there is no report.
    #[must_use]
    pub fn failed(reason: &impl std::fmt::Display) -> Self {
        Self::of(Told::Failed(reason.to_string()))
    }

    const fn of(told: Told) -> Self {
        Self { told: Some(told) }
    }

    /// Takes the burn figures out.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] where the answer holds none, or figures that no router sends.
    pub fn into_burn(self) -> Result<MemberFigures, Error> {
        match self.told {
            Some(Told::Burn(figures)) => figures.check().map(|()| figures),
            other => Err(unexpected(other)),
        }
    }

    /// Takes the explanation out, or nothing where the peer has none.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] where the answer is of another kind or can't be read.
    pub fn into_explanation(self) -> Result<Option<Explanation>, Error> {
        match self.told {
            Some(Told::Explanation(json)) if json.is_empty() => Ok(None),
            Some(Told::Explanation(json)) => serde_json::from_str(&json)
                .map(Some)
                .map_err(|error| protocol(&error)),
            other => Err(unexpected(other)),
        }
    }

    /// Takes the status out.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] where the answer is of another kind or can't be read.
    pub fn into_status(self) -> Result<MemberStatus, Error> {
        match self.told {
            Some(Told::Status(json)) => {
                serde_json::from_str(&json).map_err(|error| protocol(&error))
            }
            other => Err(unexpected(other)),
        }
    }
}

fn unexpected(told: Option<Told>) -> Error {
    match told {
        Some(Told::Failed(reason)) => protocol(&reason),
        _ => protocol(&"the peer answered with another report than asked for"),
    }
}

fn protocol(reason: &impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::Protocol, reason.to_string())
}
