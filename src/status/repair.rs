//! What a router repaired, and on which evidence.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How many repairs a router keeps.
const REPAIRS_KEPT: usize = 64;
/// The longest text of a repair, in bytes.
const MAX_TEXT_BYTES: usize = 240;

/// One thing that a router put right by itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repair {
    /// When, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The part that did it, as the prefix of its log lines.
    pub part: Arc<str>,
    /// What was done, in one sentence.
    pub action: Arc<str>,
    /// What it rests on.
    pub evidence: Arc<str>,
}

/// The latest repairs of one router.
#[derive(Debug, Default)]
pub struct Repairs {
    latest: VecDeque<Repair>,
}

impl Repairs {
    /// Keeps a repair, in place of the oldest if there are many.
    pub fn push(&mut self, part: &str, action: &str, evidence: &str, unix_now: Duration) {
        if self.latest.len() >= REPAIRS_KEPT {
            self.latest.pop_front();
        }
        self.latest.push_back(Repair {
            unix_ms: u64::try_from(unix_now.as_millis()).unwrap_or(u64::MAX),
            part: cut(part).into(),
            action: cut(action).into(),
            evidence: cut(evidence).into(),
        });
    }

    /// Returns the repairs, latest first.
    #[must_use]
    pub fn latest(&self) -> Vec<Repair> {
        self.latest.iter().rev().cloned().collect()
    }
}

fn cut(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}
