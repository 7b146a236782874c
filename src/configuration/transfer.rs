//! Passes the configuration from router to router in parts.
//!
//! Rejected: pushing whole shards to every peer, which sends each of them several times over the bounded links of a
//! large fleet. Announcing a number and letting the other side ask costs some twenty bytes where nothing is new.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use prost::Message;
use sha2::{Digest, Sha256};

use super::message::{Fetch, Update, UpdatePart, UpdateShard};
use super::state::{Root, Shard, StoredState, read_json, shard_name};
use crate::error::{Error, ErrorKind};
use crate::id::Revision;

/// The most bytes of an update in one part.
const PART_BYTES: usize = 64 << 10;
/// The most parts that an update may have.
const MAX_PARTS: u32 = 4_096;

/// Answers peers' requests, keeping the last update encoded for those who ask for its next parts.
#[derive(Debug, Default)]
pub struct UpdateServer {
    key: Option<(Revision, Revision, bool)>,
    encoded: Bytes,
}

impl UpdateServer {
    /// Returns the part that `fetch` asks for out of `state`.
    pub fn part(&mut self, state: &StoredState, fetch: Fetch) -> UpdatePart {
        let revision = state.revision();
        if revision <= fetch.base {
            return UpdatePart {
                revision,
                ..UpdatePart::default()
            };
        }
        let key = (fetch.base, revision, fetch.whole);
        if self.key != Some(key) {
            self.encoded = encode(state, fetch).into();
            self.key = Some(key);
        }
        let parts = self.encoded.len().div_ceil(PART_BYTES);
        // An asker whose parts were of an older revision begins anew.
        let is_same = fetch.revision == 0 || fetch.revision == revision;
        let part = if is_same { fetch.part as usize } else { 0 };
        let start = part.min(parts - 1) * PART_BYTES;
        let end = (start + PART_BYTES).min(self.encoded.len());
        UpdatePart {
            revision,
            parts: u32::try_from(parts).unwrap_or(u32::MAX),
            part: u32::try_from(start / PART_BYTES).unwrap_or(u32::MAX),
            bytes: self.encoded.slice(start..end),
        }
    }
}

fn encode(state: &StoredState, fetch: Fetch) -> Vec<u8> {
    let written_since = |name: &str| fetch.whole || revision_of(name) > fetch.base;
    let named = state.root.shards.iter();
    let shards = named
        .filter(|(_, name)| written_since(name))
        .map(|(slot, name)| UpdateShard {
            slot: slot.to_string(),
            revision: revision_of(name),
            bytes: serde_json::to_vec(&*state.shards[slot])
                .expect("a shard has only text keys and finite numbers")
                .into(),
        });
    let update = Update {
        shards: shards.collect(),
        digest: digest_of_slots(&state.root),
        floor: state.root.floor,
    };
    update.encode_to_vec()
}

fn revision_of(shard: &str) -> Revision {
    let number = shard
        .split_once('-')
        .and_then(|(revision, _)| revision.parse().ok());
    number.expect("a shard's name begins with its revision")
}

fn digest_of_slots(root: &Root) -> Bytes {
    let mut hasher = Sha256::new();
    for (slot, name) in &root.shards {
        hasher.update(slot.as_bytes());
        hasher.update(b"=");
        hasher.update(name.as_bytes());
        hasher.update(b"\n");
    }
    hasher.finalize().to_vec().into()
}

/// Collects the parts of an update from one peer.
#[derive(Debug)]
pub struct UpdateReader {
    base: Arc<StoredState>,
    is_whole: bool,
    revision: Revision,
    parts: u32,
    next_part: u32,
    bytes: BytesMut,
}

/// What a reader wants after a part.
#[derive(Debug)]
pub enum ReadStep {
    /// Ask for this part next.
    Ask(Fetch),
    /// The peer is not ahead.
    NotAhead,
    /// The state after the update; it is still to be offered for adoption.
    Done(Box<StoredState>),
    /// The peer's parts make no sense; ask another peer or the store.
    Failed(Error),
}

impl UpdateReader {
    /// Begins to read what was written after `base`.
    #[must_use]
    pub fn new(base: Arc<StoredState>) -> Self {
        Self {
            base,
            is_whole: false,
            revision: 0,
            parts: 0,
            next_part: 0,
            bytes: BytesMut::new(),
        }
    }

    /// Returns the request for the next part.
    #[must_use]
    pub fn ask(&self) -> Fetch {
        Fetch {
            base: self.base.revision(),
            revision: self.revision,
            part: self.next_part,
            whole: self.is_whole,
        }
    }

    /// Takes a part.
    pub fn take(&mut self, part: &UpdatePart) -> ReadStep {
        if part.parts == 0 || part.revision <= self.base.revision() {
            return ReadStep::NotAhead;
        }
        if part.part == 0 {
            self.restart(part);
        }
        let is_expected = part.revision == self.revision
            && part.parts == self.parts
            && part.part == self.next_part
            && part.parts <= MAX_PARTS;
        if !is_expected || part.bytes.len() > PART_BYTES {
            return ReadStep::Failed(Error::new(
                ErrorKind::Protocol,
                "a part of an update is out of place",
            ));
        }
        self.bytes.extend_from_slice(&part.bytes);
        self.next_part += 1;
        if self.next_part < self.parts {
            return ReadStep::Ask(self.ask());
        }
        self.finish()
    }

    fn restart(&mut self, part: &UpdatePart) {
        self.revision = part.revision;
        self.parts = part.parts;
        self.next_part = 0;
        self.bytes.clear();
    }

    fn finish(&mut self) -> ReadStep {
        let bytes = std::mem::take(&mut self.bytes).freeze();
        match self.merge(bytes) {
            Ok(Some(state)) => ReadStep::Done(Box::new(state)),
            Ok(None) if !self.is_whole => {
                self.is_whole = true;
                self.revision = 0;
                self.next_part = 0;
                ReadStep::Ask(self.ask())
            }
            Ok(None) => {
                ReadStep::Failed(Error::new(ErrorKind::Protocol, "an update does not add up"))
            }
            Err(error) => ReadStep::Failed(error),
        }
    }

    /// Adds the update to the base; `None` where the sum does not have the digest that the peer gave.
    fn merge(&self, bytes: Bytes) -> Result<Option<StoredState>, Error> {
        let update = Update::decode(bytes).map_err(|error| {
            let message = format!("an update is not understood: {error}");
            Error::new(ErrorKind::Protocol, message)
        })?;
        let mut root = Root {
            revision: self.revision,
            floor: update.floor,
            ..Root::default()
        };
        let mut shards = BTreeMap::new();
        if !self.is_whole {
            root.shards = self.base.root.shards.clone();
            shards = self.base.shards.clone();
        }
        for written in update.shards {
            let slot: Arc<str> = written.slot.into();
            let shard: Shard = read_json(&slot, &written.bytes)?;
            root.shards
                .insert(slot.clone(), shard_name(written.revision, &written.bytes));
            shards.insert(slot, Arc::new(shard));
        }
        let adds_up = digest_of_slots(&root) == update.digest;
        let root = Arc::new(root);
        Ok(adds_up.then_some(StoredState {
            root_version: None,
            root,
            shards,
        }))
    }
}
