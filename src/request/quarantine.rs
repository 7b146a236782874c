//! Remembers under which prompts and requests replicas crashed, so that what crashes them can be refused.
//!
//! A part of a prompt may crash each replica that begins an answer under it, whatever else the prompt holds; a request
//! may do so whenever it comes again with the same path, caller, body and prompt. Retries and other requests then end
//! one replica after the other, and with each one all that it was answering. Such requests are known as queries of
//! death. No router sees enough of them, so routers exchange what they see:
//!
//! - A [`Crash`]: a replica broke a request off. Its suspects are the request and all shared parts of its prompt.
//! - A [`Kept`] answer: one that went on under a suspect. It clears the suspect of the crashes before, except of those
//!   that came later in their answers than it had got.
//!
//! Both merge in any order and count nothing twice. Which suspects are refused is decided in [`super::verdict`].
//!
//! Memory is bounded. A crash breaks off all that its replica runs, and most of that never comes again, so records without
//! a live suspect that has crashed another replica too are dropped first, whether it is a part or a request.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::verdict::{self, Case};

/// A hash that identifies a part of a prompt for one model, or a whole request.
pub(crate) type SuspectKey = u64;
/// A hash that identifies one incarnation of a replica.
pub(crate) type IncarnationKey = u32;

/// The number of complete events from which an answer counts as kept.
pub(crate) const KEPT_EVENTS: u32 = 2;
/// The least time that a request runs before its replica's crash can be its own doing. One that breaks sooner may have
/// been sent to a replica that had crashed already.
pub(crate) const MIN_RUN: Duration = Duration::from_millis(20);
/// The points of a part from which a request is not sent again after a replica crashed under it.
const PART_RESEND_POINTS: u32 = 10;
/// The points of a whole request for the same, which one certain crash reaches. An answer clears it soon if it is sound.
const REQUEST_RESEND_POINTS: u32 = 5;
/// How long after its last crash a suspect is refused.
pub(crate) const REFUSAL_TIME: Duration = Duration::from_mins(10);
/// How long crashes are remembered. A suspect that is released and crashes another replica is refused again at once.
const CRASH_TTL: Duration = Duration::from_hours(1);
/// The same for a crash none of whose suspects has another one, as most that it breaks off.
const SINGLE_CRASH_TTL: Duration = REFUSAL_TIME;
/// How long a kept answer is remembered, so that crashes before it that arrive late from other routers don't count.
const KEPT_TTL: Duration = REFUSAL_TIME;
/// The maximum number of remembered crashes.
const MAX_CRASHES: usize = 256;
/// The number of remembered kept answers above which the oldest one is forgotten.
const MAX_KEPT: usize = 512;

/// What a suspect is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SuspectKind {
    /// A part of prompts, shared by many requests.
    Part,
    /// A whole request, by path, caller, body and prompt.
    Request,
}

/// How far an answer had got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Progress {
    /// It had not begun: the request was waiting, or ran without an answer.
    Waiting,
    /// Its head had arrived, and no complete event.
    Begun,
    /// Fewer than [`KEPT_EVENTS`] events had arrived.
    FirstEvents,
    /// More had arrived.
    WentOn,
}

/// A request that a replica broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    /// The shared parts of the prompt, in order.
    pub(crate) parts: SmallVec<[SuspectKey; 4]>,
    /// The key of the whole request.
    pub(crate) request: SuspectKey,
    /// The ID of the caller's attempt.
    pub(crate) id: Arc<str>,
    /// The time from when it was sent to the replica to when it broke.
    pub(crate) ran: Duration,
    /// The replica.
    pub(crate) replica: IncarnationKey,
    /// When this router learned of it.
    pub(crate) at: Duration,
    /// How far the answer had got.
    pub(crate) progress: Progress,
    /// Whether the replica was down afterwards. Otherwise only the answer may have been lost.
    pub(crate) is_down: bool,
}

/// An answer that went on under a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Kept {
    /// The suspect.
    pub(crate) key: SuspectKey,
    /// When it had got so far.
    pub(crate) at: Duration,
    /// Whether the answer was whole; otherwise it had [`KEPT_EVENTS`] events.
    pub(crate) is_complete: bool,
}

/// When answers were last kept under a suspect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct KeptTimes {
    went_on_at: Option<Duration>,
    completed_at: Option<Duration>,
}

/// What is held against a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SuspectStatus {
    /// What it is.
    pub(crate) kind: SuspectKind,
    /// The points of its crashes since the last kept answer.
    pub(crate) points: u32,
    /// Until when its requests are refused; `None` if they aren't.
    pub(crate) refused_until: Option<Duration>,
}

/// The suspects.
pub(crate) type Suspects = HashMap<SuspectKey, SuspectStatus>;

/// The crashes and kept answers known to one router.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    /// Sorted by time.
    crashes: Vec<Crash>,
    /// The last kept answers under each key that has or had crashes.
    kept: HashMap<SuspectKey, KeptTimes>,
}

impl Progress {
    /// Returns the progress of an answer whose head has arrived, and `events` complete events.
    pub(crate) const fn of_events(events: u32) -> Self {
        match events {
            0 => Self::Begun,
            1..KEPT_EVENTS => Self::FirstEvents,
            _ => Self::WentOn,
        }
    }
}

impl KeptTimes {
    /// Returns the last answer that got further than a crash after `progress`.
    pub(super) fn after(self, progress: Progress) -> Option<Duration> {
        match progress {
            Progress::WentOn => self.completed_at,
            _ => self.went_on_at.max(self.completed_at),
        }
    }

    /// Returns whether there is no later answer of either kind than at `time`.
    fn is_before(self, time: Duration) -> bool {
        self.went_on_at.max(self.completed_at) <= Some(time)
    }
}

impl SuspectStatus {
    /// Returns for how long after `now` its requests are refused; `None` if they aren't.
    #[must_use]
    pub(crate) fn refused_for(self, now: Duration) -> Option<Duration> {
        let left = self.refused_until?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether a request may be sent again after a replica crashed under it.
    #[must_use]
    pub(crate) const fn allows_resend(self) -> bool {
        let limit = match self.kind {
            SuspectKind::Part => PART_RESEND_POINTS,
            SuspectKind::Request => REQUEST_RESEND_POINTS,
        };
        self.points < limit
    }
}

impl Crash {
    /// Returns its suspects.
    pub(crate) fn suspects(&self) -> impl Iterator<Item = (SuspectKey, SuspectKind)> {
        let parts = self.parts.iter().map(|part| (*part, SuspectKind::Part));
        parts.chain([(self.request, SuspectKind::Request)])
    }

    /// Takes over what `other`, a report about the same request and replica, says beyond this one; returns whether that
    /// is stronger evidence.
    fn merge(&mut self, other: &Self) -> bool {
        let before = verdict::evidence_of(self);
        self.ran = self.ran.max(other.ran);
        self.is_down |= other.is_down;
        if verdict::evidence_of(self) < verdict::evidence_of(other) {
            self.progress = other.progress;
        }
        before < verdict::evidence_of(self)
    }
}

impl Quarantine {
    /// Records a crash; returns whether it is news.
    pub(crate) fn record_crash(&mut self, crash: Crash) -> bool {
        if self.is_cleared(&crash) {
            return false;
        }
        let is_same = |known: &&mut Crash| {
            known.replica == crash.replica
                && known.request == crash.request
                && known.parts == crash.parts
        };
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            return known.merge(&crash);
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(self.least_useful());
        }
        true
    }

    /// Returns the crash that is dropped when there is no room for another one.
    fn least_useful(&self) -> usize {
        let repeated = self.repeated_keys();
        let crashes = self.crashes.iter().enumerate();
        let least = crashes.min_by_key(|(index, crash)| {
            let is_repeated = has_live_key(crash, &repeated);
            (is_repeated, verdict::evidence_of(crash), *index)
        });
        least.map_or(0, |(index, _)| index)
    }

    /// Returns the suspects that have crashes of more than one replica since the last kept answer.
    fn repeated_keys(&self) -> BTreeSet<SuspectKey> {
        let mut first_replicas = HashMap::new();
        let mut repeated = BTreeSet::new();
        for crash in &self.crashes {
            for (key, _) in crash.suspects() {
                let first = *first_replicas.entry(key).or_insert(crash.replica);
                if first != crash.replica && self.is_live(crash, key) {
                    repeated.insert(key);
                }
            }
        }
        repeated
    }

    /// Records a kept answer; returns whether this clears its key of a crash.
    pub(crate) fn record_kept(&mut self, kept: Kept) -> bool {
        let Kept {
            key,
            at,
            is_complete,
        } = kept;
        let mut is_suspected = false;
        let mut clears = false;
        for crash in &self.crashes {
            if crash.suspects().any(|(suspect, _)| suspect == key) {
                is_suspected = true;
                let gets_further = is_complete || crash.progress != Progress::WentOn;
                clears |= gets_further && crash.at <= at && self.is_live(crash, key);
            }
        }
        if is_suspected {
            let times = self.kept.entry(key).or_default();
            let known = if is_complete {
                &mut times.completed_at
            } else {
                &mut times.went_on_at
            };
            *known = (*known).max(Some(at));
            self.remove_cleared();
        }
        if self.kept.len() > MAX_KEPT
            && let Some(oldest) = self.kept.iter().min_by_key(|(_, times)| {
                times.completed_at.max(times.went_on_at).unwrap_or_default()
            })
        {
            let oldest = *oldest.0;
            self.kept.remove(&oldest);
        }
        clears
    }

    /// Forgets old crashes.
    pub(crate) fn expire(&mut self, now: Duration) {
        let repeated = self.repeated_keys();
        self.crashes.retain(|crash| {
            let ttl = if has_live_key(crash, &repeated) {
                CRASH_TTL
            } else {
                SINGLE_CRASH_TTL
            };
            now < crash.at + ttl
        });
        let ended_at = now.checked_sub(KEPT_TTL);
        self.kept
            .retain(|_, times| ended_at.is_none_or(|ended_at| !times.is_before(ended_at)));
    }

    /// Returns the remembered crashes, oldest first.
    #[cfg(test)]
    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns the crashes that others need to know to decide as this router does, and those since `recent`, most useful
    /// ones first.
    pub(crate) fn significant_crashes(&self, recent: Duration) -> Vec<&Crash> {
        let repeated = self.repeated_keys();
        let crashes = self.crashes.iter();
        let mut crashes: Vec<_> = crashes
            .map(|crash| (has_live_key(crash, &repeated), crash))
            .filter(|(is_repeated, crash)| *is_repeated || crash.at >= recent)
            .collect();
        crashes.sort_by_key(|(is_repeated, crash)| {
            Reverse((*is_repeated, verdict::evidence_of(crash), crash.at))
        });
        crashes.into_iter().map(|(_, crash)| crash).collect()
    }

    /// Returns the last kept answers under each key that has or had crashes.
    pub(crate) fn kept(&self) -> impl Iterator<Item = Kept> {
        self.kept.iter().flat_map(|(key, times)| {
            let kept = |at: Option<Duration>, is_complete| {
                at.map(|at| Kept {
                    key: *key,
                    at,
                    is_complete,
                })
            };
            let kept = [
                kept(times.went_on_at, false),
                kept(times.completed_at, true),
            ];
            kept.into_iter().flatten()
        })
    }

    /// Returns whether an answer was kept under `key` since it is suspected.
    pub(crate) fn has_kept(&self, key: SuspectKey) -> bool {
        self.kept.contains_key(&key)
    }

    /// Returns what is held against each suspect that is not cleared.
    pub(crate) fn suspects(&self) -> Suspects {
        verdict::decide(&self.crashes, &self.cases())
    }

    /// Returns the crashes under `key` since the last kept answer.
    pub(crate) fn live_crashes(&self, key: SuspectKey) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(move |crash| {
            crash.suspects().any(|(suspect, _)| suspect == key) && self.is_live(crash, key)
        })
    }

    /// Collects the crashes that count against each suspect.
    fn cases(&self) -> HashMap<SuspectKey, Case<'_>> {
        let mut cases: HashMap<SuspectKey, Case<'_>> = HashMap::new();
        for crash in &self.crashes {
            for (key, kind) in crash.suspects() {
                if crash.evidence_against(kind).is_none() || !self.is_live(crash, key) {
                    continue;
                }
                let case = cases.entry(key).or_insert_with(|| Case::new(kind));
                let kept = self.kept.get(&key);
                case.was_kept |= kept.is_some_and(|times| times.after(crash.progress).is_some());
                case.crashes.push(crash);
            }
        }
        cases
    }

    /// Returns whether no answer has cleared `key` of `crash`.
    fn is_live(&self, crash: &Crash, key: SuspectKey) -> bool {
        let kept = self.kept.get(&key);
        let cleared_at = kept.and_then(|times| times.after(crash.progress));
        cleared_at.is_none_or(|at| at < crash.at)
    }

    fn is_cleared(&self, crash: &Crash) -> bool {
        crash.suspects().all(|(key, _)| !self.is_live(crash, key))
    }

    /// Forgets crashes whose suspects are all cleared.
    fn remove_cleared(&mut self) {
        let crashes = std::mem::take(&mut self.crashes);
        self.crashes = crashes
            .into_iter()
            .filter(|crash| !self.is_cleared(crash))
            .collect();
    }
}

fn has_live_key(crash: &Crash, repeated: &BTreeSet<SuspectKey>) -> bool {
    crash.suspects().any(|(key, _)| repeated.contains(&key))
}
