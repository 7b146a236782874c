//! Decides how to continue after an attempt of a request has ended.
//!
//! A request that may have run is sent again only if its route allows that. A rejection by a replica proves that the
//! request has not run there, so a request of any kind may be sent to another replica. Every additional send draws on a
//! retry budget shared by all routers, so that retries can't amplify an outage.
//!
//! A silent replica may be a sound one that goes on. Its attempt is held while another one is made, and is abandoned only
//! once another replica has responded, since a closed connection can't be had back. Rejected: closing it as soon as the
//! retry budget grants another attempt, because that attempt may be refused or find no replica.
//!
//! Load patterns handled: replicas that reject requests while they load weights or are full; replicas that fail some of
//! their requests; connections that break before or after a request was written; replicas that are silent for a while,
//! one of them or all at once, while the others are full, silent too, or fail.

use std::time::Duration;

use super::route::CallKind;

/// The maximum number of rejected sends per request, beyond its attempts; each draws on the retry budget.
const MAX_REFUSALS: u32 = 3;
/// The maximum number of connections that one request may find broken before anything was sent.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// The least time in which another attempt can still succeed.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(15);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// Nothing of the request was sent.
    Unsent,
    /// The replica confirmed that the request has not run there.
    Refused,
    /// The replica ran the request and responded with an error.
    Failed,
    /// The connection broke or delivered a response that does not match the request.
    Broken,
    /// No response arrived within the time of the attempt.
    TimedOut,
    /// The gateway gave the attempt up, since the request may crash its replica.
    Withdrawn,
    /// The gateway gave the attempt up, since the replica had not begun it before its weights became too old.
    Outdated,
}

/// The retry state of a request, updated when an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RetryState {
    /// How often the request may run.
    pub kind: CallKind,
    /// The maximum number of replicas on which the request may run.
    pub max_attempts: u32,
    /// The number of sends after which the request may have run.
    pub runs: u32,
    /// The number of sends that replicas rejected.
    pub refusals: u32,
    /// The number of attempts that ended before anything was sent.
    pub unsent_attempts: u32,
    /// The time left until the deadline.
    pub remaining: Duration,
}

/// How to continue after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Send the request to another replica if the retry budget permits.
    Resend,
    /// Try again without charging the retry budget, since nothing was sent.
    Reconnect,
    /// Forward the replica's error response.
    Deliver,
    /// Respond that the request has not run.
    Refuse,
    /// Respond that the outcome is unknown.
    Fail,
    /// Respond that the deadline has passed and the outcome is unknown.
    TimeOut,
}

impl RetryState {
    /// Creates the state of a request before its first attempt.
    #[must_use]
    pub(crate) const fn new(kind: CallKind, max_attempts: u32, remaining: Duration) -> Self {
        Self {
            kind,
            max_attempts,
            runs: 0,
            refusals: 0,
            unsent_attempts: 0,
            remaining,
        }
    }

    /// Records the end of an attempt and returns how to continue.
    pub(crate) fn attempt_ended(&mut self, end: AttemptEnd, remaining: Duration) -> NextStep {
        self.remaining = remaining;
        match end {
            AttemptEnd::Unsent => self.unsent_attempts += 1,
            AttemptEnd::Refused => self.refusals += 1,
            AttemptEnd::Failed
            | AttemptEnd::Broken
            | AttemptEnd::TimedOut
            | AttemptEnd::Withdrawn
            | AttemptEnd::Outdated => self.runs += 1,
        }
        let step = self.next_step(end);
        assert!(
            self.runs <= 1 || self.kind.is_retryable(),
            "a request that may run only once was sent {} times",
            self.runs
        );
        step
    }

    fn next_step(&self, end: AttemptEnd) -> NextStep {
        let has_time = self.remaining >= MIN_ATTEMPT_TIME;
        match end {
            AttemptEnd::Unsent if has_time && self.unsent_attempts < MAX_UNSENT_ATTEMPTS => {
                NextStep::Reconnect
            }
            AttemptEnd::Refused if has_time && self.refusals <= MAX_REFUSALS => NextStep::Resend,
            AttemptEnd::Unsent | AttemptEnd::Refused => self.give_up(),
            AttemptEnd::Withdrawn => NextStep::Fail,
            _ if has_time && self.can_run_again() => NextStep::Resend,
            AttemptEnd::Failed => NextStep::Deliver,
            AttemptEnd::Broken | AttemptEnd::Outdated => NextStep::Fail,
            AttemptEnd::TimedOut => NextStep::TimeOut,
        }
    }

    /// Holds the latest attempt, whose replica is silent, so that another one can be made; returns whether it may be.
    pub(crate) fn hold(&mut self, remaining: Duration) -> bool {
        let mut held = *self;
        let may_send = held.attempt_ended(AttemptEnd::TimedOut, remaining) == NextStep::Resend;
        if may_send {
            *self = held;
        }
        may_send
    }

    /// Records that a held attempt goes on. `is_other_sent` tells whether another one was sent and is abandoned for it.
    pub(crate) const fn held_went_on(&mut self, is_other_sent: bool) {
        // A held attempt counts as ended, and is counted again at its end.
        self.runs = self.runs.saturating_sub(1);
        if is_other_sent {
            self.runs += 1;
        }
    }

    /// Returns whether the request may run on another replica.
    #[must_use]
    pub(crate) fn can_run_again(&self) -> bool {
        self.kind.is_retryable() && self.runs < self.max_attempts
    }

    /// Returns the final response if no further attempt is made; it reports "not run" only if that is certain.
    #[must_use]
    pub(crate) const fn give_up(&self) -> NextStep {
        if self.runs == 0 {
            return NextStep::Refuse;
        }
        NextStep::Fail
    }
}
