//! Hedged requests: a second attempt of a request whose first token is late.
//!
//! Hedges and retries share one budget, so that a slow service does not receive extra load because it is slow. Hedging
//! is enabled by the routing preference; non-idempotent calls are never hedged.

use std::time::Duration;

use super::retry::RetryBudget;
use crate::preference::Preference;

/// The hedge of one request.
#[derive(Clone, Copy, Debug)]
pub struct Hedge {
    due_at: Option<Duration>,
}

impl Hedge {
    /// Plans the hedge of a request that was dispatched at `now`.
    #[must_use]
    pub fn plan(preference: &Preference, is_idempotent: bool, now: Duration) -> Self {
        let is_allowed = preference.hedge && is_idempotent;
        let hedge_after = Duration::from_millis(preference.hedge_after_ms);
        Self {
            due_at: is_allowed.then(|| now + hedge_after),
        }
    }

    /// Returns when [`poll`](Self::poll) should be called, or `None` if no hedge will be sent.
    #[must_use]
    pub const fn due_at(&self) -> Option<Duration> {
        self.due_at
    }

    /// Records the arrival of the first token, after which no hedge is sent.
    pub const fn first_token(&mut self) {
        self.due_at = None;
    }

    /// Returns whether to send the hedge now; at most one is sent, and none if the budget is exhausted.
    pub fn poll(&mut self, now: Duration, budget: &mut RetryBudget) -> bool {
        let is_due = self.due_at.is_some_and(|due_at| due_at <= now);
        if !is_due {
            return false;
        }
        self.due_at = None;
        budget.withdraw()
    }
}
