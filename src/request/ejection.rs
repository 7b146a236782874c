//! Outlier ejection: removes failing replicas from load balancing for a while, and restores them with a slow start.
//!
//! Ejection is based on the results that this router observes, because a dead engine merely stops sending load reports.
//! At most half of a pool's replicas are ejected at a time: if more fail, the replicas are probably not the cause, and
//! the others could not carry the load.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::ReplicaId;

const MIN_SLOW_START_WEIGHT: f64 = 0.05;
const MAX_EJECTED_FRACTION: f64 = 0.5;

/// When replicas are ejected, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectionOptions {
    /// The number of consecutive failures that cause an ejection.
    pub consecutive_failures: u32,
    /// The duration of the first ejection; it doubles with each further one.
    pub base_ejection_time: Duration,
    /// The maximum duration of an ejection.
    pub max_ejection_time: Duration,
    /// The time over which the weight ramps back up to one after an ejection.
    pub slow_start: Duration,
}

impl Default for EjectionOptions {
    fn default() -> Self {
        Self {
            consecutive_failures: 3,
            base_ejection_time: Duration::from_secs(5),
            max_ejection_time: Duration::from_secs(60),
            slow_start: Duration::from_secs(10),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct ReplicaHealth {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
}

/// The ejection state of one pool, as observed by one router.
#[derive(Clone, Debug, Default)]
pub struct Ejection {
    options: EjectionOptions,
    records: BTreeMap<ReplicaId, ReplicaHealth>,
}

impl ReplicaHealth {
    fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn is_in_slow_start(&self, slow_start: Duration, now: Duration) -> bool {
        let Some(until) = self.ejected_until else {
            return false;
        };
        until <= now && now < until + slow_start
    }

    fn weight(&self, slow_start: Duration, now: Duration) -> f64 {
        if self.is_ejected(now) {
            return 0.0;
        }
        let Some(until) = self.ejected_until else {
            return 1.0;
        };
        let progress = (now - until).as_secs_f64() / slow_start.as_secs_f64();
        progress.clamp(MIN_SLOW_START_WEIGHT, 1.0)
    }

    fn eject(&mut self, options: &EjectionOptions, now: Duration) {
        let factor = 1 << self.ejections.min(8);
        let time = (options.base_ejection_time * factor).min(options.max_ejection_time);
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.ejected_until = Some(now + time);
    }
}

impl Ejection {
    /// Creates the state of a pool without replicas.
    #[must_use]
    pub fn new(options: EjectionOptions) -> Self {
        Self {
            options,
            records: BTreeMap::new(),
        }
    }

    /// Sets the replicas of the pool; the state of all others is dropped.
    pub fn set_replicas(&mut self, replicas: impl IntoIterator<Item = ReplicaId>) {
        let mut old = std::mem::take(&mut self.records);
        for replica in replicas {
            let record = old.remove(&replica).unwrap_or_default();
            self.records.insert(replica, record);
        }
    }

    /// Returns the load balancing weight of `replica`: zero while ejected, below one during slow start.
    #[must_use]
    pub fn weight(&self, replica: &ReplicaId, now: Duration) -> f64 {
        self.records
            .get(replica)
            .map_or(1.0, |record| record.weight(self.options.slow_start, now))
    }

    /// Returns the replicas that are ejected or in slow start, with their weights, which are below one.
    pub fn reduced_weights(&self, now: Duration) -> impl Iterator<Item = (&ReplicaId, f64)> {
        self.records
            .iter()
            .map(move |(id, record)| (id, record.weight(self.options.slow_start, now)))
            .filter(|(_, weight)| *weight < 1.0)
    }

    /// Records a successful attempt.
    pub fn record_success(&mut self, replica: &ReplicaId, now: Duration) {
        let Some(record) = self.records.get_mut(replica) else {
            return;
        };
        record.consecutive_failures = 0;
        let is_in_slow_start = record.is_in_slow_start(self.options.slow_start, now);
        let is_recovered = !record.is_ejected(now) && !is_in_slow_start;
        if is_recovered {
            *record = ReplicaHealth::default();
        }
    }

    /// Records a failed attempt for which the replica is to blame; returns whether this ejected the replica.
    pub fn record_failure(&mut self, replica: &ReplicaId, now: Duration) -> bool {
        let is_below_limit = self.is_below_limit(now);
        let options = self.options;
        let Some(record) = self.records.get_mut(replica) else {
            return false;
        };
        if record.is_ejected(now) {
            return false;
        }
        record.consecutive_failures += 1;
        let is_in_slow_start = record.is_in_slow_start(options.slow_start, now);
        let is_outlier =
            is_in_slow_start || record.consecutive_failures >= options.consecutive_failures;
        let ejects = is_outlier && is_below_limit;
        if ejects {
            record.eject(&options, now);
            let is_within_limit = self.ejected_count(now) <= self.max_ejected();
            assert!(is_within_limit, "more replicas are ejected than allowed");
        }
        ejects
    }

    /// Forgets all failures and ends all ejections.
    pub fn forget_failures(&mut self) {
        for record in self.records.values_mut() {
            *record = ReplicaHealth::default();
        }
    }

    fn ejected_count(&self, now: Duration) -> usize {
        let is_ejected = |record: &&ReplicaHealth| record.is_ejected(now);
        self.records.values().filter(is_ejected).count()
    }

    fn max_ejected(&self) -> usize {
        (self.records.len() as f64 * MAX_EJECTED_FRACTION) as usize
    }

    fn is_below_limit(&self, now: Duration) -> bool {
        self.ejected_count(now) < self.max_ejected()
    }
}
