//! Takes replicas that keep failing out of use for a while, and brings them back slowly.
//!
//! Judged from the results that this router sees, because load reports of a dead engine merely stop. At most half of a
//! pool's replicas are out at once: if more fail, the fault is likely not theirs, and the rest could not carry the load.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::ReplicaId;

const FAILURES_IN_A_ROW: u32 = 3;
const FIRST_EJECTION: Duration = Duration::from_secs(5);
const LONGEST_EJECTION: Duration = Duration::from_secs(60);
const RETURN_TIME: Duration = Duration::from_secs(10);
const LEAST_RETURN_WEIGHT: f64 = 0.05;
const MAX_EJECTED_SHARE: f64 = 0.5;

#[derive(Clone, Debug, Default)]
struct Record {
    failures_in_a_row: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
}

/// The ejections of one pool, as one router sees them.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    records: BTreeMap<ReplicaId, Record>,
}

impl Record {
    fn is_out(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn is_returning(&self, now: Duration) -> bool {
        let Some(until) = self.ejected_until else {
            return false;
        };
        until <= now && now < until + RETURN_TIME
    }

    fn weight(&self, now: Duration) -> f64 {
        if self.is_out(now) {
            return 0.0;
        }
        let Some(until) = self.ejected_until else {
            return 1.0;
        };
        let progress = (now - until).as_secs_f64() / RETURN_TIME.as_secs_f64();
        progress.clamp(LEAST_RETURN_WEIGHT, 1.0)
    }

    fn eject(&mut self, now: Duration) {
        let factor = 1 << self.ejections.min(8);
        let time = (FIRST_EJECTION * factor).min(LONGEST_EJECTION);
        self.ejections += 1;
        self.failures_in_a_row = 0;
        self.ejected_until = Some(now + time);
    }
}

impl Ejection {
    /// Takes in the pool's replicas; records of others are dropped.
    pub fn set_replicas(&mut self, replicas: impl IntoIterator<Item = ReplicaId>) {
        let mut old = std::mem::take(&mut self.records);
        for replica in replicas {
            let record = old.remove(&replica).unwrap_or_default();
            self.records.insert(replica, record);
        }
    }

    /// Returns the weight of `replica` in the choice: zero while it is out, and less than one while it returns.
    #[must_use]
    pub fn weight(&self, replica: &ReplicaId, now: Duration) -> f64 {
        self.records
            .get(replica)
            .map_or(1.0, |record| record.weight(now))
    }

    /// Returns the replicas that are out or returning, each with its weight below one.
    pub fn reduced(&self, now: Duration) -> impl Iterator<Item = (&ReplicaId, f64)> {
        self.records
            .iter()
            .map(move |(id, record)| (id, record.weight(now)))
            .filter(|(_, weight)| *weight < 1.0)
    }

    /// Takes in a try that succeeded.
    pub fn succeeded(&mut self, replica: &ReplicaId, now: Duration) {
        let Some(record) = self.records.get_mut(replica) else {
            return;
        };
        record.failures_in_a_row = 0;
        let has_returned = !record.is_out(now) && !record.is_returning(now);
        if has_returned {
            *record = Record::default();
        }
    }

    /// Takes in a try that failed by the replica's fault; returns whether the replica is out from now on.
    pub fn failed(&mut self, replica: &ReplicaId, now: Duration) -> bool {
        let has_room = self.has_room(now);
        let Some(record) = self.records.get_mut(replica) else {
            return false;
        };
        if record.is_out(now) {
            return false;
        }
        record.failures_in_a_row += 1;
        let is_relapse = record.is_returning(now);
        let is_outlier = is_relapse || record.failures_in_a_row >= FAILURES_IN_A_ROW;
        let ejects = is_outlier && has_room;
        if ejects {
            record.eject(now);
            let is_within_limit = self.ejected(now) <= self.most_ejected();
            assert!(is_within_limit, "too many replicas are ejected");
        }
        ejects
    }

    fn ejected(&self, now: Duration) -> usize {
        let is_out = |record: &&Record| record.is_out(now);
        self.records.values().filter(is_out).count()
    }

    fn most_ejected(&self) -> usize {
        (self.records.len() as f64 * MAX_EJECTED_SHARE) as usize
    }

    fn has_room(&self, now: Duration) -> bool {
        self.ejected(now) < self.most_ejected()
    }
}
