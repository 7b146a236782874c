//! A model of one replica's prefill queue, from the dispatches that the cell knows of.
//!
//! An engine computes prompts one after another, so the end of its queue follows from the dispatches and their expected
//! costs. A first token shows which dispatches are done, and a load report how many wait; each corrects the model at
//! the time it speaks of, and the dispatches made since are played again on top.

use std::collections::VecDeque;
use std::time::Duration;

use super::observation::RequestTag;

/// The most dispatches kept for replay; a queue longer than this is past any deadline.
const MAX_DISPATCHES: usize = 64;
/// The age at which a dispatch no longer matters for replay.
const DISPATCH_LIFE: Duration = Duration::from_secs(10);

/// What one replica has been given and when it is expected to be done.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueModel {
    busy_until: Duration,
    dispatches: VecDeque<Dispatch>,
}

#[derive(Clone, Copy, Debug)]
struct Dispatch {
    request: RequestTag,
    at: Duration,
    cost: Duration,
    end: Duration,
}

impl QueueModel {
    /// Returns the expected wait of a request dispatched at `now`.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        self.busy_until.saturating_sub(now)
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
                .is_some_and(|d| d.at + DISPATCH_LIFE < at && d.end < at)
        {
            self.dispatches.pop_front();
        }
        let end = self.busy_until.max(at) + cost;
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
