//! An outgoing connection to a peer, opened on demand and replaced when the peer stops responding.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use rand::RngExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};

use crate::error::{Error, ErrorKind};
use crate::peer::frame::{Body, Frame, Kind, wire_len};
use crate::peer::handshake::{self, FramedStream, Role, Session};
use crate::peer::links::Shared;

/// The timeouts of connections between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTimes {
    /// How long connecting and the handshake may take.
    pub connect_timeout: Duration,
    /// How long sent frames may remain unanswered before the peer is pinged.
    pub ping_after: Duration,
    /// How long sent frames may remain unanswered before the connection is replaced.
    pub silence_timeout: Duration,
    /// The minimum backoff after a failed connection.
    pub min_backoff: Duration,
    /// The maximum backoff after a failed connection.
    pub max_backoff: Duration,
    /// How long an unused connection is kept open.
    pub idle_timeout: Duration,
}

impl Default for LinkTimes {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            ping_after: Duration::from_millis(500),
            silence_timeout: Duration::from_millis(1_500),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(120),
        }
    }
}

/// A body to send, with the channel for its reply if one is expected.
pub(crate) struct Outgoing {
    pub(crate) body: Body,
    pub(crate) reply: Option<oneshot::Sender<Body>>,
}

/// Why a connection ended.
enum Disconnect {
    /// It was unused for the idle timeout.
    Idle,
    /// It failed, or the peer stopped responding.
    Failed(Error),
    /// The queue was closed by its senders.
    Closed,
}

/// Sends the queued bodies of one peer until the queue is unused for the idle timeout.
pub(crate) async fn run(shared: Arc<Shared>, to: SocketAddr, mut queue: mpsc::Receiver<Outgoing>) {
    let times = shared.options.times;
    let mut backoff = times.min_backoff;
    loop {
        let Ok(Some(first)) = timeout(times.idle_timeout, queue.recv()).await else {
            queue.close();
            drop_queued(&shared, &mut queue);
            return;
        };
        match connect(&shared, to).await {
            Ok((framed, session)) => {
                backoff = times.min_backoff;
                let mut connection = Connection::new(&shared, framed, session);
                match connection.serve(first, &mut queue).await {
                    Disconnect::Idle => continue,
                    Disconnect::Closed => return,
                    Disconnect::Failed(error) => {
                        log::info!("peer: replacing the connection to {to}: {error}")
                    }
                }
            }
            Err(error) => {
                shared.traffic.add_dropped(first.body.kind);
                drop(first);
                log::debug!("peer: failed to connect to {to}: {error}");
            }
        }
        drop_queued_for(&shared, &mut queue, jittered(backoff)).await;
        backoff = (backoff * 2).min(times.max_backoff);
    }
}

/// Opens a connection to the router at `to` and authenticates both ends.
pub(crate) async fn connect(
    shared: &Shared,
    to: SocketAddr,
) -> Result<(FramedStream, Session), Error> {
    let attempt = async {
        let stream = TcpStream::connect(to)
            .await
            .map_err(|error| handshake::connection_error(&error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| handshake::connection_error(&error))?;
        let mut framed = handshake::frame_stream(stream);
        let own = &shared.options.identity;
        let keys = &shared.options.keys;
        let session = handshake::perform(&mut framed, own, keys, Role::Initiator).await?;
        Ok((framed, session))
    };
    match timeout(shared.options.times.connect_timeout, attempt).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(ErrorKind::Unavailable, "connection timed out")),
    }
}

/// Drops everything that is queued during the backoff, so that no request waits for an unreachable peer.
async fn drop_queued_for(shared: &Shared, queue: &mut mpsc::Receiver<Outgoing>, wait: Duration) {
    let until = Instant::now() + wait;
    while let Ok(Some(outgoing)) = tokio::time::timeout_at(until, queue.recv()).await {
        shared.traffic.add_dropped(outgoing.body.kind);
    }
}

fn drop_queued(shared: &Shared, queue: &mut mpsc::Receiver<Outgoing>) {
    while let Ok(outgoing) = queue.try_recv() {
        shared.traffic.add_dropped(outgoing.body.kind);
    }
}

fn jittered(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::rng().random_range(0.5..1.5))
}

struct Connection<'a> {
    shared: &'a Shared,
    framed: FramedStream,
    session: Session,
    pending: HashMap<u64, oneshot::Sender<Body>>,
    last_request: u64,
    last_use: Instant,
    /// When the first frame was sent after which nothing has been received.
    unanswered_since: Option<Instant>,
    pinged: bool,
}

impl<'a> Connection<'a> {
    fn new(shared: &'a Shared, framed: FramedStream, session: Session) -> Self {
        Self {
            shared,
            framed,
            session,
            pending: HashMap::new(),
            last_request: 0,
            last_use: Instant::now(),
            unanswered_since: None,
            pinged: false,
        }
    }

    async fn serve(&mut self, first: Outgoing, queue: &mut mpsc::Receiver<Outgoing>) -> Disconnect {
        if let Err(error) = self.send(first).await {
            return Disconnect::Failed(error);
        }
        loop {
            let deadline = self.next_deadline();
            let step = tokio::select! {
                outgoing = queue.recv() => match outgoing {
                    Some(outgoing) => self.send(outgoing).await,
                    None => return Disconnect::Closed,
                },
                frame = self.framed.next() => self.receive(frame),
                () = tokio::time::sleep_until(deadline) => {
                    if self.is_idle() {
                        return Disconnect::Idle;
                    }
                    self.ping_or_fail().await
                }
            };
            if let Err(error) = step {
                return Disconnect::Failed(error);
            }
        }
    }

    async fn send(&mut self, outgoing: Outgoing) -> Result<(), Error> {
        // A router of an older version closes the connection on a kind that it does not know.
        if i32::from(outgoing.body.kind) > self.session.newest_kind {
            self.shared.traffic.add_dropped(outgoing.body.kind);
            return Ok(());
        }
        let mut request = 0;
        if let Some(reply) = outgoing.reply {
            self.pending.retain(|_, waiting| !waiting.is_closed());
            self.last_request += 1;
            request = self.last_request;
            self.pending.insert(request, reply);
        }
        self.last_use = Instant::now();
        self.write(Frame::new(request, false, outgoing.body)).await
    }

    async fn write(&mut self, frame: Frame) -> Result<(), Error> {
        self.unanswered_since.get_or_insert_with(Instant::now);
        let limit = self.shared.options.times.silence_timeout;
        let written = write_frame(&mut self.framed, &mut self.session, self.shared, &frame);
        timeout(limit, written)
            .await
            .map_err(|_| Error::new(ErrorKind::Unavailable, "writing to the peer timed out"))?
    }

    fn receive(&mut self, frame: Option<std::io::Result<BytesMut>>) -> Result<(), Error> {
        let frame = decode_frame(frame, &mut self.session, self.shared)?;
        self.unanswered_since = None;
        self.pinged = false;
        if !frame.reply {
            return Ok(());
        }
        if let Some(waiting) = self.pending.remove(&frame.request) {
            // A reply of an unknown kind ends the wait without one.
            if let Ok(body) = frame.into_body() {
                // The requester may have timed out already.
                let _ = waiting.send(body);
            }
        }
        Ok(())
    }

    fn next_deadline(&self) -> Instant {
        let times = &self.shared.options.times;
        match self.unanswered_since {
            Some(since) if self.pinged => since + times.silence_timeout,
            Some(since) => since + times.ping_after,
            None => self.last_use + times.idle_timeout,
        }
    }

    fn is_idle(&self) -> bool {
        self.unanswered_since.is_none()
    }

    async fn ping_or_fail(&mut self) -> Result<(), Error> {
        if self.pinged {
            return Err(Error::new(ErrorKind::Unavailable, "peer does not respond"));
        }
        self.pinged = true;
        let body = Body {
            kind: Kind::Ping,
            payload: Bytes::new(),
        };
        self.write(Frame::new(0, false, body)).await
    }
}

/// Signs `frame` and writes it.
pub(crate) async fn write_frame(
    framed: &mut FramedStream,
    session: &mut Session,
    shared: &Shared,
    frame: &Frame,
) -> Result<(), Error> {
    let signed = session.sending.sign(&frame.encode_to_vec());
    let kind = Kind::try_from(frame.kind).unwrap_or(Kind::Ping);
    shared.traffic.add_sent(kind, wire_len(signed.len()));
    framed
        .send(signed)
        .await
        .map_err(|error| handshake::connection_error(&error))
}

/// Verifies and decodes a frame that was read.
pub(crate) fn decode_frame(
    read: Option<std::io::Result<BytesMut>>,
    session: &mut Session,
    shared: &Shared,
) -> Result<Frame, Error> {
    let signed = match read {
        Some(Ok(signed)) => signed.freeze(),
        Some(Err(error)) => return Err(handshake::connection_error(&error)),
        None => {
            return Err(Error::new(
                ErrorKind::Unavailable,
                "peer closed the connection",
            ));
        }
    };
    let bytes = wire_len(signed.len());
    let verified = session.receiving.verify(signed)?;
    let frame = Frame::decode(verified)
        .map_err(|error| Error::new(ErrorKind::Protocol, format!("malformed frame: {error}")))?;
    if let Ok(kind) = Kind::try_from(frame.kind) {
        shared.traffic.add_received(kind, bytes);
    }
    Ok(frame)
}
