//! Sends requests to one router until the platform would kill it for its memory, and counts the requests that are lost
//! with it.
//!
//! Without trouble the metrics are read every 5 s, as while an incident is examined.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::ensure;
use crocuswharf_platform_fakes::daemon::configuration;
use crocuswharf_platform_fakes::store::Store;
use review_2::{
    BROKEN, Folder, HELD, RawReplica, Record, Router, RouterPlan, finish, has_trouble, read_answer,
};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The memory of most machines of the grown deployment of cedarbunk-wharf, in megabytes.
const MEMORY_MB: u64 = 88;
/// The same in the kilobytes of the kernel; a megabyte is 10^6 bytes, as the router takes its setting.
const MEMORY_KB: u64 = MEMORY_MB * 1_000_000 / 1_024;
/// The time for which requests are sent.
const LOAD_TIME: Duration = Duration::from_secs(110);
/// The callers that send one request after the other.
const BUSY_CALLERS: u64 = 32;
/// The callers whose requests run for a while.
const SLOW_CALLERS: u64 = 24;
/// The callers that keep their connections and send a request now and then.
const KEPT_CALLERS: u64 = 1_550;
/// The pause of such a caller, four fifths of the idle limit of 15 s at most.
const KEPT_PAUSE: Duration = Duration::from_secs(10);
/// The interval at which metrics are read while an incident is examined.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);
/// The number of requests that the rule lets a machine lose.
const MAX_LOST: usize = 3;

#[derive(Default)]
struct Load {
    served: AtomicU64,
    is_over: AtomicBool,
}

#[tokio::main]
async fn main() {
    finish(run().await);
}

fn request(route: &str, id: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nhost: a.example\r\nx-crocuswharf-request-id: {id}\r\napi-key: key\r\n\
         x-crocuswharf-deadline-ms: 2000\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Sends one request after the other on a kept connection, and returns the one that got no answer.
async fn call(
    router: SocketAddr,
    load: Arc<Load>,
    route: &'static str,
    name: String,
    pause: Duration,
) -> Option<String> {
    let mut connection = None;
    let mut buffer = Vec::with_capacity(1024);
    let mut count = 0_u64;
    while !load.is_over.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("{name}-{count}");
        let mut stream = match connection.take() {
            Some(stream) => stream,
            None => TcpStream::connect(router).await.ok()?,
        };
        let _ = stream.set_nodelay(true);
        if stream
            .write_all(request(route, &id).as_bytes())
            .await
            .is_err()
        {
            return Some(id);
        }
        let Some(answer) = read_answer(&mut stream, &mut buffer).await else {
            return Some(id);
        };
        if answer.status == 200 {
            load.served.fetch_add(1, Ordering::Relaxed);
        }
        connection = (!answer.closes).then_some(stream);
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
    None
}

async fn run() -> anyhow::Result<i32> {
    let record = Record::create();
    let folder = Folder::create("memory")?;
    let store = Store::start().await;
    store.put("config", "main", configuration(1, &["key"]));
    let mut replicas = Vec::new();
    for number in 1..=3 {
        let id = format!("app-{number}");
        let replica = RawReplica::start(&id, Duration::from_millis(300)).await?;
        store.put("servers", &id, json!({
            "Service": "app", "Addr": replica.address.to_string(), "Zone": "zone-1", "Version": "v1", "Slots": 12,
            "State": "ready", "ColdLeftMs": 0, "Seq": 4, "born": 7,
        }));
        replicas.push(replica);
    }
    let plan = RouterPlan::new("front-1", "zone-1", MEMORY_MB);
    let settings = plan.settings(store.address, &[]);
    let mut router = Router::start(plan, &settings, &folder.0)?;
    ensure!(
        router.wait_until_ready(Duration::from_secs(10)).await,
        "the router is not ready"
    );
    record.line(format!(
        "started, memory {} kB of {} kB",
        router.memory_kb().0,
        MEMORY_KB
    ));
    let load = Arc::new(Load::default());
    let address = router.address("callers");
    let mut callers = Vec::new();
    for number in 0..KEPT_CALLERS {
        let load = Arc::clone(&load);
        callers.push(tokio::spawn(call(
            address,
            load,
            "safe",
            format!("kept{number}"),
            KEPT_PAUSE,
        )));
        if number % 50 == 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    for number in 0..BUSY_CALLERS {
        let load = Arc::clone(&load);
        callers.push(tokio::spawn(call(
            address,
            load,
            "safe",
            format!("busy{number}"),
            Duration::ZERO,
        )));
    }
    for number in 0..SLOW_CALLERS {
        let load = Arc::clone(&load);
        callers.push(tokio::spawn(call(
            address,
            load,
            "pay",
            format!("pay{number}"),
            Duration::ZERO,
        )));
    }
    let client = reqwest::Client::builder().no_proxy().build()?;
    let metrics = format!("http://{}/metrics", router.address("metrics"));
    let end = Instant::now() + LOAD_TIME;
    let mut next_line = Instant::now();
    let mut next_metrics = Instant::now();
    let mut is_killed = false;
    while Instant::now() < end && !is_killed {
        ensure!(
            router.exit_status()?.is_none(),
            "the router ended by itself"
        );
        let (memory_kb, _) = router.memory_kb();
        if memory_kb > MEMORY_KB {
            is_killed = true;
            router.signal(rustix::process::Signal::KILL)?;
            record.line(format!(
                "memory {memory_kb} kB: the platform kills the process"
            ));
        }
        if Instant::now() >= next_line {
            next_line += Duration::from_secs(1);
            record.line(format!(
                "answered {} requests, memory {memory_kb} kB",
                load.served.load(Ordering::Relaxed)
            ));
        }
        if !has_trouble() && Instant::now() >= next_metrics {
            next_metrics += METRICS_INTERVAL;
            let text = client.get(&metrics).send().await?.text().await?;
            record.line(format!("metrics read, {} bytes", text.len()));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    load.is_over.store(true, Ordering::Relaxed);
    // Requests that are running are answered meanwhile, or their connections end.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut lost = Vec::new();
    for caller in callers {
        if caller.is_finished() {
            lost.extend(caller.await?);
        } else {
            // It pauses between two requests.
            caller.abort();
        }
    }
    let mut passed_on = 0;
    for id in &lost {
        let runs: Vec<_> = replicas
            .iter()
            .filter(|replica| replica.has_run(id))
            .collect();
        passed_on += usize::from(!runs.is_empty());
        let runs: Vec<_> = runs.iter().map(|replica| replica.id.as_str()).collect();
        record.line(format!(
            "{id}: connection closed without an answer; run by {runs:?}"
        ));
    }
    let served = load.served.load(Ordering::Relaxed);
    let line = format!(
        "answered {served} requests, killed for its memory: {is_killed}, passed on and closed without an answer: {passed_on}"
    );
    record.line(&line);
    println!("{line}");
    Ok(if passed_on > MAX_LOST { BROKEN } else { HELD })
}
