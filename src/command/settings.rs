//! The settings file of the operators' command line.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// Where the routers' operators' interfaces are, and the key that opens them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CommandSettings {
    /// The operators' addresses of some routers; they are tried in this order.
    pub(crate) routers: Vec<SocketAddr>,
    /// The operator's key.
    pub(crate) operator_key: Arc<str>,
    /// The longest time for one answer, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub(crate) timeout_ms: u64,
}

const fn default_timeout_ms() -> u64 {
    60_000
}

impl CommandSettings {
    /// Reads and checks the file at `path`.
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
                "at least one router is needed",
            ));
        }
        if self.operator_key.is_empty() {
            return Err(Error::invalid("operator_key", "\"\"", "a key is needed"));
        }
        if !(100..=600_000).contains(&self.timeout_ms) {
            let reason = "it must lie between 100 and 600000";
            return Err(Error::invalid("timeout_ms", self.timeout_ms, reason));
        }
        Ok(())
    }
}
