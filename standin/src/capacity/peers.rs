//! The cost of frames and connections between routers, over loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use anyhow::Context;
use crocuswharf::{Body, Inbound, Kind, LinkOptions, LinkTimes, Links, PeerIdentity, PeerKeys};

use super::fit::Point;
use super::report::{Cost, Figure};
use super::target;
use super::usage::{resident_bytes, thread_time};

const FRAME_SIZES: [u32; 3] = [64, 512, 4_096];
const ROUND_TRIPS: u32 = 8_000;
const CONNECTION_SIZES: [u32; 3] = [100, 200, 400];
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// The size of a typical lookup frame.
const TYPICAL_FRAME_BYTES: f64 = 128.0;

pub(super) fn measure() -> anyhow::Result<Vec<Figure>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async { Ok(vec![connection_memory().await?, round_trip_time().await?]) })
}

async fn bind_links(name: String) -> anyhow::Result<(Links, Inbound)> {
    let options = LinkOptions {
        identity: PeerIdentity {
            router: name.into(),
            incarnation: 1,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        },
        keys: PeerKeys::new(&["capacity-peer-key-of-enough-length".into()])?,
        times: LinkTimes::default(),
        max_accepted_connections: 1_000,
    };
    Ok(Links::bind(options).await?)
}

/// Starts a router that echoes the payload of each request, and returns its address.
async fn start_echo_router() -> anyhow::Result<SocketAddr> {
    let (links, mut inbound) = bind_links("echo".to_owned()).await?;
    let address = links.identity().address;
    tokio::spawn(async move {
        let _links = links;
        while let Some(event) = inbound.recv().await {
            if let Some(reply) = event.reply {
                reply.send(event.body);
            }
        }
    });
    Ok(address)
}

async fn send_request(links: &Links, to: SocketAddr, bytes: u32) -> anyhow::Result<()> {
    let body = Body {
        kind: Kind::Lookup,
        payload: vec![7; bytes as usize].into(),
    };
    links
        .request(to, body, REPLY_TIMEOUT)
        .await
        .context("a loopback peer did not reply")?;
    Ok(())
}

/// Measures a request and its reply with both ends in one thread, which sends two frames and receives two.
async fn round_trip_time() -> anyhow::Result<Figure> {
    let echo = start_echo_router().await?;
    let (links, _inbound) = bind_links("asker".to_owned()).await?;
    let mut points = Vec::new();
    for bytes in FRAME_SIZES {
        send_request(&links, echo, bytes).await?;
        let before = thread_time()?;
        for _ in 0..ROUND_TRIPS {
            send_request(&links, echo, bytes).await?;
        }
        let spent = thread_time()?.saturating_sub(before);
        points.push(Point {
            size: bytes.into(),
            value: spent.as_secs_f64() * 1e6 / f64::from(ROUND_TRIPS),
        });
    }
    Ok(Figure {
        role: "owner view",
        name: "question and answer between routers, both ends",
        along: "byte",
        is_control: true,
        points,
        target_size: TYPICAL_FRAME_BYTES,
        cost: Cost::Processor {
            events_per_second: target::REQUESTS_PER_SECOND / target::ROUTERS,
        },
    })
}

/// Opens many connections to one router. Both ends are in this process, because a router has connections of both kinds.
async fn connection_memory() -> anyhow::Result<Figure> {
    let echo = start_echo_router().await?;
    let mut clients = Vec::new();
    let mut points = Vec::new();
    let before = resident_bytes()?;
    for size in CONNECTION_SIZES {
        while clients.len() < size as usize {
            let (links, inbound) = bind_links(format!("asker-{}", clients.len())).await?;
            send_request(&links, echo, 64).await?;
            clients.push((links, inbound));
        }
        points.push(Point {
            size: size.into(),
            value: resident_bytes()? - before,
        });
    }
    Ok(Figure {
        role: "peer connections",
        name: "open connections, both ends, with a listener each",
        along: "connection",
        is_control: true,
        points,
        target_size: target::ROUTERS,
        cost: Cost::Memory { copies: 1.0 },
    })
}
