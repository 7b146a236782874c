//! The prompt prefixes that a router received most often.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::burn::TopK;

/// The maximum number of prefixes that a router counts per period.
const MAX_PREFIXES: usize = 64;
/// The length of a counting period. The counts of the current and the previous period are kept.
const PERIOD: Duration = Duration::from_secs(300);

/// A prompt prefix and its number of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotPrefix {
    /// The name of the prefix: service, account and hash.
    pub opening: Arc<str>,
    /// The number of requests in the last five to ten minutes, which may be overestimated for rare prefixes.
    pub requests: u64,
}

/// Counts the requests for each prefix over the last five to ten minutes in bounded memory.
#[derive(Debug)]
pub struct HotPrefixes {
    period_start: Duration,
    current: TopK,
    previous: TopK,
}

impl HotPrefixes {
    /// Creates counters whose first period starts at `now`.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Self {
            period_start: now,
            current: TopK::new(MAX_PREFIXES),
            previous: TopK::new(MAX_PREFIXES),
        }
    }

    /// Counts one request for the prefix named `prefix`.
    pub fn record(&mut self, prefix: &Arc<str>, now: Duration) {
        self.rotate(now);
        self.current.add(prefix, 1);
    }

    /// Returns up to `limit` of the most requested prefixes, in descending order of requests.
    #[must_use]
    pub fn hottest(&self, limit: usize) -> Vec<HotPrefix> {
        let mut merged = self.current.clone();
        merged.merge(&self.previous);
        let hot_prefix = |hitter: crate::burn::HeavyHitter| HotPrefix {
            opening: hitter.name,
            requests: hitter.weight,
        };
        merged
            .top()
            .into_iter()
            .take(limit)
            .map(hot_prefix)
            .collect()
    }

    /// Starts a new period if the current one has ended.
    fn rotate(&mut self, now: Duration) {
        let age = now.saturating_sub(self.period_start);
        if age < PERIOD {
            return;
        }
        let current = std::mem::replace(&mut self.current, TopK::new(MAX_PREFIXES));
        self.previous = if age < PERIOD * 2 {
            current
        } else {
            TopK::new(MAX_PREFIXES)
        };
        self.period_start = now;
    }
}
