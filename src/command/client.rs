//! A client of the operator API of the routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Method;
use serde::de::DeserializeOwned;

use super::CommandSettings;
use crate::error::{Error, ErrorKind};

/// The timeout for connecting to a router, after which the next one is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client that tries the configured routers in order and uses the first one that responds.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    http: reqwest::Client,
    routers: Vec<SocketAddr>,
    key: Arc<str>,
}

/// The response of a router.
#[derive(Debug)]
pub(crate) struct OperatorResponse {
    /// The HTTP status code.
    pub(crate) status: u16,
    /// The response body.
    pub(crate) body: Bytes,
}

impl OperatorResponse {
    /// Parses the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| {
            let text = String::from_utf8_lossy(&self.body);
            let message = format!(
                "invalid response from the router: status {}, {text:.200}: {error}",
                self.status
            );
            Error::new(ErrorKind::Protocol, message)
        })
    }

    /// Returns whether the status code is in the 2xx range.
    pub(crate) const fn is_success(&self) -> bool {
        self.status / 100 == 2
    }
}

impl OperatorClient {
    /// Creates a client without connecting yet.
    pub(crate) fn new(settings: &CommandSettings) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .http1_only()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(Duration::from_millis(settings.timeout_ms))
            .build()
            .map_err(|error| {
                Error::new(
                    ErrorKind::Io,
                    format!("can't create an HTTP client: {error}"),
                )
            })?;
        Ok(Self {
            http,
            routers: settings.routers.clone(),
            key: settings.operator_key.clone(),
        })
    }

    /// Sends a GET request for `path`, which must begin with `/`.
    pub(crate) async fn get(&self, path: &str) -> Result<OperatorResponse, Error> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Sends `body` to `path` in a POST request. The next router is tried only if no earlier one can have received it.
    pub(crate) async fn post(&self, path: &str, body: Bytes) -> Result<OperatorResponse, Error> {
        self.call(Method::POST, path, body).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<OperatorResponse, Error> {
        let mut last_error = Error::new(ErrorKind::Unavailable, "no router is configured");
        for router in &self.routers {
            let url = format!("http://{router}{path}");
            let request = self
                .http
                .request(method.clone(), url)
                .bearer_auth(&self.key);
            let error = match request.body(body.clone()).send().await {
                Ok(response) => return read_response(router, response).await,
                Err(error) => error,
            };
            let may_be_received = !error.is_connect();
            last_error = unavailable(router, &error);
            if may_be_received && method != Method::GET {
                break;
            }
        }
        Err(last_error)
    }
}

async fn read_response(
    router: &SocketAddr,
    response: reqwest::Response,
) -> Result<OperatorResponse, Error> {
    let status = response.status().as_u16();
    let body = response
        .bytes()
        .await
        .map_err(|error| unavailable(router, &error))?;
    Ok(OperatorResponse { status, body })
}

fn unavailable(router: &SocketAddr, error: &reqwest::Error) -> Error {
    let message = match error.is_connect() {
        true => format!("router {router} can't be reached: {error}"),
        false => format!("router {router} did not respond: {error}"),
    };
    Error::new(ErrorKind::Unavailable, message)
}
