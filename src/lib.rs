//! crocuswharf routes language-model traffic whose prompts share long openings.

mod account;
mod admission;
mod configuration;
mod directory;
mod error;
mod id;
mod membership;
mod peer;
mod pool;
mod preference;
mod prefix;
mod protocol;
mod service;
mod store;

pub use crate::account::{Account, AccountLimits, NamedAccount};
pub use crate::admission::{LimitDecision, LimitKind, Limiter, Usage, UsageEntry, UsageTree};
pub use crate::configuration::Configuration;
pub use crate::directory::Directory;
pub use crate::error::{Error, ErrorKind};
pub use crate::id::{
    AccountId, AdapterName, Incarnation, PoolName, PreferenceName, ReplicaId, RequestId, Revision,
    RouterId, ServiceName, TicketNumber, WeightsVersion, ZoneName,
};
pub use crate::membership::{
    Heartbeat, Liveness, LoadLevel, Member, MemberRecord, Membership, MembershipOptions,
    Outcome as MembershipOutcome, Ring, Stage, owner_of, watchers_of,
};
pub use crate::peer::{
    Body, Inbound, Kind, LinkOptions, LinkTimes, Links, MAX_PAYLOAD_BYTES, PeerEvent, PeerIdentity,
    PeerKeys, ReplyHandle, Traffic, TrafficByKind, wire_bytes,
};
pub use crate::pool::{KeptCache, Pool, Replica, ReplicaRole};
pub use crate::preference::Preference;
pub use crate::prefix::{
    BYTES_PER_TOKEN, MAX_PIECES, Opening, OpeningRoot, PIECE_TOKENS, Piece, PieceHash,
};
pub use crate::protocol::{
    CacheEvent, CacheEventKind, CacheEvents, EngineIdentity, EngineOrder, Entries, Entry,
    HEADER_DEADLINE_MS, HEADER_EXPECTED_WARM_TOKENS, HEADER_IDEMPOTENCY_KEY, HEADER_INCARNATION,
    HEADER_OPENING, HEADER_PRIORITY, HEADER_REPLICA, HEADER_REQUEST_ID, HEADER_RUN,
    HEADER_WARM_TOKENS, HEADER_WEIGHTS_VERSION, LoadReport, ObjectListing, Vm, VmState,
};
pub use crate::service::{Objectives, Operation, Service, ServiceKind};
pub use crate::store::{ObjectVersion, PutCondition, PutOutcome, Versioned};
