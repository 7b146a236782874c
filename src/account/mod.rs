//! Client accounts with their API keys, permitted services and limits.
//!
//! Only the SHA-256 digest of a key is stored, so neither the platform nor a router's memory holds a usable key.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::field_error::FieldErrors;
use crate::id::{AccountId, ServiceName};

mod keys;
#[cfg(test)]
mod tests;

pub use self::keys::{AccountKeys, key_matches};

/// The complete state of one client account, as contained in a change ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// The lower-case hexadecimal SHA-256 digests of the valid keys; two during a key rotation.
    pub key_sha256: Vec<Arc<str>>,
    /// The services that the account may call.
    pub services: Vec<ServiceName>,
    /// The limits, which apply to the whole deployment.
    #[serde(default)]
    pub limits: AccountLimits,
    /// The scheduling priority that is passed on to engines; requests with lower values are served earlier.
    #[serde(default)]
    pub priority: u8,
    /// The weight in fair queueing, relative to the weights of other accounts.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// The limits of one client account, which apply to the whole deployment and not to each router.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AccountLimits {
    /// Maximum number of requests per second.
    pub requests_per_second: f64,
    /// Maximum number of prompt and generated tokens per second.
    pub tokens_per_second: f64,
    /// Maximum number of requests in flight.
    pub concurrent_requests: u32,
}

impl Default for AccountLimits {
    fn default() -> Self {
        Self {
            requests_per_second: 100.0,
            tokens_per_second: 1_000_000.0,
            concurrent_requests: 1_000,
        }
    }
}

const fn default_weight() -> u32 {
    1
}

/// An account together with its name, as returned by a lookup by key digest.
#[derive(Clone, Debug)]
pub struct NamedAccount {
    /// The account's name.
    pub id: AccountId,
    /// The account's state.
    pub account: Arc<Account>,
}

/// The maximum number of keys of an account: a rotation needs two, the rest is a margin for mistakes.
const MAX_KEYS: usize = 4;
/// The maximum value of the rate limits of an account.
const MAX_LIMIT: f64 = 1e12;

impl Account {
    /// Checks that all fields are in range and reports violations to `faults`.
    ///
    /// References to services are checked with the whole configuration.
    pub(crate) fn check(&self, faults: &mut FieldErrors<'_>) {
        let keys = self.key_sha256.len();
        faults.require_range("key_sha256", keys, 1, MAX_KEYS);
        for (index, digest) in self.key_sha256.iter().enumerate() {
            let field = format!("key_sha256[{index}]");
            let reason = "a digest is 64 lower-case hexadecimal digits";
            faults.require(is_digest(digest), &field, reason);
        }
        faults.require_range("weight", self.weight, 1, 1_000);
        let limits = self.limits;
        faults.require_range(
            "limits.requests_per_second",
            limits.requests_per_second,
            0.001,
            MAX_LIMIT,
        );
        faults.require_range(
            "limits.tokens_per_second",
            limits.tokens_per_second,
            1.0,
            MAX_LIMIT,
        );
        faults.require_range(
            "limits.concurrent_requests",
            limits.concurrent_requests,
            1,
            1_000_000,
        );
    }
}

/// Returns whether `text` is a SHA-256 digest in lower-case hexadecimal digits.
fn is_digest(text: &str) -> bool {
    let is_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == 64 && text.bytes().all(is_hex)
}
