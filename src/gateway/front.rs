//! Serves callers: accepts connections, reads request bodies and returns responses.
//!
//! hyper is used directly instead of salvo because the limits on request heads and idle connections come from the
//! configuration and apply per connection, and because a router that shuts down closes each connection after its
//! current response (docs/HOUSE_STYLE.md).

use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use http::{Method, Request, Response, StatusCode, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio_util::task::TaskTracker;

use super::call::{Call, RETRY_AFTER_LEAVING};
use super::caller_activity::{CallerActivity, CloseStep, QuietReason};
use super::caller_stream::{CallerStream, RequestActivity, SharedActivity};
use super::clock::boot_time;
use super::dispatch::Dispatch;
use super::exchange::{ReplicaBody, ReplicaResponse};
use super::forwarding::BodyEnd;
use super::headers::{connection_header_names, is_hop_by_hop};
use super::memory::{
    BodyCollector, CallMemory, ConnectionMemory, HolderPhase, MemoryAccount, MemoryRefused,
    StoredBody,
};
use super::open_requests::{OpenRequest, OpenRequestNumber};
use super::relay::{RELAY_BUFFER_LEN, relay};
use super::request_end::{ClosedBy, RequestProgress};
use super::response::{CallerResponse, ChunkSender, HeldBytes, LocalReply, NoError, ResponseBody};
use super::route::CallerLimits;
use super::shared::Shared;
use super::upstream::set_keepalive_options;
use crate::error::{Error, ErrorKind};

/// The fraction of the process's file descriptors available to callers; the rest is for replicas, peers and files.
const CALLER_DESCRIPTORS_FRACTION: f64 = 0.6;
/// The delay after a failed accept, which is mostly caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How often connections are evicted while there is no place for another one.
const EVICTION_INTERVAL: Duration = Duration::from_millis(250);
/// The minimum size of a connection's buffer, which limits heads for as long as the connection lasts. It leaves room for
/// a limit that is raised meanwhile.
const MIN_BUFFER_BYTES: usize = 64 << 10;
/// The minimum time between two checks whether a connection is quiet.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The response that a connection ends with while it awaits a request. A caller whose request crosses the close learns
/// that it has not run ([RFC 9110, section 15.5.9](https://www.rfc-editor.org/rfc/rfc9110#section-15.5.9)); others expect
/// no response and drop it.
const REFUSAL_AT_CLOSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// When a caller may retry whose body came too slowly while others needed its memory.
const RETRY_AFTER_EVICTION: Duration = Duration::from_millis(500);
/// How long the rest of a request is read after the response is known.
const DISCARD_LIMIT: Duration = Duration::from_millis(250);

/// The listener for callers, with what a shutdown needs.
#[derive(Debug)]
pub(crate) struct CallerListener {
    pub(crate) listener: TcpListener,
    /// Tracks the tasks that serve connections.
    pub(crate) connections: TaskTracker,
    /// Becomes true when each connection closes after its current response, and a new one after its first.
    pub(crate) closing: watch::Receiver<bool>,
}

/// Serves callers until the router closes.
pub(crate) fn serve(
    runtime: &tokio::runtime::Handle,
    callers: CallerListener,
    shared: Arc<Shared>,
) -> Result<(), Error> {
    let listener = {
        let _context = runtime.enter();
        tokio::net::TcpListener::from_std(callers.listener)
            .map_err(|error| Error::new(ErrorKind::Io, format!("listener: {error}")))?
    };
    let descriptors = f64::from(shared.settings.vm.descriptors);
    let max_connections = (descriptors * CALLER_DESCRIPTORS_FRACTION) as usize;
    let permits = Arc::new(Semaphore::new(max_connections.max(1)));
    let connections = callers.connections;
    // Tracked, so that the process does not exit before the connections that have arrived are served.
    connections.spawn_on(
        accept(
            listener,
            shared,
            permits,
            connections.clone(),
            callers.closing,
        ),
        runtime,
    );
    Ok(())
}

async fn accept(
    listener: tokio::net::TcpListener,
    shared: Arc<Shared>,
    permits: Arc<Semaphore>,
    connections: TaskTracker,
    closing: watch::Receiver<bool>,
) {
    let mut is_closing = closing.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            () = wait_for_closing(&mut is_closing) => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("front: Failed to accept a connection. error={error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let permit = tokio::select! {
            permit = acquire_place(&permits, &shared.memory) => Some(permit),
            // Before the exit, connections are served even if all places are in use.
            () = wait_for_closing(&mut is_closing) => None,
        };
        let Ok(memory) = shared.memory.open() else {
            // All connections have requests in progress, and their memory is used up.
            continue;
        };
        let (shared, closing) = (Arc::clone(&shared), closing.clone());
        connections.spawn(async move {
            let _permit = permit;
            serve_connection(stream, shared, closing, memory).await;
        });
    }
    // The kernel has accepted connections that would be reset with their requests at the exit.
    for stream in accept_rest(listener) {
        let Ok(memory) = shared.memory.open() else {
            continue;
        };
        let (shared, closing) = (Arc::clone(&shared), closing.clone());
        connections.spawn(serve_connection(stream, shared, closing, memory));
    }
}

/// Takes the connections that wait to be accepted, and closes the listener, so that later callers learn at once that
/// nothing of their requests was sent.
fn accept_rest(listener: tokio::net::TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    // The listener does not block, so the last call fails.
    if let Ok(listener) = listener.into_std() {
        while let Ok((stream, _)) = listener.accept() {
            streams.push(stream);
        }
    }
    let streams = streams.into_iter();
    streams
        .filter_map(|stream| {
            stream.set_nonblocking(true).ok()?;
            TcpStream::from_std(stream).ok()
        })
        .collect()
}

/// Returns a place for a connection; while there is none, connections without a request are evicted.
async fn acquire_place(permits: &Arc<Semaphore>, memory: &MemoryAccount) -> OwnedSemaphorePermit {
    loop {
        if permits.available_permits() == 0 {
            memory.evict_some();
        }
        let acquiring = Arc::clone(permits).acquire_owned();
        if let Ok(Ok(permit)) = tokio::time::timeout(EVICTION_INTERVAL, acquiring).await {
            return permit;
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    shared: Arc<Shared>,
    mut closing: watch::Receiver<bool>,
    memory: ConnectionMemory,
) {
    if let Err(error) = set_keepalive_options(&stream) {
        log::debug!("front: A connection closed before it was served. error={error}");
        return;
    }
    let limits = shared.caller_limits();
    let activity = SharedActivity::new(CallerActivity::new(boot_time(), limits), memory.clone());
    let stream = CallerStream::new(stream, activity.clone());
    let (handling, handling_activity) = (Arc::clone(&shared), activity.clone());
    let service = service_fn(move |request| {
        let request_activity = RequestActivity::begin(&handling, &handling_activity);
        async move { Ok::<_, NoError>(handle(request, request_activity).await) }
    });
    // Dropped after the connection, with all that it has read.
    let _end = ConnectionEnd {
        shared: Arc::clone(&shared),
        activity: activity.clone(),
    };
    // A connection that is closed before its first response loses a request that is on its way.
    let is_closing = *closing.borrow_and_update();
    let mut connection = http1::Builder::new()
        .keep_alive(!is_closing)
        .header_read_timeout(None)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut is_stopping = false;
    let (mut is_dropped, mut is_evicted) = (false, false);
    let reason = loop {
        let reason = tokio::select! {
            // Bytes that have arrived count before a time that has passed.
            biased;
            result = &mut connection => return log_end(result, &activity),
            () = wait_for_closing(&mut closing), if !is_closing && !is_stopping => None,
            () = tokio::time::sleep(MIN_CHECK_INTERVAL), if is_stopping => None,
            () = wait_for_eviction(&memory, &mut is_evicted) => Some(QuietReason::Evicted),
            reason = wait_until_quiet(&activity, &shared) => Some(reason),
        };
        is_stopping |= reason.is_none();
        if activity.has_shutdown_begun() {
            return log_end(connection.await, &activity);
        }
        match activity.lock().close(reason) {
            CloseStep::Drop => {
                is_dropped = true;
                break reason;
            }
            CloseStep::Wait => continue,
            CloseStep::Refuse => {}
        }
        // A request may have arrived that the runtime has not reported yet.
        activity.force_read();
        tokio::select! {
            biased;
            result = &mut connection => return log_end(result, &activity),
            () = std::future::ready(()) => {}
        }
        let is_refused = activity.lock().close(reason) == CloseStep::Refuse;
        if is_refused && !activity.forced_read_got_bytes() {
            break reason;
        }
    };
    if let Some(reason) = reason {
        activity.close(limit_of(reason));
        log::debug!(
            "front: A quiet connection is closed. reason={reason:?} configuration_version={}",
            shared.configuration_version()
        );
    }
    if !is_dropped {
        refuse_and_close(connection.into_parts().io.into_inner()).await;
    }
}

/// Waits until a connection has to give its memory up, and again each time that it has to be checked whether it can.
async fn wait_for_eviction(memory: &ConnectionMemory, is_evicted: &mut bool) {
    if *is_evicted {
        tokio::time::sleep(MIN_CHECK_INTERVAL).await;
    }
    memory.evicted().await;
    *is_evicted = true;
}

/// Closes a connection that awaits a request, with a response for one that may be on its way.
async fn refuse_and_close(stream: CallerStream) {
    if let Err(error) = stream.end_with(REFUSAL_AT_CLOSE).await {
        log::debug!("front: The caller closed a connection first. error={error}");
    }
}

/// Logs the error of a connection; its activity knows more where the caller ended it.
fn log_end(result: Result<(), hyper::Error>, activity: &SharedActivity) {
    if let Err(error) = result {
        if error.is_parse() {
            activity.close(ClosedBy::InvalidRequest);
        }
        log::debug!("front: Connection ended. error={error}");
    }
}

const fn limit_of(reason: QuietReason) -> ClosedBy {
    match reason {
        QuietReason::Idle => ClosedBy::IdleLimit,
        QuietReason::SlowHead => ClosedBy::HeadLimit,
        QuietReason::Stalled => ClosedBy::StallLimit,
        QuietReason::Evicted => ClosedBy::MemoryLimit,
    }
}

/// Logs what a connection has read and not handled, when it is dropped.
struct ConnectionEnd {
    shared: Arc<Shared>,
    activity: SharedActivity,
}

impl Drop for ConnectionEnd {
    fn drop(&mut self) {
        self.shared.log_connection_end(&self.activity);
    }
}

/// Waits until a connection was quiet for longer than the configuration in force allows.
async fn wait_until_quiet(activity: &SharedActivity, shared: &Shared) -> QuietReason {
    loop {
        let limits = shared.caller_limits();
        let now = boot_time();
        let expiry = activity.lock().expiry(limits);
        let check_at = match expiry {
            Some((at, reason)) if at <= now => return reason,
            Some((at, _)) => at,
            None => now + limits.idle_timeout,
        };
        // The next phase of the connection may have a shorter limit.
        let next_check = (check_at - now).min(limits.header_timeout);
        tokio::time::sleep(next_check.max(MIN_CHECK_INTERVAL)).await;
    }
}

async fn wait_for_closing(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|is_closing| *is_closing).await.is_err() {
        // The gateway and its runtime are being dropped.
        std::future::pending().await
    }
}

async fn handle(request: Request<Incoming>, activity: RequestActivity) -> CallerResponse {
    let shared = Arc::clone(activity.shared());
    let mut open = OpenRequest::begin(activity);
    let (head, body) = request.into_parts();
    let is_head = head.method == Method::HEAD;
    let mut body = CallerBody::new(body);
    let mut response = match respond(&shared, head, &mut body, &mut open).await {
        Ok(response) => response,
        Err(reply) => reply.into_response(),
    };
    open.response_began(sent_length(&response, is_head), body.is_complete);
    response.body_mut().keep_open(open);
    // What is left of a body must not be taken for the next request.
    if shared.is_leaving() || !body.is_complete {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn respond(
    shared: &Arc<Shared>,
    head: request::Parts,
    body: &mut CallerBody,
    open: &mut OpenRequest,
) -> Result<CallerResponse, LocalReply> {
    let arrived_at = boot_time();
    if shared.refuses_requests() {
        let reply = LocalReply::not_run("the router is shutting down", RETRY_AFTER_LEAVING);
        shared.log_local_reply("-", "-", &reply);
        body.discard(shared.caller_limits(), open).await;
        return Err(reply);
    }
    if head_len(&head) > shared.caller_limits().header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        let reply = LocalReply::denied(status, "the head is larger than the configuration allows");
        shared.log_local_reply("-", "-", &reply);
        body.discard(shared.caller_limits(), open).await;
        return Err(reply);
    }
    let snapshot = shared.snapshot.load_full();
    let mut call = match Call::from_head(shared, &snapshot, head, arrived_at) {
        Ok(call) => call,
        Err(reply) => {
            shared.log_local_reply("-", "-", &reply);
            body.discard(shared.caller_limits(), open).await;
            return Err(reply);
        }
    };
    open.set_id(call.id_text());
    let read = tokio::select! {
        result = body.read(shared.caller_limits(), call.remaining(), open) => result,
        () = shared.wait_until_closing() => {
            let reason = "the router is shutting down";
            Err(LocalReply::not_run(reason, RETRY_AFTER_LEAVING))
        }
    };
    call.body = match read {
        Ok(bytes) => bytes,
        Err(reply) => {
            // The end of the request tells that nobody reads the reply.
            if !open.is_left() {
                shared.log_local_reply(call.id_text(), &call.route.name, &reply);
            }
            return Err(reply);
        }
    };
    open.progress().body_completed();
    open.memory().set_phase(HolderPhase::Waiting);
    match CallMemory::reserve(open.memory()).await {
        Ok(memory) => call.memory = Some(memory),
        Err(refused) => {
            let reply = no_memory(refused);
            shared.log_local_reply(call.id_text(), &call.route.name, &reply);
            return Err(reply);
        }
    }
    if let Err(reply) = call.resolve_take_up(shared).await {
        shared.log_local_reply(call.id_text(), &call.route.name, &reply);
        return Err(reply);
    }
    let mut dispatch = Dispatch::new(Arc::clone(shared), call);
    let waiting = WaitingRequest {
        dispatch: &mut dispatch,
        open,
    };
    let result = tokio::select! {
        result = waiting.dispatch.next_response(None) => Some(result),
        () = shared.wait_until_closing() => None,
    };
    drop(waiting);
    let result = result.unwrap_or_else(|| Err(dispatch.closing_reply()));
    let response = match result {
        Ok(response) => response,
        Err(reply) => {
            let call = &dispatch.call;
            shared.log_local_reply(call.id_text(), &call.route.name, &reply);
            return Err(reply);
        }
    };
    open.set_responding();
    let memory = open.memory().clone();
    Ok(forward_response(dispatch, response, open.number(), memory))
}

/// Records the replica of the last attempt when the wait for a response ends, also if the caller ends it.
struct WaitingRequest<'a> {
    dispatch: &'a mut Dispatch,
    open: &'a OpenRequest,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.open.set_replica(self.dispatch.last_attempt().0);
    }
}

/// Returns how many bytes of the body are sent; `None` if its end is marked otherwise.
fn sent_length(response: &CallerResponse, is_head: bool) -> Option<u64> {
    let status = response.status();
    if is_head || status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED {
        return Some(0);
    }
    let stated = || {
        let length = response.headers().get(CONTENT_LENGTH)?;
        length.to_str().ok()?.parse().ok()
    };
    response.body().size_hint().exact().or_else(stated)
}

/// Returns the length of a request's head as the caller sent it, but for optional white space.
fn head_len(head: &request::Parts) -> usize {
    let target = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let line = head.method.as_str().len() + target + "  HTTP/1.1\r\n".len();
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line + headers.sum::<usize>() + "\r\n".len()
}

const BODY_TOO_LARGE: LocalReply = LocalReply::denied(
    StatusCode::PAYLOAD_TOO_LARGE,
    "the body is larger than the configuration allows",
);
const BODY_UNREADABLE: LocalReply =
    LocalReply::denied(StatusCode::BAD_REQUEST, "the body could not be read");
const BODY_LATE: LocalReply =
    LocalReply::denied(StatusCode::REQUEST_TIMEOUT, "the body took too long");

/// The body of a caller's request.
struct CallerBody {
    incoming: Incoming,
    /// Whether it was read to its end.
    is_complete: bool,
}

impl CallerBody {
    fn new(incoming: Incoming) -> Self {
        let is_complete = incoming.is_end_stream();
        Self {
            incoming,
            is_complete,
        }
    }

    /// Reads the rest of a request that is answered without it, so that its connection can be kept.
    async fn discard(&mut self, limits: CallerLimits, open: &mut OpenRequest) {
        let recorded = RecordedBody {
            incoming: &mut self.incoming,
            progress: open.progress(),
        };
        let mut limited = Limited::new(recorded, limits.body_bytes);
        let read_all = async {
            loop {
                match limited.frame().await {
                    Some(Ok(_)) => {}
                    Some(Err(_)) => return false,
                    None => return true,
                }
            }
        };
        match tokio::time::timeout(DISCARD_LIMIT, read_all).await {
            Ok(true) => self.is_complete = true,
            Ok(false) | Err(_) => {
                log::info!(
                    "front: A rejected request was not read to its end. bytes_read={}",
                    open.progress().bytes_read()
                );
            }
        }
    }

    /// Reads the whole body of a request, so that a replica that responds early and reads on afterwards still receives
    /// all of it, and none has to hold a part of it.
    ///
    /// Its memory is reserved as it arrives ([`super::memory`]).
    async fn read(
        &mut self,
        limits: CallerLimits,
        time: Duration,
        open: &mut OpenRequest,
    ) -> Result<StoredBody, LocalReply> {
        let expected = self.incoming.size_hint().lower();
        if expected > limits.body_bytes as u64 {
            return Err(BODY_TOO_LARGE);
        }
        let memory = open.memory().clone();
        let mut collector = BodyCollector::new(memory.clone(), expected as usize);
        let recorded = RecordedBody {
            incoming: &mut self.incoming,
            progress: open.progress(),
        };
        let mut limited = Limited::new(recorded, limits.body_bytes);
        let reading = async {
            while let Some(frame) = limited.frame().await {
                let frame = frame.map_err(|error| match error.is::<LengthLimitError>() {
                    true => BODY_TOO_LARGE,
                    false => BODY_UNREADABLE,
                })?;
                let bytes = frame.into_data().unwrap_or_default();
                collector.push(&bytes).await.map_err(no_memory)?;
            }
            Ok(())
        };
        let read = tokio::select! {
            read = tokio::time::timeout(time, reading) => read,
            () = memory.evicted() => Ok(Err(LocalReply::not_run(
                "the body is late, and its memory is needed",
                RETRY_AFTER_EVICTION,
            ))),
        };
        read.unwrap_or(Err(BODY_LATE))?;
        self.is_complete = true;
        Ok(collector.finish())
    }
}

/// Returns the response to a request for which there is no memory.
const fn no_memory(refused: MemoryRefused) -> LocalReply {
    LocalReply::not_run("there is no memory for the request", refused.retry_after)
}

/// Records how much of a body was read.
struct RecordedBody<'a> {
    incoming: &'a mut Incoming,
    progress: &'a mut RequestProgress,
}

impl Body for RecordedBody<'_> {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let this = self.get_mut();
        let frame = ready!(Pin::new(&mut *this.incoming).poll_frame(context));
        if let Some(Ok(frame)) = &frame
            && let Some(bytes) = frame.data_ref()
        {
            this.progress.read(bytes.len());
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Builds the caller's response from the replica's, unchanged except for hop-by-hop headers, for the open request
/// `number`.
fn forward_response(
    dispatch: Dispatch,
    response: ReplicaResponse,
    number: OpenRequestNumber,
    memory: ConnectionMemory,
) -> CallerResponse {
    let ReplicaResponse { mut head, body, .. } = response;
    let per_connection = connection_header_names(&head.headers);
    let names: Vec<_> = head.headers.keys().cloned().collect();
    for name in names {
        let keeps_length = name == http::header::CONTENT_LENGTH;
        if (is_hop_by_hop(&name) && !keeps_length) || per_connection.contains(&name) {
            head.headers.remove(&name);
        }
    }
    let body = match body {
        ReplicaBody::Full { bytes, framing } => {
            let status = head.status.as_u16();
            let outcome = if head.status.is_success() {
                "complete"
            } else {
                "failed"
            };
            let body_end = BodyEnd {
                framing,
                position: None,
            };
            dispatch
                .shared
                .log_completion(&dispatch, status, outcome, body_end);
            ResponseBody::held(HeldBytes::counted(bytes, &memory))
        }
        ReplicaBody::Streaming(stream) => {
            let (chunks, received) = ChunkSender::new(RELAY_BUFFER_LEN, memory);
            tokio::spawn(relay(dispatch, stream, chunks, number));
            ResponseBody::stream(received)
        }
    };
    Response::from_parts(head, body)
}
