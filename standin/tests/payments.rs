//! Payments through whole routers on loopback while the platform, the ledger and routers fail.

use std::net::SocketAddr;
use std::time::Duration;

use crocuswharf::refusal::HEADER_SEND_NUMBER;
use crocuswharf::{HEADER_IDEMPOTENCY_KEY, HEADER_RUN, Times};
use crocuswharf_standin::demo::{
    Fleet, SHINEWELL, account_key, default_times, submit_ticket, wait_until_ready,
};
use crocuswharf_standin::plain::PlainFaults;
use crocuswharf_standin::platform::PlatformFaults;
use reqwest::StatusCode;
use uuid::Uuid;

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(30);

/// What a caller sees of one send.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    run: String,
    body: String,
}

async fn start_fleet(routers: usize) -> Fleet {
    let fleet = Fleet::start_with(SHINEWELL, routers, |_| {}).await.unwrap();
    submit_ticket(&fleet).await.unwrap();
    wait_until_ready(&fleet).await.unwrap();
    fleet
}

fn callers(fleet: &Fleet, router: usize) -> SocketAddr {
    fleet.addresses()[router].callers
}

fn http() -> reqwest::Client {
    let builder = reqwest::Client::builder().no_proxy();
    builder.retry(reqwest::retry::never()).build().unwrap()
}

fn payment(router: SocketAddr, key: Uuid, body: &str) -> reqwest::RequestBuilder {
    http()
        .post(format!("http://{router}/services/stand-ledger/payments"))
        .bearer_auth(account_key(0))
        .header(HEADER_IDEMPOTENCY_KEY, key.to_string())
        .body(body.to_owned())
        .timeout(PATIENCE)
}

async fn answer(request: reqwest::RequestBuilder) -> Answer {
    let response = request.send().await.unwrap();
    let run = response.headers().get(HEADER_RUN);
    let run = run.map(|value| value.to_str().unwrap().to_owned());
    Answer {
        status: response.status(),
        run: run.unwrap_or_default(),
        body: response.text().await.unwrap(),
    }
}

async fn pay(router: SocketAddr, key: Uuid) -> Answer {
    answer(payment(router, key, "200")).await
}

/// Sends the key until its outcome is settled.
async fn pay_until_settled(router: SocketAddr, key: Uuid) -> Answer {
    let settled = async {
        loop {
            let answer = pay(router, key).await;
            if answer.run != "unknown" {
                return answer;
            }
        }
    };
    let settled = tokio::time::timeout(PATIENCE, settled).await;
    settled.expect("the outcome is settled")
}

fn runs(fleet: &Fleet, key: Uuid) -> u32 {
    let runs = fleet.plain.runs();
    runs.get(&key.to_string()).copied().unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn payment_repeated_through_other_router_runs_once() {
    let fleet = start_fleet(3).await;
    let key = Uuid::now_v7();
    let first = pay(callers(&fleet, 0), key).await;
    assert_eq!(
        (first.status, first.run.as_str()),
        (StatusCode::CREATED, "ran")
    );
    let repeat = pay_until_settled(callers(&fleet, 1), key).await;
    assert_eq!(repeat.body, first.body);
    assert_eq!(runs(&fleet, key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn payment_sent_at_once_to_all_routers_runs_once() {
    let fleet = start_fleet(3).await;
    for _ in 0..10 {
        let key = Uuid::now_v7();
        let sends = (0..9).map(|send| pay(callers(&fleet, send % 3), key));
        let answers = futures_util::future::join_all(sends).await;
        assert!(answers.iter().all(|answer| answer.run != "not-run"));
        assert_eq!(runs(&fleet, key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn payment_answer_lost_is_unknown_and_not_repeated() {
    let fleet = start_fleet(2).await;
    fleet.plain.set_faults(PlainFaults {
        cut_after_run: true,
        ..PlainFaults::default()
    });
    let key = Uuid::now_v7();
    let first = pay(callers(&fleet, 0), key).await;
    assert_eq!(first.run, "unknown");
    fleet.plain.set_faults(PlainFaults::default());
    for router in [0, 1] {
        assert_eq!(pay(callers(&fleet, router), key).await.run, "unknown");
    }
    assert_eq!(runs(&fleet, key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn payment_caller_hangs_up_gets_answer_later() {
    let fleet = start_fleet(2).await;
    fleet.plain.set_faults(PlainFaults {
        delay: Duration::from_millis(300),
        ..PlainFaults::default()
    });
    let key = Uuid::now_v7();
    let hurried = payment(callers(&fleet, 0), key, "200").timeout(Duration::from_millis(150));
    assert!(hurried.send().await.is_err());
    let answer = pay_until_settled(callers(&fleet, 1), key).await;
    assert_eq!(answer.run, "ran");
    assert_eq!(runs(&fleet, key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn payment_platform_write_answers_lost_runs_once() {
    let fleet = start_fleet(2).await;
    fleet.platform.set_faults(PlatformFaults {
        lose_write_answers: true,
        ..PlatformFaults::default()
    });
    let key = Uuid::now_v7();
    assert_eq!(pay(callers(&fleet, 0), key).await.run, "ran");
    assert_eq!(runs(&fleet, key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn payment_platform_down_is_refused() {
    let fleet = start_fleet(2).await;
    let outage = PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    };
    fleet.platform.set_faults(outage);
    let router = callers(&fleet, 0);
    let (numbered, plain) = (Uuid::now_v7(), Uuid::now_v7());
    let first = payment(router, numbered, "200").header(HEADER_SEND_NUMBER, 1);
    assert_eq!(answer(first).await.run, "not-run");
    assert_eq!(pay(router, plain).await.run, "unknown");
    assert_eq!(runs(&fleet, numbered) + runs(&fleet, plain), 0);
    let receipt = http()
        .get(format!("http://{router}/services/stand-ledger/receipts/1"))
        .bearer_auth(account_key(0));
    assert_eq!(answer(receipt).await.status, StatusCode::OK);
    fleet.platform.set_faults(PlatformFaults::default());
    let again = payment(router, numbered, "200").header(HEADER_SEND_NUMBER, 2);
    assert_eq!(answer(again).await.run, "ran");
    assert_eq!(pay_until_settled(router, plain).await.run, "ran");
    assert_eq!(runs(&fleet, numbered) + runs(&fleet, plain), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn payment_router_killed_runs_at_most_once() {
    let mut fleet = start_fleet(2).await;
    fleet.plain.set_faults(PlainFaults {
        delay: Duration::from_millis(100),
        ..PlainFaults::default()
    });
    let keys: Vec<Uuid> = (0..20).map(|_| Uuid::now_v7()).collect();
    let sends: Vec<_> = keys
        .iter()
        .map(|key| tokio::spawn(payment(callers(&fleet, 0), *key, "200").send()))
        .collect();
    while fleet.plain.runs().is_empty() {
        tokio::task::yield_now().await;
    }
    let killed = fleet.routers[0].take().unwrap();
    tokio::task::spawn_blocking(move || drop(killed))
        .await
        .unwrap();
    futures_util::future::join_all(sends).await;
    for key in keys {
        let answer = pay(callers(&fleet, 0), key).await;
        let count = runs(&fleet, key);
        assert!(count <= 1, "a payment ran {count} times");
        assert!(answer.run != "not-run" || count == 0);
        assert!(answer.run != "ran" || count == 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn payment_key_reused_for_other_content_is_refused() {
    let fleet = start_fleet(1).await;
    let (router, key) = (callers(&fleet, 0), Uuid::now_v7());
    assert_eq!(pay(router, key).await.run, "ran");
    let other = answer(payment(router, key, "300")).await;
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(other.body.contains("idempotency_key_reused"));
    assert_eq!(runs(&fleet, key), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn payment_slower_than_idle_timeout_is_answered() {
    let times = Times {
        idle_timeout_ms: 300,
        ..default_times()
    };
    let fleet = Fleet::start_with_times(SHINEWELL, 1, times, |_| {})
        .await
        .unwrap();
    submit_ticket(&fleet).await.unwrap();
    wait_until_ready(&fleet).await.unwrap();
    fleet.plain.set_faults(PlainFaults {
        delay: Duration::from_millis(1_000),
        ..PlainFaults::default()
    });
    let answer = pay(callers(&fleet, 0), Uuid::now_v7()).await;
    assert_eq!(answer.run, "ran");
}
