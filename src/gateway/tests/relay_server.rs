//! Tests of the bytes and the ends of relayed connections.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::gateway::relay_server::copy_both;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let connecting = TcpStream::connect(listener.local_addr().unwrap());
    let (connected, accepted) = tokio::join!(connecting, listener.accept());
    (connected.unwrap(), accepted.unwrap().0)
}

/// Returns the ends of a relayed connection: of the router that asked for it, and of the replica.
async fn relayed() -> (TcpStream, TcpStream) {
    let (router, from_router) = pair().await;
    let (to_replica, replica) = pair().await;
    tokio::spawn(copy_both(from_router, to_replica));
    (router, replica)
}

#[tokio::test]
async fn copy_both_passes_all_bytes_before_the_replica_closes() {
    let (mut router, mut replica) = relayed().await;
    let sent: Vec<u8> = (0..1_000_000_u32).flat_map(u32::to_le_bytes).collect();
    let expected = sent.clone();
    let sending = async move {
        let mut request = [0; 4];
        replica.read_exact(&mut request).await.unwrap();
        assert_eq!(&request, b"ping");
        replica.write_all(&sent).await.unwrap();
    };
    let receiving = async {
        router.write_all(b"ping").await.unwrap();
        let mut received = Vec::new();
        router.read_to_end(&mut received).await.unwrap();
        assert!(received == expected, "the bytes differ");
    };
    timeout(TIMEOUT, async { tokio::join!(sending, receiving) })
        .await
        .unwrap();
}

/// An end that only the connection marks must not look complete.
#[tokio::test]
async fn copy_both_reset_by_the_replica_arrives_as_a_reset() {
    let (mut router, replica) = relayed().await;
    replica.set_zero_linger().unwrap();
    drop(replica);
    let read = timeout(TIMEOUT, router.read(&mut [0; 1])).await.unwrap();
    let error = read.expect_err("the connection was reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn copy_both_router_leaves_the_replica_sees_the_end() {
    let (router, mut replica) = relayed().await;
    drop(router);
    let read = timeout(Duration::from_millis(500), replica.read(&mut [0; 1])).await;
    assert_eq!(read.expect("promptly").unwrap_or_default(), 0);
}
