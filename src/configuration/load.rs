//! Loads the configuration from the platform, reading only the shards that the known state does not have.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::state::{
    ROOT_KEY, Root, Shard, ShardName, SlotId, StoredState, decode_json, decode_shard, shard_key,
};
use crate::error::{Error, ErrorKind};
use crate::store::{Client, ObjectVersion, ReadResult, Step, StepResult, VersionedValue, run};

/// The number of shards that are read concurrently.
const SHARD_READ_BATCH: usize = 16;
/// The maximum number of times that a load restarts because a shard was removed while the load ran.
const MAX_RESTARTS: u32 = 8;

/// Loads the latest state, reusing the shards of `known`.
///
/// # Errors
///
/// Returns [`ErrorKind::Unavailable`] if the platform does not respond, and [`ErrorKind::Protocol`] if the stored state
/// is invalid or older than `known`. `known` then stays active.
pub async fn load(client: &Client, known: &StoredState) -> Result<StoredState, Error> {
    let mut loader = Loader::new(known.clone());
    run(client, |answer| match answer {
        StepResult::Read(results) => loader.handle_reads(results),
        _ => loader.start(),
    })
    .await
}

/// Loads the state of a root that a watch has delivered, reading only the shards that `known` does not have.
///
/// # Errors
///
/// Returns the same errors as [`load`].
pub async fn load_root(
    client: &Client,
    known: &StoredState,
    root: VersionedValue,
) -> Result<StoredState, Error> {
    let mut loader = Loader::new(known.clone());
    let mut first = Some(root);
    run(client, |answer| match (answer, first.take()) {
        (_, Some(root)) => loader.handle_reads(vec![Ok(Some(root))]),
        (StepResult::Read(results), None) => loader.handle_reads(results),
        (_, None) => loader.start(),
    })
    .await
}

/// A load in progress.
#[derive(Debug)]
pub(crate) struct Loader {
    known: StoredState,
    root: Option<(ObjectVersion, Arc<Root>)>,
    shards: BTreeMap<SlotId, Arc<Shard>>,
    missing: Vec<(SlotId, ShardName)>,
    restarts: u32,
}

/// The next step of a load.
pub(crate) type LoadStep = Step<Result<StoredState, Error>>;

impl Loader {
    pub(crate) const fn new(known: StoredState) -> Self {
        Self {
            known,
            root: None,
            shards: BTreeMap::new(),
            missing: Vec::new(),
            restarts: 0,
        }
    }

    /// Starts or restarts the load with a read of the root.
    pub(crate) fn start(&mut self) -> LoadStep {
        self.root = None;
        Step::Read(vec![ROOT_KEY.into()])
    }

    /// Processes the results of the last reads and returns the next step.
    pub(crate) fn handle_reads(&mut self, results: Vec<ReadResult>) -> LoadStep {
        let next = if self.root.is_none() {
            self.handle_root(results)
        } else {
            self.handle_shards(results)
        };
        match next {
            Ok(step) => step,
            Err(error) => Step::Done(Err(error)),
        }
    }

    fn handle_root(&mut self, results: Vec<ReadResult>) -> Result<LoadStep, Error> {
        let answer = results.into_iter().next().transpose()?.flatten();
        let Some(versioned) = answer else {
            return self.handle_missing_root();
        };
        let root: Root = decode_json("the configuration's root", &versioned.value)?;
        if root.revision < self.known.revision() {
            return Err(stale_error(root.revision, self.known.revision()));
        }
        self.collect_missing(&root);
        self.root = Some((versioned.version, Arc::new(root)));
        Ok(self.next_step())
    }

    fn handle_missing_root(&self) -> Result<LoadStep, Error> {
        if self.known.revision() > 0 {
            return Err(stale_error(0, self.known.revision()));
        }
        Ok(Step::Done(Ok(StoredState::default())))
    }

    fn collect_missing(&mut self, root: &Root) {
        self.shards.clear();
        self.missing.clear();
        for (slot, name) in &root.shards {
            match self.known.shard_if_named(slot, name) {
                Some(shard) => {
                    self.shards.insert(slot.clone(), Arc::clone(shard));
                }
                None => self.missing.push((slot.clone(), name.clone())),
            }
        }
    }

    fn handle_shards(&mut self, results: Vec<ReadResult>) -> Result<LoadStep, Error> {
        let rest = self
            .missing
            .split_off(results.len().min(self.missing.len()));
        let requested = std::mem::replace(&mut self.missing, rest);
        for ((slot, name), result) in requested.into_iter().zip(results) {
            let Some(versioned) = result? else {
                return self.restart();
            };
            let shard: Shard = decode_shard(&name, &versioned.value)?;
            self.shards.insert(slot, Arc::new(shard));
        }
        Ok(self.next_step())
    }

    /// Restarts the load. A shard is missing only when a newer root no longer names it.
    fn restart(&mut self) -> Result<LoadStep, Error> {
        self.restarts += 1;
        if self.restarts > MAX_RESTARTS {
            let message = "a shard of the configuration is missing";
            return Err(Error::new(ErrorKind::Unavailable, message));
        }
        Ok(self.start())
    }

    fn next_step(&mut self) -> LoadStep {
        if !self.missing.is_empty() {
            let batch = self.missing.iter().take(SHARD_READ_BATCH);
            return Step::Read(batch.map(|(_, name)| shard_key(name)).collect());
        }
        let (version, root) = self
            .root
            .take()
            .expect("the root was read before its shards");
        let shards = std::mem::take(&mut self.shards);
        assert_eq!(
            shards.len(),
            root.shards.len(),
            "a loaded state must hold every shard that its root names"
        );
        Step::Done(Ok(StoredState {
            root_version: Some(version),
            root,
            shards,
        }))
    }
}

fn stale_error(found: u64, known: u64) -> Error {
    let message =
        format!("the platform returned revision {found}, older than the active revision {known}");
    Error::new(ErrorKind::Protocol, message)
}
