//! Frames and connections between routers.
//!
//! Routers exchange length-delimited prost frames over TCP. Each connection is mutually authenticated with a key that
//! all routers share, and each frame carries a MAC over its content and its sequence number in the connection. A body
//! consists of a kind and encoded bytes, so that this module does not depend on the message types of other modules.
//!
//! Rejected: TLS with certificates, which needs a certificate authority that has to be operated and renewed, and UDP,
//! which would need fragmentation, retransmission and the same authentication for the larger bodies. See
//! docs/design/membership.md.

mod accept;
mod frame;
mod handshake;
mod key;
mod link;
mod links;
mod relay;
mod traffic;

#[cfg(test)]
mod tests;

pub use self::frame::{Body, Kind, MAX_PAYLOAD_BYTES, wire_bytes};
pub use self::handshake::PeerIdentity;
pub use self::key::PeerKeys;
pub use self::link::LinkTimes;
pub use self::links::{Inbound, LinkOptions, Links, PeerEvent, ReplyHandle};
pub use self::traffic::{Traffic, TrafficByKind};

pub(crate) use self::relay::RelayRequest;
