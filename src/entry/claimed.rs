//! Calls of plain services that are not idempotent: claimed, dispatched at most once, and recorded.
//!
//! Each call runs in its own task. If the caller disconnects, the call still runs to its end, and its response is
//! stored for the next request with the same idempotency key. See docs/design/requests.md.

use std::sync::Arc;
use std::time::Duration;

use salvo::Request;
use salvo::http::{HeaderMap, HeaderValue, StatusCode};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;

use super::auth::bad_request;
use super::error_response::{ErrorResponse, RunState};
use super::plain::{MAX_ATTEMPTS, PlainHandler, PlainResponse, RETRY_AFTER, choose_least_loaded};
use crate::control::{OpenRequest, PoolView};
use crate::engine::{CallError, PlainCall};
use crate::id::{AccountId, RequestId};
use crate::protocol::HEADER_IDEMPOTENCY_KEY;
use crate::request::claim::{ClaimKey, StoredResponse};
use crate::request::claim_service::{ClaimOutcome, ClaimedCall};
use crate::request::refusal::{
    EarlierSends, HEADER_SEND_NUMBER, NotRunReason, RequestOutcome, Unknown, UnknownReason,
};

/// The headers by which a caller identifies a call: the idempotency key and the number of this send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SendHeaders {
    key: uuid::Uuid,
    send_number: Option<u32>,
}

/// A call that is claimed, dispatched and recorded.
pub(crate) struct ClaimedRequest {
    /// The handler, which makes the attempts and holds the clients.
    pub(crate) handler: PlainHandler,
    /// The pool whose replicas can serve the call.
    pub(crate) pool: Arc<PoolView>,
    /// The call.
    pub(crate) call: PlainCall,
    /// The client account and its idempotency key.
    pub(crate) key: ClaimKey,
    /// The digest of the service name and the call's content.
    pub(crate) digest: [u8; 16],
    /// The number of the caller's send.
    pub(crate) send_number: Option<u32>,
    /// Counts the request as open, so that a drain waits until the outcome is known.
    pub(crate) _open_request: OpenRequest,
}

impl SendHeaders {
    /// Parses the idempotency key and the send number from the headers of `request`.
    pub(crate) fn parse(request: &Request) -> Result<Self, ErrorResponse> {
        Ok(Self {
            key: parse_key(request)?,
            send_number: parse_send_number(request)?,
        })
    }

    /// Returns the claim key: the idempotency key scoped to `account`.
    pub(crate) fn claim_key(&self, account: &AccountId) -> ClaimKey {
        ClaimKey {
            account: Arc::clone(account),
            key: self.key,
        }
    }

    /// Returns the send number, if the caller gave one.
    pub(crate) const fn send_number(&self) -> Option<u32> {
        self.send_number
    }
}

/// Changes `not-run` to `unknown` in a rejection made before the claim if an earlier send of the key may have run.
pub(crate) fn correct_run_state(response: ErrorResponse, request: &Request) -> ErrorResponse {
    let has_key = request.headers().contains_key(HEADER_IDEMPOTENCY_KEY);
    let number = parse_send_number(request).ok().flatten();
    let may_have_run = EarlierSends::from_send_number(number) == EarlierSends::Possible;
    match response.ran {
        RunState::NotRun if has_key && may_have_run => ErrorResponse {
            ran: RunState::Unknown,
            ..response
        },
        _ => response,
    }
}

/// Returns the digest that is compared when a key is reused, to check that the call is the same.
pub(crate) fn content_digest(service: &str, call: &PlainCall) -> [u8; 16] {
    let mut digest = Sha256::new();
    for part in [service, call.method.as_str(), &call.path] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part.as_bytes());
    }
    digest.update(&call.body);
    let full: [u8; 32] = digest.finalize().into();
    let mut truncated = [0; 16];
    truncated.copy_from_slice(&full[..16]);
    truncated
}

impl ClaimedRequest {
    /// Claims the call and runs it to its end, even if the caller disconnects.
    pub(crate) async fn run(self) -> Result<PlainResponse, ErrorResponse> {
        let result = tokio::spawn(self.claim_and_dispatch()).await;
        result.unwrap_or_else(|error| {
            log::error!("request: Task of a claimed call failed. error={error}");
            Err(outcome_response(outcome_lost()))
        })
    }

    async fn claim_and_dispatch(self) -> Result<PlainResponse, ErrorResponse> {
        let claims = self.handler.claims().clone();
        let key = self.key.clone();
        match claims.claim(key, self.digest, self.send_number).await {
            ClaimOutcome::Dispatch(call) => self.dispatch(call).await,
            ClaimOutcome::Replay(stored_response) => Ok(replay(stored_response)),
            ClaimOutcome::Finish(outcome) => Err(outcome_response(outcome)),
        }
    }

    /// Sends the call to the first replica that accepts the connection, and to no other after that.
    async fn dispatch(self, mut claimed: ClaimedCall) -> Result<PlainResponse, ErrorResponse> {
        let request_id: RequestId = claimed.request_id();
        let mut excluded = SmallVec::<[usize; MAX_ATTEMPTS]>::new();
        while excluded.len() < MAX_ATTEMPTS {
            let Some(index) = choose_least_loaded(&self.pool, &excluded) else {
                break;
            };
            let attempt = self
                .handler
                .attempt(request_id, &self.pool, index, &self.call);
            match attempt.await {
                Ok(answer) => {
                    claimed.ran(Some(stored_response(&answer)));
                    return Ok(answer);
                }
                Err(CallError::NotConnected(_)) => claimed.connect_failed(),
                Err(CallError::Lost(_)) => return Err(outcome_response(claimed.answer_lost())),
            }
            excluded.push(index);
        }
        Err(outcome_response(claimed.no_replica(RETRY_AFTER)))
    }
}

fn stored_response(answer: &PlainResponse) -> StoredResponse {
    let content_type = answer.headers.get("content-type");
    let content_type = content_type.and_then(|value| value.to_str().ok());
    StoredResponse {
        status: u32::from(answer.status.as_u16()),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: answer.body.clone(),
    }
}

fn replay(stored_response: StoredResponse) -> PlainResponse {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&stored_response.content_type) {
        headers.insert("content-type", value);
    }
    let status = u16::try_from(stored_response.status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    PlainResponse {
        status: status.unwrap_or(StatusCode::OK),
        headers,
        body: stored_response.body,
        replica: None,
    }
}

fn parse_key(request: &Request) -> Result<uuid::Uuid, ErrorResponse> {
    let value = request
        .headers()
        .get(HEADER_IDEMPOTENCY_KEY)
        .ok_or_else(|| invalid_key("the header is missing, and this call may not be repeated"))?;
    let text = value
        .to_str()
        .map_err(|_| invalid_key("the value is not text"))?;
    let key =
        uuid::Uuid::try_parse(text).map_err(|_| invalid_key(&format!("{text:?} is no UUID")))?;
    if key.get_version_num() == 7 {
        return Ok(key);
    }
    Err(invalid_key(&format!(
        "{text:?} is no UUID of version 7, whose time is needed"
    )))
}

fn invalid_key(reason: &str) -> ErrorResponse {
    bad_request(
        HEADER_IDEMPOTENCY_KEY,
        format!("{HEADER_IDEMPOTENCY_KEY}: {reason}"),
    )
}

fn parse_send_number(request: &Request) -> Result<Option<u32>, ErrorResponse> {
    let Some(value) = request.headers().get(HEADER_SEND_NUMBER) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    match number {
        Some(number) if number > 0 => Ok(Some(number)),
        _ => Err(bad_request(
            HEADER_SEND_NUMBER,
            format!("{HEADER_SEND_NUMBER}: {value:?} is no number above zero"),
        )),
    }
}

fn outcome_lost() -> RequestOutcome {
    RequestOutcome::OutcomeUnknown(Unknown {
        reason: UnknownReason::AnswerLost,
        retry_after: RETRY_AFTER,
    })
}

/// Returns the error response for a claimed call that ended without a response from a replica.
fn outcome_response(outcome: RequestOutcome) -> ErrorResponse {
    let ran = match &outcome {
        RequestOutcome::Answered | RequestOutcome::RanAnswerNotKept => RunState::Completed,
        RequestOutcome::OutcomeUnknown(_) => RunState::Unknown,
        RequestOutcome::NotRun(_) => RunState::NotRun,
    };
    let (status, code, retry_after) = match outcome {
        RequestOutcome::Answered | RequestOutcome::RanAnswerNotKept => {
            (StatusCode::CONFLICT, "answer_not_kept", Duration::ZERO)
        }
        RequestOutcome::OutcomeUnknown(unknown) => {
            let status = unknown_outcome_status(unknown.reason);
            (status, unknown.reason.code(), unknown.retry_after)
        }
        RequestOutcome::NotRun(not_run) => {
            let reason = not_run.reason();
            (not_run_status(reason), reason.code(), not_run.retry_after())
        }
    };
    ErrorResponse {
        status,
        code,
        message: outcome_message(ran, code),
        param: None,
        ran,
        retry_after: (retry_after > Duration::ZERO).then_some(retry_after),
    }
}

fn outcome_message(ran: RunState, code: &str) -> String {
    match ran {
        RunState::NotRun => format!("the call did not run: {code}"),
        RunState::Completed => "the call ran, and its answer was not kept".to_owned(),
        RunState::Unknown => {
            format!("whether the call ran is not known: {code}; sending the same key again is safe")
        }
    }
}

const fn unknown_outcome_status(reason: UnknownReason) -> StatusCode {
    match reason {
        UnknownReason::AnswerLost => StatusCode::BAD_GATEWAY,
        UnknownReason::ClaimerLost => StatusCode::SERVICE_UNAVAILABLE,
        UnknownReason::InProgress => StatusCode::CONFLICT,
        UnknownReason::ContentDiffers => StatusCode::UNPROCESSABLE_ENTITY,
        UnknownReason::KeyExpired => StatusCode::GONE,
        UnknownReason::EarlierSend(reason) => not_run_status(reason),
    }
}

const fn not_run_status(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::AccountLimit => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::Overload
        | NotRunReason::NoReplica
        | NotRunReason::StoreUnavailable
        | NotRunReason::Draining => StatusCode::SERVICE_UNAVAILABLE,
        NotRunReason::RefusedBefore => StatusCode::CONFLICT,
        NotRunReason::KeyMissing | NotRunReason::KeyInvalid | NotRunReason::BadRequest => {
            StatusCode::BAD_REQUEST
        }
    }
}
