//! How long a router may act on its configuration without hearing from the platform.
//!
//! A key that was taken away must stop working within a bound, also at a router that can't reach the platform. So keys
//! count only for a while after the platform last confirmed the configuration, counted from the sending of the call that
//! confirmed it: what the platform acknowledged after that moment may be missing here. Counting from the answer was
//! rejected, because an answer may be on its way for as long as the bound itself.

use std::time::Duration;

/// Kept back from the bound for requests that were read late.
const KEY_MARGIN: Duration = Duration::from_millis(300);
/// The share of the bound after which a router no longer asks for new callers, which it might soon have to refuse.
const READY_SHARE: f64 = 0.6;
/// How long an unconfirmed configuration may still say that a route or key does not exist; a newer one may have it.
const DENIAL_LIFE: Duration = Duration::from_millis(2_500);

/// The bounds that freshness keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FreshnessBounds {
    /// The time after which a revoked key must not work anywhere; `None` where no such bound is in force.
    pub revocation: Option<Duration>,
}

/// What a router may still do by its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Freshness {
    /// The time since the configuration was known to be current.
    pub age: Duration,
    /// Whether requests with keys may run.
    pub allows_keys: bool,
    /// Whether an unknown route or key may be denied, rather than refused for now.
    pub allows_denials: bool,
    /// Whether new callers should come.
    pub is_ready: bool,
}

impl FreshnessBounds {
    /// Judges a configuration that was confirmed by a call sent at `confirmed_at`.
    #[must_use]
    pub(crate) fn judge(&self, confirmed_at: Duration, now: Duration) -> Freshness {
        let age = now.saturating_sub(confirmed_at);
        let within = |limit: Option<Duration>| limit.is_none_or(|limit| age < limit);
        Freshness {
            age,
            allows_keys: within(
                self.revocation
                    .map(|bound| bound.saturating_sub(KEY_MARGIN)),
            ),
            allows_denials: age < DENIAL_LIFE,
            is_ready: within(self.revocation.map(|bound| bound.mul_f64(READY_SHARE))),
        }
    }
}
