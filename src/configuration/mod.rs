//! The configuration as one immutable value: what all accepted change tickets add up to.
//!
//! Routers swap the whole value at once, so that a request sees either all of a ticket or nothing of it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::account::Account;
use crate::id::{AccountId, PoolName, PreferenceName, Revision, ServiceName};
use crate::pool::Pool;
use crate::preference::Preference;
use crate::service::Service;

mod adoption;
mod load;
mod message;
mod state;
#[cfg(test)]
mod tests;
mod transfer;
mod watch;

pub use self::adoption::{Adoption, InForce, StateSource};
pub use self::message::{Announce, Fetch, UpdatePart};
pub use self::transfer::{ReadStep, UpdateReader, UpdateServer};
pub(crate) use self::watch::is_watcher;
pub use self::watch::{ROOT_TOPIC, RootWatch, WATCH_WAIT, WATCHERS_A_ZONE, WatchEvent, WatchStep};

pub(crate) use self::load::{LoadStep, Loading};
pub use self::load::{load, load_root};
pub use self::state::{Acceptance, ObjectKind, ROOT_KEY, Root, StoredState};
pub(crate) use self::state::{
    Entries, Entry, LogPage, RetiredShard, Shard, ShardId, ShardName, digest_of, read_shard,
    shard_key, shard_name,
};

/// The whole configuration at one revision.
///
/// Objects stand behind `Arc`, so that adopting a revision costs memory only for what changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The revision, zero where no ticket was accepted yet.
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
    /// Returns the preference of `service`, or the default preference where it names none.
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
