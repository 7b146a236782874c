//! Immutable snapshots of the control state for the traffic threads.
//!
//! Traffic threads never lock control state. Each request loads the current snapshot once, and therefore sees a single
//! revision of the configuration throughout. The counters in [`ReplicaView`] are shared between snapshots.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::ejections::PoolEjections;
use super::owner_views::PoolRouting;
use crate::account::{AccountKeys, NamedAccount};
use crate::backend::{Availability, Backend};
use crate::configuration::Configuration;
use crate::directory::Directory;
use crate::id::{Incarnation, PoolName, WeightsVersion};
use crate::membership::Member;
use crate::pool::{Pool, Replica};
use crate::protocol::LoadReport;

/// A snapshot of the control state, as read by the traffic threads.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// The active configuration.
    pub(crate) configuration: Arc<Configuration>,
    /// The keys of the client accounts.
    pub(crate) keys: Arc<AccountKeys>,
    /// The pools and the state of their replicas.
    pub(crate) pools: HashMap<PoolName, Arc<PoolView>>,
    /// The members, including suspected ones and this router.
    pub(crate) members: Arc<[Member]>,
    /// The directory from which callers get router addresses.
    pub(crate) directory: Option<Arc<Directory>>,
}

/// A pool and the state of its replicas.
#[derive(Debug)]
pub(crate) struct PoolView {
    /// The pool as configured.
    pub(crate) pool: Arc<Pool>,
    /// The replicas, in the order of the configuration.
    pub(crate) replicas: Vec<ReplicaView>,
    /// The replicas that this router has ejected because they keep failing.
    pub(crate) ejections: Arc<PoolEjections>,
    /// The data needed to query the owner of a prompt prefix.
    pub(crate) routing: Option<Arc<PoolRouting>>,
}

/// The known state of a replica.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaView {
    /// The replica as configured.
    pub(crate) replica: Arc<Replica>,
    /// The last known incarnation, or zero before the first response.
    pub(crate) incarnation: Incarnation,
    /// The last known weights version, or zero before the first response.
    pub(crate) weights_version: WeightsVersion,
    /// The last load report.
    pub(crate) load: Option<LoadReport>,
    /// The state combined from all sources.
    pub(crate) backend: Backend,
    /// Whether the replica accepts new requests.
    pub(crate) available: bool,
    /// The number of requests that this router has in flight at the replica.
    pub(crate) in_flight: Arc<AtomicU32>,
}

impl ReplicaView {
    /// Updates the fields derived from `backend`.
    pub(crate) fn refresh(&mut self) {
        self.available = self.backend.availability() == Availability::Available;
        self.incarnation = self.backend.incarnation();
        self.weights_version = self.backend.weights_version();
        self.load = self.backend.load().cloned();
    }
}

impl Snapshot {
    /// Returns the account to which `key` belongs.
    pub(crate) fn account_by_key(&self, key: &str) -> Option<&NamedAccount> {
        self.keys.find(key)
    }
}

/// A guard that counts a request as in flight at a replica until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<AtomicU32>);

impl InFlightGuard {
    /// Increments `counter`; dropping the guard decrements it.
    pub(crate) fn new(counter: &Arc<AtomicU32>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(counter))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let before = self.0.fetch_sub(1, Ordering::Relaxed);
        assert!(before > 0, "the in-flight counter must not underflow");
    }
}
