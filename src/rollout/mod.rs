//! Orders to engines: weights versions, adapters and roles, rolled over a pool under a lease.
//!
//! Orders say which state an engine shall reach, so that repeating one is harmless. What an engine reports decides what
//! is done next; what was ordered never does. A new holder of the lease therefore repairs whatever an old one did. See
//! docs/design/rollout.md.

mod lease;
mod notice;
mod plan;
#[cfg(test)]
mod tests;

pub(crate) use self::lease::LeaseTimes;
pub use self::lease::{LEASE_LIFE, Lease, LeaseAction, LeaseEvent, LeaseRecord, ORDER_TIMEOUT};
pub use self::notice::{DrainNotice, Drains};
pub use self::plan::{ObservedReplica, OrderEnd, Rollout, RolloutAction};
