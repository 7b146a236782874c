//! Answer streams through whole routers on loopback while routers and engines fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use crocuswharf::{HEADER_RUN, Times};
use crocuswharf_standin::demo::{
    Fleet, SHINEWELL, account_key, default_times, submit_document, submit_ticket, wait_until_ready,
};
use crocuswharf_standin::engine::{EngineFaults, expected_answer};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use reqwest::{RequestBuilder, StatusCode};
use serde_json::{Value, json};
use tokio::time::Instant;

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(30);
const QUESTION: &str = "which polish for brown leather?";
const MAX_TOKENS: u32 = 40;

/// What a caller has got of an answer.
#[derive(Default)]
struct Received {
    text: String,
    positions: Vec<u64>,
    last_id: String,
    is_complete: bool,
}

async fn start_fleet() -> Fleet {
    let fleet = Fleet::start_with(SHINEWELL, 2, |_| {}).await.unwrap();
    submit_ticket(&fleet).await.unwrap();
    wait_until_ready(&fleet).await.unwrap();
    fleet
}

fn chat(router: SocketAddr, account: usize) -> RequestBuilder {
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    http.post(format!("http://{router}/v1/chat/completions"))
        .bearer_auth(account_key(account))
        .timeout(PATIENCE)
        .json(&json!({
            "model": SHINEWELL.model_service,
            "stream": true,
            "max_tokens": MAX_TOKENS,
            "messages": [{"role": "user", "content": QUESTION}],
        }))
}

/// Returns a request for an answer of two tokens that is not streamed.
fn short_answer(router: SocketAddr) -> RequestBuilder {
    chat(router, 0).json(&json!({
        "model": SHINEWELL.model_service,
        "max_tokens": 2,
        "messages": [{"role": "user", "content": QUESTION}],
    }))
}

/// Reads events until the end, or until `most` have come.
async fn read(request: RequestBuilder, most: usize, received: &mut Received) {
    let response = request.send().await.unwrap().error_for_status().unwrap();
    let mut events = response.bytes_stream().eventsource();
    for _ in 0..most {
        let event = events.next().await.expect("no bare close").unwrap();
        assert_ne!(event.event, "error", "{}", event.data);
        let position = event.id.rsplit('.').nth(1).unwrap().parse().unwrap();
        received.positions.push(position);
        received.last_id = event.id;
        if event.data == "[DONE]" {
            received.is_complete = true;
            return;
        }
        let chunk: Value = serde_json::from_str(&event.data).unwrap();
        let content = chunk["choices"][0]["delta"]["content"].as_str();
        received.text.push_str(content.unwrap_or_default());
    }
}

fn check_whole(received: &Received) {
    assert!(received.is_complete);
    assert_eq!(received.text, expected_answer(QUESTION, MAX_TOKENS));
    let count = received.positions.len() as u64;
    assert_eq!(received.positions, (1..=count).collect::<Vec<u64>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_router_killed_resumes_through_other() {
    let mut fleet = start_fleet().await;
    let (first, second) = (fleet.addresses()[0].callers, fleet.addresses()[1].callers);
    let mut received = Received::default();
    // The router goes before the caller's connection does, as in a crash of its VM.
    let response = chat(first, 0).send().await.unwrap();
    let mut events = response.bytes_stream().eventsource();
    for _ in 0..5 {
        let event = events.next().await.unwrap().unwrap();
        received.positions.push(received.positions.len() as u64 + 1);
        let chunk: Value = serde_json::from_str(&event.data).unwrap();
        let content = chunk["choices"][0]["delta"]["content"].as_str();
        received.text.push_str(content.unwrap_or_default());
        received.last_id = event.id;
    }
    let killed = fleet.routers[0].take().unwrap();
    tokio::task::spawn_blocking(move || drop(killed))
        .await
        .unwrap();
    drop(events);
    let resumed = chat(second, 0).header("last-event-id", &received.last_id);
    read(resumed, usize::MAX, &mut received).await;
    check_whole(&received);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_other_account_is_refused() {
    let fleet = start_fleet().await;
    let router = fleet.addresses()[0].callers;
    let mut received = Received::default();
    read(chat(router, 0), 5, &mut received).await;
    let stolen = chat(router, 1).header("last-event-id", &received.last_id);
    let status = stolen.send().await.unwrap().status();
    assert_eq!(status, StatusCode::BAD_REQUEST);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_engine_silent_is_resumed() {
    let fleet = start_fleet().await;
    let router = fleet.addresses()[0].callers;
    let mut received = Received::default();
    let reading = read(chat(router, 0), usize::MAX, &mut received);
    let silencing = async {
        let has_stream = || {
            let loads = fleet.engines.iter().map(|running| running.engine.load());
            loads.map(|load| load.running_requests).sum::<u32>() > 0
        };
        while !has_stream() {
            tokio::task::yield_now().await;
        }
        for running in &fleet.engines {
            running.engine.silence_open_streams();
        }
    };
    tokio::join!(reading, silencing);
    check_whole(&received);
}

/// Starts routers that take a stream for silent after `silence`.
async fn start_impatient_fleet(silence: Duration) -> Fleet {
    let times = Times {
        stream_silence_ms: u64::try_from(silence.as_millis()).unwrap(),
        ..default_times()
    };
    let fleet = Fleet::start_with_times(SHINEWELL, 1, times, |_| {})
        .await
        .unwrap();
    submit_ticket(&fleet).await.unwrap();
    wait_until_ready(&fleet).await.unwrap();
    fleet
}

/// Reads a whole answer while each engine has `faults` from the moment at which the stream is running.
async fn read_whole_beside(fleet: &Fleet, faults: impl Fn() -> EngineFaults) {
    let mut received = Received::default();
    let router = fleet.addresses()[0].callers;
    let reading = read(chat(router, 0), usize::MAX, &mut received);
    let failing = async {
        let is_running = || {
            let mut loads = fleet.engines.iter().map(|running| running.engine.load());
            loads.any(|load| load.running_requests > 0)
        };
        while !is_running() {
            tokio::task::yield_now().await;
        }
        let faults = faults();
        for running in &fleet.engines {
            running.engine.set_faults(faults.clone());
        }
    };
    tokio::join!(reading, failing);
    check_whole(&received);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_silent_for_a_while_others_refuse_goes_on() {
    let fleet = start_impatient_fleet(Duration::from_millis(300)).await;
    read_whole_beside(&fleet, || EngineFaults {
        silent_until: Some(Instant::now() + Duration::from_millis(1_500)),
        is_busy: true,
        ..EngineFaults::default()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_silent_longer_than_all_resumptions_goes_on() {
    let fleet = start_impatient_fleet(Duration::from_millis(100)).await;
    read_whole_beside(&fleet, || EngineFaults {
        silent_until: Some(Instant::now() + Duration::from_secs(3)),
        ..EngineFaults::default()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_silent_for_a_while_resumption_unanswered_goes_on() {
    let fleet = start_impatient_fleet(Duration::from_millis(300)).await;
    read_whole_beside(&fleet, || EngineFaults {
        silent_until: Some(Instant::now() + Duration::from_millis(1_500)),
        is_mute_to_resumptions: true,
        ..EngineFaults::default()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_cut_three_times_is_read_from_fourth_replica() {
    let fleet = start_fleet().await;
    let faults = EngineFaults {
        answers_to_cut: Arc::new(AtomicU32::new(3)),
        ..EngineFaults::default()
    };
    for running in &fleet.engines {
        running.engine.set_faults(faults.clone());
    }
    let request = short_answer(fleet.addresses()[0].callers);
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    let answer: Value = response.json().await.unwrap();
    let text = answer["choices"][0]["message"]["content"].as_str();
    assert_eq!(text, Some(&*expected_answer(QUESTION, 2)));
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_that_never_ends_is_refused_at_deadline() {
    let fleet = start_fleet().await;
    let mut service = fleet.ticket(2)["services"][SHINEWELL.model_service].clone();
    service["request_timeout_ms"] = json!(1_000);
    let ticket = json!({"ticket": 2, "services": {SHINEWELL.model_service: service}});
    submit_document(&fleet, &ticket).await.unwrap();
    for running in &fleet.engines {
        running.engine.set_faults(EngineFaults {
            is_mute_after_head: true,
            ..EngineFaults::default()
        });
    }
    let request = short_answer(fleet.addresses()[0].callers);
    let response = request.send().await.unwrap();
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(response.headers()[HEADER_RUN], "unknown");
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_engine_crashes_others_refuse_for_a_while_goes_on() {
    let mut fleet = start_fleet().await;
    let mut received = Received::default();
    let router = fleet.addresses()[0].callers;
    let reading = read(chat(router, 0), usize::MAX, &mut received);
    let failing = async {
        let crashed = loop {
            let mut engines = fleet.engines.iter();
            let serving = engines.position(|running| running.engine.load().running_requests > 0);
            if let Some(index) = serving {
                break index;
            }
            tokio::task::yield_now().await;
        };
        for running in &fleet.engines {
            running.engine.set_faults(EngineFaults {
                is_busy: true,
                ..EngineFaults::default()
            });
        }
        fleet.engines[crashed].served = None;
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        for running in &fleet.engines {
            running.engine.set_faults(EngineFaults::default());
        }
    };
    tokio::join!(reading, failing);
    check_whole(&received);
}
