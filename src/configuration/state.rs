//! The stored form of the configuration: a root object that names immutable shards.
//!
//! The key of a shard contains the revision that it was written for and the digest of its bytes. Only an attempt to
//! create that revision writes the shard, so a shard that a later root does not name is never named again and may be
//! removed. See docs/design/tickets.md.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use super::Configuration;
use crate::account::Account;
use crate::error::{Error, ErrorKind};
use crate::id::{Revision, TicketNumber};
use crate::pool::Pool;
use crate::preference::Preference;
use crate::service::Service;
use crate::store::ObjectVersion;

/// The key of the root object.
pub const ROOT_KEY: &str = "configuration/root";
/// The prefix of the keys of all shards.
pub(crate) const SHARD_PREFIX: &str = "configuration/shards/";

/// The number of shards over which client accounts are distributed.
const ACCOUNT_SHARDS: u64 = 512;
/// The number of shards over which the objects of each other kind are distributed.
const OTHER_SHARDS: u64 = 16;

/// The id of a slot, which holds one shard, such as `accounts-17`.
pub(crate) type SlotId = Arc<str>;
/// The name of a shard, which is its key without [`SHARD_PREFIX`], such as `12-9f86d0…`.
pub(crate) type ShardName = Arc<str>;

/// The kinds of objects that a ticket can change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// Client accounts.
    Accounts,
    /// Services.
    Services,
    /// Engine pools.
    Pools,
    /// Routing preferences.
    Preferences,
}

impl ObjectKind {
    /// Returns the name of the section for this kind in a ticket.
    #[must_use]
    pub const fn section(self) -> &'static str {
        match self {
            Self::Accounts => "accounts",
            Self::Services => "services",
            Self::Pools => "pools",
            Self::Preferences => "preferences",
        }
    }

    /// Returns the slot of the shard that holds the object `name`.
    pub(crate) fn slot_of(self, name: &str) -> SlotId {
        let shards = match self {
            Self::Accounts => ACCOUNT_SHARDS,
            _ => OTHER_SHARDS,
        };
        let slot = xxh3_64(name.as_bytes()) % shards;
        format!("{}-{slot}", self.section()).into()
    }
}

/// One object of a shard, with the last ticket that wrote it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Entry<T> {
    /// The last ticket that wrote the object.
    pub(crate) ticket: TicketNumber,
    /// The state of the object, or `None` after its removal.
    #[serde(default = "Option::default", skip_serializing_if = "Option::is_none")]
    pub(crate) state: Option<Arc<T>>,
}

/// The objects of one kind by name.
pub(crate) type Entries<T> = BTreeMap<Arc<str>, Entry<T>>;

/// One shard. It holds objects of one kind, so at most one of the four maps is not empty.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Shard {
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) accounts: Entries<Account>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) services: Entries<Service>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) pools: Entries<Pool>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) preferences: Entries<Preference>,
}

impl Shard {
    /// Returns the last ticket that wrote an object, if any.
    pub(crate) fn ticket_of(&self, kind: ObjectKind, name: &str) -> Option<TicketNumber> {
        match kind {
            ObjectKind::Accounts => self.accounts.get(name).map(|entry| entry.ticket),
            ObjectKind::Services => self.services.get(name).map(|entry| entry.ticket),
            ObjectKind::Pools => self.pools.get(name).map(|entry| entry.ticket),
            ObjectKind::Preferences => self.preferences.get(name).map(|entry| entry.ticket),
        }
    }

    /// Drops the entries of removed objects whose last ticket is at or below `floor`. Tickets up to `floor` are
    /// rejected without them.
    pub(crate) fn drop_tombstones(&mut self, floor: TicketNumber) {
        fn retain_entries<T>(entries: &mut Entries<T>, floor: TicketNumber) {
            entries.retain(|_, entry| entry.state.is_some() || entry.ticket > floor);
        }
        retain_entries(&mut self.accounts, floor);
        retain_entries(&mut self.services, floor);
        retain_entries(&mut self.pools, floor);
        retain_entries(&mut self.preferences, floor);
    }
}

/// An accepted ticket in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedTicket {
    /// The number of the ticket.
    pub ticket: TicketNumber,
    /// The digest of the content of the ticket.
    pub digest: Arc<str>,
    /// The revision that the ticket created.
    pub revision: Revision,
}

/// A page of the log of accepted tickets, with the range of its ticket numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LogPage {
    /// The shard that holds the page, as a list of [`AcceptedTicket`].
    pub(crate) shard: ShardName,
    /// The number of tickets on the page.
    pub(crate) tickets: usize,
    /// The lowest ticket number on the page.
    pub(crate) lowest: TicketNumber,
    /// The highest ticket number on the page.
    pub(crate) highest: TicketNumber,
}

/// A shard that the root no longer names. It is kept for a while, for routers that still read an older root.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RetiredShard {
    /// The name of the shard.
    pub(crate) shard: ShardName,
    /// The time at which it was retired, in milliseconds since the Unix epoch, on the clock of the router that retired
    /// it.
    pub(crate) retired_unix_ms: u64,
}

/// The root object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Root {
    /// The revision, which each accepted ticket increments by one.
    pub revision: Revision,
    /// The ticket number at or below which tickets are rejected, because the log no longer shows whether they were
    /// accepted.
    pub(crate) floor: TicketNumber,
    /// The names of the shards by slot.
    pub(crate) shards: BTreeMap<SlotId, ShardName>,
    /// The pages of the log, oldest first.
    pub(crate) log: Vec<LogPage>,
    /// The shards that are to be removed.
    pub(crate) retired: Vec<RetiredShard>,
}

/// A root and its shards.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The version of the root object, or `None` if there is no root yet or the state came from a peer.
    pub(crate) root_version: Option<ObjectVersion>,
    /// The root.
    pub(crate) root: Arc<Root>,
    /// The shards by slot, one for each that the root names.
    pub(crate) shards: BTreeMap<SlotId, Arc<Shard>>,
}

impl StoredState {
    /// Returns the revision, or zero before the first accepted ticket.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.root.revision
    }

    /// Returns the version of the root object, if the state was read from the platform.
    #[must_use]
    pub const fn root_version(&self) -> Option<ObjectVersion> {
        self.root_version
    }

    /// Returns the configuration that the shards form.
    #[must_use]
    pub fn configuration(&self) -> Configuration {
        let mut configuration = Configuration {
            revision: self.root.revision,
            ..Configuration::default()
        };
        for shard in self.shards.values() {
            extend_with_present(&shard.accounts, &mut configuration.accounts);
            extend_with_present(&shard.services, &mut configuration.services);
            extend_with_present(&shard.pools, &mut configuration.pools);
            extend_with_present(&shard.preferences, &mut configuration.preferences);
        }
        configuration
    }

    /// Returns the last ticket that wrote an object, if any.
    #[must_use]
    pub fn ticket_of(&self, kind: ObjectKind, name: &str) -> Option<TicketNumber> {
        let shard = self.shards.get(&kind.slot_of(name))?;
        shard.ticket_of(kind, name)
    }

    /// Returns the shard of `slot` if its name is `name`, so that it need not be read again.
    pub(crate) fn shard_if_named(&self, slot: &str, name: &str) -> Option<&Arc<Shard>> {
        let known = self.root.shards.get(slot)?;
        (**known == *name).then(|| &self.shards[slot])
    }
}

fn extend_with_present<T>(entries: &Entries<T>, into: &mut BTreeMap<Arc<str>, Arc<T>>) {
    let present = entries
        .iter()
        .filter_map(|(name, entry)| Some((name.clone(), entry.state.clone()?)));
    into.extend(present);
}

/// Returns the name of the shard with the content `bytes`, written for `revision`.
pub(crate) fn shard_name(revision: Revision, bytes: &[u8]) -> ShardName {
    format!("{revision}-{}", sha256_hex(bytes)).into()
}

/// Returns the key of a shard in the platform's store.
pub(crate) fn shard_key(name: &str) -> Arc<str> {
    format!("{SHARD_PREFIX}{name}").into()
}

/// Returns the lower-case hexadecimal SHA-256 digest of `bytes`.
pub(crate) fn sha256_hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut hex = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}

/// Decodes the shard `name` from `bytes`, after checking its digest.
///
/// # Errors
///
/// Returns [`ErrorKind::Protocol`] if the digest differs or the bytes cannot be decoded.
pub(crate) fn decode_shard<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, Error> {
    let expected = name.split_once('-').map(|(_, digest)| digest);
    if expected != Some(&*sha256_hex(bytes)) {
        let message = format!("the content of shard {name} does not match its digest");
        return Err(Error::new(ErrorKind::Protocol, message));
    }
    decode_json(name, bytes)
}

/// Decodes `bytes` as JSON.
///
/// # Errors
///
/// Returns [`ErrorKind::Protocol`] if the bytes cannot be decoded. The message names `what`.
pub(crate) fn decode_json<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| {
        let message = format!("{what} cannot be decoded: {error}");
        Error::new(ErrorKind::Protocol, message)
    })
}
