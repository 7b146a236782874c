//! The connections of a router to all its peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot};

use crate::error::{Error, ErrorKind};
use crate::peer::accept;
use crate::peer::frame::{Body, Frame, MAX_PAYLOAD_BYTES};
use crate::peer::handshake::PeerIdentity;
use crate::peer::key::PeerKeys;
use crate::peer::link::{self, LinkTimes, Outgoing};
use crate::peer::relay::{self, RelayRequest};
use crate::peer::traffic::TrafficByKind;

/// The maximum number of bodies queued per peer; more are dropped and counted.
const LINK_QUEUE_BODIES: usize = 256;
/// The maximum number of bodies from all peers queued for the control thread; more are dropped and counted.
const INBOUND_QUEUE_BODIES: usize = 4_096;
/// The maximum number of requests for relayed connections that wait to be served; more are closed.
const RELAY_QUEUE_LEN: usize = 64;

/// The options of [`Links`].
#[derive(Clone, Debug)]
pub struct LinkOptions {
    /// The identity of this router; its address is replaced by the one that was bound.
    pub identity: PeerIdentity,
    /// The keys of the deployment.
    pub keys: PeerKeys,
    /// The timeouts of connections.
    pub times: LinkTimes,
    /// The maximum number of accepted connections that are open at once.
    pub max_accepted_connections: usize,
}

/// A body received from a peer, with a handle for the reply if one is expected.
#[derive(Debug)]
pub struct PeerEvent {
    /// The sender.
    pub from: PeerIdentity,
    /// The received body.
    pub body: Body,
    /// The handle for the reply; `None` if none is expected.
    pub reply: Option<ReplyHandle>,
}

/// The bodies received from peers, in order of arrival.
pub type Inbound = mpsc::Receiver<PeerEvent>;

/// A handle for the reply to one request.
#[derive(Debug)]
pub struct ReplyHandle {
    replies: mpsc::Sender<Frame>,
    request: u64,
}

impl ReplyHandle {
    pub(crate) fn new(replies: mpsc::Sender<Frame>, request: u64) -> Self {
        Self { replies, request }
    }

    /// Sends the reply if the connection is still open and its queue has room. Otherwise the requester times out.
    pub fn send(self, body: Body) {
        let _ = self.replies.try_send(Frame::new(self.request, true, body));
    }
}

/// The connections of a router to all its peers; clones share them.
///
/// The tasks run on the runtime on which [`Links::listen`] was called. Bodies can be sent and requested from any
/// thread.
#[derive(Clone)]
pub struct Links {
    shared: Arc<Shared>,
    runtime: Handle,
}

pub(crate) struct Shared {
    pub(crate) options: LinkOptions,
    pub(crate) traffic: TrafficByKind,
    queues: Mutex<HashMap<SocketAddr, mpsc::Sender<Outgoing>>>,
    /// Set if this router serves relayed connections.
    pub(crate) relays: OnceLock<mpsc::Sender<RelayRequest>>,
}

impl Links {
    /// Listens on the address of `options.identity`; see [`Links::listen`].
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Io`] if the address can't be bound.
    pub async fn bind(options: LinkOptions) -> Result<(Self, Inbound), Error> {
        let listener = TcpListener::bind(options.identity.address)
            .await
            .and_then(TcpListener::into_std)
            .map_err(|error| listen_error(&error))?;
        Self::listen(options, listener)
    }

    /// Listens on `listener` and returns the links with the receiver of what peers send.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Io`] if the listener can't be used.
    pub fn listen(
        mut options: LinkOptions,
        listener: std::net::TcpListener,
    ) -> Result<(Self, Inbound), Error> {
        let listener = listener
            .set_nonblocking(true)
            .and_then(|()| TcpListener::from_std(listener))
            .map_err(|error| listen_error(&error))?;
        options.identity.address = listener
            .local_addr()
            .map_err(|error| listen_error(&error))?;
        let shared = Arc::new(Shared {
            options,
            traffic: TrafficByKind::default(),
            queues: Mutex::default(),
            relays: OnceLock::new(),
        });
        let (events, inbound) = mpsc::channel(INBOUND_QUEUE_BODIES);
        tokio::spawn(accept::run(Arc::clone(&shared), listener, events));
        let links = Self {
            shared,
            runtime: Handle::current(),
        };
        Ok((links, inbound))
    }

    /// Returns the identity that this router presents to its peers.
    #[must_use]
    pub fn identity(&self) -> &PeerIdentity {
        &self.shared.options.identity
    }

    /// Returns the traffic counters of all links.
    #[must_use]
    pub fn traffic(&self) -> &TrafficByKind {
        &self.shared.traffic
    }

    /// Returns the requests for relayed connections that arrive from now on; only the first receiver gets any.
    pub(crate) fn accept_relays(&self) -> mpsc::Receiver<RelayRequest> {
        let (relays, requests) = mpsc::channel(RELAY_QUEUE_LEN);
        let _ = self.shared.relays.set(relays);
        requests
    }

    /// Asks the router at `to` to carry the bytes of another connection; returns its reply and the connection, which
    /// belongs to the current runtime.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Unavailable`] if there is no reply within `timeout`, and with [`ErrorKind::Protocol`] if
    /// the router does not know the request.
    pub(crate) async fn open_relay(
        &self,
        to: SocketAddr,
        body: Body,
        timeout: Duration,
    ) -> Result<(Body, TcpStream), Error> {
        relay::open(&self.shared, to, body, timeout).await
    }

    /// Queues `body` for the router at `to`. Returns whether the queue had room.
    ///
    /// A queued body is lost if its connection fails. Nothing is sent twice.
    pub fn send(&self, to: SocketAddr, body: Body) -> bool {
        self.enqueue(to, Outgoing { body, reply: None })
    }

    /// Sends `body` to the router at `to` and waits for the reply.
    ///
    /// Returns `None` if no reply arrived within `timeout` or the router can't be reached. The request may have arrived
    /// nevertheless.
    pub async fn request(&self, to: SocketAddr, body: Body, timeout: Duration) -> Option<Body> {
        let (reply, received) = oneshot::channel();
        let outgoing = Outgoing {
            body,
            reply: Some(reply),
        };
        if !self.enqueue(to, outgoing) {
            return None;
        }
        tokio::time::timeout(timeout, received).await.ok()?.ok()
    }

    fn enqueue(&self, to: SocketAddr, outgoing: Outgoing) -> bool {
        let (kind, length) = (outgoing.body.kind, outgoing.body.payload.len());
        if length > MAX_PAYLOAD_BYTES {
            // Names and lists in a body may come from the platform's store, which this router does not control.
            log::error!(
                "peer: A body was dropped because it is too large. kind={} bytes={length}",
                kind.label()
            );
            self.shared.traffic.add_dropped(kind);
            return false;
        }
        let queued = self.queue_of(to).try_send(outgoing).is_ok();
        if !queued {
            self.shared.traffic.add_dropped(kind);
        }
        queued
    }

    /// Returns the queue of the link to `to`, creating the link if there is none.
    fn queue_of(&self, to: SocketAddr) -> mpsc::Sender<Outgoing> {
        let mut queues = self
            .shared
            .queues
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(queue) = queues.get(&to).filter(|queue| !queue.is_closed()) {
            return queue.clone();
        }
        queues.retain(|_, queue| !queue.is_closed());
        let (queue, queued) = mpsc::channel(LINK_QUEUE_BODIES);
        queues.insert(to, queue.clone());
        self.runtime
            .spawn(link::run(Arc::clone(&self.shared), to, queued));
        queue
    }
}

fn listen_error(error: &std::io::Error) -> Error {
    Error::new(ErrorKind::Io, format!("can't listen for peers: {error}"))
}

impl std::fmt::Debug for Links {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Links({})", self.identity().router)
    }
}
