//! The partition of replicas and routers into cells.
//!
//! Every router computes the same cells from the same lists, so no agreement protocol is needed. The number
//! of cells is a power of two that depends only on the configured replicas, so a lost router or an added
//! replica shifts cell boundaries by at most one position. Routers with different lists may query an owner
//! with less information, which makes the choice worse but never incorrect.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::prefix::LevelKey;

/// The minimum number of replicas per cell, if there is more than one cell.
const MIN_REPLICAS_PER_CELL: usize = 16;
/// The minimum number of routers per cell, if there are enough routers.
const MIN_ROUTERS_PER_CELL: usize = 3;

/// The assignment of replicas and routers to cells. Both are identified by their index in the lists given to
/// [`Cells::new`].
#[derive(Clone, Debug, Default)]
pub struct Cells {
    cells: Vec<Cell>,
    cell_of_replica: Vec<usize>,
    router_hashes: Vec<u64>,
    replica_hashes: Vec<u64>,
}

#[derive(Clone, Debug, Default)]
struct Cell {
    hash: u64,
    replicas: Vec<usize>,
    routers: Vec<usize>,
}

impl Cells {
    /// Computes the cells of the `replicas` of a pool and the live `routers` of the deployment.
    #[must_use]
    pub fn new<T: AsRef<str>, U: AsRef<str>>(replicas: &[T], routers: &[U]) -> Self {
        let replica_hashes = hash_all(replicas);
        let router_hashes = hash_all(routers);
        let count = cell_count(replicas.len());
        let replicas_by_hash = order_by_hash(&replica_hashes);
        let routers_by_hash = order_by_hash(&router_hashes);
        let cells: Vec<_> = (0..count)
            .map(|index| Cell {
                hash: mix(index as u64),
                replicas: replicas_by_hash[hash_range(index, count, replicas.len())].to_vec(),
                routers: cell_routers(index, count, &routers_by_hash),
            })
            .collect();
        let mut cell_of_replica = vec![0; replicas.len()];
        for (index, cell) in cells.iter().enumerate() {
            for &replica in &cell.replicas {
                cell_of_replica[replica] = index;
            }
        }
        Self {
            cells,
            cell_of_replica,
            router_hashes,
            replica_hashes,
        }
    }

    /// Returns the number of cells.
    #[must_use]
    pub fn len(&self) -> usize {
        self.cells.len()
    }

    /// Returns whether there are no cells, as before the first configuration.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// Returns the indices of the replicas in `cell`.
    #[must_use]
    pub fn replicas(&self, cell: usize) -> &[usize] {
        self.cells.get(cell).map_or(&[], |c| &c.replicas)
    }

    /// Returns the indices of the routers in `cell`.
    #[must_use]
    pub fn routers(&self, cell: usize) -> &[usize] {
        self.cells.get(cell).map_or(&[], |c| &c.routers)
    }

    /// Returns the cell of the replica at index `replica`.
    #[must_use]
    pub fn cell_of_replica(&self, replica: usize) -> usize {
        self.cell_of_replica[replica]
    }

    /// Returns the `count` cells with the highest rendezvous weights for a prefix, highest first.
    #[must_use]
    pub fn preferred_cells(&self, key: LevelKey, count: usize) -> SmallVec<[usize; 4]> {
        top_by_weight(self.cells.iter().map(|c| c.hash).enumerate(), key, count)
    }

    /// Returns the `count` routers of `cell` with the highest rendezvous weights for a prefix, highest first.
    /// The first one owns the prefix.
    #[must_use]
    pub fn owners(&self, cell: usize, key: LevelKey, count: usize) -> SmallVec<[usize; 4]> {
        let routers = self.routers(cell).iter();
        top_by_weight(routers.map(|&r| (r, self.router_hashes[r])), key, count)
    }

    /// Returns the `count` home replicas of a prefix in `cell`: those with the highest rendezvous weights,
    /// highest first.
    #[must_use]
    pub fn home_replicas(&self, cell: usize, key: LevelKey, count: usize) -> SmallVec<[usize; 4]> {
        let replicas = self.replicas(cell).iter();
        top_by_weight(replicas.map(|&r| (r, self.replica_hashes[r])), key, count)
    }
}

/// Returns the `count` positions with the highest rendezvous weights for `key`, highest first.
fn top_by_weight(
    hashes: impl Iterator<Item = (usize, u64)>,
    key: LevelKey,
    count: usize,
) -> SmallVec<[usize; 4]> {
    let mut top: SmallVec<[(u64, usize); 4]> = SmallVec::new();
    for (position, hash) in hashes {
        let weight = mix(hash ^ key);
        let rank = top
            .iter()
            .position(|&(w, _)| weight > w)
            .unwrap_or(top.len());
        if rank < count {
            top.insert(rank, (weight, position));
            top.truncate(count);
        }
    }
    top.into_iter().map(|(_, position)| position).collect()
}

fn cell_count(replicas: usize) -> usize {
    let max_count = (replicas / MIN_REPLICAS_PER_CELL).max(1);
    1 << max_count.ilog2()
}

fn hash_all<T: AsRef<str>>(names: &[T]) -> Vec<u64> {
    names
        .iter()
        .map(|n| xxh3_64(n.as_ref().as_bytes()))
        .collect()
}

fn order_by_hash(hashes: &[u64]) -> Vec<usize> {
    let mut order: Vec<_> = (0..hashes.len()).collect();
    order.sort_unstable_by_key(|&i| (hashes[i], i));
    order
}

fn hash_range(index: usize, count: usize, len: usize) -> std::ops::Range<usize> {
    index * len / count..(index + 1) * len / count
}

/// Returns the routers of one cell: a contiguous range in hash order, extended to the minimum size if it is
/// shorter.
fn cell_routers(index: usize, count: usize, order: &[usize]) -> Vec<usize> {
    let range = hash_range(index, count, order.len());
    let len = range.len().max(MIN_ROUTERS_PER_CELL).min(order.len());
    (0..len)
        .map(|i| order[(range.start + i) % order.len()])
        .collect()
}

/// Mixes the bits of a word with the finalizer of splitmix64.
pub(crate) const fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
