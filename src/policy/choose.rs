//! The choice of a replica by the router that received the request.

use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::observation::OwnerReply;
use super::view::{InstanceTag, PoolView, ReplicaView};
use crate::preference::Preference;
use crate::prefix::PromptPrefix;

/// The number of random replicas compared with the home replicas of a prefix when no owner replied.
const RANDOM_CANDIDATES: usize = 2;
/// The fraction of the shared prefix that is expected to be cached at the home replicas when no owner
/// replied.
const HOME_WARM_FRACTION: f64 = 0.5;

/// The inputs of a choice that depend on the choosing router and the request rather than on the prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChoiceContext {
    /// The index of the router's availability zone among the zones of the pool, ordered by name.
    pub zone: usize,
    /// The cell that was queried, or would have been.
    pub cell: usize,
    /// The replicas that have failed this request.
    pub excluded: SmallVec<[InstanceTag; 2]>,
}

/// The result of a choice.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send the request to a replica.
    Replica(Box<Placement>),
    /// Shed the request: even the best replica is not expected to produce a first token before the deadline.
    Shed {
        /// The expected time to first token at the best replica.
        expected_ttft: Duration,
    },
    /// No replica can take the request.
    NoReplica,
}

/// The chosen replica and the scores of the other candidates.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The index of the replica in the pool.
    pub position: usize,
    /// The tag of the replica's current incarnation and weights.
    pub instance: InstanceTag,
    /// The expected time to first token.
    pub expected_ttft: Duration,
    /// The number of prompt tokens that are expected to be cached.
    pub expected_warm_tokens: u32,
    /// Whether this is the owner's own placement, which need not be announced to other routers.
    pub from_owner: bool,
    /// All candidates, the chosen one first.
    pub candidates: SmallVec<[ScoredCandidate; 4]>,
}

/// The score of one candidate, also used to explain a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoredCandidate {
    /// The index of the replica in the pool.
    pub position: usize,
    /// The expected queueing time.
    pub wait: Duration,
    /// The number of prompt tokens that are expected to be cached.
    pub warm_tokens: u32,
    /// The expected time to first token.
    pub expected_ttft: Duration,
    /// The cost that is compared: queueing time, plus prefill time multiplied by the price of recomputation,
    /// plus a penalty for another availability zone.
    pub cost: Duration,
}

/// Chooses a replica for a prompt.
///
/// The owner's first candidate is kept unless it cannot take the request, because the owner has already
/// recorded the placement and has more information. Without a reply, the home replicas and a few random
/// replicas are compared by this router's own information.
#[must_use]
pub fn choose(
    pool: &PoolView,
    prefix: &PromptPrefix,
    reply: Option<&OwnerReply>,
    preference: &Preference,
    context: ChoiceContext,
    now: Duration,
    rng: &mut impl Rng,
) -> Choice {
    let chooser = Chooser {
        pool,
        prefix,
        preference,
        context,
        now,
    };
    let mut candidates = chooser.score_owner_candidates(reply);
    let from_owner = reply
        .and_then(|r| r.candidates.first())
        .zip(candidates.first())
        .is_some_and(|(first, ours)| pool.position_of(first.instance) == Some(ours.position));
    if candidates.is_empty() {
        candidates = chooser.score_home_candidates(rng);
        candidates.sort_by_key(|c| c.cost);
    }
    chooser.finish(candidates, from_owner)
}

struct Chooser<'a> {
    pool: &'a PoolView,
    prefix: &'a PromptPrefix,
    preference: &'a Preference,
    context: ChoiceContext,
    now: Duration,
}

impl Chooser<'_> {
    fn score_owner_candidates(&self, reply: Option<&OwnerReply>) -> SmallVec<[ScoredCandidate; 4]> {
        let candidates = reply.map_or(&[][..], |r| &r.candidates);
        candidates
            .iter()
            .filter_map(|c| {
                let position = self.pool.position_of(c.instance)?;
                self.score(position, c.wait, c.warm_tokens)
            })
            .collect()
    }

    fn score_home_candidates(&self, rng: &mut impl Rng) -> SmallVec<[ScoredCandidate; 4]> {
        let cells = self.pool.cells();
        let homes = (self.preference.homes as usize).clamp(1, 2);
        let homes = cells.home_replicas(self.context.cell, self.prefix.owner_key(), homes);
        let warm = f64::from(self.prefix.shared_tokens()) * HOME_WARM_FRACTION;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a fraction of a token count"
        )]
        let warm = warm as u32;
        let mut candidates: SmallVec<_> = homes
            .iter()
            .filter_map(|&home| self.score_with_local_wait(home, warm))
            .collect();
        let others = cells.replicas(self.context.cell);
        if !others.is_empty() {
            let picks = (0..RANDOM_CANDIDATES).map(|_| others[rng.random_range(0..others.len())]);
            candidates.extend(picks.filter_map(|p| self.score_with_local_wait(p, 0)));
        }
        if candidates.is_empty() {
            candidates = self.lowest_cost();
        }
        candidates
    }

    /// Returns the candidate with the lowest cost of all replicas, for when neither home nor random replicas
    /// can take the request.
    fn lowest_cost(&self) -> SmallVec<[ScoredCandidate; 4]> {
        let all = 0..self.pool.replicas().len();
        let least = all
            .filter_map(|position| self.score_with_local_wait(position, 0))
            .min_by_key(|c| c.cost);
        least.into_iter().collect()
    }

    fn score_with_local_wait(&self, position: usize, warm_tokens: u32) -> Option<ScoredCandidate> {
        let wait = self.pool.replicas()[position]
            .busy_until
            .saturating_sub(self.now);
        self.score(position, wait, warm_tokens)
    }

    fn score(&self, position: usize, wait: Duration, warm_tokens: u32) -> Option<ScoredCandidate> {
        let replica = &self.pool.replicas()[position];
        if !replica.takes_prompts() || self.is_excluded(replica) {
            return None;
        }
        let warm_tokens = warm_tokens.min(self.prefix.prompt_tokens);
        let prefill = replica.prefill_time(self.prefix.prompt_tokens - warm_tokens);
        let price = self.preference.recomputation_price.max(1.0);
        Some(ScoredCandidate {
            position,
            wait,
            warm_tokens,
            expected_ttft: wait + prefill,
            cost: wait + prefill.mul_f64(price) + self.zone_penalty(replica),
        })
    }

    fn is_excluded(&self, replica: &ReplicaView) -> bool {
        let excluded = &self.context.excluded;
        !excluded.is_empty() && excluded.contains(&replica.instance())
    }

    fn zone_penalty(&self, replica: &ReplicaView) -> Duration {
        if replica.zone == self.context.zone {
            Duration::ZERO
        } else {
            Duration::from_micros(self.preference.zone_penalty_us)
        }
    }

    fn finish(&self, candidates: SmallVec<[ScoredCandidate; 4]>, from_owner: bool) -> Choice {
        let Some(&chosen) = candidates.first() else {
            return Choice::NoReplica;
        };
        if chosen.expected_ttft > Duration::from_millis(self.preference.ttft_deadline_ms) {
            return Choice::Shed {
                expected_ttft: chosen.expected_ttft,
            };
        }
        let replica = &self.pool.replicas()[chosen.position];
        assert!(
            replica.takes_prompts(),
            "the chosen replica does not take prompts"
        );
        Choice::Replica(Box::new(Placement {
            position: chosen.position,
            instance: replica.instance(),
            expected_ttft: chosen.expected_ttft,
            expected_warm_tokens: chosen.warm_tokens,
            from_owner,
            candidates,
        }))
    }
}
