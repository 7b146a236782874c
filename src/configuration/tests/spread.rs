//! Tickets spread over a fleet while the store fails, peers answer late and routers restart.

use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};

use super::*;
use crate::store::Answer;
use crate::store::tests::fake::Faults;

/// The random runs without an environment variable that asks for more.
const CASES: u64 = 60;
const ROUTERS: usize = 9;
const TICKS: usize = 400;

/// One router: what it has in force and what it is reading.
struct Router {
    in_force: InForce,
    server: UpdateServer,
    reading: Option<UpdateReader>,
    /// The revision that this life has shown last.
    shown: u64,
}

impl Router {
    fn new() -> Self {
        Self {
            in_force: InForce::new(),
            server: UpdateServer::default(),
            reading: None,
            shown: 0,
        }
    }

    fn offer(&mut self, seed: u64, state: StoredState, now: Duration) {
        assert_ne!(
            self.in_force.offer(state, now),
            Adoption::Diverged,
            "seed {seed}"
        );
        let revision = self.in_force.configuration().revision;
        assert!(revision >= self.shown, "seed {seed}: a router reverts");
        self.shown = revision;
    }
}

struct Fleet {
    seed: u64,
    rng: ChaCha8Rng,
    store: FakeStore,
    routers: Vec<Router>,
    /// Old states that a watch which lies behind, or a stale peer, may still deliver.
    stale: Vec<StoredState>,
    next_ticket: u64,
    running: Vec<(usize, Submission, Step<TicketOutcome>)>,
    highest_accepted: u64,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let routers = (0..ROUTERS).map(|_| Router::new()).collect();
        Self {
            seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
            store: FakeStore::default(),
            routers,
            stale: Vec::new(),
            next_ticket: 1,
            running: Vec::new(),
            highest_accepted: 0,
        }
    }

    fn tick(&mut self, tick: usize, is_faulty: bool) {
        let now = Duration::from_millis(tick as u64 * 100);
        if is_faulty && self.rng.random_bool(0.1) {
            self.submit();
        }
        self.advance_tickets(now);
        for index in 0..ROUTERS {
            self.exchange(index, is_faulty, now);
        }
        if is_faulty {
            self.disturb(now);
        }
        self.store.deliver_delayed(&mut self.rng);
    }

    fn submit(&mut self) {
        let acceptor = self.rng.random_range(0..ROUTERS);
        let name = *["a", "b", "c"].choose(&mut self.rng).unwrap();
        // Two operators may take the same number.
        let number =
            self.next_ticket - u64::from(self.next_ticket > 1 && self.rng.random_bool(0.2));
        self.next_ticket = number + 1;
        let ticket = ticket(number, name, self.rng.random_range(1..9));
        let known = StoredState::clone(self.routers[acceptor].in_force.state());
        let mut submission = Submission::new(known, ticket, Duration::from_secs(9_000));
        let step = submission.next(Answer::Proceed, &mut self.rng);
        self.running.push((acceptor, submission, step));
    }

    fn advance_tickets(&mut self, now: Duration) {
        for (acceptor, mut submission, step) in std::mem::take(&mut self.running) {
            if let Some(answer) = self.store.carry_out(&step, &mut self.rng) {
                let step = submission.next(answer, &mut self.rng);
                self.running.push((acceptor, submission, step));
                continue;
            }
            if let Step::Done(TicketOutcome::Accepted { state, .. }) = step {
                // A resend may read a state that later tickets have raised already.
                self.highest_accepted = self.highest_accepted.max(state.revision());
                self.routers[acceptor].offer(self.seed, *state, now);
            }
        }
    }

    /// A router asks one peer for what is new; parts and peers may be lost on the way.
    fn exchange(&mut self, index: usize, is_faulty: bool, now: Duration) {
        let peer = self.rng.random_range(0..ROUTERS);
        if peer == index || (is_faulty && self.rng.random_bool(0.3)) {
            return;
        }
        let base = Arc::clone(self.routers[index].in_force.state());
        let mut reader = match self.routers[index].reading.take() {
            // A router that changed the peer in the middle goes on with what it has.
            Some(reader) if self.rng.random_bool(0.5) => reader,
            _ => UpdateReader::new(base),
        };
        let source = Arc::clone(self.routers[peer].in_force.state());
        let part = self.routers[peer].server.part(&source, reader.ask());
        match reader.take(&part) {
            ReadStep::Ask(_) => self.routers[index].reading = Some(reader),
            ReadStep::Done(state) => self.routers[index].offer(self.seed, *state, now),
            ReadStep::NotAhead | ReadStep::Failed(_) => {}
        }
    }

    fn disturb(&mut self, now: Duration) {
        let index = self.rng.random_range(0..ROUTERS);
        match self.rng.random_range(0..40) {
            // One router restarts, or two thirds of them at once; the fleet never restarts as a whole here.
            0 => self.routers[index] = Router::new(),
            1 => self.routers[..ROUTERS * 2 / 3].fill_with(Router::new),
            2 => {
                self.store.faults = Faults {
                    not_sent: 1.0,
                    ..Faults::default()
                }
            }
            3..=6 => {
                self.store.faults = Faults {
                    not_sent: self.rng.random_range(0.0..0.4),
                    answer_lost: self.rng.random_range(0.0..0.4),
                    delayed: self.rng.random_range(0.0..0.3),
                }
            }
            7..=12 => self
                .stale
                .push(StoredState::clone(self.routers[index].in_force.state())),
            13..=20 => {
                if let Some(state) = self.stale.choose(&mut self.rng).cloned() {
                    self.routers[index].offer(self.seed, state, now);
                }
            }
            _ => {}
        }
        // The last routers never restart, so an accepted revision known to the fleet is not lost while the store is down.
        if self.rng.random_bool(0.05) {
            self.routers[..ROUTERS * 2 / 3].shuffle(&mut self.rng);
        }
    }

    /// With the store down for good, the fleet agrees on the highest revision that any router has.
    fn settle(&mut self) {
        self.store.faults = Faults {
            not_sent: 1.0,
            ..Faults::default()
        };
        self.running.clear();
        let revisions = |fleet: &Self| -> Vec<u64> {
            fleet
                .routers
                .iter()
                .map(|router| router.in_force.revision())
                .collect()
        };
        let highest = *revisions(self).iter().max().unwrap();
        assert!(
            highest > 0 && highest <= self.highest_accepted,
            "seed {}",
            self.seed
        );
        for tick in TICKS..TICKS + 100 {
            self.tick(tick, false);
        }
        assert_eq!(
            revisions(self),
            [highest; ROUTERS],
            "seed {}: peers agree without the store",
            self.seed
        );
        let first = self.routers[0].in_force.configuration();
        for router in &self.routers {
            assert_eq!(
                router.in_force.configuration(),
                first,
                "seed {}: one effective order",
                self.seed
            );
        }
    }
}

#[test]
fn spread_never_reverts_and_agrees() {
    let cases = std::env::var("CROCUSWHARF_CASES")
        .ok()
        .and_then(|cases| cases.parse().ok());
    for seed in 0..cases.unwrap_or(CASES) {
        let mut fleet = Fleet::new(seed);
        for tick in 0..TICKS {
            fleet.tick(tick, true);
        }
        fleet.settle();
    }
}
