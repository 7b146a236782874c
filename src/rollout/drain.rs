//! Tracks which replicas are drained for an order, as the lease holder announces to all routers.
//!
//! A notice carries the fencing number of the lease that it was sent under. It expires, so that a holder that is gone
//! keeps no replica out of service.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::{PoolName, ReplicaId};

/// The time after which a notice expires unless it is renewed.
pub(crate) const NOTICE_TTL: Duration = Duration::from_secs(20);

/// The replicas of one pool that get no new requests, sent by the holder of the pool's lease to all routers.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DrainNotice {
    /// The name of the pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// The fencing number of the lease.
    #[prost(uint64, tag = "2")]
    pub fencing_number: u64,
    /// A counter of the notices of one holder incarnation, across its leases, by which a late notice is recognised.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The ids of the drained replicas.
    #[prost(string, repeated, tag = "4")]
    pub replicas: Vec<String>,
}

/// The latest drain notice of each pool, as one router knows them.
#[derive(Clone, Debug, Default)]
pub struct DrainTable {
    pools: BTreeMap<PoolName, PoolDrains>,
}

#[derive(Clone, Debug, Default)]
struct PoolDrains {
    /// The fencing number and sequence of the latest notice.
    version: (u64, u64),
    replicas: BTreeSet<ReplicaId>,
    expires_at: Duration,
}

impl DrainTable {
    /// Applies a notice. Returns `true` if it is newer than the known one, and so has to be forwarded to other routers.
    pub fn apply(&mut self, notice: &DrainNotice, now: Duration) -> bool {
        let version = (notice.fencing_number, notice.sequence);
        let pool = self.pools.entry(notice.pool.as_str().into()).or_default();
        if version <= pool.version {
            return false;
        }
        pool.version = version;
        pool.replicas = notice
            .replicas
            .iter()
            .map(|id| id.as_str().into())
            .collect();
        pool.expires_at = now + NOTICE_TTL;
        true
    }

    /// Returns whether a replica gets no new requests because it is drained for an order.
    #[must_use]
    pub fn is_drained(&self, pool: &str, replica: &str, now: Duration) -> bool {
        let drains = self.pools.get(pool);
        drains.is_some_and(|drains| now < drains.expires_at && drains.replicas.contains(replica))
    }

    /// Returns all replicas that get no new requests because they are drained for an order.
    #[must_use]
    pub fn drained(&self, now: Duration) -> BTreeSet<(PoolName, ReplicaId)> {
        let active = self
            .pools
            .iter()
            .filter(|(_, drains)| now < drains.expires_at);
        let replicas = active.flat_map(|(pool, drains)| {
            let ids = drains.replicas.iter();
            ids.map(|replica| (pool.clone(), replica.clone()))
        });
        replicas.collect()
    }
}
