//! The handler of `/services/NAME/...`: calls of plain services.
//!
//! An idempotent call may be retried on another replica. Any other call requires an idempotency key, is sent to at most
//! one replica, and is never retried once its first byte may have been sent.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rand::RngExt;
use reqwest::header::{HeaderMap, HeaderName};
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Request, Response, async_trait};
use smallvec::SmallVec;

use super::auth::{admit, authenticate, find_service};
use super::chat::read_body;
use super::claimed::{ClaimedRequest, SendHeaders, content_digest, correct_run_state};
use super::dispatch::attempt_failure;
use super::error_response::{ErrorResponse, RunState, set_header};
use super::record::RequestRecord;
use crate::control::{AdmittedRequest, InFlightGuard, PoolView, ReplicaView, Shared};
use crate::engine::{CallError, PlainCall};
use crate::explain::AttemptCause;
use crate::id::{RequestId, ServiceName};
use crate::protocol::{HEADER_REPLICA, HEADER_REQUEST_ID, HEADER_RUN};
use crate::request::claim::ClaimKey;
use crate::request::claim_service::ClaimService;
use crate::request::retry::{RetryDecision, RetryState};
use crate::service::{Service, ServiceKind};

/// The maximum number of replicas that are tried for one claimed call.
pub(crate) const MAX_ATTEMPTS: usize = 3;
/// The `retry-after` time if no replica could take the call.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The headers that are not forwarded, because they concern a single connection or only the router.
const STRIPPED_HEADERS: [&str; 11] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Handles calls of plain services.
#[derive(Clone)]
pub(crate) struct PlainHandler {
    shared: Arc<Shared>,
}

/// A call that has been parsed, authorized and admitted.
struct Prepared {
    pool: Arc<PoolView>,
    call: PlainCall,
    /// Claim key, content digest and send number; `None` for an idempotent call.
    claim: Option<(ClaimKey, [u8; 16], Option<u32>)>,
    /// Records the call for metrics and explanations.
    record: RequestRecord,
    service: (ServiceName, Arc<Service>),
    _admitted: AdmittedRequest,
}

/// A complete response of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainResponse {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// The headers to forward.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: Bytes,
    /// The replica that responded; `None` for a stored response.
    pub(crate) replica: Option<Arc<str>>,
}

impl PlainHandler {
    /// Creates the handler.
    pub(crate) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Returns the service that claims calls that are not idempotent.
    pub(crate) fn claims(&self) -> &ClaimService {
        &self.shared.claims
    }

    async fn respond(
        &self,
        request: &mut Request,
        res: &mut Response,
    ) -> Result<(), ErrorResponse> {
        let request_id = self.shared.new_request_id();
        set_header(res, HEADER_REQUEST_ID, &request_id.to_string());
        let prepared = self.prepare(request, request_id).await;
        let prepared = prepared.map_err(|response| correct_run_state(response, request))?;
        let mut record = prepared.record;
        let pool = Arc::clone(&prepared.pool);
        let answer = match prepared.claim {
            None => {
                let (name, service) = &prepared.service;
                self.shared
                    .retry_budgets
                    .record_first_attempt(name, service);
                self.call_with_retries(request_id, name, &pool, &prepared.call)
                    .await
            }
            Some((key, digest, send_number)) => {
                let claimed = ClaimedRequest {
                    handler: self.clone(),
                    pool: prepared.pool,
                    call: prepared.call,
                    key,
                    digest,
                    send_number,
                    _open_request: self.shared.open_request(),
                };
                claimed.run().await
            }
        };
        record_result(&mut record, &pool, answer.as_ref());
        write_response(res, answer?);
        Ok(())
    }

    async fn prepare(
        &self,
        request: &mut Request,
        request_id: RequestId,
    ) -> Result<Prepared, ErrorResponse> {
        let snapshot = self.shared.snapshot.load_full();
        let account = authenticate(request, &snapshot)?;
        let name = request.param::<String>("name").unwrap_or_default();
        let service = find_service(&snapshot, &account, &name, ServiceKind::Plain, "name")?;
        let pool = snapshot
            .pools
            .get(&service.pool)
            .ok_or_else(|| unknown_pool(&name))?;
        let limit_bytes = service
            .body_limit_bytes
            .min(self.shared.settings.bounds.body_limit_bytes);
        let body = read_body(request, limit_bytes).await?;
        let admitted = admit(&self.shared, &account, 0)?;
        let revision = snapshot.configuration.revision;
        let record = RequestRecord::start(&self.shared, request_id, revision, &name, &account);
        let call = plain_call(request, &service, body);
        let path = call.path.split('?').next().unwrap_or_default();
        let claim = match service.is_idempotent(call.method.as_str(), path) {
            true => None,
            false => {
                let headers = SendHeaders::parse(request)?;
                let digest = content_digest(&name, &call);
                Some((
                    headers.claim_key(&account.id),
                    digest,
                    headers.send_number(),
                ))
            }
        };
        Ok(Prepared {
            pool: Arc::clone(pool),
            call,
            claim,
            record,
            service: (name.as_str().into(), service),
            _admitted: admitted,
        })
    }

    /// Sends an idempotent call to one replica after another until one responds, within the service's retry budget.
    async fn call_with_retries(
        &self,
        request_id: RequestId,
        service: &ServiceName,
        pool: &PoolView,
        call: &PlainCall,
    ) -> Result<PlainResponse, ErrorResponse> {
        let deadline = Instant::now() + call.remaining;
        let mut excluded = SmallVec::<[usize; 4]>::new();
        let mut ran = RunState::NotRun;
        for tries in 1.. {
            let Some(index) = choose_least_loaded(pool, &excluded) else {
                break;
            };
            let error = match self.attempt(request_id, pool, index, call).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            if matches!(error, CallError::Lost(_)) {
                ran = RunState::Unknown;
            }
            excluded.push(index);
            let state = RetryState {
                tries,
                is_idempotent: true,
                response_started: false,
                remaining: deadline.saturating_duration_since(Instant::now()),
            };
            let decision =
                self.shared
                    .retry_budgets
                    .decide(service, state, attempt_failure(&error));
            let RetryDecision::Retry(wait) = decision else {
                break;
            };
            tokio::time::sleep(wait).await;
        }
        Err(no_replica(ran))
    }

    /// Sends the call to one replica.
    pub(crate) async fn attempt(
        &self,
        request_id: RequestId,
        pool: &PoolView,
        index: usize,
        call: &PlainCall,
    ) -> Result<PlainResponse, CallError> {
        let view = &pool.replicas[index];
        let _in_flight = InFlightGuard::new(&view.in_flight);
        let started = Instant::now();
        let result = self.call(&view.replica, call).await;
        match &result {
            Ok(_) => pool.ejections.record_success(&view.replica.id),
            Err(_) => pool.ejections.record_failure(&view.replica.id),
        }
        match &result {
            Ok(answer) => log::debug!(
                "request: Plain service call answered. request={request_id} replica={} status={} took_ms={}",
                view.replica.id,
                answer.status.as_u16(),
                started.elapsed().as_millis()
            ),
            Err(error) => log::warn!(
                "request: Attempt failed. request={request_id} replica={} error={error:?}",
                view.replica.id
            ),
        }
        result
    }

    async fn call(
        &self,
        replica: &crate::pool::Replica,
        call: &PlainCall,
    ) -> Result<PlainResponse, CallError> {
        let response = self
            .shared
            .engines
            .plain(replica.address, call.clone())
            .await?;
        let status = response.status();
        let mut headers = response.headers().clone();
        strip_headers(&mut headers);
        let body = response
            .bytes()
            .await
            .map_err(|error| CallError::Lost(error.to_string()))?;
        Ok(PlainResponse {
            status,
            headers,
            body,
            replica: Some(Arc::clone(&replica.id)),
        })
    }
}

#[async_trait]
impl salvo::Handler for PlainHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let _open_request = self.shared.open_request();
        if let Err(response) = self.respond(request, res).await {
            response.render(res);
        }
    }
}

/// Returns the index of the available replica with the fewest in-flight requests from this router; ties are broken at
/// random.
///
/// An ejected replica is selected only if no other is left.
pub(crate) fn choose_least_loaded(pool: &PoolView, excluded: &[usize]) -> Option<usize> {
    let mut excluded_or_ejected = pool.ejections.excluded(&pool.replicas);
    if !excluded_or_ejected.is_empty() {
        excluded_or_ejected.extend_from_slice(excluded);
        if let Some(index) = least_loaded(pool, &excluded_or_ejected) {
            return Some(index);
        }
    }
    least_loaded(pool, excluded)
}

fn least_loaded(pool: &PoolView, excluded: &[usize]) -> Option<usize> {
    let count = pool.replicas.len();
    if count == 0 {
        return None;
    }
    let start = rand::rng().random_range(0..count);
    (0..count)
        .map(|offset| (start + offset) % count)
        .filter(|index| pool.replicas[*index].available && !excluded.contains(index))
        .min_by_key(|index| pool.replicas[*index].in_flight.load(Ordering::Relaxed))
}

fn plain_call(request: &Request, service: &Service, body: Bytes) -> PlainCall {
    let rest = request.param::<String>("rest").unwrap_or_default();
    let path = match request.uri().query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    let mut headers = request.headers().clone();
    strip_headers(&mut headers);
    PlainCall {
        method: request.method().clone(),
        path,
        headers,
        body,
        remaining: Duration::from_millis(service.request_timeout_ms),
    }
}

fn strip_headers(headers: &mut HeaderMap) {
    for name in STRIPPED_HEADERS {
        headers.remove(HeaderName::from_static(name));
    }
}

/// Records how the call ended.
fn record_result(
    record: &mut RequestRecord,
    pool: &PoolView,
    answer: Result<&PlainResponse, &ErrorResponse>,
) {
    match answer {
        Ok(answer) => {
            let Some(replica) = &answer.replica else {
                record.record_replay();
                // A replayed response counts like any other: its first byte counts towards the latency objective.
                record.record_token();
                return record.record_complete(answer.status.as_u16());
            };
            let is_target = |view: &&ReplicaView| view.replica.id == *replica;
            if let Some(view) = pool.replicas.iter().find(is_target) {
                record.start_attempt(&view.replica, AttemptCause::First);
            }
            record.record_token();
            record.record_complete(answer.status.as_u16());
        }
        Err(response) => record.record_error(response),
    }
}

fn write_response(res: &mut Response, answer: PlainResponse) {
    res.status_code(answer.status);
    for (name, value) in &answer.headers {
        res.headers_mut().append(name, value.clone());
    }
    if let Some(replica) = &answer.replica {
        set_header(res, HEADER_REPLICA, replica);
    }
    set_header(res, HEADER_RUN, RunState::Completed.as_str());
    res.body(answer.body);
}

fn no_replica(ran: RunState) -> ErrorResponse {
    ErrorResponse {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "no_replica",
        message: "no replica of the service could take the call".to_owned(),
        param: None,
        ran,
        retry_after: Some(RETRY_AFTER),
    }
}

fn unknown_pool(name: &str) -> ErrorResponse {
    ErrorResponse {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "pool_not_known",
        message: format!("name: the pool of service {name:?} is not known yet"),
        param: Some("name"),
        ran: RunState::NotRun,
        retry_after: Some(RETRY_AFTER),
    }
}
