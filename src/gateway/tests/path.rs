//! Tests of the decisions about direct and relayed connections.

use super::ms;
use crate::gateway::helpers::{Helper, Helpers};
use crate::gateway::path::{Path, Reach, ReachChange};
use crate::gateway::relay_server::max_connections;
use crate::gateway::settings::VmSize;

#[test]
fn path_is_direct_until_it_is_cut_and_after_a_direct_connection() {
    let mut path = Path::default();
    assert!(path.prefers_direct(ms(0), 0.99));
    assert!(path.cut(ms(100)));
    assert!(!path.cut(ms(200)), "known already");
    assert!(!path.prefers_direct(ms(200), 0.0));
    assert_eq!(path.connected(ms(5_100)), Some(ms(5_000)));
    assert_eq!(path.connected(ms(5_200)), None);
    assert!(path.prefers_direct(ms(5_100), 0.2));
    assert!(!path.prefers_direct(ms(5_100), 0.3));
    assert!(path.prefers_direct(ms(5_600), 0.7));
    assert!(path.prefers_direct(ms(6_100), 0.99));
}

#[test]
fn take_due_probe_waits_longer_each_time_up_to_a_limit() {
    let mut path = Path::default();
    assert!(!path.take_due_probe(ms(60_000)), "the path is direct");
    path.cut(ms(0));
    let due: Vec<u64> = (0..6_000)
        .filter(|now| path.take_due_probe(ms(*now)))
        .collect();
    assert_eq!(due, [500, 1_000, 2_000, 4_000]);
}

#[test]
fn allows_idle_direct_while_the_replica_responds_directly() {
    let mut path = Path::default();
    assert!(path.allows_idle_direct(None, ms(9_000)));
    path.cut(ms(9_000));
    assert!(path.allows_idle_direct(Some(ms(8_500)), ms(9_000)));
    assert!(!path.allows_idle_direct(Some(ms(8_500)), ms(9_500)));
    assert!(!path.allows_idle_direct(None, ms(9_000)));
}

#[test]
fn evaluate_needs_two_replicas_and_a_relayed_connection_and_silence() {
    let mut reach = Reach::default();
    reach.relayed();
    reach.direct_failed(1, ms(1_000));
    reach.direct_failed(1, ms(1_100));
    assert_eq!(
        reach.evaluate(4, ms(2_000)),
        None,
        "one replica may be down"
    );
    reach.direct_failed(2, ms(1_150));
    assert_eq!(reach.evaluate(4, ms(2_000)), None, "all may be down");
    reach.relayed();
    assert_eq!(reach.evaluate(4, ms(1_199)), None, "too early");
    assert_eq!(reach.evaluate(4, ms(1_200)), Some(ReachChange::CutOff));
    assert_eq!(reach.evaluate(4, ms(1_250)), None, "no change");
    let restored = ReachChange::Restored(ms(800));
    assert_eq!(reach.direct_responded(ms(2_000)), Some(restored));
    assert!(!reach.is_cut_off());
}

/// All requests of a service may go to one replica, the home of their prefix.
#[test]
fn needs_probe_after_one_replica_failed_until_a_second_one_did() {
    let mut reach = Reach::default();
    reach.direct_failed(1, ms(1_000));
    assert!(!reach.needs_probe(4, ms(1_200)), "it may be down");
    reach.relayed();
    assert!(!reach.needs_probe(4, ms(1_199)), "too early");
    assert!(reach.needs_probe(4, ms(1_200)));
    assert!(!reach.needs_probe(1, ms(1_200)), "there is no other one");
    reach.direct_failed(2, ms(1_210));
    assert!(reach.has_failed(2) && !reach.has_failed(3));
    assert!(!reach.needs_probe(4, ms(1_220)));
    assert_eq!(reach.evaluate(4, ms(1_220)), Some(ReachChange::CutOff));
}

#[test]
fn evaluate_response_over_an_old_connection_is_no_cut() {
    let mut reach = Reach::default();
    for now in 1..100 {
        reach.direct_failed(1, ms(now * 100));
        reach.direct_failed(2, ms(now * 100));
        reach.relayed();
        assert_eq!(reach.direct_responded(ms(now * 100 + 50)), None);
        assert_eq!(reach.evaluate(4, ms(now * 100 + 99)), None);
    }
}

#[test]
fn evaluate_single_replica_is_enough_if_there_are_no_more() {
    let mut reach = Reach::default();
    reach.direct_failed(1, ms(0));
    reach.relayed();
    assert_eq!(reach.evaluate(1, ms(200)), Some(ReachChange::CutOff));
    assert_eq!(Reach::default().evaluate(0, ms(200)), None);
}

fn helper(router: &str, zone: &str) -> Helper {
    Helper {
        router: router.into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: zone.into(),
    }
}

#[test]
fn choose_spreads_connections_and_changes_the_zone_after_a_refusal() {
    let mut helpers = Helpers::default();
    helpers.set(["a1", "a2", "a3"].map(|router| helper(router, "a")));
    let mut rng = rand::rng();
    let chosen: Vec<_> = (0..30)
        .filter_map(|_| helpers.choose(None, ms(0), &mut rng))
        .collect();
    for router in ["a1", "a2", "a3"] {
        let count = chosen.iter().filter(|helper| *helper.router == *router);
        assert!((8..=12).contains(&count.count()), "{chosen:?}");
    }
    let all = ["a1", "a2", "a3"].map(|router| helper(router, "a"));
    helpers.set(all.into_iter().chain([helper("b1", "b")]));
    let refused = helper("a1", "a");
    for _ in 0..20 {
        let second = helpers.choose(Some(&refused), ms(0), &mut rng);
        assert_eq!(second, Some(helper("b1", "b")));
    }
}

#[test]
fn choose_leaves_out_routers_that_refused_for_a_second() {
    let mut helpers = Helpers::default();
    let mut rng = rand::rng();
    assert_eq!(helpers.choose(None, ms(0), &mut rng), None);
    helpers.set([helper("a1", "a")]);
    helpers.refused(&"a1".into(), ms(100));
    helpers.set([helper("a1", "a")]);
    assert_eq!(helpers.choose(None, ms(1_099), &mut rng), None);
    let chosen = helpers.choose(None, ms(1_100), &mut rng);
    assert_eq!(chosen, Some(helper("a1", "a")));
}

#[test]
fn max_connections_is_within_the_smallest_vm() {
    let vm = VmSize {
        core_share: 0.5,
        memory_mb: 120,
        descriptors: 1_000,
        link_mbps: 10.0,
    };
    assert_eq!(max_connections(&vm), 93);
}
