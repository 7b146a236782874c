//! The handler of `GET /v1/entries`: the router addresses that callers should use, and for how long.

use std::sync::Arc;
use std::time::Duration;

use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Request, Response, async_trait};

use super::error_response::{ErrorResponse, RunState};
use crate::control::Shared;

/// Handles directory requests; the query parameter `zone` names the availability zone that the caller prefers.
pub(crate) struct DirectoryHandler {
    shared: Arc<Shared>,
}

impl DirectoryHandler {
    /// Creates the handler.
    pub(crate) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[async_trait]
impl salvo::Handler for DirectoryHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let zone: Option<String> = request.query("zone");
        match &self.shared.snapshot.load().directory {
            Some(directory) => res.render(Json(directory.lookup(zone.as_deref()))),
            None => not_ready().render(res),
        }
    }
}

fn not_ready() -> ErrorResponse {
    ErrorResponse {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: "starting",
        message: "the router does not know the other routers yet".to_owned(),
        param: None,
        ran: RunState::NotRun,
        retry_after: Some(Duration::from_secs(1)),
    }
}
