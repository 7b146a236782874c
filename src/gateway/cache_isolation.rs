//! Cache isolation: which client accounts share cached prompt parts.
//!
//! Replicas and KV stores find a cached part only under the text, the *cache scope*, of the request that made it. They
//! check nothing else, and a KV store keeps its parts across changes of the configuration. A scope must therefore tell
//! who may have filled it:
//!
//! - An isolated account has a scope of its own, which no other account ever fills.
//! - All other accounts share a scope that is named by the set of isolated accounts. Whoever filled it had a
//!   configuration with the same set, so it was none of the accounts that are isolated now.
//!
//! This holds for any order of changes, and it depends on one configuration only. Routers that have just started or
//! have missed some versions name the same scopes, with nothing to remember and nothing to agree on.
//!
//! Rejected: naming the shared scope by the accounts that share it, since each new account would empty the caches for
//! all; a scope for each group of accounts, since each group would compute the common parts again all the time; a
//! generation in the platform's store, since a router out of touch can't know it. See
//! docs/design/cache-isolation.md.

use std::collections::BTreeSet;
use std::fmt;

use sha2::{Digest, Sha256};

use super::route::GatewayAccount;
use crate::id::{AccountId, WeightsVersion};

/// The length of a set's digest in bytes; sets with equal digests can't be found in practice.
const DIGEST_LEN: usize = 16;

/// The isolated accounts of one configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CacheIsolation {
    isolated: BTreeSet<AccountId>,
    digest: [u8; DIGEST_LEN],
}

/// The requests that may use each other's cached parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CacheDomain<'a> {
    /// The requests of one isolated account.
    Account(&'a str),
    /// The requests of all accounts outside the set with this digest, and those without an account.
    Shared(&'a [u8; DIGEST_LEN]),
}

/// How a configuration changed the set of isolated accounts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct IsolationChange {
    /// The number of accounts that are isolated and were not before.
    pub added: usize,
    /// The number of accounts that were isolated and are not any more.
    pub removed: usize,
}

impl CacheIsolation {
    /// Finds the isolated accounts of a configuration.
    #[must_use]
    pub(crate) fn new(accounts: &[GatewayAccount]) -> Self {
        let isolated = accounts.iter().filter(|account| account.is_isolated);
        Self::of(isolated.map(|account| account.name.clone()).collect())
    }

    fn of(isolated: BTreeSet<AccountId>) -> Self {
        let mut hasher = Sha256::new();
        for name in &isolated {
            hasher.update((name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
        }
        let hash = hasher.finalize();
        let mut digest = [0; DIGEST_LEN];
        digest.copy_from_slice(&hash[..DIGEST_LEN]);
        Self { isolated, digest }
    }

    /// Returns the domain of a request of `account`, as the account was when the request was accepted.
    ///
    /// An account that became isolated since then is isolated for this request too. One that is no longer isolated, or
    /// that has been removed, stays isolated until the request ends.
    #[must_use]
    pub(crate) fn domain<'a>(&'a self, account: Option<&'a GatewayAccount>) -> CacheDomain<'a> {
        match account {
            Some(account) if account.is_isolated || self.isolated.contains(&account.name) => {
                CacheDomain::Account(&account.name)
            }
            _ => CacheDomain::Shared(&self.digest),
        }
    }

    /// Returns the number of isolated accounts.
    #[must_use]
    pub(crate) fn isolated_len(&self) -> usize {
        self.isolated.len()
    }

    /// Returns how the set of isolated accounts differs from that of `before`; `None` if it does not.
    #[must_use]
    pub(crate) fn change_since(&self, before: &Self) -> Option<IsolationChange> {
        let change = IsolationChange {
            added: self.isolated.difference(&before.isolated).count(),
            removed: before.isolated.difference(&self.isolated).count(),
        };
        (change.added + change.removed > 0).then_some(change)
    }
}

impl CacheDomain<'_> {
    /// Returns the name of the isolated account.
    #[must_use]
    pub(crate) const fn account(&self) -> Option<&str> {
        match self {
            Self::Account(name) => Some(name),
            Self::Shared(_) => None,
        }
    }

    /// Returns the cache scope of this domain for prompts on these weights.
    ///
    /// It contains the weights version, so that parts computed with older weights never match.
    #[must_use]
    pub(crate) fn scope(&self, weights: WeightsVersion) -> String {
        format!("{weights}/{self}")
    }
}

impl fmt::Display for CacheDomain<'_> {
    /// Writes a text that differs for each domain and is valid in a header, whatever the account is called.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            // No encoded name is a percent sign alone.
            Self::Account("") => f.write_str("%"),
            Self::Account(name) => write_encoded(f, name),
            // No encoded name contains an asterisk.
            Self::Shared(digest) => {
                f.write_str("*")?;
                digest.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }
    }
}

/// Writes a name with each byte but ASCII letters, digits, `-`, `_` and `.` percent-encoded (RFC 3986, section 2.1).
fn write_encoded(f: &mut fmt::Formatter<'_>, name: &str) -> fmt::Result {
    name.bytes().try_for_each(|byte| match byte {
        b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.' => {
            fmt::Write::write_char(f, char::from(byte))
        }
        _ => write!(f, "%{byte:02X}"),
    })
}
