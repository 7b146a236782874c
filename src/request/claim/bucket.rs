//! The contents of one bucket object, and the rules for changing it.
//!
//! A bucket records the horizon up to which it has dropped claims. Keys at or below the horizon are rejected, so a
//! dropped claim can't be claimed again, no matter how far the routers' clocks are apart.

use std::time::Duration;

use bytes::Bytes;
use prost::Message;

use super::attempt_table::AbandonProof;
use super::key::{CLAIM_TTL, Claim, ClaimKey, MAX_CLOCK_SKEW};

const MAX_BUCKET_BYTES: usize = 768 << 10;
const MAX_BUCKET_BYTES_WITH_RESPONSES: usize = 512 << 10;
const MAX_RESPONSE_BYTES: usize = 4 << 10;

/// The state of a claimed call, as stored on the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimState {
    /// An attempt holds the claim; the call may be pending, running, or finished.
    Claimed = 0,
    /// The call ran, and its response is stored.
    RanResponseStored = 1,
    /// The call ran, but its response was too large to store.
    RanResponseNotStored = 2,
    /// The attempt was abandoned and never dispatched.
    NotRun = 3,
}

/// The response of a call that ran, stored for repeated sends of its key.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredResponse {
    /// The HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// The value of the `Content-Type` header.
    #[prost(string, tag = "2")]
    pub content_type: String,
    /// The response body.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

/// One claim in a bucket.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ClaimEntry {
    /// The client account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// The idempotency key.
    #[prost(bytes = "bytes", tag = "2")]
    pub key: Bytes,
    /// The digest of the request.
    #[prost(bytes = "bytes", tag = "3")]
    pub digest: Bytes,
    /// The only attempt that may be dispatched.
    #[prost(bytes = "bytes", tag = "4")]
    pub attempt: Bytes,
    /// The router of that attempt.
    #[prost(string, tag = "5")]
    pub router: String,
    /// The incarnation of that router.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// The state of the call.
    #[prost(enumeration = "ClaimState", tag = "7")]
    pub state: i32,
    /// The stored response, for [`ClaimState::RanResponseStored`] only.
    #[prost(message, optional, tag = "8")]
    pub response: Option<StoredResponse>,
    /// The caller's send number that the attempt serves; zero if the caller gave none.
    #[prost(uint32, tag = "9")]
    pub send_number: u32,
    /// The timestamp of the key, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "10")]
    pub key_unix_ms: u64,
}

/// The contents of one bucket object.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Bucket {
    /// Keys with a timestamp at or below this are rejected, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub horizon_unix_ms: u64,
    /// The claims, in order of arrival.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<ClaimEntry>,
}

/// The outcome of applying one change to a bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// This attempt holds the claim once the bucket is stored.
    Granted,
    /// Another attempt holds or held the claim.
    Taken(Box<ClaimEntry>),
    /// The key was used before for a different request.
    ContentDiffers,
    /// The key is older than the claims still in the bucket, or the claim to be updated was already dropped.
    Expired,
    /// The bucket is full.
    Full,
    /// The outcome of the attempt is recorded.
    Recorded,
}

impl ClaimEntry {
    /// Returns whether `claim` is for a later send by the caller than the one in this entry.
    ///
    /// An earlier send may still be queued in a paused router or a socket. It must not run after the caller was told
    /// "not run", and only the caller's send numbers distinguish the two.
    #[must_use]
    pub fn precedes(&self, claim: &Claim) -> bool {
        let is_numbered = self.send_number > 0;
        is_numbered
            && claim
                .send_number
                .is_some_and(|number| number > self.send_number)
    }

    fn from_claim(claim: &Claim) -> Self {
        Self {
            account: claim.key.account.to_string(),
            key: Bytes::copy_from_slice(claim.key.key.as_bytes()),
            digest: Bytes::copy_from_slice(&claim.digest),
            attempt: Bytes::copy_from_slice(claim.attempt.as_bytes()),
            router: claim.router.to_string(),
            incarnation: claim.incarnation,
            state: ClaimState::Claimed.into(),
            response: None,
            send_number: claim.send_number.unwrap_or(0),
            key_unix_ms: claim.key.unix_ms(),
        }
    }

    /// Returns the attempt that holds the claim, or the nil UUID if the stored bytes are not a UUID.
    #[must_use]
    pub fn attempt_id(&self) -> uuid::Uuid {
        uuid::Uuid::from_slice(&self.attempt).unwrap_or_default()
    }

    fn allows_takeover(&self, claim: &Claim, proof: Option<&AbandonProof>) -> bool {
        let is_abandoned = match self.state() {
            ClaimState::NotRun => true,
            ClaimState::Claimed => proof.is_some_and(|proof| proof.covers(self)),
            ClaimState::RanResponseStored | ClaimState::RanResponseNotStored => false,
        };
        is_abandoned && self.precedes(claim)
    }
}

impl Bucket {
    /// Decodes a bucket from an object value.
    ///
    /// # Errors
    ///
    /// Returns a decode error if the value is not a bucket; the caller then treats the platform as unavailable.
    pub fn from_value(value: &Bytes) -> Result<Self, prost::DecodeError> {
        Self::decode(value.clone())
    }

    /// Encodes the bucket as an object value.
    #[must_use]
    pub fn to_value(&self) -> Bytes {
        self.encode_to_vec().into()
    }

    /// Returns the entry for `key`, if any.
    #[must_use]
    pub fn entry(&self, key: &ClaimKey) -> Option<&ClaimEntry> {
        let position = self.position(key)?;
        self.entries.get(position)
    }

    fn position(&self, key: &ClaimKey) -> Option<usize> {
        self.entries.iter().position(|entry| {
            entry.key == key.key.as_bytes().as_slice() && *entry.account == *key.account
        })
    }

    /// Adds `claim`, or takes over an abandoned claim if `proof` or the state of the entry allows it.
    pub fn claim(&mut self, claim: &Claim, proof: Option<&AbandonProof>) -> ChangeOutcome {
        if claim.key.unix_ms() <= self.horizon_unix_ms {
            return ChangeOutcome::Expired;
        }
        let Some(position) = self.position(&claim.key) else {
            return self.append(claim);
        };
        let entry = &mut self.entries[position];
        if entry.digest != claim.digest.as_slice() {
            return ChangeOutcome::ContentDiffers;
        }
        let is_own = entry.attempt_id() == claim.attempt && entry.state() == ClaimState::Claimed;
        if is_own {
            return ChangeOutcome::Granted;
        }
        if !entry.allows_takeover(claim, proof) {
            return ChangeOutcome::Taken(Box::new(entry.clone()));
        }
        *entry = ClaimEntry::from_claim(claim);
        ChangeOutcome::Granted
    }

    fn append(&mut self, claim: &Claim) -> ChangeOutcome {
        let entry = ClaimEntry::from_claim(claim);
        if self.encoded_len() + entry.encoded_len() > MAX_BUCKET_BYTES {
            return ChangeOutcome::Full;
        }
        self.entries.push(entry);
        ChangeOutcome::Granted
    }

    /// Records that `attempt` ran, and stores its response if it fits.
    ///
    /// # Panics
    ///
    /// Panics if the entry records that this attempt did not run, which violates the at-most-once invariant.
    pub fn record_ran(
        &mut self,
        key: &ClaimKey,
        attempt: uuid::Uuid,
        response: Option<&StoredResponse>,
    ) -> ChangeOutcome {
        let available = MAX_BUCKET_BYTES_WITH_RESPONSES.saturating_sub(self.encoded_len());
        let entry = match self.entry_of_attempt(key, attempt) {
            Ok(entry) => entry,
            Err(outcome) => return outcome,
        };
        assert!(
            entry.state() != ClaimState::NotRun,
            "attempt ran after it was recorded as not run"
        );
        if entry.state() != ClaimState::Claimed {
            return ChangeOutcome::Recorded;
        }
        let stored =
            response.filter(|response| response.encoded_len() <= available.min(MAX_RESPONSE_BYTES));
        entry.response = stored.cloned();
        entry.set_state(match stored {
            Some(_) => ClaimState::RanResponseStored,
            None => ClaimState::RanResponseNotStored,
        });
        ChangeOutcome::Recorded
    }

    /// Records that `attempt` was abandoned without being dispatched.
    ///
    /// # Panics
    ///
    /// Panics if the entry records that this attempt ran, which violates the at-most-once invariant.
    pub fn record_not_run(&mut self, key: &ClaimKey, attempt: uuid::Uuid) -> ChangeOutcome {
        let entry = match self.entry_of_attempt(key, attempt) {
            Ok(entry) => entry,
            Err(outcome) => return outcome,
        };
        let ran = matches!(
            entry.state(),
            ClaimState::RanResponseStored | ClaimState::RanResponseNotStored
        );
        assert!(!ran, "attempt was recorded as not run after it ran");
        entry.set_state(ClaimState::NotRun);
        ChangeOutcome::Recorded
    }

    fn entry_of_attempt(
        &mut self,
        key: &ClaimKey,
        attempt: uuid::Uuid,
    ) -> Result<&mut ClaimEntry, ChangeOutcome> {
        let Some(position) = self.position(key) else {
            return Err(ChangeOutcome::Expired);
        };
        let entry = &mut self.entries[position];
        if entry.attempt_id() == attempt {
            return Ok(entry);
        }
        Err(ChangeOutcome::Taken(Box::new(entry.clone())))
    }

    /// Drops claims whose keys have expired at `unix_now`, and raises the horizon accordingly.
    pub fn prune(&mut self, unix_now: Duration) {
        let cutoff = unix_now.saturating_sub(CLAIM_TTL + MAX_CLOCK_SKEW);
        let cutoff_unix_ms = cutoff.as_millis() as u64;
        if cutoff_unix_ms <= self.horizon_unix_ms {
            return;
        }
        let count = self.entries.len();
        self.entries
            .retain(|entry| entry.key_unix_ms > cutoff_unix_ms);
        if self.entries.len() < count {
            self.horizon_unix_ms = cutoff_unix_ms;
        }
    }
}
