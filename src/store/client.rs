//! The HTTP client for the object API.
//!
//! The HTTP library's retries, redirects and proxies are disabled: if it retried a conditional write that had already
//! taken effect, the write would be misreported as [`PutOutcome::Conflict`]. Watches use a client without idle
//! connections, so that each long poll opens a new connection and an unresponsive connection delays at most one poll.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use reqwest::header::{ETAG, HeaderMap, IF_MATCH, IF_NONE_MATCH};
use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::budget::{BudgetLimits, CallBudget, CallCounts, CallKind};
use super::{ObjectVersion, PutCondition, PutOutcome, VersionedValue};
use crate::error::{Error, ErrorKind};
use crate::protocol::{ObjectListing, Vm};

/// The maximum size of an object's value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// The time added to a watch's wait before its connection is considered unresponsive.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// The platform's address, and the timeouts and budgets of calls to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// The base URL, such as `http://192.0.2.1:7400`.
    pub base_url: Arc<str>,
    /// The bearer token sent with each call, if the platform requires one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<Arc<str>>,
    /// The connect timeout in milliseconds.
    #[serde(default = "default_connect_timeout_ms")]
    pub connect_timeout_ms: u64,
    /// The timeout for a whole call other than a watch, in milliseconds.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: u64,
    /// The rate limits of this process's own calls.
    #[serde(default)]
    pub budget: BudgetLimits,
}

impl StoreSettings {
    /// Creates settings with default timeouts and budgets for the platform at `base_url`.
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

/// A client for the platform's object API and VM list. Clones share connections and the call budget.
#[derive(Clone, Debug)]
pub struct Client {
    calls: reqwest::Client,
    watches: reqwest::Client,
    base_url: Arc<str>,
    token: Option<Arc<str>>,
    call_timeout: Duration,
    budget: Arc<Mutex<CallBudget>>,
    started: Instant,
}

impl Client {
    /// Creates a client. Connections are opened by the first call.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::InvalidInput`] if the base URL is not an HTTP URL.
    pub fn new(settings: &StoreSettings) -> Result<Self, Error> {
        let base_url = settings.base_url.trim_end_matches('/');
        let is_http = reqwest::Url::parse(base_url).is_ok_and(|url| url.scheme() == "http");
        if !is_http {
            let reason = "use a URL such as http://192.0.2.1:7400";
            return Err(Error::invalid("base_url", base_url, reason));
        }
        let connect_timeout = Duration::from_millis(settings.connect_timeout_ms);
        Ok(Self {
            calls: http_client(connect_timeout, 4)?,
            watches: http_client(connect_timeout, 0)?,
            base_url: base_url.into(),
            token: settings.token.clone(),
            call_timeout: Duration::from_millis(settings.call_timeout_ms),
            budget: Arc::new(Mutex::new(CallBudget::new(settings.budget))),
            started: Instant::now(),
        })
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.lock_budget().counts()
    }

    /// Reads the object with the given `key`, or returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Unavailable`] if the call budget is exhausted, the platform did not respond or it reported
    /// a server error, and [`ErrorKind::Protocol`] if the response is invalid or reports a client error.
    pub async fn get(&self, key: &str) -> Result<Option<VersionedValue>, Error> {
        self.take_budget(CallKind::Read)?;
        let request = self.request(&self.calls, Method::GET, &object_path(key));
        let response = self.send(request.timeout(self.call_timeout)).await?;
        match response.status() {
            StatusCode::OK => versioned(response).await.map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    /// Waits up to `wait` for a version of `key` greater than `after`, or returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Client::get`], and [`ErrorKind::Unavailable`] if no response arrives shortly after
    /// `wait`.
    pub async fn watch(
        &self,
        key: &str,
        after: ObjectVersion,
        wait: Duration,
    ) -> Result<Option<VersionedValue>, Error> {
        self.take_budget(CallKind::Watch)?;
        let wait_ms = wait.as_millis();
        let path = format!("{}?after={after}&wait_ms={wait_ms}", object_path(key));
        let request = self.request(&self.watches, Method::GET, &path);
        let response = self.send(request.timeout(wait + WATCH_GRACE)).await?;
        match response.status() {
            StatusCode::OK => versioned(response).await.map(Some),
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    /// Writes `value` to the object `key` if `condition` holds. All failures are represented by the outcome.
    pub async fn put(&self, key: &str, value: Bytes, condition: PutCondition) -> PutOutcome {
        if self.take_budget(CallKind::Write).is_err() {
            return PutOutcome::NotSent;
        }
        let request = self.request(&self.calls, Method::PUT, &object_path(key));
        let request = match condition {
            PutCondition::Absent => request.header(IF_NONE_MATCH, "*"),
            PutCondition::Version(version) => request.header(IF_MATCH, format!("\"{version}\"")),
        };
        let result = request.body(value).timeout(self.call_timeout).send().await;
        match result {
            Ok(response) => put_outcome(&response),
            Err(error) if error.is_connect() || error.is_builder() => PutOutcome::NotSent,
            Err(_) => PutOutcome::Unknown,
        }
    }

    /// Deletes the object `key`. Succeeds if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Client::get`]. The object may have been deleted despite an error.
    pub async fn delete(&self, key: &str) -> Result<(), Error> {
        self.take_budget(CallKind::Write)?;
        let request = self.request(&self.calls, Method::DELETE, &object_path(key));
        let response = self.send(request.timeout(self.call_timeout)).await?;
        match response.status() {
            status if status.is_success() || status == StatusCode::NOT_FOUND => Ok(()),
            status => Err(unexpected(status)),
        }
    }

    /// Lists the objects whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Client::get`].
    pub async fn list(&self, prefix: &str) -> Result<Vec<ObjectListing>, Error> {
        let path = format!("/objects?prefix={}", encode(prefix));
        self.get_json(&path).await
    }

    /// Reads the platform's list of running and leaving VMs, which lags behind the actual state.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Client::get`].
    pub async fn vms(&self) -> Result<Vec<Vm>, Error> {
        self.get_json("/vms").await
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.take_budget(CallKind::Read)?;
        let request = self.request(&self.calls, Method::GET, path);
        let response = self.send(request.timeout(self.call_timeout)).await?;
        if response.status() != StatusCode::OK {
            return Err(unexpected(response.status()));
        }
        let body = response.bytes().await.map_err(unavailable)?;
        serde_json::from_slice(&body).map_err(|error| {
            let message = format!("the platform's response to {path} can't be parsed: {error}");
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

    fn take_budget(&self, kind: CallKind) -> Result<(), Error> {
        let granted = self.lock_budget().try_take(kind, self.started.elapsed());
        let outcome = if granted { "made" } else { "refused" };
        metrics::counter!("crocuswharf_store_calls_total", "kind" => kind.label(), "outcome" => outcome)
            .increment(1);
        if granted {
            return Ok(());
        }
        let message = format!("the budget of {} calls is exhausted", kind.label());
        Err(Error::new(ErrorKind::Unavailable, message))
    }

    fn lock_budget(&self) -> std::sync::MutexGuard<'_, CallBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn http_client(connect_timeout: Duration, max_idle: usize) -> Result<reqwest::Client, Error> {
    reqwest::Client::builder()
        .http1_only()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .connect_timeout(connect_timeout)
        .pool_max_idle_per_host(max_idle)
        .build()
        .map_err(|error| {
            Error::new(
                ErrorKind::Io,
                format!("the HTTP client can't be created: {error}"),
            )
        })
}

fn put_outcome(response: &Response) -> PutOutcome {
    match response.status() {
        status if status.is_success() => {
            // The write took effect, but the response has no valid version, so the caller has to read the object back.
            version_of(response.headers()).map_or(PutOutcome::Unknown, PutOutcome::Stored)
        }
        StatusCode::PRECONDITION_FAILED | StatusCode::NOT_FOUND => PutOutcome::Conflict,
        status if status.is_client_error() => PutOutcome::NotSent,
        _ => PutOutcome::Unknown,
    }
}

async fn versioned(response: Response) -> Result<VersionedValue, Error> {
    let Some(version) = version_of(response.headers()) else {
        let message = "the platform's response has no version";
        return Err(Error::new(ErrorKind::Protocol, message));
    };
    let value = response.bytes().await.map_err(unavailable)?;
    Ok(VersionedValue { version, value })
}

fn version_of(headers: &HeaderMap) -> Option<ObjectVersion> {
    let tag = headers.get(ETAG)?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", encode(key))
}

/// Percent-encodes all characters except `/` and those that RFC 3986 calls unreserved.
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
    let message = format!("the platform did not respond: {error}");
    Error::new(ErrorKind::Unavailable, message)
}

fn unexpected(status: StatusCode) -> Error {
    let kind = if status.is_client_error() {
        ErrorKind::Protocol
    } else {
        ErrorKind::Unavailable
    };
    Error::new(kind, format!("the platform responded with {status}"))
}
