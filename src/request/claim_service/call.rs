//! One claimed call, from the claim to its end.

use std::time::Duration;

use super::{ClaimService, unix_now};
use crate::request::claim::{
    Attempt, Change, Claim, ClaimKey, Decision, DispatchPermit, Step, StoredResponse, check_key,
};
use crate::request::refusal::{EarlierSends, RequestOutcome, Undispatched};

/// Maximum number of steps of one send, so that a chain of takeovers ends.
const MAX_STEPS: usize = 8;

/// The outcome of claiming a call.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The call may be dispatched.
    Dispatch(ClaimedCall),
    /// The call ran before; this is its stored response.
    Replay(StoredResponse),
    /// The send ends without a dispatch.
    Finish(RequestOutcome),
}

/// A call that holds its claim and may be dispatched once.
#[derive(Debug)]
pub struct ClaimedCall {
    service: ClaimService,
    attempt: Attempt,
    permit: Option<DispatchPermit>,
}

impl ClaimService {
    /// Claims the call identified by `key`, with the digest of its request and the caller's send number.
    pub async fn claim(
        &self,
        key: ClaimKey,
        digest: [u8; 16],
        send_number: Option<u32>,
    ) -> ClaimOutcome {
        let send = Undispatched::new(EarlierSends::from_send_number(send_number));
        let send = match check_key(&key, send, unix_now()) {
            Ok(send) => send,
            Err(outcome) => return ClaimOutcome::Finish(outcome),
        };
        let claim = Claim {
            key,
            digest,
            attempt: uuid::Uuid::now_v7(),
            router: self.inner.options.router.clone(),
            incarnation: self.inner.options.incarnation,
            send_number,
        };
        let (attempt, step) = Attempt::begin(claim, send, &mut self.attempts());
        self.run_steps(attempt, step).await
    }

    async fn run_steps(&self, mut attempt: Attempt, mut step: Step) -> ClaimOutcome {
        for _ in 0..MAX_STEPS {
            step = match step {
                Step::Submit(claim, proof) => {
                    let decision = self.submit(Change::Claim(claim, proof)).await;
                    attempt.on_decision(decision, &mut self.attempts())
                }
                Step::AskRouter(router, incarnation, queried) => {
                    let proof = self.query_router(&router, incarnation, queried).await;
                    attempt.on_query_reply(proof, &mut self.attempts())
                }
                Step::Dispatch(permit) => {
                    return ClaimOutcome::Dispatch(ClaimedCall {
                        service: self.clone(),
                        attempt,
                        permit: Some(permit),
                    });
                }
                Step::Replay(response) => return ClaimOutcome::Replay(response),
                Step::Finish(outcome) => return ClaimOutcome::Finish(outcome),
                Step::Ignore => {
                    unreachable!("each report of a send follows the step that caused it")
                }
            };
        }
        match attempt.on_unavailable(&mut self.attempts()) {
            Step::Finish(outcome) => ClaimOutcome::Finish(outcome),
            step => unreachable!("unexpected step after abandoning an unconfirmed send: {step:?}"),
        }
    }

    /// Submits a claim to the owner of its bucket, or to the local writer if the owner does not reply.
    async fn submit(&self, change: Change) -> Decision {
        if let Some(decision) = self.claim_at_owner(&change).await {
            return decision;
        }
        let timeout = self.inner.options.claim_timeout;
        self.decide_locally(change, timeout).await
    }
}

impl ClaimedCall {
    /// Returns the request ID under which the call is dispatched.
    #[must_use]
    pub const fn request_id(&self) -> uuid::Uuid {
        self.attempt.claim().attempt
    }

    /// Records that no connection could be established, so that another replica can be tried.
    ///
    /// # Panics
    ///
    /// Panics if the call has ended.
    pub fn connect_failed(&mut self) {
        let permit = self.permit.take().expect("the call has ended");
        let again = self
            .attempt
            .connect_failed(permit, &mut self.service.attempts());
        self.permit = Some(again);
    }

    /// Ends a call for which no replica accepted a connection.
    ///
    /// # Panics
    ///
    /// Panics if the call has ended.
    #[must_use]
    pub fn no_replica(mut self, retry_after: Duration) -> RequestOutcome {
        let permit = self.permit.take().expect("the call has ended");
        let attempts = &mut self.service.attempts();
        let (outcome, change) = self.attempt.no_replica(permit, retry_after, attempts);
        self.service.record(change);
        outcome
    }

    /// Ends a call that ran, and stores its response for repeated sends if it fits.
    pub fn ran(mut self, response: Option<StoredResponse>) {
        self.permit = None;
        let change = self.attempt.ran(response, &mut self.service.attempts());
        self.service.record(change);
    }

    /// Ends a call whose response was lost after the call may have been sent.
    #[must_use]
    pub fn answer_lost(mut self) -> RequestOutcome {
        self.permit = None;
        self.attempt.answer_lost(&mut self.service.attempts())
    }
}

impl Drop for ClaimedCall {
    /// Records an unknown outcome if the call is dropped with its permit, because it may have been sent.
    fn drop(&mut self) {
        if self.permit.take().is_some() {
            let _ = self.attempt.answer_lost(&mut self.service.attempts());
        }
    }
}
