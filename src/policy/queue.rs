//! A model of the prefill queue of one replica, derived from the dispatches known in the cell.
//!
//! An engine computes prompts one after another, so the end of its queue follows from the dispatches and
//! their expected costs. A first token shows which dispatches are done, and a load report shows how many are
//! waiting. Each corrects the model as of the time that it describes, and later dispatches are replayed on top.

use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

use super::observation::RequestTag;

/// The maximum number of dispatches kept for replay. The wait of a longer queue exceeds any deadline.
const MAX_DISPATCHES: usize = 160;
/// The expected time from the first token to the end of a response, until the first response has ended.
const INITIAL_DECODE_TIME: Duration = Duration::from_secs(4);
/// The weight of the latest response in the moving average of the decode time.
const DECODE_TIME_WEIGHT: f64 = 0.05;
/// The time after its expected end at which a dispatch is no longer needed for replay.
const DISPATCH_TTL: Duration = Duration::from_secs(10);

/// The dispatches to one replica and the time at which they are expected to be done.
#[derive(Clone, Debug)]
pub(crate) struct QueueModel {
    busy_until: Duration,
    dispatches: VecDeque<Dispatch>,
    decode_slots: usize,
    /// The mean time from the first token to the end of a response.
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
    pub(crate) fn new(decode_slots: usize) -> Self {
        Self {
            busy_until: Duration::ZERO,
            dispatches: VecDeque::new(),
            decode_slots: decode_slots.max(1),
            decode_time: INITIAL_DECODE_TIME,
        }
    }

    /// Returns the expected wait of a request dispatched at `now`.
    pub(crate) fn wait(&self, now: Duration) -> Duration {
        self.start(now).saturating_sub(now)
    }

    /// Returns when a request dispatched at `now` is expected to start, which is when the queue is empty and
    /// a decode slot is free.
    fn start(&self, now: Duration) -> Duration {
        self.busy_until.max(now).max(self.slot_free_at(now))
    }

    /// Returns when a decode slot is expected to be free for another request.
    fn slot_free_at(&self, now: Duration) -> Duration {
        if self.dispatches.len() < self.decode_slots {
            return now;
        }
        let mut finishes: SmallVec<[Duration; 64]> = self
            .dispatches
            .iter()
            .map(|d| d.end + self.decode_time)
            .filter(|&finish| finish > now)
            .collect();
        let Some(excess) = finishes.len().checked_sub(self.decode_slots) else {
            return now;
        };
        let (_, finish, _) = finishes.select_nth_unstable(excess);
        *finish
    }

    /// Records that the response to `request` ended at `at`.
    pub(crate) fn record_finished(&mut self, request: RequestTag, at: Duration) {
        let Some(index) = self.position(request) else {
            return;
        };
        let Some(dispatch) = self.dispatches.remove(index) else {
            return;
        };
        let decode_time = at.saturating_sub(dispatch.end).as_secs_f64();
        let mean = self.decode_time.as_secs_f64();
        let mean = mean + DECODE_TIME_WEIGHT * (decode_time - mean);
        self.decode_time = Duration::from_secs_f64(mean.max(0.0));
    }

    /// Returns when the queue is expected to be empty.
    pub(crate) fn busy_until(&self) -> Duration {
        self.busy_until
    }

    /// Records a dispatch that takes `cost` of prefill time.
    pub(crate) fn record_dispatch(&mut self, request: RequestTag, at: Duration, cost: Duration) {
        while self.dispatches.len() >= MAX_DISPATCHES
            || self
                .dispatches
                .front()
                .is_some_and(|d| d.end + DISPATCH_TTL < at)
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

    /// Removes a dispatch that did not take place.
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

    /// Records that `request` produced its first token at `at`, so it and all earlier requests have finished
    /// prefill.
    pub(crate) fn record_first_token(&mut self, request: RequestTag, at: Duration) {
        if let Some(index) = self.position(request) {
            self.replay(index + 1, at);
        }
    }

    /// Records that `waiting` requests were waiting for or in prefill at `at`. Each request not known here is
    /// assumed to cost `mean_cost`.
    pub(crate) fn apply_load_report(&mut self, waiting: usize, at: Duration, mean_cost: Duration) {
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

    /// Merges the end of the queue that a peer expects, if it is later.
    pub(crate) fn merge_busy_until(&mut self, busy_until: Duration) {
        self.busy_until = self.busy_until.max(busy_until);
    }

    fn position(&self, request: RequestTag) -> Option<usize> {
        self.dispatches.iter().position(|d| d.request == request)
    }

    /// Replays the dispatches from index `first`, assuming that the queue before them ends at `free_at`.
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
