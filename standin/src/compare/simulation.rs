//! A discrete-event simulation of one policy in virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use crocuswharf::PromptPrefix;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Ablation;
use super::baselines::{Baselines, DecisionContext, PolicyKind};
use super::block_holders::{BlockHolders, RemovalCause};
use super::engine::{Engine, Job, Prefill};
use super::faults::Faults;
use super::report::{PolicyReport, percentile};
use super::routers::{RouterAction, RouterEvent, Routers};
use super::scenario::{Scenario, ZONES};
use super::workload::{Arrival, Arrivals, prompt_prefix};

const SAME_ZONE_DELAY: Duration = Duration::from_micros(100);
const OTHER_ZONE_DELAY: Duration = Duration::from_micros(500);
/// The one-way network delay between a client and its router.
const CLIENT_DELAY: Duration = Duration::from_millis(1);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The delay from taking a load report to its arrival at the routers.
const REPORT_LAG: Duration = Duration::from_millis(250);
/// The time from an engine's crash until the router sees its connection close.
const DISCONNECT_DELAY: Duration = Duration::from_millis(10);
/// The time from an engine's crash until all routers have ejected it.
const EJECTION_DELAY: Duration = Duration::from_millis(50);
const ENGINE_DOWNTIME: Duration = Duration::from_secs(3);
/// The time from an engine's restart until the routers use it again.
const ENGINE_DISCOVERY_DELAY: Duration = Duration::from_millis(300);
const ROUTER_DOWNTIME: Duration = Duration::from_secs(1);
/// The time until the other routers learn that a router stopped or started.
const MEMBERSHIP_DELAY: Duration = Duration::from_millis(500);
/// The fraction of cache event batches that are lost, without and with the `gaps` fault.
const EVENT_LOSS: f64 = 0.02;
const EVENT_LOSS_GAPS: f64 = 0.4;
/// Each crash time stops one in this many replicas.
const REPLICAS_PER_CRASH: usize = 20;
/// When engines crash and routers restart, as fractions of the measured time.
const CRASH_TIMES: [f64; 2] = [0.2, 0.6];
const RESTART_TIME: f64 = 0.45;

/// Returns the one-way network delay between two availability zones.
pub(crate) fn delay_between(zone: usize, other: usize) -> Duration {
    if zone == other {
        SAME_ZONE_DELAY
    } else {
        OTHER_ZONE_DELAY
    }
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Delivered {
        request: usize,
        replica: usize,
    },
    Refused {
        request: usize,
        replica: usize,
    },
    PrefillEnd {
        replica: usize,
        incarnation: u64,
    },
    DecodeEnd {
        replica: usize,
        incarnation: u64,
        request: usize,
    },
    FirstToken {
        request: usize,
        cached_tokens: u32,
        instance: u64,
    },
    ReportsDue,
    ReportsArrive {
        at: Duration,
        waiting: Vec<u32>,
        waiting_tokens: Vec<u64>,
        in_flight: Vec<u64>,
    },
    Crash(usize),
    Ejected(usize),
    EngineUp(usize),
    EngineDiscovered(usize),
    RoutersDown,
    RoutersUp,
    MembersUpdated,
    Router(RouterEvent),
}

#[derive(Debug)]
struct ScheduledEvent {
    at: Duration,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Orders the earliest event first in a [`BinaryHeap`], which is a max-heap.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// The state of one request.
#[derive(Clone, Debug, Default)]
struct RequestState {
    entry: usize,
    dispatched_at: Duration,
    expected_warm_tokens: u32,
    expected_ttft: Duration,
    ttft: Option<Duration>,
    failed: bool,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    arrivals: &'a Arrivals,
    faults: Faults,
    kind: PolicyKind,
    now: Duration,
    event_queue: BinaryHeap<ScheduledEvent>,
    sequence: u64,
    engines: Vec<Engine>,
    holders: BlockHolders,
    /// The holders of each block after all queued jobs have run. Only maintained for the oracle.
    projected_holders: BlockHolders,
    baselines: Baselines,
    routers: Routers,
    router_is_up: Vec<bool>,
    requests: Vec<RequestState>,
    report: PolicyReport,
    decisions_us: Vec<f64>,
    cached_tokens: u64,
    shared_tokens: u64,
    cached_error: (f64, f64),
    wait_error: (f64, f64),
    rng: ChaCha8Rng,
    fault_rng: ChaCha8Rng,
}

/// Simulates all arrivals under one policy and returns its results.
pub(crate) fn simulate(
    scenario: &Scenario,
    arrivals: &Arrivals,
    faults: Faults,
    kind: PolicyKind,
    ablation: Ablation,
    seed: u64,
) -> PolicyReport {
    let engine = || {
        Engine::new(
            scenario.prefill_tokens_per_second,
            scenario.decode_slots,
            scenario.cache_tokens,
        )
    };
    let mut simulation = Simulation {
        scenario,
        arrivals,
        faults,
        kind,
        now: Duration::ZERO,
        event_queue: BinaryHeap::new(),
        sequence: 0,
        engines: (0..scenario.replicas).map(|_| engine()).collect(),
        holders: BlockHolders::default(),
        projected_holders: BlockHolders::default(),
        baselines: Baselines::new(scenario.routers, scenario.replicas, scenario.oracle_price),
        routers: Routers::new(scenario, kind, ablation, faults, seed),
        router_is_up: vec![true; scenario.routers],
        requests: vec![RequestState::default(); arrivals.arrivals.len()],
        report: PolicyReport::default(),
        decisions_us: Vec::new(),
        cached_tokens: 0,
        shared_tokens: 0,
        cached_error: (0.0, 0.0),
        wait_error: (0.0, 0.0),
        rng: ChaCha8Rng::seed_from_u64(seed ^ 0xdec1de),
        fault_rng: ChaCha8Rng::seed_from_u64(seed ^ 0xfa17),
    };
    simulation.run();
    simulation.into_report()
}

impl Simulation<'_> {
    fn run(&mut self) {
        for (index, engine) in self.engines.iter_mut().enumerate() {
            engine.instance = self.routers.instance(index);
        }
        self.schedule(self.arrivals.arrivals[0].at, Event::Arrive(0));
        self.schedule(REPORT_INTERVAL, Event::ReportsDue);
        self.schedule_faults();
        while let Some(next) = self.event_queue.pop() {
            self.now = next.at;
            self.handle_event(next.event);
            self.apply_router_actions();
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.event_queue.push(ScheduledEvent {
            at,
            sequence: self.sequence,
            event,
        });
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule(self.now + delay, event);
    }

    fn schedule_faults(&mut self) {
        let span = self.arrivals.end - self.arrivals.measured_from;
        let at = |share: f64| self.arrivals.measured_from + span.mul_f64(share);
        let (crashes, restart) = (CRASH_TIMES.map(at), at(RESTART_TIME));
        if self.faults.crash {
            for at in crashes {
                for _ in 0..self.engines.len().div_ceil(REPLICAS_PER_CRASH) {
                    let replica = self.fault_rng.random_range(0..self.engines.len());
                    self.schedule(at, Event::Crash(replica));
                }
            }
        }
        if self.faults.restart && self.router_is_up.len() > 1 {
            self.schedule(restart, Event::RoutersDown);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Delivered { request, replica } => self.deliver(request, replica),
            Event::Refused { request, replica } => self.route(request, Some(replica)),
            Event::PrefillEnd {
                replica,
                incarnation,
            } => self.prefill_end(replica, incarnation),
            Event::DecodeEnd {
                replica,
                incarnation,
                request,
            } => self.decode_end(replica, incarnation, request),
            Event::FirstToken {
                request,
                cached_tokens,
                instance,
            } => {
                let entry = self.requests[request].entry;
                if self.router_is_up[entry] {
                    self.routers.record_first_token(
                        request,
                        entry,
                        cached_tokens,
                        instance,
                        self.now,
                    );
                }
            }
            Event::ReportsDue => self.send_reports(),
            Event::ReportsArrive {
                at,
                waiting,
                waiting_tokens,
                in_flight,
            } => {
                self.routers.load_reports(at, &waiting, self.now);
                self.baselines.load.update(at, waiting_tokens, in_flight);
            }
            Event::Crash(replica) => self.crash(replica),
            Event::Ejected(replica) => {
                self.baselines.is_up[replica] = false;
                self.routers.set_available(replica, false);
            }
            Event::EngineUp(replica) => {
                self.engines[replica].is_up = true;
                self.schedule_after(ENGINE_DISCOVERY_DELAY, Event::EngineDiscovered(replica));
            }
            Event::EngineDiscovered(replica) => {
                self.baselines.is_up[replica] = true;
                let incarnation = self.engines[replica].incarnation;
                self.routers.set_identity(replica, incarnation);
                self.engines[replica].instance = self.routers.instance(replica);
            }
            Event::RoutersDown => self.stop_routers(),
            Event::RoutersUp => {
                self.router_is_up.fill(true);
                self.routers.restart_routers(&self.router_is_up);
                self.schedule_after(MEMBERSHIP_DELAY, Event::MembersUpdated);
            }
            Event::MembersUpdated => {
                let up = self.router_is_up.clone();
                self.routers.update_members(&up, self.now);
            }
            Event::Router(event) => {
                self.routers.handle_event(event, self.now);
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        if request + 1 < self.arrivals.arrivals.len() {
            let at = self.arrivals.arrivals[request + 1].at;
            self.schedule(at, Event::Arrive(request + 1));
        }
        let up: Vec<_> = (0..self.router_is_up.len())
            .filter(|&r| self.router_is_up[r])
            .collect();
        let entry = self.arrivals.arrivals[request].entry as usize % up.len();
        self.requests[request].entry = up[entry];
        self.route(request, None);
    }

    fn arrival(&self, request: usize) -> Arrival {
        self.arrivals.arrivals[request]
    }

    fn prefix(&self, request: usize) -> PromptPrefix {
        prompt_prefix(self.scenario, &self.arrival(request))
    }

    fn route(&mut self, request: usize, excluded: Option<usize>) {
        if !self.router_is_up[self.requests[request].entry] {
            let up = self.router_is_up.iter().position(|&up| up);
            self.requests[request].entry = up.unwrap_or(0);
        }
        let prefix = self.prefix(request);
        let router = self.requests[request].entry;
        let started = Instant::now();
        if self.kind == PolicyKind::Crocuswharf {
            self.routers
                .route(request, router, prefix, excluded, self.now);
            return;
        }
        let context = DecisionContext {
            router,
            prefix: &prefix,
            now: self.now,
            excluded,
        };
        let chosen = self.baselines.choose(
            self.kind,
            &context,
            &self.engines,
            &self.projected_holders,
            &mut self.rng,
        );
        self.record_decision_time(started);
        match chosen {
            Some(replica) => self.dispatch(request, replica),
            None => self.requests[request].failed = true,
        }
    }

    fn record_decision_time(&mut self, started: Instant) {
        self.decisions_us
            .push(started.elapsed().as_secs_f64() * 1e6);
    }

    fn apply_router_actions(&mut self) {
        self.decisions_us.extend(self.routers.take_decisions_us());
        for (at, event) in self.routers.take_events() {
            self.schedule(at, Event::Router(event));
        }
        for action in self.routers.take_actions() {
            match action {
                RouterAction::Dispatch {
                    request,
                    position,
                    expected_warm_tokens,
                    expected_ttft,
                } => {
                    let state = &mut self.requests[request];
                    state.expected_warm_tokens = expected_warm_tokens;
                    state.expected_ttft = expected_ttft;
                    self.dispatch(request, position);
                }
                RouterAction::Fail { request } => self.requests[request].failed = true,
            }
        }
    }

    fn dispatch(&mut self, request: usize, replica: usize) {
        let entry = self.requests[request].entry;
        self.requests[request].dispatched_at = self.now;
        let delay = delay_between(entry % ZONES, replica % ZONES);
        self.schedule_after(delay, Event::Delivered { request, replica });
    }

    fn deliver(&mut self, request: usize, replica: usize) {
        if !self.engines[replica].is_up {
            self.report.retried += 1;
            self.schedule_after(OTHER_ZONE_DELAY, Event::Refused { request, replica });
            return;
        }
        let mut job = Job {
            request,
            uncached_tokens: 0,
            prefix: self.prefix(request),
            decode: Duration::from_secs_f64(
                f64::from(self.arrival(request).answer_tokens) * self.scenario.token_interval_secs,
            ),
        };
        if self.kind == PolicyKind::Oracle {
            self.project_job(replica, &mut job);
        }
        let engine = &mut self.engines[replica];
        engine.queue.push_back(job);
        if self.kind == PolicyKind::Oracle {
            engine.project_free_at(self.now);
        }
        self.start_prefill(replica);
    }

    fn project_job(&mut self, replica: usize, job: &mut Job) {
        let engine = &mut self.engines[replica];
        let answer_tokens = self.arrivals.arrivals[job.request].answer_tokens;
        engine.project_job(job, answer_tokens);
        for key in engine.projected_cache.stored.drain(..) {
            self.projected_holders.add(key, replica);
        }
        for key in engine.projected_cache.evicted.drain(..) {
            self.projected_holders
                .remove(key, replica, RemovalCause::Evicted);
        }
    }

    fn start_prefill(&mut self, replica: usize) {
        let engine = &mut self.engines[replica];
        let incarnation = engine.incarnation;
        let Some(end) = engine.start_prefill(self.now) else {
            return;
        };
        let request = engine.prefill.as_ref().map(|p| p.job.request);
        self.schedule(
            end,
            Event::PrefillEnd {
                replica,
                incarnation,
            },
        );
        if let Some(request) = request {
            self.record_prefill(request, replica);
        }
    }

    /// Counts the cached and recomputed tokens of a prefill when it starts.
    fn record_prefill(&mut self, request: usize, replica: usize) {
        if request < self.arrivals.first_measured {
            return;
        }
        let Some(prefill) = &self.engines[replica].prefill else {
            return;
        };
        let prefix = &prefill.job.prefix;
        let shared_blocks = prefix.blocks.len() - 1;
        let cached = super::engine::prefix_tokens(prefix, prefill.cached_blocks.min(shared_blocks));
        self.shared_tokens += u64::from(prefix.shared_tokens());
        self.cached_tokens += u64::from(cached);
        let mut start = cached;
        for block in &prefix.blocks[prefill.cached_blocks.min(shared_blocks)..shared_blocks] {
            let tokens = u64::from(block.end_tokens - start);
            start = block.end_tokens;
            self.report.recomputed_tokens += tokens;
            if self
                .holders
                .is_avoidable(crocuswharf::level_key(block.hash))
            {
                self.report.avoidable_recomputed_tokens += tokens;
            }
        }
        let expected = f64::from(self.requests[request].expected_warm_tokens);
        self.cached_error.0 += (expected - f64::from(cached)).abs();
        self.cached_error.1 += 1.0;
    }

    fn prefill_end(&mut self, replica: usize, incarnation: u64) {
        if self.engines[replica].incarnation != incarnation {
            return;
        }
        let Some(prefill) = self.engines[replica].prefill.take() else {
            return;
        };
        self.store(replica, &prefill);
        let decode = prefill.job.decode;
        self.engines[replica].decode_ends.push(self.now + decode);
        self.schedule_after(
            decode,
            Event::DecodeEnd {
                replica,
                incarnation,
                request: prefill.job.request,
            },
        );
        self.send_first_token(replica, &prefill);
        self.start_prefill(replica);
    }

    fn decode_end(&mut self, replica: usize, incarnation: u64, request: usize) {
        if self.engines[replica].incarnation != incarnation {
            return;
        }
        self.engines[replica].running -= 1;
        let now = self.now;
        self.engines[replica].decode_ends.retain(|&end| end > now);
        self.start_prefill(replica);
        let entry = self.requests[request].entry;
        if self.kind == PolicyKind::Crocuswharf && self.router_is_up[entry] {
            let cell = self.routers.cell_of(replica);
            let instance = self.engines[replica].instance;
            self.routers
                .record_finish(request, entry, cell, instance, self.now);
        }
    }

    fn send_first_token(&mut self, replica: usize, prefill: &Prefill) {
        let request = prefill.job.request;
        let delay = delay_between(self.requests[request].entry % ZONES, replica % ZONES);
        let arrived = self.arrival(request).at;
        let state = &mut self.requests[request];
        let at = self.now + delay;
        state.ttft = Some(at + CLIENT_DELAY * 2 - arrived);
        if request >= self.arrivals.first_measured {
            let took = at.saturating_sub(state.dispatched_at);
            self.wait_error.0 += took.abs_diff(state.expected_ttft).as_secs_f64();
            self.wait_error.1 += 1.0;
        }
        let cached_tokens = prefill.cached_tokens;
        let instance = self.engines[replica].instance;
        self.schedule_after(
            delay,
            Event::FirstToken {
                request,
                cached_tokens,
                instance,
            },
        );
    }

    fn store(&mut self, replica: usize, prefill: &Prefill) {
        let cache = &mut self.engines[replica].cache;
        let (stored, evicted) = (cache.stored.len(), cache.evicted.len());
        cache.store(
            &prefill.job.prefix,
            self.arrivals.arrivals[prefill.job.request].answer_tokens,
        );
        for &key in &cache.stored[stored..] {
            self.holders.add(key, replica);
        }
        for &key in &cache.evicted[evicted..] {
            self.holders.remove(key, replica, RemovalCause::Evicted);
        }
    }

    fn send_reports(&mut self) {
        if self.now > self.arrivals.end + REPORT_INTERVAL {
            return;
        }
        let waiting = self.engines.iter().map(|e| e.waiting() as u32).collect();
        let waiting_tokens = self.engines.iter().map(Engine::waiting_tokens).collect();
        let in_flight = self
            .engines
            .iter()
            .map(|e| (e.queue.len() + e.running) as u64)
            .collect();
        self.schedule_after(
            REPORT_LAG,
            Event::ReportsArrive {
                at: self.now,
                waiting,
                waiting_tokens,
                in_flight,
            },
        );
        self.publish_cache_events();
        self.schedule_after(REPORT_INTERVAL, Event::ReportsDue);
    }

    fn publish_cache_events(&mut self) {
        let loss = if self.faults.gaps {
            EVENT_LOSS_GAPS
        } else {
            EVENT_LOSS
        };
        for replica in 0..self.engines.len() {
            let evicted = std::mem::take(&mut self.engines[replica].cache.evicted);
            self.engines[replica].cache.stored.clear();
            let lost = self.fault_rng.random::<f64>() < loss;
            if !lost && self.engines[replica].is_up {
                self.routers.cache_events(replica, evicted, self.now);
            }
        }
    }

    fn crash(&mut self, replica: usize) {
        if !self.engines[replica].is_up {
            return;
        }
        let keys: Vec<_> = self.engines[replica].cache.keys().collect();
        for key in keys {
            self.holders.remove(key, replica, RemovalCause::Crashed);
        }
        let keys: Vec<_> = self.engines[replica].projected_cache.keys().collect();
        for key in keys {
            self.projected_holders
                .remove(key, replica, RemovalCause::Crashed);
        }
        for job in self.engines[replica].crash() {
            self.report.retried += 1;
            self.schedule_after(
                DISCONNECT_DELAY,
                Event::Refused {
                    request: job.request,
                    replica,
                },
            );
        }
        self.schedule_after(EJECTION_DELAY, Event::Ejected(replica));
        self.schedule_after(ENGINE_DOWNTIME, Event::EngineUp(replica));
    }

    fn stop_routers(&mut self) {
        let count = self.router_is_up.len();
        let first = self.fault_rng.random_range(0..count);
        for index in 0..(count / 3).max(1) {
            let router = (first + index * 2) % count;
            self.router_is_up[router] = false;
        }
        let up = self.router_is_up.clone();
        self.routers.set_routers_up(&up);
        self.schedule_after(MEMBERSHIP_DELAY, Event::MembersUpdated);
        self.schedule_after(ROUTER_DOWNTIME, Event::RoutersUp);
    }

    fn into_report(mut self) -> PolicyReport {
        let measured = &self.requests[self.arrivals.first_measured..];
        let mut ttft: Vec<f64> = measured
            .iter()
            .filter_map(|r| r.ttft)
            .map(|t| t.as_secs_f64() * 1e3)
            .collect();
        ttft.sort_unstable_by(f64::total_cmp);
        self.decisions_us.sort_unstable_by(f64::total_cmp);
        let failed = measured.iter().filter(|r| r.ttft.is_none()).count();
        let round = |value: f64, scale: f64| (value * scale).round() / scale;
        let mut report = PolicyReport {
            name: self.kind.name(),
            requests: measured.len(),
            failed,
            prefix_hit_rate: round(
                self.cached_tokens as f64 / self.shared_tokens.max(1) as f64,
                1e5,
            ),
            ttft_ms_p50: round(percentile(&ttft, 0.5), 1e2),
            ttft_ms_p95: round(percentile(&ttft, 0.95), 1e2),
            ttft_ms_p99: round(percentile(&ttft, 0.99), 1e2),
            decision_us_p50: round(percentile(&self.decisions_us, 0.5), 1e2),
            expected_warm_error_tokens: round(
                self.cached_error.0 / self.cached_error.1.max(1.0),
                1.0,
            ),
            expected_wait_error_ms: round(
                self.wait_error.0 / self.wait_error.1.max(1.0) * 1e3,
                1e2,
            ),
            ..self.report
        };
        self.routers
            .fill_report(&mut report, self.arrivals.end.as_secs_f64());
        report
    }
}
