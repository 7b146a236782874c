//! Messages between routers about claims and abandoned attempts.
//!
//! The peer connection authenticates both ends, so the receiver takes the sender's router and incarnation from the
//! connection, not from the message.

use bytes::Bytes;
use prost::Message;
use uuid::Uuid;

use super::claim::{
    AbandonProof, Change, ChangeOutcome, Claim, ClaimEntry, ClaimKey, Decision, StoredResponse,
};
use crate::id::{Incarnation, RouterId};

/// A request to another router about claims.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimRequest {
    /// The body of the request.
    #[prost(oneof = "ClaimRequestBody", tags = "1, 2, 3")]
    pub body: Option<ClaimRequestBody>,
}

/// The kinds of requests about claims.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum ClaimRequestBody {
    /// Add a claim; answered with a [`ClaimReply`].
    #[prost(message, tag = "1")]
    Claim(ClaimMessage),
    /// Record the outcome of an attempt; answered with an [`OutcomeReply`].
    #[prost(message, tag = "2")]
    Record(OutcomeMessage),
    /// Query whether an attempt was abandoned; answered with an [`AttemptReply`].
    #[prost(message, tag = "3")]
    Query(AttemptQuery),
}

/// The reply to an [`AttemptQuery`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AttemptReply {
    /// The proof, if the router abandoned the attempt in the queried incarnation.
    #[prost(message, optional, tag = "1")]
    pub proof: Option<AbandonProofMessage>,
}

/// A claim sent to the owner of its bucket.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimMessage {
    /// The client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The idempotency key.
    #[prost(bytes = "bytes", tag = "2")]
    pub key: Bytes,
    /// The digest of the request.
    #[prost(bytes = "bytes", tag = "3")]
    pub digest: Bytes,
    /// The attempt that requests the claim.
    #[prost(bytes = "bytes", tag = "4")]
    pub attempt: Bytes,
    /// The caller's send number; zero if the caller gave none.
    #[prost(uint32, tag = "5")]
    pub send_number: u32,
    /// The abandoned attempt whose claim may be taken over.
    #[prost(message, optional, tag = "6")]
    pub takeover: Option<TakeoverMessage>,
}

/// The proof sent with a claim that takes over another one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct TakeoverMessage {
    /// The router that abandoned the attempt.
    #[prost(string, tag = "1")]
    pub router: String,
    /// The incarnation of that router.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The proof given by that router.
    #[prost(message, required, tag = "3")]
    pub proof: AbandonProofMessage,
}

/// The bucket owner's reply to a [`ClaimMessage`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimReply {
    /// The attempt that requested the claim.
    #[prost(bytes = "bytes", tag = "1")]
    pub attempt: Bytes,
    /// The decision on the claim.
    #[prost(enumeration = "ClaimReplyKind", tag = "2")]
    pub kind: i32,
    /// The conflicting entry, for [`ClaimReplyKind::Taken`] only.
    #[prost(message, optional, tag = "3")]
    pub entry: Option<ClaimEntry>,
}

/// The possible decisions of a bucket owner on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimReplyKind {
    /// The platform could not be reached in time.
    Unavailable = 0,
    /// The claim was granted.
    Granted = 1,
    /// Another attempt holds or held the claim.
    Taken = 2,
    /// The key was used for a different request.
    ContentDiffers = 3,
    /// The key has expired.
    Expired = 4,
    /// The bucket is full.
    Full = 5,
}

/// A request to the owner of a bucket to record the outcome of an attempt.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OutcomeMessage {
    /// The client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The idempotency key.
    #[prost(bytes = "bytes", tag = "2")]
    pub key: Bytes,
    /// The attempt that ended.
    #[prost(bytes = "bytes", tag = "3")]
    pub attempt: Bytes,
    /// Whether the call ran; otherwise the attempt was abandoned.
    #[prost(bool, tag = "4")]
    pub ran: bool,
    /// The response to store, if any.
    #[prost(message, optional, tag = "5")]
    pub response: Option<StoredResponse>,
}

/// The reply to an [`OutcomeMessage`].
#[derive(Clone, PartialEq, Eq, Message)]
pub struct OutcomeReply {
    /// Whether the outcome is stored on the platform.
    #[prost(bool, tag = "1")]
    pub is_recorded: bool,
}

/// A query whether a router abandoned an attempt.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AttemptQuery {
    /// The queried attempt.
    #[prost(bytes = "bytes", tag = "1")]
    pub attempt: Bytes,
    /// The incarnation of the router that made the attempt.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// A router's statement that it never dispatched an attempt and never will.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct AbandonProofMessage {
    /// The abandoned attempt.
    #[prost(bytes = "bytes", tag = "1")]
    pub attempt: Bytes,
}

impl AbandonProofMessage {
    /// Creates the message from a proof.
    #[must_use]
    pub fn new(proof: &AbandonProof) -> Self {
        Self {
            attempt: Bytes::copy_from_slice(proof.attempt().as_bytes()),
        }
    }

    /// Converts the message into a proof of `peer` in `incarnation`, as authenticated by the connection.
    ///
    /// Returns `None` if the attempt is not a UUID.
    #[must_use]
    pub fn into_proof(self, peer: RouterId, incarnation: Incarnation) -> Option<AbandonProof> {
        let attempt = Uuid::from_slice(&self.attempt).ok()?;
        Some(AbandonProof::from_peer(attempt, peer, incarnation))
    }
}

impl ClaimMessage {
    /// Creates the message for a claim and an optional takeover proof.
    #[must_use]
    pub fn new(claim: &Claim, proof: Option<&AbandonProof>) -> Self {
        Self {
            account: claim.key.account.to_string(),
            key: Bytes::copy_from_slice(claim.key.key.as_bytes()),
            digest: Bytes::copy_from_slice(&claim.digest),
            attempt: Bytes::copy_from_slice(claim.attempt.as_bytes()),
            send_number: claim.send_number.unwrap_or(0),
            takeover: proof.map(|proof| TakeoverMessage {
                router: proof.router().to_string(),
                incarnation: proof.incarnation(),
                proof: AbandonProofMessage::new(proof),
            }),
        }
    }

    /// Converts the message into a claim of `peer` in `incarnation`; returns `None` if a field has the wrong length.
    #[must_use]
    pub fn into_claim(
        self,
        peer: RouterId,
        incarnation: Incarnation,
    ) -> Option<(Claim, Option<AbandonProof>)> {
        let claim = Claim {
            key: ClaimKey {
                account: self.account.into(),
                key: Uuid::from_slice(&self.key).ok()?,
            },
            digest: self.digest.as_ref().try_into().ok()?,
            attempt: Uuid::from_slice(&self.attempt).ok()?,
            router: peer,
            incarnation,
            send_number: Some(self.send_number).filter(|number| *number > 0),
        };
        let proof = match self.takeover {
            Some(takeover) => Some(takeover.into_proof()?),
            None => None,
        };
        Some((claim, proof))
    }
}

impl TakeoverMessage {
    fn into_proof(self) -> Option<AbandonProof> {
        self.proof.into_proof(self.router.into(), self.incarnation)
    }
}

impl ClaimReply {
    /// Creates the reply for the decision on a claim of `attempt`.
    #[must_use]
    pub fn new(attempt: Uuid, decision: Decision) -> Self {
        let (kind, entry) = match decision {
            Decision::Unavailable | Decision::Decided(ChangeOutcome::Recorded) => {
                (ClaimReplyKind::Unavailable, None)
            }
            Decision::Decided(ChangeOutcome::Granted) => (ClaimReplyKind::Granted, None),
            Decision::Decided(ChangeOutcome::Taken(entry)) => (ClaimReplyKind::Taken, Some(*entry)),
            Decision::Decided(ChangeOutcome::ContentDiffers) => {
                (ClaimReplyKind::ContentDiffers, None)
            }
            Decision::Decided(ChangeOutcome::Expired) => (ClaimReplyKind::Expired, None),
            Decision::Decided(ChangeOutcome::Full) => (ClaimReplyKind::Full, None),
        };
        Self {
            attempt: Bytes::copy_from_slice(attempt.as_bytes()),
            kind: kind.into(),
            entry,
        }
    }

    /// Converts the reply into the decision on a claim of `attempt`; a reply for another attempt counts as unavailable.
    #[must_use]
    pub fn into_decision(self, attempt: Uuid) -> Decision {
        if self.attempt != attempt.as_bytes().as_slice() {
            return Decision::Unavailable;
        }
        match (self.kind(), self.entry) {
            (ClaimReplyKind::Granted, _) => Decision::Decided(ChangeOutcome::Granted),
            (ClaimReplyKind::Taken, Some(entry)) => {
                Decision::Decided(ChangeOutcome::Taken(Box::new(entry)))
            }
            (ClaimReplyKind::ContentDiffers, _) => Decision::Decided(ChangeOutcome::ContentDiffers),
            (ClaimReplyKind::Expired, _) => Decision::Decided(ChangeOutcome::Expired),
            (ClaimReplyKind::Full, _) => Decision::Decided(ChangeOutcome::Full),
            (ClaimReplyKind::Unavailable | ClaimReplyKind::Taken, _) => Decision::Unavailable,
        }
    }
}

impl OutcomeMessage {
    /// Creates the message for a change that records an outcome; returns `None` for a claim.
    #[must_use]
    pub fn from_change(change: &Change) -> Option<Self> {
        let (key, attempt, ran, response) = match change {
            Change::Claim(..) => return None,
            Change::RecordRan(key, attempt, response) => (key, attempt, true, response.clone()),
            Change::RecordNotRun(key, attempt) => (key, attempt, false, None),
        };
        Some(Self {
            account: key.account.to_string(),
            key: Bytes::copy_from_slice(key.key.as_bytes()),
            attempt: Bytes::copy_from_slice(attempt.as_bytes()),
            ran,
            response,
        })
    }

    /// Converts the message into a change; returns `None` if a field has the wrong length.
    #[must_use]
    pub fn into_change(self) -> Option<Change> {
        let key = ClaimKey {
            account: self.account.into(),
            key: Uuid::from_slice(&self.key).ok()?,
        };
        let attempt = Uuid::from_slice(&self.attempt).ok()?;
        Some(match self.ran {
            true => Change::RecordRan(key, attempt, self.response),
            false => Change::RecordNotRun(key, attempt),
        })
    }
}
