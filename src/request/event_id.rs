//! Event IDs of response streams, with which a caller can resume a stream through any router.
//!
//! An ID contains replica, incarnation, stream and sequence number, so a router that has never seen the stream can
//! locate it. The ID is authenticated together with the client account, so a caller can neither access a stream of
//! another account nor forge an ID.

use std::fmt::Write;

use hmac::{Hmac, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::id::{AccountId, Incarnation, ReplicaId, RequestId};

const MAC_BYTES: usize = 16;
const MAX_ID_BYTES: usize = 512;

/// The position of one event in an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventId {
    /// The replica that holds the stream.
    pub replica: ReplicaId,
    /// The incarnation of that replica.
    pub incarnation: Incarnation,
    /// The request that the stream responds to.
    pub stream: RequestId,
    /// The sequence number of the event in the engine's stream.
    pub sequence: u64,
    /// The position of the event in the caller's stream, which continues when the replica changes.
    pub position: u64,
}

/// The key for event IDs, shared by all routers of a deployment.
#[derive(Clone)]
pub struct EventIdKey(Hmac<Sha256>);

impl std::fmt::Debug for EventIdKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EventIdKey")
    }
}

impl EventIdKey {
    /// Derives the key from the secret that the routers share.
    ///
    /// # Panics
    ///
    /// Never: HMAC accepts keys of any length.
    #[must_use]
    pub fn derive(secret: &[u8]) -> Self {
        let mut derivation =
            Hmac::<Sha256>::new_from_slice(secret).expect("HMAC accepts keys of any length");
        derivation.update(b"crocuswharf event id");
        let key = derivation.finalize().into_bytes();
        Self(Hmac::new_from_slice(&key).expect("HMAC accepts keys of any length"))
    }

    fn mac(&self, account: &AccountId, text: &str) -> [u8; MAC_BYTES] {
        let mut mac = self.0.clone();
        mac.update(&(account.len() as u64).to_be_bytes());
        mac.update(account.as_bytes());
        mac.update(text.as_bytes());
        let full: [u8; 32] = mac.finalize().into_bytes().into();
        let mut short = [0; MAC_BYTES];
        short.copy_from_slice(&full[..MAC_BYTES]);
        short
    }
}

impl EventId {
    /// Encodes the ID for the `id` field of a server-sent event to `account`.
    #[must_use]
    pub fn encode(&self, account: &AccountId, key: &EventIdKey) -> String {
        let stream = self.stream.simple();
        let (replica, incarnation) = (&self.replica, self.incarnation);
        let (sequence, position) = (self.sequence, self.position);
        let mut text = format!("{replica}.{incarnation}.{stream}.{sequence}.{position}");
        let mac = key.mac(account, &text);
        text.push('.');
        for byte in mac {
            write!(text, "{byte:02x}").expect("writing to a String can't fail");
        }
        text
    }

    /// Decodes an ID received from `account`; returns `None` if it was not issued to that account.
    #[must_use]
    pub fn decode(text: &str, account: &AccountId, key: &EventIdKey) -> Option<Self> {
        if text.len() > MAX_ID_BYTES {
            return None;
        }
        let (signed, mac) = text.rsplit_once('.')?;
        let expected = key.mac(account, signed);
        let is_valid: bool = decode_mac(mac)?.ct_eq(&expected).into();
        is_valid.then(|| Self::parse(signed)).flatten()
    }

    fn parse(signed: &str) -> Option<Self> {
        let mut parts = signed.rsplitn(5, '.');
        let position = parts.next()?.parse().ok()?;
        let sequence = parts.next()?.parse().ok()?;
        let stream = uuid::Uuid::try_parse(parts.next()?).ok()?;
        let incarnation = parts.next()?.parse().ok()?;
        let replica = parts.next()?.into();
        Some(Self {
            replica,
            incarnation,
            stream,
            sequence,
            position,
        })
    }
}

fn decode_mac(text: &str) -> Option<[u8; MAC_BYTES]> {
    if text.len() != MAC_BYTES * 2 || !text.is_ascii() {
        return None;
    }
    let mut mac = [0; MAC_BYTES];
    for (index, byte) in mac.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(mac)
}
