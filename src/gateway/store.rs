//! The interface to the platform's object store: a struct of functions.
//!
//! An adapter implements the functions with its own protocol and names. The gateway decides how to handle the results,
//! such as when to retry and what to keep during an outage.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::fleet::ReplicaEntry;
use super::releases::ReleaseRecord;
use super::revision::StoreRevision;
use super::route::{GatewayConfiguration, ModelName};
use crate::id::WeightsVersion;
use crate::rollout::LeaseRecord;
use crate::store::{ObjectVersion, PutCondition, PutOutcome};

/// A boxed future that can be sent to another thread.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
/// A store call with one argument.
pub type StoreCall<A, T> = Box<dyn Fn(A) -> CallFuture<Result<T, StoreFault>> + Send + Sync>;

/// Decodes a configuration as stored by the platform.
pub(crate) type ConfigurationDecoder =
    Box<dyn Fn(&[u8]) -> Result<GatewayConfiguration, StoreFault> + Send + Sync>;

/// Why a store call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The store did not respond, or not in time.
    Unavailable(Arc<str>),
    /// The store rejected the call temporarily.
    Busy(Arc<str>),
    /// The requested changes are no longer kept; the list must be read again.
    HistoryGone,
    /// The response could not be decoded.
    Malformed(Arc<str>),
}

impl fmt::Display for StoreFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(f, "unavailable: {reason}"),
            Self::Busy(reason) => write!(f, "busy: {reason}"),
            Self::HistoryGone => f.write_str("the history is no longer kept"),
            Self::Malformed(reason) => write!(f, "malformed response: {reason}"),
        }
    }
}

/// One page of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListPage<T> {
    /// The entries of the page.
    pub entries: Vec<T>,
    /// The token of the next page, if there is one.
    pub next: Option<Arc<str>>,
    /// The revision of the store as of this page.
    pub as_of: StoreRevision,
}

/// The result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchPage<T> {
    /// The changed entries, oldest first.
    pub entries: Vec<T>,
    /// The revision to start the next watch from, in the era of the watched one.
    pub as_of: StoreRevision,
}

/// The result of reading the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationRead {
    /// The revision of the object.
    pub revision: StoreRevision,
    /// The configuration as stored by the platform; `None` if its revision is the known one.
    pub changed: Option<Bytes>,
}

/// The weights version that the operator named for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedWeights {
    /// The model.
    pub model: ModelName,
    /// The version that the replicas of the model should serve.
    pub version: WeightsVersion,
}

/// The calls to the platform's store.
pub struct PlatformStore {
    /// Returns the latest era that any response of the store has named; 0 before the first response.
    pub era: Box<dyn Fn() -> u64 + Send + Sync>,
    /// Reads the configuration, given the known revision; returns `None` if there is no configuration yet.
    pub read_configuration: StoreCall<StoreRevision, Option<ConfigurationRead>>,
    /// Decodes a configuration as stored by the platform.
    pub decode_configuration: ConfigurationDecoder,
    /// Lists the replicas from a page token.
    pub list_replicas: StoreCall<Option<Arc<str>>, ListPage<ReplicaEntry>>,
    /// Watches the replicas from a revision, for at most the given duration; a revision of an earlier era has no
    /// history.
    pub watch_replicas: StoreCall<(StoreRevision, Duration), WatchPage<ReplicaEntry>>,
    /// Lists the named weights from a page token.
    pub list_weights: StoreCall<Option<Arc<str>>, ListPage<NamedWeights>>,
    /// Watches the named weights like [`PlatformStore::watch_replicas`].
    pub watch_weights: StoreCall<(StoreRevision, Duration), WatchPage<NamedWeights>>,
    /// Reads the lease for orders to replicas, with the [`StoreRevision`] of its last write as its version.
    pub read_lease: StoreCall<(), Option<(ObjectVersion, LeaseRecord)>>,
    /// Writes the lease for orders to replicas. A write conditional on a version of an earlier era is not sent.
    pub write_lease: Box<dyn Fn(LeaseRecord, PutCondition) -> CallFuture<PutOutcome> + Send + Sync>,
    /// Reads the record of the releases that serve, like the lease.
    pub read_releases: StoreCall<(), Option<(ObjectVersion, ReleaseRecord)>>,
    /// Writes the record of the releases that serve, like the lease.
    pub write_releases:
        Box<dyn Fn(ReleaseRecord, PutCondition) -> CallFuture<PutOutcome> + Send + Sync>,
}

impl fmt::Debug for PlatformStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PlatformStore")
    }
}
