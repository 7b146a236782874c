//! A gate that lets one holder in at a time, in order of priority and then of arrival.

use std::collections::BTreeMap;
use std::sync::Mutex;

use tokio::sync::oneshot;

/// The gate; a lower priority number enters earlier.
#[derive(Debug)]
pub(crate) struct PriorityGate {
    state: Mutex<GateState>,
}

#[derive(Debug, Default)]
struct GateState {
    occupied: bool,
    arrivals: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<()>>,
}

/// The right to be inside; dropping it lets the next one in.
#[derive(Debug)]
pub(crate) struct Turn<'a>(&'a PriorityGate);

impl PriorityGate {
    /// Makes an open gate.
    pub(crate) fn new() -> Self {
        Self {
            state: Mutex::default(),
        }
    }

    /// Waits for the caller's turn.
    pub(crate) async fn enter(&self, priority: u8) -> Turn<'_> {
        loop {
            let called = {
                let mut state = self.state.lock().expect("no holder of the lock panics");
                if !state.occupied {
                    state.occupied = true;
                    return Turn(self);
                }
                let (call, called) = oneshot::channel();
                state.arrivals += 1;
                let key = (priority, state.arrivals);
                state.waiting.insert(key, call);
                called
            };
            // The sender hands over the occupied gate; where it was dropped, try again.
            if called.await.is_ok() {
                return Turn(self);
            }
        }
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state.lock().expect("no holder of the lock panics");
        while let Some((_, call)) = state.waiting.pop_first() {
            if call.send(()).is_ok() {
                return;
            }
        }
        state.occupied = false;
    }
}
