//! Selection of a replica for each request to a model.
//!
//! Replicas and routers are partitioned into cells of a few dozen replicas. A prefix is assigned to a cell
//! and, within it, to an owner router, which is queried before each choice. The owner places the request and
//! informs the other routers of the cell, so that all of them keep nearly the same model of the cell's caches
//! and prefill queues. This makes choices almost as good as with the actual engine states, and lets another
//! router take over from the owner at once.
//!
//! Rejected: an index of cache blocks replicated to every router, which exceeds the control traffic budget,
//! and a model built from a router's own placements only, which misses those of all other routers. See
//! docs/design/routing.md.

mod cache;
mod cells;
mod choose;
mod kv_store;
mod message;
mod observation;
mod pool_model;
mod queue;
mod transfer;
mod view;

#[cfg(test)]
mod tests;

pub use self::cells::Cells;
pub use self::choose::{Choice, ChoiceContext, Placement, ScoredCandidate, choose};
pub use self::kv_store::{KvStoreBudget, KvStorePlan};
pub use self::message::{
    CandidateMessage, LookupMessage, ObservationMessage, ObservationsMessage, OwnerReplyMessage,
    ViewChunkMessage,
};
pub use self::observation::{Candidate, Lookup, Observation, OwnerReply, RequestTag};
pub use self::pool_model::{ModelFeatures, PoolModel};
pub use self::view::{InstanceTag, PoolView, ReplicaView};
