//! The messages with which a restarted router fetches state from its peers.

use bytes::Bytes;

/// A section of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Section {
    /// The members' records.
    Members = 0,
    /// The health of the replicas of backend servers.
    Health = 1,
    /// Which replicas have which prompt prefixes cached.
    WarmView = 2,
    /// The usage of heavy client accounts.
    Usage = 3,
}

impl Section {
    /// All sections, ordered by how much they help a starting router.
    pub const ALL: [Self; 4] = [Self::Members, Self::Health, Self::WarmView, Self::Usage];
}

/// Requests a chunk of a section.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct StateRequest {
    /// The section.
    #[prost(enumeration = "Section", tag = "1")]
    pub section: i32,
    /// The generation of the chunks received so far; zero in the first request.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// The index of the first requested item.
    #[prost(uint64, tag = "3")]
    pub first_item: u64,
}

/// A chunk of a section.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StateChunk {
    /// The generation of the items; never zero in a chunk of a known section.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The index of the first item in this chunk.
    #[prost(uint64, tag = "2")]
    pub first_item: u64,
    /// The number of items in the whole section.
    #[prost(uint64, tag = "3")]
    pub total_items: u64,
    /// The encoded items.
    #[prost(bytes = "bytes", repeated, tag = "4")]
    pub items: Vec<Bytes>,
    /// When to retry, in milliseconds, if the peer has reached its rate limit.
    #[prost(uint32, tag = "5")]
    pub retry_after_ms: u32,
    /// Whether the peer knows the section; false if the peer has itself just started.
    #[prost(bool, tag = "6")]
    pub is_known: bool,
}
