//! The openings that a router met most often.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::burn::TopK;

/// How many openings a router keeps.
const OPENINGS_KEPT: usize = 64;
/// After this time the counts begin anew, and the ones before are kept as the last ones.
const PERIOD: Duration = Duration::from_secs(300);

/// How often an opening was asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpeningHeat {
    /// The opening, by service, account and hash.
    pub opening: Arc<str>,
    /// The requests of the last five to ten minutes, which may be overstated for cold openings.
    pub requests: u64,
}

/// Counts openings over the last five to ten minutes in bounded memory.
#[derive(Debug)]
pub struct Heat {
    began: Duration,
    current: TopK,
    last: TopK,
}

impl Heat {
    /// Begins to count at `now`.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Self {
            began: now,
            current: TopK::new(OPENINGS_KEPT),
            last: TopK::new(OPENINGS_KEPT),
        }
    }

    /// Counts one request for `opening`.
    pub fn record(&mut self, opening: &Arc<str>, now: Duration) {
        self.turn(now);
        self.current.add(opening, 1);
    }

    /// Returns the hottest openings, at most `limit`.
    #[must_use]
    pub fn hottest(&self, limit: usize) -> Vec<OpeningHeat> {
        let mut joined = self.current.clone();
        joined.merge(&self.last);
        let heat = |heavy: crate::burn::Heavy| OpeningHeat {
            opening: heavy.name,
            requests: heavy.weight,
        };
        joined
            .heaviest()
            .into_iter()
            .take(limit)
            .map(heat)
            .collect()
    }

    fn turn(&mut self, now: Duration) {
        let age = now.saturating_sub(self.began);
        if age < PERIOD {
            return;
        }
        let current = std::mem::replace(&mut self.current, TopK::new(OPENINGS_KEPT));
        self.last = if age < PERIOD * 2 {
            current
        } else {
            TopK::new(OPENINGS_KEPT)
        };
        self.began = now;
    }
}
