//! Plans follow from their seeds, and links do what they are told.

use std::time::Duration;

use crocuswharf_soak::{Link, Plan, Proxy, Size};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const SHORT: Duration = Duration::from_millis(100);

const SIZE: Size = Size {
    routers: 3,
    app_replicas: 3,
    model_replicas: 4,
    length: Duration::from_secs(20),
};

#[test]
fn plan_follows_from_its_seed() {
    assert_eq!(Plan::draw(7, SIZE), Plan::draw(7, SIZE));
    assert_ne!(Plan::draw(7, SIZE), Plan::draw(8, SIZE));
    let plan = Plan::draw(7, SIZE);
    assert!(plan.faults.len() > 10, "{} faults", plan.faults.len());
    assert!(plan.faults.is_sorted_by_key(|(at, _)| *at));
}

/// Returns a link with a client's end and a server's end.
async fn link() -> (Proxy, TcpStream, TcpStream) {
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = Proxy::start(server.local_addr().unwrap()).await.unwrap();
    let client = TcpStream::connect(proxy.address).await.unwrap();
    let (accepted, _) = server.accept().await.unwrap();
    (proxy, client, accepted)
}

#[tokio::test]
async fn link_cut_one_way_holds_bytes_back_until_it_opens() {
    let (proxy, mut client, mut server) = link().await;
    proxy.set(Link::CutTowardsServer);
    tokio::time::sleep(SHORT).await;
    client.write_u8(1).await.unwrap();
    server.write_u8(2).await.unwrap();
    assert_eq!(client.read_u8().await.unwrap(), 2);
    assert!(timeout(SHORT, server.read_u8()).await.is_err());
    proxy.set(Link::Open);
    assert_eq!(server.read_u8().await.unwrap(), 1);
}

#[tokio::test]
async fn link_silent_passes_nothing() {
    let (proxy, mut client, mut server) = link().await;
    proxy.set(Link::Silent);
    tokio::time::sleep(SHORT).await;
    client.write_u8(1).await.unwrap();
    server.write_u8(2).await.unwrap();
    assert!(timeout(SHORT, client.read_u8()).await.is_err());
    assert!(timeout(SHORT, server.read_u8()).await.is_err());
}

#[tokio::test]
async fn link_reset_ends_both_sides() {
    let (proxy, mut client, mut server) = link().await;
    proxy.set(Link::Reset);
    assert!(client.read_u8().await.is_err());
    assert!(server.read_u8().await.is_err());
}
