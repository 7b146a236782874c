//! Outcomes of a request, and the only place that can report "not run".
//!
//! A caller that is told "not run" may act on it, for example by paying in another way. So [`NotRun`] requires a
//! [`NotRunProof`], which has no public constructor. For a call with an idempotency key it is not enough that this send
//! was not dispatched, because an earlier send of the same key may have run through another router. Such a send ends as
//! [`Unknown`], which tells the caller to send the same key again, which is always safe. See
//! docs/operations/outcome-unknown.md.

use std::time::Duration;

use super::claim::{AbandonProof, ClaimEntry, ClaimState};

/// Header with the caller's number for each send of one idempotency key: one, two, and so on.
///
/// With it, a first send can be refused as "not run" before it is claimed, and a later send may run a call whose
/// earlier send was refused. Without it, the first case is reported as an unknown outcome, and the second stays "not
/// run".
pub const HEADER_SEND_NUMBER: &str = "x-crocuswharf-send";

/// The outcome of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller received the complete response.
    Answered,
    /// The call ran, but its response was not stored for repeated sends.
    RanAnswerNotKept,
    /// It is unknown, or not yet known, whether the call ran.
    OutcomeUnknown(Unknown),
    /// The call did not run.
    NotRun(NotRun),
}

/// Why a request was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// A limit of the client account is reached.
    AccountLimit,
    /// The response would be too late to be useful.
    Overload,
    /// No replica of the service can be reached.
    NoReplica,
    /// An earlier send of the key was refused; the next one needs a higher number or a new key.
    RefusedBefore,
    /// The platform can't be reached, so the call can't be claimed.
    StoreUnavailable,
    /// A non-idempotent call was sent without an idempotency key.
    KeyMissing,
    /// The idempotency key is not a UUIDv7, or its timestamp lies in the future.
    KeyInvalid,
    /// The router is shutting down.
    Draining,
    /// The request names no service that the account may call, or is malformed.
    BadRequest,
}

/// Why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownReason {
    /// The response of the backend server was lost after the call may have been sent.
    AnswerLost,
    /// The router that held the claim is gone.
    ClaimerLost,
    /// Another send of the key is in progress.
    InProgress,
    /// The key was used for a different request, whose outcome is not disclosed to this send.
    ContentDiffers,
    /// The key is older than the retained claims.
    KeyExpired,
    /// This send was refused for the given reason, but an earlier send of the key may have run.
    EarlierSend(NotRunReason),
}

/// Proof that a call did not run and will not run for any send that the caller has made so far.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRunProof(());

/// A refusal reported as "not run".
#[derive(Debug, PartialEq, Eq)]
pub struct NotRun {
    reason: NotRunReason,
    retry_after: Duration,
    _proof: NotRunProof,
}

/// An unknown outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unknown {
    /// Why the outcome is unknown.
    pub reason: UnknownReason,
    /// The time after which the same key may be sent again.
    pub retry_after: Duration,
}

/// What is known about earlier sends of the same call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlierSends {
    /// The call is idempotent, or it has no key and is thus independent of any other send.
    Irrelevant,
    /// The caller numbered this send as the first of the key.
    None,
    /// There may have been earlier sends.
    Possible,
}

/// A send that was not dispatched; dispatching or claiming it consumes this value.
#[derive(Debug, PartialEq, Eq)]
pub struct Undispatched {
    earlier_sends: EarlierSends,
}

impl EarlierSends {
    /// Returns what the caller's send number tells about earlier sends of an idempotency key.
    #[must_use]
    pub fn from_send_number(number: Option<u32>) -> Self {
        match number {
            Some(1) => Self::None,
            _ => Self::Possible,
        }
    }
}

impl NotRunProof {
    /// Creates the proof from an abandoned attempt if it held the confirmed claim, which rules out all other attempts.
    #[must_use]
    pub fn from_abandoned(abandoned: &AbandonProof) -> Option<Self> {
        abandoned.is_confirmed().then_some(Self(()))
    }

    /// Creates the proof from a bucket entry that records the call as not run.
    ///
    /// After that, only a later send by the caller may run the call.
    #[must_use]
    pub fn from_entry(entry: &ClaimEntry) -> Option<Self> {
        (entry.state() == ClaimState::NotRun).then_some(Self(()))
    }

    /// Creates the proof from a bucket entry whose attempt was abandoned.
    #[must_use]
    pub fn from_abandoned_entry(entry: &ClaimEntry, abandoned: &AbandonProof) -> Option<Self> {
        let is_open = entry.state() == ClaimState::Claimed;
        (is_open && abandoned.covers(entry)).then_some(Self(()))
    }
}

impl NotRun {
    /// Creates a "not run" refusal with its reason and the time after which a retry makes sense.
    #[must_use]
    pub const fn new(proof: NotRunProof, reason: NotRunReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after,
            _proof: proof,
        }
    }

    /// Returns why the request was refused.
    #[must_use]
    pub const fn reason(&self) -> NotRunReason {
        self.reason
    }

    /// Returns the time after which a retry makes sense.
    #[must_use]
    pub const fn retry_after(&self) -> Duration {
        self.retry_after
    }
}

impl Undispatched {
    /// Creates the value for a send; a router creates exactly one for each send that it receives.
    #[must_use]
    pub const fn new(earlier_sends: EarlierSends) -> Self {
        Self { earlier_sends }
    }

    /// Refuses the send: as "not run" if that holds for the whole call, otherwise as an unknown outcome.
    #[must_use]
    pub const fn refuse(self, reason: NotRunReason, retry_after: Duration) -> RequestOutcome {
        match self.earlier_sends {
            EarlierSends::Irrelevant | EarlierSends::None => {
                RequestOutcome::NotRun(NotRun::new(NotRunProof(()), reason, retry_after))
            }
            EarlierSends::Possible => RequestOutcome::OutcomeUnknown(Unknown {
                reason: UnknownReason::EarlierSend(reason),
                retry_after,
            }),
        }
    }

    /// Consumes the value, and with it the right to refuse, because the send is about to be dispatched or claimed.
    ///
    /// Returns what is known about earlier sends, for an attempt that fails before its claim is confirmed.
    #[must_use]
    pub const fn into_earlier_sends(self) -> EarlierSends {
        self.earlier_sends
    }
}

impl RequestOutcome {
    /// Returns the value of the `x-crocuswharf-run` header.
    #[must_use]
    pub const fn run_header(&self) -> &'static str {
        match self {
            Self::Answered | Self::RanAnswerNotKept => "ran",
            Self::OutcomeUnknown(_) => "unknown",
            Self::NotRun(_) => "not-run",
        }
    }

    /// Returns the outcome of a claimed send whose attempt was abandoned.
    ///
    /// The attempt will never be dispatched. The call counts as "not run" if the attempt held the confirmed claim, or
    /// if `earlier_sends` rules out that another send ran.
    #[must_use]
    pub fn from_abandoned(
        abandoned: &AbandonProof,
        earlier_sends: EarlierSends,
        reason: NotRunReason,
        retry_after: Duration,
    ) -> Self {
        match NotRunProof::from_abandoned(abandoned) {
            Some(proof) => Self::NotRun(NotRun::new(proof, reason, retry_after)),
            None => Undispatched::new(earlier_sends).refuse(reason, retry_after),
        }
    }
}

impl NotRunReason {
    /// Returns the reason as the `code` of the error object.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::AccountLimit => "account_limit",
            Self::Overload => "overload",
            Self::NoReplica => "no_replica",
            Self::RefusedBefore => "refused_before",
            Self::StoreUnavailable => "store_unavailable",
            Self::KeyMissing => "idempotency_key_missing",
            Self::KeyInvalid => "idempotency_key_invalid",
            Self::Draining => "draining",
            Self::BadRequest => "bad_request",
        }
    }
}

impl UnknownReason {
    /// Returns the reason as the `code` of the error object.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::AnswerLost => "answer_lost",
            Self::ClaimerLost => "claimer_lost",
            Self::InProgress => "in_progress",
            Self::ContentDiffers => "idempotency_key_reused",
            Self::KeyExpired => "idempotency_key_expired",
            Self::EarlierSend(reason) => reason.code(),
        }
    }
}
