//! The client of the platform's object API.
//!
//! The platform has versions, conditional updates and watches, and it has outages. Every answer that may have been
//! lost after the change took effect is a value of its own, [`PutOutcome::Unknown`], which the caller settles by
//! reading back. See docs/design/store.md.

use bytes::Bytes;

mod backoff;
mod budget;
mod client;
mod procedure;
#[cfg(test)]
pub(crate) mod tests;

pub use self::backoff::Backoff;
pub use self::budget::{Budget, BudgetLimits, CallCounts, CallKind};
pub use self::client::{Client, MAX_VALUE_BYTES, StoreSettings};
pub(crate) use self::procedure::{Answer, ReadResult, Step, Write, run};

/// The version of an object, raised with each write to it.
pub type ObjectVersion = u64;

/// An object's value together with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// The version of the value.
    pub version: ObjectVersion,
    /// The value.
    pub value: Bytes,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutCondition {
    /// The object must not exist.
    Absent,
    /// The object must have this version.
    Version(ObjectVersion),
}

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect and gave the object this version.
    Stored(ObjectVersion),
    /// The condition did not hold; nothing was written.
    Conflict,
    /// The write did not reach the platform; nothing was written.
    NotSent,
    /// No answer came; the write may have taken effect, now or later.
    Unknown,
}
