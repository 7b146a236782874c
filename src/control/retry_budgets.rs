//! Retry budgets of services, shared by the traffic threads.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::id::ServiceName;
use crate::request::retry::{AttemptFailure, RetryBudget, RetryDecision, RetryState, decide_retry};
use crate::service::Service;

/// The retry budget of each service at this router.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
}

impl RetryBudgets {
    /// Records the first attempt of a request to `service`, which adds to the budget of the service named `name`.
    pub(crate) fn record_first_attempt(&self, name: &ServiceName, service: &Service) {
        let percent = service.retry_budget_percent;
        let mut budgets = self.lock();
        let budget = budgets
            .entry(Arc::clone(name))
            .or_insert_with(|| RetryBudget::new(percent));
        budget.set_percent(percent);
        budget.deposit();
    }

    /// Decides whether to retry a request to the service `name` after its last attempt failed.
    pub(crate) fn decide(
        &self,
        name: &ServiceName,
        state: RetryState,
        failure: AttemptFailure,
    ) -> RetryDecision {
        let mut budgets = self.lock();
        let budget = budgets
            .entry(Arc::clone(name))
            .or_insert_with(|| RetryBudget::new(0));
        decide_retry(state, failure, budget, &mut rand::rng())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, RetryBudget>> {
        self.budgets
            .lock()
            .expect("the mutex of the retry budgets is poisoned")
    }
}
