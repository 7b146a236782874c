//! Budgets of calls to the platform.
//!
//! The platform counts each call, a waiting watch as one, and its rates grow more slowly than the fleet. A router
//! therefore bounds its own rate of each kind of call, so that a fault of one router can't use up what all share.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The kinds of calls that the platform counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads and lists.
    Read,
    /// Writes and deletes.
    Write,
    /// Watches; each long poll counts once.
    Watch,
}

impl CallKind {
    /// Returns the label under which metrics show the kind.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Watch => "watch",
        }
    }
}

/// The rate and burst that one router allows itself for each kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetLimits {
    /// Reads per second.
    pub reads_per_second: f64,
    /// Reads at once after a quiet time.
    pub read_burst: f64,
    /// Writes per second.
    pub writes_per_second: f64,
    /// Writes at once after a quiet time.
    pub write_burst: f64,
    /// Watches begun per second.
    pub watches_per_second: f64,
    /// Watches begun at once after a quiet time.
    pub watch_burst: f64,
}

impl Default for BudgetLimits {
    fn default() -> Self {
        Self {
            reads_per_second: 20.0,
            read_burst: 2_000.0,
            writes_per_second: 20.0,
            write_burst: 200.0,
            watches_per_second: 1.0,
            watch_burst: 10.0,
        }
    }
}

/// The calls that a router has made and those that its budget refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads made.
    pub reads: u64,
    /// Writes made.
    pub writes: u64,
    /// Watches made.
    pub watches: u64,
    /// Calls refused because the budget was used up.
    pub refused: u64,
}

/// A token bucket for each kind of call.
#[derive(Clone, Debug)]
pub struct Budget {
    read: Bucket,
    write: Bucket,
    watch: Bucket,
    counts: CallCounts,
}

impl Budget {
    /// Makes full buckets.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            read: Bucket::new(limits.reads_per_second, limits.read_burst),
            write: Bucket::new(limits.writes_per_second, limits.write_burst),
            watch: Bucket::new(limits.watches_per_second, limits.watch_burst),
            counts: CallCounts::default(),
        }
    }

    /// Takes one call of `kind` out of the budget; false where it is used up.
    pub fn try_take(&mut self, kind: CallKind, now: Duration) -> bool {
        let bucket = match kind {
            CallKind::Read => &mut self.read,
            CallKind::Write => &mut self.write,
            CallKind::Watch => &mut self.watch,
        };
        let granted = bucket.try_take(now);
        self.count(kind, granted);
        granted
    }

    /// Returns the calls so far.
    #[must_use]
    pub const fn counts(&self) -> CallCounts {
        self.counts
    }

    fn count(&mut self, kind: CallKind, granted: bool) {
        let count = match (granted, kind) {
            (false, _) => &mut self.counts.refused,
            (true, CallKind::Read) => &mut self.counts.reads,
            (true, CallKind::Write) => &mut self.counts.writes,
            (true, CallKind::Watch) => &mut self.counts.watches,
        };
        *count += 1;
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    per_second: f64,
    burst: f64,
    level: f64,
    filled_at: Duration,
}

impl Bucket {
    const fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            level: burst,
            filled_at: Duration::ZERO,
        }
    }

    fn try_take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.level = (self.level + elapsed.as_secs_f64() * self.per_second).min(self.burst);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
