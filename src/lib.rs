//! crocuswharf routes language-model traffic whose prompts share long openings.

mod account;
mod admission;
mod configuration;
mod control;
mod directory;
mod engine;
mod entry;
mod error;
mod fault;
mod id;
mod listener;
mod membership;
mod peer;
mod pool;
mod preference;
mod prefix;
mod protocol;
mod request;
mod router;
mod service;
mod settings;
mod store;
mod ticket;
mod usage;

pub use crate::account::{Account, AccountKeys, AccountLimits, NamedAccount, key_matches};
pub use crate::admission::{queue, shed};
pub use crate::configuration::{
    Acceptance, Adoption, Announce, Configuration, ConfigurationStatus, Fetch, InForce, ObjectKind,
    ROOT_KEY, ReadStep, Root, RootWatch, StateSource, StoredState, UpdatePart, UpdateReader,
    UpdateServer, WATCH_WAIT, WATCHERS_A_ZONE, WatchEvent, WatchStep, is_watcher,
    load as load_configuration, load_root as load_configuration_root,
};
pub use crate::directory::Directory;
pub use crate::error::{Error, ErrorKind};
pub use crate::fault::Fault;
pub use crate::id::{
    AccountId, AdapterName, Incarnation, PoolName, PreferenceName, ReplicaId, RequestId, Revision,
    RouterId, ServiceName, TicketNumber, WeightsVersion, ZoneName,
};
pub use crate::listener::bind_listener;
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
pub use crate::request::message as request_message;
pub use crate::request::{
    claim, claim_service, drain, ejection, event_id, hedge, refusal, retry, stream,
};
pub use crate::router::{DrainReport, Router, RouterAddresses};
pub use crate::service::{Objectives, Operation, Service, ServiceKind};
pub use crate::settings::{
    Bounds, Listen, LogSettings, RouterSettings, Times, parse_json, read_json,
};
pub use crate::store::{
    Backoff, Budget, BudgetLimits, CallCounts, CallKind, Client as StoreClient, MAX_VALUE_BYTES,
    ObjectVersion, PutCondition, PutOutcome, StoreSettings, Versioned,
};
pub use crate::ticket::{
    NewState, Ticket, TicketOutcome, check as check_ticket, submit as submit_ticket,
};
pub use crate::usage::{EXIT_USAGE, parse_args};
