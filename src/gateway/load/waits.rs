//! How long requests wait at a replica before it begins them, from what routers have observed of late.
//!
//! No request may begin on weights later than a bound after newer ones were named, so a request is sent to older weights
//! only if it will probably begin in time. Prompt tokens alone don't tell: at a full replica a request waits for a slot, for
//! memory or behind the output of others. Each router observes the time from the send of a request to its first
//! event, and the ages of its requests that have not begun. The largest figure of any router counts, because most
//! routers have few requests at a replica.
//!
//! Load patterns handled: a full replica with a long queue, whatever its requests wait for (the wait of the last ones is
//! that of the next one); a replica that begins nothing (the oldest request waits longer and longer); one quick and one slow
//! replica (each has its own figure); a replica that has become quick again (its former waits are forgotten after
//! [`WINDOW_PARTS`] s); few requests at each router (figures of all routers); no traffic (no figure, nothing is sent); a
//! router that is cut off from replicas (its waiting requests are reported only while any replica responds to it).
//!
//! Requests with a higher priority go first at replicas. There is one figure for all of them, that of those that wait
//! longest: a figure for each priority would be seen by fewer requests, and the one of an urgent request is too large, which is
//! the safe side. A request of low priority that follows urgent ones only may wait longer than expected.
//!
//! Rejected: the requests ahead divided by the rate of begins, since routers know neither how many of the requests in flight
//! have begun nor how many an engine begins at once; a mean or a median, which half of the requests exceed; a request that ended without
//! a begin as an observation, since it may have been refused, or have been lost with its connection.

use std::time::Duration;

use smallvec::SmallVec;

use super::reports::LoadSample;
use crate::gateway::placement::expected_wait;

/// The number of seconds, the present one included, whose begins are remembered.
const WINDOW_PARTS: usize = 3;
/// The shortest wait that counts. The margin before the bound covers shorter ones many times over.
const MIN_WAIT: Duration = Duration::from_millis(300);
/// The longest wait that a router claims or believes; no caller waits for longer.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The time without a response of any replica after which this router may be cut off from them. Its requests then wait
/// for the link, which says nothing about replicas.
const MAX_LINK_SILENCE: Duration = Duration::from_secs(1);
/// The unit of waits in reports, in milliseconds.
const REPORT_UNIT_MS: u64 = 100;
/// By how much the expected wait of a request is multiplied that can't be taken back without harm.
const NON_RETRYABLE_FACTOR: u32 = 2;

/// The waits of this router's requests at one replica.
#[derive(Debug, Default)]
pub(crate) struct BeginWaits {
    /// The longest times to the first event of those that began in the last seconds, the present one first.
    begun: [Duration; WINDOW_PARTS],
    /// The second to which the first of `begun` belongs.
    begun_second: u64,
    /// When the requests were sent that have not begun.
    waiting: SmallVec<[Duration; 4]>,
}

impl BeginWaits {
    /// Records that a request is sent.
    pub(crate) fn record_send(&mut self, sent_at: Duration) {
        self.waiting.push(sent_at);
    }

    /// Records the first event of the request that was sent at `sent_at`.
    pub(crate) fn record_begin(&mut self, sent_at: Duration, now: Duration) {
        self.end_wait(sent_at);
        self.advance(now);
        self.begun[0] = self.begun[0].max(now.saturating_sub(sent_at));
    }

    /// Records that the request that was sent at `sent_at` no longer waits.
    pub(crate) fn end_wait(&mut self, sent_at: Duration) {
        let position = self.waiting.iter().position(|at| *at == sent_at);
        if let Some(position) = position {
            self.waiting.swap_remove(position);
        }
    }

    /// Returns the longest wait of requests that began of late; zero if it is short.
    fn begun_wait(&self, now: Duration) -> Duration {
        let passed = now.as_secs().saturating_sub(self.begun_second);
        let kept = WINDOW_PARTS.saturating_sub(usize::try_from(passed).unwrap_or(WINDOW_PARTS));
        rounded(self.begun[..kept].iter().copied().max().unwrap_or_default())
    }

    /// Returns the longest wait of requests that began of late or still wait; zero if it is short.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        let oldest = self.waiting.iter().copied().min();
        let age = oldest.map_or(Duration::ZERO, |sent_at| now.saturating_sub(sent_at));
        self.begun_wait(now).max(rounded(age))
    }

    /// Returns the wait to report to other routers, given the latest response of any replica to this one.
    pub(crate) fn reported_wait(
        &self,
        now: Duration,
        latest_response: Option<Duration>,
    ) -> Duration {
        match latest_response {
            Some(at) if now < at + MAX_LINK_SILENCE => self.wait(now),
            _ => self.begun_wait(now),
        }
    }

    /// Makes the first of `begun` that of the second of `now`.
    fn advance(&mut self, now: Duration) {
        let second = now.as_secs().max(self.begun_second);
        let passed = usize::try_from(second - self.begun_second).unwrap_or(WINDOW_PARTS);
        let passed = passed.min(WINDOW_PARTS);
        self.begun.rotate_right(passed);
        self.begun[..passed].fill(Duration::ZERO);
        self.begun_second = second;
    }
}

/// Returns how long a new request may wait at a replica before it begins, given the load from all routers.
///
/// The bound on old weights is a promise, so a high speed does not shorten the wait.
pub(crate) fn begin_wait(total: &LoadSample, speed: f64) -> Duration {
    expected_wait(total.prefill_tokens, speed.min(1.0)).max(total.begin_wait)
}

/// Returns the wait to allow for before a request is sent to old weights. A longer one is allowed for if the request can't run
/// twice, because such a request can't be withdrawn without the loss of its answer.
pub(crate) fn allowed_wait(wait: Duration, is_retryable: bool) -> Duration {
    if is_retryable {
        wait
    } else {
        wait * NON_RETRYABLE_FACTOR
    }
}

/// Returns `wait` in the steps of reports, rounded up; zero if it is too short to count.
fn rounded(wait: Duration) -> Duration {
    if wait < MIN_WAIT {
        return Duration::ZERO;
    }
    of_report_units(report_units(wait))
}

/// Returns `wait` in units of a report.
pub(super) fn report_units(wait: Duration) -> u32 {
    let wait_ms = wait.min(MAX_WAIT).as_millis() as u64;
    wait_ms.div_ceil(REPORT_UNIT_MS) as u32
}

/// Returns the wait that a report names.
pub(super) fn of_report_units(units: u32) -> Duration {
    Duration::from_millis(u64::from(units) * REPORT_UNIT_MS).min(MAX_WAIT)
}
