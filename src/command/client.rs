//! Calls the operators' interface of the routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use reqwest::Method;
use serde::de::DeserializeOwned;

use super::CommandSettings;
use crate::error::{Error, ErrorKind};

/// The longest time to open a connection before the next router is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client of whichever router answers first in the order of the settings.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    http: reqwest::Client,
    routers: Vec<SocketAddr>,
    key: Arc<str>,
}

/// A router's answer.
#[derive(Debug)]
pub(crate) struct OperatorAnswer {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The body.
    pub(crate) body: Bytes,
}

impl OperatorAnswer {
    /// Reads the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| {
            let text = String::from_utf8_lossy(&self.body);
            let message = format!("the router answered {} {text:.200}: {error}", self.status);
            Error::new(ErrorKind::Protocol, message)
        })
    }

    /// Tells whether the status is one of success.
    pub(crate) const fn is_success(&self) -> bool {
        self.status / 100 == 2
    }
}

impl OperatorClient {
    /// Makes a client; no connection is opened yet.
    pub(crate) fn new(settings: &CommandSettings) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .http1_only()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(Duration::from_millis(settings.timeout_ms))
            .build()
            .map_err(|error| Error::new(ErrorKind::Io, format!("no HTTP client: {error}")))?;
        Ok(Self {
            http,
            routers: settings.routers.clone(),
            key: settings.operator_key.clone(),
        })
    }

    /// Reads `path`, which begins with `/`.
    pub(crate) async fn get(&self, path: &str) -> Result<OperatorAnswer, Error> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Posts `body` to `path`; the next router is tried only where none has seen the body.
    pub(crate) async fn post(&self, path: &str, body: Bytes) -> Result<OperatorAnswer, Error> {
        self.call(Method::POST, path, body).await
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<OperatorAnswer, Error> {
        let mut last = Error::new(ErrorKind::Unavailable, "no router answers");
        for router in &self.routers {
            let url = format!("http://{router}{path}");
            let request = self
                .http
                .request(method.clone(), url)
                .bearer_auth(&self.key);
            let error = match request.body(body.clone()).send().await {
                Ok(answer) => return read(router, answer).await,
                Err(error) => error,
            };
            let may_have_arrived = !error.is_connect();
            last = unavailable(router, &error);
            if may_have_arrived && method != Method::GET {
                break;
            }
        }
        Err(last)
    }
}

async fn read(router: &SocketAddr, answer: reqwest::Response) -> Result<OperatorAnswer, Error> {
    let status = answer.status().as_u16();
    let body = answer
        .bytes()
        .await
        .map_err(|error| unavailable(router, &error))?;
    Ok(OperatorAnswer { status, body })
}

fn unavailable(router: &SocketAddr, error: &reqwest::Error) -> Error {
    let message = match error.is_connect() {
        true => format!("router {router} can't be reached: {error}"),
        false => format!("router {router} gave no answer: {error}"),
    };
    Error::new(ErrorKind::Unavailable, message)
}
