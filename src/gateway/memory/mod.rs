//! One budget for the memory that callers and replicas make the process hold.
//!
//! [`MemoryBudget`] decides without I/O which connection gets memory; [`MemoryAccount`] shares it between traffic threads;
//! [`StoredBody`] keeps the body of a request in parts of a fixed size. docs/design/memory.md describes the whole.

mod account;
mod body;
pub(super) mod budget;

pub(crate) use self::account::{
    CallMemory, ConnectionMemory, MemoryAccount, MemoryRefused, Reservation,
};
pub(crate) use self::body::{BodyCollector, BodyReader, StoredBody};
pub(crate) use self::budget::{HolderPhase, MemoryUse};
