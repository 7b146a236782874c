//! Requests that wait at replicas with old weights, replayed without a network over the bounds that decide about them.

use std::collections::VecDeque;
use std::time::Duration;

use yare::parameterized;

use super::ms;
use crate::gateway::begin_limit::SPREAD;
use crate::gateway::placement::{WeightsBounds, WeightsStatus};

const BOUND: Duration = ms(10_000);
const BOUNDS: WeightsBounds = WeightsBounds {
    stale_after: ms(1_500),
    expired_after: Some(ms(8_200)),
    withdrawn_after: Some(ms(9_500)),
};
/// The time that the close of a connection takes to reach its replica.
const CLOSE_TIME: Duration = ms(40);
const STEP_MS: u64 = 5;

/// A replica that begins one request after the other.
#[derive(Clone, Default)]
struct Queue {
    /// The time from one begin to the next.
    begin_interval_ms: u64,
    /// When the replica serves each version that it loads; it never serves others.
    loads: &'static [(u64, u64)],
    waiting: VecDeque<Waiting>,
    next_begin_ms: u64,
}

#[derive(Clone, Copy)]
struct Waiting {
    version: u64,
    spread: Duration,
}

impl Queue {
    fn version(&self, now_ms: u64) -> u64 {
        let loaded = self.loads.iter().filter(|(at_ms, _)| now_ms >= *at_ms);
        loaded.map(|(_, version)| *version).max().unwrap_or(1)
    }
}

#[derive(Debug, Default)]
struct Outcome {
    /// The requests that began on each version, with the time since the first newer one was named.
    begun: usize,
    late: Vec<Duration>,
    withdrawn_ms: Vec<u64>,
    refused: usize,
}

/// Sends a request every `interval_ms` to one of `queues` in turn, while `versions` are named at these times. Routers
/// expect the wait at a replica to be `error` times what it is.
fn replay(
    mut queues: Vec<Queue>,
    versions: &[(u64, u64)],
    interval_ms: u64,
    error: f64,
) -> Outcome {
    let mut outcome = Outcome::default();
    let mut sent = 0_u64;
    for now_ms in (0..30_000).step_by(STEP_MS as usize) {
        let now = ms(now_ms);
        let named: Vec<(u64, Duration)> = versions
            .iter()
            .filter(|(at_ms, _)| now_ms >= *at_ms)
            .map(|(at_ms, version)| (*version, now - ms(*at_ms)))
            .collect();
        let since = |version: u64| {
            let newer = named.iter().filter(|(newer, _)| *newer > version);
            newer.map(|(_, age)| now - *age).min()
        };
        if now_ms % interval_ms == 0 {
            sent += 1;
            let spread = SPREAD.mul_f64((sent * 7 % 100) as f64 / 100.0);
            let start = sent as usize;
            let chosen = (0..queues.len()).map(|offset| (start + offset) % queues.len());
            let chosen = chosen.into_iter().find(|index| {
                let queue = &queues[*index];
                let wait_ms = queue.waiting.len() as u64 * queue.begin_interval_ms;
                let wait = ms(wait_ms).mul_f64(error) + spread;
                let status = BOUNDS.status(queue.version(now_ms), &named, wait);
                status != WeightsStatus::Expired
            });
            match chosen {
                Some(index) => {
                    let version = queues[index].version(now_ms);
                    queues[index].waiting.push_back(Waiting { version, spread });
                }
                None => outcome.refused += 1,
            }
        }
        for queue in &mut queues {
            let serves = queue.version(now_ms);
            queue.waiting.retain(|request| {
                // A load rejects what waits.
                if request.version != serves {
                    return false;
                }
                let withdrawn_at = since(request.version)
                    .and_then(|since| BOUNDS.withdrawn_at(since, request.spread));
                let is_withdrawn = withdrawn_at.is_some_and(|at| now >= at + CLOSE_TIME);
                if is_withdrawn {
                    outcome.withdrawn_ms.push(now_ms);
                }
                !is_withdrawn
            });
            if now_ms >= queue.next_begin_ms
                && let Some(request) = queue.waiting.pop_front()
            {
                queue.next_begin_ms = now_ms + queue.begin_interval_ms;
                outcome.begun += 1;
                if let Some(since) = since(request.version).filter(|since| now >= *since + BOUND) {
                    outcome.late.push(now - since);
                }
            }
        }
    }
    outcome
}

fn stuck(count: usize, begin_interval_ms: u64) -> Vec<Queue> {
    let queue = Queue {
        begin_interval_ms,
        ..Queue::default()
    };
    vec![queue; count]
}

fn loading(loads: &'static [(u64, u64)], begin_interval_ms: u64) -> Queue {
    Queue {
        begin_interval_ms,
        loads,
        ..Queue::default()
    }
}

/// A request that was sent before the bound waited at its replica and began after it.
#[parameterized(
    full_house = { stuck(2, 40), &[(1_000, 2)], 10, 1.0 },
    all_stuck = { stuck(4, 20), &[(1_000, 2)], 10, 1.0 },
    estimate_a_tenth = { stuck(2, 40), &[(1_000, 2)], 10, 0.1 },
    estimate_tenfold = { stuck(2, 40), &[(1_000, 2)], 10, 10.0 },
    no_estimate = { stuck(2, 40), &[(1_000, 2)], 10, 0.0 },
    many_versions = { stuck(3, 30), &[(1_000, 2), (1_400, 3), (2_600, 4), (9_000, 5)], 10, 0.1 },
    newer_loaded_late = { vec![loading(&[(10_200, 2)], 30), loading(&[(10_900, 2)], 30)], &[(1_000, 2)], 10, 0.1 },
    one_version_skipped = { vec![loading(&[(9_000, 3)], 30), loading(&[], 30)], &[(1_000, 2), (5_000, 3)], 10, 0.1 },
    one_quick_one_slow = { vec![loading(&[(3_000, 2)], 8), loading(&[], 160)], &[(1_000, 2)], 10, 0.1 },
)]
fn begin_never_after_the_bound(
    queues: Vec<Queue>,
    versions: &[(u64, u64)],
    interval_ms: u64,
    error: f64,
) {
    let outcome = replay(queues, versions, interval_ms, error);
    assert!(outcome.late.is_empty(), "{:?}", outcome.late);
    assert!(outcome.begun > 0);
}

/// All requests of a full house were taken off at one moment.
#[test]
fn withdrawn_at_full_house_is_spread_over_time() {
    let outcome = replay(stuck(2, 40), &[(1_000, 2)], 5, 0.0);
    let withdrawn = outcome.withdrawn_ms.len();
    assert!(withdrawn > 100, "{withdrawn}");
    let first = outcome.withdrawn_ms[0];
    let slices = (0..5).map(|slice| {
        let from_ms = first + slice * 100;
        let in_slice = |at_ms: &&u64| (from_ms..from_ms + 100).contains(*at_ms);
        outcome.withdrawn_ms.iter().filter(in_slice).count()
    });
    let most = slices.max().unwrap_or_default();
    assert!(most * 2 < withdrawn, "{most} of {withdrawn} within 100 ms");
}

/// A replica with the newest weights keeps what it has, however long that waits.
#[test]
fn withdrawn_at_newest_weights_never() {
    let outcome = replay(vec![loading(&[(0, 2)], 60)], &[(0, 2)], 20, 1.0);
    assert_eq!((outcome.withdrawn_ms.len(), outcome.refused), (0, 0));
}
