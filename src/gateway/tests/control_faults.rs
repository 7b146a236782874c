//! Tests that a panic while a message of the platform is handled leaves the router under control.

use std::panic::panic_any;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use yare::parameterized;

use super::prompt::header_names;
use crate::gateway::control::contain::result_or;
use crate::gateway::{
    CallerLimits, ConfigurationRead, Gateway, GatewayAdapters, GatewayConfiguration,
    GatewaySettings, ListPage, OrderReply, PlatformStore, ReplicaCalls, StoreFault, WatchPage,
};
use crate::store::PutOutcome;

const TIMEOUT: Duration = Duration::from_secs(10);
const SETTINGS: &str = r#"{
  "router": "front-1", "zone": "ikeja",
  "listen": { "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "peers": "127.0.0.1:0",
              "directory": "127.0.0.1:0", "metrics": "127.0.0.1:0" },
  "seeds": [], "peer_keys": ["a-key-for-this-test"],
  "vm": { "core_share": 0.25, "memory_mb": 260, "descriptors": 4100, "link_mbps": 1000 },
  "store": { "address": "127.0.0.1:6" }
}"#;

/// Where the store's answer causes a panic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Point {
    /// In the task that reads the configuration.
    Read,
    /// In the control thread.
    Decode,
    /// In the task that lists the replicas.
    List,
}

/// Returns a store whose first answer panics at `point`, and whose later answers are valid.
fn store(point: Point) -> PlatformStore {
    let answers = Arc::new(AtomicU64::new(0));
    let panic_first = move |at| {
        if at == point && answers.fetch_add(1, Ordering::Relaxed) == 0 {
            panic_any("a malformed answer");
        }
    };
    let (on_read, on_decode, on_list) = (panic_first.clone(), panic_first.clone(), panic_first);
    let reads = AtomicU64::new(0);
    PlatformStore {
        era: Box::new(|| 0),
        read_configuration: Box::new(move |_| {
            on_read(Point::Read);
            let revision = 1 + reads.fetch_add(1, Ordering::Relaxed);
            let changed = Some(Bytes::from_static(b"{}"));
            let read = ConfigurationRead { revision, changed };
            Box::pin(async move { Ok(Some(read)) })
        }),
        decode_configuration: Box::new(move |_| {
            on_decode(Point::Decode);
            Ok(GatewayConfiguration {
                version: 1,
                routes: Vec::new(),
                services: Vec::new(),
                accounts: Vec::new(),
                limits: CallerLimits::default(),
            })
        }),
        list_replicas: Box::new(move |_| {
            on_list(Point::List);
            Box::pin(async { Ok(empty_list()) })
        }),
        watch_replicas: Box::new(|(_, wait)| Box::pin(no_changes(wait))),
        list_weights: Box::new(|_| Box::pin(async { Ok(empty_list()) })),
        watch_weights: Box::new(|(_, wait)| Box::pin(no_changes(wait))),
        read_lease: Box::new(|()| Box::pin(async { Ok(None) })),
        write_lease: Box::new(|_, _| Box::pin(async { PutOutcome::NotSent })),
        read_releases: Box::new(|()| Box::pin(async { Ok(None) })),
        write_releases: Box::new(|_, _| Box::pin(async { PutOutcome::NotSent })),
    }
}

fn empty_list<T>() -> ListPage<T> {
    ListPage {
        entries: Vec::new(),
        next: None,
        as_of: 1,
    }
}

async fn no_changes<T>(wait: Duration) -> Result<WatchPage<T>, StoreFault> {
    tokio::time::sleep(wait).await;
    let entries = Vec::new();
    Ok(WatchPage { entries, as_of: 1 })
}

/// A panic ended the control thread or a task of it, and the process went on without control until it was restarted.
#[parameterized(
    read = { Point::Read },
    decode = { Point::Decode },
    list = { Point::List },
)]
fn panic_over_an_answer_of_the_store_leaves_the_router_under_control(point: Point) {
    let settings = GatewaySettings::parse(SETTINGS).unwrap();
    let adapters = GatewayAdapters {
        store: store(point),
        replicas: ReplicaCalls {
            order: Box::new(|_| Box::pin(async { OrderReply::Unanswered })),
            report: Box::new(|_| Box::pin(async { None })),
        },
        header_names: header_names(),
    };
    let gateway = Gateway::start(settings, adapters).unwrap();
    let begun = Instant::now();
    while !gateway.handle().is_ready() {
        assert!(begun.elapsed() < TIMEOUT, "the router is not ready");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// A panic in a call of the lease lost its event, and the router waited for the end of that call for good.
#[tokio::test]
async fn panic_in_a_call_yields_its_uncertain_outcome() {
    let call = async { panic_any("a malformed answer") };
    let outcome = result_or("test", call, PutOutcome::Unknown).await;
    assert!(matches!(outcome, PutOutcome::Unknown));
}
