//! Routing preferences: how a service trades tail time to first token against recomputation.

use serde::{Deserialize, Serialize};

use crate::field_error::FieldErrors;

/// The complete state of one routing preference, as a change ticket contains it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Preference {
    /// The price of a recomputed token, as a multiple of its own prefill time. It is above 1 because a
    /// recomputation also evicts entries that other requests need.
    pub recomputation_price: f64,
    /// The number of home replicas that a prefix starts with, selected by rendezvous hashing.
    pub homes: u32,
    /// The time to first token above which a request is shed instead of queued, in milliseconds.
    pub ttft_deadline_ms: u64,
    /// The expected time that a replica in another availability zone must save to be chosen, in microseconds.
    pub zone_penalty_us: u64,
    /// Whether a request whose first token is late may be hedged on a second replica.
    pub hedge: bool,
    /// The time without a first token after which a hedged request is sent, in milliseconds.
    pub hedge_after_ms: u64,
}

impl Default for Preference {
    fn default() -> Self {
        Self {
            recomputation_price: 4.0,
            homes: 2,
            ttft_deadline_ms: 30_000,
            zone_penalty_us: 1_000,
            hedge: false,
            hedge_after_ms: 2_000,
        }
    }
}

impl Preference {
    /// Validates the ranges of all fields.
    pub(crate) fn check(&self, faults: &mut FieldErrors<'_>) {
        faults.require_range("recomputation_price", self.recomputation_price, 0.0, 100.0);
        faults.require_range("homes", self.homes, 1, 64);
        faults.require_range("ttft_deadline_ms", self.ttft_deadline_ms, 1, 3_600_000);
        faults.require_range("zone_penalty_us", self.zone_penalty_us, 0, 60_000_000);
        faults.require_range("hedge_after_ms", self.hedge_after_ms, 1, 3_600_000);
    }
}
