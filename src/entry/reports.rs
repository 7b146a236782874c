//! Reports for operators: burn rates, explanations, status and metrics.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use metrics_exporter_prometheus::PrometheusHandle;
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Request, Response, Router, async_trait};
use serde::Serialize;
use serde_json::json;
use tokio::sync::oneshot;

use super::tickets::is_operator;
use crate::burn::{MemberReply, MissingMember, Report, Window};
use crate::control::{Event, Shared};
use crate::error::{Error, ErrorKind};
use crate::explain::{Explanation, router_tag, router_tag_of};
use crate::id::{RequestId, RouterId};
use crate::membership::Member;
use crate::peer::{Body, Kind};
use crate::status::{FleetStatus, ReportReply, ReportRequest, RequestedReport};
use crate::telemetry::install_recorder;

/// The maximum time for a member to send its part of a report, or for the control thread to respond.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(800);

/// Returns the routes of all reports, and installs the metrics recorder.
pub(crate) fn routes(shared: &Arc<Shared>) -> Result<Router, Error> {
    let report_handler = |kind: ReportKind| ReportHandler {
        shared: Arc::clone(shared),
        kind,
    };
    let metrics = MetricsHandler {
        shared: Arc::clone(shared),
        recorder: install_recorder()?,
    };
    Ok(Router::new()
        .push(Router::with_path("burn").get(report_handler(ReportKind::Burn)))
        .push(Router::with_path("explain/{id}").get(report_handler(ReportKind::Explain)))
        .push(Router::with_path("status").get(report_handler(ReportKind::Status)))
        .push(Router::with_path("metrics").get(metrics)))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportKind {
    Burn,
    Explain,
    Status,
}

struct ReportHandler {
    shared: Arc<Shared>,
    kind: ReportKind,
}

impl ReportHandler {
    async fn respond(&self, request: &mut Request, res: &mut Response) -> Result<(), ReportError> {
        if !is_operator(request, &self.shared) {
            let message = "authorization: no operator has this key";
            return Err(ReportError::new(StatusCode::UNAUTHORIZED, message));
        }
        match self.kind {
            ReportKind::Burn => {
                let window = request.query::<String>("window");
                render_json(res, &self.burn(window.as_deref().unwrap_or("1h")).await?);
            }
            ReportKind::Explain => {
                let id = request.param::<String>("id").unwrap_or_default();
                render_json(res, &self.explain(&id).await?);
            }
            ReportKind::Status => render_json(res, &self.status().await),
        }
        Ok(())
    }

    async fn burn(&self, window: &str) -> Result<Report, ReportError> {
        let window = Window::parse(window)
            .map_err(|error| ReportError::new(StatusCode::BAD_REQUEST, error.to_string()))?;
        let members = self.shared.snapshot.load().members.to_vec();
        let answers = self
            .query_members(&members, RequestedReport::Burn(window))
            .await;
        let answers = answers.into_iter().map(|(router, reply)| MemberReply {
            router,
            stats: reply.and_then(ReportReply::into_burn),
        });
        let services = &self.shared.snapshot.load().configuration.services;
        let objectives: BTreeMap<_, _> = services
            .iter()
            .map(|(name, service)| (Arc::clone(name), service.objectives.clone()))
            .collect();
        Ok(Report::merge(&objectives, window, answers.collect()))
    }

    /// Returns the explanation of a request, from the routers whose tag is in the request id.
    ///
    /// Several routers can share a tag; all of them are queried, and the first explanation found is returned.
    async fn explain(&self, id: &str) -> Result<Explanation, ReportError> {
        let id = RequestId::try_parse(id).map_err(|_| {
            let message = format!("id: {} is no request id", id.escape_debug());
            ReportError::new(StatusCode::BAD_REQUEST, message)
        })?;
        let tag = router_tag_of(id);
        let members = self.shared.snapshot.load().members.to_vec();
        let candidates: Vec<Member> = members
            .into_iter()
            .filter(|member| router_tag(&member.router) == tag)
            .collect();
        if candidates.is_empty() {
            let message = "id: no present member made this request id";
            return Err(ReportError::new(StatusCode::NOT_FOUND, message));
        }
        let mut reason = "the router that made the id no longer holds its explanation".to_owned();
        for (router, reply) in self
            .query_members(&candidates, RequestedReport::Explain(id))
            .await
        {
            match reply.and_then(ReportReply::into_explanation) {
                Ok(Some(explanation)) => return Ok(explanation),
                Ok(None) => {}
                Err(error) => reason = format!("router {router} could not be asked: {error}"),
            }
        }
        Err(ReportError::new(StatusCode::NOT_FOUND, reason))
    }

    async fn status(&self) -> FleetStatus {
        let members = self.shared.snapshot.load().members.to_vec();
        let mut present = Vec::new();
        let mut missing = Vec::new();
        for (router, reply) in self.query_members(&members, RequestedReport::Status).await {
            match reply.and_then(ReportReply::into_status) {
                Ok(status) => present.push(status),
                Err(error) => missing.push(MissingMember {
                    router,
                    reason: error.to_string(),
                }),
            }
        }
        FleetStatus::merge(Arc::clone(&self.shared.settings.router), present, missing)
    }

    async fn query_members(
        &self,
        members: &[Member],
        query: RequestedReport,
    ) -> Vec<(RouterId, Result<ReportReply, Error>)> {
        let queries = members.iter().map(async |member| {
            let reply = if member.router == self.shared.settings.router {
                query_local(&self.shared, query).await
            } else {
                query_peer(&self.shared, member, query).await
            };
            (Arc::clone(&member.router), reply)
        });
        join_all(queries).await
    }
}

async fn query_local(shared: &Shared, query: RequestedReport) -> Result<ReportReply, Error> {
    let (reply, received) = oneshot::channel();
    let no_answer = || Error::new(ErrorKind::Unavailable, "the control thread did not answer");
    shared
        .events()
        .send(Event::Report(query, reply))
        .await
        .map_err(|_| no_answer())?;
    tokio::time::timeout(MEMBER_TIMEOUT, received)
        .await
        .map_err(|_| no_answer())?
        .map_err(|_| no_answer())
}

async fn query_peer(
    shared: &Shared,
    member: &Member,
    query: RequestedReport,
) -> Result<ReportReply, Error> {
    let request = match query {
        RequestedReport::Burn(window) => ReportRequest::burn(window),
        RequestedReport::Explain(id) => ReportRequest::explain(id),
        RequestedReport::Status => ReportRequest::status(),
    };
    let no_answer = || {
        let message = format!("no answer in {} ms", MEMBER_TIMEOUT.as_millis());
        Error::new(ErrorKind::Unavailable, message)
    };
    let links = shared.links.get().ok_or_else(no_answer)?;
    let body = Body::encode(Kind::Status, &request);
    let reply = links.request(member.peers, body, MEMBER_TIMEOUT).await;
    reply.ok_or_else(no_answer)?.decode()
}

#[async_trait]
impl salvo::Handler for ReportHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if let Err(error) = self.respond(request, res).await {
            res.status_code(error.status);
            res.render(Json(json!({"error": error.message})));
        }
    }
}

/// Handles `GET /metrics`.
struct MetricsHandler {
    shared: Arc<Shared>,
    recorder: PrometheusHandle,
}

#[async_trait]
impl salvo::Handler for MetricsHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let (done, updated) = oneshot::channel();
        if self.shared.events().send(Event::Scrape(done)).await.is_ok() {
            // Gauges that the control thread did not update in time keep their last values.
            let _ = tokio::time::timeout(MEMBER_TIMEOUT, updated).await;
        }
        res.render(self.recorder.render());
    }
}

struct ReportError {
    status: StatusCode,
    message: String,
}

impl ReportError {
    fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }
}

fn render_json(res: &mut Response, report: &(impl Serialize + Send + Sync)) {
    res.render(Json(report));
}
