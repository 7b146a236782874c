//! Retry decisions: a failed attempt is retried only if that is safe and within a budget.
//!
//! The budget is a ratio of a service's requests, kept in a token bucket, so that retries and hedges together can't
//! multiply the load on a service during an outage.
//!
//! Rejected: a fixed number of retries per request, because two retries triple the load during an outage. See
//! docs/design/requests.md.

use std::time::Duration;

use rand::{Rng, RngExt};

const BACKOFF_BASE: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_secs(1);
const MAX_ATTEMPTS: u32 = 4;

/// Maximum number of extra attempts that a budget can accumulate; an outage may use them on top of the ratio.
pub(crate) const MAX_RESERVE: f64 = 10.0;

/// The number of extra attempts in a new budget with a reserve.
const INITIAL_BALANCE: f64 = 2.0;

/// The budget of one service for extra attempts, shared by retries and hedges.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    balance: f64,
    max_balance: f64,
}

/// How an attempt failed, as far as retries are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was established, so no byte was sent.
    ConnectFailed,
    /// The backend server refused the call before running it.
    Refused,
    /// The connection broke or timed out after the call may have been sent.
    AnswerLost,
}

/// The state of a request after one of its attempts has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryState {
    /// The number of attempts made so far.
    pub tries: u32,
    /// Whether the call may run more than once.
    pub is_idempotent: bool,
    /// Whether a byte of the response was sent to the caller.
    pub response_started: bool,
    /// The time left until the request's deadline.
    pub remaining: Duration,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after this time, over a new connection and at a replica that was not tried yet.
    Retry(Duration),
    /// Don't retry.
    Stop(StopReason),
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The call may have run, and it is not idempotent or its response has started.
    NotSafe,
    /// The retry budget of the service is exhausted.
    BudgetSpent,
    /// The request has reached the maximum number of attempts.
    TooManyTries,
    /// The next attempt would start after the deadline.
    TooLate,
}

impl RetryBudget {
    /// Creates a budget of `percent` extra attempts per hundred requests.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            ratio: f64::from(percent) / 100.0,
            balance: 0.0,
            max_balance: MAX_RESERVE,
        }
    }

    /// Creates a budget of `ratio` extra attempts per request, with a maximum of `reserve`.
    ///
    /// It begins with two extra attempts at most: a process that has just started may not know yet how many others share
    /// the reserve.
    #[must_use]
    pub fn with_reserve(ratio: f64, reserve: f64) -> Self {
        Self {
            ratio,
            balance: reserve.min(INITIAL_BALANCE),
            max_balance: reserve,
        }
    }

    /// Sets the maximum balance.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.max_balance = reserve;
        self.balance = self.balance.min(reserve);
    }

    /// Applies a change of the service's configuration; the balance is kept.
    pub fn set_percent(&mut self, percent: u32) {
        self.ratio = f64::from(percent) / 100.0;
    }

    /// Credits the budget for the first attempt of a request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.max_balance);
    }

    /// Withdraws one extra attempt from the budget; returns whether one was available.
    pub fn withdraw(&mut self) -> bool {
        let is_available = self.balance >= 1.0;
        if is_available {
            self.balance -= 1.0;
        }
        assert!(self.balance >= 0.0, "a retry budget was overdrawn");
        is_available
    }
}

impl RetryState {
    const fn is_safe(self, failure: AttemptFailure) -> bool {
        match failure {
            AttemptFailure::ConnectFailed | AttemptFailure::Refused => !self.response_started,
            AttemptFailure::AnswerLost => self.is_idempotent && !self.response_started,
        }
    }
}

/// Decides whether to retry a request whose last attempt failed, and withdraws the retry from `budget`.
pub fn decide_retry(
    state: RetryState,
    failure: AttemptFailure,
    budget: &mut RetryBudget,
    rng: &mut impl Rng,
) -> RetryDecision {
    if !state.is_safe(failure) {
        return RetryDecision::Stop(StopReason::NotSafe);
    }
    if state.tries >= MAX_ATTEMPTS {
        return RetryDecision::Stop(StopReason::TooManyTries);
    }
    let wait = jittered_backoff(state.tries, rng);
    if wait >= state.remaining {
        return RetryDecision::Stop(StopReason::TooLate);
    }
    if !budget.withdraw() {
        return RetryDecision::Stop(StopReason::BudgetSpent);
    }
    RetryDecision::Retry(wait)
}

/// Returns a random wait below a bound that doubles with each attempt, so that the retries of many requests spread out.
fn jittered_backoff(tries: u32, rng: &mut impl Rng) -> Duration {
    let doublings = tries.saturating_sub(1).min(16);
    let bound = BACKOFF_BASE * (1 << doublings);
    bound.min(MAX_BACKOFF).mul_f64(rng.random())
}
