//! The statistics that a router sends to another router for a burn report.

use prost::Message;

use crate::burn::{EventCounts, MAX_SERVICES, Window};
use crate::error::{Error, ErrorKind};

/// The maximum size of encoded statistics accepted from a member, in bytes.
const MAX_STATS_BYTES: usize = 4 << 20;
/// The maximum length of a service name accepted from a member, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// The statistics of one member.
#[derive(Clone, PartialEq, Message)]
pub struct MemberStats {
    /// The time for which the member has been counting, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub recorded_ms: u64,
    /// The statistics of each service.
    #[prost(message, repeated, tag = "2")]
    pub services: Vec<ServiceStats>,
}

/// The statistics of one service at one member.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceStats {
    /// The name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The counts over each window, in the order of [`Window::ALL`].
    #[prost(message, repeated, tag = "2")]
    pub windows: Vec<CountsMessage>,
    /// The counts of each time slice of the requested window, newest first.
    #[prost(message, repeated, tag = "3")]
    pub series: Vec<CountsMessage>,
    /// The times to first token over the requested window.
    #[prost(message, optional, tag = "4")]
    pub ttft: Option<HistogramMessage>,
    /// The mean times between tokens over the requested window.
    #[prost(message, optional, tag = "5")]
    pub token_interval: Option<HistogramMessage>,
    /// The top contributors to the bad events of each objective over the requested window, in the order of
    /// [`ObjectiveKind::ALL`](crate::burn::ObjectiveKind::ALL).
    #[prost(message, repeated, tag = "6")]
    pub contributors: Vec<ContributorsMessage>,
}

/// The wire format of [`EventCounts`].
#[derive(Clone, PartialEq, Message)]
pub struct CountsMessage {
    /// The number of requests that any objective counts.
    #[prost(uint64, tag = "1")]
    pub requests: u64,
    /// The number of good events of each objective.
    #[prost(uint64, repeated, tag = "2")]
    pub good: Vec<u64>,
    /// The number of bad events of each objective.
    #[prost(uint64, repeated, tag = "3")]
    pub bad: Vec<u64>,
}

/// A sparse latency histogram.
#[derive(Clone, PartialEq, Message)]
pub struct HistogramMessage {
    /// The latencies in milliseconds.
    #[prost(uint64, repeated, tag = "1")]
    pub values_ms: Vec<u64>,
    /// The number of occurrences of each latency, in the order of `values_ms`.
    #[prost(uint32, repeated, tag = "2")]
    pub counts: Vec<u32>,
}

/// The top contributors to the bad events of one objective, in descending order of weight.
#[derive(Clone, PartialEq, Message)]
pub struct ContributorsMessage {
    /// The client accounts.
    #[prost(message, repeated, tag = "1")]
    pub accounts: Vec<ContributorMessage>,
    /// The replicas.
    #[prost(message, repeated, tag = "2")]
    pub replicas: Vec<ContributorMessage>,
    /// The availability zones.
    #[prost(message, repeated, tag = "3")]
    pub zones: Vec<ContributorMessage>,
}

/// A contributor and the number of bad events that it caused.
#[derive(Clone, PartialEq, Message)]
pub struct ContributorMessage {
    /// The name of the account, replica or zone.
    #[prost(string, tag = "1")]
    pub name: String,
    /// An upper bound of the number of bad events that it caused.
    #[prost(uint64, tag = "2")]
    pub weight: u64,
    /// The maximum overestimate: at least `weight - error` events belong to this name.
    #[prost(uint64, tag = "3")]
    pub error: u64,
}

impl MemberStats {
    /// Encodes the statistics for another router.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode_to_vec()
    }

    /// Decodes statistics received from a member.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] if the input is too long, cannot be decoded, or contains more than a router
    /// sends.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > MAX_STATS_BYTES {
            return Err(protocol_error(format!(
                "{} bytes of burn figures",
                bytes.len()
            )));
        }
        let stats = Self::decode(bytes).map_err(|error| protocol_error(error.to_string()))?;
        stats.validate()?;
        Ok(stats)
    }

    /// Checks that the statistics are within the limits of what a router sends.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] if there are too many services, a service name is too long, or the number of
    /// windows is wrong.
    pub(crate) fn validate(&self) -> Result<(), Error> {
        if self.services.len() > MAX_SERVICES {
            return Err(protocol_error(format!(
                "burn figures of {} services",
                self.services.len()
            )));
        }
        self.services.iter().try_for_each(ServiceStats::validate)
    }
}

impl ServiceStats {
    fn validate(&self) -> Result<(), Error> {
        if self.service.len() > MAX_NAME_BYTES {
            return Err(protocol_error("a service's name is too long"));
        }
        if self.windows.len() != Window::ALL.len() {
            return Err(protocol_error(format!(
                "burn figures over {} windows",
                self.windows.len()
            )));
        }
        Ok(())
    }
}

fn protocol_error(message: impl Into<String>) -> Error {
    Error::new(ErrorKind::Protocol, message)
}

impl From<&EventCounts> for CountsMessage {
    fn from(counts: &EventCounts) -> Self {
        if counts.requests == 0 {
            return Self::default();
        }
        Self {
            requests: counts.requests,
            good: counts.good.to_vec(),
            bad: counts.bad.to_vec(),
        }
    }
}

impl From<&CountsMessage> for EventCounts {
    fn from(message: &CountsMessage) -> Self {
        let at = |list: &[u64], index: usize| list.get(index).copied().unwrap_or(0);
        Self {
            requests: message.requests,
            good: std::array::from_fn(|index| at(&message.good, index)),
            bad: std::array::from_fn(|index| at(&message.bad, index)),
        }
    }
}
