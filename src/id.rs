//! Type aliases for identifiers that are shared between modules.
//!
//! The house style asks for aliases instead of newtypes; field names convey the meaning. Names are `Arc<str>`, so that
//! cloning one on the request path costs a single atomic increment.

use std::sync::Arc;

/// The name of a client account, unique within a deployment.
pub type AccountId = Arc<str>;
/// The name of a service, which callers specify in the `model` field or in the path.
pub type ServiceName = Arc<str>;
/// The name of an engine pool.
pub type PoolName = Arc<str>;
/// The name of a routing preference.
pub type PreferenceName = Arc<str>;
/// The name of a replica of a backend server, unique within its pool.
pub type ReplicaId = Arc<str>;
/// The name of a router process, unique within a deployment and stable across restarts of its VM.
pub type RouterId = Arc<str>;
/// The name of an availability zone.
pub type ZoneName = Arc<str>;
/// The name of an adapter that an engine can load in addition to its base weights.
pub type AdapterName = Arc<str>;
/// Identifies one incarnation of a process; each restart increases it.
pub type Incarnation = u64;
/// The version of a model's weights, as numbered by the weight store.
pub type WeightsVersion = u64;
/// The revision of the configuration, incremented by each accepted change ticket.
pub type Revision = u64;
/// The number that an operator assigns to a change ticket.
pub type TicketNumber = u64;
/// Identifies a request. The router generates it and includes it in every log line and response.
pub type RequestId = uuid::Uuid;
