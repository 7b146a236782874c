//! Another writer leaves an entry among the servers whose bytes can't be read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use crocuswharf_platform_fakes::serve;
use http_body_util::{BodyExt, Full};
use serde_json::json;

use crate::caller::{Ask, Caller};
use crate::deployment::{Deployment, Tenant, ZONES, configuration, store_with};
use crate::record::Record;
use crate::server::{Act, Server, all_arrivals};

const TENANT: Tenant = Tenant {
    name: "sese880",
    key: "ctnfzs989anu6wsjnban",
    is_isolated: false,
};
/// Stands in the store for bytes that are no text.
const MARK: &[u8] = b"@@unreadable@@";
const UNREADABLE: &[u8] = b"\xff\xfe\x00\x80\xc3\x28\xa0\xa1\xff\xfe\xf5\x80\xc0\xaf";

/// Serves the calls to the store at `store`, with [`UNREADABLE`] in the place of [`MARK`].
async fn serve_store(store: SocketAddr) -> anyhow::Result<SocketAddr> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    let address = serve(move |request| {
        let client = client.clone();
        async move {
            let (head, body) = request.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            let path = head.uri.path_and_query()?.as_str().to_owned();
            let call = client.request(head.method, format!("http://{store}{path}"));
            let reply = call.headers(head.headers).body(body).send().await.ok()?;
            let mut response = http::Response::builder().status(reply.status());
            if let Some(era) = reply.headers().get("store-era") {
                response = response.header("store-era", era);
            }
            let mut bytes = reply.bytes().await.ok()?.to_vec();
            let mut from = 0;
            while let Some(at) = bytes[from..]
                .windows(MARK.len())
                .position(|part| part == MARK)
            {
                let at = from + at;
                bytes[at..at + MARK.len()].copy_from_slice(UNREADABLE);
                from = at + MARK.len();
            }
            let body = Full::new(Bytes::from(bytes)).map_err(|never| match never {});
            response.body(body.boxed_unsync()).ok()
        }
    })
    .await;
    Ok(address)
}

/// The times after which the replicas have to be left alone, and gone: `DrainMs` is 2 s.
const DRAINED: Duration = Duration::from_secs(4);
const REQUESTS: usize = 30;
/// How long a router that starts later may take to be ready.
const START_LIMIT: Duration = Duration::from_secs(12);

const OLD: [&str; 3] = ["i-01", "i-02", "i-03"];
const NEW: [&str; 3] = ["i-04", "i-05", "i-06"];

pub(crate) async fn run(record: &Arc<Record>, has_trouble: bool) -> anyhow::Result<bool> {
    let store = store_with(configuration(1, &[TENANT], "desk")).await;
    let start = async |ids: [&'static str; 3]| {
        let mut servers = Vec::new();
        for (id, zone) in ids.into_iter().zip(ZONES) {
            servers.push(Server::start(&store, record, id, "desk", zone, |_| Act::Serve).await);
        }
        servers
    };
    let old = start(OLD).await;
    let store_address = serve_store(store.address).await?;
    let mut deployment = Deployment::start(record, store_address).await?;
    let caller = Caller::new(record)?;
    let routers: Vec<_> = deployment
        .routers
        .iter()
        .map(|router| router.callers())
        .collect();
    tokio::time::sleep(Duration::from_secs(4)).await;
    if has_trouble {
        let mark = String::from_utf8_lossy(MARK);
        store.put("servers", "x-other", json!(mark));
        record.add("another writer's entry x-other written");
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    // The replicas are replaced: the new ones start, the old ones report that they leave.
    let new = start(NEW).await;
    for server in &old {
        server.register("draining");
    }
    tokio::time::sleep(DRAINED).await;
    let send = async |name: &str| {
        let mut served = 0;
        for index in 0..REQUESTS {
            let ask = Ask {
                path: "/place/2f",
                id: format!("{name}-{index}"),
                key: Some(TENANT.key),
                parts: String::new(),
                deadline_ms: 1_000,
            };
            let outcome = caller.send(routers[index % routers.len()], ask).await;
            served += usize::from(outcome.status == Some(200) && outcome.is_complete);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        served
    };
    let bound = record.now();
    send("draining").await;
    let arrivals = all_arrivals(&old);
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.at >= bound)
        .count();
    for server in &old {
        server.unregister();
        server.crash(Duration::from_mins(10));
    }
    let served = send("gone").await;
    deployment
        .add_router(ZONES[0], "front-catania-2", store_address)
        .await?;
    let added = deployment.routers.last().expect("it was added");
    let begun = Instant::now();
    while !caller.is_ready(added.readiness()).await && begun.elapsed() < START_LIMIT {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let is_ready = caller.is_ready(added.readiness()).await;
    record.add(format!(
        "{late} requests reached replicas over {DRAINED:?} after they reported draining; {served} of {REQUESTS} were \
         served once these had gone, by {} new replicas; a router that started then was ready within {START_LIMIT:?}: \
         {is_ready}",
        new.len()
    ));
    Ok(late > 0)
}
