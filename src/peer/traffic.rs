//! Counters of the traffic between routers, by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::peer::frame::Kind;

/// The traffic of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Frames sent.
    pub sent_frames: u64,
    /// Bytes sent, including length prefixes and authentication codes but not the TCP and IP headers.
    pub sent_bytes: u64,
    /// Frames received.
    pub received_frames: u64,
    /// Bytes received, measured like the sent ones.
    pub received_bytes: u64,
    /// Frames dropped because a queue was full or there was no connection.
    pub dropped_frames: u64,
}

/// The counters of all kinds since the process started.
#[derive(Debug, Default)]
pub struct TrafficByKind {
    counts: [Counts; Kind::ALL.len()],
}

#[derive(Debug, Default)]
struct Counts {
    sent_frames: AtomicU64,
    sent_bytes: AtomicU64,
    received_frames: AtomicU64,
    received_bytes: AtomicU64,
    dropped_frames: AtomicU64,
}

impl TrafficByKind {
    /// Returns the counters of `kind`.
    #[must_use]
    pub fn get(&self, kind: Kind) -> Traffic {
        let counts = self.counts_of(kind);
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Traffic {
            sent_frames: load(&counts.sent_frames),
            sent_bytes: load(&counts.sent_bytes),
            received_frames: load(&counts.received_frames),
            received_bytes: load(&counts.received_bytes),
            dropped_frames: load(&counts.dropped_frames),
        }
    }

    pub(crate) fn add_sent(&self, kind: Kind, bytes: usize) {
        let counts = self.counts_of(kind);
        counts.sent_frames.fetch_add(1, Ordering::Relaxed);
        counts.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        metrics::counter!("crocuswharf_peer_bytes_total", "kind" => kind.label(), "direction" => "sent")
            .increment(bytes as u64);
    }

    pub(crate) fn add_received(&self, kind: Kind, bytes: usize) {
        let counts = self.counts_of(kind);
        counts.received_frames.fetch_add(1, Ordering::Relaxed);
        counts
            .received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
        metrics::counter!("crocuswharf_peer_bytes_total", "kind" => kind.label(), "direction" => "received")
            .increment(bytes as u64);
    }

    pub(crate) fn add_dropped(&self, kind: Kind) {
        self.counts_of(kind)
            .dropped_frames
            .fetch_add(1, Ordering::Relaxed);
        metrics::counter!("crocuswharf_peer_dropped_frames_total", "kind" => kind.label())
            .increment(1);
    }

    fn counts_of(&self, kind: Kind) -> &Counts {
        &self.counts[kind as usize]
    }
}
