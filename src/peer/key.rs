//! The keys shared by the routers of a deployment, and the message authentication codes derived from them.

use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::error::{Error, ErrorKind};
use crate::peer::frame::MAC_BYTES;

type HmacSha256 = Hmac<Sha256>;

/// The keys that a router accepts from its peers. It signs with the first one.
///
/// Two keys are valid during a rotation: append the new key to the old one on all routers, then move it to the front on
/// all routers, then remove the old one.
#[derive(Clone)]
pub struct PeerKeys {
    keys: Arc<[Arc<str>]>,
}

impl PeerKeys {
    /// Creates the keys from the settings.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::InvalidInput`] if there are no keys.
    pub fn new(keys: &[Arc<str>]) -> Result<Self, Error> {
        if keys.is_empty() {
            return Err(Error::invalid(
                "peer_keys",
                "[]",
                "at least one key is required",
            ));
        }
        Ok(Self { keys: keys.into() })
    }

    /// Returns a proof of knowledge of the signing key: the MAC of `transcript` in the role that `label` names.
    pub(crate) fn prove(&self, label: &str, transcript: &[u8]) -> Bytes {
        let code = labeled_mac(self.signing(), label, transcript).finalize();
        Bytes::copy_from_slice(&code.into_bytes())
    }

    /// Returns the key under which `proof` is valid. All keys are tried, so the time does not depend on the proof.
    pub(crate) fn verify(&self, label: &str, transcript: &[u8], proof: &[u8]) -> Option<&str> {
        let mut found = None;
        for key in self.keys.iter() {
            if labeled_mac(key, label, transcript)
                .verify_slice(proof)
                .is_ok()
            {
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

/// Omits the keys.
impl std::fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PeerKeys({})", self.keys.len())
    }
}

/// Adds or verifies the authentication codes of frames in one direction of a connection.
///
/// The MAC covers the sequence number of the frame in its direction, so that a replayed, dropped or reordered frame
/// ends the connection.
pub(crate) struct FrameMac {
    mac: HmacSha256,
    sequence: u64,
}

impl FrameMac {
    /// Derives the MAC key of one direction from the sender's `key` and the handshake transcript.
    pub(crate) fn new(key: &str, label: &str, transcript: &[u8]) -> Self {
        let derived = labeled_mac(key, label, transcript).finalize().into_bytes();
        Self {
            mac: new_mac(&derived),
            sequence: 0,
        }
    }

    /// Prepends the authentication code to `frame`.
    pub(crate) fn sign(&mut self, frame: &[u8]) -> Bytes {
        let code = self.next_mac(frame).finalize().into_bytes();
        let mut signed = BytesMut::with_capacity(MAC_BYTES + frame.len());
        signed.put_slice(&code[..MAC_BYTES]);
        signed.put_slice(frame);
        signed.freeze()
    }

    /// Verifies the authentication code at the start of `signed` and returns the rest of the frame.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::Protocol`] if the code does not match the content and the sequence number.
    pub(crate) fn verify(&mut self, mut signed: Bytes) -> Result<Bytes, Error> {
        let mac_error = || Error::new(ErrorKind::Protocol, "invalid frame authentication code");
        if signed.remaining() < MAC_BYTES {
            return Err(mac_error());
        }
        let code = signed.split_to(MAC_BYTES);
        self.next_mac(&signed)
            .verify_truncated_left(&code)
            .map_err(|_| mac_error())?;
        Ok(signed)
    }

    fn next_mac(&mut self, frame: &[u8]) -> HmacSha256 {
        let mut mac = self.mac.clone();
        mac.update(&self.sequence.to_be_bytes());
        mac.update(frame);
        self.sequence += 1;
        mac
    }
}

fn labeled_mac(key: &str, label: &str, transcript: &[u8]) -> HmacSha256 {
    let mut mac = new_mac(key.as_bytes());
    mac.update(label.as_bytes());
    mac.update(&[0]);
    mac.update(transcript);
    mac
}

fn new_mac(key: &[u8]) -> HmacSha256 {
    HmacSha256::new_from_slice(key).expect("HMAC accepts keys of any length")
}
