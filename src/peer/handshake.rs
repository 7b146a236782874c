//! The handshake: the first four frames of a connection, with which each end proves that it knows a key of the
//! deployment.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::error::{Error, ErrorKind};
use crate::id::{Incarnation, RouterId};
use crate::peer::frame::{Kind, MAX_FRAME_BYTES};
use crate::peer::key::{FrameMac, PeerKeys};

/// The protocol version; a router closes connections to peers with another version.
const PROTOCOL_VERSION: u32 = 1;
/// The number of random bytes that each end contributes, so that proofs can't be replayed.
const NONCE_BYTES: usize = 32;
/// The maximum frame size before the peer is authenticated.
const MAX_HANDSHAKE_BYTES: usize = 1_024;

/// A TCP stream split into length-delimited frames.
pub(crate) type FramedStream = Framed<TcpStream, LengthDelimitedCodec>;

/// The identity of the peer at the other end of a connection.
///
/// All routers share one key, so a router that knows the key could claim the name of another. The handshake only proves
/// that the peer is some router of this deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The router's name.
    pub router: RouterId,
    /// The incarnation of the router's process.
    pub incarnation: Incarnation,
    /// The address where the router listens for peers.
    pub address: SocketAddr,
}

/// The role of a router in a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// The router that opened the connection.
    Initiator,
    /// The router that accepted the connection.
    Responder,
}

impl Role {
    const fn other(self) -> Self {
        match self {
            Self::Initiator => Self::Responder,
            Self::Responder => Self::Initiator,
        }
    }

    const fn proof_label(self) -> &'static str {
        match self {
            Self::Initiator => "crocuswharf peer proof, connecting side",
            Self::Responder => "crocuswharf peer proof, accepting side",
        }
    }

    const fn frame_label(self) -> &'static str {
        match self {
            Self::Initiator => "crocuswharf peer frames, connecting side",
            Self::Responder => "crocuswharf peer frames, accepting side",
        }
    }
}

/// The result of a completed handshake.
pub(crate) struct Session {
    pub(crate) peer: PeerIdentity,
    /// The number of the newest kind of frame that the peer knows.
    pub(crate) newest_kind: i32,
    pub(crate) sending: FrameMac,
    pub(crate) receiving: FrameMac,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Hello {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(string, tag = "2")]
    router: String,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(string, tag = "4")]
    address: String,
    #[prost(bytes = "bytes", tag = "5")]
    nonce: Bytes,
    /// The number of the newest kind of frame that the sender knows. Routers that don't send it close connections on
    /// which they get a newer one than [`Kind::NEWEST_UNANNOUNCED`].
    #[prost(int32, tag = "6")]
    newest_kind: i32,
}

/// Wraps `stream` with the frame size limit that applies before the peer is authenticated.
pub(crate) fn frame_stream(stream: TcpStream) -> FramedStream {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_HANDSHAKE_BYTES);
    Framed::new(stream, codec)
}

/// Performs mutual authentication: proves this router's knowledge of a key and verifies the proof of the peer.
///
/// # Errors
///
/// Fails with [`ErrorKind::Unavailable`] if the connection is closed, and with [`ErrorKind::Protocol`] if the peer does
/// not know a valid key or uses another protocol version.
pub(crate) async fn perform(
    framed: &mut FramedStream,
    own: &PeerIdentity,
    keys: &PeerKeys,
    role: Role,
) -> Result<Session, Error> {
    perform_with(framed, own, keys, role, Kind::newest() as i32).await
}

/// Performs the handshake of a router that announces `newest_kind`, or announces none with 0.
pub(crate) async fn perform_with(
    framed: &mut FramedStream,
    own: &PeerIdentity,
    keys: &PeerKeys,
    role: Role,
    newest_kind: i32,
) -> Result<Session, Error> {
    let own_hello = encode_hello(own, rand::random(), newest_kind);
    write(framed, own_hello.clone()).await?;
    let their_hello = read(framed).await?;
    let transcript = match role {
        Role::Initiator => transcript_of(&own_hello, &their_hello),
        Role::Responder => transcript_of(&their_hello, &own_hello),
    };
    write(framed, keys.prove(role.proof_label(), &transcript)).await?;
    let proof = read(framed).await?;
    let their_key = keys
        .verify(role.other().proof_label(), &transcript, &proof)
        .ok_or_else(|| {
            Error::new(
                ErrorKind::Protocol,
                "peer authentication failed: its proof matches no valid key",
            )
        })?;
    let (peer, newest_kind) = decode_hello(their_hello)?;
    framed.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    Ok(Session {
        peer,
        newest_kind,
        sending: FrameMac::new(keys.signing(), role.frame_label(), &transcript),
        receiving: FrameMac::new(their_key, role.other().frame_label(), &transcript),
    })
}

fn encode_hello(own: &PeerIdentity, nonce: [u8; NONCE_BYTES], newest_kind: i32) -> Bytes {
    let hello = Hello {
        version: PROTOCOL_VERSION,
        router: own.router.to_string(),
        incarnation: own.incarnation,
        address: own.address.to_string(),
        nonce: Bytes::copy_from_slice(&nonce),
        newest_kind,
    };
    hello.encode_to_vec().into()
}

fn decode_hello(bytes: Bytes) -> Result<(PeerIdentity, i32), Error> {
    let protocol_error = |message: String| Error::new(ErrorKind::Protocol, message);
    let hello = Hello::decode(bytes)
        .map_err(|error| protocol_error(format!("malformed hello message: {error}")))?;
    if hello.version != PROTOCOL_VERSION {
        return Err(protocol_error(format!(
            "unsupported peer protocol version {}",
            hello.version
        )));
    }
    let address = hello
        .address
        .parse()
        .map_err(|_| protocol_error(format!("peer address {:?} is malformed", hello.address)))?;
    let peer = PeerIdentity {
        router: hello.router.into(),
        incarnation: hello.incarnation,
        address,
    };
    let unannounced = Kind::NEWEST_UNANNOUNCED as i32;
    Ok((peer, hello.newest_kind.max(unannounced)))
}

/// Concatenates both hello messages with length prefixes, so that no two different pairs have the same transcript.
fn transcript_of(first: &[u8], second: &[u8]) -> Vec<u8> {
    let mut transcript = Vec::with_capacity(first.len() + second.len() + 16);
    for part in [first, second] {
        transcript.extend_from_slice(&(part.len() as u64).to_be_bytes());
        transcript.extend_from_slice(part);
    }
    transcript
}

async fn write(framed: &mut FramedStream, bytes: Bytes) -> Result<(), Error> {
    framed
        .send(bytes)
        .await
        .map_err(|error| connection_error(&error))
}

async fn read(framed: &mut FramedStream) -> Result<Bytes, Error> {
    match framed.next().await {
        Some(Ok(frame)) => Ok(BytesMut::freeze(frame)),
        Some(Err(error)) => Err(connection_error(&error)),
        None => Err(Error::new(
            ErrorKind::Unavailable,
            "peer closed the connection",
        )),
    }
}

/// Converts an I/O error of a connection.
pub(crate) fn connection_error(error: &std::io::Error) -> Error {
    Error::new(
        ErrorKind::Unavailable,
        format!("peer connection failed: {error}"),
    )
}
