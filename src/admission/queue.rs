//! A bounded fair queue between client accounts.
//!
//! Start-time fair queueing: each waiting request has a start tag in virtual time, and the lowest tag is served next. An
//! account's tags advance by cost over weight, so a flood only lengthens the flood's own wait. An account that has used
//! less than its share may lag behind virtual time by a credit, so that its short bursts go before a flood's backlog.
//! First come, first served was rejected since a flood then delays everyone, and deficit round robin since its turn
//! takes longer with each of thousands of accounts.

#[cfg(test)]
mod tests;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use crate::id::AccountId;

/// Virtual time units per unit of cost at weight one.
const SCALE: u64 = 1 << 10;

/// What bounds a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// The requests that may wait in all.
    pub max_waiting: usize,
    /// The cost by which an account at weight one may burst ahead of accounts that use more than their share.
    pub burst_cost: u64,
}

/// One request as it is queued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting<T> {
    /// The account that sent it.
    pub account: AccountId,
    /// The account's weight.
    pub weight: u32,
    /// The expected work, in tokens to be computed.
    pub cost: u64,
    /// When the request is of no use any more.
    pub deadline: Duration,
    /// The request.
    pub item: T,
}

#[derive(Clone, Debug)]
struct Lane<T> {
    waiting: VecDeque<Waiting<T>>,
    /// The start tag of the first waiting request, or where the next one would follow on.
    next_start: u64,
    waiting_cost: u64,
}

/// The fair queue before one service.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    virtual_time: u64,
    lanes: HashMap<AccountId, Lane<T>>,
    order: BTreeSet<(u64, AccountId)>,
    waiting: usize,
    waiting_cost: u64,
}

impl<T> Waiting<T> {
    fn virtual_cost(&self) -> u64 {
        (self.cost.max(1) * SCALE) / u64::from(self.weight.max(1))
    }
}

impl<T> FairQueue<T> {
    /// Makes an empty queue.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            virtual_time: 0,
            lanes: HashMap::new(),
            order: BTreeSet::new(),
            waiting: 0,
            waiting_cost: 0,
        }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Queues a request; a full queue gives one back, the last of the account with the most waiting cost.
    pub fn push(&mut self, request: Waiting<T>) -> Option<Waiting<T>> {
        let account = request.account.clone();
        let weight = u64::from(request.weight.max(1));
        let credit = self.limits.burst_cost * SCALE / weight;
        let earliest = self.virtual_time.saturating_sub(credit);
        let lane = self.lanes.entry(account.clone()).or_insert_with(|| Lane {
            waiting: VecDeque::new(),
            next_start: earliest,
            waiting_cost: 0,
        });
        if lane.waiting.is_empty() {
            lane.next_start = lane.next_start.max(earliest);
            self.order.insert((lane.next_start, account));
        }
        lane.waiting_cost += request.cost;
        self.waiting_cost += request.cost;
        self.waiting += 1;
        lane.waiting.push_back(request);
        match self.waiting > self.limits.max_waiting {
            true => self.evict(),
            false => None,
        }
    }

    fn evict(&mut self) -> Option<Waiting<T>> {
        let lanes = self.lanes.iter();
        let (account, _) = lanes.max_by_key(|(account, lane)| (lane.waiting_cost, *account))?;
        let account = account.clone();
        let lane = self.lanes.get_mut(&account)?;
        let evicted = lane.waiting.pop_back()?;
        lane.waiting_cost -= evicted.cost;
        let start = lane.next_start;
        if lane.waiting.is_empty() {
            self.order.remove(&(start, account));
        }
        self.forget_cost(evicted.cost);
        Some(evicted)
    }

    const fn forget_cost(&mut self, cost: u64) {
        self.waiting -= 1;
        self.waiting_cost -= cost;
    }

    /// Takes the request that is served next.
    pub fn pop(&mut self) -> Option<Waiting<T>> {
        let (start, account) = self.order.pop_first()?;
        let lane = self
            .lanes
            .get_mut(&account)
            .expect("an ordered lane exists");
        let request = lane
            .waiting
            .pop_front()
            .expect("an ordered lane is not empty");
        assert!(lane.next_start == start, "a lane is out of order");
        lane.next_start = start + request.virtual_cost();
        lane.waiting_cost -= request.cost;
        if !lane.waiting.is_empty() {
            self.order.insert((lane.next_start, account));
        }
        self.virtual_time = self.virtual_time.max(start);
        self.forget_cost(request.cost);
        self.drop_idle_lanes();
        Some(request)
    }

    /// Forgets accounts that have neither waiting requests nor use beyond their share, now and then.
    fn drop_idle_lanes(&mut self) {
        let has_many = self.lanes.len() > 64 && self.lanes.len() > 4 * self.order.len();
        if !has_many {
            return;
        }
        let credit = self.limits.burst_cost * SCALE;
        let earliest = self.virtual_time.saturating_sub(credit);
        self.lanes
            .retain(|_, lane| !lane.waiting.is_empty() || lane.next_start > earliest);
    }

    /// Takes out all requests whose deadline has passed at `now`.
    pub fn expire(&mut self, now: Duration) -> Vec<Waiting<T>> {
        let mut expired = Vec::new();
        for (account, lane) in &mut self.lanes {
            let (late, rest): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut lane.waiting)
                .into_iter()
                .partition(|request| request.deadline <= now);
            lane.waiting = rest;
            lane.waiting_cost -= late.iter().map(|request| request.cost).sum::<u64>();
            if !late.is_empty() && lane.waiting.is_empty() {
                self.order.remove(&(lane.next_start, account.clone()));
            }
            expired.extend(late);
        }
        for request in &expired {
            self.waiting -= 1;
            self.waiting_cost -= request.cost;
        }
        expired
    }

    /// Returns the cost that is expected to be served before a new request of `account`.
    ///
    /// That is at most all that waits, and at most the account's own waiting cost times the accounts that take turns.
    #[must_use]
    pub fn cost_ahead(&self, account: &AccountId) -> u64 {
        let own = self.lanes.get(account).map_or(0, |lane| lane.waiting_cost);
        let turns = self.order.len() as u64 + u64::from(own == 0);
        own.saturating_mul(turns).min(self.waiting_cost)
    }
}
