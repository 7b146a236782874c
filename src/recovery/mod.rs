//! What a router that restarts asks of its peers, so that it does not start cold.
//!
//! The configuration travels by its own messages. Here are the members, the health of backend servers, the view of warm
//! openings and the usage of heavy accounts: each is a list of encoded items that a peer serves in chunks. A restarted
//! router asks in its zone first, one peer for each section, and goes to another peer where one does not answer or knows
//! nothing itself. Peers serve within a rate, so that a herd of restarts can't take them down.
//!
//! Rejected: state kept on disks, which the VMs do not have, and on the platform, whose writes grow too slowly for state
//! that changes each second. See docs/design/recovery.md.

mod client;
mod message;
mod server;

#[cfg(test)]
mod tests;

pub use self::client::{Ask, Recovery, RecoveryPeer};
pub use self::message::{Section, StateChunk, StateRequest};
pub use self::server::{MAX_CHUNK_BYTES, StateServer};
