//! The entry directory: which routers callers should connect to.
//!
//! No balancer stands before the routers, so the answer itself has to spread callers. Callers take the first address.
//! Most askers are callers of the router that they ask: it keeps them as long as it is not more active than the mean,
//! and sends the excess on to the next router of a rotation that is weighted by what the others lack. The second
//! address stands in another zone, for the caller that finds the first one gone.
//!
//! Rejected: addresses in random order or by rotation alone, whose spread with few callers is far wider, and the least
//! loaded router first, to which all callers run until its load has been told. See docs/design/membership.md.

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::id::RouterId;
use crate::membership::{LoadLevel, Member};
use crate::protocol::{Entries, Entry};

#[cfg(test)]
mod tests;

/// The most addresses in one answer.
const MAX_ENTRIES: usize = 16;
/// The turns in one round of a router that has room.
const NORMAL_WEIGHT: u32 = 8;
/// The turns in one round of a busy router.
const BUSY_WEIGHT: u32 = 3;
/// The turns in one round of a full router.
const FULL_WEIGHT: u32 = 1;
/// The turns in one round of the excess of a router that has no activity at all.
const LACK_WEIGHT: f64 = 20.0;
/// The activity up to which a mean tells nothing.
const MIN_MEAN_ACTIVITY: f64 = 1.0;
/// The callers that one plan keeps, so that a herd that knows one address only is spread all the same.
const MAX_KEPT_CALLERS: u32 = 16;
/// The fraction of the golden ratio, whose multiples spread evenly.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_895;

/// The plan by which one router answers, until the next one replaces it about a second later.
#[derive(Debug, Default)]
pub struct Directory {
    entries: Vec<Entry>,
    /// Indices into `entries`, each as often as its weight asks and spread evenly.
    rotation: Vec<usize>,
    /// Like `rotation`, with a turn for each twentieth that a router lacks to the mean activity.
    lacking: Vec<usize>,
    /// This router's index into `entries`, if it is listed.
    own: Option<usize>,
    /// The share of askers that this router keeps.
    kept_share: f64,
    kept: AtomicU32,
    turn: AtomicUsize,
    life: Duration,
}

impl Directory {
    /// Plans answers with the members that take new work, as seen by the router `own`.
    ///
    /// Suspected and leaving routers are left out. Where only such are left, they are named all the same: an address
    /// that may work is better than none.
    #[must_use]
    pub fn new<'a>(
        members: impl IntoIterator<Item = &'a Member>,
        own: &RouterId,
        life: Duration,
        rng: &mut impl Rng,
    ) -> Self {
        let chosen = choose(members);
        let mean = mean_activity(&chosen);
        let own = chosen.iter().position(|member| member.router == *own);
        let kept_share = own.map_or(0.0, |index| kept_share(chosen[index], mean));
        let weights: Vec<u32> = chosen.iter().map(|member| weight_of(member)).collect();
        let lacks: Vec<u32> = chosen.iter().map(|member| lack_of(member, mean)).collect();
        let rotation = rotate(&weights);
        // Routers that rotate from the same place would send all callers of a moment to the same VM.
        let turn = rng.random_range(0..rotation.len().max(1));
        Self {
            entries: chosen.into_iter().map(entry_of).collect(),
            rotation,
            lacking: rotate(&lacks),
            own,
            kept_share,
            kept: AtomicU32::new(0),
            turn: AtomicUsize::new(turn),
            life,
        }
    }

    /// Answers one caller, who may name the zone it prefers.
    ///
    /// The zone is kept to only while it has a router with room.
    #[must_use]
    pub fn answer(&self, zone: Option<&str>) -> Entries {
        let mut entries = Vec::new();
        if !self.rotation.is_empty() {
            let turn = self.turn.fetch_add(1, Ordering::Relaxed);
            entries = self.order_from(turn, zone);
        }
        Entries {
            entries,
            life_ms: u64::try_from(self.life.as_millis()).unwrap_or(u64::MAX),
        }
    }

    fn order_from(&self, turn: usize, zone: Option<&str>) -> Vec<Entry> {
        let mut order = self.distinct_from(turn);
        if let Some(place) = zone.and_then(|zone| self.first_in(&order, zone)) {
            order[..=place].rotate_right(1);
        }
        if let Some(first) = self.first_by_activity(turn, zone) {
            order.retain(|index| *index != first);
            order.insert(0, first);
        }
        self.bring_other_zone_second(&mut order);
        order.truncate(MAX_ENTRIES);
        order
            .into_iter()
            .map(|index| self.entries[index].clone())
            .collect()
    }

    /// Returns distinct entries in the order of the rotation, a few more than fit into an answer.
    fn distinct_from(&self, turn: usize) -> Vec<usize> {
        let turns = self.rotation.len();
        let mut order: Vec<usize> = Vec::with_capacity(2 * MAX_ENTRIES);
        for step in 0..turns {
            let index = self.rotation[(turn + step) % turns];
            if !order.contains(&index) {
                order.push(index);
            }
            if order.len() >= 2 * MAX_ENTRIES {
                break;
            }
        }
        order
    }

    /// Returns the entry that an asker stays with, or goes to as part of this router's excess.
    fn first_by_activity(&self, turn: usize, zone: Option<&str>) -> Option<usize> {
        let in_zone = |index: usize| zone.is_none_or(|zone| *self.entries[index].zone == *zone);
        let place = (turn as f64 * GOLDEN_FRACTION).fract();
        if place >= self.kept_share {
            let turns = self.lacking.len().max(1);
            return self
                .lacking
                .get(turn % turns)
                .copied()
                .filter(|index| in_zone(*index));
        }
        let own = self.own.filter(|own| in_zone(*own))?;
        let kept = self.kept.fetch_add(1, Ordering::Relaxed);
        (kept < MAX_KEPT_CALLERS).then_some(own)
    }

    fn first_in(&self, order: &[usize], zone: &str) -> Option<usize> {
        order.iter().position(|index| {
            let entry = &self.entries[*index];
            *entry.zone == *zone && entry.weight == NORMAL_WEIGHT
        })
    }

    fn bring_other_zone_second(&self, order: &mut [usize]) {
        let Some((first, rest)) = order.split_first_mut() else {
            return;
        };
        let zone = &self.entries[*first].zone;
        let other = rest
            .iter()
            .position(|index| self.entries[*index].zone != *zone);
        if let Some(place) = other {
            rest[..=place].rotate_right(1);
        }
    }
}

fn choose<'a>(members: impl IntoIterator<Item = &'a Member>) -> Vec<&'a Member> {
    let all: Vec<&Member> = members.into_iter().collect();
    let mut chosen: Vec<&Member> = all
        .iter()
        .copied()
        .filter(|member| member.takes_new_work())
        .collect();
    if chosen.is_empty() {
        chosen = all;
    }
    chosen.sort_by(|left, right| left.router.cmp(&right.router));
    chosen
}

fn mean_activity(members: &[&Member]) -> f64 {
    let sum: f64 = members
        .iter()
        .map(|member| f64::from(member.activity))
        .sum();
    sum / members.len().max(1) as f64
}

/// Returns the share of askers that a router keeps, so that what it sends on is its excess over the mean.
fn kept_share(own: &Member, mean: f64) -> f64 {
    if mean < MIN_MEAN_ACTIVITY || own.load != LoadLevel::Normal {
        return 0.0;
    }
    (mean / f64::from(own.activity).max(mean)).min(1.0)
}

fn lack_of(member: &Member, mean: f64) -> u32 {
    if mean < MIN_MEAN_ACTIVITY || member.load != LoadLevel::Normal {
        return 0;
    }
    let lack = 1.0 - (f64::from(member.activity) / mean).min(1.0);
    (lack * LACK_WEIGHT).round() as u32
}

const fn weight_of(member: &Member) -> u32 {
    match member.load {
        LoadLevel::Normal => NORMAL_WEIGHT,
        LoadLevel::Busy => BUSY_WEIGHT,
        LoadLevel::Full => FULL_WEIGHT,
    }
}

fn entry_of(member: &Member) -> Entry {
    Entry {
        address: member.callers,
        zone: member.zone.clone(),
        weight: weight_of(member),
    }
}

/// Spreads the turns of each entry evenly over one round, by smooth weighted round robin.
fn rotate(weights: &[u32]) -> Vec<usize> {
    let total: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
    let mut credits = vec![0_i64; weights.len()];
    let mut rotation = Vec::new();
    for _ in 0..total {
        for (credit, weight) in credits.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        let richest = credits
            .iter()
            .enumerate()
            .max_by_key(|(index, credit)| (**credit, std::cmp::Reverse(*index)))
            .map(|(index, _)| index);
        if let Some(index) = richest {
            credits[index] -= total;
            rotation.push(index);
        }
    }
    rotation
}
