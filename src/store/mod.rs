//! The client for the platform's object API.
//!
//! The platform provides object versions, conditional updates and watches, and it has outages. If the response to a
//! write is lost, the write may have taken effect. This case is represented by [`PutOutcome::Unknown`], and the caller
//! resolves it by reading the object back. See docs/design/store.md.

use bytes::Bytes;

mod backoff;
mod budget;
mod client;
mod steps;
#[cfg(test)]
pub(crate) mod tests;

pub use self::backoff::Backoff;
pub use self::budget::{BudgetLimits, CallBudget, CallCounts, CallKind};
pub use self::client::{Client, MAX_VALUE_BYTES, StoreSettings};
pub(crate) use self::steps::{ReadResult, Step, StepResult, Write, run};

/// The version of an object, which increases with each write to it.
pub type ObjectVersion = u64;

/// The value of an object and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedValue {
    /// The version of the value.
    pub version: ObjectVersion,
    /// The value of the object.
    pub value: Bytes,
}

/// The precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutCondition {
    /// The object must not exist.
    Absent,
    /// The object must exist with this version.
    Version(ObjectVersion),
}

/// The outcome of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect, and the object now has this version.
    Stored(ObjectVersion),
    /// The condition did not hold, and nothing was written.
    Conflict,
    /// The write did not reach the platform or was rejected by it, and nothing was written.
    NotSent,
    /// The result is unknown. The write may have taken effect, or may still take effect later.
    Unknown,
}
