//! What a router that drains or stops adds to its responses.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use salvo::http::{HeaderValue, Version, header};
use salvo::{Depot, FlowCtrl, Request, Response, async_trait};

use super::server::ServerState;

/// Announces in each response of a router that drains or stops that its connection closes.
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
        ctrl.call_next(request, depot, res).await;
        let is_draining = self.server.shared.draining.load(Ordering::Relaxed);
        // HTTP/2 has no such header; its connections are closed when the server stops.
        if request.version() <= Version::HTTP_11 && (is_draining || self.server.refuses_requests())
        {
            res.headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
    }
}
