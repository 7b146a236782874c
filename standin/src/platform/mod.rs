//! A fake of the platform: objects with versions, conditional updates, watches, and a list of VMs.
//!
//! It keeps everything in memory and fails on demand: an outage, slowness, answers that are lost after the change took
//! effect, and watches that go silent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use crocuswharf::{ObjectListing, Vm};
use salvo::http::{HeaderValue, StatusCode};
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Request, Response, Router, async_trait};
use tokio::sync::watch;

use crate::serve;

/// The largest value that the object API takes, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// The longest time that a watch waits, whatever it asks for.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// How the platform fails at present.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformFaults {
    /// Every call is answered 503.
    pub outage: bool,
    /// Every call waits this long first.
    pub delay: Duration,
    /// Writes take effect and are answered 504, as a gateway does that has lost the answer.
    pub lose_write_answers: bool,
    /// Watches never return.
    pub silent_watches: bool,
}

/// How many calls the platform has taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformCounts {
    /// Reads and lists.
    pub reads: u64,
    /// Writes, those refused included.
    pub writes: u64,
    /// Watches begun.
    pub watches: u64,
}

#[derive(Debug)]
struct Object {
    version: u64,
    value: Bytes,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, Object>,
    last_version: u64,
    vms: Vec<Vm>,
    faults: PlatformFaults,
    counts: PlatformCounts,
}

/// A handle to the fake platform.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

/// The condition of a write, from its headers.
#[derive(Clone, Copy, Debug)]
enum Condition {
    None,
    Absent,
    Version(u64),
}

impl Platform {
    /// Makes an empty platform.
    pub fn new() -> Self {
        Self::default()
    }

    /// Serves on `address` until the returned server is dropped.
    pub async fn serve(&self, address: SocketAddr) -> anyhow::Result<serve::Served> {
        let routes = Router::new()
            .push(Router::with_path("objects").get(ListHandler(self.clone())))
            .push(
                Router::with_path("objects/{**key}")
                    .get(GetHandler(self.clone()))
                    .put(PutHandler(self.clone()))
                    .delete(DeleteHandler(self.clone())),
            )
            .push(Router::with_path("vms").get(VmsHandler(self.clone())));
        serve::serve(address, routes).await
    }

    /// Changes how the platform fails.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
        self.changed.send_modify(|_| {});
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.lock().vms = vms;
    }

    /// Returns how many calls were taken so far.
    pub fn counts(&self) -> PlatformCounts {
        self.lock().counts
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Applies the present faults; returns false where the call has been answered by one.
    async fn admit(&self, res: &mut Response) -> bool {
        let faults = self.lock().faults;
        if !faults.delay.is_zero() {
            tokio::time::sleep(faults.delay).await;
        }
        if faults.outage {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        !faults.outage
    }

    fn put(&self, key: &str, condition: Condition, value: Bytes) -> Result<u64, StatusCode> {
        let mut state = self.lock();
        let present = state.objects.get(key).map(|object| object.version);
        let holds = match condition {
            Condition::None => true,
            Condition::Absent => present.is_none(),
            Condition::Version(version) => present == Some(version),
        };
        if !holds {
            return Err(StatusCode::PRECONDITION_FAILED);
        }
        state.last_version += 1;
        let version = state.last_version;
        state
            .objects
            .insert(key.to_owned(), Object { version, value });
        drop(state);
        self.changed.send_replace(version);
        Ok(version)
    }

    fn newer(&self, key: &str, after: Option<u64>) -> Lookup {
        let state = self.lock();
        match state.objects.get(key) {
            Some(object) if after.is_none_or(|after| object.version > after) => {
                Lookup::Found(object.version, object.value.clone())
            }
            Some(_) => Lookup::Unchanged,
            None => Lookup::Absent,
        }
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Lookup {
        let mut changes = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait.min(MAX_WATCH_WAIT);
        loop {
            if self.lock().faults.silent_watches {
                std::future::pending::<()>().await;
            }
            match self.newer(key, Some(after)) {
                Lookup::Unchanged => {}
                Lookup::Absent if after == 0 => {}
                found => return found,
            }
            if tokio::time::timeout_at(deadline, changes.changed())
                .await
                .is_err()
            {
                return self.newer(key, Some(after));
            }
        }
    }
}

enum Lookup {
    Found(u64, Bytes),
    Unchanged,
    Absent,
}

struct ListHandler(Platform);
struct GetHandler(Platform);
struct PutHandler(Platform);
struct DeleteHandler(Platform);
struct VmsHandler(Platform);

#[async_trait]
impl salvo::Handler for ListHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        self.0.lock().counts.reads += 1;
        if !self.0.admit(res).await {
            return;
        }
        let prefix = request.query::<String>("prefix").unwrap_or_default();
        let listing: Vec<ObjectListing> = self
            .0
            .lock()
            .objects
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&prefix))
            .map(|(key, object)| ObjectListing {
                key: key.as_str().into(),
                version: object.version,
            })
            .collect();
        res.render(Json(listing));
    }
}

#[async_trait]
impl salvo::Handler for GetHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let key = object_key(request);
        let after = request.query::<u64>("after");
        count_read(&mut self.0.lock().counts, after.is_some());
        if !self.0.admit(res).await {
            return;
        }
        let lookup = match after {
            Some(after) => {
                let wait_ms = request.query::<u64>("wait_ms").unwrap_or(0);
                self.0
                    .watch(&key, after, Duration::from_millis(wait_ms))
                    .await
            }
            None => self.0.newer(&key, None),
        };
        match lookup {
            Lookup::Found(version, value) => {
                set_etag(res, version);
                res.body(value);
            }
            Lookup::Unchanged => {
                res.status_code(StatusCode::NOT_MODIFIED);
            }
            Lookup::Absent => {
                res.status_code(StatusCode::NOT_FOUND);
            }
        }
    }
}

#[async_trait]
impl salvo::Handler for PutHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        self.0.lock().counts.writes += 1;
        if !self.0.admit(res).await {
            return;
        }
        let key = object_key(request);
        let Some(condition) = condition(request) else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let Ok(value) = request
            .payload_with_max_size(MAX_VALUE_BYTES)
            .await
            .cloned()
        else {
            res.status_code(StatusCode::PAYLOAD_TOO_LARGE);
            return;
        };
        let outcome = self.0.put(&key, condition, value);
        if self.0.lock().faults.lose_write_answers {
            res.status_code(StatusCode::GATEWAY_TIMEOUT);
            return;
        }
        match outcome {
            Ok(version) => set_etag(res, version),
            Err(status) => {
                res.status_code(status);
            }
        }
    }
}

#[async_trait]
impl salvo::Handler for DeleteHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        self.0.lock().counts.writes += 1;
        if !self.0.admit(res).await {
            return;
        }
        let key = object_key(request);
        let removed = self.0.lock().objects.remove(&key).is_some();
        let status = if removed {
            StatusCode::NO_CONTENT
        } else {
            StatusCode::NOT_FOUND
        };
        res.status_code(status);
    }
}

#[async_trait]
impl salvo::Handler for VmsHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        self.0.lock().counts.reads += 1;
        if !self.0.admit(res).await {
            return;
        }
        let vms = self.0.lock().vms.clone();
        res.render(Json(vms));
    }
}

fn object_key(request: &Request) -> String {
    request.param::<String>("key").unwrap_or_default()
}

fn count_read(counts: &mut PlatformCounts, is_watch: bool) {
    if is_watch {
        counts.watches += 1;
    } else {
        counts.reads += 1;
    }
}

fn condition(request: &Request) -> Option<Condition> {
    if request
        .headers()
        .get("if-none-match")
        .is_some_and(|value| value == "*")
    {
        return Some(Condition::Absent);
    }
    let Some(value) = request.headers().get("if-match") else {
        return Some(Condition::None);
    };
    let version = value.to_str().ok()?.trim_matches('"').parse().ok()?;
    Some(Condition::Version(version))
}

fn set_etag(res: &mut Response, version: u64) {
    if let Ok(value) = HeaderValue::from_str(&format!("\"{version}\"")) {
        res.headers_mut().insert("etag", value);
    }
}
