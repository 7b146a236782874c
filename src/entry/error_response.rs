//! Error responses to callers, in the format that chat completions clients expect.
//!
//! Every error response has a header that states whether the request ran, so that the caller can decide whether a retry
//! is safe.

use std::time::Duration;

use salvo::http::StatusCode;
use salvo::{Response, writing::Json};
use serde::Serialize;

use crate::protocol::HEADER_RUN;

/// Whether a request ran, as stated in an error response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The request was not sent to any backend server, and will not be.
    NotRun,
    /// A backend server ran the request.
    Completed,
    /// A backend server may have run the request.
    Unknown,
}

impl RunState {
    /// Returns the header value.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Completed => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// An error response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ErrorResponse {
    /// The HTTP status.
    pub(crate) status: StatusCode,
    /// A short, stable, machine-readable code.
    pub(crate) code: &'static str,
    /// A human-readable sentence that names the field and its value.
    pub(crate) message: String,
    /// The invalid field, if any.
    pub(crate) param: Option<&'static str>,
    /// Whether the request ran.
    pub(crate) ran: RunState,
    /// The time after which the caller may retry, if a retry can help.
    pub(crate) retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorObject<'a>,
}

#[derive(Serialize)]
struct ErrorObject<'a> {
    message: &'a str,
    r#type: &'static str,
    param: Option<&'static str>,
    code: &'static str,
}

impl ErrorResponse {
    /// Returns the response body as JSON, for an error event in a stream.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(&self.body()).unwrap_or_default()
    }

    /// Writes status, headers and body into `res`.
    pub(crate) fn render(&self, res: &mut Response) {
        res.status_code(self.status);
        set_header(res, HEADER_RUN, self.ran.as_str());
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
            set_header(res, "retry-after", &seconds.to_string());
        }
        res.render(Json(self.body()));
    }

    fn body(&self) -> ErrorBody<'_> {
        ErrorBody {
            error: ErrorObject {
                message: &self.message,
                r#type: error_type(self.status),
                param: self.param,
                code: self.code,
            },
        }
    }
}

/// Sets a response header; a value that is not valid in a header is ignored.
pub(crate) fn set_header(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        res.headers_mut().insert(name, value);
    }
}

fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::FORBIDDEN => "permission_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}
