//! The configuration: one immutable value that results from all accepted change tickets.
//!
//! Routers replace the whole value atomically, so that a request sees either all changes of a ticket or none.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::account::Account;
use crate::id::{AccountId, PoolName, PreferenceName, Revision, ServiceName};
use crate::pool::Pool;
use crate::preference::Preference;
use crate::service::Service;

mod active;
mod load;
mod message;
mod state;
#[cfg(test)]
mod tests;
mod transfer;
mod watch;

pub use self::active::{ActiveConfiguration, Adoption, StateSource};
pub use self::message::{Announce, Fetch, UpdatePart};
pub use self::transfer::{ReadStep, UpdateReader, UpdateServer};
pub(crate) use self::watch::is_watcher;
pub use self::watch::{
    ROOT_TOPIC, RootWatch, WATCH_TIMEOUT, WATCHERS_PER_ZONE, WatchEvent, WatchStep,
};

pub(crate) use self::load::{LoadStep, Loader};
pub use self::load::{load, load_root};
pub use self::state::{AcceptedTicket, ObjectKind, ROOT_KEY, Root, StoredState};
pub(crate) use self::state::{
    Entries, Entry, LogPage, RetiredShard, Shard, ShardName, SlotId, decode_shard, sha256_hex,
    shard_key, shard_name,
};

/// The whole configuration at one revision.
///
/// Objects are shared through `Arc`, so that adopting a revision allocates memory only for changed objects.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The revision, or zero before the first accepted ticket.
    pub revision: Revision,
    /// The client accounts by name.
    pub accounts: BTreeMap<AccountId, Arc<Account>>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Arc<Service>>,
    /// The engine pools by name.
    pub pools: BTreeMap<PoolName, Arc<Pool>>,
    /// The routing preferences by name.
    pub preferences: BTreeMap<PreferenceName, Arc<Preference>>,
}

impl Configuration {
    /// Returns the preference that `service` names, or the default preference if it names none or an unknown one.
    #[must_use]
    pub fn preference_of(&self, service: &Service) -> Arc<Preference> {
        service
            .preference
            .as_ref()
            .and_then(|name| self.preferences.get(name))
            .cloned()
            .unwrap_or_default()
    }
}
