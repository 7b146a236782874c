//! One send of a claimed call: from its claim to the dispatch, a replayed answer, or a refusal.
//!
//! The state machine says what to do next; the shell does it and reports back. Every path to a dispatch goes through
//! [`Ledger`], and every refusal through [`End`], so that a report that comes late or twice changes nothing.

use std::time::Duration;

use super::bucket::{ClaimEntry, KeptAnswer, Verdict};
use super::key::{AttemptId, CLAIM_LIFE, CLOCK_MARGIN, Claim, ClaimKey};
use super::ledger::{AttemptPhase, Disowned, DispatchPermit, Ledger, TakenAnswer};
use super::writer::{Change, Decision};
use crate::id::{Incarnation, RouterId};
use crate::request::refusal::{
    EarlierSends, End, NotRun, NotRunProof, NotRunReason, Undispatched, Unknown, UnknownReason,
};

const RETRY_AFTER_OUTAGE: Duration = Duration::from_secs(1);
const RETRY_AFTER_PROGRESS: Duration = Duration::from_secs(1);
const RETRY_AFTER_LOSS: Duration = Duration::from_secs(60);

/// What the shell has to do next for a send.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Submit the claim to the writer of its bucket, or to the bucket's owner.
    Submit(Claim, Option<Disowned>),
    /// Ask this life of a router whether it gave the attempt up.
    AskRouter(RouterId, Incarnation, AttemptId),
    /// Dispatch the call.
    Dispatch(DispatchPermit),
    /// Give the caller the kept answer.
    Replay(KeptAnswer),
    /// End the send without an answer.
    Finish(End),
    /// Nothing; the report came late.
    Ignore,
}

/// One send of a claimed call in this router.
#[derive(Debug)]
pub struct Attempt {
    claim: Claim,
    earlier_sends: EarlierSends,
    asked_about: Option<Box<ClaimEntry>>,
}

/// Checks the time in `key`, before anything else is done for the call.
///
/// # Errors
///
/// Returns the end of the send where the key can't be claimed any more, or not yet.
pub fn check_key(
    key: &ClaimKey,
    send: Undispatched,
    unix_now: Duration,
) -> Result<Undispatched, End> {
    let Some(time) = key.time() else {
        return Err(send.refuse(NotRunReason::KeyInvalid, Duration::ZERO));
    };
    if time > unix_now + CLOCK_MARGIN {
        return Err(send.refuse(NotRunReason::KeyInvalid, time - unix_now));
    }
    if time + CLAIM_LIFE < unix_now {
        return Err(unknown(UnknownReason::KeyExpired, Duration::ZERO));
    }
    Ok(send)
}

const fn unknown(reason: UnknownReason, retry_after: Duration) -> End {
    End::OutcomeUnknown(Unknown {
        reason,
        retry_after,
    })
}

impl Attempt {
    /// Begins the send, which can be refused by [`Undispatched`] no longer.
    pub fn begin(claim: Claim, send: Undispatched, ledger: &mut Ledger) -> (Self, Step) {
        ledger.begin(claim.attempt);
        let step = Step::Submit(claim.clone(), None);
        let attempt = Self {
            claim,
            earlier_sends: send.leave(),
            asked_about: None,
        };
        (attempt, step)
    }

    /// Returns what the send claims.
    #[must_use]
    pub const fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Takes in how the claim was decided.
    pub fn decided(&mut self, decision: Decision, ledger: &mut Ledger) -> Step {
        if ledger.phase(self.claim.attempt) != Some(&AttemptPhase::Claiming) {
            return Step::Ignore;
        }
        let Decision::Settled(verdict) = decision else {
            return self.unavailable(ledger);
        };
        match verdict {
            Verdict::Granted => self.granted(ledger),
            Verdict::Taken(entry) => self.taken(&entry, ledger),
            Verdict::ContentDiffers => {
                let end = unknown(UnknownReason::ContentDiffers, Duration::ZERO);
                self.finish(end, ledger)
            }
            Verdict::Full => self.refuse(NotRunReason::Overload, RETRY_AFTER_OUTAGE, ledger),
            Verdict::Expired => {
                let end = unknown(UnknownReason::KeyExpired, Duration::ZERO);
                self.finish(end, ledger)
            }
            Verdict::Settled => unreachable!("a claim was answered as a settlement"),
        }
    }

    /// Takes in that no decision came in time.
    pub fn unavailable(&mut self, ledger: &mut Ledger) -> Step {
        if ledger.phase(self.claim.attempt) != Some(&AttemptPhase::Claiming) {
            return Step::Ignore;
        }
        let reason = NotRunReason::StoreUnavailable;
        self.refuse(reason, RETRY_AFTER_OUTAGE, ledger)
    }

    fn granted(&self, ledger: &mut Ledger) -> Step {
        if !ledger.confirm(self.claim.attempt) {
            return Step::Ignore;
        }
        Step::Dispatch(ledger.dispatch(self.claim.attempt))
    }

    fn taken(&mut self, entry: &ClaimEntry, ledger: &mut Ledger) -> Step {
        let end = match ledger.judge_taken(entry) {
            TakenAnswer::Ran(answer) => {
                ledger.give_up(self.claim.attempt);
                return Step::Replay(answer);
            }
            TakenAnswer::TakeOver(proof) => return self.take_over(entry, proof, ledger),
            TakenAnswer::AskRouter(router, incarnation) => {
                self.asked_about = Some(Box::new(entry.clone()));
                return Step::AskRouter(router, incarnation, entry.attempt_id());
            }
            TakenAnswer::RanAnswerNotKept => End::RanAnswerNotKept,
            TakenAnswer::NotRun => Self::not_run_before(entry),
            TakenAnswer::InProgress => unknown(UnknownReason::InProgress, RETRY_AFTER_PROGRESS),
            TakenAnswer::ClaimerLost => unknown(UnknownReason::ClaimerLost, RETRY_AFTER_LOSS),
        };
        self.finish(end, ledger)
    }

    fn not_run_before(entry: &ClaimEntry) -> End {
        Self::refused_before(NotRunProof::of_entry(entry))
    }

    fn refused_before(proof: Option<NotRunProof>) -> End {
        let reason = NotRunReason::RefusedBefore;
        match proof {
            Some(proof) => End::NotRun(NotRun::new(proof, reason, Duration::ZERO)),
            None => unknown(UnknownReason::ClaimerLost, RETRY_AFTER_LOSS),
        }
    }

    /// Takes in the word of the router that was asked, or `None` where it has none or does not answer.
    pub fn answered_by_router(&mut self, word: Option<Disowned>, ledger: &mut Ledger) -> Step {
        if ledger.phase(self.claim.attempt) != Some(&AttemptPhase::Claiming) {
            return Step::Ignore;
        }
        let entry = self.asked_about.take();
        match (word, entry) {
            (Some(proof), Some(entry)) => self.take_over(&entry, proof, ledger),
            _ => {
                let end = unknown(UnknownReason::ClaimerLost, RETRY_AFTER_PROGRESS);
                self.finish(end, ledger)
            }
        }
    }

    /// Submits the claim again with the proof, or refuses a send that does not follow the one that was given up.
    fn take_over(&self, entry: &ClaimEntry, proof: Disowned, ledger: &mut Ledger) -> Step {
        if proof.covers(entry) && entry.is_before(&self.claim) {
            return Step::Submit(self.claim.clone(), Some(proof));
        }
        let end = Self::refused_before(NotRunProof::of_disowned_entry(entry, &proof));
        self.finish(end, ledger)
    }

    /// Takes the permit back after no connection could be made, for a try at another replica.
    ///
    /// Returns the permit for the next try.
    pub fn connect_failed(&self, permit: DispatchPermit, ledger: &mut Ledger) -> DispatchPermit {
        ledger.connect_failed(permit);
        ledger.dispatch(self.claim.attempt)
    }

    /// Ends a send whose last connection could not be made; the change records it in the bucket.
    pub fn no_replica(
        &mut self,
        permit: DispatchPermit,
        retry_after: Duration,
        ledger: &mut Ledger,
    ) -> (End, Change) {
        ledger.connect_failed(permit);
        let disowned = ledger.give_up(self.claim.attempt);
        let disowned = disowned.expect("a confirmed attempt can be given up");
        let (key, attempt) = (self.claim.key.clone(), self.claim.attempt);
        let change = Change::SettleNotRun(key, attempt);
        let reason = NotRunReason::NoReplica;
        let end = End::given_up(&disowned, self.earlier_sends, reason, retry_after);
        (end, change)
    }

    /// Ends a send whose call ran; the change records it in the bucket.
    pub fn ran(&mut self, answer: Option<KeptAnswer>, ledger: &mut Ledger) -> Change {
        ledger.end(self.claim.attempt);
        Change::SettleRan(self.claim.key.clone(), self.claim.attempt, answer)
    }

    /// Ends a send whose answer was lost after the call may have left.
    pub fn answer_lost(&mut self, ledger: &mut Ledger) -> End {
        ledger.end(self.claim.attempt);
        unknown(UnknownReason::AnswerLost, RETRY_AFTER_LOSS)
    }

    fn refuse(&self, reason: NotRunReason, retry_after: Duration, ledger: &mut Ledger) -> Step {
        let end = match ledger.give_up(self.claim.attempt) {
            Some(proof) => End::given_up(&proof, self.earlier_sends, reason, retry_after),
            None => unknown(UnknownReason::AnswerLost, retry_after),
        };
        Step::Finish(end)
    }

    fn finish(&self, end: End, ledger: &mut Ledger) -> Step {
        ledger.give_up(self.claim.attempt);
        Step::Finish(end)
    }
}
