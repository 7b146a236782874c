//! The messages by which a router asks another one to connect to a replica for it.

/// The wire format of a request for a connection to a replica.
///
/// The replica is named and not addressed: a router connects only to addresses that it has read itself.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct ConnectRequest {
    /// The ID of the replica.
    #[prost(string, tag = "1")]
    pub(crate) replica: String,
    /// The start time of the replica, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub(crate) born_ms: u64,
}

/// What became of a request for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum ConnectOutcome {
    /// The outcome is not known to this version.
    Unknown = 0,
    /// The connection is open, and carries the replica's bytes from now on.
    Connected = 1,
    /// The replica refused the connection or reset it.
    Refused = 2,
    /// The replica did not answer in time.
    TimedOut = 3,
    /// The router does not know the replica.
    NoReplica = 4,
    /// The router relays as many connections as it can.
    Full = 5,
    /// The router is shutting down.
    Leaving = 6,
    /// The router reaches no replica itself.
    CutOff = 7,
}

/// The wire format of the reply to a [`ConnectRequest`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct ConnectReply {
    /// The outcome.
    #[prost(enumeration = "ConnectOutcome", tag = "1")]
    pub(crate) outcome: i32,
}

impl ConnectOutcome {
    /// Returns the value of the metric label.
    pub(crate) const fn label(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Connected => "connected",
            Self::Refused => "refused",
            Self::TimedOut => "timed_out",
            Self::NoReplica => "no_replica",
            Self::Full => "full",
            Self::Leaving => "leaving",
            Self::CutOff => "cut_off",
        }
    }
}
