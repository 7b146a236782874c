//! Header names and message bodies of the HTTP interfaces to model engines, the platform and callers.
//!
//! They follow published interfaces, so that a real engine or store needs at most a thin adapter. The router and the
//! stand-ins share these definitions. docs/API.md describes each of them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{AdapterName, Incarnation, ReplicaId, WeightsVersion, ZoneName};
use crate::pool::ReplicaRole;

/// The request id, sent by the router to the engine and returned with the response.
pub const HEADER_REQUEST_ID: &str = "x-crocuswharf-request-id";
/// The client account's priority, sent to the engine. Lower numbers are scheduled first.
pub const HEADER_PRIORITY: &str = "x-crocuswharf-priority";
/// The time remaining until the request's deadline, sent to the engine, in milliseconds.
pub const HEADER_DEADLINE_MS: &str = "x-crocuswharf-deadline-ms";
/// The prompt's prefix blocks, sent to the engine as comma-separated `hash:end_tokens` with hexadecimal hashes.
///
/// The engine labels its cache entries with these hashes and refers to them in its cache events.
pub const HEADER_OPENING: &str = "x-crocuswharf-opening";
/// The engine's incarnation, included in each response.
pub const HEADER_INCARNATION: &str = "x-crocuswharf-incarnation";
/// The engine's weights version, included in each response.
pub const HEADER_WEIGHTS_VERSION: &str = "x-crocuswharf-weights-version";
/// The replica that served the request, returned to the caller.
pub const HEADER_REPLICA: &str = "x-crocuswharf-replica";
/// The number of prompt tokens expected to be cached when the replica was selected, returned to the caller.
pub const HEADER_EXPECTED_WARM_TOKENS: &str = "x-crocuswharf-expected-warm-tokens";
/// The number of prompt tokens that the engine found in its cache, returned if known before the response body.
pub const HEADER_WARM_TOKENS: &str = "x-crocuswharf-warm-tokens";
/// Whether the request was executed, returned to the caller: `not-run`, `ran` or `unknown`.
pub const HEADER_RUN: &str = "x-crocuswharf-run";
/// The caller's idempotency key. Calls with the same key are executed at most once.
pub const HEADER_IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The load reported by an engine. Reports lag behind the actual load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The weights version that the engine serves.
    pub weights_version: WeightsVersion,
    /// The adapter that the engine serves, if any.
    pub adapter: Option<AdapterName>,
    /// The phases of a request that the engine executes.
    pub role: ReplicaRole,
    /// Prompt tokens waiting for prefill, including those of running prefills.
    pub queued_prefill_tokens: u64,
    /// Requests that are waiting for prefill or in prefill.
    pub waiting_requests: u32,
    /// Requests in the decode phase.
    pub running_requests: u32,
    /// The age of this report in milliseconds when it was sent.
    pub age_ms: u64,
    /// Whether the engine is shutting down.
    pub leaving: bool,
}

/// The change that a cache event reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// A block was added to the cache.
    Stored,
    /// A block was evicted from the cache.
    Evicted,
    /// The whole cache was cleared.
    Cleared,
}

/// An event in an engine's cache event stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number in the stream. A gap means that events were lost.
    pub sequence: u64,
    /// The kind of change.
    pub kind: CacheEventKind,
    /// The block's hash in hexadecimal; empty for [`CacheEventKind::Cleared`].
    pub piece: Arc<str>,
}

/// The response to `GET /cache-events?after=SEQ`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The engine's incarnation. Sequence numbers restart with each incarnation.
    pub incarnation: Incarnation,
    /// The events in sequence order.
    pub events: Vec<CacheEvent>,
}

/// The body of `POST /orders`: the target state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// The fencing token: the version of the lease under which the order is sent. Engines that check it reject orders
    /// with a lower number than the highest they have seen.
    pub fencing_number: u64,
    /// The weights version to load.
    pub weights_version: WeightsVersion,
    /// The adapter to load, if any.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// The role to assume.
    pub role: ReplicaRole,
}

/// The state of a VM in the platform's VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Running,
    /// The VM is about to be removed.
    Leaving,
}

/// An entry of the platform's list of running and leaving VMs. The list lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The address of the process on the VM.
    pub address: std::net::SocketAddr,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The state of the VM.
    pub state: VmState,
}

/// An object in the response to the platform's `GET /objects?prefix=P`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectListing {
    /// The object's key.
    pub key: Arc<str>,
    /// The object's version. Its `ETag` is this number in quotes.
    pub version: u64,
}

/// A router address in the response to `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The address to connect to.
    pub address: std::net::SocketAddr,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The relative share of new connections that this address should receive.
    pub weight: u32,
}

/// The response to `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryResponse {
    /// The addresses in the order in which the caller should prefer them.
    pub entries: Vec<DirectoryEntry>,
    /// How long the caller may cache the response, in milliseconds.
    pub life_ms: u64,
}

/// The identity that an engine reports about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineIdentity {
    /// The replica's name.
    pub replica: ReplicaId,
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The weights version that the engine serves.
    pub weights_version: WeightsVersion,
}
