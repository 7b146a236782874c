//! The HTTP client for backend servers: model engines and plain services.
//!
//! One client with pooled connections serves all of them. Retries, redirects and proxies of the HTTP library
//! are disabled, because each could execute a call twice. Errors state whether the call may have been
//! executed; only a failure to connect counts as not executed.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Method, Response, StatusCode};

use crate::error::{Error, ErrorKind};
use crate::id::{Incarnation, RequestId, WeightsVersion};
use crate::prefix::PromptPrefix;
use crate::protocol::{
    EngineOrder, HEADER_DEADLINE_MS, HEADER_INCARNATION, HEADER_OPENING, HEADER_PRIORITY,
    HEADER_REQUEST_ID, HEADER_WARM_TOKENS, HEADER_WEIGHTS_VERSION, LoadReport,
};

mod prefix_header;

pub(crate) use prefix_header::encode_prefix;

/// How long idle connections to backend servers are kept open.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
/// The timeout of a load report request.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// The timeout of a cancellation request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

/// An HTTP client for backend servers.
#[derive(Clone, Debug)]
pub(crate) struct EngineClient {
    http: reqwest::Client,
}

/// The reason why a call returned no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// No connection was established, so the backend server has not received the call.
    NotConnected(String),
    /// The call may have reached the backend server.
    Lost(String),
}

/// A chat request to an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChatCall<'a> {
    /// The request id.
    pub(crate) request_id: RequestId,
    /// The priority of the client account.
    pub(crate) priority: u8,
    /// The time left to respond.
    pub(crate) remaining: Duration,
    /// The prefix hashes, with which the engine labels its cache entries.
    pub(crate) prefix: &'a PromptPrefix,
}

/// The head of an engine's response.
#[derive(Debug)]
pub(crate) struct ChatResponse {
    /// The engine's incarnation, or 0 if the response does not name one.
    pub(crate) incarnation: Incarnation,
    /// The engine's weights version, or 0 if the response does not name one.
    pub(crate) weights_version: WeightsVersion,
    /// The number of prompt tokens that the engine found in its cache, if the head includes it.
    pub(crate) warm_tokens: Option<u32>,
    /// The response, whose body has not been read yet.
    pub(crate) response: Response,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderReply {
    /// The engine accepted the order.
    Accepted,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// No usable response arrived; the engine may have accepted the order.
    Unknown,
}

impl EngineClient {
    /// Creates a client that gives up on a connection attempt after `connect_timeout`.
    pub(crate) fn new(connect_timeout: Duration) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .tcp_nodelay(true)
            .connect_timeout(connect_timeout)
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .build()
            .map_err(|error| {
                Error::new(
                    ErrorKind::Io,
                    format!("failed to create the HTTP client: {error}"),
                )
            })?;
        Ok(Self { http })
    }

    /// Sends a chat request and returns when the head of the response has arrived.
    pub(crate) async fn chat(
        &self,
        address: SocketAddr,
        call: ChatCall<'_>,
        body: bytes::Bytes,
    ) -> Result<ChatResponse, CallError> {
        let request = self
            .http
            .post(format!("http://{address}/v1/chat/completions"))
            .header("content-type", "application/json")
            .header(HEADER_REQUEST_ID, call.request_id.to_string())
            .header(HEADER_PRIORITY, u32::from(call.priority))
            .header(HEADER_DEADLINE_MS, call.remaining.as_millis().to_string())
            .header(HEADER_OPENING, encode_prefix(call.prefix))
            .body(body);
        let response = request
            .send()
            .await
            .map_err(|error| to_call_error(&error))?;
        check_request_id(&response, call.request_id)?;
        Ok(to_chat_response(response))
    }

    /// Resumes the response to `request_id` after the event `sequence`, on a new connection.
    pub(crate) async fn resume(
        &self,
        address: SocketAddr,
        request_id: RequestId,
        sequence: u64,
    ) -> Result<ChatResponse, CallError> {
        let url = format!("http://{address}/streams/{request_id}?after={sequence}");
        let request = self.http.get(url).header("connection", "close");
        let response = request
            .send()
            .await
            .map_err(|error| to_call_error(&error))?;
        check_request_id(&response, request_id)?;
        Ok(to_chat_response(response))
    }

    /// Cancels the response to `request_id`. Engines also confirm cancellations of responses they no longer
    /// know.
    pub(crate) async fn cancel(&self, address: SocketAddr, request_id: RequestId) {
        let url = format!("http://{address}/streams/{request_id}");
        let request = self.http.delete(url).timeout(CANCEL_TIMEOUT);
        if let Err(error) = request.send().await {
            log::debug!(
                "engine: Cancellation was not confirmed. request={request_id} error={error}"
            );
        }
    }

    /// Requests the load report of an engine.
    pub(crate) async fn load(&self, address: SocketAddr) -> Result<LoadReport, CallError> {
        let request = self
            .http
            .get(format!("http://{address}/load"))
            .timeout(LOAD_TIMEOUT);
        let response = request
            .send()
            .await
            .map_err(|error| to_call_error(&error))?;
        response.json().await.map_err(|error| to_call_error(&error))
    }

    /// Sends an order to an engine. The engine responds when it has reached the ordered state.
    pub(crate) async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        timeout: Duration,
    ) -> OrderReply {
        let request = self.http.post(format!("http://{address}/orders"));
        match request.json(order).timeout(timeout).send().await {
            Ok(response) if response.status().is_success() => OrderReply::Accepted,
            Ok(response) if response.status() == StatusCode::CONFLICT => OrderReply::Fenced,
            _ => OrderReply::Unknown,
        }
    }

    /// Sends a request to a plain service and returns when the head of the response has arrived.
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
        request.send().await.map_err(|error| to_call_error(&error))
    }
}

/// A request to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct PlainCall {
    /// The HTTP method.
    pub(crate) method: Method,
    /// The path and query, relative to the service.
    pub(crate) path: String,
    /// The headers to forward.
    pub(crate) headers: reqwest::header::HeaderMap,
    /// The request body.
    pub(crate) body: bytes::Bytes,
    /// The time left for the whole response.
    pub(crate) remaining: Duration,
}

fn to_chat_response(response: Response) -> ChatResponse {
    ChatResponse {
        incarnation: header_number(&response, HEADER_INCARNATION).unwrap_or(0),
        weights_version: header_number(&response, HEADER_WEIGHTS_VERSION).unwrap_or(0),
        warm_tokens: header_number(&response, HEADER_WARM_TOKENS),
        response,
    }
}

/// Rejects a response that belongs to another request, as could happen on a mixed-up reused connection.
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

fn to_call_error(error: &reqwest::Error) -> CallError {
    if error.is_connect() {
        CallError::NotConnected(error.to_string())
    } else {
        CallError::Lost(error.to_string())
    }
}
