//! The first four frames of a connection, by which each side proves that it knows a key of the deployment.

use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::error::{Error, ErrorKind};
use crate::id::{Incarnation, RouterId};
use crate::peer::frame::MAX_FRAME_BYTES;
use crate::peer::key::{PeerKeys, Sealer};

/// The version of the frames; a router closes a connection that names another.
const PROTOCOL_VERSION: u32 = 1;
/// The bytes of randomness that each side adds, so that no proof serves twice.
const NONCE_BYTES: usize = 32;
/// The largest frame before the other side has proved itself.
const MAX_HANDSHAKE_BYTES: usize = 1_024;

/// The connection as frames of bytes.
pub(crate) type Wire = Framed<TcpStream, LengthDelimitedCodec>;

/// Who stands at the other end of a connection.
///
/// All routers share one key, so a router that holds it could take another's name. What is proved is that the other
/// end is some router of this deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerIdentity {
    /// The router's name.
    pub router: RouterId,
    /// The life of the router's process.
    pub incarnation: Incarnation,
    /// Where the router listens for peers.
    pub address: SocketAddr,
}

/// The side of a connection that a router stands on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// The side that connected.
    Connecting,
    /// The side that accepted.
    Accepting,
}

impl Side {
    const fn other(self) -> Self {
        match self {
            Self::Connecting => Self::Accepting,
            Self::Accepting => Self::Connecting,
        }
    }

    const fn proof_label(self) -> &'static str {
        match self {
            Self::Connecting => "crocuswharf peer proof, connecting side",
            Self::Accepting => "crocuswharf peer proof, accepting side",
        }
    }

    const fn frame_label(self) -> &'static str {
        match self {
            Self::Connecting => "crocuswharf peer frames, connecting side",
            Self::Accepting => "crocuswharf peer frames, accepting side",
        }
    }
}

/// What a finished handshake yields.
pub(crate) struct Session {
    pub(crate) peer: PeerIdentity,
    pub(crate) sending: Sealer,
    pub(crate) receiving: Sealer,
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
}

/// Frames `stream` with the bound that holds before the other side has proved itself.
pub(crate) fn frame_stream(stream: TcpStream) -> Wire {
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_HANDSHAKE_BYTES);
    Framed::new(stream, codec)
}

/// Proves this router to the other side and checks the other side's proof.
///
/// # Errors
///
/// Fails with [`ErrorKind::Unavailable`] where the connection ends and with [`ErrorKind::Protocol`] where the other side
/// does not know a valid key or speaks another version.
pub(crate) async fn shake_hands(
    wire: &mut Wire,
    own: &PeerIdentity,
    keys: &PeerKeys,
    side: Side,
) -> Result<Session, Error> {
    let own_hello = encode_hello(own, rand::random());
    write(wire, own_hello.clone()).await?;
    let their_hello = read(wire).await?;
    let transcript = match side {
        Side::Connecting => join(&own_hello, &their_hello),
        Side::Accepting => join(&their_hello, &own_hello),
    };
    write(wire, keys.prove(side.proof_label(), &transcript)).await?;
    let proof = read(wire).await?;
    let their_key = keys
        .verify(side.other().proof_label(), &transcript, &proof)
        .ok_or_else(|| Error::new(ErrorKind::Protocol, "peer does not know a valid key"))?;
    let peer = decode_hello(their_hello)?;
    wire.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    Ok(Session {
        peer,
        sending: Sealer::new(keys.signing(), side.frame_label(), &transcript),
        receiving: Sealer::new(their_key, side.other().frame_label(), &transcript),
    })
}

fn encode_hello(own: &PeerIdentity, nonce: [u8; NONCE_BYTES]) -> Bytes {
    let hello = Hello {
        version: PROTOCOL_VERSION,
        router: own.router.to_string(),
        incarnation: own.incarnation,
        address: own.address.to_string(),
        nonce: Bytes::copy_from_slice(&nonce),
    };
    hello.encode_to_vec().into()
}

fn decode_hello(bytes: Bytes) -> Result<PeerIdentity, Error> {
    let fault = |message: String| Error::new(ErrorKind::Protocol, message);
    let hello = Hello::decode(bytes).map_err(|error| fault(format!("hello: {error}")))?;
    if hello.version != PROTOCOL_VERSION {
        return Err(fault(format!("peer speaks version {}", hello.version)));
    }
    let address = hello
        .address
        .parse()
        .map_err(|_| fault(format!("peer address {:?} is malformed", hello.address)))?;
    Ok(PeerIdentity {
        router: hello.router.into(),
        incarnation: hello.incarnation,
        address,
    })
}

/// Joins both hellos with their lengths, so that no two pairs give the same transcript.
fn join(first: &[u8], second: &[u8]) -> Vec<u8> {
    let mut transcript = Vec::with_capacity(first.len() + second.len() + 16);
    for part in [first, second] {
        transcript.extend_from_slice(&(part.len() as u64).to_be_bytes());
        transcript.extend_from_slice(part);
    }
    transcript
}

async fn write(wire: &mut Wire, bytes: Bytes) -> Result<(), Error> {
    wire.send(bytes).await.map_err(|error| broken(&error))
}

async fn read(wire: &mut Wire) -> Result<Bytes, Error> {
    match wire.next().await {
        Some(Ok(frame)) => Ok(BytesMut::freeze(frame)),
        Some(Err(error)) => Err(broken(&error)),
        None => Err(Error::new(
            ErrorKind::Unavailable,
            "peer closed the connection",
        )),
    }
}

/// Describes a broken connection.
pub(crate) fn broken(error: &std::io::Error) -> Error {
    Error::new(
        ErrorKind::Unavailable,
        format!("peer connection broke: {error}"),
    )
}
