//! The requests of callers that have not been answered in full.
//!
//! A request is open until the last byte of its response was handed to the caller's connection, whichever task works on
//! it. A router that shuts down waits for open requests, and names those that it has to cut. The guard that keeps a
//! request open records how it ended ([`super::request_end`]), since whatever ends a request drops its guard.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::caller_stream::RequestActivity;
use super::clock::boot_time;
use super::memory::{ConnectionMemory, HolderPhase};
use super::request_end::{ClosedBy, RequestProgress, Surroundings};
use super::request_log::EndedRequest;

/// The open requests of this router.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    open: BTreeMap<u64, OpenRecord>,
    last_arrival: Duration,
}

/// What is known of an open request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct OpenRecord {
    /// The ID of the caller's attempt; empty while the head is being read.
    pub(crate) id: Arc<str>,
    /// The replica of the last attempt; empty before the first one.
    pub(crate) replica: Arc<str>,
    /// Whether a response is being forwarded.
    pub(crate) is_responding: bool,
    /// Why the response was given up; `None` if it was not.
    given_up: Option<ClosedBy>,
}

/// The number of an open request.
pub(crate) type OpenRequestNumber = u64;

/// Keeps one request open until it is dropped, and then records its end.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    activity: RequestActivity,
    number: OpenRequestNumber,
    arrived_at: Duration,
    configuration_version: u64,
    progress: RequestProgress,
}

impl OpenRequests {
    fn add(&self, now: Duration) -> OpenRequestNumber {
        let mut state = self.lock();
        let number = state.next;
        state.next += 1;
        state.last_arrival = now;
        state.open.insert(number, OpenRecord::default());
        number
    }

    /// Returns the number of open requests and when the last request arrived.
    pub(crate) fn count_and_last_arrival(&self) -> (usize, Duration) {
        let state = self.lock();
        (state.open.len(), state.last_arrival)
    }

    /// Returns all open requests, oldest first.
    pub(crate) fn records(&self) -> Vec<OpenRecord> {
        self.lock().open.values().cloned().collect()
    }

    /// Records why the response to a request was given up.
    pub(crate) fn give_up(&self, number: OpenRequestNumber, closed_by: ClosedBy) {
        self.update(number, |record| record.given_up = Some(closed_by));
    }

    fn update(&self, number: OpenRequestNumber, change: impl FnOnce(&mut OpenRecord)) {
        if let Some(record) = self.lock().open.get_mut(&number) {
            change(record);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenRequest {
    /// Opens a request that occupies its connection.
    pub(crate) fn begin(activity: RequestActivity) -> Self {
        let shared = activity.shared();
        let now = boot_time();
        Self {
            number: shared.open_requests.add(now),
            arrived_at: now,
            configuration_version: shared.configuration_version(),
            progress: RequestProgress::default(),
            activity,
        }
    }

    /// Returns the number of the request.
    pub(crate) const fn number(&self) -> OpenRequestNumber {
        self.number
    }

    /// Returns the progress of the request.
    pub(crate) const fn progress(&mut self) -> &mut RequestProgress {
        &mut self.progress
    }

    /// Returns the memory of the connection.
    pub(crate) fn memory(&self) -> &ConnectionMemory {
        self.activity.connection().memory()
    }

    /// Returns whether the caller has ended the connection.
    pub(crate) fn is_left(&self) -> bool {
        let closed_by = self.activity.connection().closed_by();
        closed_by.is_some_and(ClosedBy::is_caller)
    }

    /// Records the ID of the request.
    pub(crate) fn set_id(&self, id: &str) {
        self.update(|record| record.id = id.into());
    }

    /// Records the replica of the last attempt.
    pub(crate) fn set_replica(&self, replica: &str) {
        self.update(|record| record.replica = replica.into());
    }

    /// Records that the response of the last attempt's replica is being forwarded.
    pub(crate) fn set_responding(&mut self) {
        self.progress.replica_responded();
        self.update(|record| record.is_responding = true);
    }

    /// Records that there is a response, whose body has `length_bytes` if its head states it.
    ///
    /// `is_body_read` tells whether the body of the request is complete.
    pub(crate) fn response_began(&mut self, length_bytes: Option<u64>, is_body_read: bool) {
        let connection = self.activity.connection();
        connection.memory().set_phase(HolderPhase::Responding);
        if !is_body_read {
            connection.leave_body_unread();
        }
        self.progress
            .response_began(length_bytes, connection.closed_by());
    }

    fn update(&self, change: impl FnOnce(&mut OpenRecord)) {
        self.activity
            .shared()
            .open_requests
            .update(self.number, change);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let shared = self.activity.shared();
        let connection = self.activity.connection();
        let record = shared.open_requests.lock().open.remove(&self.number);
        let record = record.unwrap_or_default();
        let end = self.progress.end(&Surroundings {
            connection: connection.closed_by(),
            response: record.given_up,
            is_stopping: shared.is_closing(),
            is_panicking: std::thread::panicking(),
        });
        shared.log_request_end(&EndedRequest {
            id: &record.id,
            replica: &record.replica,
            end,
            progress: &self.progress,
            arrived_at: self.arrived_at,
            last_byte_at: connection.last_byte_at(),
            configuration_version: self.configuration_version,
        });
    }
}
