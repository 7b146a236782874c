//! What the routers together know about the load of replicas.

mod memory;
mod reports;
mod speed;
mod unreachable;
mod waits;

pub(crate) use self::memory::{HeldMemory, free_tokens, memory_cost_ms};
pub(crate) use self::reports::{
    LoadMap, LoadMessage, LoadSample, PeerLoads, ReplicaKey, replica_key, subtract,
};
pub(crate) use self::speed::{
    PeerSpeeds, ReplicaSpeed, SpeedMap, SpeedObservations, SpeedReport, SpeedSums, expected_ms,
    service_speeds,
};
pub(crate) use self::unreachable::{ConnectionSample, UnreachableView};
pub(crate) use self::waits::{BeginWaits, allowed_wait, begin_wait};
