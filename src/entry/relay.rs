//! Relays a response stream from an engine to its caller, complete and in order.
//!
//! The relay numbers the events that it sends. If the engine's stream breaks, stays idle for too long or skips a
//! sequence number, it is resumed on a new connection: on the same engine after the last number, otherwise on another
//! replica with the prompt plus the text so far. Duplicate events are dropped. A stream always ends with its terminal
//! event or an error event, never with just a closed connection. See docs/design/requests.md.
//!
//! A silent stream may be a sound one that goes on, so its connection is held until another one has responded. Rejected:
//! closing it first, because the engine may refuse the resumption and the other replicas may be full or silent too.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::stream::{BoxStream, Stream, StreamExt, iter, unfold};
use rand::RngExt;
use salvo::http::StatusCode;
use salvo::sse::SseEvent;

use super::continuation::{continuation_body, has_finish_reason};
use super::dispatch::{Dispatch, Target};
use super::error_response::{ErrorResponse, RunState};
use crate::engine::ChatResponse;
use crate::request::event_id::EventId;

/// The data of the terminal event.
const TERMINAL_DATA: &str = "[DONE]";
/// The delay before a broken stream is tried again after all replicas refused it; it doubles each time.
const RECOVERY_BACKOFF: Duration = Duration::from_millis(100);
/// The maximum number of resumptions of one stream.
const MAX_RESUMPTIONS: u32 = 8;

type EngineEvents = BoxStream<'static, Result<Event, EventStreamError<reqwest::Error>>>;

/// The result of reading the next event; `None` is the end of the stream.
type NextEvent = Option<Result<Event, EventStreamError<reqwest::Error>>>;

/// A response stream that is relayed from an engine to the caller.
pub(crate) struct Relay {
    dispatch: Dispatch,
    target: Target,
    upstream: Option<EngineEvents>,
    /// The engine's sequence number of the last event that was forwarded.
    engine_sequence: u64,
    /// The caller's sequence number of the last event that was forwarded.
    caller_sequence: u64,
    /// The data of the forwarded events, needed to continue the response on another replica.
    sent: Vec<String>,
    /// Whether `sent` holds the response from its start; false if the caller resumed it from another router.
    has_full_text: bool,
    resumptions: u32,
    /// Whether the engine has sent nothing since it resumed the stream.
    is_resumed_in_vain: bool,
    idle_timeout: Duration,
    finished: bool,
}

/// The result of waiting for the engine's next event.
enum Step {
    Send(SseEvent),
    Skip,
    Broken(String),
    Silent,
}

/// A new connection for an interrupted stream.
struct Replacement {
    /// The replica, if it is not the one that served the stream so far.
    new_target: Option<Target>,
    events: EngineEvents,
}

/// What became of a silent stream.
enum SilenceEnd {
    /// It went on or broke.
    Held(NextEvent),
    /// Another connection replaces it.
    Replaced(Replacement),
    /// It is still silent, and nothing replaces it.
    NotReplaced,
}

impl Relay {
    /// Creates the relay of `answer`, the response from `target`.
    pub(crate) fn new(
        dispatch: Dispatch,
        target: Target,
        answer: ChatResponse,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            dispatch,
            target,
            upstream: Some(events(answer)),
            engine_sequence: 0,
            caller_sequence: 0,
            sent: Vec::new(),
            has_full_text: true,
            resumptions: 0,
            is_resumed_in_vain: false,
            idle_timeout,
            finished: false,
        }
    }

    /// Continues after the event `id`, which the caller received through another router.
    pub(crate) fn resume_after(mut self, id: &EventId) -> Self {
        self.engine_sequence = id.sequence;
        self.caller_sequence = id.position;
        self.has_full_text = false;
        self
    }

    /// Returns the events for the caller; dropping the stream before its end cancels the request on the engine.
    pub(crate) fn into_events(
        self,
    ) -> impl Stream<Item = Result<SseEvent, std::convert::Infallible>> + Send + 'static {
        unfold(self, |mut relay| async move {
            let event = relay.next().await?;
            Some((Ok(event), relay))
        })
    }

    async fn next(&mut self) -> Option<SseEvent> {
        while !self.finished {
            match self.step().await {
                Step::Send(event) => return Some(event),
                Step::Skip => {}
                Step::Broken(reason) => {
                    if let Some(error) = self.recover(&reason).await {
                        return Some(error);
                    }
                }
                Step::Silent => {
                    if let Some(event) = self.handle_silence().await {
                        return Some(event);
                    }
                }
            }
        }
        None
    }

    async fn step(&mut self) -> Step {
        let limit = self.silence_limit();
        let Some(upstream) = self.upstream.as_mut() else {
            return Step::Broken("no connection".to_owned());
        };
        match tokio::time::timeout(limit, upstream.next()).await {
            Ok(next) => self.handle_next(next),
            Err(_) => Step::Silent,
        }
    }

    /// Returns how long the engine may be silent before another connection is tried, or before the stream is given up
    /// because no further one may be tried.
    fn silence_limit(&self) -> Duration {
        if self.resumptions < MAX_RESUMPTIONS {
            return self.idle_timeout;
        }
        self.dispatch.remaining().max(self.idle_timeout)
    }

    fn handle_next(&mut self, next: NextEvent) -> Step {
        match next {
            Some(Ok(event)) => self.handle_event(event),
            Some(Err(error)) => Step::Broken(error.to_string()),
            None => Step::Broken("the stream ended before its terminal event".to_owned()),
        }
    }

    fn handle_event(&mut self, event: Event) -> Step {
        let Ok(sequence) = event.id.parse::<u64>() else {
            return Step::Broken(format!("event id {:?} is no number", event.id));
        };
        if sequence <= self.engine_sequence {
            return Step::Skip;
        }
        if sequence != self.engine_sequence + 1 {
            let expected = self.engine_sequence + 1;
            return Step::Broken(format!("event {sequence} came in place of {expected}"));
        }
        self.is_resumed_in_vain = false;
        self.engine_sequence = sequence;
        self.caller_sequence += 1;
        Step::Send(self.forward_event(event))
    }

    fn forward_event(&mut self, event: Event) -> SseEvent {
        let id = self.event_id();
        if event.data == TERMINAL_DATA {
            self.finish();
            self.dispatch.record_stream_end();
        } else {
            self.dispatch.record_token();
            self.dispatch.record_usage(&event.data);
            self.sent.push(event.data.clone());
        }
        SseEvent::default().id(id).text(event.data)
    }

    fn event_id(&self) -> String {
        let (sequence, position) = (self.engine_sequence, self.caller_sequence);
        self.dispatch.event_id(&self.target, sequence, position)
    }

    fn finish(&mut self) {
        assert!(!self.finished, "the stream was finished twice");
        self.finished = true;
        self.upstream = None;
    }

    /// Resumes a broken stream on a new connection; returns the error event if that is not possible.
    async fn recover(&mut self, reason: &str) -> Option<SseEvent> {
        self.dispatch.record_interruption(reason);
        self.upstream = None;
        let mut backoff = RECOVERY_BACKOFF;
        while self.resumptions < MAX_RESUMPTIONS {
            if let Some(replacement) = self.replace(reason).await {
                self.accept(replacement);
                return None;
            }
            // The jitter spreads out the streams of an engine that has crashed.
            let delay = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
            backoff *= 2;
            if self.continuation().is_none() || delay >= self.dispatch.remaining() {
                return Some(self.fail("no replica could continue the answer"));
            }
            tokio::time::sleep(delay).await;
            // A replica that refused the stream may have been full only for a moment.
            self.dispatch.include_all();
        }
        Some(self.fail("the answer broke off too often"))
    }

    /// Holds a silent stream while another connection is tried; returns the event for the caller, if there is one yet.
    async fn handle_silence(&mut self) -> Option<SseEvent> {
        if self.resumptions >= MAX_RESUMPTIONS {
            return Some(self.fail("the answer fell silent"));
        }
        let mut held = self.upstream.take()?;
        let selected = self.dispatch.selected();
        let end = {
            let mut replacing = pin!(self.replace("the stream fell silent"));
            tokio::select! {
                biased;
                next = held.next() => SilenceEnd::Held(next),
                replacement = &mut replacing => match replacement {
                    Some(replacement) => SilenceEnd::Replaced(replacement),
                    None => SilenceEnd::NotReplaced,
                },
            }
        };
        match end {
            SilenceEnd::Held(next) => {
                self.dispatch.keep(&self.target, selected);
                self.upstream = Some(held);
                match self.handle_next(next) {
                    Step::Send(event) => Some(event),
                    Step::Broken(reason) => self.recover(&reason).await,
                    Step::Skip | Step::Silent => None,
                }
            }
            SilenceEnd::Replaced(replacement) => {
                self.accept(replacement);
                None
            }
            SilenceEnd::NotReplaced if self.dispatch.remaining().is_zero() => {
                Some(self.fail("no replica could continue the answer"))
            }
            SilenceEnd::NotReplaced => {
                self.dispatch.keep(&self.target, selected);
                self.upstream = Some(held);
                None
            }
        }
    }

    /// Returns a new connection for the stream: to the engine that produced it, otherwise to another replica.
    async fn replace(&mut self, reason: &str) -> Option<Replacement> {
        log::warn!(
            "request: Resuming stream on a new connection. request={} replica={} after={} reason={reason:?}",
            self.dispatch.request_id(),
            self.target.replica.id,
            self.engine_sequence,
        );
        self.resumptions += 1;
        if !std::mem::take(&mut self.is_resumed_in_vain)
            && let Some(events) = self.resume_at_engine().await
        {
            return Some(Replacement {
                new_target: None,
                events,
            });
        }
        self.continue_on_other_replica().await
    }

    fn accept(&mut self, replacement: Replacement) {
        self.upstream = Some(replacement.events);
        match replacement.new_target {
            Some(target) => {
                self.target = target;
                self.engine_sequence = 0;
            }
            None => self.is_resumed_in_vain = true,
        }
    }

    async fn resume_at_engine(&mut self) -> Option<EngineEvents> {
        let resumed = self.dispatch.resume(&self.target, self.engine_sequence);
        Some(events(resumed.await?))
    }

    /// Returns the request with which another replica continues the response; `None` if none can.
    fn continuation(&self) -> Option<Bytes> {
        if !self.has_full_text {
            return None;
        }
        continuation_body(self.dispatch.body(), &self.sent)
    }

    async fn continue_on_other_replica(&mut self) -> Option<Replacement> {
        if self.sent.last().is_some_and(|data| has_finish_reason(data)) {
            return Some(Replacement {
                new_target: None,
                events: terminal_event(self.engine_sequence + 1),
            });
        }
        let body = self.continuation()?;
        self.dispatch.exclude(&self.target);
        let (target, answer) = self.dispatch.try_send(body).await.ok()?;
        Some(Replacement {
            new_target: Some(target),
            events: events(answer),
        })
    }

    fn fail(&mut self, message: &str) -> SseEvent {
        let response = ErrorResponse {
            status: StatusCode::BAD_GATEWAY,
            code: "answer_broken_off",
            message: message.to_owned(),
            param: None,
            ran: RunState::Completed,
            retry_after: Some(Duration::from_secs(1)),
        };
        self.finish();
        self.dispatch.record_failure(&response);
        SseEvent::default().name("error").text(response.to_json())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.finished {
            self.dispatch.cancel(Arc::clone(&self.target.replica));
        }
    }
}

/// Returns a stream of only the terminal event, for a response whose text is already complete.
fn terminal_event(sequence: u64) -> EngineEvents {
    let event = Event {
        id: sequence.to_string(),
        data: TERMINAL_DATA.to_owned(),
        ..Event::default()
    };
    iter([Ok(event)]).boxed()
}

fn events(answer: ChatResponse) -> EngineEvents {
    answer.response.bytes_stream().eventsource().boxed()
}
