//! The conventions spoken towards model engines, the platform and callers.
//!
//! They follow published interfaces, so that a real engine or store needs a thin adapter at most. Both the router and
//! the stand-ins take names and bodies from here. docs/API.md describes each.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id::{AdapterName, Incarnation, ReplicaId, WeightsVersion, ZoneName};
use crate::pool::ReplicaRole;

/// Carries the request id, from the router to the engine and back with the answer.
pub const HEADER_REQUEST_ID: &str = "x-crocuswharf-request-id";
/// Carries the client account's priority to the engine; a lower number is served earlier.
pub const HEADER_PRIORITY: &str = "x-crocuswharf-priority";
/// Carries the milliseconds that remain for the answer to the engine.
pub const HEADER_DEADLINE_MS: &str = "x-crocuswharf-deadline-ms";
/// Carries the opening's pieces to the engine as `hash:end_tokens`, comma separated, hashes in hexadecimal.
///
/// The engine labels its cache entries with these hashes and names them in its cache events.
pub const HEADER_OPENING: &str = "x-crocuswharf-opening";
/// Carries the engine's incarnation with each answer.
pub const HEADER_INCARNATION: &str = "x-crocuswharf-incarnation";
/// Carries the engine's weights version with each answer.
pub const HEADER_WEIGHTS_VERSION: &str = "x-crocuswharf-weights-version";
/// Tells the caller which replica served the request.
pub const HEADER_REPLICA: &str = "x-crocuswharf-replica";
/// Tells the caller how many prompt tokens were expected to be warm when the replica was chosen.
pub const HEADER_EXPECTED_WARM_TOKENS: &str = "x-crocuswharf-expected-warm-tokens";
/// Tells the caller how many prompt tokens the engine found warm, where known before the answer's body.
pub const HEADER_WARM_TOKENS: &str = "x-crocuswharf-warm-tokens";
/// Tells the caller whether the request ran: `not-run`, `ran` or `unknown`.
pub const HEADER_RUN: &str = "x-crocuswharf-run";
/// Carries a caller's key under which a call runs at most once.
pub const HEADER_IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The load that an engine reports, with a lag.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The weights version that the engine serves.
    pub weights_version: WeightsVersion,
    /// The adapter that the engine serves, if any.
    pub adapter: Option<AdapterName>,
    /// The part of a request that the engine computes.
    pub role: ReplicaRole,
    /// Prompt tokens that wait for prefill, those of running prefills included.
    pub queued_prefill_tokens: u64,
    /// Requests that wait for or are in prefill.
    pub waiting_requests: u32,
    /// Answers that are being generated.
    pub running_requests: u32,
    /// The age of these figures in milliseconds when they were sent.
    pub age_ms: u64,
    /// Whether the engine has been told to leave.
    pub leaving: bool,
}

/// What happened to a cached piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The piece is cached now.
    Stored,
    /// The piece is no longer cached.
    Evicted,
    /// Nothing is cached any longer.
    Cleared,
}

/// One entry of an engine's stream of cache events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The position in the stream; a gap means that entries were lost.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The piece's hash in hexadecimal; empty for [`CacheEventKind::Cleared`].
    pub piece: Arc<str>,
}

/// The answer to `GET /cache-events?after=SEQ`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The engine's incarnation; sequences start anew with each.
    pub incarnation: Incarnation,
    /// The entries in order.
    pub events: Vec<CacheEvent>,
}

/// The body of `POST /orders`: the state that the engine shall reach.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// The lease version under which the order is given; checking engines refuse a lower one than they have seen.
    pub fencing_number: u64,
    /// The weights version to load.
    pub weights_version: WeightsVersion,
    /// The adapter to load, if any.
    #[serde(default)]
    pub adapter: Option<AdapterName>,
    /// The role to take.
    pub role: ReplicaRole,
}

/// The state of one VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Running,
    /// The VM is about to leave.
    Leaving,
}

/// One VM in the platform's list of live and leaving VMs, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The address of the process on the VM.
    pub address: std::net::SocketAddr,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The state of the VM.
    pub state: VmState,
}

/// One object of the platform's object API, as `GET /objects?prefix=P` lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectListing {
    /// The object's key.
    pub key: Arc<str>,
    /// The object's version, which its `ETag` carries in quotes.
    pub version: u64,
}

/// One address in the answer to `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The address to connect to.
    pub address: std::net::SocketAddr,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The share of new connections that this address should get, relative to the others.
    pub weight: u32,
}

/// The answer to `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entries {
    /// The addresses, best first for the asker.
    pub entries: Vec<Entry>,
    /// How long the caller may keep the answer, in milliseconds.
    pub life_ms: u64,
}

/// What an engine says of itself where a replica must be named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineIdentity {
    /// The replica's name.
    pub replica: ReplicaId,
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The weights version that the engine serves.
    pub weights_version: WeightsVersion,
}
