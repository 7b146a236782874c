//! Another writer leaves an entry among the servers whose bytes can't be read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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

pub(crate) async fn run(record: &Arc<Record>, has_trouble: bool) -> anyhow::Result<bool> {
    let store = store_with(configuration(1, &[TENANT], "desk")).await;
    let mut servers = Vec::new();
    for (index, id) in ["i-01", "i-02", "i-03"].into_iter().enumerate() {
        let zone = ZONES[index % ZONES.len()];
        servers.push(Server::start(&store, record, id, "desk", zone, |_| Act::Serve).await);
    }
    let deployment = Deployment::start(record, serve_store(store.address).await?).await?;
    let caller = Caller::new(record)?;
    let routers: Vec<_> = deployment
        .routers
        .iter()
        .map(|router| router.callers())
        .collect();
    tokio::time::sleep(Duration::from_secs(4)).await;
    if has_trouble {
        store.put("servers", "x-other", json!(String::from_utf8_lossy(MARK)));
        record.add("another writer's entry x-other written");
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    servers[0].register("draining");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let bound = record.now();
    for index in 0..60 {
        let ask = Ask {
            path: "/place/2f",
            id: format!("late-{index}"),
            key: Some(TENANT.key),
            parts: String::new(),
            deadline_ms: 1_500,
        };
        caller.send(routers[index % routers.len()], ask).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let arrivals = all_arrivals(&servers);
    let late = arrivals
        .iter()
        .filter(|arrival| arrival.at >= bound && arrival.server == "i-01" && arrival.ran)
        .count();
    record.add(format!(
        "{late} requests ran at i-01 over 4 s after it reported draining"
    ));
    Ok(late > 0)
}
