//! Tests that no request finds a cached part of another account when one of the two is isolated.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use super::ms;
use crate::gateway::cache_isolation::{CacheIsolation, IsolationChange};
use crate::gateway::route::{GatewayAccount, GatewayConfiguration, RouteTable};

/// The longest time in which a version comes into force at a router.
const APPLY_LIMIT: Duration = ms(2_000);
/// The longest time from the arrival of a request to its last attempt.
const MAX_REQUEST: u64 = 3_000;

fn account(name: &str, is_isolated: bool) -> GatewayAccount {
    GatewayAccount {
        quota: None,
        name: name.into(),
        keys: Vec::new(),
        priority: None,
        is_isolated,
    }
}

fn isolation_of(isolated: &[&str]) -> CacheIsolation {
    let accounts: Vec<_> = isolated.iter().map(|name| account(name, true)).collect();
    CacheIsolation::new(&accounts)
}

#[test]
fn scope_each_weights_version_has_its_own() {
    let isolation = isolation_of(&[]);
    let domain = isolation.domain(None);
    assert_ne!(domain.scope(1), domain.scope(2));
}

#[test]
fn scope_depends_on_nothing_but_the_isolated_accounts() {
    let first = [account("a", true), account("b", false), account("c", true)];
    let mut second = first.clone();
    second.reverse();
    second[0].keys.push("key".into());
    second[1].priority = Some(3);
    let second = [&second[..], &[account("d", false)]].concat();
    assert_eq!(CacheIsolation::new(&first), CacheIsolation::new(&second));
}

/// An account name that no header can hold left the scope out, which replicas take for one that all share.
#[test]
fn scope_any_account_name_is_distinct_and_valid() {
    let names = [
        "",
        " ",
        "a",
        " a",
        "a ",
        "A",
        "a/b",
        "a%2Fb",
        "%",
        "%25",
        "*",
        "1/",
        "\n",
        "\u{0}",
        "\u{7f}",
        "ü",
        "u\u{308}",
        "*e3b0c44298fc1c149afbf4c8996fb924",
    ];
    let mut scopes = BTreeSet::new();
    for name in names {
        let (only, with_other) = (isolation_of(&[name]), isolation_of(&[name, "other"]));
        let own = account(name, true);
        assert_eq!(only.domain(Some(&own)), with_other.domain(Some(&own)));
        for scope in [
            only.domain(Some(&own)).scope(1),
            only.domain(None).scope(1),
            with_other.domain(None).scope(1),
        ] {
            assert!(scope.bytes().all(|byte| byte.is_ascii_graphic()), "{scope}");
            assert!(scopes.insert(scope.clone()), "{scope} of {name:?}");
        }
    }
}

#[parameterized(
    two_for_one = { &["a", "b"], &["ab"] },
    split = { &["a", "bc"], &["ab", "c"] },
    none = { &[], &[""] },
)]
fn scope_sets_with_the_same_letters_differ(first: &[&str], second: &[&str]) {
    assert_ne!(
        isolation_of(first).domain(None),
        isolation_of(second).domain(None)
    );
}

#[parameterized(
    still_shared = { false, &[], None },
    isolated_since = { false, &["a"], Some("a") },
    still_isolated = { true, &["a"], Some("a") },
    shared_since_or_removed = { true, &[], Some("a") },
    other_isolated = { false, &["b"], None },
)]
fn domain_of_a_request_accepted_before_a_change(
    was_isolated: bool,
    isolated: &[&str],
    expected: Option<&str>,
) {
    let account = account("a", was_isolated);
    let isolation = isolation_of(isolated);
    assert_eq!(isolation.domain(Some(&account)).account(), expected);
}

#[test]
fn change_since_counts_both_directions() {
    let (before, after) = (isolation_of(&["a", "b"]), isolation_of(&["b", "c", "d"]));
    let change = IsolationChange {
        added: 2,
        removed: 1,
    };
    assert_eq!(after.change_since(&before), Some(change));
    assert_eq!(after.change_since(&after), None);
}

/// One version of the configuration and when the operator wrote it.
struct Version {
    written_at: Duration,
    table: Arc<RouteTable>,
}

/// Writes versions at random times, often several within the time in which they come into force.
fn write_versions(rng: &mut impl Rng, names: &[String]) -> Vec<Version> {
    let mut accounts: BTreeMap<&str, bool> =
        names.iter().map(|name| (name.as_str(), false)).collect();
    let mut written_at = Duration::ZERO;
    (1..40)
        .map(|version| {
            for _ in 0..rng.random_range(0..4) {
                let name = names[rng.random_range(0..names.len())].as_str();
                match rng.random_range(0..4) {
                    0 => drop(accounts.remove(name)),
                    _ => drop(accounts.insert(name, rng.random_bool(0.4))),
                }
            }
            let configuration = GatewayConfiguration {
                version,
                accounts: accounts
                    .iter()
                    .map(|(name, is_isolated)| account(name, *is_isolated))
                    .collect(),
                ..GatewayConfiguration::default()
            };
            let table = Arc::new(RouteTable::new(configuration));
            let version = Version { written_at, table };
            written_at += if rng.random_bool(0.5) {
                ms(rng.random_range(50..1_500))
            } else {
                ms(rng.random_range(2_000..9_000))
            };
            version
        })
        .collect()
}

/// What one router has in force: the times at which it learned of versions, and those at which it started anew.
struct Router<'a> {
    versions: &'a [Version],
    learned_at: Vec<Duration>,
    /// When the process ends, and when the next one has a configuration.
    restarts: Vec<(Duration, Duration)>,
}

impl<'a> Router<'a> {
    fn new(versions: &'a [Version], end: Duration, rng: &mut impl Rng) -> Self {
        let delay = |rng: &mut _| ms(RngExt::random_range(rng, 0..2_000));
        let mut learned_at: Vec<_> = versions
            .iter()
            .map(|version| version.written_at + delay(rng))
            .collect();
        learned_at[0] = Duration::ZERO;
        // For a while it learns nothing; the bound on versions does not hold then.
        let restarts = (0..rng.random_range(0..4)).map(|_| {
            let at = ms(rng.random_range(0..end.as_millis() as u64));
            (at, at + delay(rng))
        });
        Self {
            versions,
            restarts: restarts.collect(),
            learned_at,
        }
    }

    /// Returns the table in force; `None` while the process has no configuration.
    fn table_at(&self, now: Duration) -> Option<&'a Arc<RouteTable>> {
        if self
            .restarts
            .iter()
            .any(|(end, start)| (*end..*start).contains(&now))
        {
            return None;
        }
        let mut indices = (0..self.versions.len()).rev();
        // A process that has started reads the newest version that had been written by then.
        let is_known = |index: &usize| {
            self.learned_at[*index] <= now
                || self
                    .restarts
                    .iter()
                    .any(|(_, start)| *start <= now && self.versions[*index].written_at <= *start)
        };
        let newest = indices.find(is_known)?;
        Some(&self.versions[newest].table)
    }
}

/// A request at a replica.
struct Arrival {
    at: Duration,
    accepted_at: Duration,
    account: Option<Arc<str>>,
    scope: String,
    part: u32,
}

fn send_requests(rng: &mut impl Rng, routers: &[Router<'_>], end: Duration) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for _ in 0..6_000 {
        let router = &routers[rng.random_range(0..routers.len())];
        let accepted_at = ms(rng.random_range(0..end.as_millis() as u64));
        let Some(table) = router.table_at(accepted_at) else {
            continue;
        };
        let accounts = &table.configuration().accounts;
        let account = (!accounts.is_empty() && rng.random_bool(0.95))
            .then(|| accounts[rng.random_range(0..accounts.len())].clone());
        let part = rng.random_range(0..4);
        // Later attempts follow after a wait for a prefill, a failure of a replica or in the middle of a stream.
        for _ in 0..rng.random_range(1..3) {
            let at = accepted_at + ms(rng.random_range(0..MAX_REQUEST));
            let Some(table) = router.table_at(at) else {
                continue;
            };
            let domain = table.cache_isolation().domain(account.as_ref());
            arrivals.push(Arrival {
                at,
                accepted_at,
                account: account.as_ref().map(|account| account.name.clone()),
                scope: domain.scope(1),
                part,
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

/// Returns the version that was in force at all routers from the start of a request to this attempt.
fn version_in_force<'a>(versions: &'a [Version], arrival: &Arrival) -> Option<&'a RouteTable> {
    let newest = versions
        .iter()
        .rev()
        .find(|version| version.written_at <= arrival.at)?;
    let is_applied = newest.written_at + APPLY_LIMIT <= arrival.accepted_at;
    is_applied.then_some(&*newest.table)
}

fn is_isolated(table: &RouteTable, name: Option<&Arc<str>>) -> bool {
    let accounts = &table.configuration().accounts;
    name.is_some_and(|name| {
        accounts
            .iter()
            .any(|account| account.name == *name && account.is_isolated)
    })
}

/// Plays one series of versions; returns how many uses of cached parts were judged.
///
/// The cache keeps all parts, as a KV store does that is large enough.
fn play(seed: u64, routers: usize) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let names: Vec<String> = (0..8).map(|index| format!("account-{index}")).collect();
    let versions = write_versions(&mut rng, &names);
    let end = versions.last().unwrap().written_at + ms(6_000);
    let routers: Vec<_> = (0..routers)
        .map(|_| Router::new(&versions, end, &mut rng))
        .collect();
    let mut makers: BTreeMap<(String, u32), BTreeSet<Option<Arc<str>>>> = BTreeMap::new();
    let mut shared_scopes: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
    let mut judged = 0;
    for arrival in send_requests(&mut rng, &routers, end) {
        let makers = makers
            .entry((arrival.scope.clone(), arrival.part))
            .or_default();
        if let Some(table) = version_in_force(&versions, &arrival) {
            let own_isolated = is_isolated(table, arrival.account.as_ref());
            for maker in makers.iter().filter(|maker| **maker != arrival.account) {
                judged += 1;
                assert!(
                    !own_isolated && !is_isolated(table, maker.as_ref()),
                    "seed {seed}: at {:?}, {:?} used part {} that {maker:?} made, version {}",
                    arrival.at,
                    arrival.account,
                    arrival.part,
                    table.version()
                );
            }
            if !own_isolated {
                let scopes = shared_scopes.entry(table.version()).or_default();
                scopes.insert(arrival.scope.clone());
            }
        }
        makers.insert(arrival.account);
    }
    for (version, scopes) in shared_scopes {
        assert_eq!(
            scopes.len(),
            1,
            "seed {seed}, version {version}: what may be shared is shared"
        );
    }
    judged
}

/// Parts that an account had cached before it became isolated stayed in the scope of the others.
#[parameterized(
    three_routers = { 3 },
    nine_routers = { 9 },
    many_routers = { 195 },
)]
fn play_any_series_of_changes_keeps_isolated_parts_apart(routers: usize) {
    let judged: usize = (0..20).map(|seed| play(seed, routers)).sum();
    assert!(judged > 1_000, "{judged}");
}
