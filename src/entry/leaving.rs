//! What a router that drains or stops adds to its responses, and how it refuses requests.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use salvo::http::{HeaderValue, StatusCode, Version, header};
use salvo::{Depot, FlowCtrl, Request, Response, async_trait};

use super::claimed::correct_run_state;
use super::error_response::{ErrorResponse, RunState};
use super::server::ServerState;
use crate::request::refusal::NotRunReason;

/// The time after which a refused request may be sent again, to another router.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refuses requests at a server that stops, and announces in each response of a router that drains that its connection
/// closes.
pub(super) struct CloseWhileLeaving {
    server: Arc<ServerState>,
}

impl CloseWhileLeaving {
    /// Creates the middleware.
    pub(super) const fn new(server: Arc<ServerState>) -> Self {
        Self { server }
    }
}

#[async_trait]
impl salvo::Handler for CloseWhileLeaving {
    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        if self.server.refuses_requests() {
            ctrl.skip_rest();
            correct_run_state(shutting_down(), request).render(res);
        } else {
            ctrl.call_next(request, depot, res).await;
        }
        let is_draining = self.server.shared.draining.load(Ordering::Relaxed);
        // HTTP/2 has no such header; its connections are closed when the server stops.
        if request.version() <= Version::HTTP_11 && (is_draining || self.server.refuses_requests())
        {
            res.headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}

fn shutting_down() -> ErrorResponse {
    ErrorResponse {
        status: StatusCode::SERVICE_UNAVAILABLE,
        code: NotRunReason::Draining.code(),
        message: "the router is shutting down".to_owned(),
        param: None,
        ran: RunState::NotRun,
        retry_after: Some(RETRY_AFTER),
    }
}
