//! Tests of what a caller's connection reads.

use std::io::Write;
use std::pin::pin;
use std::task::Poll;

use futures_util::poll;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use super::ms;
use crate::gateway::caller_activity::CallerActivity;
use crate::gateway::caller_stream::{CallerStream, SharedActivity};
use crate::gateway::route::CallerLimits;

async fn connected() -> (std::net::TcpStream, CallerStream, SharedActivity) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let activity = SharedActivity::new(CallerActivity::new(ms(0), CallerLimits::default()));
    (
        caller,
        CallerStream::new(stream, activity.clone()),
        activity,
    )
}

/// The runtime reports nothing while its only task does not yield.
#[tokio::test]
async fn read_asks_socket_gets_bytes_before_the_runtime_reports_them() {
    let (mut caller, mut stream, activity) = connected().await;
    let mut bytes = [0; 64];
    assert!(poll!(pin!(stream.read(&mut bytes))).is_pending());
    caller.write_all(b"GET").unwrap();
    assert!(poll!(pin!(stream.read(&mut bytes))).is_pending());
    activity.ask_socket();
    let Poll::Ready(Ok(3)) = poll!(pin!(stream.read(&mut bytes))) else {
        panic!("the bytes were not read");
    };
    assert_eq!(&bytes[..3], b"GET");
    assert!(activity.had_unread());
}

#[tokio::test]
async fn read_asks_empty_socket_waits_for_later_bytes() {
    let (mut caller, mut stream, activity) = connected().await;
    let mut bytes = [0; 64];
    activity.ask_socket();
    assert!(poll!(pin!(stream.read(&mut bytes))).is_pending());
    assert!(!activity.had_unread());
    caller.write_all(b"GET").unwrap();
    assert_eq!(stream.read(&mut bytes).await.unwrap(), 3);
    assert!(!activity.had_unread(), "the runtime has reported them");
}

#[tokio::test]
async fn read_asks_ended_connection_gets_its_end() {
    let (caller, mut stream, activity) = connected().await;
    let mut bytes = [0; 64];
    drop(caller);
    activity.ask_socket();
    assert_eq!(stream.read(&mut bytes).await.unwrap(), 0);
    assert!(!activity.had_unread());
}
