//! The names of the headers that a deployment uses.
//!
//! The gateway decides what a header says; how it is spelled is the deployment's matter. An adapter fills in a
//! [`Dialect`], and nothing else in the gateway knows a header by name.

use http::header::{HeaderMap, HeaderName};

/// The headers between callers, the gateway and replicas.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Identifies one attempt of a caller; echoed in answers.
    pub request_id: HeaderName,
    /// The milliseconds that the sender will wait.
    pub deadline_ms: HeaderName,
    /// The caller's key.
    pub caller_key: HeaderName,
    /// Tells a replica the client account.
    pub account: HeaderName,
    /// Names the replica that alone may run the request.
    pub expected_replica: HeaderName,
    /// Names the replica that answers.
    pub replica: HeaderName,
    /// Names the weights version that alone may run the request.
    pub expected_weights: HeaderName,
    /// The weights version of an answer.
    pub weights: HeaderName,
    /// Marks an answer of a replica that did not run the request.
    pub not_run: HeaderName,
    /// The replica's proof that an answer is its own.
    pub signature: HeaderName,
    /// The model that a request is for.
    pub model: HeaderName,
    /// The number of prompt tokens, and the most output tokens.
    pub token_counts: HeaderName,
    /// The parts of the prompt, each with its tokens.
    pub parts: HeaderName,
    /// Keeps cache entries apart.
    pub cache_scope: HeaderName,
    /// Where a replica may fetch cache entries.
    pub fetch_from: HeaderName,
    /// Where a replica shall save cache entries.
    pub save_to: HeaderName,
    /// The request's rank at a replica.
    pub priority: HeaderName,
    /// The last event that a caller has of a resumed stream.
    pub last_event_id: HeaderName,
    /// Headers that only the gateway may set; a caller's own are dropped.
    pub reserved: Vec<HeaderName>,
}

impl Dialect {
    /// Tells whether a caller's header is passed on to replicas.
    #[must_use]
    pub fn is_passed_on(&self, name: &HeaderName) -> bool {
        let is_ours =
            *name == self.caller_key || *name == self.deadline_ms || self.reserved.contains(name);
        !is_ours && !is_hop_by_hop(name)
    }
}

/// Tells whether a header concerns one connection only (RFC 9110, section 7.6.1).
#[must_use]
pub(crate) fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "expect"
    )
}

/// Returns a header's value as text; `None` where it is missing or no text.
#[must_use]
pub(crate) fn text_of<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the names that the `Connection` header lists, which concern one connection only.
pub(crate) fn listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(http::header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect()
}
