//! The configuration as it lies in the platform: a root object that names immutable shards.
//!
//! A shard's key holds the revision that it was written for and the digest of its bytes. Only an attempt to make that
//! very revision writes it, so a shard that a later root does not name is never named again and may be removed.
//! See docs/design/tickets.md.

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

/// The key of the object that names the accepted configuration.
pub const ROOT_KEY: &str = "configuration/root";
/// What the keys of all shards begin with.
pub(crate) const SHARD_PREFIX: &str = "configuration/shards/";

/// The shards over which client accounts are spread.
const ACCOUNT_SHARDS: u64 = 512;
/// The shards over which each other kind of object is spread.
const OTHER_SHARDS: u64 = 16;

/// Names a slot of the configuration, such as `accounts-17`.
pub(crate) type ShardId = Arc<str>;
/// The rest of a shard's key after [`SHARD_PREFIX`], such as `12-9f86d0…`.
pub(crate) type ShardName = Arc<str>;

/// The kinds of objects that a ticket can touch.
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
    /// Returns the name of the kind's section in a ticket.
    #[must_use]
    pub const fn section(self) -> &'static str {
        match self {
            Self::Accounts => "accounts",
            Self::Services => "services",
            Self::Pools => "pools",
            Self::Preferences => "preferences",
        }
    }

    /// Returns the shard that holds the object called `name`.
    pub(crate) fn shard_of(self, name: &str) -> ShardId {
        let shards = match self {
            Self::Accounts => ACCOUNT_SHARDS,
            _ => OTHER_SHARDS,
        };
        let slot = xxh3_64(name.as_bytes()) % shards;
        format!("{}-{slot}", self.section()).into()
    }
}

/// One object of a shard, with the ticket that wrote it last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Entry<T> {
    /// The ticket that wrote the object last.
    pub(crate) ticket: TicketNumber,
    /// The object's whole state; absent after its removal.
    #[serde(default = "Option::default", skip_serializing_if = "Option::is_none")]
    pub(crate) state: Option<Arc<T>>,
}

/// The objects of one kind by name.
pub(crate) type Entries<T> = BTreeMap<Arc<str>, Entry<T>>;

/// One shard; all but one of the four maps are empty.
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
    /// Returns the ticket that wrote an object last, if any did.
    pub(crate) fn ticket_of(&self, kind: ObjectKind, name: &str) -> Option<TicketNumber> {
        match kind {
            ObjectKind::Accounts => self.accounts.get(name).map(|entry| entry.ticket),
            ObjectKind::Services => self.services.get(name).map(|entry| entry.ticket),
            ObjectKind::Pools => self.pools.get(name).map(|entry| entry.ticket),
            ObjectKind::Preferences => self.preferences.get(name).map(|entry| entry.ticket),
        }
    }

    /// Forgets removed objects whose last ticket is at or below `floor`, which refuses such tickets by itself.
    pub(crate) fn drop_tombstones(&mut self, floor: TicketNumber) {
        fn keep<T>(entries: &mut Entries<T>, floor: TicketNumber) {
            entries.retain(|_, entry| entry.state.is_some() || entry.ticket > floor);
        }
        keep(&mut self.accounts, floor);
        keep(&mut self.services, floor);
        keep(&mut self.pools, floor);
        keep(&mut self.preferences, floor);
    }
}

/// One accepted ticket in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acceptance {
    /// The ticket's number.
    pub ticket: TicketNumber,
    /// The digest of the ticket's content.
    pub digest: Arc<str>,
    /// The revision that the ticket made.
    pub revision: Revision,
}

/// A page of the log of accepted tickets, with the range of numbers on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LogPage {
    /// The shard that holds the page, a list of [`Acceptance`].
    pub(crate) shard: ShardName,
    /// How many tickets stand on the page.
    pub(crate) tickets: usize,
    /// The lowest number on the page.
    pub(crate) lowest: TicketNumber,
    /// The highest number on the page.
    pub(crate) highest: TicketNumber,
}

/// A shard that no root names any longer, kept for a while for those who still read an older root.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RetiredShard {
    /// The shard.
    pub(crate) shard: ShardName,
    /// When it was retired, in milliseconds since the Unix epoch by the clock of the router that did it.
    pub(crate) retired_unix_ms: u64,
}

/// The root object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Root {
    /// The revision, raised by one with each accepted ticket.
    pub revision: Revision,
    /// Tickets at or below this number are refused, because the log no longer tells whether they were accepted.
    pub(crate) floor: TicketNumber,
    /// The shards by slot.
    pub(crate) shards: BTreeMap<ShardId, ShardName>,
    /// The pages of the log, the newest last.
    pub(crate) log: Vec<LogPage>,
    /// The shards that wait for their removal.
    pub(crate) retired: Vec<RetiredShard>,
}

/// A root together with its shards.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The version of the root object; `None` where there is no root yet, or where a peer gave the state.
    pub(crate) root_version: Option<ObjectVersion>,
    /// The root.
    pub(crate) root: Arc<Root>,
    /// The shards by slot, one for each that the root names.
    pub(crate) shards: BTreeMap<ShardId, Arc<Shard>>,
}

impl StoredState {
    /// Returns the revision, zero where no ticket was accepted yet.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.root.revision
    }

    /// Returns the version of the root object that the state was read from, where it came from the platform.
    #[must_use]
    pub const fn root_version(&self) -> Option<ObjectVersion> {
        self.root_version
    }

    /// Returns the configuration that the state adds up to.
    #[must_use]
    pub fn configuration(&self) -> Configuration {
        let mut configuration = Configuration {
            revision: self.root.revision,
            ..Configuration::default()
        };
        for shard in self.shards.values() {
            collect(&shard.accounts, &mut configuration.accounts);
            collect(&shard.services, &mut configuration.services);
            collect(&shard.pools, &mut configuration.pools);
            collect(&shard.preferences, &mut configuration.preferences);
        }
        configuration
    }

    /// Returns the ticket that wrote an object last, if any did.
    #[must_use]
    pub fn ticket_of(&self, kind: ObjectKind, name: &str) -> Option<TicketNumber> {
        let shard = self.shards.get(&kind.shard_of(name))?;
        shard.ticket_of(kind, name)
    }

    /// Returns the shard of `slot` where its name is `name`, so that it need not be fetched.
    pub(crate) fn shard_named(&self, slot: &str, name: &str) -> Option<&Arc<Shard>> {
        let known = self.root.shards.get(slot)?;
        (**known == *name).then(|| &self.shards[slot])
    }
}

fn collect<T>(entries: &Entries<T>, into: &mut BTreeMap<Arc<str>, Arc<T>>) {
    let present = entries
        .iter()
        .filter_map(|(name, entry)| Some((name.clone(), entry.state.clone()?)));
    into.extend(present);
}

/// Names the shard that `bytes` make at `revision`.
pub(crate) fn shard_name(revision: Revision, bytes: &[u8]) -> ShardName {
    format!("{revision}-{}", digest_of(bytes)).into()
}

/// Returns the key under which the platform holds a shard.
pub(crate) fn shard_key(name: &str) -> Arc<str> {
    format!("{SHARD_PREFIX}{name}").into()
}

/// Returns the lower-case hexadecimal SHA-256 digest of `bytes`.
pub(crate) fn digest_of(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Reads the bytes of the shard called `name`, after a check of its digest.
pub(crate) fn read_shard<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, Error> {
    let expected = name.split_once('-').map(|(_, digest)| digest);
    if expected != Some(&*digest_of(bytes)) {
        let message = format!("shard {name} does not hold what its digest says");
        return Err(Error::new(ErrorKind::Protocol, message));
    }
    read_json(name, bytes)
}

/// Reads `bytes` as JSON; the error names `what`.
pub(crate) fn read_json<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| {
        let message = format!("{what} is not understood: {error}");
        Error::new(ErrorKind::Protocol, message)
    })
}
