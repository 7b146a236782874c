//! Rate and concurrency limits of client accounts, shared by the traffic threads.
//!
//! Traffic threads share one [`Limiter`] behind a mutex that is held for a few map lookups and never across an await
//! point. The control thread exchanges the usage of heavy accounts with other routers. See docs/design/limits.md.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::account::NamedAccount;
use crate::admission::{LimitDecision, LimitKind, Limiter, Usage, UsageTree};
use crate::id::{AccountId, RouterId};
use crate::membership::Ring;

/// Enforces the limits of all client accounts at this router.
#[derive(Debug)]
pub(crate) struct SharedLimiter {
    limiter: Mutex<Limiter>,
    started: Instant,
}

/// A guard for a request admitted under its account's limits. Dropping it releases the request's slot and records its
/// usage.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    limiter: Arc<SharedLimiter>,
    account: AccountId,
    generated_tokens: u32,
}

/// The limit that a rejected request exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitExceeded {
    /// The kind of limit.
    pub(crate) limit: LimitKind,
    /// How long the caller should wait before retrying.
    pub(crate) retry_after: Duration,
}

impl SharedLimiter {
    /// Creates a limiter for a fleet that consists of this router only.
    pub(crate) fn new() -> Self {
        Self {
            limiter: Mutex::new(Limiter::new(1)),
            started: Instant::now(),
        }
    }

    /// Admits or rejects a request of `account` with `prompt_tokens`.
    pub(crate) fn admit(
        self: &Arc<Self>,
        account: &NamedAccount,
        prompt_tokens: u32,
    ) -> Result<AdmittedRequest, LimitExceeded> {
        let limits = &account.account.limits;
        let now = self.started.elapsed();
        let decision = self.lock().admit(&account.id, limits, prompt_tokens, now);
        match decision {
            LimitDecision::Admitted => Ok(AdmittedRequest {
                limiter: Arc::clone(self),
                account: Arc::clone(&account.id),
                generated_tokens: 0,
            }),
            LimitDecision::Refused { limit, retry_after } => {
                Err(LimitExceeded { limit, retry_after })
            }
        }
    }

    /// Aggregates usage across the fleet through `tree` and returns the messages to send, each with its recipient.
    pub(crate) fn exchange(
        &self,
        tree: &mut UsageTree,
        own: &RouterId,
        ring: &Ring,
        routers: usize,
    ) -> Vec<(RouterId, Usage)> {
        let now = self.started.elapsed();
        let mut limiter = self.lock();
        let usage = limiter.report(now);
        let messages = tree.tick(own, ring, &usage, now);
        limiter.set_totals(&tree.totals(), routers, tree.totals_at());
        messages
    }

    /// Records usage received from another router.
    pub(crate) fn receive(&self, tree: &mut UsageTree, from: &RouterId, usage: &Usage) {
        tree.receive(from, usage, self.started.elapsed());
    }

    fn lock(&self) -> MutexGuard<'_, Limiter> {
        // Only a failed assertion of the limiter poisons the mutex. After that, the process must not admit further
        // requests.
        self.limiter
            .lock()
            .expect("the mutex of the limiter is poisoned")
    }
}

impl AdmittedRequest {
    /// Counts one generated token towards the account's usage.
    pub(crate) const fn count_token(&mut self) {
        self.generated_tokens += 1;
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        let now = self.limiter.started.elapsed();
        let mut limiter = self.limiter.lock();
        limiter.finish(&self.account, self.generated_tokens, now);
    }
}
