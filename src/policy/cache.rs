//! A model of one replica's cache, from the placements that the cell knows of.
//!
//! Engines drop the least recently used entries first and the end of a chain before its beginning. Placements
//! are known in order, so the model drops what the engine is expected to drop, within seconds where the engine does.
//! Each answer tells how much was really warm: the model takes that as true and adjusts the capacity that it assumes.

use std::time::Duration;

use crate::prefix::{Level, LevelKey, PIECE_TOKENS};

/// The most entries kept for one replica, which bounds the model's memory.
pub(crate) const MAX_ENTRIES: usize = 192;

const CAPACITY_DOWN: f64 = 0.98;
const CAPACITY_UP: f64 = 1.01;
const MIN_CAPACITY_SHARE: f64 = 0.3;
const MAX_CAPACITY_SHARE: f64 = 1.0;

/// The entries that one replica is expected to hold.
#[derive(Clone, Debug)]
pub(crate) struct CacheModel {
    /// The entries from the least to the most recently used; of a chain used at once, the end stands first.
    entries: Vec<CacheEntry>,
    held_tokens: u64,
    configured_tokens: u64,
    capacity_share: f64,
}

/// One level of a chain, or the private end of one prompt, whose key nobody looks up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CacheEntry {
    pub(crate) key: LevelKey,
    pub(crate) start_tokens: u32,
    pub(crate) end_tokens: u32,
    pub(crate) held_tokens: u32,
    pub(crate) last_used: Duration,
}

impl CacheEntry {
    fn is_whole(&self) -> bool {
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

    /// Returns how many leading tokens of a chain are expected to be held.
    pub(crate) fn warm_tokens(&self, levels: &[Level]) -> u32 {
        let mut warm = 0;
        for level in levels {
            let Some(entry) = self.entries.iter().find(|e| e.key == level.key) else {
                break;
            };
            warm = entry.start_tokens + entry.held_tokens;
            if !entry.is_whole() {
                break;
            }
        }
        warm
    }

    /// Marks a chain as used at `now`, and drops what no longer fits.
    ///
    /// `rest_tokens` are those after the last level, which take room too.
    pub(crate) fn place(&mut self, levels: &[Level], rest_tokens: u32, now: Duration) {
        let leveled = levels.last().map_or(0, |l| l.end_tokens);
        if rest_tokens > 0 {
            self.hold(0, leveled, leveled + rest_tokens, now);
        }
        for (index, level) in levels.iter().enumerate().rev() {
            let start = index.checked_sub(1).map_or(0, |i| levels[i].end_tokens);
            self.hold(level.key, start, level.end_tokens, now);
        }
        self.shrink();
    }

    /// Learns that `warm_tokens` of a chain were held where `expected_tokens` had been expected.
    pub(crate) fn correct(&mut self, expected_tokens: u32, warm_tokens: u32) {
        let piece = PIECE_TOKENS as u32;
        if warm_tokens + piece <= expected_tokens {
            self.scale(CAPACITY_DOWN);
        } else if warm_tokens >= expected_tokens + piece {
            self.scale(CAPACITY_UP);
        }
    }

    /// Learns that the piece which ends the level `key` was dropped before `before`.
    pub(crate) fn evicted(&mut self, key: LevelKey, before: Duration) {
        let found = self.entries.iter().position(|e| e.key == key);
        let Some(index) = found.filter(|&i| self.entries[i].last_used < before) else {
            return;
        };
        self.drop_tokens(index, PIECE_TOKENS as u32);
    }

    pub(crate) fn entries(&self) -> &[CacheEntry] {
        &self.entries
    }

    /// Adds an entry of another router's model, where this one holds none that is younger.
    pub(crate) fn adopt(&mut self, entry: CacheEntry) {
        let known = self.entries.iter().position(|e| e.key == entry.key);
        if known.is_some_and(|i| self.entries[i].last_used >= entry.last_used) {
            return;
        }
        if let Some(index) = known {
            self.drop_tokens(index, u32::MAX);
        }
        self.held_tokens += u64::from(entry.held_tokens);
        let at = |e: &CacheEntry| e.last_used <= entry.last_used;
        let index = self.entries.partition_point(at);
        self.entries.insert(index, entry);
        self.shrink();
    }

    fn hold(&mut self, key: LevelKey, start: u32, end: u32, now: Duration) {
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

    /// Returns the entries that would be dropped, whole or in part, to make room for `tokens` more.
    pub(crate) fn victims(&self, tokens: u32) -> impl Iterator<Item = (LevelKey, u32)> {
        let after = self.held_tokens + u64::from(tokens);
        let mut excess = after.saturating_sub(self.capacity_tokens());
        self.entries.iter().map_while(move |entry| {
            let dropped = excess.min(entry.held_tokens.into());
            excess -= dropped;
            let dropped = u32::try_from(dropped).unwrap_or(u32::MAX);
            (dropped > 0).then_some((entry.key, dropped))
        })
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a share of a number of tokens"
    )]
    fn capacity_tokens(&self) -> u64 {
        (self.configured_tokens as f64 * self.capacity_share) as u64
    }

    fn scale(&mut self, factor: f64) {
        let share = self.capacity_share * factor;
        self.capacity_share = share.clamp(MIN_CAPACITY_SHARE, MAX_CAPACITY_SHARE);
        self.shrink();
    }

    fn shrink(&mut self) {
        let capacity = self.capacity_tokens();
        while self.held_tokens > capacity || self.entries.len() > MAX_ENTRIES {
            let excess = self.held_tokens.saturating_sub(capacity);
            let pieces = excess.div_ceil(PIECE_TOKENS as u64).max(1) * PIECE_TOKENS as u64;
            self.drop_tokens(0, u32::try_from(pieces).unwrap_or(u32::MAX));
        }
    }

    /// Drops `tokens` from the end of an entry, and the entry with its last one.
    fn drop_tokens(&mut self, index: usize, tokens: u32) {
        let entry = &mut self.entries[index];
        let dropped = tokens.min(entry.held_tokens);
        entry.held_tokens -= dropped;
        self.held_tokens -= u64::from(dropped);
        if entry.held_tokens == 0 {
            self.entries.remove(index);
        }
        assert!(
            self.entries.is_empty() == (self.held_tokens == 0),
            "a cache model without entries holds no tokens"
        );
    }
}
