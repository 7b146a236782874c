//! Decides when a stream that is relayed makes no progress, and when it ends.
//!
//! An event with a field is progress of a stream that another replica may resume. Bytes of an incomplete event and comments
//! are not: a replica that is stuck may go on sending them. Other responses end at their deadline only.
//!
//! Rejected: counting all bytes, because a replica that sends one now and then keeps its stream until the deadline.
//! Rejected: ending a response at the deadline although its caller is still taking bytes that have arrived, because a slow
//! caller is no fault of the stream.
//!
//! Load patterns handled: replicas that send a byte now and then, events that come slowly, callers that read slowly, and
//! callers that read so slowly that they would keep a replica's connection without end.

use std::time::Duration;

/// How long after the deadline a replica may take to end its response itself.
const DEADLINE_SLACK: Duration = Duration::from_millis(200);
/// How long after the deadline a caller may take bytes that its replica has ready.
const SLOW_CALLER_LIMIT: Duration = Duration::from_secs(30);
/// How long a resumable stream may be silent before another replica may resume it.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(1_200);
/// How often a stream that is silent for longer is checked again.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The progress of a stream at one replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamProgress {
    is_resumable: bool,
    late_at: Duration,
    silent_since: Duration,
    check_at: Duration,
}

/// What follows if nothing has arrived for the time that [`StreamProgress::wait`] returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lack {
    /// The deadline has passed.
    Late,
    /// The stream is silent since this time, and another replica may resume it.
    Silent(Duration),
    /// The next bytes are awaited.
    None,
}

impl StreamProgress {
    /// Begins with a stream whose head has arrived at `now`.
    pub(crate) fn new(deadline: Duration, is_resumable: bool, now: Duration) -> Self {
        Self {
            is_resumable,
            late_at: deadline + DEADLINE_SLACK,
            silent_since: now,
            check_at: now + SILENCE_LIMIT,
        }
    }

    /// Records bytes to forward, and returns whether they are progress.
    pub(crate) fn record(&mut self, bytes: &[u8], now: Duration) -> bool {
        let is_progress = !self.is_resumable || has_fields(bytes);
        if is_progress {
            self.silent_since = now;
            self.check_at = now + SILENCE_LIMIT;
        }
        is_progress
    }

    /// Returns how long the next bytes are awaited. Those that have arrived by then are taken also if it is zero.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        let until = match self.is_resumable {
            true => self.late_at.min(self.check_at),
            false => self.late_at,
        };
        until.saturating_sub(now)
    }

    /// Returns what follows if no bytes have arrived until `now`.
    pub(crate) fn lack(&mut self, now: Duration) -> Lack {
        if now >= self.late_at {
            return Lack::Late;
        }
        if !self.is_resumable || now < self.check_at {
            return Lack::None;
        }
        self.check_at = now + SILENCE_CHECK_INTERVAL;
        Lack::Silent(self.silent_since)
    }

    /// Returns how long the caller may still take bytes that have arrived.
    pub(crate) fn time_for_caller(&self, now: Duration) -> Duration {
        (self.late_at + SLOW_CALLER_LIMIT).saturating_sub(now)
    }
}

/// Returns whether complete events have a line that is neither blank nor a comment.
pub(crate) fn has_fields(events: &[u8]) -> bool {
    let mut lines = events.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}
