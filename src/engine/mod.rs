//! The client towards backend servers: model engines and plain services.
//!
//! One client serves all, with pooled connections. Retries, redirects and proxies of the HTTP library are off, because
//! each of them could run a call twice. Whether a failed call may have run is part of the error, and the only case that
//! counts as not run is a connection that was never made.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Method, Response, StatusCode};

use crate::error::{Error, ErrorKind};
use crate::id::{Incarnation, RequestId, WeightsVersion};
use crate::prefix::Opening;
use crate::protocol::{
    EngineOrder, HEADER_DEADLINE_MS, HEADER_INCARNATION, HEADER_OPENING, HEADER_PRIORITY,
    HEADER_REQUEST_ID, HEADER_WARM_TOKENS, HEADER_WEIGHTS_VERSION, LoadReport,
};

mod opening_header;

pub(crate) use opening_header::encode_opening;

/// How long an idle connection to a backend server is kept.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// How long an engine may take for its load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an engine may take to confirm a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

/// Calls backend servers.
#[derive(Clone, Debug)]
pub(crate) struct EngineClient {
    http: reqwest::Client,
}

/// Why a call gave no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection was made, so the backend server has not seen the call.
    NotConnected(String),
    /// The call may have reached the backend server.
    Lost(String),
}

/// One chat call as an engine receives it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChatCall<'a> {
    /// The request's id.
    pub(crate) request_id: RequestId,
    /// The client account's priority.
    pub(crate) priority: u8,
    /// The time that remains for the answer.
    pub(crate) remaining: Duration,
    /// The opening, whose hashes label the engine's cache entries.
    pub(crate) opening: &'a Opening,
}

/// The head of an engine's answer.
#[derive(Debug)]
pub(crate) struct ChatAnswer {
    /// The engine's incarnation, zero where it named none.
    pub(crate) incarnation: Incarnation,
    /// The engine's weights version, zero where it named none.
    pub(crate) weights_version: WeightsVersion,
    /// The prompt tokens that the engine found warm, where it says so in the head.
    pub(crate) warm_tokens: Option<u32>,
    /// The answer itself, with its body still to be read.
    pub(crate) response: Response,
}

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderAnswer {
    /// The engine took it.
    Taken,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// No usable answer came; the engine may have taken it.
    Lost,
}

impl EngineClient {
    /// Makes a client whose connections must stand within `connect_timeout`.
    pub(crate) fn new(connect_timeout: Duration) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .tcp_nodelay(true)
            .connect_timeout(connect_timeout)
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .build()
            .map_err(|error| Error::new(ErrorKind::Io, format!("HTTP client: {error}")))?;
        Ok(Self { http })
    }

    /// Sends a chat call and returns once the answer's head is there.
    pub(crate) async fn chat(
        &self,
        address: SocketAddr,
        call: ChatCall<'_>,
        body: bytes::Bytes,
    ) -> Result<ChatAnswer, CallError> {
        let request = self
            .http
            .post(format!("http://{address}/v1/chat/completions"))
            .header("content-type", "application/json")
            .header(HEADER_REQUEST_ID, call.request_id.to_string())
            .header(HEADER_PRIORITY, u32::from(call.priority))
            .header(HEADER_DEADLINE_MS, call.remaining.as_millis().to_string())
            .header(HEADER_OPENING, encode_opening(call.opening))
            .body(body);
        let response = request.send().await.map_err(|error| call_error(&error))?;
        check_request_id(&response, call.request_id)?;
        Ok(read_head(response))
    }

    /// Resumes the answer `request_id` after event `sequence` on a new connection.
    pub(crate) async fn resume(
        &self,
        address: SocketAddr,
        request_id: RequestId,
        sequence: u64,
    ) -> Result<ChatAnswer, CallError> {
        let url = format!("http://{address}/streams/{request_id}?after={sequence}");
        let request = self.http.get(url).header("connection", "close");
        let response = request.send().await.map_err(|error| call_error(&error))?;
        check_request_id(&response, request_id)?;
        Ok(read_head(response))
    }

    /// Cancels the answer `request_id`; an engine that has forgotten it is content.
    pub(crate) async fn cancel(&self, address: SocketAddr, request_id: RequestId) {
        let url = format!("http://{address}/streams/{request_id}");
        let request = self.http.delete(url).timeout(CANCEL_TIMEOUT);
        if let Err(error) = request.send().await {
            log::debug!("engine: Cancel was not confirmed. request={request_id} error={error}");
        }
    }

    /// Asks an engine for its load.
    pub(crate) async fn load(&self, address: SocketAddr) -> Result<LoadReport, CallError> {
        let request = self
            .http
            .get(format!("http://{address}/load"))
            .timeout(LOAD_TIMEOUT);
        let response = request.send().await.map_err(|error| call_error(&error))?;
        response.json().await.map_err(|error| call_error(&error))
    }

    /// Gives an engine an order; the answer comes once the engine has reached the state.
    pub(crate) async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout: Duration,
    ) -> OrderAnswer {
        let request = self.http.post(format!("http://{address}/orders"));
        match request.json(order).timeout(timeout).send().await {
            Ok(answer) if answer.status().is_success() => OrderAnswer::Taken,
            Ok(answer) if answer.status() == StatusCode::CONFLICT => OrderAnswer::Fenced,
            _ => OrderAnswer::Lost,
        }
    }

    /// Sends a call to a plain service and returns once the answer's head is there.
    pub(crate) async fn plain(
        &self,
        address: SocketAddr,
        call: PlainCall,
    ) -> Result<Response, CallError> {
        let request = self
            .http
            .request(call.method, format!("http://{address}{}", call.path))
            .timeout(call.remaining)
            .headers(call.headers)
            .body(call.body);
        request.send().await.map_err(|error| call_error(&error))
    }
}

/// One call of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    /// The HTTP method.
    pub(crate) method: Method,
    /// The path and query below the service.
    pub(crate) path: String,
    /// The headers that are passed on.
    pub(crate) headers: reqwest::header::HeaderMap,
    /// The body.
    pub(crate) body: bytes::Bytes,
    /// The time that remains for the whole answer.
    pub(crate) remaining: Duration,
}

fn read_head(response: Response) -> ChatAnswer {
    ChatAnswer {
        incarnation: header_number(&response, HEADER_INCARNATION).unwrap_or(0),
        weights_version: header_number(&response, HEADER_WEIGHTS_VERSION).unwrap_or(0),
        warm_tokens: header_number(&response, HEADER_WARM_TOKENS),
        response,
    }
}

/// Refuses an answer that belongs to another request, as after a mix-up on a reused connection.
fn check_request_id(response: &Response, request_id: RequestId) -> Result<(), CallError> {
    let Some(value) = response.headers().get(HEADER_REQUEST_ID) else {
        return Ok(());
    };
    if value.as_bytes() == request_id.to_string().as_bytes() {
        return Ok(());
    }
    let message = format!("the answer belongs to request {value:?}, not {request_id}");
    Err(CallError::Lost(message))
}

fn header_number<T: std::str::FromStr>(response: &Response, name: &str) -> Option<T> {
    let value = response.headers().get(name)?;
    value.to_str().ok()?.parse().ok()
}

fn call_error(error: &reqwest::Error) -> CallError {
    if error.is_connect() {
        CallError::NotConnected(error.to_string())
    } else {
        CallError::Lost(error.to_string())
    }
}
