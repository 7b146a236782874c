//! The HTTP side of the object API.
//!
//! The library's retries, redirects and proxies are off: a retry that this client didn't decide on would turn
//! [`PutOutcome::Conflict`] into a lie. Watches go over a client without idle connections, so that each poll opens a
//! new one and a connection that has gone silent costs one poll at most.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use reqwest::header::{ETAG, HeaderMap, IF_MATCH, IF_NONE_MATCH};
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::budget::{Budget, BudgetLimits, CallCounts, CallKind};
use super::{ObjectVersion, PutCondition, PutOutcome, Versioned};
use crate::error::{Error, ErrorKind};
use crate::protocol::{ObjectListing, Vm};

/// The most bytes that the platform holds in one value.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// How much longer than its own wait a watch may take before its connection counts as silent.
const WATCH_SLACK: Duration = Duration::from_secs(2);

/// Where the platform is and how long a call may take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// The base address, such as `http://192.0.2.1:7400`.
    pub base_url: Arc<str>,
    /// The token that is sent with each call, if the platform asks for one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<Arc<str>>,
    /// The longest time to open a connection, in milliseconds.
    #[serde(default = "default_connect_timeout_ms")]
    pub connect_timeout_ms: u64,
    /// The longest time for a whole call other than a watch, in milliseconds.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: u64,
    /// The calls that this process allows itself.
    #[serde(default)]
    pub budget: BudgetLimits,
}

impl StoreSettings {
    /// Makes settings with default times for the platform at `base_url`.
    #[must_use]
    pub fn new(base_url: &str) -> Self {
        Self {
            base_url: base_url.into(),
            token: None,
            connect_timeout_ms: default_connect_timeout_ms(),
            call_timeout_ms: default_call_timeout_ms(),
            budget: BudgetLimits::default(),
        }
    }
}

const fn default_connect_timeout_ms() -> u64 {
    500
}

const fn default_call_timeout_ms() -> u64 {
    2_000
}

/// A client of the platform's object API and VM list; clones share connections and budget.
#[derive(Clone, Debug)]
pub struct Client {
    calls: reqwest::Client,
    watches: reqwest::Client,
    base_url: Arc<str>,
    token: Option<Arc<str>>,
    call_timeout: Duration,
    budget: Arc<Mutex<Budget>>,
    started: Instant,
}

impl Client {
    /// Makes a client; connections are opened with the first call.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidInput`] where the base address is no HTTP address.
    pub fn new(settings: &StoreSettings) -> Result<Self, Error> {
        let base_url = settings.base_url.trim_end_matches('/');
        let is_http = reqwest::Url::parse(base_url).is_ok_and(|url| url.scheme() == "http");
        if !is_http {
            let reason = "it must be an address such as http://192.0.2.1:7400";
            return Err(Error::invalid("base_url", base_url, reason));
        }
        let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
        Ok(Self {
            calls: http_client(connect_timeout, 4)?,
            watches: http_client(connect_timeout, 0)?,
            base_url: base_url.into(),
            token: settings.token.clone(),
            call_timeout: Duration::from_millis(settings.call_timeout_ms),
            budget: Arc::new(Mutex::new(Budget::new(settings.budget))),
            started: Instant::now(),
        })
    }

    /// Returns the calls made so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.lock_budget().counts()
    }

    /// Reads the object under `key`; `None` where there is none.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unavailable`] where no usable answer came, [`ErrorKind::Protocol`] where the answer made no
    /// sense.
    pub async fn get(&self, key: &str) -> Result<Option<Versioned>, Error> {
        self.take(CallKind::Read)?;
        let request = self.request(&self.calls, Method::GET, &object_path(key));
        let answer = self.send(request.timeout(self.call_timeout)).await?;
        match answer.status() {
            StatusCode::OK => versioned(answer).await.map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    /// Waits up to `wait` for a version of `key` above `after`; `None` where nothing newer came.
    ///
    /// # Errors
    ///
    /// As [`Client::get`]; a connection that stays silent past the wait is [`ErrorKind::Unavailable`].
    pub async fn watch(
        &self,
        key: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, Error> {
        self.take(CallKind::Watch)?;
        let wait_ms = wait.as_millis();
        let path = format!("{}?after={after}&wait_ms={wait_ms}", object_path(key));
        let request = self.request(&self.watches, Method::GET, &path);
        let answer = self.send(request.timeout(wait + WATCH_SLACK)).await?;
        match answer.status() {
            StatusCode::OK => versioned(answer).await.map(Some),
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    /// Writes `value` under `key` if `condition` holds; every end is a value.
    pub async fn put(&self, key: &str, value: Bytes, condition: PutCondition) -> PutOutcome {
        if self.take(CallKind::Write).is_err() {
            return PutOutcome::NotSent;
        }
        let request = self.request(&self.calls, Method::PUT, &object_path(key));
        let request = match condition {
            PutCondition::Absent => request.header(IF_NONE_MATCH, "*"),
            PutCondition::Version(version) => request.header(IF_MATCH, format!("\"{version}\"")),
        };
        let sent = request.body(value).timeout(self.call_timeout).send().await;
        match sent {
            Ok(answer) => put_outcome(&answer),
            Err(error) if error.is_connect() || error.is_builder() => PutOutcome::NotSent,
            Err(_) => PutOutcome::Unknown,
        }
    }

    /// Removes the object under `key`; one that is absent counts as removed.
    ///
    /// # Errors
    ///
    /// As [`Client::get`]; the object may be gone all the same.
    pub async fn delete(&self, key: &str) -> Result<(), Error> {
        self.take(CallKind::Write)?;
        let request = self.request(&self.calls, Method::DELETE, &object_path(key));
        let answer = self.send(request.timeout(self.call_timeout)).await?;
        match answer.status() {
            status if status.is_success() || status == StatusCode::NOT_FOUND => Ok(()),
            status => Err(unexpected(status)),
        }
    }

    /// Lists the objects whose keys begin with `prefix`.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub async fn list(&self, prefix: &str) -> Result<Vec<ObjectListing>, Error> {
        let path = format!("/objects?prefix={}", encode(prefix));
        self.read_json(&path).await
    }

    /// Reads the platform's list of live and leaving VMs, which lags.
    ///
    /// # Errors
    ///
    /// As [`Client::get`].
    pub async fn vms(&self) -> Result<Vec<Vm>, Error> {
        self.read_json("/vms").await
    }

    async fn read_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.take(CallKind::Read)?;
        let request = self.request(&self.calls, Method::GET, path);
        let answer = self.send(request.timeout(self.call_timeout)).await?;
        if answer.status() != StatusCode::OK {
            return Err(unexpected(answer.status()));
        }
        let body = answer.bytes().await.map_err(unavailable)?;
        serde_json::from_slice(&body).map_err(|error| {
            let message = format!("the platform's answer to {path} is not understood: {error}");
            Error::new(ErrorKind::Protocol, message)
        })
    }

    fn request(&self, client: &reqwest::Client, method: Method, path: &str) -> RequestBuilder {
        let request = client.request(method, format!("{}{path}", self.base_url));
        match &self.token {
            Some(token) => request.bearer_auth(token),
            None => request,
        }
    }

    async fn send(&self, request: RequestBuilder) -> Result<Response, Error> {
        request.send().await.map_err(unavailable)
    }

    fn take(&self, kind: CallKind) -> Result<(), Error> {
        let granted = self.lock_budget().try_take(kind, self.started.elapsed());
        let outcome = if granted { "made" } else { "refused" };
        metrics::counter!("crocuswharf_store_calls_total", "kind" => kind.label(), "outcome" => outcome)
            .increment(1);
        if granted {
            return Ok(());
        }
        let message = format!("the budget of {} calls is used up", kind.label());
        Err(Error::new(ErrorKind::Unavailable, message))
    }

    fn lock_budget(&self) -> std::sync::MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn http_client(connect_timeout: Duration, idle: usize) -> Result<reqwest::Client, Error> {
    reqwest::Client::builder()
        .http1_only()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .connect_timeout(connect_timeout)
        .pool_max_idle_per_host(idle)
        .build()
        .map_err(|error| Error::new(ErrorKind::Io, format!("no HTTP client: {error}")))
}

fn put_outcome(answer: &Response) -> PutOutcome {
    match answer.status() {
        status if status.is_success() => {
            // A write whose version can't be read took effect, but the caller has to read back to learn it.
            version_of(answer.headers()).map_or(PutOutcome::Unknown, PutOutcome::Stored)
        }
        StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND => PutOutcome::Conflict,
        status if status.is_client_error() => PutOutcome::NotSent,
        _ => PutOutcome::Unknown,
    }
}

async fn versioned(answer: Response) -> Result<Versioned, Error> {
    let Some(version) = version_of(answer.headers()) else {
        let message = "the platform's answer carries no version";
        return Err(Error::new(ErrorKind::Protocol, message));
    };
    let value = answer.bytes().await.map_err(unavailable)?;
    Ok(Versioned { version, value })
}

fn version_of(headers: &HeaderMap) -> Option<ObjectVersion> {
    let tag = headers.get(ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", encode(key))
}

/// Percent-encodes all but the characters that stand for themselves in a path and a query.
fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'/' | b'-' | b'.' | b'_' | b'~' => {
                encoded.push(char::from(byte));
            }
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}

fn unavailable(error: reqwest::Error) -> Error {
    let message = format!("the platform does not answer: {error}");
    Error::new(ErrorKind::Unavailable, message)
}

fn unexpected(status: StatusCode) -> Error {
    let kind = if status.is_client_error() {
        ErrorKind::Protocol
    } else {
        ErrorKind::Unavailable
    };
    Error::new(kind, format!("the platform answered {status}"))
}
