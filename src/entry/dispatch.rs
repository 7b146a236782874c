//! Dispatches one chat request to a replica and tracks it until its response ends.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use salvo::http::StatusCode;
use serde_json::Value;
use smallvec::SmallVec;

use super::error_response::{ErrorResponse, RunState};
use super::record::RequestRecord;
use super::selector::ReplicaSelector;
use crate::control::{AdmittedRequest, InFlightGuard, OpenRequest, PoolView, Shared};
use crate::engine::{CallError, ChatCall, ChatResponse};
use crate::explain::AttemptCause;
use crate::id::{AccountId, Incarnation, RequestId, ServiceName};
use crate::policy::{Choice, InstanceTag};
use crate::pool::Replica;
use crate::preference::Preference;
use crate::prefix::PromptPrefix;
use crate::request::event_id::EventId;
use crate::request::retry::{AttemptFailure, RetryDecision, RetryState};
use crate::service::Service;

/// The maximum time for an engine to respond to a request that resumes a stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);
/// The `retry-after` time if no replica could take the request.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// The maximum `retry-after` time.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// One chat request and the state of its dispatch.
pub(crate) struct Dispatch {
    shared: Arc<Shared>,
    pool: Arc<PoolView>,
    request_id: RequestId,
    admitted: AdmittedRequest,
    service: ServiceName,
    account: AccountId,
    priority: u8,
    prefix: PromptPrefix,
    body: Bytes,
    deadline: Instant,
    excluded: SmallVec<[usize; 4]>,
    in_flight: Option<InFlightGuard>,
    /// The replica of an attempt without a response.
    pending: Option<Arc<Replica>>,
    selector: ReplicaSelector,
    has_first_token: bool,
    record: RequestRecord,
    // Counts the request as open, so that a drain waits until the last byte has been sent.
    _open_request: OpenRequest,
}

/// The replica that serves a request.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    /// The replica's index in the pool.
    pub(crate) index: usize,
    /// The replica.
    pub(crate) replica: Arc<Replica>,
    /// The incarnation of the engine that responded.
    pub(crate) incarnation: Incarnation,
}

/// A chat request that has been admitted and is ready to be dispatched.
pub(crate) struct DispatchRequest {
    /// The request's id.
    pub(crate) request_id: RequestId,
    /// Counts the request against its account's limits.
    pub(crate) admitted: AdmittedRequest,
    /// The service's name.
    pub(crate) service: ServiceName,
    /// The service's configuration, which sets the retry budget.
    pub(crate) service_config: Arc<Service>,
    /// The client account.
    pub(crate) account: AccountId,
    /// The client account's priority.
    pub(crate) priority: u8,
    /// The prompt prefix.
    pub(crate) prefix: PromptPrefix,
    /// The request body as the caller sent it.
    pub(crate) body: Bytes,
    /// The deadline of the complete response.
    pub(crate) deadline: Instant,
    /// The routing preference of the service.
    pub(crate) preference: Arc<Preference>,
    /// Records the request for metrics and explanations.
    pub(crate) record: RequestRecord,
    /// Counts the request as open until it is dropped.
    pub(crate) open_request: OpenRequest,
}

impl Dispatch {
    /// Creates the dispatch of `request` to the replicas of `pool`.
    pub(crate) fn new(shared: Arc<Shared>, pool: Arc<PoolView>, request: DispatchRequest) -> Self {
        let selector = ReplicaSelector::new(
            Arc::clone(&shared),
            &pool,
            request.preference,
            request.request_id,
        );
        shared
            .retry_budgets
            .record_first_attempt(&request.service, &request.service_config);
        Self {
            selector,
            has_first_token: false,
            shared,
            pool,
            request_id: request.request_id,
            admitted: request.admitted,
            service: request.service,
            account: request.account,
            priority: request.priority,
            prefix: request.prefix,
            body: request.body,
            deadline: request.deadline,
            excluded: SmallVec::new(),
            in_flight: None,
            pending: None,
            record: request.record,
            _open_request: request.open_request,
        }
    }

    /// Returns the request id.
    pub(crate) const fn request_id(&self) -> RequestId {
        self.request_id
    }

    /// Returns the request body as the caller sent it.
    pub(crate) const fn body(&self) -> &Bytes {
        &self.body
    }

    /// Excludes a replica from further attempts.
    pub(crate) fn exclude(&mut self, target: &Target) {
        self.excluded.push(target.index);
    }

    /// Allows attempts at all replicas again.
    pub(crate) fn include_all(&mut self) {
        self.excluded.clear();
    }

    /// Sends the request to one replica after another until one responds, within the service's retry budget.
    ///
    /// Chat requests are idempotent, so one that may have reached an engine can be retried on another replica.
    pub(crate) async fn send(
        &mut self,
        body: Bytes,
    ) -> Result<(Target, ChatResponse), ErrorResponse> {
        let result = self.try_send(body).await;
        result.inspect_err(|response| self.record_failure(response))
    }

    /// Does the same as [`send`](Self::send) for a request that does not end if no replica responds.
    pub(crate) async fn try_send(
        &mut self,
        body: Bytes,
    ) -> Result<(Target, ChatResponse), ErrorResponse> {
        let mut ran = RunState::NotRun;
        for tries in 1.. {
            let index = match self.select_replica().await {
                Choice::Replica(placement) => {
                    let view = self.selector.view();
                    self.record.record_choice(&self.pool, &placement, view);
                    placement.position
                }
                Choice::Shed { expected_ttft } => return Err(shed(ran, expected_ttft)),
                Choice::NoReplica => break,
            };
            let failure = match self.attempt(index, body.clone()).await {
                Ok(target) => {
                    self.pool.ejections.record_success(&target.0.replica.id);
                    return Ok(target);
                }
                Err(error) => error,
            };
            let replica = &self.pool.replicas[index].replica.id;
            self.pool.ejections.record_failure(replica);
            ran = merge_run_state(ran, &failure);
            self.selector.record_withdrawn();
            self.excluded.push(index);
            let Some(delay) = self.retry_delay(tries, &failure) else {
                break;
            };
            tokio::time::sleep(delay).await;
        }
        Err(no_replica(ran))
    }

    /// Selects a replica that has not been tried; an ejected one only if no other is left.
    async fn select_replica(&mut self) -> Choice {
        let mut excluded = self.pool.ejections.excluded(&self.pool.replicas);
        if !excluded.is_empty() {
            excluded.extend_from_slice(&self.excluded);
            let choice = self.selector.select(&self.prefix, &excluded).await;
            if choice != Choice::NoReplica {
                return choice;
            }
        }
        self.selector.select(&self.prefix, &self.excluded).await
    }

    /// Returns the delay before the next attempt, or `None` if the request is not retried.
    fn retry_delay(&self, tries: u32, error: &CallError) -> Option<Duration> {
        let state = RetryState {
            tries,
            is_idempotent: true,
            // Text that the caller already has becomes part of the next attempt's prompt, so no byte is sent twice.
            response_started: false,
            remaining: self.remaining(),
        };
        let retry_budgets = &self.shared.retry_budgets;
        match retry_budgets.decide(&self.service, state, attempt_failure(error)) {
            RetryDecision::Retry(delay) => Some(delay),
            RetryDecision::Stop(reason) => {
                log::info!(
                    "request: Request is not retried. request={} reason={reason:?}",
                    self.request_id
                );
                None
            }
        }
    }

    async fn attempt(
        &mut self,
        index: usize,
        body: Bytes,
    ) -> Result<(Target, ChatResponse), CallError> {
        let view = &self.pool.replicas[index];
        let in_flight = InFlightGuard::new(&view.in_flight);
        let cause = self.record.next_cause();
        self.record.start_attempt(&view.replica, cause);
        self.pending = Some(Arc::clone(&view.replica));
        let call = ChatCall {
            request_id: self.request_id,
            priority: self.priority,
            remaining: self.remaining(),
            prefix: &self.prefix,
        };
        let chat = self.shared.engines.chat(view.replica.address, call, body);
        let answer = tokio::time::timeout(self.remaining(), chat)
            .await
            .unwrap_or_else(|_| {
                Err(CallError::Lost(
                    "the engine sent no head in time".to_owned(),
                ))
            })
            .and_then(check_status);
        self.pending = None;
        let answer = answer.inspect_err(|error| {
            log::warn!(
                "request: Attempt failed. request={} replica={} error={error:?}",
                self.request_id,
                view.replica.id
            );
        })?;
        if answer.weights_version != self.pool.pool.weights_version {
            log::debug!(
                "request: Engine serves an unexpected weights version. request={} replica={} weights_version={}",
                self.request_id,
                view.replica.id,
                answer.weights_version
            );
        }
        self.record.set_incarnation(answer.incarnation);
        if let Some(warm_tokens) = answer.warm_tokens {
            self.record.set_cached_tokens(warm_tokens);
        }
        let target = Target {
            index,
            replica: Arc::clone(&view.replica),
            incarnation: answer.incarnation,
        };
        self.in_flight = Some(in_flight);
        Ok((target, answer))
    }

    /// Resumes the stream on the engine that produced it; `None` if that fails or the engine has restarted.
    pub(crate) async fn resume(&mut self, target: &Target, sequence: u64) -> Option<ChatResponse> {
        self.record
            .start_attempt(&target.replica, AttemptCause::Resume);
        let resumed = self
            .shared
            .engines
            .resume(target.replica.address, self.request_id, sequence);
        let answer = tokio::time::timeout(RESUME_TIMEOUT, resumed).await.ok()?;
        let answer = answer.and_then(check_status).ok()?;
        let is_same_incarnation = answer.incarnation == target.incarnation;
        let is_success = answer.response.status().is_success();
        (is_same_incarnation && is_success).then_some(answer)
    }

    /// Returns the replica that was selected last, in the state in which it was selected.
    pub(crate) const fn selected(&self) -> Option<InstanceTag> {
        self.selector.selected()
    }

    /// Keeps the stream from `target`, which was `selected`, after other attempts beside it; these are abandoned.
    pub(crate) fn keep(&mut self, target: &Target, selected: Option<InstanceTag>) {
        if let Some(replica) = self.pending.take() {
            self.cancel(replica);
        }
        self.selector.keep(selected);
        self.record
            .start_attempt(&target.replica, AttemptCause::Resume);
        self.record.set_incarnation(target.incarnation);
    }

    /// Cancels the request on its engine without waiting for the confirmation.
    pub(crate) fn cancel(&self, replica: Arc<Replica>) {
        let engines = self.shared.engines.clone();
        let request_id = self.request_id;
        tokio::spawn(async move { engines.cancel(replica.address, request_id).await });
    }

    /// Returns the id of the caller's event at `position`, with which any router can resume the stream.
    pub(crate) fn event_id(&self, target: &Target, sequence: u64, position: u64) -> String {
        let id = EventId {
            replica: Arc::clone(&target.replica.id),
            incarnation: target.incarnation,
            stream: self.request_id,
            sequence,
            position,
        };
        id.encode(&self.account, &self.shared.event_id_keys[0])
    }

    /// Resumes the stream that `id` identifies, for a caller that first received it through another router.
    pub(crate) async fn resume_from_event(
        &mut self,
        id: &EventId,
    ) -> Option<(Target, ChatResponse)> {
        let mut views = self.pool.replicas.iter();
        let index = views.position(|view| view.replica.id == id.replica)?;
        let view = &self.pool.replicas[index];
        let target = Target {
            index,
            replica: Arc::clone(&view.replica),
            incarnation: id.incarnation,
        };
        let in_flight = InFlightGuard::new(&view.in_flight);
        let answer = self.resume(&target, id.sequence).await?;
        self.record.set_incarnation(answer.incarnation);
        self.in_flight = Some(in_flight);
        Some((target, answer))
    }

    /// Records that a token is sent to the caller.
    pub(crate) fn record_token(&mut self) {
        if !self.has_first_token {
            self.has_first_token = true;
            self.selector.record_answer(None);
        }
        self.admitted.count_token();
        self.record.record_token();
    }

    /// Records that a complete response is sent to the caller.
    pub(crate) fn record_response(&mut self, status: u16) {
        self.in_flight = None;
        self.selector.record_finished();
        self.record.record_token();
        self.record.record_complete(status);
    }

    /// Records that the caller gets `response` instead of the answer or the rest of it.
    pub(crate) fn record_failure(&mut self, response: &ErrorResponse) {
        self.in_flight = None;
        self.selector.record_finished();
        self.record.record_error(response);
    }

    /// Records why the stream from the current replica was interrupted.
    pub(crate) fn record_interruption(&mut self, reason: &str) {
        self.record.end_attempt(reason);
    }

    /// Records the number of cached prompt tokens from the usage in an engine's last chunk.
    pub(crate) fn record_usage(&mut self, data: &str) {
        if !data.contains("cached_tokens") {
            return;
        }
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            return;
        };
        let cached = &chunk["usage"]["prompt_tokens_details"]["cached_tokens"];
        if let Some(tokens) = cached.as_u64().and_then(|count| u32::try_from(count).ok()) {
            self.record.set_cached_tokens(tokens);
            self.selector.record_answer(Some(tokens));
        }
        log::debug!(
            "request: Engine reported token usage. request={} cached_tokens={cached}",
            self.request_id
        );
    }

    /// Records that the stream ended with its terminal event.
    pub(crate) fn record_stream_end(&mut self) {
        self.in_flight = None;
        self.selector.record_finished();
        self.record.record_complete(StatusCode::OK.as_u16());
        log::debug!("request: Ended. request={}", self.request_id);
    }

    /// Returns the time left until the deadline of the complete response.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

fn check_status(answer: ChatResponse) -> Result<ChatResponse, CallError> {
    let status = answer.response.status();
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        return Err(CallError::Lost(format!("the engine answered {status}")));
    }
    Ok(answer)
}

fn merge_run_state(ran: RunState, error: &CallError) -> RunState {
    match error {
        CallError::NotConnected(_) => ran,
        CallError::Lost(_) => RunState::Unknown,
    }
}

/// Returns the kind of failure by which a retry is decided.
pub(crate) const fn attempt_failure(error: &CallError) -> AttemptFailure {
    match error {
        CallError::NotConnected(_) => AttemptFailure::ConnectFailed,
        CallError::Lost(_) => AttemptFailure::AnswerLost,
    }
}

fn shed(ran: RunState, expected_ttft: Duration) -> ErrorResponse {
    ErrorResponse {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "overloaded",
        message: format!(
            "the first token is expected after {} ms, past the service's deadline",
            expected_ttft.as_millis()
        ),
        param: None,
        ran,
        retry_after: Some(expected_ttft.clamp(RETRY_AFTER, MAX_RETRY_AFTER)),
    }
}

fn no_replica(ran: RunState) -> ErrorResponse {
    ErrorResponse {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "no_replica",
        message: "no replica of the service could take the request".to_owned(),
        param: None,
        ran,
        retry_after: Some(RETRY_AFTER),
    }
}
