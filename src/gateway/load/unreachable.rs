//! The replicas that no router can reach.
//!
//! A connection to a silent replica fails only after its timeout. If each router finds that out by itself, each of them
//! makes several requests wait for one timeout after the other, and routers that have ejected different replicas compute
//! different homes for a prefix. Routers therefore report failed connections with their load reports. A replica that
//! [`MIN_FAILING_ROUTERS`] could not reach, and that has responded to no router since, is unreachable for all routers.
//! One router at a time tries it again, the next one after each failure, so that a router whose own path to the replica
//! is cut cannot keep it excluded. A response to any router ends the exclusion.
//!
//! Load patterns handled: a quarter of the replicas silent for 19 s in front of 62 routers (one timeout for each router
//! and replica at the beginning, then one attempt for each replica in [`PROBE_INTERVAL`]); a router whose link is cut (its
//! failures do not count, because no replica responds to it meanwhile); replicas that only a part of the routers can
//! reach (the responses to the others count); a failure that makes most of a service look unreachable (none is excluded);
//! reports that are late or of routers that have ended (they expire).
//!
//! Rejected: excluding a replica after the failure of one router, whose path may be cut; and probes by every router,
//! whose number grows with the fleet.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::reports::{REPORT_TTL, ReplicaKey};
use crate::id::RouterId;
use crate::membership::owner_of;

/// The number of routers that must have failed to connect to a replica.
const MIN_FAILING_ROUTERS: usize = 2;
/// The time within which they must have failed.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);
/// How long a replica stays unreachable after the latest failure, if probes do not renew it.
const EXCLUSION_TIME: Duration = Duration::from_secs(3);
/// The minimum time between the latest failure and the next probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// A failure counts only if a replica responded to the router at most this long before; shorter than the timeout of a
/// connection, during which a router with a cut link gets no response.
const LINK_PROOF_AGE: Duration = Duration::from_millis(200);
/// How long after a failure such a response is awaited.
const LINK_PROOF_WAIT: Duration = Duration::from_millis(400);
/// A router that got no response for this long may have been cut off.
const MAX_LINK_SILENCE: Duration = Duration::from_millis(300);
/// How long after such a silence failures do not count, since their connections may have begun during it.
const LINK_RECOVERY: Duration = Duration::from_millis(300);
/// A replica that responded to any router within this time is not excluded; responses are reported that late.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// The number of routers whose failures at a replica are kept, the latest ones; all of them wait while the next router
/// probes.
const MAX_FAILURES: usize = 4;
/// The maximum number of replicas in the report of one router.
const MAX_REPORTED_REPLICAS: usize = 4_096;

/// A short hash that identifies one router.
type RouterKey = u32;

fn router_key(router: &RouterId) -> RouterKey {
    xxh3_64(router.as_bytes()) as RouterKey
}

/// The latest connection and response of one replica at this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionSample {
    /// When a connection failed last.
    pub(crate) failed_at: Option<Duration>,
    /// When the replica last sent a response or accepted a connection.
    pub(crate) responded_at: Option<Duration>,
}

/// The wire format of what routers know about one replica.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct ReachabilityMessage {
    /// The key of the replica.
    #[prost(fixed32, tag = "1")]
    replica: u32,
    /// The keys of the routers that failed to connect.
    #[prost(fixed32, repeated, tag = "2")]
    routers: Vec<u32>,
    /// The times since these failures, in milliseconds.
    #[prost(uint32, repeated, tag = "3")]
    failure_ages_ms: Vec<u32>,
    /// The time since the latest response, in milliseconds.
    #[prost(uint32, optional, tag = "4")]
    response_age_ms: Option<u32>,
}

/// What routers know about one replica.
#[derive(Clone, Debug, Default)]
struct Reachability {
    /// The routers that failed to connect and when, the latest first.
    failures: SmallVec<[(RouterKey, Duration); MAX_FAILURES]>,
    responded_at: Option<Duration>,
}

type ReachabilityMap = HashMap<ReplicaKey, Reachability>;

impl Reachability {
    fn add_failure(&mut self, router: RouterKey, at: Duration) {
        match self.failures.iter_mut().find(|(known, _)| *known == router) {
            Some((_, latest)) => *latest = at.max(*latest),
            None => self.failures.push((router, at)),
        }
        self.failures.sort_by_key(|(_, at)| std::cmp::Reverse(*at));
        self.failures.truncate(MAX_FAILURES);
    }

    fn merge(&mut self, other: &Self) {
        for (router, at) in &other.failures {
            self.add_failure(*router, *at);
        }
        self.responded_at = self.responded_at.max(other.responded_at);
    }

    /// Returns the number of routers that failed to connect within `window` and after the latest response.
    fn failing_routers(&self, window: Duration, now: Duration) -> usize {
        let is_unanswered = |at: Duration| self.responded_at.is_none_or(|response| response < at);
        let counted = self
            .failures
            .iter()
            .filter(|(_, at)| now < *at + window && is_unanswered(*at));
        counted.count()
    }

    fn has_failures(&self, now: Duration) -> bool {
        let mut failures = self.failures.iter();
        failures.any(|(_, at)| now < *at + EXCLUSION_TIME)
    }

    fn to_message(&self, replica: ReplicaKey, now: Duration) -> ReachabilityMessage {
        let age_ms =
            |at: Duration| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        ReachabilityMessage {
            replica,
            routers: self.failures.iter().map(|(router, _)| *router).collect(),
            failure_ages_ms: self.failures.iter().map(|(_, at)| age_ms(*at)).collect(),
            response_age_ms: self.responded_at.map(age_ms),
        }
    }

    /// Decodes a message that arrived at `now`; what is older than an exclusion is dropped.
    fn of_message(message: &ReachabilityMessage, now: Duration) -> Self {
        let time = |age_ms: u32| {
            let age = Duration::from_millis(u64::from(age_ms));
            (age < EXCLUSION_TIME).then(|| now.saturating_sub(age))
        };
        let mut reachability = Self::default();
        let failures = message.routers.iter().zip(&message.failure_ages_ms);
        for (router, age_ms) in failures.take(MAX_FAILURES) {
            if let Some(at) = time(*age_ms) {
                reachability.add_failure(*router, at);
            }
        }
        reachability.responded_at = message.response_age_ms.and_then(time);
        reachability
    }
}

/// The latest failure of this router at a replica.
#[derive(Clone, Copy, Debug, Default)]
struct OwnFailure {
    /// The latest failure of which it is known whether it counts.
    judged_at: Option<Duration>,
    /// The latest failure that counts.
    counted_at: Option<Duration>,
}

/// The changes of the unreachable replicas in one evaluation.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct UnreachableChanges {
    /// The replicas that became unreachable.
    pub(crate) added: Vec<ReplicaKey>,
    /// The replicas that are no longer unreachable.
    pub(crate) removed: Vec<ReplicaKey>,
}

impl UnreachableChanges {
    /// Returns whether nothing has changed.
    pub(crate) const fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty()
    }
}

/// The shared view of unreachable replicas, as one router knows it.
#[derive(Debug)]
pub(crate) struct UnreachableView {
    own: RouterId,
    samples: HashMap<ReplicaKey, ConnectionSample>,
    own_failures: HashMap<ReplicaKey, OwnFailure>,
    /// The latest response of any replica to this router.
    latest_response: Duration,
    /// The time from which failures of this router count.
    link_sound_since: Duration,
    /// The reports of routers that get their updates from this one.
    followers: HashMap<RouterId, (Duration, ReachabilityMap)>,
    /// The reports of other aggregating routers, or of the one that this router gets its updates from.
    aggregates: HashMap<RouterId, (Duration, ReachabilityMap)>,
    /// The unreachable replicas, with the time before which this router does not probe them again.
    unreachable: HashMap<ReplicaKey, Duration>,
}

impl UnreachableView {
    /// Creates the view of a router that knows of no failures.
    pub(crate) fn new(own: RouterId) -> Self {
        Self {
            own,
            samples: HashMap::new(),
            own_failures: HashMap::new(),
            latest_response: Duration::ZERO,
            link_sound_since: Duration::ZERO,
            followers: HashMap::new(),
            aggregates: HashMap::new(),
            unreachable: HashMap::new(),
        }
    }

    /// Records the state of this router's connections to all known replicas.
    pub(crate) fn observe(
        &mut self,
        samples: impl IntoIterator<Item = (ReplicaKey, ConnectionSample)>,
        now: Duration,
    ) {
        self.samples = samples.into_iter().collect();
        let samples = &self.samples;
        self.own_failures
            .retain(|replica, _| samples.contains_key(replica));
        let responses = samples.values().filter_map(|sample| sample.responded_at);
        let latest_response = responses.max().unwrap_or_default();
        if latest_response > self.latest_response + MAX_LINK_SILENCE {
            self.link_sound_since = latest_response + LINK_RECOVERY;
        }
        self.latest_response = latest_response.max(self.latest_response);
        for (replica, sample) in samples {
            let Some(failed_at) = sample.failed_at else {
                continue;
            };
            let failure = self.own_failures.entry(*replica).or_default();
            if failure.judged_at >= Some(failed_at) {
                continue;
            }
            let has_proof = latest_response + LINK_PROOF_AGE >= failed_at;
            if has_proof && failed_at >= self.link_sound_since {
                failure.counted_at = Some(failed_at);
                failure.judged_at = Some(failed_at);
            } else if has_proof || now > failed_at + LINK_PROOF_WAIT {
                failure.judged_at = Some(failed_at);
            }
        }
    }

    /// Records the report of a router that gets its updates from this one.
    pub(crate) fn record_follower(
        &mut self,
        router: RouterId,
        report: &[ReachabilityMessage],
        now: Duration,
    ) {
        record(&mut self.followers, router, report, now);
    }

    /// Records the report of another aggregating router, or of the one that this router gets its updates from.
    pub(crate) fn record_aggregate(
        &mut self,
        router: RouterId,
        report: &[ReachabilityMessage],
        now: Duration,
    ) {
        record(&mut self.aggregates, router, report, now);
    }

    /// Updates the unreachable replicas and returns the changes; reports that are too old are dropped.
    pub(crate) fn evaluate(&mut self, now: Duration) -> UnreachableChanges {
        for reports in [&mut self.followers, &mut self.aggregates] {
            reports.retain(|_, (at, _)| now < *at + REPORT_TTL);
        }
        let mut changes = UnreachableChanges::default();
        let known = self.known(true, now);
        for (replica, known) in &known {
            let was_unreachable = self.unreachable.contains_key(replica);
            let is_silent = known
                .responded_at
                .is_none_or(|response| now >= response + MIN_SILENCE);
            if !was_unreachable
                && is_silent
                && known.failing_routers(FAILURE_WINDOW, now) >= MIN_FAILING_ROUTERS
            {
                self.unreachable.insert(*replica, now);
                changes.added.push(*replica);
            }
        }
        self.unreachable.retain(|replica, _| {
            let known = known.get(replica);
            let is_failing =
                known.is_some_and(|known| known.failing_routers(EXCLUSION_TIME, now) > 0);
            if !is_failing {
                changes.removed.push(*replica);
            }
            is_failing
        });
        changes
    }

    /// Returns the replicas of the given services that requests must avoid; none of a service if most of its replicas
    /// look unreachable, since then the routers are probably the cause, and the others could not carry the load.
    pub(crate) fn excluded(
        &self,
        services: impl IntoIterator<Item = Vec<ReplicaKey>>,
    ) -> HashSet<ReplicaKey> {
        let mut excluded = HashSet::new();
        if self.unreachable.is_empty() {
            return excluded;
        }
        for replicas in services {
            let is_unreachable = |replica: &&ReplicaKey| self.unreachable.contains_key(*replica);
            let count = replicas.iter().filter(is_unreachable).count();
            if count * 2 <= replicas.len() {
                excluded.extend(replicas.iter().filter(is_unreachable));
            }
        }
        excluded
    }

    /// Returns the unreachable replicas that this router, one of `routers`, has to probe now.
    pub(crate) fn due_probes(&mut self, routers: &[&RouterId], now: Duration) -> Vec<ReplicaKey> {
        if self.unreachable.is_empty() {
            return Vec::new();
        }
        let known = self.known(true, now);
        let mut due = Vec::new();
        for (replica, not_before) in &mut self.unreachable {
            let Some(known) = known.get(replica) else {
                continue;
            };
            let latest = known.failures.first().map_or(Duration::ZERO, |(_, at)| *at);
            if now < *not_before || now < latest + PROBE_INTERVAL {
                continue;
            }
            let has_failed = |router: &&&RouterId| {
                let key = router_key(router);
                known.failures.iter().any(|(failed, _)| *failed == key)
            };
            let hash = xxh3_64(&replica.to_le_bytes());
            let others = routers.iter().filter(|router| !has_failed(router));
            let prober = owner_of(hash, others.copied());
            // In a small fleet all routers have failed; each of them may probe then.
            if prober.is_none_or(|prober| *prober == self.own) {
                *not_before = now + PROBE_INTERVAL;
                due.push(*replica);
            }
        }
        due
    }

    /// Returns what this router and those that get their updates from it know about replicas with failed connections.
    pub(crate) fn local_report(&self, now: Duration) -> Vec<ReachabilityMessage> {
        encode(&self.known(false, now), now)
    }

    /// Returns what all routers know about replicas with failed connections.
    pub(crate) fn total_report(&self, now: Duration) -> Vec<ReachabilityMessage> {
        encode(&self.known(true, now), now)
    }

    /// Merges what is known about the replicas with failed connections.
    ///
    /// Responses are reported only for those replicas, so that a fleet without failures sends nothing, and that entries
    /// without failures do not circulate between routers.
    fn known(&self, with_aggregates: bool, now: Duration) -> ReachabilityMap {
        let own_key = router_key(&self.own);
        let mut known = ReachabilityMap::new();
        let mut suspected: HashSet<ReplicaKey> = HashSet::new();
        for (replica, failure) in &self.own_failures {
            if let Some(at) = failure.counted_at.filter(|at| now < *at + EXCLUSION_TIME) {
                known.entry(*replica).or_default().add_failure(own_key, at);
                suspected.insert(*replica);
            }
        }
        for (_, report) in self.followers.values() {
            for (replica, reported) in report {
                known.entry(*replica).or_default().merge(reported);
                if reported.has_failures(now) {
                    suspected.insert(*replica);
                }
            }
        }
        for (_, report) in self.aggregates.values() {
            for (replica, reported) in report {
                if reported.has_failures(now) {
                    suspected.insert(*replica);
                }
                if !with_aggregates {
                    continue;
                }
                let mut reported = reported.clone();
                // The report of the update source repeats what this router has sent it.
                reported.failures.retain(|(router, _)| *router != own_key);
                known.entry(*replica).or_default().merge(&reported);
            }
        }
        known.retain(|replica, _| suspected.contains(replica));
        for replica in suspected {
            let sample = self.samples.get(&replica);
            if let Some(at) = sample.and_then(|sample| sample.responded_at) {
                let known = known.entry(replica).or_default();
                known.responded_at = known.responded_at.max(Some(at));
            }
        }
        known
    }
}

fn record(
    reports: &mut HashMap<RouterId, (Duration, ReachabilityMap)>,
    router: RouterId,
    report: &[ReachabilityMessage],
    now: Duration,
) {
    if report.is_empty() {
        reports.remove(&router);
        return;
    }
    let decoded = report
        .iter()
        .take(MAX_REPORTED_REPLICAS)
        .map(|message| (message.replica, Reachability::of_message(message, now)));
    reports.insert(router, (now, decoded.collect()));
}

fn encode(known: &ReachabilityMap, now: Duration) -> Vec<ReachabilityMessage> {
    known
        .iter()
        .map(|(replica, known)| known.to_message(*replica, now))
        .collect()
}
