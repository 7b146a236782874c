//! Connections accepted from peers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

use crate::error::{Error, ErrorKind};
use crate::peer::frame::{Body, Frame, Kind};
use crate::peer::handshake::{self, FramedStream, Role, Session};
use crate::peer::link;
use crate::peer::links::{PeerEvent, ReplyHandle, Shared};
use crate::peer::relay::RelayRequest;

/// The maximum number of replies queued for writing per connection.
const REPLY_QUEUE_FRAMES: usize = 64;
/// How long to wait after `accept` failed, for example because the process ran out of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts connections for the lifetime of the process.
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
                log::warn!("peer: failed to accept a connection: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let shared = Arc::clone(&shared);
        let events = events.clone();
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = serve(&shared, stream, &events).await {
                log::debug!("peer: accepted connection closed: {error}");
            }
        });
    }
}

async fn serve(
    shared: &Arc<Shared>,
    stream: TcpStream,
    events: &mpsc::Sender<PeerEvent>,
) -> Result<(), Error> {
    stream
        .set_nodelay(true)
        .map_err(|error| handshake::connection_error(&error))?;
    let mut framed = handshake::frame_stream(stream);
    let own = &shared.options.identity;
    let keys = &shared.options.keys;
    let handshake = handshake::perform(&mut framed, own, keys, Role::Responder);
    let mut session = timeout(shared.options.times.connect_timeout, handshake)
        .await
        .map_err(|_| Error::new(ErrorKind::Unavailable, "handshake timed out"))??;
    let Some(frame) = serve_frames(shared, &mut framed, &mut session, events).await? else {
        return Ok(());
    };
    let request = RelayRequest::new(Arc::clone(shared), framed, session, frame)?;
    let relays = shared.relays.get();
    if relays.is_none_or(|relays| relays.try_send(request).is_err()) {
        shared.traffic.add_dropped(Kind::Connect);
    }
    Ok(())
}

/// Serves frames until the connection ends, or returns the one that asks to relay another connection on this one.
async fn serve_frames(
    shared: &Shared,
    framed: &mut FramedStream,
    session: &mut Session,
    events: &mpsc::Sender<PeerEvent>,
) -> Result<Option<Frame>, Error> {
    // The initiator closes an idle connection first. A connection whose initiator has disappeared is closed here later.
    let unused_timeout = shared.options.times.idle_timeout * 2;
    let (replies, mut reply_queue) = mpsc::channel(REPLY_QUEUE_FRAMES);
    loop {
        tokio::select! {
            reply = reply_queue.recv() => {
                let Some(reply) = reply else { return Ok(None) };
                write(shared, framed, session, &reply).await?;
            }
            read = timeout(unused_timeout, framed.next()) => {
                let read = read.map_err(|_| Error::new(ErrorKind::Unavailable, "idle connection timed out"))?;
                let frame = link::decode_frame(read, session, shared)?;
                if frame.kind == Kind::Connect as i32 {
                    return Ok(Some(frame));
                }
                if let Some(pong) = handle_frame(shared, session, events, &replies, frame)? {
                    write(shared, framed, session, &pong).await?;
                }
            }
        }
    }
}

/// Writes a frame with a timeout, since the peer may have stopped reading and its TCP window may be closed.
async fn write(
    shared: &Shared,
    framed: &mut FramedStream,
    session: &mut Session,
    frame: &Frame,
) -> Result<(), Error> {
    let written = link::write_frame(framed, session, shared, frame);
    timeout(shared.options.times.silence_timeout, written)
        .await
        .map_err(|_| Error::new(ErrorKind::Unavailable, "writing to the peer timed out"))?
}

/// Forwards the body of a frame to the control thread, or returns the frame with which to reply immediately.
fn handle_frame(
    shared: &Shared,
    session: &Session,
    events: &mpsc::Sender<PeerEvent>,
    replies: &mpsc::Sender<Frame>,
    frame: Frame,
) -> Result<Option<Frame>, Error> {
    let request = frame.request;
    let body = match frame.into_body() {
        Ok(body) => body,
        Err(error) => {
            // A router of a newer version may send it; the other messages on the connection are kept.
            log::info!(
                "peer: A message was ignored. router={} error={error}",
                session.peer.router
            );
            return Ok(None);
        }
    };
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
