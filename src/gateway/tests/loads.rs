//! What routers tell each other of their work.

use super::ms;
use crate::gateway::loads::{Told, Work, WorkNews, Works, replica_key, without};

fn work(in_flight: u32, unread_tokens: u64) -> Work {
    Work {
        in_flight,
        unread_tokens,
        ..Work::default()
    }
}

#[test]
fn into_works_keeps_all_but_idle_replicas() {
    let works: Works = [(1, work(3, 400)), (2, work(0, 0)), (3, work(1, 0))].into();
    let told = WorkNews::of(&works).into_works();
    assert_eq!(told, Works::from([(1, work(3, 400)), (3, work(1, 0))]));
}

#[test]
fn total_counts_each_router_once() {
    let mut told = Told::default();
    let own: Works = [(1, work(1, 10))].into();
    told.take_follower("a".into(), [(1, work(2, 20))].into(), ms(0));
    // What a router told before is replaced.
    told.take_follower("a".into(), [(1, work(4, 40))].into(), ms(100));
    told.take_sum(
        "z".into(),
        [(1, work(8, 80)), (2, work(1, 0))].into(),
        ms(100),
    );
    let total = told.total(&own);
    assert_eq!(total[&1], work(13, 130));
    assert_eq!(told.others_of(&"a".into(), &total)[&1], work(9, 90));
    assert_eq!(without(&total, Some(&own))[&1], work(12, 120));
    assert_eq!(
        told.own_sum(&own)[&1],
        work(5, 50),
        "others' sums are not told on"
    );
}

#[test]
fn expire_forgets_routers_that_went() {
    let mut told = Told::default();
    told.take_follower("a".into(), [(1, work(2, 20))].into(), ms(0));
    told.take_sum("z".into(), [(1, work(8, 80))].into(), ms(1_000));
    told.expire(ms(2_000));
    assert_eq!(told.total(&Works::default())[&1], work(8, 80));
}

#[test]
fn replica_key_differs_between_lives() {
    assert_ne!(replica_key("i-1", 5), replica_key("i-1", 6));
    assert_ne!(replica_key("i-1", 5), replica_key("i-2", 5));
}

#[test]
fn total_any_router_that_was_refused_tells_all() {
    let mut told = Told::default();
    let refused = Work {
        is_refusing: true,
        version: 4,
        ..Work::default()
    };
    let travelled = WorkNews::of(&[(1, refused), (2, work(1, 0))].into()).into_works();
    told.take_sum("z".into(), travelled, ms(0));
    let total = told.total(&[(1, work(2, 0))].into());
    assert!(total[&1].is_refusing);
    assert_eq!(total[&1].version, 4);
    assert!(!total[&2].is_refusing);
    assert!(told.others_of(&"a".into(), &total)[&1].is_refusing);
}
