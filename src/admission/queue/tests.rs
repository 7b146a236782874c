//! The fair queue and shedding, alone and before a service that one account floods.

use std::collections::BinaryHeap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

use super::{FairQueue, QueueLimits, Waiting};
use crate::admission::shed::{Admission, ServiceRate, admit};

const LIMITS: QueueLimits = QueueLimits {
    max_waiting: 2_000,
    burst_cost: 60_000,
};
const SLOTS: usize = 36;
const TOKENS_PER_SECOND: f64 = 20_000.0;
const DEADLINE: Duration = Duration::from_secs(5);
/// The account that floods; its name sorts first, so that ties of the queue's order favour it.
const FLOOD: usize = 0;
const RUN_SECONDS: f64 = 120.0;

fn waiting(account: &str, cost: u64) -> Waiting<u64> {
    Waiting {
        account: account.into(),
        weight: 1,
        cost,
        deadline: DEADLINE,
        item: cost,
    }
}

#[test]
fn queue_alternates_between_accounts() {
    let mut queue = FairQueue::new(QueueLimits {
        burst_cost: 0,
        ..LIMITS
    });
    (0..4).for_each(|_| assert!(queue.push(waiting("a-flood", 100)).is_none()));
    (0..2).for_each(|_| assert!(queue.push(waiting("calm", 100)).is_none()));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    let early = order.iter().take(4).filter(|w| &*w.account == "calm");
    assert_eq!(early.count(), 2);
}

#[test]
fn queue_full_evicts_largest_account() {
    let mut queue = FairQueue::new(QueueLimits {
        max_waiting: 3,
        ..LIMITS
    });
    (0..3).for_each(|_| assert!(queue.push(waiting("a-flood", 100)).is_none()));
    let evicted = queue.push(waiting("calm", 100)).unwrap();
    assert_eq!(&*evicted.account, "a-flood");
    assert_eq!(queue.len(), 3);
}

#[test]
fn queue_random_operations_keep_counts() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut queue = FairQueue::new(QueueLimits {
        max_waiting: 50,
        burst_cost: 500,
    });
    let (mut pushed, mut gone) = (0_usize, 0_usize);
    for step in 0..20_000_u64 {
        match rng.random_range(0..10) {
            0..6 => {
                let mut request = waiting(&format!("a{}", rng.random_range(0..200)), 1);
                request.cost = rng.random_range(0..900);
                request.weight = rng.random_range(0..4);
                request.deadline = Duration::from_secs(step + 40);
                pushed += 1;
                gone += usize::from(queue.push(request).is_some());
            }
            6..9 => gone += usize::from(queue.pop().is_some()),
            _ => gone += queue.expire(Duration::from_secs(step)).len(),
        }
        assert_eq!(queue.len(), pushed - gone);
    }
    gone += std::iter::from_fn(|| queue.pop()).count();
    assert_eq!(pushed, gone);
}

#[parameterized(
    in_time = { 20_000, true },
    too_late = { 200_000, false },
)]
fn admit_deadline(cost_ahead: u64, is_queued: bool) {
    let rate = ServiceRate::new(TOKENS_PER_SECOND, Duration::ZERO);
    let admission = admit(cost_ahead, &rate, Duration::from_millis(200), DEADLINE);
    assert_eq!(matches!(admission, Admission::Queue { .. }), is_queued);
}

/// How requests wait for a slot.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Order {
    Fair,
    Arrival,
}

struct Outcome {
    p50: Duration,
    p99: Duration,
    flood_served: usize,
    flood_shed: usize,
    calm_shed: usize,
}

/// Arrivals of seven calm accounts at 60 % of the service's rate, and of an eighth that sends `flood` times the rate.
fn arrivals(flood: f64, rng: &mut ChaCha8Rng) -> Vec<(Duration, usize, u64)> {
    let mean_cost = 0.75 * 2_000.0 + 0.2 * 6_000.0 + 0.05 * 16_000.0;
    let capacity = SLOTS as f64 * TOKENS_PER_SECOND / mean_cost;
    let mut arrivals = Vec::new();
    for account in 0..8 {
        let rate = match account {
            FLOOD => capacity * flood,
            _ => capacity * 0.6 / 7.0,
        };
        let mut at = 0.0;
        while rate > 0.0 && at < RUN_SECONDS {
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            let cost = match rng.random_range(0..100) {
                0..75 => 2_000,
                75..95 => 6_000,
                _ => 16_000,
            };
            arrivals.push((Duration::from_secs_f64(at), account, cost));
        }
    }
    arrivals.sort_unstable();
    arrivals
}

/// Serves the arrivals over the slots and returns the calm accounts' 99th percentile of time to first token.
fn serve(flood: f64, order: Order) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let arrivals = arrivals(flood, &mut rng);
    let mut queue = FairQueue::new(LIMITS);
    let mut rate = ServiceRate::new(SLOTS as f64 * TOKENS_PER_SECOND, Duration::ZERO);
    let mut busy: BinaryHeap<std::cmp::Reverse<Duration>> = BinaryHeap::new();
    let (mut calm, mut flood_served, mut flood_shed, mut calm_shed) = (Vec::new(), 0, 0, 0);
    let mut next = arrivals.iter().peekable();
    loop {
        let arrival = next.peek().map(|(at, ..)| *at);
        let slot = busy.peek().map(|slot| slot.0);
        let Some(now) = arrival.into_iter().chain(slot).min() else {
            break;
        };
        if slot == Some(now) {
            busy.pop();
        } else if let Some((at, account, cost)) = next.next() {
            let name = format!("account-{account}").into();
            let (lane, ahead) = match order {
                Order::Fair => (name, None),
                Order::Arrival => ("all".into(), Some(0)),
            };
            let ahead = ahead.unwrap_or_else(|| queue.cost_ahead(&lane));
            let service_time = Duration::from_secs_f64(*cost as f64 / TOKENS_PER_SECOND);
            let admission = admit(ahead, &rate, service_time, DEADLINE);
            let request = Waiting {
                account: lane,
                weight: 1,
                cost: *cost,
                deadline: *at + DEADLINE,
                item: (*at, *account),
            };
            let shed = match admission {
                Admission::Queue { .. } => queue.push(request).map(|request| request.item.1),
                Admission::Shed { .. } => Some(*account),
            };
            flood_shed += usize::from(shed == Some(FLOOD));
            calm_shed += usize::from(shed.is_some_and(|account| account != FLOOD));
        }
        while busy.len() < SLOTS {
            let Some(request) = queue.pop() else {
                break;
            };
            rate.served(request.cost, now);
            let done = now + Duration::from_secs_f64(request.cost as f64 / TOKENS_PER_SECOND);
            busy.push(std::cmp::Reverse(done));
            match request.item {
                (_, FLOOD) => flood_served += 1,
                (at, _) => calm.push(done - at),
            }
        }
    }
    calm.sort_unstable();
    Outcome {
        p50: calm[calm.len() / 2],
        p99: calm[calm.len() * 99 / 100],
        flood_served,
        flood_shed,
        calm_shed,
    }
}

#[test]
fn flood_isolated() {
    let quiet = serve(0.0, Order::Fair);
    let flooded = serve(5.0, Order::Fair);
    let by_arrival = serve(5.0, Order::Arrival);
    let ratio = flooded.p99.as_secs_f64() / quiet.p99.as_secs_f64();
    println!(
        "calm p50 {:?} alone, {:?} in the flood; p99 {:?} alone, {:?} in the flood (times {ratio:.3}), {:?} in order of arrival; flood: {} served, {} shed; \
         calm shed {}, by arrival {}",
        quiet.p50,
        flooded.p50,
        quiet.p99,
        flooded.p99,
        by_arrival.p99,
        flooded.flood_served,
        flooded.flood_shed,
        flooded.calm_shed,
        by_arrival.calm_shed,
    );
    assert!(ratio <= 1.1, "the flood raised the others' p99 by {ratio}");
    assert_eq!(flooded.calm_shed, 0);
    assert!(flooded.flood_served > 0 && flooded.flood_shed > 0);
}
