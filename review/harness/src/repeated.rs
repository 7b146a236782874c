//! One request of a model route that crashes each replica that runs it comes again and again.

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
/// The last part of the prompt that crashes replicas; it belongs to that request alone.
const DEADLY: &str = "e4402b7d";
/// How long a replica is down after a crash.
const DOWN: Duration = Duration::from_secs(2);
/// The first parts of prompts; the request that crashes replicas has the first of them too.
const FIRST_PARTS: usize = 4;
const SOUND_INTERVAL: Duration = Duration::from_millis(50);
const SENDS: usize = 12;
const SEND_INTERVAL: Duration = Duration::from_secs(3);
/// `StableMs` of the small deployments.
const STABLE_S: f64 = 3.0;
/// The crash from which on the rule counts, and the number of retries that it allows from then on.
const COUNTED_CRASHES: usize = 3;
const ALLOWED: usize = 3;

const IDS: [&str; 12] = [
    "i-01", "i-02", "i-03", "i-04", "i-05", "i-06", "i-07", "i-08", "i-09", "i-10", "i-11", "i-12",
];

fn ask(id: String, parts: String) -> Ask {
    Ask {
        path: "/quote/2f",
        id,
        key: Some(TENANT.key),
        parts,
        deadline_ms: 15_000,
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
            let parts = format!("a{:07x}:800,{index:08x}:291", index % FIRST_PARTS);
            tokio::spawn(async move {
                caller
                    .send(router, ask(format!("sound-{index}"), parts))
                    .await
            });
        }
    });
    tokio::time::sleep(Duration::from_secs(3)).await;
    for index in 0..SENDS {
        let request = ask(
            format!("same-{index}"),
            format!("a0000000:800,{DEADLY}:250"),
        );
        caller.send(routers[index % routers.len()], request).await;
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    sound_traffic.abort();
    let deadly: Vec<f64> = all_arrivals(&servers)
        .iter()
        .filter(|arrival| arrival.ran && arrival.id.starts_with("same-"))
        .map(|arrival| arrival.at)
        .collect();
    let crashes = record.times_of(" crashes");
    let Some(third) = crashes.get(COUNTED_CRASHES - 1) else {
        record.add(format!(
            "{} crashes, fewer than {COUNTED_CRASHES}",
            crashes.len()
        ));
        return Ok(false);
    };
    let late = deadly.iter().filter(|at| **at > third + STABLE_S).count();
    record.add(format!(
        "{} crashes, the third at {third:.3} s; the request reached replicas {late} times later than {STABLE_S} s after it; allowed are {ALLOWED}",
        crashes.len()
    ));
    Ok(late > ALLOWED)
}
