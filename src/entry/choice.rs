//! A first choice of replica: rendezvous homes with bounded load.
//!
//! It stands in until the routing policy decides; it needs no state but the router's own requests in flight.

use std::sync::atomic::Ordering;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control::PoolView;
use crate::prefix::Opening;

/// The number of homes that an opening has.
const HOMES: usize = 3;

/// Chooses among the available replicas not in `excluded`, and returns the index.
pub(crate) fn choose(pool: &PoolView, opening: &Opening, excluded: &[usize]) -> Option<usize> {
    let homes = rank(pool, opening, excluded);
    homes
        .into_iter()
        .min_by_key(|&index| pool.replicas[index].in_flight.load(Ordering::Relaxed))
}

fn rank(pool: &PoolView, opening: &Opening, excluded: &[usize]) -> SmallVec<[usize; HOMES]> {
    let level = opening.pieces.len().saturating_sub(2).min(1);
    let hash = opening.pieces.get(level).map_or(0, |piece| piece.hash);
    let mut ranked: Vec<(u64, usize)> = pool
        .replicas
        .iter()
        .enumerate()
        .filter(|(index, view)| view.available && !excluded.contains(index))
        .map(|(index, view)| (score(hash, &view.replica.id), index))
        .collect();
    ranked.sort_unstable_by(|one, two| two.cmp(one));
    ranked
        .into_iter()
        .take(HOMES)
        .map(|(_, index)| index)
        .collect()
}

fn score(hash: u128, replica: &str) -> u64 {
    let seed = (hash ^ (hash >> 64)) as u64;
    xxh3_64_with_seed(replica.as_bytes(), seed)
}
