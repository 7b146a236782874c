//! Table of a router's own attempts; every dispatch and every abandonment of a claimed call goes through it.
//!
//! An attempt is dispatched at most once, and only after its claim was confirmed. An abandoned attempt is never
//! dispatched. [`AttemptTable`] asserts both.

use std::collections::{HashMap, VecDeque};

use super::bucket::{ClaimEntry, ClaimState, StoredResponse};
use super::key::AttemptId;
use crate::id::{Incarnation, RouterId};

/// Maximum number of abandoned attempts kept so that later sends can take over their claims.
const MAX_RETAINED_PROOFS: usize = 4_096;

/// The state of an attempt in this router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptPhase {
    /// The claim was requested but is not yet confirmed.
    Claiming,
    /// The claim is confirmed; the call may be dispatched.
    Confirmed,
    /// The call may have been sent to a backend server.
    Dispatched,
    /// The attempt was abandoned before dispatch and will never be dispatched.
    Abandoned(AbandonProof),
}

/// Proof that an attempt was never dispatched and never will be.
///
/// Only the [`AttemptTable`] of the router that made the attempt creates it. Other routers receive it over an
/// authenticated connection as an [`AbandonProofMessage`](crate::request::message::AbandonProofMessage).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AbandonProof {
    attempt: AttemptId,
    router: RouterId,
    incarnation: Incarnation,
    is_confirmed: bool,
}

/// Permission to dispatch one attempt once; it is not `Clone`.
#[derive(Debug, PartialEq, Eq)]
pub struct DispatchPermit {
    attempt: AttemptId,
}

/// How a send proceeds when another attempt holds its claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConflictResolution {
    /// The call ran; this is its response.
    Ran(StoredResponse),
    /// The call ran, but its response was not stored.
    RanResponseNotStored,
    /// The bucket records that the call did not run, and this send is not later than the refused one.
    NotRun,
    /// Another send with the same key is in progress in this router.
    InProgress,
    /// The other attempt was abandoned; a later send may take over its claim with this proof.
    TakeOver(AbandonProof),
    /// Only the given incarnation of another router may know the state of the attempt.
    AskRouter(RouterId, Incarnation),
    /// The router that held the claim is gone, so it is unknown whether the call ran.
    ClaimerLost,
}

/// The attempts of one incarnation of a router.
#[derive(Clone, Debug)]
pub struct AttemptTable {
    router: RouterId,
    incarnation: Incarnation,
    attempts: HashMap<AttemptId, AttemptPhase>,
    abandoned: VecDeque<AttemptId>,
}

impl AbandonProof {
    /// Creates a proof from the statement of `peer` in `incarnation`, received over an authenticated connection.
    #[must_use]
    pub fn from_peer(attempt: AttemptId, peer: RouterId, incarnation: Incarnation) -> Self {
        Self {
            attempt,
            router: peer,
            incarnation,
            is_confirmed: false,
        }
    }

    /// Returns the abandoned attempt.
    #[must_use]
    pub const fn attempt(&self) -> AttemptId {
        self.attempt
    }

    /// Returns the router that abandoned the attempt.
    #[must_use]
    pub const fn router(&self) -> &RouterId {
        &self.router
    }

    /// Returns the incarnation of that router.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns whether the attempt held a confirmed claim, which rules out that another attempt ran before it.
    #[must_use]
    pub const fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Returns whether the proof is for the attempt in `entry`.
    #[must_use]
    pub fn covers(&self, entry: &ClaimEntry) -> bool {
        entry.attempt_id() == self.attempt
            && *entry.router == *self.router
            && entry.incarnation == self.incarnation
    }
}

impl DispatchPermit {
    /// Returns the attempt that may be dispatched; its ID is sent to the backend server as the request ID.
    #[must_use]
    pub const fn attempt(&self) -> AttemptId {
        self.attempt
    }
}

impl AttemptTable {
    /// Creates an empty table for one incarnation of a router.
    #[must_use]
    pub fn new(router: RouterId, incarnation: Incarnation) -> Self {
        Self {
            router,
            incarnation,
            attempts: HashMap::new(),
            abandoned: VecDeque::new(),
        }
    }

    /// Returns the number of attempts that are not abandoned; the drain waits for it to reach zero.
    #[must_use]
    pub fn open_attempts(&self) -> usize {
        self.attempts.len() - self.abandoned.len()
    }

    /// Records that `attempt` requests its claim.
    ///
    /// # Panics
    ///
    /// Panics if the attempt ID was used before.
    pub fn begin(&mut self, attempt: AttemptId) {
        let previous = self.attempts.insert(attempt, AttemptPhase::Claiming);
        assert!(previous.is_none(), "duplicate attempt ID");
    }

    /// Records that the bucket names `attempt` as the holder, and returns whether it may now be dispatched.
    ///
    /// A duplicate confirmation, or one that arrives after the attempt was abandoned, has no effect.
    pub fn confirm(&mut self, attempt: AttemptId) -> bool {
        let Some(phase) = self.attempts.get_mut(&attempt) else {
            return false;
        };
        let is_awaited = *phase == AttemptPhase::Claiming;
        if is_awaited {
            *phase = AttemptPhase::Confirmed;
        }
        is_awaited
    }

    /// Issues the permit to dispatch `attempt`.
    ///
    /// # Panics
    ///
    /// Panics if the claim is not confirmed, or if the attempt was already dispatched or abandoned.
    pub fn dispatch(&mut self, attempt: AttemptId) -> DispatchPermit {
        let phase = self.attempts.get_mut(&attempt);
        let is_confirmed = matches!(phase, Some(AttemptPhase::Confirmed));
        assert!(
            is_confirmed,
            "dispatch of an attempt without a confirmed claim"
        );
        self.attempts.insert(attempt, AttemptPhase::Dispatched);
        DispatchPermit { attempt }
    }

    /// Returns a permit after a failed connection, when no byte has been sent.
    ///
    /// # Panics
    ///
    /// Panics if the attempt of the permit is not in the dispatched state.
    pub fn connect_failed(&mut self, permit: DispatchPermit) {
        let phase = self.attempts.get(&permit.attempt);
        let is_dispatched = matches!(phase, Some(AttemptPhase::Dispatched));
        assert!(
            is_dispatched,
            "returned permit of an attempt that is not dispatched"
        );
        self.attempts
            .insert(permit.attempt, AttemptPhase::Confirmed);
    }

    /// Abandons `attempt` and returns the proof, or `None` if the call may have been sent.
    pub fn abandon(&mut self, attempt: AttemptId) -> Option<AbandonProof> {
        let is_confirmed = match self.attempts.get(&attempt)? {
            AttemptPhase::Claiming => false,
            AttemptPhase::Confirmed => true,
            AttemptPhase::Dispatched => return None,
            AttemptPhase::Abandoned(proof) => return Some(proof.clone()),
        };
        let proof = AbandonProof {
            attempt,
            router: self.router.clone(),
            incarnation: self.incarnation,
            is_confirmed,
        };
        self.retain_proof(&proof);
        Some(proof)
    }

    fn retain_proof(&mut self, proof: &AbandonProof) {
        let attempt = proof.attempt;
        self.attempts
            .insert(attempt, AttemptPhase::Abandoned(proof.clone()));
        self.abandoned.push_back(attempt);
        if self.abandoned.len() <= MAX_RETAINED_PROOFS {
            return;
        }
        if let Some(oldest) = self.abandoned.pop_front() {
            self.attempts.remove(&oldest);
        }
    }

    /// Removes a dispatched attempt whose send has ended, with or without a response.
    ///
    /// After that the router can't answer queries about the attempt, and only the bucket entry tells its outcome.
    pub fn finish(&mut self, attempt: AttemptId) {
        if self.attempts.get(&attempt) == Some(&AttemptPhase::Dispatched) {
            self.attempts.remove(&attempt);
        }
    }

    /// Returns the state of `attempt`, or `None` if it has ended or belongs to another incarnation.
    #[must_use]
    pub fn phase(&self, attempt: AttemptId) -> Option<&AttemptPhase> {
        self.attempts.get(&attempt)
    }

    /// Decides how a send proceeds when another attempt holds its claim.
    #[must_use]
    pub fn resolve_conflict(&self, entry: &ClaimEntry) -> ConflictResolution {
        match entry.state() {
            ClaimState::RanResponseStored => match &entry.response {
                Some(response) => ConflictResolution::Ran(response.clone()),
                None => ConflictResolution::RanResponseNotStored,
            },
            ClaimState::RanResponseNotStored => ConflictResolution::RanResponseNotStored,
            ClaimState::NotRun => ConflictResolution::NotRun,
            ClaimState::Claimed => self.resolve_claimed(entry),
        }
    }

    fn resolve_claimed(&self, entry: &ClaimEntry) -> ConflictResolution {
        if *entry.router != *self.router {
            return ConflictResolution::AskRouter(entry.router.as_str().into(), entry.incarnation);
        }
        if entry.incarnation != self.incarnation {
            return ConflictResolution::ClaimerLost;
        }
        match self.attempts.get(&entry.attempt_id()) {
            Some(AttemptPhase::Abandoned(proof)) => ConflictResolution::TakeOver(proof.clone()),
            Some(_) => ConflictResolution::InProgress,
            None => ConflictResolution::ClaimerLost,
        }
    }
}
