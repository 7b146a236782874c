//! Decides which suspects of crashes are refused ([`super::quarantine`]).
//!
//! All suspects are judged alike: a crash gives points by how well it shows that this suspect caused it, and a suspect
//! with enough points and without a likelier explanation is refused. The more specific suspect goes first: a request that
//! comes again explains the crashes of its replicas, so its repeats say nothing about the parts that it shares with
//! others. A part is refused only if different requests with it crash replicas.
//!
//! Crashes at the same moment count once, since a rack that loses power ends many replicas, and with them answers that
//! happened to begin. They count separately for a part under which no answer was ever kept if all replicas that ended
//! at that moment had it.
//!
//! Among suspects whose crashes are the same ones, the likelier one is refused: of a part and one behind it in prompts the
//! later one, which fewer requests share; of two requests the one that ran for the same time at each crash, then the one
//! that ran longer. The next crash or answer of the other one corrects a wrong choice.
//!
//! Load patterns handled: one in twenty requests has the part, at all routers in turn; the same beside crashes of racks, in
//! batches, and two such parts at once; a shared part of most requests while replicas crash at random; one request,
//! plain or under a shared part, that comes again and again beside sound ones that run on each replica that it crashes; a
//! part and a request at once.
//!
//! Rejected: refusing a caller, a route or a whole prompt, since sound requests share those; a probe that lets one
//! request through from time to time, which costs a replica each time.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use smallvec::SmallVec;

use super::quarantine::{
    Crash, IncarnationKey, MIN_RUN, Progress, REFUSAL_TIME, SuspectKey, SuspectKind, SuspectStatus,
    Suspects,
};

/// The points of a crash with strong evidence; three are enough for a refusal.
const STRONG_POINTS: u32 = 5;
/// The points of a crash with weak evidence; five are enough for a refusal.
const WEAK_POINTS: u32 = 3;
/// The points from which a suspect is refused.
const REFUSAL_POINTS: u32 = 15;
/// The points from which a suspect is refused under which answers were kept.
const KEPT_REFUSAL_POINTS: u32 = 25;
/// Crashes under a part within this time of the first one are at the same moment; routers notice a crash within a few tens
/// of milliseconds.
const PART_CRASH_WINDOW: Duration = Duration::from_millis(150);
/// The same for crashes under a request. A few replicas may crash shortly after one another when it comes several times.
const REQUEST_CRASH_WINDOW: Duration = Duration::from_millis(20);
/// The number of different parts that must have followed a part in crashes before it is refused instead of them.
const MIN_SUCCESSORS: usize = 3;
/// The number of replicas that crashed under a part, but not under one that followed it, for the same.
const MIN_OWN_CRASHES: usize = 2;
/// The differences between the running times of a request that say nothing, in milliseconds.
const RUN_TOLERANCE_MS: u128 = 20;

/// How well a crash shows that a suspect caused it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Evidence {
    Weak,
    Strong,
}

/// The crashes that count against one suspect.
#[derive(Debug)]
pub(super) struct Case<'a> {
    kind: SuspectKind,
    /// Whether an answer was kept under it before.
    pub(super) was_kept: bool,
    /// Sorted by time.
    pub(super) crashes: SmallVec<[&'a Crash; 4]>,
}

/// A suspect whose points suffice for a refusal.
struct Candidate {
    key: SuspectKey,
    kind: SuspectKind,
    was_kept: bool,
    /// The replicas of the crashes with the strongest evidence.
    replicas: BTreeSet<IncarnationKey>,
    /// The least and the greatest time that its requests ran before a crash.
    ran: (Duration, Duration),
    last_crash_at: Duration,
}

/// When each replica crashed, which is when the first request that it broke off was noticed.
type CrashTimes = HashMap<IncarnationKey, Duration>;

/// A replica that crashed under a suspect.
struct CrashedReplica {
    replica: IncarnationKey,
    at: Duration,
    points: u32,
}

/// What a crash shows about the request itself, and about the parts of its prompt.
pub(super) fn evidence_of(crash: &Crash) -> (Option<Evidence>, Option<Evidence>) {
    let request = crash.evidence_against(SuspectKind::Request);
    (request, crash.evidence_against(SuspectKind::Part))
}

impl Evidence {
    const fn points(self) -> u32 {
        match self {
            Self::Weak => WEAK_POINTS,
            Self::Strong => STRONG_POINTS,
        }
    }
}

impl Crash {
    /// Returns how well it shows that its suspect of `kind` caused it; `None` if it doesn't.
    ///
    /// A part crashes replicas as they begin an answer, which most of the requests of a crashed replica don't. A request
    /// may do so at any time, but not if only its answer was lost, or if its replica had crashed before it came.
    pub(super) fn evidence_against(&self, kind: SuspectKind) -> Option<Evidence> {
        match (kind, self.progress) {
            (SuspectKind::Part, Progress::Begun) => Some(Evidence::Strong),
            (SuspectKind::Part, Progress::WentOn) => None,
            (SuspectKind::Part, _) | (SuspectKind::Request, Progress::WentOn) => {
                Some(Evidence::Weak)
            }
            (SuspectKind::Request, progress) => {
                let has_run = progress != Progress::Waiting || self.ran >= MIN_RUN;
                let is_strong = self.is_down && has_run;
                Some(if is_strong {
                    Evidence::Strong
                } else {
                    Evidence::Weak
                })
            }
        }
    }
}

impl Case<'_> {
    /// Creates the case of a suspect of `kind` without crashes.
    pub(super) fn new(kind: SuspectKind) -> Self {
        Self {
            kind,
            was_kept: false,
            crashes: SmallVec::new(),
        }
    }

    fn replicas(&self) -> BTreeSet<IncarnationKey> {
        self.crashes.iter().map(|crash| crash.replica).collect()
    }

    fn evidence(&self, crash: &Crash) -> Option<Evidence> {
        crash.evidence_against(self.kind)
    }

    fn strongest_crashes(&self) -> impl Iterator<Item = &Crash> {
        let strongest = self.crashes.iter().map(|crash| self.evidence(crash)).max();
        let crashes = self.crashes.iter().copied();
        crashes.filter(move |crash| Some(self.evidence(crash)) == strongest)
    }

    /// Returns the replicas that crashed under the suspect, by time, each with the points of the strongest evidence.
    fn crashed_replicas(&self, crash_times: &CrashTimes) -> Vec<CrashedReplica> {
        let mut points: HashMap<IncarnationKey, u32> = HashMap::new();
        for crash in &self.crashes {
            let known = points.entry(crash.replica).or_default();
            *known = (*known).max(self.evidence(crash).map_or(0, Evidence::points));
        }
        let crashed = points.into_iter();
        let mut crashed: Vec<_> = crashed
            .map(|(replica, points)| CrashedReplica {
                replica,
                at: crash_times[&replica],
                points,
            })
            .collect();
        crashed.sort_unstable_by_key(|crashed| (crashed.at, crashed.replica));
        crashed
    }
}

/// Returns what is held against each suspect, and which of them are refused.
pub(super) fn decide(crashes: &[Crash], cases: &HashMap<SuspectKey, Case<'_>>) -> Suspects {
    let mut crash_times = CrashTimes::new();
    for crash in crashes {
        let time = crash_times.entry(crash.replica).or_insert(crash.at);
        *time = (*time).min(crash.at);
    }
    let mut suspects = Suspects::new();
    let mut candidates = Vec::new();
    for (key, case) in cases {
        let points = points(case, cases, &crash_times);
        if points == 0 {
            continue;
        }
        let status = SuspectStatus {
            kind: case.kind,
            points,
            refused_until: None,
        };
        suspects.insert(*key, status);
        candidates.extend(candidate(*key, case, points, cases));
    }
    for candidate in likeliest(&candidates, crashes) {
        let status = suspects.get_mut(&candidate.key);
        let status = status.expect("candidates are suspects");
        status.refused_until = Some(candidate.last_crash_at + REFUSAL_TIME);
    }
    suspects
}

/// Returns the points of a suspect: of each moment at which replicas crashed the strongest evidence, or that of all of them
/// if they have nothing else in common.
fn points(case: &Case<'_>, cases: &HashMap<SuspectKey, Case<'_>>, crash_times: &CrashTimes) -> u32 {
    let mut crashed = case.crashed_replicas(crash_times);
    let own = case.replicas();
    if case.kind == SuspectKind::Part {
        remove_repeats(&mut crashed, case, cases);
    }
    let window = match case.kind {
        SuspectKind::Part => PART_CRASH_WINDOW,
        SuspectKind::Request => REQUEST_CRASH_WINDOW,
    };
    let mut total = 0;
    let mut rest = &crashed[..];
    while let Some(first) = rest.first() {
        let end = first.at + window;
        let (wave, later) = rest.split_at(rest.partition_point(|crashed| crashed.at < end));
        let points = wave.iter().map(|crashed| crashed.points);
        let is_only_cause = case.kind == SuspectKind::Part
            && !case.was_kept
            && crash_times
                .iter()
                .all(|(replica, at)| !(first.at..end).contains(at) || own.contains(replica));
        total += if is_only_cause {
            points.sum()
        } else {
            points.max().unwrap_or_default()
        };
        rest = later;
    }
    total
}

/// Removes the replicas that crashed under a part as a request that came again ran there, except for its first one.
fn remove_repeats(
    crashed: &mut Vec<CrashedReplica>,
    case: &Case<'_>,
    cases: &HashMap<SuspectKey, Case<'_>>,
) {
    let mut repeats: HashMap<IncarnationKey, SmallVec<[SuspectKey; 2]>> = HashMap::new();
    for crash in &case.crashes {
        let request = cases.get(&crash.request);
        let comes_again = request.is_some_and(|request| {
            let mut others = request.crashes.iter();
            let is_live = request
                .crashes
                .iter()
                .any(|known| known.replica == crash.replica);
            is_live && others.any(|other| other.replica != crash.replica)
        });
        if comes_again {
            repeats
                .entry(crash.replica)
                .or_default()
                .push(crash.request);
        }
    }
    let mut seen = BTreeSet::new();
    crashed.retain(|crashed| {
        let Some(requests) = repeats.get(&crashed.replica) else {
            return true;
        };
        let is_first = requests.iter().all(|request| !seen.contains(request));
        seen.extend(requests.iter().copied());
        is_first
    });
}

fn candidate(
    key: SuspectKey,
    case: &Case<'_>,
    points: u32,
    cases: &HashMap<SuspectKey, Case<'_>>,
) -> Option<Candidate> {
    let limit = if case.was_kept {
        KEPT_REFUSAL_POINTS
    } else {
        REFUSAL_POINTS
    };
    if points < limit || (case.kind == SuspectKind::Part && !is_separable(key, case, cases)) {
        return None;
    }
    let ran = case.crashes.iter().map(|crash| crash.ran);
    let replicas = case.strongest_crashes().map(|crash| crash.replica);
    Some(Candidate {
        key,
        kind: case.kind,
        was_kept: case.was_kept,
        replicas: replicas.collect(),
        ran: (ran.clone().min()?, ran.max()?),
        last_crash_at: case.crashes.last()?.at,
    })
}

/// Returns whether the crashes under `part` can't as well be those of a few parts that follow it in prompts.
///
/// Two deadly parts behind one sound part look like crashes of the sound one, until each has enough of its own.
fn is_separable(part: SuspectKey, case: &Case<'_>, cases: &HashMap<SuspectKey, Case<'_>>) -> bool {
    let mut successors = BTreeSet::new();
    let (mut theirs, mut others) = (BTreeSet::new(), BTreeSet::new());
    for crash in case.strongest_crashes() {
        let mut after = crash.parts.iter().skip_while(|known| **known != part);
        let is_suspected =
            |successor: &&SuspectKey| cases.get(*successor).is_some_and(|case| !case.was_kept);
        match after.nth(1).filter(is_suspected) {
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

/// Returns the candidates whose crashes are not those of likelier ones.
fn likeliest<'a>(candidates: &'a [Candidate], crashes: &[Crash]) -> Vec<&'a Candidate> {
    let requests = candidates
        .iter()
        .filter(|candidate| candidate.kind == SuspectKind::Request);
    // A part whose crashes are all those of requests is no explanation of theirs.
    let left: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| {
            let likelier = requests
                .clone()
                .filter(|request| !request.was_kept || candidate.was_kept);
            candidate.kind == SuspectKind::Request || !is_explained(candidate, likelier)
        })
        .collect();
    let is_likeliest = |candidate: &&Candidate| {
        let others = left.iter().copied();
        let likelier = others.filter(|other| is_likelier(other, candidate, crashes));
        !is_explained(candidate, likelier)
    };
    left.iter().copied().filter(is_likeliest).collect()
}

fn is_explained<'a>(candidate: &Candidate, likelier: impl Iterator<Item = &'a Candidate>) -> bool {
    let explained: BTreeSet<IncarnationKey> = likelier
        .flat_map(|other| other.replicas.iter().copied())
        .collect();
    candidate.replicas.is_subset(&explained)
}

fn is_likelier(other: &Candidate, candidate: &Candidate, crashes: &[Crash]) -> bool {
    if other.key == candidate.key {
        return false;
    }
    if other.was_kept != candidate.was_kept {
        return candidate.was_kept;
    }
    if other.replicas != candidate.replicas {
        return other.replicas.is_superset(&candidate.replicas);
    }
    match (other.kind, candidate.kind) {
        (SuspectKind::Request, SuspectKind::Request) => {
            run_pattern(other) > run_pattern(candidate)
        }
        (SuspectKind::Part, SuspectKind::Part) => crashes.iter().any(|crash| {
            let position = |key| crash.parts.iter().position(|known| *known == key);
            matches!((position(candidate.key), position(other.key)), (Some(before), Some(after)) if before < after)
        }),
        (SuspectKind::Request, SuspectKind::Part) => true,
        (SuspectKind::Part, SuspectKind::Request) => false,
    }
}

/// Orders requests by how well their running times show that they crashed the replicas: one that does so runs to that
/// point each time, another one has run for a random part of its time.
fn run_pattern(candidate: &Candidate) -> (Reverse<u128>, Duration, SuspectKey) {
    let (least, greatest) = candidate.ran;
    let spread = (greatest - least).as_millis() / RUN_TOLERANCE_MS;
    (Reverse(spread), least, candidate.key)
}
