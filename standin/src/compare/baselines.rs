//! The baseline policies, and the oracle, which knows the actual state of every cache and queue.

use std::time::Duration;

use crocuswharf::{LevelKey, PromptPrefix};
use rand::{Rng, RngExt};

use super::block_holders::BlockHolders;
use super::engine::{Engine, prefix_tokens};
use super::scenario::mix;

/// The number of points of each replica on the consistent hashing ring.
const RING_POINTS: u64 = 64;
/// The maximum ratio of a replica's load to the mean under consistent hashing with bounded loads.
const LOAD_BOUND: f64 = 1.25;

/// The policies that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    RoundRobin,
    LeastLoaded,
    ConsistentHash,
    Crocuswharf,
    Oracle,
}

impl PolicyKind {
    const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::ConsistentHash,
        Self::Crocuswharf,
        Self::Oracle,
    ];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round_robin",
            Self::LeastLoaded => "least_loaded",
            Self::ConsistentHash => "consistent_hash",
            Self::Crocuswharf => "crocuswharf",
            Self::Oracle => "oracle",
        }
    }

    /// Parses a comma-separated list of policy names. Returns all policies if there is no list.
    pub(crate) fn parse_list(list: Option<&str>) -> anyhow::Result<Vec<Self>> {
        let Some(list) = list else {
            return Ok(Self::ALL.to_vec());
        };
        let parse = |name: &str| {
            Self::ALL
                .into_iter()
                .find(|kind| kind.name() == name)
                .ok_or_else(|| anyhow::anyhow!("only: unknown policy {name}"))
        };
        list.split(',').map(parse).collect()
    }
}

/// The load of the replicas as the routers know it: the latest delayed report, and the dispatches that each
/// router has made since.
#[derive(Debug)]
pub(crate) struct ReportedLoad {
    pub(crate) waiting_tokens: Vec<u64>,
    pub(crate) in_flight: Vec<u64>,
    pub(crate) reported_at: Duration,
    own_dispatches: Vec<Vec<Dispatch>>,
}

#[derive(Clone, Copy, Debug)]
struct Dispatch {
    at: Duration,
    replica: usize,
    tokens: u64,
}

impl ReportedLoad {
    fn new(routers: usize, replicas: usize) -> Self {
        Self {
            waiting_tokens: vec![0; replicas],
            in_flight: vec![0; replicas],
            reported_at: Duration::ZERO,
            own_dispatches: vec![Vec::new(); routers],
        }
    }

    /// Replaces the reported load by a report taken at `at`, and drops the dispatches that it includes.
    pub(crate) fn update(&mut self, at: Duration, waiting_tokens: Vec<u64>, in_flight: Vec<u64>) {
        self.reported_at = at;
        self.waiting_tokens = waiting_tokens;
        self.in_flight = in_flight;
        for dispatches in &mut self.own_dispatches {
            dispatches.retain(|d| d.at > at);
        }
    }
}

/// The state of the baseline policies.
#[derive(Debug)]
pub(crate) struct Baselines {
    pub(crate) load: ReportedLoad,
    pub(crate) is_up: Vec<bool>,
    next_replica: Vec<usize>,
    ring: Vec<(u64, usize)>,
    cached: Vec<usize>,
    oracle_price: f64,
}

/// The inputs of one decision.
pub(crate) struct DecisionContext<'a> {
    pub(crate) router: usize,
    pub(crate) prefix: &'a PromptPrefix,
    pub(crate) now: Duration,
    pub(crate) excluded: Option<usize>,
}

impl Baselines {
    pub(crate) fn new(routers: usize, replicas: usize, oracle_price: f64) -> Self {
        let mut ring: Vec<_> = (0..replicas)
            .flat_map(|r| (0..RING_POINTS).map(move |p| (mix(mix(r as u64) ^ p), r)))
            .collect();
        ring.sort_unstable();
        Self {
            load: ReportedLoad::new(routers, replicas),
            is_up: vec![true; replicas],
            next_replica: (0..routers).map(|r| r * 7).collect(),
            ring,
            cached: vec![0; replicas],
            oracle_price,
        }
    }

    /// Chooses a replica by the policy `kind`. Returns `None` if no replica is available.
    pub(crate) fn choose(
        &mut self,
        kind: PolicyKind,
        context: &DecisionContext<'_>,
        engines: &[Engine],
        holders: &BlockHolders,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let chosen = match kind {
            PolicyKind::RoundRobin => self.round_robin(context),
            PolicyKind::LeastLoaded => self.least_loaded(context, rng),
            PolicyKind::ConsistentHash => self.consistent_hash(context),
            PolicyKind::Oracle => self.oracle(context, engines, holders),
            PolicyKind::Crocuswharf => None,
        }?;
        self.load.own_dispatches[context.router].push(Dispatch {
            at: context.now,
            replica: chosen,
            tokens: context.prefix.prompt_tokens.into(),
        });
        Some(chosen)
    }

    fn is_eligible(&self, context: &DecisionContext<'_>, replica: usize) -> bool {
        self.is_up[replica] && context.excluded != Some(replica)
    }

    fn round_robin(&mut self, context: &DecisionContext<'_>) -> Option<usize> {
        let count = self.is_up.len();
        for _ in 0..count {
            let replica = self.next_replica[context.router] % count;
            self.next_replica[context.router] = replica + 1;
            if self.is_eligible(context, replica) {
                return Some(replica);
            }
        }
        None
    }

    fn least_loaded(&self, context: &DecisionContext<'_>, rng: &mut impl Rng) -> Option<usize> {
        let mut tokens = self.load.waiting_tokens.clone();
        for dispatch in &self.load.own_dispatches[context.router] {
            tokens[dispatch.replica] += dispatch.tokens;
        }
        (0..tokens.len())
            .filter(|&r| self.is_eligible(context, r))
            .min_by_key(|&r| (tokens[r], rng.random::<u32>()))
    }

    fn consistent_hash(&self, context: &DecisionContext<'_>) -> Option<usize> {
        let mut in_flight = self.load.in_flight.clone();
        for dispatch in &self.load.own_dispatches[context.router] {
            in_flight[dispatch.replica] += 1;
        }
        let mean = in_flight.iter().sum::<u64>() as f64 / in_flight.len() as f64;
        let bound = LOAD_BOUND * mean + 1.0;
        let key: LevelKey = context.prefix.owner_key();
        let start = self.ring.partition_point(|&(point, _)| point < mix(key));
        let successors = self.ring[start..].iter().chain(&self.ring[..start]);
        let mut first_eligible = None;
        for &(_, replica) in successors {
            if !self.is_eligible(context, replica) {
                continue;
            }
            first_eligible = first_eligible.or(Some(replica));
            if in_flight[replica] as f64 <= bound {
                return Some(replica);
            }
        }
        first_eligible
    }

    fn oracle(
        &mut self,
        context: &DecisionContext<'_>,
        engines: &[Engine],
        holders: &BlockHolders,
    ) -> Option<usize> {
        holders.cached_blocks(context.prefix, &mut self.cached);
        let cost = |replica: usize| {
            let engine = &engines[replica];
            let wait = engine.free_at.saturating_sub(context.now).as_secs_f64();
            let cached = prefix_tokens(context.prefix, self.cached[replica]);
            let uncached = context.prefix.prompt_tokens - cached;
            wait + self.oracle_price * engine.prefill_secs(uncached)
        };
        (0..engines.len())
            .filter(|&r| engines[r].is_up && context.excluded != Some(r))
            .map(|r| (cost(r), r))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, r)| r)
    }
}
