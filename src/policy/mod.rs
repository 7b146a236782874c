//! The choice of a replica for each request of a model.
//!
//! Replicas and routers are cut into cells of a few dozen replicas. An opening belongs to a cell, and in it to one
//! router, its owner, which is asked before each choice. The owner places the request and tells the other routers of
//! the cell, so that each of them holds nearly the same model of the cell's caches and prefill queues: this is what lets
//! a decision be almost as good as one that sees the engines as they are, and lets another router take over at once.
//!
//! Rejected: an index of cache blocks replicated to every router, which the control budget can't carry, and a view that
//! each router makes from its own placements, which is blind to the others'. See docs/design/routing.md.

mod cache;
mod cells;
mod choose;
mod kept;
mod message;
mod observation;
mod owner;
mod queue;
mod transfer;
mod view;

#[cfg(test)]
mod tests;

pub use self::cells::Cells;
pub use self::choose::{Choice, Considered, Deciding, Placement, choose};
pub use self::kept::{KeptBudget, KeptPlan};
pub use self::message::{
    CandidateMessage, LookupMessage, ObservationMessage, ObservationsMessage, OwnerReplyMessage,
    ViewChunkMessage,
};
pub use self::observation::{Candidate, Lookup, Observation, OwnerReply, RequestTag};
pub use self::owner::{Learning, OwnerView};
pub use self::view::{InstanceTag, PoolView, ReplicaView};
