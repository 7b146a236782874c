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
use crate::gateway::memory::MemoryAccount;
use crate::gateway::route::CallerLimits;

async fn connected() -> (std::net::TcpStream, CallerStream, SharedActivity) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let memory = MemoryAccount::new(1 << 20).open().unwrap();
    let activity = CallerActivity::new(ms(0), CallerLimits::default());
    let activity = SharedActivity::new(activity, memory);
    (
        caller,
        CallerStream::new(stream, activity.clone()),
        activity,
    )
}

/// The runtime reports nothing while its only task does not yield.
#[tokio::test]
async fn read_is_read_forced_gets_bytes_before_the_runtime_reports_them() {
    let (mut caller, mut stream, activity) = connected().await;
    let mut bytes = [0; 64];
    assert!(poll!(pin!(stream.read(&mut bytes))).is_pending());
    caller.write_all(b"GET").unwrap();
    assert!(poll!(pin!(stream.read(&mut bytes))).is_pending());
    activity.force_read();
    let Poll::Ready(Ok(3)) = poll!(pin!(stream.read(&mut bytes))) else {
        panic!("the bytes were not read");
    };
    assert_eq!(&bytes[..3], b"GET");
    assert!(activity.forced_read_got_bytes());
}

#[tokio::test]
async fn read_forced_on_empty_socket_waits_for_later_bytes() {
    let (mut caller, mut stream, activity) = connected().await;
    let mut bytes = [0; 64];
    activity.force_read();
    assert!(poll!(pin!(stream.read(&mut bytes))).is_pending());
    assert!(!activity.forced_read_got_bytes());
    caller.write_all(b"GET").unwrap();
    assert_eq!(stream.read(&mut bytes).await.unwrap(), 3);
    assert!(
        !activity.forced_read_got_bytes(),
        "the runtime has reported them"
    );
}

#[tokio::test]
async fn read_forced_on_ended_connection_gets_its_end() {
    let (caller, mut stream, activity) = connected().await;
    let mut bytes = [0; 64];
    drop(caller);
    activity.force_read();
    assert_eq!(stream.read(&mut bytes).await.unwrap(), 0);
    assert!(!activity.forced_read_got_bytes());
}
