//! Finds the parts of prompts and the whole requests under which replicas crash, so that they can be refused.
//!
//! A part of a prompt may crash each replica that begins an answer under it, whatever else the prompt holds; a request
//! without a prompt may do so whenever it comes again with the same path, caller and body. Retries and other requests
//! then end one replica after the other, and with each one all that it was answering. Such requests are known as queries
//! of death. No router sees enough of them, so routers exchange what they see:
//!
//! - A [`Crash`]: a replica broke an answer off as it began, or a whole request that it ran. All shared parts of that
//!   prompt, or the request, are suspects.
//! - A kept answer: one that went on under a suspect. It clears the suspect of all crashes before.
//!
//! Both merge in any order and count nothing twice. Crashes at the same moment count once, since a rack that loses power
//! ends many replicas, and with them answers that happened to begin. A suspect is refused after a few separate crashes
//! without a kept answer in between. Where parts come together in all crashes, only one of them is refused: one under
//! which no answer was kept before a part with kept ones, then the later one in the prompt, which fewer requests share. Of
//! whole requests that come together in all crashes, only the one that ran longest is refused, since the one that crashed
//! the replicas ran to the end each time. The next answer or crash of the other one shows which it is.
//!
//! Load patterns handled: one in twenty requests has the part, at all routers in turn; the same beside crashes of racks;
//! a shared part of most requests while replicas crash at random; two such parts at once; a router that is cut off; the
//! same whole request beside a sound one that runs on each replica that it crashes, while all replicas are down.
//!
//! Whole requests with a prompt are no suspects: the parts before it are, and a key of its own for each request that a
//! crash broke off would crowd out the crashes of parts.
//!
//! Rejected: refusing a caller, a route or a whole prompt, since sound requests share those; a probe that lets one
//! request through from time to time, which costs a replica each time.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

/// A hash that identifies a part of a prompt for one model, or a whole request.
pub(crate) type SuspectKey = u64;
/// A hash that identifies one incarnation of a replica.
pub(crate) type IncarnationKey = u32;

/// The number of complete events from which an answer counts as kept.
pub(crate) const KEPT_EVENTS: u32 = 2;
/// The points of a crash with strong evidence; three are enough for a refusal.
const STRONG_POINTS: u32 = 5;
/// The points of a crash with weak evidence; five are enough for a refusal.
const WEAK_POINTS: u32 = 3;
/// The points from which a suspect is refused.
const REFUSAL_POINTS: u32 = 15;
/// The points from which a suspect is refused under which answers were kept.
const KEPT_REFUSAL_POINTS: u32 = 25;
/// The points of a part from which a request is not sent again after a replica crashed under it.
const RESEND_POINTS: u32 = 10;
/// The points of a whole request for the same. An answer clears it soon if it is sound.
const REQUEST_RESEND_POINTS: u32 = STRONG_POINTS;
/// Crashes within this time of the first one count as one; routers notice a crash within a few tens of milliseconds.
const CRASH_WINDOW: Duration = Duration::from_millis(150);
/// The same for crashes under whole requests. All reports about a replica together tell well when it crashed, and a few
/// replicas may crash shortly after one another under several requests with the same key.
const REQUEST_CRASH_WINDOW: Duration = Duration::from_millis(20);
/// The least time that a request runs before its replica's crash can be its own doing. One that breaks sooner may have
/// been sent to a replica that had crashed already.
pub(crate) const MIN_RUN: Duration = Duration::from_millis(20);
/// The number of different parts that must have followed a part in crashes before it is refused instead of them.
const MIN_SUCCESSORS: usize = 3;
/// The number of replicas that crashed under a part, but not under one that followed it, for the same.
const MIN_OWN_CRASHES: usize = 2;
/// How long after its last crash a suspect is refused.
const REFUSAL_TIME: Duration = Duration::from_mins(10);
/// How long crashes are remembered. A suspect that is released and crashes another replica is refused again at once.
const CRASH_TTL: Duration = Duration::from_hours(1);
/// The same for the only crash under a whole request, which most requests that a crash broke off never have again.
const SINGLE_REQUEST_TTL: Duration = REFUSAL_TIME;
/// How long a kept answer is remembered, so that crashes before it that arrive late from other routers don't count.
const KEPT_TTL: Duration = REFUSAL_TIME;
/// The maximum number of remembered crashes.
const MAX_CRASHES: usize = 256;
/// The number of remembered kept answers above which the oldest one is forgotten.
const MAX_KEPT: usize = 512;

/// How well a broken answer shows that its request crashed the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Evidence {
    /// The request was waiting, as most of a crashed replica's requests are, or its answer had got past its first event.
    /// For a whole request: the replica accepted connections soon afterwards.
    Weak,
    /// The answer had begun and had no complete event yet. For a whole request: the replica was down afterwards.
    Strong,
}

/// A whole request that a replica broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct BrokenRequest {
    /// The ID of the caller's attempt.
    pub(crate) id: Arc<str>,
    /// The time since it was sent to the replica.
    pub(crate) ran: Duration,
}

/// A replica that broke off an answer as it began, or a whole request that it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Crash {
    /// The shared parts of the prompt, in order, or the key of the whole request.
    pub(crate) keys: SmallVec<[SuspectKey; 4]>,
    /// The whole request; `None` if the keys are those of parts.
    pub(crate) request: Option<BrokenRequest>,
    /// The replica.
    pub(crate) replica: IncarnationKey,
    /// When this router learned of it.
    pub(crate) at: Duration,
    /// What it shows.
    pub(crate) evidence: Evidence,
}

/// What is held against a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SuspectStatus {
    /// The points of its crashes since the last kept answer.
    pub(crate) points: u32,
    /// Until when its requests are refused; `None` if they aren't.
    pub(crate) refused_until: Option<Duration>,
    /// Whether it is a whole request instead of a part.
    pub(crate) is_request: bool,
}

/// The suspects.
pub(crate) type Suspects = HashMap<SuspectKey, SuspectStatus>;

/// The crashes and kept answers known to one router.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    /// Sorted by time.
    crashes: Vec<Crash>,
    /// The last kept answer under each key that has or had crashes.
    kept: HashMap<SuspectKey, Duration>,
}

/// A suspect whose points suffice for a refusal.
struct Candidate {
    key: SuspectKey,
    /// The least time that the whole request ran before a crash; `None` for parts.
    ran: Option<Duration>,
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
        let limit = if self.is_request {
            REQUEST_RESEND_POINTS
        } else {
            RESEND_POINTS
        };
        self.points < limit
    }
}

impl Crash {
    /// Returns the time within which crashes count as one.
    const fn window(&self) -> Duration {
        match self.request {
            Some(_) => REQUEST_CRASH_WINDOW,
            None => CRASH_WINDOW,
        }
    }
}

impl Quarantine {
    /// Records a crash; returns whether it is news.
    pub(crate) fn record_crash(&mut self, crash: Crash) -> bool {
        if crash.keys.is_empty() || self.is_cleared(&crash) {
            return false;
        }
        let is_same =
            |known: &&mut Crash| known.replica == crash.replica && known.keys == crash.keys;
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            let is_stronger = known.evidence < crash.evidence;
            if let (Some(known), Some(request)) = (&mut known.request, crash.request) {
                known.ran = known.ran.max(request.ran);
            }
            known.evidence = known.evidence.max(crash.evidence);
            return is_stronger;
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        if self.crashes.len() > MAX_CRASHES {
            let mut weak = self.crashes.iter();
            let oldest_weak = weak.position(|known| known.evidence == Evidence::Weak);
            let dropped = oldest_weak.or_else(|| self.oldest_single_request());
            self.crashes.remove(dropped.unwrap_or(0));
        }
        true
    }

    /// Returns the oldest crash under a whole request that has no other one, as most that a crash breaks off.
    fn oldest_single_request(&self) -> Option<usize> {
        let repeated = self.repeated_keys();
        let mut crashes = self.crashes.iter();
        crashes.position(|crash| {
            let is_repeated = crash.keys.iter().any(|key| repeated.contains(key));
            crash.request.is_some() && !is_repeated
        })
    }

    /// Returns the keys that have more than one crash.
    pub(crate) fn repeated_keys(&self) -> BTreeSet<SuspectKey> {
        let mut seen = BTreeSet::new();
        let keys = self.crashes.iter().flat_map(|crash| crash.keys.iter());
        keys.copied().filter(|key| !seen.insert(*key)).collect()
    }

    /// Records that an answer under `key` went on at `at`; returns whether this clears the key of a crash.
    pub(crate) fn record_kept(&mut self, key: SuspectKey, at: Duration) -> bool {
        let clears = self.live_crashes(key).any(|crash| crash.at <= at);
        let is_suspected = self.crashes.iter().any(|crash| crash.keys.contains(&key));
        if is_suspected {
            let known = self.kept.entry(key).or_insert(at);
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
        let repeated = self.repeated_keys();
        self.crashes.retain(|crash| {
            let is_single = !crash.keys.iter().any(|key| repeated.contains(key));
            let ttl = if crash.request.is_some() && is_single {
                SINGLE_REQUEST_TTL
            } else {
                CRASH_TTL
            };
            now < crash.at + ttl
        });
        self.kept.retain(|_, at| now < *at + KEPT_TTL);
    }

    /// Returns the remembered crashes, oldest first.
    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns the last kept answer under each key that has or had crashes.
    pub(crate) fn kept(&self) -> impl Iterator<Item = (SuspectKey, Duration)> {
        self.kept.iter().map(|(key, at)| (*key, *at))
    }

    /// Returns what is held against each suspect that is not cleared.
    pub(crate) fn suspects(&self) -> Suspects {
        let crash_times = self.crash_times();
        let keys: BTreeSet<(SuspectKey, bool)> = self
            .crashes
            .iter()
            .flat_map(|crash| {
                let is_request = crash.request.is_some();
                crash.keys.iter().map(move |key| (*key, is_request))
            })
            .collect();
        let mut suspects: Suspects = keys
            .into_iter()
            .map(|(key, is_request)| {
                let status = SuspectStatus {
                    points: self.points(key, &crash_times),
                    refused_until: None,
                    is_request,
                };
                (key, status)
            })
            .filter(|(_, status)| status.points > 0)
            .collect();
        let candidates: Vec<Candidate> = suspects
            .iter()
            .filter_map(|(key, status)| self.candidate(*key, *status))
            .collect();
        for candidate in &candidates {
            if !is_outlasted(candidate, &candidates) && !self.is_explained(candidate, &candidates) {
                let refused_until = candidate.last_crash_at + REFUSAL_TIME;
                let status = suspects.get_mut(&candidate.key);
                status.expect("candidates are suspects").refused_until = Some(refused_until);
            }
        }
        suspects
    }

    /// Returns the crashes under `key` since the last kept answer.
    pub(crate) fn live_crashes(&self, key: SuspectKey) -> impl Iterator<Item = &Crash> {
        let kept_at = self.kept.get(&key).copied();
        self.crashes.iter().filter(move |crash| {
            crash.keys.contains(&key) && kept_at.is_none_or(|at| at < crash.at)
        })
    }

    /// Returns the crashes under `key` that have the strongest evidence of all.
    fn strongest_crashes(&self, key: SuspectKey) -> impl Iterator<Item = &Crash> {
        let strongest = self.live_crashes(key).map(|crash| crash.evidence).max();
        self.live_crashes(key)
            .filter(move |crash| Some(crash.evidence) == strongest)
    }

    /// Returns when each replica crashed, which is when the first request that it broke off was noticed.
    fn crash_times(&self) -> HashMap<IncarnationKey, Duration> {
        let mut times = HashMap::new();
        for crash in &self.crashes {
            let time = times.entry(crash.replica).or_insert(crash.at);
            *time = (*time).min(crash.at);
        }
        times
    }

    /// Returns the points of `key`: of each wave of crashes, the strongest.
    fn points(&self, key: SuspectKey, crash_times: &HashMap<IncarnationKey, Duration>) -> u32 {
        let time_of = |crash: &Crash| match crash.request {
            Some(_) => crash_times.get(&crash.replica).copied(),
            None => None,
        };
        let mut crashes: Vec<(Duration, &Crash)> = self
            .live_crashes(key)
            .map(|crash| (time_of(crash).unwrap_or(crash.at), crash))
            .collect();
        crashes.sort_by_key(|(at, _)| *at);
        let mut total = 0;
        let mut wave: Option<(Duration, u32)> = None;
        for (at, crash) in crashes {
            let points = crash.evidence.points();
            match &mut wave {
                Some((begun_at, strongest)) if at < *begun_at + crash.window() => {
                    *strongest = (*strongest).max(points);
                }
                _ => {
                    total += wave.map_or(0, |(_, strongest)| strongest);
                    wave = Some((at, points));
                }
            }
        }
        total + wave.map_or(0, |(_, strongest)| strongest)
    }

    fn candidate(&self, key: SuspectKey, status: SuspectStatus) -> Option<Candidate> {
        let was_kept = self.kept.contains_key(&key);
        let limit = if was_kept {
            KEPT_REFUSAL_POINTS
        } else {
            REFUSAL_POINTS
        };
        if status.points < limit || !self.is_separable(key) {
            return None;
        }
        let replicas = self.strongest_crashes(key);
        let replicas = replicas.map(|crash| crash.replica).collect();
        let last_crash_at = self.live_crashes(key).last()?.at;
        let requests = self.live_crashes(key);
        let requests = requests.filter_map(|crash| crash.request.as_ref());
        let ran = requests.map(|request| request.ran).min();
        Some(Candidate {
            key,
            ran,
            was_kept,
            replicas,
            last_crash_at,
        })
    }

    /// Returns whether the crashes under `part` can't as well be those of a few parts that follow it in prompts.
    ///
    /// Two deadly parts behind one sound part look like crashes of the sound one, until each has enough of its own.
    fn is_separable(&self, part: SuspectKey) -> bool {
        let mut successors = BTreeSet::new();
        let (mut theirs, mut others) = (BTreeSet::new(), BTreeSet::new());
        for crash in self.strongest_crashes(part) {
            let mut after = crash.keys.iter().skip_while(|known| **known != part);
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
            let position = |key| crash.keys.iter().position(|known| *known == key);
            matches!((position(candidate.key), position(other.key)), (Some(before), Some(after)) if before < after)
        })
    }

    fn is_cleared(&self, crash: &Crash) -> bool {
        let is_kept_after = |key: &SuspectKey| {
            self.kept
                .get(key)
                .is_some_and(|kept_at| crash.at <= *kept_at)
        };
        crash.keys.iter().all(is_kept_after)
    }

    /// Forgets crashes whose keys are all cleared.
    fn remove_cleared(&mut self) {
        let crashes = std::mem::take(&mut self.crashes);
        self.crashes = crashes
            .into_iter()
            .filter(|crash| !self.is_cleared(crash))
            .collect();
    }
}

/// Returns whether another whole request came together with `candidate` in all crashes and ran for longer.
fn is_outlasted(candidate: &Candidate, candidates: &[Candidate]) -> bool {
    let outlasts = |other: &Candidate| {
        other.ran.is_some()
            && (other.ran, other.key) > (candidate.ran, candidate.key)
            && other.was_kept == candidate.was_kept
            && other.replicas == candidate.replicas
    };
    candidate.ran.is_some() && candidates.iter().any(outlasts)
}
