//! The waits for the begin of requests, and replays of replicas with old weights that decide by them.
//!
//! The replays have no withdrawal, so that they show how many requests would need it.

use std::collections::VecDeque;

use yare::parameterized;

use super::ms;
use crate::gateway::load::{
    BeginWaits, LoadMap, LoadMessage, LoadSample, PeerLoads, allowed_wait, begin_wait,
};
use crate::gateway::placement::{WeightsBounds, WeightsStatus};

const BOUND_MS: u64 = 10_000;
const BOUNDS: WeightsBounds = WeightsBounds {
    stale_after: ms(1_500),
    expired_after: Some(ms(8_500)),
    withdrawn_after: Some(ms(9_500)),
};
/// When the newer version is named.
const NAMED_MS: u64 = 15_000;
const END_MS: u64 = 30_000;
const STEP_MS: u64 = 10;
const SLOTS: usize = 48;
const MAX_QUEUED: usize = 144;
const ROUTERS: usize = 24;
/// The interval of reports, which arrive one interval later.
const REPORT_MS: u64 = 150;
/// The time from the begin to the first event.
const PREFILL_MS: u64 = 100;

/// A replica that takes no order.
#[derive(Clone, Default)]
struct Engine {
    run_ms: u64,
    waiting: VecDeque<Sent>,
    /// When each running request ends.
    running: Vec<u64>,
    /// Requests that have begun, with the time of their first event.
    begun: VecDeque<(u64, Sent)>,
}

#[derive(Clone, Copy)]
struct Sent {
    at_ms: u64,
    router: usize,
}

#[derive(Clone, Copy)]
struct Scenario {
    /// How long requests run at each replica.
    run_ms: &'static [u64],
    /// The interval between requests until the version is named, and 2 s later.
    interval_ms: (u64, u64),
    /// The prompt tokens of each request.
    tokens: u64,
    is_retryable: bool,
}

const FULL_HOUSE: Scenario = Scenario {
    run_ms: &[2_000],
    interval_ms: (20, 20),
    tokens: 300,
    is_retryable: true,
};

#[derive(Debug, Default)]
struct Outcome {
    /// The requests sent to old weights after the version was named.
    sent: usize,
    refused: usize,
    /// The ages of the version at the begins after the bound.
    late_ms: Vec<u64>,
    /// The begins at which the withdrawal is close or past.
    near: usize,
    latest_begin_ms: u64,
}

fn replay(scenario: Scenario) -> Outcome {
    let count = scenario.run_ms.len();
    let mut engines: Vec<Engine> = scenario
        .run_ms
        .iter()
        .map(|run_ms| Engine {
            run_ms: *run_ms,
            ..Engine::default()
        })
        .collect();
    let waits = || (0..count).map(|_| BeginWaits::default()).collect();
    let mut routers: Vec<Vec<BeginWaits>> = (0..ROUTERS).map(|_| waits()).collect();
    let mut others = LoadMap::new();
    let mut in_transit = LoadMap::new();
    let mut outcome = Outcome::default();
    let mut sent = 0_usize;
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        for (index, engine) in engines.iter_mut().enumerate() {
            engine.running.retain(|end_ms| *end_ms > now_ms);
            while engine.running.len() < SLOTS
                && let Some(request) = engine.waiting.pop_front()
            {
                engine.running.push(now_ms + engine.run_ms);
                engine.begun.push_back((now_ms + PREFILL_MS, request));
                if request.at_ms >= NAMED_MS {
                    let age_ms = now_ms - NAMED_MS;
                    outcome.latest_begin_ms = outcome.latest_begin_ms.max(age_ms);
                    outcome.near += usize::from(age_ms >= BOUND_MS - 1_000);
                    if age_ms >= BOUND_MS {
                        outcome.late_ms.push(age_ms);
                    }
                }
            }
            while let Some((_, request)) = engine.begun.pop_front_if(|(at_ms, _)| *at_ms <= now_ms)
            {
                routers[request.router][index].record_begin(ms(request.at_ms), ms(now_ms));
            }
        }
        if now_ms % REPORT_MS == 0 {
            others = std::mem::replace(&mut in_transit, report(&routers, now_ms));
        }
        let interval_ms = if now_ms < NAMED_MS + 2_000 {
            scenario.interval_ms.0
        } else {
            scenario.interval_ms.1
        };
        if now_ms % interval_ms != 0 {
            continue;
        }
        let router = sent % ROUTERS;
        let named: Vec<_> = now_ms
            .checked_sub(NAMED_MS)
            .map(|age| (2, ms(age)))
            .into_iter()
            .collect();
        let chosen = (0..count).map(|offset| (sent / ROUTERS + sent + offset) % count);
        let chosen = chosen.into_iter().find(|index| {
            let waiting = engines[*index].waiting.len();
            let mut load = LoadSample {
                prefill_tokens: waiting as u64 * scenario.tokens,
                begin_wait: routers[router][*index].wait(ms(now_ms)),
                ..LoadSample::default()
            };
            load.add(others.get(&(*index as u32)).copied().unwrap_or_default());
            let wait = allowed_wait(begin_wait(&load, 1.0), scenario.is_retryable);
            waiting < MAX_QUEUED && BOUNDS.status(1, &named, wait) != WeightsStatus::Expired
        });
        sent += 1;
        let is_named = now_ms >= NAMED_MS;
        let Some(index) = chosen else {
            outcome.refused += usize::from(is_named);
            continue;
        };
        outcome.sent += usize::from(is_named);
        routers[router][index].record_send(ms(now_ms));
        engines[index].waiting.push_back(Sent {
            at_ms: now_ms,
            router,
        });
    }
    outcome
}

/// Returns what a router knows of the others once their reports have arrived.
fn report(routers: &[Vec<BeginWaits>], now_ms: u64) -> LoadMap {
    let mut peers = PeerLoads::default();
    for (router, waits) in routers.iter().enumerate() {
        let samples = waits.iter().enumerate().map(|(index, waits)| {
            let sample = LoadSample {
                begin_wait: waits.wait(ms(now_ms)),
                ..LoadSample::default()
            };
            (index as u32, sample)
        });
        let loads = LoadMessage::of(&samples.collect()).into_loads();
        peers.record_follower(router.to_string().as_str().into(), loads, ms(now_ms));
    }
    peers.total(&LoadMap::new())
}

/// Requests waited for slots for longer than their prompts took, were sent shortly before the bound and began after it.
#[parameterized(
    full_house = { FULL_HOUSE },
    all_stuck = { Scenario { run_ms: &[2_000; 4], interval_ms: (10, 10), ..FULL_HOUSE } },
    one_quick_one_slow = { Scenario { run_ms: &[400, 2_400], interval_ms: (10, 10), ..FULL_HOUSE } },
    tokens_a_tenth = { Scenario { tokens: 30, ..FULL_HOUSE } },
    tokens_tenfold = { Scenario { tokens: 3_000, ..FULL_HOUSE } },
    fills_up_not_retryable = { Scenario { interval_ms: (40, 20), is_retryable: false, ..FULL_HOUSE } },
    not_retryable = { Scenario { run_ms: &[1_000], interval_ms: (20, 20), is_retryable: false, ..FULL_HOUSE } },
)]
fn begin_wait_keeps_requests_from_beginning_late(scenario: Scenario) {
    let outcome = replay(scenario);
    assert!(outcome.near == 0, "{} near the bound", outcome.near);
    assert!(
        outcome.late_ms.is_empty(),
        "{} of {} late, the last at {} ms",
        outcome.late_ms.len(),
        outcome.sent,
        outcome.latest_begin_ms
    );
}

/// A replica that was slow two seconds ago and is quick now gets requests on old weights again.
#[test]
fn wait_of_a_replica_that_became_quick_is_forgotten() {
    let mut waits = BeginWaits::default();
    for sent_ms in [0, 500, 1_000] {
        waits.record_send(ms(sent_ms));
    }
    assert_eq!(waits.wait(ms(5_950)), ms(6_000));
    for sent_ms in [0, 500, 1_000] {
        waits.record_begin(ms(sent_ms), ms(6_000));
    }
    for now_ms in (6_000..9_000).step_by(100) {
        waits.record_send(ms(now_ms));
        waits.record_begin(ms(now_ms), ms(now_ms + 50));
        let expected = if now_ms < 9_000 - 50 { 6_000 } else { 0 };
        assert_eq!(waits.wait(ms(now_ms + 50)), ms(expected), "{now_ms}");
    }
    assert_eq!(waits.wait(ms(9_000)), ms(0));
}

#[test]
fn wait_without_traffic_is_none() {
    let mut waits = BeginWaits::default();
    assert_eq!(waits.wait(ms(50_000)), ms(0));
    // A request that was refused or lost, and one that began at once.
    waits.record_send(ms(50_000));
    waits.end_wait(ms(50_000));
    waits.record_send(ms(52_000));
    waits.record_begin(ms(52_000), ms(52_250));
    assert_eq!(waits.wait(ms(53_000)), ms(0));
    waits.record_send(ms(54_000));
    waits.record_begin(ms(54_000), ms(55_010));
    assert_eq!(waits.wait(ms(56_000)), ms(1_100));
    assert_eq!(waits.wait(ms(90_000)), ms(0));
}

#[test]
fn wait_of_a_request_that_never_begins_grows() {
    let mut waits = BeginWaits::default();
    waits.record_send(ms(1_000));
    waits.record_send(ms(2_000));
    assert_eq!(waits.wait(ms(2_100)), ms(1_100));
    assert_eq!(waits.wait(ms(90_000)), ms(30_000));
    waits.end_wait(ms(1_000));
    assert_eq!(waits.wait(ms(3_000)), ms(1_000));
}

/// A router that is cut off from replicas must not make others expect long waits there.
#[test]
fn reported_wait_of_a_router_that_is_cut_off_has_begun_requests_only() {
    let mut waits = BeginWaits::default();
    waits.record_send(ms(1_000));
    waits.record_begin(ms(1_000), ms(1_500));
    waits.record_send(ms(1_400));
    assert_eq!(waits.reported_wait(ms(2_300), Some(ms(1_500))), ms(900));
    assert_eq!(waits.reported_wait(ms(2_500), Some(ms(1_500))), ms(500));
    assert_eq!(waits.reported_wait(ms(2_500), None), ms(500));
    assert_eq!(waits.wait(ms(2_500)), ms(1_100));
}

/// A request that can't be withdrawn without harm is sent only where even twice the wait ends in time.
#[test]
fn allowed_wait_of_a_request_that_cannot_run_twice_is_longer() {
    let load = LoadSample {
        begin_wait: ms(2_000),
        ..LoadSample::default()
    };
    let wait = begin_wait(&load, 1.0);
    let status = |is_retryable| {
        let named = [(2, ms(5_000))];
        BOUNDS.status(1, &named, allowed_wait(wait, is_retryable))
    };
    assert_eq!(status(true), WeightsStatus::Stale);
    assert_eq!(status(false), WeightsStatus::Expired);
}
