//! Admission control: account rate limits, fair queueing and load shedding.

mod limit;
pub mod queue;
pub mod shed;
mod usage;

#[cfg(test)]
mod tests;

pub use self::limit::{LimitDecision, LimitKind, Limiter};
pub use self::usage::{Usage, UsageEntry, UsageTree};
