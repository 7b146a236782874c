//! A router's automatic repairs and their evidence.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The maximum number of repairs that a router keeps.
const MAX_REPAIRS: usize = 64;
/// The maximum length of each text of a repair, in bytes.
const MAX_TEXT_BYTES: usize = 240;

/// An automatic repair made by a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repair {
    /// The time of the repair, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The part of the router that made it; also the prefix of its log lines.
    pub part: Arc<str>,
    /// The action taken, in one sentence.
    pub action: Arc<str>,
    /// The evidence for the action.
    pub evidence: Arc<str>,
}

/// The most recent repairs of one router.
#[derive(Debug, Default)]
pub struct Repairs {
    latest: VecDeque<Repair>,
}

impl Repairs {
    /// Records a repair and removes the oldest one if the limit is reached.
    pub fn push(&mut self, part: &str, action: &str, evidence: &str, unix_now: Duration) {
        if self.latest.len() >= MAX_REPAIRS {
            self.latest.pop_front();
        }
        self.latest.push_back(Repair {
            unix_ms: u64::try_from(unix_now.as_millis()).unwrap_or(u64::MAX),
            part: truncate(part).into(),
            action: truncate(action).into(),
            evidence: truncate(evidence).into(),
        });
    }

    /// Returns the repairs, newest first.
    #[must_use]
    pub fn latest(&self) -> Vec<Repair> {
        self.latest.iter().rev().cloned().collect()
    }
}

fn truncate(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}
