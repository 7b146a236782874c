//! Selects the replica for a request.
//!
//! Each prompt prefix has a home replica, found by rendezvous hashing. All routers compute the same home without
//! communication, so a prefix is prefilled once in the fleet and every router finds it cached. A request is placed
//! elsewhere only if waiting at the home costs more than computing or transferring the prefix at another replica. Costs
//! are in milliseconds of caller latency. Recomputed tokens cost a multiple of their prefill time, because recomputing
//! them also evicts cache entries that other requests need.
//!
//! Load patterns handled: many routers with little traffic each in front of few replicas (shared homes instead of local
//! views); one hot prefix (spills by cost, to the same second choice from all routers); rollouts (old weights cost more
//! as time passes and are excluded at the bound); failing replicas (the cost grows as the health weight falls); replicas
//! of different speeds (times and homes follow their speeds); a home that is limited (what is over its limit moves to the
//! next home of each prefix); long prompts that fill the memory of their home ([`super::load`]); a burst at
//! a plain service (two random replicas are compared, because all routers would send to the least loaded one until its
//! load comes back to them).
//!
//! Rejected: minimal expected latency alone, which scatters prefixes (figures in docs/design/routing.md), and asking
//! the owner of the prefix first, whose extra hop pays off only when replicas are near their limits.

use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::admission::Room;
use super::load::memory_cost_ms;
use crate::id::ReplicaId;

/// The prefill time per token at the reference rate, in milliseconds; the speed of a replica is relative to it. One of the
/// users' engines prefills 49.6 tokens per millisecond, another one 157.
pub(super) const PREFILL_MS_PER_TOKEN: f64 = 1.0 / 50.0;
/// The cost of recomputing a token, as a multiple of its prefill time; docs/design/routing.md compares factors and favors
/// 3 to 6.
pub(super) const RECOMPUTE_FACTOR: f64 = 4.0;
/// The fixed cost of placing a request away from the prefix's home, in milliseconds: the setup of a cache transfer.
const FETCH_SETUP_MS: f64 = 10.0;
/// The cost of crossing availability zones, in milliseconds: two 0.5 ms hops plus a price for traffic between zones.
const CROSS_ZONE_MS: f64 = 6.0;
/// The slowdown that one more running request causes for the others, in milliseconds.
const IN_FLIGHT_MS: f64 = 1.5;
/// The cost of queueing at a full replica, in milliseconds per request ahead in the queue.
const QUEUED_MS: f64 = 25.0;
/// The cost of old weights when newer ones should already be in use, in milliseconds.
const STALE_WEIGHTS_MS: f64 = 60.0;
/// The cost of a replica that rejected a request recently, in milliseconds; it will probably reject the next one too.
const REFUSAL_MS: f64 = 400.0;
/// How long after its own start a router still starts requests on weights older than the named ones it found. It is
/// less than the 3 s after which the users expect a restarted VM to meet the bounds.
const STARTUP_GRACE: Duration = Duration::from_millis(2_500);
/// Random jitter added to the costs, in milliseconds, so that routers don't all pick the same of several equal
/// replicas.
const JITTER_MS: f64 = 2.0;
/// The number of replicas that are compared for a request without a prefix.
const SAMPLE_SIZE: usize = 2;
/// Prefixes of at least this many tokens have one home in the whole fleet; shorter ones have one in each availability
/// zone.
const MIN_FLEET_HOME_TOKENS: u32 = 1_000;

/// How a replica's weights compare with the versions that the operator named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WeightsStatus {
    /// The newest version, or a newer one was named only recently.
    Current,
    /// Older than preferred.
    Stale,
    /// Too old to start requests on.
    Expired,
}

/// The time limits for putting newly named weights into use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WeightsBounds {
    /// The time after which older weights are penalized.
    pub stale_after: Duration,
    /// The time after which no request is sent to older weights; `None` if there is no bound.
    pub expired_after: Option<Duration>,
    /// The time after which a request is withdrawn from older weights that have not begun it ([`super::begin_limit`]).
    pub withdrawn_after: Option<Duration>,
}

impl WeightsBounds {
    /// Returns the age to assume for a version that a router finds named at its start.
    ///
    /// The version may have been named at any earlier time, and the platform does not provide the time. Older weights
    /// therefore expire soon after the start, but not at once, since the rollout may still be in progress.
    pub(crate) fn initial_age(&self) -> Duration {
        let expired_after = self.expired_after.unwrap_or_default();
        expired_after.saturating_sub(STARTUP_GRACE)
    }

    /// Returns the status of a replica's `version`, given the named versions and their ages, oldest first, and the time
    /// that a request will wait at the replica before it starts.
    #[must_use]
    pub(crate) fn status(
        &self,
        version: u64,
        named: &[(u64, Duration)],
        wait: Duration,
    ) -> WeightsStatus {
        // A version is outdated from the time the first newer version was named.
        let since = named
            .iter()
            .filter(|(newer, _)| *newer > version)
            .map(|(_, age)| *age)
            .max();
        let Some(age) = since else {
            return WeightsStatus::Current;
        };
        if self.expired_after.is_some_and(|limit| age + wait >= limit) {
            return WeightsStatus::Expired;
        }
        if age >= self.stale_after {
            return WeightsStatus::Stale;
        }
        WeightsStatus::Current
    }
}

/// One replica as seen by the selection.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Candidate<'a> {
    /// The id, which is hashed to find homes.
    pub id: &'a ReplicaId,
    /// Whether the replica is in this router's availability zone.
    pub is_same_zone: bool,
    /// The replica's requests in flight from all routers.
    pub in_flight: u32,
    /// The prompt tokens of those requests that the replica still has to prefill.
    pub prefill_tokens: u64,
    /// The maximum number of requests that the replica runs concurrently, from all routers together.
    pub slots: u32,
    /// The tokens of the replica's memory that no request in flight holds; `None` if the capacity is unknown.
    pub free_tokens: Option<u64>,
    /// The health weight: 1 if healthy, less while recovering from failures, 0 if ejected.
    pub health: f64,
    /// The speed of the replica, as a multiple of the median of its service ([`super::load`]).
    pub speed: f64,
    /// The weight by which the replica attracts the homes of prefixes.
    pub home_weight: f64,
    /// The status of the replica's weights.
    pub weights: WeightsStatus,
    /// Whether the replica accepts new requests.
    pub is_accepting: bool,
    /// How long the replica still wants no requests of this router; zero if it takes them.
    pub backoff: Duration,
    /// Whether `backoff` is that of a limit which the replica names. Its prefixes then have their next home, each one the same at
    /// all routers, instead of any replica.
    pub is_withheld: bool,
    /// Whether the replica rejected a request from any router recently.
    pub is_refusing: bool,
    /// Whether the replica is known to have the prefix cached.
    pub is_warm: bool,
}

impl Candidate<'_> {
    /// Returns how long the replica takes to prefill one token, in milliseconds.
    fn ms_per_token(&self) -> f64 {
        PREFILL_MS_PER_TOKEN / self.speed
    }

    /// Returns the work ahead of a new request, in milliseconds at the replica's speed.
    pub(crate) fn work_ahead_ms(&self) -> f64 {
        self.prefill_tokens as f64 * self.ms_per_token()
    }

    /// Returns how long a new request may wait behind the work ahead.
    pub(crate) fn expected_wait(&self) -> Duration {
        expected_wait(self.prefill_tokens, self.speed)
    }

    /// Returns whether the replica has free memory for a request, as far as its memory is known.
    pub(crate) fn fits(&self, request: &PlacementRequest) -> bool {
        self.free_tokens.is_none_or(|free| {
            memory_cost_ms(request, free, self.is_warm, self.ms_per_token()) <= 0.0
        })
    }

    /// Returns the number of requests that the replica may still run at once.
    pub(crate) const fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.in_flight)
    }
}

/// The inputs for placing a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PlacementRequest {
    /// The hash of the prompt's shared prefix, if it has one.
    pub prefix: Option<u64>,
    /// The length of the prefix shared with other requests, in tokens.
    pub shared_tokens: u32,
    /// The length of the rest of the prompt, in tokens.
    pub own_tokens: u32,
    /// The part of a replica's room that the request may use.
    pub room: Room,
    /// The maximum length of the output, in tokens.
    pub output_tokens: u32,
}

impl PlacementRequest {
    /// Returns the tokens that the request holds in a replica's memory without its shared prefix.
    pub(crate) fn private_tokens(&self) -> u64 {
        u64::from(self.own_tokens) + u64::from(self.output_tokens)
    }
}

/// The reason why no replica was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoReplica {
    /// No replica of the service accepts requests.
    NoneAccepting,
    /// All remaining replicas are ejected after failures.
    NoneHealthy,
    /// All remaining replicas serve weights that are too old.
    ExpiredWeights,
    /// The remaining replicas want no requests; the first one takes them again after this time.
    Overloaded(Duration),
    /// The remaining replicas have no room for the request.
    Full,
}

/// Returns how long a request may wait behind this many tokens that a replica with `speed` still has to prefill.
///
/// Only the tokens of the requests' own parts are known, and about as many are shared.
pub(crate) fn expected_wait(prefill_tokens: u64, speed: f64) -> Duration {
    const SHARED_TOKENS_FACTOR: f64 = 2.0;
    let wait_ms = prefill_tokens as f64 * PREFILL_MS_PER_TOKEN / speed * SHARED_TOKENS_FACTOR;
    Duration::from_secs_f64(wait_ms / 1_000.0)
}

/// Selects one of `candidates`, skipping those in `tried`, and returns its index.
///
/// # Errors
///
/// Returns the reason why no candidate can be selected.
pub(crate) fn choose(
    request: &PlacementRequest,
    candidates: &[Candidate<'_>],
    tried: &[ReplicaId],
    rng: &mut impl Rng,
) -> Result<usize, NoReplica> {
    let warm = candidates.iter().position(|candidate| {
        candidate.is_warm && candidate.is_accepting && !candidate.is_withheld
    });
    let home = warm.or_else(|| home_index(request, candidates));
    let mut eligible: SmallVec<[usize; 16]> = SmallVec::new();
    let mut reason = NoReplica::NoneAccepting;
    let mut least_backoff: Option<Duration> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        if !candidate.is_accepting || tried.contains(candidate.id) {
            continue;
        }
        if candidate.weights == WeightsStatus::Expired {
            reason = NoReplica::ExpiredWeights;
            continue;
        }
        if !candidate.backoff.is_zero() {
            let least =
                least_backoff.map_or(candidate.backoff, |least| least.min(candidate.backoff));
            least_backoff = Some(least);
            continue;
        }
        if candidate.health <= 0.0 {
            reason = NoReplica::NoneHealthy;
            continue;
        }
        if !request.room.is_left(candidate.in_flight, candidate.slots) {
            reason = NoReplica::Full;
            continue;
        }
        eligible.push(index);
    }
    if request.prefix.is_none() {
        keep_sample(&mut eligible, rng);
    }
    let mut best: Option<(f64, usize)> = None;
    for index in eligible {
        let cost = cost_of(request, &candidates[index], home == Some(index))
            + rng.random_range(0.0..JITTER_MS);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, index));
        }
    }
    best.map(|(_, index)| index)
        .ok_or_else(|| least_backoff.map_or(reason, NoReplica::Overloaded))
}

/// Keeps a random sample of the eligible replicas.
fn keep_sample(eligible: &mut SmallVec<[usize; 16]>, rng: &mut impl Rng) {
    for chosen in 0..SAMPLE_SIZE.min(eligible.len()) {
        let other = rng.random_range(chosen..eligible.len());
        eligible.swap(chosen, other);
    }
    eligible.truncate(SAMPLE_SIZE);
}

fn cost_of(request: &PlacementRequest, candidate: &Candidate<'_>, is_home: bool) -> f64 {
    let in_flight = f64::from(candidate.in_flight);
    let beyond_slots = candidate.in_flight.saturating_sub(candidate.slots);
    let ms_per_token = candidate.ms_per_token();
    let mut cost_ms = candidate.work_ahead_ms()
        + f64::from(request.own_tokens) * ms_per_token
        + in_flight * IN_FLIGHT_MS
        + f64::from(beyond_slots) * QUEUED_MS;
    if request.prefix.is_some() && !is_home {
        let recomputed_ms = f64::from(request.shared_tokens) * ms_per_token;
        cost_ms += FETCH_SETUP_MS + recomputed_ms * RECOMPUTE_FACTOR;
    }
    if let Some(free_tokens) = candidate.free_tokens {
        cost_ms += memory_cost_ms(request, free_tokens, candidate.is_warm, ms_per_token);
    }
    if !candidate.is_same_zone && !is_home {
        cost_ms += CROSS_ZONE_MS;
    }
    if candidate.weights == WeightsStatus::Stale {
        cost_ms += STALE_WEIGHTS_MS;
    }
    if candidate.is_refusing {
        cost_ms += REFUSAL_MS;
    }
    // A recovering replica is selected only if it is cheaper by this margin.
    cost_ms + (1.0 / candidate.health - 1.0) * QUEUED_MS
}

/// Returns the index of the prefix's home.
///
/// A replica that accepts no new requests remains the home of long prefixes, but not of short ones.
fn home_index(request: &PlacementRequest, candidates: &[Candidate<'_>]) -> Option<usize> {
    let prefix = request.prefix?;
    let is_small = request.shared_tokens < MIN_FLEET_HOME_TOKENS;
    let has_same_zone = candidates
        .iter()
        .any(|candidate| candidate.is_same_zone && candidate.is_accepting);
    let in_scope =
        |candidate: &Candidate<'_>| !is_small || !has_same_zone || candidate.is_same_zone;
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.health > 0.0 && in_scope(candidate))
        .filter(|(_, candidate)| !candidate.is_withheld)
        .filter(|(_, candidate)| candidate.is_accepting || !is_small)
        .map(|(index, candidate)| (index, home_score(candidate, prefix)))
        .max_by(|(_, left), (_, right)| left.total_cmp(right))
        .map(|(index, _)| index)
}

/// Returns the score of weighted rendezvous hashing: replicas become homes in proportion to their weights, and a change of
/// a weight moves only the prefixes that one replica gains or loses.
fn home_score(candidate: &Candidate<'_>, prefix: u64) -> f64 {
    let hash = xxh3_64_with_seed(candidate.id.as_bytes(), prefix);
    let fraction = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    fraction.ln() / candidate.home_weight
}
