//! What the gateway asks of the platform's object store, as a struct of functions.
//!
//! An adapter fills in the functions with its own protocol and its own names. What follows from their results, such as
//! when to ask again or what to keep during an outage, is decided here.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::fleet::ReplicaEntry;
use super::route::{GatewayConfiguration, ModelName};
use crate::id::WeightsVersion;
use crate::rollout::LeaseRecord;
use crate::store::{ObjectVersion, PutCondition, PutOutcome};

/// A future that can go to another thread.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
/// A call of the store that takes one argument.
pub type StoreCall<A, T> = Box<dyn Fn(A) -> CallFuture<Result<T, StoreFault>> + Send + Sync>;

/// Decodes a configuration as the platform holds it.
pub(crate) type ConfigurationDecoder =
    Box<dyn Fn(&[u8]) -> Result<GatewayConfiguration, StoreFault> + Send + Sync>;

/// Why a call of the store brought nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// The store did not answer, or not in time.
    Unavailable(Arc<str>),
    /// The store turned the call away for now.
    Busy(Arc<str>),
    /// The changes that were asked for are no longer kept; a list has to be read.
    HistoryGone,
    /// The answer made no sense.
    Malformed(Arc<str>),
}

impl fmt::Display for StoreFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(reason) => write!(f, "no answer: {reason}"),
            Self::Busy(reason) => write!(f, "turned away: {reason}"),
            Self::HistoryGone => f.write_str("the history is gone"),
            Self::Malformed(reason) => write!(f, "not understood: {reason}"),
        }
    }
}

/// One page of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListPage<T> {
    /// The entries.
    pub entries: Vec<T>,
    /// Where the next page begins, if there is one.
    pub next: Option<Arc<str>>,
    /// The store's revision as of this page.
    pub as_of: u64,
}

/// What a watch brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchPage<T> {
    /// The entries that changed, oldest first.
    pub entries: Vec<T>,
    /// The revision from which to watch on.
    pub as_of: u64,
}

/// What reading the configuration brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationRead {
    /// The object's revision.
    pub revision: u64,
    /// The configuration as the platform holds it, unless its revision is the one that was known.
    pub changed: Option<Bytes>,
}

/// The weights that the operator named for a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedWeights {
    /// The model.
    pub model: ModelName,
    /// The version that its replicas shall serve.
    pub version: WeightsVersion,
}

/// The calls that the gateway makes to the platform's store.
pub struct PlatformStore {
    /// Reads the configuration, given the revision that is known; `None` where there is none yet.
    pub read_configuration: StoreCall<u64, Option<ConfigurationRead>>,
    /// Decodes a configuration as the platform holds it.
    pub decode_configuration: ConfigurationDecoder,
    /// Lists the replicas from a place on.
    pub list_replicas: StoreCall<Option<Arc<str>>, ListPage<ReplicaEntry>>,
    /// Watches the replicas from a revision on, for at most a time.
    pub watch_replicas: StoreCall<(u64, Duration), WatchPage<ReplicaEntry>>,
    /// Lists the named weights from a place on.
    pub list_weights: StoreCall<Option<Arc<str>>, ListPage<NamedWeights>>,
    /// Watches the named weights from a revision on, for at most a time.
    pub watch_weights: StoreCall<(u64, Duration), WatchPage<NamedWeights>>,
    /// Reads the lease for orders to replicas.
    pub read_lease: StoreCall<(), Option<(ObjectVersion, LeaseRecord)>>,
    /// Writes that lease.
    pub write_lease: Box<dyn Fn(LeaseRecord, PutCondition) -> CallFuture<PutOutcome> + Send + Sync>,
}

impl fmt::Debug for PlatformStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PlatformStore")
    }
}
