//! The router's settings: what one process must know before it can ask anybody.
//!
//! Everything else is configuration, which operators change by tickets. Settings are read once at start, checked
//! whole, and a fault stops the daemon with the field's path. docs/CONFIGURATION.md lists every field.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};
use crate::id::{RouterId, ZoneName};
use crate::telemetry::LogSettings;

#[cfg(test)]
mod tests;

/// The fewest bytes of a peer key; shorter keys can be guessed.
const MIN_PEER_KEY_BYTES: usize = 16;
/// The hexadecimal digits of a SHA-256 digest.
const SHA256_HEX_DIGITS: usize = 64;

/// The settings of one router process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// The router's name, unique in the deployment.
    pub router: RouterId,
    /// The availability zone that the VM stands in.
    pub zone: ZoneName,
    /// Where the router listens.
    pub listen: Listen,
    /// The platform's object API and VM list.
    pub platform: SocketAddr,
    /// The peer addresses of some other routers, to find the rest from.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The secrets shared by all routers of the deployment; the first signs, each is accepted.
    pub peer_keys: Vec<Arc<str>>,
    /// The lower-case hexadecimal SHA-256 digests of the operators' keys.
    pub operator_key_sha256: Vec<Arc<str>>,
    /// The times that the router keeps.
    #[serde(default)]
    pub times: Times,
    /// The bounds on what callers may send.
    #[serde(default)]
    pub bounds: Bounds,
    /// The number of threads that carry traffic.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
}

/// The addresses that a router listens on; port 0 takes any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and metrics.
    pub operators: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
}

/// The times that a router keeps, each in milliseconds in the settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// How long a caller may keep an answer of the entry directory.
    pub directory_life_ms: u64,
    /// How long a caller may take for its request's headers.
    pub header_timeout_ms: u64,
    /// How long a caller may take for its request's body.
    pub body_timeout_ms: u64,
    /// How long a caller's connection may be idle.
    pub idle_timeout_ms: u64,
    /// How long a backend server may take to accept a connection.
    pub connect_timeout_ms: u64,
    /// How long an open answer stream may be silent before it is resumed on a new connection.
    pub stream_silence_ms: u64,
    /// How long the platform may take for one answer.
    pub platform_timeout_ms: u64,
    /// How often an engine is asked for its load.
    pub load_interval_ms: u64,
    /// How long an opening's owner may take to answer before the router chooses by its own view.
    pub lookup_timeout_ms: u64,
    /// The longest time that a graceful exit waits for requests in flight; the rest is cut and named.
    pub drain_limit_ms: u64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            directory_life_ms: 10_000,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            idle_timeout_ms: 75_000,
            connect_timeout_ms: 1_000,
            stream_silence_ms: 5_000,
            platform_timeout_ms: 2_000,
            load_interval_ms: 250,
            lookup_timeout_ms: 5,
            drain_limit_ms: 300_000,
        }
    }
}

impl Times {
    /// Returns each field with its path, for checks and docs.
    #[must_use]
    pub const fn fields(&self) -> [(&'static str, u64); 10] {
        [
            ("times.directory_life_ms", self.directory_life_ms),
            ("times.header_timeout_ms", self.header_timeout_ms),
            ("times.body_timeout_ms", self.body_timeout_ms),
            ("times.idle_timeout_ms", self.idle_timeout_ms),
            ("times.connect_timeout_ms", self.connect_timeout_ms),
            ("times.stream_silence_ms", self.stream_silence_ms),
            ("times.platform_timeout_ms", self.platform_timeout_ms),
            ("times.load_interval_ms", self.load_interval_ms),
            ("times.lookup_timeout_ms", self.lookup_timeout_ms),
            ("times.drain_limit_ms", self.drain_limit_ms),
        ]
    }

    /// Returns how long a caller may keep an answer of the entry directory.
    #[must_use]
    pub const fn directory_life(&self) -> Duration {
        Duration::from_millis(self.directory_life_ms)
    }

    /// Returns how long a backend server may take to accept a connection.
    #[must_use]
    pub const fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Returns how long an open answer stream may be silent.
    #[must_use]
    pub const fn stream_silence(&self) -> Duration {
        Duration::from_millis(self.stream_silence_ms)
    }

    /// Returns how long the platform may take for one answer.
    #[must_use]
    pub const fn platform_timeout(&self) -> Duration {
        Duration::from_millis(self.platform_timeout_ms)
    }

    /// Returns how often an engine is asked for its load.
    #[must_use]
    pub const fn load_interval(&self) -> Duration {
        Duration::from_millis(self.load_interval_ms)
    }

    /// Returns how long an opening's owner may take to answer.
    #[must_use]
    pub const fn lookup_timeout(&self) -> Duration {
        Duration::from_millis(self.lookup_timeout_ms)
    }

    /// Returns the longest time that a graceful exit waits.
    #[must_use]
    pub const fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }
}

/// The bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The largest request body in bytes, whatever a service allows.
    pub body_limit_bytes: usize,
    /// The most connections of callers at once.
    pub connections: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            body_limit_bytes: 16 << 20,
            connections: 10_000,
        }
    }
}

impl RouterSettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Io`] where the file can't be read and with [`ErrorKind::InvalidInput`] where it holds
    /// anything that is not allowed; the message names the field's path.
    pub fn from_file(path: &Path) -> Result<Self, Error> {
        let settings: Self = read_json(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks every value.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::InvalidInput`] at the first value that is not allowed.
    pub fn check(&self) -> Result<(), Error> {
        check_name("router", &self.router)?;
        check_name("zone", &self.zone)?;
        self.check_keys()?;
        for (field, value_ms) in self.times.fields() {
            if value_ms == 0 {
                return Err(Error::invalid(
                    field,
                    value_ms,
                    "a duration must be above zero",
                ));
            }
        }
        if self.bounds.body_limit_bytes == 0 {
            return Err(Error::invalid(
                "bounds.body_limit_bytes",
                0,
                "must be above zero",
            ));
        }
        if self.bounds.connections == 0 {
            return Err(Error::invalid(
                "bounds.connections",
                0,
                "must be above zero",
            ));
        }
        if self.traffic_threads == 0 {
            return Err(Error::invalid("traffic_threads", 0, "must be above zero"));
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), Error> {
        if self.peer_keys.is_empty() {
            return Err(Error::invalid(
                "peer_keys",
                "[]",
                "at least one key is needed",
            ));
        }
        for (index, key) in self.peer_keys.iter().enumerate() {
            if key.len() < MIN_PEER_KEY_BYTES {
                let field = format!("peer_keys[{index}]");
                return Err(Error::invalid(
                    &field,
                    "a key of this length",
                    "use 16 bytes or more",
                ));
            }
        }
        for (index, digest) in self.operator_key_sha256.iter().enumerate() {
            if !is_sha256_hex(digest) {
                let field = format!("operator_key_sha256[{index}]");
                return Err(Error::invalid(
                    &field,
                    digest,
                    "use 64 lower-case hexadecimal digits",
                ));
            }
        }
        Ok(())
    }
}

/// Reads a JSON file whose faults are reported with the field's path.
///
/// # Errors
///
/// Fails with [`ErrorKind::Io`] where the file can't be read and with [`ErrorKind::InvalidInput`] where its content does
/// not fit.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::new(ErrorKind::Io, format!("{}: {error}", path.display())))?;
    parse_json(&text).map_err(|error| {
        let message = format!("{}: {error}", path.display());
        Error::new(error.kind(), message)
    })
}

/// Parses JSON whose faults are reported with the field's path.
///
/// # Errors
///
/// Fails with [`ErrorKind::InvalidInput`] where the content does not fit.
pub fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let message = format!("{}: {}", error.path(), error.inner());
        Error::new(ErrorKind::InvalidInput, message)
    })?;
    deserializer
        .end()
        .map_err(|error| Error::new(ErrorKind::InvalidInput, format!("trailing text: {error}")))?;
    Ok(value)
}

fn check_name(field: &str, value: &str) -> Result<(), Error> {
    let fits = !value.is_empty()
        && value.len() <= 64
        && value
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'));
    if fits {
        return Ok(());
    }
    Err(Error::invalid(
        field,
        format!("{value:?}"),
        "use 1 to 64 letters, digits, '-', '_' or '.'",
    ))
}

fn is_sha256_hex(digest: &str) -> bool {
    digest.len() == SHA256_HEX_DIGITS
        && digest
            .bytes()
            .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}

const fn default_traffic_threads() -> usize {
    1
}
