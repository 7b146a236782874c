//! Decides whether to import a prefix from the shared KV store or export it there, within the rate limit of
//! the store.

use std::time::Duration;

use crate::pool::KvStore;

/// The time for which the token bucket accumulates the store's rate.
const BURST_WINDOW: Duration = Duration::from_secs(1);
/// The expected latency until an import delivers the first tokens.
const IMPORT_LATENCY: Duration = Duration::from_millis(10);
/// The request rate from which a prefix is worth storing.
const MIN_EXPORT_REQUESTS_PER_SECOND: f64 = 0.5;

/// How to obtain the part of a prefix that is not cached at the chosen replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvStorePlan {
    /// Recompute it.
    Recompute,
    /// Order the engine to import this number of tokens first.
    Import {
        /// The number of tokens to import.
        tokens: u32,
    },
}

/// A token bucket for this router's share of the store's total rate.
#[derive(Clone, Debug)]
pub struct KvStoreBudget {
    import_tokens_per_second: f64,
    tokens_per_second: f64,
    available_tokens: f64,
    refilled_at: Duration,
}

impl KvStoreBudget {
    /// Creates the budget of one of `routers` routers that share the store.
    #[must_use]
    pub fn new(store: &KvStore, routers: usize, now: Duration) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "the router count is small")]
        let share = store.total_tokens_per_second / routers.max(1) as f64;
        Self {
            import_tokens_per_second: store.import_tokens_per_second,
            tokens_per_second: share,
            available_tokens: share * BURST_WINDOW.as_secs_f64(),
            refilled_at: now,
        }
    }

    /// Decides how to obtain `cold_tokens` that are in the store but not cached at a replica that computes
    /// `prefill_tokens_per_second`. An import is deducted from the budget.
    pub fn plan(
        &mut self,
        cold_tokens: u32,
        prefill_tokens_per_second: f64,
        now: Duration,
    ) -> KvStorePlan {
        let tokens = f64::from(cold_tokens);
        let import_secs = tokens / self.import_tokens_per_second + IMPORT_LATENCY.as_secs_f64();
        let recompute_secs = tokens / prefill_tokens_per_second;
        if import_secs < recompute_secs && self.try_take(tokens, now) {
            return KvStorePlan::Import {
                tokens: cold_tokens,
            };
        }
        KvStorePlan::Recompute
    }

    /// Returns whether a prefix that was just computed should be exported. If so, its tokens are deducted
    /// from the budget.
    pub fn should_export(
        &mut self,
        shared_tokens: u32,
        requests_per_second: f64,
        is_stored: bool,
        now: Duration,
    ) -> bool {
        !is_stored
            && requests_per_second >= MIN_EXPORT_REQUESTS_PER_SECOND
            && self.try_take(f64::from(shared_tokens), now)
    }

    fn try_take(&mut self, tokens: f64, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let capacity = self.tokens_per_second * BURST_WINDOW.as_secs_f64();
        self.available_tokens =
            (self.available_tokens + elapsed * self.tokens_per_second).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
        let is_available = tokens <= self.available_tokens;
        if is_available {
            self.available_tokens -= tokens;
        }
        assert!(
            self.available_tokens >= 0.0,
            "the KV store budget is overdrawn"
        );
        is_available
    }
}
