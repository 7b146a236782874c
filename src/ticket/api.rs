//! Implements the operations of the ticket API.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use serde_json::Value;

use super::reply::{MemberRevision, TicketDetails, TicketReply, TicketStatus};
use super::submission::document_key;
use super::{Ticket, TicketOutcome, check, check_against, submit};
use crate::configuration::{AcceptedTicket, StoredState, decode_shard, load, shard_key};
use crate::error::{Error, ErrorKind};
use crate::id::TicketNumber;
use crate::store::Client;

/// The maximum number of tickets in a list.
const MAX_LISTED: usize = 512;

/// The ticket API of a router, with its connections to the other parts of the router.
#[derive(Clone)]
pub struct TicketApi {
    /// The client of the platform's store.
    pub store: Client,
    /// Returns the active state.
    pub active: Arc<dyn Fn() -> Arc<StoredState> + Send + Sync>,
    /// Adopts the state that an accepted ticket created and announces it to peers.
    pub adopt: Arc<dyn Fn(StoredState) -> BoxFuture<'static, ()> + Send + Sync>,
    /// Returns the active revision of each member, including this router.
    pub members: Arc<dyn Fn() -> BoxFuture<'static, Vec<MemberRevision>> + Send + Sync>,
}

impl TicketApi {
    /// Validates a document against the active configuration without submitting it.
    #[must_use]
    pub fn check(&self, document: &[u8]) -> TicketReply {
        let ticket = match check(document) {
            Ok(ticket) => ticket,
            Err(faults) => return TicketReply::Refused { faults },
        };
        let faults = check_against(&(self.active)(), &ticket);
        match faults.is_empty() {
            true => TicketReply::Sound {
                ticket: ticket.ticket,
            },
            false => TicketReply::Refused { faults },
        }
    }

    /// Submits a document. The new state is adopted before the reply is returned.
    pub async fn submit(&self, document: &[u8]) -> TicketReply {
        let ticket = match check(document) {
            Ok(ticket) => ticket,
            Err(faults) => return TicketReply::Refused { faults },
        };
        let known = (self.active)();
        let outcome = submit(&self.store, &known, &ticket).await;
        let reply = TicketReply::of(&ticket, &outcome);
        log_outcome(&ticket, &reply);
        if let TicketOutcome::Accepted { state, .. } = outcome {
            (self.adopt)(*state).await;
        }
        reply
    }

    /// Returns the latest accepted tickets, newest first.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`load`].
    pub async fn list(&self) -> Result<Vec<AcceptedTicket>, Error> {
        let state = self.load_latest().await?;
        let mut accepted = Vec::new();
        for page in state.root.log.iter().rev() {
            let mut entries = self.read_page(&page.shard).await?;
            entries.reverse();
            accepted.append(&mut entries);
            if accepted.len() >= MAX_LISTED {
                break;
            }
        }
        accepted.truncate(MAX_LISTED);
        Ok(accepted)
    }

    /// Returns how many members have a ticket active, or `None` if no ticket with this number was accepted.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`load`].
    pub async fn status(&self, number: TicketNumber) -> Result<Option<TicketStatus>, Error> {
        let accepted = self.find(number).await?;
        let members = (self.members)().await;
        Ok(accepted.map(|accepted| TicketStatus::of(number, accepted.revision, &members)))
    }

    /// Returns an accepted ticket with its document, or `None` if no ticket with this number was accepted.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`load`].
    pub async fn show(&self, number: TicketNumber) -> Result<Option<TicketDetails>, Error> {
        let Some(accepted) = self.find(number).await? else {
            return Ok(None);
        };
        let stored = self
            .store
            .get(&document_key(number, &accepted.digest))
            .await?;
        let document =
            stored.and_then(|stored| serde_json::from_slice::<Value>(&stored.value).ok());
        Ok(Some(TicketDetails {
            ticket: number,
            revision: accepted.revision,
            digest: accepted.digest,
            document,
        }))
    }

    async fn find(&self, number: TicketNumber) -> Result<Option<AcceptedTicket>, Error> {
        let state = self.load_latest().await?;
        let pages = state.root.log.iter().rev();
        for page in pages.filter(|page| (page.lowest..=page.highest).contains(&number)) {
            let entries = self.read_page(&page.shard).await?;
            if let Some(entry) = entries.into_iter().find(|entry| entry.ticket == number) {
                return Ok(Some(entry));
            }
        }
        Ok(None)
    }

    async fn load_latest(&self) -> Result<StoredState, Error> {
        load(&self.store, &(self.active)()).await
    }

    async fn read_page(&self, name: &str) -> Result<Vec<AcceptedTicket>, Error> {
        let page = self.store.get(&shard_key(name)).await?;
        let missing = || {
            Error::new(
                ErrorKind::Unavailable,
                "a page of the log was replaced; ask again",
            )
        };
        decode_shard(name, &page.ok_or_else(missing)?.value)
    }
}

fn log_outcome(ticket: &Ticket, reply: &TicketReply) {
    let number = ticket.ticket;
    match reply {
        TicketReply::Accepted { revision, .. } => {
            log::info!("ticket: accepted. ticket={number} revision={revision}");
        }
        TicketReply::Refused { faults } => {
            log::info!("ticket: refused. ticket={number} faults={}", faults.len());
        }
        other => log::warn!(
            "ticket: not accepted. ticket={number} status={}",
            other.status_code()
        ),
    }
}
