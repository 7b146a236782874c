//! Replicas that are silent for a while, replayed in virtual time over the decisions of an attempt's end.

use std::time::Duration;

use yare::parameterized;

use super::ms;
use crate::gateway::attempt::{AttemptEnd, NextStep, RetryState};
use crate::gateway::route::CallKind;
use crate::request::retry::RetryBudget;

const STEP: Duration = ms(10);
const STREAM: CallKind = CallKind::Stream { is_resumable: true };
/// The time from one part of a response to the next, and from a request to the first one.
const PART_INTERVAL: Duration = ms(20);
const PARTS: u32 = 6;
/// How long a replica may be silent before another one is tried.
const SILENCE_LIMIT: Duration = ms(400);
const DEADLINE: Duration = ms(3_000);

/// What another replica does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Other {
    Serves,
    Refuses,
    Breaks,
    /// Sends nothing until the deadline has passed.
    Mute,
    /// Is silent at the same time as the first replica.
    SilentToo,
    /// No other replica takes requests.
    None,
}

/// An attempt in progress: the parts of the response that it still has to send.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    /// Whether its replica is the one that is silent, or silent at the same time.
    is_affected: bool,
    next_part: u32,
    next_at: Duration,
    last_heard: Duration,
}

struct Scenario {
    kind: CallKind,
    silent_from: Duration,
    silent_until: Duration,
    other: Other,
    budget: RetryBudget,
}

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Complete(Duration),
    Ended(Duration),
}

impl Scenario {
    /// Returns when a part that is due at `at` leaves its replica.
    fn delayed(&self, at: Duration, is_affected: bool) -> Duration {
        if is_affected && at >= self.silent_from && at < self.silent_until {
            return self.silent_until;
        }
        at
    }

    /// Sends the request to the other replica, which goes on after `part`; returns how the attempt ended if it failed.
    fn ask_other(&self, part: u32, now: Duration) -> Result<Attempt, AttemptEnd> {
        let is_affected = self.other == Other::SilentToo;
        let next_at = match self.other {
            Other::Refuses => return Err(AttemptEnd::Refused),
            Other::Breaks => return Err(AttemptEnd::Broken),
            Other::Mute => DEADLINE * 2,
            Other::SilentToo | Other::Serves | Other::None => {
                self.delayed(now + PART_INTERVAL, is_affected)
            }
        };
        Ok(Attempt {
            is_affected,
            next_part: part,
            next_at,
            last_heard: now,
        })
    }

    /// Plays one request from its first attempt to its end.
    fn play(&mut self) -> Outcome {
        let mut state = RetryState::new(self.kind, 2, DEADLINE);
        let mut current = Attempt {
            is_affected: true,
            next_part: 0,
            next_at: self.delayed(PART_INTERVAL, true),
            last_heard: Duration::ZERO,
        };
        let mut held: Option<Attempt> = None;
        let mut other_is_tried = self.other == Other::None;
        let mut now = Duration::ZERO;
        while now < DEADLINE {
            now += STEP;
            if held.is_some_and(|held| held.next_at <= now) {
                // The first one to go on is kept.
                state.held_went_on(true);
                current = held.take().expect("an attempt is held");
            }
            if current.next_at <= now {
                held = None;
                current.next_part += 1;
                current.last_heard = now;
                current.next_at = self.delayed(now + PART_INTERVAL, current.is_affected);
                if current.next_part == PARTS {
                    return Outcome::Complete(now);
                }
            }
            let is_silent = now >= current.last_heard + SILENCE_LIMIT;
            let remaining = DEADLINE.saturating_sub(now);
            if !is_silent || held.is_some() || other_is_tried {
                continue;
            }
            let mut next_state = state;
            if !next_state.hold(remaining) || !self.budget.withdraw() {
                continue;
            }
            state = next_state;
            other_is_tried = true;
            match self.ask_other(current.next_part, now) {
                Ok(attempt) => held = Some(std::mem::replace(&mut current, attempt)),
                Err(end) => {
                    // No third replica takes the request, so the silent one decides.
                    let step = state.attempt_ended(end, remaining);
                    assert_ne!(step, NextStep::Deliver);
                    state.held_went_on(false);
                }
            }
        }
        Outcome::Ended(now)
    }
}

fn play(kind: CallKind, silent_from: Duration, silence: Duration, other: Other) -> Outcome {
    let mut scenario = Scenario {
        kind,
        silent_from,
        silent_until: silent_from + silence,
        other,
        budget: RetryBudget::with_reserve(0.2, 2.0),
    };
    scenario.play()
}

/// When a request would be complete without another attempt, if its replica is silent before its end.
fn own_end(silent_from: Duration, silence: Duration) -> Duration {
    let sent_before = silent_from.as_millis() / PART_INTERVAL.as_millis();
    let after = PARTS - u32::try_from(sent_before).unwrap().min(PARTS);
    silent_from + silence + PART_INTERVAL * after
}

#[parameterized(
    stream_others_refuse = { STREAM, Other::Refuses },
    stream_others_break = { STREAM, Other::Breaks },
    stream_others_mute = { STREAM, Other::Mute },
    stream_others_silent_too = { STREAM, Other::SilentToo },
    stream_alone = { STREAM, Other::None },
    stream_others_serve = { STREAM, Other::Serves },
    idempotent_others_refuse = { CallKind::Idempotent, Other::Refuses },
    idempotent_others_break = { CallKind::Idempotent, Other::Breaks },
    idempotent_others_mute = { CallKind::Idempotent, Other::Mute },
    idempotent_others_silent_too = { CallKind::Idempotent, Other::SilentToo },
    idempotent_alone = { CallKind::Idempotent, Other::None },
    non_idempotent_others_serve = { CallKind::NonIdempotent, Other::Serves },
    non_idempotent_others_refuse = { CallKind::NonIdempotent, Other::Refuses },
)]
fn silent_replica_that_goes_on_completes_its_response(kind: CallKind, other: Other) {
    for silent_from in (0..=100).step_by(20).map(ms) {
        for silence in (500..=3_000).step_by(50).map(ms) {
            let outcome = play(kind, silent_from, silence, other);
            let own_end = own_end(silent_from, silence);
            match outcome {
                Outcome::Complete(at) => assert!(at <= own_end + STEP * PARTS, "{at:?}"),
                Outcome::Ended(at) => {
                    assert_eq!(at, DEADLINE);
                    assert!(own_end + STEP >= DEADLINE, "{silent_from:?} {silence:?}");
                }
            }
        }
    }
}

#[parameterized(
    stream = { STREAM },
    idempotent = { CallKind::Idempotent },
)]
fn silent_replica_is_replaced_by_one_that_serves(kind: CallKind) {
    let outcome = play(kind, ms(40), DEADLINE, Other::Serves);
    let Outcome::Complete(at) = outcome else {
        panic!("{outcome:?}");
    };
    assert!(at < SILENCE_LIMIT + ms(300), "{at:?}");
}

#[test]
fn hold_spent_attempts_leave_the_silent_one() {
    let mut state = RetryState::new(STREAM, 2, DEADLINE);
    assert!(state.hold(ms(2_000)));
    let before = state;
    assert!(
        !state.hold(ms(1_000)),
        "a third replica must not run the request"
    );
    assert_eq!(state, before);
    state.held_went_on(true);
    assert_eq!(state.runs, 1, "the abandoned attempt may have run");
    assert!(
        !state.hold(ms(900)),
        "two replicas may have run the request"
    );
}

#[test]
fn hold_non_idempotent_is_never_sent_again() {
    let mut state = RetryState::new(CallKind::NonIdempotent, 3, DEADLINE);
    assert!(!state.hold(ms(2_000)));
    assert_eq!(state.runs, 0);
}

#[test]
fn held_went_on_after_a_refusal_allows_another_attempt() {
    let mut state = RetryState::new(CallKind::Idempotent, 2, DEADLINE);
    assert!(state.hold(ms(2_000)));
    assert_eq!(
        state.attempt_ended(AttemptEnd::Refused, ms(1_900)),
        NextStep::Resend
    );
    state.held_went_on(false);
    assert_eq!(state.runs, 0);
    assert!(state.hold(ms(1_800)));
}
