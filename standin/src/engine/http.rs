//! The fake engine's HTTP interface.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crocuswharf::{
    CacheEvents, EngineOrder, HEADER_INCARNATION, HEADER_OPENING, HEADER_PRIORITY,
    HEADER_REQUEST_ID, HEADER_WARM_TOKENS, HEADER_WEIGHTS_VERSION,
};
use futures_util::stream::{Stream, unfold};
use salvo::http::{HeaderValue, StatusCode};
use salvo::sse::SseEvent;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Request, Response, Router, async_trait};
use serde_json::json;
use tokio::time::Instant;

use super::answer::{Prompt, usage};
use super::cache::PromptPiece;
use super::stream::AnswerLog;
use super::{Engine, cut_pieces};

/// The largest request body, in bytes.
const BODY_LIMIT_BYTES: usize = 64 << 20;
/// How long a reader of cache events waits for news.
const CACHE_EVENTS_WAIT: Duration = Duration::from_millis(500);
/// How often a waiting reader of cache events looks.
const CACHE_EVENTS_POLL: Duration = Duration::from_millis(50);
/// How long after its head an answer breaks off.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// Returns the routes of `engine`.
pub(crate) fn routes(engine: &Engine) -> Router {
    Router::new()
        .push(Router::with_path("v1/chat/completions").post(ChatHandler(engine.clone())))
        .push(Router::with_path("health").get(HealthHandler))
        .push(Router::with_path("load").get(LoadHandler(engine.clone())))
        .push(Router::with_path("cache-events").get(CacheEventsHandler(engine.clone())))
        .push(
            Router::with_path("streams/{id}")
                .get(ResumeHandler(engine.clone()))
                .delete(CancelHandler(engine.clone())),
        )
        .push(Router::with_path("orders").post(OrderHandler(engine.clone())))
}

/// Reads the header that labels a prompt's pieces.
pub(crate) fn parse_opening(header: &str) -> Option<Vec<PromptPiece>> {
    let ends: Option<Vec<(u128, u32)>> = header
        .split(',')
        .map(|piece| {
            let (hash, end) = piece.split_once(':')?;
            Some((u128::from_str_radix(hash, 16).ok()?, end.parse().ok()?))
        })
        .collect();
    Some(cut_pieces(ends?.into_iter()))
}

struct ChatHandler(Engine);
struct HealthHandler;
struct LoadHandler(Engine);
struct CacheEventsHandler(Engine);
struct ResumeHandler(Engine);
struct CancelHandler(Engine);
struct OrderHandler(Engine);

#[async_trait]
impl salvo::Handler for ChatHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Ok(bytes) = request
            .payload_with_max_size(BODY_LIMIT_BYTES)
            .await
            .cloned()
        else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let Some(prompt) = Prompt::parse(&bytes) else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        if self.0.lock().faults.is_busy {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let request_id = header(request, HEADER_REQUEST_ID)
            .unwrap_or("direct")
            .to_owned();
        let priority = header(request, HEADER_PRIORITY)
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let pieces = self.0.pieces(header(request, HEADER_OPENING), &prompt);
        let stream = prompt.stream;
        let max_tokens = prompt.max_tokens;
        let log = self.0.begin(&request_id, prompt, pieces, priority);
        let warm_tokens = log.warm_tokens().await;
        describe(res, &self.0, &request_id);
        set_header(res, HEADER_WARM_TOKENS, &warm_tokens.to_string());
        if stream {
            salvo::sse::stream(res, events(self.0.clone(), log, 0));
            return;
        }
        let faults = self.0.lock().faults.clone();
        if faults.is_mute_after_head {
            res.stream(first_byte_and_cut(None));
            return;
        }
        let count = |count: u32| count.checked_sub(1);
        if faults
            .answers_to_cut
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, count)
            .is_ok()
        {
            res.stream(first_byte_and_cut(Some(CUT_DELAY)));
            return;
        }
        let text = log.whole_text().await;
        res.render(Json(json!({
            "object": "chat.completion",
            "choices": [{
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }],
            "usage": usage(log.prompt_tokens(), warm_tokens, max_tokens),
        })));
    }
}

#[async_trait]
impl salvo::Handler for HealthHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.status_code(StatusCode::OK);
    }
}

#[async_trait]
impl salvo::Handler for LoadHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.render(Json(self.0.load()));
    }
}

#[async_trait]
impl salvo::Handler for CacheEventsHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let after = request.query::<u64>("after").unwrap_or(0);
        let deadline = Instant::now() + CACHE_EVENTS_WAIT;
        loop {
            let (incarnation, events) = {
                let state = self.0.lock();
                (state.incarnation, state.cache.events_after(after))
            };
            if !events.is_empty() || Instant::now() >= deadline {
                res.render(Json(CacheEvents {
                    incarnation,
                    events,
                }));
                return;
            }
            tokio::time::sleep(CACHE_EVENTS_POLL).await;
        }
    }
}

#[async_trait]
impl salvo::Handler for ResumeHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = request.param::<String>("id").unwrap_or_default();
        let after = request.query::<usize>("after").unwrap_or(0);
        let faults = self.0.lock().faults.clone();
        if faults.is_busy {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        if faults.is_mute_to_resumptions {
            std::future::pending::<()>().await;
        }
        let log = self.0.lock().answers.get(&id).cloned();
        let Some(log) = log else {
            res.status_code(StatusCode::NOT_FOUND);
            return;
        };
        describe(res, &self.0, &id);
        salvo::sse::stream(res, events(self.0.clone(), log, after));
    }
}

#[async_trait]
impl salvo::Handler for CancelHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = request.param::<String>("id").unwrap_or_default();
        let log = self.0.lock().answers.remove(&id);
        let status = if log.is_some() {
            StatusCode::NO_CONTENT
        } else {
            StatusCode::NOT_FOUND
        };
        if let Some(log) = log {
            log.cancel();
        }
        res.status_code(status);
    }
}

#[async_trait]
impl salvo::Handler for OrderHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let Ok(order) = request.parse_json::<EngineOrder>().await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let status = if self.0.take_order(order).await {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        res.status_code(status);
    }
}

/// Returns the events of `log` after `sequence`, for one connection.
fn events(
    engine: Engine,
    log: Arc<AnswerLog>,
    sequence: usize,
) -> impl Stream<Item = Result<SseEvent, std::convert::Infallible>> + Send + 'static {
    let opened = Instant::now();
    unfold(sequence, move |sequence| {
        let log = Arc::clone(&log);
        let engine = engine.clone();
        async move {
            let data = log.event_after(sequence).await?;
            let faults = engine.lock().faults.clone();
            let silent_before = faults.silent_streams_before;
            if silent_before.is_some_and(|before| opened < before) {
                std::future::pending::<()>().await;
            }
            if let Some(until) = faults.silent_until {
                tokio::time::sleep_until(until).await;
            }
            let next = sequence + 1;
            Some((
                Ok(SseEvent::default().id(next.to_string()).text(data)),
                next,
            ))
        }
    })
}

/// Returns the first byte of an answer, which breaks off after `delay`, or never ends.
fn first_byte_and_cut(
    delay: Option<Duration>,
) -> impl Stream<Item = std::io::Result<&'static str>> + Send + 'static {
    unfold(true, move |is_first| async move {
        if is_first {
            return Some((Ok("{"), false));
        }
        match delay {
            Some(delay) => tokio::time::sleep(delay).await,
            None => std::future::pending().await,
        }
        Some((Err(std::io::Error::other("cut after the head")), false))
    })
}

fn describe(res: &mut Response, engine: &Engine, request_id: &str) {
    let (incarnation, weights_version) = {
        let state = engine.lock();
        (state.incarnation, state.weights_version)
    };
    set_header(res, HEADER_REQUEST_ID, request_id);
    set_header(res, HEADER_INCARNATION, &incarnation.to_string());
    set_header(res, HEADER_WEIGHTS_VERSION, &weights_version.to_string());
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn set_header(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
}
