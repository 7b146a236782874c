//! The client side of recovery: selects the peers to request state from.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::recovery::message::{Section, StateChunk, StateRequest};

/// How long to wait for one chunk.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a router tries to recover before it continues without the missing state.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// The initial and the maximum backoff after a response from a peer that did not know the section. It doubles with each
/// such response.
const UNKNOWN_BACKOFF: (Duration, Duration) = (Duration::from_millis(5), Duration::from_secs(1));

/// A peer that can be asked for state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryPeer {
    /// The address where it listens for other routers.
    pub address: SocketAddr,
    /// Whether it is in the zone of the recovering router.
    pub in_zone: bool,
}

/// A request to send to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerRequest {
    /// The peer's address.
    pub to: SocketAddr,
    /// The request.
    pub request: StateRequest,
}

/// The state of a recovery.
#[derive(Debug)]
pub struct Recovery {
    started_at: Duration,
    sections: Vec<SectionProgress>,
}

#[derive(Debug)]
struct SectionProgress {
    section: Section,
    is_done: bool,
    peer: Option<SocketAddr>,
    /// When to send the next request, or when the outstanding request times out.
    next_at: Duration,
    is_waiting: bool,
    /// Consecutive responses from peers that did not know the section.
    unknown_responses: u32,
    generation: u64,
    next_item: u64,
    /// Peers that did not respond, did not know the section or sent an inconsistent chunk.
    excluded: BTreeSet<SocketAddr>,
}

impl Recovery {
    /// Creates a recovery of `sections`.
    #[must_use]
    pub fn new(sections: &[Section], now: Duration) -> Self {
        let progress = |section: &Section| SectionProgress {
            section: *section,
            is_done: false,
            peer: None,
            next_at: now,
            is_waiting: false,
            unknown_responses: 0,
            generation: 0,
            next_item: 0,
            excluded: BTreeSet::new(),
        };
        Self {
            started_at: now,
            sections: sections.iter().map(progress).collect(),
        }
    }

    /// Returns whether every section is complete or was given up.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.sections.iter().all(|progress| progress.is_done)
    }

    /// Returns the requests to send now to some of `peers`. Sections are requested in parallel.
    pub fn next_requests(
        &mut self,
        peers: &[RecoveryPeer],
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<PeerRequest> {
        let timed_out = now >= self.started_at + RECOVERY_TIMEOUT;
        let mut requests = Vec::new();
        for progress in self
            .sections
            .iter_mut()
            .filter(|progress| !progress.is_done)
        {
            if timed_out {
                progress.is_done = true;
            } else if progress.next_at <= now {
                requests.extend(progress.next_request(peers, now, rng));
            }
        }
        requests
    }

    /// Handles a chunk and returns its items. Each item is returned once per generation of the peer's state.
    pub fn handle_chunk(
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
        progress.handle_chunk(chunk, now)
    }
}

impl SectionProgress {
    fn next_request(
        &mut self,
        peers: &[RecoveryPeer],
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<PeerRequest> {
        if self.is_waiting {
            self.abandon_peer();
        }
        if self.peer.is_none() {
            self.peer = self.select_peer(peers, rng);
        }
        let to = self.peer?;
        self.is_waiting = true;
        self.next_at = now + RESPONSE_TIMEOUT;
        let request = StateRequest {
            section: self.section.into(),
            generation: self.generation,
            first_item: self.next_item,
        };
        Some(PeerRequest { to, request })
    }

    /// Selects a random peer that is not excluded, so that many restarting routers spread over the peers. Prefers the
    /// own zone.
    fn select_peer(&mut self, peers: &[RecoveryPeer], rng: &mut impl Rng) -> Option<SocketAddr> {
        let candidates: Vec<&RecoveryPeer> = peers
            .iter()
            .filter(|peer| !self.excluded.contains(&peer.address))
            .collect();
        if candidates.is_empty() {
            // Peers that had just started themselves may know the section by now.
            self.excluded.clear();
        }
        let in_zone: Vec<&RecoveryPeer> = candidates
            .iter()
            .copied()
            .filter(|peer| peer.in_zone)
            .collect();
        let selected = in_zone.choose(rng).or_else(|| candidates.choose(rng));
        selected.map(|peer| peer.address)
    }

    fn abandon_peer(&mut self) {
        self.excluded.extend(self.peer.take());
        self.is_waiting = false;
        self.generation = 0;
        self.next_item = 0;
    }

    fn handle_chunk(&mut self, chunk: StateChunk, now: Duration) -> Vec<Bytes> {
        self.is_waiting = false;
        self.next_at = now;
        if !chunk.is_known || chunk.generation == 0 {
            // All routers may have just started. Without the backoff, their requests to each other would become a load
            // of their own.
            let backoff = UNKNOWN_BACKOFF.0 * (1 << self.unknown_responses.min(16));
            self.next_at = now + backoff.min(UNKNOWN_BACKOFF.1);
            self.unknown_responses += 1;
            self.abandon_peer();
            return Vec::new();
        }
        self.unknown_responses = 0;
        if chunk.generation != self.generation {
            self.generation = chunk.generation;
            self.next_item = 0;
        }
        if chunk.first_item != self.next_item {
            self.abandon_peer();
            return Vec::new();
        }
        let items = chunk.items;
        self.next_item += items.len() as u64;
        if self.next_item > chunk.total_items {
            self.abandon_peer();
            return Vec::new();
        }
        self.next_at = now + Duration::from_millis(u64::from(chunk.retry_after_ms));
        self.is_done = self.next_item == chunk.total_items;
        items
    }
}
