//! One exchange with a replica: sends a request, validates the head of the response, and buffers the body if it is short.
//!
//! An exchange runs by itself, so that one whose replica is silent can go on beside the next one. What follows from the
//! result is decided in [`super::attempt`].

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{HeaderMap, HeaderName};
use http::{Request, Response, StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};

use super::attempt::AttemptEnd;
use super::attempt_watch::AttemptWatch;
use super::backpressure::Backpressure;
use super::begin_limit::BeginLimit;
use super::call::Call;
use super::clock::boot_time;
use super::forwarding::BodyFraming;
use super::headers::header_text;
use super::memory::{CallMemory, Reservation};
use super::replica_limit::{LimitChange, NamedLimit};
use super::shared::{LoadGuard, Observation, Replica, Shared};
use super::upstream::{ReplicaConnection, RequestBody, SendFailure};
use crate::id::ReplicaId;

/// The maximum size of a response that is buffered until it is complete; a longer one is streamed.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// The maximum size of a refusal that is read in order to reuse its connection.
const MAX_REFUSAL_BYTES: usize = 16 << 10;
/// The highest status that HTTP defines (RFC 9110, section 15); others are no answer.
const MAX_STATUS: u16 = 599;
/// How long the rest of a refusal is read.
const REFUSAL_READ_LIMIT: Duration = Duration::from_millis(20);
/// Why an attempt was withdrawn from old weights.
pub(crate) const OUTDATED: &str =
    "the replica did not begin the request while its weights were new enough";
/// The longest keep-alive timeout of a replica that is used.
pub(crate) const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);

/// The response of a replica.
#[derive(Debug)]
pub(crate) struct ReplicaResponse {
    /// The replica.
    pub(crate) replica: Arc<Replica>,
    /// The head of the response.
    pub(crate) head: response::Parts,
    /// The body of the response.
    pub(crate) body: ReplicaBody,
}

/// The body of a replica's response.
#[derive(Debug)]
pub(crate) enum ReplicaBody {
    /// A complete body.
    Full {
        /// The body.
        bytes: Bytes,
        /// How the replica marked its end.
        framing: BodyFraming,
    },
    /// A body that is still being received.
    Streaming(Box<ReplicaStream>),
}

/// A response that is still being received.
#[derive(Debug)]
pub(crate) struct ReplicaStream {
    /// How the replica marks the end of the body.
    pub(crate) framing: BodyFraming,
    /// The part of the body that was already received.
    pub(crate) received: Bytes,
    /// The memory that is reserved for that part.
    pub(crate) received_memory: Option<Reservation>,
    /// The rest of the body.
    body: Incoming,
    /// The next frame of the body, if it was received and not taken; the inner `None` is the end.
    peeked: Option<Option<Result<Frame<Bytes>, StreamFault>>>,
    /// Until when the replica may begin the request; `None` once it has, or if there is no limit.
    begin_limit: Option<BeginLimit>,
    /// When the request was sent.
    sent_at: Duration,
    call: Arc<Call>,
    /// The connection; it is closed if the response is not read to the end.
    pub(crate) connection: ReplicaConnection,
    /// Counts the request towards the load of the replica.
    pub(crate) guard: LoadGuard,
    /// The replica.
    pub(crate) replica: Arc<Replica>,
    /// Follows the attempt to the end of the response.
    pub(crate) watch: AttemptWatch,
    /// The keep-alive timeout that the replica announced, if any; zero if it closes the connection.
    pub(crate) idle_timeout: Option<Duration>,
}

/// An attempt that ended without a response to forward.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) end: AttemptEnd,
    pub(crate) reason: Arc<str>,
    /// The replica's error response, forwarded if no attempt yields a better one.
    pub(crate) error_response: Option<ReplicaResponse>,
}

impl FailedAttempt {
    pub(crate) fn new(end: AttemptEnd, reason: impl Into<Arc<str>>) -> Self {
        Self {
            end,
            reason: reason.into(),
            error_response: None,
        }
    }
}

/// Why the body of a response ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamFault {
    /// Its connection broke.
    Broken,
    /// The replica's weights became too old before it had begun the request.
    Outdated,
}

/// How a body goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Peek {
    /// More of it has arrived.
    Data,
    /// It has ended.
    End,
    /// It ended early.
    Fault(StreamFault),
}

impl ReplicaStream {
    /// Returns the next frame of the body; `None` at its end.
    pub(crate) async fn frame(&mut self) -> Option<Result<Frame<Bytes>, StreamFault>> {
        match self.peeked.take() {
            Some(frame) => frame,
            None => self.receive_frame().await,
        }
    }

    async fn receive_frame(&mut self) -> Option<Result<Frame<Bytes>, StreamFault>> {
        let frame = self.receive_in_time().await;
        if matches!(frame, Some(Ok(_))) {
            self.connection.record_response();
        }
        frame
    }

    /// Receives a frame, or withdraws the request if the replica may not begin it any more.
    async fn receive_in_time(&mut self) -> Option<Result<Frame<Bytes>, StreamFault>> {
        let Some(limit) = &mut self.begin_limit else {
            let frame = self.body.frame().await?;
            return Some(frame.map_err(|_| StreamFault::Broken));
        };
        let frame = tokio::select! {
            biased;
            frame = self.body.frame() => frame?,
            () = limit.passed() => {
                limit.log_withdrawal(&self.call, &self.replica, self.sent_at);
                self.watch.settle();
                // The stream may be kept for as long as another replica is asked.
                self.connection.close();
                return Some(Err(StreamFault::Outdated));
            }
        };
        let bytes = frame.as_ref().ok().and_then(Frame::data_ref);
        if bytes.is_some_and(|bytes| limit.has_begun(bytes)) {
            self.begin_limit = None;
            self.watch.record_begin();
        }
        Some(frame.map_err(|_| StreamFault::Broken))
    }

    /// Returns the connection to its pool after the body was read to the end.
    pub(crate) fn release(self) {
        self.connection.release(self.idle_timeout);
    }

    /// Waits until the body goes on, without taking its next frame.
    pub(crate) async fn peek(&mut self) -> Peek {
        if self.peeked.is_none() {
            self.peeked = Some(self.receive_frame().await);
        }
        match self.peeked {
            Some(Some(Ok(_))) => Peek::Data,
            Some(Some(Err(fault))) => Peek::Fault(fault),
            Some(None) => Peek::End,
            None => Peek::Fault(StreamFault::Broken),
        }
    }
}

/// An exchange with a replica, before its request is sent.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) call: Arc<Call>,
    pub(crate) replica: Arc<Replica>,
    /// Counts the request towards the load of the replica.
    pub(crate) guard: LoadGuard,
    /// Is set when the head of the response arrives.
    pub(crate) has_head: Arc<AtomicBool>,
    /// The expected time to the first event at the reference speed, in milliseconds, if it tells about the speed.
    pub(crate) expected_ms: Option<f64>,
}

/// An exchange in progress.
pub(crate) type PendingExchange =
    Pin<Box<dyn Future<Output = Result<ReplicaResponse, FailedAttempt>> + Send>>;

impl Exchange {
    /// Sends the request and returns the replica's response, with its body if that is short.
    ///
    /// # Errors
    ///
    /// Returns why there is no response to forward. If a part of the prompt is refused before the head has arrived, the
    /// exchange is withdrawn.
    pub(crate) async fn run(
        mut self,
        mut connection: ReplicaConnection,
        request: Request<RequestBody>,
    ) -> Result<ReplicaResponse, FailedAttempt> {
        let mut watch = AttemptWatch::new(
            Arc::clone(&self.shared),
            Arc::clone(&self.call),
            Arc::clone(&self.replica),
            self.expected_ms,
        );
        let sent_at = boot_time();
        let begin_limit = BeginLimit::of(&self.shared, &self.call, &self.replica);
        let result = tokio::select! {
            biased;
            result = self.receive_head(&mut connection, request) => result,
            () = passed(begin_limit.as_ref()) => {
                if let Some(limit) = &begin_limit {
                    limit.log_withdrawal(&self.call, &self.replica, sent_at);
                }
                Err(FailedAttempt::new(AttemptEnd::Outdated, OUTDATED))
            }
            refusal = self.shared.wait_until_part_refused(&self.call) => Err(FailedAttempt::new(
                AttemptEnd::Withdrawn,
                refusal.reason(),
            )),
        };
        let response = result.inspect_err(|failed| self.record_failure(failed, &mut watch))?;
        watch.record_head();
        self.guard.response_started();
        self.has_head.store(true, Ordering::Relaxed);
        let framing = BodyFraming::of_response(&response);
        let (head, body) = response.into_parts();
        let stream = ReplicaStream {
            framing,
            received: Bytes::new(),
            received_memory: None,
            body,
            peeked: None,
            begin_limit,
            sent_at,
            call: Arc::clone(&self.call),
            connection,
            guard: self.guard,
            replica: Arc::clone(&self.replica),
            watch,
            idle_timeout: keep_alive_timeout(&head.headers),
        };
        let receiver = Receiver {
            shared: self.shared,
            call: self.call,
            sent_at,
        };
        receiver.handle_response(head, stream).await
    }

    async fn receive_head(
        &self,
        connection: &mut ReplicaConnection,
        request: Request<RequestBody>,
    ) -> Result<Response<Incoming>, FailedAttempt> {
        let sending = connection.send(request);
        match tokio::time::timeout(self.call.remaining(), sending).await {
            Ok(result) => result.map_err(failed_send),
            Err(_) => Err(FailedAttempt::new(
                AttemptEnd::TimedOut,
                "no response within the deadline",
            )),
        }
    }

    fn record_failure(&self, failed: &FailedAttempt, watch: &mut AttemptWatch) {
        let is_own = matches!(
            failed.end,
            AttemptEnd::Unsent | AttemptEnd::Withdrawn | AttemptEnd::Outdated
        );
        if !is_own {
            self.shared.record_outcome(&self.replica, 1, boot_time());
        }
        match failed.end {
            AttemptEnd::Unsent | AttemptEnd::Outdated => watch.settle(),
            AttemptEnd::Broken => watch.broken(),
            // The replica may still run the request; the watch is dropped with the attempt.
            _ => {}
        }
    }
}

/// Receives the response to a request.
#[derive(Debug)]
struct Receiver {
    shared: Arc<Shared>,
    call: Arc<Call>,
    /// When the request was sent.
    sent_at: Duration,
}

impl Receiver {
    /// Validates the head of a response and buffers the body if it is short.
    async fn handle_response(
        &self,
        head: response::Parts,
        mut stream: ReplicaStream,
    ) -> Result<ReplicaResponse, FailedAttempt> {
        let header_names = &self.shared.header_names;
        let replica = Arc::clone(&stream.replica);
        self.observe_weights(&head.headers, &replica);
        if head.headers.get(&header_names.request_id) != Some(&self.call.id) {
            stream.watch.settle();
            self.shared.record_outcome(&replica, 1, boot_time());
            return Err(FailedAttempt::new(
                AttemptEnd::Broken,
                "the response belongs to another request",
            ));
        }
        self.observe_backpressure(&head, &replica);
        if head.status == StatusCode::MISDIRECTED_REQUEST
            || head.headers.contains_key(&header_names.not_run)
        {
            stream.watch.settle();
            stream.begin_limit = None;
            return Err(self.handle_refusal(&head, stream).await);
        }
        let is_signed = head.headers.contains_key(&header_names.signature);
        let is_encoded = head.headers.contains_key(http::header::CONTENT_ENCODING);
        if is_encoded
            || head.status.as_u16() > MAX_STATUS
            || (head.status.is_success() && !is_signed)
        {
            stream.watch.settle();
            self.shared.record_outcome(&replica, 1, boot_time());
            return Err(FailedAttempt::new(
                AttemptEnd::Broken,
                "the response is encoded, not signed by the replica or has no valid status",
            ));
        }
        let failures = u32::from(head.status.is_server_error());
        self.shared.record_outcome(&replica, failures, boot_time());
        let is_streamed = self.call.route.kind.is_stream() && head.status.is_success();
        if is_streamed || !is_bufferable(&stream.body) {
            let body = ReplicaBody::Streaming(Box::new(stream));
            return Ok(ReplicaResponse {
                replica,
                head,
                body,
            });
        }
        let framing = stream.framing;
        let reading = read_to_end(stream, MAX_BUFFERED_BYTES, self.call.memory.as_ref());
        let body = tokio::time::timeout(self.call.remaining(), reading).await;
        let response = match body {
            Ok(BufferedBody::Complete(bytes)) => ReplicaResponse {
                replica,
                head,
                body: ReplicaBody::Full { bytes, framing },
            },
            Ok(BufferedBody::TooLong(stream)) if !head.status.is_server_error() => {
                let body = ReplicaBody::Streaming(stream);
                return Ok(ReplicaResponse {
                    replica,
                    head,
                    body,
                });
            }
            Ok(BufferedBody::TooLong(_)) => {
                return Err(FailedAttempt::new(
                    AttemptEnd::Broken,
                    "the replica's error response is too long",
                ));
            }
            Ok(BufferedBody::Fault(StreamFault::Broken)) => {
                return Err(FailedAttempt::new(
                    AttemptEnd::Broken,
                    "the answer broke off",
                ));
            }
            Ok(BufferedBody::Fault(StreamFault::Outdated)) => {
                return Err(FailedAttempt::new(AttemptEnd::Outdated, OUTDATED));
            }
            Err(_) => {
                return Err(FailedAttempt::new(
                    AttemptEnd::TimedOut,
                    "the response took too long",
                ));
            }
        };
        if response.head.status.is_server_error() {
            return Err(FailedAttempt {
                end: AttemptEnd::Failed,
                reason: "the replica returned a server error".into(),
                error_response: Some(response),
            });
        }
        Ok(response)
    }

    /// Handles a response that states that the request has not run on the replica.
    async fn handle_refusal(&self, head: &response::Parts, stream: ReplicaStream) -> FailedAttempt {
        let header_names = &self.shared.header_names;
        let record = &stream.replica.known.record;
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            stream.replica.load.record_refusal();
        } else {
            let named = header_text(&head.headers, &header_names.replica);
            if named.is_some_and(|named| *named != *record.id) {
                self.shared.observe(Observation::AddressReused {
                    replica: Arc::clone(&record.id),
                    born_ms: record.born_ms,
                });
            } else if !head.headers.contains_key(&header_names.weights) {
                self.shared.observe(Observation::OtherWeights {
                    replica: Arc::clone(&record.id),
                });
            }
        }
        let reason = format!("refused with {}", head.status.as_u16());
        // The connection can be reused only if the rest of the refusal is read.
        let reading = read_to_end(stream, MAX_REFUSAL_BYTES, None);
        let body = tokio::time::timeout(REFUSAL_READ_LIMIT, reading).await;
        if !matches!(body, Ok(BufferedBody::Complete(_))) {
            log::debug!(
                "request: The response of a refusal was not read to its end. id={}",
                self.call.id_text()
            );
        }
        FailedAttempt::new(AttemptEnd::Refused, reason)
    }

    /// Stops sending to the replica if its response asks for that, and reports a departure to the control thread.
    fn observe_backpressure(&self, head: &response::Parts, replica: &Replica) {
        // Another replica answers for an address that was assigned again.
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let asked =
            Backpressure::of_response(head.status, &head.headers, &self.shared.header_names);
        let record = &replica.known.record;
        self.observe_limit(head, asked.limit, replica);
        if let Some(time) = asked.retry_after {
            replica.load.record_backoff(time);
            record_signal("retry_after");
            log::debug!(
                "request: The replica asked for a pause. id={} replica={} retry_after_ms={}",
                self.call.id_text(),
                record.id,
                time.as_millis()
            );
        }
        if asked.is_leaving && replica.load.record_leaving() {
            record_signal("leaving");
            log::info!(
                "request: The replica says that it leaves. id={} replica={}",
                self.call.id_text(),
                record.id
            );
            self.shared.observe(Observation::Leaving {
                replica: Arc::clone(&record.id),
                born_ms: record.born_ms,
            });
        }
    }

    /// Records the limit that a response names. Only a response that is the replica's own shows that a limit has ended.
    fn observe_limit(&self, head: &response::Parts, named: NamedLimit, replica: &Replica) {
        let header_names = &self.shared.header_names;
        let is_own = head.headers.contains_key(&header_names.signature)
            || head.headers.contains_key(&header_names.not_run);
        if named == NamedLimit::None && !is_own {
            return;
        }
        if named == NamedLimit::Unreadable {
            record_signal("unreadable_limit");
        }
        if let Some(change) = replica.load.record_limit(named, self.sent_at) {
            record_signal("limit");
            log_limit_change(&replica.known.record.id, change, "response");
        }
    }

    /// Reports to the control thread if a response names newer weights than are known for the replica.
    fn observe_weights(&self, headers: &HeaderMap, replica: &Replica) {
        let Some(prompt) = &self.call.prompt else {
            return;
        };
        let text = header_text(headers, &self.shared.header_names.weights);
        let Some(version) = text.and_then(|text| text.trim().parse::<u64>().ok()) else {
            return;
        };
        let known = replica.known.version_of(&prompt.model);
        if known.is_none_or(|known| known < version) {
            replica.load.record_version(version);
            self.shared.observe(Observation::Weights {
                replica: Arc::clone(&replica.known.record.id),
                born_ms: replica.known.record.born_ms,
                model: Arc::clone(&prompt.model),
                version,
            });
        }
    }
}

/// Logs that the limit of a replica has changed, according to a `source`.
pub(crate) fn log_limit_change(replica: &ReplicaId, change: LimitChange, source: &'static str) {
    match change {
        LimitChange::Named(rate_per_s) => log::info!(
            "health: Replica limited. replica={replica} rate_per_s={rate_per_s:.3} source={source}"
        ),
        LimitChange::Ended => {
            log::info!("health: Replica no longer limited. replica={replica} source={source}");
        }
    }
}

async fn passed(limit: Option<&BeginLimit>) {
    match limit {
        Some(limit) => limit.passed().await,
        None => std::future::pending().await,
    }
}

fn record_signal(signal: &'static str) {
    metrics::counter!("crocuswharf_gateway_replica_signals_total", "signal" => signal).increment(1);
}

pub(crate) fn failed_send(failure: SendFailure) -> FailedAttempt {
    match failure {
        SendFailure::Unsent(reason) => FailedAttempt::new(AttemptEnd::Unsent, reason),
        SendFailure::Full => FailedAttempt::new(
            AttemptEnd::Unsent,
            "all connections to the replica are in use",
        ),
        SendFailure::NoPath => FailedAttempt::new(
            AttemptEnd::Unsent,
            "the links of this router are cut, and no other router could help",
        ),
        SendFailure::Broken(reason) => FailedAttempt::new(AttemptEnd::Broken, reason),
    }
}

/// The result of reading a response up to a limit.
enum BufferedBody {
    /// The complete body; the connection was released.
    Complete(Bytes),
    /// The body is longer than the limit; what was read is kept in the stream.
    TooLong(Box<ReplicaStream>),
    /// The body ended early.
    Fault(StreamFault),
}

/// Reads a response to its end, or until it exceeds `limit` bytes: a faulty replica may send bytes without end. A response
/// for which there is no more of `memory` counts as too long, and is then read only as fast as its caller takes it.
async fn read_to_end(
    mut stream: ReplicaStream,
    limit: usize,
    memory: Option<&CallMemory>,
) -> BufferedBody {
    let mut received = BytesMut::new();
    let mut reservation = memory.map(CallMemory::response);
    loop {
        match stream.frame().await {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    received.extend_from_slice(bytes);
                }
            }
            Some(Err(fault)) => {
                if fault == StreamFault::Broken {
                    stream.watch.broken();
                }
                return BufferedBody::Fault(fault);
            }
            None => {
                stream.watch.complete();
                stream.release();
                return BufferedBody::Complete(received.freeze());
            }
        }
        let has_memory = reservation
            .as_mut()
            .is_none_or(|reservation| reservation.extend_to(received.len()));
        if received.len() > limit || !has_memory {
            stream.received = received.freeze();
            stream.received_memory = reservation;
            return BufferedBody::TooLong(Box::new(stream));
        }
    }
}

fn is_bufferable(body: &Incoming) -> bool {
    use hyper::body::Body;
    body.size_hint()
        .exact()
        .is_none_or(|size| size <= MAX_BUFFERED_BYTES as u64)
}

/// Returns the keep-alive timeout announced by a replica; zero if it closes the connection.
///
/// A replica may announce any number of seconds; times beyond the limit could not be added to a point in time.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let connection = header_text(headers, &http::header::CONNECTION).unwrap_or_default();
    if connection
        .split(',')
        .any(|token| token.trim().eq_ignore_ascii_case("close"))
    {
        return Some(Duration::ZERO);
    }
    let text = header_text(headers, &HeaderName::from_static("keep-alive"))?;
    let seconds = text
        .split(',')
        .find_map(|token| token.trim().strip_prefix("timeout="))?;
    let timeout = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(timeout.min(MAX_KEEP_ALIVE))
}
