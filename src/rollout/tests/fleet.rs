//! Holders pause, orders arrive late, the store loses answers, engines restart and tickets turn rollouts back.

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::protocol::EngineOrder;
use crate::store::tests::fake::{FakeStore, Faults};
use crate::store::{ObjectVersion, Write};

/// The random runs without an environment variable that asks for more.
const CASES: u64 = 60;
const TICK: Duration = Duration::from_millis(200);
const FAULTY_TICKS: u32 = 1_500;
const QUIET_TICKS: u32 = 2_000;
const KEY: &str = "leases/p";

struct Engine {
    incarnation: u64,
    weights_version: u64,
    loading: Option<(u64, Duration)>,
    highest_fencing: u64,
    busy: u32,
    down_until: Duration,
}

impl Engine {
    fn take(&mut self, order: &EngineOrder, checks: bool, now: Duration) -> OrderEnd {
        if now < self.down_until {
            return OrderEnd::Failed;
        }
        if checks && order.fencing_number < self.highest_fencing {
            return OrderEnd::Fenced;
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing_number);
        let heading_for = self
            .loading
            .map_or(self.weights_version, |(version, _)| version);
        if heading_for != order.weights_version {
            let load_time = Duration::from_millis(600);
            self.loading = (order.weights_version != self.weights_version)
                .then_some((order.weights_version, now + load_time));
        }
        OrderEnd::Taken
    }

    fn advance(&mut self, now: Duration) {
        if let Some((version, done_at)) = self.loading
            && now >= done_at
        {
            self.weights_version = version;
            self.loading = None;
        }
    }
}

struct Holder {
    lease: Lease,
    rollout: Rollout,
    drains: Drains,
    pool: Pool,
    paused_until: Duration,
    call: Option<LeaseAction>,
    incarnation: u64,
}

struct LateOrder {
    arrives_at: Duration,
    /// When the holder gives the order up; it may still arrive.
    fails_at: Option<Duration>,
    holder: usize,
    replica: ReplicaId,
    order: EngineOrder,
}

struct Fleet {
    seed: u64,
    rng: ChaCha8Rng,
    now: Duration,
    store: FakeStore,
    holders: Vec<Holder>,
    engines: BTreeMap<ReplicaId, Engine>,
    pool: Pool,
    orders: Vec<LateOrder>,
    notices: Vec<(Duration, DrainNotice)>,
    /// Whether orders may be held up on the way for longer than their timeout.
    has_late_orders: bool,
    completed: u32,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let pool = pool(
            rng.random_range(3..13),
            rng.random_range(1..4),
            rng.random_bool(0.5),
        );
        let holder = |index: u64| Holder {
            lease: Lease::new(format!("h{index}").into(), 1),
            rollout: Rollout::new(),
            drains: Drains::default(),
            pool: pool.clone(),
            paused_until: Duration::ZERO,
            call: None,
            incarnation: 1,
        };
        let engine = || Engine {
            incarnation: 1,
            weights_version: 1,
            loading: None,
            highest_fencing: 0,
            busy: 0,
            down_until: Duration::ZERO,
        };
        Self {
            seed,
            holders: (0..3).map(holder).collect(),
            engines: pool
                .replicas
                .iter()
                .map(|replica| (replica.id.clone(), engine()))
                .collect(),
            has_late_orders: rng.random_bool(0.5),
            rng,
            now: Duration::ZERO,
            store: FakeStore::default(),
            pool,
            orders: Vec::new(),
            notices: Vec::new(),
            completed: 0,
        }
    }

    fn tick(&mut self, is_faulty: bool) {
        self.now += TICK;
        if is_faulty {
            self.disturb();
        }
        self.store.deliver_delayed(&mut self.rng);
        self.deliver_orders();
        self.run_engines();
        for index in 0..self.holders.len() {
            if self.now >= self.holders[index].paused_until {
                self.run_holder(index, is_faulty);
            }
        }
        self.check_loads();
    }

    fn disturb(&mut self) {
        let index = self.rng.random_range(0..self.holders.len());
        let pause = Duration::from_millis(self.rng.random_range(500..60_000));
        match self.rng.random_range(0..200) {
            0..=1 => self.holders[index].paused_until = self.now + pause,
            2 => self.restart_holder(index),
            3 => {
                self.store.faults = Faults {
                    not_sent: self.rng.random_range(0.0..0.5),
                    answer_lost: self.rng.random_range(0.0..0.3),
                    delayed: self.rng.random_range(0.0..0.2),
                }
            }
            4 => {
                self.store.faults = Faults {
                    not_sent: 1.0,
                    ..Faults::default()
                }
            }
            5..=6 => self.store.faults = Faults::default(),
            7..=8 => {
                self.pool.weights_version = self.rng.random_range(1..4);
            }
            9 => self.crash_engine(),
            _ => {}
        }
        // Tickets reach the routers one after another.
        if self.rng.random_bool(0.2) {
            self.holders[index].pool = self.pool.clone();
        }
    }

    fn restart_holder(&mut self, index: usize) {
        // A restarted router takes the notices that hold from a peer before it serves.
        let drains = self.holders[(index + 1) % self.holders.len()]
            .drains
            .clone();
        let holder = &mut self.holders[index];
        holder.incarnation += 1;
        holder.lease = Lease::new(format!("h{index}").into(), holder.incarnation);
        holder.rollout = Rollout::new();
        holder.drains = drains;
        holder.call = None;
    }

    fn crash_engine(&mut self) {
        let id = self.pool.replicas.choose(&mut self.rng).unwrap().id.clone();
        let down = Duration::from_millis(self.rng.random_range(500..20_000));
        let engine = self.engines.get_mut(&id).unwrap();
        engine.incarnation += 1;
        engine.weights_version = 1;
        engine.loading = None;
        engine.busy = 0;
        engine.down_until = self.now + down;
    }

    fn deliver_orders(&mut self) {
        let checks = self.pool.checks_fencing;
        for mut late in std::mem::take(&mut self.orders) {
            if late.fails_at.is_some_and(|at| at <= self.now) {
                late.fails_at = None;
                let holder = &mut self.holders[late.holder];
                holder
                    .rollout
                    .order_ended(&late.replica, OrderEnd::Failed, self.now);
            }
            if late.arrives_at > self.now {
                self.orders.push(late);
                continue;
            }
            let engine = self.engines.get_mut(&late.replica).unwrap();
            let (fencing, was_loading, busy) = (
                engine.highest_fencing,
                engine.loading.is_some(),
                engine.busy,
            );
            let end = engine.take(&late.order, checks, self.now);
            if checks && end == OrderEnd::Taken {
                assert!(late.order.fencing_number >= fencing, "seed {}", self.seed);
            }
            let begins = engine.loading.is_some() && !was_loading;
            assert!(
                !begins || busy == 0 || self.has_late_orders,
                "seed {}: loads under work",
                self.seed
            );
            if late.fails_at.is_some() {
                let holder = &mut self.holders[late.holder];
                holder.rollout.order_ended(&late.replica, end, self.now);
            }
        }
    }

    fn run_engines(&mut self) {
        let due: Vec<_> = self
            .notices
            .extract_if(.., |(at, _)| *at <= self.now)
            .collect();
        for (_, notice) in due {
            for holder in &mut self.holders {
                holder.drains.take(&notice, self.now);
            }
        }
        for (id, engine) in &mut self.engines {
            engine.advance(self.now);
            engine.busy = engine.busy.saturating_sub(self.rng.random_range(0..4));
            let sender = &self.holders[self.rng.random_range(0..self.holders.len())];
            let serves = self.now >= engine.down_until && engine.loading.is_none();
            if serves && !sender.drains.is_drained("p", id, self.now) {
                engine.busy += self.rng.random_range(0..3);
            }
        }
    }

    fn run_holder(&mut self, index: usize, is_faulty: bool) {
        let event = match self.holders[index].call.take() {
            Some(call) => self.call_store(&call),
            None => LeaseEvent::Tick,
        };
        let holder = &mut self.holders[index];
        holder.call = holder.lease.next(event, index as u32, self.now);
        let observed = observe(&self.engines, self.now);
        let fencing_number = holder.lease.fencing_number(self.now);
        let pool = holder.pool.clone();
        for action in holder
            .rollout
            .step("p", &pool, &observed, fencing_number, self.now)
        {
            match action {
                RolloutAction::Order { replica, order, .. } => {
                    self.send(index, replica, order, is_faulty)
                }
                RolloutAction::Notice(notice) => {
                    let delay = Duration::from_millis(self.rng.random_range(0..1_000));
                    self.notices.push((self.now + delay, notice));
                }
            }
        }
    }

    fn send(&mut self, holder: usize, replica: ReplicaId, order: EngineOrder, is_faulty: bool) {
        let is_late = is_faulty && self.has_late_orders && self.rng.random_bool(0.05);
        let longest = if is_late { 60_000 } else { 1_000 };
        let arrives_at = self.now + Duration::from_millis(self.rng.random_range(0..longest));
        self.orders.push(LateOrder {
            arrives_at,
            fails_at: Some(self.now + ORDER_TIMEOUT),
            holder,
            replica,
            order,
        });
    }

    fn call_store(&mut self, call: &LeaseAction) -> LeaseEvent {
        match call {
            LeaseAction::Read => {
                let read = self.store.get(KEY, &mut self.rng).ok();
                LeaseEvent::Read(
                    read.map(|found| found.map(|object| parse(object.version, &object.value))),
                )
            }
            LeaseAction::Write(record, condition) => {
                let value = Bytes::from(serde_json::to_vec(record).unwrap());
                let write = Write {
                    key: KEY.into(),
                    value,
                    condition: *condition,
                };
                LeaseEvent::Written(self.store.put(&write, &mut self.rng))
            }
        }
    }

    fn check_loads(&mut self) {
        let loading = self
            .engines
            .values()
            .filter(|engine| engine.loading.is_some())
            .count();
        let limit = self.pool.concurrent_loads as usize;
        assert!(
            loading <= limit || self.has_late_orders,
            "seed {}: {loading} load at once",
            self.seed
        );
        let holds = |holder: &&Holder| {
            holder.paused_until <= self.now && holder.lease.fencing_number(self.now).is_some()
        };
        let holding = self.holders.iter().filter(holds).count();
        assert!(holding <= 1, "seed {}: two hold the lease", self.seed);
    }

    fn settle(&mut self) {
        self.store.faults = Faults::default();
        for holder in &mut self.holders {
            holder.pool = self.pool.clone();
        }
        for _ in 0..QUIET_TICKS {
            self.tick(false);
        }
        let wanted = self.pool.weights_version;
        for (id, engine) in &self.engines {
            assert_eq!(
                engine.weights_version, wanted,
                "seed {}: {id} is not repaired",
                self.seed
            );
            assert!(engine.loading.is_none(), "seed {}", self.seed);
        }
        assert!(
            self.holders
                .iter()
                .all(|holder| holder.rollout.in_work().count() == 0)
        );
        self.completed += 1;
    }
}

fn parse(version: ObjectVersion, value: &[u8]) -> (ObjectVersion, LeaseRecord) {
    (version, serde_json::from_slice(value).unwrap())
}

fn observe(
    engines: &BTreeMap<ReplicaId, Engine>,
    now: Duration,
) -> BTreeMap<ReplicaId, ObservedReplica> {
    let up = engines
        .iter()
        .filter(|(_, engine)| now >= engine.down_until);
    let seen = up.map(|(id, engine)| {
        let seen = ObservedReplica {
            incarnation: engine.incarnation,
            weights_version: engine.weights_version,
            adapter: None,
            role: ReplicaRole::Both,
            busy_requests: engine.busy,
            reported_at: now,
        };
        (id.clone(), seen)
    });
    seen.collect()
}

#[test]
fn rollout_survives_pauses_late_orders_and_lost_answers() {
    let cases = std::env::var("CROCUSWHARF_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok());
    for seed in 0..cases.unwrap_or(CASES) {
        let mut fleet = Fleet::new(seed);
        for _ in 0..FAULTY_TICKS {
            fleet.tick(true);
        }
        fleet.settle();
        assert_eq!(fleet.completed, 1);
    }
}
