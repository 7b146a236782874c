//! A router's model of the replicas of a pool, used to reply to lookups.
//!
//! All routers of a cell keep the same model, updated by the same placements. The owner of a prefix chooses a
//! replica, records the placement and informs the others. If the owner does not reply, any other router of
//! the cell can choose instead.

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

/// The expected time of an engine step in addition to the prefill itself.
const STEP_TIME: Duration = Duration::from_millis(5);
/// The averaging window of the request rate of a prefix.
const RATE_WINDOW_SECS: f64 = 4.0;
/// The averaging window of the request rate that determines the cost of evicting an entry.
const EVICTION_WINDOW_SECS: f64 = 60.0;
/// The time for which a placed entry is assumed to stay cached when eviction costs are computed.
const RESIDENCE_SECS: f64 = 20.0;
/// The fraction of the eviction cost that is charged to a placement.
const EVICTION_WEIGHT: f64 = 0.3;
/// How strongly the request rate of a prefix lowers its price of recomputation.
const PRICE_DECAY_PER_RATE: f64 = 3.0;
/// The maximum number of prefixes whose request rates are tracked.
const MAX_TRACKED_RATES: usize = 4_096;
/// The maximum number of placements per replica that wait for their response.
const MAX_PENDING: usize = 64;
/// The weight of the latest response in the moving average of the cache prediction accuracy.
const ACCURACY_WEIGHT: f64 = 0.1;
/// The maximum random addition to a candidate's cost, which separates routers that choose from the same
/// information.
const MAX_JITTER_SECS: f64 = 0.002;
/// The addition to the cost of a replica that is not a home replica of the prefix.
const NON_HOME_PENALTY_SECS: f64 = 0.004;
/// The additional cost of a replica in another availability zone.
const CROSS_ZONE_PENALTY_SECS: f64 = 0.001;
/// The maximum number of candidates in a reply.
const MAX_CANDIDATES: usize = 3;

/// The features of the model. All are enabled except in ablation measurements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ModelFeatures {
    /// Whether responses correct the model.
    pub responses: bool,
    /// Whether cache events correct the model.
    pub cache_events: bool,
    /// Whether the price of recomputation is applied.
    pub recompute_price: bool,
    /// Whether a high request rate lowers the price of a prefix, which spreads it over more replicas.
    pub hot_spread: bool,
    /// Whether a placement is charged for the entries that it evicts.
    pub eviction_cost: bool,
    /// Whether ties between nearly equal candidates are broken randomly.
    pub jitter: bool,
}

impl Default for ModelFeatures {
    fn default() -> Self {
        Self {
            responses: true,
            cache_events: true,
            recompute_price: true,
            hot_spread: true,
            eviction_cost: true,
            jitter: true,
        }
    }
}

/// The model of one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolModel {
    replicas: Vec<ReplicaModel>,
    by_instance: HashMap<InstanceTag, usize>,
    cells: Cells,
    request_rates: HashMap<LevelKey, RequestRate>,
    features: ModelFeatures,
    unknown_instances: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct ReplicaModel {
    pub(crate) view: ReplicaView,
    pub(crate) instance: InstanceTag,
    pub(crate) queue: QueueModel,
    pub(crate) cache: CacheModel,
    /// The fraction of the expected cached tokens that responses confirm, as a moving average.
    accuracy: f64,
    pending: VecDeque<PendingResponse>,
}

#[derive(Clone, Debug)]
struct PendingResponse {
    request: RequestTag,
    expected_warm_tokens: u32,
}

/// The request rate of a prefix over a short and a long window, as exponentially decaying sums.
#[derive(Clone, Copy, Debug, Default)]
struct RequestRate {
    short_sum: f64,
    long_sum: f64,
    updated_at: Duration,
}

impl RequestRate {
    fn age_secs(self, now: Duration) -> f64 {
        now.saturating_sub(self.updated_at).as_secs_f64()
    }

    fn short_per_sec(self, now: Duration) -> f64 {
        self.short_sum * (-self.age_secs(now) / RATE_WINDOW_SECS).exp() / RATE_WINDOW_SECS
    }

    fn long_per_sec(self, now: Duration) -> f64 {
        self.long_sum * (-self.age_secs(now) / EVICTION_WINDOW_SECS).exp() / EVICTION_WINDOW_SECS
    }

    fn record_request(&mut self, now: Duration) {
        self.short_sum = self.short_per_sec(now) * RATE_WINDOW_SECS + 1.0;
        self.long_sum = self.long_per_sec(now) * EVICTION_WINDOW_SECS + 1.0;
        self.updated_at = self.updated_at.max(now);
    }
}

impl ReplicaModel {
    fn new(view: ReplicaView) -> Self {
        Self {
            instance: view.instance(),
            queue: QueueModel::new(view.decode_slots as usize),
            cache: CacheModel::new(view.cache_tokens),
            accuracy: 1.0,
            pending: VecDeque::new(),
            view,
        }
    }

    fn expected_warm_tokens(&self, levels: &[Level]) -> u32 {
        let tokens = f64::from(self.cache.warm_tokens(levels)) * self.accuracy;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a fraction of a token count"
        )]
        let tokens = tokens as u32;
        tokens
    }

    fn place(&mut self, request: RequestTag, levels: &[Level], prompt_tokens: u32, at: Duration) {
        let warm = self.cache.warm_tokens(levels).min(prompt_tokens);
        let cost = self.view.prefill_time(prompt_tokens - warm) + STEP_TIME;
        self.queue.record_dispatch(request, at, cost);
        let indexed = levels.last().map_or(0, |l| l.end_tokens);
        let rest = prompt_tokens.saturating_sub(indexed);
        self.cache.record_use(levels, rest, at);
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingResponse {
            request,
            expected_warm_tokens: warm,
        });
    }

    fn take_pending(&mut self, request: RequestTag) -> Option<PendingResponse> {
        let index = self.pending.iter().position(|p| p.request == request)?;
        self.pending.remove(index)
    }

    fn record_first_token(
        &mut self,
        request: RequestTag,
        cached_tokens: Option<u32>,
        at: Duration,
    ) {
        self.queue.record_first_token(request, at);
        if let Some(cached) = cached_tokens
            && let Some(pending) = self.take_pending(request)
        {
            self.record_cached_tokens(pending.expected_warm_tokens, cached);
        }
    }

    fn record_cached_tokens(&mut self, expected: u32, cached: u32) {
        self.cache.adjust_capacity(expected, cached);
        if expected > 0 {
            let confirmed = f64::from(cached.min(expected)) / f64::from(expected);
            self.accuracy += ACCURACY_WEIGHT * (confirmed - self.accuracy);
        }
    }

    fn typical_prefill_time(&self) -> Duration {
        self.view.prefill_time(2_000)
    }
}

impl PoolModel {
    /// Creates an empty model that uses the enabled `features`.
    #[must_use]
    pub fn new(features: ModelFeatures) -> Self {
        Self {
            features,
            ..Self::default()
        }
    }

    /// Sets the current replicas of the pool, in the order from which `cells` was computed.
    ///
    /// The model of a replica whose incarnation or weights version changed is reset.
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

    /// Sets the cells after the set of live routers changed. The replicas stay the same.
    pub fn set_cells(&mut self, cells: Cells) {
        self.cells = cells;
    }

    /// Sets whether a replica is available, without a change of its incarnation.
    pub fn set_available(&mut self, position: usize, is_available: bool) {
        self.replicas[position].view.is_available = is_available;
    }

    /// Sets the identity of the replica at `position`. If the incarnation or the weights version changed, the
    /// model of the replica is reset.
    pub fn set_identity(&mut self, position: usize, incarnation: u64, weights_version: u64) {
        let Some(model) = self.replicas.get_mut(position) else {
            return;
        };
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

    /// Returns the tag of the current incarnation and weights of the replica at `position`.
    #[must_use]
    pub fn instance(&self, position: usize) -> Option<InstanceTag> {
        self.replicas.get(position).map(|m| m.instance)
    }

    /// Returns the snapshot that the traffic threads read.
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

    /// Returns the number of observations that were dropped because they named an incarnation that is not the
    /// current one.
    #[must_use]
    pub const fn unknown_instances(&self) -> u64 {
        self.unknown_instances
    }

    /// Returns those of `keys` that end a level which the replica is expected to have cached. This reduces a
    /// stream of cache events to the part that its readers can use.
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

    /// Chooses candidates for a prompt and, unless the lookup is a probe, records the request as placed at
    /// the first one.
    pub fn reply_to(&mut self, lookup: &Lookup, now: Duration, rng: &mut impl Rng) -> OwnerReply {
        let price = self.effective_price(lookup, now);
        let homes = self.cells.home_replicas(lookup.cell, lookup.owner_key(), 2);
        let mut best: SmallVec<[(f64, usize, Candidate); 4]> = SmallVec::new();
        let mut waits = Duration::ZERO;
        let mut count = 0;
        for &index in self.cells.replicas(lookup.cell) {
            let model = &self.replicas[index];
            if !model.view.takes_prompts() || lookup.excluded.contains(&model.instance) {
                continue;
            }
            let candidate = new_candidate(model, lookup, now);
            waits += candidate.wait;
            count += 1;
            let mut cost = candidate_cost(model, lookup, &candidate, price);
            if self.features.eviction_cost {
                cost += self.eviction_secs(model, lookup, &candidate, now);
            }
            if !homes.contains(&index) {
                cost += NON_HOME_PENALTY_SECS;
            }
            if self.features.jitter {
                cost += MAX_JITTER_SECS * rng.random::<f64>();
            }
            let rank = best.iter().position(|b| cost < b.0).unwrap_or(best.len());
            if rank < MAX_CANDIDATES {
                best.insert(rank, (cost, index, candidate));
                best.truncate(MAX_CANDIDATES);
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
            mean_wait: waits / count.max(1),
        }
    }

    /// Updates the model with an observation.
    pub fn record(&mut self, observation: &Observation) {
        match observation {
            Observation::Placed {
                request,
                levels,
                prompt_tokens,
                instance,
                at,
            } => {
                self.record_requests(levels, *at);
                self.with_model(*instance, |m| {
                    m.place(*request, levels, *prompt_tokens, *at);
                });
            }
            Observation::Withdrawn { request, instance } => {
                self.with_model(*instance, |m| {
                    m.queue.withdraw(*request);
                    m.take_pending(*request);
                });
            }
            Observation::FirstToken {
                request,
                instance,
                cached_tokens,
                at,
            } => {
                let cached = cached_tokens.filter(|_| self.features.responses);
                self.with_model(*instance, |m| m.record_first_token(*request, cached, *at));
            }
            Observation::Finished {
                request,
                instance,
                at,
            } => self.with_model(*instance, |m| m.queue.record_finished(*request, *at)),
            Observation::Evicted { instance, keys, at } => {
                if self.features.cache_events {
                    self.with_model(*instance, |m| {
                        keys.iter()
                            .for_each(|&key| m.cache.apply_eviction(key, *at));
                    });
                }
            }
            Observation::Load {
                instance,
                waiting_requests,
                at,
            } => self.with_model(*instance, |m| {
                let mean_cost = m.typical_prefill_time();
                m.queue
                    .apply_load_report(*waiting_requests as usize, *at, mean_cost);
            }),
        }
    }

    fn with_model(&mut self, instance: InstanceTag, update: impl FnOnce(&mut ReplicaModel)) {
        match self.model_mut(instance) {
            Some(model) => update(model),
            None => self.unknown_instances += 1,
        }
    }

    fn place(&mut self, index: usize, lookup: &Lookup, now: Duration) {
        let model = &mut self.replicas[index];
        assert_eq!(
            model.instance,
            model.view.instance(),
            "the model belongs to another incarnation or other weights of the replica"
        );
        model.place(lookup.request, &lookup.levels, lookup.prompt_tokens, now);
        self.record_requests(&lookup.levels, now);
    }

    fn record_requests(&mut self, levels: &[Level], now: Duration) {
        if self.request_rates.len() >= MAX_TRACKED_RATES {
            self.request_rates
                .retain(|_, r| r.updated_at + Duration::from_secs(120) > now);
            if self.request_rates.len() >= MAX_TRACKED_RATES {
                self.request_rates.clear();
            }
        }
        for level in levels {
            self.request_rates
                .entry(level.key)
                .or_default()
                .record_request(now);
        }
    }

    /// Returns the expected time to recompute the entries that a placement evicts.
    ///
    /// This groups rare prefixes on replicas whose oldest entries are also rare, and keeps them away from
    /// replicas with hot entries.
    fn eviction_secs(
        &self,
        model: &ReplicaModel,
        lookup: &Lookup,
        candidate: &Candidate,
        now: Duration,
    ) -> f64 {
        let cold = lookup.prompt_tokens - candidate.warm_tokens;
        let lost = model.cache.eviction_victims(cold).map(|(key, tokens)| {
            let rate = self
                .request_rates
                .get(&key)
                .map_or(0.0, |r| r.long_per_sec(now));
            (1.0 - (-rate * RESIDENCE_SECS).exp()) * f64::from(tokens)
        });
        EVICTION_WEIGHT * lost.sum::<f64>() / model.view.prefill_tokens_per_second
    }

    /// Returns the price of recomputation for a prefix. The higher its request rate, the lower the price,
    /// because further cached copies pay off.
    fn effective_price(&self, lookup: &Lookup, now: Duration) -> f64 {
        if !self.features.recompute_price {
            return 1.0;
        }
        let price = lookup.recomputation_price.max(1.0);
        if !self.features.hot_spread {
            return price;
        }
        let rate = self
            .request_rates
            .get(&lookup.owner_key())
            .map_or(0.0, |r| r.short_per_sec(now));
        1.0 + (price - 1.0) / (1.0 + PRICE_DECAY_PER_RATE * rate)
    }
}

fn new_candidate(model: &ReplicaModel, lookup: &Lookup, now: Duration) -> Candidate {
    let warm = model.expected_warm_tokens(&lookup.levels);
    Candidate {
        instance: model.instance,
        warm_tokens: warm.min(lookup.prompt_tokens),
        wait: model.queue.wait(now),
    }
}

fn candidate_cost(model: &ReplicaModel, lookup: &Lookup, candidate: &Candidate, price: f64) -> f64 {
    let cold = f64::from(lookup.prompt_tokens - candidate.warm_tokens);
    let recompute = cold / model.view.prefill_tokens_per_second;
    let zone = if model.view.zone == lookup.zone {
        0.0
    } else {
        CROSS_ZONE_PENALTY_SECS
    };
    candidate.wait.as_secs_f64() + price * recompute + zone
}
