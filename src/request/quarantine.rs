//! Finds the parts of prompts under which replicas crash, so that requests with them can be refused.
//!
//! A part of a prompt may crash each replica that begins an answer under it, whatever else the prompt holds. Retries and
//! other requests with the part then end one replica after the other, and with each one all that it was answering. Such
//! requests are known as queries of death. No router sees enough of them, so routers exchange what they see:
//!
//! - A [`Crash`]: a replica broke an answer off as it began. All shared parts of that prompt are suspects.
//! - A kept answer: one that went on under a part. It clears the part of all crashes before.
//!
//! Both merge in any order and count nothing twice. Crashes at the same moment count once, since a rack that loses power
//! ends many replicas, and with them answers that happened to begin. A part is refused after a few separate crashes
//! without a kept answer in between. Where parts come together in all crashes, only one of them is refused: one under
//! which no answer was kept before a part with kept ones, then the later one in the prompt, which fewer requests share.
//!
//! Load patterns handled: one in twenty requests has the part, at all routers in turn; the same beside crashes of racks;
//! a shared part of most requests while replicas crash at random; two such parts at once; a router that is cut off.
//!
//! Rejected: refusing a caller, a route or a whole prompt, since sound requests share those; a probe that lets one
//! request through from time to time, which costs a replica each time.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use smallvec::SmallVec;

/// A hash that identifies a part of a prompt for one model.
pub(crate) type PartKey = u64;
/// A hash that identifies one incarnation of a replica.
pub(crate) type IncarnationKey = u32;

/// The number of complete events from which an answer counts as kept.
pub(crate) const KEPT_EVENTS: u32 = 2;
/// The points of a crash with strong evidence; three are enough for a refusal.
const STRONG_POINTS: u32 = 5;
/// The points of a crash with weak evidence; five are enough for a refusal.
const WEAK_POINTS: u32 = 3;
/// The points from which a part is refused.
const REFUSAL_POINTS: u32 = 15;
/// The points from which a part is refused under which answers were kept.
const KEPT_REFUSAL_POINTS: u32 = 25;
/// The points from which a request is not sent again after a replica crashed under it.
const RESEND_POINTS: u32 = 10;
/// Crashes within this time of the first one count as one; routers notice a crash within a few tens of milliseconds.
const CRASH_WINDOW: Duration = Duration::from_millis(150);
/// The number of different parts that must have followed a part in crashes before it is refused instead of them.
const MIN_SUCCESSORS: usize = 3;
/// The number of replicas that crashed under a part, but not under one that followed it, for the same.
const MIN_OWN_CRASHES: usize = 2;
/// How long after its last crash a part is refused.
const REFUSAL_TIME: Duration = Duration::from_mins(10);
/// How long crashes are remembered. A part that is released and crashes another replica is refused again at once.
const CRASH_TTL: Duration = Duration::from_hours(1);
/// How long a kept answer is remembered, so that crashes before it that arrive late from other routers don't count.
const KEPT_TTL: Duration = REFUSAL_TIME;
/// The maximum number of remembered crashes.
const MAX_CRASHES: usize = 256;
/// The number of remembered kept answers above which the oldest one is forgotten.
const MAX_KEPT: usize = 512;

/// How far an answer had come when its replica broke it off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Evidence {
    /// The request was waiting, as most of a crashed replica's requests are, or its answer had got past its first event.
    Weak,
    /// The answer had begun and had no complete event yet.
    Strong,
}

/// A replica that broke off an answer as it began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    /// The shared parts of the prompt, in order.
    pub(crate) parts: SmallVec<[PartKey; 4]>,
    /// The replica.
    pub(crate) replica: IncarnationKey,
    /// When this router learned of it.
    pub(crate) at: Duration,
    /// How far the answer had come.
    pub(crate) evidence: Evidence,
}

/// What is held against a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PartStatus {
    /// The points of its crashes since the last kept answer.
    pub(crate) points: u32,
    /// Until when requests with the part are refused; `None` if they aren't.
    pub(crate) refused_until: Option<Duration>,
}

/// The suspected parts.
pub(crate) type Suspects = HashMap<PartKey, PartStatus>;

/// The crashes and kept answers known to one router.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    /// Sorted by time.
    crashes: Vec<Crash>,
    /// The last kept answer under each part that has or had crashes.
    kept: HashMap<PartKey, Duration>,
}

/// A part whose points suffice for a refusal.
struct Candidate {
    part: PartKey,
    was_kept: bool,
    /// The replicas of the crashes with the strongest evidence.
    replicas: BTreeSet<IncarnationKey>,
    last_crash_at: Duration,
}

impl Evidence {
    /// Returns the evidence of a crash that broke an answer off after `events` complete events, if it is any.
    pub(crate) const fn of_broken_answer(events: u32) -> Option<Self> {
        match events {
            0 => Some(Self::Strong),
            1..KEPT_EVENTS => Some(Self::Weak),
            _ => None,
        }
    }

    const fn points(self) -> u32 {
        match self {
            Self::Weak => WEAK_POINTS,
            Self::Strong => STRONG_POINTS,
        }
    }
}

impl PartStatus {
    /// Returns for how long after `now` requests with the part are refused; `None` if they aren't.
    #[must_use]
    pub(crate) fn refused_for(self, now: Duration) -> Option<Duration> {
        let left = self.refused_until?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether a request with the part may be sent again after a replica crashed under it.
    #[must_use]
    pub(crate) const fn allows_resend(self) -> bool {
        self.points < RESEND_POINTS
    }
}

impl Quarantine {
    /// Records a crash; returns whether it is news.
    pub(crate) fn record_crash(&mut self, crash: Crash) -> bool {
        if crash.parts.is_empty() || self.is_cleared(&crash) {
            return false;
        }
        let is_same =
            |known: &&mut Crash| known.replica == crash.replica && known.parts == crash.parts;
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            let is_stronger = known.evidence < crash.evidence;
            known.evidence = known.evidence.max(crash.evidence);
            return is_stronger;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            let mut weak = self.crashes.iter();
            let oldest_weak = weak.position(|known| known.evidence == Evidence::Weak);
            self.crashes.remove(oldest_weak.unwrap_or(0));
        }
        true
    }

    /// Records that an answer under `part` went on at `at`; returns whether this clears the part of a crash.
    pub(crate) fn record_kept(&mut self, part: PartKey, at: Duration) -> bool {
        let clears = self.live_crashes(part).any(|crash| crash.at <= at);
        let is_suspected = self.crashes.iter().any(|crash| crash.parts.contains(&part));
        if is_suspected {
            let known = self.kept.entry(part).or_insert(at);
            *known = (*known).max(at);
            self.remove_cleared();
        }
        if self.kept.len() > MAX_KEPT
            && let Some(oldest) = self.kept.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = *oldest.0;
            self.kept.remove(&oldest);
        }
        clears
    }

    /// Forgets old crashes.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.crashes.retain(|crash| now < crash.at + CRASH_TTL);
        self.kept.retain(|_, at| now < *at + KEPT_TTL);
    }

    /// Returns the remembered crashes, oldest first.
    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns the last kept answer under each part that has or had crashes.
    pub(crate) fn kept(&self) -> impl Iterator<Item = (PartKey, Duration)> {
        self.kept.iter().map(|(part, at)| (*part, *at))
    }

    /// Returns what is held against each part that is not cleared.
    pub(crate) fn suspects(&self) -> Suspects {
        let parts: BTreeSet<PartKey> = self
            .crashes
            .iter()
            .flat_map(|crash| crash.parts.iter().copied())
            .collect();
        let points = parts.into_iter().map(|part| (part, self.points(part)));
        let points: Vec<(PartKey, u32)> = points.filter(|(_, points)| *points > 0).collect();
        let candidates: Vec<Candidate> = points
            .iter()
            .filter_map(|(part, points)| self.candidate(*part, *points))
            .collect();
        let refused: HashMap<PartKey, Duration> = candidates
            .iter()
            .filter(|candidate| !self.is_explained(candidate, &candidates))
            .map(|candidate| (candidate.part, candidate.last_crash_at + REFUSAL_TIME))
            .collect();
        let status = |points, part| PartStatus {
            points,
            refused_until: refused.get(&part).copied(),
        };
        points
            .into_iter()
            .map(|(part, points)| (part, status(points, part)))
            .collect()
    }

    /// Returns the crashes under `part` since the last kept answer.
    fn live_crashes(&self, part: PartKey) -> impl Iterator<Item = &Crash> {
        let kept_at = self.kept.get(&part).copied();
        self.crashes.iter().filter(move |crash| {
            crash.parts.contains(&part) && kept_at.is_none_or(|at| at < crash.at)
        })
    }

    /// Returns the crashes under `part` that have the strongest evidence of all.
    fn strongest_crashes(&self, part: PartKey) -> impl Iterator<Item = &Crash> {
        let strongest = self.live_crashes(part).map(|crash| crash.evidence).max();
        self.live_crashes(part)
            .filter(move |crash| Some(crash.evidence) == strongest)
    }

    /// Returns the points of `part`: of each wave of crashes, the strongest.
    fn points(&self, part: PartKey) -> u32 {
        let mut total = 0;
        let mut wave: Option<(Duration, u32)> = None;
        for crash in self.live_crashes(part) {
            let points = crash.evidence.points();
            match &mut wave {
                Some((begun_at, strongest)) if crash.at < *begun_at + CRASH_WINDOW => {
                    *strongest = (*strongest).max(points);
                }
                _ => {
                    total += wave.map_or(0, |(_, strongest)| strongest);
                    wave = Some((crash.at, points));
                }
            }
        }
        total + wave.map_or(0, |(_, strongest)| strongest)
    }

    fn candidate(&self, part: PartKey, points: u32) -> Option<Candidate> {
        let was_kept = self.kept.contains_key(&part);
        let limit = if was_kept {
            KEPT_REFUSAL_POINTS
        } else {
            REFUSAL_POINTS
        };
        if points < limit || !self.is_separable(part) {
            return None;
        }
        let replicas = self.strongest_crashes(part);
        let replicas = replicas.map(|crash| crash.replica).collect();
        let last_crash_at = self.live_crashes(part).last()?.at;
        Some(Candidate {
            part,
            was_kept,
            replicas,
            last_crash_at,
        })
    }

    /// Returns whether the crashes under `part` can't as well be those of a few parts that follow it in prompts.
    ///
    /// Two deadly parts behind one sound part look like crashes of the sound one, until each has enough of its own.
    fn is_separable(&self, part: PartKey) -> bool {
        let mut successors = BTreeSet::new();
        let (mut theirs, mut others) = (BTreeSet::new(), BTreeSet::new());
        for crash in self.strongest_crashes(part) {
            let mut after = crash.parts.iter().skip_while(|known| **known != part);
            match after
                .nth(1)
                .filter(|successor| !self.kept.contains_key(successor))
            {
                Some(successor) => {
                    successors.insert(*successor);
                    theirs.insert(crash.replica);
                }
                None => {
                    others.insert(crash.replica);
                }
            }
        }
        let own = others.difference(&theirs).count();
        successors.is_empty() || successors.len() >= MIN_SUCCESSORS || own >= MIN_OWN_CRASHES
    }

    /// Returns whether candidates that are more likely to be the cause account for all crashes of `candidate`.
    fn is_explained(&self, candidate: &Candidate, candidates: &[Candidate]) -> bool {
        let likelier = candidates
            .iter()
            .filter(|other| self.is_likelier(other, candidate));
        let explained: BTreeSet<IncarnationKey> = likelier
            .flat_map(|other| other.replicas.iter().copied())
            .collect();
        candidate.replicas.is_subset(&explained)
    }

    fn is_likelier(&self, other: &Candidate, candidate: &Candidate) -> bool {
        if other.was_kept != candidate.was_kept {
            return candidate.was_kept;
        }
        if other.replicas != candidate.replicas {
            return other.replicas.is_superset(&candidate.replicas);
        }
        self.crashes.iter().any(|crash| {
            let position = |part| crash.parts.iter().position(|known| *known == part);
            matches!((position(candidate.part), position(other.part)), (Some(before), Some(after)) if before < after)
        })
    }

    fn is_cleared(&self, crash: &Crash) -> bool {
        let is_kept_after = |part: &PartKey| {
            self.kept
                .get(part)
                .is_some_and(|kept_at| crash.at <= *kept_at)
        };
        crash.parts.iter().all(is_kept_after)
    }

    /// Forgets crashes whose parts are all cleared.
    fn remove_cleared(&mut self) {
        let crashes = std::mem::take(&mut self.crashes);
        self.crashes = crashes
            .into_iter()
            .filter(|crash| !self.is_cleared(crash))
            .collect();
    }
}
