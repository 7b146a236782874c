//! Routers on loopback that shut down while callers upload, read slowly or keep their connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crocuswharf::{DrainReport, Router, Times};
use crocuswharf_standin::demo::{
    Fleet, SHINEWELL, account_key, default_times, submit_ticket, wait_until_ready,
};
use crocuswharf_standin::plain::PlainFaults;
use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long a caller pauses, which is longer than the life of a directory answer.
const PAUSE: Duration = Duration::from_millis(600);
/// More than the buffers of a connection hold.
const RECEIPT_BYTES: usize = 32 << 20;

async fn start_fleet() -> Fleet {
    let times = Times {
        directory_life_ms: 100,
        ..default_times()
    };
    let fleet = Fleet::start_with_times(SHINEWELL, 2, times, |_| {})
        .await
        .unwrap();
    submit_ticket(&fleet).await.unwrap();
    wait_until_ready(&fleet).await.unwrap();
    fleet
}

/// Drains the first router and ends it, as the daemon does.
fn drain(fleet: &mut Fleet) -> JoinHandle<DrainReport> {
    let router: Arc<Router> = fleet.routers[0].take().unwrap();
    tokio::spawn(async move {
        let report = router.drain(PATIENCE).await;
        router.close(report.time_left).await;
        tokio::task::spawn_blocking(move || drop(router))
            .await
            .unwrap();
        report
    })
}

async fn connect(fleet: &Fleet) -> BufReader<TcpStream> {
    let address: SocketAddr = fleet.addresses()[0].callers;
    BufReader::new(TcpStream::connect(address).await.unwrap())
}

fn receipt_request() -> String {
    let key = account_key(0);
    let path = format!("/services/{}/receipts/1", SHINEWELL.plain_service);
    format!("GET {path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {key}\r\n\r\n")
}

/// Reads the head of a response, in lower case.
async fn read_head(connection: &mut BufReader<TcpStream>) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        let read = connection.read_line(&mut head).await.unwrap();
        assert!(read > 0, "the connection was closed after {head:?}");
    }
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    head.to_lowercase()
}

/// Reads the body of a response with `head`.
async fn read_body(connection: &mut BufReader<TcpStream>, head: &str) -> Vec<u8> {
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.unwrap().parse().unwrap()];
    connection.read_exact(&mut body).await.unwrap();
    body
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_waits_for_upload() {
    let mut fleet = start_fleet().await;
    let mut connection = connect(&fleet).await;
    let body = json!({
        "model": SHINEWELL.model_service,
        "max_tokens": 2,
        "messages": [{"role": "user", "content": "x".repeat(100_000)}],
    })
    .to_string();
    let key = account_key(0);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {key}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let (first, rest) = body.split_at(body.len() / 2);
    connection.write_all(head.as_bytes()).await.unwrap();
    connection.write_all(first.as_bytes()).await.unwrap();
    let draining = drain(&mut fleet);
    tokio::time::sleep(PAUSE).await;
    connection.write_all(rest.as_bytes()).await.unwrap();
    let head = read_head(&mut connection).await;
    read_body(&mut connection, &head).await;
    assert_eq!(draining.await.unwrap().cut_requests, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_waits_for_response_that_is_read_slowly() {
    let mut fleet = start_fleet().await;
    fleet.plain.set_faults(PlainFaults {
        receipt_bytes: RECEIPT_BYTES,
        ..PlainFaults::default()
    });
    let mut connection = connect(&fleet).await;
    let request = receipt_request();
    connection.write_all(request.as_bytes()).await.unwrap();
    let head = read_head(&mut connection).await;
    let draining = drain(&mut fleet);
    tokio::time::sleep(PAUSE).await;
    let body = read_body(&mut connection, &head).await;
    assert!(body.len() > RECEIPT_BYTES);
    assert_eq!(draining.await.unwrap().cut_requests, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_tells_kept_connections_that_they_close() {
    let mut fleet = start_fleet().await;
    let mut connection = connect(&fleet).await;
    let request = receipt_request();
    let mut draining = None;
    loop {
        connection.write_all(request.as_bytes()).await.unwrap();
        let head = read_head(&mut connection).await;
        read_body(&mut connection, &head).await;
        if head.contains("connection: close") {
            break;
        }
        draining.get_or_insert_with(|| drain(&mut fleet));
    }
    let draining = draining.expect("the first response keeps the connection");
    assert_eq!(draining.await.unwrap().cut_requests, 0);
}
