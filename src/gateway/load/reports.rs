//! The load of replicas, aggregated over all routers.
//!
//! A single router sees too little of a replica's load to tell a full replica from an idle one. Each router therefore
//! reports its requests in flight to the router that it gets updates from, those routers exchange their totals, and
//! each update returns the load of all other routers. The figures are about 0.3 s old and cost no calls to replicas.
//! Rejected: requesting reports from replicas, because each report is charged and is 0.2 s old on arrival.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::speed::SpeedReport;
use super::unreachable::ReachabilityMessage;
use super::waits::{of_report_units, report_units};
use crate::gateway::replica_limit::LimitReport;
use crate::id::{RouterId, WeightsVersion};

/// How long a report of a router stays valid; running routers report several times a second.
pub(super) const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// A short hash that identifies one incarnation of a replica; a collision only adds up the loads of two replicas.
pub(crate) type ReplicaKey = u32;

/// Returns the key of one incarnation of a replica.
pub(crate) fn replica_key(id: &str, born_ms: u64) -> ReplicaKey {
    xxh3_64_with_seed(id.as_bytes(), born_ms) as ReplicaKey
}

/// The load of one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LoadSample {
    /// The requests in flight, including those queued at the replica.
    pub(crate) in_flight: u32,
    /// The prompt tokens of those requests that still have to be prefilled.
    pub(crate) prefill_tokens: u64,
    /// The tokens that those requests hold in the replica's memory without their shared prefixes.
    pub(crate) held_tokens: u64,
    /// The tokens of the distinct shared prefixes of those requests; of several routers, the largest figure.
    pub(crate) held_prefix_tokens: u64,
    /// How long requests have waited of late before the replica began them; of several routers, the largest figure.
    pub(crate) begin_wait: Duration,
    /// Whether the replica rejected a request recently.
    pub(crate) is_refusing: bool,
    /// The weights version named in a recent response; 0 if there is none.
    pub(crate) version: WeightsVersion,
}

impl LoadSample {
    /// Returns whether there is nothing to report.
    pub(crate) const fn is_zero(self) -> bool {
        self.in_flight == 0
            && self.prefill_tokens == 0
            && self.begin_wait.is_zero()
            && !self.is_refusing
            && self.version == 0
    }

    /// Adds the load caused by other routers.
    pub(crate) fn add(&mut self, other: Self) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.prefill_tokens = self.prefill_tokens.saturating_add(other.prefill_tokens);
        self.held_tokens = self.held_tokens.saturating_add(other.held_tokens);
        self.held_prefix_tokens = self.held_prefix_tokens.max(other.held_prefix_tokens);
        self.begin_wait = self.begin_wait.max(other.begin_wait);
        self.is_refusing |= other.is_refusing;
        self.version = self.version.max(other.version);
    }

    const fn minus(self, other: Self) -> Self {
        Self {
            in_flight: self.in_flight.saturating_sub(other.in_flight),
            prefill_tokens: self.prefill_tokens.saturating_sub(other.prefill_tokens),
            held_tokens: self.held_tokens.saturating_sub(other.held_tokens),
            ..self
        }
    }
}

/// The loads of several replicas.
pub(crate) type LoadMap = HashMap<ReplicaKey, LoadSample>;

/// The wire format of a [`LoadMap`]; entries with the same index belong to the same replica.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LoadMessage {
    /// The keys of the replicas.
    #[prost(fixed32, repeated, tag = "1")]
    keys: Vec<u32>,
    /// The requests in flight.
    #[prost(uint32, repeated, tag = "2")]
    in_flight: Vec<u32>,
    /// The prompt tokens still to be prefilled.
    #[prost(uint64, repeated, tag = "3")]
    prefill_tokens: Vec<u64>,
    /// The indices of replicas that rejected requests recently.
    #[prost(uint32, repeated, tag = "4")]
    refusing: Vec<u32>,
    /// The weights versions named in responses; 0 if there is none.
    #[prost(uint64, repeated, tag = "5")]
    versions: Vec<u64>,
    /// What routers know about replicas to which connections failed.
    #[prost(message, repeated, tag = "6")]
    pub(crate) reachability: Vec<ReachabilityMessage>,
    /// The tokens held in memory without shared prefixes.
    #[prost(uint64, repeated, tag = "7")]
    held_tokens: Vec<u64>,
    /// The tokens of the distinct shared prefixes.
    #[prost(uint64, repeated, tag = "8")]
    held_prefix_tokens: Vec<u64>,
    /// What routers observed of the speeds of replicas; only in some of the messages.
    #[prost(message, optional, tag = "9")]
    pub(crate) speeds: Option<SpeedReport>,
    /// What the sender knows about the limits that replicas name.
    #[prost(message, repeated, tag = "10")]
    pub(crate) limits: Vec<LimitReport>,
    /// The waits for the begin, in units of 100 ms; empty if there are none.
    #[prost(uint32, repeated, tag = "11")]
    begin_waits: Vec<u32>,
}

impl LoadMessage {
    /// Encodes loads, leaving out replicas with nothing to report.
    pub(crate) fn of(loads: &LoadMap) -> Self {
        let mut message = Self::default();
        for (key, load) in loads.iter().filter(|(_, load)| !load.is_zero()) {
            message.keys.push(*key);
            message.in_flight.push(load.in_flight);
            message.prefill_tokens.push(load.prefill_tokens);
            message.versions.push(load.version);
            message.held_tokens.push(load.held_tokens);
            message.held_prefix_tokens.push(load.held_prefix_tokens);
            message.begin_waits.push(report_units(load.begin_wait));
            if load.is_refusing {
                message.refusing.push(message.keys.len() as u32 - 1);
            }
        }
        if message.begin_waits.iter().all(|units| *units == 0) {
            message.begin_waits.clear();
        }
        message
    }

    /// Decodes the loads.
    pub(crate) fn into_loads(self) -> LoadMap {
        let columns = self.in_flight.into_iter().zip(self.prefill_tokens);
        let columns = columns.zip(self.versions).enumerate();
        // A router of an earlier version sends no figures of memory, and no waits.
        let at = |column: &[u64], index: usize| column.get(index).copied().unwrap_or_default();
        let loads = columns.map(
            |(index, ((in_flight, prefill_tokens), version))| LoadSample {
                in_flight,
                prefill_tokens,
                held_tokens: at(&self.held_tokens, index),
                held_prefix_tokens: at(&self.held_prefix_tokens, index),
                begin_wait: of_report_units(
                    self.begin_waits.get(index).copied().unwrap_or_default(),
                ),
                is_refusing: self.refusing.contains(&(index as u32)),
                version,
            },
        );
        self.keys.into_iter().zip(loads).collect()
    }
}

/// The loads reported by other routers.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    /// Loads of routers that get their updates from this one.
    followers: HashMap<RouterId, (Duration, LoadMap)>,
    /// Totals of routers that, like this one, aggregate the loads of others.
    aggregates: HashMap<RouterId, (Duration, LoadMap)>,
}

impl PeerLoads {
    /// Records the loads of a router that gets its updates from this one.
    pub(crate) fn record_follower(&mut self, router: RouterId, loads: LoadMap, now: Duration) {
        self.followers.insert(router, (now, loads));
    }

    /// Records the totals of another aggregating router.
    pub(crate) fn record_aggregate(&mut self, router: RouterId, loads: LoadMap, now: Duration) {
        self.aggregates.insert(router, (now, loads));
    }

    /// Removes reports that are too old.
    pub(crate) fn expire(&mut self, now: Duration) {
        let is_recent = |at: &Duration| now < *at + REPORT_TTL;
        self.followers.retain(|_, (at, _)| is_recent(at));
        self.aggregates.retain(|_, (at, _)| is_recent(at));
    }

    /// Returns the loads of this router and those that get their updates from it.
    pub(crate) fn local_total(&self, own: &LoadMap) -> LoadMap {
        let mut sum = own.clone();
        for (_, loads) in self.followers.values() {
            add_loads(&mut sum, loads);
        }
        sum
    }

    /// Returns the loads of all routers.
    pub(crate) fn total(&self, own: &LoadMap) -> LoadMap {
        let mut sum = self.local_total(own);
        for (_, loads) in self.aggregates.values() {
            add_loads(&mut sum, loads);
        }
        sum
    }

    /// Returns the loads of all routers except one that gets its updates from this one.
    pub(crate) fn total_excluding(&self, router: &RouterId, total: &LoadMap) -> LoadMap {
        let reported = self.followers.get(router).map(|(_, loads)| loads);
        subtract(total, reported)
    }
}

/// Subtracts `part` from `total`.
pub(crate) fn subtract(total: &LoadMap, part: Option<&LoadMap>) -> LoadMap {
    let minus = |(key, load): (&ReplicaKey, &LoadSample)| {
        let part = part.and_then(|part| part.get(key)).copied();
        (*key, load.minus(part.unwrap_or_default()))
    };
    total.iter().map(minus).collect()
}

fn add_loads(sum: &mut LoadMap, loads: &LoadMap) {
    for (key, load) in loads {
        sum.entry(*key).or_default().add(*load);
    }
}
