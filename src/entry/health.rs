//! Answers `GET /healthz` and `GET /readyz`.

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Request, Response, async_trait};

use crate::control::Shared;

/// Tells that the process runs.
pub(crate) struct LiveHandler;

#[async_trait]
impl salvo::Handler for LiveHandler {
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

/// Tells whether the router can serve: it has a configuration and is not leaving.
pub(crate) struct ReadyHandler {
    shared: Arc<Shared>,
}

impl ReadyHandler {
    /// Makes the handler.
    pub(crate) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }
}

#[async_trait]
impl salvo::Handler for ReadyHandler {
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
