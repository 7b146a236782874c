//! Decides when a caller's connection has been quiet for too long.
//!
//! hyper's timeout for request heads is fixed when a connection begins and also covers the time between requests, so it
//! can't follow the configuration, and it cuts slow heads after the limit on idle connections. A caller counts on the
//! limit that was in force at its last response, or on a higher one that it has learned of since; the connection is
//! therefore kept for the higher of the two.
//!
//! Load patterns handled: limits that change while connections are idle, heads and bodies that arrive in parts, callers
//! that read a response slowly or not at all, requests that are sent while their connection is being closed.

use std::time::Duration;

use super::route::CallerLimits;

/// How long a caller may take nothing of a response.
const STALL_LIMIT: Duration = Duration::from_secs(30);

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuietReason {
    /// No request has arrived for as long as the configuration allows.
    Idle,
    /// The head of a request is incomplete.
    SlowHead,
    /// The caller does not read the response.
    Stalled,
    /// The connection was evicted, since the memory or the places for callers are used up.
    Evicted,
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseStep {
    /// At once, since the caller takes no bytes.
    Drop,
    /// With a response that refuses a request that may be on its way.
    Refuse,
    /// Not yet: a request is being read or answered.
    Wait,
}

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// No byte of a request has arrived since the last response. The limit was in force when that began.
    Idle { limit: Duration },
    /// A part of a request's head has arrived.
    Head,
    /// A request is being read or answered.
    Busy,
}

/// The activity of one connection to a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerActivity {
    phase: Phase,
    since: Duration,
    /// Whether the connection has carried a request.
    has_carried_request: bool,
    /// When the caller stopped taking bytes that wait to be sent.
    blocked_since: Option<Duration>,
}

impl CallerActivity {
    /// Creates the activity of a new connection.
    pub(crate) const fn new(now: Duration, limits: CallerLimits) -> Self {
        let limit = limits.idle_timeout;
        Self {
            phase: Phase::Idle { limit },
            since: now,
            has_carried_request: false,
            blocked_since: None,
        }
    }

    /// Records bytes from the caller.
    pub(crate) const fn received(&mut self, now: Duration) {
        if matches!(self.phase, Phase::Idle { .. }) {
            self.phase = Phase::Head;
            self.since = now;
        }
    }

    /// Records that the caller took bytes, or, if `is_blocked`, that it takes none at present.
    pub(crate) fn sent(&mut self, now: Duration, is_blocked: bool) {
        if is_blocked {
            self.blocked_since.get_or_insert(now);
            return;
        }
        self.blocked_since = None;
        if matches!(self.phase, Phase::Idle { .. }) {
            self.since = now;
        }
    }

    /// Records that the head of a request is complete.
    pub(crate) const fn request_began(&mut self, now: Duration) {
        self.phase = Phase::Busy;
        self.since = now;
        self.has_carried_request = true;
    }

    /// Records that the response was handed to the connection.
    pub(crate) const fn request_ended(&mut self, now: Duration, limits: CallerLimits) {
        let limit = limits.idle_timeout;
        self.phase = Phase::Idle { limit };
        self.since = now;
    }

    /// Returns whether the next bytes from the caller are those of a request that is not being handled yet.
    pub(crate) const fn awaits_request(&self) -> bool {
        matches!(self.phase, Phase::Idle { .. } | Phase::Head)
    }

    /// Returns how the connection is closed for `reason`, or, without one, because the router stops.
    ///
    /// A request may arrive until its caller has seen the close. Its sender must learn that it does not run; a
    /// connection that only ends leaves that open. The first request of a connection is most likely on its way, so a router
    /// that stops leaves that connection open until it exits, and refuses the request itself.
    pub(crate) fn close(&self, reason: Option<QuietReason>) -> CloseStep {
        let is_blocked = self.blocked_since.is_some();
        match reason {
            Some(QuietReason::Stalled) => CloseStep::Drop,
            Some(QuietReason::Evicted) if is_blocked => CloseStep::Drop,
            None if !self.has_carried_request => CloseStep::Wait,
            _ if self.awaits_request() && !is_blocked => CloseStep::Refuse,
            _ => CloseStep::Wait,
        }
    }

    /// Returns when the connection has to be closed unless something happens before, and why.
    pub(crate) fn expiry(&self, limits: CallerLimits) -> Option<(Duration, QuietReason)> {
        if let Some(blocked_since) = self.blocked_since {
            return Some((blocked_since + STALL_LIMIT, QuietReason::Stalled));
        }
        match self.phase {
            Phase::Idle { limit } => {
                let limit = limit.max(limits.idle_timeout);
                Some((self.since + limit, QuietReason::Idle))
            }
            Phase::Head => Some((self.since + limits.header_timeout, QuietReason::SlowHead)),
            Phase::Busy => None,
        }
    }
}
