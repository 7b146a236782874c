//! Answers `POST /v1/chat/completions`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use salvo::http::{ParseError, StatusCode};
use salvo::{Depot, FlowCtrl, Request, Response, async_trait};

use super::body::ChatBody;
use super::caller::{authenticate, bad_request, find_service, too_large};
use super::dispatch::{Dispatch, DispatchRequest, Placed};
use super::relay::Relay;
use super::reply::{Reply, RunState, set_header};
use crate::account::NamedAccount;
use crate::control::{Shared, Snapshot};
use crate::engine::ChatAnswer;
use crate::id::RequestId;
use crate::prefix::{Opening, OpeningRoot};
use crate::protocol::{HEADER_REPLICA, HEADER_REQUEST_ID, HEADER_WARM_TOKENS};
use crate::service::ServiceKind;

/// How often a whole answer is fetched before it is given up.
const MAX_WHOLE_ATTEMPTS: usize = 3;

/// Handles chat requests.
pub(crate) struct ChatHandler {
    shared: Arc<Shared>,
}

impl ChatHandler {
    /// Makes the handler.
    pub(crate) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn answer(&self, request: &mut Request, res: &mut Response) -> Result<(), Reply> {
        let request_id = RequestId::now_v7();
        set_header(res, HEADER_REQUEST_ID, &request_id.to_string());
        let snapshot = self.shared.snapshot.load_full();
        let account = authenticate(request, &snapshot)?;
        let limit_bytes = self.shared.settings.bounds.body_limit_bytes;
        let body = read_body(request, limit_bytes).await?;
        let (mut dispatch, stream) = self.prepare(request_id, &snapshot, &account, &body)?;
        let (placed, answer) = dispatch.place(body).await?;
        describe(res, &placed, &answer);
        if !stream || !answer.response.status().is_success() {
            return write_whole(res, dispatch, placed, answer).await;
        }
        let silence = self.shared.settings.times.stream_silence();
        let relay = Relay::new(dispatch, placed, answer, silence);
        salvo::sse::stream(res, relay.into_events());
        Ok(())
    }

    fn prepare(
        &self,
        request_id: RequestId,
        snapshot: &Snapshot,
        account: &NamedAccount,
        bytes: &Bytes,
    ) -> Result<(Dispatch, bool), Reply> {
        let body = ChatBody::parse(bytes)
            .map_err(|error| bad_request("body", format!("body: {error}")))?;
        let service = find_service(snapshot, account, &body.model, ServiceKind::Model, "model")?;
        if bytes.len() > service.body_limit_bytes {
            return Err(too_large(service.body_limit_bytes));
        }
        let pool = snapshot
            .pools
            .get(&service.pool)
            .ok_or_else(|| no_pool(&body.model))?;
        let root = OpeningRoot {
            account: &account.id,
            model: &body.model,
            adapter: pool.pool.adapter.as_deref(),
            weights_version: pool.pool.weights_version,
        };
        let request = DispatchRequest {
            request_id,
            priority: account.account.priority,
            opening: Opening::of_messages(root, body.texts()),
            body: bytes.clone(),
            deadline: Instant::now() + Duration::from_millis(service.request_timeout_ms),
            preference: snapshot.configuration.preference_of(&service),
            open: self.shared.open_request(),
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
        if let Err(reply) = self.answer(request, res).await {
            reply.render(res);
        }
    }
}

/// Reads the whole body, at most `limit_bytes` of it.
pub(crate) async fn read_body(request: &mut Request, limit_bytes: usize) -> Result<Bytes, Reply> {
    match request.payload_with_max_size(limit_bytes).await {
        Ok(bytes) => Ok(bytes.clone()),
        Err(ParseError::PayloadTooLarge) => Err(too_large(limit_bytes)),
        Err(error) => Err(bad_request("body", format!("body: {error}"))),
    }
}

fn describe(res: &mut Response, placed: &Placed, answer: &ChatAnswer) {
    set_header(res, HEADER_REPLICA, &placed.replica.id);
    if let Some(warm_tokens) = answer.warm_tokens {
        set_header(res, HEADER_WARM_TOKENS, &warm_tokens.to_string());
    }
}

/// Writes a whole answer; one that breaks off is fetched again from another replica.
async fn write_whole(
    res: &mut Response,
    mut dispatch: Dispatch,
    mut placed: Placed,
    mut answer: ChatAnswer,
) -> Result<(), Reply> {
    for _ in 0..MAX_WHOLE_ATTEMPTS {
        let status = answer.response.status();
        if let Ok(bytes) = answer.response.bytes().await {
            dispatch.record_end(true);
            res.status_code(status);
            set_header(res, "content-type", "application/json");
            res.body(bytes);
            return Ok(());
        }
        dispatch.exclude(&placed);
        (placed, answer) = dispatch.place(dispatch.body().clone()).await?;
        describe(res, &placed, &answer);
    }
    dispatch.record_end(false);
    Err(broken_off())
}

fn broken_off() -> Reply {
    Reply {
        status: StatusCode::BAD_GATEWAY,
        code: "answer_broken_off",
        message: "the engine's answer broke off".to_owned(),
        param: None,
        ran: RunState::Unknown,
        retry_after: Some(Duration::from_secs(1)),
    }
}

fn no_pool(model: &str) -> Reply {
    Reply {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "pool_not_known",
        message: format!("model: the pool of service {model:?} is not known yet"),
        param: Some("model"),
        ran: RunState::NotRun,
        retry_after: Some(Duration::from_secs(1)),
    }
}
