//! Replays of groups of callers on the budget of memory, and tests of stored bodies.

use std::collections::VecDeque;
use std::time::Duration;

use http_body_util::BodyExt;

use super::ms;
use crate::gateway::memory::budget::{
    CONNECTION_BYTES, Growth, HolderNumber, HolderPhase, MemoryBudget, MemoryUse,
};
use crate::gateway::memory::{BodyCollector, MemoryAccount};

/// The budget of the smallest VM.
const CAPACITY: u64 = 35_000_000;
const BODY_BYTES: u64 = 4 << 20;
const STEP_BYTES: u64 = 16 << 10;
/// The time between two parts of one body.
const STEP_TIME: Duration = ms(2);
/// How long an evicted connection takes to give its memory up.
const RELEASE_TIME: Duration = ms(20);

/// A budget on virtual time, whose evicted holders close a little later.
struct World {
    budget: MemoryBudget,
    now: Duration,
    closing: VecDeque<(Duration, HolderNumber)>,
}

impl World {
    fn new() -> Self {
        Self {
            budget: MemoryBudget::new(CAPACITY),
            now: ms(1_000),
            closing: VecDeque::new(),
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        while let Some((at, number)) = self.closing.front().copied()
            && at <= self.now
        {
            self.closing.pop_front();
            self.budget.close(number);
        }
        assert!(self.budget.held() <= CAPACITY, "{}", self.budget.held());
    }

    fn note(&mut self, growth: Growth) -> Growth {
        if let Growth::Evict(number) = growth {
            self.closing.push_back((self.now + RELEASE_TIME, number));
        }
        growth
    }

    fn open(&mut self, phase: HolderPhase) -> HolderNumber {
        let (number, growth) = self.budget.open(self.now);
        self.note(growth);
        self.budget.set_phase(number, phase, self.now);
        number
    }

    /// Reads `bytes` of a body; returns how many were read until the caller was refused.
    fn read(&mut self, number: HolderNumber, bytes: u64) -> u64 {
        let mut read = 0;
        let mut waits = 0;
        while read < bytes && waits < 100 {
            let growth = self
                .budget
                .grow(number, STEP_BYTES, MemoryUse::Request, self.now);
            match self.note(growth) {
                Growth::Granted => read += STEP_BYTES,
                Growth::Refused { .. } => return read,
                Growth::Evict(_) | Growth::Wait => waits += 1,
            }
            self.advance(STEP_TIME);
        }
        read
    }
}

/// Bodies that stopped just before their end held all memory until their deadlines.
#[test]
fn budget_many_bodies_stop_short_gives_way_to_a_whole_one() {
    let mut world = World::new();
    let mut receiving: Vec<_> = (0..100)
        .map(|_| world.open(HolderPhase::Receiving))
        .collect();
    for _ in 1..BODY_BYTES / STEP_BYTES {
        receiving.retain(|number| {
            let growth = world
                .budget
                .grow(*number, STEP_BYTES, MemoryUse::Request, world.now);
            if growth != Growth::Granted {
                world.budget.close(*number);
            }
            growth == Growth::Granted
        });
        world.advance(STEP_TIME);
    }
    assert!(
        receiving.len() >= 5,
        "{} bodies are left at their last part",
        receiving.len()
    );
    let small = world.open(HolderPhase::Receiving);
    assert_eq!(world.read(small, STEP_BYTES), STEP_BYTES);
    world.advance(ms(600));
    let whole = world.open(HolderPhase::Receiving);
    assert_eq!(world.read(whole, BODY_BYTES), BODY_BYTES);
}

/// Requests that replicas work on were not to be given up for others.
#[test]
fn budget_full_of_waiting_requests_refuses_and_spreads_retries() {
    let mut world = World::new();
    for _ in 0..7 {
        let number = world.open(HolderPhase::Receiving);
        world.read(number, BODY_BYTES);
        world
            .budget
            .set_phase(number, HolderPhase::Waiting, world.now);
    }
    world.advance(ms(60_000));
    let number = world.open(HolderPhase::Receiving);
    let mut last = Duration::ZERO;
    for _ in 0..100 {
        let growth = world
            .budget
            .grow(number, BODY_BYTES, MemoryUse::Request, world.now);
        let Growth::Refused { retry_after } = growth else {
            panic!("{growth:?}");
        };
        assert!(retry_after > last, "callers refused earlier retry earlier");
        last = retry_after;
    }
    assert!(last <= ms(4_000));
}

/// A connection that never carried a request goes before one that did, and the older one first.
#[test]
fn budget_full_of_idle_connections_evicts_the_oldest_without_a_request() {
    let mut world = World::new();
    let served = world.open(HolderPhase::Responding);
    world.budget.set_phase(served, HolderPhase::Idle, world.now);
    let oldest = world.open(HolderPhase::Idle);
    for _ in 2..CAPACITY / CONNECTION_BYTES {
        world.advance(ms(1));
        let _ = world.open(HolderPhase::Idle);
    }
    let (_, growth) = world.budget.open(world.now);
    assert_eq!(growth, Growth::Evict(oldest));
    world.budget.close(oldest);
}

/// A connection that was evicted when the end of its body arrived was closed in the middle of its response, and one whose response
/// was still being sent counted as idle.
#[test]
fn budget_keeps_complete_requests_and_responses_that_are_being_sent() {
    let mut world = World::new();
    let number = world.open(HolderPhase::Receiving);
    world.advance(ms(600));
    assert_eq!(world.budget.evict(world.now), Some(number));
    assert!(
        world
            .budget
            .set_phase(number, HolderPhase::Waiting, world.now)
    );
    world.advance(ms(600));
    assert_eq!(world.budget.evict(world.now), None);
    world
        .budget
        .force(number, 1_000, MemoryUse::Response, world.now);
    world.budget.set_phase(number, HolderPhase::Idle, world.now);
    assert_eq!(world.budget.evict(world.now), None);
    world
        .budget
        .shrink(number, 1_000, MemoryUse::Response, world.now);
    world.advance(ms(10));
    assert_eq!(world.budget.evict(world.now), Some(number));
}

/// Responses that are not read kept their buffers for as long as the limit on stalled connections.
#[test]
fn budget_full_of_unread_responses_evicts_stalled_ones() {
    let mut world = World::new();
    loop {
        let number = world.open(HolderPhase::Responding);
        let growth = world
            .budget
            .grow(number, 256 << 10, MemoryUse::Response, world.now);
        if growth != Growth::Granted {
            world.budget.close(number);
            break;
        }
    }
    let reading = world.open(HolderPhase::Responding);
    world.advance(ms(400));
    let response = |world: &mut World| {
        let growth = world
            .budget
            .grow(reading, 256 << 10, MemoryUse::Response, world.now);
        world.note(growth)
    };
    assert!(matches!(response(&mut world), Growth::Refused { .. }));
    world.advance(ms(200));
    assert!(matches!(response(&mut world), Growth::Evict(_)));
    world.advance(RELEASE_TIME);
    assert_eq!(response(&mut world), Growth::Granted);
}

#[tokio::test]
async fn stored_body_has_the_bytes_that_were_pushed_and_returns_its_memory() {
    let account = MemoryAccount::new(CAPACITY);
    for (length, piece, expected) in [(0, 1, 0), (70_000, 7, 0), (70_000, 9_000, 70_000)] {
        let memory = account.open().unwrap();
        let bytes: Vec<u8> = (0..length).map(|index| index as u8).collect();
        let mut collector = BodyCollector::new(memory, expected);
        for piece in bytes.chunks(piece) {
            collector.push(piece).await.unwrap();
        }
        let body = collector.finish();
        let held = account.held();
        assert!(held >= CONNECTION_BYTES.min(length as u64) + length as u64);
        let collected = body.reader().collect().await.unwrap();
        assert_eq!(collected.to_bytes(), bytes);
        drop(body);
        assert_eq!(account.held(), 0);
    }
}

/// A body without memory waits for that of a stalled one.
#[tokio::test]
async fn stored_body_without_memory_waits_for_an_evicted_connection() {
    let account = MemoryAccount::new(4 << 20);
    let stalled = account.open().unwrap();
    stalled.set_phase(HolderPhase::Receiving);
    let mut collector = BodyCollector::new(stalled.clone(), 3 << 20);
    collector
        .push(&vec![0; (3 << 20) - (40 << 10)])
        .await
        .unwrap();
    let memory = account.open().unwrap();
    let bytes = vec![0; 1 << 20];
    assert!(
        BodyCollector::new(memory.clone(), 1 << 20)
            .push(&bytes)
            .await
            .is_err()
    );
    tokio::time::sleep(ms(600)).await;
    let evicted = async {
        stalled.evicted().await;
        drop(collector);
        drop(stalled);
    };
    let mut other = BodyCollector::new(memory, 1 << 20);
    let (pushed, ()) = tokio::join!(other.push(&bytes), evicted);
    assert!(pushed.is_ok());
}
