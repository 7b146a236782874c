//! Finds the client account that a presented key belongs to.
//!
//! A key is looked up by its digest. Digests are compared in constant time; what the position in the table tells is a
//! property of the digest, from which a key can't be worked back.

use std::collections::BTreeMap;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::{Choice, ConstantTimeEq};

use super::{Account, NamedAccount};
use crate::id::AccountId;

/// The SHA-256 digest of a key.
type KeyDigest = [u8; 32];

/// All valid keys of all client accounts, by digest.
#[derive(Clone, Debug, Default)]
pub struct AccountKeys {
    /// Ordered by digest.
    holders: Vec<Holder>,
}

#[derive(Clone, Debug)]
struct Holder {
    digest: KeyDigest,
    account: NamedAccount,
}

impl AccountKeys {
    /// Collects the keys of `accounts`; a digest that is no digest can't match and is left out.
    #[must_use]
    pub fn new(accounts: &BTreeMap<AccountId, Arc<Account>>) -> Self {
        let mut holders: Vec<_> = accounts
            .iter()
            .flat_map(|(id, account)| {
                let digests = account.key_sha256.iter();
                digests.filter_map(move |digest| Holder::new(digest, id, account))
            })
            .collect();
        holders.sort_unstable_by_key(|holder| holder.digest);
        Self { holders }
    }

    /// Returns the account that holds `key`, if any does.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&NamedAccount> {
        let digest: KeyDigest = Sha256::digest(key.as_bytes()).into();
        let prefix = &digest[..8];
        let first = self
            .holders
            .partition_point(|holder| &holder.digest[..8] < prefix);
        let candidates = self.holders[first..].iter();
        let mut same_prefix = candidates.take_while(|holder| &holder.digest[..8] == prefix);
        let holder = same_prefix.find(|holder| bool::from(holder.digest.ct_eq(&digest)))?;
        Some(&holder.account)
    }

    /// Returns how many keys are valid.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Tells whether no key is valid, as before the first configuration.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }
}

impl Holder {
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

/// Tells whether `key` is one of those whose hexadecimal SHA-256 digests are given, in constant time.
///
/// All digests are compared, so that the time tells neither whether nor where one matched.
#[must_use]
pub fn key_matches(digests: &[Arc<str>], key: &str) -> bool {
    let presented: KeyDigest = Sha256::digest(key.as_bytes()).into();
    let valid = digests.iter().filter_map(|digest| parse_digest(digest));
    let matched = valid.fold(Choice::from(0), |matched, digest| {
        matched | digest.ct_eq(&presented)
    });
    matched.into()
}

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
