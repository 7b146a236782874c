//! Serves callers: connections, bodies, and the way from a request to its answer.
//!
//! hyper is used below salvo here, because the limits on heads and idle connections come with the configuration and hold
//! per connection, and because a leaving router ends each connection after the answer on it (docs/HOUSE_STYLE.md).

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc, watch};

use super::answer::{Answer, AnswerBody, NoError, OwnAnswer};
use super::call::Call;
use super::clock::boot_time;
use super::dialect::{is_hop_by_hop, listed_in_connection};
use super::relay::{PIECES_IN_HAND, relay};
use super::route::CallerLimits;
use super::running::{Running, Started, StartedBody};
use super::shared::{OpenRequest, Shared};
use super::upstream::set_liveness_options;
use crate::error::{Error, ErrorKind};

/// The share of a process's descriptors that callers may take; the rest is for replicas, peers and files.
const CALLER_DESCRIPTORS_SHARE: f64 = 0.6;
/// The pause after a connection could not be accepted, mostly for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The smallest buffer that hyper takes for a head.
const MIN_HEAD_BYTES: usize = 8_192;

/// Serves callers on `listener` until `closing` says that connections shall end.
pub(crate) fn serve(
    runtime: &tokio::runtime::Handle,
    listener: TcpListener,
    shared: Arc<Shared>,
    closing: watch::Receiver<bool>,
) -> Result<(), Error> {
    let listener = {
        let _context = runtime.enter();
        tokio::net::TcpListener::from_std(listener)
            .map_err(|error| Error::new(ErrorKind::Io, format!("listener: {error}")))?
    };
    let descriptors = f64::from(shared.settings.vm.descriptors);
    let most = (descriptors * CALLER_DESCRIPTORS_SHARE) as usize;
    let places = Arc::new(Semaphore::new(most.max(1)));
    runtime.spawn(accept(listener, shared, places, closing));
    Ok(())
}

async fn accept(
    listener: tokio::net::TcpListener,
    shared: Arc<Shared>,
    places: Arc<Semaphore>,
    closing: watch::Receiver<bool>,
) {
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("front: A connection could not be accepted. error={error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let (shared, closing) = (Arc::clone(&shared), closing.clone());
        tokio::spawn(async move {
            let _place = place;
            serve_connection(stream, shared, closing).await;
        });
    }
}

async fn serve_connection(
    stream: TcpStream,
    shared: Arc<Shared>,
    mut closing: watch::Receiver<bool>,
) {
    if let Err(error) = set_liveness_options(&stream) {
        log::debug!("front: A connection went before it was served. error={error}");
        return;
    }
    let limits = limits(&shared);
    let service = service_fn(move |request| {
        let shared = Arc::clone(&shared);
        async move { Ok::<_, NoError>(handle(shared, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // It also ends connections without a request, which may stay for as long as the configuration says.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HEAD_BYTES))
        .auto_date_header(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = wait_for_closing(&mut closing) => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("front: Connection ended. error={error}");
    }
}

async fn wait_for_closing(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|is_closing| *is_closing).await.is_err() {
        // The gateway is being dropped, and its runtime with it.
        std::future::pending().await
    }
}

fn limits(shared: &Shared) -> CallerLimits {
    let snapshot = shared.snapshot.load();
    let table = snapshot.table.as_ref();
    table.map_or_else(CallerLimits::default, |table| table.configuration().limits)
}

async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let open = shared.begin_request();
    let mut answer = match answer_to(&shared, request, open).await {
        Ok(answer) => answer,
        Err(own) => own.into_answer(),
    };
    if shared.is_leaving() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

async fn answer_to(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    open: OpenRequest,
) -> Result<Answer, OwnAnswer> {
    let arrived = boot_time();
    let (head, body) = request.into_parts();
    let snapshot = shared.snapshot.load_full();
    let mut call = match Call::read(shared, &snapshot, head, arrived) {
        Ok(call) => call,
        Err(own) => {
            shared.log_own_answer("-", "-", &own);
            return Err(own);
        }
    };
    call.body = read_body(shared, body, &call).await?;
    let mut running = Running::new(Arc::clone(shared), call);
    let started = match running.next_answer(None).await {
        Ok(started) => started,
        Err(own) => {
            let call = &running.call;
            shared.log_own_answer(call.id_text(), &call.route.name, &own);
            return Err(own);
        }
    };
    Ok(pass_on(running, started, open))
}

/// Reads a request's body whole, so that a replica that answers early and reads on later still gets all of it.
async fn read_body(shared: &Shared, body: Incoming, call: &Call) -> Result<Bytes, OwnAnswer> {
    let limit = limits(shared).body_bytes;
    let reading = tokio::time::timeout(call.remaining(), Limited::new(body, limit).collect());
    match reading.await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(OwnAnswer::denied(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body is larger than the configuration allows",
        )),
        Ok(Err(_)) => Err(OwnAnswer::denied(
            StatusCode::BAD_REQUEST,
            "the body could not be read",
        )),
        Err(_) => Err(OwnAnswer::denied(
            StatusCode::REQUEST_TIMEOUT,
            "the body took too long",
        )),
    }
}

/// Makes the caller's answer of the replica's, which stays as it is but for headers that concern one connection.
fn pass_on(running: Running, started: Started, open: OpenRequest) -> Answer {
    let Started { mut head, body } = started;
    let listed = listed_in_connection(&head.headers);
    let names: Vec<_> = head.headers.keys().cloned().collect();
    for name in names {
        let keeps_length = name == http::header::CONTENT_LENGTH;
        if (is_hop_by_hop(&name) && !keeps_length) || listed.contains(&name) {
            head.headers.remove(&name);
        }
    }
    let body = match body {
        StartedBody::Whole(bytes) => {
            let status = head.status.as_u16();
            let outcome = if head.status.is_success() {
                "complete"
            } else {
                "failed"
            };
            running.shared.log_end(&running, status, outcome);
            AnswerBody::Whole(Some(bytes))
        }
        StartedBody::Flowing(flow) => {
            let (pieces, received) = mpsc::channel(PIECES_IN_HAND);
            tokio::spawn(relay(running, flow, pieces, open));
            AnswerBody::Pieces(received)
        }
    };
    Response::from_parts(head, body)
}
