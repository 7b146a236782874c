//! Tests that fault plans depend only on their seeds, and that proxies apply the state of their link.

use std::sync::Arc;
use std::time::Duration;

use crocuswharf_soak::{Cut, Fault, FaultPlan, Link, Overlay, Partition, Proxy, Size};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const SHORT: Duration = Duration::from_millis(100);

const SIZE: Size = Size {
    routers: 3,
    app_replicas: 3,
    model_replicas: 4,
    length: Duration::from_secs(20),
    overlays: &[Overlay::Silence, Overlay::Configuration],
};

#[test]
fn plan_depends_on_its_seed() {
    assert_eq!(FaultPlan::generate(7, SIZE), FaultPlan::generate(7, SIZE));
    assert_ne!(FaultPlan::generate(7, SIZE), FaultPlan::generate(8, SIZE));
    let plan = FaultPlan::generate(7, SIZE);
    assert!(plan.faults.len() > 10, "{} faults", plan.faults.len());
    assert!(plan.faults.is_sorted_by_key(|(at, _)| *at));
}

#[test]
fn plan_overlays_leave_the_base_plan_as_it_is() {
    let base = Size {
        overlays: &[],
        ..SIZE
    };
    let plan = FaultPlan::generate(7, SIZE);
    let mut rest = plan.faults.iter();
    for fault in &FaultPlan::generate(7, base).faults {
        assert!(rest.any(|other| other == fault), "{fault:?}");
    }
    let is_silence = |fault: &Fault| matches!(fault, Fault::ReplicasSilent(..));
    assert!(plan.faults.iter().any(|(_, fault)| is_silence(fault)));
}

/// Returns a proxy with the client's and the server's end of a connection through it.
async fn connect_through_proxy() -> (Proxy, TcpStream, TcpStream) {
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = Proxy::start(server.local_addr().unwrap()).await.unwrap();
    let client = TcpStream::connect(proxy.address).await.unwrap();
    let (accepted, _) = server.accept().await.unwrap();
    (proxy, client, accepted)
}

#[tokio::test]
async fn link_blocked_one_way_delays_bytes_until_it_opens() {
    let (proxy, mut client, mut server) = connect_through_proxy().await;
    proxy.set(Link::BlockToServer);
    tokio::time::sleep(SHORT).await;
    client.write_u8(1).await.unwrap();
    server.write_u8(2).await.unwrap();
    assert_eq!(client.read_u8().await.unwrap(), 2);
    assert!(timeout(SHORT, server.read_u8()).await.is_err());
    proxy.set(Link::Open);
    assert_eq!(server.read_u8().await.unwrap(), 1);
}

#[tokio::test]
async fn link_blocked_both_ways_forwards_nothing() {
    let (proxy, mut client, mut server) = connect_through_proxy().await;
    proxy.set(Link::BlockBoth);
    tokio::time::sleep(SHORT).await;
    client.write_u8(1).await.unwrap();
    server.write_u8(2).await.unwrap();
    assert!(timeout(SHORT, client.read_u8()).await.is_err());
    assert!(timeout(SHORT, server.read_u8()).await.is_err());
}

#[tokio::test]
async fn link_reset_resets_both_sides() {
    let (proxy, mut client, mut server) = connect_through_proxy().await;
    proxy.set(Link::Reset);
    assert!(client.read_u8().await.is_err());
    assert!(server.read_u8().await.is_err());
}

#[tokio::test]
async fn partition_cuts_only_connections_of_its_process() {
    let server = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let partition = Arc::new(Partition::default());
    partition.set_process(0, std::process::id());
    partition.set_process(1, 0);
    let proxy = Proxy::start_in(&partition, server.local_addr().unwrap());
    let proxy = proxy.await.unwrap();
    let mut client = TcpStream::connect(proxy.address).await.unwrap();
    let (mut accepted, _) = server.accept().await.unwrap();
    partition.set(1, Some(Cut::All(Link::BlockBoth)));
    client.write_u8(1).await.unwrap();
    assert_eq!(accepted.read_u8().await.unwrap(), 1);
    partition.set(0, Some(Cut::All(Link::BlockToServer)));
    tokio::time::sleep(SHORT).await;
    client.write_u8(2).await.unwrap();
    assert!(timeout(SHORT, accepted.read_u8()).await.is_err());
    partition.set(0, Some(Cut::New));
    assert_eq!(accepted.read_u8().await.unwrap(), 2);
    let mut refused = TcpStream::connect(proxy.address).await.unwrap();
    assert!(refused.read_u8().await.is_err());
    partition.set(0, Some(Cut::All(Link::Reset)));
    assert!(client.read_u8().await.is_err());
}
