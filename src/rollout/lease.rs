//! The lease under which one router at a time gives a pool's engines orders.
//!
//! The lease is one object of the platform, written only under the condition of its version; the version is the fencing
//! number. A holder counts its time from the moment it sent the write, on its own monotonic clock. Others take the lease
//! once they have seen the same version for longer than that time. No clock is compared between VMs.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, RouterId};
use crate::store::{ObjectVersion, PutCondition, PutOutcome};

/// How long a lease holds after the write that took or renewed it was sent.
pub const LEASE_LIFE: Duration = Duration::from_secs(15);
/// The longest time that one order is under way; a holder with less time left sends none.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// The times that a lease keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseTimes {
    /// How long a lease holds after the write that took or renewed it was sent.
    pub(crate) life: Duration,
    /// How often a holder renews and others look.
    pub(crate) renewal_interval: Duration,
    /// How long a lease must be seen unchanged beyond its life before another router takes it, for clocks that run
    /// unevenly.
    pub(crate) clock_margin: Duration,
    /// The longest time that one order is under way; a holder with less time left sends none.
    pub(crate) order_timeout: Duration,
    /// How long a new holder lets the orders of the old one run out.
    pub(crate) settle: Duration,
    /// The pause after a call that failed.
    pub(crate) failure_pause: Duration,
    /// How much longer each further candidate waits, so that candidates rarely meet.
    pub(crate) rank_step: Duration,
}

impl Default for LeaseTimes {
    fn default() -> Self {
        Self {
            life: LEASE_LIFE,
            renewal_interval: Duration::from_secs(5),
            clock_margin: Duration::from_secs(2),
            order_timeout: ORDER_TIMEOUT,
            settle: ORDER_TIMEOUT,
            failure_pause: Duration::from_secs(1),
            rank_step: LEASE_LIFE,
        }
    }
}

/// The value of a lease object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRecord {
    /// The holder.
    pub holder: RouterId,
    /// The holder's incarnation; a restarted router is another holder.
    pub incarnation: Incarnation,
    /// Counts the holder's writes, so that one whose answer was lost is known again.
    pub sequence: u64,
    /// The lease's life in milliseconds.
    pub life_ms: u64,
}

/// What happened to the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick,
    /// A read ended; `None` inside where there is no lease object yet.
    Read(Option<Option<(ObjectVersion, LeaseRecord)>>),
    /// A write ended.
    Written(PutOutcome),
}

/// The next call towards the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the lease object.
    Read,
    /// Write the lease object.
    Write(LeaseRecord, PutCondition),
}

/// One router's view of one pool's lease.
#[derive(Clone, Debug)]
pub struct Lease {
    times: LeaseTimes,
    own: RouterId,
    incarnation: Incarnation,
    sequence: u64,
    seen: Option<Seen>,
    held: Option<Held>,
    sent: Option<Sent>,
    is_busy: bool,
    next_at: Duration,
    highest_held: ObjectVersion,
}

#[derive(Clone, Debug)]
struct Seen {
    version: ObjectVersion,
    life: Duration,
    first_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    version: ObjectVersion,
    valid_until: Duration,
    orders_from: Duration,
}

/// The last write, whose answer may be outstanding or lost.
#[derive(Clone, Copy, Debug)]
struct Sent {
    sequence: u64,
    at: Duration,
}

impl Lease {
    /// Begins without the lease, with the default times.
    #[must_use]
    pub fn new(own: RouterId, incarnation: Incarnation) -> Self {
        Self::with_times(own, incarnation, LeaseTimes::default())
    }

    /// Begins without the lease.
    #[must_use]
    pub(crate) const fn with_times(
        own: RouterId,
        incarnation: Incarnation,
        times: LeaseTimes,
    ) -> Self {
        Self {
            times,
            own,
            incarnation,
            sequence: 0,
            seen: None,
            held: None,
            sent: None,
            is_busy: false,
            next_at: Duration::ZERO,
            highest_held: 0,
        }
    }

    /// Returns the fencing number under which an order may be sent at `now`, if any.
    ///
    /// The caller reads the clock right before it sends. A holder that was paused since finds its time used up.
    #[must_use]
    pub fn fencing_number(&self, now: Duration) -> Option<u64> {
        let held = self.held?;
        let has_time = held.valid_until >= now + self.times.order_timeout;
        (has_time && now >= held.orders_from).then_some(held.version)
    }

    /// Tells whether this router holds the lease at `now`.
    #[must_use]
    pub fn is_held(&self, now: Duration) -> bool {
        self.held.is_some_and(|held| now < held.valid_until)
    }

    /// Takes an event and returns the next call, if one is due.
    ///
    /// `rank` is the router's place among the candidates for this lease; each place waits one step longer, so that
    /// candidates rarely meet.
    pub fn next(&mut self, event: LeaseEvent, rank: u32, now: Duration) -> Option<LeaseAction> {
        self.drop_expired(now);
        match event {
            LeaseEvent::Tick => self.tick(now),
            LeaseEvent::Read(result) => self.after_read(result, rank, now),
            LeaseEvent::Written(outcome) => {
                self.after_write(outcome, now);
                None
            }
        }
    }

    fn drop_expired(&mut self, now: Duration) {
        if self.held.is_some_and(|held| now >= held.valid_until) {
            self.held = None;
            self.next_at = now;
        }
    }

    fn tick(&mut self, now: Duration) -> Option<LeaseAction> {
        if self.is_busy || now < self.next_at {
            return None;
        }
        self.is_busy = true;
        // A write whose answer was lost is settled by a read before the next write.
        match (self.held, self.sent) {
            (Some(held), None) => Some(self.write(PutCondition::Version(held.version), now)),
            _ => Some(LeaseAction::Read),
        }
    }

    fn after_read(
        &mut self,
        result: Option<Option<(ObjectVersion, LeaseRecord)>>,
        rank: u32,
        now: Duration,
    ) -> Option<LeaseAction> {
        self.is_busy = false;
        let Some(found) = result else {
            self.next_at = now + self.times.failure_pause;
            return None;
        };
        self.next_at = now + self.times.renewal_interval;
        let Some((version, record)) = found else {
            return self.after_absent(rank, now);
        };
        if record.holder == self.own && record.incarnation == self.incarnation {
            self.recognise(version, &record, now);
            return self.take_again(version, now);
        }
        self.held = None;
        self.sent = None;
        self.note_other(version, &record, now);
        self.take_if_lapsed(rank, now)
    }

    fn after_absent(&mut self, rank: u32, now: Duration) -> Option<LeaseAction> {
        let first_at = self.seen.get_or_insert(Seen {
            version: 0,
            life: Duration::ZERO,
            first_at: now,
        });
        if now < first_at.first_at + self.times.rank_step * rank {
            return None;
        }
        self.is_busy = true;
        Some(self.write(PutCondition::Absent, now))
    }

    /// Settles a write whose answer was lost: the object tells that it took effect.
    fn recognise(&mut self, version: ObjectVersion, record: &LeaseRecord, now: Duration) {
        let sent = self.sent.take();
        if let Some(sent) = sent.filter(|sent| sent.sequence == record.sequence) {
            self.hold(version, sent.at, now);
            return;
        }
        // An older write of this life: whether it is still valid is told by `held` alone.
        match &mut self.held {
            Some(held) if held.version == version => {}
            _ => {
                self.held = None;
                self.note_other(version, record, now);
            }
        }
    }

    /// Takes this life's own lease again after it lapsed: no other router can have ordered since that version.
    fn take_again(&mut self, version: ObjectVersion, now: Duration) -> Option<LeaseAction> {
        if self.held.is_some() {
            return None;
        }
        self.is_busy = true;
        Some(self.write(PutCondition::Version(version), now))
    }

    fn note_other(&mut self, version: ObjectVersion, record: &LeaseRecord, now: Duration) {
        if self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version == version)
        {
            return;
        }
        self.seen = Some(Seen {
            version,
            life: Duration::from_millis(record.life_ms),
            first_at: now,
        });
    }

    fn take_if_lapsed(&mut self, rank: u32, now: Duration) -> Option<LeaseAction> {
        let seen = self.seen.as_ref()?;
        let lapses_at =
            seen.first_at + seen.life + self.times.clock_margin + self.times.rank_step * rank;
        if now < lapses_at {
            self.next_at = self.next_at.min(lapses_at);
            return None;
        }
        let version = seen.version;
        self.is_busy = true;
        Some(self.write(PutCondition::Version(version), now))
    }

    fn write(&mut self, condition: PutCondition, now: Duration) -> LeaseAction {
        self.sequence += 1;
        self.sent = Some(Sent {
            sequence: self.sequence,
            at: now,
        });
        let record = LeaseRecord {
            holder: self.own.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            life_ms: self.times.life.as_millis() as u64,
        };
        LeaseAction::Write(record, condition)
    }

    fn after_write(&mut self, outcome: PutOutcome, now: Duration) {
        self.is_busy = false;
        match outcome {
            PutOutcome::Stored(version) => {
                let sent = self.sent.take().expect("a write that ended was sent");
                self.next_at = now + self.times.renewal_interval;
                self.hold(version, sent.at, now);
            }
            PutOutcome::Conflict => {
                // Another holder, or an earlier write of ours whose answer was lost; a read tells.
                self.next_at = now;
                if self.sent.is_none() {
                    self.held = None;
                }
            }
            PutOutcome::NotSent => {
                self.sent = None;
                self.next_at = now + self.times.failure_pause;
            }
            PutOutcome::Unknown => self.next_at = now + self.times.failure_pause,
        }
    }

    fn hold(&mut self, version: ObjectVersion, sent_at: Duration, now: Duration) {
        assert!(
            version > self.highest_held,
            "fencing number {version} follows {}",
            self.highest_held
        );
        self.highest_held = version;
        // A new holder lets the orders of the old one run out before it gives its own.
        let orders_from = match self.held {
            Some(held) => held.orders_from,
            None => now + self.times.settle,
        };
        let valid_until = sent_at + self.times.life;
        let held = Held {
            version,
            valid_until,
            orders_from,
        };
        self.held = (now < valid_until).then_some(held);
        self.seen = None;
    }
}
