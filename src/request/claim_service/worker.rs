//! The task that owns the bucket writers and executes their reads and writes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::unix_now;
use crate::request::claim::{
    Action, BucketWriter, Change, ChangeId, Decision, ReadOutcome, bucket_of, object_key,
};
use crate::store::{self, PutOutcome};

/// How long an idle writer keeps its cached bucket.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A change for the writer of its bucket.
#[derive(Debug)]
pub(super) struct Command {
    pub(super) change: Change,
    pub(super) timeout: Duration,
    pub(super) reply: oneshot::Sender<Decision>,
}

/// The result of one platform call.
enum StoreReply {
    Read(u32, ReadOutcome),
    Put(u32, PutOutcome),
}

struct WriterSlot {
    writer: BucketWriter,
    last_used_at: Duration,
}

struct Worker {
    store: store::Client,
    started: Instant,
    slots: HashMap<u32, WriterSlot>,
    pending: HashMap<ChangeId, oneshot::Sender<Decision>>,
    store_calls: JoinSet<StoreReply>,
    last_id: ChangeId,
}

/// Processes changes until the last sender is dropped and all writers are idle.
pub(super) async fn run(store: store::Client, mut commands: mpsc::Receiver<Command>) {
    let mut worker = Worker {
        store,
        started: Instant::now(),
        slots: HashMap::new(),
        pending: HashMap::new(),
        store_calls: JoinSet::new(),
        last_id: 0,
    };
    let mut is_open = true;
    while is_open || !worker.slots.is_empty() {
        let wake = worker.started + worker.next_wake();
        tokio::select! {
            command = commands.recv(), if is_open => match command {
                Some(command) => worker.submit(command),
                None => is_open = false,
            },
            Some(reply) = worker.store_calls.join_next() => {
                worker.handle_reply(reply.expect("platform call panicked"));
            }
            () = tokio::time::sleep_until(wake) => worker.poll_all(),
        }
    }
}

impl Worker {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn next_wake(&self) -> Duration {
        let idle_wake = self.now() + IDLE_TIMEOUT;
        let wakes = self.slots.values().filter_map(|slot| {
            let idle_at = slot.last_used_at + IDLE_TIMEOUT;
            let is_idle = slot.writer.is_idle();
            slot.writer.next_poll().or(is_idle.then_some(idle_at))
        });
        wakes.min().unwrap_or(idle_wake)
    }

    fn submit(&mut self, command: Command) {
        let bucket = match &command.change {
            Change::Claim(claim, _) => bucket_of(&claim.key),
            Change::RecordRan(key, ..) | Change::RecordNotRun(key, _) => bucket_of(key),
        };
        let now = self.now();
        self.last_id += 1;
        let id = self.last_id;
        self.pending.insert(id, command.reply);
        let slot = self.slots.entry(bucket).or_insert_with(|| WriterSlot {
            writer: BucketWriter::default(),
            last_used_at: now,
        });
        slot.last_used_at = now;
        let deadline = now + command.timeout;
        let refused = slot.writer.submit(id, command.change, now, deadline);
        self.execute(bucket, refused.into_iter().collect());
        self.poll(bucket);
    }

    fn poll(&mut self, bucket: u32) {
        let now = self.now();
        let Some(slot) = self.slots.get_mut(&bucket) else {
            return;
        };
        let actions = slot.writer.poll(now, unix_now());
        self.execute(bucket, actions);
    }

    fn poll_all(&mut self) {
        let now = self.now();
        self.slots
            .retain(|_, slot| !slot.writer.is_idle() || now < slot.last_used_at + IDLE_TIMEOUT);
        let buckets: Vec<u32> = self.slots.keys().copied().collect();
        for bucket in buckets {
            self.poll(bucket);
        }
    }

    fn handle_reply(&mut self, reply: StoreReply) {
        let now = self.now();
        let (bucket, actions) = match reply {
            StoreReply::Read(bucket, outcome) => {
                let writer = self.writer(bucket);
                (bucket, writer.read_done(&outcome, now, unix_now()))
            }
            StoreReply::Put(bucket, outcome) => {
                let writer = self.writer(bucket);
                (bucket, writer.put_done(outcome, now, unix_now()))
            }
        };
        self.execute(bucket, actions);
    }

    fn writer(&mut self, bucket: u32) -> &mut BucketWriter {
        let slot = self.slots.get_mut(&bucket);
        &mut slot
            .expect("a writer with I/O in flight is not dropped")
            .writer
    }

    fn execute(&mut self, bucket: u32, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Read => {
                    let call = read(self.store.clone(), bucket);
                    self.store_calls.spawn(call);
                }
                Action::Put(condition, value) => {
                    let (store, key) = (self.store.clone(), object_key(bucket));
                    self.store_calls.spawn(async move {
                        StoreReply::Put(bucket, store.put(&key, value, condition).await)
                    });
                }
                Action::Decide(id, decision) => self.decide(id, decision),
            }
        }
    }

    fn decide(&mut self, id: ChangeId, decision: Decision) {
        if let Some(reply) = self.pending.remove(&id) {
            // The submitter may have stopped waiting.
            let _ = reply.send(decision);
        }
    }
}

async fn read(store: store::Client, bucket: u32) -> StoreReply {
    let key: Arc<str> = object_key(bucket);
    let outcome = match store.get(&key).await {
        Ok(Some(found)) => ReadOutcome::Found(found),
        Ok(None) => ReadOutcome::Absent,
        Err(error) => {
            log::warn!("request: Failed to read a claim bucket. bucket={bucket} error={error}");
            ReadOutcome::Unavailable
        }
    };
    StoreReply::Read(bucket, outcome)
}
