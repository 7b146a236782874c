//! Tells all routers which replicas are drained for an order.
//!
//! A notice carries the fencing number of the lease that it was made under and has a life, so that a holder that went
//! away keeps no replica out of service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{PoolName, ReplicaId};

/// How long a notice holds unless it is renewed.
pub(crate) const NOTICE_LIFE: Duration = Duration::from_secs(20);

/// The replicas of one pool that get no new work, from the holder of the pool's lease to all routers.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DrainNotice {
    /// The pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The fencing number of the lease.
    #[prost(uint64, tag = "2")]
    pub fencing_number: u64,
    /// Counts the notices under all leases of one holder's life, so that a late one is known.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The replicas.
    #[prost(string, repeated, tag = "4")]
    pub replicas: Vec<String>,
}

/// All notices that hold in one router.
#[derive(Clone, Debug, Default)]
pub struct Drains {
    pools: BTreeMap<PoolName, PoolDrains>,
}

#[derive(Clone, Debug, Default)]
struct PoolDrains {
    order: (u64, u64),
    replicas: BTreeSet<ReplicaId>,
    until: Duration,
}

impl Drains {
    /// Takes a notice; true where it is news, which other routers should hear as well.
    pub fn take(&mut self, notice: &DrainNotice, now: Duration) -> bool {
        let order = (notice.fencing_number, notice.sequence);
        let pool = self.pools.entry(notice.pool.as_str().into()).or_default();
        if order <= pool.order {
            return false;
        }
        pool.order = order;
        pool.replicas = notice
            .replicas
            .iter()
            .map(|id| id.as_str().into())
            .collect();
        pool.until = now + NOTICE_LIFE;
        true
    }

    /// Tells whether a replica gets no new work because it is drained for an order.
    #[must_use]
    pub fn is_drained(&self, pool: &str, replica: &str, now: Duration) -> bool {
        let drains = self.pools.get(pool);
        drains.is_some_and(|drains| now < drains.until && drains.replicas.contains(replica))
    }

    /// Returns all replicas that get no new work because they are drained for an order.
    #[must_use]
    pub fn drained(&self, now: Duration) -> BTreeSet<(PoolName, ReplicaId)> {
        let holding = self.pools.iter().filter(|(_, drains)| now < drains.until);
        let replicas = holding.flat_map(|(pool, drains)| {
            let ids = drains.replicas.iter();
            ids.map(|replica| (pool.clone(), replica.clone()))
        });
        replicas.collect()
    }
}
