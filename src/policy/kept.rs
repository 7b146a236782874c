//! Whether to import an opening's KV cache from the kept cache, or export it there, within the store's rate.

use std::time::Duration;

use crate::pool::KeptCache;

/// The time over which the store's rate may be used at once.
const BURST: Duration = Duration::from_secs(1);
/// The expected time until an import begins to give tokens.
const IMPORT_LATENCY: Duration = Duration::from_millis(10);
/// The requests a second from which an opening is worth keeping in the store.
const HOT_REQUESTS_PER_SECOND: f64 = 0.5;

/// What to do about the part of an opening that is not warm at the chosen replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeptPlan {
    /// Recompute it.
    Recompute,
    /// Order the engine to import this many tokens first.
    Import {
        /// The tokens to import.
        tokens: u32,
    },
}

/// The part of the store's total rate that this router may use, as a token bucket.
#[derive(Clone, Debug)]
pub struct KeptBudget {
    import_tokens_per_second: f64,
    tokens_per_second: f64,
    available_tokens: f64,
    at: Duration,
}

impl KeptBudget {
    /// Makes the budget of one of `routers` routers that share the store.
    #[must_use]
    pub fn new(kept: &KeptCache, routers: usize, now: Duration) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "routers are few")]
        let share = kept.total_tokens_per_second / routers.max(1) as f64;
        Self {
            import_tokens_per_second: kept.import_tokens_per_second,
            tokens_per_second: share,
            available_tokens: share * BURST.as_secs_f64(),
            at: now,
        }
    }

    /// Decides for `cold_tokens` that are kept in the store and not warm at a replica that computes
    /// `prefill_tokens_per_second`, and takes what is used from the budget.
    pub fn plan(
        &mut self,
        cold_tokens: u32,
        prefill_tokens_per_second: f64,
        now: Duration,
    ) -> KeptPlan {
        let tokens = f64::from(cold_tokens);
        let import_secs = tokens / self.import_tokens_per_second + IMPORT_LATENCY.as_secs_f64();
        let recompute_secs = tokens / prefill_tokens_per_second;
        if import_secs < recompute_secs && self.take(tokens, now) {
            return KeptPlan::Import {
                tokens: cold_tokens,
            };
        }
        KeptPlan::Recompute
    }

    /// Decides whether an opening that was just computed should be exported, and takes its tokens from the budget.
    pub fn exports(
        &mut self,
        shared_tokens: u32,
        requests_per_second: f64,
        is_kept: bool,
        now: Duration,
    ) -> bool {
        !is_kept
            && requests_per_second >= HOT_REQUESTS_PER_SECOND
            && self.take(f64::from(shared_tokens), now)
    }

    fn take(&mut self, tokens: f64, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let most = self.tokens_per_second * BURST.as_secs_f64();
        self.available_tokens =
            (self.available_tokens + elapsed * self.tokens_per_second).min(most);
        self.at = self.at.max(now);
        let is_enough = tokens <= self.available_tokens;
        if is_enough {
            self.available_tokens -= tokens;
        }
        assert!(
            self.available_tokens >= 0.0,
            "the store's rate is never exceeded"
        );
        is_enough
    }
}
