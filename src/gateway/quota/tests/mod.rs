//! Tests of quotas: the decisions of the owner and of a router, and a replay of both on virtual time.

use std::time::Duration;

use super::{AccountQuota, QuotaCharge, QuotaLimit, QuotaSubject, QuotaTolerance, QuotaUnit};

mod decisions;
mod fleet;
mod replay;
mod replica_limits;

/// The account of the tests.
const ACCOUNT: u64 = 0x5eed;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn limit(rate_per_s: f64, burst: f64) -> QuotaLimit {
    QuotaLimit { rate_per_s, burst }
}

/// Returns the limit that the owner of an account with this limit in tokens applies.
fn owner_limit(limit: QuotaLimit) -> QuotaLimit {
    let quota = AccountQuota {
        limit,
        unit: QuotaUnit::Tokens,
        plain_tokens: 0,
    };
    let tolerance = QuotaTolerance {
        window_s: 8.0,
        overrun: 0.1,
        slack_tokens: 190_000.0,
    };
    tolerance.apply(&quota)
}

const fn charge(limit: QuotaLimit, cost: u32) -> QuotaCharge {
    QuotaCharge {
        subject: QuotaSubject::Account,
        account: ACCOUNT,
        limit,
        cost,
    }
}
