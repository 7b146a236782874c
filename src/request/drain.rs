//! Graceful shutdown of a router, which doesn't abort requests in flight.
//!
//! Callers cache a directory response for its TTL and connect to the addresses in it, so a leaving router keeps
//! accepting connections until the last response that names it has expired. Further signals have no effect: an
//! impatient supervisor must not abort a payment. Requests are aborted only when the limit set by the operator expires,
//! and they are reported. See docs/operations/drains.md.

use std::time::Duration;

use crate::id::RequestId;

/// Maximum time for the handover to peers once no request is in flight.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// The phases of a graceful shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// The router serves normally.
    Serving,
    /// The router is no longer in the directory but still accepts requests, because callers hold responses that name
    /// it.
    OutOfDirectory,
    /// The router no longer accepts requests; those in flight run to completion.
    Draining,
    /// Claims and the view of cached prompt prefixes are handed over to peers.
    HandingOver,
    /// The process may exit.
    Done,
}

/// An action that the I/O layer must execute when the drain advances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Announce to peers that this router is leaving, and remove it from directory responses.
    LeaveDirectory,
    /// Close the listener, and refuse new requests on open connections.
    StopAccepting,
    /// Hand over abandoned claims, outcomes not yet recorded and the view of cached prompt prefixes to peers.
    HandOver,
    /// Abort and log these requests, because the operator's limit has expired.
    Abort(Vec<RequestId>),
    /// Exit the process.
    Exit,
}

/// The state of a graceful shutdown.
#[derive(Clone, Debug)]
pub struct Drain {
    phase: DrainPhase,
    directory_ttl: Duration,
    limit: Option<Duration>,
    began_at: Duration,
    phase_began_at: Duration,
}

impl Drain {
    /// Creates the drain of a router whose directory responses are valid for `directory_ttl`.
    ///
    /// `limit` is the operator's maximum time from the signal to the exit. Without a limit, the drain waits for
    /// requests in flight indefinitely.
    #[must_use]
    pub const fn new(directory_ttl: Duration, limit: Option<Duration>) -> Self {
        Self {
            phase: DrainPhase::Serving,
            directory_ttl,
            limit,
            began_at: Duration::ZERO,
            phase_began_at: Duration::ZERO,
        }
    }

    /// Returns the current phase.
    #[must_use]
    pub const fn phase(&self) -> DrainPhase {
        self.phase
    }

    /// Returns whether new requests are accepted.
    #[must_use]
    pub fn accepts(&self) -> bool {
        self.phase <= DrainPhase::OutOfDirectory
    }

    /// Handles a shutdown signal; only the first has an effect.
    pub fn signal(&mut self, now: Duration) -> Option<DrainAction> {
        if self.phase != DrainPhase::Serving {
            return None;
        }
        self.began_at = now;
        self.enter(DrainPhase::OutOfDirectory, now);
        Some(DrainAction::LeaveDirectory)
    }

    /// Records that peers have received the handover.
    pub fn handed_over(&mut self, now: Duration) -> Option<DrainAction> {
        if self.phase != DrainPhase::HandingOver {
            return None;
        }
        self.enter(DrainPhase::Done, now);
        Some(DrainAction::Exit)
    }

    /// Returns when [`poll`](Self::poll) should next be called, or `None` if only the end of a request can cause
    /// progress.
    #[must_use]
    pub fn next_poll(&self) -> Option<Duration> {
        let limit = self.limit.map(|limit| self.began_at + limit);
        match self.phase {
            DrainPhase::Serving | DrainPhase::Done => None,
            DrainPhase::OutOfDirectory => {
                let ttl_ends_at = self.phase_began_at + self.directory_ttl;
                Some(limit.map_or(ttl_ends_at, |limit| limit.min(ttl_ends_at)))
            }
            DrainPhase::Draining => limit,
            DrainPhase::HandingOver => Some(self.phase_began_at + HANDOVER_TIMEOUT),
        }
    }

    /// Advances the drain; must be called when due and whenever a request ends.
    ///
    /// `in_flight` lists the requests that have not ended.
    pub fn poll(&mut self, in_flight: &[RequestId], now: Duration) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        while let Some(action) = self.advance(in_flight, now) {
            actions.push(action);
        }
        actions
    }

    fn advance(&mut self, in_flight: &[RequestId], now: Duration) -> Option<DrainAction> {
        let is_over_limit = self.limit.is_some_and(|limit| now >= self.began_at + limit);
        match self.phase {
            DrainPhase::Serving | DrainPhase::Done => None,
            DrainPhase::OutOfDirectory => {
                let is_ttl_over = now >= self.phase_began_at + self.directory_ttl;
                (is_ttl_over || is_over_limit).then(|| {
                    self.enter(DrainPhase::Draining, now);
                    DrainAction::StopAccepting
                })
            }
            DrainPhase::Draining if in_flight.is_empty() => {
                self.enter(DrainPhase::HandingOver, now);
                Some(DrainAction::HandOver)
            }
            DrainPhase::Draining if is_over_limit => {
                self.enter(DrainPhase::HandingOver, now);
                Some(DrainAction::Abort(in_flight.to_vec()))
            }
            DrainPhase::Draining => None,
            DrainPhase::HandingOver => {
                let is_timed_out = now >= self.phase_began_at + HANDOVER_TIMEOUT;
                (is_timed_out || is_over_limit).then(|| {
                    self.enter(DrainPhase::Done, now);
                    DrainAction::Exit
                })
            }
        }
    }

    fn enter(&mut self, phase: DrainPhase, now: Duration) {
        assert!(phase > self.phase, "drain phases must advance");
        self.phase = phase;
        self.phase_began_at = now;
    }
}
