//! The figures that one router sends to another for a burn report.

use prost::Message;

use crate::burn::{MAX_SERVICES, Tally, Window};
use crate::error::{Error, ErrorKind};

/// The longest encoded answer that a router takes from a member, in bytes.
const MAX_FIGURES_BYTES: usize = 4 << 20;
/// The longest name that a member may send, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// All figures of one member.
#[derive(Clone, PartialEq, Message)]
pub struct MemberFigures {
    /// How long the member has counted, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub held_ms: u64,
    /// The figures of each service.
    #[prost(message, repeated, tag = "2")]
    pub services: Vec<ServiceFigures>,
}

/// The figures of one service at one member.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceFigures {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The counts over each window, in the order of [`Window::ALL`].
    #[prost(message, repeated, tag = "2")]
    pub windows: Vec<TallyFigures>,
    /// The counts of each slice of the asked window, youngest first.
    #[prost(message, repeated, tag = "3")]
    pub series: Vec<TallyFigures>,
    /// Times to first token over the asked window.
    #[prost(message, optional, tag = "4")]
    pub ttft: Option<HistogramFigures>,
    /// Times between tokens over the asked window.
    #[prost(message, optional, tag = "5")]
    pub token_interval: Option<HistogramFigures>,
    /// Who caused the bad events over the asked window, in the order of
    /// [`ObjectiveKind::ALL`](crate::burn::ObjectiveKind::ALL).
    #[prost(message, repeated, tag = "6")]
    pub burners: Vec<ObjectiveBurners>,
}

/// A [`Tally`] on the wire.
#[derive(Clone, PartialEq, Message)]
pub struct TallyFigures {
    /// The requests that any objective counts.
    #[prost(uint64, tag = "1")]
    pub requests: u64,
    /// The good events of each objective.
    #[prost(uint64, repeated, tag = "2")]
    pub good: Vec<u64>,
    /// The bad events of each objective.
    #[prost(uint64, repeated, tag = "3")]
    pub bad: Vec<u64>,
}

/// A sparse histogram: how often each latency was seen.
#[derive(Clone, PartialEq, Message)]
pub struct HistogramFigures {
    /// The latencies in milliseconds.
    #[prost(uint64, repeated, tag = "1")]
    pub values_ms: Vec<u64>,
    /// How often each was seen.
    #[prost(uint32, repeated, tag = "2")]
    pub counts: Vec<u32>,
}

/// Who caused the bad events of one objective, heaviest first.
#[derive(Clone, PartialEq, Message)]
pub struct ObjectiveBurners {
    /// The client accounts.
    #[prost(message, repeated, tag = "1")]
    pub accounts: Vec<BurnerFigure>,
    /// The replicas.
    #[prost(message, repeated, tag = "2")]
    pub replicas: Vec<BurnerFigure>,
    /// The availability zones.
    #[prost(message, repeated, tag = "3")]
    pub zones: Vec<BurnerFigure>,
}

/// One name and the bad events it caused.
#[derive(Clone, PartialEq, Message)]
pub struct BurnerFigure {
    /// The name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// At least the bad events that it caused.
    #[prost(uint64, tag = "2")]
    pub weight: u64,
    /// How many of them may belong to others.
    #[prost(uint64, tag = "3")]
    pub error: u64,
}

impl MemberFigures {
    /// Encodes the figures for another router.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes what a member sent.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] where the bytes are too many, do not decode or hold more than a router sends.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_FIGURES_BYTES {
            return Err(protocol(format!("{} bytes of burn figures", bytes.len())));
        }
        let figures = Self::decode(bytes).map_err(|error| protocol(error.to_string()))?;
        figures.check()?;
        Ok(figures)
    }

    /// Checks that the figures are no more than a router sends.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] otherwise.
    pub(crate) fn check(&self) -> Result<(), Error> {
        if self.services.len() > MAX_SERVICES {
            return Err(protocol(format!(
                "burn figures of {} services",
                self.services.len()
            )));
        }
        self.services.iter().try_for_each(ServiceFigures::check)
    }
}

impl ServiceFigures {
    fn check(&self) -> Result<(), Error> {
        if self.service.len() > MAX_NAME_BYTES {
            return Err(protocol("a service's name is too long"));
        }
        if self.windows.len() != Window::ALL.len() {
            return Err(protocol(format!(
                "burn figures over {} windows",
                self.windows.len()
            )));
        }
        Ok(())
    }
}

fn protocol(message: impl Into<String>) -> Error {
    Error::new(ErrorKind::Protocol, message)
}

impl From<&Tally> for TallyFigures {
    fn from(tally: &Tally) -> Self {
        if tally.requests == 0 {
            return Self::default();
        }
        Self {
            requests: tally.requests,
            good: tally.good.to_vec(),
            bad: tally.bad.to_vec(),
        }
    }
}

impl From<&TallyFigures> for Tally {
    fn from(figures: &TallyFigures) -> Self {
        let at = |list: &[u64], index: usize| list.get(index).copied().unwrap_or(0);
        Self {
            requests: figures.requests,
            good: std::array::from_fn(|index| at(&figures.good, index)),
            bad: std::array::from_fn(|index| at(&figures.bad, index)),
        }
    }
}
