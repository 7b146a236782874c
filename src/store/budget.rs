//! Client-side rate limits for calls to the platform.
//!
//! The platform limits the rate of calls, counting each long poll as one call, and its limits grow more slowly than the
//! fleet. Each router therefore limits its own rate of each kind of call, so that a faulty router can't exhaust the
//! quota that all routers share.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The kinds of calls that the platform counts separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads and lists.
    Read,
    /// Writes and deletes.
    Write,
    /// Watches; each long poll counts as one call.
    Watch,
}

impl CallKind {
    /// Returns the metric label of this kind.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Watch => "watch",
        }
    }
}

/// The rate and burst limits of one router for each kind of call.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BudgetLimits {
    /// Reads per second.
    pub reads_per_second: f64,
    /// The burst size for reads.
    pub read_burst: f64,
    /// Writes per second.
    pub writes_per_second: f64,
    /// The burst size for writes.
    pub write_burst: f64,
    /// Watches started per second.
    pub watches_per_second: f64,
    /// The burst size for watches.
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

/// The number of calls that a router has made, and of those rejected by its budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads made.
    pub reads: u64,
    /// Writes made.
    pub writes: u64,
    /// Watches made.
    pub watches: u64,
    /// Calls rejected because the budget was exhausted.
    pub refused: u64,
}

/// The call budget of a router, with one token bucket for each kind of call.
#[derive(Clone, Debug)]
pub struct CallBudget {
    read: TokenBucket,
    write: TokenBucket,
    watch: TokenBucket,
    counts: CallCounts,
}

impl CallBudget {
    /// Creates a budget whose buckets are full.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            read: TokenBucket::new(limits.reads_per_second, limits.read_burst),
            write: TokenBucket::new(limits.writes_per_second, limits.write_burst),
            watch: TokenBucket::new(limits.watches_per_second, limits.watch_burst),
            counts: CallCounts::default(),
        }
    }

    /// Takes one call of `kind` from the budget and returns whether it is allowed.
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

    /// Returns the number of calls so far.
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
struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    const fn new(per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            tokens: burst,
            refilled_at: Duration::ZERO,
        }
    }

    fn try_take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.per_second).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
