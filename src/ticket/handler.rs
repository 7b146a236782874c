//! HTTP handlers of the ticket API for operators.
//!
//! `POST /tickets` submits a ticket, `POST /tickets/check` validates one, `GET /tickets` lists accepted tickets,
//! `GET /tickets/{number}` returns one, and `GET /tickets/{number}/status` returns the members that have it active.
//! The routes do not authenticate operators; the caller must install an authentication handler before them.

use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Serialize;

use super::api::TicketApi;
use super::reply::TicketReply;
use crate::error::{Error, ErrorKind};
use crate::id::TicketNumber;

/// The maximum size of a ticket document, in bytes, which is enough for an initial import of all client accounts.
const MAX_DOCUMENT_BYTES: usize = 32 << 20;

/// Returns the routes of `api`, relative to the root of the operator interface.
#[must_use]
pub fn ticket_routes(api: TicketApi) -> Router {
    let ticket = Router::with_path("{number}")
        .get(show_ticket)
        .push(Router::with_path("status").get(status_ticket));
    Router::with_path("tickets")
        .hoop(salvo::affix_state::inject(api))
        .get(list_tickets)
        .post(submit_ticket)
        .push(Router::with_path("check").post(check_ticket))
        .push(ticket)
}

/// The body of an error response.
#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

#[handler]
async fn submit_ticket(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let api = api_from(depot);
    match req.payload_with_max_size(MAX_DOCUMENT_BYTES).await {
        Ok(document) => render_reply(res, &api.submit(document).await),
        Err(error) => render_error(res, StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()),
    }
}

#[handler]
async fn check_ticket(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let api = api_from(depot);
    match req.payload_with_max_size(MAX_DOCUMENT_BYTES).await {
        Ok(document) => render_reply(res, &api.check(document)),
        Err(error) => render_error(res, StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()),
    }
}

#[handler]
async fn list_tickets(depot: &mut Depot, res: &mut Response) {
    let tickets = api_from(depot).list().await;
    render(res, tickets.map(Some));
}

#[handler]
async fn show_ticket(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let details = match req.param::<TicketNumber>("number") {
        Some(number) => api_from(depot).show(number).await,
        None => Ok(None),
    };
    render(res, details);
}

#[handler]
async fn status_ticket(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let status = match req.param::<TicketNumber>("number") {
        Some(number) => api_from(depot).status(number).await,
        None => Ok(None),
    };
    render(res, status);
}

fn api_from(depot: &Depot) -> TicketApi {
    let api = depot.get_typed::<TicketApi>();
    api.expect("route state contains the ticket API").clone()
}

fn render_reply(res: &mut Response, reply: &TicketReply) {
    let status = StatusCode::from_u16(reply.status_code());
    res.status_code(status.expect("reply has a valid status code"));
    res.render(Json(reply));
}

fn render<T: Serialize + Send>(res: &mut Response, result: Result<Option<T>, Error>) {
    match result {
        Ok(Some(value)) => res.render(Json(value)),
        Ok(None) => render_error(res, StatusCode::NOT_FOUND, "no such ticket is accepted"),
        Err(error) if error.kind() == ErrorKind::Unavailable => {
            render_error(res, StatusCode::SERVICE_UNAVAILABLE, &error.to_string());
        }
        Err(error) => render_error(res, StatusCode::BAD_GATEWAY, &error.to_string()),
    }
}

fn render_error(res: &mut Response, status: StatusCode, error: &str) {
    let error = error.to_owned();
    res.status_code(status);
    res.render(Json(ErrorBody { error }));
}
