//! Relays a streaming response to its caller and resumes it at another replica if that is allowed.
//!
//! A resumable stream is forwarded in complete events, so that it can be resumed after the last one. Other responses
//! are forwarded as they arrive. If the caller disconnects, the connection to the replica is closed at once, which
//! makes the replica stop generating.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use super::clock::boot_time;
use super::dispatch::Dispatch;
use super::exchange::{ReplicaBody, ReplicaStream};
use super::forwarding::{BodyEnd, Forwarding};
use super::response::TruncatedBody;
use crate::request::quarantine::KEPT_EVENTS;

/// The number of chunks buffered for a slow caller; beyond that, the replica's connection is not read.
pub(crate) const RELAY_BUFFER_LEN: usize = 16;
/// How long after the deadline a replica may take to end its response itself.
const DEADLINE_SLACK: Duration = Duration::from_millis(200);
/// How long a resumable stream may be silent before another replica may resume it.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// How relaying the response of one replica ended.
enum RelayEnd {
    /// The response is complete.
    Complete,
    /// The connection to the replica broke, or the stream ended before the end of its response.
    Broken,
    /// The replica was silent for too long, and another one may resume the stream.
    Silent,
    /// The deadline has passed.
    Late,
    /// The caller has disconnected.
    CallerLeft,
}

/// Relays `stream`, and the streams that resume it, through `chunks` until the end.
pub(crate) async fn relay(
    mut dispatch: Dispatch,
    mut stream: Box<ReplicaStream>,
    chunks: mpsc::Sender<Result<Bytes, TruncatedBody>>,
) {
    let kind = dispatch.call.route.kind;
    let mut forwarding = Forwarding::of_kind(kind);
    let mut body_end;
    let end = loop {
        let framing = stream.framing;
        let replica = stream.replica.key;
        let end = relay_stream(&mut dispatch, *stream, &chunks, &mut forwarding).await;
        body_end = BodyEnd {
            framing,
            position: forwarding.position(),
        };
        if matches!(end, RelayEnd::Broken) {
            dispatch.report_broken_stream(replica, forwarding.events());
        }
        let is_silent = matches!(end, RelayEnd::Silent);
        if !is_silent && !matches!(end, RelayEnd::Broken) {
            break end;
        }
        let Forwarding::CompleteEvents(splitter) = &mut forwarding else {
            break end;
        };
        splitter.begin_resumption();
        // The resumption of a silent stream was permitted before the stream was given up.
        if !is_silent && !dispatch.may_resume() {
            break end;
        }
        let last_event = splitter.last_id().map(ToString::to_string);
        let resumed = tokio::select! {
            resumed = dispatch.next_response(last_event.as_deref()) => resumed,
            () = chunks.closed() => break RelayEnd::CallerLeft,
        };
        match resumed.map(|response| (response.head.status, response.body)) {
            Ok((status, ReplicaBody::Streaming(next))) if status.is_success() => {
                log::info!(
                    "request: Stream resumed. id={} replica={} after={}",
                    dispatch.call.id_text(),
                    next.replica.known.record.id,
                    last_event.as_deref().unwrap_or("-")
                );
                stream = next;
            }
            Ok((status, _)) => {
                log::info!(
                    "request: Stream not resumed. id={} reason=\"status {}\"",
                    dispatch.call.id_text(),
                    status.as_u16()
                );
                break end;
            }
            Err(reply) => {
                log::info!(
                    "request: Stream not resumed. id={} reason=\"{}\"",
                    dispatch.call.id_text(),
                    reply.reason
                );
                break end;
            }
        }
    };
    let outcome = match end {
        RelayEnd::Complete => "complete",
        RelayEnd::Broken | RelayEnd::Silent => "broken_off",
        RelayEnd::Late => "late",
        RelayEnd::CallerLeft => "caller_left",
    };
    dispatch
        .shared
        .log_completion(&dispatch, 200, outcome, body_end);
    if matches!(end, RelayEnd::Broken | RelayEnd::Silent | RelayEnd::Late) {
        // The caller may have disconnected in the meantime and then needs no error.
        let _ = chunks.send(Err(TruncatedBody)).await;
    }
}

async fn relay_stream(
    dispatch: &mut Dispatch,
    stream: ReplicaStream,
    chunks: &mpsc::Sender<Result<Bytes, TruncatedBody>>,
    forwarding: &mut Forwarding,
) -> RelayEnd {
    let ReplicaStream {
        received,
        mut body,
        connection,
        guard,
        replica,
        idle_timeout,
        framing,
    } = stream;
    let is_resumable = matches!(forwarding, Forwarding::CompleteEvents(_));
    let _guard = guard;
    // Only responses that are forwarded as they arrive have been received in part.
    if !received.is_empty() && chunks.send(Ok(received)).await.is_err() {
        return RelayEnd::CallerLeft;
    }
    let mut is_kept = false;
    loop {
        let time_left = (dispatch.call.deadline + DEADLINE_SLACK).saturating_sub(boot_time());
        let wait = if is_resumable {
            time_left.min(SILENCE_LIMIT)
        } else {
            time_left
        };
        let frame = tokio::select! {
            frame = tokio::time::timeout(wait, body.frame()) => frame,
            () = chunks.closed() => return RelayEnd::CallerLeft,
        };
        let bytes = match frame {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) => {
                if !forwarding.is_complete(framing) {
                    dispatch.shared.record_outcome(&replica, 1, boot_time());
                    return RelayEnd::Broken;
                }
                connection.release(idle_timeout);
                if !is_kept {
                    dispatch.record_kept();
                }
                return RelayEnd::Complete;
            }
            Ok(Some(Err(_))) => {
                dispatch.shared.record_outcome(&replica, 1, boot_time());
                return RelayEnd::Broken;
            }
            Err(_) if wait == time_left => return RelayEnd::Late,
            // The stream is kept if no other replica may resume it.
            Err(_) if !dispatch.may_leave_silent(&replica, boot_time().saturating_sub(wait)) => {
                continue;
            }
            Err(_) => {
                log::info!(
                    "request: Stream silent. id={} replica={} silent_ms={}",
                    dispatch.call.id_text(),
                    replica.known.record.id,
                    wait.as_millis()
                );
                dispatch.shared.record_outcome(&replica, 1, boot_time());
                return RelayEnd::Silent;
            }
        };
        let Ok(bytes) = forwarding.push(bytes) else {
            return RelayEnd::Broken;
        };
        if !is_kept && forwarding.events() >= KEPT_EVENTS {
            is_kept = true;
            dispatch.record_kept();
        }
        if !bytes.is_empty() && chunks.send(Ok(bytes)).await.is_err() {
            return RelayEnd::CallerLeft;
        }
    }
}
