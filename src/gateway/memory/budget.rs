//! Decides which connections of callers get memory, and which one gives its memory up.
//!
//! Each connection is a holder of what the process keeps for it: its buffers, the head and the body of its request, and
//! the parts of a response that it has not read. If a holder wants more than is left, the holder that has made no
//! progress for the longest time is evicted; if there is none, the request is refused. A body is charged as it is read and
//! not for its announced length, since most of the callers that announce long bodies may never send them. Holders of little
//! memory may use a share of the budget that large ones may not, so that ordinary requests are still read while large
//! bodies fill the rest.
//!
//! Load patterns handled: many large bodies at once that stop before their end, bodies and heads that arrive a few
//! bytes at a time, responses that are not read, and connections without requests. The replay is in
//! `src/gateway/tests/memory.rs`.
//!
//! Rejected: a limit on each connection alone (the number of connections bounds nothing on a small VM); charging the
//! announced length (a few callers that send nothing would exclude all others); refusing without evicting (callers that
//! stall would exclude others until their deadlines).

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

/// The memory of a connection without a request: its task, its read buffer of 8 KiB and the state of the runtime.
pub(crate) const CONNECTION_BYTES: u64 = 20 << 10;
/// The memory of an exchange with a replica: its connection, of which the read buffer takes half, and its task.
pub(crate) const EXCHANGE_BYTES: u64 = 32 << 10;
/// The memory up to which a holder counts as small: a request of 64 KiB with its exchange with a replica.
const SMALL_HOLDER_BYTES: u64 = CONNECTION_BYTES + (64 << 10) + EXCHANGE_BYTES;
/// The fraction of the budget that only small holders may use.
const SMALL_RESERVE_FRACTION: f64 = 0.25;
/// How long a holder makes no progress before it may be evicted.
const STALL_LIMIT: Duration = Duration::from_millis(500);
/// The minimum time between two searches for an evictable holder if the first found none. Each looks at all holders, and
/// responses that wait for memory ask again and again.
const SEARCH_INTERVAL: Duration = Duration::from_millis(10);
/// When the first caller that is refused may retry.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// The time between the retries of callers that were refused one after the other.
const RETRY_SPACING: Duration = Duration::from_millis(5);
/// The longest time after which a caller is asked to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// The number of a holder.
pub(crate) type HolderNumber = u64;

/// What a connection does with its memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HolderPhase {
    /// It awaits a request, or reads its head.
    #[default]
    Idle,
    /// It reads the body of a request.
    Receiving,
    /// A response is sent.
    Responding,
    /// A replica works on the request.
    Waiting,
}

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemoryUse {
    /// The head or the body of a request.
    Request,
    /// The part of a response that the caller has not taken.
    Response,
}

/// The answer to a wish for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Growth {
    /// The memory is reserved.
    Granted,
    /// This holder has to give its memory up first.
    Evict(HolderNumber),
    /// Holders that were evicted have not given their memory up yet.
    Wait,
    /// There is no memory; the caller may retry after this time.
    Refused {
        /// When the caller may retry.
        retry_after: Duration,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    phase: HolderPhase,
    request_bytes: u64,
    response_bytes: u64,
    progressed_at: Duration,
    has_served: bool,
    is_evicted: bool,
}

/// The memory that all connections hold together.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    capacity: u64,
    held: u64,
    /// The part of `held` that evicted holders have not given up yet.
    evicted: u64,
    holders: HashMap<HolderNumber, Holder>,
    next: HolderNumber,
    /// When the caller that was refused last may retry.
    last_retry_at: Duration,
    /// Until when a search for an evictable holder is of no use.
    search_after: Duration,
}

impl Holder {
    const fn bytes(&self) -> u64 {
        CONNECTION_BYTES + self.request_bytes + self.response_bytes
    }

    /// Returns whether the holder may be evicted.
    fn is_evictable(&self, now: Duration) -> bool {
        let is_stalled = now >= self.progressed_at + STALL_LIMIT;
        match self.phase {
            _ if self.is_evicted => false,
            // A head may be arriving, or the end of a response may still have to be sent.
            HolderPhase::Idle => self.request_bytes + self.response_bytes == 0 || is_stalled,
            HolderPhase::Receiving => is_stalled,
            HolderPhase::Responding => self.response_bytes > 0 && is_stalled,
            HolderPhase::Waiting => false,
        }
    }

    const fn bytes_of(&mut self, used_for: MemoryUse) -> &mut u64 {
        match used_for {
            MemoryUse::Request => &mut self.request_bytes,
            MemoryUse::Response => &mut self.response_bytes,
        }
    }
}

impl MemoryBudget {
    /// Creates a budget of `capacity` bytes without holders.
    pub(crate) fn new(capacity: u64) -> Self {
        Self {
            capacity,
            held: 0,
            evicted: 0,
            holders: HashMap::new(),
            next: 0,
            last_retry_at: Duration::ZERO,
            search_after: Duration::ZERO,
        }
    }

    /// Returns the number of bytes that may be held.
    pub(crate) const fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the number of bytes that are held.
    pub(crate) const fn held(&self) -> u64 {
        self.held
    }

    /// Returns the number of holders.
    pub(crate) fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Adds a connection, and returns whether there is memory for it.
    pub(crate) fn open(&mut self, now: Duration) -> (HolderNumber, Growth) {
        let number = self.next;
        self.next += 1;
        let growth = self.decide(CONNECTION_BYTES, CONNECTION_BYTES, now);
        let holder = Holder {
            progressed_at: now,
            ..Holder::default()
        };
        self.holders.insert(number, holder);
        self.held += CONNECTION_BYTES;
        (number, growth)
    }

    /// Removes a connection whose reservations have been returned.
    pub(crate) fn close(&mut self, number: HolderNumber) {
        if let Some(holder) = self.holders.remove(&number) {
            self.held = self.held.saturating_sub(holder.bytes());
            if holder.is_evicted {
                self.evicted = self.evicted.saturating_sub(holder.bytes());
            }
        }
    }

    /// Records what a connection does next; returns whether it may keep its memory although it was evicted.
    ///
    /// A request that is complete is no longer evicted.
    pub(crate) fn set_phase(
        &mut self,
        number: HolderNumber,
        phase: HolderPhase,
        now: Duration,
    ) -> bool {
        let mut is_spared = false;
        if let Some(holder) = self.holders.get_mut(&number) {
            if phase == HolderPhase::Waiting && holder.is_evicted {
                holder.is_evicted = false;
                self.evicted -= holder.bytes();
                is_spared = true;
            }
            holder.has_served |= phase == HolderPhase::Responding;
            holder.phase = phase;
            holder.progressed_at = now;
            if phase == HolderPhase::Idle {
                self.search_after = Duration::ZERO;
            }
        }
        is_spared
    }

    /// Reserves memory for a holder if there is any.
    pub(crate) fn grow(
        &mut self,
        number: HolderNumber,
        bytes: u64,
        used_for: MemoryUse,
        now: Duration,
    ) -> Growth {
        let Some(holder) = self.holders.get(&number) else {
            return self.refuse(now);
        };
        let growth = self.decide(holder.bytes() + bytes, bytes, now);
        if growth == Growth::Granted {
            self.force(number, bytes, used_for, now);
        }
        growth
    }

    /// Reserves memory that is held already, or for which an evicted holder makes room.
    pub(crate) fn force(
        &mut self,
        number: HolderNumber,
        bytes: u64,
        used_for: MemoryUse,
        now: Duration,
    ) {
        if let Some(holder) = self.holders.get_mut(&number) {
            *holder.bytes_of(used_for) += bytes;
            self.held += bytes;
            if holder.is_evicted {
                self.evicted += bytes;
            }
            if used_for == MemoryUse::Request {
                holder.progressed_at = now;
            }
        }
    }

    /// Returns reserved memory.
    pub(crate) fn shrink(
        &mut self,
        number: HolderNumber,
        bytes: u64,
        used_for: MemoryUse,
        now: Duration,
    ) {
        if let Some(holder) = self.holders.get_mut(&number) {
            let before = *holder.bytes_of(used_for);
            let bytes = bytes.min(before);
            *holder.bytes_of(used_for) = before - bytes;
            self.held -= bytes;
            if holder.is_evicted {
                self.evicted -= bytes;
            }
            if used_for == MemoryUse::Response {
                holder.progressed_at = now;
            }
        }
    }

    /// Returns the holder that has to give up its place, if one can.
    ///
    /// Connections without a request go first, and among them those that never carried one.
    pub(crate) fn evict(&mut self, now: Duration) -> Option<HolderNumber> {
        self.evict_first(now, |number, holder| {
            (
                holder.phase != HolderPhase::Idle,
                holder.has_served && holder.phase == HolderPhase::Idle,
                holder.progressed_at,
                number,
            )
        })
    }

    /// Evicts the evictable holder with the lowest rank.
    fn evict_first<R: Ord>(
        &mut self,
        now: Duration,
        rank: impl Fn(HolderNumber, &Holder) -> R,
    ) -> Option<HolderNumber> {
        if now < self.search_after {
            return None;
        }
        let holders = self.holders.iter_mut();
        let evictable = holders.filter(|(_, holder)| holder.is_evictable(now));
        let first = evictable.min_by_key(|(number, holder)| rank(**number, holder));
        let Some((number, holder)) = first else {
            self.search_after = now + SEARCH_INTERVAL;
            return None;
        };
        holder.is_evicted = true;
        self.evicted += holder.bytes();
        Some(*number)
    }

    /// Decides on `bytes` more for a holder that would then have `total`.
    fn decide(&mut self, total: u64, bytes: u64, now: Duration) -> Growth {
        let is_small = total <= SMALL_HOLDER_BYTES;
        let reserve = match is_small {
            true => 0,
            false => (self.capacity as f64 * SMALL_RESERVE_FRACTION) as u64,
        };
        let limit = self.capacity - reserve;
        if self.held + bytes <= limit {
            return Growth::Granted;
        }
        if self.held - self.evicted + bytes <= limit {
            return Growth::Wait;
        }
        let victim = match is_small {
            true => self.evict(now),
            // Many small holders would have to leave for a large one.
            false => self.evict_largest(now),
        };
        victim.map_or_else(|| self.refuse(now), Growth::Evict)
    }

    /// Evicts the stalled holder with the most memory.
    fn evict_largest(&mut self, now: Duration) -> Option<HolderNumber> {
        self.evict_first(now, |number, holder| (Reverse(holder.bytes()), number))
    }

    /// Callers that were refused earlier retry earlier, and not all at the same time.
    fn refuse(&mut self, now: Duration) -> Growth {
        let retry_at = (now + RETRY_AFTER).max(self.last_retry_at + RETRY_SPACING);
        self.last_retry_at = retry_at.min(now + MAX_RETRY_AFTER);
        let retry_after = self.last_retry_at - now;
        Growth::Refused { retry_after }
    }
}
