//! Places one chat request on a replica and follows it to its end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use salvo::http::StatusCode;
use serde_json::Value;
use smallvec::SmallVec;

use super::choice::choose;
use super::record::Record;
use super::reply::{Reply, RunState};
use crate::control::{InFlight, OpenRequest, PoolView, Shared};
use crate::engine::{CallError, ChatAnswer, ChatCall};
use crate::explain::AttemptCause;
use crate::id::{AccountId, Incarnation, RequestId};
use crate::pool::Replica;
use crate::prefix::Opening;
use crate::request::event_id::EventId;

/// The replicas that are tried for one request before it is refused.
const MAX_ATTEMPTS: usize = 3;
/// How long an engine may take to find a stream that is resumed.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);
/// The time after which a caller may come back when no replica could take its request.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// One chat request and what has been done with it.
pub(crate) struct Dispatch {
    shared: Arc<Shared>,
    pool: Arc<PoolView>,
    request_id: RequestId,
    account: AccountId,
    priority: u8,
    opening: Opening,
    body: Bytes,
    deadline: Instant,
    excluded: SmallVec<[usize; 4]>,
    in_flight: Option<InFlight>,
    record: Record,
    // Keeps the drain waiting until the last byte is on its way.
    _open: OpenRequest,
}

/// Where a request was placed.
#[derive(Clone, Debug)]
pub(crate) struct Placed {
    /// The replica's place in the pool.
    pub(crate) index: usize,
    /// The replica.
    pub(crate) replica: Arc<Replica>,
    /// The incarnation that answers.
    pub(crate) incarnation: Incarnation,
}

/// What a dispatch needs to know of its request.
pub(crate) struct DispatchRequest {
    /// The request's id.
    pub(crate) request_id: RequestId,
    /// The client account.
    pub(crate) account: AccountId,
    /// The client account's priority.
    pub(crate) priority: u8,
    /// The prompt's opening.
    pub(crate) opening: Opening,
    /// The body as the caller sent it.
    pub(crate) body: Bytes,
    /// When the whole answer must be there.
    pub(crate) deadline: Instant,
    /// Follows the request for operators.
    pub(crate) record: Record,
    /// Counts the request as open.
    pub(crate) open: OpenRequest,
}

impl Dispatch {
    /// Makes the dispatch of `request` to the replicas of `pool`.
    pub(crate) fn new(shared: Arc<Shared>, pool: Arc<PoolView>, request: DispatchRequest) -> Self {
        Self {
            shared,
            pool,
            request_id: request.request_id,
            account: request.account,
            priority: request.priority,
            opening: request.opening,
            body: request.body,
            deadline: request.deadline,
            excluded: SmallVec::new(),
            in_flight: None,
            record: request.record,
            _open: request.open,
        }
    }

    /// Returns the request's id.
    pub(crate) const fn request_id(&self) -> RequestId {
        self.request_id
    }

    /// Returns the body as the caller sent it.
    pub(crate) const fn body(&self) -> &Bytes {
        &self.body
    }

    /// Keeps further attempts away from a replica.
    pub(crate) fn exclude(&mut self, placed: &Placed) {
        self.excluded.push(placed.index);
    }

    /// Chooses replicas until one answers, each on a new connection where the last one failed.
    ///
    /// A chat call is idempotent, so a call that may have reached an engine can be repeated elsewhere.
    pub(crate) async fn place(&mut self, body: Bytes) -> Result<(Placed, ChatAnswer), Reply> {
        let mut ran = RunState::NotRun;
        for _ in 0..MAX_ATTEMPTS {
            let Some(index) = choose(&self.pool, &self.opening, &self.excluded) else {
                break;
            };
            match self.attempt(index, body.clone()).await {
                Ok(placed) => return Ok(placed),
                Err(error) => {
                    ran = worse(ran, &error);
                    self.excluded.push(index);
                }
            }
        }
        let reply = no_replica(ran);
        self.record_failure(&reply);
        Err(reply)
    }

    async fn attempt(
        &mut self,
        index: usize,
        body: Bytes,
    ) -> Result<(Placed, ChatAnswer), CallError> {
        let view = &self.pool.replicas[index];
        let in_flight = InFlight::new(&view.in_flight);
        let cause = self.record.next_cause();
        self.record.begin_attempt(&view.replica, cause);
        let call = ChatCall {
            request_id: self.request_id,
            priority: self.priority,
            remaining: self.remaining(),
            opening: &self.opening,
        };
        let chat = self.shared.engines.chat(view.replica.address, call, body);
        let answer = tokio::time::timeout(self.remaining(), chat)
            .await
            .unwrap_or_else(|_| {
                Err(CallError::Lost(
                    "the engine sent no head in time".to_owned(),
                ))
            })
            .and_then(accept_status)
            .inspect_err(|error| {
                log::warn!(
                    "request: Attempt failed. request={} replica={} error={error:?}",
                    self.request_id,
                    view.replica.id
                );
            })?;
        if answer.weights_version != self.pool.pool.weights_version {
            log::debug!(
                "request: The engine serves other weights than expected. request={} replica={} weights_version={}",
                self.request_id,
                view.replica.id,
                answer.weights_version
            );
        }
        self.record.answered_by(answer.incarnation);
        if let Some(warm_tokens) = answer.warm_tokens {
            self.record.found_warm(warm_tokens);
        }
        let placed = Placed {
            index,
            replica: Arc::clone(&view.replica),
            incarnation: answer.incarnation,
        };
        self.in_flight = Some(in_flight);
        Ok((placed, answer))
    }

    /// Resumes the answer at the engine that had it; `None` where it can't or where the engine has restarted.
    pub(crate) async fn resume(&mut self, placed: &Placed, sequence: u64) -> Option<ChatAnswer> {
        self.record
            .begin_attempt(&placed.replica, AttemptCause::Resume);
        let answer = self
            .shared
            .engines
            .resume(placed.replica.address, self.request_id, sequence)
            .await
            .and_then(accept_status)
            .ok()?;
        let is_same = answer.incarnation == placed.incarnation;
        let is_found = answer.response.status().is_success();
        (is_same && is_found).then_some(answer)
    }

    /// Cancels the answer at its engine without waiting for the confirmation.
    pub(crate) fn cancel(&self, replica: Arc<Replica>) {
        let engines = self.shared.engines.clone();
        let request_id = self.request_id;
        tokio::spawn(async move { engines.cancel(replica.address, request_id).await });
    }

    /// Returns the id of the caller's event at `position`, by which any router can resume the answer.
    pub(crate) fn event_id(&self, placed: &Placed, sequence: u64, position: u64) -> String {
        let id = EventId {
            replica: Arc::clone(&placed.replica.id),
            incarnation: placed.incarnation,
            stream: self.request_id,
            sequence,
            position,
        };
        id.encode(&self.account, &self.shared.event_id_keys[0])
    }

    /// Finds the stream that `id` names, for a caller that resumes it through this router.
    pub(crate) async fn find_stream(&mut self, id: &EventId) -> Option<(Placed, ChatAnswer)> {
        let mut views = self.pool.replicas.iter();
        let index = views.position(|view| view.replica.id == id.replica)?;
        let view = &self.pool.replicas[index];
        let placed = Placed {
            index,
            replica: Arc::clone(&view.replica),
            incarnation: id.incarnation,
        };
        let in_flight = InFlight::new(&view.in_flight);
        let resumed = self.resume(&placed, id.sequence);
        let answer = tokio::time::timeout(RESUME_TIMEOUT, resumed).await.ok()??;
        self.in_flight = Some(in_flight);
        Some((placed, answer))
    }

    /// Notes that a token goes to the caller.
    pub(crate) fn record_token(&mut self) {
        self.record.token();
    }

    /// Notes that a whole answer goes to the caller.
    pub(crate) fn record_whole(&mut self, status: u16) {
        self.in_flight = None;
        self.record.token();
        self.record.complete(status);
    }

    /// Notes that the caller gets `reply` in place of the answer or of its rest.
    pub(crate) fn record_failure(&mut self, reply: &Reply) {
        self.in_flight = None;
        self.record.refused(reply);
    }

    /// Notes why the answer at the present replica broke off.
    pub(crate) fn record_broken(&mut self, reason: &str) {
        self.record.end_attempt(reason);
    }

    /// Learns from the usage in an engine's last chunk.
    pub(crate) fn read_usage(&mut self, data: &str) {
        if !data.contains("cached_tokens") {
            return;
        }
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            return;
        };
        let cached = &chunk["usage"]["prompt_tokens_details"]["cached_tokens"];
        if let Some(tokens) = cached.as_u64().and_then(|count| u32::try_from(count).ok()) {
            self.record.found_warm(tokens);
        }
        log::debug!(
            "request: Engine told its usage. request={} cached_tokens={cached}",
            self.request_id
        );
    }

    /// Notes how the answer ended.
    pub(crate) fn record_end(&mut self) {
        self.in_flight = None;
        self.record.complete(StatusCode::OK.as_u16());
        log::debug!("request: Ended. request={}", self.request_id);
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

fn accept_status(answer: ChatAnswer) -> Result<ChatAnswer, CallError> {
    let status = answer.response.status();
    if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        return Err(CallError::Lost(format!("the engine answered {status}")));
    }
    Ok(answer)
}

fn worse(ran: RunState, error: &CallError) -> RunState {
    match error {
        CallError::NotConnected(_) => ran,
        CallError::Lost(_) => RunState::Unknown,
    }
}

fn no_replica(ran: RunState) -> Reply {
    Reply {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "no_replica",
        message: "no replica of the service could take the request".to_owned(),
        param: None,
        ran,
        retry_after: Some(RETRY_AFTER),
    }
}
