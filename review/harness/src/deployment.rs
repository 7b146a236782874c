//! A small deployment: a store, replicas and three routers, one in each zone.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::ensure;
use crocuswharf_platform_fakes::store::Store;
use serde_json::{Value, json};

use crate::caller::Caller;
use crate::record::Record;
use crate::router::Router;

pub(crate) const ZONES: [&str; 3] = ["catania", "palermo", "messina"];
const READY_LIMIT: Duration = Duration::from_secs(20);

/// A tenant of a configuration.
#[derive(Clone, Copy)]
pub(crate) struct Tenant {
    pub(crate) name: &'static str,
    pub(crate) key: &'static str,
    pub(crate) is_isolated: bool,
}

/// Returns a configuration; requests on `/open/` need no key and go to `open_service`.
pub(crate) fn configuration(version: u64, tenants: &[Tenant], open_service: &str) -> Value {
    let route =
        |name: &str, kind: &str, service: &str, attempts: u32, timeout_ms: u32, goal_ms: u32| {
            json!({
                "Name": name, "Host": "a.example", "PathPrefix": format!("/{name}/"), "Kind": kind,
                "TimeoutMs": timeout_ms, "GoalMs": goal_ms, "Priority": 1, "Service": service,
                "MaxAttempts": attempts, "Public": name == "open", "Sticky": service == "llm",
                "Resumable": kind == "streaming" && attempts > 1, "GapTargetMs": 500,
            })
        };
    let tenants = tenants.iter().map(|tenant| {
        json!({"Name": tenant.name, "ApiKeys": [tenant.key], "Priority": 1, "Isolated": tenant.is_isolated})
    });
    json!({
        "Version": version,
        "Routes": [
            route("quote", "streaming", "llm", 2, 15_000, 1_000),
            route("tag", "streaming", "llm", 1, 3_000, 1_000),
            route("lookup", "safe", "desk", 2, 1_000, 150),
            route("place", "unsafe", "desk", 1, 1_000, 150),
            route("open", "safe", open_service, 2, 1_000, 150),
        ],
        "Services": [
            {"Name": "desk", "HealthPath": "/health", "MaxConns": 110},
            {"Name": "board", "HealthPath": "/health", "MaxConns": 110},
            {"Name": "llm", "HealthPath": "/health", "MaxConns": 370, "Engine": {
                "Slots": 64, "KvCapacityTokens": 230_205, "KvTokenBytes": 18_432, "LinkMbps": 550_000.0,
                "MaxInflight": 64, "Models": [{"Name": "m0"}],
            }},
        ],
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 4_194_304, "HeaderTimeoutMs": 3_000, "IdleTimeoutMs": 15_000,
        },
        "Tenants": tenants.collect::<Vec<_>>(),
    })
}

/// The routers of the deployment.
pub(crate) struct Deployment {
    pub(crate) routers: Vec<Router>,
    pub(crate) folder: PathBuf,
}

impl Deployment {
    /// Starts three routers on the store at `store`, and waits until each is ready and knows the others.
    pub(crate) async fn start(record: &Arc<Record>, store: SocketAddr) -> anyhow::Result<Self> {
        let name = format!("crocuswharf-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let mut deployment = Self {
            routers: Vec::new(),
            folder,
        };
        for zone in ZONES {
            let name = format!("front-{zone}-1");
            deployment.add_router(zone, &name, store).await?;
        }
        let caller = Caller::new(record)?;
        let deadline = Instant::now() + READY_LIMIT;
        for router in &deployment.routers {
            while !caller.is_ready(router.readiness()).await
                || caller.directory_size(router.directory()).await < ZONES.len()
            {
                ensure!(Instant::now() < deadline, "{} is not ready", router.name);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        record.add("all routers are ready");
        Ok(deployment)
    }

    /// Starts another router, whose seeds are those that run.
    pub(crate) async fn add_router(
        &mut self,
        zone: &str,
        name: &str,
        store: SocketAddr,
    ) -> anyhow::Result<()> {
        let seeds: Vec<SocketAddr> = self.routers.iter().map(Router::peers).collect();
        let router = Router::start(&self.folder, name, zone, store, &seeds).await?;
        self.routers.push(router);
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.routers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Starts a store with a configuration.
pub(crate) async fn store_with(configuration: Value) -> Store {
    let store = Store::start().await;
    store.put("config", "main", configuration);
    store
}
