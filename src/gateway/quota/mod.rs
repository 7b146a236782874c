//! Quotas of client accounts, which all routers enforce together.
//!
//! Each account has one owner among the routers, which keeps a token bucket for it ([`owner`]) and grants tokens from
//! it. The other routers request tokens before they send a request to a replica ([`grants`]). A grant expires soon after
//! its request was sent, so the tokens that are granted and not yet used are bounded whatever fails. See
//! docs/design/quotas.md.
//!
//! Rejected: a fixed share of the quota for each router, which refuses most of the requests of an account whose callers
//! use a few routers; counting first and comparing the counts later, which lets a flood pass for the time that counts
//! need to spread; and the platform's store, which would be called for each request.

use xxhash_rust::xxh3::xxh3_64;

pub(crate) mod fleet_share;
pub(crate) mod gate;
pub(crate) mod grants;
pub(crate) mod message;
pub(crate) mod owned;
pub(crate) mod owner;
pub(crate) mod permit;

#[cfg(test)]
mod tests;

/// The hash of an account's name, which identifies the account in messages.
pub(crate) type AccountKey = u64;

/// Returns the key of the account called `name`.
pub(crate) fn account_key(name: &str) -> AccountKey {
    xxh3_64(name.as_bytes())
}

/// What an account's quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts one.
    Requests,
    /// Each request counts its tokens.
    Tokens,
}

/// The rate and the burst of an account, in units of its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// The units per second; positive.
    pub rate_per_s: f64,
    /// The units that may be used at once after a time without use.
    pub burst: f64,
}

/// The quota of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountQuota {
    /// The rate and the burst.
    pub limit: QuotaLimit,
    /// What is counted.
    pub unit: QuotaUnit,
    /// The tokens that a request without token counts costs.
    pub plain_tokens: u32,
}

/// The quota that applies to one request, and what the request costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuotaCharge {
    /// The account.
    pub(crate) account: AccountKey,
    /// The limit of the account in this router's configuration.
    pub(crate) limit: QuotaLimit,
    /// The units that the request costs.
    pub(crate) cost: u32,
}

impl QuotaLimit {
    /// Returns the limit with values that can be calculated with, or `None` if it limits nothing.
    #[must_use]
    pub(crate) fn checked(self) -> Option<Self> {
        if !self.rate_per_s.is_finite() || self.rate_per_s <= 0.0 {
            return None;
        }
        let burst = if self.burst.is_finite() {
            self.burst.max(0.0)
        } else {
            0.0
        };
        Some(Self { burst, ..self })
    }

    /// Returns this share of the limit.
    #[must_use]
    pub(crate) fn scaled(self, share: f64) -> Self {
        Self {
            rate_per_s: self.rate_per_s * share,
            burst: self.burst * share,
        }
    }
}

impl AccountQuota {
    /// Returns what a request costs whose header of token counts is `token_counts`.
    ///
    /// A header that can't be read counts as an absent one.
    #[must_use]
    pub(crate) fn cost(&self, token_counts: Option<&str>) -> u32 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => token_counts
                .and_then(sum_of_counts)
                .unwrap_or(self.plain_tokens),
        }
    }
}

fn sum_of_counts(text: &str) -> Option<u32> {
    let (prompt, output) = text.split_once(',')?;
    let prompt: u32 = prompt.trim().parse().ok()?;
    let output: u32 = output.trim().parse().ok()?;
    Some(prompt.saturating_add(output))
}
