//! Answers `POST /tickets`: submits a change ticket.

use std::sync::Arc;

use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Request, Response, async_trait};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use super::caller::bearer_key;
use super::chat::read_body;
use crate::control::Shared;
use crate::ticket::{self, TicketOutcome};

/// The largest ticket, in bytes.
const TICKET_LIMIT_BYTES: usize = 64 << 20;

/// Handles submitted tickets.
pub(crate) struct TicketHandler {
    shared: Arc<Shared>,
}

impl TicketHandler {
    /// Makes the handler.
    pub(crate) const fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn answer(&self, request: &mut Request) -> (StatusCode, Value) {
        if !is_operator(request, &self.shared) {
            return (
                StatusCode::UNAUTHORIZED,
                json!({"error": "authorization: no operator has this key"}),
            );
        }
        let Ok(document) = read_body(request, TICKET_LIMIT_BYTES).await else {
            let error = format!(
                "body: the ticket can't be read or is larger than {TICKET_LIMIT_BYTES} bytes"
            );
            return (StatusCode::BAD_REQUEST, json!({"error": error}));
        };
        match ticket::check(&document) {
            Ok(ticket) => self.submit(&ticket).await,
            Err(faults) => (StatusCode::BAD_REQUEST, faults_body(&faults)),
        }
    }

    async fn submit(&self, ticket: &ticket::Ticket) -> (StatusCode, Value) {
        let known = self.shared.stored.load_full();
        match ticket::submit(&self.shared.store, &known, ticket).await {
            TicketOutcome::Accepted { revision, state } => {
                self.shared.offer_configuration(Arc::new(*state)).await;
                (
                    StatusCode::OK,
                    json!({"ticket": ticket.ticket, "revision": revision}),
                )
            }
            TicketOutcome::Conflict { revision } => {
                let error = format!(
                    "ticket: number {} was accepted with other content",
                    ticket.ticket
                );
                (
                    StatusCode::CONFLICT,
                    json!({"error": error, "revision": revision}),
                )
            }
            TicketOutcome::Refused(faults) => {
                (StatusCode::UNPROCESSABLE_ENTITY, faults_body(&faults))
            }
            TicketOutcome::Unavailable(reason) => {
                let error = format!("the platform is away and nothing changed: {reason}");
                (StatusCode::SERVICE_UNAVAILABLE, json!({"error": error}))
            }
            TicketOutcome::Unknown(reason) => {
                let error = format!("the ticket may be accepted; send it again: {reason}");
                (StatusCode::GATEWAY_TIMEOUT, json!({"error": error}))
            }
        }
    }
}

#[async_trait]
impl salvo::Handler for TicketHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let (status, body) = self.answer(request).await;
        res.status_code(status);
        res.render(Json(body));
    }
}

/// Tells whether the request carries an operator's key; every digest is compared, in constant time.
pub(crate) fn is_operator(request: &Request, shared: &Shared) -> bool {
    let Some(key) = bearer_key(request) else {
        return false;
    };
    let digest: String = Sha256::digest(key.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    shared
        .settings
        .operator_key_sha256
        .iter()
        .fold(false, |found, known| {
            found | bool::from(known.as_bytes().ct_eq(digest.as_bytes()))
        })
}

fn faults_body(faults: &[crate::fault::Fault]) -> Value {
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    json!({"error": "the ticket has faults", "faults": faults})
}
