//! A replica whose answers end with their connection ends between two events of a stream.

use std::sync::Arc;
use std::time::Duration;

use crocuswharf_platform_fakes::{Ending, serve_until_closed};
use serde_json::json;

use crate::caller::{Ask, Caller};
use crate::deployment::{Deployment, Tenant, ZONES, configuration, store_with};
use crate::record::Record;
use crate::server::unix_ms;

const TENANT: Tenant = Tenant {
    name: "sese880",
    key: "ctnfzs989anu6wsjnban",
    is_isolated: false,
};
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-crocuswharf-request-id: {id}\r\nx-crocuswharf-server-stamp: s\r\nx-crocuswharf-weight-versions: 1\r\n\r\nid: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n";
const BROKEN: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-crocuswharf-request-id: {id}\r\nx-crocuswharf-server-stamp: s\r\nx-crocuswharf-weight-versions: 1\r\n\r\nid: 1\ndata: e1\n\nid: 2\ndata: e2\n\n";

pub(crate) async fn run(record: &Arc<Record>, has_trouble: bool) -> anyhow::Result<bool> {
    let store = store_with(configuration(1, &[TENANT], "desk")).await;
    store.name_weights("m0", 1);
    let text = if has_trouble { BROKEN } else { WHOLE };
    let address = serve_until_closed(text, Duration::from_millis(30), Ending::Close).await;
    let entry = json!({
        "Service": "llm", "Addr": address.to_string(), "Zone": ZONES[0], "Version": "v1", "Slots": 64,
        "State": "ready", "ColdLeftMs": 0, "Stage": "colocated", "Seq": 4, "born": unix_ms(),
        "Models": [{"Name": "m0", "Version": 1, "Adapters": []}],
    });
    store.put("servers", "i-01", entry);
    let deployment = Deployment::start(record, store.address).await?;
    let caller = Caller::new(record)?;
    let mut short = 0;
    for index in 0..9 {
        let ask = Ask {
            path: "/tag/2f",
            id: format!("stream-{index}"),
            key: Some(TENANT.key),
            parts: format!("5c1e07a2:55,{index:08x}:250"),
            deadline_ms: 3_000,
        };
        let router = &deployment.routers[index % deployment.routers.len()];
        let outcome = caller.send(router.callers(), ask).await;
        let is_short = outcome.is_complete && !outcome.body.contains("data: e3");
        short += usize::from(outcome.status == Some(200) && is_short);
    }
    record.add(format!(
        "{short} streams ended as complete without their last event"
    ));
    Ok(short > 0)
}
