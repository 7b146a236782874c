//! Relays a streaming response to its caller and resumes it at another replica if that is allowed.
//!
//! A resumable stream is forwarded in complete events, so that it can be resumed after the last one. Other responses
//! are forwarded as they arrive. Once bytes are forwarded, only the release that sent them may go on
//! ([`super::stream_origin`]). A silent stream ([`super::stream_progress`]) is held until another replica has taken it
//! ([`super::attempt`]). If the caller disconnects, the connection to the replica is closed at once, which makes the
//! replica stop generating.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::attempt::AttemptEnd;
use super::clock::boot_time;
use super::dispatch::Dispatch;
use super::exchange::{Peek, ReplicaBody, ReplicaStream, StreamFault};
use super::forwarding::{BodyEnd, BodyFraming, Forwarding};
use super::open_requests::OpenRequestNumber;
use super::request_end::ClosedBy;
use super::response::ChunkSender;
use super::stream_progress::{Lack, SILENCE_LIMIT, StreamProgress, has_fields};

/// The number of chunks buffered for a slow caller; beyond that, the replica's connection is not read.
pub(crate) const RELAY_BUFFER_LEN: usize = 16;
/// How long two replicas may work on a stream, from the head of the second one on.
const FIRST_EVENT_LIMIT: Duration = Duration::from_millis(250);

/// How relaying the response of one replica ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayEnd {
    /// The response is complete.
    Complete,
    /// The connection to the replica broke, or the stream ended before the end of its response.
    Broken,
    /// The replica is silent, and another one may resume the stream.
    Silent,
    /// The weights of the replica became too old before its first event.
    Outdated,
    /// The deadline has passed.
    Late,
    /// The caller has disconnected.
    CallerLeft,
}

/// How an attempt to resume a stream ended.
enum Resumption {
    /// Another replica resumed the stream. `is_held_broken` tells whether the one that was held broke meanwhile.
    Resumed {
        next: Box<ReplicaStream>,
        is_held_broken: bool,
    },
    /// The stream that was held goes on with these events, or ends.
    HeldWentOn(Bytes),
    /// No replica resumed the stream.
    Failed,
    /// The caller has disconnected.
    CallerLeft,
}

impl RelayEnd {
    /// Returns the outcome in logs and metrics.
    const fn outcome(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Broken | Self::Silent => "broken_off",
            Self::Outdated => "outdated",
            Self::Late => "late",
            Self::CallerLeft => "caller_left",
        }
    }

    /// Returns who ended a response that this router gives up.
    const fn given_up_by(self) -> Option<ClosedBy> {
        match self {
            Self::Complete | Self::CallerLeft => None,
            Self::Broken | Self::Silent => Some(ClosedBy::Replica),
            Self::Outdated => Some(ClosedBy::OldWeights),
            Self::Late => Some(ClosedBy::Deadline),
        }
    }
}

/// Relays `stream`, and the streams that resume it, through `chunks` until the end of the open request `number`.
pub(crate) async fn relay(
    mut dispatch: Dispatch,
    mut stream: Box<ReplicaStream>,
    chunks: ChunkSender,
    number: OpenRequestNumber,
) {
    let mut forwarding = Forwarding::of_kind(dispatch.call.route.kind);
    let end = loop {
        dispatch.set_responder(&stream.replica);
        let end = relay_stream(&mut dispatch, &mut stream, &chunks, &mut forwarding).await;
        let is_held = end == RelayEnd::Silent;
        if end == RelayEnd::Broken {
            stream.watch.broken();
        }
        let last_event = match &forwarding {
            Forwarding::CompleteEvents(splitter) => splitter.last_id().cloned(),
            _ => break end,
        };
        // A silent stream is reported only if its resumption is permitted.
        let may_resume = match end {
            RelayEnd::Silent => true,
            RelayEnd::Broken => dispatch.may_resume(AttemptEnd::Broken),
            RelayEnd::Outdated => dispatch.may_resume(AttemptEnd::Outdated),
            RelayEnd::Complete | RelayEnd::Late | RelayEnd::CallerLeft => false,
        };
        if !may_resume {
            break end;
        }
        let held = is_held.then_some(&mut forwarding);
        let resumption = resume(
            &mut dispatch,
            &mut stream,
            held,
            last_event.as_deref(),
            &chunks,
        );
        match resumption.await {
            Resumption::Resumed {
                next,
                is_held_broken,
            } => {
                dispatch.set_unsettled(false);
                if is_held_broken {
                    dispatch
                        .shared
                        .record_outcome(&stream.replica, 1, boot_time());
                    dispatch.set_responder(&stream.replica);
                    stream.watch.broken();
                }
                if let Forwarding::CompleteEvents(splitter) = &mut forwarding {
                    splitter.begin_resumption();
                }
                stream = next;
            }
            Resumption::HeldWentOn(events) => {
                dispatch.held_went_on();
                stream.guard.record_response();
                stream.watch.record_events(forwarding.events());
                stream.received = events;
            }
            Resumption::Failed if is_held => dispatch.held_went_on(),
            Resumption::Failed => break end,
            Resumption::CallerLeft => break RelayEnd::CallerLeft,
        }
    };
    let body_end = BodyEnd {
        framing: stream.framing,
        position: forwarding.position(),
    };
    let shared = &dispatch.shared;
    shared.log_completion(&dispatch, 200, end.outcome(), body_end);
    // The connection sees the end of the chunks afterwards.
    if let Some(closed_by) = end.given_up_by() {
        shared.open_requests.give_up(number, closed_by);
    }
    if end == RelayEnd::Complete {
        stream.release();
        chunks.end().await;
    }
}

/// Resumes a stream after `last_event` at another replica.
///
/// If `held` is set, `stream`, which was forwarded so far as it says, may still go on with an event, and does so unless
/// another replica begins before. A head is no beginning: the replica may fail or fall silent after it.
async fn resume(
    dispatch: &mut Dispatch,
    stream: &mut ReplicaStream,
    mut held: Option<&mut Forwarding>,
    last_event: Option<&str>,
    chunks: &ChunkSender,
) -> Resumption {
    let id = dispatch.call.id.clone();
    let id = id.to_str().unwrap_or("?");
    let mut is_held = held.is_some();
    let mut is_held_broken = false;
    let mut resuming = pin!(begin_resumption(dispatch, last_event, is_held));
    let resumed = loop {
        tokio::select! {
            biased;
            part = next_part(stream, held.as_deref_mut()), if is_held => match part {
                Part::Progress(events) => return Resumption::HeldWentOn(events),
                Part::End => return Resumption::HeldWentOn(Bytes::new()),
                Part::Incomplete => {}
                Part::Fault(fault) => {
                    is_held = false;
                    is_held_broken = fault == StreamFault::Broken;
                }
            },
            resumed = &mut resuming => break resumed,
            () = chunks.closed() => return Resumption::CallerLeft,
        }
    };
    match resumed {
        Ok(beginning) if is_held && !beginning.has_begun => {
            log::info!(
                "request: Stream not resumed. id={id} is_held=true reason=\"no first event\""
            );
            Resumption::Failed
        }
        Ok(Beginning { next, .. }) => {
            log::info!(
                "request: Stream resumed. id={id} replica={} software_version={} before={} after={}",
                next.replica.known.record.id,
                next.replica.known.record.software_version,
                stream.replica.known.record.software_version,
                last_event.unwrap_or("-")
            );
            Resumption::Resumed {
                next,
                is_held_broken,
            }
        }
        Err(reason) => {
            log::info!(
                "request: Stream not resumed. id={id} is_held={is_held} reason=\"{reason}\""
            );
            Resumption::Failed
        }
    }
}

/// What a stream that is held has sent.
enum Part {
    /// Events to forward.
    Progress(Bytes),
    /// Only comments or a part of an event.
    Incomplete,
    /// The end of the response, which the stream has still to return.
    End,
    /// The early end of the response.
    Fault(StreamFault),
}

async fn next_part(stream: &mut ReplicaStream, held: Option<&mut Forwarding>) -> Part {
    let Some(forwarding) = held else {
        return std::future::pending().await;
    };
    match stream.peek().await {
        Peek::Data => {}
        Peek::End => {
            let framing = stream.framing;
            let is_whole = framing != BodyFraming::Connection && forwarding.is_complete(framing);
            return if is_whole {
                Part::End
            } else {
                Part::Fault(StreamFault::Broken)
            };
        }
        Peek::Fault(fault) => return Part::Fault(fault),
    }
    let Some(Ok(frame)) = stream.frame().await else {
        return Part::Fault(StreamFault::Broken);
    };
    match forwarding.push(frame.into_data().unwrap_or_default()) {
        Ok(events) if has_fields(&events) => Part::Progress(events),
        Ok(_) => Part::Incomplete,
        Err(_) => Part::Fault(StreamFault::Broken),
    }
}

/// A stream of another replica that resumes one.
struct Beginning {
    next: Box<ReplicaStream>,
    /// Whether more than its head has arrived.
    has_begun: bool,
}

/// Returns a stream of another replica that goes on after `last_event`.
///
/// If another stream is held, the first bytes are awaited too, but only for a short time, since two replicas work on the
/// stream.
async fn begin_resumption(
    dispatch: &mut Dispatch,
    last_event: Option<&str>,
    is_other_held: bool,
) -> Result<Beginning, Arc<str>> {
    let response = dispatch.next_response(last_event).await;
    let response = response.map_err(|reply| Arc::from(reply.reason))?;
    let status = response.head.status;
    let mut next = match response.body {
        ReplicaBody::Streaming(next) if status.is_success() => next,
        _ => return Err(format!("status {}", status.as_u16()).into()),
    };
    if !is_other_held {
        let has_begun = true;
        return Ok(Beginning { next, has_begun });
    }
    dispatch.set_unsettled(true);
    let first = tokio::time::timeout(FIRST_EVENT_LIMIT, next.peek()).await;
    if let Ok(Peek::Fault(fault)) = first {
        dispatch.set_responder(&next.replica);
        if fault == StreamFault::Broken {
            dispatch
                .shared
                .record_outcome(&next.replica, 1, boot_time());
            next.watch.broken();
        }
        dispatch.record_broken_resumption(fault);
        return Err("the replica's stream ended before its first event".into());
    }
    let has_begun = first.is_ok();
    Ok(Beginning { next, has_begun })
}

async fn relay_stream(
    dispatch: &mut Dispatch,
    stream: &mut ReplicaStream,
    chunks: &ChunkSender,
    forwarding: &mut Forwarding,
) -> RelayEnd {
    let is_resumable = matches!(forwarding, Forwarding::CompleteEvents(_));
    let replica = Arc::clone(&stream.replica);
    // Bytes to forward as they are: of a response that is not resumable, or complete events of one that was held.
    let received = std::mem::take(&mut stream.received);
    let memory = stream.received_memory.take();
    let deadline = dispatch.call.deadline;
    let mut progress = StreamProgress::new(deadline, is_resumable, boot_time());
    if !received.is_empty() {
        dispatch.pass_on_from(&replica);
        let sending = chunks.send_reserved(received, memory);
        match tokio::time::timeout(progress.time_for_caller(boot_time()), sending).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return RelayEnd::CallerLeft,
            Err(_) => return RelayEnd::Late,
        }
    }
    loop {
        let now = boot_time();
        if progress.time_for_caller(now).is_zero() {
            return RelayEnd::Late;
        }
        let frame = tokio::select! {
            frame = tokio::time::timeout(progress.wait(now), stream.frame()) => frame,
            () = chunks.closed() => return RelayEnd::CallerLeft,
        };
        let bytes = match frame {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) => {
                if !forwarding.is_complete(stream.framing) {
                    dispatch.shared.record_outcome(&replica, 1, boot_time());
                    return RelayEnd::Broken;
                }
                stream.watch.complete();
                return RelayEnd::Complete;
            }
            Ok(Some(Err(StreamFault::Outdated))) => return RelayEnd::Outdated,
            Ok(Some(Err(StreamFault::Broken))) => {
                dispatch.shared.record_outcome(&replica, 1, boot_time());
                return RelayEnd::Broken;
            }
            Err(_) => match progress.lack(boot_time()) {
                Lack::Late => return RelayEnd::Late,
                Lack::Silent(since) if dispatch.try_hold(&replica, since, SILENCE_LIMIT) => {
                    return RelayEnd::Silent;
                }
                Lack::Silent(_) | Lack::None => continue,
            },
        };
        let Ok(bytes) = forwarding.push(bytes) else {
            return RelayEnd::Broken;
        };
        stream.watch.record_events(forwarding.events());
        let now = boot_time();
        if progress.record(&bytes, now) {
            stream.guard.record_response();
        }
        if bytes.is_empty() {
            continue;
        }
        dispatch.pass_on_from(&replica);
        let sending = chunks.send(bytes);
        match tokio::time::timeout(progress.time_for_caller(now), sending).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return RelayEnd::CallerLeft,
            Err(_) => return RelayEnd::Late,
        }
    }
}
