//! Stand-ins of replicas: language-model replicas with KV caches, and plain ones.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use crocuswharf_platform_fakes::store::Store;
use crocuswharf_platform_fakes::{FakeBody, response, serve_while};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use crate::record::Record;

/// The prompt tokens that a replica reads in a millisecond.
const TOKENS_PER_MS: u32 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(10);
pub(crate) const EVENTS: u32 = 5;

/// How a replica treats a request that it begins to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Act {
    Serve,
    /// Crashes once the head of the answer is out, and is back after this time.
    Crash(Duration),
    /// Crashes after the first time, whether or not its caller still waits, and is back after the second one.
    CrashAfter(Duration, Duration),
}

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    /// Seconds since the start of the script.
    pub(crate) at: f64,
    pub(crate) server: String,
    pub(crate) id: String,
    pub(crate) tenant: String,
    pub(crate) parts: Vec<(String, u32)>,
    pub(crate) ran: bool,
    /// The parts that were found in the KV cache, with the tenant whose request made each.
    pub(crate) found: Vec<(String, String)>,
}

type Behaviour = Arc<dyn Fn(&Arrival) -> Act + Send + Sync>;

/// A replica. Clones share its state.
#[derive(Clone)]
pub(crate) struct Server {
    pub(crate) id: &'static str,
    service: &'static str,
    zone: &'static str,
    store: Store,
    record: Arc<Record>,
    behaviour: Behaviour,
    keep_alive: Arc<Mutex<Option<&'static str>>>,
    state: Arc<Mutex<State>>,
    is_up: watch::Sender<bool>,
}

struct State {
    address: SocketAddr,
    born_ms: u64,
    version: u64,
    orders: u64,
    highest_fence: u64,
    /// The tenant whose request made each part, by cache salt and part.
    cache: HashMap<(String, String), String>,
    arrivals: Vec<Arrival>,
}

impl Server {
    pub(crate) async fn start(
        store: &Store,
        record: &Arc<Record>,
        id: &'static str,
        service: &'static str,
        zone: &'static str,
        behaviour: impl Fn(&Arrival) -> Act + Send + Sync + 'static,
    ) -> Self {
        let is_up = watch::Sender::new(true);
        let server = Self {
            id,
            service,
            zone,
            store: store.clone(),
            record: Arc::clone(record),
            behaviour: Arc::new(behaviour),
            keep_alive: Arc::default(),
            state: Arc::new(Mutex::new(State {
                address: SocketAddr::from(([127, 0, 0, 1], 0)),
                born_ms: unix_ms(),
                version: 1,
                orders: 0,
                highest_fence: 0,
                cache: HashMap::new(),
                arrivals: Vec::new(),
            })),
            is_up: is_up.clone(),
        };
        let served = server.clone();
        let address = serve_while(is_up.subscribe(), move |request| {
            let server = served.clone();
            async move { server.handle(request).await }
        })
        .await;
        server.lock().address = address;
        server.register("ready");
        server
    }

    /// Writes the replica's entry to the store.
    pub(crate) fn register(&self, state: &str) {
        let entry = self.entry(state);
        self.store.put("servers", self.id, entry);
        self.record
            .add(format!("entry of {} written, {state}", self.id));
    }

    pub(crate) fn unregister(&self) {
        self.store.remove("servers", self.id);
        self.record.add(format!("entry of {} removed", self.id));
    }

    pub(crate) fn entry(&self, entry_state: &str) -> Value {
        let state = self.lock();
        json!({
            "Service": self.service, "Addr": state.address.to_string(), "Zone": self.zone, "Version": "v1",
            "Slots": if self.service == "llm" { 64 } else { 6 }, "State": entry_state, "ColdLeftMs": 0, "Stage": "colocated",
            "Models": self.models(state.version), "Seq": 4, "born": state.born_ms,
        })
    }

    fn models(&self, version: u64) -> Value {
        if self.service == "llm" {
            return json!([{"Name": "m0", "Version": version, "Adapters": []}]);
        }
        json!([])
    }

    /// Sets the value of `Keep-Alive` in the answers.
    pub(crate) fn set_keep_alive(&self, value: Option<&'static str>) {
        *self.keep_alive.lock().expect("not poisoned") = value;
    }

    pub(crate) fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Ends the process: closes all connections and refuses new ones; starts it again after `time` under the same id.
    pub(crate) fn crash(&self, time: Duration) {
        if !self.is_up.send_replace(false) {
            return;
        }
        self.record.add(format!("{} crashes", self.id));
        let server = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            {
                let mut state = server.lock();
                state.born_ms = unix_ms();
                state.orders = 0;
                state.highest_fence = 0;
                state.cache.clear();
            }
            server.is_up.send_replace(true);
            server.register("ready");
        });
    }

    async fn handle(&self, request: Request<Incoming>) -> Option<Response<FakeBody>> {
        let path = request.uri().path().to_owned();
        let headers = request.headers().clone();
        let body = request.into_body().collect().await.ok()?.to_bytes();
        match path.as_str() {
            "/crocuswharf/report" => return Some(self.report()),
            "/crocuswharf/order" => return Some(self.order(&body)),
            "/health" => return Some(self.health()),
            _ => {}
        }
        let id = headers.get("x-crocuswharf-request-id")?.clone();
        let mut arrival = Arrival {
            at: self.record.now(),
            server: self.id.to_owned(),
            id: id.to_str().ok()?.to_owned(),
            tenant: text(&headers, "x-crocuswharf-tenant"),
            parts: parts_of(&headers),
            ran: true,
            found: Vec::new(),
        };
        let version = self.lock().version.to_string();
        let expected = text(&headers, "x-crocuswharf-expect-version");
        let misdirected = text(&headers, "x-crocuswharf-expect-instance") != self.id
            || (!expected.is_empty() && expected != version);
        let mut reply = if misdirected {
            arrival.ran = false;
            self.note(arrival);
            let mut reply = response(421, "");
            let headers = reply.headers_mut();
            headers.insert("x-crocuswharf-not-executed", "1".parse().ok()?);
            headers.insert("x-crocuswharf-instance-id", self.id.parse().ok()?);
            reply
        } else if self.service == "llm" {
            let salt = text(&headers, "x-crocuswharf-cache-salt");
            let missing = self.read_prompt(&mut arrival, &salt);
            let act = (self.behaviour)(&arrival);
            self.note(arrival);
            tokio::time::sleep(Duration::from_millis(
                u64::from(missing / TOKENS_PER_MS) + 4,
            ))
            .await;
            let mut reply = match act {
                Act::Serve => self.stream(text(&headers, "last-event-id").parse().unwrap_or(0)),
                Act::Crash(time) | Act::CrashAfter(_, time) => self.crash_in_answer(time),
            };
            reply
                .headers_mut()
                .insert("x-crocuswharf-server-stamp", self.id.parse().ok()?);
            reply
        } else {
            let act = (self.behaviour)(&arrival);
            self.note(arrival);
            if let Act::CrashAfter(time, down) = act {
                let server = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(time).await;
                    server.crash(down);
                });
                return std::future::pending().await;
            }
            tokio::time::sleep(Duration::from_millis(15)).await;
            let mut reply = response(200, self.id);
            reply
                .headers_mut()
                .insert("x-crocuswharf-server-stamp", self.id.parse().ok()?);
            reply
        };
        let headers = reply.headers_mut();
        headers.insert("x-crocuswharf-request-id", id);
        if self.service == "llm" {
            headers.insert("x-crocuswharf-weight-versions", version.parse().ok()?);
        }
        if let Some(value) = *self.keep_alive.lock().expect("not poisoned") {
            headers.insert("keep-alive", value.parse().ok()?);
        }
        Some(reply)
    }

    fn note(&self, arrival: Arrival) {
        let parts: Vec<_> = arrival.parts.iter().map(|(id, _)| id.as_str()).collect();
        let found: Vec<_> = arrival
            .found
            .iter()
            .map(|(id, maker)| format!("{id} by {maker}"))
            .collect();
        self.record.add(format!(
            "{} reaches {}: tenant={} parts={} ran={} found=[{}]",
            arrival.id,
            self.id,
            arrival.tenant,
            parts.join(","),
            arrival.ran,
            found.join("; ")
        ));
        self.lock().arrivals.push(arrival);
    }

    /// Looks the prompt's parts up in the KV cache and adds those that it lacks; returns the tokens that it lacks.
    fn read_prompt(&self, arrival: &mut Arrival, salt: &str) -> u32 {
        let mut state = self.lock();
        let mut missing = 0;
        for (part, tokens) in &arrival.parts {
            let key = (salt.to_owned(), part.clone());
            match state.cache.get(&key) {
                Some(maker) if missing == 0 => arrival.found.push((part.clone(), maker.clone())),
                _ => {
                    missing += tokens;
                    state.cache.insert(key, arrival.tenant.clone());
                }
            }
        }
        missing
    }

    fn stream(&self, last_event: u32) -> Response<FakeBody> {
        let (sender, receiver) = mpsc::channel(8);
        tokio::spawn(async move {
            for event in last_event + 1..=EVENTS {
                let text = format!("id: {event}\ndata: e{event}\n\n");
                let frame = Ok(Frame::data(Bytes::from(text)));
                if sender.send(frame).await.is_err() {
                    return;
                }
                tokio::time::sleep(EVENT_INTERVAL).await;
            }
        });
        event_stream(receiver)
    }

    /// Sends the head of an answer, and crashes before its first event.
    fn crash_in_answer(&self, time: Duration) -> Response<FakeBody> {
        let (sender, receiver) = mpsc::channel(1);
        let server = self.clone();
        tokio::spawn(async move {
            let _sender = sender;
            tokio::time::sleep(Duration::from_millis(5)).await;
            server.crash(time);
            tokio::time::sleep(Duration::from_millis(50)).await;
        });
        event_stream(receiver)
    }

    fn health(&self) -> Response<FakeBody> {
        let mut reply = response(200, "");
        if let Ok(id) = self.id.parse() {
            reply.headers_mut().insert("x-crocuswharf-instance-id", id);
        }
        reply
    }

    fn report(&self) -> Response<FakeBody> {
        let state = self.lock();
        let report = json!({
            "Stage": "colocated", "Busy": false, "Seq": state.orders, "Queued": 0, "Running": 0, "KvUsed": 0,
            "KvTotal": 135_930, "Handles": 0, "born": state.born_ms, "Models": self.models(state.version),
        });
        response(200, report.to_string())
    }

    fn order(&self, body: &[u8]) -> Response<FakeBody> {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let (Some(fence), Some(version)) = (order["Fence"].as_u64(), order["Version"].as_u64())
        else {
            return response(400, "");
        };
        let mut state = self.lock();
        if fence < state.highest_fence {
            return response(412, "");
        }
        state.highest_fence = fence;
        if order["Expected"]
            .as_u64()
            .is_some_and(|expected| expected != state.orders)
        {
            return response(409, "");
        }
        if version == state.version {
            return response(200, "");
        }
        state.orders += 1;
        state.version = version;
        state.cache.clear();
        drop(state);
        self.register("ready");
        response(202, "")
    }
}

fn event_stream(
    mut receiver: mpsc::Receiver<Result<Frame<Bytes>, std::io::Error>>,
) -> Response<FakeBody> {
    let frames = futures_util::stream::poll_fn(move |context| receiver.poll_recv(context));
    let builder = Response::builder().header("content-type", "text/event-stream");
    builder
        .body(StreamBody::new(frames).boxed_unsync())
        .expect("the response is valid")
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn parts_of(headers: &HeaderMap) -> Vec<(String, u32)> {
    let list = text(headers, "x-crocuswharf-prefix-hash");
    let entries = list.split(',').filter_map(|entry| entry.split_once(':'));
    entries
        .map(|(id, tokens)| (id.to_owned(), tokens.parse().unwrap_or(0)))
        .collect()
}

pub(crate) fn unix_ms() -> u64 {
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    time.as_millis() as u64
}

/// Returns all arrivals of `servers`, in order of time.
pub(crate) fn all_arrivals(servers: &[Server]) -> Vec<Arrival> {
    let mut all: BTreeMap<(u64, usize), Arrival> = BTreeMap::new();
    for arrival in servers.iter().flat_map(Server::arrivals) {
        let key = ((arrival.at * 1e6) as u64, all.len());
        all.insert(key, arrival);
    }
    all.into_values().collect()
}
