//! Another writer adds an entry to the list of servers whose text has a line break inside a string, and the replicas of a
//! service are then replaced. At the end all routers are killed and started again.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::ensure;
use crocuswharf_platform_fakes::daemon::configuration;
use crocuswharf_platform_fakes::store::Store;
use review_2::{
    BROKEN, Folder, HELD, Record, Router, RouterPlan, finish, has_trouble, read_answer,
};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// `DrainMs` of the sites of 9 machines.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How much longer a replica serves before it exits.
const LITTLE_LONGER: Duration = Duration::from_millis(3_000);
/// `StableMs`, with a margin.
const STABLE: Duration = Duration::from_millis(3_500);
/// The interval between two requests.
const INTERVAL: Duration = Duration::from_millis(100);
/// The number of requests after the last of the old replicas has exited, and again after the recovery.
const LATE_REQUESTS: usize = 30;
/// `RecoveryS`.
const RECOVERY: Duration = Duration::from_secs(12);
/// How long the processes are down after they were killed.
const DOWN: Duration = Duration::from_millis(800);
/// The byte in whose place the store sends a line break.
const MARK: u8 = b'~';

/// A request that reached a replica.
struct Arrival {
    id: String,
    at: Duration,
}

/// A replica of a plain service.
struct Replica {
    id: &'static str,
    address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Ends the listener and all connections when it becomes true.
    exit: tokio::sync::watch::Sender<bool>,
    _task: JoinHandle<()>,
}

#[tokio::main]
async fn main() {
    finish(run().await);
}

impl Replica {
    async fn start(id: &'static str, record: Arc<Record>) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let exit = tokio::sync::watch::Sender::new(false);
        let (mut is_over, seen) = (exit.subscribe(), Arc::clone(&arrivals));
        let task = tokio::spawn(async move {
            loop {
                let stream = tokio::select! {
                    _ = is_over.wait_for(|is_over| *is_over) => return,
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => stream,
                        Err(_) => return,
                    },
                };
                let (seen, record) = (Arc::clone(&seen), Arc::clone(&record));
                let mut is_over = is_over.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        _ = is_over.wait_for(|is_over| *is_over) => {}
                        () = serve(stream, id, seen, record) => {}
                    }
                });
            }
        });
        Ok(Self {
            id,
            address,
            arrivals,
            exit,
            _task: task,
        })
    }

    fn register(&self, store: &Store, state: &str) {
        store.put("servers", self.id, json!({
            "Service": "app", "Addr": self.address.to_string(), "Zone": "zone-1", "Version": "v1", "Slots": 12,
            "State": state, "ColdLeftMs": 0, "Seq": 4, "born": 7,
        }));
    }
}

/// Serves one request after the other, at once, unless it expects another replica.
async fn serve(
    mut stream: TcpStream,
    id: &'static str,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    record: Arc<Record>,
) {
    let mut buffer = Vec::new();
    loop {
        let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
            match stream.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => continue,
            }
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        buffer.drain(..end + 4);
        let header = |name: &str| {
            head.lines()
                .find_map(|line| line.strip_prefix(name))
                .unwrap_or_default()
        };
        let request = header("x-crocuswharf-request-id: ");
        let is_other = header("x-crocuswharf-expect-instance: ") != id;
        let (status, extra) = if is_other {
            ("421 Misdirected Request", "x-crocuswharf-not-executed: 1")
        } else {
            let at = record.now();
            arrivals
                .lock()
                .expect("the lock is not poisoned")
                .push(Arrival {
                    id: request.to_owned(),
                    at,
                });
            ("200 OK", "x-crocuswharf-server-stamp: s")
        };
        let answer = format!(
            "HTTP/1.1 {status}\r\nx-crocuswharf-request-id: {request}\r\nx-crocuswharf-instance-id: {id}\r\n{extra}\r\n\
             content-length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Passes connections on to the store, with a line break in place of each [`MARK`] that the store sends.
async fn proxy(store: SocketAddr) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            tokio::spawn(async move {
                let Ok(server) = TcpStream::connect(store).await else {
                    return;
                };
                let (mut from_caller, mut to_caller) = caller.into_split();
                let (mut from_server, mut to_server) = server.into_split();
                let there = tokio::io::copy(&mut from_caller, &mut to_server);
                let back = async {
                    let mut bytes = vec![0; 64 << 10];
                    while let Ok(length @ 1..) = from_server.read(&mut bytes).await {
                        for byte in &mut bytes[..length] {
                            if *byte == MARK {
                                *byte = b'\n';
                            }
                        }
                        if to_caller.write_all(&bytes[..length]).await.is_err() {
                            return;
                        }
                    }
                };
                tokio::select! {
                    _ = there => {}
                    () = back => {}
                }
            });
        }
    });
    Ok(address)
}

/// Sends one request on a new connection; returns the status of the answer.
async fn call(router: SocketAddr, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(router).await.ok()?;
    let request = format!(
        "GET /safe/x HTTP/1.1\r\nhost: a.example\r\nx-crocuswharf-request-id: {id}\r\napi-key: key\r\n\
         x-crocuswharf-deadline-ms: 1000\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut buffer = Vec::new();
    let answer = tokio::time::timeout(
        Duration::from_secs(3),
        read_answer(&mut stream, &mut buffer),
    );
    answer.await.ok()?.map(|answer| answer.status)
}

/// Sends requests to all routers in turn; returns how many of them were served.
async fn call_all(routers: &[SocketAddr], name: &str, record: &Record) -> usize {
    let mut served = 0;
    for number in 0..LATE_REQUESTS {
        let id = format!("{name}{number}");
        let status = call(routers[number % routers.len()], &id).await;
        record.line(format!("{id}: {status:?}"));
        served += usize::from(status == Some(200));
        tokio::time::sleep(INTERVAL).await;
    }
    served
}

async fn run() -> anyhow::Result<i32> {
    let record = Arc::new(Record::create());
    let folder = Folder::create("entry")?;
    let store = Store::start().await;
    store.put("config", "main", configuration(1, &["key"]));
    let mut old = Vec::new();
    for id in ["app-1", "app-2", "app-3"] {
        let replica = Replica::start(id, Arc::clone(&record)).await?;
        replica.register(&store, "ready");
        old.push(replica);
    }
    let store_address = proxy(store.address).await?;
    let plans: Vec<_> = (1..=3)
        .map(|number| RouterPlan::new(&format!("front-{number}"), &format!("zone-{number}"), 110))
        .collect();
    let seeds: Vec<_> = plans.iter().map(|plan| plan.listen["peers"]).collect();
    let start_all = || -> anyhow::Result<Vec<Router>> {
        let plans = plans.iter().cloned();
        plans
            .map(|plan| {
                let settings = plan.settings(store_address, &seeds);
                Router::start(plan, &settings, &folder.0)
            })
            .collect()
    };
    let routers = start_all()?;
    for router in &routers {
        ensure!(
            router.wait_until_ready(Duration::from_secs(10)).await,
            "a router is not ready"
        );
    }
    let addresses: Vec<_> = routers
        .iter()
        .map(|router| router.address("callers"))
        .collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let caller = {
        let (record, is_over, addresses) =
            (Arc::clone(&record), Arc::clone(&is_over), addresses.clone());
        tokio::spawn(async move {
            let mut number = 0;
            while !is_over.load(Ordering::Relaxed) {
                let id = format!("r{number}");
                let status = call(addresses[number % addresses.len()], &id).await;
                record.line(format!("{id}: {status:?}"));
                number += 1;
                tokio::time::sleep(INTERVAL).await;
            }
        })
    };
    tokio::time::sleep(STABLE).await;
    if has_trouble() {
        record.line("another writer adds an entry with a line break inside a string");
        store.put("servers", "another", json!({
            "Service": "ap~p", "Addr": "127.0.0.1:9", "Zone": "zone-1", "Version": "v1", "Slots": 12, "State": "ready",
            "ColdLeftMs": 0, "Seq": 4, "born": 7,
        }));
    }
    tokio::time::sleep(STABLE).await;
    let mut new = Vec::new();
    for id in ["app-4", "app-5", "app-6"] {
        let replica = Replica::start(id, Arc::clone(&record)).await?;
        replica.register(&store, "ready");
        record.line(format!("{id} is registered"));
        new.push(replica);
    }
    tokio::time::sleep(STABLE).await;
    let mut draining_at = Vec::new();
    for replica in &old {
        replica.register(&store, "draining");
        record.line(format!("{} is draining", replica.id));
        draining_at.push(record.now());
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    tokio::time::sleep(DRAIN + LITTLE_LONGER).await;
    for replica in &old {
        store.remove("servers", replica.id);
        replica.exit.send_replace(true);
        record.line(format!("{} has exited", replica.id));
    }
    tokio::time::sleep(STABLE).await;
    is_over.store(true, Ordering::Relaxed);
    caller.await?;
    let served = call_all(&addresses, "late", &record).await;
    record.line("all routers are killed");
    drop(routers);
    tokio::time::sleep(DOWN).await;
    let routers = start_all()?;
    record.line("all routers are started again");
    tokio::time::sleep(RECOVERY).await;
    let recovered = call_all(&addresses, "recovered", &record).await;
    drop(routers);
    let mut late = 0;
    for (replica, at) in old.iter().zip(&draining_at) {
        let arrivals = replica.arrivals.lock().expect("the lock is not poisoned");
        for arrival in arrivals.iter().filter(|arrival| arrival.at > *at + DRAIN) {
            late += 1;
            let after = arrival.at - *at;
            record.line(format!(
                "{} reached {} {} ms after it was draining",
                arrival.id,
                replica.id,
                after.as_millis()
            ));
        }
    }
    for replica in &new {
        let count = replica
            .arrivals
            .lock()
            .expect("the lock is not poisoned")
            .len();
        record.line(format!("{} ran {count} requests", replica.id));
    }
    let line = format!(
        "{late} requests reached replicas later than DrainMs after they were draining; when these had exited, {served} of \
         {LATE_REQUESTS} were served; {RECOVERY:?} after the restart of all routers, {recovered} of {LATE_REQUESTS}"
    );
    record.line(&line);
    println!("{line}");
    let is_recovered = recovered * 4 >= LATE_REQUESTS;
    Ok(if late > 0 || !is_recovered {
        BROKEN
    } else {
        HELD
    })
}
