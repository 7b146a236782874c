//! Tests of taking over the lease for orders from a holder that stopped renewing it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use yare::parameterized;

use super::ms;
use crate::gateway::clock::boot_time;
use crate::gateway::control::{OrderCall, ReplicaCalls, lease_timing, send_if_permitted};
use crate::gateway::revision::store_revision;
use crate::gateway::settings::GatewayBounds;
use crate::gateway::weights::{LoadTarget, OrderReply};
use crate::rollout::{Lease, LeaseAction, LeaseEvent, LeaseRecord};
use crate::store::{PutCondition, PutOutcome};

/// The lease object in the platform's store.
#[derive(Default)]
struct LeaseObject {
    version: u64,
    record: Option<LeaseRecord>,
}

impl LeaseObject {
    /// Sends a tick to a router's lease and executes the resulting calls.
    fn advance(&mut self, lease: &mut Lease, rank: u32, now: Duration) {
        let mut action = lease.next(LeaseEvent::Tick, rank, now);
        while let Some(next) = action {
            let event = match next {
                LeaseAction::Read => {
                    let found = self.record.clone().map(|record| (self.version, record));
                    LeaseEvent::Read(Some(found))
                }
                LeaseAction::Write(record, condition) => {
                    LeaseEvent::Written(self.write(record, condition))
                }
            };
            action = lease.next(event, rank, now);
        }
    }

    fn write(&mut self, record: LeaseRecord, condition: PutCondition) -> PutOutcome {
        let is_met = match condition {
            PutCondition::Absent => self.record.is_none(),
            PutCondition::Version(version) => self.version == version,
        };
        if !is_met {
            return PutOutcome::Conflict;
        }
        self.version += 1;
        self.record = Some(record);
        PutOutcome::Stored(self.version)
    }
}

/// The lease must be taken over within 3 s, since the users limit the use of old weights to 6 s and a rollout takes
/// about 3 s.
#[parameterized(
    first_candidate = { 0 },
    second_candidate = { 1 },
    third_candidate = { 2 },
)]
fn next_silent_holder_is_replaced_in_time_for_a_rollout(rank: u32) {
    let bounds = GatewayBounds {
        replicas_check_fencing: true,
        ..GatewayBounds::default()
    };
    let timing = lease_timing(&bounds);
    let mut object = LeaseObject::default();
    let mut holder = Lease::with_timing("holder".into(), 1, timing);
    object.advance(&mut holder, 0, ms(0));
    assert!(
        holder.fencing_number(ms(1)).is_some(),
        "the first router acquires the lease at once"
    );
    let mut other = Lease::with_timing("other".into(), 1, timing);
    let mut now = ms(5);
    while other.fencing_number(now).is_none() {
        object.advance(&mut other, rank, now);
        now += ms(10);
        assert!(now < ms(3_000), "the lease was not taken over within 3 s");
    }
    assert!(
        holder.fencing_number(now).is_none(),
        "the lease has two holders"
    );
}

#[test]
fn next_own_expired_lease_is_reacquired_at_once() {
    let bounds = GatewayBounds {
        replicas_check_fencing: true,
        ..GatewayBounds::default()
    };
    let mut object = LeaseObject::default();
    let mut lease = Lease::with_timing("holder".into(), 1, lease_timing(&bounds));
    object.advance(&mut lease, 0, ms(0));
    // No rollout was needed for a while.
    let later = ms(20_000);
    assert!(lease.fencing_number(later).is_none());
    object.advance(&mut lease, 0, later);
    assert!(lease.fencing_number(later).is_some());
}

/// The first router's renewal is lost with the restoration; the second must not acquire the lease from the older record
/// before the first one's has expired, and fencing numbers rise.
#[test]
fn next_store_restored_has_one_holder_and_rising_numbers() {
    let timing = lease_timing(&GatewayBounds::default());
    let mut object = LeaseObject::default();
    let mut first = Lease::with_timing("first".into(), 1, timing);
    let mut second = Lease::with_timing("second".into(), 1, timing);
    object.advance(&mut first, 0, ms(0));
    object.advance(&mut second, 1, ms(10));
    let copy = (object.version, object.record.clone());
    let renewed_at = timing.renewal_interval + ms(20);
    object.advance(&mut first, 0, renewed_at);
    let numbers_before = object.version;
    assert!(first.is_held(renewed_at) && numbers_before > copy.0);
    let held_until = renewed_at + timing.duration;
    // The copy shows the first version again; the second router learns of the restoration first.
    object.version = store_revision(1, copy.0);
    object.record = copy.1;
    let restored_at = renewed_at + ms(5);
    second.store_restored(restored_at);
    let mut now = restored_at;
    while !second.is_held(now) {
        object.advance(&mut second, 1, now);
        now += ms(10);
        assert!(now < held_until * 3, "the lease is acquired again");
    }
    assert!(now >= held_until, "{now:?} {held_until:?}");
    assert!(object.version > numbers_before);
}

#[test]
fn next_write_answered_after_restoration_does_not_acquire() {
    let timing = lease_timing(&GatewayBounds::default());
    let mut lease = Lease::with_timing("first".into(), 1, timing);
    assert_eq!(
        lease.next(LeaseEvent::Tick, 0, ms(0)),
        Some(LeaseAction::Read)
    );
    let action = lease.next(LeaseEvent::Read(Some(None)), 0, ms(5));
    assert!(matches!(action, Some(LeaseAction::Write(..))), "{action:?}");
    lease.store_restored(ms(8));
    lease.next(LeaseEvent::Written(PutOutcome::Stored(3)), 0, ms(10));
    assert!(!lease.is_held(ms(10)));
}

/// A store that repeated a version, or went back without naming a new era, ended the control thread.
#[parameterized(
    repeated = { 3 },
    lower = { 1 },
)]
fn next_write_answered_with_no_higher_version_gives_the_lease_up(version: u64) {
    let timing = lease_timing(&GatewayBounds::default());
    let mut lease = Lease::with_timing("first".into(), 1, timing);
    lease.next(LeaseEvent::Tick, 0, ms(0));
    lease.next(LeaseEvent::Read(Some(None)), 0, ms(5));
    lease.next(LeaseEvent::Written(PutOutcome::Stored(3)), 0, ms(10));
    assert!(lease.is_held(ms(10)));
    let renewed_at = timing.renewal_interval + ms(20);
    let action = lease.next(LeaseEvent::Tick, 0, renewed_at);
    assert!(matches!(action, Some(LeaseAction::Write(..))), "{action:?}");
    let stored = LeaseEvent::Written(PutOutcome::Stored(version));
    lease.next(stored, 0, renewed_at);
    assert!(!lease.is_held(renewed_at));
    assert_eq!(
        lease.fencing_number(renewed_at + timing.takeover_delay),
        None
    );
}

/// An order that was decided before a pause of the process was sent after it, under a lease that another router held.
#[parameterized(
    in_time = { 1_000, 1 },
    after_the_lease = { 0, 0 },
)]
#[test_macro(tokio::test)]
async fn send_if_permitted_checks_the_lease_again(time_left_ms: u64, expected_sends: u32) {
    let sends = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&sends);
    let replicas = ReplicaCalls {
        order: Box::new(move |_| {
            counter.fetch_add(1, Ordering::Relaxed);
            Box::pin(async { OrderReply::Accepted })
        }),
        report: Box::new(|_| Box::pin(async { None })),
    };
    let target = LoadTarget {
        replica: "r1".into(),
        born_ms: 1,
        address: ([127, 0, 0, 1], 9).into(),
        model: "m".into(),
        version: 2,
    };
    let call = OrderCall {
        target,
        accepted_orders: 0,
        fencing_number: 1,
        holder: "first".into(),
        timeout: ms(400),
        send_until: boot_time() - ms(1) + ms(time_left_ms),
    };
    let reply = send_if_permitted(&replicas, call).await;
    assert_eq!(sends.load(Ordering::Relaxed), expected_sends);
    assert_eq!(reply == OrderReply::Accepted, expected_sends == 1);
}

/// A holder stops sending orders early enough for the last one to end within its lease.
#[test]
fn orders_allowed_until_leaves_time_for_an_order() {
    let timing = lease_timing(&GatewayBounds::default());
    let mut object = LeaseObject::default();
    let mut lease = Lease::with_timing("first".into(), 1, timing);
    assert_eq!(lease.orders_allowed_until(), None);
    object.advance(&mut lease, 0, ms(0));
    let until = lease.orders_allowed_until();
    assert_eq!(until, Some(timing.duration - timing.order_timeout));
}

/// Replays a rolling restart while weights are named: the holder is stopped, and the next one must not wait for its lease
/// to expire. Replicas that don't check fencing numbers still get no orders of two holders within one lease duration.
#[test]
fn release_lets_another_router_order_after_the_takeover_delay() {
    let bounds = GatewayBounds {
        replicas_check_fencing: false,
        ..GatewayBounds::default()
    };
    let timing = lease_timing(&bounds);
    let mut object = LeaseObject::default();
    let mut first = Lease::with_timing("first".into(), 1, timing);
    let mut second = Lease::with_timing("second".into(), 1, timing);
    object.advance(&mut first, 0, ms(0));
    object.advance(&mut second, 1, ms(100));
    let Some(LeaseAction::Write(record, condition)) = first.release(ms(200)) else {
        panic!("the holder releases its lease");
    };
    let outcome = object.write(record, condition);
    assert_eq!(first.next(LeaseEvent::Written(outcome), 0, ms(210)), None);
    assert!(!first.is_held(ms(210)));
    let mut now = ms(300);
    while second.fencing_number(now).is_none() {
        object.advance(&mut second, 1, now);
        now += ms(10);
        assert!(now < ms(10_000), "the lease is acquired");
    }
    let since_release = now - ms(200);
    assert!(since_release >= timing.takeover_delay, "{since_release:?}");
    assert!(
        since_release < timing.takeover_delay + ms(1_500),
        "{since_release:?}"
    );
}
