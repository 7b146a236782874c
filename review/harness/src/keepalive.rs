//! One answer of a replica has a very large value in `Keep-Alive`.

use std::sync::Arc;
use std::time::Duration;

use crate::caller::{Ask, Caller};
use crate::deployment::{Deployment, Tenant, ZONES, configuration, store_with};
use crate::record::Record;
use crate::server::{Act, Server, all_arrivals};

const TENANT: Tenant = Tenant {
    name: "sese880",
    key: "ctnfzs989anu6wsjnban",
    is_isolated: false,
};
const LARGE: &str = "timeout=18446744073709551615";

fn ask(id: String) -> Ask {
    Ask {
        path: "/open/2f",
        id,
        key: None,
        parts: String::new(),
        deadline_ms: 1_500,
    }
}

pub(crate) async fn run(record: &Arc<Record>, has_trouble: bool) -> anyhow::Result<bool> {
    let store = store_with(configuration(1, &[TENANT], "desk")).await;
    let mut servers = Vec::new();
    for (index, (id, service)) in [
        ("i-01", "desk"),
        ("i-02", "desk"),
        ("i-03", "desk"),
        ("i-04", "board"),
    ]
    .into_iter()
    .enumerate()
    {
        let zone = ZONES[index % ZONES.len()];
        servers.push(Server::start(&store, record, id, service, zone, |_| Act::Serve).await);
    }
    let deployment = Deployment::start(record, store.address).await?;
    let caller = Caller::new(record)?;
    let routers: Vec<_> = deployment
        .routers
        .iter()
        .map(|router| router.callers())
        .collect();
    tokio::time::sleep(Duration::from_secs(4)).await;
    if has_trouble {
        servers[0].set_keep_alive(Some(LARGE));
    }
    for index in 0..12 {
        caller
            .send(
                routers[index % routers.len()],
                ask(format!("early-{index}")),
            )
            .await;
    }
    servers[0].set_keep_alive(None);
    store.put("config", "main", configuration(2, &[TENANT], "board"));
    record.add("version 2 of the configuration acknowledged: /open/ goes to board");
    tokio::time::sleep(Duration::from_secs(8)).await;
    let applied_at = record.now();
    for index in 0..12 {
        caller
            .send(routers[index % routers.len()], ask(format!("late-{index}")))
            .await;
    }
    let arrivals = all_arrivals(&servers);
    let stale = arrivals
        .iter()
        .filter(|arrival| arrival.at >= applied_at && arrival.server != "i-04" && arrival.ran)
        .count();
    record.add(format!("{stale} requests ran at the old service"));
    Ok(stale > 0)
}
