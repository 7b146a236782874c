//! The names of the HTTP headers of a deployment.
//!
//! The gateway defines the meaning of each header and the deployment defines its name. An adapter provides
//! [`HeaderNames`]; no other part of the gateway contains names of these headers.

use http::header::{HeaderMap, HeaderName};

/// The names of the headers between callers, the gateway and replicas.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; echoed in responses.
    pub request_id: HeaderName,
    /// How long the sender waits for the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// The API key of the caller.
    pub caller_key: HeaderName,
    /// The client account, sent to the replica.
    pub account: HeaderName,
    /// The only replica that may run the request.
    pub expected_replica: HeaderName,
    /// The replica that responded.
    pub replica: HeaderName,
    /// The only weights version that may run the request.
    pub expected_weights: HeaderName,
    /// The weights version that a response was generated with.
    pub weights: HeaderName,
    /// Marks the response of a replica that did not run the request.
    pub not_run: HeaderName,
    /// Says in any response of a replica that the replica is leaving.
    pub leaving: HeaderName,
    /// The requests per second that a replica takes from all routers together, for as long as its responses say so.
    pub limit: HeaderName,
    /// The replica's signature, which proves that it produced the response.
    pub signature: HeaderName,
    /// The model that a request is for.
    pub model: HeaderName,
    /// The number of prompt tokens and the maximum number of output tokens.
    pub token_counts: HeaderName,
    /// The parts of the prompt with the token count of each.
    pub parts: HeaderName,
    /// The scope that isolates cache entries from each other.
    pub cache_scope: HeaderName,
    /// The address that a replica may fetch cache entries from.
    pub fetch_from: HeaderName,
    /// The address that a replica should save cache entries to.
    pub save_to: HeaderName,
    /// The priority of the request at a replica.
    pub priority: HeaderName,
    /// The last event that the caller received of a resumed stream.
    pub last_event_id: HeaderName,
    /// The attempt that brought the first event of a stream that the caller takes up again.
    pub resumes: HeaderName,
    /// Headers that only the gateway may set; those sent by callers are dropped.
    pub reserved: Vec<HeaderName>,
}

impl HeaderNames {
    /// Returns whether a header of a caller is forwarded to replicas.
    #[must_use]
    pub fn is_forwarded(&self, name: &HeaderName) -> bool {
        let is_ours =
            *name == self.caller_key || *name == self.deadline_ms || self.reserved.contains(name);
        !is_ours && !is_hop_by_hop(name)
    }
}

/// Returns whether a header is hop-by-hop (RFC 9110, section 7.6.1).
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

/// Returns the value of a header as text; `None` if it is absent or not visible ASCII.
#[must_use]
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the header names listed in `Connection` headers, which are hop-by-hop.
pub(crate) fn connection_header_names(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(http::header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect()
}
