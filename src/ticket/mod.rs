//! Change tickets: the only way for operators to change the configuration.
//!
//! A ticket is a numbered JSON document that contains, for each object that it changes, the complete new state or the
//! removal of the object. A ticket is validated and accepted atomically, by one conditional update of the
//! configuration's root. Ticket numbers order the changes of each object: a ticket is refused if a ticket with a higher
//! number has already written one of its objects. See docs/design/tickets.md.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;

use crate::account::Account;
use crate::configuration::{ObjectKind, sha256_hex};
use crate::id::{AccountId, PoolName, PreferenceName, ServiceName, TicketNumber};
use crate::pool::Pool;
use crate::preference::Preference;
use crate::service::Service;

mod api;
mod apply;
mod document;
mod handler;
mod references;
mod reply;
mod submission;
#[cfg(test)]
mod tests;

pub use self::api::TicketApi;
pub use self::apply::check_against;
pub(crate) use self::apply::{Change, Decision, apply};
pub use self::document::check;
pub use self::handler::ticket_routes;
pub use self::reply::{MemberRevision, TicketDetails, TicketReply, TicketStatus};
#[cfg(test)]
pub(crate) use self::submission::Submission;
pub use self::submission::{TicketOutcome, submit};

/// The new state of an object; `None` removes the object.
pub type NewState<T> = Option<Arc<T>>;

/// A valid change ticket.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Ticket {
    /// The ticket number, chosen by the operator.
    pub ticket: TicketNumber,
    /// The client accounts that the ticket changes, by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub accounts: BTreeMap<AccountId, NewState<Account>>,
    /// The services that the ticket changes, by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<ServiceName, NewState<Service>>,
    /// The engine pools that the ticket changes, by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub pools: BTreeMap<PoolName, NewState<Pool>>,
    /// The routing preferences that the ticket changes, by name.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub preferences: BTreeMap<PreferenceName, NewState<Preference>>,
}

impl Ticket {
    /// Returns the ticket as canonical JSON, so that equal tickets yield equal bytes regardless of the file's layout.
    #[must_use]
    pub fn canonical_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("ticket has only string keys and finite numbers")
    }

    /// Returns the digest that distinguishes a resent ticket from a different ticket with the same number.
    #[must_use]
    pub fn digest(&self) -> Arc<str> {
        sha256_hex(&self.canonical_json()).into()
    }

    /// Returns the kind and name of each object that the ticket changes.
    pub(crate) fn changed_objects(&self) -> impl Iterator<Item = (ObjectKind, &Arc<str>)> {
        let accounts = self
            .accounts
            .keys()
            .map(|name| (ObjectKind::Accounts, name));
        let services = self
            .services
            .keys()
            .map(|name| (ObjectKind::Services, name));
        let pools = self.pools.keys().map(|name| (ObjectKind::Pools, name));
        let preferences = self
            .preferences
            .keys()
            .map(|name| (ObjectKind::Preferences, name));
        accounts.chain(services).chain(pools).chain(preferences)
    }
}
