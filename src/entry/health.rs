//! The handlers of `GET /healthz` and `GET /readyz`.

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Request, Response, async_trait};

use crate::control::Shared;

/// Handles liveness probes; responds whenever the process runs.
pub(crate) struct LivenessHandler;

#[async_trait]
impl salvo::Handler for LivenessHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.render("live\n");
    }
}

/// Handles readiness probes; the router is ready if it has a configuration and is not draining.
pub(crate) struct ReadinessHandler {
    shared: Arc<Shared>,
}

impl ReadinessHandler {
    /// Creates the handler.
    pub(crate) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[async_trait]
impl salvo::Handler for ReadinessHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let draining = self
            .shared
            .draining
            .load(std::sync::atomic::Ordering::Relaxed);
        let revision = self.shared.snapshot.load().configuration.revision;
        if revision == 0 || draining {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        res.render(format!("revision={revision} draining={draining}\n"));
    }
}
