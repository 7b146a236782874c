//! Builds snapshots from the control state.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::ejections::PoolEjections;
use super::owner_views::{OwnerViews, PoolRouting};
use super::snapshot::{PoolView, ReplicaView, Snapshot};
use super::state_transfer::ReplicaHealth;
use crate::account::AccountKeys;
use crate::backend::Backend;
use crate::configuration::Configuration;
use crate::directory::Directory;
use crate::id::{Incarnation, PoolName, ReplicaId};
use crate::membership::{LeavingVms, Member};
use crate::pool::{Pool, Replica};
use crate::protocol::LoadReport;

/// The control state from which snapshots are built.
#[derive(Debug, Default)]
pub(crate) struct SnapshotBuilder {
    configuration: Arc<Configuration>,
    keys: Arc<AccountKeys>,
    replicas: HashMap<(PoolName, ReplicaId), ReplicaView>,
    members: Arc<[Member]>,
    directory: Option<Arc<Directory>>,
    routing: HashMap<PoolName, Arc<PoolRouting>>,
    ejections: HashMap<PoolName, Arc<PoolEjections>>,
    drained: BTreeSet<(PoolName, ReplicaId)>,
}

impl SnapshotBuilder {
    /// Sets the active configuration and its account keys.
    ///
    /// # Panics
    ///
    /// Panics if the revision does not increase.
    pub(crate) fn set_configuration(
        &mut self,
        configuration: Arc<Configuration>,
        keys: Arc<AccountKeys>,
    ) {
        assert!(
            configuration.revision > self.configuration.revision,
            "the active revision must not decrease"
        );
        self.keys = keys;
        self.replicas = self.retain_replicas(&configuration);
        self.ejections = self.retain_ejections(&configuration);
        self.configuration = configuration;
    }

    /// Returns the active configuration.
    pub(crate) const fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Sets the members and the directory.
    pub(crate) fn set_members(&mut self, members: Arc<[Member]>, directory: Directory) {
        self.members = members;
        self.directory = Some(Arc::new(directory));
    }

    /// Updates which replicas are on leaving VMs.
    pub(crate) fn set_leaving_vms(&mut self, leaving: &LeavingVms) {
        for view in self.replicas.values_mut() {
            let is_leaving = leaving.contains(view.replica.address);
            view.backend.set_vm_leaving(is_leaving);
            view.refresh();
        }
    }

    /// Returns the backend state of each replica.
    pub(crate) fn backends(&self) -> impl Iterator<Item = (&PoolName, &ReplicaId, &Backend)> {
        self.replicas
            .iter()
            .map(|((pool, replica), view)| (pool, replica, &view.backend))
    }

    /// Applies the state of a replica that a peer reported.
    pub(crate) fn apply_health(&mut self, item: &ReplicaHealth) {
        let key = (item.pool.as_str().into(), item.replica.as_str().into());
        if let Some(view) = self.replicas.get_mut(&key) {
            view.backend
                .merge_peer_report(item.incarnation, item.weights_version, item.leaving);
            view.refresh();
        }
    }

    /// Returns the incarnation of a replica and whether it is available for new requests.
    pub(crate) fn replica_state(
        &self,
        pool: &PoolName,
        replica: &ReplicaId,
    ) -> Option<(Incarnation, bool)> {
        let key = (Arc::clone(pool), Arc::clone(replica));
        let view = self.replicas.get(&key)?;
        Some((view.incarnation, view.available))
    }

    /// Sets the replicas that get no new requests because they are being drained for an order.
    pub(crate) fn set_drained(&mut self, drained: BTreeSet<(PoolName, ReplicaId)>) {
        self.drained = drained;
    }

    /// Records a load report of a replica, or that it returned none.
    pub(crate) fn set_load(
        &mut self,
        pool: &PoolName,
        replica: &ReplicaId,
        load: Option<LoadReport>,
    ) {
        let key = (Arc::clone(pool), Arc::clone(replica));
        let Some(view) = self.replicas.get_mut(&key) else {
            return;
        };
        match load {
            Some(load) => {
                view.backend.apply_load_report(load);
            }
            None => view.backend.record_missed_report(),
        }
        view.refresh();
    }

    /// Passes the pools' replicas to `owner_views` and stores the resulting routing data for the next snapshot.
    pub(crate) fn update_routing(&mut self, owner_views: &mut OwnerViews) {
        owner_views.set_members(&self.members);
        let pools = self.configuration.pools.iter();
        self.routing = pools
            .map(|(name, pool)| {
                let view = self.pool_view(name, pool);
                let routing = owner_views.update_pool(name, pool, &view.replicas);
                (Arc::clone(name), routing)
            })
            .collect();
    }

    /// Returns the index of a replica in its pool.
    pub(crate) fn position_of(&self, pool: &PoolName, replica: &ReplicaId) -> Option<usize> {
        let pool = self.configuration.pools.get(pool)?;
        pool.replicas.iter().position(|r| r.id == *replica)
    }

    /// Builds a snapshot of the current state.
    pub(crate) fn snapshot(&self) -> Snapshot {
        let pools = self
            .configuration
            .pools
            .iter()
            .map(|(name, pool)| (Arc::clone(name), Arc::new(self.pool_view(name, pool))))
            .collect();
        Snapshot {
            configuration: Arc::clone(&self.configuration),
            keys: Arc::clone(&self.keys),
            pools,
            members: Arc::clone(&self.members),
            directory: self.directory.clone(),
        }
    }

    fn pool_view(&self, name: &PoolName, pool: &Arc<Pool>) -> PoolView {
        let replicas = pool
            .replicas
            .iter()
            .filter_map(|replica| {
                let key = (Arc::clone(name), Arc::clone(&replica.id));
                let mut view = self.replicas.get(&key).cloned()?;
                view.available &= !self.drained.contains(&key);
                Some(view)
            })
            .collect();
        PoolView {
            pool: Arc::clone(pool),
            replicas,
            ejections: Arc::clone(&self.ejections[name]),
            routing: self.routing.get(name).cloned(),
        }
    }

    /// Returns the ejections of the configured pools, keeping those of pools that already exist.
    fn retain_ejections(
        &self,
        configuration: &Configuration,
    ) -> HashMap<PoolName, Arc<PoolEjections>> {
        let retain = |(name, pool): (&PoolName, &Arc<Pool>)| {
            let ejections = match self.ejections.get(name) {
                Some(known) => Arc::clone(known),
                None => Arc::new(PoolEjections::new(pool)),
            };
            ejections.set_pool(pool);
            (Arc::clone(name), ejections)
        };
        configuration.pools.iter().map(retain).collect()
    }

    /// Returns the views of the configured replicas, keeping those of replicas that are unchanged.
    fn retain_replicas(
        &self,
        configuration: &Configuration,
    ) -> HashMap<(PoolName, ReplicaId), ReplicaView> {
        let mut replicas = HashMap::new();
        for (name, pool) in &configuration.pools {
            for replica in &pool.replicas {
                let key = (Arc::clone(name), Arc::clone(&replica.id));
                let view = match self.replicas.get(&key) {
                    Some(known) if *known.replica == *replica => known.clone(),
                    _ => initial_view(replica),
                };
                replicas.insert(key, view);
            }
        }
        replicas
    }
}

fn initial_view(replica: &Replica) -> ReplicaView {
    ReplicaView {
        replica: Arc::new(replica.clone()),
        incarnation: 0,
        weights_version: 0,
        load: None,
        backend: Backend::default(),
        available: true,
        in_flight: Arc::default(),
    }
}
