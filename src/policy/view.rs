//! Snapshots of a pool's replicas for the traffic threads.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::cells::Cells;
use crate::id::{Incarnation, ReplicaId, WeightsVersion};
use crate::pool::ReplicaRole;

/// Identifies a replica in one incarnation and with one weights version.
///
/// Everything known about caches is stored under this tag, so state of a previous engine process or of older
/// weights is never found under the current tag.
pub type InstanceTag = u64;

/// The properties of a replica that are needed to choose one.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaView {
    /// The name of the replica.
    pub id: ReplicaId,
    /// The last incarnation that the replica reported.
    pub incarnation: Incarnation,
    /// The last weights version that the replica reported.
    pub weights_version: WeightsVersion,
    /// The index of its availability zone among the zones of the pool, ordered by name.
    pub zone: usize,
    /// The part of a request that the replica computes.
    pub role: ReplicaRole,
    /// Whether the replica may get new work: it is healthy, not ejected, not leaving and serves the pool's
    /// weights version.
    pub is_available: bool,
    /// The prefill rate, in tokens per second.
    pub prefill_tokens_per_second: f64,
    /// The number of tokens that the cache holds.
    pub cache_tokens: u64,
    /// The number of responses that the replica generates concurrently.
    pub decode_slots: u32,
    /// The time at which the prefill queue is expected to be empty.
    pub busy_until: Duration,
}

impl ReplicaView {
    /// Returns the tag of the replica's current incarnation and weights.
    #[must_use]
    pub fn instance(&self) -> InstanceTag {
        let mut hasher = Xxh3::new();
        hasher.update(self.id.as_bytes());
        hasher.update(&self.incarnation.to_le_bytes());
        hasher.update(&self.weights_version.to_le_bytes());
        hasher.digest()
    }

    /// Returns whether the replica may be given a prompt.
    #[must_use]
    pub fn takes_prompts(&self) -> bool {
        self.is_available && self.role != ReplicaRole::Decode
    }

    /// Returns the time to compute `tokens` prompt tokens.
    #[must_use]
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.prefill_tokens_per_second)
    }
}

/// An immutable snapshot of one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolView {
    replicas: Vec<ReplicaView>,
    by_instance: HashMap<InstanceTag, usize>,
    cells: Cells,
}

impl PoolView {
    /// Creates a snapshot of `replicas`, which must be in the order from which `cells` was computed.
    #[must_use]
    pub fn new(replicas: Vec<ReplicaView>, cells: Cells) -> Self {
        let by_instance = replicas
            .iter()
            .enumerate()
            .map(|(index, replica)| (replica.instance(), index))
            .collect();
        Self {
            replicas,
            by_instance,
            cells,
        }
    }

    /// Returns the replicas, in the order of the configuration.
    #[must_use]
    pub fn replicas(&self) -> &[ReplicaView] {
        &self.replicas
    }

    /// Returns the index of the replica whose current tag is `instance`, or `None` if the tag is outdated or
    /// unknown.
    #[must_use]
    pub fn position_of(&self, instance: InstanceTag) -> Option<usize> {
        self.by_instance.get(&instance).copied()
    }

    /// Returns the cells.
    #[must_use]
    pub fn cells(&self) -> &Cells {
        &self.cells
    }
}
