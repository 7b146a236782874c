//! Tests of the gateway's decisions, which need no network and no clock.

mod admission;
mod attempt;
mod backpressure;
mod begin_limit;
mod cache_isolation;
mod call;
mod caller_activity;
mod caller_stream;
mod control_faults;
mod crash_report;
mod events;
mod exchange;
mod fleet;
mod fleet_size;
mod forwarding;
mod freshness;
mod lease;
mod leaving;
mod link_silence;
mod list_watch;
mod loads;
mod memory;
mod named_versions;
mod path;
mod placement;
mod prefill;
mod prompt;
mod relay_server;
mod releases;
mod replica_limit;
mod replica_memory;
mod request_end;
mod response;
mod revision;
mod route;
mod settings;
mod silence;
mod source;
mod speed;
mod stream_progress;
mod unreachable;
mod waits;
mod weights;

use std::sync::Arc;
use std::time::Duration;

use smallvec::smallvec;

use super::fleet::{KnownReplica, ReplicaPhase, ReplicaRecord, ReplicaState};

/// Returns a duration in milliseconds.
pub(crate) const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns the record of a replica that serves `version` of the model `m`.
pub(crate) fn record(id: &str, born_ms: u64, version: u64) -> ReplicaRecord {
    ReplicaRecord {
        id: id.into(),
        revision: 0,
        born_ms,
        service: "assistant".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: "ikeja".into(),
        slots: 12,
        state: ReplicaState::Ready,
        weights: smallvec![(Arc::from("m"), version)],
        software_version: "v1".into(),
    }
}

/// Returns a serving replica as known to the fleet.
pub(crate) fn known(id: &str, version: u64) -> KnownReplica {
    KnownReplica {
        record: record(id, 1, version),
        phase: ReplicaPhase::Serving,
        remove_at: None,
    }
}
