//! The error type of the library.
//!
//! One struct with a kind, so that callers match on the kind while people read the message. Ordinary outcomes of a
//! request (refused, outcome unknown) are values of their own and never travel as an [`Error`].

use std::fmt;

/// Says why an operation of the library could not be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    message: String,
}

/// The kinds of [`Error`], one for each way in which a caller can react.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// A settings file, a ticket or a request holds a value that is not allowed; the message names field and value.
    InvalidInput,
    /// The other side could not be reached or did not answer in time.
    Unavailable,
    /// The other side answered with something that its protocol does not allow.
    Protocol,
    /// A conditional update met a newer version than the one it named.
    Conflict,
    /// The operating system refused an operation, for example to bind an address.
    Io,
}

impl Error {
    /// Makes an error of `kind` whose `message` is one short sentence without a full stop.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }

    /// Makes an [`ErrorKind::InvalidInput`] that names the `field` and the offending `value`.
    #[must_use]
    pub fn invalid(field: &str, value: impl fmt::Display, reason: &str) -> Self {
        let message = format!("{field}: {value} is not allowed: {reason}");
        Self::new(ErrorKind::InvalidInput, message)
    }

    /// Returns the kind, on which callers branch.
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
