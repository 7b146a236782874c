//! The requests of callers that have not been answered in full.
//!
//! A request is open until the last byte of its response was handed to the caller's connection, whichever task works on
//! it. A router that shuts down waits for open requests, and names those that it has to cut.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::clock::boot_time;

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
}

/// Keeps one request open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    requests: Arc<OpenRequests>,
    number: u64,
}

impl OpenRequests {
    /// Opens a request.
    pub(crate) fn begin(self: &Arc<Self>) -> OpenRequest {
        let mut state = self.lock();
        let number = state.next;
        state.next += 1;
        state.last_arrival = boot_time();
        state.open.insert(number, OpenRecord::default());
        OpenRequest {
            requests: Arc::clone(self),
            number,
        }
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

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenRequest {
    /// Records the ID of the request.
    pub(crate) fn set_id(&self, id: &str) {
        self.update(|record| record.id = id.into());
    }

    /// Records that the response of `replica` is being forwarded.
    pub(crate) fn set_responding(&self, replica: &str) {
        self.update(|record| {
            record.replica = replica.into();
            record.is_responding = true;
        });
    }

    fn update(&self, change: impl FnOnce(&mut OpenRecord)) {
        if let Some(record) = self.requests.lock().open.get_mut(&self.number) {
            change(record);
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.requests.lock().open.remove(&self.number);
    }
}
