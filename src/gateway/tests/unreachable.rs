//! Tests of the shared view of unreachable replicas, which replay routers that exchange their reports.

use std::collections::{HashMap, HashSet};

use prost::Message;

use super::ms;
use crate::gateway::load::{ConnectionSample, LoadMessage, ReplicaKey, UnreachableView};
use crate::id::RouterId;

const ROUTERS: usize = 20;
const REPLICAS: ReplicaKey = 12;
/// The first routers aggregate the reports of the others.
const AGGREGATING: usize = 2;
const REQUEST_INTERVAL_MS: u64 = 60;
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Routers with virtual time; a step is 10 ms, and reports are exchanged as by the control thread.
struct Fleet {
    now: u64,
    routers: Vec<RouterId>,
    views: Vec<UnreachableView>,
    samples: Vec<HashMap<ReplicaKey, ConnectionSample>>,
    /// The ends of connections that fail, by router and replica.
    failing: Vec<(u64, usize, ReplicaKey)>,
    excluded: Vec<HashSet<ReplicaKey>>,
    /// The requests that were sent to replicas that do not accept connections.
    failed_requests: usize,
    probes: usize,
}

impl Fleet {
    fn new() -> Self {
        let routers: Vec<RouterId> = (0..ROUTERS)
            .map(|index| format!("r{index}").into())
            .collect();
        let views = routers.iter().cloned().map(UnreachableView::new).collect();
        Self {
            now: 10_000,
            routers,
            views,
            samples: vec![HashMap::new(); ROUTERS],
            failing: Vec::new(),
            excluded: vec![HashSet::new(); ROUTERS],
            failed_requests: 0,
            probes: 0,
        }
    }

    /// Runs for `time_ms`; `reaches` tells which router reaches which replica.
    fn run(&mut self, time_ms: u64, reaches: impl Fn(usize, ReplicaKey) -> bool) {
        for _ in 0..time_ms / 10 {
            self.now += 10;
            self.end_failing();
            for router in 0..ROUTERS {
                let due = (self.now + 7 * router as u64) / 10 * 10;
                if due.is_multiple_of(REQUEST_INTERVAL_MS) {
                    self.request(router, &reaches);
                }
                self.advance(router, &reaches);
                self.exchange(router, &reaches);
            }
        }
    }

    fn connect(&mut self, router: usize, replica: ReplicaKey, is_reached: bool) {
        if is_reached {
            let sample = self.samples[router]
                .entry(replica)
                .or_insert(ConnectionSample {
                    failed_at: None,
                    responded_at: None,
                });
            sample.responded_at = Some(ms(self.now));
        } else {
            self.failing
                .push((self.now + CONNECT_TIMEOUT_MS, router, replica));
        }
    }

    fn end_failing(&mut self) {
        let now = self.now;
        let ended = self.failing.extract_if(.., |(at, _, _)| *at <= now);
        for (at, router, replica) in ended {
            let sample = self.samples[router]
                .entry(replica)
                .or_insert(ConnectionSample {
                    failed_at: None,
                    responded_at: None,
                });
            sample.failed_at = Some(ms(at));
        }
    }

    /// Sends a request to one of the replicas that the router's view does not exclude.
    fn request(&mut self, router: usize, reaches: &impl Fn(usize, ReplicaKey) -> bool) {
        let turn = (self.now / REQUEST_INTERVAL_MS) as ReplicaKey * 5 + router as ReplicaKey;
        let replica = turn % REPLICAS;
        if self.excluded[router].contains(&replica) {
            return;
        }
        let is_reached = reaches(router, replica);
        self.failed_requests += usize::from(!is_reached);
        self.connect(router, replica, is_reached);
    }

    fn advance(&mut self, router: usize, reaches: &impl Fn(usize, ReplicaKey) -> bool) {
        let now = ms(self.now);
        let samples: Vec<_> = self.samples[router].clone().into_iter().collect();
        self.views[router].observe(samples, now);
        self.views[router].evaluate(now);
        self.excluded[router] = self.views[router].excluded([(0..REPLICAS).collect()]);
        let routers: Vec<_> = self.routers.iter().collect();
        for replica in self.views[router].due_probes(&routers, now) {
            self.probes += 1;
            self.connect(router, replica, reaches(router, replica));
        }
    }

    /// Exchanges the reports of a router; one that reaches no replica reaches no router either.
    fn exchange(&mut self, router: usize, reaches: &impl Fn(usize, ReplicaKey) -> bool) {
        let is_cut = |router: usize| (0..REPLICAS).all(|replica| !reaches(router, replica));
        let now = ms(self.now);
        let turn = self.now + 30 * router as u64;
        let from = self.routers[router].clone();
        if is_cut(router) {
            return;
        }
        if router < AGGREGATING && turn.is_multiple_of(150) {
            let report = self.views[router].local_report(now);
            let others = (0..AGGREGATING).filter(|other| *other != router && !is_cut(*other));
            for other in others {
                self.views[other].record_aggregate(from.clone(), &report, now);
            }
        }
        let source = router % AGGREGATING;
        if router >= AGGREGATING && turn.is_multiple_of(200) && !is_cut(source) {
            let report = self.views[router].local_report(now);
            self.views[source].record_follower(from, &report, now);
            let total = self.views[source].total_report(now);
            let source = self.routers[source].clone();
            self.views[router].record_aggregate(source, &total, now);
        }
    }
}

/// A quarter of the replicas is silent for 19 s: without the view, each router finds that out by itself again and again,
/// with a timeout each, and routers compute different homes.
#[test]
fn evaluate_silent_replicas_are_avoided_by_all_routers_and_probed_by_one() {
    let mut fleet = Fleet::new();
    fleet.run(2_000, |_, _| true);
    fleet.run(1_500, |_, replica| replica >= 3);
    let silent: HashSet<ReplicaKey> = (0..3).collect();
    assert!(fleet.excluded.iter().all(|excluded| *excluded == silent));
    let failed_at_first = fleet.failed_requests;
    assert!(failed_at_first <= 2 * 3 * ROUTERS, "{failed_at_first}");
    fleet.run(17_500, |_, replica| replica >= 3);
    assert_eq!(fleet.failed_requests, failed_at_first);
    assert!(fleet.excluded.iter().all(|excluded| *excluded == silent));
    assert!(
        (3 * 10..=3 * 40).contains(&fleet.probes),
        "{} probes",
        fleet.probes
    );
    fleet.run(1_500, |_, _| true);
    assert!(fleet.excluded.iter().all(HashSet::is_empty));
}

/// The failures of routers whose own link is cut must not keep the others from sound replicas, neither during the cut nor
/// after it, when their reports arrive.
#[test]
fn evaluate_routers_with_a_cut_link_exclude_nothing() {
    let mut fleet = Fleet::new();
    fleet.run(2_000, |_, _| true);
    let is_cut = |router: usize| (5..8).contains(&router);
    for _ in 0..100 {
        fleet.run(50, |router, _| !is_cut(router));
        assert!(fleet.excluded.iter().all(HashSet::is_empty));
    }
    for _ in 0..40 {
        fleet.run(50, |_, _| true);
        assert!(fleet.excluded.iter().all(HashSet::is_empty));
    }
}

/// Replicas that a third of the routers cannot reach respond to the others, so they must stay in use there.
#[test]
fn evaluate_replicas_that_respond_to_others_are_not_excluded_for_long() {
    let mut fleet = Fleet::new();
    fleet.run(2_000, |_, _| true);
    let reaches = |router: usize, replica| !router.is_multiple_of(3) || replica >= 3;
    fleet.run(1_000, reaches);
    let mut excluded = 0;
    for _ in 0..100 {
        fleet.run(50, reaches);
        excluded += fleet.excluded.iter().map(HashSet::len).sum::<usize>();
    }
    assert!(excluded * 20 < 100 * 3 * ROUTERS, "{excluded}");
}

/// If most replicas of a service look unreachable, the rest could not carry its load.
#[test]
fn excluded_most_replicas_of_a_service_are_kept() {
    let mut fleet = Fleet::new();
    fleet.run(2_000, |_, _| true);
    fleet.run(4_000, |_, replica| replica >= 7);
    assert!(fleet.excluded.iter().all(HashSet::is_empty));
    fleet.run(4_000, |_, replica| replica >= 6);
    assert!(fleet.excluded.iter().all(|excluded| excluded.len() == 6));
}

/// Two routers fail at a replica that nobody else uses, and end: what they reported must not outlive them for long.
#[test]
fn evaluate_reports_of_ended_routers_expire() {
    let mut fleet = Fleet::new();
    fleet.run(2_000, |_, _| true);
    fleet.run(3_000, |_, replica| replica >= 1);
    let report = fleet.views[0].total_report(ms(fleet.now));
    let mut view = UnreachableView::new("new".into());
    view.record_aggregate("r0".into(), &report, ms(fleet.now));
    assert_eq!(view.evaluate(ms(fleet.now)).added, [0]);
    assert_eq!(view.evaluate(ms(fleet.now + 1_600)).removed, [0]);
    assert!(view.local_report(ms(fleet.now + 1_600)).is_empty());
}

/// A malformed report must neither exclude a replica nor end the control thread.
#[test]
fn record_malformed_reports_exclude_nothing() {
    // A replica with three routers, but only one age; then ages beyond any time; then an age without a router.
    let reports: [&[u8]; 3] = [
        b"\x32\x15\x0d\x07\x00\x00\x00\x12\x0c\x01\x00\x00\x00\x02\x00\x00\x00\x03\x00\x00\x00\x18\x05",
        b"\x32\x1b\x0d\x07\x00\x00\x00\x12\x08\x01\x00\x00\x00\x02\x00\x00\x00\x1a\x0a\xff\xff\xff\xff\x0f\xff\xff\xff\xff\x0f",
        b"\x32\x08\x0d\x07\x00\x00\x00\x1a\x01\x05",
    ];
    for report in reports {
        let message = LoadMessage::decode(report).expect("the frame itself is valid");
        let mut view = UnreachableView::new("own".into());
        view.record_follower("a".into(), &message.reachability, ms(100));
        assert!(view.evaluate(ms(100)).added.is_empty());
        assert!(message.into_loads().is_empty());
    }
}
