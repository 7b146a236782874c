//! Requests with a part that crashes replicas come in small batches.

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
/// The part that crashes replicas.
const DEADLY: &str = "dead0001";
/// How long a replica is down after a crash.
const DOWN: Duration = Duration::from_secs(2);
/// The first parts of prompts, which sound requests have too.
const FIRST_PARTS: usize = 8;
const BATCHES: usize = 5;
const BATCH_INTERVAL: Duration = Duration::from_secs(7);
const SOUND_INTERVAL: Duration = Duration::from_millis(50);
/// `StableMs` of the small deployments.
const STABLE_S: f64 = 3.0;
/// The crash from which on the rule counts, and the number of requests that it allows from then on.
const COUNTED_CRASHES: usize = 5;
const ALLOWED: usize = 3;

const IDS: [&str; 12] = [
    "i-01", "i-02", "i-03", "i-04", "i-05", "i-06", "i-07", "i-08", "i-09", "i-10", "i-11", "i-12",
];

fn ask(id: String, parts: String) -> Ask {
    Ask {
        path: "/tag/2f",
        id,
        key: Some(TENANT.key),
        parts,
        deadline_ms: 3_000,
    }
}

pub(crate) async fn run(record: &Arc<Record>, has_trouble: bool) -> anyhow::Result<bool> {
    let store = store_with(configuration(1, &[TENANT], "desk")).await;
    store.name_weights("m0", 1);
    let mut servers = Vec::new();
    for (index, id) in IDS.into_iter().enumerate() {
        let zone = ZONES[index % ZONES.len()];
        let server = Server::start(&store, record, id, "llm", zone, move |arrival| {
            let is_deadly = arrival.parts.iter().any(|(part, _)| part == DEADLY);
            if has_trouble && is_deadly {
                Act::Crash(DOWN)
            } else {
                Act::Serve
            }
        });
        servers.push(server.await);
    }
    let deployment = Deployment::start(record, store.address).await?;
    let caller = Caller::new(record)?;
    let routers: Vec<_> = deployment
        .routers
        .iter()
        .map(|router| router.callers())
        .collect();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let (sound, sound_routers) = (caller.clone(), routers.clone());
    let sound_traffic = tokio::spawn(async move {
        let mut tick = tokio::time::interval(SOUND_INTERVAL);
        for index in 0_usize.. {
            tick.tick().await;
            let (caller, router) = (sound.clone(), sound_routers[index % sound_routers.len()]);
            let parts = format!(
                "a{:07x}:55,b{:07x}:37,{index:08x}:291",
                index % FIRST_PARTS,
                index % 5
            );
            tokio::spawn(async move {
                caller
                    .send(router, ask(format!("sound-{index}"), parts))
                    .await
            });
        }
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    for batch in 0..BATCHES {
        record.add(format!("batch {batch} begins"));
        let sends = (0..FIRST_PARTS).map(|index| {
            let parts = format!("a{index:07x}:55,{DEADLY}:37,f{batch}{index:06x}:291");
            let request = ask(format!("part-{batch}-{index}"), parts);
            let (caller, router) = (caller.clone(), routers[index % routers.len()]);
            tokio::spawn(async move { caller.send(router, request).await })
        });
        let sends: Vec<_> = sends.collect();
        for send in sends {
            send.await?;
        }
        tokio::time::sleep(BATCH_INTERVAL).await;
    }
    sound_traffic.abort();
    let arrivals = all_arrivals(&servers);
    let deadly: Vec<f64> = arrivals
        .iter()
        .filter(|arrival| arrival.parts.iter().any(|(part, _)| part == DEADLY))
        .map(|arrival| arrival.at)
        .collect();
    let crashes = record.times_of(" crashes");
    let Some(fifth) = crashes.get(COUNTED_CRASHES - 1) else {
        record.add(format!(
            "{} crashes, fewer than {COUNTED_CRASHES}",
            crashes.len()
        ));
        return Ok(false);
    };
    let late = deadly.iter().filter(|at| **at > fifth + STABLE_S).count();
    record.add(format!(
        "{} crashes, the fifth at {fifth:.3} s; {late} requests with the part reached replicas later than {STABLE_S} s after it; allowed are {ALLOWED}",
        crashes.len()
    ));
    Ok(late > ALLOWED)
}
