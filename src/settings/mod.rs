//! Router settings: the values that a process needs before it can reach the platform or other routers.
//!
//! Everything else is part of the configuration, which operators change through change tickets. Settings are read and
//! validated once at startup. An invalid value stops the daemon with an error that contains the field's path.
//! docs/CONFIGURATION.md lists every field.

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

/// The minimum length of a peer key in bytes; shorter keys can be guessed.
const MIN_PEER_KEY_BYTES: usize = 16;
/// The number of hexadecimal digits in a SHA-256 digest.
const SHA256_HEX_DIGITS: usize = 64;

/// The settings of one router process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// The router's name, unique within the deployment.
    pub router: RouterId,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The addresses on which the router listens.
    pub listen: Listen,
    /// The address of the platform's object API and VM list.
    pub platform: SocketAddr,
    /// The peer addresses of some other routers, from which the remaining members are discovered.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The secrets shared by all routers of the deployment. The first one signs; all of them are accepted.
    pub peer_keys: Vec<Arc<str>>,
    /// The SHA-256 digests of the operators' keys, in lower-case hexadecimal.
    pub operator_key_sha256: Vec<Arc<str>>,
    /// The timeouts and intervals.
    #[serde(default)]
    pub times: Times,
    /// The limits on callers' requests and connections.
    #[serde(default)]
    pub bounds: Bounds,
    /// The number of threads that handle requests.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// The log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// The addresses on which a router listens. Port 0 selects any free port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Serves callers.
    pub callers: SocketAddr,
    /// Serves operators and metrics.
    pub operators: SocketAddr,
    /// Serves other routers.
    pub peers: SocketAddr,
}

/// Timeouts and intervals of a router, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    /// How long a caller may cache a response of the entry directory.
    pub directory_life_ms: u64,
    /// The timeout for receiving the headers of a caller's request.
    pub header_timeout_ms: u64,
    /// The timeout for receiving the body of a caller's request.
    pub body_timeout_ms: u64,
    /// The idle timeout of a caller's connection, beside the longest time limit of a request.
    pub idle_timeout_ms: u64,
    /// The timeout for connecting to a backend server.
    pub connect_timeout_ms: u64,
    /// How long an open response stream may be idle before it is resumed on a new connection.
    pub stream_silence_ms: u64,
    /// The timeout for a call to the platform.
    pub platform_timeout_ms: u64,
    /// The interval at which each engine is polled for its load.
    pub load_interval_ms: u64,
    /// The timeout for querying the owner of a prompt prefix. When it expires, the router decides by its own view.
    pub lookup_timeout_ms: u64,
    /// The maximum time that a graceful shutdown waits for requests in flight. Requests that remain are cut off and
    /// reported.
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
    /// Returns the path and value of each field, for validation and for checks of the documentation.
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

    /// Returns how long a caller may cache a response of the entry directory.
    #[must_use]
    pub const fn directory_ttl(&self) -> Duration {
        Duration::from_millis(self.directory_life_ms)
    }

    /// Returns the timeout for connecting to a backend server.
    #[must_use]
    pub const fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }

    /// Returns how long an open response stream may be idle before it is resumed on a new connection.
    #[must_use]
    pub const fn stream_idle_timeout(&self) -> Duration {
        Duration::from_millis(self.stream_silence_ms)
    }

    /// Returns the timeout for a call to the platform.
    #[must_use]
    pub const fn platform_timeout(&self) -> Duration {
        Duration::from_millis(self.platform_timeout_ms)
    }

    /// Returns the interval at which each engine is polled for its load.
    #[must_use]
    pub const fn load_interval(&self) -> Duration {
        Duration::from_millis(self.load_interval_ms)
    }

    /// Returns the timeout for querying the owner of a prompt prefix.
    #[must_use]
    pub const fn lookup_timeout(&self) -> Duration {
        Duration::from_millis(self.lookup_timeout_ms)
    }

    /// Returns the maximum time that a graceful shutdown waits for requests in flight.
    #[must_use]
    pub const fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The maximum size of a request body in bytes, regardless of the service's own limit.
    pub body_limit_bytes: usize,
    /// The maximum number of concurrent connections from callers.
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
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Io`] if the file can't be read, and [`ErrorKind::InvalidInput`] if it contains an invalid
    /// value. The message contains the field's path.
    pub fn from_file(path: &Path) -> Result<Self, Error> {
        let settings: Self = read_json(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// Validates all values.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidInput`] for the first invalid value.
    pub fn check(&self) -> Result<(), Error> {
        check_name("router", &self.router)?;
        check_name("zone", &self.zone)?;
        self.check_keys()?;
        for (field, value_ms) in self.times.fields() {
            if value_ms == 0 {
                return Err(Error::invalid(
                    field,
                    value_ms,
                    "a duration must be greater than zero",
                ));
            }
        }
        if self.bounds.body_limit_bytes == 0 {
            return Err(Error::invalid(
                "bounds.body_limit_bytes",
                0,
                "must be greater than zero",
            ));
        }
        if self.bounds.connections == 0 {
            return Err(Error::invalid(
                "bounds.connections",
                0,
                "must be greater than zero",
            ));
        }
        if self.traffic_threads == 0 {
            return Err(Error::invalid(
                "traffic_threads",
                0,
                "must be greater than zero",
            ));
        }
        Ok(())
    }

    fn check_keys(&self) -> Result<(), Error> {
        if self.peer_keys.is_empty() {
            return Err(Error::invalid(
                "peer_keys",
                "[]",
                "at least one key is required",
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

/// Reads and parses a JSON file. Errors contain the path of the invalid field.
///
/// # Errors
///
/// Returns [`ErrorKind::Io`] if the file can't be read, and [`ErrorKind::InvalidInput`] if its content is not valid.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::new(ErrorKind::Io, format!("{}: {error}", path.display())))?;
    parse_json(&text).map_err(|error| {
        let message = format!("{}: {error}", path.display());
        Error::new(error.kind(), message)
    })
}

/// Parses JSON. Errors contain the path of the invalid field.
///
/// # Errors
///
/// Returns [`ErrorKind::InvalidInput`] if the content is not valid.
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
    let is_valid = !value.is_empty()
        && value.len() <= 64
        && value
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'));
    if is_valid {
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
