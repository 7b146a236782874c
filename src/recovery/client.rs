//! The side that restarts: which peer to ask for what, and when to go elsewhere.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::recovery::message::{Section, StateChunk, StateRequest};

/// How long a peer may take for one chunk.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a router goes on asking before it does without.
const GIVE_UP_AFTER: Duration = Duration::from_secs(30);

/// The first pause after a peer that did not know a section, which doubles with each, and the longest.
const UNKNOWN_PAUSE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_secs(1));

/// A peer that may be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryPeer {
    /// Where it listens for routers.
    pub address: SocketAddr,
    /// Whether it stands in the asking router's zone.
    pub in_zone: bool,
}

/// A request to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The peer.
    pub to: SocketAddr,
    /// What to ask.
    pub request: StateRequest,
}

/// The state of a recovery.
#[derive(Debug)]
pub struct Recovery {
    begun: Duration,
    sections: Vec<Progress>,
}

#[derive(Debug)]
struct Progress {
    section: Section,
    is_done: bool,
    peer: Option<SocketAddr>,
    /// When to ask next, or when the wait for an answer ends.
    next: Duration,
    is_waiting: bool,
    /// Answers in a row of peers that did not know the section.
    unknown_answers: u32,
    generation: u64,
    next_item: u64,
    /// Peers that did not answer or did not know the section.
    useless: BTreeSet<SocketAddr>,
}

impl Recovery {
    /// Begins to recover `sections`.
    #[must_use]
    pub fn new(sections: &[Section], now: Duration) -> Self {
        let progress = |section: &Section| Progress {
            section: *section,
            is_done: false,
            peer: None,
            next: now,
            is_waiting: false,
            unknown_answers: 0,
            generation: 0,
            next_item: 0,
            useless: BTreeSet::new(),
        };
        Self {
            begun: now,
            sections: sections.iter().map(progress).collect(),
        }
    }

    /// Tells whether every section has been taken over or given up.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.sections.iter().all(|progress| progress.is_done)
    }

    /// Returns what to ask now of which of `peers`; sections go to peers side by side.
    pub fn next(&mut self, peers: &[RecoveryPeer], now: Duration, rng: &mut impl Rng) -> Vec<Ask> {
        let gives_up = now >= self.begun + GIVE_UP_AFTER;
        let mut asks = Vec::new();
        for progress in self
            .sections
            .iter_mut()
            .filter(|progress| !progress.is_done)
        {
            if gives_up {
                progress.is_done = true;
            } else if progress.next <= now {
                asks.extend(progress.ask(peers, now, rng));
            }
        }
        asks
    }

    /// Takes a chunk and returns its items, each of which is returned once per generation of the peer's state.
    pub fn take(
        &mut self,
        from: SocketAddr,
        section: Section,
        chunk: StateChunk,
        now: Duration,
    ) -> Vec<Bytes> {
        let progress = self
            .sections
            .iter_mut()
            .find(|progress| progress.section == section);
        let Some(progress) = progress else {
            return Vec::new();
        };
        if progress.is_done || !progress.is_waiting || progress.peer != Some(from) {
            return Vec::new();
        }
        progress.take(chunk, now)
    }
}

impl Progress {
    fn ask(&mut self, peers: &[RecoveryPeer], now: Duration, rng: &mut impl Rng) -> Option<Ask> {
        if self.is_waiting {
            self.leave_peer();
        }
        if self.peer.is_none() {
            self.peer = self.choose(peers, rng);
        }
        let to = self.peer?;
        self.is_waiting = true;
        self.next = now + ANSWER_TIMEOUT;
        let request = StateRequest {
            section: self.section.into(),
            generation: self.generation,
            first_item: self.next_item,
        };
        Some(Ask { to, request })
    }

    /// Chooses among the peers that were not useless, at random so that a herd spreads, those of the zone first.
    fn choose(&mut self, peers: &[RecoveryPeer], rng: &mut impl Rng) -> Option<SocketAddr> {
        let useful: Vec<&RecoveryPeer> = peers
            .iter()
            .filter(|peer| !self.useless.contains(&peer.address))
            .collect();
        if useful.is_empty() {
            // Those that have just started themselves may know more by now.
            self.useless.clear();
        }
        let in_zone: Vec<&RecoveryPeer> =
            useful.iter().copied().filter(|peer| peer.in_zone).collect();
        let chosen = in_zone.choose(rng).or_else(|| useful.choose(rng));
        chosen.map(|peer| peer.address)
    }

    fn leave_peer(&mut self) {
        self.useless.extend(self.peer.take());
        self.is_waiting = false;
        self.generation = 0;
        self.next_item = 0;
    }

    fn take(&mut self, chunk: StateChunk, now: Duration) -> Vec<Bytes> {
        self.is_waiting = false;
        self.next = now;
        if !chunk.is_known || chunk.generation == 0 {
            // All may have just started; asking them round and round must not become a load of its own.
            let pause = UNKNOWN_PAUSE.0 * (1 << self.unknown_answers.min(16));
            self.next = now + pause.min(UNKNOWN_PAUSE.1);
            self.unknown_answers += 1;
            self.leave_peer();
            return Vec::new();
        }
        self.unknown_answers = 0;
        if chunk.generation != self.generation {
            self.generation = chunk.generation;
            self.next_item = 0;
        }
        if chunk.first_item != self.next_item {
            self.leave_peer();
            return Vec::new();
        }
        let items = chunk.items;
        self.next_item += items.len() as u64;
        if self.next_item > chunk.total_items {
            self.leave_peer();
            return Vec::new();
        }
        self.next = now + Duration::from_millis(u64::from(chunk.retry_after_ms));
        self.is_done = self.next_item == chunk.total_items;
        items
    }
}
