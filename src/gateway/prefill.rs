//! Deduplicates the prefill of long prompt prefixes across the fleet.
//!
//! When new weights come into use or a prefix becomes hot, several routers send requests with a prefix that no replica
//! has cached yet, and every replica that gets one would compute it. For each prefix, one router, found by rendezvous
//! hashing, therefore tracks which replica computes it. The first request proceeds immediately. Later ones wait until
//! the prefix is computed and then find it cached on that replica or in the KV cache store. The wait is bounded: a
//! router that gets no answer in time proceeds on its own, which may cost a duplicate prefill but never fails the
//! request.
//!
//! Load pattern handled: many first requests for one prefix within a second, from several routers.

use std::collections::HashMap;
use std::time::Duration;

use super::load::ReplicaKey;

/// How long a prefill may take before another request may compute the prefix; several times the longest specified
/// prefill.
const PREFILL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a computed prefix is assumed to stay cached after its last use.
const HOLDER_TTL: Duration = Duration::from_secs(12);
/// The number of tracked prefixes above which expired ones are removed.
const MAX_PREFIXES: usize = 16_384;

/// The hash of a prefix and its cache scope.
pub(crate) type PrefixKey = u64;

/// What a request with a shared prefix should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PrefillDecision {
    /// Compute the prefix, since no replica is known to hold it.
    Compute,
    /// Wait, since another request is computing the prefix.
    Wait,
    /// Use this replica, which holds the prefix.
    HeldBy(ReplicaKey),
}

#[derive(Clone, Copy, Debug)]
enum PrefixState {
    Computing {
        until: Duration,
    },
    Held {
        holder: ReplicaKey,
        used_at: Duration,
    },
}

/// The prefixes tracked by one router.
#[derive(Debug, Default)]
pub(crate) struct PrefillTracker {
    prefixes: HashMap<PrefixKey, PrefixState>,
}

impl PrefillTracker {
    /// Registers a request for a prefix; the first one is assumed to compute it from now on.
    pub(crate) fn request(&mut self, key: PrefixKey, now: Duration) -> PrefillDecision {
        match self.prefixes.get_mut(&key) {
            Some(PrefixState::Computing { until }) if now < *until => return PrefillDecision::Wait,
            Some(PrefixState::Held { holder, used_at }) if now < *used_at + HOLDER_TTL => {
                *used_at = now;
                return PrefillDecision::HeldBy(*holder);
            }
            _ => {}
        }
        if self.prefixes.len() >= MAX_PREFIXES {
            self.expire(now);
        }
        let until = now + PREFILL_TIMEOUT;
        self.prefixes.insert(key, PrefixState::Computing { until });
        PrefillDecision::Compute
    }

    /// Records that a replica computed a prefix or already held it.
    pub(crate) fn completed(&mut self, key: PrefixKey, holder: ReplicaKey, now: Duration) {
        self.prefixes.insert(
            key,
            PrefixState::Held {
                holder,
                used_at: now,
            },
        );
    }

    /// Records that the request that should compute a prefix failed.
    pub(crate) fn failed(&mut self, key: PrefixKey) {
        if matches!(self.prefixes.get(&key), Some(PrefixState::Computing { .. })) {
            self.prefixes.remove(&key);
        }
    }

    /// Removes prefixes whose prefill timed out or that were not used recently.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.prefixes.retain(|_, prefix| match prefix {
            PrefixState::Computing { until } => now < *until,
            PrefixState::Held { used_at, .. } => now < *used_at + HOLDER_TTL,
        });
    }
}

/// A request for a decision, or the outcome of a prefill, sent to the router that tracks the prefix.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct PrefillMessage {
    /// The key of the prefix.
    #[prost(fixed64, tag = "1")]
    pub(crate) key: u64,
    /// The replica that holds the prefix; in an outcome, `None` means that the prefill failed.
    #[prost(fixed32, optional, tag = "2")]
    pub(crate) holder: Option<u32>,
}

/// The reply to a request for a decision.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct PrefillReply {
    /// Whether the request should compute the prefix.
    #[prost(bool, tag = "1")]
    pub(crate) should_compute: bool,
    /// The replica that holds the prefix, if any.
    #[prost(fixed32, optional, tag = "2")]
    pub(crate) holder: Option<u32>,
}

impl PrefillReply {
    /// Encodes a decision.
    pub(crate) fn of(decision: PrefillDecision) -> Self {
        Self {
            should_compute: decision == PrefillDecision::Compute,
            holder: match decision {
                PrefillDecision::HeldBy(holder) => Some(holder),
                PrefillDecision::Compute | PrefillDecision::Wait => None,
            },
        }
    }

    /// Decodes the decision.
    pub(crate) fn decision(self) -> PrefillDecision {
        match self.holder {
            Some(holder) => PrefillDecision::HeldBy(holder),
            None if self.should_compute => PrefillDecision::Compute,
            None => PrefillDecision::Wait,
        }
    }
}
