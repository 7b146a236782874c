//! Aliases for the identifiers that cross module borders.
//!
//! Aliases, and not newtypes, because the house style asks for them; the field names carry the meaning.
//! Text is `Arc<str>`, so that a clone on the request path costs one atomic increment.

use std::sync::Arc;

/// The name of a client account, unique in a deployment.
pub type AccountId = Arc<str>;
/// The name of a service, which callers put into the `model` field or the path.
pub type ServiceName = Arc<str>;
/// The name of an engine pool.
pub type PoolName = Arc<str>;
/// The name of a routing preference.
pub type PreferenceName = Arc<str>;
/// The name of one replica of a backend server, unique in its pool.
pub type ReplicaId = Arc<str>;
/// The name of a router process, unique in a deployment and stable over restarts of its VM.
pub type RouterId = Arc<str>;
/// The name of an availability zone.
pub type ZoneName = Arc<str>;
/// The name of an adapter that an engine may load beside its weights.
pub type AdapterName = Arc<str>;
/// Identifies one life of a process: a restart gets a higher number.
pub type Incarnation = u64;
/// The version of a model's weights, as the weight store numbers them.
pub type WeightsVersion = u64;
/// The revision of the whole configuration, raised by one with each accepted change ticket.
pub type Revision = u64;
/// The number that an operator gives to a change ticket.
pub type TicketNumber = u64;
/// Identifies one request; a router makes it and every log line and answer carries it.
pub type RequestId = uuid::Uuid;
