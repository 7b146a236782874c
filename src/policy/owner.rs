//! A router's model of the replicas, from which an opening's owner answers.
//!
//! Every router of a cell keeps the same model, fed by the same placements. The owner of an opening decides, records and
//! tells the others; where it does not answer, any other router of the cell can decide in its stead.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::cache::CacheModel;
use super::cells::Cells;
use super::observation::{Candidate, Lookup, Observation, OwnerReply, RequestTag};
use super::queue::QueueModel;
use super::view::{InstanceTag, PoolView, ReplicaView};
use crate::prefix::{Level, LevelKey};

/// The expected time of an engine step besides the prefill itself.
const STEP_TIME: Duration = Duration::from_millis(5);
/// The time over which an opening's rate is measured.
const RATE_WINDOW_SECS: f64 = 4.0;
/// The time over which the worth of what a placement evicts is measured.
const WORTH_WINDOW_SECS: f64 = 60.0;
/// The time for which an entry stays cached once it is placed, as far as the worth of others goes.
const RESIDENCE_SECS: f64 = 20.0;
/// The part of that worth which a placement pays.
const WORTH_WEIGHT: f64 = 0.3;
/// How fast an opening's requests per second lower its price.
const WIDTH_PER_RATE: f64 = 3.0;
/// The most openings whose rate is kept.
const MAX_RATES: usize = 4_096;
/// The most placements of one replica that await their answer.
const MAX_AWAITED: usize = 64;
/// How much a replica's latest answer moves the trust in what is expected of its cache.
const TRUST_STEP: f64 = 0.1;
/// The greatest random addition to the cost of a candidate, which parts deciders that see the same.
const JITTER_SECS: f64 = 0.002;
/// The addition to the cost of a replica that is no home of the opening.
const AWAY_FROM_HOME_SECS: f64 = 0.004;
/// The cost of reaching a replica in another availability zone.
const OTHER_ZONE_SECS: f64 = 0.001;
/// The number of candidates in an answer.
const CANDIDATES: usize = 3;

/// What the view may use; all of it but in ablations of a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Learning {
    /// Whether answers correct the view.
    pub answers: bool,
    /// Whether cache events correct the view.
    pub events: bool,
    /// Whether the price of recomputation counts.
    pub price: bool,
    /// Whether an opening's own rate lowers its price, so that it gets more replicas.
    pub width: bool,
    /// Whether a placement pays for what it evicts.
    pub worth: bool,
    /// Whether near-equals are chosen at random.
    pub randomness: bool,
}

impl Default for Learning {
    fn default() -> Self {
        Self {
            answers: true,
            events: true,
            price: true,
            width: true,
            worth: true,
            randomness: true,
        }
    }
}

/// The model of one pool.
#[derive(Clone, Debug, Default)]
pub struct OwnerView {
    replicas: Vec<ReplicaModel>,
    by_instance: HashMap<InstanceTag, usize>,
    cells: Cells,
    rates: HashMap<LevelKey, Rate>,
    learning: Learning,
    unknown_instances: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct ReplicaModel {
    pub(crate) view: ReplicaView,
    pub(crate) instance: InstanceTag,
    pub(crate) queue: QueueModel,
    pub(crate) cache: CacheModel,
    /// The share of the expected warm tokens that answers confirm.
    trust: f64,
    awaited: VecDeque<Awaited>,
}

#[derive(Clone, Debug)]
struct Awaited {
    request: RequestTag,
    expected_warm_tokens: u32,
}

/// An opening's rate, over a short and a long time, as sums that decay.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    short_sum: f64,
    long_sum: f64,
    at: Duration,
}

impl Rate {
    fn age_secs(self, now: Duration) -> f64 {
        now.saturating_sub(self.at).as_secs_f64()
    }

    fn short_per_sec(self, now: Duration) -> f64 {
        self.short_sum * (-self.age_secs(now) / RATE_WINDOW_SECS).exp() / RATE_WINDOW_SECS
    }

    fn long_per_sec(self, now: Duration) -> f64 {
        self.long_sum * (-self.age_secs(now) / WORTH_WINDOW_SECS).exp() / WORTH_WINDOW_SECS
    }

    fn count(&mut self, now: Duration) {
        self.short_sum = self.short_per_sec(now) * RATE_WINDOW_SECS + 1.0;
        self.long_sum = self.long_per_sec(now) * WORTH_WINDOW_SECS + 1.0;
        self.at = self.at.max(now);
    }
}

impl ReplicaModel {
    fn new(view: ReplicaView) -> Self {
        Self {
            instance: view.instance(),
            queue: QueueModel::new(view.decode_slots as usize),
            cache: CacheModel::new(view.cache_tokens),
            trust: 1.0,
            awaited: VecDeque::new(),
            view,
        }
    }

    fn expected_warm_tokens(&self, levels: &[Level]) -> u32 {
        let tokens = f64::from(self.cache.warm_tokens(levels)) * self.trust;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a number of tokens"
        )]
        let tokens = tokens as u32;
        tokens
    }

    fn place(&mut self, request: RequestTag, levels: &[Level], prompt_tokens: u32, at: Duration) {
        let warm = self.cache.warm_tokens(levels).min(prompt_tokens);
        let cost = self.view.prefill_time(prompt_tokens - warm) + STEP_TIME;
        self.queue.dispatch(request, at, cost);
        let leveled = levels.last().map_or(0, |l| l.end_tokens);
        let rest = prompt_tokens.saturating_sub(leveled);
        self.cache.place(levels, rest, at);
        if self.awaited.len() >= MAX_AWAITED {
            self.awaited.pop_front();
        }
        self.awaited.push_back(Awaited {
            request,
            expected_warm_tokens: warm,
        });
    }

    fn take_awaited(&mut self, request: RequestTag) -> Option<Awaited> {
        let index = self.awaited.iter().position(|a| a.request == request)?;
        self.awaited.remove(index)
    }

    fn answered(&mut self, request: RequestTag, cached_tokens: Option<u32>, at: Duration) {
        self.queue.first_token(request, at);
        let awaited = self.take_awaited(request);
        if let (Some(awaited), Some(cached)) = (awaited, cached_tokens) {
            self.learn_cached(awaited.expected_warm_tokens, cached);
        }
    }

    fn learn_cached(&mut self, expected: u32, cached: u32) {
        self.cache.correct(expected, cached);
        if expected > 0 {
            let confirmed = f64::from(cached.min(expected)) / f64::from(expected);
            self.trust += TRUST_STEP * (confirmed - self.trust);
        }
    }

    fn mean_cost(&self) -> Duration {
        self.view.prefill_time(2_000)
    }
}

impl OwnerView {
    /// Makes an empty view that uses what `learning` allows.
    #[must_use]
    pub fn new(learning: Learning) -> Self {
        Self {
            learning,
            ..Self::default()
        }
    }

    /// Takes the pool's present replicas, in the order that `cells` was computed from.
    ///
    /// A replica whose incarnation or weights version changed starts with nothing known of it.
    pub fn set_replicas(&mut self, replicas: &[ReplicaView], cells: Cells) {
        let mut known: HashMap<_, _> = std::mem::take(&mut self.replicas)
            .into_iter()
            .map(|model| (model.instance, model))
            .collect();
        self.replicas = replicas
            .iter()
            .map(|view| match known.remove(&view.instance()) {
                Some(model) => ReplicaModel {
                    view: view.clone(),
                    ..model
                },
                None => ReplicaModel::new(view.clone()),
            })
            .collect();
        self.by_instance = self
            .replicas
            .iter()
            .enumerate()
            .map(|(index, model)| (model.instance, index))
            .collect();
        self.cells = cells;
    }

    /// Takes the cells that follow from a change of the live routers, for the same replicas.
    pub fn set_cells(&mut self, cells: Cells) {
        self.cells = cells;
    }

    /// Marks a replica as available or not, without a change of its life.
    pub fn set_available(&mut self, position: usize, is_available: bool) {
        self.replicas[position].view.is_available = is_available;
    }

    /// Learns that the replica at `position` began a new life or serves other weights: all entries of the old go.
    pub fn set_identity(&mut self, position: usize, incarnation: u64, weights_version: u64) {
        let model = &mut self.replicas[position];
        model.view.incarnation = incarnation;
        model.view.weights_version = weights_version;
        let instance = model.view.instance();
        if instance == model.instance {
            return;
        }
        self.by_instance.remove(&model.instance);
        self.by_instance.insert(instance, position);
        *model = ReplicaModel::new(model.view.clone());
    }

    /// Makes the snapshot that traffic threads read.
    #[must_use]
    pub fn pool_view(&self) -> PoolView {
        let replicas = self.replicas.iter().map(|model| ReplicaView {
            busy_until: model.queue.busy_until(),
            ..model.view.clone()
        });
        PoolView::new(replicas.collect(), self.cells.clone())
    }

    /// Returns the cells.
    #[must_use]
    pub fn cells(&self) -> &Cells {
        &self.cells
    }

    /// Returns how many observations named a life of a replica that is not the present one, and were dropped.
    #[must_use]
    pub const fn unknown_instances(&self) -> u64 {
        self.unknown_instances
    }

    /// Returns which of `keys` end a level that the replica is thought to hold, so that a stream of cache events shrinks
    /// to what its readers can use.
    #[must_use]
    pub fn known_levels(&self, instance: InstanceTag, mut keys: Vec<LevelKey>) -> Vec<LevelKey> {
        let Some(&index) = self.by_instance.get(&instance) else {
            return Vec::new();
        };
        let entries = self.replicas[index].cache.entries();
        keys.retain(|key| entries.iter().any(|e| e.key == *key));
        keys
    }

    pub(crate) fn models(&self) -> &[ReplicaModel] {
        &self.replicas
    }

    pub(crate) fn model_mut(&mut self, instance: InstanceTag) -> Option<&mut ReplicaModel> {
        let index = *self.by_instance.get(&instance)?;
        Some(&mut self.replicas[index])
    }

    /// Chooses replicas for a prompt and records it as placed at the first of them, unless it is a probe.
    pub fn answer(&mut self, lookup: &Lookup, now: Duration, rng: &mut impl Rng) -> OwnerReply {
        let price = self.price(lookup, now);
        let homes = self.cells.homes_of(lookup.cell, lookup.owner_key(), 2);
        let mut best: SmallVec<[(f64, usize, Candidate); 4]> = SmallVec::new();
        let mut waits = Duration::ZERO;
        let mut count = 0;
        for &index in self.cells.replicas(lookup.cell) {
            let model = &self.replicas[index];
            if !model.view.takes_prompts() || lookup.excluded == Some(model.instance) {
                continue;
            }
            let candidate = candidate_of(model, lookup, now);
            waits += candidate.wait;
            count += 1;
            let mut cost = cost_of(model, lookup, &candidate, price);
            if self.learning.worth {
                cost += self.eviction_secs(model, lookup, &candidate, now);
            }
            if !homes.contains(&index) {
                cost += AWAY_FROM_HOME_SECS;
            }
            if self.learning.randomness {
                cost += JITTER_SECS * rng.random::<f64>();
            }
            let rank = best.iter().position(|b| cost < b.0).unwrap_or(best.len());
            if rank < CANDIDATES {
                best.insert(rank, (cost, index, candidate));
                best.truncate(CANDIDATES);
            }
        }
        if let Some(&(_, index, _)) = best.first().filter(|_| !lookup.is_probe) {
            self.place(index, lookup, now);
        }
        OwnerReply {
            request: lookup.request,
            cost: Duration::from_secs_f64(best.first().map_or(0.0, |b| b.0)),
            price,
            candidates: best.into_iter().map(|b| b.2).collect(),
            pressure: waits / count.max(1),
        }
    }

    /// Learns from an observation.
    pub fn record(&mut self, observation: &Observation) {
        match observation {
            Observation::Placed {
                request,
                levels,
                prompt_tokens,
                instance,
                at,
            } => {
                self.count(levels, *at);
                self.with_model(*instance, |m| {
                    m.place(*request, levels, *prompt_tokens, *at);
                });
            }
            Observation::Withdrawn { request, instance } => {
                self.with_model(*instance, |m| {
                    m.queue.withdraw(*request);
                    m.take_awaited(*request);
                });
            }
            Observation::Answered {
                request,
                instance,
                cached_tokens,
                at,
            } => {
                let cached = cached_tokens.filter(|_| self.learning.answers);
                self.with_model(*instance, |m| m.answered(*request, cached, *at));
            }
            Observation::Finished {
                request,
                instance,
                at,
            } => self.with_model(*instance, |m| m.queue.finished(*request, *at)),
            Observation::Evicted { instance, keys, at } => {
                if self.learning.events {
                    self.with_model(*instance, |m| {
                        keys.iter().for_each(|&key| m.cache.evicted(key, *at));
                    });
                }
            }
            Observation::Load {
                instance,
                waiting_requests,
                at,
            } => self.with_model(*instance, |m| {
                let mean = m.mean_cost();
                m.queue.report(*waiting_requests as usize, *at, mean);
            }),
        }
    }

    fn with_model(&mut self, instance: InstanceTag, learn: impl FnOnce(&mut ReplicaModel)) {
        match self.model_mut(instance) {
            Some(model) => learn(model),
            None => self.unknown_instances += 1,
        }
    }

    fn place(&mut self, index: usize, lookup: &Lookup, now: Duration) {
        let model = &mut self.replicas[index];
        assert_eq!(
            model.instance,
            model.view.instance(),
            "what is known of a cache belongs to the present life and weights of its replica"
        );
        model.place(lookup.request, &lookup.levels, lookup.prompt_tokens, now);
        self.count(&lookup.levels, now);
    }

    fn count(&mut self, levels: &[Level], now: Duration) {
        if self.rates.len() >= MAX_RATES {
            self.rates
                .retain(|_, r| r.at + Duration::from_secs(120) > now);
            if self.rates.len() >= MAX_RATES {
                self.rates.clear();
            }
        }
        for level in levels {
            self.rates.entry(level.key).or_default().count(now);
        }
    }

    /// Returns the expected time to compute again what a placement evicts.
    ///
    /// This keeps rare openings together on replicas whose oldest entries are rare as well, and away from hot ones.
    fn eviction_secs(
        &self,
        model: &ReplicaModel,
        lookup: &Lookup,
        candidate: &Candidate,
        now: Duration,
    ) -> f64 {
        let cold = lookup.prompt_tokens - candidate.warm_tokens;
        let lost = model.cache.victims(cold).map(|(key, tokens)| {
            let rate = self.rates.get(&key).map_or(0.0, |r| r.long_per_sec(now));
            (1.0 - (-rate * RESIDENCE_SECS).exp()) * f64::from(tokens)
        });
        WORTH_WEIGHT * lost.sum::<f64>() / model.view.prefill_tokens_per_second
    }

    /// Returns the price of recomputation for an opening: the more often it is asked for, the more a copy pays.
    fn price(&self, lookup: &Lookup, now: Duration) -> f64 {
        if !self.learning.price {
            return 1.0;
        }
        let price = lookup.recomputation_price.max(1.0);
        if !self.learning.width {
            return price;
        }
        let rate = self
            .rates
            .get(&lookup.owner_key())
            .map_or(0.0, |r| r.short_per_sec(now));
        1.0 + (price - 1.0) / (1.0 + WIDTH_PER_RATE * rate)
    }
}

fn candidate_of(model: &ReplicaModel, lookup: &Lookup, now: Duration) -> Candidate {
    let warm = model.expected_warm_tokens(&lookup.levels);
    Candidate {
        instance: model.instance,
        warm_tokens: warm.min(lookup.prompt_tokens),
        wait: model.queue.wait(now),
    }
}

fn cost_of(model: &ReplicaModel, lookup: &Lookup, candidate: &Candidate, price: f64) -> f64 {
    let cold = f64::from(lookup.prompt_tokens - candidate.warm_tokens);
    let recompute = cold / model.view.prefill_tokens_per_second;
    let zone = if model.view.zone == lookup.zone {
        0.0
    } else {
        OTHER_ZONE_SECS
    };
    candidate.wait.as_secs_f64() + price * recompute + zone
}
