//! Requests with prompts that crash replicas, beside other suspects, replayed over many routers in virtual time.

use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use yare::parameterized;

use crate::request::quarantine::{
    Crash, Kept, MIN_RUN, Progress, Quarantine, SuspectKey, SuspectKind, Suspects,
};

const STEP: Duration = Duration::from_millis(5);
/// Parts of prompts.
const FIRST: SuspectKey = 10;
const SECOND: SuspectKey = 11;
const OTHER_FIRST: SuspectKey = 12;
const DEADLY_PART: SuspectKey = 13;
/// Requests that come again.
const DEADLY: SuspectKey = 1;
const DEADLY_PLAIN: SuspectKey = 2;
const HOT: SuspectKey = 3;
/// The keys of requests that come once begin here.
const FIRST_UNIQUE: SuspectKey = 1_000_000;
/// The users' bound on the time after the last crash that counts.
const STABLE: Duration = Duration::from_secs(3);
const MAX_LATE: usize = 3;
/// The crashes after which the verdict on a whole request, and on a part, is due.
const REQUEST_CRASHES: usize = 3;
const PART_CRASHES: usize = 5;
/// How long a crashed replica is away.
const RESTART_TIME: Duration = Duration::from_millis(2_500);
/// How long after a crash a router reports it, once it knows that the replica is down.
const REPORT_DELAY: Duration = Duration::from_millis(30);
/// The same for an attempt that was dropped with its caller.
const DROPPED_REPORT_DELAY: Duration = Duration::from_millis(300);
/// The time between two events of an answer.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
const EVENTS: u32 = 8;
const FLEETS: [Range<usize>; 2] = [0..12, 12..18];

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The replicas that run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Service {
    Model,
    Plain,
}

/// When a request crashes its replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashPoint {
    Never,
    /// This time after it was sent, without a response.
    BeforeHead(Duration),
    /// This time after the head of the response.
    AfterHead(Duration),
    /// In the middle of the event after this many complete ones.
    InEvent(u32),
}

/// Requests that come at intervals.
#[derive(Clone)]
struct Source {
    service: Service,
    parts: SmallVec<[SuspectKey; 4]>,
    /// The key of the whole request; `None` if it is another one each time.
    key: Option<SuspectKey>,
    point: CrashPoint,
    /// Whether a router may repeat it.
    is_idempotent: bool,
    interval: Duration,
    /// How many come at once.
    batch: usize,
    /// How long its callers wait before they leave.
    patience: Duration,
    next_at: Duration,
}

#[derive(Clone)]
struct InFlight {
    source: usize,
    key: SuspectKey,
    router: usize,
    lost_attempts: u32,
    sent_at: Duration,
    head_at: Duration,
    has_left: bool,
}

#[derive(Default)]
struct Replica {
    incarnation: u32,
    down_until: Duration,
    in_flight: Vec<InFlight>,
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
    /// The last kept answer under each part.
    kept: HashMap<SuspectKey, Duration>,
}

/// What became of the requests of one source.
#[derive(Clone, Default)]
struct Record {
    crashes: Vec<Duration>,
    arrivals: Vec<Duration>,
    sent: usize,
    refused: usize,
}

struct World {
    rng: ChaCha8Rng,
    now: Duration,
    routers: Vec<Router>,
    replicas: Vec<Replica>,
    sources: Vec<Source>,
    records: Vec<Record>,
    messages: Vec<(Duration, usize, Message)>,
    max_delay: Duration,
    next_unique: SuspectKey,
}

fn source(parts: &[SuspectKey], key: Option<SuspectKey>, interval: Duration) -> Source {
    Source {
        service: Service::Model,
        parts: parts.into(),
        key,
        point: CrashPoint::Never,
        is_idempotent: true,
        interval,
        batch: 1,
        patience: Duration::MAX,
        next_at: Duration::ZERO,
    }
}

/// Returns the sound traffic beside: hot and unique prompts under the given parts and under others, and plain requests.
fn sound_traffic(parts: &[SuspectKey]) -> Vec<Source> {
    let plain = Source {
        service: Service::Plain,
        ..source(&[], None, ms(20))
    };
    vec![
        source(parts, Some(HOT), ms(40)),
        source(parts, Some(HOT + 1), ms(40)),
        source(parts, None, ms(40)),
        source(&[OTHER_FIRST], None, ms(40)),
        plain.clone(),
        Source {
            key: Some(HOT + 2),
            ..plain
        },
    ]
}

impl World {
    fn new(seed: u64, routers: usize, max_delay: Duration, sources: Vec<Source>) -> Self {
        let replicas = (0..FLEETS[1].end as u32).map(|incarnation| Replica {
            incarnation,
            ..Replica::default()
        });
        let records = vec![Record::default(); sources.len()];
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: ms(10_000),
            routers: (0..routers).map(|_| Router::default()).collect(),
            replicas: replicas.collect(),
            sources,
            records,
            messages: Vec::new(),
            max_delay,
            next_unique: FIRST_UNIQUE,
        }
    }

    fn arrive(&mut self, index: usize) {
        self.next_unique += 1;
        self.records[index].sent += 1;
        let router = self.rng.random_range(0..self.routers.len());
        self.send(InFlight {
            source: index,
            key: self.sources[index].key.unwrap_or(self.next_unique),
            router,
            lost_attempts: 0,
            sent_at: self.now,
            head_at: self.now,
            has_left: false,
        });
    }

    fn send(&mut self, mut request: InFlight) {
        let source = &self.sources[request.source];
        let suspects = &self.routers[request.router].suspects;
        let mut keys = source.parts.iter().copied().chain([request.key]);
        let is_refused = keys.any(|key| {
            let status = suspects.get(&key);
            status.is_some_and(|status| status.refused_for(self.now).is_some())
        });
        if is_refused {
            self.records[request.source].refused += 1;
            return;
        }
        let fleet = FLEETS[source.service as usize].clone();
        let is_up = |index: &usize| self.replicas[*index].down_until <= self.now;
        let up: Vec<usize> = fleet.filter(is_up).collect();
        if up.is_empty() {
            return;
        }
        // Most requests go to the preferred replica of their prefix, if it is up.
        let preferred = source.parts.first().copied().unwrap_or(request.key) as usize % up.len();
        let index = if source.service == Service::Model && self.rng.random_bool(0.7) {
            up[preferred]
        } else {
            up[self.rng.random_range(0..up.len())]
        };
        request.sent_at = self.now;
        request.head_at = self.now + ms(self.rng.random_range(15..60));
        self.records[request.source].arrivals.push(self.now);
        self.replicas[index].in_flight.push(request);
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
        let mut recalled = Vec::new();
        let router = &mut self.routers[to];
        let is_news = match message {
            Message::Kept(kept) => router.quarantine.record_kept(kept),
            Message::Crash(crash) => {
                let parts = crash.parts.clone();
                let is_news = router.quarantine.record_crash(crash);
                for key in parts.into_iter().filter(|_| is_news) {
                    let known = router.kept.get(&key).copied();
                    if let Some(at) = known.filter(|_| !router.quarantine.has_kept(key)) {
                        let kept = Kept {
                            key,
                            at,
                            is_complete: false,
                        };
                        router.quarantine.record_kept(kept);
                        recalled.push(kept);
                    }
                }
                is_news
            }
        };
        if is_news {
            router.suspects = router.quarantine.suspects();
        }
        for kept in recalled {
            self.broadcast(to, REPORT_DELAY, &Message::Kept(kept));
        }
    }

    /// Returns the number of complete events that have arrived of a request; `None` before its head.
    fn events(&self, request: &InFlight) -> Option<u32> {
        let since_head = self.now.checked_sub(request.head_at)?;
        let events = since_head.as_millis() / EVENT_INTERVAL.as_millis();
        let most = match self.sources[request.source].point {
            CrashPoint::Never => EVENTS,
            CrashPoint::BeforeHead(_) => return None,
            CrashPoint::AfterHead(_) => 0,
            CrashPoint::InEvent(events) => events,
        };
        u32::try_from(events).ok().map(|events| events.min(most))
    }

    fn crashes_now(&self, request: &InFlight) -> bool {
        match self.sources[request.source].point {
            CrashPoint::Never => false,
            CrashPoint::BeforeHead(time) => self.now >= request.sent_at + time,
            CrashPoint::AfterHead(time) => self.now >= request.head_at + time,
            CrashPoint::InEvent(events) => {
                self.now >= request.head_at + EVENT_INTERVAL * (events + 1)
            }
        }
    }

    fn end_replica(&mut self, index: usize) {
        let now = self.now;
        let replica = &mut self.replicas[index];
        replica.down_until = now + RESTART_TIME;
        let incarnation = replica.incarnation;
        replica.incarnation += 1_000;
        for mut request in std::mem::take(&mut replica.in_flight) {
            let source = self.sources[request.source].clone();
            let crash = Crash {
                parts: source.parts.clone(),
                request: request.key,
                id: "r".into(),
                ran: now - request.sent_at,
                replica: incarnation,
                at: now,
                progress: self
                    .events(&request)
                    .map_or(Progress::Waiting, Progress::of_events),
                is_down: true,
            };
            let delay = if request.has_left {
                DROPPED_REPORT_DELAY
            } else {
                REPORT_DELAY
            };
            let ran = crash.ran;
            self.broadcast(request.router, delay, &Message::Crash(crash));
            request.lost_attempts += u32::from(ran >= MIN_RUN);
            let suspects = &self.routers[request.router].suspects;
            let mut keys = source.parts.iter().copied().chain([request.key]);
            let allows_resend = keys.all(|key| {
                let status = suspects.get(&key);
                status.is_none_or(|status| status.allows_resend())
            });
            let may_repeat = source.is_idempotent && !request.has_left;
            if may_repeat && request.lost_attempts <= 1 && allows_resend {
                self.send(request);
            }
        }
    }

    fn record_kept(&mut self, request: &InFlight, is_complete: bool) {
        let (now, router) = (self.now, request.router);
        let parts = self.sources[request.source].parts.clone();
        for part in &parts {
            self.routers[router].kept.insert(*part, now);
        }
        for key in parts.into_iter().chain([request.key]) {
            let kept = Kept {
                key,
                at: now,
                is_complete,
            };
            let known = &mut self.routers[router];
            if known.suspects.contains_key(&key) && known.quarantine.record_kept(kept) {
                known.suspects = known.quarantine.suspects();
                self.broadcast(router, ms(0), &Message::Kept(kept));
            }
        }
    }

    fn step_replica(&mut self, index: usize) {
        let in_flight = std::mem::take(&mut self.replicas[index].in_flight);
        let mut left = Vec::new();
        let mut answered = Vec::new();
        for mut request in in_flight {
            let patience = self.sources[request.source].patience;
            request.has_left |= self.now.saturating_sub(request.sent_at) >= patience;
            let went_on_at = request.head_at + 2 * EVENT_INTERVAL;
            if self.events(&request) >= Some(2) && self.now < went_on_at + STEP {
                answered.push((request.clone(), false));
            }
            if self.events(&request) == Some(EVENTS) {
                answered.push((request, true));
            } else {
                left.push(request);
            }
        }
        self.replicas[index].in_flight = left;
        for (request, is_complete) in answered {
            self.record_kept(&request, is_complete);
        }
        let in_flight = &self.replicas[index].in_flight;
        if let Some(request) = in_flight.iter().find(|request| self.crashes_now(request)) {
            self.records[request.source].crashes.push(self.now);
            self.end_replica(index);
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            let now = self.now;
            let (due, waiting) = std::mem::take(&mut self.messages)
                .into_iter()
                .partition(|(at, ..): &(Duration, usize, Message)| *at <= now);
            self.messages = waiting;
            for (_, to, message) in due {
                self.handle(to, message);
            }
            for index in 0..self.sources.len() {
                if self.sources[index].next_at <= now {
                    let jitter = self.rng.random_range(0.7..1.3);
                    let source = &mut self.sources[index];
                    source.next_at = now + source.interval.mul_f64(jitter);
                    (0..source.batch).for_each(|_| self.arrive(index));
                }
            }
            (0..self.replicas.len()).for_each(|index| self.step_replica(index));
        }
    }

    /// Asserts that requests of `source` reached replicas rarely after its verdict was due, and that sound ones were not
    /// refused.
    fn assert_bounds(&self, source: usize, crashes: usize, what: &str) {
        let record = &self.records[source];
        assert!(!record.crashes.is_empty(), "{what}: nothing crashed");
        let due_at = record.crashes.get(crashes - 1);
        let late = due_at.map_or(0, |due_at| {
            let late = |at: &&Duration| **at > *due_at + STABLE;
            record.arrivals.iter().filter(late).count()
        });
        assert!(
            late <= MAX_LATE,
            "{what}: {late} late, crashes {:?}",
            record.crashes
        );
        self.assert_sound_is_served(what);
    }

    fn assert_sound_is_served(&self, what: &str) {
        for (source, record) in self.sources.iter().zip(&self.records) {
            if source.point == CrashPoint::Never {
                assert!(
                    record.refused * 20 <= record.sent,
                    "{what}: {} of {} sound requests refused, parts {:?} key {:?}",
                    record.refused,
                    record.sent,
                    source.parts,
                    source.key
                );
            }
        }
    }

    fn refused_sound(&self) -> usize {
        let sound = self.sources.iter().zip(&self.records);
        let sound = sound.filter(|(source, _)| source.point == CrashPoint::Never);
        sound.map(|(_, record)| record.refused).sum()
    }
}

fn deadly(parts: &[SuspectKey], point: CrashPoint, interval: Duration) -> Source {
    Source {
        point,
        ..source(parts, Some(DEADLY), interval)
    }
}

/// Replays `sources` and sound traffic under `parts`, each with several seeds.
fn replay(
    routers: usize,
    delay: Duration,
    sources: &[Source],
    parts: &[SuspectKey],
    seeds: u64,
) -> Vec<World> {
    let worlds = (0..seeds).map(|seed| {
        let sources = sources.iter().cloned().chain(sound_traffic(parts));
        let mut world = World::new(seed, routers, delay, sources.collect());
        world.run(ms(30_000));
        world
    });
    worlds.collect()
}

#[parameterized(
    before_head_3 = { CrashPoint::BeforeHead(ms(80)), 3 },
    before_head_9 = { CrashPoint::BeforeHead(ms(80)), 9 },
    after_head_3 = { CrashPoint::AfterHead(ms(40)), 3 },
    after_head_9 = { CrashPoint::AfterHead(ms(40)), 9 },
    in_first_event_9 = { CrashPoint::InEvent(1), 9 },
    in_later_event_9 = { CrashPoint::InEvent(4), 9 },
)]
fn refusal_request_with_a_prompt_stops_within_the_bound(point: CrashPoint, routers: usize) {
    let prompts: [&[SuspectKey]; 3] = [&[FIRST], &[FIRST, SECOND], &[]];
    let mut worst = (0, 0);
    for (parts, interval_ms) in prompts
        .into_iter()
        .flat_map(|parts| [100, 600, 3_000].map(|ms| (parts, ms)))
    {
        for delay_ms in [0, 300] {
            for is_idempotent in [true, false] {
                let source = Source {
                    is_idempotent,
                    ..deadly(parts, point, ms(interval_ms))
                };
                for (seed, world) in replay(routers, ms(delay_ms), &[source], parts, 3)
                    .iter()
                    .enumerate()
                {
                    let what = format!(
                        "{parts:?} every {interval_ms} ms, delay {delay_ms} ms, idempotent {is_idempotent}, seed {seed}"
                    );
                    world.assert_bounds(0, REQUEST_CRASHES, &what);
                    worst = worst.max((world.records[0].crashes.len(), world.refused_sound()));
                }
            }
        }
    }
    println!("{point:?} {routers}: {worst:?}");
}

#[test]
fn refusal_request_with_a_prompt_stops_within_the_bound_over_many_routers() {
    for point in [
        CrashPoint::BeforeHead(ms(80)),
        CrashPoint::AfterHead(ms(40)),
    ] {
        let source = deadly(&[FIRST], point, ms(600));
        for world in replay(195, ms(300), &[source], &[FIRST], 2) {
            world.assert_bounds(0, REQUEST_CRASHES, &format!("{point:?}"));
        }
    }
}

#[test]
fn refusal_request_whose_callers_have_left_stops_within_the_bound() {
    for interval_ms in [100, 600, 3_000] {
        let source = Source {
            patience: ms(60),
            ..deadly(&[FIRST], CrashPoint::BeforeHead(ms(80)), ms(interval_ms))
        };
        for world in replay(9, ms(100), &[source], &[FIRST], 10) {
            world.assert_bounds(0, REQUEST_CRASHES, &format!("{interval_ms} ms"));
        }
    }
}

#[test]
fn refusal_plain_request_and_one_with_a_prompt_at_once_are_both_found() {
    let plain = Source {
        service: Service::Plain,
        key: Some(DEADLY_PLAIN),
        ..deadly(&[], CrashPoint::BeforeHead(ms(80)), ms(600))
    };
    let prompted = deadly(&[FIRST], CrashPoint::AfterHead(ms(40)), ms(600));
    for world in replay(9, ms(100), &[plain, prompted], &[FIRST], 10) {
        world.assert_bounds(0, REQUEST_CRASHES, "plain");
        world.assert_bounds(1, REQUEST_CRASHES, "with a prompt");
    }
}

/// Requests with a part that crashes replicas; no two are alike.
fn deadly_part(interval: Duration, batch: usize) -> Source {
    Source {
        batch,
        point: CrashPoint::AfterHead(ms(10)),
        ..source(&[OTHER_FIRST, DEADLY_PART], None, interval)
    }
}

#[test]
fn refusal_part_and_request_at_once_are_both_found() {
    for interval_ms in [300, 600, 1_500] {
        let part = deadly_part(ms(interval_ms), 1);
        let request = deadly(&[FIRST], CrashPoint::BeforeHead(ms(80)), ms(600));
        for world in replay(9, ms(100), &[part, request], &[FIRST], 10) {
            world.assert_bounds(0, PART_CRASHES, "part");
            world.assert_bounds(1, REQUEST_CRASHES, "request");
            let suspects = &world.routers[0].suspects;
            assert!(suspects[&DEADLY_PART].refused_until.is_some());
            assert_eq!(suspects[&DEADLY].kind, SuspectKind::Request);
        }
    }
}

#[parameterized(
    with_head = { CrashPoint::AfterHead(ms(10)) },
    without_head = { CrashPoint::BeforeHead(ms(60)) },
)]
fn refusal_part_in_batches_stops_after_the_first_ones(point: CrashPoint) {
    let part = Source {
        point,
        is_idempotent: false,
        ..deadly_part(ms(7_000), 8)
    };
    for world in replay(3, ms(0), &[part], &[FIRST], 10) {
        world.assert_bounds(0, PART_CRASHES, "batches");
    }
}

#[test]
fn refusal_part_is_not_refused_for_a_request_that_comes_again_under_it() {
    let request = deadly(&[FIRST, SECOND], CrashPoint::AfterHead(ms(40)), ms(600));
    for mut world in replay(9, ms(100), &[request], &[OTHER_FIRST], 10) {
        // No other request has these parts, so that no answer clears them.
        world.run(ms(5_000));
        for part in [FIRST, SECOND] {
            let status = world.routers[0].suspects.get(&part);
            assert!(status.is_none_or(|status| status.refused_until.is_none()));
        }
        world.assert_bounds(0, REQUEST_CRASHES, "without others");
    }
}

#[test]
fn refusal_zone_that_loses_power_hides_no_request_and_refuses_no_sound_one() {
    for has_deadly in [true, false] {
        for seed in 0..10 {
            let mut sources = sound_traffic(&[FIRST]);
            let source = deadly(&[FIRST], CrashPoint::AfterHead(ms(40)), ms(600));
            sources.splice(0..0, has_deadly.then_some(source));
            let mut world = World::new(seed, 9, ms(100), sources);
            for _ in 0..6 {
                world.run(ms(4_000));
                (0..4).for_each(|replica| world.end_replica(replica));
            }
            if has_deadly {
                world.assert_bounds(0, REQUEST_CRASHES, "beside zones");
            } else {
                assert_eq!(world.refused_sound(), 0, "seed {seed}");
            }
        }
    }
}

#[test]
fn refusal_hot_prompts_beside_random_crashes_are_never_refused() {
    for seed in 0..20 {
        let mut world = World::new(seed, 9, ms(300), sound_traffic(&[FIRST, SECOND]));
        for _ in 0..60 {
            world.run(ms(500));
            let replica = world.rng.random_range(0..FLEETS[1].end);
            world.end_replica(replica);
        }
        assert_eq!(world.refused_sound(), 0, "seed {seed}");
    }
}
