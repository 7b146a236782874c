//! One claimed call, from the claim to its end.

use std::time::Duration;

use super::{ClaimService, unix_now};
use crate::request::claim::{
    Attempt, Change, Claim, ClaimKey, Decision, DispatchPermit, KeptAnswer, Step, check_key,
};
use crate::request::refusal::{EarlierSends, End, Undispatched};

/// The steps that one send may take; the chain of takeovers is bounded so that a send ends.
const MAX_STEPS: usize = 8;

/// What a send's claim leads to.
#[derive(Debug)]
pub enum Claimed {
    /// The call may be dispatched.
    Dispatch(ClaimedCall),
    /// The call ran before; this is its answer.
    Replay(KeptAnswer),
    /// The send ends here.
    Finish(End),
}

/// A call that holds its claim and may be dispatched once.
#[derive(Debug)]
pub struct ClaimedCall {
    service: ClaimService,
    attempt: Attempt,
    permit: Option<DispatchPermit>,
}

impl ClaimService {
    /// Claims the call under `key`, whose content has `digest`, for the caller's send with this number.
    pub async fn claim(
        &self,
        key: ClaimKey,
        digest: [u8; 16],
        send_number: Option<u32>,
    ) -> Claimed {
        let send = Undispatched::new(EarlierSends::of_send_number(send_number));
        let send = match check_key(&key, send, unix_now()) {
            Ok(send) => send,
            Err(end) => return Claimed::Finish(end),
        };
        let claim = Claim {
            key,
            digest,
            attempt: uuid::Uuid::now_v7(),
            router: self.inner.options.router.clone(),
            incarnation: self.inner.options.incarnation,
            send_number,
        };
        let (attempt, step) = Attempt::begin(claim, send, &mut self.ledger());
        self.follow(attempt, step).await
    }

    async fn follow(&self, mut attempt: Attempt, mut step: Step) -> Claimed {
        for _ in 0..MAX_STEPS {
            step = match step {
                Step::Submit(claim, proof) => {
                    let decision = self.submit(Change::Claim(claim, proof)).await;
                    attempt.decided(decision, &mut self.ledger())
                }
                Step::AskRouter(router, incarnation, asked) => {
                    let word = self.ask_router(&router, incarnation, asked).await;
                    attempt.answered_by_router(word, &mut self.ledger())
                }
                Step::Dispatch(permit) => {
                    return Claimed::Dispatch(ClaimedCall {
                        service: self.clone(),
                        attempt,
                        permit: Some(permit),
                    });
                }
                Step::Replay(answer) => return Claimed::Replay(answer),
                Step::Finish(end) => return Claimed::Finish(end),
                Step::Ignore => unreachable!("a send's reports come one by one"),
            };
        }
        match attempt.unavailable(&mut self.ledger()) {
            Step::Finish(end) => Claimed::Finish(end),
            step => unreachable!("an unconfirmed send ends when it is given up: {step:?}"),
        }
    }

    /// Submits a claim to the owner of its bucket, and here where the owner does not answer.
    async fn submit(&self, change: Change) -> Decision {
        if let Some(decision) = self.claim_at_owner(&change).await {
            return decision;
        }
        let timeout = self.inner.options.claim_timeout;
        self.decide_here(change, timeout).await
    }
}

impl ClaimedCall {
    /// Returns the id under which the call is dispatched.
    #[must_use]
    pub const fn request_id(&self) -> uuid::Uuid {
        self.attempt.claim().attempt
    }

    /// Notes that no connection could be made, so that another replica may be tried.
    ///
    /// # Panics
    ///
    /// Panics where the call has ended.
    pub fn connect_failed(&mut self) {
        let permit = self.permit.take().expect("a call is dispatched once");
        let again = self
            .attempt
            .connect_failed(permit, &mut self.service.ledger());
        self.permit = Some(again);
    }

    /// Ends a call for which no connection could be made anywhere.
    ///
    /// # Panics
    ///
    /// Panics where the call has ended.
    #[must_use]
    pub fn no_replica(mut self, retry_after: Duration) -> End {
        let permit = self.permit.take().expect("a call is dispatched once");
        let ledger = &mut self.service.ledger();
        let (end, change) = self.attempt.no_replica(permit, retry_after, ledger);
        self.service.settle(change);
        end
    }

    /// Ends a call that ran, and keeps its answer for repeats where there is room.
    pub fn ran(mut self, answer: Option<KeptAnswer>) {
        self.permit = None;
        let change = self.attempt.ran(answer, &mut self.service.ledger());
        self.service.settle(change);
    }

    /// Ends a call whose answer was lost after it may have left.
    #[must_use]
    pub fn answer_lost(mut self) -> End {
        self.permit = None;
        self.attempt.answer_lost(&mut self.service.ledger())
    }
}

impl Drop for ClaimedCall {
    /// A call that is dropped with its permit may have left, so its outcome stays unknown.
    fn drop(&mut self) {
        if self.permit.take().is_some() {
            let _ = self.attempt.answer_lost(&mut self.service.ledger());
        }
    }
}
