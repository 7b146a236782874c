//! Takes replicas that keep failing out of use for a while, and brings them back slowly.
//!
//! Judged from the results that this router sees, because load reports of a dead engine merely stop. At most half of a
//! pool's replicas are out at once: if more fail, the fault is likely not theirs, and the rest could not carry the load.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::ReplicaId;

const LEAST_RETURN_WEIGHT: f64 = 0.05;
const MAX_EJECTED_SHARE: f64 = 0.5;

/// When replicas are taken out, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionOptions {
    /// The failures in a row after which a replica is taken out.
    pub failures_in_a_row: u32,
    /// How long it stays out the first time; each further time doubles it.
    pub first_ejection: Duration,
    /// The longest time that it stays out.
    pub longest_ejection: Duration,
    /// How long its weight takes to return to one.
    pub return_time: Duration,
}

impl Default for EjectionOptions {
    fn default() -> Self {
        Self {
            failures_in_a_row: 3,
            first_ejection: Duration::from_secs(5),
            longest_ejection: Duration::from_secs(60),
            return_time: Duration::from_secs(10),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Record {
    failures_in_a_row: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
}

/// The ejections of one pool, as one router sees them.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    options: EjectionOptions,
    records: BTreeMap<ReplicaId, Record>,
}

impl Record {
    fn is_out(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn is_returning(&self, return_time: Duration, now: Duration) -> bool {
        let Some(until) = self.ejected_until else {
            return false;
        };
        until <= now && now < until + return_time
    }

    fn weight(&self, return_time: Duration, now: Duration) -> f64 {
        if self.is_out(now) {
            return 0.0;
        }
        let Some(until) = self.ejected_until else {
            return 1.0;
        };
        let progress = (now - until).as_secs_f64() / return_time.as_secs_f64();
        progress.clamp(LEAST_RETURN_WEIGHT, 1.0)
    }

    fn eject(&mut self, options: &EjectionOptions, now: Duration) {
        let factor = 1 << self.ejections.min(8);
        let time = (options.first_ejection * factor).min(options.longest_ejection);
        self.ejections += 1;
        self.failures_in_a_row = 0;
        self.ejected_until = Some(now + time);
    }
}

impl Ejection {
    /// Begins without any replica.
    #[must_use]
    pub fn new(options: EjectionOptions) -> Self {
        Self {
            options,
            records: BTreeMap::new(),
        }
    }

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
            .map_or(1.0, |record| record.weight(self.options.return_time, now))
    }

    /// Returns the replicas that are out or returning, each with its weight below one.
    pub fn reduced(&self, now: Duration) -> impl Iterator<Item = (&ReplicaId, f64)> {
        self.records
            .iter()
            .map(move |(id, record)| (id, record.weight(self.options.return_time, now)))
            .filter(|(_, weight)| *weight < 1.0)
    }

    /// Takes in a try that succeeded.
    pub fn succeeded(&mut self, replica: &ReplicaId, now: Duration) {
        let Some(record) = self.records.get_mut(replica) else {
            return;
        };
        record.failures_in_a_row = 0;
        let is_returning = record.is_returning(self.options.return_time, now);
        let has_returned = !record.is_out(now) && !is_returning;
        if has_returned {
            *record = Record::default();
        }
    }

    /// Takes in a try that failed by the replica's fault; returns whether the replica is out from now on.
    pub fn failed(&mut self, replica: &ReplicaId, now: Duration) -> bool {
        let has_room = self.has_room(now);
        let options = self.options;
        let Some(record) = self.records.get_mut(replica) else {
            return false;
        };
        if record.is_out(now) {
            return false;
        }
        record.failures_in_a_row += 1;
        let is_relapse = record.is_returning(options.return_time, now);
        let is_outlier = is_relapse || record.failures_in_a_row >= options.failures_in_a_row;
        let ejects = is_outlier && has_room;
        if ejects {
            record.eject(&options, now);
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
