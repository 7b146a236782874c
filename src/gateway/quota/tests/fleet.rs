//! A fleet of routers on virtual time, with one account that floods them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{ACCOUNT, charge, ms, owner_limit};
use crate::gateway::quota::QuotaLimit;
use crate::gateway::quota::grants::{Acquired, OWNER_TIMEOUT, QuotaGrants, QuotaStep, Ticket};
use crate::gateway::quota::message::{QuotaReply, QuotaRequest};
use crate::gateway::quota::owned::OwnedQuotas;
use crate::id::RouterId;
use crate::membership::owner_of;

/// What may run in any window, as the users specify it.
#[derive(Clone, Copy)]
pub(super) struct Rule {
    pub(super) window: Duration,
    /// The factor by which more than the quota may run.
    pub(super) factor: f64,
    /// The units that may run in addition.
    pub(super) slack: f64,
    /// Whether the limit is one that requests name, which no configuration does.
    pub(super) is_unknown: bool,
}

const QUOTA_RULE: Rule = Rule {
    window: Duration::from_secs(8),
    factor: 1.1,
    slack: 190_000.0,
    is_unknown: false,
};

const TICK: Duration = ms(100);
/// How long a request waits for its decision, as in `gate.rs`.
const WAIT: Duration = ms(320);

/// What the fleet is exposed to.
#[derive(Clone, Copy)]
pub(super) struct Network {
    /// The share of messages that are lost.
    pub(super) lost: f64,
    /// The share of messages that are late by up to 600 ms.
    pub(super) late: f64,
}

enum Event {
    Tick(usize),
    Arrival(usize, u32),
    Asked(usize, usize, u64, QuotaRequest),
    Replied(usize, u64, Option<QuotaReply>),
    TimedOut(usize, Ticket, u32),
    Send(usize, u32, Duration),
}

struct Router {
    id: RouterId,
    is_up: bool,
    is_leaving: bool,
    paused_until: Duration,
    /// The part of the fleet that it reaches.
    part: u32,
    /// When it last heard from each router, and after which silence it takes that one for dead.
    heard: Vec<(Duration, Duration)>,
    grants: QuotaGrants,
    quotas: OwnedQuotas,
    fleet: usize,
    limit: QuotaLimit,
    waiting: BTreeMap<Ticket, u32>,
}

/// The routers, the messages between them and what has run at replicas.
pub(super) struct Fleet {
    pub(super) now: Duration,
    routers: Vec<Router>,
    events: BTreeMap<(Duration, u64), Event>,
    last_event: u64,
    rng: ChaCha8Rng,
    network: Network,
    rule: Rule,
    runs: VecDeque<(Duration, u32)>,
    in_window: u64,
    /// The limits in force at any router, with the time from which each counts.
    limits: VecDeque<(Duration, QuotaLimit)>,
    pub(super) total: u64,
    pub(super) refused: u64,
    pub(super) asked: u64,
    /// The largest part of the tolerance that any window has used.
    pub(super) worst: f64,
}

impl Fleet {
    /// Starts `count` routers that know each other.
    pub(super) fn new(count: usize, limit: QuotaLimit, network: Network, seed: u64) -> Self {
        Self::with_rule(count, limit, network, seed, QUOTA_RULE)
    }

    /// Starts `count` routers that know each other and are held to `rule`.
    pub(super) fn with_rule(
        count: usize,
        limit: QuotaLimit,
        network: Network,
        seed: u64,
        rule: Rule,
    ) -> Self {
        let mut fleet = Self {
            now: Duration::from_secs(1_000),
            routers: Vec::new(),
            events: BTreeMap::new(),
            last_event: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            network,
            rule,
            runs: VecDeque::new(),
            in_window: 0,
            limits: VecDeque::from([(Duration::ZERO, limit)]),
            total: 0,
            refused: 0,
            asked: 0,
            worst: 0.0,
        };
        for index in 0..count {
            let router = fleet.new_router(index, count, limit);
            fleet.routers.push(router);
            fleet.push(ms(index as u64 % 100), Event::Tick(index));
        }
        fleet
    }

    fn new_router(&mut self, index: usize, count: usize, limit: QuotaLimit) -> Router {
        let now = self.now;
        let heard = (0..count).map(|_| (now, ms(self.rng.random_range(1_000..2_500))));
        let heard = heard.collect();
        let mut quotas = OwnedQuotas::new(count, now);
        if self.rule.is_unknown {
            quotas.activate();
        } else {
            quotas.set_limits([(ACCOUNT, Some(owner_limit(limit)))].into_iter());
        }
        Router {
            id: Arc::from(format!("r{index}")),
            is_up: true,
            is_leaving: false,
            paused_until: Duration::ZERO,
            part: 0,
            heard,
            grants: QuotaGrants::default(),
            quotas,
            fleet: count,
            limit,
            waiting: BTreeMap::new(),
        }
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.last_event += 1;
        self.events
            .insert((self.now + after, self.last_event), event);
    }

    /// Sends requests of these costs to random routers, `per_s` in each second for `time`, after `start`.
    pub(super) fn load(&mut self, start: Duration, per_s: f64, costs: &[u32], time: Duration) {
        let count = (per_s * time.as_secs_f64()) as u64;
        for _ in 0..count {
            let at = start + time.mul_f64(self.rng.random_range(0.0..1.0));
            let router = self.rng.random_range(0..self.routers.len());
            let cost = costs[self.rng.random_range(0..costs.len())];
            self.push(at, Event::Arrival(router, cost));
        }
    }

    /// Returns the router that owns the account in its own view.
    pub(super) fn owner(&self) -> usize {
        let mut up = (0..self.routers.len()).filter(|index| self.routers[*index].is_up);
        up.find(|index| self.owner_seen_by(*index) == *index)
            .unwrap_or(0)
    }

    pub(super) fn kill(&mut self, index: usize) {
        self.routers[index].is_up = false;
        self.routers[index].waiting.clear();
    }

    /// Starts a router again, which then knows only the routers that it hears from.
    pub(super) fn restart(&mut self, index: usize) {
        let (count, limit) = (self.routers.len(), self.routers[index].limit);
        let mut router = self.new_router(index, count, limit);
        for (other, heard) in router.heard.iter_mut().enumerate() {
            if other != index {
                heard.0 = Duration::ZERO;
            }
        }
        self.routers[index] = router;
    }

    pub(super) fn leave(&mut self, index: usize) {
        self.routers[index].is_leaving = true;
    }

    pub(super) fn pause(&mut self, index: usize, time: Duration) {
        self.routers[index].paused_until = self.now + time;
    }

    /// Cuts the first `count` routers off from the others; 0 reconnects all.
    pub(super) fn cut(&mut self, count: usize) {
        for (index, router) in self.routers.iter_mut().enumerate() {
            router.part = u32::from(index < count);
        }
    }

    /// Changes the limit at one router, or at all with `None`; until all have changed, the larger limit is allowed.
    pub(super) fn set_limit(&mut self, index: Option<usize>, limit: QuotaLimit) {
        self.limits.push_back((self.now, limit));
        for (other, router) in self.routers.iter_mut().enumerate() {
            if index.is_none_or(|index| index == other) {
                router.limit = limit;
                if !self.rule.is_unknown {
                    let limit = Some(owner_limit(limit));
                    router.quotas.set_limits([(ACCOUNT, limit)].into_iter());
                }
            }
        }
    }

    /// Runs the fleet for `time` and checks the quota at each run.
    pub(super) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0;
            if at >= end {
                break;
            }
            let event = entry.remove();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let router = match &event {
            Event::Tick(router)
            | Event::Arrival(router, _)
            | Event::Asked(router, ..)
            | Event::Replied(router, ..)
            | Event::TimedOut(router, ..)
            | Event::Send(router, ..) => *router,
        };
        let paused_until = self.routers[router].paused_until;
        if self.now < paused_until {
            let wait = paused_until - self.now;
            return self.push(wait, event);
        }
        let is_up = self.routers[router].is_up;
        match event {
            Event::Tick(router) => {
                if is_up {
                    self.tick(router);
                }
                self.push(TICK, Event::Tick(router));
            }
            _ if !is_up => {}
            Event::Arrival(router, cost) => self.acquire(router, cost),
            Event::Asked(router, from, number, request) => {
                self.answer(router, from, number, &request)
            }
            Event::Replied(router, number, reply) => self.settle(router, number, reply.as_ref()),
            Event::TimedOut(router, ticket, cost) => self.time_out(router, ticket, cost),
            Event::Send(router, cost, until) => self.send(router, cost, until),
        }
    }

    fn is_connected(&self, left: usize, right: usize) -> bool {
        let (left, right) = (&self.routers[left], &self.routers[right]);
        left.is_up && right.is_up && left.part == right.part
    }

    fn sees(&self, router: usize, other: usize) -> bool {
        let (heard_at, limit) = self.routers[router].heard[other];
        other == router || self.now < heard_at + limit
    }

    fn owner_seen_by(&self, router: usize) -> usize {
        let seen = (0..self.routers.len()).filter(|other| self.sees(router, *other));
        let staying = seen.filter(|other| !self.routers[*other].is_leaving);
        let ids: Vec<_> = staying.map(|other| &self.routers[other].id).collect();
        let owner = owner_of(ACCOUNT, ids);
        let position = |id: &RouterId| self.routers.iter().position(|other| other.id == *id);
        owner.and_then(position).unwrap_or(router)
    }

    fn tick(&mut self, router: usize) {
        let now = self.now;
        for other in 0..self.routers.len() {
            let is_heard =
                self.is_connected(router, other) && now >= self.routers[other].paused_until;
            if is_heard {
                self.routers[router].heard[other].0 = now;
            }
        }
        let is_own = self.owner_seen_by(router) == router;
        let seen = (0..self.routers.len()).filter(|other| self.sees(router, *other));
        let seen: Vec<_> = seen
            .map(|other| {
                let other = &self.routers[other];
                (other.id.clone(), other.is_leaving)
            })
            .collect();
        let alive = seen.iter().map(|(id, is_leaving)| (id, *is_leaving));
        let router = &mut self.routers[router];
        let generation = now.as_millis() as u64;
        let update = router.quotas.update(alive, generation, |_| is_own, now);
        router.fleet = update.fleet;
        router.grants.expire(now);
    }

    fn acquire(&mut self, router: usize, cost: u32) {
        let at = &mut self.routers[router];
        let step = at
            .grants
            .acquire(&charge(at.limit, cost), at.fleet, self.now);
        match step {
            QuotaStep::Done(decision) => self.decided(router, cost, decision),
            QuotaStep::Wait(ticket) => {
                at.waiting.insert(ticket, cost);
                self.push(WAIT, Event::TimedOut(router, ticket, cost));
                self.ask(router);
            }
        }
    }

    fn decided(&mut self, router: usize, cost: u32, decision: Acquired) {
        match decision {
            Acquired::Granted(until) => {
                // From the grant to the send, a request may wait for a prefill and a connection.
                let wait = match self.rng.random_range(0..10) {
                    0 => ms(self.rng.random_range(0..700)),
                    _ => ms(self.rng.random_range(0..5)),
                };
                self.push(wait, Event::Send(router, cost, until));
            }
            Acquired::Denied(_) => self.refused += u64::from(cost),
        }
    }

    fn send(&mut self, router: usize, cost: u32, until: Duration) {
        if self.now >= until {
            return self.acquire(router, cost);
        }
        let at = &mut self.routers[router];
        let charged = charge(at.limit, cost);
        match self.rng.random_range(0..50) {
            // A replica has refused the request.
            0 => return at.grants.give_back(&charged, until, self.now),
            // The response broke, and the request was sent again; to a replica with a limit, it would need another token.
            1 if !self.rule.is_unknown => {
                at.grants.charge(&charged, at.fleet, self.now);
                self.record_run(cost);
                self.ask(router);
            }
            _ => {}
        }
        self.record_run(cost);
    }

    fn delay(&mut self) -> Option<Duration> {
        if self.rng.random_bool(self.network.lost) {
            return None;
        }
        if self.rng.random_bool(self.network.late) {
            return Some(ms(self.rng.random_range(1..600)));
        }
        Some(Duration::from_micros(self.rng.random_range(300..900)))
    }

    fn ask(&mut self, router: usize) {
        let Some(next) = self.routers[router].grants.next_request(ACCOUNT, self.now) else {
            return;
        };
        self.asked += 1;
        let owner = self.owner_seen_by(router);
        if owner == router {
            let reply = self.routers[router]
                .quotas
                .answer(&next.request, true, self.now);
            return self.settle(router, next.number, Some(&reply));
        }
        self.push(OWNER_TIMEOUT, Event::Replied(router, next.number, None));
        if self.is_connected(router, owner)
            && let Some(delay) = self.delay()
        {
            self.push(
                delay,
                Event::Asked(owner, router, next.number, next.request),
            );
        }
    }

    fn answer(&mut self, router: usize, from: usize, number: u64, request: &QuotaRequest) {
        let is_own = self.owner_seen_by(router) == router;
        let now = self.now;
        let reply = self.routers[router].quotas.answer(request, is_own, now);
        if self.is_connected(router, from)
            && let Some(delay) = self.delay()
        {
            self.push(delay, Event::Replied(from, number, Some(reply)));
        }
    }

    fn settle(&mut self, router: usize, number: u64, reply: Option<&QuotaReply>) {
        let grants = &mut self.routers[router].grants;
        let decisions = grants.settle(ACCOUNT, number, reply, self.now);
        self.deliver(router, decisions);
        self.ask(router);
    }

    fn time_out(&mut self, router: usize, ticket: Ticket, cost: u32) {
        let at = &mut self.routers[router];
        if at.waiting.remove(&ticket).is_none() {
            return;
        }
        let charged = charge(at.limit, cost);
        let (decision, others) = at.grants.time_out(&charged, ticket, self.now);
        self.decided(router, cost, decision);
        self.deliver(router, others);
        self.ask(router);
    }

    fn deliver(&mut self, router: usize, decisions: Vec<(Ticket, Acquired)>) {
        for (ticket, decision) in decisions {
            if let Some(cost) = self.routers[router].waiting.remove(&ticket) {
                self.decided(router, cost, decision);
            }
        }
    }

    /// Counts a run and checks the window that ends now.
    fn record_run(&mut self, cost: u32) {
        self.runs.push_back((self.now, cost));
        self.in_window += u64::from(cost);
        self.total += u64::from(cost);
        while let Some((at, cost)) = self.runs.front().copied()
            && at + self.rule.window <= self.now
        {
            self.runs.pop_front();
            self.in_window -= u64::from(cost);
        }
        let quota = self.allowed();
        let allowed = quota * self.rule.factor + self.rule.slack;
        let used = self.in_window as f64;
        self.worst = self.worst.max((used - quota) / (allowed - quota));
        assert!(
            used <= allowed,
            "{used} of {allowed} at {:?}",
            self.now - Duration::from_secs(1_000)
        );
    }

    /// Returns what the limits that were in force within the window allow in it.
    fn allowed(&self) -> f64 {
        let start = self.now.saturating_sub(self.rule.window);
        let (mut units, mut burst, mut until): (f64, f64, _) = (0.0, 0.0, self.now);
        for (from, limit) in self.limits.iter().rev() {
            let part = until.saturating_sub((*from).max(start));
            units += limit.rate_per_s * part.as_secs_f64();
            burst = burst.max(limit.burst);
            until = until.min(*from);
            if *from <= start {
                break;
            }
        }
        // A replica's limit has no burst; that of the grants is this project's own.
        if self.rule.is_unknown {
            return units;
        }
        units + burst
    }
}
