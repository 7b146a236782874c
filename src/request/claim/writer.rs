//! Batches the changes to one bucket object and settles answers of the platform that were lost.
//!
//! While one write is in flight, further changes wait and go into the next, so that writes grow with buckets and not
//! with calls. After an unknown outcome the writer reads the bucket back. If the lost write is not there, it may still
//! come; the next write names the version just read, so at most one of the two takes effect, and a conflict leads to
//! another read. A change is confirmed only from a stored or a read value.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;

use super::bucket::{Bucket, KeptAnswer, Verdict};
use super::key::{AttemptId, Claim, ClaimKey};
use super::ledger::Disowned;
use crate::store::{ObjectVersion, PutCondition, PutOutcome, Versioned};

const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(20);
const MAX_SETTLE_DELAY: Duration = Duration::from_millis(500);
const RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_WAITING_CHANGES: usize = 2_048;

/// Names one submitted change towards its submitter.
pub type WriterTicket = u64;

/// One change to a bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Enter a claim, taking over a given-up one where there is proof.
    Claim(Claim, Option<Disowned>),
    /// Record that the attempt ran.
    SettleRan(ClaimKey, AttemptId, Option<KeptAnswer>),
    /// Record that the attempt was given up.
    SettleNotRun(ClaimKey, AttemptId),
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The bucket has spoken.
    Settled(Verdict),
    /// The platform did not answer in time. The change may still take effect, so a claim must be given up.
    Unavailable,
}

/// How a read of the bucket ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The object as it stood at some time after the read began.
    Found(Versioned),
    /// The object did not exist.
    Absent,
    /// No answer, or one that is no bucket.
    Unavailable,
}

/// What the I/O shell has to do for a writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the object and report by [`BucketWriter::read_done`].
    Read,
    /// Write the object and report by [`BucketWriter::put_done`].
    Put(PutCondition, Bytes),
    /// Hand the decision to whoever submitted the change.
    Decide(WriterTicket, Decision),
}

#[derive(Clone, Debug)]
struct Waiting {
    ticket: WriterTicket,
    change: Change,
    sequence: u64,
    submitted_at: Duration,
    deadline: Duration,
}

#[derive(Clone, Debug)]
struct Cached {
    version: Option<ObjectVersion>,
    bucket: Bucket,
    as_of: u64,
}

#[derive(Clone, Debug)]
enum Flight {
    Idle,
    Reading { since: u64 },
    Writing(Box<Write>),
}

#[derive(Clone, Debug)]
struct Write {
    batch: Vec<Waiting>,
    next: Bucket,
    since: u64,
}

/// The batching writer of one bucket.
#[derive(Clone, Debug)]
pub struct BucketWriter {
    cached: Option<Cached>,
    waiting: VecDeque<Waiting>,
    flight: Flight,
    not_before: Duration,
    /// Orders submissions, reads and writes, since the clock may not tell them apart.
    sequence: u64,
    writes: u64,
    reads: u64,
}

impl Default for BucketWriter {
    fn default() -> Self {
        Self {
            cached: None,
            waiting: VecDeque::new(),
            flight: Flight::Idle,
            not_before: Duration::ZERO,
            sequence: 0,
            writes: 0,
            reads: 0,
        }
    }
}

impl Waiting {
    const fn is_claim(&self) -> bool {
        matches!(self.change, Change::Claim(..))
    }

    const fn key(&self) -> &ClaimKey {
        match &self.change {
            Change::Claim(claim, _) => &claim.key,
            Change::SettleRan(key, ..) | Change::SettleNotRun(key, _) => key,
        }
    }

    /// Checks a verdict of a bucket that was read after the change was submitted, and so after the call had run.
    fn check_fresh(&self, verdict: &Verdict) {
        let ran = matches!(self.change, Change::SettleRan(..));
        let is_taken = matches!(verdict, Verdict::Taken(_));
        assert!(
            !(ran && is_taken),
            "an attempt ran under a claim that another attempt holds"
        );
    }

    fn apply(&self, bucket: &mut Bucket) -> Verdict {
        match &self.change {
            Change::Claim(claim, proof) => bucket.claim(claim, proof.as_ref()),
            Change::SettleRan(key, attempt, answer) => {
                bucket.settle_ran(key, *attempt, answer.as_ref())
            }
            Change::SettleNotRun(key, attempt) => bucket.settle_not_run(key, *attempt),
        }
    }
}

impl Cached {
    /// Tells whether a verdict against `waiting` rests on what the platform held after the change was submitted.
    ///
    /// An entry that only `next` has may never be stored, and an older copy may lack what has happened since.
    fn has_decided(&self, waiting: &Waiting, verdict: &Verdict, next: &Bucket) -> bool {
        let key = waiting.key();
        let is_stored = self.bucket.entry(key) == next.entry(key);
        (is_stored || *verdict == Verdict::Expired) && self.as_of > waiting.sequence
    }
}

impl BucketWriter {
    /// Submits a change that is to be decided by `deadline`; a full queue is answered at once.
    pub fn submit(
        &mut self,
        ticket: WriterTicket,
        change: Change,
        now: Duration,
        deadline: Duration,
    ) -> Option<Action> {
        if self.waiting.len() >= MAX_WAITING_CHANGES {
            return Some(Action::Decide(ticket, Decision::Unavailable));
        }
        self.sequence += 1;
        self.waiting.push_back(Waiting {
            ticket,
            change,
            sequence: self.sequence,
            submitted_at: now,
            deadline,
        });
        None
    }

    /// Returns the platform writes and reads begun so far.
    #[must_use]
    pub const fn counts(&self) -> (u64, u64) {
        (self.writes, self.reads)
    }

    /// Tells whether nothing waits and nothing is in flight, so that the writer may be dropped.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && matches!(self.flight, Flight::Idle)
    }

    /// Returns when [`poll`](Self::poll) should next be called, or `None` where only an answer can bring news.
    #[must_use]
    pub fn next_poll(&self) -> Option<Duration> {
        let deadline = self.waiting.iter().map(|waiting| waiting.deadline).min()?;
        if !matches!(self.flight, Flight::Idle) {
            return Some(deadline);
        }
        Some(deadline.min(self.due_at().unwrap_or(deadline)))
    }

    fn due_at(&self) -> Option<Duration> {
        let due_at = |waiting: &Waiting| match waiting.is_claim() {
            true => waiting.submitted_at,
            false => waiting.submitted_at + MAX_SETTLE_DELAY,
        };
        let first = self.waiting.iter().map(due_at).min()?;
        Some(first.max(self.not_before))
    }

    /// Does what is due at `now`; `unix_now` decides which claims have expired.
    pub fn poll(&mut self, now: Duration, unix_now: Duration) -> Vec<Action> {
        let mut actions = self.expire(now);
        let is_idle = matches!(self.flight, Flight::Idle);
        let is_due = self.due_at().is_some_and(|due_at| due_at <= now);
        if is_idle && is_due {
            self.advance(now, unix_now, &mut actions);
        }
        actions
    }

    fn expire(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        self.waiting.retain(|waiting| {
            let is_expired = waiting.deadline <= now;
            if is_expired {
                actions.push(Action::Decide(waiting.ticket, Decision::Unavailable));
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
        for waiting in std::mem::take(&mut self.waiting) {
            let verdict = waiting.apply(&mut next);
            let needs_write = matches!(verdict, Verdict::Granted | Verdict::Settled);
            if needs_write {
                batch.push(waiting);
            } else if cached.has_decided(&waiting, &verdict, &next) {
                waiting.check_fresh(&verdict);
                let decision = Decision::Settled(verdict);
                actions.push(Action::Decide(waiting.ticket, decision));
            } else {
                undecided.push_back(waiting);
            }
        }
        self.waiting = undecided;
        self.finish_advance(batch, next, version, now, actions);
    }

    fn finish_advance(
        &mut self,
        batch: Vec<Waiting>,
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
        if !self.waiting.is_empty() {
            self.begin_read(actions);
        }
    }

    fn begin_read(&mut self, actions: &mut Vec<Action>) {
        self.reads += 1;
        self.sequence += 1;
        self.flight = Flight::Reading {
            since: self.sequence,
        };
        actions.push(Action::Read);
    }

    fn begin_write(
        &mut self,
        batch: Vec<Waiting>,
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
        let write = Write {
            batch,
            next,
            since: self.sequence,
        };
        self.flight = Flight::Writing(Box::new(write));
        actions.push(Action::Put(condition, value));
    }

    /// Decides a batch from a bucket that the platform holds.
    fn decide(batch: Vec<Waiting>, stored: &Bucket, actions: &mut Vec<Action>) {
        let mut stored = stored.clone();
        for waiting in batch {
            let decision = Decision::Settled(waiting.apply(&mut stored));
            actions.push(Action::Decide(waiting.ticket, decision));
        }
    }

    /// Takes in how the read in flight ended.
    ///
    /// # Panics
    ///
    /// Panics where no read is in flight.
    pub fn read_done(
        &mut self,
        outcome: &ReadOutcome,
        now: Duration,
        unix_now: Duration,
    ) -> Vec<Action> {
        let Flight::Reading { since } = self.flight else {
            panic!("a read ended that was not in flight");
        };
        self.flight = Flight::Idle;
        self.cached = match outcome {
            ReadOutcome::Found(found) => Self::cached_from(found, since),
            ReadOutcome::Absent => Some(Cached {
                version: None,
                bucket: Bucket::default(),
                as_of: since,
            }),
            ReadOutcome::Unavailable => None,
        };
        if self.cached.is_none() {
            self.not_before = now + RETRY_DELAY;
        }
        self.poll(now, unix_now)
    }

    fn cached_from(found: &Versioned, as_of: u64) -> Option<Cached> {
        let bucket = Bucket::from_value(&found.value).ok()?;
        Some(Cached {
            version: Some(found.version),
            bucket,
            as_of,
        })
    }

    /// Takes in how the write in flight ended.
    ///
    /// # Panics
    ///
    /// Panics where no write is in flight.
    pub fn put_done(
        &mut self,
        outcome: PutOutcome,
        now: Duration,
        unix_now: Duration,
    ) -> Vec<Action> {
        let flight = std::mem::replace(&mut self.flight, Flight::Idle);
        let Flight::Writing(write) = flight else {
            panic!("a write ended that was not in flight");
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

    fn stored(&mut self, write: Write, version: ObjectVersion, actions: &mut Vec<Action>) {
        Self::decide(write.batch, &write.next, actions);
        self.cached = Some(Cached {
            version: Some(version),
            bucket: write.next,
            as_of: write.since,
        });
    }

    fn requeue(&mut self, batch: Vec<Waiting>) {
        for waiting in batch.into_iter().rev() {
            self.waiting.push_front(waiting);
        }
    }
}
