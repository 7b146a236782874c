//! State machine for one send of a claimed call: from the claim to dispatch, a replayed response, or a refusal.
//!
//! The state machine decides the next step, and the I/O layer executes it and reports the result. Every dispatch goes
//! through [`AttemptTable`] and every refusal produces a [`RequestOutcome`], so a late or duplicate report has no
//! effect.

use std::time::Duration;

use super::attempt_table::{
    AbandonProof, AttemptPhase, AttemptTable, ConflictResolution, DispatchPermit,
};
use super::bucket::{ChangeOutcome, ClaimEntry, StoredResponse};
use super::key::{AttemptId, CLAIM_TTL, Claim, ClaimKey, MAX_CLOCK_SKEW};
use super::writer::{Change, Decision};
use crate::id::{Incarnation, RouterId};
use crate::request::refusal::{
    EarlierSends, NotRun, NotRunProof, NotRunReason, RequestOutcome, Undispatched, Unknown,
    UnknownReason,
};

const RETRY_AFTER_OUTAGE: Duration = Duration::from_secs(1);
const RETRY_AFTER_IN_PROGRESS: Duration = Duration::from_secs(1);
const RETRY_AFTER_LOSS: Duration = Duration::from_secs(60);

/// The next step that the I/O layer must execute for a send.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Submit the claim to the writer or the owner of its bucket.
    Submit(Claim, Option<AbandonProof>),
    /// Ask the given incarnation of a router whether it abandoned the attempt.
    AskRouter(RouterId, Incarnation, AttemptId),
    /// Dispatch the call to a backend server.
    Dispatch(DispatchPermit),
    /// Return the stored response to the caller.
    Replay(StoredResponse),
    /// End the send without a response.
    Finish(RequestOutcome),
    /// Do nothing: the report arrived too late.
    Ignore,
}

/// One send of a claimed call, as handled by this router.
#[derive(Debug)]
pub struct Attempt {
    claim: Claim,
    earlier_sends: EarlierSends,
    queried_entry: Option<Box<ClaimEntry>>,
}

/// Checks that the timestamp in `key` can be claimed; runs before any other work on the call.
///
/// # Errors
///
/// Returns the outcome of the send if the key is invalid, has expired, or lies too far in the future.
pub fn check_key(
    key: &ClaimKey,
    send: Undispatched,
    unix_now: Duration,
) -> Result<Undispatched, RequestOutcome> {
    let Some(time) = key.time() else {
        return Err(send.refuse(NotRunReason::KeyInvalid, Duration::ZERO));
    };
    if time > unix_now + MAX_CLOCK_SKEW {
        return Err(send.refuse(NotRunReason::KeyInvalid, time - unix_now));
    }
    if time + CLAIM_TTL < unix_now {
        return Err(unknown(UnknownReason::KeyExpired, Duration::ZERO));
    }
    Ok(send)
}

const fn unknown(reason: UnknownReason, retry_after: Duration) -> RequestOutcome {
    RequestOutcome::OutcomeUnknown(Unknown {
        reason,
        retry_after,
    })
}

impl Attempt {
    /// Begins the claim of a send; [`Undispatched`] can no longer refuse it.
    pub fn begin(claim: Claim, send: Undispatched, attempts: &mut AttemptTable) -> (Self, Step) {
        attempts.begin(claim.attempt);
        let step = Step::Submit(claim.clone(), None);
        let attempt = Self {
            claim,
            earlier_sends: send.into_earlier_sends(),
            queried_entry: None,
        };
        (attempt, step)
    }

    /// Returns the claim of this send.
    #[must_use]
    pub const fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Handles the decision on the claim.
    pub fn on_decision(&mut self, decision: Decision, attempts: &mut AttemptTable) -> Step {
        if attempts.phase(self.claim.attempt) != Some(&AttemptPhase::Claiming) {
            return Step::Ignore;
        }
        let Decision::Decided(outcome) = decision else {
            return self.on_unavailable(attempts);
        };
        match outcome {
            ChangeOutcome::Granted => self.on_granted(attempts),
            ChangeOutcome::Taken(entry) => self.on_taken(&entry, attempts),
            ChangeOutcome::ContentDiffers => {
                let outcome = unknown(UnknownReason::ContentDiffers, Duration::ZERO);
                self.finish(outcome, attempts)
            }
            ChangeOutcome::Full => {
                self.refuse(NotRunReason::Overload, RETRY_AFTER_OUTAGE, attempts)
            }
            ChangeOutcome::Expired => {
                let outcome = unknown(UnknownReason::KeyExpired, Duration::ZERO);
                self.finish(outcome, attempts)
            }
            ChangeOutcome::Recorded => unreachable!("a claim was decided like a recorded outcome"),
        }
    }

    /// Handles a claim that was not decided in time.
    pub fn on_unavailable(&mut self, attempts: &mut AttemptTable) -> Step {
        if attempts.phase(self.claim.attempt) != Some(&AttemptPhase::Claiming) {
            return Step::Ignore;
        }
        let reason = NotRunReason::StoreUnavailable;
        self.refuse(reason, RETRY_AFTER_OUTAGE, attempts)
    }

    fn on_granted(&self, attempts: &mut AttemptTable) -> Step {
        if !attempts.confirm(self.claim.attempt) {
            return Step::Ignore;
        }
        Step::Dispatch(attempts.dispatch(self.claim.attempt))
    }

    fn on_taken(&mut self, entry: &ClaimEntry, attempts: &mut AttemptTable) -> Step {
        let outcome = match attempts.resolve_conflict(entry) {
            ConflictResolution::Ran(response) => {
                attempts.abandon(self.claim.attempt);
                return Step::Replay(response);
            }
            ConflictResolution::TakeOver(proof) => return self.take_over(entry, proof, attempts),
            ConflictResolution::AskRouter(router, incarnation) => {
                self.queried_entry = Some(Box::new(entry.clone()));
                return Step::AskRouter(router, incarnation, entry.attempt_id());
            }
            ConflictResolution::RanResponseNotStored => RequestOutcome::RanAnswerNotKept,
            ConflictResolution::NotRun => Self::refused_by_entry(entry),
            ConflictResolution::InProgress => {
                unknown(UnknownReason::InProgress, RETRY_AFTER_IN_PROGRESS)
            }
            ConflictResolution::ClaimerLost => {
                unknown(UnknownReason::ClaimerLost, RETRY_AFTER_LOSS)
            }
        };
        self.finish(outcome, attempts)
    }

    fn refused_by_entry(entry: &ClaimEntry) -> RequestOutcome {
        Self::refused_before(NotRunProof::from_entry(entry))
    }

    fn refused_before(proof: Option<NotRunProof>) -> RequestOutcome {
        let reason = NotRunReason::RefusedBefore;
        match proof {
            Some(proof) => RequestOutcome::NotRun(NotRun::new(proof, reason, Duration::ZERO)),
            None => unknown(UnknownReason::ClaimerLost, RETRY_AFTER_LOSS),
        }
    }

    /// Handles the reply of the queried router: its proof, or `None` if it has none or did not reply.
    pub fn on_query_reply(
        &mut self,
        proof: Option<AbandonProof>,
        attempts: &mut AttemptTable,
    ) -> Step {
        if attempts.phase(self.claim.attempt) != Some(&AttemptPhase::Claiming) {
            return Step::Ignore;
        }
        let entry = self.queried_entry.take();
        match (proof, entry) {
            (Some(proof), Some(entry)) => self.take_over(&entry, proof, attempts),
            _ => {
                let outcome = unknown(UnknownReason::ClaimerLost, RETRY_AFTER_IN_PROGRESS);
                self.finish(outcome, attempts)
            }
        }
    }

    /// Resubmits the claim with the proof, or refuses the send if it is not later than the abandoned one.
    fn take_over(
        &self,
        entry: &ClaimEntry,
        proof: AbandonProof,
        attempts: &mut AttemptTable,
    ) -> Step {
        if proof.covers(entry) && entry.precedes(&self.claim) {
            return Step::Submit(self.claim.clone(), Some(proof));
        }
        let outcome = Self::refused_before(NotRunProof::from_abandoned_entry(entry, &proof));
        self.finish(outcome, attempts)
    }

    /// Returns the permit after a failed connection, so that another replica can be tried.
    ///
    /// Returns the permit for the next replica.
    pub fn connect_failed(
        &self,
        permit: DispatchPermit,
        attempts: &mut AttemptTable,
    ) -> DispatchPermit {
        attempts.connect_failed(permit);
        attempts.dispatch(self.claim.attempt)
    }

    /// Ends a send for which no replica accepted a connection; the returned change records this in the bucket.
    pub fn no_replica(
        &mut self,
        permit: DispatchPermit,
        retry_after: Duration,
        attempts: &mut AttemptTable,
    ) -> (RequestOutcome, Change) {
        attempts.connect_failed(permit);
        let proof = attempts.abandon(self.claim.attempt);
        let proof = proof.expect("a confirmed attempt can be abandoned");
        let (key, attempt) = (self.claim.key.clone(), self.claim.attempt);
        let change = Change::RecordNotRun(key, attempt);
        let reason = NotRunReason::NoReplica;
        let outcome =
            RequestOutcome::from_abandoned(&proof, self.earlier_sends, reason, retry_after);
        (outcome, change)
    }

    /// Ends a send whose call ran; the returned change records this in the bucket.
    pub fn ran(&mut self, response: Option<StoredResponse>, attempts: &mut AttemptTable) -> Change {
        attempts.finish(self.claim.attempt);
        Change::RecordRan(self.claim.key.clone(), self.claim.attempt, response)
    }

    /// Ends a send whose response was lost after the call may have been sent.
    pub fn answer_lost(&mut self, attempts: &mut AttemptTable) -> RequestOutcome {
        attempts.finish(self.claim.attempt);
        unknown(UnknownReason::AnswerLost, RETRY_AFTER_LOSS)
    }

    fn refuse(
        &self,
        reason: NotRunReason,
        retry_after: Duration,
        attempts: &mut AttemptTable,
    ) -> Step {
        let outcome = match attempts.abandon(self.claim.attempt) {
            Some(proof) => {
                RequestOutcome::from_abandoned(&proof, self.earlier_sends, reason, retry_after)
            }
            None => unknown(UnknownReason::AnswerLost, retry_after),
        };
        Step::Finish(outcome)
    }

    fn finish(&self, outcome: RequestOutcome, attempts: &mut AttemptTable) -> Step {
        attempts.abandon(self.claim.attempt);
        Step::Finish(outcome)
    }
}
