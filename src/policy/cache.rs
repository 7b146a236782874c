//! A model of the prefix cache of one replica, derived from the placements known in the cell.
//!
//! Engines evict the least recently used entries first, and the end of a chain before its beginning. The
//! placements are known in order, so the model predicts the evictions, to within seconds of the engine. Each
//! response reports how many tokens were actually cached; the model adjusts its assumed capacity accordingly.

use std::time::Duration;

use crate::prefix::{BLOCK_TOKENS, Level, LevelKey};

/// The maximum number of entries per replica, which bounds the memory of the model.
pub(crate) const MAX_ENTRIES: usize = 192;

/// The factor for the assumed capacity when a response reports fewer cached tokens than expected.
const CAPACITY_DECREASE: f64 = 0.98;
/// The factor for the assumed capacity when a response reports more cached tokens than expected.
const CAPACITY_INCREASE: f64 = 1.01;
/// The bounds of the assumed capacity, as a fraction of the configured one.
const MIN_CAPACITY_SHARE: f64 = 0.3;
const MAX_CAPACITY_SHARE: f64 = 1.0;

/// The entries that one replica is expected to have cached.
#[derive(Clone, Debug)]
pub(crate) struct CacheModel {
    /// The entries from least to most recently used. Entries of one chain that were used together are in
    /// reverse order.
    entries: Vec<CacheEntry>,
    held_tokens: u64,
    configured_tokens: u64,
    capacity_share: f64,
}

/// One level of a chain, or the unindexed end of one prompt, which has key 0 and is never looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CacheEntry {
    pub(crate) key: LevelKey,
    pub(crate) start_tokens: u32,
    pub(crate) end_tokens: u32,
    pub(crate) held_tokens: u32,
    pub(crate) last_used: Duration,
}

impl CacheEntry {
    fn is_complete(&self) -> bool {
        self.held_tokens >= self.end_tokens - self.start_tokens
    }
}

impl CacheModel {
    pub(crate) fn new(configured_tokens: u64) -> Self {
        Self {
            entries: Vec::new(),
            held_tokens: 0,
            configured_tokens,
            capacity_share: 1.0,
        }
    }

    /// Returns the number of leading tokens of a chain that are expected to be cached.
    pub(crate) fn warm_tokens(&self, levels: &[Level]) -> u32 {
        let mut warm = 0;
        for level in levels {
            let Some(entry) = self.entries.iter().find(|e| e.key == level.key) else {
                break;
            };
            warm = entry.start_tokens + entry.held_tokens;
            if !entry.is_complete() {
                break;
            }
        }
        warm
    }

    /// Records a use of a chain at `now` and evicts the entries that exceed the capacity.
    ///
    /// `rest_tokens` is the number of tokens after the last level, which also occupy the cache.
    pub(crate) fn record_use(&mut self, levels: &[Level], rest_tokens: u32, now: Duration) {
        let indexed = levels.last().map_or(0, |l| l.end_tokens);
        if rest_tokens > 0 {
            self.insert_newest(0, indexed, indexed + rest_tokens, now);
        }
        for (index, level) in levels.iter().enumerate().rev() {
            let start = index.checked_sub(1).map_or(0, |i| levels[i].end_tokens);
            self.insert_newest(level.key, start, level.end_tokens, now);
        }
        self.evict_excess();
    }

    /// Adjusts the assumed capacity after a response reported `warm_tokens` cached tokens instead of
    /// `expected_tokens`.
    pub(crate) fn adjust_capacity(&mut self, expected_tokens: u32, warm_tokens: u32) {
        let block = BLOCK_TOKENS as u32;
        if warm_tokens + block <= expected_tokens {
            self.scale_capacity(CAPACITY_DECREASE);
        } else if warm_tokens >= expected_tokens + block {
            self.scale_capacity(CAPACITY_INCREASE);
        }
    }

    /// Applies the eviction, not later than `before`, of the last block of the level `key`.
    pub(crate) fn apply_eviction(&mut self, key: LevelKey, before: Duration) {
        let found = self.entries.iter().position(|e| e.key == key);
        let Some(index) = found.filter(|&i| self.entries[i].last_used < before) else {
            return;
        };
        self.evict_tokens(index, BLOCK_TOKENS as u32);
    }

    pub(crate) fn entries(&self) -> &[CacheEntry] {
        &self.entries
    }

    /// Merges an entry of another router's model, unless this model's entry was used at the same time or later.
    pub(crate) fn merge(&mut self, entry: CacheEntry) {
        let known = self.entries.iter().position(|e| e.key == entry.key);
        if known.is_some_and(|i| self.entries[i].last_used >= entry.last_used) {
            return;
        }
        if let Some(index) = known {
            self.evict_tokens(index, u32::MAX);
        }
        self.held_tokens += u64::from(entry.held_tokens);
        let is_older = |e: &CacheEntry| e.last_used <= entry.last_used;
        let index = self.entries.partition_point(is_older);
        self.entries.insert(index, entry);
        self.evict_excess();
    }

    fn insert_newest(&mut self, key: LevelKey, start: u32, end: u32, now: Duration) {
        let tokens = end.saturating_sub(start);
        let found = self.entries.iter().position(|e| e.key == key && key != 0);
        if let Some(index) = found {
            let old = self.entries.remove(index);
            self.held_tokens -= u64::from(old.held_tokens);
        }
        self.held_tokens += u64::from(tokens);
        self.entries.push(CacheEntry {
            key,
            start_tokens: start,
            end_tokens: end,
            held_tokens: tokens,
            last_used: now,
        });
    }

    /// Returns the entries that would be evicted, in full or in part, to cache `tokens` more tokens.
    pub(crate) fn eviction_victims(&self, tokens: u32) -> impl Iterator<Item = (LevelKey, u32)> {
        let after = self.held_tokens + u64::from(tokens);
        let mut excess = after.saturating_sub(self.capacity_tokens());
        self.entries.iter().map_while(move |entry| {
            let evicted = excess.min(entry.held_tokens.into());
            excess -= evicted;
            let evicted = u32::try_from(evicted).unwrap_or(u32::MAX);
            (evicted > 0).then_some((entry.key, evicted))
        })
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a fraction of a token count"
    )]
    fn capacity_tokens(&self) -> u64 {
        (self.configured_tokens as f64 * self.capacity_share) as u64
    }

    fn scale_capacity(&mut self, factor: f64) {
        let share = self.capacity_share * factor;
        self.capacity_share = share.clamp(MIN_CAPACITY_SHARE, MAX_CAPACITY_SHARE);
        self.evict_excess();
    }

    fn evict_excess(&mut self) {
        let capacity = self.capacity_tokens();
        while self.held_tokens > capacity || self.entries.len() > MAX_ENTRIES {
            let excess = self.held_tokens.saturating_sub(capacity);
            let tokens = excess.div_ceil(BLOCK_TOKENS as u64).max(1) * BLOCK_TOKENS as u64;
            self.evict_tokens(0, u32::try_from(tokens).unwrap_or(u32::MAX));
        }
    }

    /// Evicts `tokens` from the end of an entry, and removes the entry when none are left.
    fn evict_tokens(&mut self, index: usize, tokens: u32) {
        let entry = &mut self.entries[index];
        let evicted = tokens.min(entry.held_tokens);
        entry.held_tokens -= evicted;
        self.held_tokens -= u64::from(evicted);
        if entry.held_tokens == 0 {
            self.entries.remove(index);
        }
        assert!(
            self.entries.is_empty() == (self.held_tokens == 0),
            "the held tokens of the cache model do not match its entries"
        );
    }
}
