//! Rollouts of weights against simulated replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{known, ms};
use crate::gateway::fleet::KnownReplica;
use crate::gateway::route::ModelName;
use crate::gateway::weights::{OrderReply, WeightsReport, WeightsRollout, WeightsStep};

const STEP: Duration = Duration::from_millis(10);
const LOAD: Duration = Duration::from_millis(600);

/// Replicas that take orders as the platform's do, each one load at a time.
struct Site {
    replicas: Vec<KnownReplica>,
    accepted: Vec<u64>,
    loads: Vec<Option<(u64, Duration)>>,
    most_at_once: usize,
    orders: usize,
}

impl Site {
    fn new(count: usize) -> Self {
        Self {
            replicas: (0..count)
                .map(|index| known(&format!("r{index:02}"), 1))
                .collect(),
            accepted: vec![0; count],
            loads: vec![None; count],
            most_at_once: 0,
            orders: 0,
        }
    }

    /// Returns the replicas, all of them without work.
    fn idle(&self) -> Vec<(&KnownReplica, u32)> {
        self.replicas.iter().map(|known| (known, 0)).collect()
    }

    fn index(&self, id: &str) -> usize {
        let place = self
            .replicas
            .iter()
            .position(|replica| *replica.record.id == *id);
        place.expect("a replica of the site")
    }

    fn order(&mut self, id: &str, version: u64, expected: u64, now: Duration) -> OrderReply {
        let index = self.index(id);
        if self.loads[index].is_some() || self.accepted[index] != expected {
            return OrderReply::Conflict;
        }
        self.accepted[index] += 1;
        self.loads[index] = Some((version, now + LOAD));
        self.orders += 1;
        let loading = self.loads.iter().flatten().count();
        self.most_at_once = self.most_at_once.max(loading);
        OrderReply::Accepted
    }

    fn report(&self, id: &str) -> WeightsReport {
        let index = self.index(id);
        WeightsReport {
            accepted_orders: self.accepted[index],
            is_busy: self.loads[index].is_some(),
            weights: self.replicas[index].record.weights.clone(),
        }
    }

    fn advance(&mut self, now: Duration) {
        for (load, replica) in self.loads.iter_mut().zip(&mut self.replicas) {
            if let Some((version, _)) = load.filter(|(_, until)| now >= *until) {
                replica.record.weights[0].1 = version;
                *load = None;
            }
        }
    }

    /// Plays a rollout from `from` to `to`, with `wanted` named.
    fn play(&mut self, rollout: &mut WeightsRollout, wanted: u64, from: Duration, to: Duration) {
        let named: BTreeMap<ModelName, u64> = [("m".into(), wanted)].into();
        let mut now = from;
        while now < to {
            self.advance(now);
            let steps = rollout.step(&self.idle(), &named, 7, now);
            for step in steps {
                match step {
                    WeightsStep::Order {
                        target,
                        accepted_orders,
                        fencing_number,
                    } => {
                        let reply =
                            self.order(&target.replica, target.version, accepted_orders, now);
                        rollout.order_ended(&target.replica, reply, fencing_number, now);
                    }
                    WeightsStep::Report(target) => {
                        let report = self.report(&target.replica);
                        rollout.report_ended(&target.replica, Some(&report), now);
                    }
                    WeightsStep::Announce(_) | WeightsStep::Loaded(_) => {}
                }
            }
            now += STEP;
        }
    }

    fn versions(&self) -> Vec<u64> {
        let replicas = self.replicas.iter();
        replicas
            .filter_map(|replica| replica.version_of("m"))
            .collect()
    }
}

#[test]
fn step_reaches_all_replicas_within_limits() {
    let mut site = Site::new(18);
    let mut rollout = WeightsRollout::default();
    site.play(&mut rollout, 2, ms(0), ms(6_000));
    assert_eq!(site.versions(), [2; 18]);
    assert_eq!(site.orders, 18, "one order a replica");
    assert!(
        site.most_at_once <= 6,
        "{} loads at once",
        site.most_at_once
    );
}

#[test]
fn step_versions_in_quick_succession_leave_no_replica_behind() {
    let mut site = Site::new(12);
    let mut rollout = WeightsRollout::default();
    for version in 2..8 {
        let from = ms((version - 2) * 2_400);
        site.play(&mut rollout, version, from, from + ms(2_400));
        let oldest = site.versions().into_iter().min().unwrap_or_default();
        assert!(
            oldest + 2 >= version,
            "version {oldest} serves while {version} is named"
        );
    }
}

#[test]
fn order_ended_fenced_stops_until_a_higher_number() {
    let mut site = Site::new(3);
    let mut rollout = WeightsRollout::default();
    site.play(&mut rollout, 2, ms(0), ms(60));
    let replica = site.replicas[0].record.id.clone();
    rollout.order_ended(&replica, OrderReply::Fenced, 7, ms(60));
    let named: BTreeMap<ModelName, u64> = [("m".into(), 2)].into();
    assert!(rollout.step(&site.idle(), &named, 7, ms(100)).is_empty());
    assert!(!rollout.step(&site.idle(), &named, 8, ms(110)).is_empty());
}

#[test]
fn order_ended_unanswered_asks_before_it_orders_again() {
    let mut site = Site::new(1);
    let mut rollout = WeightsRollout::default();
    let named: BTreeMap<ModelName, u64> = [("m".into(), 2)].into();
    let mut now = ms(0);
    let mut steps = Vec::new();
    // Until the first order goes out, whose answer is lost though it was taken.
    while !steps
        .iter()
        .any(|step| matches!(step, WeightsStep::Order { .. }))
    {
        steps = rollout.step(&site.idle(), &named, 7, now);
        for step in &steps {
            if let WeightsStep::Report(target) = step {
                let report = site.report(&target.replica);
                rollout.report_ended(&target.replica, Some(&report), now);
            }
        }
        now += STEP;
    }
    let replica = site.replicas[0].record.id.clone();
    assert_eq!(site.order(&replica, 2, 0, now), OrderReply::Accepted);
    rollout.order_ended(&replica, OrderReply::Unanswered, 7, now);
    site.play(&mut rollout, 2, now, now + ms(5_000));
    assert_eq!(site.versions(), [2]);
    assert_eq!(site.orders, 1, "the order was not given twice");
}

#[test]
fn step_waits_for_queues_to_run_down() {
    let mut site = Site::new(6);
    let mut rollout = WeightsRollout::default();
    let named: BTreeMap<ModelName, u64> = [("m".into(), 2)].into();
    let mut announced_at = BTreeMap::new();
    let mut waits = BTreeMap::new();
    for tick in 0..600 {
        let now = ms(tick * 10);
        site.advance(now);
        // The first replica has more requests than it runs at once.
        let replicas: Vec<_> = site.replicas.iter().zip([40, 3, 3, 3, 3, 3]).collect();
        let steps = rollout.step(&replicas, &named, 7, now);
        for step in steps {
            match step {
                WeightsStep::Report(target) => {
                    let report = site.report(&target.replica);
                    rollout.report_ended(&target.replica, Some(&report), now);
                }
                WeightsStep::Announce(target) => {
                    announced_at.insert(target.replica, now);
                }
                WeightsStep::Order {
                    target,
                    accepted_orders,
                    fencing_number,
                } => {
                    waits.insert(target.replica.clone(), now - announced_at[&target.replica]);
                    let reply = site.order(&target.replica, 2, accepted_orders, now);
                    rollout.order_ended(&target.replica, reply, fencing_number, now);
                }
                WeightsStep::Loaded(_) => {}
            }
        }
    }
    assert_eq!(site.versions(), [2; 6]);
    assert!(waits["r00"] >= ms(300), "{:?}", waits["r00"]);
    assert!(waits["r01"] <= ms(20), "{:?}", waits["r01"]);
}
