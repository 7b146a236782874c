//! The messages between a router and the owner of an account.

/// A request for tokens of an account.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct QuotaRequest {
    /// The key of the account.
    #[prost(fixed64, tag = "1")]
    pub(crate) account: u64,
    /// The rate per second in the requester's configuration, which applies if the owner does not know the account.
    #[prost(float, tag = "2")]
    pub(crate) rate_per_s: f32,
    /// The burst in the requester's configuration.
    #[prost(float, tag = "3")]
    pub(crate) burst: f32,
    /// The cost of each waiting request, in order of arrival.
    #[prost(uint32, repeated, tag = "4")]
    pub(crate) costs: Vec<u32>,
    /// The tokens requested for requests that are expected.
    #[prost(uint32, tag = "5")]
    pub(crate) ahead: u32,
    /// The tokens of sends that have run without being granted.
    #[prost(uint64, tag = "6")]
    pub(crate) charged: u64,
    /// The tokens that the requester granted itself while the owner did not answer.
    #[prost(uint64, tag = "7")]
    pub(crate) local: u64,
    /// How long ago the owner stopped answering, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub(crate) local_age_ms: u32,
}

/// The reply to a [`QuotaRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct QuotaReply {
    /// The granted tokens, including those for expected requests.
    #[prost(uint64, tag = "1")]
    pub(crate) granted: u64,
    /// When each of the waiting requests may be repeated, in milliseconds; 0 if its cost was granted. Empty if all were.
    #[prost(uint32, repeated, tag = "2")]
    pub(crate) retry_after_ms: Vec<u32>,
    /// Whether the receiver of the request is not the owner of the account, and granted nothing for that reason.
    #[prost(bool, tag = "3")]
    pub(crate) is_not_owner: bool,
}
