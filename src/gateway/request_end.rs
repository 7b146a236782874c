//! Decides how a caller's request ended.
//!
//! Whatever ends a request drops the guard that holds it open, so the guard evaluates its progress then and no path can
//! end a request silently. Rejected: recording the end where each path notices it. A task that is dropped notices nothing.
//!
//! Load patterns handled: callers that leave at any point of a request, connections that the gateway closes, responses
//! that break off, tasks that panic, and processes that stop.

use std::time::Duration;

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum RequestPhase {
    /// The body is being read.
    #[default]
    ReadingBody,
    /// The body is complete, and there is no response yet.
    WaitingForReplica,
    /// The connection has taken the head of the response.
    Responding,
    /// The connection has taken the whole response.
    Whole,
}

/// Who responded to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Responder {
    /// The gateway itself.
    Gateway,
    /// A replica.
    Replica,
}

/// Who ended a request that has no whole response, or its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClosedBy {
    /// The caller closed its connection.
    CallerClosed,
    /// The caller reset its connection, or it failed.
    CallerReset,
    /// The caller sent bytes that are no request.
    InvalidRequest,
    /// The gateway, since the connection was idle.
    IdleLimit,
    /// The gateway, since the head of a request was late.
    HeadLimit,
    /// The gateway, since the caller did not read the response.
    StallLimit,
    /// The gateway, since the deadline of the request had passed.
    Deadline,
    /// The replica broke its response off, and no other one resumed it.
    Replica,
    /// The gateway, since the replica's weights became too old before its first event, and no other one resumed the stream.
    OldWeights,
    /// The gateway, since the memory for callers is used up.
    MemoryLimit,
    /// The process stops.
    Stop,
    /// The task that served the request panicked or was dropped.
    Task,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// The connection took the whole response.
    Whole(Responder),
    /// The connection took a part of the response.
    Part(ClosedBy),
    /// The connection took nothing of a response.
    Unanswered(ClosedBy),
}

/// The progress of one request, of which its guard records each step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestProgress {
    phase: RequestPhase,
    responder: Option<Responder>,
    /// The length of the response, if its head states it.
    length_bytes: Option<u64>,
    bytes_read: u64,
    bytes_sent: u64,
    is_truncated: bool,
    /// Whether the caller had ended the connection before there was a response.
    was_left: bool,
}

/// What the guard of a request finds when it is dropped.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Surroundings {
    /// Who ended the connection; `None` while it lasts.
    pub(crate) connection: Option<ClosedBy>,
    /// Why the response was given up; `None` if it was not.
    pub(crate) response: Option<ClosedBy>,
    /// Whether the process stops.
    pub(crate) is_stopping: bool,
    /// Whether the thread is panicking.
    pub(crate) is_panicking: bool,
}

/// When the configuration in force was applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConfigurationChange {
    /// When the version in force was applied.
    pub(crate) applied_at: Duration,
    /// Whether it replaced another one.
    pub(crate) is_change: bool,
}

impl RequestPhase {
    /// Returns the name of the phase in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::ReadingBody => "reading_body",
            Self::WaitingForReplica => "waiting_for_replica",
            Self::Responding => "responding",
            Self::Whole => "whole",
        }
    }
}

impl ClosedBy {
    /// Returns the name in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::CallerClosed => "caller_closed",
            Self::CallerReset => "caller_reset",
            Self::InvalidRequest => "invalid_request",
            Self::IdleLimit => "idle_limit",
            Self::HeadLimit => "head_limit",
            Self::StallLimit => "stall_limit",
            Self::Deadline => "deadline",
            Self::Replica => "replica",
            Self::OldWeights => "old_weights",
            Self::MemoryLimit => "memory_limit",
            Self::Stop => "stop",
            Self::Task => "task",
        }
    }

    /// Returns whether the caller takes nothing more.
    pub(crate) const fn is_caller(self) -> bool {
        matches!(self, Self::CallerClosed | Self::CallerReset)
    }

    /// Returns whether the gateway ended a request that its caller and its replica would have gone on with.
    pub(crate) const fn is_gateway(self) -> bool {
        match self {
            Self::IdleLimit
            | Self::HeadLimit
            | Self::StallLimit
            | Self::MemoryLimit
            | Self::Stop
            | Self::Task => true,
            Self::CallerClosed
            | Self::CallerReset
            | Self::InvalidRequest
            | Self::Deadline
            | Self::Replica
            | Self::OldWeights => false,
        }
    }

    /// Returns the number that [`from_code`](Self::from_code) takes; it is never zero.
    pub(crate) const fn code(self) -> u8 {
        self as u8 + 1
    }

    /// Returns the value with this code; `None` for zero and numbers that are no code.
    pub(crate) fn from_code(code: u8) -> Option<Self> {
        let all = [
            Self::CallerClosed,
            Self::CallerReset,
            Self::InvalidRequest,
            Self::IdleLimit,
            Self::HeadLimit,
            Self::StallLimit,
            Self::Deadline,
            Self::Replica,
            Self::OldWeights,
            Self::MemoryLimit,
            Self::Stop,
            Self::Task,
        ];
        all.into_iter().find(|value| value.code() == code)
    }
}

impl RequestEnd {
    /// Returns the name in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Whole(_) => "whole",
            Self::Part(_) => "part",
            Self::Unanswered(_) => "none",
        }
    }

    /// Returns who ended a request that has no whole response.
    pub(crate) const fn closed_by(self) -> Option<ClosedBy> {
        match self {
            Self::Whole(_) => None,
            Self::Part(closed_by) | Self::Unanswered(closed_by) => Some(closed_by),
        }
    }
}

impl RequestProgress {
    /// Returns how far the request has come.
    pub(crate) const fn phase(&self) -> RequestPhase {
        self.phase
    }

    /// Returns the number of bytes of the body that were read.
    pub(crate) const fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Returns the number of bytes of the response's body that the connection took.
    pub(crate) const fn bytes_sent(&self) -> u64 {
        self.bytes_sent
    }

    /// Records that a part of the body was read.
    pub(crate) const fn read(&mut self, length: usize) {
        self.bytes_read += length as u64;
    }

    /// Records that the body is complete.
    pub(crate) fn body_completed(&mut self) {
        if self.phase == RequestPhase::ReadingBody {
            self.phase = RequestPhase::WaitingForReplica;
        }
    }

    /// Records that a replica's response is forwarded.
    pub(crate) const fn replica_responded(&mut self) {
        self.responder = Some(Responder::Replica);
    }

    /// Records that there is a response, whose body has `length_bytes` if its head states it.
    ///
    /// `connection` tells who ended the connection before; a caller that did takes nothing of the response.
    pub(crate) fn response_began(
        &mut self,
        length_bytes: Option<u64>,
        connection: Option<ClosedBy>,
    ) {
        self.responder.get_or_insert(Responder::Gateway);
        self.length_bytes = length_bytes;
        self.was_left = connection.is_some_and(ClosedBy::is_caller);
        if !self.was_left {
            self.phase = RequestPhase::Responding;
            self.complete_if_sent();
        }
    }

    /// Records that the connection took a part of the response's body.
    pub(crate) fn sent(&mut self, length: usize) {
        if !self.was_left {
            self.bytes_sent += length as u64;
            self.complete_if_sent();
        }
    }

    /// Records that the connection took the end of the response's body.
    pub(crate) fn completed(&mut self) {
        if self.phase == RequestPhase::Responding {
            self.phase = RequestPhase::Whole;
        }
    }

    /// Records that the response's body ended early.
    pub(crate) const fn truncated(&mut self) {
        self.is_truncated = true;
    }

    /// Returns how the request ends if nothing more happens.
    pub(crate) fn end(&self, surroundings: &Surroundings) -> RequestEnd {
        let closed_by = || self.closed_by(surroundings);
        match (self.phase, self.responder) {
            (RequestPhase::Whole, Some(responder)) => RequestEnd::Whole(responder),
            (RequestPhase::Responding, _) => RequestEnd::Part(closed_by()),
            _ => RequestEnd::Unanswered(closed_by()),
        }
    }

    /// The runtime does not ask for the end of a body whose length the head states.
    fn complete_if_sent(&mut self) {
        if self
            .length_bytes
            .is_some_and(|length| self.bytes_sent >= length)
        {
            self.completed();
        }
    }

    fn closed_by(&self, surroundings: &Surroundings) -> ClosedBy {
        if surroundings.is_panicking {
            return ClosedBy::Task;
        }
        if self.is_truncated {
            return surroundings.response.unwrap_or(ClosedBy::Task);
        }
        match surroundings.connection {
            Some(closed_by) => closed_by,
            None if surroundings.is_stopping => ClosedBy::Stop,
            None => ClosedBy::Task,
        }
    }
}

impl ConfigurationChange {
    /// Returns by how much this change, after `before`, lengthens the time that counts as beside a change.
    pub(crate) fn added_window(self, before: Self, window: Duration) -> Duration {
        match (before.is_change, self.is_change) {
            (_, false) => Duration::ZERO,
            (false, true) => window,
            (true, true) => window.min(self.applied_at.saturating_sub(before.applied_at)),
        }
    }

    /// Returns whether a request that was open from `arrived_at` to `ended_at` counts as beside this change, which other
    /// routers may apply up to `window` later.
    pub(crate) fn is_beside(
        self,
        arrived_at: Duration,
        ended_at: Duration,
        window: Duration,
    ) -> bool {
        self.is_change && (self.applied_at >= arrived_at || ended_at < self.applied_at + window)
    }
}
