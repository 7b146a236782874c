//! Batches changes to one bucket object, and resolves writes whose outcome is unknown.
//!
//! While a write is in flight, further changes are queued for the next write, so the number of writes scales with
//! buckets, not with calls. After a write with an unknown outcome, the writer reads the bucket back. If the write is
//! not visible, it may still be applied later. The next write is conditional on the version just read, so at most one
//! of the two takes effect, and a conflict triggers another read. A change is confirmed only from a value that was
//! stored or read.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;

use super::attempt_table::AbandonProof;
use super::bucket::{Bucket, ChangeOutcome, StoredResponse};
use super::key::{AttemptId, Claim, ClaimKey};
use crate::store::{ObjectVersion, PutCondition, PutOutcome, VersionedValue};

const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(20);
const MAX_RECORD_DELAY: Duration = Duration::from_millis(500);
const RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_PENDING_CHANGES: usize = 2_048;

/// Identifies a submitted change to its submitter.
pub type ChangeId = u64;

/// One change to a bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Add a claim, or take over an abandoned one with the proof.
    Claim(Claim, Option<AbandonProof>),
    /// Record that the attempt ran.
    RecordRan(ClaimKey, AttemptId, Option<StoredResponse>),
    /// Record that the attempt was abandoned.
    RecordNotRun(ClaimKey, AttemptId),
}

/// The final result of a submitted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The change was applied to, or rejected by, the stored bucket.
    Decided(ChangeOutcome),
    /// The platform did not respond in time. The change may still take effect, so a claim must be abandoned.
    Unavailable,
}

/// The result of reading the bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The object as of some time after the read began.
    Found(VersionedValue),
    /// The object does not exist.
    Absent,
    /// There was no response, or its value is not a bucket.
    Unavailable,
}

/// An action that the I/O layer must execute for a writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the object and report the result to [`BucketWriter::read_done`].
    Read,
    /// Write the object and report the result to [`BucketWriter::put_done`].
    Put(PutCondition, Bytes),
    /// Pass the decision to the submitter of the change.
    Decide(ChangeId, Decision),
}

#[derive(Clone, Debug)]
struct PendingChange {
    id: ChangeId,
    change: Change,
    sequence: u64,
    submitted_at: Duration,
    deadline: Duration,
}

#[derive(Clone, Debug)]
struct CachedBucket {
    version: Option<ObjectVersion>,
    bucket: Bucket,
    /// The sequence number of the read or write that produced this copy.
    as_of: u64,
}

#[derive(Clone, Debug)]
enum IoState {
    Idle,
    Reading { sequence: u64 },
    Writing(Box<InFlightWrite>),
}

#[derive(Clone, Debug)]
struct InFlightWrite {
    batch: Vec<PendingChange>,
    next: Bucket,
    sequence: u64,
}

/// The batching writer of one bucket.
#[derive(Clone, Debug)]
pub struct BucketWriter {
    cached: Option<CachedBucket>,
    pending: VecDeque<PendingChange>,
    io: IoState,
    not_before: Duration,
    /// Orders submissions, reads and writes, because clock readings may be equal.
    sequence: u64,
    writes: u64,
    reads: u64,
}

impl Default for BucketWriter {
    fn default() -> Self {
        Self {
            cached: None,
            pending: VecDeque::new(),
            io: IoState::Idle,
            not_before: Duration::ZERO,
            sequence: 0,
            writes: 0,
            reads: 0,
        }
    }
}

impl PendingChange {
    const fn is_claim(&self) -> bool {
        matches!(self.change, Change::Claim(..))
    }

    const fn key(&self) -> &ClaimKey {
        match &self.change {
            Change::Claim(claim, _) => &claim.key,
            Change::RecordRan(key, ..) | Change::RecordNotRun(key, _) => key,
        }
    }

    /// Asserts that a call that ran did not lose its claim to another attempt.
    ///
    /// `outcome` must come from a bucket that was read after the change was submitted, and thus after the call ran.
    fn assert_not_taken(&self, outcome: &ChangeOutcome) {
        let ran = matches!(self.change, Change::RecordRan(..));
        let is_taken = matches!(outcome, ChangeOutcome::Taken(_));
        assert!(
            !(ran && is_taken),
            "attempt ran without holding its claim: another attempt holds it"
        );
    }

    fn apply(&self, bucket: &mut Bucket) -> ChangeOutcome {
        match &self.change {
            Change::Claim(claim, proof) => bucket.claim(claim, proof.as_ref()),
            Change::RecordRan(key, attempt, response) => {
                bucket.record_ran(key, *attempt, response.as_ref())
            }
            Change::RecordNotRun(key, attempt) => bucket.record_not_run(key, *attempt),
        }
    }
}

impl CachedBucket {
    /// Returns whether `outcome` is based on data that was stored after the change was submitted.
    ///
    /// An entry that exists only in `next` may never be stored, and an older copy may miss later changes.
    fn is_conclusive(
        &self,
        pending: &PendingChange,
        outcome: &ChangeOutcome,
        next: &Bucket,
    ) -> bool {
        let key = pending.key();
        let is_stored = self.bucket.entry(key) == next.entry(key);
        (is_stored || *outcome == ChangeOutcome::Expired) && self.as_of > pending.sequence
    }
}

impl BucketWriter {
    /// Submits a change with a deadline for its decision; returns the decision at once if the queue is full.
    pub fn submit(
        &mut self,
        id: ChangeId,
        change: Change,
        now: Duration,
        deadline: Duration,
    ) -> Option<Action> {
        if self.pending.len() >= MAX_PENDING_CHANGES {
            return Some(Action::Decide(id, Decision::Unavailable));
        }
        self.sequence += 1;
        self.pending.push_back(PendingChange {
            id,
            change,
            sequence: self.sequence,
            submitted_at: now,
            deadline,
        });
        None
    }

    /// Returns the number of platform writes and reads started so far.
    #[must_use]
    pub const fn io_counts(&self) -> (u64, u64) {
        (self.writes, self.reads)
    }

    /// Returns whether no change is queued and no I/O is in flight, so that the writer may be dropped.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && matches!(self.io, IoState::Idle)
    }

    /// Returns when [`poll`](Self::poll) should next be called, or `None` if only an I/O result can cause progress.
    #[must_use]
    pub fn next_poll(&self) -> Option<Duration> {
        let deadline = self.pending.iter().map(|pending| pending.deadline).min()?;
        if !matches!(self.io, IoState::Idle) {
            return Some(deadline);
        }
        Some(deadline.min(self.due_at().unwrap_or(deadline)))
    }

    fn due_at(&self) -> Option<Duration> {
        let due_at = |pending: &PendingChange| match pending.is_claim() {
            true => pending.submitted_at,
            false => pending.submitted_at + MAX_RECORD_DELAY,
        };
        let first = self.pending.iter().map(due_at).min()?;
        Some(first.max(self.not_before))
    }

    /// Performs the work that is due at `now`; `unix_now` determines which claims have expired.
    pub fn poll(&mut self, now: Duration, unix_now: Duration) -> Vec<Action> {
        let mut actions = self.expire(now);
        let is_idle = matches!(self.io, IoState::Idle);
        let is_due = self.due_at().is_some_and(|due_at| due_at <= now);
        if is_idle && is_due {
            self.advance(now, unix_now, &mut actions);
        }
        actions
    }

    fn expire(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.pending.retain(|pending| {
            let is_expired = pending.deadline <= now;
            if is_expired {
                actions.push(Action::Decide(pending.id, Decision::Unavailable));
            }
            !is_expired
        });
        actions
    }

    fn advance(&mut self, now: Duration, unix_now: Duration, actions: &mut Vec<Action>) {
        let Some(cached) = &self.cached else {
            self.begin_read(actions);
            return;
        };
        let version = cached.version;
        let mut next = cached.bucket.clone();
        next.prune(unix_now);
        let mut batch = Vec::new();
        let mut undecided = VecDeque::new();
        for pending in std::mem::take(&mut self.pending) {
            let outcome = pending.apply(&mut next);
            let needs_write = matches!(outcome, ChangeOutcome::Granted | ChangeOutcome::Recorded);
            if needs_write {
                batch.push(pending);
            } else if cached.is_conclusive(&pending, &outcome, &next) {
                pending.assert_not_taken(&outcome);
                let decision = Decision::Decided(outcome);
                actions.push(Action::Decide(pending.id, decision));
            } else {
                undecided.push_back(pending);
            }
        }
        self.pending = undecided;
        self.start_io(batch, next, version, now, actions);
    }

    fn start_io(
        &mut self,
        batch: Vec<PendingChange>,
        next: Bucket,
        version: Option<ObjectVersion>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let is_unchanged = self.cached.as_ref().is_some_and(|c| c.bucket == next);
        if !batch.is_empty() && is_unchanged {
            Self::decide(batch, &next, actions);
        } else if !batch.is_empty() {
            self.begin_write(batch, next, version, now, actions);
            return;
        }
        if !self.pending.is_empty() {
            self.begin_read(actions);
        }
    }

    fn begin_read(&mut self, actions: &mut Vec<Action>) {
        self.reads += 1;
        self.sequence += 1;
        self.io = IoState::Reading {
            sequence: self.sequence,
        };
        actions.push(Action::Read);
    }

    fn begin_write(
        &mut self,
        batch: Vec<PendingChange>,
        next: Bucket,
        version: Option<ObjectVersion>,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let condition = version.map_or(PutCondition::Absent, PutCondition::Version);
        let value = next.to_value();
        self.writes += 1;
        self.sequence += 1;
        self.not_before = now + MIN_WRITE_INTERVAL;
        let write = InFlightWrite {
            batch,
            next,
            sequence: self.sequence,
        };
        self.io = IoState::Writing(Box::new(write));
        actions.push(Action::Put(condition, value));
    }

    /// Decides a batch against a stored bucket.
    fn decide(batch: Vec<PendingChange>, stored: &Bucket, actions: &mut Vec<Action>) {
        let mut stored = stored.clone();
        for pending in batch {
            let decision = Decision::Decided(pending.apply(&mut stored));
            actions.push(Action::Decide(pending.id, decision));
        }
    }

    /// Handles the result of the read in flight.
    ///
    /// # Panics
    ///
    /// Panics if no read is in flight.
    pub fn read_done(
        &mut self,
        outcome: &ReadOutcome,
        now: Duration,
        unix_now: Duration,
    ) -> Vec<Action> {
        let IoState::Reading { sequence } = self.io else {
            panic!("read completed without a read in flight");
        };
        self.io = IoState::Idle;
        self.cached = match outcome {
            ReadOutcome::Found(found) => Self::parse_cached(found, sequence),
            ReadOutcome::Absent => Some(CachedBucket {
                version: None,
                bucket: Bucket::default(),
                as_of: sequence,
            }),
            ReadOutcome::Unavailable => None,
        };
        if self.cached.is_none() {
            self.not_before = now + RETRY_DELAY;
        }
        self.poll(now, unix_now)
    }

    fn parse_cached(found: &VersionedValue, as_of: u64) -> Option<CachedBucket> {
        let bucket = Bucket::from_value(&found.value).ok()?;
        Some(CachedBucket {
            version: Some(found.version),
            bucket,
            as_of,
        })
    }

    /// Handles the result of the write in flight.
    ///
    /// # Panics
    ///
    /// Panics if no write is in flight.
    pub fn put_done(
        &mut self,
        outcome: PutOutcome,
        now: Duration,
        unix_now: Duration,
    ) -> Vec<Action> {
        let io = std::mem::replace(&mut self.io, IoState::Idle);
        let IoState::Writing(write) = io else {
            panic!("write completed without a write in flight");
        };
        let mut actions = Vec::new();
        match outcome {
            PutOutcome::Stored(version) => self.stored(*write, version, &mut actions),
            PutOutcome::Conflict | PutOutcome::Unknown => {
                self.cached = None;
                self.requeue(write.batch);
            }
            PutOutcome::NotSent => {
                self.not_before = now + RETRY_DELAY;
                self.requeue(write.batch);
            }
        }
        actions.extend(self.poll(now, unix_now));
        actions
    }

    fn stored(&mut self, write: InFlightWrite, version: ObjectVersion, actions: &mut Vec<Action>) {
        Self::decide(write.batch, &write.next, actions);
        self.cached = Some(CachedBucket {
            version: Some(version),
            bucket: write.next,
            as_of: write.sequence,
        });
    }

    fn requeue(&mut self, batch: Vec<PendingChange>) {
        for pending in batch.into_iter().rev() {
            self.pending.push_front(pending);
        }
    }
}
