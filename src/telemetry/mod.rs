//! Metrics and logs.
//!
//! See docs/operations/README.md for the alarms that stand on them.

mod text;

pub(crate) use self::text::printable;
