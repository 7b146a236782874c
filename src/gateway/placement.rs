//! Chooses the replica for a request.
//!
//! Each opening has a home among the replicas by rendezvous hashing, which all routers work out alike without asking each
//! other: an opening is then read once in the fleet and found warm by every router. A request leaves the home only where
//! waiting there costs more than bringing the opening to another replica. All costs are in milliseconds of the caller's
//! time, with a price on what is read again, because a reading also evicts what others need.
//!
//! Load patterns answered: many routers with a little traffic each before few replicas (homes instead of private views);
//! one hot opening (spill by cost to the same second home everywhere); a rollout (old weights cost more as time passes and
//! are closed at the bound); failing replicas (their health weight divides).
//!
//! Rejected: least expected time alone, which scatters openings (docs/design/routing.md has the figures), and asking the
//! opening's owner first, whose hop pays only where replicas are near their limits.

use std::time::Duration;

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::ReplicaId;

/// What reading one token costs, in milliseconds; the slower of the two users' engines reads 49.6 tokens a millisecond.
const READ_TOKEN_MS: f64 = 1.0 / 50.0;
/// The price of a token that is read again, as a multiple of its time; 3 to 6 did best in docs/design/routing.md.
const REREAD_PRICE: f64 = 4.0;
/// What leaving an opening's home costs beside the tokens, in milliseconds: the set-up of a fetch.
const MOVE_BASE_MS: f64 = 10.0;
/// What another availability zone costs in milliseconds: twice 0.5 ms, and a price on bytes between zones.
const ZONE_MS: f64 = 6.0;
/// What one more running request costs those that run, in milliseconds.
const RUNNING_MS: f64 = 1.5;
/// What waiting behind a full replica costs for each request in the way, in milliseconds.
const QUEUED_MS: f64 = 25.0;
/// What old weights cost once newer ones should be in use, in milliseconds.
const OLD_WEIGHTS_MS: f64 = 60.0;
/// What a replica costs that has just refused a request, in milliseconds; it mostly refuses the next one too.
const REFUSING_MS: f64 = 400.0;
/// How long after its start a router lets requests begin on older weights than it found named: less than the 3 s after
/// which the users count a VM that came back.
const OPEN_AFTER_START: Duration = Duration::from_millis(2_500);
/// Random difference between equal replicas, in milliseconds, so that routers don't all pick the same one.
const JITTER_MS: f64 = 2.0;
/// Openings with at least this many tokens have one home in the fleet; smaller ones have one in each availability zone.
const FLEET_HOME_TOKENS: u32 = 1_000;

/// How the weights of a replica stand against those that were named last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WeightsStanding {
    /// The newest, or the newest is too young to matter.
    Current,
    /// Older than they should be.
    Old,
    /// So old that nothing may begin on them.
    Closed,
}

/// How long named weights may take to be in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WeightsBounds {
    /// From when on a run on older weights is worth less.
    pub preferred_after: Duration,
    /// From when on nothing may begin on older weights; `None` where no bound is in force.
    pub closed_after: Option<Duration>,
}

impl WeightsBounds {
    /// Returns how old a version counts that a router finds named when it starts.
    ///
    /// It may have been named at any time before, and nobody tells when. So old weights close soon after the start, while
    /// the rollout may still need some time.
    pub(crate) fn age_of_found(&self) -> Duration {
        let closed_after = self.closed_after.unwrap_or_default();
        closed_after.saturating_sub(OPEN_AFTER_START)
    }

    /// Judges a replica's `version` against the versions that were named, oldest first, each with the time since.
    #[must_use]
    pub(crate) fn judge(&self, version: u64, named: &[(u64, Duration)]) -> WeightsStanding {
        // A version counts as old from the first newer one on.
        let since = named
            .iter()
            .filter(|(newer, _)| *newer > version)
            .map(|(_, age)| *age)
            .max();
        let Some(age) = since else {
            return WeightsStanding::Current;
        };
        if self.closed_after.is_some_and(|limit| age >= limit) {
            return WeightsStanding::Closed;
        }
        if age >= self.preferred_after {
            return WeightsStanding::Old;
        }
        WeightsStanding::Current
    }
}

/// One replica as the choice sees it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Candidate<'a> {
    /// Its id, by which homes are found.
    pub id: &'a ReplicaId,
    /// Whether it stands in this router's availability zone.
    pub is_near: bool,
    /// The requests of all routers that it has in hand.
    pub in_flight: u32,
    /// The tokens of those requests that it has yet to read.
    pub unread_tokens: u64,
    /// The requests that it runs at once, from all routers.
    pub slots: u32,
    /// 1 for a sound replica, less for one that returns after failures, 0 for one that is out.
    pub health: f64,
    /// How its weights stand.
    pub weights: WeightsStanding,
    /// Whether it takes new requests at all.
    pub is_open: bool,
    /// Whether it has refused a request of any router a moment ago.
    pub is_refusing: bool,
    /// Whether it is known to have read the opening lately.
    pub is_warm: bool,
}

/// What a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Need {
    /// The hash of the prompt's opening, if it has one.
    pub opening: Option<u64>,
    /// The tokens of the opening, which other requests share.
    pub shared_tokens: u32,
    /// The tokens of the request alone.
    pub own_tokens: u32,
}

/// Why no replica was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoReplica {
    /// The service has none that takes requests.
    NoneOpen,
    /// All that remain have failed lately.
    NoneHealthy,
    /// All that remain serve weights that are too old.
    OldWeights,
}

/// Chooses one of `candidates`, those in `tried` excepted; returns its index.
///
/// # Errors
///
/// Says why none of them can be taken.
pub(crate) fn choose(
    need: &Need,
    candidates: &[Candidate<'_>],
    tried: &[ReplicaId],
    rng: &mut impl Rng,
) -> Result<usize, NoReplica> {
    let warm = candidates
        .iter()
        .position(|candidate| candidate.is_warm && candidate.is_open);
    let home = warm.or_else(|| home_of(need, candidates));
    let mut best: Option<(f64, usize)> = None;
    let mut reason = NoReplica::NoneOpen;
    for (index, candidate) in candidates.iter().enumerate() {
        if !candidate.is_open || tried.contains(candidate.id) {
            continue;
        }
        if candidate.weights == WeightsStanding::Closed {
            reason = NoReplica::OldWeights;
            continue;
        }
        if candidate.health <= 0.0 {
            reason = NoReplica::NoneHealthy;
            continue;
        }
        let cost = cost_of(need, candidate, home == Some(index)) + rng.random_range(0.0..JITTER_MS);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, index));
        }
    }
    best.map(|(_, index)| index).ok_or(reason)
}

fn cost_of(need: &Need, candidate: &Candidate<'_>, is_home: bool) -> f64 {
    let in_flight = f64::from(candidate.in_flight);
    let beyond_slots = candidate.in_flight.saturating_sub(candidate.slots);
    let mut cost_ms = candidate.unread_tokens as f64 * READ_TOKEN_MS
        + in_flight * RUNNING_MS
        + f64::from(beyond_slots) * QUEUED_MS;
    if need.opening.is_some() && !is_home {
        cost_ms += MOVE_BASE_MS + f64::from(need.shared_tokens) * READ_TOKEN_MS * REREAD_PRICE;
    }
    if !candidate.is_near && !is_home {
        cost_ms += ZONE_MS;
    }
    if candidate.weights == WeightsStanding::Old {
        cost_ms += OLD_WEIGHTS_MS;
    }
    if candidate.is_refusing {
        cost_ms += REFUSING_MS;
    }
    // A returning replica has to look that much better than the others.
    cost_ms + (1.0 / candidate.health - 1.0) * QUEUED_MS
}

/// Returns the index of the opening's home among the candidates that take requests.
fn home_of(need: &Need, candidates: &[Candidate<'_>]) -> Option<usize> {
    let opening = need.opening?;
    let is_small = need.shared_tokens < FLEET_HOME_TOKENS;
    let has_near = candidates
        .iter()
        .any(|candidate| candidate.is_near && candidate.is_open);
    let in_scope = |candidate: &Candidate<'_>| !is_small || !has_near || candidate.is_near;
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.health > 0.0 && in_scope(candidate))
        .filter(|(_, candidate)| candidate.is_open || !is_small)
        .max_by_key(|(_, candidate)| xxh3_64_with_seed(candidate.id.as_bytes(), opening))
        .map(|(index, _)| index)
}
