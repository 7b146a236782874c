//! The settings of a gateway process, in JSON.
//!
//! docs/CONFIGURATION.md explains each field. A deployment whose platform renders settings from a template keeps that
//! template beside its deploy file, so that this format stays the project's own.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::id::{RouterId, ZoneName};
use crate::settings::parse_json;
use crate::telemetry::LogSettings;

/// Where a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For questions whether this process takes callers.
    pub readiness: SocketAddr,
    /// For other gateways.
    pub peers: SocketAddr,
    /// For callers that ask which addresses to use.
    pub directory: SocketAddr,
    /// For metrics.
    pub metrics: SocketAddr,
}

/// What the VM has, as far as the gateway has to keep within it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSize {
    /// The share of a core.
    pub core_share: f64,
    /// The memory in megabytes.
    pub memory_mb: u64,
    /// The most file descriptors.
    pub descriptors: u32,
    /// The speed of the link in megabits a second.
    pub link_mbps: f64,
}

/// The platform's object store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreAccess {
    /// Its address.
    pub address: SocketAddr,
}

/// The bounds that the users set, in milliseconds; a missing one is not in force.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayBounds {
    /// How long a directory answer may be kept, in milliseconds.
    pub directory_life_ms: u64,
    /// The time from a signal to leave until the process is killed.
    pub grace_ms: u64,
    /// Within this time a configuration has to be in force.
    pub configuration_ms: u64,
    /// Within this time a revoked key must have stopped working, also at routers out of touch.
    pub revocation_ms: Option<u64>,
    /// Sends beyond the first, as a share of the requests of a service.
    pub retry_share: f64,
    /// Sends beyond the first that are free in each window, over all routers.
    pub retry_slack: f64,
    /// Within this time no request may begin on older weights.
    pub weights_ms: Option<u64>,
    /// How long one holder of the lease for orders keeps others out.
    pub lease_ms: u64,
    /// Whether replicas refuse orders with an old fencing number.
    pub replicas_check_fencing: bool,
}

impl Default for GatewayBounds {
    /// Returns the bounds of the users' sheets, where both users agree, and none otherwise.
    fn default() -> Self {
        Self {
            directory_life_ms: 1_000,
            grace_ms: 8_000,
            configuration_ms: 2_000,
            revocation_ms: Some(5_000),
            retry_share: 0.2,
            retry_slack: 58.0,
            weights_ms: None,
            lease_ms: 3_000,
            replicas_check_fencing: false,
        }
    }
}

/// The settings of a gateway process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The VM's name, unique in the deployment.
    pub router: RouterId,
    /// The VM's availability zone.
    pub zone: ZoneName,
    /// Where the process listens.
    pub listen: GatewayListen,
    /// Where some other gateways listen for gateways.
    pub seeds: Vec<SocketAddr>,
    /// The keys under which gateways talk to each other; the first signs.
    pub peer_keys: Vec<Arc<str>>,
    /// What the VM has.
    pub vm: VmSize,
    /// The platform's store.
    pub store: StoreAccess,
    /// The users' bounds.
    #[serde(default)]
    pub bounds: GatewayBounds,
    /// The number of threads that carry traffic.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
}

const fn default_traffic_threads() -> usize {
    1
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the field and the value that is not allowed, or the file that can't be read.
    pub fn from_file(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            let message = format!("settings file {}: {error}", path.display());
            Error::new(crate::error::ErrorKind::Io, message)
        })?;
        Self::parse(&text)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Names the field and the value that is not allowed.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Self = parse_json(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks what the types can't.
    ///
    /// # Errors
    ///
    /// Names the field and the value that is not allowed.
    pub fn check(&self) -> Result<(), Error> {
        if self.router.is_empty() {
            return Err(Error::invalid("router", "\"\"", "a name is needed"));
        }
        if self.peer_keys.is_empty() {
            return Err(Error::invalid(
                "peer_keys",
                "[]",
                "at least one key is needed",
            ));
        }
        let share = self.vm.core_share;
        if !(share > 0.0 && share.is_finite()) {
            let reason = "it must be above 0";
            return Err(Error::invalid("vm.core_share", share, reason));
        }
        let share = self.bounds.retry_share;
        if !(0.0..=1.0).contains(&share) {
            let reason = "it must lie between 0 and 1";
            return Err(Error::invalid("bounds.retry_share", share, reason));
        }
        for (field, value) in [
            ("bounds.directory_life_ms", self.bounds.directory_life_ms),
            ("bounds.grace_ms", self.bounds.grace_ms),
            ("bounds.configuration_ms", self.bounds.configuration_ms),
            ("bounds.lease_ms", self.bounds.lease_ms),
        ] {
            if value == 0 {
                return Err(Error::invalid(
                    field,
                    value,
                    "a duration must be above zero",
                ));
            }
        }
        if self.traffic_threads == 0 {
            let reason = "at least one thread is needed";
            return Err(Error::invalid("traffic_threads", 0, reason));
        }
        Ok(())
    }
}

impl GatewayBounds {
    /// Returns how long the process has from a signal to leave.
    pub(crate) const fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }

    /// Returns the time in which a configuration has to be in force.
    pub(crate) const fn configuration(&self) -> Duration {
        Duration::from_millis(self.configuration_ms)
    }
}
