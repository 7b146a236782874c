//! A bounded queue that is fair between client accounts.
//!
//! The queue implements start-time fair queueing: each account is a flow, each queued request has a start tag in
//! virtual time, and the request with the lowest tag is served next. A flow's tags advance by cost over weight, so an
//! account that floods the queue only lengthens its own wait. The tags of an account that has used less than its share
//! may lag behind virtual time by a credit, so its short bursts are served before another account's backlog.
//!
//! Rejected: first come, first served, where one account's flood delays all others, and deficit round robin, whose
//! round grows with each of thousands of accounts.

#[cfg(test)]
mod tests;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use crate::id::AccountId;

/// The virtual time per unit of cost at weight one.
const VIRTUAL_TIME_SCALE: u64 = 1 << 10;

/// The bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// The maximum number of queued requests over all accounts.
    pub max_waiting: usize,
    /// The cost that an account of weight one may burst ahead of accounts that use more than their share.
    pub burst_cost: u64,
}

/// A queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedRequest<T> {
    /// The account that sent it.
    pub account: AccountId,
    /// The account's weight.
    pub weight: u32,
    /// The expected work, in tokens to be computed.
    pub cost: u64,
    /// The time after which the request is useless to its caller.
    pub deadline: Duration,
    /// The request.
    pub item: T,
}

/// The queue of one account.
#[derive(Clone, Debug)]
struct Flow<T> {
    waiting: VecDeque<QueuedRequest<T>>,
    /// The start tag of the first queued request, or, if none is queued, the earliest one for the next request.
    start_tag: u64,
    waiting_cost: u64,
}

/// The fair queue of one service.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    limits: QueueLimits,
    virtual_time: u64,
    flows: HashMap<AccountId, Flow<T>>,
    /// The flows with queued requests, by start tag.
    by_start_tag: BTreeSet<(u64, AccountId)>,
    waiting: usize,
    waiting_cost: u64,
}

impl<T> QueuedRequest<T> {
    /// Returns by how much serving this request advances its flow in virtual time.
    fn virtual_cost(&self) -> u64 {
        (self.cost.max(1) * VIRTUAL_TIME_SCALE) / u64::from(self.weight.max(1))
    }
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            virtual_time: 0,
            flows: HashMap::new(),
            by_start_tag: BTreeSet::new(),
            waiting: 0,
            waiting_cost: 0,
        }
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Queues a request.
    ///
    /// If the queue exceeds its maximum length, evicts and returns the last request of the account with the highest
    /// queued cost.
    pub fn push(&mut self, request: QueuedRequest<T>) -> Option<QueuedRequest<T>> {
        let account = request.account.clone();
        let weight = u64::from(request.weight.max(1));
        let credit = self.limits.burst_cost * VIRTUAL_TIME_SCALE / weight;
        let min_start = self.virtual_time.saturating_sub(credit);
        let flow = self.flows.entry(account.clone()).or_insert_with(|| Flow {
            waiting: VecDeque::new(),
            start_tag: min_start,
            waiting_cost: 0,
        });
        if flow.waiting.is_empty() {
            flow.start_tag = flow.start_tag.max(min_start);
            self.by_start_tag.insert((flow.start_tag, account));
        }
        flow.waiting_cost += request.cost;
        self.waiting_cost += request.cost;
        self.waiting += 1;
        flow.waiting.push_back(request);
        match self.waiting > self.limits.max_waiting {
            true => self.evict(),
            false => None,
        }
    }

    /// Removes the last request of the account with the highest queued cost.
    fn evict(&mut self) -> Option<QueuedRequest<T>> {
        let flows = self.flows.iter();
        let (account, _) = flows.max_by_key(|(account, flow)| (flow.waiting_cost, *account))?;
        let account = account.clone();
        let flow = self.flows.get_mut(&account)?;
        let evicted = flow.waiting.pop_back()?;
        flow.waiting_cost -= evicted.cost;
        let start = flow.start_tag;
        if flow.waiting.is_empty() {
            self.by_start_tag.remove(&(start, account));
        }
        self.subtract(evicted.cost);
        Some(evicted)
    }

    /// Subtracts one request of `cost` from the totals over all flows.
    const fn subtract(&mut self, cost: u64) {
        self.waiting -= 1;
        self.waiting_cost -= cost;
    }

    /// Removes and returns the request to serve next, or `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<QueuedRequest<T>> {
        let (start, account) = self.by_start_tag.pop_first()?;
        let flow = self
            .flows
            .get_mut(&account)
            .expect("a flow with a start tag in the order exists");
        let request = flow
            .waiting
            .pop_front()
            .expect("a flow with a start tag in the order has queued requests");
        assert!(
            flow.start_tag == start,
            "start tag of a flow differs from its place in the order"
        );
        flow.start_tag = start + request.virtual_cost();
        flow.waiting_cost -= request.cost;
        if !flow.waiting.is_empty() {
            self.by_start_tag.insert((flow.start_tag, account));
        }
        self.virtual_time = self.virtual_time.max(start);
        self.subtract(request.cost);
        self.drop_idle_flows();
        Some(request)
    }

    /// Removes flows without queued requests that are behind virtual time by their whole credit.
    ///
    /// Does nothing unless there are more than 64 flows and less than a quarter of them have queued requests.
    fn drop_idle_flows(&mut self) {
        let mostly_idle = self.flows.len() > 64 && self.flows.len() > 4 * self.by_start_tag.len();
        if !mostly_idle {
            return;
        }
        let credit = self.limits.burst_cost * VIRTUAL_TIME_SCALE;
        let min_start = self.virtual_time.saturating_sub(credit);
        self.flows
            .retain(|_, flow| !flow.waiting.is_empty() || flow.start_tag > min_start);
    }

    /// Removes and returns all requests whose deadline has passed at `now`.
    pub fn expire(&mut self, now: Duration) -> Vec<QueuedRequest<T>> {
        let mut expired = Vec::new();
        for (account, flow) in &mut self.flows {
            let (late, remaining): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut flow.waiting)
                .into_iter()
                .partition(|request| request.deadline <= now);
            flow.waiting = remaining;
            flow.waiting_cost -= late.iter().map(|request| request.cost).sum::<u64>();
            if !late.is_empty() && flow.waiting.is_empty() {
                self.by_start_tag.remove(&(flow.start_tag, account.clone()));
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
    /// The estimate is the account's own queued cost times the number of active accounts, and at most the total queued
    /// cost.
    #[must_use]
    pub fn cost_ahead(&self, account: &AccountId) -> u64 {
        let own = self.flows.get(account).map_or(0, |flow| flow.waiting_cost);
        let active_flows = self.by_start_tag.len() as u64 + u64::from(own == 0);
        own.saturating_mul(active_flows).min(self.waiting_cost)
    }
}
