//! Which routers there are, by heartbeats between them.
//!
//! Each router probes a bounded set of peers in turn and gossips what changed on those messages, so that the bytes per
//! router grow with the logarithm of the fleet. A router that does not answer, directly or through others, is first
//! suspected and then removed; it refutes with a higher version of its own record. Digests on each message find what
//! gossip missed.
//!
//! Rejected: heartbeats to all, which take 400 messages per interval and router, and the platform's VM list alone, which
//! lags. See docs/design/membership.md.

mod detection;
mod exchange;
mod leaving;
mod member;
mod message;
mod probe;
mod rendezvous;
mod ring;
mod rumor;
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
pub use self::state::{Membership, MembershipOptions, Outcome};
