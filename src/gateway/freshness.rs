//! Limits on how long a router may use its configuration without confirmation by the platform.
//!
//! A revoked key must stop working within a bound, even at a router that can't reach the platform. Keys are therefore
//! accepted only for a limited time after the platform last confirmed the configuration. That time starts when the
//! confirming call was sent, since changes that the platform acknowledged later may be missing from the answer.
//! Rejected: starting the time when the answer arrives, because the answer may be in transit for as long as the bound
//! itself.

use std::time::Duration;

/// Safety margin subtracted from the revocation bound, for requests that are read late.
const REVOCATION_MARGIN: Duration = Duration::from_millis(300);
/// The fraction of the revocation bound after which a router reports itself not ready, since it might soon have to
/// reject requests with keys.
const READY_FRACTION: f64 = 0.6;
/// How long an unconfirmed configuration may be used to deny unknown routes and keys; a newer one may contain them.
const MAX_DENIAL_AGE: Duration = Duration::from_millis(2_500);

/// The bounds that limit the use of an unconfirmed configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FreshnessBounds {
    /// The time after which a revoked key must be rejected everywhere; `None` if there is no such bound.
    pub revocation: Option<Duration>,
}

/// The uses that the age of a configuration still permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Freshness {
    /// The time since the configuration was known to be current.
    pub age: Duration,
    /// Whether requests with keys may run.
    pub allows_keys: bool,
    /// Whether unknown routes and keys may be denied for good rather than rejected temporarily.
    pub allows_denials: bool,
    /// Whether the router should receive new callers.
    pub is_ready: bool,
}

impl FreshnessBounds {
    /// Returns what a configuration permits at `now` if the call that confirmed it was sent at `confirmed_at`.
    #[must_use]
    pub(crate) fn evaluate(&self, confirmed_at: Duration, now: Duration) -> Freshness {
        let age = now.saturating_sub(confirmed_at);
        let within = |limit: Option<Duration>| limit.is_none_or(|limit| age < limit);
        Freshness {
            age,
            allows_keys: within(
                self.revocation
                    .map(|bound| bound.saturating_sub(REVOCATION_MARGIN)),
            ),
            allows_denials: age < MAX_DENIAL_AGE,
            is_ready: within(self.revocation.map(|bound| bound.mul_f64(READY_FRACTION))),
        }
    }
}
