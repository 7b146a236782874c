//! The lease that lets one router at a time send orders to a pool's engines.
//!
//! The lease is one object in the platform's store. Every write is conditional on the object's version, and that
//! version is the fencing number. The holder measures the lease duration from the moment it sent the write, on its own
//! monotonic clock. Other routers acquire the lease after they have observed the same version for longer than that
//! duration. Clocks of different VMs are never compared.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, RouterId};
use crate::store::{ObjectVersion, PutCondition, PutOutcome};

/// The time that a lease is valid, from the sending of the write that acquired or renewed it.
pub const LEASE_DURATION: Duration = Duration::from_secs(15);
/// The timeout of one order. A holder whose lease expires sooner than this sends no order.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// The durations that govern a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseTiming {
    /// The time that a lease is valid, from the sending of the write that acquired or renewed it.
    pub(crate) duration: Duration,
    /// The interval at which the holder renews the lease and other routers read it.
    pub(crate) renewal_interval: Duration,
    /// The time beyond its duration that a lease must stay unchanged before another router acquires it. Allows for
    /// clocks that run at different rates.
    pub(crate) drift_margin: Duration,
    /// The timeout of one order. A holder whose lease expires sooner than this sends no order.
    pub(crate) order_timeout: Duration,
    /// The time that a new holder waits for the previous holder's orders to complete.
    pub(crate) takeover_delay: Duration,
    /// The delay after a failed call.
    pub(crate) retry_delay: Duration,
    /// The additional delay of each further candidate, so that candidates rarely write at the same time.
    pub(crate) rank_delay: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            duration: LEASE_DURATION,
            renewal_interval: Duration::from_secs(5),
            drift_margin: Duration::from_secs(2),
            order_timeout: ORDER_TIMEOUT,
            takeover_delay: ORDER_TIMEOUT,
            retry_delay: Duration::from_secs(1),
            rank_delay: LEASE_DURATION,
        }
    }
}

/// The contents of a lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The holder.
    pub holder: RouterId,
    /// The holder's incarnation. A restarted router counts as a different holder.
    pub incarnation: Incarnation,
    /// A counter of the holder's writes, which identifies a write whose response was lost.
    pub sequence: u64,
    /// The lease duration in milliseconds.
    pub life_ms: u64,
}

/// An input to [`Lease::next`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time has passed and no call has completed.
    Tick,
    /// A read completed. The outer `None` means that it failed, the inner `None` that there is no lease object yet.
    Read(Option<Option<(ObjectVersion, LeaseRecord)>>),
    /// A write completed.
    Written(PutOutcome),
}

/// The next call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease object.
    Read,
    /// Write the lease object.
    Write(LeaseRecord, PutCondition),
}

/// The state machine by which one router acquires and renews the lease of one pool.
#[derive(Clone, Debug)]
pub struct Lease {
    timing: LeaseTiming,
    router: RouterId,
    incarnation: Incarnation,
    sequence: u64,
    observed: Option<Observation>,
    held: Option<HeldLease>,
    pending: Option<PendingWrite>,
    is_call_pending: bool,
    next_call_at: Duration,
    /// Before this time the lease is not acquired: another router may hold one that the store has lost.
    acquire_after: Duration,
    highest_version: ObjectVersion,
}

#[derive(Clone, Debug)]
struct Observation {
    version: ObjectVersion,
    duration: Duration,
    first_seen_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    version: ObjectVersion,
    valid_until: Duration,
    orders_allowed_at: Duration,
}

/// The last write, as long as its outcome is unknown: the response is outstanding or was lost.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    sequence: u64,
    sent_at: Duration,
}

impl Lease {
    /// Creates a lease that is not held, with the default durations.
    #[must_use]
    pub fn new(router: RouterId, incarnation: Incarnation) -> Self {
        Self::with_timing(router, incarnation, LeaseTiming::default())
    }

    /// Creates a lease that is not held.
    #[must_use]
    pub(crate) const fn with_timing(
        router: RouterId,
        incarnation: Incarnation,
        timing: LeaseTiming,
    ) -> Self {
        Self {
            timing,
            router,
            incarnation,
            sequence: 0,
            observed: None,
            held: None,
            pending: None,
            is_call_pending: false,
            next_call_at: Duration::ZERO,
            acquire_after: Duration::ZERO,
            highest_version: 0,
        }
    }

    /// Returns the fencing number for an order sent at `now`, or `None` when no order may be sent.
    ///
    /// The caller must read the clock immediately before it sends, so that a holder that was paused in between finds
    /// its lease expired.
    #[must_use]
    pub fn fencing_number(&self, now: Duration) -> Option<u64> {
        let held = self.held?;
        let has_time = held.valid_until >= now + self.timing.order_timeout;
        (has_time && now >= held.orders_allowed_at).then_some(held.version)
    }

    /// Returns the time after which no order may be sent under the lease that is held now.
    #[must_use]
    pub(crate) fn orders_allowed_until(&self) -> Option<Duration> {
        let held = self.held?;
        Some(held.valid_until.saturating_sub(self.timing.order_timeout))
    }

    /// Returns whether this router holds the lease at `now`.
    #[must_use]
    pub fn is_held(&self, now: Duration) -> bool {
        self.held.is_some_and(|held| now < held.valid_until)
    }

    /// Processes an event and returns the next call, if one is due.
    ///
    /// `rank` is the router's position among the candidates for this lease. Each rank adds the same delay, so that
    /// candidates rarely write at the same time.
    pub fn next(&mut self, event: LeaseEvent, rank: u32, now: Duration) -> Option<LeaseAction> {
        self.drop_expired(now);
        match event {
            LeaseEvent::Tick => self.tick(now),
            LeaseEvent::Read(result) => self.handle_read(result, rank, now),
            LeaseEvent::Written(outcome) => {
                self.handle_write(outcome, now);
                None
            }
        }
    }

    /// Gives up the lease and all observations after the store came back from an older copy.
    ///
    /// The copy may show a record that was replaced since, or none, while the router that replaced it still holds its
    /// lease. No router acquires the lease until any such lease has expired.
    pub(crate) fn store_restored(&mut self, now: Duration) {
        self.held = None;
        self.pending = None;
        self.observed = None;
        self.acquire_after = now + self.timing.duration + self.timing.drift_margin;
        self.next_call_at = now;
    }

    /// Gives the lease up before it expires, so that another router can acquire it at once.
    ///
    /// Returns the write that says so. If it fails, the lease expires in time.
    pub(crate) fn release(&mut self, now: Duration) -> Option<LeaseAction> {
        self.drop_expired(now);
        let held = self.held.take()?;
        let LeaseAction::Write(mut record, condition) =
            self.write(PutCondition::Version(held.version), now)
        else {
            return None;
        };
        record.life_ms = 0;
        // The stored record is that of no holder, so its outcome does not matter to this router.
        self.pending = None;
        self.is_call_pending = true;
        Some(LeaseAction::Write(record, condition))
    }

    fn drop_expired(&mut self, now: Duration) {
        if self.held.is_some_and(|held| now >= held.valid_until) {
            self.held = None;
            self.next_call_at = now;
        }
    }

    fn tick(&mut self, now: Duration) -> Option<LeaseAction> {
        if self.is_call_pending || now < self.next_call_at {
            return None;
        }
        self.is_call_pending = true;
        // After a write whose response was lost, a read must determine its outcome before the next write.
        match (self.held, self.pending) {
            (Some(held), None) => Some(self.write(PutCondition::Version(held.version), now)),
            _ => Some(LeaseAction::Read),
        }
    }

    fn handle_read(
        &mut self,
        result: Option<Option<(ObjectVersion, LeaseRecord)>>,
        rank: u32,
        now: Duration,
    ) -> Option<LeaseAction> {
        self.is_call_pending = false;
        let Some(found) = result else {
            self.next_call_at = now + self.timing.retry_delay;
            return None;
        };
        self.next_call_at = now + self.timing.renewal_interval;
        let Some((version, record)) = found else {
            return self.handle_absent(rank, now);
        };
        if record.holder == self.router && record.incarnation == self.incarnation {
            self.resolve_pending(version, &record, now);
            return self.reacquire(version, now);
        }
        self.held = None;
        self.pending = None;
        self.observe(version, &record, now);
        self.acquire_if_expired(rank, now)
    }

    fn handle_absent(&mut self, rank: u32, now: Duration) -> Option<LeaseAction> {
        let observed = self.observed.get_or_insert(Observation {
            version: 0,
            duration: Duration::ZERO,
            first_seen_at: now,
        });
        let acquire_at = self
            .acquire_after
            .max(observed.first_seen_at + self.timing.rank_delay * rank);
        if now < acquire_at {
            self.next_call_at = self.next_call_at.min(acquire_at);
            return None;
        }
        self.is_call_pending = true;
        Some(self.write(PutCondition::Absent, now))
    }

    /// Determines from the stored record whether a write whose response was lost took effect.
    fn resolve_pending(&mut self, version: ObjectVersion, record: &LeaseRecord, now: Duration) {
        let pending = self.pending.take();
        if let Some(pending) = pending.filter(|pending| pending.sequence == record.sequence) {
            self.set_held(version, pending.sent_at, now);
            return;
        }
        // An older write of this incarnation. Only `held` shows whether the lease is still valid.
        match &mut self.held {
            Some(held) if held.version == version => {}
            _ => {
                self.held = None;
                self.observe(version, record, now);
            }
        }
    }

    /// Reacquires this incarnation's expired lease. No other router can have sent orders since that version.
    fn reacquire(&mut self, version: ObjectVersion, now: Duration) -> Option<LeaseAction> {
        if self.held.is_some() {
            return None;
        }
        if now < self.acquire_after {
            self.next_call_at = self.next_call_at.min(self.acquire_after);
            return None;
        }
        self.is_call_pending = true;
        Some(self.write(PutCondition::Version(version), now))
    }

    fn observe(&mut self, version: ObjectVersion, record: &LeaseRecord, now: Duration) {
        if self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.version == version)
        {
            return;
        }
        self.observed = Some(Observation {
            version,
            duration: Duration::from_millis(record.life_ms),
            first_seen_at: now,
        });
    }

    fn acquire_if_expired(&mut self, rank: u32, now: Duration) -> Option<LeaseAction> {
        let observed = self.observed.as_ref()?;
        let expires_at = observed.first_seen_at
            + observed.duration
            + self.timing.drift_margin
            + self.timing.rank_delay * rank;
        let expires_at = expires_at.max(self.acquire_after);
        if now < expires_at {
            self.next_call_at = self.next_call_at.min(expires_at);
            return None;
        }
        let version = observed.version;
        self.is_call_pending = true;
        Some(self.write(PutCondition::Version(version), now))
    }

    fn write(&mut self, condition: PutCondition, now: Duration) -> LeaseAction {
        self.sequence += 1;
        self.pending = Some(PendingWrite {
            sequence: self.sequence,
            sent_at: now,
        });
        let record = LeaseRecord {
            holder: self.router.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            life_ms: self.timing.duration.as_millis() as u64,
        };
        LeaseAction::Write(record, condition)
    }

    fn handle_write(&mut self, outcome: PutOutcome, now: Duration) {
        self.is_call_pending = false;
        match outcome {
            PutOutcome::Stored(version) => {
                // A write that was sent before the store was restored from a copy proves nothing.
                let Some(pending) = self.pending.take() else {
                    self.next_call_at = now;
                    return;
                };
                self.next_call_at = now + self.timing.renewal_interval;
                self.set_held(version, pending.sent_at, now);
            }
            PutOutcome::Conflict => {
                // Either another router wrote, or an earlier write of this router whose response was lost. A read
                // shows which.
                self.next_call_at = now;
                if self.pending.is_none() {
                    self.held = None;
                }
            }
            PutOutcome::NotSent => {
                self.pending = None;
                self.next_call_at = now + self.timing.retry_delay;
            }
            PutOutcome::Unknown => self.next_call_at = now + self.timing.retry_delay,
        }
    }

    /// Records that this router holds the lease, unless the store repeated a version or went back: no order may be sent
    /// with a fencing number that another holder may have used.
    fn set_held(&mut self, version: ObjectVersion, sent_at: Duration, now: Duration) {
        if version <= self.highest_version {
            log::error!(
                "rollout: The lease is given up, since its version did not rise. version={version} highest={}",
                self.highest_version
            );
            self.held = None;
            self.observed = None;
            self.next_call_at = now + self.timing.retry_delay;
            return;
        }
        self.highest_version = version;
        // A new holder waits for the previous holder's orders to complete before it sends its own.
        let orders_allowed_at = match self.held {
            Some(held) => held.orders_allowed_at,
            None => now + self.timing.takeover_delay,
        };
        let valid_until = sent_at + self.timing.duration;
        let held = HeldLease {
            version,
            valid_until,
            orders_allowed_at,
        };
        self.held = (now < valid_until).then_some(held);
        self.observed = None;
    }
}
