//! The settings of a gateway process, in JSON.
//!
//! docs/CONFIGURATION.md describes each field. If a platform renders the settings from a template, the deployment keeps
//! that template next to its deploy file, so that this format remains independent of the platform.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::quota::QuotaTolerance;
use crate::error::Error;
use crate::id::{RouterId, ZoneName};
use crate::settings::parse_json;
use crate::telemetry::LogSettings;

/// The addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayListen {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for readiness checks.
    pub readiness: SocketAddr,
    /// The address for other gateways.
    pub peers: SocketAddr,
    /// The address of the directory, which returns the addresses that callers should use.
    pub directory: SocketAddr,
    /// The address for metrics.
    pub metrics: SocketAddr,
}

/// The resources of the VM that the gateway must stay within.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSize {
    /// The share of a CPU core.
    pub core_share: f64,
    /// The memory in megabytes.
    pub memory_mb: u64,
    /// The maximum number of file descriptors.
    pub descriptors: u32,
    /// The bandwidth of the network link in megabits per second.
    pub link_mbps: f64,
}

/// The memory for what callers and replicas make the process hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MemorySettings {
    /// The budget in megabytes; the default is a fraction of the VM's memory.
    pub budget_mb: Option<u64>,
}

/// The platform's object store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreAccess {
    /// The address of the store.
    pub address: SocketAddr,
}

/// The bounds required by the users; an optional one that is absent does not apply.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewayBounds {
    /// How long a directory response may be cached, in milliseconds.
    pub directory_life_ms: u64,
    /// The time between the signal to shut down and the kill of the process, in milliseconds.
    pub grace_ms: u64,
    /// The time within which a new configuration must be in force, in milliseconds.
    pub configuration_ms: u64,
    /// The time within which a revoked key must be rejected, even at disconnected routers, in milliseconds.
    pub revocation_ms: Option<u64>,
    /// The permitted retries as a fraction of the requests of a service.
    pub retry_share: f64,
    /// The number of retries permitted per window in addition to the share, over all routers.
    pub retry_slack: f64,
    /// The time after which no request may start on older weights, in milliseconds.
    pub weights_ms: Option<u64>,
    /// The duration for which the lease for orders excludes other routers, in milliseconds.
    pub lease_ms: u64,
    /// The length of the window in which quotas of client accounts are measured, in seconds.
    pub quota_window_s: f64,
    /// The fraction by which the use of an account in a window may exceed its quota.
    pub quota_overrun: f64,
    /// The tokens by which the use of an account in a window may exceed its quota in addition.
    pub quota_slack_tokens: f64,
    /// Whether replicas reject orders with an outdated fencing number.
    pub replicas_check_fencing: bool,
}

impl Default for GatewayBounds {
    /// Returns the bounds that both users specify identically, and no bound otherwise.
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
            quota_window_s: 8.0,
            quota_overrun: 0.1,
            quota_slack_tokens: 0.0,
            replicas_check_fencing: false,
        }
    }
}

/// The limits of admission control; one that is absent does not apply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionSettings {
    /// The requests that may be in flight at a replica when a large request that is not urgent is sent to it, as a multiple
    /// of the replica's slots.
    pub large_requests_per_slot: Option<f64>,
}

/// What the placement of requests takes into account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementSettings {
    /// Whether routers learn the speeds of replicas and place requests by them.
    pub uses_replica_speeds: bool,
    /// Whether requests avoid replicas whose KV cache memory is full of running requests.
    pub uses_replica_memory: bool,
}

/// The settings of a gateway process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The name of the VM, unique in the deployment.
    pub router: RouterId,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The addresses that the process listens on.
    pub listen: GatewayListen,
    /// The peer addresses of some other gateways, used to join the membership.
    pub seeds: Vec<SocketAddr>,
    /// The keys that authenticate messages between gateways; the first one signs.
    pub peer_keys: Vec<Arc<str>>,
    /// The resources of the VM.
    pub vm: VmSize,
    /// The platform's store.
    pub store: StoreAccess,
    /// The memory for callers.
    #[serde(default)]
    pub memory: MemorySettings,
    /// The bounds required by the users.
    #[serde(default)]
    pub bounds: GatewayBounds,
    /// The limits of admission control.
    #[serde(default)]
    pub admission: AdmissionSettings,
    /// What the placement of requests takes into account.
    #[serde(default)]
    pub placement: PlacementSettings,
    /// The number of threads that serve traffic.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// The log settings.
    #[serde(default)]
    pub log: LogSettings,
}

/// The fraction of the VM's memory that callers may use. The rest is for the process without callers, whose control thread
/// may take 32 MB, for buffers of the kernel, and for gaps in the heap.
const MEMORY_BUDGET_FRACTION: f64 = 0.4;
/// The smallest budget in megabytes; it has room for a body of 4 MiB beside the share for small requests.
const MIN_MEMORY_BUDGET_MB: u64 = 8;
const BYTES_PER_MB: u64 = 1_000_000;

const fn default_traffic_threads() -> usize {
    1
}

impl GatewaySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid field and its value, or the file that can't be read.
    pub fn from_file(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            let message = format!("settings file {}: {error}", path.display());
            Error::new(crate::error::ErrorKind::Io, message)
        })?;
        Self::parse(&text)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid field and its value.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let settings: Self = parse_json(text)?;
        settings.check()?;
        Ok(settings)
    }

    /// Validates constraints that the types don't express.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid field and its value.
    pub fn check(&self) -> Result<(), Error> {
        if self.router.is_empty() {
            return Err(Error::invalid("router", "\"\"", "must not be empty"));
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
            let reason = "must be above zero";
            return Err(Error::invalid("vm.core_share", share, reason));
        }
        let share = self.bounds.retry_share;
        if !(0.0..=1.0).contains(&share) {
            let reason = "must be between 0 and 1";
            return Err(Error::invalid("bounds.retry_share", share, reason));
        }
        for (field, value) in [
            ("bounds.directory_life_ms", self.bounds.directory_life_ms),
            ("bounds.grace_ms", self.bounds.grace_ms),
            ("bounds.configuration_ms", self.bounds.configuration_ms),
            ("bounds.lease_ms", self.bounds.lease_ms),
        ] {
            if value == 0 {
                return Err(Error::invalid(field, value, "must be above zero"));
            }
        }
        self.bounds.check_quotas()?;
        if let Some(budget_mb) = self.memory.budget_mb
            && !(MIN_MEMORY_BUDGET_MB..=self.vm.memory_mb).contains(&budget_mb)
        {
            let reason = "must be from 8 to vm.memory_mb";
            return Err(Error::invalid("memory.budget_mb", budget_mb, reason));
        }
        if let Some(limit) = self.admission.large_requests_per_slot
            && !(limit > 0.0 && limit.is_finite())
        {
            let field = "admission.large_requests_per_slot";
            return Err(Error::invalid(field, limit, "must be above zero"));
        }
        if self.traffic_threads == 0 {
            let reason = "must be above zero";
            return Err(Error::invalid("traffic_threads", 0, reason));
        }
        Ok(())
    }
}

impl GatewaySettings {
    /// Returns the memory for what callers and replicas make the process hold, in bytes.
    pub(crate) fn memory_budget_bytes(&self) -> u64 {
        let default_mb = (self.vm.memory_mb as f64 * MEMORY_BUDGET_FRACTION) as u64;
        let default_mb = default_mb.max(MIN_MEMORY_BUDGET_MB);
        let budget_mb = self.memory.budget_mb.unwrap_or(default_mb);
        budget_mb.saturating_mul(BYTES_PER_MB)
    }
}

impl GatewayBounds {
    fn check_quotas(&self) -> Result<(), Error> {
        let window = self.quota_window_s;
        if !(0.1..=3_600.0).contains(&window) {
            let reason = "must be between 0.1 and 3600";
            return Err(Error::invalid("bounds.quota_window_s", window, reason));
        }
        let overrun = self.quota_overrun;
        if !(0.0..=1.0).contains(&overrun) {
            let reason = "must be between 0 and 1";
            return Err(Error::invalid("bounds.quota_overrun", overrun, reason));
        }
        let slack = self.quota_slack_tokens;
        if !(slack >= 0.0 && slack.is_finite()) {
            let reason = "must not be negative";
            return Err(Error::invalid("bounds.quota_slack_tokens", slack, reason));
        }
        Ok(())
    }

    /// Returns by how much an account may exceed its quota.
    pub(crate) const fn quota_tolerance(&self) -> QuotaTolerance {
        QuotaTolerance {
            window_s: self.quota_window_s,
            overrun: self.quota_overrun,
            slack_tokens: self.quota_slack_tokens,
        }
    }

    /// Returns the time between the signal to shut down and the kill of the process.
    pub(crate) const fn grace(&self) -> Duration {
        Duration::from_millis(self.grace_ms)
    }

    /// Returns the time within which a new configuration must be in force.
    pub(crate) const fn configuration(&self) -> Duration {
        Duration::from_millis(self.configuration_ms)
    }
}
