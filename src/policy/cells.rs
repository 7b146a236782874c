//! The partition of replicas and routers into cells.
//!
//! Every router computes the same cells from the same lists, so nothing has to be agreed. The number of cells depends on
//! the configured replicas alone and is a power of two, so that a lost router or one more replica moves cells' borders
//! by a place and no more. Two routers whose lists differ ask one that knows less: a worse guess, never a wrong answer.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::prefix::LevelKey;

/// The fewest replicas in a cell, where there is more than one.
const MIN_REPLICAS_PER_CELL: usize = 16;
/// The fewest routers in a cell, where there are as many.
const MIN_ROUTERS_PER_CELL: usize = 3;

/// Which replicas and routers belong to which cell, by their positions in the lists given to [`Cells::new`].
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
    /// Computes the cells of a pool's `replicas` and the deployment's live `routers`.
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
                replicas: replicas_by_hash[run(index, count, replicas.len())].to_vec(),
                routers: routers_of(index, count, &routers_by_hash),
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

    /// Tells whether there is no cell, which is so before the first configuration.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.cells.is_empty()
    }

    /// Returns the positions of the replicas of `cell`.
    #[must_use]
    pub fn replicas(&self, cell: usize) -> &[usize] {
        self.cells.get(cell).map_or(&[], |c| &c.replicas)
    }

    /// Returns the positions of the routers of `cell`.
    #[must_use]
    pub fn routers(&self, cell: usize) -> &[usize] {
        self.cells.get(cell).map_or(&[], |c| &c.routers)
    }

    /// Returns the cell that the replica at `position` belongs to.
    #[must_use]
    pub fn cell_of_replica(&self, position: usize) -> usize {
        self.cell_of_replica[position]
    }

    /// Returns the `count` cells that an opening prefers, the best first.
    #[must_use]
    pub fn cells_of(&self, key: LevelKey, count: usize) -> SmallVec<[usize; 4]> {
        best(self.cells.iter().map(|c| c.hash).enumerate(), key, count)
    }

    /// Returns the `count` routers of `cell` that an opening prefers as its owner, the best first.
    #[must_use]
    pub fn owners_of(&self, cell: usize, key: LevelKey, count: usize) -> SmallVec<[usize; 4]> {
        let routers = self.routers(cell).iter();
        best(routers.map(|&r| (r, self.router_hashes[r])), key, count)
    }

    /// Returns the `count` replicas of `cell` that an opening prefers as its homes, the best first.
    #[must_use]
    pub fn homes_of(&self, cell: usize, key: LevelKey, count: usize) -> SmallVec<[usize; 4]> {
        let replicas = self.replicas(cell).iter();
        best(replicas.map(|&r| (r, self.replica_hashes[r])), key, count)
    }
}

/// Returns the `count` positions with the highest rendezvous weights for `key`, the highest first.
fn best(
    hashes: impl Iterator<Item = (usize, u64)>,
    key: LevelKey,
    count: usize,
) -> SmallVec<[usize; 4]> {
    let mut kept: SmallVec<[(u64, usize); 4]> = SmallVec::new();
    for (position, hash) in hashes {
        let weight = mix(hash ^ key);
        let rank = kept
            .iter()
            .position(|&(w, _)| weight > w)
            .unwrap_or(kept.len());
        if rank < count {
            kept.insert(rank, (weight, position));
            kept.truncate(count);
        }
    }
    kept.into_iter().map(|(_, position)| position).collect()
}

fn cell_count(replicas: usize) -> usize {
    let most = (replicas / MIN_REPLICAS_PER_CELL).max(1);
    1 << most.ilog2()
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

fn run(index: usize, count: usize, len: usize) -> std::ops::Range<usize> {
    index * len / count..(index + 1) * len / count
}

/// Takes the routers of one cell as a run in hash order, made longer where it would be too short.
fn routers_of(index: usize, count: usize, order: &[usize]) -> Vec<usize> {
    let range = run(index, count, order.len());
    let len = range.len().max(MIN_ROUTERS_PER_CELL).min(order.len());
    (0..len)
        .map(|i| order[(range.start + i) % order.len()])
        .collect()
}

/// Mixes the bits of a word, as the finaliser of splitmix64 does.
pub(crate) const fn mix(word: u64) -> u64 {
    let word = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
