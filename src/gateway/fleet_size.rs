//! The number of routers by which shared budgets are divided.
//!
//! Each router uses its share of the retry slack that all routers have together. A router that starts knows no other
//! one yet, and one that is partitioned from the others believes that they have failed; either would take the whole
//! slack. The largest number seen recently therefore counts.
//!
//! Load pattern handled: many routers restart or are cut off at once while replicas reject requests, so that all of them
//! retry.

use std::time::Duration;

/// How long a larger number of routers is remembered; longer than the window of the retry budget and than a partition
/// usually lasts.
const MEMORY: Duration = Duration::from_secs(30);

/// The largest number of routers seen recently.
#[derive(Debug, Default)]
pub(crate) struct FleetSize {
    largest: usize,
    seen_at: Duration,
}

impl FleetSize {
    /// Records the number of routers at `now` and returns the largest one of the last 30 seconds; at least 1.
    pub(crate) fn observe(&mut self, routers: usize, now: Duration) -> usize {
        if routers >= self.largest || now >= self.seen_at + MEMORY {
            self.largest = routers;
            self.seen_at = now;
        }
        self.largest.max(1)
    }
}
