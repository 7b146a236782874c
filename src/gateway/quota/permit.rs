//! The tokens that one request holds.

use std::sync::Arc;
use std::time::Duration;

use super::QuotaCharge;
use crate::gateway::shared::Shared;

/// The tokens of a request: acquired before its first send, used up by a send that runs, and taken back otherwise.
#[derive(Debug)]
pub(crate) struct QuotaPermit {
    shared: Arc<Shared>,
    charge: QuotaCharge,
    /// Until when the acquired tokens may be used for a send; `None` if there are none.
    granted_until: Option<Duration>,
    /// Until when the tokens could be used that the latest send has used.
    spent_until: Option<Duration>,
}

impl QuotaPermit {
    /// Creates the permit of a request that holds no tokens yet.
    pub(crate) const fn new(shared: Arc<Shared>, charge: QuotaCharge) -> Self {
        Self {
            shared,
            charge,
            granted_until: None,
            spent_until: None,
        }
    }

    /// Acquires tokens, unless some are held that can still be used; waits no longer than `limit`.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request may be repeated.
    pub(crate) async fn acquire(&mut self, limit: Duration, now: Duration) -> Result<(), Duration> {
        if self.granted_until.is_some_and(|until| now < until) {
            return Ok(());
        }
        self.granted_until = None;
        let until = self.shared.acquire_quota(&self.charge, limit).await?;
        self.granted_until = Some(until);
        Ok(())
    }

    /// Begins another attempt, after which the tokens that an earlier one has used are not taken back.
    pub(crate) const fn begin_attempt(&mut self) {
        self.spent_until = None;
    }

    /// Uses the tokens for a send; returns false if none are held that can still be used.
    pub(crate) fn spend(&mut self, now: Duration) -> bool {
        self.spent_until = self.granted_until.take().filter(|until| now < *until);
        self.spent_until.is_some()
    }

    /// Charges the account for a send that needs no tokens, since an earlier one may have run.
    pub(crate) fn charge(&mut self) {
        self.shared.charge_quota(&self.charge);
    }

    /// Takes the tokens back that the latest send has used, since it was not run.
    pub(crate) fn not_run(&mut self) {
        if let Some(until) = self.spent_until.take() {
            self.granted_until = Some(until);
        }
    }
}

impl Drop for QuotaPermit {
    fn drop(&mut self) {
        if let Some(until) = self.granted_until {
            self.shared.give_quota_back(&self.charge, until);
        }
    }
}
