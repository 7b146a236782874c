//! The operator isolates a tenant whose requests have filled KV caches before.

use std::sync::Arc;
use std::time::Duration;

use crate::caller::{Ask, Caller};
use crate::deployment::{Deployment, Tenant, ZONES, configuration, store_with};
use crate::record::Record;
use crate::server::{Act, Server, all_arrivals};

const CLINIC: Tenant = Tenant {
    name: "clinic",
    key: "key-of-clinic",
    is_isolated: false,
};
const MARKET: Tenant = Tenant {
    name: "market",
    key: "key-of-market",
    is_isolated: false,
};
/// The shared part of the prompts, such as a long page of bylaws.
const SHARED: &str = "5c1e07a2:800";
/// `ConfigApplyMs` of the small deployments is 2 s.
const APPLIED: Duration = Duration::from_millis(4_000);
const REQUESTS: usize = 9;

const IDS: [&str; 6] = ["i-01", "i-02", "i-03", "i-04", "i-05", "i-06"];

pub(crate) async fn run(record: &Arc<Record>, has_trouble: bool) -> anyhow::Result<bool> {
    let store = store_with(configuration(1, &[CLINIC, MARKET], "desk")).await;
    store.name_weights("m0", 1);
    let mut servers = Vec::new();
    for (index, id) in IDS.into_iter().enumerate() {
        let zone = ZONES[index % ZONES.len()];
        servers.push(Server::start(&store, record, id, "llm", zone, |_| Act::Serve).await);
    }
    let deployment = Deployment::start(record, store.address).await?;
    let caller = Caller::new(record)?;
    let routers: Vec<_> = deployment
        .routers
        .iter()
        .map(|router| router.callers())
        .collect();
    let send = async |tenant: Tenant, name: &str| {
        for index in 0..REQUESTS {
            let ask = Ask {
                path: "/tag/2f",
                id: format!("{name}-{index}"),
                key: Some(tenant.key),
                parts: format!("{SHARED},{name}{index}:250"),
                deadline_ms: 3_000,
            };
            caller.send(routers[index % routers.len()], ask).await;
        }
    };
    send(CLINIC, "clinic").await;
    if has_trouble {
        let isolated = Tenant {
            is_isolated: true,
            ..CLINIC
        };
        store.put(
            "config",
            "main",
            configuration(2, &[isolated, MARKET], "desk"),
        );
        record.add("version 2 of the configuration acknowledged: clinic is isolated");
    }
    tokio::time::sleep(APPLIED).await;
    let changed_at = record.now();
    send(MARKET, "market").await;
    let arrivals = all_arrivals(&servers);
    let later = arrivals.iter().filter(|arrival| arrival.at >= changed_at);
    let foreign = later
        .filter(|arrival| {
            arrival
                .found
                .iter()
                .any(|(_, maker)| *maker != arrival.tenant)
        })
        .count();
    record.add(format!(
        "{foreign} requests of market used KV cache that a request of clinic made; clinic is isolated: {has_trouble}"
    ));
    Ok(has_trouble && foreign > 0)
}
