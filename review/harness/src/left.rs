//! A plain request that crashes each replica that runs it comes again and again, and its callers leave before the crash.

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
/// How long a replica runs the request before it crashes, and how long it is down then.
const RUN: Duration = Duration::from_millis(120);
const DOWN: Duration = Duration::from_secs(2);
/// How long its callers wait: half of the objective.
const PATIENCE: Duration = Duration::from_millis(75);
const SENDS: usize = 12;
const SEND_INTERVAL: Duration = Duration::from_secs(3);
const SOUND_INTERVAL: Duration = Duration::from_millis(50);
/// `StableMs` of the small deployments.
const STABLE_S: f64 = 3.0;
/// The crash from which on the rule counts, and the number of retries that it allows from then on.
const COUNTED_CRASHES: usize = 3;
const ALLOWED: usize = 3;

fn ask(path: &'static str, id: String) -> Ask {
    Ask {
        path,
        id,
        key: Some(TENANT.key),
        parts: String::new(),
        deadline_ms: 1_000,
    }
}

pub(crate) async fn run(record: &Arc<Record>, has_trouble: bool) -> anyhow::Result<bool> {
    let store = store_with(configuration(1, &[TENANT], "desk")).await;
    let mut servers = Vec::new();
    for (index, id) in ["i-01", "i-02", "i-03", "i-04"].into_iter().enumerate() {
        let zone = ZONES[index % ZONES.len()];
        let server = Server::start(&store, record, id, "desk", zone, move |arrival| {
            let is_deadly = arrival.id.starts_with("same-");
            if has_trouble && is_deadly {
                Act::CrashAfter(RUN, DOWN)
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
            let request = ask("/place/3a", format!("sound-{index}"));
            tokio::spawn(async move { caller.send(router, request).await });
        }
    });
    tokio::time::sleep(Duration::from_secs(1)).await;
    for index in 0..SENDS {
        let request = ask("/place/2f", format!("same-{index}"));
        let sending = caller.send(routers[index % routers.len()], request);
        if tokio::time::timeout(PATIENCE, sending).await.is_err() {
            record.add(format!("same-{index}: its caller leaves"));
        }
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
