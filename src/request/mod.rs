//! The life cycle of a request, from admission to its last byte.
//!
//! All decisions are pure state machines; the I/O layers in `entry/` and `peer/` execute them. See
//! docs/design/requests.md.

pub mod claim;
pub mod claim_service;
pub mod drain;
pub mod ejection;
pub mod event_id;
pub mod hedge;
pub(crate) mod kept_parts;
pub mod message;
pub(crate) mod quarantine;
pub mod refusal;
pub mod retry;
pub mod stream;
mod verdict;

#[cfg(test)]
mod tests;
