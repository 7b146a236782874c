//! Callers that send requests over connections which they keep, and write down what comes of them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crocuswharf_platform_fakes::daemon::{caller_post, caller_stream, signature};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(15);
/// The longest that a caller keeps its connections before it opens others.
const CONNECTION_LIFE: Duration = Duration::from_secs(3);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A call that may run once at most.
    Pay,
    /// A call that may be repeated.
    Safe,
    /// A stream that may not be resumed.
    Stream,
    /// A stream that may be resumed.
    Resumable,
}

impl Kind {
    /// Returns the name of its route.
    #[must_use]
    pub const fn route(self) -> &'static str {
        match self {
            Self::Pay => "pay",
            Self::Safe => "safe",
            Self::Stream => "stream",
            Self::Resumable => "resume",
        }
    }

    /// Tells whether it may run more than once.
    #[must_use]
    pub const fn may_repeat(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }

    /// Tells whether its answer is a stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer.
    Answer {
        /// Its status.
        status: u16,
        /// The replica that signed it.
        signature: Option<String>,
        /// Its body as far as it came.
        body: Vec<u8>,
        /// Whether the body looked complete.
        is_complete: bool,
    },
    /// The connection could not be opened.
    NoConnection,
    /// The connection ended without an answer.
    NoAnswer(String),
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Its id.
    pub id: String,
    /// What it asks for.
    pub kind: Kind,
    /// The place of its key among all keys of the run.
    pub key: usize,
    /// The place of its router.
    pub router: usize,
    /// When it was sent.
    pub at: Instant,
    /// When its outcome was known.
    pub ended_at: Instant,
    /// What came of it.
    pub outcome: Outcome,
}

/// What callers share with the world.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// The addresses of the routers that run, by place.
    pub(crate) routers: Mutex<Vec<Option<SocketAddr>>>,
    /// All keys of the run; those before [`Self::valid_from`] are revoked.
    pub(crate) keys: Mutex<Vec<String>>,
    /// The first key that is valid.
    pub(crate) valid_from: Mutex<usize>,
    /// What was sent.
    pub(crate) sent: Mutex<Vec<Sent>>,
    /// Whether callers send nothing more.
    pub(crate) is_over: AtomicBool,
    number: AtomicU64,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}

/// Sends requests until the run is over, and waits for the last one's outcome.
pub(crate) async fn call_on(shared: Arc<Shared>, seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut client = (Instant::now(), new_client());
    while !shared.is_over.load(Ordering::Relaxed) {
        if client.0.elapsed() > CONNECTION_LIFE {
            client = (Instant::now(), new_client());
        }
        tokio::time::sleep(PAUSE).await;
        let Some((router, address)) = pick_router(&shared, &mut rng) else {
            continue;
        };
        let sent = call(&shared, &client.1, (router, address), &mut rng).await;
        lock(&shared.sent).push(sent);
    }
}

fn new_client() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy().http1_only();
    let builder = builder.retry(reqwest::retry::never());
    builder.build().expect("a client")
}

fn pick_router(shared: &Shared, rng: &mut impl Rng) -> Option<(usize, SocketAddr)> {
    let routers = lock(&shared.routers);
    let place = rng.random_range(0..routers.len().max(1));
    Some((place, (*routers.get(place)?)?))
}

/// Takes the newest key that routers must know by now, and now and then one that was revoked.
fn pick_key(shared: &Shared, rng: &mut impl Rng) -> (usize, String) {
    let keys = lock(&shared.keys);
    let place = if rng.random_bool(0.15) {
        rng.random_range(0..keys.len())
    } else {
        *lock(&shared.valid_from)
    };
    (place, keys[place].clone())
}

async fn call(
    shared: &Shared,
    client: &reqwest::Client,
    (router, address): (usize, SocketAddr),
    rng: &mut impl Rng,
) -> Sent {
    let kind = match rng.random_range(0..10) {
        0..=3 => Kind::Pay,
        4..=6 => Kind::Safe,
        7 => Kind::Stream,
        _ => Kind::Resumable,
    };
    let id = format!("r{}", shared.number.fetch_add(1, Ordering::Relaxed));
    let (key, key_text) = pick_key(shared, rng);
    let request = if kind.is_stream() {
        caller_stream(client, address, kind.route(), &id, &key_text)
    } else {
        caller_post(client, address, kind.route(), &id, &key_text)
    };
    let at = Instant::now();
    let outcome = outcome_of(request.body(body_of(&id))).await;
    Sent {
        id,
        kind,
        key,
        router,
        at,
        ended_at: Instant::now(),
        outcome,
    }
}

/// Returns the body that a request with this id has.
pub(crate) fn body_of(id: &str) -> String {
    format!("body of {id}")
}

async fn outcome_of(request: reqwest::RequestBuilder) -> Outcome {
    let mut answer = match request.send().await {
        Ok(answer) => answer,
        Err(error) if error.is_connect() => return Outcome::NoConnection,
        Err(error) => return Outcome::NoAnswer(format!("{error:?}")),
    };
    let mut body = Vec::new();
    let is_complete = loop {
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
    }
}
