//! Tests of route matching by host and longest prefix, API keys and weighted services.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::smallvec;
use yare::parameterized;

use crate::gateway::route::{
    CallKind, GatewayAccount, GatewayConfiguration, Route, RouteTable, WeightedService,
};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "A.example".into(),
        path_prefix: prefix.into(),
        kind: CallKind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        priority: 0,
        targets: smallvec![WeightedService {
            service: "s".into(),
            weight: 1
        }],
        max_attempts: 2,
        is_public: false,
        has_prompt_prefix: false,
    }
}

fn table() -> RouteTable {
    RouteTable::new(GatewayConfiguration {
        version: 1,
        routes: vec![route("short", "/a/"), route("long", "/a/b/")],
        accounts: vec![GatewayAccount {
            quota: None,
            name: "dues".into(),
            keys: vec!["k1".into(), "k2".into()],
            priority: None,
            is_isolated: false,
        }],
        ..GatewayConfiguration::default()
    })
}

#[parameterized(
    longest = { "a.example", "/a/b/c", Some("long") },
    shorter = { "a.example:80", "/a/bc", Some("short") },
    no_slash = { "a.example", "/a", None },
    other_host = { "b.example", "/a/b/", None },
)]
fn find_longest_prefix(host: &str, path: &str, expected: Option<&str>) {
    let table = table();
    let found = table.find(host, path).map(|route| &*route.name);
    assert_eq!(found, expected);
}

#[test]
fn account_for_each_key() {
    let table = table();
    let holder = |key| table.account_for_key(key).map(|account| &*account.name);
    assert_eq!(holder("k2"), Some("dues"));
    assert_eq!(holder("k3"), None);
    assert_eq!(holder(""), None);
}

#[test]
fn pick_service_by_weight() {
    let mut split = route("split", "/s/");
    let target = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
    split.targets = smallvec![target("many", 90), target("few", 10), target("none", 0)];
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let picks: Vec<_> = (0..1_000)
        .filter_map(|_| split.pick_service(&mut rng).cloned())
        .collect();
    let count = |name: &str| picks.iter().filter(|pick| ***pick == *name).count();
    assert!((850..950).contains(&count("many")), "{}", count("many"));
    assert_eq!(count("none"), 0);
}
