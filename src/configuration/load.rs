//! Loads the configuration from the platform, fetching only the shards that the known state lacks.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::state::{
    ROOT_KEY, Root, Shard, ShardId, ShardName, StoredState, read_json, read_shard, shard_key,
};
use crate::error::{Error, ErrorKind};
use crate::store::{Answer, Client, ObjectVersion, ReadResult, Step, Versioned, run};

/// How many shards are read side by side.
const SHARDS_AT_ONCE: usize = 16;
/// How often a load begins anew because a shard went away while it was read.
const MAX_RESTARTS: u32 = 8;

/// Loads the newest state, beginning from `known`.
///
/// # Errors
///
/// Returns [`ErrorKind::Unavailable`] where the platform does not answer, and [`ErrorKind::Protocol`] where what it
/// holds makes no sense or is older than `known`; `known` then stays in force.
pub async fn load(client: &Client, known: &StoredState) -> Result<StoredState, Error> {
    let mut loading = Loading::new(known.clone());
    run(client, |answer| match answer {
        Answer::Read(results) => loading.proceed(results),
        _ => loading.begin(),
    })
    .await
}

/// Completes a root that a watch has delivered, fetching only the shards that `known` lacks.
///
/// # Errors
///
/// As [`load`].
pub async fn load_root(
    client: &Client,
    known: &StoredState,
    root: Versioned,
) -> Result<StoredState, Error> {
    let mut loading = Loading::new(known.clone());
    let mut first = Some(root);
    run(client, |answer| match (answer, first.take()) {
        (_, Some(root)) => loading.proceed(vec![Ok(Some(root))]),
        (Answer::Read(results), None) => loading.proceed(results),
        (_, None) => loading.begin(),
    })
    .await
}

/// A load in progress.
#[derive(Debug)]
pub(crate) struct Loading {
    known: StoredState,
    root: Option<(ObjectVersion, Arc<Root>)>,
    shards: BTreeMap<ShardId, Arc<Shard>>,
    missing: Vec<(ShardId, ShardName)>,
    restarts: u32,
}

/// What a load asks for next.
pub(crate) type LoadStep = Step<Result<StoredState, Error>>;

impl Loading {
    pub(crate) const fn new(known: StoredState) -> Self {
        Self {
            known,
            root: None,
            shards: BTreeMap::new(),
            missing: Vec::new(),
            restarts: 0,
        }
    }

    /// Asks for the root.
    pub(crate) fn begin(&mut self) -> LoadStep {
        self.root = None;
        Step::Read(vec![ROOT_KEY.into()])
    }

    /// Takes the answer to the last reads.
    pub(crate) fn proceed(&mut self, results: Vec<ReadResult>) -> LoadStep {
        let taken = if self.root.is_none() {
            self.take_root(results)
        } else {
            self.take_shards(results)
        };
        match taken {
            Ok(step) => step,
            Err(error) => Step::Done(Err(error)),
        }
    }

    fn take_root(&mut self, results: Vec<ReadResult>) -> Result<LoadStep, Error> {
        let answer = results.into_iter().next().transpose()?.flatten();
        let Some(versioned) = answer else {
            return self.take_no_root();
        };
        let root: Root = read_json("the configuration's root", &versioned.value)?;
        if root.revision < self.known.revision() {
            return Err(older_error(root.revision, self.known.revision()));
        }
        self.list_missing(&root);
        self.root = Some((versioned.version, Arc::new(root)));
        Ok(self.next_step())
    }

    fn take_no_root(&self) -> Result<LoadStep, Error> {
        if self.known.revision() > 0 {
            return Err(older_error(0, self.known.revision()));
        }
        Ok(Step::Done(Ok(StoredState::default())))
    }

    fn list_missing(&mut self, root: &Root) {
        self.shards.clear();
        self.missing.clear();
        for (slot, name) in &root.shards {
            match self.known.shard_named(slot, name) {
                Some(shard) => {
                    self.shards.insert(slot.clone(), Arc::clone(shard));
                }
                None => self.missing.push((slot.clone(), name.clone())),
            }
        }
    }

    fn take_shards(&mut self, results: Vec<ReadResult>) -> Result<LoadStep, Error> {
        let rest = self
            .missing
            .split_off(results.len().min(self.missing.len()));
        let asked = std::mem::replace(&mut self.missing, rest);
        for ((slot, name), result) in asked.into_iter().zip(results) {
            let Some(versioned) = result? else {
                return self.restart();
            };
            let shard: Shard = read_shard(&name, &versioned.value)?;
            self.shards.insert(slot, Arc::new(shard));
        }
        Ok(self.next_step())
    }

    /// Begins anew: a shard that is gone means that a newer root no longer names it.
    fn restart(&mut self) -> Result<LoadStep, Error> {
        self.restarts += 1;
        if self.restarts > MAX_RESTARTS {
            let message = "a shard of the configuration is missing";
            return Err(Error::new(ErrorKind::Unavailable, message));
        }
        Ok(self.begin())
    }

    fn next_step(&mut self) -> LoadStep {
        if !self.missing.is_empty() {
            let batch = self.missing.iter().take(SHARDS_AT_ONCE);
            return Step::Read(batch.map(|(_, name)| shard_key(name)).collect());
        }
        let (version, root) = self.root.take().expect("a root was read");
        let shards = std::mem::take(&mut self.shards);
        assert_eq!(
            shards.len(),
            root.shards.len(),
            "a state holds each shard that its root names"
        );
        Step::Done(Ok(StoredState {
            root_version: Some(version),
            root,
            shards,
        }))
    }
}

fn older_error(found: u64, known: u64) -> Error {
    let message =
        format!("the platform shows revision {found}, older than revision {known} in force");
    Error::new(ErrorKind::Protocol, message)
}
