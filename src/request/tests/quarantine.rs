//! Parts of prompts that crash replicas, replayed over many routers in virtual time.

use std::collections::HashMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::{SmallVec, smallvec};
use yare::parameterized;

use crate::request::kept_parts::KeptParts;
use crate::request::quarantine::{Crash, Kept, Progress, Quarantine, SuspectKey};

const STEP: Duration = Duration::from_millis(10);
const DEADLY: SuspectKey = 1_000;
const OTHER_DEADLY: SuspectKey = 1_001;
/// The keys of whole requests begin here; all differ.
const FIRST_REQUEST: SuspectKey = 1_000_000;
/// The number of first parts, as in the users' deployment.
const FIRST_PARTS: u64 = 83;
/// The bound of the users on the time after the fifth crash.
const STABLE: Duration = Duration::from_secs(3);
const MAX_CRASHES: usize = 5;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns a crash under `parts` of a request that no other crash has.
fn crash(parts: &[SuspectKey], replica: u32, at: Duration, progress: Progress) -> Crash {
    Crash {
        parts: parts.into(),
        request: FIRST_REQUEST + u64::from(replica),
        id: "r".into(),
        ran: ms(50),
        replica,
        at,
        progress,
        is_down: true,
    }
}

/// Returns an answer that went on under `key`.
const fn kept(key: SuspectKey, at: Duration) -> Kept {
    Kept {
        key,
        at,
        is_complete: false,
    }
}

fn refused(quarantine: &Quarantine, now: Duration) -> Vec<SuspectKey> {
    let suspects = quarantine.suspects().into_iter();
    let refused = suspects.filter(|(_, status)| status.refused_for(now).is_some());
    let mut refused: Vec<_> = refused.map(|(part, _)| part).collect();
    refused.sort_unstable();
    refused
}

/// What routers send each other.
#[derive(Clone)]
enum Message {
    Crash(Crash),
    Kept(Kept),
}

#[derive(Default)]
struct Router {
    quarantine: Quarantine,
    /// The last kept answer under each part.
    kept: HashMap<SuspectKey, Duration>,
    is_cut: bool,
}

struct Running {
    request: SuspectKey,
    router: usize,
    replica: usize,
    parts: SmallVec<[SuspectKey; 4]>,
    begins_at: Duration,
    /// When the answer has gone on for long enough to clear its parts.
    kept_at: Duration,
}

/// Requests over routers and replicas, and messages between the routers.
struct World {
    rng: ChaCha8Rng,
    now: Duration,
    routers: Vec<Router>,
    /// Until when each replica is down.
    down_until: Vec<Duration>,
    incarnations: Vec<u32>,
    running: Vec<Running>,
    next_request: SuspectKey,
    messages: Vec<(Duration, usize, Message)>,
    max_delay: Duration,
    /// The times at which a deadly part ended a replica.
    crashes: Vec<Duration>,
    /// The requests with a deadly part that reached a replica.
    sent_deadly: Vec<Duration>,
    /// The refused requests without a deadly part.
    refused_sound: usize,
}

impl World {
    fn new(seed: u64, routers: usize, replicas: usize, max_delay: Duration) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: ms(1_000),
            routers: (0..routers).map(|_| Router::default()).collect(),
            down_until: vec![Duration::ZERO; replicas],
            incarnations: (0..).take(replicas).collect(),
            running: Vec::new(),
            next_request: FIRST_REQUEST,
            messages: Vec::new(),
            max_delay,
            crashes: Vec::new(),
            sent_deadly: Vec::new(),
            refused_sound: 0,
        }
    }

    fn send(&mut self, router: usize, parts: SmallVec<[SuspectKey; 4]>) {
        let is_deadly = parts.iter().any(|part| *part >= DEADLY);
        let refused = refused(&self.routers[router].quarantine, self.now);
        if parts.iter().any(|part| refused.contains(part)) {
            self.refused_sound += usize::from(!is_deadly);
            return;
        }
        let up: Vec<usize> = (0..self.down_until.len())
            .filter(|index| self.down_until[*index] <= self.now)
            .collect();
        if up.is_empty() {
            return;
        }
        if is_deadly {
            self.sent_deadly.push(self.now);
        }
        let begins_at = self.now + ms(self.rng.random_range(50..900));
        self.next_request += 1;
        self.running.push(Running {
            request: self.next_request,
            router,
            replica: up[self.rng.random_range(0..up.len())],
            parts,
            begins_at,
            kept_at: begins_at + ms(40),
        });
    }

    /// Sends each router's knowledge to all others, late.
    fn broadcast(&mut self, from: usize, message: &Message) {
        for to in 0..self.routers.len() {
            if to != from && !self.routers[from].is_cut && !self.routers[to].is_cut {
                let delay = self.rng.random_range(Duration::ZERO..=self.max_delay);
                self.messages.push((self.now + delay, to, message.clone()));
            }
        }
    }

    fn handle(&mut self, to: usize, message: Message) {
        match message {
            Message::Kept(kept) => {
                self.routers[to].quarantine.record_kept(kept);
            }
            Message::Crash(crash) => {
                let parts = crash.parts.clone();
                if self.routers[to].quarantine.record_crash(crash) {
                    for part in parts {
                        if let Some(at) = self.routers[to].kept.get(&part).copied() {
                            self.record_kept(to, part, at);
                        }
                    }
                }
            }
        }
    }

    fn record_kept(&mut self, router: usize, part: SuspectKey, at: Duration) {
        let quarantine = &mut self.routers[router].quarantine;
        let was_known = quarantine.has_kept(part);
        if quarantine.record_kept(kept(part, at)) || !was_known {
            self.broadcast(router, &Message::Kept(kept(part, at)));
        }
    }

    /// Ends a replica, with all that it was answering.
    fn end_replica(&mut self, replica: usize) {
        self.down_until[replica] = self.now + ms(3_000);
        let incarnation = self.incarnations[replica];
        self.incarnations[replica] += 10_000;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running: &Running| running.replica == replica);
        self.running = running;
        for request in ended {
            let progress = if request.begins_at <= self.now {
                Progress::Begun
            } else {
                Progress::Waiting
            };
            let crash = Crash {
                request: request.request,
                ..crash(&request.parts, incarnation, self.now, progress)
            };
            self.handle(request.router, Message::Crash(crash.clone()));
            self.broadcast(request.router, &Message::Crash(crash));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, waiting) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, ..): &(Duration, usize, Message)| *at <= now);
        self.messages = waiting;
        for (_, to, message) in due {
            self.handle(to, message);
        }
        let deadly = self.running.iter().find(|running| {
            running.begins_at <= now && running.parts.iter().any(|part| *part >= DEADLY)
        });
        if let Some(replica) = deadly.map(|running| running.replica) {
            self.crashes.push(now);
            self.end_replica(replica);
        }
        let (kept, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|running: &Running| running.kept_at <= now);
        self.running = running;
        for Running { router, parts, .. } in kept {
            for part in parts {
                self.routers[router].kept.insert(part, now);
                self.record_kept(router, part, now);
            }
        }
    }

    /// Runs for `time` with `per_s` requests a second, of which the share `deadly` has the part that `deadly_part`
    /// returns behind a first part.
    fn run(
        &mut self,
        time: Duration,
        per_s: f64,
        deadly: f64,
        deadly_part: impl Fn(u64) -> (SuspectKey, SuspectKey),
    ) {
        let until = self.now + time;
        while self.now < until {
            self.step();
            if !self.rng.random_bool(per_s * STEP.as_secs_f64()) {
                continue;
            }
            let router = self.rng.random_range(0..self.routers.len());
            let first = self.rng.random_range(0..FIRST_PARTS);
            let parts = if self.rng.random_bool(deadly) {
                let (before, part) = deadly_part(self.rng.random());
                smallvec![before, part]
            } else {
                smallvec![first]
            };
            self.send(router, parts);
        }
    }

    fn assert_bound(&self, parts: usize, what: &str) {
        let late = self.crashes.get(MAX_CRASHES * parts - 1).map_or(0, |last| {
            let late = self.sent_deadly.iter().filter(|at| **at > *last + STABLE);
            late.count()
        });
        assert!(late <= 3, "{what}: {late} requests later than the bound");
        assert!(!self.sent_deadly.is_empty(), "{what}: nothing was tried");
    }
}

#[parameterized(
    in_touch = { 9, 12, 0 },
    with_delay = { 9, 12, 300 },
    large = { 195, 63, 300 },
)]
fn refusal_deadly_part_stops_within_the_bound(routers: usize, replicas: usize, delay_ms: u64) {
    for seed in 0..20 {
        let mut world = World::new(seed, routers, replicas, ms(delay_ms));
        world.run(ms(30_000), 40.0, 0.05, |_| (7, DEADLY));
        world.assert_bound(1, "one part");
        assert!(
            world.crashes.len() <= MAX_CRASHES + 3,
            "seed {seed}: {} crashes",
            world.crashes.len()
        );
        assert_eq!(world.refused_sound, 0, "seed {seed}");
    }
}

#[test]
fn refusal_two_deadly_parts_behind_one_first_part_are_told_apart() {
    for seed in 0..20 {
        let mut world = World::new(seed, 9, 24, ms(100));
        let part = |random| {
            (
                7,
                if random % 2 == 0 {
                    DEADLY
                } else {
                    OTHER_DEADLY
                },
            )
        };
        world.run(ms(30_000), 40.0, 0.1, part);
        world.assert_bound(2, "two parts");
        assert_eq!(world.refused_sound, 0, "seed {seed}");
    }
}

#[test]
fn refusal_deadly_first_part_is_found_behind_changing_later_parts() {
    for seed in 0..20 {
        let mut world = World::new(seed, 9, 24, ms(100));
        world.run(ms(30_000), 40.0, 0.05, |random| {
            (DEADLY, random % FIRST_PARTS)
        });
        world.assert_bound(1, "first part");
        assert_eq!(world.refused_sound, 0, "seed {seed}");
    }
}

#[test]
fn refusal_rack_that_loses_power_refuses_nothing() {
    for seed in 0..20 {
        let mut world = World::new(seed, 9, 24, ms(100));
        for _ in 0..6 {
            world.run(ms(4_000), 60.0, 0.0, |_| (0, 0));
            (0..8).for_each(|replica| world.end_replica(replica));
        }
        world.run(ms(4_000), 60.0, 0.0, |_| (0, 0));
        assert_eq!(world.refused_sound, 0, "seed {seed}");
    }
}

#[test]
fn refusal_rack_that_loses_power_does_not_hide_a_deadly_part() {
    for seed in 0..20 {
        let mut world = World::new(seed, 9, 24, ms(100));
        for _ in 0..6 {
            world.run(ms(4_000), 60.0, 0.05, |_| (7, DEADLY));
            (0..8).for_each(|replica| world.end_replica(replica));
        }
        world.assert_bound(1, "beside racks");
        assert_eq!(world.refused_sound, 0, "seed {seed}");
    }
}

#[test]
fn refusal_hot_part_beside_random_crashes_is_never_refused() {
    for seed in 0..20 {
        let mut world = World::new(seed, 9, 24, ms(300));
        for replica in (0..24).chain(0..24) {
            // Nine of ten requests share one part.
            world.run(ms(500), 60.0, 0.9, |random| (3, 4 + random % 2));
            world.end_replica(replica);
        }
        assert_eq!(world.refused_sound, 0, "seed {seed}");
    }
}

#[test]
fn refusal_router_that_was_cut_off_decides_alone_and_catches_up() {
    let mut world = World::new(1, 9, 24, ms(50));
    world.routers[0].is_cut = true;
    world.run(ms(20_000), 40.0, 0.05, |_| (7, DEADLY));
    assert_eq!(refused(&world.routers[1].quarantine, world.now), [DEADLY]);
    // What any other router knows is enough, in any order and more than once.
    let known: Vec<Crash> = world.routers[1].quarantine.crashes().to_vec();
    for crash in known.iter().rev().chain(&known) {
        world.routers[0].quarantine.record_crash(crash.clone());
    }
    let answers: Vec<_> = world.routers[1].quarantine.kept().collect();
    for kept in answers {
        world.routers[0].quarantine.record_kept(kept);
    }
    assert_eq!(refused(&world.routers[0].quarantine, world.now), [DEADLY]);
}

#[test]
fn record_crash_repeated_counts_once() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.record_crash(crash(&[1], 5, ms(1_000), Progress::Waiting)));
    assert!(quarantine.record_crash(crash(&[1], 5, ms(1_400), Progress::Begun)));
    assert!(!quarantine.record_crash(crash(&[1], 5, ms(1_800), Progress::Begun)));
    assert_eq!(quarantine.crashes().len(), 1);
    assert_eq!(quarantine.suspects()[&1].points, 5);
}

#[test]
fn record_crash_without_parts_counts_against_its_request_only() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.record_crash(crash(&[], 6, ms(2_000), Progress::Begun)));
    let suspects: Vec<_> = quarantine.suspects().into_keys().collect();
    assert_eq!(suspects, [FIRST_REQUEST + 6]);
}

#[test]
fn record_kept_clears_crashes_before_it_only() {
    let mut quarantine = Quarantine::default();
    for (replica, at) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        quarantine.record_crash(crash(&[1, 2], replica, ms(at), Progress::Begun));
    }
    assert_eq!(
        refused(&quarantine, ms(3_100)),
        [2],
        "the later part of equal ones"
    );
    assert!(quarantine.record_kept(kept(2, ms(2_500))));
    assert_eq!(refused(&quarantine, ms(3_100)), [1]);
    assert!(quarantine.record_kept(kept(1, ms(3_000))));
    assert_eq!(refused(&quarantine, ms(3_100)), [0; 0]);
    let late = crash(&[1], 4, ms(2_900), Progress::Begun);
    quarantine.record_crash(late);
    assert!(
        !quarantine.suspects().contains_key(&1),
        "it was cleared before it arrived"
    );
}

#[test]
fn refusal_ends_and_begins_again_with_the_next_crash() {
    let mut quarantine = Quarantine::default();
    for (replica, at) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        quarantine.record_crash(crash(&[1], replica, ms(at), Progress::Begun));
    }
    let left = quarantine.suspects()[&1].refused_for(ms(63_000));
    assert_eq!(left, Some(Duration::from_mins(9)));
    let released_at = ms(3_000) + Duration::from_mins(10);
    assert_eq!(refused(&quarantine, released_at), [0; 0]);
    quarantine.record_crash(crash(&[1], 4, released_at, Progress::Begun));
    assert_eq!(refused(&quarantine, released_at), [1]);
    quarantine.expire(released_at + Duration::from_hours(1));
    assert!(quarantine.suspects().is_empty());
}

#[test]
fn record_crash_many_are_bounded_and_strong_ones_stay() {
    let mut quarantine = Quarantine::default();
    for replica in 0..3 {
        let at = ms(1_000 * u64::from(replica));
        quarantine.record_crash(crash(&[1], replica, at, Progress::Begun));
    }
    for replica in 10..2_000 {
        quarantine.record_crash(crash(
            &[u64::from(replica)],
            replica,
            ms(9_000),
            Progress::Waiting,
        ));
    }
    assert!(quarantine.crashes().len() <= 256);
    assert_eq!(refused(&quarantine, ms(9_000)), [1]);
}

#[test]
fn kept_parts_are_bounded_and_keep_the_newest() {
    let mut kept = KeptParts::default();
    for part in 0..100_000 {
        kept.record(part, ms(part));
    }
    assert_eq!(kept.last(99_999, ms(100_000)), Some(ms(99_999)));
    assert_eq!(kept.last(0, ms(100_000)), None);
    let later = ms(99_999) + Duration::from_mins(2);
    assert_eq!(kept.last(99_999, later), None);
    // All at the same time: dropping older ones does not help.
    for part in 0..100_000 {
        kept.record(part, later);
    }
    assert_eq!(kept.last(99_999, later), Some(later));
}
