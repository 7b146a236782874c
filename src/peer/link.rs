//! One outgoing connection to a peer, opened when there is something to send and replaced when it goes silent.

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
use crate::peer::handshake::{self, Session, Side, Wire};
use crate::peer::links::Shared;

/// The times that connections between routers keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTimes {
    /// How long a connection and its handshake may take.
    pub connect_timeout: Duration,
    /// How long sent frames may stay without any answer before the other side is asked whether it hears.
    pub ping_after: Duration,
    /// How long sent frames may stay without any answer before the connection is replaced.
    pub silence_limit: Duration,
    /// The shortest wait after a failed connection.
    pub min_backoff: Duration,
    /// The longest wait after a failed connection.
    pub max_backoff: Duration,
    /// How long a connection without use is kept.
    pub idle_limit: Duration,
}

impl Default for LinkTimes {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            ping_after: Duration::from_millis(500),
            silence_limit: Duration::from_millis(1_500),
            min_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
            idle_limit: Duration::from_secs(120),
        }
    }
}

/// A body to send, with the place for its reply where one is expected.
pub(crate) struct Outgoing {
    pub(crate) body: Body,
    pub(crate) reply: Option<oneshot::Sender<Body>>,
}

/// Why a connection was left.
enum Left {
    /// It had no use for a while.
    Idle,
    /// It broke or went silent.
    Failed(Error),
    /// No one will send again.
    Closed,
}

/// Serves the queue of one peer until it stays unused.
pub(crate) async fn run(shared: Arc<Shared>, to: SocketAddr, mut queue: mpsc::Receiver<Outgoing>) {
    let times = shared.options.times;
    let mut backoff = times.min_backoff;
    loop {
        let Ok(Some(first)) = timeout(times.idle_limit, queue.recv()).await else {
            queue.close();
            refuse_queued(&shared, &mut queue);
            return;
        };
        match connect(&shared, to).await {
            Ok((wire, session)) => {
                backoff = times.min_backoff;
                let mut connection = Connection::new(&shared, wire, session);
                match connection.serve(first, &mut queue).await {
                    Left::Idle => continue,
                    Left::Closed => return,
                    Left::Failed(error) => {
                        log::info!("peer: connection to {to} is replaced: {error}")
                    }
                }
            }
            Err(error) => {
                shared.traffic.add_dropped(first.body.kind);
                drop(first);
                log::debug!("peer: can't connect to {to}: {error}");
            }
        }
        refuse_during(&shared, &mut queue, jittered(backoff)).await;
        backoff = (backoff * 2).min(times.max_backoff);
    }
}

async fn connect(shared: &Shared, to: SocketAddr) -> Result<(Wire, Session), Error> {
    let attempt = async {
        let stream = TcpStream::connect(to)
            .await
            .map_err(|error| handshake::broken(&error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| handshake::broken(&error))?;
        let mut wire = handshake::frame_stream(stream);
        let own = &shared.options.identity;
        let keys = &shared.options.keys;
        let session = handshake::shake_hands(&mut wire, own, keys, Side::Connecting).await?;
        Ok((wire, session))
    };
    match timeout(shared.options.times.connect_timeout, attempt).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(ErrorKind::Unavailable, "connection timed out")),
    }
}

/// Drops what is queued during the wait, so that no request waits for a peer that can't be reached.
async fn refuse_during(shared: &Shared, queue: &mut mpsc::Receiver<Outgoing>, wait: Duration) {
    let until = Instant::now() + wait;
    while let Ok(Some(outgoing)) = tokio::time::timeout_at(until, queue.recv()).await {
        shared.traffic.add_dropped(outgoing.body.kind);
    }
}

fn refuse_queued(shared: &Shared, queue: &mut mpsc::Receiver<Outgoing>) {
    while let Ok(outgoing) = queue.try_recv() {
        shared.traffic.add_dropped(outgoing.body.kind);
    }
}

fn jittered(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::rng().random_range(0.5..1.5))
}

struct Connection<'a> {
    shared: &'a Shared,
    wire: Wire,
    session: Session,
    pending: HashMap<u64, oneshot::Sender<Body>>,
    last_request: u64,
    last_use: Instant,
    /// When the first frame was sent that nothing was received after.
    unanswered_since: Option<Instant>,
    pinged: bool,
}

impl<'a> Connection<'a> {
    fn new(shared: &'a Shared, wire: Wire, session: Session) -> Self {
        Self {
            shared,
            wire,
            session,
            pending: HashMap::new(),
            last_request: 0,
            last_use: Instant::now(),
            unanswered_since: None,
            pinged: false,
        }
    }

    async fn serve(&mut self, first: Outgoing, queue: &mut mpsc::Receiver<Outgoing>) -> Left {
        if let Err(error) = self.send(first).await {
            return Left::Failed(error);
        }
        loop {
            let wake = self.next_wake();
            let step = tokio::select! {
                outgoing = queue.recv() => match outgoing {
                    Some(outgoing) => self.send(outgoing).await,
                    None => return Left::Closed,
                },
                frame = self.wire.next() => self.receive(frame),
                () = tokio::time::sleep_until(wake) => {
                    if self.is_idle() {
                        return Left::Idle;
                    }
                    self.check_silence().await
                }
            };
            if let Err(error) = step {
                return Left::Failed(error);
            }
        }
    }

    async fn send(&mut self, outgoing: Outgoing) -> Result<(), Error> {
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
        let limit = self.shared.options.times.silence_limit;
        let written = write_frame(&mut self.wire, &mut self.session, self.shared, &frame);
        timeout(limit, written)
            .await
            .map_err(|_| Error::new(ErrorKind::Unavailable, "peer does not take frames"))?
    }

    fn receive(&mut self, frame: Option<std::io::Result<BytesMut>>) -> Result<(), Error> {
        let frame = open_frame(frame, &mut self.session, self.shared)?;
        self.unanswered_since = None;
        self.pinged = false;
        if !frame.reply {
            return Ok(());
        }
        if let Some(waiting) = self.pending.remove(&frame.request) {
            // The requester may have given up meanwhile.
            let _ = waiting.send(frame.into_body()?);
        }
        Ok(())
    }

    fn next_wake(&self) -> Instant {
        let times = &self.shared.options.times;
        match self.unanswered_since {
            Some(since) if self.pinged => since + times.silence_limit,
            Some(since) => since + times.ping_after,
            None => self.last_use + times.idle_limit,
        }
    }

    fn is_idle(&self) -> bool {
        self.unanswered_since.is_none()
    }

    async fn check_silence(&mut self) -> Result<(), Error> {
        if self.pinged {
            return Err(Error::new(ErrorKind::Unavailable, "peer went silent"));
        }
        self.pinged = true;
        let body = Body {
            kind: Kind::Ping,
            payload: Bytes::new(),
        };
        self.write(Frame::new(0, false, body)).await
    }
}

/// Seals `frame` and writes it.
pub(crate) async fn write_frame(
    wire: &mut Wire,
    session: &mut Session,
    shared: &Shared,
    frame: &Frame,
) -> Result<(), Error> {
    let sealed = session.sending.seal(&frame.encode_to_vec());
    let kind = Kind::try_from(frame.kind).unwrap_or(Kind::Ping);
    shared.traffic.add_sent(kind, wire_len(sealed.len()));
    wire.send(sealed)
        .await
        .map_err(|error| handshake::broken(&error))
}

/// Checks and decodes a frame that was read.
pub(crate) fn open_frame(
    read: Option<std::io::Result<BytesMut>>,
    session: &mut Session,
    shared: &Shared,
) -> Result<Frame, Error> {
    let sealed = match read {
        Some(Ok(sealed)) => sealed.freeze(),
        Some(Err(error)) => return Err(handshake::broken(&error)),
        None => {
            return Err(Error::new(
                ErrorKind::Unavailable,
                "peer closed the connection",
            ));
        }
    };
    let bytes = wire_len(sealed.len());
    let opened = session.receiving.open(sealed)?;
    let frame = Frame::decode(opened)
        .map_err(|error| Error::new(ErrorKind::Protocol, format!("frame: {error}")))?;
    if let Ok(kind) = Kind::try_from(frame.kind) {
        shared.traffic.add_received(kind, bytes);
    }
    Ok(frame)
}
