//! Connections between routers that carry the bytes of another connection.
//!
//! The first frame after the handshake asks for it, and the reply is the last frame: from then on both ends use the TCP
//! connection itself. Such a connection is never shared with other frames.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::error::{Error, ErrorKind};
use crate::peer::frame::{Body, Frame};
use crate::peer::handshake::{self, FramedStream, PeerIdentity, Session};
use crate::peer::link;
use crate::peer::links::Shared;

/// The number of the only request on such a connection.
const REQUEST: u64 = 1;

/// A peer's request to carry the bytes of another connection on the one that it arrived on.
pub(crate) struct RelayRequest {
    /// The sender.
    pub(crate) from: PeerIdentity,
    /// The received body.
    pub(crate) body: Body,
    stream: std::net::TcpStream,
    session: Session,
    shared: Arc<Shared>,
}

impl RelayRequest {
    pub(crate) fn new(
        shared: Arc<Shared>,
        framed: FramedStream,
        session: Session,
        frame: Frame,
    ) -> Result<Self, Error> {
        let body = frame.into_body()?;
        let stream = into_stream(framed)?;
        Ok(Self {
            from: session.peer.clone(),
            body,
            // The connection is served on another runtime than the one that accepted it.
            stream: stream
                .into_std()
                .map_err(|error| handshake::connection_error(&error))?,
            session,
            shared,
        })
    }

    /// Sends the reply and returns the connection, which belongs to the current runtime.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Unavailable`] if the connection fails or the peer does not read.
    pub(crate) async fn reply(mut self, body: Body) -> Result<TcpStream, Error> {
        let stream = TcpStream::from_std(self.stream)
            .map_err(|error| handshake::connection_error(&error))?;
        let mut framed = handshake::frame_stream(stream);
        let frame = Frame::new(REQUEST, true, body);
        let written = link::write_frame(&mut framed, &mut self.session, &self.shared, &frame);
        timeout(self.shared.options.times.silence_timeout, written)
            .await
            .map_err(|_| Error::new(ErrorKind::Unavailable, "writing to the peer timed out"))??;
        into_stream(framed)
    }
}

impl std::fmt::Debug for RelayRequest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "RelayRequest({})", self.from.router)
    }
}

/// Asks the router at `to` on a connection of its own; returns its reply and the connection.
pub(crate) async fn open(
    shared: &Shared,
    to: std::net::SocketAddr,
    body: Body,
    limit: Duration,
) -> Result<(Body, TcpStream), Error> {
    let exchange = async {
        let (mut framed, mut session) = link::connect(shared, to).await?;
        if i32::from(body.kind) > session.newest_kind {
            let message = "the peer's version does not know the kind";
            return Err(Error::new(ErrorKind::Protocol, message));
        }
        let frame = Frame::new(REQUEST, false, body);
        link::write_frame(&mut framed, &mut session, shared, &frame).await?;
        let reply = link::decode_frame(framed.next().await, &mut session, shared)?;
        Ok((reply.into_body()?, into_stream(framed)?))
    };
    match timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) => Err(Error::new(ErrorKind::Unavailable, "no reply in time")),
    }
}

/// Ends the framing of a connection.
fn into_stream(framed: FramedStream) -> Result<TcpStream, Error> {
    let parts = framed.into_parts();
    if parts.read_buf.is_empty() && parts.write_buf.is_empty() {
        return Ok(parts.io);
    }
    let message = "bytes arrived before the end of the framing";
    Err(Error::new(ErrorKind::Protocol, message))
}
