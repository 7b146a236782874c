//! A bounded cache of prompt pieces, evicted in order of last use.

use std::collections::{BTreeMap, HashMap};

use crocuswharf::{CacheEvent, CacheEventKind};

/// The cache events that are kept for readers.
const MAX_EVENTS: usize = 4_096;

/// The cache of one engine.
#[derive(Debug)]
pub(crate) struct PieceCache {
    capacity_tokens: u64,
    used_tokens: u64,
    last_use: u64,
    pieces: HashMap<u128, CachedPiece>,
    by_use: BTreeMap<u64, u128>,
    events: Vec<CacheEvent>,
    last_sequence: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPiece {
    tokens: u32,
    used: u64,
}

/// One piece of a prompt: its chained hash and its own tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PromptPiece {
    /// The hash of the prompt up to the piece's end.
    pub(crate) hash: u128,
    /// The tokens of this piece alone.
    pub(crate) tokens: u32,
}

impl PieceCache {
    /// Makes an empty cache of `capacity_tokens`.
    pub(crate) fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            used_tokens: 0,
            last_use: 0,
            pieces: HashMap::new(),
            by_use: BTreeMap::new(),
            events: Vec::new(),
            last_sequence: 0,
        }
    }

    /// Returns the tokens of the longest cached opening of `prompt`.
    pub(crate) fn warm_tokens(&self, prompt: &[PromptPiece]) -> u32 {
        prompt
            .iter()
            .take_while(|piece| self.pieces.contains_key(&piece.hash))
            .map(|piece| piece.tokens)
            .sum()
    }

    /// Caches every piece of `prompt` and evicts the least recently used others.
    pub(crate) fn insert(&mut self, prompt: &[PromptPiece]) {
        // The last pieces are touched first, so that an opening's end is evicted before its beginning.
        for piece in prompt.iter().rev() {
            self.touch(*piece);
        }
        while self.used_tokens > self.capacity_tokens {
            self.evict_oldest();
        }
    }

    /// Returns the events after `sequence`.
    pub(crate) fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|event| event.sequence > sequence)
            .cloned()
            .collect()
    }

    /// Forgets everything, as an engine does that loads other weights.
    pub(crate) fn clear(&mut self) {
        self.pieces.clear();
        self.by_use.clear();
        self.used_tokens = 0;
        self.push_event(CacheEventKind::Cleared, None);
    }

    fn touch(&mut self, piece: PromptPiece) {
        self.last_use += 1;
        let cached = CachedPiece {
            tokens: piece.tokens,
            used: self.last_use,
        };
        match self.pieces.insert(piece.hash, cached) {
            Some(before) => {
                self.by_use.remove(&before.used);
            }
            None => {
                self.used_tokens += u64::from(piece.tokens);
                self.push_event(CacheEventKind::Stored, Some(piece.hash));
            }
        }
        self.by_use.insert(self.last_use, piece.hash);
    }

    fn evict_oldest(&mut self) {
        let Some((_, hash)) = self.by_use.pop_first() else {
            return;
        };
        if let Some(piece) = self.pieces.remove(&hash) {
            self.used_tokens -= u64::from(piece.tokens);
        }
        self.push_event(CacheEventKind::Evicted, Some(hash));
    }

    fn push_event(&mut self, kind: CacheEventKind, hash: Option<u128>) {
        self.last_sequence += 1;
        if self.events.len() == MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
        self.events.push(CacheEvent {
            sequence: self.last_sequence,
            kind,
            piece: hash
                .map_or_else(String::new, |hash| format!("{hash:032x}"))
                .into(),
        });
    }
}
