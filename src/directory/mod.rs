//! The entry directory, which tells callers which routers to connect to.
//!
//! There is no load balancer in front of the routers, so the directory responses themselves must balance callers.
//! Callers connect to the first address. Most callers ask the router that they are already connected to. A router keeps
//! its callers as long as its activity does not exceed the mean, and redirects the excess to the other routers by
//! weighted round robin, weighted by how far each one is below the mean. The second address is in another availability
//! zone, as a fallback for a caller that can't reach the first one.
//!
//! Rejected: addresses in random order or by round robin alone, which balances few callers far worse, and the least
//! loaded router first, which attracts all callers until its new load has propagated. See docs/design/membership.md.

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::id::RouterId;
use crate::membership::{LoadLevel, Member};
use crate::protocol::{DirectoryEntry, DirectoryResponse};

#[cfg(test)]
mod tests;

/// The maximum number of addresses in one response.
const MAX_ENTRIES: usize = 16;
/// The round-robin weight of a router with normal load.
const NORMAL_WEIGHT: u32 = 8;
/// The round-robin weight of a busy router.
const BUSY_WEIGHT: u32 = 3;
/// The round-robin weight of a full router.
const FULL_WEIGHT: u32 = 1;
/// The round-robin weight, among the targets of redirected callers, of a router without any activity.
const DEFICIT_WEIGHT: f64 = 20.0;
/// The mean activity below which activities are too low to compare.
const MIN_MEAN_ACTIVITY: f64 = 1.0;
/// The maximum number of callers that one directory keeps, so that many callers that all know the same single address
/// are spread nevertheless.
const MAX_KEPT_CALLERS: u32 = 16;
/// The inverse of the golden ratio; the fractional parts of its multiples are evenly distributed.
const INVERSE_GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The directory of one router, built from a snapshot of the membership; a new one replaces it about every second.
#[derive(Debug, Default)]
pub struct Directory {
    entries: Vec<DirectoryEntry>,
    /// One round of weighted round robin over indices into `entries`.
    rotation: Vec<usize>,
    /// Like `rotation`, with a router's weight being its deficit from the mean activity, in twentieths of the mean.
    deficit_rotation: Vec<usize>,
    /// The index of this router in `entries`, if it is listed.
    own: Option<usize>,
    /// The fraction of callers that this router keeps.
    kept_fraction: f64,
    kept_callers: AtomicU32,
    next_turn: AtomicUsize,
    ttl: Duration,
}

impl Directory {
    /// Creates a directory of the members that accept new work, for responses by the router `own`.
    ///
    /// Suspected and leaving routers are left out, unless there are no others: an address that may work is better than
    /// none. Responses are valid for `ttl`.
    #[must_use]
    pub fn new<'a>(
        members: impl IntoIterator<Item = &'a Member>,
        own: &RouterId,
        ttl: Duration,
        rng: &mut impl Rng,
    ) -> Self {
        let listed = select_members(members);
        let mean = mean_activity(&listed);
        let own = listed.iter().position(|member| member.router == *own);
        let kept_fraction = own.map_or(0.0, |index| kept_fraction(listed[index], mean));
        let weights: Vec<u32> = listed.iter().map(|member| load_weight(member)).collect();
        let deficit_weights: Vec<u32> = listed
            .iter()
            .map(|member| deficit_weight(member, mean))
            .collect();
        let rotation = build_rotation(&weights);
        // Starts at a random position: routers with the same position would send all concurrent callers to the same VM.
        let turn = rng.random_range(0..rotation.len().max(1));
        Self {
            entries: listed.into_iter().map(to_entry).collect(),
            rotation,
            deficit_rotation: build_rotation(&deficit_weights),
            own,
            kept_fraction,
            kept_callers: AtomicU32::new(0),
            next_turn: AtomicUsize::new(turn),
            ttl,
        }
    }

    /// Returns the addresses for one caller, which may prefer an availability zone.
    ///
    /// The preference is honored only while the zone has a router with normal load.
    #[must_use]
    pub fn lookup(&self, zone: Option<&str>) -> DirectoryResponse {
        let mut entries = Vec::new();
        if !self.rotation.is_empty() {
            let turn = self.next_turn.fetch_add(1, Ordering::Relaxed);
            entries = self.ordered_entries(turn, zone);
        }
        DirectoryResponse {
            entries,
            life_ms: u64::try_from(self.ttl.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the entries for the response at position `turn` of the rotation, in order of preference.
    fn ordered_entries(&self, turn: usize, zone: Option<&str>) -> Vec<DirectoryEntry> {
        let mut order = self.distinct_entries(turn);
        if let Some(position) = zone.and_then(|zone| self.first_normal_in_zone(&order, zone)) {
            order[..=position].rotate_right(1);
        }
        if let Some(first) = self.preferred_entry(turn, zone) {
            order.retain(|index| *index != first);
            order.insert(0, first);
        }
        self.move_other_zone_second(&mut order);
        order.truncate(MAX_ENTRIES);
        order
            .into_iter()
            .map(|index| self.entries[index].clone())
            .collect()
    }

    /// Returns distinct entries in the order of the rotation, up to twice as many as fit into a response.
    fn distinct_entries(&self, turn: usize) -> Vec<usize> {
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

    /// Returns the entry that balances activity: this router for a caller that it keeps, another router for a caller
    /// that it redirects, or `None` if neither applies.
    fn preferred_entry(&self, turn: usize, zone: Option<&str>) -> Option<usize> {
        let in_zone = |index: usize| zone.is_none_or(|zone| *self.entries[index].zone == *zone);
        let sample = (turn as f64 * INVERSE_GOLDEN_RATIO).fract();
        if sample >= self.kept_fraction {
            let turns = self.deficit_rotation.len().max(1);
            return self
                .deficit_rotation
                .get(turn % turns)
                .copied()
                .filter(|index| in_zone(*index));
        }
        let own = self.own.filter(|own| in_zone(*own))?;
        let kept = self.kept_callers.fetch_add(1, Ordering::Relaxed);
        (kept < MAX_KEPT_CALLERS).then_some(own)
    }

    /// Returns the position in `order` of the first router in `zone` with normal load.
    fn first_normal_in_zone(&self, order: &[usize], zone: &str) -> Option<usize> {
        order.iter().position(|index| {
            let entry = &self.entries[*index];
            *entry.zone == *zone && entry.weight == NORMAL_WEIGHT
        })
    }

    /// Moves the first entry that is in another zone than the first address to the second position.
    fn move_other_zone_second(&self, order: &mut [usize]) {
        let Some((first, rest)) = order.split_first_mut() else {
            return;
        };
        let zone = &self.entries[*first].zone;
        let other = rest
            .iter()
            .position(|index| self.entries[*index].zone != *zone);
        if let Some(position) = other {
            rest[..=position].rotate_right(1);
        }
    }
}

/// Returns the members that accept new work, or all members if none does, sorted by router.
fn select_members<'a>(members: impl IntoIterator<Item = &'a Member>) -> Vec<&'a Member> {
    let all: Vec<&Member> = members.into_iter().collect();
    let mut listed: Vec<&Member> = all
        .iter()
        .copied()
        .filter(|member| member.takes_new_work())
        .collect();
    if listed.is_empty() {
        listed = all;
    }
    listed.sort_by(|left, right| left.router.cmp(&right.router));
    listed
}

fn mean_activity(members: &[&Member]) -> f64 {
    let sum: f64 = members
        .iter()
        .map(|member| f64::from(member.activity))
        .sum();
    sum / members.len().max(1) as f64
}

/// Returns the fraction of callers that a router keeps, so that it redirects its excess over the mean.
fn kept_fraction(own: &Member, mean: f64) -> f64 {
    if mean < MIN_MEAN_ACTIVITY || own.load != LoadLevel::Normal {
        return 0.0;
    }
    (mean / f64::from(own.activity).max(mean)).min(1.0)
}

/// Returns the weight of a member by its deficit from the mean activity; zero unless its load is normal.
fn deficit_weight(member: &Member, mean: f64) -> u32 {
    if mean < MIN_MEAN_ACTIVITY || member.load != LoadLevel::Normal {
        return 0;
    }
    let deficit = 1.0 - (f64::from(member.activity) / mean).min(1.0);
    (deficit * DEFICIT_WEIGHT).round() as u32
}

const fn load_weight(member: &Member) -> u32 {
    match member.load {
        LoadLevel::Normal => NORMAL_WEIGHT,
        LoadLevel::Busy => BUSY_WEIGHT,
        LoadLevel::Full => FULL_WEIGHT,
    }
}

fn to_entry(member: &Member) -> DirectoryEntry {
    DirectoryEntry {
        address: member.callers,
        zone: member.zone.clone(),
        weight: load_weight(member),
    }
}

/// Returns one round of smooth weighted round robin, in which the turns of each index are evenly spaced.
fn build_rotation(weights: &[u32]) -> Vec<usize> {
    let total: i64 = weights.iter().map(|weight| i64::from(*weight)).sum();
    let mut credits = vec![0_i64; weights.len()];
    let mut rotation = Vec::new();
    for _ in 0..total {
        for (credit, weight) in credits.iter_mut().zip(weights) {
            *credit += i64::from(*weight);
        }
        let selected = credits
            .iter()
            .enumerate()
            .max_by_key(|(index, credit)| (**credit, std::cmp::Reverse(*index)))
            .map(|(index, _)| index);
        if let Some(index) = selected {
            credits[index] -= total;
            rotation.push(index);
        }
    }
    rotation
}
