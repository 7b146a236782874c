//! Recovery of state from peers after a restart, so that a router does not start without any state.
//!
//! The configuration is transferred by messages of its own. This module covers the members, the health of backend
//! servers, the view of cached prompt prefixes and the usage of heavy accounts. Each of them is a section: a list of
//! encoded items that a peer serves in chunks. A restarted router first asks peers in its own zone, one peer per
//! section, and switches to another peer if one does not respond or does not know the section. Peers limit the rate at
//! which they serve, so that many simultaneous restarts can't overload them.
//!
//! Rejected: state on disk, which the VMs do not have, and state on the platform, whose write rate grows too slowly for
//! state that changes every second. See docs/design/recovery.md.

mod client;
mod message;
mod server;

#[cfg(test)]
mod tests;

pub use self::client::{PeerRequest, Recovery, RecoveryPeer};
pub use self::message::{Section, StateChunk, StateRequest};
pub use self::server::{MAX_CHUNK_BYTES, StateServer};
