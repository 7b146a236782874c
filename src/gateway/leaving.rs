//! Decides how a router that shuts down treats the requests that still arrive, and when it ends.
//!
//! Callers keep directory responses and connections for a while, so requests arrive long after the router has left the
//! directory. They are served for as long as callers may legitimately come, then refused as not run, each with a whole
//! response and `Connection: close`; no connection is closed under a caller before the router has been quiet for a
//! while. Rejected: closing connections once the directory responses have expired, because a caller that connects then
//! loses its request without an answer. See docs/operations/drains.md.
//!
//! Load patterns handled: a rolling restart under full load, with callers that connect anew after each response; callers
//! that can't reach any directory and keep using the last one; streams that last longer than the grace period.

use std::time::Duration;

/// Some callers cache a directory response for up to three times its lifetime.
const MAX_DIRECTORY_LIVES: u32 = 3;
/// The fraction of the grace period after which new requests are refused.
const SERVE_FRACTION_OF_GRACE: f64 = 0.65;
/// The fraction of the grace period after which the process ends even with open requests.
const END_FRACTION_OF_GRACE: f64 = 0.94;
/// The fraction of the grace period that is left after the end for writing the last responses.
const FLUSH_FRACTION_OF_GRACE: f64 = 0.03;
/// The fraction of the grace period after which the process exits even with log lines that nobody has read.
const EXIT_FRACTION_OF_GRACE: f64 = 0.98;
/// How long no request may have arrived before the process ends early.
const MIN_QUIET: Duration = Duration::from_millis(500);

/// What a router that shuts down does with new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeavePhase {
    /// Serves them, since callers may use a cached directory response.
    Serving,
    /// Refuses them as not run, while earlier ones are completed.
    Refusing,
    /// Closes each connection after its current response, and ends when all are closed.
    Closing,
}

/// The times of one shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaveSchedule {
    refuse_at: Duration,
    close_at: Duration,
    exit_at: Duration,
    quiet: Duration,
    flush: Duration,
}

impl LeaveSchedule {
    /// Creates the schedule of a shutdown that began at `begun` and has to end within `grace`.
    pub(crate) fn new(begun: Duration, grace: Duration, directory_life: Duration) -> Self {
        let serve =
            (directory_life * MAX_DIRECTORY_LIVES).min(grace.mul_f64(SERVE_FRACTION_OF_GRACE));
        Self {
            refuse_at: begun + serve,
            close_at: begun + grace.mul_f64(END_FRACTION_OF_GRACE),
            exit_at: begun + grace.mul_f64(EXIT_FRACTION_OF_GRACE),
            quiet: directory_life.max(MIN_QUIET),
            flush: grace.mul_f64(FLUSH_FRACTION_OF_GRACE),
        }
    }

    /// Returns the phase at `now`, given the number of open requests and when the last one arrived.
    pub(crate) fn phase(
        &self,
        now: Duration,
        open_requests: usize,
        last_arrival: Duration,
    ) -> LeavePhase {
        if !self.refuses_at(now) {
            return LeavePhase::Serving;
        }
        let is_quiet = open_requests == 0 && now >= last_arrival + self.quiet;
        if is_quiet || now >= self.close_at {
            return LeavePhase::Closing;
        }
        LeavePhase::Refusing
    }

    /// Returns whether requests that arrive at `now` are refused.
    pub(crate) fn refuses_at(&self, now: Duration) -> bool {
        now >= self.refuse_at
    }

    /// Returns how long responses may be written after the connections began to close.
    pub(crate) const fn flush_limit(&self) -> Duration {
        self.flush
    }

    /// Returns how long the process may still run at `now`.
    pub(crate) fn time_left(&self, now: Duration) -> Duration {
        self.exit_at.saturating_sub(now)
    }
}
