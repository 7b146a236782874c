//! A pool's replicas as traffic threads see them.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::cells::Cells;
use crate::id::{Incarnation, ReplicaId, WeightsVersion};
use crate::pool::ReplicaRole;

/// Names one life of one replica under one weights version.
///
/// Whatever is known of caches is kept under this tag, so that nothing known of a dead engine or of older weights can be
/// found under the tag of the present one.
pub type InstanceTag = u64;

/// One replica, as far as a choice needs it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaView {
    /// The replica's name.
    pub id: ReplicaId,
    /// The incarnation that it last named.
    pub incarnation: Incarnation,
    /// The weights version that it last named.
    pub weights_version: WeightsVersion,
    /// The position of its availability zone among those of the pool, in the order of their names.
    pub zone: usize,
    /// The part of a request that it computes.
    pub role: ReplicaRole,
    /// Whether it may get new work: in health, not ejected, not leaving and on the pool's weights version.
    pub is_available: bool,
    /// Its prefill rate in tokens per second.
    pub prefill_tokens_per_second: f64,
    /// The tokens that its cache holds.
    pub cache_tokens: u64,
    /// How many answers it generates at once.
    pub decode_slots: u32,
    /// When its prefill queue is expected to be empty.
    pub busy_until: Duration,
}

impl ReplicaView {
    /// Returns the tag of the replica's present life and weights.
    #[must_use]
    pub fn instance(&self) -> InstanceTag {
        let mut hasher = Xxh3::new();
        hasher.update(self.id.as_bytes());
        hasher.update(&self.incarnation.to_le_bytes());
        hasher.update(&self.weights_version.to_le_bytes());
        hasher.digest()
    }

    /// Tells whether the replica may be given a prompt.
    #[must_use]
    pub fn takes_prompts(&self) -> bool {
        self.is_available && self.role != ReplicaRole::Decode
    }

    /// Returns the time to compute `tokens` of a prompt.
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
    /// Makes a snapshot of `replicas`, which are in the order that `cells` was computed from.
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

    /// Returns the replicas in the order of the configuration.
    #[must_use]
    pub fn replicas(&self) -> &[ReplicaView] {
        &self.replicas
    }

    /// Returns the position of the replica with the present tag `instance`; none for a dead or an older one.
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
