//! Callers that send requests over keep-alive connections and record the outcomes.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crocuswharf_platform_fakes::daemon::{caller_post, caller_stream, signature};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};

/// The pause of a caller before each request.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// The pause before each request that crashes replicas.
const CRASHING_REQUEST_INTERVAL: Duration = Duration::from_millis(200);
/// The body of the request that crashes the replicas that run it.
pub(crate) const CRASH_BODY: &str = "a body that crashes replicas";
/// The time after which a caller replaces its client, and so opens new connections.
const CLIENT_LIFETIME: Duration = Duration::from_secs(3);
/// How often a caller tries to take up a stream, and the pause before each time.
const MAX_TAKE_UPS: u32 = 3;
const TAKE_UP_PAUSE: Duration = Duration::from_millis(100);
/// The deadline of patient callers: a slow reader of a stream that is cut then still ends within the time for a response.
const LONG_DEADLINE_MS: HeaderValue = HeaderValue::from_static("2500");
const DEADLINE: HeaderName = HeaderName::from_static("x-crocuswharf-deadline-ms");
/// The share of requests whose responses are read slowly, if there are slow readers.
const SLOW_READER_SHARE: f64 = 0.2;
/// The pause of a slow reader before each part of a response.
const SLOW_READ_PAUSE: Duration = Duration::from_millis(60);

/// The kind of a request, which decides its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A call that may run at most once.
    Pay,
    /// An idempotent call, which may be retried.
    Safe,
    /// A streamed response that may not be resumed.
    Stream,
    /// A streamed response that may be resumed.
    Resumable,
    /// An idempotent call that crashes the replicas that run it, always with the same body.
    Crashing,
}

impl RequestKind {
    /// Returns the name of the route for this kind of request.
    #[must_use]
    pub const fn route(self) -> &'static str {
        match self {
            Self::Pay => "pay",
            Self::Safe | Self::Crashing => "safe",
            Self::Stream => "stream",
            Self::Resumable => "resume",
        }
    }

    /// Returns whether the request may run more than once.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable | Self::Crashing)
    }

    /// Returns whether the response is a stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response was received.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The replica named in the response's signature.
        signature: Option<String>,
        /// The part of the body that was received.
        body: Vec<u8>,
        /// Whether the body ended without an error.
        is_complete: bool,
        /// Whether the router closes the connection after the response, as one that shuts down does.
        closes: bool,
    },
    /// The connection could not be opened.
    NoConnection,
    /// The request failed without a response, for this reason.
    NoAnswer(String),
}

impl Outcome {
    pub(crate) const fn is_success(&self) -> bool {
        matches!(self, Self::Answer { status: 200, .. })
    }

    /// Returns whether a router that shuts down refused the request, which the caller then sends to another router.
    #[must_use]
    pub const fn is_turned_away(&self) -> bool {
        matches!(
            self,
            Self::Answer {
                status: 503,
                closes: true,
                ..
            }
        )
    }
}

/// A stream that a caller takes up again after its answer broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakeUp {
    /// The id of the attempt that brought the first event.
    pub first_attempt: String,
    /// The last event that was received.
    pub last_event: u32,
}

/// A request that a caller sent, and its outcome.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The request id.
    pub id: String,
    /// The kind of the request.
    pub kind: RequestKind,
    /// The index of its key among all keys of the run.
    pub key: usize,
    /// The index of the router it was sent to.
    pub router: usize,
    /// When it was sent.
    pub at: Instant,
    /// When the outcome was known.
    pub ended_at: Instant,
    /// The outcome.
    pub outcome: Outcome,
    /// The stream that it takes up, if it does.
    pub take_up: Option<TakeUp>,
}

impl SentRequest {
    /// Returns the stream to take up if the answer broke off after an event.
    fn broken_stream(&self) -> Option<TakeUp> {
        let Outcome::Answer {
            status: 200,
            body,
            is_complete: false,
            ..
        } = &self.outcome
        else {
            return None;
        };
        if self.kind != RequestKind::Resumable {
            return None;
        }
        let known = self.take_up.as_ref();
        let last_event = last_event(body).or(known.map(|known| known.last_event))?;
        let first_attempt = known.map_or(&self.id, |known| &known.first_attempt);
        Some(TakeUp {
            first_attempt: first_attempt.clone(),
            last_event,
        })
    }
}

/// Returns the id of the last complete event in a body.
fn last_event(body: &[u8]) -> Option<u32> {
    let text = std::str::from_utf8(body).ok()?;
    let (whole, _) = text.rsplit_once("\n\n")?;
    let lines = whole.lines().rev();
    lines
        .filter_map(|line| line.strip_prefix("id: "))
        .find_map(|id| id.parse().ok())
}

/// State that the callers share with the test cluster.
#[derive(Debug, Default)]
pub(crate) struct CallerState {
    /// The addresses of the running routers, by index.
    pub(crate) routers: Mutex<Vec<Option<SocketAddr>>>,
    /// All keys of the run; those before [`Self::first_valid_key`] are revoked.
    pub(crate) keys: Mutex<Vec<String>>,
    /// The index of the first valid key.
    pub(crate) first_valid_key: Mutex<usize>,
    /// The requests sent so far whose outcome is known.
    pub(crate) sent: Mutex<Vec<SentRequest>>,
    /// Whether the callers must send no further requests.
    pub(crate) is_stopped: AtomicBool,
    /// Whether callers take up streams that break off.
    pub(crate) takes_up: AtomicBool,
    /// Whether some callers read slowly.
    pub(crate) has_slow_readers: AtomicBool,
    /// Whether callers allow streams more time than other requests.
    pub(crate) waits_long: AtomicBool,
    next_id: AtomicU64,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while it holds the lock")
}

/// Sends requests one after another until the run stops, and waits for the outcome of the last one.
pub(crate) async fn run_caller(shared: Arc<CallerState>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut client = (Instant::now(), new_client());
    while !shared.is_stopped.load(Ordering::Relaxed) {
        if client.0.elapsed() > CLIENT_LIFETIME {
            client = (Instant::now(), new_client());
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
        let Some((router, address)) = pick_router(&shared, None, &mut rng) else {
            continue;
        };
        let kind = random_kind(&mut rng);
        let sent = send_request(&shared, &client.1, (router, address), kind, None, &mut rng).await;
        let is_turned_away = sent.outcome.is_turned_away();
        let mut take_up = sent.broken_stream();
        lock(&shared.sent).push(sent);
        for _ in 0..MAX_TAKE_UPS {
            let Some(wanted) = take_up.take_if(|_| shared.takes_up.load(Ordering::Relaxed)) else {
                break;
            };
            tokio::time::sleep(TAKE_UP_PAUSE).await;
            let Some(router) = pick_router(&shared, None, &mut rng) else {
                take_up = Some(wanted);
                continue;
            };
            let again = Some(wanted.clone());
            let sent = send_request(&shared, &new_client(), router, kind, again, &mut rng).await;
            // One that was refused may be known to another router.
            take_up = sent
                .broken_stream()
                .or_else(|| (!sent.outcome.is_success()).then_some(wanted));
            lock(&shared.sent).push(sent);
        }
        if is_turned_away && let Some(other) = pick_router(&shared, Some(router), &mut rng) {
            let kind = random_kind(&mut rng);
            let sent = send_request(&shared, &client.1, other, kind, None, &mut rng).await;
            lock(&shared.sent).push(sent);
        }
    }
}

/// Sends the request that crashes replicas to a random router again and again until the run stops.
pub(crate) async fn run_crashing_caller(shared: Arc<CallerState>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    while !shared.is_stopped.load(Ordering::Relaxed) {
        tokio::time::sleep(CRASHING_REQUEST_INTERVAL).await;
        if let Some(router) = pick_router(&shared, None, &mut rng) {
            let kind = RequestKind::Crashing;
            let sent = send_request(&shared, &new_client(), router, kind, None, &mut rng).await;
            lock(&shared.sent).push(sent);
        }
    }
}

fn random_kind(rng: &mut impl Rng) -> RequestKind {
    match rng.random_range(0..10) {
        0..=3 => RequestKind::Pay,
        4..=6 => RequestKind::Safe,
        7 => RequestKind::Stream,
        _ => RequestKind::Resumable,
    }
}

fn new_client() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy().http1_only();
    let builder = builder.retry(reqwest::retry::never());
    builder.build().expect("the client options are valid")
}

/// Returns a random router other than `refused`; `None` if it does not run.
fn pick_router(
    shared: &CallerState,
    refused: Option<usize>,
    rng: &mut impl Rng,
) -> Option<(usize, SocketAddr)> {
    let routers = lock(&shared.routers);
    let count = routers.len().max(1);
    let index = match refused {
        Some(refused) => (refused + rng.random_range(1..count.max(2))) % count,
        None => rng.random_range(0..count),
    };
    Some((index, (*routers.get(index)?)?))
}

/// Returns the first valid key, and in 15 % of cases a random key, which may be revoked.
fn pick_key(shared: &CallerState, rng: &mut impl Rng) -> (usize, String) {
    let keys = lock(&shared.keys);
    let index = if rng.random_bool(0.15) {
        rng.random_range(0..keys.len())
    } else {
        *lock(&shared.first_valid_key)
    };
    (index, keys[index].clone())
}

async fn send_request(
    shared: &CallerState,
    client: &reqwest::Client,
    (router, address): (usize, SocketAddr),
    kind: RequestKind,
    take_up: Option<TakeUp>,
    rng: &mut impl Rng,
) -> SentRequest {
    let id = format!("r{}", shared.next_id.fetch_add(1, Ordering::Relaxed));
    let (key, key_text) = pick_key(shared, rng);
    let request = if kind.is_stream() {
        caller_stream(client, address, kind.route(), &id, &key_text)
    } else {
        caller_post(client, address, kind.route(), &id, &key_text)
    };
    let request = match &take_up {
        Some(take_up) => request
            .header("resumes", &take_up.first_attempt)
            .header("last-event-id", take_up.last_event),
        None => request,
    };
    let waits_long = kind.is_stream() && shared.waits_long.load(Ordering::Relaxed);
    let request = if waits_long {
        // Replaces the value that is set by default.
        let headers = [(DEADLINE, LONG_DEADLINE_MS)];
        request.headers(HeaderMap::from_iter(headers))
    } else {
        request
    };
    let is_slow =
        shared.has_slow_readers.load(Ordering::Relaxed) && rng.random_bool(SLOW_READER_SHARE);
    let pause = is_slow.then_some(SLOW_READ_PAUSE);
    let at = Instant::now();
    let outcome = receive_outcome(request.body(request_body(kind, &id)), pause).await;
    SentRequest {
        id,
        kind,
        key,
        router,
        at,
        ended_at: Instant::now(),
        outcome,
        take_up,
    }
}

/// Returns the body of a request of this kind with this id.
pub(crate) fn request_body(kind: RequestKind, id: &str) -> String {
    if kind == RequestKind::Crashing {
        return CRASH_BODY.to_owned();
    }
    format!("body of {id}")
}

/// Sends a request and reads its response, with this pause before each part of its body.
async fn receive_outcome(request: reqwest::RequestBuilder, pause: Option<Duration>) -> Outcome {
    let mut answer = match request.send().await {
        Ok(answer) => answer,
        Err(error) if error.is_connect() => return Outcome::NoConnection,
        Err(error) => return Outcome::NoAnswer(format!("{error:?}")),
    };
    let closes = answer
        .headers()
        .get("connection")
        .is_some_and(|value| value == "close");
    let mut body = Vec::new();
    let is_complete = loop {
        if let Some(pause) = pause {
            tokio::time::sleep(pause).await;
        }
        match answer.chunk().await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    Outcome::Answer {
        status: answer.status().as_u16(),
        signature: signature(&answer),
        body,
        is_complete,
        closes,
    }
}
