//! The limits of client accounts, and replicas that keep failing, through whole routers on loopback.

use std::net::SocketAddr;
use std::time::Duration;

use crocuswharf::Times;
use crocuswharf_standin::demo::{
    Fleet, SHINEWELL, account_key, default_times, submit_document, submit_ticket, wait_until_ready,
};
use reqwest::{Response, StatusCode};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// More requests than any router admits at once to an account whose limit is next to nothing.
const REQUESTS: usize = 20;

async fn chat(router: SocketAddr, account: usize) -> Response {
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    http.post(format!("http://{router}/v1/chat/completions"))
        .bearer_auth(account_key(account))
        .json(&json!({
            "model": SHINEWELL.model_service,
            "max_tokens": 1,
            "messages": [{"role": "user", "content": "when does the stand open?"}],
        }))
        .send()
        .await
        .unwrap()
}

/// Sets the limit of account 0 to one request in a thousand seconds.
async fn limit_account(fleet: &Fleet) {
    let mut account = fleet.ticket(2)["accounts"]["account-0"].clone();
    account["limits"] = json!({"requests_per_second": 0.001});
    let ticket = json!({"ticket": 2, "accounts": {"account-0": account}});
    submit_document(fleet, &ticket).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_one_account_refused_not_run_other_served() {
    let fleet = Fleet::start_with(SHINEWELL, 1, |_| {}).await.unwrap();
    submit_ticket(&fleet).await.unwrap();
    wait_until_ready(&fleet).await.unwrap();
    limit_account(&fleet).await;
    let router = fleet.addresses()[0].callers;
    let mut last = chat(router, 0).await;
    for _ in 0..REQUESTS {
        last = chat(router, 0).await;
    }
    assert_eq!(last.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(last.headers()["x-crocuswharf-run"], "not-run");
    assert!(last.headers().contains_key("retry-after"));
    let body: Value = last.json().await.unwrap();
    assert_eq!(body["error"]["code"], "account_limit");
    assert_eq!(chat(router, 1).await.status(), StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn explain_names_candidates_of_the_choice() {
    let fleet = Fleet::start_with(SHINEWELL, 1, |_| {}).await.unwrap();
    submit_ticket(&fleet).await.unwrap();
    wait_until_ready(&fleet).await.unwrap();
    let answer = chat(fleet.addresses()[0].callers, 0).await;
    let id = answer.headers()["x-crocuswharf-request-id"]
        .to_str()
        .unwrap()
        .to_owned();
    let replica = answer.headers()["x-crocuswharf-replica"]
        .to_str()
        .unwrap()
        .to_owned();
    answer.bytes().await.unwrap();
    let explanation = fleet.explain(&id).await.unwrap();
    let candidates = explanation["choice"]["candidates"].as_array().unwrap();
    assert_eq!(candidates[0]["replica"], replica);
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_without_request_is_closed() {
    let times = Times {
        header_timeout_ms: 300,
        ..default_times()
    };
    let fleet = Fleet::start_with_times(SHINEWELL, 1, times, |_| {})
        .await
        .unwrap();
    let router = fleet.addresses()[0].callers;
    let mut connection = TcpStream::connect(router).await.unwrap();
    let request = b"GET /v1/entries HTTP/1.1\r\nhost: router\r\n\r\n";
    connection.write_all(request).await.unwrap();
    let mut response = Vec::new();
    let reading = connection.read_to_end(&mut response);
    let closed = tokio::time::timeout(Duration::from_secs(10), reading).await;
    closed.expect("the connection is closed").unwrap();
    assert!(response.starts_with(b"HTTP/1.1"));
}
