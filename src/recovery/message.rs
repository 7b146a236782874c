//! The messages by which a restarted router takes over its peers' state.

use bytes::Bytes;

/// A part of the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Section {
    /// The members' records.
    Members = 0,
    /// What is known of the replicas of backend servers.
    Health = 1,
    /// Where openings are warm.
    WarmView = 2,
    /// The usage of heavy client accounts.
    Usage = 3,
}

impl Section {
    /// All sections, in the order in which they help a router that starts.
    pub const ALL: [Self; 4] = [Self::Members, Self::Health, Self::WarmView, Self::Usage];
}

/// Asks for a chunk of a section.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct StateRequest {
    /// The section.
    #[prost(enumeration = "Section", tag = "1")]
    pub section: i32,
    /// The generation that earlier chunks were of; zero with the first.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// The first item wanted.
    #[prost(uint64, tag = "3")]
    pub first_item: u64,
}

/// A chunk of a section.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StateChunk {
    /// The generation of the items; it is never zero.
    #[prost(uint64, tag = "1")]
    pub generation: u64,
    /// The place of the first item here.
    #[prost(uint64, tag = "2")]
    pub first_item: u64,
    /// The items of the whole section.
    #[prost(uint64, tag = "3")]
    pub total_items: u64,
    /// The encoded items.
    #[prost(bytes = "bytes", repeated, tag = "4")]
    pub items: Vec<Bytes>,
    /// When to ask again, where the peer has served enough for now.
    #[prost(uint32, tag = "5")]
    pub retry_after_ms: u32,
    /// Whether the peer knows the section itself; one that has just started does not.
    #[prost(bool, tag = "6")]
    pub is_known: bool,
}
