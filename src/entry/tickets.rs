//! The operator routes for change tickets and the revision in force, which require an operator key.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use futures_util::stream::{self, StreamExt};
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Request, Response, Router, async_trait};
use serde_json::json;

use super::auth::bearer_key;
use crate::account::key_matches;
use crate::configuration::{Fetch, StoredState, UpdatePart};
use crate::control::Shared;
use crate::id::Revision;
use crate::membership::Member;
use crate::peer::{Body, Kind};
use crate::ticket::{MemberRevision, TicketApi, ticket_routes};

/// The maximum number of concurrent queries to members for the revision in force.
const MAX_CONCURRENT_QUERIES: usize = 32;
/// The maximum time for a member to respond with its revision in force.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the routes for tickets, all of which require an operator key.
pub(crate) fn routes(shared: &Arc<Shared>) -> Router {
    Router::new()
        .hoop(OperatorAuth(Arc::clone(shared)))
        .push(ticket_routes(ticket_desk(shared)))
        .push(Router::with_path("revision").get(RevisionHandler(Arc::clone(shared))))
}

/// Returns the revision in force at this router, without a request to the platform.
struct RevisionHandler(Arc<Shared>);

#[async_trait]
impl salvo::Handler for RevisionHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let revision = self.0.stored_state.load().revision();
        res.render(Json(json!({"revision": revision})));
    }
}

fn ticket_desk(shared: &Arc<Shared>) -> TicketApi {
    let (for_state, for_accept, for_members) =
        (Arc::clone(shared), Arc::clone(shared), Arc::clone(shared));
    TicketApi {
        store: shared.store.clone(),
        active: Arc::new(move || for_state.stored_state.load_full()),
        adopt: Arc::new(move |state| apply_state(Arc::clone(&for_accept), state)),
        members: Arc::new(move || Box::pin(member_revisions(Arc::clone(&for_members)))),
    }
}

pub(crate) fn apply_state(shared: Arc<Shared>, state: StoredState) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        shared.activate_accepted(state).await;
    })
}

/// Queries the revision in force at every member; one that does not respond counts as lagging.
async fn member_revisions(shared: Arc<Shared>) -> Vec<MemberRevision> {
    let members: Vec<Member> = shared.snapshot.load().members.to_vec();
    let queries = members
        .into_iter()
        .map(|member| member_revision(Arc::clone(&shared), member));
    stream::iter(queries)
        .buffered(MAX_CONCURRENT_QUERIES)
        .collect()
        .await
}

async fn member_revision(shared: Arc<Shared>, member: Member) -> MemberRevision {
    let revision = revision_of(&shared, &member).await;
    MemberRevision {
        router: member.router,
        zone: member.zone,
        revision,
    }
}

async fn revision_of(shared: &Shared, member: &Member) -> Revision {
    if member.router == shared.settings.router {
        return shared.stored_state.load().revision();
    }
    let Some(links) = shared.links.get() else {
        return 0;
    };
    let body = Body::encode(Kind::Configuration, &Fetch::revision_only());
    let answer = links.request(member.peers, body, QUERY_TIMEOUT).await;
    let part = answer.and_then(|answer| answer.decode::<UpdatePart>().ok());
    part.map_or(0, |part| part.revision)
}

/// Responds with 401 unless the request has an operator key.
pub(crate) struct OperatorAuth(pub(crate) Arc<Shared>);

#[async_trait]
impl salvo::Handler for OperatorAuth {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        if is_operator(request, &self.0) {
            return;
        }
        ctrl.skip_rest();
        res.status_code(StatusCode::UNAUTHORIZED);
        res.render(Json(
            json!({"error": "authorization: no operator has this key"}),
        ));
    }
}

/// Returns whether the request has an operator key; every digest is compared, in constant time.
pub(crate) fn is_operator(request: &Request, shared: &Shared) -> bool {
    bearer_key(request).is_some_and(|key| key_matches(&shared.settings.operator_key_sha256, key))
}
