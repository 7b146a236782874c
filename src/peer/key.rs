//! The shared keys of a deployment's routers, and the codes made with them.

use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::error::{Error, ErrorKind};
use crate::peer::frame::CODE_BYTES;

type HmacSha256 = Hmac<Sha256>;

/// The keys that a router accepts from its peers; it signs with the first.
///
/// Two keys are valid at once during a rotation: add the new key behind the old one everywhere, then put it first
/// everywhere, then remove the old one.
#[derive(Clone)]
pub struct PeerKeys {
    keys: Arc<[Arc<str>]>,
}

impl PeerKeys {
    /// Takes the keys from settings.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::InvalidInput`] where there is none.
    pub fn new(keys: &[Arc<str>]) -> Result<Self, Error> {
        if keys.is_empty() {
            return Err(Error::invalid(
                "peer_keys",
                "[]",
                "at least one key is needed",
            ));
        }
        Ok(Self { keys: keys.into() })
    }

    /// Proves knowledge of the signing key over `transcript`, for the side that `label` names.
    pub(crate) fn prove(&self, label: &str, transcript: &[u8]) -> Bytes {
        let code = keyed(self.signing(), label, transcript).finalize();
        Bytes::copy_from_slice(&code.into_bytes())
    }

    /// Finds the key under which `proof` is valid, in time that does not depend on the proof.
    pub(crate) fn verify(&self, label: &str, transcript: &[u8], proof: &[u8]) -> Option<&str> {
        let mut found = None;
        for key in self.keys.iter() {
            if keyed(key, label, transcript).verify_slice(proof).is_ok() {
                found = Some(&**key);
            }
        }
        found
    }

    /// Returns the key that this router signs with.
    pub(crate) fn signing(&self) -> &str {
        &self.keys[0]
    }
}

/// Keys are never printed.
impl std::fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PeerKeys({})", self.keys.len())
    }
}

/// Puts codes on the frames of one direction of one connection, or checks them.
///
/// The code covers the frame's number in its direction, so that a frame that is repeated, left out or moved ends the
/// connection.
pub(crate) struct Sealer {
    mac: HmacSha256,
    sequence: u64,
}

impl Sealer {
    /// Derives the code of one direction from the sender's `key` and the handshake's transcript.
    pub(crate) fn new(key: &str, label: &str, transcript: &[u8]) -> Self {
        let derived = keyed(key, label, transcript).finalize().into_bytes();
        Self {
            mac: new_mac(&derived),
            sequence: 0,
        }
    }

    /// Puts the next code before `frame`.
    pub(crate) fn seal(&mut self, frame: &[u8]) -> Bytes {
        let code = self.next_code(frame).finalize().into_bytes();
        let mut sealed = BytesMut::with_capacity(CODE_BYTES + frame.len());
        sealed.put_slice(&code[..CODE_BYTES]);
        sealed.put_slice(frame);
        sealed.freeze()
    }

    /// Checks the code before a frame and returns the frame.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] where the code does not fit content and place.
    pub(crate) fn open(&mut self, mut sealed: Bytes) -> Result<Bytes, Error> {
        let fault = || Error::new(ErrorKind::Protocol, "frame has a wrong authentication code");
        if sealed.remaining() < CODE_BYTES {
            return Err(fault());
        }
        let code = sealed.split_to(CODE_BYTES);
        self.next_code(&sealed)
            .verify_truncated_left(&code)
            .map_err(|_| fault())?;
        Ok(sealed)
    }

    fn next_code(&mut self, frame: &[u8]) -> HmacSha256 {
        let mut mac = self.mac.clone();
        mac.update(&self.sequence.to_be_bytes());
        mac.update(frame);
        self.sequence += 1;
        mac
    }
}

fn keyed(key: &str, label: &str, transcript: &[u8]) -> HmacSha256 {
    let mut mac = new_mac(key.as_bytes());
    mac.update(label.as_bytes());
    mac.update(&[0]);
    mac.update(transcript);
    mac
}

fn new_mac(key: &[u8]) -> HmacSha256 {
    HmacSha256::new_from_slice(key).expect("HMAC takes keys of any length")
}
