//! The routing configuration: which requests go to which service, for which client accounts.
//!
//! A configuration is adopted whole and never goes back to a lower version. Routes of one host are kept longest prefix
//! first, so that the first match is the route. A trie was rejected: hosts have few routes, and a scan of some hundred
//! short prefixes costs less than a microsecond. See docs/design/gateway.md.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::id::{AccountId, ServiceName, ZoneName};

/// The name of a model that replicas serve.
pub type ModelName = Arc<str>;

/// What may be repeated of a request, and how its answer travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// An answer in events; it runs at most once unless it may be resumed.
    Stream {
        /// Whether another replica may go on after the last event.
        is_resumable: bool,
    },
}

impl CallKind {
    /// Tells whether a request that may have run may be sent again.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { is_resumable: true })
    }

    /// Tells whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service among which a route splits its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other weights of the route.
    pub weight: u32,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name, for logs and metrics.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: Arc<str>,
    /// What the path begins with.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: CallKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// The rank of the route's requests, 0 first.
    pub priority: u8,
    /// The services, with their shares.
    pub targets: SmallVec<[WeightedService; 2]>,
    /// The replicas at which one request may run.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether requests name the openings of their prompts.
    pub has_openings: bool,
}

impl Route {
    /// Picks a service by weight; `None` where all weights are zero.
    pub fn pick_service(&self, rng: &mut impl Rng) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        if total == 0 {
            return None;
        }
        let mut place = rng.random_range(0..total);
        for target in &self.targets {
            if place < target.weight {
                return Some(&target.service);
            }
            place -= target.weight;
        }
        unreachable!("a place below the total lies in one of the weights")
    }
}

/// What is known of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineTraits {
    /// The requests that a replica runs at once.
    pub slots: u32,
    /// The tokens for which a replica has memory.
    pub cache_tokens: u64,
    /// The bytes that one cached token takes.
    pub token_bytes: u64,
    /// The speed of a replica's link for cached tokens, in megabits a second.
    pub link_mbps: f64,
    /// The waiting calls for cache events that a replica takes from all routers.
    pub event_calls: u32,
    /// The models that its replicas serve.
    pub models: SmallVec<[ModelName; 1]>,
}

/// A store of kept cache entries beside the replicas.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptCacheTraits {
    /// Where replicas reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The tokens for which it has room.
    pub cache_tokens: u64,
}

/// A service: plain, of model engines, or a kept cache.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayService {
    /// The service's name.
    pub name: ServiceName,
    /// The connections that one replica takes from all routers.
    pub max_connections: u32,
    /// Set for services of model engines.
    pub engine: Option<EngineTraits>,
    /// Set for kept caches.
    pub kept_cache: Option<KeptCacheTraits>,
}

/// A client account with the keys that its callers may present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayAccount {
    /// The account's name.
    pub name: AccountId,
    /// The keys in force.
    pub keys: Vec<Arc<str>>,
    /// The rank of the account's requests, which goes before the route's.
    pub priority: Option<u8>,
    /// Whether the account shares no cache entries with others.
    pub is_isolated: bool,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// How long a caller may take for a request's head.
    pub header_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits in force before the first configuration; both users' first configurations name the same.
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The whole configuration as the operator wrote it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayConfiguration {
    /// Its version, which only grows.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<GatewayService>,
    /// All client accounts; where there are none, callers need no key.
    pub accounts: Vec<GatewayAccount>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// A configuration, indexed for requests.
#[derive(Debug)]
pub(crate) struct RouteTable {
    configuration: GatewayConfiguration,
    /// Indices into the routes by host, longest prefix first.
    by_host: HashMap<Arc<str>, Vec<usize>>,
    by_key: HashMap<Arc<str>, usize>,
    by_service: HashMap<ServiceName, usize>,
}

impl RouteTable {
    /// Indexes `configuration`.
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
            configuration,
            by_host,
            by_key,
            by_service,
        }
    }

    /// Returns the configuration's version.
    #[must_use]
    pub(crate) const fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the configuration.
    #[must_use]
    pub(crate) const fn configuration(&self) -> &GatewayConfiguration {
        &self.configuration
    }

    /// Finds the route of a request; a port behind the host is ignored.
    #[must_use]
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = without_port(host).to_ascii_lowercase();
        let routes = self.by_host.get(host.as_str())?.iter();
        routes
            .map(|index| &self.configuration.routes[*index])
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the account that holds `key`.
    #[must_use]
    pub(crate) fn account_of(&self, key: &str) -> Option<&GatewayAccount> {
        let index = self.by_key.get(key)?;
        Some(&self.configuration.accounts[*index])
    }

    /// Tells whether callers of `route` have to present a key.
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

    /// Returns the kept cache that replicas in `zone` should use, one of the same zone first.
    #[must_use]
    pub(crate) fn kept_cache(&self, zone: &str) -> Option<&KeptCacheTraits> {
        let caches = || {
            let services = self.configuration.services.iter();
            services.filter_map(|service| service.kept_cache.as_ref())
        };
        caches()
            .find(|cache| *cache.zone == *zone)
            .or_else(|| caches().next())
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
