//! Outlier ejection for the replicas of a pool, shared by the traffic threads.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

use rand::RngExt;
use smallvec::SmallVec;

use super::snapshot::ReplicaView;
use crate::id::ReplicaId;
use crate::pool::Pool;
use crate::request::ejection::Ejection;

/// The ejected replicas of one pool. This state persists across snapshots.
#[derive(Debug)]
pub(crate) struct PoolEjections {
    ejection: Mutex<Ejection>,
    /// Whether any replica may be ejected or ramping up, so that a healthy pool costs a single atomic load.
    may_exclude: AtomicBool,
    started: Instant,
}

impl PoolEjections {
    /// Creates the state for `pool` with no replica ejected.
    pub(crate) fn new(pool: &Pool) -> Self {
        let mut ejection = Ejection::default();
        ejection.set_replicas(ids(pool));
        Self {
            ejection: Mutex::new(ejection),
            may_exclude: AtomicBool::new(false),
            started: Instant::now(),
        }
    }

    /// Updates the set of replicas after a configuration change.
    pub(crate) fn set_pool(&self, pool: &Pool) {
        self.lock().set_replicas(ids(pool));
    }

    /// Records a successful attempt.
    pub(crate) fn record_success(&self, replica: &ReplicaId) {
        let now = self.started.elapsed();
        self.lock().record_success(replica, now);
    }

    /// Records a failed attempt that is attributed to the replica.
    pub(crate) fn record_failure(&self, replica: &ReplicaId) {
        let now = self.started.elapsed();
        if self.lock().record_failure(replica, now) {
            self.may_exclude.store(true, Ordering::Relaxed);
            log::warn!("request: Ejected a replica. replica={replica}");
        }
    }

    /// Returns the positions in `replicas` that this request must not use.
    ///
    /// An ejected replica is always excluded. A replica that is ramping up with weight `w` is excluded with probability
    /// `1 - w`.
    pub(crate) fn excluded(&self, replicas: &[ReplicaView]) -> SmallVec<[usize; 4]> {
        if !self.may_exclude.load(Ordering::Relaxed) {
            return SmallVec::new();
        }
        let now = self.started.elapsed();
        let ejection = self.lock();
        let mut any_reduced = false;
        let mut positions = SmallVec::new();
        for (id, weight) in ejection.reduced_weights(now) {
            any_reduced = true;
            let is_excluded = rand::rng().random::<f64>() >= weight;
            let position = replicas.iter().position(|view| view.replica.id == *id);
            positions.extend(position.filter(|_| is_excluded));
        }
        self.may_exclude.store(any_reduced, Ordering::Relaxed);
        positions
    }

    fn lock(&self) -> MutexGuard<'_, Ejection> {
        self.ejection
            .lock()
            .expect("the mutex of the ejections is poisoned")
    }
}

fn ids(pool: &Pool) -> impl Iterator<Item = ReplicaId> {
    pool.replicas.iter().map(|replica| replica.id.clone())
}
