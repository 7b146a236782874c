use std::collections::BTreeMap;
use std::time::Duration;

use super::*;
use crate::id::ReplicaId;
use crate::pool::{Pool, Replica, ReplicaRole};
use crate::store::{PutCondition, PutOutcome};

mod fleet;

fn pool(replicas: usize, concurrent_loads: u32, checks_fencing: bool) -> Pool {
    let replica = |index: usize| Replica {
        id: format!("r{index:02}").into(),
        address: format!("127.0.0.1:{}", 9_000 + index).parse().unwrap(),
        zone: "yaba".into(),
        role: ReplicaRole::Both,
    };
    let mut pool: Pool = serde_json::from_str(r#"{"replicas":[]}"#).unwrap();
    pool.replicas = (0..replicas).map(replica).collect();
    pool.concurrent_loads = concurrent_loads;
    pool.checks_fencing = checks_fencing;
    pool
}

fn observed(
    pool: &Pool,
    weights_version: u64,
    busy_requests: u32,
    at: Duration,
) -> BTreeMap<ReplicaId, ObservedReplica> {
    let seen = ObservedReplica {
        incarnation: 1,
        weights_version,
        adapter: None,
        role: ReplicaRole::Both,
        busy_requests,
        reported_at: at,
    };
    pool.replicas
        .iter()
        .map(|replica| (replica.id.clone(), seen.clone()))
        .collect()
}

fn orders_of(actions: &[RolloutAction]) -> Vec<(&str, u64)> {
    let orders = actions.iter().filter_map(|action| match action {
        RolloutAction::Order { replica, order, .. } => Some((&**replica, order.weights_version)),
        RolloutAction::Notice(_) => None,
    });
    orders.collect()
}

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn step_drains_before_it_orders_and_keeps_two_thirds_serving() {
    let mut pool = pool(18, 3, false);
    pool.weights_version = 2;
    let mut rollout = Rollout::new();
    let step = |rollout: &mut Rollout, version, busy, at| {
        rollout.step("p", &pool, &observed(&pool, version, busy, at), Some(7), at)
    };
    assert_eq!(orders_of(&step(&mut rollout, 1, 4, seconds(1))), []);
    assert_eq!(rollout.in_work().count(), 3);
    assert_eq!(orders_of(&step(&mut rollout, 1, 4, seconds(5))), []);
    let ordered = step(&mut rollout, 1, 0, seconds(6));
    assert_eq!(orders_of(&ordered), [("r00", 2), ("r01", 2), ("r02", 2)]);
    assert_eq!(orders_of(&step(&mut rollout, 1, 0, seconds(7))), []);
    for (replica, _) in orders_of(&ordered) {
        rollout.order_ended(&replica.into(), OrderEnd::Taken, seconds(7));
    }
    step(&mut rollout, 2, 0, seconds(8));
    assert_eq!(rollout.in_work().count(), 0);
}

#[test]
fn step_one_of_three_at_a_time() {
    let mut pool = pool(3, 3, false);
    pool.weights_version = 2;
    let mut rollout = Rollout::new();
    rollout.step(
        "p",
        &pool,
        &observed(&pool, 1, 0, seconds(1)),
        Some(7),
        seconds(1),
    );
    assert_eq!(rollout.in_work().count(), 1);
}

#[test]
fn step_newer_ticket_turns_back() {
    let mut pool = pool(9, 2, false);
    pool.weights_version = 2;
    let mut rollout = Rollout::new();
    rollout.step(
        "p",
        &pool,
        &observed(&pool, 1, 0, seconds(1)),
        Some(7),
        seconds(1),
    );
    let ordered = rollout.step(
        "p",
        &pool,
        &observed(&pool, 1, 0, seconds(4)),
        Some(7),
        seconds(4),
    );
    assert_eq!(orders_of(&ordered).len(), 2);
    pool.weights_version = 1;
    // The next order waits for the end of the one under way.
    let step = |rollout: &mut Rollout, at| {
        let observed = observed(&pool, 1, 0, at);
        rollout.step("p", &pool, &observed, Some(7), at)
    };
    assert_eq!(orders_of(&step(&mut rollout, seconds(5))), []);
    let end = |rollout: &mut Rollout, at| {
        for replica in ["r00", "r01"] {
            rollout.order_ended(&replica.into(), OrderEnd::Taken, at);
        }
    };
    end(&mut rollout, seconds(5));
    let turned = step(&mut rollout, seconds(6));
    assert_eq!(orders_of(&turned), [("r00", 1), ("r01", 1)]);
    // An engine that reports the old weights may be about to show the new ones.
    step(&mut rollout, seconds(7));
    assert_eq!(rollout.in_work().count(), 2);
    end(&mut rollout, seconds(7));
    let actions = step(&mut rollout, seconds(8));
    assert_eq!(rollout.in_work().count(), 0);
    assert!(matches!(&actions[..], [RolloutAction::Notice(notice)] if notice.replicas.is_empty()));
}

#[test]
fn step_fences_all_engines_that_check_before_any_work() {
    let mut pool = pool(9, 2, true);
    pool.weights_version = 2;
    let mut rollout = Rollout::new();
    let at = seconds(1);
    let fencing = rollout.step("p", &pool, &observed(&pool, 1, 3, at), Some(7), at);
    assert_eq!(orders_of(&fencing).len(), 9);
    assert!(orders_of(&fencing).iter().all(|(_, version)| *version == 1));
    rollout.step("p", &pool, &observed(&pool, 1, 3, at), Some(7), at);
    assert_eq!(rollout.in_work().count(), 0);
    for replica in &pool.replicas {
        rollout.order_ended(&replica.id, OrderEnd::Taken, at);
    }
    rollout.step("p", &pool, &observed(&pool, 1, 3, at), Some(7), at);
    assert_eq!(rollout.in_work().count(), 2);
}

#[test]
#[should_panic(expected = "fencing number 6 follows 7")]
fn step_lower_fencing_number_stops_the_process() {
    let pool = pool(3, 1, false);
    let mut rollout = Rollout::new();
    rollout.step("p", &pool, &BTreeMap::new(), Some(7), seconds(1));
    rollout.step("p", &pool, &BTreeMap::new(), Some(6), seconds(2));
}

#[test]
fn notices_of_lower_numbers_and_late_ones_are_ignored() {
    let notice = |fencing_number, sequence, replica: &str| DrainNotice {
        pool: "p".to_owned(),
        fencing_number,
        sequence,
        replicas: vec![replica.to_owned()],
    };
    let mut drains = Drains::default();
    assert!(drains.take(&notice(5, 2, "a"), seconds(1)));
    assert!(!drains.take(&notice(5, 1, "b"), seconds(1)));
    assert!(!drains.take(&notice(4, 9, "b"), seconds(1)));
    assert!(drains.is_drained("p", "a", seconds(20)));
    assert!(!drains.is_drained("p", "a", seconds(21)));
    assert!(!drains.is_drained("p", "b", seconds(2)));
}

#[test]
fn lease_is_taken_renewed_and_lost_after_a_pause() {
    let mut lease = Lease::new("a".into(), 1);
    assert_eq!(
        lease.next(LeaseEvent::Tick, 0, seconds(1)),
        Some(LeaseAction::Read)
    );
    let write = lease.next(LeaseEvent::Read(Some(None)), 0, seconds(1));
    assert!(matches!(
        write,
        Some(LeaseAction::Write(_, PutCondition::Absent))
    ));
    lease.next(LeaseEvent::Written(PutOutcome::Stored(4)), 0, seconds(2));
    assert_eq!(lease.fencing_number(seconds(4)), None);
    assert_eq!(lease.fencing_number(seconds(5)), Some(4));
    let write = lease.next(LeaseEvent::Tick, 0, seconds(7));
    assert!(matches!(
        write,
        Some(LeaseAction::Write(_, PutCondition::Version(4)))
    ));
    lease.next(LeaseEvent::Written(PutOutcome::Stored(5)), 0, seconds(8));
    assert_eq!(lease.fencing_number(seconds(9)), Some(5));
    // The lease counts from the sending of the write and leaves time for the order.
    assert_eq!(lease.fencing_number(seconds(19)), Some(5));
    assert_eq!(lease.fencing_number(seconds(20)), None);
    assert_eq!(
        lease.next(LeaseEvent::Tick, 0, seconds(60)),
        Some(LeaseAction::Read)
    );
    assert!(!lease.is_held(seconds(60)));
}

#[test]
fn lease_of_another_is_taken_after_its_life() {
    let record = LeaseRecord {
        holder: "b".into(),
        incarnation: 3,
        sequence: 1,
        life_ms: 15_000,
    };
    let mut lease = Lease::new("a".into(), 1);
    let read = || LeaseEvent::Read(Some(Some((9, record.clone()))));
    lease.next(LeaseEvent::Tick, 0, seconds(1));
    assert_eq!(lease.next(read(), 0, seconds(1)), None);
    lease.next(LeaseEvent::Tick, 0, seconds(17));
    assert_eq!(lease.next(read(), 0, seconds(17)), None);
    lease.next(LeaseEvent::Tick, 0, seconds(18));
    let write = lease.next(read(), 0, seconds(18));
    assert!(matches!(
        write,
        Some(LeaseAction::Write(_, PutCondition::Version(9)))
    ));
}

#[test]
fn lease_lost_answer_is_settled_by_reading_back() {
    let mut lease = Lease::new("a".into(), 1);
    lease.next(LeaseEvent::Tick, 0, seconds(1));
    let Some(LeaseAction::Write(record, _)) =
        lease.next(LeaseEvent::Read(Some(None)), 0, seconds(1))
    else {
        panic!("the lease is not taken");
    };
    lease.next(LeaseEvent::Written(PutOutcome::Unknown), 0, seconds(3));
    assert!(!lease.is_held(seconds(3)));
    assert_eq!(
        lease.next(LeaseEvent::Tick, 0, seconds(4)),
        Some(LeaseAction::Read)
    );
    lease.next(LeaseEvent::Read(Some(Some((6, record)))), 0, seconds(4));
    assert_eq!(lease.fencing_number(seconds(7)), Some(6));
    // Still counted from the sending of the write.
    assert!(!lease.is_held(seconds(16)));
}
