//! Back-off with jitter between attempts at the platform.
//!
//! Full jitter over an exponential ceiling, because a fleet that loses the platform at one moment would otherwise come
//! back at one moment as well.

use std::time::Duration;

use rand::{Rng, RngExt};

/// The ceiling of the first pause.
const FIRST_CEILING: Duration = Duration::from_millis(50);
/// The ceiling that no pause passes.
const LAST_CEILING: Duration = Duration::from_secs(10);

/// Counts failed attempts and gives the pause before the next one.
#[derive(Clone, Debug)]
pub struct Backoff {
    failures: u32,
    first_ceiling: Duration,
    last_ceiling: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self::new()
    }
}

impl Backoff {
    /// Makes a back-off without failures.
    #[must_use]
    pub const fn new() -> Self {
        Self::with_ceilings(FIRST_CEILING, LAST_CEILING)
    }

    /// Makes a back-off whose first pause is at most `first_ceiling` and whose last ones are at most `last_ceiling`.
    #[must_use]
    pub const fn with_ceilings(first_ceiling: Duration, last_ceiling: Duration) -> Self {
        Self {
            failures: 0,
            first_ceiling,
            last_ceiling,
        }
    }

    /// Notes one more failed attempt and returns how long to wait before the next.
    pub fn next_pause(&mut self, rng: &mut impl Rng) -> Duration {
        let doublings = self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let ceiling = self
            .first_ceiling
            .saturating_mul(1 << doublings)
            .min(self.last_ceiling);
        ceiling.mul_f64(rng.random_range(0.5..1.0))
    }

    /// Forgets the failures after an attempt that worked.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the failed attempts since the last one that worked.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }
}
