//! A model of one replica's prefill queue, from the dispatches that the cell knows of.
//!
//! An engine computes prompts one after another, so the end of its queue follows from the dispatches and their expected
//! costs. A first token shows which dispatches are done, and a load report how many wait; each corrects the model at
//! the time it speaks of, and the dispatches made since are played again on top.

use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

use super::observation::RequestTag;

/// The most dispatches kept for replay; a queue longer than this is past any deadline.
const MAX_DISPATCHES: usize = 160;
/// The time that an answer is expected to take after its first token, until the first has ended.
const INITIAL_DECODE_TIME: Duration = Duration::from_secs(4);
/// How much one answer's time moves the mean.
const DECODE_TIME_STEP: f64 = 0.05;
/// The age at which a dispatch no longer matters for replay.
const DISPATCH_LIFE: Duration = Duration::from_secs(10);

/// What one replica has been given and when it is expected to be done.
#[derive(Clone, Debug)]
pub(crate) struct QueueModel {
    busy_until: Duration,
    dispatches: VecDeque<Dispatch>,
    slots: usize,
    /// The mean time that an answer takes after its first token.
    decode_time: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Dispatch {
    request: RequestTag,
    at: Duration,
    cost: Duration,
    end: Duration,
}

impl QueueModel {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            busy_until: Duration::ZERO,
            dispatches: VecDeque::new(),
            slots: slots.max(1),
            decode_time: INITIAL_DECODE_TIME,
        }
    }

    /// Returns the expected wait of a request dispatched at `now`.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        self.start(now).saturating_sub(now)
    }

    /// Returns when a request dispatched at `now` is expected to start: after the queue, and with a free slot.
    fn start(&self, now: Duration) -> Duration {
        self.busy_until.max(now).max(self.slot_free_at(now))
    }

    /// Returns when a slot is expected to be free for one more request.
    fn slot_free_at(&self, now: Duration) -> Duration {
        if self.dispatches.len() < self.slots {
            return now;
        }
        let mut finishes: SmallVec<[Duration; 64]> = self
            .dispatches
            .iter()
            .map(|d| d.end + self.decode_time)
            .filter(|&finish| finish > now)
            .collect();
        let Some(excess) = finishes.len().checked_sub(self.slots) else {
            return now;
        };
        let (_, finish, _) = finishes.select_nth_unstable(excess);
        *finish
    }

    /// Learns that the answer to `request` ended at `at`.
    pub(crate) fn finished(&mut self, request: RequestTag, at: Duration) {
        let Some(index) = self.position(request) else {
            return;
        };
        let Some(dispatch) = self.dispatches.remove(index) else {
            return;
        };
        let took = at.saturating_sub(dispatch.end).as_secs_f64();
        let mean = self.decode_time.as_secs_f64();
        let mean = mean + DECODE_TIME_STEP * (took - mean);
        self.decode_time = Duration::from_secs_f64(mean.max(0.0));
    }

    /// Returns when the queue is expected to be empty.
    pub(crate) fn busy_until(&self) -> Duration {
        self.busy_until
    }

    /// Adds a dispatch that costs `cost` of prefill.
    pub(crate) fn dispatch(&mut self, request: RequestTag, at: Duration, cost: Duration) {
        while self.dispatches.len() >= MAX_DISPATCHES
            || self
                .dispatches
                .front()
                .is_some_and(|d| d.end + DISPATCH_LIFE < at)
        {
            self.dispatches.pop_front();
        }
        let end = self.start(at) + cost;
        self.busy_until = end;
        self.dispatches.push_back(Dispatch {
            request,
            at,
            cost,
            end,
        });
    }

    /// Takes back a dispatch that was not made.
    pub(crate) fn withdraw(&mut self, request: RequestTag) {
        let Some(index) = self.position(request) else {
            return;
        };
        let withdrawn = self.dispatches.remove(index);
        let cost = withdrawn.map_or(Duration::ZERO, |d| d.cost);
        for dispatch in self.dispatches.iter_mut().skip(index) {
            dispatch.end = dispatch.end.saturating_sub(cost);
        }
        self.busy_until = self.busy_until.saturating_sub(cost);
    }

    /// Learns that `request` gave its first token at `at`, so that all before it are done and it is too.
    pub(crate) fn first_token(&mut self, request: RequestTag, at: Duration) {
        if let Some(index) = self.position(request) {
            self.replay(index + 1, at);
        }
    }

    /// Learns that `waiting` requests were in or before prefill at `at`; `mean_cost` stands for those not known here.
    pub(crate) fn report(&mut self, waiting: usize, at: Duration, mean_cost: Duration) {
        let known = self.dispatches.iter().take_while(|d| d.at <= at).count();
        let expected = self
            .dispatches
            .iter()
            .take(known)
            .filter(|d| d.end > at)
            .count();
        if waiting.abs_diff(expected) <= 1 && waiting > 0 {
            return;
        }
        let first = known.saturating_sub(waiting);
        let unknown = u32::try_from(waiting.saturating_sub(known)).unwrap_or(u32::MAX);
        let unknown = mean_cost * unknown.min(MAX_DISPATCHES as u32);
        self.replay(first, at + unknown);
    }

    /// Takes over the end of the queue that a peer expects, where it is later.
    pub(crate) fn adopt(&mut self, busy_until: Duration) {
        self.busy_until = self.busy_until.max(busy_until);
    }

    fn position(&self, request: RequestTag) -> Option<usize> {
        self.dispatches.iter().position(|d| d.request == request)
    }

    /// Plays the dispatches from `first` again, where the queue before them ends at `free_at`.
    fn replay(&mut self, first: usize, free_at: Duration) {
        let mut end = free_at;
        for dispatch in self.dispatches.iter_mut().take(first) {
            dispatch.end = dispatch.end.min(free_at);
        }
        for dispatch in self.dispatches.iter_mut().skip(first) {
            end = end.max(dispatch.at) + dispatch.cost;
            dispatch.end = end;
        }
        self.busy_until = end;
    }
}
