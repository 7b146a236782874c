//! crocuswharf routes language-model traffic whose prompts share long openings.

mod account;
mod configuration;
mod error;
mod id;
mod policy;
mod pool;
mod preference;
mod prefix;
mod protocol;
mod service;
mod store;

pub use crate::account::{Account, AccountLimits, NamedAccount};
pub use crate::configuration::Configuration;
pub use crate::error::{Error, ErrorKind};
pub use crate::id::{
    AccountId, AdapterName, Incarnation, PoolName, PreferenceName, ReplicaId, RequestId, Revision,
    RouterId, ServiceName, TicketNumber, WeightsVersion, ZoneName,
};
pub use crate::policy::{
    Candidate, CandidateMessage, Cells, Choice, Considered, Deciding, InstanceTag, KeptBudget,
    KeptPlan, Learning, Lookup, LookupMessage, Observation, ObservationMessage,
    ObservationsMessage, OwnerReply, OwnerReplyMessage, OwnerView, Placement, PoolView,
    ReplicaView, RequestTag, ViewChunkMessage, choose,
};
pub use crate::pool::{KeptCache, Pool, Replica, ReplicaRole};
pub use crate::preference::Preference;
pub use crate::prefix::{
    BYTES_PER_TOKEN, Level, LevelKey, MAX_PIECES, MIN_LEVEL_TOKENS, Opening, OpeningRoot,
    PIECE_TOKENS, Piece, PieceHash, level_key,
};
pub use crate::protocol::{
    CacheEvent, CacheEventKind, CacheEvents, EngineIdentity, EngineOrder, Entries, Entry,
    HEADER_DEADLINE_MS, HEADER_EXPECTED_WARM_TOKENS, HEADER_IDEMPOTENCY_KEY, HEADER_INCARNATION,
    HEADER_OPENING, HEADER_PRIORITY, HEADER_REPLICA, HEADER_REQUEST_ID, HEADER_RUN,
    HEADER_WARM_TOKENS, HEADER_WEIGHTS_VERSION, LoadReport, ObjectListing, Vm, VmState,
};
pub use crate::service::{Objectives, Operation, Service, ServiceKind};
pub use crate::store::{ObjectVersion, PutCondition, PutOutcome, Versioned};
