//! A request router for large language models whose prompts share long prefixes.
//!
//! A prompt's prefix is split into blocks, each identified by a hash that covers everything before it. Prompts with a
//! common prefix share their leading hashes, and a replica that has already computed those blocks can reuse its KV
//! cache:
//!
//! ```
//! use crocuswharf::{PromptPrefix, PrefixScope};
//!
//! let root = PrefixScope { account: "dues", model: "assistant", adapter: None, weights_version: 1 };
//! let manual = "leather care ".repeat(2_000);
//! let one = PromptPrefix::from_messages(root, [("system", &*manual), ("user", "which polish?")]);
//! let two = PromptPrefix::from_messages(root, [("system", &*manual), ("user", "which brush?")]);
//! let shared = one.blocks.iter().zip(&two.blocks).take_while(|(one, two)| one == two).count();
//! assert_eq!(shared, 4);
//! ```
//!
//! Operators change the configuration through change tickets. Validation reports all errors of a ticket at once:
//!
//! ```
//! use crocuswharf::check_ticket;
//!
//! let errors = check_ticket(br#"{"ticket": 7, "accounts": {"dues": {"servises": []}}}"#).unwrap_err();
//! assert!(errors.iter().any(|error| error.to_string().contains("servises")));
//! ```
//!
//! # Architecture
//!
//! [`Router`] is one router instance. The daemon `crocuswharf-router` wraps one, and the stand-ins run nine in one
//! process. Decision logic takes time and randomness as arguments and performs no I/O, so that randomized tests can
//! drive it. docs/ARCHITECTURE.md describes how the components interact, and docs/design/ explains the design
//! decisions.
//!
//! # Limitations
//!
//! The router stores nothing on disk and does not terminate TLS. Token counts are estimated at four bytes of text per
//! token until an engine reports the actual count. KNOWN-RED.txt lists the performance targets that are not met.

mod account;
mod admission;
mod backend;
mod burn;
mod cli;
mod command;
mod configuration;
mod control;
mod directory;
mod engine;
mod entry;
mod error;
mod explain;
mod field_error;
pub mod gateway;
mod id;
mod listener;
mod membership;
mod peer;
mod policy;
mod pool;
mod preference;
mod prefix;
mod protocol;
mod recovery;
mod request;
mod rollout;
mod router;
mod saved_log;
mod service;
mod settings;
mod status;
mod store;
mod telemetry;
mod ticket;

pub use crate::account::{Account, AccountKeys, AccountLimits, NamedAccount, key_matches};
pub use crate::admission::{
    LimitDecision, LimitKind, Limiter, Usage, UsageEntry, UsageTree, queue, shed,
};
pub use crate::backend::{Availability, Backend, BackendChange};
pub use crate::burn::{
    Alarm as BurnAlarm, BurnRate, BurnTracker, ContributorMessage, ContributorReport,
    ContributorsMessage, CountsMessage, Ending as BurnEnding, EventCounts, HistogramMessage,
    LatencyReport, MAX_SERVICES, MemberReply, MemberStats, MissingMember, ObjectiveKind,
    ObjectiveReport, Observation as BurnObservation, Report as BurnReport, ServiceReport,
    ServiceStats, Window as BurnWindow, render_html, render_table,
};
pub use crate::cli::{EXIT_USAGE, parse_args};
pub use crate::command::run as run_command;
pub use crate::command::{BurnArgs, ExplainArgs, StatusArgs, burn, explain, status};
pub use crate::configuration::{
    AcceptedTicket, ActiveConfiguration, Adoption, Announce, Configuration, Fetch, ObjectKind,
    ROOT_KEY, ROOT_TOPIC, ReadStep, Root, RootWatch, StateSource, StoredState, UpdatePart,
    UpdateReader, UpdateServer, WATCH_TIMEOUT, WATCHERS_PER_ZONE, WatchEvent, WatchStep,
    load as load_configuration, load_root as load_configuration_root,
};
pub use crate::directory::Directory;
pub use crate::error::{Error, ErrorKind};
pub use crate::explain::{
    Attempt as ExplainedAttempt, AttemptCause, Candidate as ExplainedCandidate,
    Choice as ExplainedChoice, Claim as ExplainedClaim, End as ExplainedEnd, Explanation,
    Explanations, MAX_ATTEMPTS, MAX_CANDIDATES, MAX_REASON_BYTES, RouterTag, Run as ExplainedRun,
    View as ExplainedView, new_request_id, render_explanation, router_tag, router_tag_of,
};
pub use crate::field_error::FieldError;
pub use crate::id::{
    AccountId, AdapterName, Incarnation, PoolName, PreferenceName, ReplicaId, RequestId, Revision,
    RouterId, ServiceName, TicketNumber, WeightsVersion, ZoneName,
};
pub use crate::listener::bind_listener;
pub use crate::membership::{
    Action as MembershipAction, Heartbeat, LeavingVm, LeavingVms, Liveness, LoadLevel, Member,
    MemberRecord, Membership, MembershipOptions, Ring, Stage, owner_of, watchers_of,
};
pub use crate::peer::{
    Body, Inbound, Kind, LinkOptions, LinkTimes, Links, MAX_PAYLOAD_BYTES, PeerEvent, PeerIdentity,
    PeerKeys, ReplyHandle, Traffic, TrafficByKind, wire_bytes,
};
pub use crate::policy::{
    Candidate, CandidateMessage, Cells, Choice, ChoiceContext, InstanceTag, KvStoreBudget,
    KvStorePlan, Lookup, LookupMessage, ModelFeatures, Observation, ObservationMessage,
    ObservationsMessage, OwnerReply, OwnerReplyMessage, Placement, PoolModel, PoolView,
    ReplicaView, RequestTag, ScoredCandidate, ViewChunkMessage, choose,
};
pub use crate::pool::{KvStore, Pool, Replica, ReplicaRole};
pub use crate::preference::Preference;
pub use crate::prefix::{
    BLOCK_TOKENS, BYTES_PER_TOKEN, Block, BlockHash, Level, LevelKey, MAX_BLOCKS, MIN_LEVEL_TOKENS,
    PrefixScope, PromptPrefix, level_key,
};
pub use crate::protocol::{
    CacheEvent, CacheEventKind, CacheEvents, DirectoryEntry, DirectoryResponse, EngineIdentity,
    EngineOrder, HEADER_DEADLINE_MS, HEADER_EXPECTED_WARM_TOKENS, HEADER_IDEMPOTENCY_KEY,
    HEADER_INCARNATION, HEADER_OPENING, HEADER_PRIORITY, HEADER_REPLICA, HEADER_REQUEST_ID,
    HEADER_RUN, HEADER_WARM_TOKENS, HEADER_WEIGHTS_VERSION, LoadReport, ObjectListing, Vm, VmState,
};
pub use crate::recovery::{
    MAX_CHUNK_BYTES, PeerRequest as RecoveryRequest, Recovery, RecoveryPeer, Section, StateChunk,
    StateRequest, StateServer,
};
pub use crate::request::message as request_message;
pub use crate::request::{
    claim, claim_service, drain, ejection, event_id, hedge, refusal, retry, stream,
};
pub use crate::rollout::{
    DrainNotice, DrainTable, LEASE_DURATION, Lease, LeaseAction, LeaseEvent, LeaseRecord,
    ORDER_TIMEOUT, ObservedReplica, OrderOutcome, Rollout, RolloutAction,
};
pub use crate::router::{DrainReport, Router, RouterAddresses};
pub use crate::service::{Objectives, Operation, Service, ServiceKind};
pub use crate::settings::{Bounds, Listen, RouterSettings, Times, parse_json, read_json};
pub use crate::status::{
    FleetStatus, HotPrefix, HotPrefixes, MemberStatus, Repair, Repairs, ReplicaStatus, ReportReply,
    ReportRequest, RequestedReport, StoreCalls, prefix_name, render_status,
};
pub use crate::store::{
    Backoff, BudgetLimits, CallBudget, CallCounts, CallKind, Client as StoreClient,
    MAX_VALUE_BYTES, ObjectVersion, PutCondition, PutOutcome, StoreSettings, VersionedValue,
};
pub use crate::telemetry::{
    CompletedRequest, ExplanationCapacity, LogGuard, LogLevel, LogSettings, LogTarget, METRICS,
    MetricDescription, MetricKind, RequestMetrics, RequestRecorder, install_recorder, log_config,
    render_metrics_page, start_json_logs, start_logs,
};
pub use crate::ticket::{
    MemberRevision, NewState, Ticket, TicketApi, TicketDetails, TicketOutcome, TicketReply,
    TicketStatus, check as check_ticket, check_against as check_ticket_against,
    submit as submit_ticket, ticket_routes,
};
