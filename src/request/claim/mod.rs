//! Claims, which ensure that a non-idempotent call runs at most once.
//!
//! Before a router dispatches such a call, it records its attempt in a bucket object on the platform with a conditional
//! write. Only the attempt recorded in the bucket may be dispatched. Bucket ownership is only an optimization that
//! saves writes: if two routers consider themselves the owner, the conditional write decides between them.
//!
//! Rejected: fenced key ranges, because some backend servers ignore fencing tokens; and a replicated log, because
//! routers have no durable storage. See docs/design/requests.md.

mod attempt;
mod attempt_table;
mod bucket;
mod key;
mod writer;

#[cfg(test)]
mod tests;

pub use self::attempt::{Attempt, Step, check_key};
pub use self::attempt_table::{
    AbandonProof, AttemptPhase, AttemptTable, ConflictResolution, DispatchPermit,
};
pub use self::bucket::{Bucket, ChangeOutcome, ClaimEntry, ClaimState, StoredResponse};
pub use self::key::{
    AttemptId, BUCKET_COUNT, CLAIM_TTL, Claim, ClaimKey, MAX_CLOCK_SKEW, bucket_of, object_key,
};
pub use self::writer::{Action, BucketWriter, Change, ChangeId, Decision, ReadOutcome};
