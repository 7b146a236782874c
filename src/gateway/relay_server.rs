//! Connects to replicas for other routers and copies the bytes.
//!
//! Handles routers that are cut off from all replicas and send all their requests here: the number of connections is
//! bounded, and each one holds two small buffers, whatever the length of bodies. They run on the traffic runtime, so that
//! no bytes of callers pass the control thread. Rejected: counting them as this router's own connections to the replica.
//! The router that asked stays within its own share already, and a few helpers could not carry the shares of many.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Semaphore, mpsc};

use super::relay_client::RelayClient;
use super::relay_message::{ConnectOutcome, ConnectReply, ConnectRequest};
use super::settings::VmSize;
use super::shared::{Replica, Shared};
use super::upstream::set_keepalive_options;
use crate::peer::{Body, Kind, RelayRequest};

/// The size of the buffer of one direction.
const BUFFER_BYTES: usize = 8 << 10;
/// What a relayed connection may take with the buffers of the kernel, and the fraction of the memory for all of them.
const CONNECTION_BYTES: f64 = 64_000.0;
const MEMORY_FRACTION: f64 = 0.05;
/// The fraction of the descriptors for relayed connections, of which each takes two.
const DESCRIPTORS_FRACTION: f64 = 0.25;
const BYTES_PER_MB: f64 = 1_000_000.0;
/// How long the router that asked may still send after the replica has closed its connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the number of connections that a router on such a VM relays at once.
pub(crate) fn max_connections(vm: &VmSize) -> usize {
    let by_memory = vm.memory_mb as f64 * BYTES_PER_MB * MEMORY_FRACTION / CONNECTION_BYTES;
    let by_descriptors = f64::from(vm.descriptors) * DESCRIPTORS_FRACTION / 2.0;
    by_memory.min(by_descriptors).max(1.0) as usize
}

/// Serves requests for relayed connections until the peer links end.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    client: Arc<RelayClient>,
    mut requests: mpsc::Receiver<RelayRequest>,
) {
    let permits = Arc::new(Semaphore::new(max_connections(&shared.settings.vm)));
    while let Some(request) = requests.recv().await {
        let permit = Arc::clone(&permits).try_acquire_owned();
        let (shared, client) = (Arc::clone(&shared), Arc::clone(&client));
        tokio::spawn(async move {
            let from = Arc::clone(&request.from.router);
            let result = match &permit {
                Ok(_) => serve_request(&shared, &client, request).await,
                Err(_) => refuse(request, ConnectOutcome::Full).await,
            };
            if let Err(error) = result {
                log::debug!("path: A relayed connection ended. router={from} error={error}");
            }
        });
    }
}

async fn serve_request(
    shared: &Shared,
    client: &RelayClient,
    request: RelayRequest,
) -> io::Result<()> {
    let message = request.body.decode::<ConnectRequest>();
    let message = message.map_err(io::Error::other)?;
    if shared.is_leaving() {
        return refuse(request, ConnectOutcome::Leaving).await;
    }
    if client.is_cut_off() {
        return refuse(request, ConnectOutcome::CutOff).await;
    }
    let Some(replica) = find(shared, &message) else {
        return refuse(request, ConnectOutcome::NoReplica).await;
    };
    if replica.pool.has_suspected_links() {
        return refuse(request, ConnectOutcome::CutOff).await;
    }
    let server = match replica.pool.open_for_peer().await {
        Ok(server) => server,
        Err(error) => {
            let outcome = match error.kind() {
                io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                    ConnectOutcome::Refused
                }
                io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable => {
                    ConnectOutcome::TimedOut
                }
                _ => ConnectOutcome::Full,
            };
            return refuse(request, outcome).await;
        }
    };
    let router = Arc::clone(&request.from.router);
    log::debug!(
        "path: Connected to a replica for another router. router={router} replica={}",
        message.replica
    );
    let connected = reply(request, ConnectOutcome::Connected).await?;
    set_keepalive_options(&connected)?;
    let _open = shared.begin_relay();
    copy_both(connected, server).await;
    Ok(())
}

fn find(shared: &Shared, request: &ConnectRequest) -> Option<Arc<Replica>> {
    let snapshot = shared.snapshot.load();
    let replicas = snapshot.services.values().flatten();
    let is_same = |replica: &&Arc<Replica>| {
        let record = &replica.known.record;
        *record.id == *request.replica && record.born_ms == request.born_ms
    };
    replicas.into_iter().find(is_same).cloned()
}

async fn refuse(request: RelayRequest, outcome: ConnectOutcome) -> io::Result<()> {
    log::debug!(
        "path: No connection for another router. router={} outcome={}",
        request.from.router,
        outcome.label()
    );
    reply(request, outcome).await.map(drop)
}

async fn reply(request: RelayRequest, outcome: ConnectOutcome) -> io::Result<TcpStream> {
    metrics::counter!("crocuswharf_gateway_relays_served_total", "outcome" => outcome.label())
        .increment(1);
    let reply = ConnectReply {
        outcome: outcome.into(),
    };
    let replied = request.reply(Body::encode(Kind::Connect, &reply)).await;
    replied.map_err(io::Error::other)
}

/// Copies bytes in both directions until either side ends, and ends the other side in the same way.
///
/// The router that asked closes its connection only when it is done with it. A replica may still be read from after it
/// has closed, and a reset must not look like the end of a response.
pub(crate) async fn copy_both(router: TcpStream, replica: TcpStream) {
    let (mut from_router, mut to_router) = router.into_split();
    let (mut from_replica, mut to_replica) = replica.into_split();
    let received = {
        let sending = copy(&mut from_router, &mut to_replica);
        let receiving = copy(&mut from_replica, &mut to_router);
        tokio::pin!(sending, receiving);
        tokio::select! {
            sent = &mut sending => match sent {
                // The replica may have answered before it closed.
                Err(CopyFault::Write) => tokio::time::timeout(CLOSE_TIMEOUT, receiving)
                    .await
                    .unwrap_or(Ok(())),
                Ok(()) | Err(CopyFault::Read) => return,
            },
            received = &mut receiving => {
                if received.is_ok() {
                    // The rest of a request is read, since unread bytes would make the kernel reset the connection before
                    // the response has arrived.
                    let _ = tokio::time::timeout(CLOSE_TIMEOUT, sending).await;
                }
                received
            }
        }
    };
    if received.is_err() {
        // Fails only on a socket that is already closed.
        let _ = to_router.as_ref().set_zero_linger();
        // Its destructor would end the stream before the reset.
        to_router.forget();
    }
}

/// Which end of a copy has failed.
enum CopyFault {
    Read,
    Write,
}

/// Copies bytes until `from` ends, and then ends `to`.
async fn copy(from: &mut OwnedReadHalf, to: &mut OwnedWriteHalf) -> Result<(), CopyFault> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await.map_err(|_| CopyFault::Read)?;
        if length == 0 {
            return to.shutdown().await.map_err(|_| CopyFault::Write);
        }
        let written = to.write_all(&buffer[..length]).await;
        written.map_err(|_| CopyFault::Write)?;
    }
}
