//! Engine pools: the replicas behind a service and what is known of their kind.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{AdapterName, ReplicaId, WeightsVersion, ZoneName};

/// The whole state of one pool, as a change ticket carries it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The replicas, in any order; ids are unique within the pool.
    pub replicas: Vec<Replica>,
    /// Whether the engines refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The weights version that the engines shall serve.
    #[serde(default = "default_weights_version")]
    pub weights_version: WeightsVersion,
    /// The adapter that the engines shall serve, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// How many replicas may load weights at once.
    #[serde(default = "default_concurrent_loads")]
    pub concurrent_loads: u32,
    /// The prefill rate of one replica in tokens per second, as a prior until measured.
    #[serde(default = "default_prefill_tokens_per_second")]
    pub prefill_tokens_per_second: f64,
    /// How many answers one replica generates at once.
    #[serde(default = "default_decode_slots")]
    pub decode_slots: u32,
    /// How many tokens of cached openings one replica holds.
    #[serde(default = "default_cache_tokens")]
    pub cache_tokens: u64,
    /// The store of kept KV cache that the pool's engines import from and export to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept_cache: Option<KeptCache>,
}

/// One replica of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// The replica's name, unique in the pool.
    pub id: ReplicaId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The availability zone it stands in.
    pub zone: ZoneName,
    /// Which part of a request it computes.
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
    /// Prefill only; the KV cache is then exported to a decoding replica.
    Prefill,
    /// Decode only.
    Decode,
}

/// A store of kept KV cache, such as bylaw-memory or wharf-keep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeptCache {
    /// The address of the store.
    pub address: SocketAddr,
    /// The rate at which one replica imports, in tokens per second.
    pub import_tokens_per_second: f64,
    /// The rate at which the store serves all replicas together, in tokens per second.
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
