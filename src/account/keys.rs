//! Looks up the client account that an API key belongs to.
//!
//! Keys are looked up by their SHA-256 digests, which are compared in constant time. The search by digest prefix does
//! depend on the digest, but its timing reveals only digest bits, from which the key can't be recovered.

use std::collections::BTreeMap;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

use super::{Account, NamedAccount};
use crate::id::AccountId;

/// The SHA-256 digest of a key.
type KeyDigest = [u8; 32];

/// The digests of all valid keys of all client accounts.
#[derive(Clone, Debug, Default)]
pub struct AccountKeys {
    /// Sorted by digest.
    entries: Vec<KeyEntry>,
}

/// The digest of a key and the account that the key belongs to.
#[derive(Clone, Debug)]
struct KeyEntry {
    digest: KeyDigest,
    account: NamedAccount,
}

impl AccountKeys {
    /// Creates a table of the keys of `accounts`, leaving out malformed digests, which can't match any key.
    #[must_use]
    pub fn new(accounts: &BTreeMap<AccountId, Arc<Account>>) -> Self {
        let mut entries: Vec<_> = accounts
            .iter()
            .flat_map(|(id, account)| {
                let digests = account.key_sha256.iter();
                digests.filter_map(move |digest| KeyEntry::new(digest, id, account))
            })
            .collect();
        entries.sort_unstable_by_key(|entry| entry.digest);
        Self { entries }
    }

    /// Returns the account that `key` belongs to, or `None` if the key is not valid.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&NamedAccount> {
        let digest: KeyDigest = Sha256::digest(key.as_bytes()).into();
        let prefix = &digest[..8];
        let first = self
            .entries
            .partition_point(|entry| &entry.digest[..8] < prefix);
        let candidates = self.entries[first..].iter();
        let mut same_prefix = candidates.take_while(|entry| &entry.digest[..8] == prefix);
        let entry = same_prefix.find(|entry| bool::from(entry.digest.ct_eq(&digest)))?;
        Some(&entry.account)
    }

    /// Returns the number of valid keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no valid keys, as is the case before the first configuration.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl KeyEntry {
    fn new(digest: &str, id: &AccountId, account: &Arc<Account>) -> Option<Self> {
        Some(Self {
            digest: parse_digest(digest)?,
            account: NamedAccount {
                id: id.clone(),
                account: Arc::clone(account),
            },
        })
    }
}

/// Returns whether the SHA-256 digest of `key` is one of the hexadecimal `digests`, in constant time.
///
/// Always compares all digests, so that the timing reveals neither whether one matched nor which.
#[must_use]
pub fn key_matches(digests: &[Arc<str>], key: &str) -> bool {
    let presented: KeyDigest = Sha256::digest(key.as_bytes()).into();
    let valid = digests.iter().filter_map(|digest| parse_digest(digest));
    let matched = valid.fold(Choice::from(0), |matched, digest| {
        matched | digest.ct_eq(&presented)
    });
    matched.into()
}

/// Parses 64 hexadecimal digits; returns `None` for a malformed digest.
fn parse_digest(text: &str) -> Option<KeyDigest> {
    let text = text.as_bytes();
    if text.len() != 64 {
        return None;
    }
    let mut digest = KeyDigest::default();
    for (byte, pair) in digest.iter_mut().zip(text.chunks_exact(2)) {
        let pair = std::str::from_utf8(pair).ok()?;
        *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(digest)
}
