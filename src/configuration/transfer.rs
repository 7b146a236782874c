//! Transfers the configuration from router to router in parts.
//!
//! Rejected: pushing whole shards to every peer, which sends each shard several times over the bounded links of a large
//! fleet. Announcing a revision and letting the peer request the update costs about twenty bytes when nothing is new.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use prost::Message;
use sha2::{Digest, Sha256};

use super::message::{Fetch, Update, UpdatePart, UpdateShard};
use super::state::{Root, Shard, StoredState, decode_json, shard_name};
use crate::error::{Error, ErrorKind};
use crate::id::Revision;

/// The maximum size of one part of an update, in bytes.
const PART_BYTES: usize = 64 << 10;
/// The maximum number of parts of an update.
const MAX_PARTS: u32 = 4_096;

/// Serves updates to peers. The last update stays encoded for the requests for its further parts.
#[derive(Debug, Default)]
pub struct UpdateServer {
    key: Option<(Revision, Revision, bool)>,
    encoded: Bytes,
}

impl UpdateServer {
    /// Returns the part of `state` that `fetch` requests.
    pub fn part(&mut self, state: &StoredState, fetch: Fetch) -> UpdatePart {
        let revision = state.revision();
        if revision <= fetch.base {
            return UpdatePart {
                revision,
                ..UpdatePart::default()
            };
        }
        let key = (fetch.base, revision, fetch.full);
        if self.key != Some(key) {
            self.encoded = encode(state, fetch).into();
            self.key = Some(key);
        }
        let part_count = self.encoded.len().div_ceil(PART_BYTES);
        // A requester that received parts of another revision starts again with the first part.
        let is_same_revision = fetch.revision == 0 || fetch.revision == revision;
        let part = if is_same_revision {
            fetch.part as usize
        } else {
            0
        };
        let start = part.min(part_count - 1) * PART_BYTES;
        let end = (start + PART_BYTES).min(self.encoded.len());
        UpdatePart {
            revision,
            part_count: u32::try_from(part_count).unwrap_or(u32::MAX),
            part: u32::try_from(start / PART_BYTES).unwrap_or(u32::MAX),
            bytes: self.encoded.slice(start..end),
        }
    }
}

fn encode(state: &StoredState, fetch: Fetch) -> Vec<u8> {
    let written_since = |name: &str| fetch.full || shard_revision(name) > fetch.base;
    let named = state.root.shards.iter();
    let shards = named
        .filter(|(_, name)| written_since(name))
        .map(|(slot, name)| UpdateShard {
            slot: slot.to_string(),
            revision: shard_revision(name),
            bytes: serde_json::to_vec(&*state.shards[slot])
                .expect("a shard has only string keys and finite numbers")
                .into(),
        });
    let update = Update {
        shards: shards.collect(),
        digest: slots_digest(&state.root),
        floor: state.root.floor,
    };
    update.encode_to_vec()
}

fn shard_revision(shard: &str) -> Revision {
    let number = shard
        .split_once('-')
        .and_then(|(revision, _)| revision.parse().ok());
    number.expect("a shard name starts with its revision")
}

fn slots_digest(root: &Root) -> Bytes {
    let mut hasher = Sha256::new();
    for (slot, name) in &root.shards {
        hasher.update(slot.as_bytes());
        hasher.update(b"=");
        hasher.update(name.as_bytes());
        hasher.update(b"\n");
    }
    hasher.finalize().to_vec().into()
}

/// Assembles an update from the parts that one peer sends.
#[derive(Debug)]
pub struct UpdateReader {
    base: Arc<StoredState>,
    is_full: bool,
    revision: Revision,
    part_count: u32,
    next_part: u32,
    bytes: BytesMut,
}

/// The next step of an [`UpdateReader`].
#[derive(Debug)]
pub enum ReadStep {
    /// Request this part next.
    Request(Fetch),
    /// The peer does not have a higher revision.
    NotAhead,
    /// The update is complete. The resulting state still has to be offered for adoption.
    Done(Box<StoredState>),
    /// The peer's parts are invalid. Read from another peer or the store instead.
    Failed(Error),
}

impl UpdateReader {
    /// Creates a reader of the update from `base`.
    #[must_use]
    pub fn new(base: Arc<StoredState>) -> Self {
        Self {
            base,
            is_full: false,
            revision: 0,
            part_count: 0,
            next_part: 0,
            bytes: BytesMut::new(),
        }
    }

    /// Returns the request for the next part.
    #[must_use]
    pub fn next_request(&self) -> Fetch {
        Fetch {
            base: self.base.revision(),
            revision: self.revision,
            part: self.next_part,
            full: self.is_full,
        }
    }

    /// Processes a part and returns the next step.
    pub fn handle_part(&mut self, part: &UpdatePart) -> ReadStep {
        if part.part_count == 0 || part.revision <= self.base.revision() {
            return ReadStep::NotAhead;
        }
        if part.part == 0 {
            self.restart(part);
        }
        let is_expected = part.revision == self.revision
            && part.part_count == self.part_count
            && part.part == self.next_part
            && part.part_count <= MAX_PARTS;
        if !is_expected || part.bytes.len() > PART_BYTES {
            return ReadStep::Failed(Error::new(
                ErrorKind::Protocol,
                "an update part is unexpected or too large",
            ));
        }
        self.bytes.extend_from_slice(&part.bytes);
        self.next_part += 1;
        if self.next_part < self.part_count {
            return ReadStep::Request(self.next_request());
        }
        self.complete()
    }

    fn restart(&mut self, part: &UpdatePart) {
        self.revision = part.revision;
        self.part_count = part.part_count;
        self.next_part = 0;
        self.bytes.clear();
    }

    fn complete(&mut self) -> ReadStep {
        let bytes = std::mem::take(&mut self.bytes).freeze();
        match self.apply(bytes) {
            Ok(Some(state)) => ReadStep::Done(Box::new(state)),
            Ok(None) if !self.is_full => {
                self.is_full = true;
                self.revision = 0;
                self.next_part = 0;
                ReadStep::Request(self.next_request())
            }
            Ok(None) => ReadStep::Failed(Error::new(
                ErrorKind::Protocol,
                "a full update does not match its digest",
            )),
            Err(error) => ReadStep::Failed(error),
        }
    }

    /// Applies the update to the base. Returns `None` if the result does not have the digest that the peer sent.
    fn apply(&self, bytes: Bytes) -> Result<Option<StoredState>, Error> {
        let update = Update::decode(bytes).map_err(|error| {
            let message = format!("an update cannot be decoded: {error}");
            Error::new(ErrorKind::Protocol, message)
        })?;
        let mut root = Root {
            revision: self.revision,
            floor: update.floor,
            ..Root::default()
        };
        let mut shards = BTreeMap::new();
        if !self.is_full {
            root.shards = self.base.root.shards.clone();
            shards = self.base.shards.clone();
        }
        for written in update.shards {
            let slot: Arc<str> = written.slot.into();
            let shard: Shard = decode_json(&slot, &written.bytes)?;
            root.shards
                .insert(slot.clone(), shard_name(written.revision, &written.bytes));
            shards.insert(slot, Arc::new(shard));
        }
        let is_consistent = slots_digest(&root) == update.digest;
        let root = Arc::new(root);
        Ok(is_consistent.then_some(StoredState {
            root_version: None,
            root,
            shards,
        }))
    }
}
