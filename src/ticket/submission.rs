//! Submits a ticket to the platform and resolves lost responses by reading the result back.
//!
//! Each write either creates an immutable shard or is conditional on the root version that was read. Therefore all
//! writes are safe to repeat, and reading the log that the root references shows whether a write with a lost response
//! took effect.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use rand::Rng;

use super::{Change, Decision, Ticket, apply};
use crate::configuration::{
    AcceptedTicket, LoadStep, Loader, ROOT_KEY, ShardName, StoredState, decode_shard, shard_key,
};
use crate::error::Error;
use crate::field_error::FieldError;
use crate::id::Revision;
use crate::store::{
    Backoff, Client, MAX_VALUE_BYTES, PutCondition, PutOutcome, ReadResult, Step, StepResult,
    Write, run,
};

/// The key prefix of stored ticket documents.
pub(crate) const DOCUMENT_KEY_PREFIX: &str = "configuration/tickets/";
/// The maximum number of failed calls of a submission.
const MAX_FAILURES: u32 = 6;
/// The maximum number of times that a submission restarts because another write changed the root first.
const MAX_CONFLICTS: u32 = 64;

/// The result of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum TicketOutcome {
    /// The ticket is accepted, by this submission or an earlier one.
    Accepted {
        /// The revision that the ticket created.
        revision: Revision,
        /// The latest state, of this revision or a later one.
        state: Box<StoredState>,
    },
    /// A different ticket with this number was already accepted.
    Conflict {
        /// The revision that the other ticket created.
        revision: Revision,
    },
    /// The ticket is invalid; nothing changed.
    Refused(Vec<FieldError>),
    /// The platform could not be reached; nothing changed, now or later. Contains the last error.
    Unavailable(String),
    /// The platform stopped responding, and the ticket may have been accepted; resending it resolves this. Contains the
    /// last error.
    Unknown(String),
}

/// Submits `ticket`, starting from `known`, the latest state that the caller has.
///
/// Resending an accepted ticket returns [`TicketOutcome::Accepted`] again without any effect, so a caller that lost the
/// outcome can resend.
pub async fn submit(client: &Client, known: &StoredState, ticket: &Ticket) -> TicketOutcome {
    let unix_now = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let mut submission = Submission::new(known.clone(), ticket.clone(), unix_now);
    run(client, |answer| submission.next(answer, &mut rand::rng())).await
}

/// A submission in progress.
#[derive(Debug)]
pub(crate) struct Submission {
    ticket: Ticket,
    unix_now: Duration,
    known: StoredState,
    phase: Phase,
    backoff: Backoff,
    conflicts: u32,
    /// Whether a write of the root got no response, so that it may have taken effect or may still do so.
    is_root_write_unknown: bool,
}

/// The state of a [`Submission`], with the data that its next transition needs.
#[derive(Debug)]
enum Phase {
    Begin,
    Load(Box<Loader>),
    ReadLog(Box<StoredState>, Vec<ShardName>),
    WriteShards(Box<StoredState>, Box<Change>, Vec<Arc<str>>),
    ReadShards(Box<StoredState>, Box<Change>),
    WriteRoot(Box<Change>),
    Remove(Box<TicketOutcome>),
    Ended,
}

type SubmissionStep = Step<TicketOutcome>;

impl Submission {
    pub(crate) const fn new(known: StoredState, ticket: Ticket, unix_now: Duration) -> Self {
        Self {
            ticket,
            unix_now,
            known,
            phase: Phase::Begin,
            backoff: Backoff::new(),
            conflicts: 0,
            is_root_write_unknown: false,
        }
    }

    /// Handles the answer to the last step and returns the next step.
    pub(crate) fn next(&mut self, answer: StepResult, rng: &mut impl Rng) -> SubmissionStep {
        match (std::mem::replace(&mut self.phase, Phase::Ended), answer) {
            (Phase::Begin, StepResult::Proceed) => self.start(),
            (Phase::Load(mut loader), StepResult::Read(results)) => {
                let step = loader.handle_reads(results);
                self.handle_load(loader, step, rng)
            }
            (Phase::ReadLog(state, pages), StepResult::Read(results)) => {
                self.handle_log(state, &pages, results, rng)
            }
            (Phase::WriteShards(state, change, keys), StepResult::Write(outcomes)) => {
                self.handle_shard_writes(state, change, &keys, &outcomes, rng)
            }
            (Phase::ReadShards(state, change), StepResult::Read(results)) => {
                let exists = |result: &ReadResult| matches!(result, Ok(Some(_)));
                match results.iter().all(exists) {
                    true => self.write_root(&state, change),
                    false => self.retry_later("a shard could not be written", rng),
                }
            }
            (Phase::WriteRoot(change), StepResult::Write(outcomes)) => {
                self.handle_root_write(*change, outcomes[0], rng)
            }
            (Phase::Remove(outcome), StepResult::Proceed) => Step::Done(*outcome),
            (phase, answer) => unreachable!("unexpected answer {answer:?} in phase {phase:?}"),
        }
    }

    fn start(&mut self) -> SubmissionStep {
        let mut loader = Box::new(Loader::new(self.known.clone()));
        let step = loader.start();
        self.phase = Phase::Load(loader);
        read_step(step)
    }

    fn handle_load(
        &mut self,
        loader: Box<Loader>,
        step: LoadStep,
        rng: &mut impl Rng,
    ) -> SubmissionStep {
        match step {
            Step::Done(Ok(state)) => {
                self.known = state.clone();
                self.read_log(Box::new(state), rng)
            }
            Step::Done(Err(error)) => self.retry_later(&error.to_string(), rng),
            step => {
                self.phase = Phase::Load(loader);
                read_step(step)
            }
        }
    }

    fn read_log(&mut self, state: Box<StoredState>, rng: &mut impl Rng) -> SubmissionStep {
        let number = self.ticket.ticket;
        let log = &state.root.log;
        let newest = log.len().saturating_sub(1);
        let pages: Vec<_> = log
            .iter()
            .enumerate()
            .filter(|(index, page)| {
                *index == newest || (page.lowest..=page.highest).contains(&number)
            })
            .map(|(_, page)| page.shard.clone())
            .collect();
        if pages.is_empty() {
            return self.handle_log(state, &[], Vec::new(), rng);
        }
        let keys = pages.iter().map(|page| shard_key(page)).collect();
        self.phase = Phase::ReadLog(state, pages);
        Step::Read(keys)
    }

    fn handle_log(
        &mut self,
        state: Box<StoredState>,
        pages: &[ShardName],
        results: Vec<ReadResult>,
        rng: &mut impl Rng,
    ) -> SubmissionStep {
        let log = match decode_pages(pages, results) {
            Ok(Some(log)) => log,
            Ok(None) => return self.retry_later("a page of the log is missing", rng),
            Err(error) => return self.retry_later(&error.to_string(), rng),
        };
        // The root that was read shows whether an earlier write of this submission took effect. One that is still in
        // transit is conditional on the version of this root and has the same content.
        match apply(&state, &log, &self.ticket, self.unix_now) {
            Decision::AlreadyAccepted(revision) => {
                Step::Done(TicketOutcome::Accepted { revision, state })
            }
            Decision::Conflict(revision) => Step::Done(TicketOutcome::Conflict { revision }),
            Decision::Refused(faults) => Step::Done(TicketOutcome::Refused(faults)),
            Decision::Apply(change) => self.write_shards(state, change),
        }
    }

    fn write_shards(&mut self, state: Box<StoredState>, change: Box<Change>) -> SubmissionStep {
        let shards = change.shards.iter();
        let mut writes: Vec<_> = shards
            .map(|(name, bytes)| put_if_absent(shard_key(name), bytes.clone()))
            .collect();
        let document: Bytes = self.ticket.canonical_json().into();
        if document.len() <= MAX_VALUE_BYTES {
            let key = document_key(self.ticket.ticket, &self.ticket.digest());
            writes.push(put_if_absent(key, document));
        }
        let keys = writes.iter().map(|write| write.key.clone()).collect();
        self.phase = Phase::WriteShards(state, change, keys);
        Step::Write(writes)
    }

    fn handle_shard_writes(
        &mut self,
        state: Box<StoredState>,
        change: Box<Change>,
        keys: &[Arc<str>],
        outcomes: &[PutOutcome],
        rng: &mut impl Rng,
    ) -> SubmissionStep {
        if outcomes.contains(&PutOutcome::NotSent) {
            return self.retry_later("a shard could not be written", rng);
        }
        // A shard that already exists has the same content, because its key contains the digest of its content.
        let written = keys.iter().zip(outcomes);
        let unknown: Vec<_> = written
            .filter(|(_, outcome)| **outcome == PutOutcome::Unknown)
            .map(|(key, _)| key.clone())
            .collect();
        if unknown.is_empty() {
            return self.write_root(&state, change);
        }
        self.phase = Phase::ReadShards(state, change);
        Step::Read(unknown)
    }

    fn write_root(&mut self, state: &StoredState, change: Box<Change>) -> SubmissionStep {
        let version = state.root_version;
        let condition = version.map_or(PutCondition::Absent, PutCondition::Version);
        let value = change.root.clone();
        self.phase = Phase::WriteRoot(change);
        let key = ROOT_KEY.into();
        Step::Write(vec![Write {
            key,
            value,
            condition,
        }])
    }

    fn handle_root_write(
        &mut self,
        change: Change,
        outcome: PutOutcome,
        rng: &mut impl Rng,
    ) -> SubmissionStep {
        match outcome {
            PutOutcome::Stored(version) => self.accept(change, version),
            PutOutcome::Conflict => self.handle_conflict(),
            PutOutcome::NotSent => self.retry_later("the root could not be written", rng),
            PutOutcome::Unknown => {
                self.is_root_write_unknown = true;
                self.retry_later("the write of the root got no answer", rng)
            }
        }
    }

    fn accept(&mut self, change: Change, version: u64) -> SubmissionStep {
        let mut state = Box::new(change.state);
        state.root_version = Some(version);
        let revision = state.revision();
        let outcome = TicketOutcome::Accepted { revision, state };
        if change.expired.is_empty() {
            return Step::Done(outcome);
        }
        self.phase = Phase::Remove(Box::new(outcome));
        Step::Remove(change.expired.iter().map(|name| shard_key(name)).collect())
    }

    /// Restarts after another write changed the root first. That may have been an earlier write of this submission.
    fn handle_conflict(&mut self) -> SubmissionStep {
        self.conflicts += 1;
        if self.conflicts > MAX_CONFLICTS {
            return self.give_up("other tickets kept changing the root");
        }
        self.start()
    }

    /// Waits and restarts the submission, or gives up after too many failures.
    fn retry_later(&mut self, reason: &str, rng: &mut impl Rng) -> SubmissionStep {
        let pause = self.backoff.next_delay(rng);
        if self.backoff.failures() > MAX_FAILURES {
            return self.give_up(reason);
        }
        self.phase = Phase::Begin;
        Step::Wait(pause)
    }

    fn give_up(&self, reason: &str) -> SubmissionStep {
        let reason = reason.to_owned();
        Step::Done(match self.is_root_write_unknown {
            true => TicketOutcome::Unknown(reason),
            false => TicketOutcome::Unavailable(reason),
        })
    }
}

/// Returns the key of the stored document of a ticket.
pub(crate) fn document_key(number: u64, digest: &str) -> Arc<str> {
    format!("{DOCUMENT_KEY_PREFIX}{number}-{digest}").into()
}

/// Returns a write that takes effect only if `key` does not exist.
fn put_if_absent(key: Arc<str>, value: Bytes) -> Write {
    let condition = PutCondition::Absent;
    Write {
        key,
        value,
        condition,
    }
}

/// Converts a read step of a load into a step of a submission.
fn read_step(step: LoadStep) -> SubmissionStep {
    match step {
        Step::Read(keys) => Step::Read(keys),
        step => unreachable!("a load has only read steps, got {step:?}"),
    }
}

/// Decodes the pages of the log. Returns `None` if one was removed because a newer root replaced it.
fn decode_pages(
    pages: &[ShardName],
    results: Vec<ReadResult>,
) -> Result<Option<BTreeMap<ShardName, Vec<AcceptedTicket>>>, Error> {
    let mut log = BTreeMap::new();
    for (name, result) in pages.iter().zip(results) {
        let Some(versioned) = result? else {
            return Ok(None);
        };
        log.insert(name.clone(), decode_shard(name, &versioned.value)?);
    }
    Ok(Some(log))
}
