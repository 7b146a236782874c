//! The parts of prompts under which this router recently relayed answers.
//!
//! A crash makes all parts of a prompt suspects, most of which other requests have too. The router that kept an answer
//! under one of them need not have seen the crash, so each remembers its own and says so when it learns of a crash.
//! Unlike [`super::quarantine`], this is written with every answer and holds only times.

use std::collections::HashMap;
use std::time::Duration;

use super::quarantine::SuspectKey;

/// How long a kept answer is remembered.
const KEPT_TTL: Duration = Duration::from_mins(2);
/// The number of parts above which older halves of the memory are dropped.
const MAX_PARTS: usize = 16_384;

/// The last kept answer under each recent part.
#[derive(Debug, Default)]
pub(crate) struct KeptParts {
    kept: HashMap<SuspectKey, Duration>,
}

impl KeptParts {
    /// Records that an answer under `part` went on at `now`.
    pub(crate) fn record(&mut self, part: SuspectKey, now: Duration) {
        if self.kept.len() >= MAX_PARTS && !self.kept.contains_key(&part) {
            let mut ttl = KEPT_TTL;
            while self.kept.len() >= MAX_PARTS {
                self.kept.retain(|_, at| now < *at + ttl);
                ttl /= 2;
            }
        }
        self.kept.insert(part, now);
    }

    /// Returns the last kept answer under `part`, unless it is long ago.
    pub(crate) fn last(&self, part: SuspectKey, now: Duration) -> Option<Duration> {
        self.kept
            .get(&part)
            .copied()
            .filter(|at| now < *at + KEPT_TTL)
    }
}
