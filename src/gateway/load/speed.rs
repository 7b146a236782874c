//! The speeds of replicas, learned from the time to the first event of streams.
//!
//! Replicas of one service differ in speed and do not announce it, and each of many routers sees too few requests to learn
//! it alone. Each router sums, for each incarnation of a replica, the time to the first event of its streams and the time
//! expected for the prompt tokens at the reference rate of [`PREFILL_MS_PER_TOKEN`], including the work ahead at the
//! replica. The sums decay, are exchanged between routers and added up. Their ratio is the speed: 1 at the reference
//! rate, 3 at a replica that prefills three times as many tokens.
//!
//! Load patterns handled: replicas of one service with speeds from 0.6 to 1.6, and engines that all are three times as
//! fast as the reference (the cost of a placement follows the actual rate); few requests at each router (sums of all
//! routers); short prompts, whose time is that of the network and of one step (they are not observed); a replica that
//! fails (it produces no first event and no observation) or loads weights (one observation counts at most as the lowest
//! speed); wrong reports (sums are capped, and expire).
//!
//! Rejected: the mean of the ratios of single requests, in which short waits dominate; and speeds relative to the median
//! only, which leave the cost of waiting wrong by the factor between the service and the reference.

use std::collections::HashMap;
use std::time::Duration;

use super::reports::ReplicaKey;
use crate::gateway::placement::PREFILL_MS_PER_TOKEN;
use crate::id::RouterId;

/// The lowest and the highest speed.
const MIN_SPEED: f64 = 0.25;
const MAX_SPEED: f64 = 6.0;
/// The bounds of the weight by which a replica attracts homes, relative to the median of its service.
const MIN_HOME_WEIGHT: f64 = 0.4;
const MAX_HOME_WEIGHT: f64 = 2.5;
/// The factor between two weights of homes; with finer steps, the noise of the speeds would move homes.
const HOME_WEIGHT_STEP: f64 = 1.25;
/// How far a speed must be from the present home weight before that changes, in steps. A speed near the boundary of two
/// steps would move prefixes with each observation, at different times on different routers.
const HOME_WEIGHT_HYSTERESIS: f64 = 0.75;
/// The time after which an observation counts half.
const HALF_LIFE: Duration = Duration::from_secs(30);
/// The part of the time to the first event that does not depend on the prompt, in milliseconds: the network and one step.
const FIXED_MS: f64 = 5.0;
/// The minimum expected time of an observation, in milliseconds; below it the fixed part and the delays of a small
/// router's processor dominate.
const MIN_EXPECTED_MS: f64 = 25.0;
/// The expected time, in milliseconds, that the median of the service counts for beside a replica's own observations.
const PRIOR_MS: f64 = 300.0;
/// The maximum of each sum in a report, in milliseconds; the largest replica has some 400 s of work in a half-life.
const MAX_SUM_MS: f64 = 400_000.0;
/// How long a report counts; reports are sent once a second.
const REPORT_TTL: Duration = Duration::from_secs(5);
/// The maximum number of replicas in the report of one router.
const MAX_REPORTED_REPLICAS: usize = 4_096;

/// The sums of the expected and the observed times of a replica's streams, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct SpeedSums {
    expected_ms: f64,
    observed_ms: f64,
}

/// Sums that decay with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpeedObservations {
    sums: SpeedSums,
    updated_at: Duration,
}

/// The speed of one replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReplicaSpeed {
    /// The rate of its prefill, as a multiple of the reference rate.
    pub(crate) speed: f64,
    /// The weight by which it attracts the homes of prefixes; 1 for the median of its service.
    pub(crate) home_weight: f64,
}

impl Default for ReplicaSpeed {
    fn default() -> Self {
        Self {
            speed: 1.0,
            home_weight: 1.0,
        }
    }
}

/// The wire format of the sums; entries with the same index belong to the same replica.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct SpeedReport {
    /// The keys of the replicas.
    #[prost(fixed32, repeated, tag = "1")]
    keys: Vec<u32>,
    /// The expected times, in milliseconds.
    #[prost(uint32, repeated, tag = "2")]
    expected_ms: Vec<u32>,
    /// The observed times, in milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    observed_ms: Vec<u32>,
}

/// The sums of several replicas.
pub(crate) type SpeedMap = HashMap<ReplicaKey, SpeedSums>;

/// Returns the expected time to the first event at the reference rate, in milliseconds, of a request with `own_tokens`
/// behind `tokens_ahead`; `None` if it is too short to tell anything about the speed.
pub(crate) fn expected_ms(own_tokens: u32, tokens_ahead: u64) -> Option<f64> {
    let tokens = u64::from(own_tokens).saturating_add(tokens_ahead);
    let expected_ms = tokens as f64 * PREFILL_MS_PER_TOKEN;
    (expected_ms >= MIN_EXPECTED_MS).then_some(expected_ms)
}

impl SpeedSums {
    fn add(&mut self, other: Self) {
        self.expected_ms += other.expected_ms;
        self.observed_ms += other.observed_ms;
    }

    /// Returns the speed if there are enough observations for the median of the service.
    fn reliable_speed(self) -> Option<f64> {
        let is_reliable = self.expected_ms >= PRIOR_MS && self.observed_ms > 0.0;
        is_reliable.then(|| (self.expected_ms / self.observed_ms).clamp(MIN_SPEED, MAX_SPEED))
    }

    /// Returns the speed, given the median of the service.
    fn speed(self, median: f64) -> f64 {
        let expected = self.expected_ms + PRIOR_MS;
        let observed = self.observed_ms + PRIOR_MS / median;
        (expected / observed).clamp(MIN_SPEED, MAX_SPEED)
    }
}

impl SpeedObservations {
    /// Records a stream whose first event was expected after `expected_ms` and came after `observed`.
    ///
    /// One observation counts at most as the lowest and at least as the highest speed, because a sound replica may pause.
    pub(crate) fn record(&mut self, expected_ms: f64, observed: Duration, now: Duration) {
        let observed_ms = (observed.as_secs_f64() * 1_000.0 - FIXED_MS)
            .clamp(expected_ms / MAX_SPEED, expected_ms / MIN_SPEED);
        self.sums = self.sums(now);
        self.updated_at = now;
        self.sums.add(SpeedSums {
            expected_ms,
            observed_ms,
        });
    }

    /// Returns the sums, decayed to `now`.
    pub(crate) fn sums(&self, now: Duration) -> SpeedSums {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        let factor = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        SpeedSums {
            expected_ms: self.sums.expected_ms * factor,
            observed_ms: self.sums.observed_ms * factor,
        }
    }
}

impl SpeedReport {
    /// Encodes sums, leaving out replicas without observations.
    pub(crate) fn of(sums: &SpeedMap) -> Self {
        let mut report = Self::default();
        for (key, sums) in sums {
            if sums.observed_ms >= 1.0 && sums.expected_ms >= 1.0 {
                report.keys.push(*key);
                report.expected_ms.push(sums.expected_ms.round() as u32);
                report.observed_ms.push(sums.observed_ms.round() as u32);
            }
        }
        report
    }

    /// Decodes the sums, limited to what one report may claim.
    fn sums(&self) -> SpeedMap {
        let columns = self.expected_ms.iter().zip(&self.observed_ms);
        let entries = self.keys.iter().zip(columns).take(MAX_REPORTED_REPLICAS);
        let entries = entries.filter(|(_, (expected, observed))| **expected > 0 && **observed > 0);
        let entries = entries.map(|(key, (expected_ms, observed_ms))| {
            let (expected_ms, observed_ms) = (f64::from(*expected_ms), f64::from(*observed_ms));
            let factor = (MAX_SUM_MS / expected_ms.max(observed_ms)).min(1.0);
            let sums = SpeedSums {
                expected_ms: expected_ms * factor,
                observed_ms: observed_ms * factor,
            };
            (*key, sums)
        });
        entries.collect()
    }
}

/// The observations that other routers reported.
#[derive(Debug, Default)]
pub(crate) struct PeerSpeeds {
    followers: HashMap<RouterId, (Duration, SpeedMap)>,
    aggregates: HashMap<RouterId, (Duration, SpeedMap)>,
}

impl PeerSpeeds {
    /// Records the sums of a router that gets its updates from this one.
    pub(crate) fn record_follower(
        &mut self,
        router: RouterId,
        report: &SpeedReport,
        now: Duration,
    ) {
        self.followers.insert(router, (now, report.sums()));
    }

    /// Records the totals of another aggregating router, or of the one that this router gets its updates from.
    pub(crate) fn record_aggregate(
        &mut self,
        router: RouterId,
        report: &SpeedReport,
        now: Duration,
    ) {
        self.aggregates.insert(router, (now, report.sums()));
    }

    /// Removes reports that are too old.
    pub(crate) fn expire(&mut self, now: Duration) {
        for reports in [&mut self.followers, &mut self.aggregates] {
            reports.retain(|_, (at, _)| now < *at + REPORT_TTL);
        }
    }

    /// Returns the sums of this router and of those that get their updates from it.
    pub(crate) fn local_total(&self, own: &SpeedMap) -> SpeedMap {
        self.total_of(own, None, false)
    }

    /// Returns the sums of all routers except `router`.
    pub(crate) fn total_excluding(&self, router: Option<&RouterId>, own: &SpeedMap) -> SpeedMap {
        self.total_of(own, router, true)
    }

    fn total_of(
        &self,
        own: &SpeedMap,
        excluded: Option<&RouterId>,
        with_aggregates: bool,
    ) -> SpeedMap {
        let followers = self.followers.iter();
        let followers = followers.filter(|(router, _)| Some(*router) != excluded);
        let aggregates = self.aggregates.iter().filter(|_| with_aggregates);
        let mut total = own.clone();
        for (_, (_, sums)) in followers.chain(aggregates) {
            for (key, sums) in sums {
                total.entry(*key).or_default().add(*sums);
            }
        }
        total
    }
}

/// Returns the speeds of a service's replicas, given the sums of all routers and the speeds `before`; all are 1 without
/// observations.
pub(crate) fn service_speeds(
    replicas: &[ReplicaKey],
    total: &SpeedMap,
    before: &HashMap<ReplicaKey, ReplicaSpeed>,
) -> Vec<(ReplicaKey, ReplicaSpeed)> {
    let sums = |key: &ReplicaKey| total.get(key).copied().unwrap_or_default();
    let mut known: Vec<f64> = replicas
        .iter()
        .filter_map(|key| sums(key).reliable_speed())
        .collect();
    known.sort_by(f64::total_cmp);
    let median = known.get(known.len() / 2).copied().unwrap_or(1.0);
    let speeds = replicas.iter().map(|key| {
        let speed = sums(key).speed(median);
        let steps = (speed / median).ln() / HOME_WEIGHT_STEP.ln();
        let last_weight = before.get(key).map_or(1.0, |before| before.home_weight);
        let last_steps = last_weight.ln() / HOME_WEIGHT_STEP.ln();
        let home_weight = if (steps - last_steps).abs() < HOME_WEIGHT_HYSTERESIS {
            last_weight
        } else {
            HOME_WEIGHT_STEP
                .powf(steps.round())
                .clamp(MIN_HOME_WEIGHT, MAX_HOME_WEIGHT)
        };
        let speed = ReplicaSpeed { speed, home_weight };
        (*key, speed)
    });
    speeds.collect()
}
