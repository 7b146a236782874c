//! Membership of the fleet of routers, maintained by heartbeats between them.
//!
//! Each router probes a bounded set of peers in turn and piggybacks gossip about recent changes on those messages, so
//! that the traffic per router grows with the logarithm of the fleet size. A router that acknowledges neither direct
//! nor indirect probes is first suspected and then removed. It refutes the suspicion by sending a higher version of its
//! own record. Digests on each message detect changes that gossip missed.
//!
//! Rejected: heartbeats to all routers, which take 400 messages per interval and router, and relying on the platform's
//! VM list alone, which lags. See docs/design/membership.md.

mod failure_detection;
mod gossip;
mod gossip_queue;
mod leaving;
mod member;
mod message;
mod probe;
mod rendezvous;
mod ring;
mod state;
mod sync;

#[cfg(test)]
pub(crate) mod tests;

pub use self::leaving::{LeavingVm, LeavingVms};
pub use self::member::{Liveness, LoadLevel, Member};
pub use self::message::{Heartbeat, MemberRecord, Stage};
pub(crate) use self::message::{decode_address, encode_address};
pub use self::rendezvous::{owner_of, watchers_of};
pub use self::ring::Ring;
pub use self::state::{Action, Membership, MembershipOptions};
