//! Whole requests that crash replicas, replayed over many routers in virtual time.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::smallvec;
use yare::parameterized;

use crate::request::quarantine::{
    Crash, Kept, MIN_RUN, Progress, Quarantine, SuspectKey, Suspects,
};

const STEP: Duration = Duration::from_millis(5);
const DEADLY: SuspectKey = 1;
const OTHER_DEADLY: SuspectKey = 2;
const HOT: SuspectKey = 3;
/// The keys of requests that come once begin here.
const FIRST_UNIQUE: SuspectKey = 1_000;
const REPLICAS: usize = 3;
const SLOTS: usize = 6;
/// How long a deadly request runs before it crashes its replica.
const CRASH_DELAY: Duration = Duration::from_millis(90);
/// How long a crashed replica is away.
const RESTART_TIME: Duration = Duration::from_millis(3_000);
/// How long after a crash a router reports it, once it knows that the replica is down.
const REPORT_DELAY: Duration = Duration::from_millis(30);
/// The bound of the users on the time after the third crash.
const STABLE: Duration = Duration::from_secs(3);
const MAX_CRASHES: usize = 3;
const MAX_LATE: usize = 3;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// How often a request may run, for the replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A router may repeat it.
    Idempotent,
    /// Only its caller may.
    NonIdempotent,
}

#[derive(Clone)]
enum Message {
    Crash(Crash),
    Kept(Kept),
}

#[derive(Default)]
struct Router {
    quarantine: Quarantine,
    suspects: Suspects,
}

#[derive(Clone)]
struct InFlight {
    id: u64,
    key: SuspectKey,
    router: usize,
    /// The attempts that replicas broke off before.
    lost_attempts: u32,
    sent_at: Duration,
    run_time: Duration,
    /// When the replica began to run it.
    began_at: Option<Duration>,
}

struct Replica {
    incarnation: u32,
    down_until: Duration,
    in_flight: Vec<InFlight>,
}

/// Requests over routers and replicas, and messages between the routers.
struct World {
    rng: ChaCha8Rng,
    kind: Kind,
    now: Duration,
    routers: Vec<Router>,
    replicas: Vec<Replica>,
    messages: Vec<(Duration, usize, Message)>,
    max_delay: Duration,
    next_id: u64,
    /// When a deadly request crashed a replica, with its key.
    crashes: Vec<(Duration, SuspectKey)>,
    /// The deadly requests that reached replicas.
    arrivals: Vec<(Duration, SuspectKey)>,
    /// Sound requests that were sent, and those that were refused.
    sound: usize,
    refused_sound: usize,
}

/// The share of the requests under each of a few keys; the others come once.
type Mix<'a> = &'a [(SuspectKey, f64)];

impl World {
    fn new(seed: u64, kind: Kind, routers: usize, replicas: usize, max_delay: Duration) -> Self {
        let replica = |incarnation| Replica {
            incarnation,
            down_until: Duration::ZERO,
            in_flight: Vec::new(),
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            kind,
            now: ms(10_000),
            routers: (0..routers).map(|_| Router::default()).collect(),
            replicas: (0..).take(replicas).map(replica).collect(),
            messages: Vec::new(),
            max_delay,
            next_id: FIRST_UNIQUE,
            crashes: Vec::new(),
            arrivals: Vec::new(),
            sound: 0,
            refused_sound: 0,
        }
    }

    fn is_deadly(key: SuspectKey) -> bool {
        key == DEADLY || key == OTHER_DEADLY
    }

    /// Sends a request that has just come or that its router repeats.
    fn send(&mut self, mut request: InFlight) {
        let status = self.routers[request.router].suspects.get(&request.key);
        if status.is_some_and(|status| status.refused_for(self.now).is_some()) {
            self.refused_sound += usize::from(!Self::is_deadly(request.key));
            return;
        }
        let up: Vec<usize> = (0..self.replicas.len())
            .filter(|index| self.replicas[*index].down_until <= self.now)
            .collect();
        let Some(replica) = up.choose(&mut self.rng) else {
            return;
        };
        if Self::is_deadly(request.key) {
            self.arrivals.push((self.now, request.key));
        }
        request.sent_at = self.now;
        request.began_at = None;
        self.replicas[*replica].in_flight.push(request);
    }

    fn arrive(&mut self, key: SuspectKey) {
        self.sound += usize::from(!Self::is_deadly(key));
        self.next_id += 1;
        let request = InFlight {
            id: self.next_id,
            key,
            router: self.rng.random_range(0..self.routers.len()),
            lost_attempts: 0,
            sent_at: self.now,
            run_time: ms(self.rng.random_range(20..60)),
            began_at: None,
        };
        self.send(request);
    }

    fn broadcast(&mut self, from: usize, delay: Duration, message: &Message) {
        for to in (0..self.routers.len()).filter(|to| *to != from) {
            let link = self.rng.random_range(Duration::ZERO..=self.max_delay);
            self.messages
                .push((self.now + delay + link, to, message.clone()));
        }
        self.messages
            .push((self.now + delay, from, message.clone()));
    }

    fn handle(&mut self, to: usize, message: Message) {
        let router = &mut self.routers[to];
        let is_news = match message {
            Message::Kept(kept) => router.quarantine.record_kept(kept),
            Message::Crash(crash) => router.quarantine.record_crash(crash),
        };
        if is_news {
            router.suspects = router.quarantine.suspects();
        }
    }

    /// Ends a replica, with all that it has.
    fn end_replica(&mut self, index: usize) {
        let now = self.now;
        let replica = &mut self.replicas[index];
        replica.down_until = now + RESTART_TIME;
        let incarnation = replica.incarnation;
        replica.incarnation += 1_000;
        for mut request in std::mem::take(&mut replica.in_flight) {
            let ran = now - request.sent_at;
            let crash = Crash {
                parts: smallvec![],
                request: request.key,
                id: request.id.to_string().into(),
                ran,
                replica: incarnation,
                at: now,
                progress: Progress::Waiting,
                is_down: true,
            };
            self.broadcast(request.router, REPORT_DELAY, &Message::Crash(crash));
            request.lost_attempts += u32::from(ran >= MIN_RUN);
            let status = self.routers[request.router].suspects.get(&request.key);
            let allows_resend = status.is_none_or(|status| status.allows_resend());
            if self.kind == Kind::Idempotent && request.lost_attempts <= 1 && allows_resend {
                self.send(request);
            }
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
        for index in 0..self.replicas.len() {
            let in_flight = &mut self.replicas[index].in_flight;
            for request in in_flight.iter_mut().take(SLOTS) {
                request.began_at.get_or_insert(now);
            }
            let has_run_for =
                |request: &InFlight, time| request.began_at.is_some_and(|at| now >= at + time);
            let deadly = in_flight
                .iter()
                .find(|request| Self::is_deadly(request.key) && has_run_for(request, CRASH_DELAY));
            if let Some(key) = deadly.map(|request| request.key) {
                self.crashes.push((now, key));
                self.end_replica(index);
                continue;
            }
            let (answered, left) =
                std::mem::take(in_flight)
                    .into_iter()
                    .partition(|request: &InFlight| {
                        !Self::is_deadly(request.key) && has_run_for(request, request.run_time)
                    });
            *in_flight = left;
            self.record_answers(answered);
        }
    }

    fn record_answers(&mut self, answered: Vec<InFlight>) {
        for InFlight { key, router, .. } in answered {
            if self.routers[router].suspects.contains_key(&key) {
                let (now, quarantine) = (self.now, &mut self.routers[router].quarantine);
                let kept = answer(key, now);
                if quarantine.record_kept(kept) {
                    self.routers[router].suspects = self.routers[router].quarantine.suspects();
                    self.broadcast(router, ms(0), &Message::Kept(kept));
                }
            }
        }
    }

    /// Runs for `time` with `per_s` requests a second.
    fn run(&mut self, time: Duration, per_s: f64, mix: Mix) {
        let until = self.now + time;
        while self.now < until {
            self.step();
            if !self.rng.random_bool(per_s * STEP.as_secs_f64()) {
                continue;
            }
            let mut choice: f64 = self.rng.random();
            let key = mix.iter().find_map(|(key, share)| {
                choice -= share;
                (choice < 0.0).then_some(*key)
            });
            self.arrive(key.unwrap_or(self.next_id + 1));
        }
    }

    /// Returns how often requests with `key` reached replicas later than the bound.
    fn late(&self, key: SuspectKey) -> usize {
        let mut crashes = self.crashes.iter().filter(|(_, known)| *known == key);
        let Some((third_at, _)) = crashes.nth(MAX_CRASHES - 1) else {
            return 0;
        };
        let late =
            |(at, known): &&(Duration, SuspectKey)| *known == key && *at > *third_at + STABLE;
        self.arrivals.iter().filter(late).count()
    }

    fn assert_bound(&self, key: SuspectKey, what: &str) {
        let late = self.late(key);
        assert!(
            late <= MAX_LATE,
            "{what}: {late} requests later than the bound, crashes {:?}, arrivals {:?}",
            self.crashes,
            self.arrivals
        );
        assert!(!self.arrivals.is_empty(), "{what}: nothing was tried");
    }
}

#[parameterized(
    idempotent_in_touch = { Kind::Idempotent, 9, 0 },
    idempotent_with_delay = { Kind::Idempotent, 9, 300 },
    idempotent_large = { Kind::Idempotent, 195, 300 },
    non_idempotent_in_touch = { Kind::NonIdempotent, 9, 0 },
    non_idempotent_with_delay = { Kind::NonIdempotent, 9, 300 },
    non_idempotent_large = { Kind::NonIdempotent, 195, 300 },
)]
fn refusal_deadly_request_stops_within_the_bound(kind: Kind, routers: usize, delay_ms: u64) {
    let mut worst = (0, 0, 0);
    for seed in 0..20 {
        let mut world = World::new(seed, kind, routers, REPLICAS, ms(delay_ms));
        world.run(ms(30_000), 100.0, &[(DEADLY, 0.05)]);
        worst = worst.max((world.late(DEADLY), world.crashes.len(), world.refused_sound));
        world.assert_bound(DEADLY, "one request");
        assert_eq!(world.refused_sound, 0, "seed {seed}");
    }
    println!("{kind:?} {routers} {delay_ms}: {worst:?}");
}

#[parameterized(
    in_touch = { 0 },
    with_delay = { 300 },
)]
fn refusal_hot_sound_request_beside_a_deadly_one_is_served(delay_ms: u64) {
    let mut worst = (0, 0, 0);
    for seed in 0..50 {
        let mut world = World::new(seed, Kind::Idempotent, 9, REPLICAS, ms(delay_ms));
        world.run(ms(30_000), 100.0, &[(DEADLY, 0.05), (HOT, 0.6)]);
        worst = worst.max((world.late(DEADLY), world.crashes.len(), world.refused_sound));
        world.assert_bound(DEADLY, "beside a hot one");
        assert!(
            world.refused_sound * 20 <= world.sound,
            "seed {seed}: {} of {} refused",
            world.refused_sound,
            world.sound
        );
    }
    println!("hot {delay_ms}: {worst:?}");
}

#[test]
fn refusal_two_deadly_requests_at_once_are_both_refused() {
    let mut worst = (0, 0, 0);
    for seed in 0..20 {
        let mut world = World::new(seed, Kind::Idempotent, 9, REPLICAS, ms(100));
        let mix = [(DEADLY, 0.03), (OTHER_DEADLY, 0.03), (HOT, 0.3)];
        world.run(ms(40_000), 100.0, &mix);
        worst = worst.max((
            world.late(DEADLY),
            world.late(OTHER_DEADLY),
            world.refused_sound,
        ));
        world.assert_bound(DEADLY, "first of two");
        world.assert_bound(OTHER_DEADLY, "second of two");
        assert!(world.refused_sound * 20 <= world.sound, "seed {seed}");
    }
    println!("two: {worst:?}");
}

#[test]
fn refusal_crashes_of_a_domain_do_not_hide_a_deadly_request() {
    for seed in 0..20 {
        let mut world = World::new(seed, Kind::Idempotent, 9, 9, ms(100));
        for _ in 0..6 {
            world.run(ms(4_000), 100.0, &[(DEADLY, 0.05), (HOT, 0.3)]);
            (0..3).for_each(|replica| world.end_replica(replica));
        }
        world.assert_bound(DEADLY, "beside domains");
        assert!(world.refused_sound * 20 <= world.sound, "seed {seed}");
    }
}

#[test]
fn refusal_crashes_of_a_domain_refuse_nothing() {
    for seed in 0..20 {
        let mut world = World::new(seed, Kind::Idempotent, 9, 9, ms(100));
        for _ in 0..6 {
            world.run(ms(4_000), 100.0, &[(HOT, 0.5)]);
            (0..3).for_each(|replica| world.end_replica(replica));
        }
        world.run(ms(4_000), 100.0, &[(HOT, 0.5)]);
        assert_eq!(world.refused_sound, 0, "seed {seed}");
    }
}

fn request_crash(key: SuspectKey, replica: u32, at: Duration, ran: Duration) -> Crash {
    Crash {
        parts: smallvec![],
        request: key,
        id: "r".into(),
        ran,
        replica,
        at,
        progress: Progress::Waiting,
        is_down: true,
    }
}

const fn answer(key: SuspectKey, at: Duration) -> Kept {
    Kept {
        key,
        at,
        is_complete: true,
    }
}

fn refused(quarantine: &Quarantine) -> Vec<SuspectKey> {
    let suspects = quarantine.suspects().into_iter();
    let refused = suspects.filter(|(_, status)| status.refused_until.is_some());
    let mut refused: Vec<_> = refused.map(|(key, _)| key).collect();
    refused.sort_unstable();
    refused
}

#[test]
fn refusal_requests_that_ran_together_at_all_crashes_are_told_apart_by_an_answer_or_a_crash() {
    let mut quarantine = Quarantine::default();
    for (replica, at) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        quarantine.record_crash(request_crash(DEADLY, replica, ms(at), ms(90)));
        quarantine.record_crash(request_crash(HOT, replica, ms(at), ms(25)));
    }
    assert_eq!(refused(&quarantine), [DEADLY], "the one that ran longest");
    quarantine.record_kept(answer(DEADLY, ms(3_500)));
    assert_eq!(refused(&quarantine), [HOT], "the other one was answered");
    quarantine.record_kept(answer(HOT, ms(3_600)));
    assert_eq!(refused(&quarantine), [0; 0]);
}

#[test]
fn refusal_request_of_each_crash_is_refused_instead_of_one_of_most() {
    let mut quarantine = Quarantine::default();
    for (replica, at) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        quarantine.record_crash(request_crash(HOT, replica, ms(at), ms(300)));
        quarantine.record_crash(request_crash(DEADLY, replica, ms(at), ms(90)));
    }
    quarantine.record_crash(request_crash(DEADLY, 4, ms(4_000), ms(90)));
    assert_eq!(refused(&quarantine), [DEADLY]);
}

#[parameterized(
    same_moment = { 1_010, 5 },
    later = { 1_030, 10 },
)]
fn suspects_crashes_shortly_after_one_another_count(second_at: u64, points: u32) {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(request_crash(DEADLY, 1, ms(1_000), ms(90)));
    quarantine.record_crash(request_crash(DEADLY, 2, ms(second_at), ms(90)));
    assert_eq!(quarantine.suspects()[&DEADLY].points, points);
}

#[test]
fn suspects_request_that_broke_at_once_is_weak_evidence() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(request_crash(DEADLY, 1, ms(1_000), ms(2)));
    assert_eq!(quarantine.suspects()[&DEADLY].points, 3);
}

#[test]
fn suspects_crash_reported_late_counts_from_its_first_report() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(request_crash(HOT, 1, ms(1_000), ms(20)));
    quarantine.record_crash(request_crash(FIRST_UNIQUE, 2, ms(1_005), ms(30)));
    quarantine.record_crash(request_crash(HOT, 2, ms(1_300), ms(20)));
    assert_eq!(quarantine.suspects()[&HOT].points, 5);
}

#[test]
fn expire_forgets_requests_with_one_crash_sooner() {
    let mut quarantine = Quarantine::default();
    quarantine.record_crash(request_crash(FIRST_UNIQUE, 1, ms(1_000), ms(20)));
    for (replica, at) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        quarantine.record_crash(request_crash(DEADLY, replica, ms(at), ms(90)));
    }
    quarantine.expire(ms(1_000) + Duration::from_mins(10));
    assert!(!quarantine.suspects().contains_key(&FIRST_UNIQUE));
    assert_eq!(quarantine.suspects()[&DEADLY].points, 15);
}

#[test]
fn record_crash_many_single_requests_leave_the_repeated_one() {
    let mut quarantine = Quarantine::default();
    for (replica, at) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        quarantine.record_crash(request_crash(DEADLY, replica, ms(at), ms(90)));
    }
    for replica in 10..2_000 {
        let key = FIRST_UNIQUE + u64::from(replica);
        quarantine.record_crash(request_crash(key, replica, ms(9_000), ms(20)));
    }
    assert!(quarantine.crashes().len() <= 256);
    assert_eq!(refused(&quarantine), [DEADLY]);
}
