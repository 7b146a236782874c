//! The error type of the library.
//!
//! [`Error`] combines a kind, which callers match on, with a human-readable message. Expected outcomes of a request
//! (rejected, outcome unknown) have their own types and are never represented as an [`Error`].

use std::fmt;

/// The error returned by fallible operations of this library.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    message: String,
}

/// The kinds of [`Error`], one for each way that a caller can handle it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A settings file, a change ticket or a request contains an invalid value. The message names the field and the
    /// value.
    InvalidInput,
    /// The remote side could not be reached or did not respond in time.
    Unavailable,
    /// The remote side's response violates its protocol.
    Protocol,
    /// A conditional update named an outdated version.
    Conflict,
    /// The operating system rejected an operation, such as binding an address.
    Io,
}

impl Error {
    /// Creates an error. `message` should be one short sentence without a final period.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }

    /// Creates an [`ErrorKind::InvalidInput`] error whose message names the `field` and the invalid `value`.
    #[must_use]
    pub fn invalid(field: &str, value: impl fmt::Display, reason: &str) -> Self {
        let message = format!("{field}: {value} is not allowed: {reason}");
        Self::new(ErrorKind::InvalidInput, message)
    }

    /// Returns the kind of the error.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        self.kind
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for Error {}
