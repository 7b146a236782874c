//! The choice at the router that holds the request.

use std::time::Duration;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use super::observation::OwnerReply;
use super::view::{InstanceTag, PoolView, ReplicaView};
use crate::preference::Preference;
use crate::prefix::Opening;

/// The random replicas that join an opening's homes where no owner answered.
const RANDOM_CANDIDATES: usize = 2;
/// The share of an opening's shared part that is expected to be warm at its homes where no owner answered.
const HOME_WARM_SHARE: f64 = 0.5;

/// What the choice knows of the deciding router and the request besides its opening.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Deciding {
    /// The position of the router's availability zone among those of the pool, in the order of their names.
    pub zone: usize,
    /// The cell that was or would have been asked.
    pub cell: usize,
    /// The replicas that have failed this request.
    pub excluded: SmallVec<[InstanceTag; 2]>,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// To a replica.
    Replica(Box<Placement>),
    /// Nowhere: the best replica is not expected to give a first token before the deadline.
    Shed {
        /// The least expected time to first token.
        expected_ttft: Duration,
    },
    /// Nowhere: no replica may take it.
    NoReplica,
}

/// The chosen replica, and what was thought of the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The replica's position in the pool.
    pub position: usize,
    /// The replica's life and weights.
    pub instance: InstanceTag,
    /// The expected time to first token.
    pub expected_ttft: Duration,
    /// The tokens of the prompt that are expected to be warm.
    pub expected_warm_tokens: u32,
    /// Whether it is the owner's own placement, of which nobody has to be told.
    pub is_owners: bool,
    /// All candidates, the chosen one first.
    pub considered: SmallVec<[Considered; 4]>,
}

/// One candidate, for the explanation of a choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Considered {
    /// The replica's position in the pool.
    pub position: usize,
    /// The expected time in its queue.
    pub wait: Duration,
    /// The tokens that are expected to be warm.
    pub warm_tokens: u32,
    /// The expected time to first token.
    pub expected_ttft: Duration,
    /// What the choice compares: expected time with recomputation at its price, and a penalty for another zone.
    pub cost: Duration,
}

/// Chooses a replica for a prompt.
///
/// The owner's first candidate stands, unless it can't take the request: the owner has counted it already, and sees
/// more. Without an answer the opening's homes and a few random replicas are compared by what is known here.
#[must_use]
pub fn choose(
    pool: &PoolView,
    opening: &Opening,
    reply: Option<&OwnerReply>,
    preference: &Preference,
    deciding: Deciding,
    now: Duration,
    rng: &mut impl Rng,
) -> Choice {
    let case = Case {
        pool,
        opening,
        preference,
        deciding,
        now,
    };
    let mut considered = case.consider_reply(reply);
    let is_owners = reply
        .and_then(|r| r.candidates.first())
        .zip(considered.first())
        .is_some_and(|(owners, ours)| pool.position_of(owners.instance) == Some(ours.position));
    if considered.is_empty() {
        considered = case.consider_homes(rng);
        considered.sort_by_key(|c| c.cost);
    }
    case.conclude(considered, is_owners)
}

struct Case<'a> {
    pool: &'a PoolView,
    opening: &'a Opening,
    preference: &'a Preference,
    deciding: Deciding,
    now: Duration,
}

impl Case<'_> {
    fn consider_reply(&self, reply: Option<&OwnerReply>) -> SmallVec<[Considered; 4]> {
        let candidates = reply.map_or(&[][..], |r| &r.candidates);
        candidates
            .iter()
            .filter_map(|c| {
                let position = self.pool.position_of(c.instance)?;
                self.consider(position, c.wait, c.warm_tokens)
            })
            .collect()
    }

    fn consider_homes(&self, rng: &mut impl Rng) -> SmallVec<[Considered; 4]> {
        let cells = self.pool.cells();
        let homes = (self.preference.homes as usize).clamp(1, 2);
        let homes = cells.homes_of(self.deciding.cell, self.opening.owner_key(), homes);
        let warm = f64::from(self.opening.shared_tokens()) * HOME_WARM_SHARE;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a share of a number of tokens"
        )]
        let warm = warm as u32;
        let mut considered: SmallVec<_> = homes
            .iter()
            .filter_map(|&home| self.consider_own(home, warm))
            .collect();
        let others = cells.replicas(self.deciding.cell);
        if !others.is_empty() {
            let picks = (0..RANDOM_CANDIDATES).map(|_| others[rng.random_range(0..others.len())]);
            considered.extend(picks.filter_map(|p| self.consider_own(p, 0)));
        }
        if considered.is_empty() {
            considered = self.any_available();
        }
        considered
    }

    /// Takes the least busy of all replicas, where neither homes nor random picks may take the request.
    fn any_available(&self) -> SmallVec<[Considered; 4]> {
        let all = 0..self.pool.replicas().len();
        let least = all
            .filter_map(|position| self.consider_own(position, 0))
            .min_by_key(|c| c.cost);
        least.into_iter().collect()
    }

    fn consider_own(&self, position: usize, warm_tokens: u32) -> Option<Considered> {
        let wait = self.pool.replicas()[position]
            .busy_until
            .saturating_sub(self.now);
        self.consider(position, wait, warm_tokens)
    }

    fn consider(&self, position: usize, wait: Duration, warm_tokens: u32) -> Option<Considered> {
        let replica = &self.pool.replicas()[position];
        if !replica.takes_prompts() || self.is_excluded(replica) {
            return None;
        }
        let warm_tokens = warm_tokens.min(self.opening.prompt_tokens);
        let prefill = replica.prefill_time(self.opening.prompt_tokens - warm_tokens);
        let price = self.preference.recomputation_price.max(1.0);
        Some(Considered {
            position,
            wait,
            warm_tokens,
            expected_ttft: wait + prefill,
            cost: wait + prefill.mul_f64(price) + self.zone_penalty(replica),
        })
    }

    fn is_excluded(&self, replica: &ReplicaView) -> bool {
        let excluded = &self.deciding.excluded;
        !excluded.is_empty() && excluded.contains(&replica.instance())
    }

    fn zone_penalty(&self, replica: &ReplicaView) -> Duration {
        if replica.zone == self.deciding.zone {
            Duration::ZERO
        } else {
            Duration::from_micros(self.preference.zone_penalty_us)
        }
    }

    fn conclude(&self, considered: SmallVec<[Considered; 4]>, is_owners: bool) -> Choice {
        let Some(&chosen) = considered.first() else {
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
            "a chosen replica may be given a prompt"
        );
        Choice::Replica(Box::new(Placement {
            position: chosen.position,
            instance: replica.instance(),
            expected_ttft: chosen.expected_ttft,
            expected_warm_tokens: chosen.warm_tokens,
            is_owners,
            considered,
        }))
    }
}
