//! The limits of client accounts as traffic threads ask for them.
//!
//! Traffic threads share one [`Limiter`] behind a lock that is held for a few map look-ups and never across a wait. The
//! control thread exchanges the heavy accounts' usage with other routers. See docs/design/limits.md.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::account::NamedAccount;
use crate::admission::{LimitDecision, LimitKind, Limiter, Usage, UsageTree};
use crate::id::{AccountId, RouterId};
use crate::membership::Ring;

/// The limits of all client accounts at this router.
#[derive(Debug)]
pub(crate) struct Limits {
    limiter: Mutex<Limiter>,
    begun: Instant,
}

/// A request that is within its account's limits; dropping it ends the request for them.
#[derive(Debug)]
pub(crate) struct Admitted {
    limits: Arc<Limits>,
    account: AccountId,
    generated_tokens: u32,
}

/// A limit that a request has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitReached {
    /// The limit.
    pub(crate) limit: LimitKind,
    /// When the caller may come back.
    pub(crate) retry_after: Duration,
}

impl Limits {
    /// Begins with a fleet of this router alone.
    pub(crate) fn new() -> Self {
        Self {
            limiter: Mutex::new(Limiter::new(1)),
            begun: Instant::now(),
        }
    }

    /// Decides on a request of `account` with `prompt_tokens`.
    pub(crate) fn admit(
        self: &Arc<Self>,
        account: &NamedAccount,
        prompt_tokens: u32,
    ) -> Result<Admitted, LimitReached> {
        let limits = &account.account.limits;
        let now = self.begun.elapsed();
        let decision = self.lock().admit(&account.id, limits, prompt_tokens, now);
        match decision {
            LimitDecision::Admitted => Ok(Admitted {
                limits: Arc::clone(self),
                account: Arc::clone(&account.id),
                generated_tokens: 0,
            }),
            LimitDecision::Refused { limit, retry_after } => {
                Err(LimitReached { limit, retry_after })
            }
        }
    }

    /// Exchanges usage with the fleet through `tree`; returns what to send to whom.
    pub(crate) fn exchange(
        &self,
        tree: &mut UsageTree,
        own: &RouterId,
        ring: &Ring,
        routers: usize,
    ) -> Vec<(RouterId, Usage)> {
        let now = self.begun.elapsed();
        let mut limiter = self.lock();
        let usage = limiter.report(now);
        let messages = tree.tick(own, ring, &usage, now);
        limiter.set_totals(&tree.totals(), routers, tree.totals_at());
        messages
    }

    /// Takes usage that another router told.
    pub(crate) fn receive(&self, tree: &mut UsageTree, from: &RouterId, usage: &Usage) {
        tree.receive(from, usage, self.begun.elapsed());
    }

    fn lock(&self) -> MutexGuard<'_, Limiter> {
        // Only the limiter's own assertions poison it; after one the process must not go on admitting.
        self.limiter.lock().expect("a limit invariant is broken")
    }
}

impl Admitted {
    /// Counts one generated token.
    pub(crate) const fn count_token(&mut self) {
        self.generated_tokens += 1;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let now = self.limits.begun.elapsed();
        let mut limiter = self.limits.lock();
        limiter.finish(&self.account, self.generated_tokens, now);
    }
}
