//! A parsed caller request: what it asks for and what is forwarded to replicas.
//!
//! [`Call::from_head`] parses and authorizes the head of a request, or rejects it with a response of the gateway. The
//! attempts for the request are made in [`super::dispatch`].

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use http::header::{HeaderMap, HeaderValue};
use http::{Method, StatusCode, Uri, request};
use smallvec::SmallVec;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use super::admission::Room;
use super::authorization::CallerKey;
use super::clock::boot_time;
use super::headers::{HeaderNames, connection_header_names, header_text};
use super::memory::{CallMemory, StoredBody};
use super::placement::PlacementRequest;
use super::prompt::Prompt;
use super::quota::{QuotaCharge, QuotaSubject, account_key};
use super::response::LocalReply;
use super::route::{GatewayAccount, Route};
use super::shared::{Shared, Snapshot};
use super::stream_origin::{ReleaseKey, StreamKey, stream_key};
use crate::id::ServiceName;
use crate::request::quarantine::SuspectKey;

/// When to retry at a router that has no configuration yet or can't confirm the one it has.
pub(crate) const RETRY_AFTER_NOT_READY: Duration = Duration::from_millis(300);
/// When to retry after all replicas refused or failed; about the time that loading weights takes.
pub(crate) const RETRY_AFTER_BUSY: Duration = Duration::from_millis(250);
/// When a caller that connects to a router that shuts down may retry: at once, at another router.
pub(crate) const RETRY_AFTER_LEAVING: Duration = Duration::from_millis(10);
/// The lowest priority value that the gateway sends to replicas, used for routes of priority 0.
const MIN_REPLICA_PRIORITY: u8 = 3;
/// The highest priority value that replicas support.
const MAX_REPLICA_PRIORITY: u8 = 9;

/// A stream that a caller takes up again after its connection broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TakeUp {
    /// The attempt that brought the first event, as the caller names it.
    pub(crate) first_attempt: Option<Arc<str>>,
    /// The last event that the caller has received.
    pub(crate) last_event: Arc<str>,
}

/// A request of a caller.
#[derive(Debug)]
pub(crate) struct Call {
    /// The ID of the caller's attempt.
    pub(crate) id: HeaderValue,
    /// The matched route.
    pub(crate) route: Route,
    /// The service selected among those of the route.
    pub(crate) service: ServiceName,
    /// The account that the caller's key belongs to.
    pub(crate) account: Option<GatewayAccount>,
    /// What the request costs of its account's quota; `None` if the account has none.
    pub(crate) quota: Option<QuotaCharge>,
    /// The key, if the route needed one.
    pub(crate) key: Option<CallerKey>,
    /// The prompt, if the request has one.
    pub(crate) prompt: Option<Prompt>,
    /// The keys of the shared parts of the prompt.
    pub(crate) parts: SmallVec<[SuspectKey; 4]>,
    /// The inputs of replica selection.
    pub(crate) placement: PlacementRequest,
    /// When the request arrived.
    pub(crate) arrived_at: Duration,
    /// The deadline for the response.
    pub(crate) deadline: Duration,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    /// The complete body.
    pub(crate) body: StoredBody,
    /// The memory of the caller's connection; `None` until the request may be sent.
    pub(crate) memory: Option<CallMemory>,
    /// The stream that the caller takes up again, if it does.
    pub(crate) take_up: Option<TakeUp>,
    /// The stream that this request begins or takes up, if it can be taken up and the caller names it.
    pub(crate) stream: Option<StreamKey>,
    /// The release that began the stream which is taken up.
    pub(crate) release: Option<ReleaseKey>,
    request_key: OnceLock<SuspectKey>,
}

impl Call {
    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Returns the response to send if the request is invalid or must not be forwarded.
    pub(crate) fn from_head(
        shared: &Shared,
        snapshot: &Snapshot,
        head: request::Parts,
        arrived_at: Duration,
    ) -> Result<Self, LocalReply> {
        let header_names = &shared.header_names;
        let Some(table) = &snapshot.table else {
            return Err(LocalReply::not_run(
                "no configuration yet",
                RETRY_AFTER_NOT_READY,
            ));
        };
        let freshness = shared.freshness(arrived_at);
        let deny = |status, reason| {
            if freshness.allows_denials {
                return LocalReply::denied(status, reason);
            }
            LocalReply::not_run("the configuration is not confirmed", RETRY_AFTER_NOT_READY)
        };
        let host = header_text(&head.headers, &http::header::HOST)
            .or_else(|| head.uri.host())
            .unwrap_or_default();
        let route = table
            .find(host, head.uri.path())
            .ok_or_else(|| deny(StatusCode::NOT_FOUND, "no such route"))?;
        let key = header_text(&head.headers, &header_names.caller_key).unwrap_or_default();
        let key = CallerKey::new(key);
        let account = key.authorize(route, table, &freshness)?.cloned();
        let bad = |reason| LocalReply::denied(StatusCode::BAD_REQUEST, reason);
        let id = head.headers.get(&header_names.request_id).cloned();
        let id = id.ok_or_else(|| bad("the request id is missing"))?;
        let deadline_ms = read_deadline(&head.headers, header_names).map_err(bad)?;
        let prompt = Prompt::from_headers(&head.headers, header_names)
            .map_err(|_| bad("the prompt's description can't be read"))?;
        let Some(service) = route.pick_service(&mut rand::rng()) else {
            return Err(LocalReply::not_run(
                "the route has no service",
                RETRY_AFTER_BUSY,
            ));
        };
        let cache_domain = table.cache_isolation().domain(account.as_ref());
        let placement = prompt.as_ref().map_or(
            PlacementRequest {
                prefix: None,
                shared_tokens: 0,
                own_tokens: 0,
                output_tokens: 0,
                room: Room::All,
            },
            |prompt| {
                let admission = shared.settings.admission;
                prompt.placement_request(
                    cache_domain.account(),
                    route.priority,
                    admission.large_requests_per_slot,
                )
            },
        );
        let time = deadline_ms.map_or(route.timeout, |ms| {
            route.timeout.min(Duration::from_millis(ms))
        });
        let parts = prompt.as_ref().map(Prompt::part_keys);
        let token_counts = header_text(&head.headers, &header_names.token_counts);
        let quota = account.as_ref().and_then(|account| {
            let quota = account.quota?;
            Some(QuotaCharge {
                subject: QuotaSubject::Account,
                account: account_key(&account.name),
                limit: quota.limit.checked()?,
                cost: quota.cost(token_counts),
            })
        });
        let take_up = read_take_up(&head.headers, header_names).filter(|_| route.kind.is_stream());
        let account_name = account.as_ref().map_or("", |account| &account.name);
        let first_attempt = match &take_up {
            Some(take_up) => take_up.first_attempt.as_deref(),
            None => id.to_str().ok(),
        };
        let stream = first_attempt.map(|attempt| stream_key(account_name, attempt));
        Ok(Self {
            id,
            take_up,
            stream,
            release: None,
            route: route.clone(),
            service: Arc::clone(service),
            quota,
            prompt,
            parts: parts.unwrap_or_default(),
            placement,
            arrived_at,
            deadline: arrived_at + time,
            method: head.method,
            uri: path_only(&head.uri),
            headers: forwarded_headers(header_names, &head.headers, account.as_ref()),
            key: account.is_some().then_some(key),
            account,
            body: StoredBody::default(),
            memory: None,
            request_key: OnceLock::new(),
        })
    }

    /// Returns the key of the whole request, which is the same each time that it comes with this path, caller, body and
    /// prompt.
    ///
    /// It is computed when it is first needed, which for most requests is never.
    pub(crate) fn request_key(&self) -> SuspectKey {
        *self.request_key.get_or_init(|| {
            let account = self.account.as_ref().map_or("", |account| &account.name);
            let path = self.uri.path_and_query();
            let path = path.map_or("", |path| path.as_str());
            let body: Vec<_> = self.body.parts().collect();
            hash_request(
                account,
                self.method.as_str(),
                &self.route.name,
                path,
                &body,
                self.prompt.as_ref(),
            )
        })
    }

    /// Returns the priority of the request at a replica.
    pub(crate) fn replica_priority(&self) -> u8 {
        let account = self.account.as_ref().and_then(|account| account.priority);
        let priority = account.unwrap_or(self.route.priority);
        MIN_REPLICA_PRIORITY
            .saturating_add(priority)
            .min(MAX_REPLICA_PRIORITY)
    }

    /// Returns whether the caller may take the response up again after its connection broke. That holds for any stream, since
    /// the operator may allow it while the stream lasts, or no longer allow it when the caller does.
    pub(crate) const fn can_be_taken_up(&self) -> bool {
        self.route.kind.is_stream()
    }

    /// Returns the request ID as text, for logs.
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or("?")
    }

    /// Returns a time below `range` that is the same for all attempts of this request, and differs between requests.
    pub(crate) fn spread(&self, range: Duration) -> Duration {
        let fraction = xxh3_64(self.id.as_bytes()) as f64 / u64::MAX as f64;
        range.mul_f64(fraction)
    }

    /// Returns the time left until the deadline.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(boot_time())
    }
}

/// Hashes what makes a request the same one when it comes again.
///
/// The route stands for the host, which may name the port of a router. How `body` is split into parts makes no difference.
pub(crate) fn hash_request(
    account: &str,
    method: &str,
    route: &str,
    path: &str,
    body: &[&[u8]],
    prompt: Option<&Prompt>,
) -> SuspectKey {
    let texts = [account, method, route, path].map(str::as_bytes);
    let model = prompt.map(|prompt| prompt.model.as_bytes());
    let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
    let parts = parts.iter().map(|part| part.id.as_bytes());
    let mut hasher = Xxh3::new();
    let mut add = |field: &[&[u8]]| {
        let length: usize = field.iter().map(|part| part.len()).sum();
        hasher.update(&(length as u64).to_le_bytes());
        for part in field {
            hasher.update(part);
        }
    };
    for text in texts {
        add(&[text]);
    }
    add(body);
    for field in model.into_iter().chain(parts) {
        add(&[field]);
    }
    hasher.digest()
}

/// Returns the stream that a caller takes up again; `None` if the request begins anew.
fn read_take_up(headers: &HeaderMap, header_names: &HeaderNames) -> Option<TakeUp> {
    let last_event = headers.get(&header_names.last_event_id)?;
    let first_attempt = header_text(headers, &header_names.resumes).map(str::trim);
    Some(TakeUp {
        first_attempt: first_attempt.filter(|id| !id.is_empty()).map(Arc::from),
        last_event: String::from_utf8_lossy(last_event.as_bytes()).into(),
    })
}

fn read_deadline(
    headers: &HeaderMap,
    header_names: &HeaderNames,
) -> Result<Option<u64>, &'static str> {
    let Some(value) = headers.get(&header_names.deadline_ms) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| "the deadline can't be read")?;
    let milliseconds: f64 = text
        .trim()
        .parse()
        .map_err(|_| "the deadline can't be read")?;
    if !(milliseconds >= 0.0 && milliseconds.is_finite()) {
        return Err("the deadline can't be read");
    }
    Ok(Some(milliseconds as u64))
}

/// Returns the path and query only, which is the form of the URI sent to replicas.
fn path_only(uri: &Uri) -> Uri {
    uri.path_and_query()
        .map_or_else(|| Uri::from_static("/"), |path| Uri::from(path.clone()))
}

/// Returns the headers that are forwarded to every replica.
fn forwarded_headers(
    header_names: &HeaderNames,
    headers: &HeaderMap,
    account: Option<&GatewayAccount>,
) -> HeaderMap {
    let listed = connection_header_names(headers);
    let mut kept = HeaderMap::with_capacity(headers.len() + 8);
    for (name, value) in headers {
        if header_names.is_forwarded(name) && !listed.contains(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    if let Some(account) = account
        && let Ok(name) = HeaderValue::from_str(&account.name)
    {
        kept.insert(header_names.account.clone(), name);
    }
    kept
}
