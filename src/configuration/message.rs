//! The messages by which routers replicate the configuration to each other.
//!
//! A router announces its active revision. A peer with a lower revision requests the shards written since its own
//! revision, in parts that fit into a frame. Only changed shards are sent: the name of a shard contains the revision
//! that wrote it.

use bytes::Bytes;

use crate::rollout::DrainNotice;

/// Announces the active revision of a router, and the replicas that are drained for orders. It gets no reply.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Announce {
    /// The active revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The drain notices that are new since the last announcement.
    #[prost(message, repeated, tag = "2")]
    pub drains: Vec<DrainNotice>,
}

/// Requests one part of the update from a revision to the active one.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Fetch {
    /// The active revision of the requester.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// The revision of the parts received so far, or zero when the first part is requested.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The index of the part, starting at zero.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Whether to send all shards, because the shards written since `base` did not yield the expected digest.
    #[prost(bool, tag = "4")]
    pub full: bool,
}

/// One part of an encoded update. `part_count` is zero if the sender has no higher revision.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UpdatePart {
    /// The revision of the state after the update.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The number of parts.
    #[prost(uint32, tag = "2")]
    pub part_count: u32,
    /// The index of the part, starting at zero.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// The bytes of this part of the encoded `Update`.
    #[prost(bytes = "bytes", tag = "4")]
    pub bytes: Bytes,
}

/// The shards that were written after a revision.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct Update {
    /// The shards that were written after the revision, or all shards.
    #[prost(message, repeated, tag = "1")]
    pub(crate) shards: Vec<UpdateShard>,
    /// The digest of all slots and the names of their shards, by which the receiver checks the resulting state.
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) digest: Bytes,
    /// The ticket number at or below which tickets are rejected, as in [`Root`](super::Root).
    #[prost(uint64, tag = "3")]
    pub(crate) floor: u64,
}

/// One shard of an [`Update`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct UpdateShard {
    /// The slot of the shard.
    #[prost(string, tag = "1")]
    pub(crate) slot: String,
    /// The revision that wrote the shard.
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
    /// The encoded shard.
    #[prost(bytes = "bytes", tag = "3")]
    pub(crate) bytes: Bytes,
}

impl Fetch {
    /// Creates a request for the active revision alone. No shard is ever written after `u64::MAX`.
    #[must_use]
    pub const fn revision_only() -> Self {
        Self {
            base: u64::MAX,
            revision: 0,
            part: 0,
            full: false,
        }
    }
}
