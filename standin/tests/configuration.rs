//! Live runs of tickets over a whole deployment on loopback: routers, platform and engines.
//!
//! Each run prints how long a change took to be in force everywhere and how many calls of the platform it cost; run
//! with `--nocapture` to see them. Deadlines only end a run that would never finish.

use std::time::{Duration, Instant};

use crocuswharf_standin::demo::{self, Deployment, Fleet, OPERATOR_KEY, SHINEWELL};
use crocuswharf_standin::platform::PlatformFaults;
use serde_json::{Value, json};

/// Ends a run that would never finish.
const DEADLINE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(10);

struct Bench {
    fleet: Fleet,
    http: reqwest::Client,
}

impl Bench {
    async fn start() -> Self {
        Self::start_with(SHINEWELL).await
    }

    async fn start_with(deployment: Deployment) -> Self {
        let fleet = Fleet::start(deployment).await.unwrap();
        demo::submit_ticket(&fleet).await.unwrap();
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let bench = Self { fleet, http };
        bench.wait_for(1).await;
        bench
    }

    async fn submit(&self, router: usize, ticket: &Value) -> (u16, Value) {
        let address = self.fleet.addresses()[router].operators;
        let request = self.http.post(format!("http://{address}/tickets"));
        let answer = request
            .bearer_auth(OPERATOR_KEY)
            .json(ticket)
            .send()
            .await
            .unwrap();
        (answer.status().as_u16(), answer.json().await.unwrap())
    }

    /// Waits until every router has ticket `number` in force, and returns how long that took.
    async fn wait_for(&self, revision: u64) -> Duration {
        let started = Instant::now();
        for addresses in self.fleet.addresses() {
            while self.revision_at(addresses.operators).await < revision {
                assert!(
                    started.elapsed() < DEADLINE,
                    "revision {revision} is not in force everywhere"
                );
                tokio::time::sleep(POLL).await;
            }
        }
        started.elapsed()
    }

    /// The revision in force shows without the platform.
    async fn revision_at(&self, operators: std::net::SocketAddr) -> u64 {
        let request = self.http.get(format!("http://{operators}/revision"));
        let answer = request.bearer_auth(OPERATOR_KEY).send().await.unwrap();
        answer.json::<Value>().await.unwrap()["revision"]
            .as_u64()
            .unwrap()
    }
}

fn preference(ticket: u64, homes: u32) -> Value {
    json!({"ticket": ticket, "preferences": {"users": {"homes": homes}}})
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ticket_is_in_force_everywhere() {
    let bench = Bench::start().await;
    let before = bench.fleet.platform.counts();
    let sent = Instant::now();
    let (code, reply) = bench.submit(0, &preference(2, 3)).await;
    let accepted = sent.elapsed();
    assert_eq!((code, reply["outcome"].as_str()), (200, Some("accepted")));
    let spread = bench.wait_for(2).await;
    let after = bench.fleet.platform.counts();
    println!(
        "accepted in {accepted:?}, in force at 9 routers {spread:?} later, reads {}, writes {}",
        after.reads - before.reads,
        after.writes - before.writes
    );
    let (code, reply) = bench.submit(5, &preference(2, 3)).await;
    assert_eq!((code, reply["revision"].as_u64()), (200, Some(2)));
    assert_eq!(bench.submit(5, &preference(2, 4)).await.0, 409);
    assert_eq!(bench.submit(5, &preference(1, 4)).await.0, 409);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ticket_spreads_although_watches_go_silent() {
    let bench = Bench::start().await;
    bench.fleet.platform.set_faults(PlatformFaults {
        silent_watches: true,
        ..PlatformFaults::default()
    });
    assert_eq!(bench.submit(0, &preference(2, 3)).await.0, 200);
    println!(
        "in force at 9 routers with silent watches {:?} after acceptance",
        bench.wait_for(2).await
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ticket_whose_answers_are_lost_is_settled() {
    let bench = Bench::start().await;
    let faults = PlatformFaults {
        lose_write_answers: true,
        ..PlatformFaults::default()
    };
    bench.fleet.platform.set_faults(faults);
    let (code, reply) = bench.submit(0, &preference(2, 3)).await;
    assert_eq!(
        (code, reply["revision"].as_u64()),
        (200, Some(2)),
        "{reply}"
    );
    println!(
        "in force at 9 routers with lost answers {:?} after acceptance",
        bench.wait_for(2).await
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ticket_during_an_outage_changes_nothing_and_a_resend_is_accepted() {
    let bench = Bench::start().await;
    bench.fleet.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let (code, reply) = bench.submit(0, &preference(2, 3)).await;
    assert_eq!(
        (code, reply["outcome"].as_str()),
        (503, Some("unavailable")),
        "{reply}"
    );
    bench.fleet.platform.set_faults(PlatformFaults::default());
    assert_eq!(bench.submit(1, &preference(2, 3)).await.0, 200);
    println!(
        "in force at 9 routers after an outage {:?} after acceptance",
        bench.wait_for(2).await
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ticket_spreads_by_peers_when_the_platform_goes_down_right_after_acceptance() {
    let bench = Bench::start().await;
    bench.fleet.platform.set_faults(PlatformFaults {
        silent_watches: true,
        ..PlatformFaults::default()
    });
    assert_eq!(bench.submit(0, &preference(2, 3)).await.0, 200);
    bench.fleet.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    println!(
        "in force at 9 routers with the platform down {:?} after acceptance",
        bench.wait_for(2).await
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn status_counts_the_members_where_a_ticket_is_in_force() {
    let bench = Bench::start().await;
    let address = bench.fleet.addresses()[4].operators;
    let url = format!("http://{address}/tickets/1/status");
    let started = Instant::now();
    loop {
        let request = bench.http.get(&url).bearer_auth(OPERATOR_KEY);
        let status: Value = request.send().await.unwrap().json().await.unwrap();
        if status["in_force"] == 9 && status["members"] == 9 {
            break;
        }
        assert!(started.elapsed() < DEADLINE, "{status}");
        tokio::time::sleep(POLL).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn new_weights_roll_over_a_pool_under_one_lease() {
    let deployment = Deployment {
        engines: 6,
        ..SHINEWELL
    };
    let bench = Bench::start_with(deployment).await;
    let mut ticket = bench.fleet.ticket(2);
    ticket["pools"]["engines"]["weights_version"] = json!(2);
    let ticket = json!({"ticket": 2, "pools": {"engines": ticket["pools"]["engines"]}});
    let started = Instant::now();
    assert_eq!(bench.submit(0, &ticket).await.0, 200);
    let engines = || bench.fleet.engines.iter().map(|running| &running.engine);
    while engines().any(|engine| engine.load().weights_version != 2) {
        assert!(started.elapsed() < DEADLINE, "the weights do not arrive");
        tokio::time::sleep(POLL).await;
    }
    println!(
        "new weights at 6 engines {:?} after the ticket was sent",
        started.elapsed()
    );
    for engine in engines() {
        let orders = engine.applied_orders();
        let numbers: Vec<u64> = orders.iter().map(|order| order.fencing_number).collect();
        assert!(numbers.is_sorted(), "{numbers:?}");
        assert_eq!(engine.weights_loads(), 1, "{orders:?}");
        // A holder whose lease lapsed, as under a stopped process, asks each engine to keep its weights under its new number:
        // such an order has a number of its own and loads nothing.
        let kept = orders.iter().filter(|order| order.weights_version == 2);
        let kept: Vec<u64> = kept.map(|order| order.fencing_number).collect();
        assert!(kept.is_sorted_by(|a, b| a < b), "{orders:?}");
    }
}
