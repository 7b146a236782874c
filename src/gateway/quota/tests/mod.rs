//! Tests of quotas: the decisions of the owner and of a router, and a replay of both on virtual time.

use std::time::Duration;

use super::{QuotaCharge, QuotaLimit};

mod decisions;
mod fleet;
mod replay;

/// The account of the tests.
const ACCOUNT: u64 = 0x5eed;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn limit(rate_per_s: f64, burst: f64) -> QuotaLimit {
    QuotaLimit { rate_per_s, burst }
}

const fn charge(limit: QuotaLimit, cost: u32) -> QuotaCharge {
    QuotaCharge {
        account: ACCOUNT,
        limit,
        cost,
    }
}
