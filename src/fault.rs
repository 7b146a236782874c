//! Faults of a document, each with the path of the field that holds it.
//!
//! A check goes on after the first fault, so that an operator mends a ticket once and not once per fault.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The path of the field, such as `accounts.north.weight`.
    pub path: String,
    /// What is wrong, as one short sentence without a full stop.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// Collects the faults found below one path.
#[derive(Debug)]
pub(crate) struct Faults<'a> {
    path: String,
    found: &'a mut Vec<Fault>,
}

impl<'a> Faults<'a> {
    /// Starts a collection whose fields are named below `path`.
    pub(crate) fn below(path: impl Into<String>, found: &'a mut Vec<Fault>) -> Self {
        Self {
            path: path.into(),
            found,
        }
    }

    /// Notes that `field` is at fault.
    pub(crate) fn add(&mut self, field: &str, reason: impl Into<String>) {
        let path = match field {
            "" => self.path.clone(),
            _ => format!("{}.{field}", self.path),
        };
        let reason = reason.into();
        self.found.push(Fault { path, reason });
    }

    /// Notes that `field` is at fault unless `holds`.
    pub(crate) fn require(&mut self, holds: bool, field: &str, reason: &str) {
        if !holds {
            self.add(field, reason);
        }
    }

    /// Notes that `field` is at fault unless `value` lies in the closed range.
    pub(crate) fn require_range<T>(&mut self, field: &str, value: T, low: T, high: T)
    where
        T: PartialOrd + fmt::Display + Copy,
    {
        // A NaN lies in no range.
        if !(value >= low && value <= high) {
            self.add(field, format!("{value} is not between {low} and {high}"));
        }
    }
}

/// Tells whether `name` may name an object: 1 to 64 of `a-z`, `0-9`, `-`, `_` and `.`, beginning with letter or digit.
pub(crate) fn is_name(name: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    (1..=64).contains(&name.len())
        && is_plain(name.as_bytes()[0])
        && name
            .bytes()
            .all(|byte| is_plain(byte) || matches!(byte, b'-' | b'_' | b'.'))
}

/// What [`is_name`] asks for, as the reason of a fault.
pub(crate) const NAME_RULE: &str =
    "a name is 1 to 64 of a-z, 0-9, -, _ and ., beginning with a letter or digit";
