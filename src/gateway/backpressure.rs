//! Reads from the head of any response what a replica asks of this router: to send nothing more, nothing for a time, or,
//! with all other routers together, no more than a rate.
//!
//! A replica that leaves says so in all of its responses, and an overloaded one may name the time for which it wants no
//! requests. Both take effect with the response that says so: the platform's list shows a departure up to seconds later,
//! and never shows an overload. See docs/design/gateway.md.
//!
//! Load patterns handled: a release that replaces replica after replica while the platform's store is unreachable; a
//! full service whose replicas reject requests faster than they run them.

use std::time::Duration;

use http::StatusCode;
use http::header::{HeaderMap, RETRY_AFTER};

use super::headers::{HeaderNames, header_text};
use super::replica_limit::NamedLimit;

/// The longest retry delay that is honoured; a longer one would exclude a replica for the rest of its life.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(300);
/// The value of the header by which a replica says that it leaves.
const LEAVING: &str = "1";

/// What a replica asks of this router.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Backpressure {
    /// Whether the replica is leaving and must get no new requests.
    pub(crate) is_leaving: bool,
    /// The time for which the replica wants no requests.
    pub(crate) retry_after: Option<Duration>,
    /// The rate that the replica takes from all routers together.
    pub(crate) limit: NamedLimit,
}

impl Backpressure {
    /// Reads the head of a response.
    pub(crate) fn of_response(
        status: StatusCode,
        headers: &HeaderMap,
        names: &HeaderNames,
    ) -> Self {
        let is_leaving =
            header_text(headers, &names.leaving).is_some_and(|value| value.trim() == LEAVING);
        let retry_after = header_text(headers, &RETRY_AFTER)
            .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
            .and_then(parse_retry_after);
        Self {
            is_leaving,
            retry_after,
            limit: NamedLimit::of_headers(headers, &names.limit),
        }
    }
}

/// Parses a delay in seconds, which may have a fraction, and limits it to five minutes.
///
/// Returns `None` for a negative delay, for one that is not a number, and for a date, since the clocks of VMs differ.
pub(crate) fn parse_retry_after(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    if seconds.is_nan() || seconds <= 0.0 {
        return None;
    }
    Some(Duration::from_secs_f64(
        seconds.min(MAX_RETRY_AFTER.as_secs_f64()),
    ))
}
