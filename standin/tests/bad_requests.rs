//! What callers get for requests that can't be served, through a whole router on loopback.

use crocuswharf_standin::demo::{Fleet, SHINEWELL, account_key, submit_ticket, wait_until_ready};
use reqwest::Response;
use serde_json::{Value, json};

/// More than the default body limit of a service.
const LARGE_TEXT_BYTES: usize = 5 << 20;

async fn send(key: &str, body: String) -> Response {
    let fleet = Fleet::start_with(SHINEWELL, 1, |_| {}).await.unwrap();
    submit_ticket(&fleet).await.unwrap();
    wait_until_ready(&fleet).await.unwrap();
    let address = fleet.addresses()[0].callers;
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    http.post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(key)
        .body(body)
        .send()
        .await
        .unwrap()
}

fn ask(model: &str, text: &str) -> String {
    json!({"model": model, "messages": [{"role": "user", "content": text}]}).to_string()
}

#[yare::parameterized(
    unknown_key = { "no-such-key", ask("shine-assistant", "hello"), 401, "authorization" },
    unknown_service = { &account_key(0), ask("no-such-model", "hello"), 404, "model" },
    too_large = { &account_key(0), ask("shine-assistant", &"x".repeat(LARGE_TEXT_BYTES)), 413, "body" },
    malformed = { &account_key(0), "{\"model\": ".to_owned(), 400, "body" },
    no_messages = { &account_key(0), json!({"model": "shine-assistant"}).to_string(), 400, "body" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn chat_refused_names_field_not_run(key: &str, body: String, status: u16, param: &str) {
    let answer = send(key, body).await;
    assert_eq!(answer.status().as_u16(), status);
    assert_eq!(answer.headers()["x-crocuswharf-run"], "not-run");
    let error: Value = answer.json().await.unwrap();
    assert_eq!(error["error"]["param"], param);
    assert!(error["error"]["message"].as_str().unwrap().contains(param));
}
