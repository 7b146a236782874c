//! Reports over a whole deployment on loopback: burn, explain, status, metrics, and what logs hold.

use std::time::Duration;

use crocuswharf::{BurnReport, BurnWindow, Explanation, FleetStatus, LogLevel, log_config};
use crocuswharf_standin::demo::{
    Fleet, OPERATOR_KEY, SHINEWELL, account_key, submit_ticket, wait_until_ready,
};
use serde_json::{Value, json};

const ROUTERS: usize = 3;
const PROMPT: &str = "a prompt that no log may hold";
const PATIENCE: Duration = Duration::from_secs(20);

async fn start() -> Fleet {
    let fleet = Fleet::start_with(SHINEWELL, ROUTERS, |engine| engine.token_interval_ms = 1)
        .await
        .unwrap();
    submit_ticket(&fleet).await.unwrap();
    wait_until_ready(&fleet).await.unwrap();
    fleet
}

fn http() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap()
}

/// Asks for a chat answer and returns the request's id.
async fn chat(fleet: &Fleet, router: usize) -> String {
    let address = fleet.addresses()[router].callers;
    let answer = http()
        .post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(account_key(0))
        .json(&json!({
            "model": fleet.deployment.model_service,
            "messages": [{"role": "user", "content": PROMPT}],
            "max_tokens": 5,
            "stream": true,
        }))
        .send()
        .await
        .unwrap();
    assert!(answer.status().is_success());
    let id = answer.headers()["x-crocuswharf-request-id"]
        .to_str()
        .unwrap()
        .to_owned();
    assert!(answer.text().await.unwrap().contains("[DONE]"));
    id
}

async fn report(fleet: &Fleet, router: usize, path: &str) -> reqwest::Response {
    let address = fleet.addresses()[router].operators;
    http()
        .get(format!("http://{address}{path}"))
        .bearer_auth(OPERATOR_KEY)
        .send()
        .await
        .unwrap()
}

/// Asks until all routers know each other.
async fn wait_for_members(fleet: &Fleet) {
    let deadline = tokio::time::Instant::now() + PATIENCE;
    loop {
        let mut known = Vec::new();
        for router in 0..ROUTERS {
            let status: FleetStatus = report(fleet, router, "/status").await.json().await.unwrap();
            known.push(status.members.len());
        }
        if known == [ROUTERS; ROUTERS] {
            return;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "members known: {known:?}"
        );
    }
}

/// Asks until the burn report holds `requests` requests of the model service.
async fn wait_for_requests(fleet: &Fleet, requests: u64) -> BurnReport {
    let deadline = tokio::time::Instant::now() + PATIENCE;
    loop {
        let burn: BurnReport = report(fleet, 0, "/burn?window=1h")
            .await
            .json()
            .await
            .unwrap();
        let service = burn
            .services
            .iter()
            .find(|service| &*service.service == fleet.deployment.model_service)
            .unwrap();
        if service.requests == requests {
            return burn;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "{} requests",
            service.requests
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn reports_join_all_routers() {
    let fleet = start().await;
    wait_for_members(&fleet).await;
    let mut ids = Vec::new();
    for router in 0..ROUTERS {
        ids.push(chat(&fleet, router).await);
    }
    let burn = wait_for_requests(&fleet, ROUTERS as u64).await;
    assert_eq!(burn.window, BurnWindow::Hour);
    assert_eq!((burn.members.len(), burn.missing.len()), (ROUTERS, 0));
    // Any router tells about a request that another one took.
    for id in &ids {
        let told: Explanation = report(&fleet, 0, &format!("/explain/{id}"))
            .await
            .json()
            .await
            .unwrap();
        assert_eq!(told.id.to_string(), *id);
        assert!(told.end.complete);
        assert_eq!(told.attempts.len(), 1);
        assert_eq!(told.answer_tokens > 0, told.ttft_ms.is_some());
    }
    let status: FleetStatus = report(&fleet, 1, "/status").await.json().await.unwrap();
    assert!(status.members.iter().all(|member| member.revision == 1));
    assert!(!status.hottest(3).is_empty());
    tokio::task::spawn_blocking(move || drop(fleet))
        .await
        .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn reports_refuse_strangers_and_unknown_ids() {
    let fleet = start().await;
    let address = fleet.addresses()[0].operators;
    for path in ["/burn", "/status", "/explain/x"] {
        let answer = http()
            .get(format!("http://{address}{path}"))
            .send()
            .await
            .unwrap();
        assert_eq!(answer.status(), 401, "{path}");
    }
    for (path, status) in [
        ("/burn?window=7h", 400),
        ("/explain/x", 400),
        ("/explain/00000000-0000-7000-8000-000000000000", 404),
    ] {
        assert_eq!(report(&fleet, 0, path).await.status(), status, "{path}");
    }
    let metrics = http()
        .get(format!("http://{address}/metrics"))
        .send()
        .await
        .unwrap();
    assert_eq!(metrics.status(), 200);
    tokio::task::spawn_blocking(move || drop(fleet))
        .await
        .unwrap();
}

/// A sink for all log lines of this process.
#[derive(Clone, Default)]
struct Sink(std::sync::Arc<std::sync::Mutex<Vec<u8>>>);

impl std::io::Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn logs_hold_no_prompt_and_no_keys() {
    let sink = Sink::default();
    let level = simplelog::LevelFilter::Trace;
    simplelog::WriteLogger::init(level, log_config(), sink.clone()).unwrap();
    let fleet = start().await;
    let id = chat(&fleet, 0).await;
    wait_for_requests(&fleet, 1).await;
    let text = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
    assert!(
        text.contains(&id),
        "the request left no line at level {:?}",
        LogLevel::Trace
    );
    for secret in [PROMPT, &account_key(0), OPERATOR_KEY, "demo-peer-key"] {
        assert!(!text.contains(secret), "a log line holds {secret:?}");
    }
    tokio::task::spawn_blocking(move || drop(fleet))
        .await
        .unwrap();
}

/// Sends one payment twice under one key, and returns the ids of both requests.
async fn pay_twice(fleet: &Fleet) -> Vec<String> {
    let address = fleet.addresses()[0].callers;
    let service = fleet.deployment.plain_service;
    let key = uuid::Uuid::now_v7().to_string();
    let mut ids = Vec::new();
    for _ in 0..2 {
        let answer = http()
            .post(format!("http://{address}/services/{service}/payments"))
            .bearer_auth(account_key(0))
            .header("idempotency-key", &key)
            .send()
            .await
            .unwrap();
        assert!(answer.status().is_success());
        let id = answer.headers()["x-crocuswharf-request-id"].to_str();
        ids.push(id.unwrap().to_owned());
    }
    ids
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_kept_answer_has_a_first_byte() {
    let fleet = start().await;
    let ids = pay_twice(&fleet).await;
    let kept = fleet.explain(&ids[1]).await.unwrap();
    assert_eq!(kept["claim"], "answer_kept");
    assert_ne!(kept["ttft_ms"], Value::Null);
}
