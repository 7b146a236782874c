//! Connections that peers open to this router.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

use crate::error::{Error, ErrorKind};
use crate::peer::frame::{Body, Frame, Kind};
use crate::peer::handshake::{self, Session, Side, Wire};
use crate::peer::link;
use crate::peer::links::{PeerEvent, ReplyHandle, Shared};

/// The replies of one connection that may wait to be written.
const REPLY_QUEUE_FRAMES: usize = 64;
/// The wait after the system refused to accept, for example for want of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts connections as long as the process lives.
pub(crate) async fn run(
    shared: Arc<Shared>,
    listener: TcpListener,
    events: mpsc::Sender<PeerEvent>,
) {
    let permits = Arc::new(Semaphore::new(shared.options.max_accepted_connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("peer: can't accept: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let shared = Arc::clone(&shared);
        let events = events.clone();
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = serve(&shared, stream, &events).await {
                log::debug!("peer: accepted connection ended: {error}");
            }
        });
    }
}

async fn serve(
    shared: &Shared,
    stream: TcpStream,
    events: &mpsc::Sender<PeerEvent>,
) -> Result<(), Error> {
    stream
        .set_nodelay(true)
        .map_err(|error| handshake::broken(&error))?;
    let mut wire = handshake::frame_stream(stream);
    let own = &shared.options.identity;
    let keys = &shared.options.keys;
    let shaken = handshake::shake_hands(&mut wire, own, keys, Side::Accepting);
    let mut session = timeout(shared.options.times.connect_timeout, shaken)
        .await
        .map_err(|_| Error::new(ErrorKind::Unavailable, "handshake timed out"))??;
    serve_frames(shared, &mut wire, &mut session, events).await
}

async fn serve_frames(
    shared: &Shared,
    wire: &mut Wire,
    session: &mut Session,
    events: &mpsc::Sender<PeerEvent>,
) -> Result<(), Error> {
    // The connecting side closes an idle connection first; a silent one is dropped here some time later.
    let unused_limit = shared.options.times.idle_limit * 2;
    let (replies, mut reply_queue) = mpsc::channel(REPLY_QUEUE_FRAMES);
    loop {
        tokio::select! {
            reply = reply_queue.recv() => {
                let Some(reply) = reply else { return Ok(()) };
                write(shared, wire, session, &reply).await?;
            }
            read = timeout(unused_limit, wire.next()) => {
                let read = read.map_err(|_| Error::new(ErrorKind::Unavailable, "connection is unused"))?;
                let frame = link::open_frame(read, session, shared)?;
                if let Some(pong) = take_frame(shared, session, events, &replies, frame)? {
                    write(shared, wire, session, &pong).await?;
                }
            }
        }
    }
}

/// Writes with a limit, since the other side may have gone silent with its window closed.
async fn write(
    shared: &Shared,
    wire: &mut Wire,
    session: &mut Session,
    frame: &Frame,
) -> Result<(), Error> {
    let written = link::write_frame(wire, session, shared, frame);
    timeout(shared.options.times.silence_limit, written)
        .await
        .map_err(|_| Error::new(ErrorKind::Unavailable, "peer does not take frames"))?
}

/// Passes a frame on, or returns the frame that answers it at once.
fn take_frame(
    shared: &Shared,
    session: &Session,
    events: &mpsc::Sender<PeerEvent>,
    replies: &mpsc::Sender<Frame>,
    frame: Frame,
) -> Result<Option<Frame>, Error> {
    let request = frame.request;
    let body = frame.into_body()?;
    if body.kind == Kind::Ping {
        let pong = Body {
            kind: Kind::Pong,
            payload: Bytes::new(),
        };
        return Ok(Some(Frame::new(0, true, pong)));
    }
    let kind = body.kind;
    let reply = (request != 0).then(|| ReplyHandle::new(replies.clone(), request));
    let event = PeerEvent {
        from: session.peer.clone(),
        body,
        reply,
    };
    if events.try_send(event).is_err() {
        shared.traffic.add_dropped(kind);
    }
    Ok(None)
}
