//! Frames and connections between routers.
//!
//! Routers talk in length-delimited prost frames over TCP. Each connection is authenticated both ways by a key that
//! all routers share, and each frame carries a code over its content and its place in the connection. A body is a kind
//! and encoded bytes, so that this module knows no other room's messages and dependencies point one way.
//!
//! Rejected: TLS with certificates, which needs an authority to run and renew, and UDP, which would need fragments,
//! retransmission and the same authentication for the larger bodies. See docs/design/membership.md.

mod accept;
mod frame;
mod handshake;
mod key;
mod link;
mod links;
mod traffic;

#[cfg(test)]
mod tests;

pub use self::frame::{Body, Kind, MAX_PAYLOAD_BYTES, wire_bytes};
pub use self::handshake::PeerIdentity;
pub use self::key::PeerKeys;
pub use self::link::LinkTimes;
pub use self::links::{Inbound, LinkOptions, Links, PeerEvent, ReplyHandle};
pub use self::traffic::{Traffic, TrafficByKind};
