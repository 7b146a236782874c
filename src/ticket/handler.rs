//! The operators' HTTP interface for tickets.
//!
//! `POST /tickets` submits, `POST /tickets/check` checks, `GET /tickets` lists,
//! `GET /tickets/{number}` shows and `GET /tickets/{number}/status` tells where one is in force.
//! Whoever mounts the routes puts the operators' authentication before them.

use salvo::http::StatusCode;
use salvo::prelude::*;
use serde::Serialize;

use super::desk::TicketDesk;
use super::reply::TicketReply;
use crate::error::{Error, ErrorKind};
use crate::id::TicketNumber;

/// The largest ticket document, in bytes; a first import of all client accounts fits.
const MAX_DOCUMENT_BYTES: usize = 32 << 20;

/// Returns the routes below the operators' root; `desk` serves them.
#[must_use]
pub fn ticket_routes(desk: TicketDesk) -> Router {
    let one = Router::with_path("{number}")
        .get(show_ticket)
        .push(Router::with_path("status").get(status_ticket));
    Router::with_path("tickets")
        .hoop(salvo::affix_state::inject(desk))
        .get(list_tickets)
        .post(submit_ticket)
        .push(Router::with_path("check").post(check_ticket))
        .push(one)
}

/// The body of a failed answer.
#[derive(Serialize)]
struct Failure {
    error: String,
}

#[handler]
async fn submit_ticket(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let desk = desk_of(depot);
    match req.payload_with_max_size(MAX_DOCUMENT_BYTES).await {
        Ok(document) => render_reply(res, &desk.submit(document).await),
        Err(error) => render_failure(res, StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()),
    }
}

#[handler]
async fn check_ticket(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let desk = desk_of(depot);
    match req.payload_with_max_size(MAX_DOCUMENT_BYTES).await {
        Ok(document) => render_reply(res, &desk.check(document)),
        Err(error) => render_failure(res, StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()),
    }
}

#[handler]
async fn list_tickets(depot: &mut Depot, res: &mut Response) {
    let listed = desk_of(depot).list().await;
    render(res, listed.map(Some));
}

#[handler]
async fn show_ticket(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let shown = match req.param::<TicketNumber>("number") {
        Some(number) => desk_of(depot).show(number).await,
        None => Ok(None),
    };
    render(res, shown);
}

#[handler]
async fn status_ticket(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let status = match req.param::<TicketNumber>("number") {
        Some(number) => desk_of(depot).status(number).await,
        None => Ok(None),
    };
    render(res, status);
}

fn desk_of(depot: &Depot) -> TicketDesk {
    let desk = depot.get_typed::<TicketDesk>();
    desk.expect("the routes carry a desk").clone()
}

fn render_reply(res: &mut Response, reply: &TicketReply) {
    let status = StatusCode::from_u16(reply.status_code());
    res.status_code(status.expect("a reply has a valid status"));
    res.render(Json(reply));
}

fn render<T: Serialize + Send>(res: &mut Response, result: Result<Option<T>, Error>) {
    match result {
        Ok(Some(value)) => res.render(Json(value)),
        Ok(None) => render_failure(res, StatusCode::NOT_FOUND, "no such ticket is accepted"),
        Err(error) if error.kind() == ErrorKind::Unavailable => {
            render_failure(res, StatusCode::SERVICE_UNAVAILABLE, &error.to_string());
        }
        Err(error) => render_failure(res, StatusCode::BAD_GATEWAY, &error.to_string()),
    }
}

fn render_failure(res: &mut Response, status: StatusCode, error: &str) {
    let error = error.to_owned();
    res.status_code(status);
    res.render(Json(Failure { error }));
}
