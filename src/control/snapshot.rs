//! What traffic threads know: one immutable value that the control thread publishes.
//!
//! Traffic threads never lock control state. They load the current snapshot once per request, so that a request sees
//! one revision of the configuration from beginning to end. The counters behind [`ReplicaView`] outlive snapshots.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use super::ejections::PoolEjections;
use super::owners::Routing;
use crate::account::{AccountKeys, NamedAccount};
use crate::backend::{Availability, Backend};
use crate::configuration::Configuration;
use crate::directory::Directory;
use crate::id::{Incarnation, PoolName, WeightsVersion};
use crate::membership::Member;
use crate::pool::{Pool, Replica};
use crate::protocol::LoadReport;

/// Everything that a traffic thread reads.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// The configuration in force.
    pub(crate) configuration: Arc<Configuration>,
    /// The keys of the client accounts.
    pub(crate) keys: Arc<AccountKeys>,
    /// The pools with what is known of their replicas.
    pub(crate) pools: HashMap<PoolName, Arc<PoolView>>,
    /// The members, suspected ones and this router included.
    pub(crate) members: Arc<[Member]>,
    /// The plan of the entry directory's answers.
    pub(crate) directory: Option<Arc<Directory>>,
}

/// A pool with what is known of its replicas.
#[derive(Debug)]
pub(crate) struct PoolView {
    /// The pool as configured.
    pub(crate) pool: Arc<Pool>,
    /// The replicas in the order of the configuration.
    pub(crate) replicas: Vec<ReplicaView>,
    /// The replicas that keep failing here.
    pub(crate) ejections: Arc<PoolEjections>,
    /// What it takes to ask an opening's owner.
    pub(crate) routing: Option<Arc<Routing>>,
}

/// What is known of one replica.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaView {
    /// The replica as configured.
    pub(crate) replica: Arc<Replica>,
    /// The incarnation last seen, zero before the first answer.
    pub(crate) incarnation: Incarnation,
    /// The weights version last seen, zero before the first answer.
    pub(crate) weights_version: WeightsVersion,
    /// The last load report.
    pub(crate) load: Option<LoadReport>,
    /// What all sources together say of it.
    pub(crate) backend: Backend,
    /// Whether new work may be sent.
    pub(crate) available: bool,
    /// The requests that this router has in flight there.
    pub(crate) in_flight: Arc<AtomicU32>,
}

impl ReplicaView {
    /// Brings what traffic threads read into line with what all sources say.
    pub(crate) fn refresh(&mut self) {
        self.available = self.backend.availability() == Availability::Available;
        self.incarnation = self.backend.incarnation();
        self.weights_version = self.backend.weights_version();
        self.load = self.backend.load().cloned();
    }
}

impl Snapshot {
    /// Finds the account to which `key` belongs.
    pub(crate) fn account_of_key(&self, key: &str) -> Option<&NamedAccount> {
        self.keys.find(key)
    }
}

/// Counts a request in flight at a replica for as long as it lives.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<AtomicU32>);

impl InFlight {
    /// Begins to count.
    pub(crate) fn new(counter: &Arc<AtomicU32>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(counter))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let before = self.0.fetch_sub(1, Ordering::Relaxed);
        assert!(before > 0, "a request in flight was counted down twice");
    }
}
