//! Routing configuration: the routes, services and client accounts that requests are matched against.
//!
//! A configuration is applied as a whole and its version never decreases. The routes of a host are sorted by prefix
//! length, longest first, so the first match wins. Rejected: a trie, because hosts have few routes and scanning a few
//! hundred short prefixes takes less than a microsecond. See docs/design/gateway.md.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::cache_isolation::CacheIsolation;
use super::quota::AccountQuota;
use crate::id::{AccountId, ServiceName, ZoneName};

/// The name of a model served by replicas.
pub type ModelName = Arc<str>;

/// How often a request may run, and whether its response is streamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Streams its response as events; runs at most once unless it is resumable.
    Stream {
        /// Whether another replica may continue the stream after the last event that was delivered.
        is_resumable: bool,
    },
}

impl CallKind {
    /// Returns whether a request that may already have run may be sent again.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One of the services among which a route splits its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The name of the service.
    pub service: ServiceName,
    /// Its weight relative to the other services of the route.
    pub weight: u32,
}

/// A routing rule for requests to one host whose paths share a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name of the route, used in logs and metrics.
    pub name: Arc<str>,
    /// The host that requests must name.
    pub host: Arc<str>,
    /// The prefix that request paths must start with.
    pub path_prefix: Arc<str>,
    /// How often a request may run, and whether its response is streamed.
    pub kind: CallKind,
    /// The longest time that a caller waits for a response.
    pub timeout: Duration,
    /// The target latency: responses lose value after this time.
    pub objective: Duration,
    /// The priority of the route's requests; 0 is the highest.
    pub priority: u8,
    /// The services with their weights.
    pub targets: SmallVec<[WeightedService; 2]>,
    /// The maximum number of replicas on which one request may run.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
    /// Whether requests identify the prefixes of their prompts.
    pub has_prompt_prefix: bool,
}

impl Route {
    /// Picks a service at random according to the weights; returns `None` if all weights are zero.
    pub fn pick_service(&self, rng: &mut impl Rng) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return None;
        }
        let mut point = rng.random_range(0..total);
        for target in &self.targets {
            if point < target.weight {
                return Some(&target.service);
            }
            point -= target.weight;
        }
        unreachable!("a point below the total weight falls on one of the targets")
    }
}

/// The properties of a service's inference engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// The maximum number of requests that a replica runs concurrently.
    pub slots: u32,
    /// The KV cache capacity of a replica, in tokens.
    pub cache_tokens: u64,
    /// The KV cache size of one token, in bytes.
    pub token_bytes: u64,
    /// The bandwidth of a replica's link for KV cache transfers, in megabits per second.
    pub link_mbps: f64,
    /// The maximum number of pending calls for cache events that a replica accepts from all routers together.
    pub event_calls: u32,
    /// The models that the replicas serve.
    pub models: SmallVec<[ModelName; 1]>,
}

/// An external KV cache store that replicas share.
#[derive(Clone, Debug, PartialEq)]
pub struct KvStoreTraits {
    /// The address at which replicas reach the store.
    pub address: SocketAddr,
    /// The availability zone of the store.
    pub zone: ZoneName,
    /// The capacity of the store, in tokens.
    pub cache_tokens: u64,
}

/// A service: plain backend servers, inference engines or a KV cache store.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayService {
    /// The name of the service.
    pub name: ServiceName,
    /// The maximum number of connections that one replica accepts from all routers together.
    pub max_connections: u32,
    /// Set for services of inference engines.
    pub engine: Option<EngineTraits>,
    /// Set for KV cache stores.
    pub kv_store: Option<KvStoreTraits>,
}

/// A client account and the API keys of its callers.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayAccount {
    /// The name of the account.
    pub name: AccountId,
    /// The valid keys.
    pub keys: Vec<Arc<str>>,
    /// The priority of the account's requests; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Whether the account shares no cache entries with other accounts.
    pub is_isolated: bool,
    /// The quota of the account; `None` if its use is not limited.
    pub quota: Option<AccountQuota>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The time within which a caller must send the head of a request.
    pub header_timeout: Duration,
    /// The time after which a connection without requests is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that apply before the first configuration; both users' initial configurations set the same
    /// values.
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The complete configuration, as written by the operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayConfiguration {
    /// The version, which never decreases.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<GatewayService>,
    /// All client accounts; if there are none, callers need no key.
    pub accounts: Vec<GatewayAccount>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

/// A configuration with indexes for looking up requests.
#[derive(Debug)]
pub(crate) struct RouteTable {
    configuration: GatewayConfiguration,
    /// Indices into the routes by host, longest prefix first.
    by_host: HashMap<Arc<str>, Vec<usize>>,
    by_key: HashMap<Arc<str>, usize>,
    by_service: HashMap<ServiceName, usize>,
    cache_isolation: CacheIsolation,
}

impl RouteTable {
    /// Creates the indexes for `configuration`.
    #[must_use]
    pub(crate) fn new(configuration: GatewayConfiguration) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase().into();
            by_host.entry(host).or_default().push(index);
        }
        for indices in by_host.values_mut() {
            indices.sort_by_key(|index| {
                std::cmp::Reverse(configuration.routes[*index].path_prefix.len())
            });
        }
        let mut by_key = HashMap::new();
        for (index, account) in configuration.accounts.iter().enumerate() {
            for key in &account.keys {
                by_key.insert(Arc::clone(key), index);
            }
        }
        let services = configuration.services.iter().enumerate();
        let by_service = services
            .map(|(index, service)| (Arc::clone(&service.name), index))
            .collect();
        Self {
            cache_isolation: CacheIsolation::new(&configuration.accounts),
            configuration,
            by_host,
            by_key,
            by_service,
        }
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub(crate) const fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the configuration.
    #[must_use]
    pub(crate) const fn configuration(&self) -> &GatewayConfiguration {
        &self.configuration
    }

    /// Returns the route that matches a request; a port after the host name is ignored.
    #[must_use]
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host).to_ascii_lowercase();
        let routes = self.by_host.get(host.as_str())?.iter();
        routes
            .map(|index| &self.configuration.routes[*index])
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the account that `key` belongs to.
    #[must_use]
    pub(crate) fn account_for_key(&self, key: &str) -> Option<&GatewayAccount> {
        let index = self.by_key.get(key)?;
        Some(&self.configuration.accounts[*index])
    }

    /// Returns whether callers of `route` must present a key.
    #[must_use]
    pub(crate) fn needs_key(&self, route: &Route) -> bool {
        !route.is_public && !self.configuration.accounts.is_empty()
    }

    /// Returns the service called `name`.
    #[must_use]
    pub(crate) fn service(&self, name: &str) -> Option<&GatewayService> {
        let index = self.by_service.get(name)?;
        Some(&self.configuration.services[*index])
    }

    /// Returns which accounts share cached prompt parts.
    #[must_use]
    pub(crate) const fn cache_isolation(&self) -> &CacheIsolation {
        &self.cache_isolation
    }

    /// Returns the KV cache store for replicas in `zone`, preferring one in the same zone.
    #[must_use]
    pub(crate) fn kv_store(&self, zone: &str) -> Option<&KvStoreTraits> {
        let stores = || {
            let services = self.configuration.services.iter();
            services.filter_map(|service| service.kv_store.as_ref())
        };
        stores()
            .find(|store| *store.zone == *zone)
            .or_else(|| stores().next())
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
