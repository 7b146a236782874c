//! Quotas of client accounts and limits of replicas, which all routers enforce together.
//!
//! A replica that names a limit ([`crate::gateway::replica_limit`]) is treated as an account whose rate its responses
//! name. Each account has one owner among the routers, which keeps a token bucket for it ([`owner`]) and grants tokens from
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

/// The fraction of the tolerance by which bursts are larger. Without it, an account with 47,000 tokens per second and half
/// of that as its burst had 17 % of its tokens refused at half of its rate, since one request costs 17,000 tokens. With more, a fleet that is cut in
/// half again and again uses more than the tolerance.
const GRANTED_TOLERANCE: f64 = 0.15;

/// The hash of an account's name, or of a replica that names a limit; identifies either in messages.
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

/// How much more than its quota an account may use in a window, as specified by the users.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuotaTolerance {
    /// The length of the window in seconds.
    pub(crate) window_s: f64,
    /// The fraction of the quota.
    pub(crate) overrun: f64,
    /// The tokens in addition, for quotas in tokens.
    pub(crate) slack_tokens: f64,
}

impl QuotaTolerance {
    /// Returns the limit that the owner of an account applies: the configured one with a burst that is larger by a part of
    /// the tolerance.
    ///
    /// The rest of the tolerance remains for what routers grant while they are cut off or disagree about the owner.
    #[must_use]
    pub(crate) fn apply(&self, quota: &AccountQuota) -> QuotaLimit {
        let limit = quota.limit;
        let in_window = limit.rate_per_s * self.window_s + limit.burst;
        let slack = match quota.unit {
            QuotaUnit::Requests => 0.0,
            QuotaUnit::Tokens => self.slack_tokens,
        };
        let tolerance = in_window * self.overrun + slack;
        QuotaLimit {
            burst: limit.burst + tolerance * GRANTED_TOLERANCE,
            ..limit
        }
    }
}

/// Whose rate is limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaSubject {
    /// A client account, by the configuration.
    Account,
    /// A replica, by what its responses name.
    Replica,
}

/// The quota that applies to one request, and what the request costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuotaCharge {
    /// Whose rate is limited.
    pub(crate) subject: QuotaSubject,
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
