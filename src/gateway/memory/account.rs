//! The budget as traffic threads share it, and what connections hold of it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};

use super::budget::{EXCHANGE_BYTES, Growth, HolderNumber, HolderPhase, MemoryBudget, MemoryUse};
use crate::gateway::clock::boot_time;

/// How long a request waits for the memory of evicted connections.
const EVICTION_WAIT: Duration = Duration::from_millis(200);
/// How often a response that waits for memory asks again.
const RESPONSE_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The minimum time between two log lines about evictions or refusals.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// There is no memory for a request; its caller may retry after this time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryRefused {
    /// When the caller may retry.
    pub(crate) retry_after: Duration,
}

/// The memory that the connections of a process hold together.
#[derive(Clone, Debug)]
pub(crate) struct MemoryAccount(Arc<Account>);

#[derive(Debug)]
struct Account {
    state: Mutex<State>,
    released: Notify,
}

#[derive(Debug)]
struct State {
    budget: MemoryBudget,
    evictions: HashMap<HolderNumber, watch::Sender<bool>>,
    logged_at: Option<Duration>,
}

/// The memory of one connection, which is given back when the last clone is dropped.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionMemory(Arc<Connection>);

#[derive(Debug)]
struct Connection {
    account: MemoryAccount,
    number: HolderNumber,
    evicted: watch::Receiver<bool>,
}

/// The memory of a connection whose request is sent to replicas.
#[derive(Debug)]
pub(crate) struct CallMemory {
    connection: ConnectionMemory,
    _exchange: Reservation,
}

/// Memory that is reserved until this is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: ConnectionMemory,
    bytes: u64,
    used_for: MemoryUse,
}

impl MemoryAccount {
    /// Creates an account of `capacity` bytes.
    pub(crate) fn new(capacity: u64) -> Self {
        Self(Arc::new(Account {
            state: Mutex::new(State {
                budget: MemoryBudget::new(capacity),
                evictions: HashMap::new(),
                logged_at: None,
            }),
            released: Notify::new(),
        }))
    }

    /// Returns the memory of a connection that nothing bounds.
    pub(crate) fn unlimited_connection() -> ConnectionMemory {
        let opened = Self::new(u64::MAX / 4).open();
        opened.expect("an unlimited account has memory for a connection")
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for it.
    pub(crate) fn open(&self) -> Result<ConnectionMemory, MemoryRefused> {
        let (sender, evicted) = watch::channel(false);
        let mut state = self.lock();
        let (number, growth) = state.budget.open(boot_time());
        state.evictions.insert(number, sender);
        state.notify(growth);
        drop(state);
        let memory = ConnectionMemory(Arc::new(Connection {
            account: self.clone(),
            number,
            evicted,
        }));
        match growth {
            Growth::Refused { retry_after } => Err(MemoryRefused { retry_after }),
            // An evicted connection makes room soon.
            Growth::Granted | Growth::Evict(_) | Growth::Wait => Ok(memory),
        }
    }

    /// Evicts up to a sixteenth of the connections, so that others can be accepted.
    pub(crate) fn evict_some(&self) {
        let mut state = self.lock();
        let count = state.budget.holders().div_ceil(16);
        for _ in 0..count {
            let Some(number) = state.budget.evict(boot_time()) else {
                break;
            };
            state.notify(Growth::Evict(number));
        }
    }

    /// Records how much of the budget is held.
    pub(crate) fn record_gauges(&self) {
        let (held, capacity) = {
            let budget = &self.lock().budget;
            (budget.held(), budget.capacity())
        };
        metrics::gauge!("crocuswharf_gateway_memory_held_bytes").set(held as f64);
        metrics::gauge!("crocuswharf_gateway_memory_budget_bytes").set(capacity as f64);
    }

    /// Returns the number of bytes that are held.
    #[cfg(test)]
    pub(crate) fn held(&self) -> u64 {
        self.lock().budget.held()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = &self.0.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Tells an evicted connection, and counts and logs what is refused or evicted.
    fn notify(&mut self, growth: Growth) {
        match growth {
            Growth::Granted | Growth::Wait => return,
            Growth::Evict(number) => {
                if let Some(evicted) = self.evictions.get(&number) {
                    evicted.send_replace(true);
                }
                metrics::counter!("crocuswharf_gateway_memory_evictions_total").increment(1);
            }
            Growth::Refused { .. } => {
                metrics::counter!("crocuswharf_gateway_memory_refusals_total").increment(1);
            }
        }
        let now = boot_time();
        if self.logged_at.is_none_or(|at| now >= at + LOG_INTERVAL) {
            self.logged_at = Some(now);
            log::warn!(
                "memory: The memory for callers is used up. held_bytes={} connections={} is_refused={}",
                self.budget.held(),
                self.budget.holders(),
                matches!(growth, Growth::Refused { .. })
            );
        }
    }
}

impl ConnectionMemory {
    /// Records what the connection does next.
    pub(crate) fn set_phase(&self, phase: HolderPhase) {
        let mut state = self.0.account.lock();
        let number = self.0.number;
        let is_spared = state.budget.set_phase(number, phase, boot_time());
        if is_spared && let Some(evicted) = state.evictions.get(&number) {
            evicted.send_replace(false);
        }
    }

    /// Waits until the connection has to give its memory up.
    pub(crate) async fn evicted(&self) {
        let mut evicted = self.0.evicted.clone();
        if evicted.wait_for(|is_evicted| *is_evicted).await.is_err() {
            std::future::pending().await
        }
    }

    /// Returns whether the connection has to give its memory up.
    pub(crate) fn is_evicted(&self) -> bool {
        *self.0.evicted.borrow()
    }

    /// Reserves memory for a request, and waits a short time for that of evicted connections.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory; nothing of the connection is evicted.
    pub(crate) async fn reserve(
        &self,
        bytes: u64,
        used_for: MemoryUse,
    ) -> Result<Reservation, MemoryRefused> {
        let give_up_at = boot_time() + EVICTION_WAIT;
        loop {
            // Registered before the look at the budget, so that no release is missed.
            let released = self.0.account.0.released.notified();
            match self.grow(bytes, used_for) {
                Growth::Granted => return Ok(self.reservation(bytes, used_for)),
                Growth::Refused { retry_after } => return Err(MemoryRefused { retry_after }),
                Growth::Evict(_) | Growth::Wait => {}
            }
            let time_left = give_up_at.saturating_sub(boot_time());
            if time_left.is_zero() || self.is_evicted() {
                let retry_after = EVICTION_WAIT;
                return Err(MemoryRefused { retry_after });
            }
            // Ends in time, or with the next look at the budget.
            let _ = tokio::time::timeout(time_left, released).await;
        }
    }

    /// Waits until there is memory for a part of a response.
    pub(crate) async fn reserve_response(&self, bytes: u64) -> Reservation {
        loop {
            if let Ok(reservation) = self.reserve(bytes, MemoryUse::Response).await {
                return reservation;
            }
            tokio::time::sleep(RESPONSE_RETRY_INTERVAL).await;
        }
    }

    /// Reserves memory at once; an evicted connection may still have to make room for it.
    pub(crate) fn reserve_now(&self, bytes: u64, used_for: MemoryUse) -> Option<Reservation> {
        match self.grow(bytes, used_for) {
            Growth::Granted => Some(self.reservation(bytes, used_for)),
            Growth::Evict(_) | Growth::Wait => Some(self.hold(bytes, used_for)),
            Growth::Refused { .. } => None,
        }
    }

    /// Counts memory that is held already.
    pub(crate) fn hold(&self, bytes: u64, used_for: MemoryUse) -> Reservation {
        let mut state = self.0.account.lock();
        let now = boot_time();
        state.budget.force(self.0.number, bytes, used_for, now);
        drop(state);
        self.reservation(bytes, used_for)
    }

    fn grow(&self, bytes: u64, used_for: MemoryUse) -> Growth {
        let mut state = self.0.account.lock();
        let now = boot_time();
        let growth = state.budget.grow(self.0.number, bytes, used_for, now);
        state.notify(growth);
        growth
    }

    fn reservation(&self, bytes: u64, used_for: MemoryUse) -> Reservation {
        Reservation {
            memory: self.clone(),
            bytes,
            used_for,
        }
    }
}

impl CallMemory {
    /// Reserves the memory for an exchange with a replica.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory; the request must not be sent then.
    pub(crate) async fn reserve(connection: &ConnectionMemory) -> Result<Self, MemoryRefused> {
        let reserving = connection.reserve(EXCHANGE_BYTES, MemoryUse::Request);
        Ok(Self {
            _exchange: reserving.await?,
            connection: connection.clone(),
        })
    }

    /// Returns the reservation for a response that is buffered, which is empty at first.
    pub(crate) fn response(&self) -> Reservation {
        self.connection.reservation(0, MemoryUse::Response)
    }
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub(crate) const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Counts memory for `length` bytes that are held already; returns whether the budget has room for them.
    pub(crate) fn extend_to(&mut self, length: usize) -> bool {
        let more = (length as u64).saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        let is_granted = self.memory.grow(more, self.used_for) == Growth::Granted;
        match is_granted {
            true => self.bytes += more,
            false => self.merge(self.memory.hold(more, self.used_for)),
        }
        is_granted
    }

    /// Adds the memory of `other`, which has to be reserved for the same connection and use.
    pub(crate) fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let account = &self.memory.0.account;
        let number = self.memory.0.number;
        let mut state = account.lock();
        let now = boot_time();
        state.budget.shrink(number, self.bytes, self.used_for, now);
        drop(state);
        account.0.released.notify_waiters();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.account.lock();
        state.budget.close(self.number);
        state.evictions.remove(&self.number);
        drop(state);
        self.account.0.released.notify_waiters();
    }
}
