//! Starts a whole deployment in one process: platform, backend servers and routers.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use crocuswharf::{
    Bounds, Listen, LogSettings, Router, RouterAddresses, RouterSettings, Times, Vm, VmState,
};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::deployment::Deployment;
use super::traffic::ACCOUNTS;
use crate::engine::{Engine, EngineSettings};
use crate::plain::PlainService;
use crate::platform::Platform;
use crate::serve::Served;

/// The routers of each deployment.
pub const ROUTERS: usize = 9;
/// The operators' key of the demonstration.
pub const OPERATOR_KEY: &str = "demo-operator-key";
/// The key shared by the demonstration's routers.
const PEER_KEY: &str = "demo-peer-key-of-enough-length";
/// The life of a directory answer in the demonstration, short so that a graceful exit ends within it.
const DIRECTORY_LIFE_MS: u64 = 2_000;
/// The time from one token to the next, in milliseconds.
const TOKEN_INTERVAL_MS: u64 = 20;

/// A running deployment.
pub struct Fleet {
    /// The shape of the deployment.
    pub deployment: Deployment,
    /// The engines and their servers.
    pub engines: Vec<RunningEngine>,
    /// The ledger that the plain service's replicas share.
    pub plain: PlainService,
    /// The routers; `None` once one has left.
    pub routers: Vec<Option<Arc<Router>>>,
    /// The fake platform.
    pub platform: Platform,
    plain_servers: Vec<Served>,
    _platform_server: Served,
}

/// A fake engine together with its server.
pub struct RunningEngine {
    /// The engine.
    pub engine: Engine,
    /// The address, which outlives a crash.
    pub address: SocketAddr,
    /// The server; dropping it cuts all connections.
    pub served: Option<Served>,
}

impl Fleet {
    /// Starts everything on loopback, with ports that the system gives.
    ///
    /// # Errors
    ///
    /// Fails where an address can't be bound.
    pub async fn start(deployment: Deployment) -> anyhow::Result<Self> {
        Self::start_with(deployment, ROUTERS, |_| {}).await
    }

    /// Starts `router_count` routers, and engines whose settings `adjust` may change.
    ///
    /// # Errors
    ///
    /// Fails where an address can't be bound.
    pub async fn start_with(
        deployment: Deployment,
        router_count: usize,
        adjust: impl Fn(&mut EngineSettings),
    ) -> anyhow::Result<Self> {
        Self::start_with_times(deployment, router_count, default_times(), adjust).await
    }

    /// Starts `router_count` routers with `times`, and engines whose settings `adjust` may change.
    ///
    /// # Errors
    ///
    /// Fails where an address can't be bound.
    pub async fn start_with_times(
        deployment: Deployment,
        router_count: usize,
        times: Times,
        adjust: impl Fn(&mut EngineSettings),
    ) -> anyhow::Result<Self> {
        let platform = Platform::new();
        let platform_server = platform.serve(any_port()).await?;
        let engines = start_engines(&deployment, adjust).await?;
        let plain = PlainService::default();
        let mut plain_servers = Vec::new();
        for _ in 0..deployment.plain_replicas {
            plain_servers.push(plain.serve(any_port()).await?);
        }
        let routers = start_routers(&deployment, router_count, platform_server.address, &times)?;
        let fleet = Self {
            deployment,
            engines,
            plain,
            routers,
            platform,
            plain_servers,
            _platform_server: platform_server,
        };
        fleet.platform.set_vms(fleet.vms());
        Ok(fleet)
    }

    /// Returns the addresses of the routers that run.
    pub fn addresses(&self) -> Vec<RouterAddresses> {
        self.routers
            .iter()
            .flatten()
            .map(|router| router.addresses())
            .collect()
    }

    /// Asks the first router for the explanation of a request, until it is there.
    ///
    /// # Errors
    ///
    /// Fails where the router can't be asked.
    pub async fn explain(&self, request_id: &str) -> anyhow::Result<Value> {
        let address = self.addresses()[0].operators;
        let http = reqwest::Client::builder().no_proxy().build()?;
        loop {
            let request = http.get(format!("http://{address}/explain/{request_id}"));
            let answer = request.bearer_auth(OPERATOR_KEY).send().await?;
            if answer.status() != reqwest::StatusCode::NOT_FOUND {
                return Ok(answer.error_for_status()?.json().await?);
            }
            // The record of a request is told to the control thread after its last byte.
            tokio::task::yield_now().await;
        }
    }

    /// Returns the change ticket that sets the deployment up.
    pub fn ticket(&self, number: u64) -> Value {
        let deployment = &self.deployment;
        let accounts: serde_json::Map<String, Value> = (0..ACCOUNTS)
            .map(|index| (account_name(index), self.account(index)))
            .collect();
        json!({
            "ticket": number,
            "accounts": accounts,
            "services": {
                deployment.model_service: {
                    "kind": "model",
                    "pool": "engines",
                    "preference": "users",
                },
                deployment.plain_service: {
                    "kind": "plain",
                    "pool": "ledger",
                    "idempotent_operations": [{"method": "GET", "path": "/receipts/*"}],
                },
            },
            "pools": {
                "engines": self.engine_pool(),
                "ledger": self.plain_pool(),
            },
            "preferences": {
                "users": {
                    "recomputation_price": f64::from(deployment.recomputation_price_tenths) / 10.0,
                },
            },
        })
    }

    fn account(&self, index: usize) -> Value {
        json!({
            "key_sha256": [key_digest(&account_key(index))],
            "limits": {
                "requests_per_second": 10_000,
                "tokens_per_second": 1_000_000_000,
                "concurrent_requests": 10_000,
            },
            "services": [self.deployment.model_service, self.deployment.plain_service],
        })
    }

    fn engine_pool(&self) -> Value {
        let replicas: Vec<Value> = self
            .engines
            .iter()
            .enumerate()
            .map(|(index, engine)| self.replica("engine", index, engine.address))
            .collect();
        json!({
            "replicas": replicas,
            "concurrent_loads": self.deployment.concurrent_loads,
            "checks_fencing": true,
        })
    }

    fn plain_pool(&self) -> Value {
        let replicas: Vec<Value> = self
            .plain_servers
            .iter()
            .enumerate()
            .map(|(index, server)| self.replica("ledger", index, server.address))
            .collect();
        json!({"replicas": replicas})
    }

    fn replica(&self, kind: &str, index: usize, address: SocketAddr) -> Value {
        json!({
            "id": format!("{kind}-{index}"),
            "address": address,
            "zone": zone_of(&self.deployment, index),
        })
    }

    fn vms(&self) -> Vec<Vm> {
        let routers = self
            .routers
            .iter()
            .enumerate()
            .filter_map(|(index, router)| {
                let address = router.as_ref()?.addresses().peers;
                Some((index, address))
            });
        let engines = self
            .engines
            .iter()
            .enumerate()
            .map(|(index, engine)| (index, engine.address));
        routers
            .chain(engines)
            .map(|(index, address)| Vm {
                address,
                zone: zone_of(&self.deployment, index).into(),
                state: VmState::Running,
            })
            .collect()
    }
}

/// Returns the name of an account.
pub fn account_name(index: usize) -> String {
    format!("account-{index}")
}

/// Returns the key of an account.
pub fn account_key(index: usize) -> String {
    format!("demo-account-key-{index}")
}

/// Returns an address on loopback whose port the system chooses.
pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Returns the digest under which settings and tickets name a key.
fn key_digest(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn zone_of(deployment: &Deployment, index: usize) -> &'static str {
    deployment.zones[index % deployment.zones.len()]
}

/// Returns the timeouts and intervals of the demonstration's routers.
pub fn default_times() -> Times {
    Times {
        directory_life_ms: DIRECTORY_LIFE_MS,
        ..Times::default()
    }
}

async fn start_engines(
    deployment: &Deployment,
    adjust: impl Fn(&mut EngineSettings),
) -> anyhow::Result<Vec<RunningEngine>> {
    let mut engines = Vec::new();
    for _ in 0..deployment.engines {
        let mut settings = EngineSettings {
            token_interval_ms: TOKEN_INTERVAL_MS,
            weights_load_ms: deployment.weights_load_ms,
            checks_fencing: true,
            ..EngineSettings::default()
        };
        adjust(&mut settings);
        let engine = Engine::new(settings);
        let served = engine.serve(any_port()).await?;
        engines.push(RunningEngine {
            address: served.address,
            engine,
            served: Some(served),
        });
    }
    Ok(engines)
}

fn start_routers(
    deployment: &Deployment,
    router_count: usize,
    platform: SocketAddr,
    times: &Times,
) -> anyhow::Result<Vec<Option<Arc<Router>>>> {
    let mut routers: Vec<Option<Arc<Router>>> = Vec::new();
    let mut seeds: Vec<SocketAddr> = Vec::new();
    for index in 0..router_count {
        let router = Router::start(RouterSettings {
            times: *times,
            ..router_settings(deployment, index, platform, &seeds)
        })?;
        if seeds.len() < 3 {
            seeds.push(router.addresses().peers);
        }
        routers.push(Some(Arc::new(router)));
    }
    Ok(routers)
}

fn router_settings(
    deployment: &Deployment,
    index: usize,
    platform: SocketAddr,
    seeds: &[SocketAddr],
) -> RouterSettings {
    let zone = zone_of(deployment, index);
    RouterSettings {
        router: format!("{zone}-{}", index / deployment.zones.len() + 1).into(),
        zone: zone.into(),
        listen: Listen {
            callers: any_port(),
            operators: any_port(),
            peers: any_port(),
        },
        platform,
        seeds: seeds.to_vec(),
        peer_keys: vec![PEER_KEY.into()],
        operator_key_sha256: vec![key_digest(OPERATOR_KEY).into()],
        times: default_times(),
        bounds: Bounds::default(),
        traffic_threads: 1,
        log: LogSettings::default(),
    }
}
