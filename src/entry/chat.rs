//! The handler of `POST /v1/chat/completions`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use salvo::http::{ParseError, StatusCode};
use salvo::{Depot, FlowCtrl, Request, Response, async_trait};

use super::auth::{admit, authenticate, bad_request, body_too_large, find_service};
use super::chat_body::ChatBody;
use super::dispatch::{Dispatch, DispatchRequest, Target};
use super::error_response::{ErrorResponse, RunState, set_header};
use super::record::RequestRecord;
use super::relay::Relay;
use crate::account::NamedAccount;
use crate::control::{OpenRequest, Shared, Snapshot};
use crate::engine::ChatResponse;
use crate::id::{RequestId, ServiceName};
use crate::prefix::{PrefixScope, PromptPrefix};
use crate::protocol::{HEADER_REPLICA, HEADER_REQUEST_ID, HEADER_WARM_TOKENS};
use crate::request::event_id::EventId;
use crate::service::ServiceKind;

/// The header with the id of the last event that the caller received, as browsers and other SSE clients send it.
const HEADER_LAST_EVENT_ID: &str = "last-event-id";
/// The maximum number of responses of which one that is not streamed is read.
const MAX_RESPONSES: usize = 4;

/// Handles chat completions requests.
pub(crate) struct ChatHandler {
    shared: Arc<Shared>,
}

impl ChatHandler {
    /// Creates the handler.
    pub(crate) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn respond(
        &self,
        request: &mut Request,
        res: &mut Response,
    ) -> Result<(), ErrorResponse> {
        let open_request = self.shared.open_request();
        let snapshot = self.shared.snapshot.load_full();
        let account = authenticate(request, &snapshot)?;
        let last_event_id = self.parse_last_event_id(request, &account)?;
        let stream_id = last_event_id.as_ref().map(|id| id.stream);
        let request_id = stream_id.unwrap_or_else(|| self.shared.new_request_id());
        set_header(res, HEADER_REQUEST_ID, &request_id.to_string());
        let limit_bytes = self.shared.settings.bounds.body_limit_bytes;
        let body = read_body(request, limit_bytes).await?;
        let (mut dispatch, is_streaming) =
            self.prepare(open_request, request_id, &snapshot, &account, &body)?;
        if let Some(id) = last_event_id {
            return self.resume_stream(res, dispatch, &id).await;
        }
        let (target, answer) = dispatch.send(body).await?;
        set_answer_headers(res, &target, &answer);
        if !is_streaming || !answer.response.status().is_success() {
            return write_response(res, dispatch, target, answer).await;
        }
        let idle_timeout = self.shared.settings.times.stream_idle_timeout();
        let relay = Relay::new(dispatch, target, answer, idle_timeout);
        salvo::sse::stream(res, relay.into_events());
        Ok(())
    }

    /// Parses the id of the last event that the caller received; `None` if the request does not resume a stream.
    fn parse_last_event_id(
        &self,
        request: &Request,
        account: &NamedAccount,
    ) -> Result<Option<EventId>, ErrorResponse> {
        let Some(value) = request.headers().get(HEADER_LAST_EVENT_ID) else {
            return Ok(None);
        };
        let text = value.to_str().unwrap_or_default();
        let mut keys = self.shared.event_id_keys.iter();
        let id = keys.find_map(|key| EventId::decode(text, &account.id, key));
        let message = || format!("{HEADER_LAST_EVENT_ID}: {text:?} is no event of this account");
        id.map(Some)
            .ok_or_else(|| bad_request(HEADER_LAST_EVENT_ID, message()))
    }

    /// Resumes a stream after the caller lost its connection to the router that served it.
    async fn resume_stream(
        &self,
        res: &mut Response,
        mut dispatch: Dispatch,
        id: &EventId,
    ) -> Result<(), ErrorResponse> {
        let Some((target, answer)) = dispatch.resume_from_event(id).await else {
            let response = stream_lost();
            dispatch.record_failure(&response);
            return Err(response);
        };
        set_answer_headers(res, &target, &answer);
        let idle_timeout = self.shared.settings.times.stream_idle_timeout();
        let relay = Relay::new(dispatch, target, answer, idle_timeout).resume_after(id);
        salvo::sse::stream(res, relay.into_events());
        Ok(())
    }

    fn prepare(
        &self,
        open_request: OpenRequest,
        request_id: RequestId,
        snapshot: &Snapshot,
        account: &NamedAccount,
        bytes: &Bytes,
    ) -> Result<(Dispatch, bool), ErrorResponse> {
        let body = ChatBody::parse(bytes)
            .map_err(|error| bad_request("body", format!("body: {error}")))?;
        let service = find_service(snapshot, account, &body.model, ServiceKind::Model, "model")?;
        if bytes.len() > service.body_limit_bytes {
            return Err(body_too_large(service.body_limit_bytes));
        }
        let pool = snapshot
            .pools
            .get(&service.pool)
            .ok_or_else(|| unknown_pool(&body.model))?;
        let root = PrefixScope {
            account: &account.id,
            model: &body.model,
            adapter: pool.pool.adapter.as_deref(),
            weights_version: pool.pool.weights_version,
        };
        let prefix = PromptPrefix::from_messages(root, body.roles_and_texts());
        let admitted = admit(&self.shared, account, prefix.prompt_tokens)?;
        let revision = snapshot.configuration.revision;
        let mut record =
            RequestRecord::start(&self.shared, request_id, revision, &body.model, account);
        record.set_prefix(&prefix);
        let request = DispatchRequest {
            request_id,
            admitted,
            service: ServiceName::from(&*body.model),
            service_config: Arc::clone(&service),
            account: Arc::clone(&account.id),
            priority: account.account.priority,
            prefix,
            record,
            body: bytes.clone(),
            deadline: Instant::now() + Duration::from_millis(service.request_timeout_ms),
            preference: snapshot.configuration.preference_of(&service),
            open_request,
        };
        let dispatch = Dispatch::new(Arc::clone(&self.shared), Arc::clone(pool), request);
        Ok((dispatch, body.stream))
    }
}

#[async_trait]
impl salvo::Handler for ChatHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if let Err(response) = self.respond(request, res).await {
            response.render(res);
        }
    }
}

/// Reads the request body; one larger than `limit_bytes` is rejected.
pub(crate) async fn read_body(
    request: &mut Request,
    limit_bytes: usize,
) -> Result<Bytes, ErrorResponse> {
    match request.payload_with_max_size(limit_bytes).await {
        Ok(bytes) => Ok(bytes.clone()),
        Err(ParseError::PayloadTooLarge) => Err(body_too_large(limit_bytes)),
        Err(error) => Err(bad_request("body", format!("body: {error}"))),
    }
}

fn set_answer_headers(res: &mut Response, target: &Target, answer: &ChatResponse) {
    set_header(res, HEADER_REPLICA, &target.replica.id);
    if let Some(warm_tokens) = answer.warm_tokens {
        set_header(res, HEADER_WARM_TOKENS, &warm_tokens.to_string());
    }
}

/// Writes a complete response that is not streamed; if reading it fails, the request is sent to another replica.
async fn write_response(
    res: &mut Response,
    mut dispatch: Dispatch,
    mut target: Target,
    mut answer: ChatResponse,
) -> Result<(), ErrorResponse> {
    for responses in 1.. {
        let status = answer.response.status();
        let reading = tokio::time::timeout(dispatch.remaining(), answer.response.bytes());
        let error = match reading.await {
            Ok(Ok(bytes)) => {
                dispatch.record_response(status.as_u16());
                res.status_code(status);
                set_header(res, "content-type", "application/json");
                res.body(bytes);
                return Ok(());
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "the deadline has passed".to_owned(),
        };
        log::warn!(
            "request: Response broke off. request={} replica={} error={error:?}",
            dispatch.request_id(),
            target.replica.id
        );
        if responses == MAX_RESPONSES || dispatch.remaining().is_zero() {
            break;
        }
        dispatch.exclude(&target);
        (target, answer) = dispatch.send(dispatch.body().clone()).await?;
        set_answer_headers(res, &target, &answer);
    }
    let response = answer_interrupted();
    dispatch.record_failure(&response);
    Err(response)
}

fn answer_interrupted() -> ErrorResponse {
    ErrorResponse {
        status: StatusCode::BAD_GATEWAY,
        code: "answer_broken_off",
        message: "the engine's answer broke off".to_owned(),
        param: None,
        ran: RunState::Unknown,
        retry_after: Some(Duration::from_secs(1)),
    }
}

fn stream_lost() -> ErrorResponse {
    ErrorResponse {
        status: StatusCode::GONE,
        code: "stream_lost",
        message: "the answer can't be resumed; send the request again without last-event-id"
            .to_owned(),
        param: Some(HEADER_LAST_EVENT_ID),
        ran: RunState::Unknown,
        retry_after: None,
    }
}

fn unknown_pool(model: &str) -> ErrorResponse {
    ErrorResponse {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "pool_not_known",
        message: format!("model: the pool of service {model:?} is not known yet"),
        param: Some("model"),
        ran: RunState::NotRun,
        retry_after: Some(Duration::from_secs(1)),
    }
}
