//! Permits to send a request to a replica that names a limit.
//!
//! Each attempt of a request passes through [`Dispatch::place_within_limits`] before it is sent, whether it is the first
//! one, a retry, a second attempt beside a silent one, or the resumption of a stream. A replica whose limit has no token
//! for the request is left out of the next placement, so the request goes where there is room without waiting. If every
//! replica is left out, the request is refused at once. See docs/design/replica-limits.md.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::clock::boot_time;
use super::dispatch::{AttemptError, Dispatch, PrefixState};
use super::load::ReplicaKey;
use super::placement::NoReplica;
use super::quota::permit::QuotaPermit;
use super::quota::{QuotaCharge, QuotaSubject};
use super::replica_limit::{granted_limit, limit_key};
use super::shared::{Replica, Snapshot};

/// How long a request waits for the owner of a replica's limit before it goes to another replica.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(100);

/// The replicas that have no token for a request, and when each may have one.
pub(crate) type WithheldReplicas = SmallVec<[(ReplicaKey, Duration); 4]>;

impl Replica {
    /// Returns what one request costs of the replica's limit; `None` if it has none.
    fn limit_charge(&self, now: Duration) -> Option<QuotaCharge> {
        let rate_per_s = self.load.limit_rate_per_s(now)?;
        let record = &self.known.record;
        Some(QuotaCharge {
            subject: QuotaSubject::Replica,
            account: limit_key(&record.id, record.born_ms),
            limit: granted_limit(rate_per_s),
            cost: 1,
        })
    }
}

impl Dispatch {
    /// Selects a replica that may be sent to, and acquires the permit to do so if it names a limit.
    pub(crate) async fn place_within_limits(
        &mut self,
        snapshot: &Snapshot,
        prefix: PrefixState,
    ) -> Result<Arc<Replica>, AttemptError> {
        // A permit that was not used is given back.
        self.send_permit = None;
        let mut withheld = WithheldReplicas::new();
        loop {
            let replica = match self.place(snapshot, prefix, &withheld) {
                Err(AttemptError::NoReplica(NoReplica::Overloaded(backoff))) => {
                    let retry_after = self.reserve_return(snapshot).unwrap_or(backoff);
                    return Err(AttemptError::NoReplica(NoReplica::Overloaded(retry_after)));
                }
                placed => placed?,
            };
            let now = boot_time();
            let Some(charge) = replica.limit_charge(now) else {
                return Ok(replica);
            };
            let mut permit = QuotaPermit::new(Arc::clone(&self.shared), charge);
            let wait = self.call.remaining().min(MAX_OWNER_WAIT);
            match permit.acquire(wait, now).await {
                Ok(()) => {
                    self.send_permit = Some(permit);
                    return Ok(replica);
                }
                Err(retry_after) => withheld.push((replica.key, retry_after)),
            }
        }
    }

    /// Uses the permit for a send to `replica` at `now`; returns false if the replica names a limit and there is no permit
    /// that is still valid, as when the connection took long or the limit was named meanwhile.
    pub(crate) fn spend_permit(&mut self, replica: &Replica, now: Duration) -> bool {
        match &mut self.send_permit {
            Some(permit) => permit.spend(now),
            None => replica.load.limit_rate_per_s(now).is_none(),
        }
    }

    /// Returns for how long a replica is left out of placements since its limit is used up; zero if it is not.
    pub(crate) fn withheld_time(
        &self,
        replica: &Replica,
        withheld: &WithheldReplicas,
        now: Duration,
    ) -> Duration {
        if let Some((_, time)) = withheld.iter().find(|(key, _)| *key == replica.key) {
            return *time;
        }
        let charge = replica.limit_charge(now);
        charge.map_or(Duration::ZERO, |charge| {
            self.shared.quota.denied_for(charge.account, now)
        })
    }

    /// Returns when the caller of a request that no limit covers may return: when the first of the replicas has a token
    /// that no other refused request of this router was told to wait for. `None` if no limit is used up.
    fn reserve_return(&self, snapshot: &Snapshot) -> Option<Duration> {
        let now = boot_time();
        let replicas = snapshot.services.get(&self.call.service)?;
        let charges = replicas
            .iter()
            .filter(|replica| replica.known.is_accepting() && !self.has_tried(replica))
            .filter_map(|replica| replica.limit_charge(now));
        let accounts: SmallVec<[_; 16]> = charges.map(|charge| charge.account).collect();
        self.shared.quota.reserve_return(&accounts, now)
    }
}
