//! Admission: who may send how much, and in which order.

mod limit;
pub mod queue;
pub mod shed;
mod usage;

#[cfg(test)]
mod tests;

pub use self::limit::{LimitDecision, LimitKind, Limiter};
pub use self::usage::{Usage, UsageEntry, UsageTree};
