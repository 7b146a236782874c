//! Rolls out weights versions, adapters and roles over the engines of a pool, under a lease.
//!
//! An order names the state that an engine is to reach, so orders are idempotent. The next step depends only on what
//! the engines report, never on what was ordered before. A new holder of the lease therefore corrects whatever its
//! predecessor left behind. See docs/design/rollout.md.

mod drain;
mod lease;
mod plan;
#[cfg(test)]
mod tests;

pub use self::drain::{DrainNotice, DrainTable};
pub(crate) use self::lease::LeaseTiming;
pub use self::lease::{LEASE_DURATION, Lease, LeaseAction, LeaseEvent, LeaseRecord, ORDER_TIMEOUT};
pub use self::plan::{ObservedReplica, OrderOutcome, Rollout, RolloutAction};
