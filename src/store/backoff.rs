//! Exponential backoff with jitter for calls to the platform.
//!
//! Each delay is drawn from the upper half of an exponentially growing ceiling. Without jitter, routers that lose the
//! platform at the same moment would also retry at the same moment.

use std::time::Duration;

use rand::{Rng, RngExt};

/// The maximum of the first delay.
const FIRST_MAX_DELAY: Duration = Duration::from_millis(50);
/// The maximum of any delay.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Computes the delay before the next attempt from the number of failed attempts.
#[derive(Clone, Debug)]
pub struct Backoff {
    failures: u32,
    first_max_delay: Duration,
    max_delay: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}

impl Backoff {
    /// Creates a backoff with the default delays and no failures.
    #[must_use]
    pub const fn new() -> Self {
        Self::with_max_delays(FIRST_MAX_DELAY, MAX_DELAY)
    }

    /// Creates a backoff whose first delay is at most `first_max_delay` and whose other delays are at most `max_delay`.
    #[must_use]
    pub const fn with_max_delays(first_max_delay: Duration, max_delay: Duration) -> Self {
        Self {
            failures: 0,
            first_max_delay,
            max_delay,
        }
    }

    /// Records a failed attempt and returns the delay before the next one.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let doublings = self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let ceiling = self
            .first_max_delay
            .saturating_mul(1 << doublings)
            .min(self.max_delay);
        ceiling.mul_f64(rng.random_range(0.5..1.0))
    }

    /// Resets the number of failures after a successful attempt.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failed attempts since the last successful one.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}
