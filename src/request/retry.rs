//! When a failed try is made again: only where that is safe, and only within a budget.
//!
//! The budget is a share of a service's first tries, kept in a token bucket, so that retries and hedges together can't
//! multiply the load on a service in an outage. A fixed number of retries per request was rejected: with two retries, an
//! outage triples the load. See docs/design/requests.md.

use std::time::Duration;

use rand::{Rng, RngExt};

const BACK_OFF_BASE: Duration = Duration::from_millis(20);
const BACK_OFF_LIMIT: Duration = Duration::from_secs(1);
const MAX_TRIES: u32 = 4;

/// The tries beyond the first that a budget may hold in reserve; an outage may use them on top of the share.
pub(crate) const MAX_RESERVE_TRIES: f64 = 10.0;

/// The budget of one service for tries beyond the first, retries and hedges alike.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    tries: f64,
    reserve: f64,
}

/// How a try failed, as far as it matters for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryFailure {
    /// No connection was made, so no byte has left.
    ConnectFailed,
    /// The backend server refused the call before running it.
    Refused,
    /// The connection broke or timed out after the call may have left.
    AnswerLost,
}

/// What is known of a request when one of its tries has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TryState {
    /// The tries made so far.
    pub tries: u32,
    /// Whether the call may run more than once.
    pub is_idempotent: bool,
    /// Whether a byte of the answer has gone to the caller.
    pub has_answered: bool,
    /// The time left until the request's deadline.
    pub remaining: Duration,
}

/// What to do after a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this time, over a new connection and at a replica that was not tried yet.
    Retry(Duration),
    /// Don't try again.
    Stop(StopReason),
}

/// Why no further try is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The call may have run, and it may not be repeated or its answer has begun.
    NotSafe,
    /// The service's budget is spent.
    BudgetSpent,
    /// The request was tried often enough.
    TooManyTries,
    /// The next try would begin after the deadline.
    TooLate,
}

impl RetryBudget {
    /// Makes a budget that allows `percent` further tries per hundred requests.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            tries: 0.0,
            reserve: MAX_RESERVE_TRIES,
        }
    }

    /// Makes a budget that allows `share` further tries for each request, and begins with `reserve` in hand.
    #[must_use]
    pub fn with_reserve(share: f64, reserve: f64) -> Self {
        Self {
            share,
            tries: reserve,
            reserve,
        }
    }

    /// Takes in another bound on what may be held in reserve.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
        self.tries = self.tries.min(reserve);
    }

    /// Takes in a change of the service's configuration; what was saved up stays.
    pub fn set_percent(&mut self, percent: u32) {
        self.share = f64::from(percent) / 100.0;
    }

    /// Takes in the first try of a request.
    pub fn first_try(&mut self) {
        self.tries = (self.tries + self.share).min(self.reserve);
    }

    /// Takes a further try out of the budget; returns whether there was one.
    pub fn withdraw(&mut self) -> bool {
        let has_try = self.tries >= 1.0;
        if has_try {
            self.tries -= 1.0;
        }
        assert!(self.tries >= 0.0, "a retry budget was overdrawn");
        has_try
    }
}

impl TryState {
    const fn is_safe(self, failure: TryFailure) -> bool {
        match failure {
            TryFailure::ConnectFailed | TryFailure::Refused => !self.has_answered,
            TryFailure::AnswerLost => self.is_idempotent && !self.has_answered,
        }
    }
}

/// Decides whether a request whose last try failed is tried again, and takes the try out of `budget`.
pub fn decide_retry(
    state: TryState,
    failure: TryFailure,
    budget: &mut RetryBudget,
    rng: &mut impl Rng,
) -> RetryDecision {
    if !state.is_safe(failure) {
        return RetryDecision::Stop(StopReason::NotSafe);
    }
    if state.tries >= MAX_TRIES {
        return RetryDecision::Stop(StopReason::TooManyTries);
    }
    let wait = back_off(state.tries, rng);
    if wait >= state.remaining {
        return RetryDecision::Stop(StopReason::TooLate);
    }
    if !budget.withdraw() {
        return RetryDecision::Stop(StopReason::BudgetSpent);
    }
    RetryDecision::Retry(wait)
}

/// Returns a wait between zero and a bound that doubles with each try, so that retries of many requests spread out.
fn back_off(tries: u32, rng: &mut impl Rng) -> Duration {
    let doublings = tries.saturating_sub(1).min(16);
    let bound = BACK_OFF_BASE * (1 << doublings);
    bound.min(BACK_OFF_LIMIT).mul_f64(rng.random())
}
