//! A model of an engine: an LRU prefix cache, one prefill at a time and a fixed number of decode slots.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crocuswharf::{InstanceTag, LevelKey, PromptPrefix, level_key};

/// The duration of a prefill in addition to the time for its tokens.
pub(crate) const STEP_SECS: f64 = 0.005;

/// A request that was sent to an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) request: usize,
    pub(crate) prefix: PromptPrefix,
    pub(crate) decode: Duration,
    /// The number of prompt tokens to compute, given the jobs ahead in the queue.
    pub(crate) uncached_tokens: u32,
}

/// The prefill in progress.
#[derive(Clone, Debug)]
pub(crate) struct Prefill {
    pub(crate) job: Job,
    pub(crate) cached_blocks: usize,
    pub(crate) cached_tokens: u32,
    pub(crate) end: Duration,
}

#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) incarnation: u64,
    pub(crate) is_up: bool,
    pub(crate) instance: InstanceTag,
    pub(crate) queue: VecDeque<Job>,
    pub(crate) prefill: Option<Prefill>,
    pub(crate) running: usize,
    /// The end times of the responses being decoded.
    pub(crate) decode_ends: Vec<Duration>,
    /// The time at which an additional request could start, if no other request arrives before it.
    pub(crate) free_at: Duration,
    pub(crate) cache: BlockCache,
    /// The cache after all queued jobs have run. Only maintained for the oracle.
    pub(crate) projected_cache: BlockCache,
    prefill_tokens_per_second: f64,
    decode_slots: usize,
}

impl Engine {
    pub(crate) fn new(
        prefill_tokens_per_second: f64,
        decode_slots: usize,
        cache_tokens: u64,
    ) -> Self {
        Self {
            incarnation: 1,
            is_up: true,
            instance: 0,
            queue: VecDeque::new(),
            prefill: None,
            running: 0,
            decode_ends: Vec::new(),
            free_at: Duration::ZERO,
            cache: BlockCache::new(cache_tokens),
            projected_cache: BlockCache::new(cache_tokens),
            prefill_tokens_per_second,
            decode_slots,
        }
    }

    /// Starts the next queued prefill if the engine computes none and has a free slot. Returns its end time.
    pub(crate) fn start_prefill(&mut self, now: Duration) -> Option<Duration> {
        if self.prefill.is_some() || self.running >= self.decode_slots {
            return None;
        }
        let job = self.queue.pop_front()?;
        let cached_blocks = self.cache.cached_blocks(&job.prefix);
        let cached_tokens = prefix_tokens(&job.prefix, cached_blocks);
        self.cache.touch(&job.prefix, cached_blocks);
        let uncached = job.prefix.prompt_tokens - cached_tokens;
        let end = now + Duration::from_secs_f64(self.prefill_secs(uncached));
        self.prefill = Some(Prefill {
            job,
            cached_blocks,
            cached_tokens,
            end,
        });
        self.running += 1;
        Some(end)
    }

    /// Adds a job to the projected cache and sets the number of tokens that it will have to compute.
    pub(crate) fn project_job(&mut self, job: &mut Job, answer_tokens: u32) {
        let cached = self.projected_cache.cached_blocks(&job.prefix);
        job.uncached_tokens = job.prefix.prompt_tokens - prefix_tokens(&job.prefix, cached);
        self.projected_cache.store(&job.prefix, answer_tokens);
    }

    /// Recomputes `free_at` from the engine's actual state, which no router knows.
    pub(crate) fn project_free_at(&mut self, now: Duration) {
        let mut free = now;
        let mut decode_ends = self.decode_ends.clone();
        if let Some(prefill) = &self.prefill {
            free = prefill.end;
            decode_ends.push(prefill.end + prefill.job.decode);
        }
        decode_ends.sort_unstable();
        for index in 0..self.queue.len() {
            let start = self.take_slot(&mut decode_ends, free);
            let job = &self.queue[index];
            free = start + Duration::from_secs_f64(self.prefill_secs(job.uncached_tokens));
            let end = free + job.decode;
            decode_ends.insert(decode_ends.partition_point(|&e| e < end), end);
        }
        self.free_at = self.take_slot(&mut decode_ends, free);
    }

    /// Takes a decode slot and returns when it is available, which is `free` at the earliest.
    fn take_slot(&self, decode_ends: &mut Vec<Duration>, free: Duration) -> Duration {
        if decode_ends.len() < self.decode_slots {
            return free;
        }
        decode_ends.remove(0).max(free)
    }

    /// Returns the prefill time of `tokens` in seconds.
    pub(crate) fn prefill_secs(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.prefill_tokens_per_second + STEP_SECS
    }

    /// Returns the number of requests that are queued or in prefill.
    pub(crate) fn waiting(&self) -> usize {
        self.queue.len() + usize::from(self.prefill.is_some())
    }

    /// Returns the number of prompt tokens that are queued or in prefill.
    pub(crate) fn waiting_tokens(&self) -> u64 {
        let queued = self.queue.iter().map(|j| &j.prefix);
        let current = self.prefill.iter().map(|p| &p.job.prefix);
        queued
            .chain(current)
            .map(|p| u64::from(p.prompt_tokens))
            .sum()
    }

    /// Stops the engine and clears its state. Returns the requests without a first token.
    pub(crate) fn crash(&mut self) -> Vec<Job> {
        self.is_up = false;
        self.incarnation += 1;
        self.running = 0;
        self.decode_ends.clear();
        self.free_at = Duration::ZERO;
        self.cache.clear();
        self.projected_cache.clear();
        let current = self.prefill.take().map(|p| p.job);
        current.into_iter().chain(self.queue.drain(..)).collect()
    }
}

/// Returns the number of tokens in the first `blocks` blocks of a prefix.
pub(crate) fn prefix_tokens(prefix: &PromptPrefix, blocks: usize) -> u32 {
    blocks
        .checked_sub(1)
        .map_or(0, |last| prefix.blocks[last].end_tokens)
}

/// An LRU cache of blocks. The blocks of one prefix are evicted from the end of the chain.
#[derive(Debug)]
pub(crate) struct BlockCache {
    capacity_tokens: u64,
    used_tokens: u64,
    use_count: u64,
    entries: HashMap<LevelKey, (u64, u32)>,
    lru_order: BTreeMap<u64, LevelKey>,
    /// The blocks evicted and stored since the last batch of cache events.
    pub(crate) evicted: Vec<LevelKey>,
    pub(crate) stored: Vec<LevelKey>,
}

impl BlockCache {
    fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            used_tokens: 0,
            use_count: 0,
            entries: HashMap::new(),
            lru_order: BTreeMap::new(),
            evicted: Vec::new(),
            stored: Vec::new(),
        }
    }

    pub(crate) fn cached_blocks(&self, prefix: &PromptPrefix) -> usize {
        let blocks = prefix.blocks.iter();
        blocks
            .take_while(|b| self.entries.contains_key(&level_key(b.hash)))
            .count()
    }

    /// Marks the first `blocks` blocks of a prefix as used.
    pub(crate) fn touch(&mut self, prefix: &PromptPrefix, blocks: usize) {
        self.use_count += 1;
        for (depth, block) in prefix.blocks.iter().take(blocks).enumerate() {
            let key = level_key(block.hash);
            let stamp = lru_stamp(self.use_count, depth);
            if let Some((old, _)) = self.entries.get_mut(&key) {
                self.lru_order.remove(old);
                *old = stamp;
                self.lru_order.insert(stamp, key);
            }
        }
    }

    /// Stores all blocks of a prefix and its response, then evicts blocks until the cache fits its capacity.
    pub(crate) fn store(&mut self, prefix: &PromptPrefix, answer_tokens: u32) {
        self.touch(prefix, prefix.blocks.len());
        let mut start = 0;
        for (depth, block) in prefix.blocks.iter().enumerate() {
            let key = level_key(block.hash);
            let tokens = std::mem::replace(&mut start, block.end_tokens);
            let tokens = block.end_tokens - tokens;
            if self.entries.contains_key(&key) {
                continue;
            }
            let is_last = depth + 1 == prefix.blocks.len();
            let tokens = tokens + if is_last { answer_tokens } else { 0 };
            let stamp = lru_stamp(self.use_count, depth);
            self.entries.insert(key, (stamp, tokens));
            self.lru_order.insert(stamp, key);
            self.used_tokens += u64::from(tokens);
            self.stored.push(key);
        }
        while self.used_tokens > self.capacity_tokens {
            let Some((_, key)) = self.lru_order.pop_first() else {
                break;
            };
            if let Some((_, tokens)) = self.entries.remove(&key) {
                self.used_tokens -= u64::from(tokens);
                self.evicted.push(key);
            }
        }
    }

    pub(crate) fn keys(&self) -> impl Iterator<Item = LevelKey> {
        self.entries.keys().copied()
    }

    fn clear(&mut self) {
        self.entries.clear();
        self.lru_order.clear();
        self.evicted.clear();
        self.stored.clear();
        self.used_tokens = 0;
    }
}

/// Returns a stamp that orders blocks by last use, and within one use from the end of the chain to its start.
fn lru_stamp(use_count: u64, depth: usize) -> u64 {
    use_count * 256 + (255 - depth.min(255) as u64)
}
