//! Authentication, authorization and admission of callers.

use salvo::Request;
use salvo::http::StatusCode;

use super::error_response::{ErrorResponse, RunState};
use crate::account::NamedAccount;
use crate::admission::LimitKind;
use crate::control::{AdmittedRequest, LimitExceeded, Shared, Snapshot};
use crate::service::{Service, ServiceKind};

/// Returns the client account that the bearer key of `request` belongs to.
pub(crate) fn authenticate(
    request: &Request,
    snapshot: &Snapshot,
) -> Result<NamedAccount, ErrorResponse> {
    let key = bearer_key(request).ok_or_else(|| unauthorized("the header is missing"))?;
    snapshot
        .account_by_key(key)
        .cloned()
        .ok_or_else(|| unauthorized("no client account has this key"))
}

/// Returns the service `name` of `kind` if the account is allowed to call it.
pub(crate) fn find_service(
    snapshot: &Snapshot,
    account: &NamedAccount,
    name: &str,
    kind: ServiceKind,
    param: &'static str,
) -> Result<std::sync::Arc<Service>, ErrorResponse> {
    let service = snapshot
        .configuration
        .services
        .get(name)
        .filter(|service| service.kind == kind)
        .cloned()
        .ok_or_else(|| unknown_service(name, param))?;
    if account
        .account
        .services
        .iter()
        .any(|allowed| &**allowed == name)
    {
        return Ok(service);
    }
    Err(forbidden(name, param))
}

/// Admits a request with `prompt_tokens` if the limits of its client account allow it.
pub(crate) fn admit(
    shared: &Shared,
    account: &NamedAccount,
    prompt_tokens: u32,
) -> Result<AdmittedRequest, ErrorResponse> {
    shared
        .limiter
        .admit(account, prompt_tokens)
        .map_err(limit_response)
}

fn limit_response(error: LimitExceeded) -> ErrorResponse {
    let limit = match error.limit {
        LimitKind::Requests => "requests_per_second",
        LimitKind::Tokens => "tokens_per_second",
        LimitKind::Concurrency => "concurrent_requests",
    };
    ErrorResponse {
        status: StatusCode::TOO_MANY_REQUESTS,
        code: "account_limit",
        message: format!("the client account has reached its limit {limit}"),
        param: None,
        ran: RunState::NotRun,
        retry_after: Some(error.retry_after),
    }
}

/// Returns the key from the header `Authorization: Bearer KEY`.
pub(crate) fn bearer_key(request: &Request) -> Option<&str> {
    let value = request.headers().get("authorization")?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Returns the error response for a request whose `param` has an invalid value.
pub(crate) fn bad_request(param: &'static str, message: String) -> ErrorResponse {
    not_run_response(StatusCode::BAD_REQUEST, "invalid_value", param, message)
}

/// Returns the error response for a request whose body is larger than `limit_bytes`.
pub(crate) fn body_too_large(limit_bytes: usize) -> ErrorResponse {
    let message = format!("body: the request is larger than {limit_bytes} bytes");
    not_run_response(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        "body",
        message,
    )
}

fn unauthorized(reason: &str) -> ErrorResponse {
    let message = format!("authorization: {reason}");
    not_run_response(
        StatusCode::UNAUTHORIZED,
        "invalid_api_key",
        "authorization",
        message,
    )
}

fn unknown_service(name: &str, param: &'static str) -> ErrorResponse {
    let message = format!("{param}: service {name:?} does not exist");
    not_run_response(StatusCode::NOT_FOUND, "service_not_found", param, message)
}

fn forbidden(name: &str, param: &'static str) -> ErrorResponse {
    let message = format!("{param}: the client account may not call service {name:?}");
    not_run_response(StatusCode::FORBIDDEN, "service_forbidden", param, message)
}

fn not_run_response(
    status: StatusCode,
    code: &'static str,
    param: &'static str,
    message: String,
) -> ErrorResponse {
    ErrorResponse {
        status,
        code,
        message,
        param: Some(param),
        ran: RunState::NotRun,
        retry_after: None,
    }
}
