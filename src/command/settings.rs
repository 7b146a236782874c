//! The settings file of the command line for operators.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// The addresses of the operator API and the key for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CommandSettings {
    /// The addresses of the operator API of some routers, in the order in which they are tried.
    pub(crate) routers: Vec<SocketAddr>,
    /// The key of the operator.
    pub(crate) operator_key: Arc<str>,
    /// The time limit for one response, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub(crate) timeout_ms: u64,
}

const fn default_timeout_ms() -> u64 {
    60_000
}

impl CommandSettings {
    /// Reads and validates the settings file at `path`.
    pub(crate) fn read(path: &str) -> Result<Self, Error> {
        let bytes = std::fs::read(path).map_err(|error| {
            let message = format!("settings file {path} can't be read: {error}");
            Error::new(ErrorKind::Io, message)
        })?;
        Self::parse(&bytes).map_err(|error| {
            let message = format!("settings file {path}: {error}");
            Error::new(error.kind(), message)
        })
    }

    /// Parses and validates the contents of a settings file.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, Error> {
        let mut reader = serde_json::Deserializer::from_slice(bytes);
        let settings: Self = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| Error::new(ErrorKind::InvalidInput, error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), Error> {
        if self.routers.is_empty() {
            return Err(Error::invalid(
                "routers",
                "[]",
                "at least one router is required",
            ));
        }
        if self.operator_key.is_empty() {
            return Err(Error::invalid("operator_key", "\"\"", "a key is required"));
        }
        if !(100..=600_000).contains(&self.timeout_ms) {
            let reason = "it must be between 100 and 600000";
            return Err(Error::invalid("timeout_ms", self.timeout_ms, reason));
        }
        Ok(())
    }
}
