//! Idempotency keys, claims, and the mapping from keys to bucket objects.
//!
//! A bucket holds the keys of one second of UUIDv7 time and one shard. Recent keys thus share few buckets and can be
//! written in batches, and a bucket stops growing after a second. The buckets form a ring that spans more than the
//! lifetime of a claim: a bucket that is reused drops its expired claims, and no object is ever deleted. The layout is
//! constant, because two routers with different layouts would look for the same key in different buckets.

use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id::{AccountId, Incarnation, RouterId};

/// Identifies one attempt to run a call; each send that a router receives gets its own.
pub type AttemptId = Uuid;

/// How long a claim and its stored response are valid, counted from the timestamp in the key.
pub const CLAIM_TTL: Duration = Duration::from_secs(3_600);

/// How far a key's timestamp may lie in the future before the key is rejected.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

const SLOT: Duration = Duration::from_secs(1);
const RING_SLOTS: u64 = 4_096;
const SHARDS: u64 = 2;

/// The number of bucket objects on the platform.
pub const BUCKET_COUNT: u32 = (RING_SLOTS * SHARDS) as u32;

/// An idempotency key of a client account; it identifies one call across all its sends.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimKey {
    /// The client account that owns the key.
    pub account: AccountId,
    /// The UUIDv7 that the caller generated.
    pub key: Uuid,
}

impl ClaimKey {
    /// Returns the key's timestamp since the Unix epoch, or `None` if the key is not a UUIDv7.
    #[must_use]
    pub fn time(&self) -> Option<Duration> {
        if self.key.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanoseconds) = self.key.get_timestamp()?.to_unix();
        Some(Duration::new(seconds, nanoseconds))
    }

    /// Returns the key's timestamp in milliseconds since the Unix epoch, or zero if the key is not a UUIDv7.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        self.time().map_or(0, |time| time.as_millis() as u64)
    }
}

/// A claim requested by one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The call to claim.
    pub key: ClaimKey,
    /// The first half of the SHA-256 digest of method, path and body; repeated sends of a key must have the same
    /// digest.
    pub digest: [u8; 16],
    /// The attempt that requests the claim.
    pub attempt: AttemptId,
    /// The router that would dispatch the call.
    pub router: RouterId,
    /// The incarnation of that router.
    pub incarnation: Incarnation,
    /// The caller's number for this send of the key, starting at one; `None` if the caller gave none.
    pub send_number: Option<u32>,
}

/// Returns the bucket that holds `key`.
#[must_use]
pub fn bucket_of(key: &ClaimKey) -> u32 {
    let slot = key.unix_ms() / SLOT.as_millis() as u64 % RING_SLOTS;
    let shard = xxh3_64_with_seed(key.account.as_bytes(), xxh3_64(key.key.as_bytes())) % SHARDS;
    (slot * SHARDS + shard) as u32
}

/// Returns the object key of `bucket`.
#[must_use]
pub fn object_key(bucket: u32) -> Arc<str> {
    format!("claims/{bucket}").into()
}
