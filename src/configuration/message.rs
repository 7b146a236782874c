//! The messages by which routers pass the configuration on.
//!
//! A router announces the revision that it has in force. A peer that is behind asks for what was written since its own
//! revision, in parts that fit a frame. Only what changed travels: a shard's name tells the revision that wrote it.

use bytes::Bytes;

use crate::rollout::DrainNotice;

/// Says which revision a router has in force, and which replicas are drained for orders; it wants no reply.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Announce {
    /// The revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The notices that are news.
    #[prost(message, repeated, tag = "2")]
    pub drains: Vec<DrainNotice>,
}

/// Asks for one part of what was written after a revision.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Fetch {
    /// The revision that the asker has in force.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// The revision that earlier parts were of; zero with the first part.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// The part, counted from zero.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Whether all shards are wanted, because those written since did not add up.
    #[prost(bool, tag = "4")]
    pub whole: bool,
}

/// One part of what was written after a revision; no parts at all where the other side is not ahead.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct UpdatePart {
    /// The revision that the parts add up to.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// How many parts there are.
    #[prost(uint32, tag = "2")]
    pub parts: u32,
    /// The part, counted from zero.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// A piece of an encoded [`Update`].
    #[prost(bytes = "bytes", tag = "4")]
    pub bytes: Bytes,
}

/// All that was written after a revision.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct Update {
    /// The shards written since.
    #[prost(message, repeated, tag = "1")]
    pub(crate) shards: Vec<UpdateShard>,
    /// The digest of all slots and the names of their shards, to check the sum.
    #[prost(bytes = "bytes", tag = "2")]
    pub(crate) digest: Bytes,
    /// The highest closed ticket number.
    #[prost(uint64, tag = "3")]
    pub(crate) floor: u64,
}

/// One shard of an [`Update`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct UpdateShard {
    /// The slot.
    #[prost(string, tag = "1")]
    pub(crate) slot: String,
    /// The revision that wrote the shard.
    #[prost(uint64, tag = "2")]
    pub(crate) revision: u64,
    /// The shard's bytes.
    #[prost(bytes = "bytes", tag = "3")]
    pub(crate) bytes: Bytes,
}

impl Fetch {
    /// Asks only which revision is in force: nothing is ever written after the highest number.
    #[must_use]
    pub const fn revision_only() -> Self {
        Self {
            base: u64::MAX,
            revision: 0,
            part: 0,
            whole: false,
        }
    }
}
