//! Engine pools: the replicas behind a service and their common configuration.

use std::collections::HashSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::field_error::{FieldErrors, NAME_RULE, is_name};
use crate::id::{AdapterName, ReplicaId, WeightsVersion, ZoneName};

/// The complete state of one pool, as a change ticket contains it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The replicas, in any order. Ids are unique within the pool.
    pub replicas: Vec<Replica>,
    /// Whether the engines reject orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The weights version that the engines should serve.
    #[serde(default = "default_weights_version")]
    pub weights_version: WeightsVersion,
    /// The adapter that the engines should serve, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// The maximum number of replicas that load weights at the same time.
    #[serde(default = "default_concurrent_loads")]
    pub concurrent_loads: u32,
    /// The prefill rate of one replica in tokens per second, used until it has been measured.
    #[serde(default = "default_prefill_tokens_per_second")]
    pub prefill_tokens_per_second: f64,
    /// The number of responses that one replica generates concurrently.
    #[serde(default = "default_decode_slots")]
    pub decode_slots: u32,
    /// The number of prompt tokens that the cache of one replica holds.
    #[serde(default = "default_cache_tokens")]
    pub cache_tokens: u64,
    /// The shared KV store that the engines of the pool import from and export to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept_cache: Option<KvStore>,
}

/// One replica of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// The name of the replica, unique within the pool.
    pub id: ReplicaId,
    /// The address on which the replica listens.
    pub address: SocketAddr,
    /// The availability zone of the replica.
    pub zone: ZoneName,
    /// The part of a request that the replica computes.
    #[serde(default)]
    pub role: ReplicaRole,
}

/// The part of a request that a replica computes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplicaRole {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only; the KV cache is then exported to a decode replica.
    Prefill,
    /// Decode only.
    Decode,
}

/// A KV store shared by the replicas of a pool, such as bylaw-memory or wharf-keep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvStore {
    /// The address of the store.
    pub address: SocketAddr,
    /// The rate at which one replica imports, in tokens per second.
    pub import_tokens_per_second: f64,
    /// The total rate at which the store serves all replicas, in tokens per second.
    pub total_tokens_per_second: f64,
}

const fn default_weights_version() -> WeightsVersion {
    1
}

const fn default_concurrent_loads() -> u32 {
    2
}

const fn default_prefill_tokens_per_second() -> f64 {
    20_000.0
}

const fn default_decode_slots() -> u32 {
    32
}

const fn default_cache_tokens() -> u64 {
    160_000
}

/// The maximum number of replicas in one pool, which keeps its state below the platform's value size limit.
const MAX_REPLICAS: usize = 4_000;

impl Pool {
    /// Validates the ranges of all fields and that the replicas are distinct.
    pub(crate) fn check(&self, faults: &mut FieldErrors<'_>) {
        faults.require_range("replicas", self.replicas.len(), 0, MAX_REPLICAS);
        self.check_replicas(faults);
        faults.require(
            self.weights_version >= 1,
            "weights_version",
            "versions begin at 1",
        );
        if let Some(adapter) = &self.adapter {
            faults.require(is_name(adapter), "adapter", NAME_RULE);
        }
        faults.require_range("concurrent_loads", self.concurrent_loads, 1, 64);
        let rate = self.prefill_tokens_per_second;
        faults.require_range("prefill_tokens_per_second", rate, 1.0, 1e9);
        faults.require_range("decode_slots", self.decode_slots, 1, 100_000);
        faults.require_range("cache_tokens", self.cache_tokens, 1, 1 << 40);
        if let Some(store) = &self.kept_cache {
            let rate = store.import_tokens_per_second;
            faults.require_range("kept_cache.import_tokens_per_second", rate, 1.0, 1e12);
            let rate = store.total_tokens_per_second;
            faults.require_range("kept_cache.total_tokens_per_second", rate, 1.0, 1e12);
        }
    }

    fn check_replicas(&self, faults: &mut FieldErrors<'_>) {
        let mut ids = HashSet::new();
        let mut addresses = HashSet::new();
        for (index, replica) in self.replicas.iter().enumerate() {
            let field = |name: &str| format!("replicas[{index}].{name}");
            faults.require(is_name(&replica.id), &field("id"), NAME_RULE);
            faults.require(is_name(&replica.zone), &field("zone"), NAME_RULE);
            faults.require(
                ids.insert(&replica.id),
                &field("id"),
                "another replica has this id",
            );
            let is_unique = addresses.insert(replica.address);
            faults.require(
                is_unique,
                &field("address"),
                "another replica has this address",
            );
            faults.require(
                replica.address.port() != 0,
                &field("address"),
                "the port is 0",
            );
        }
    }
}
