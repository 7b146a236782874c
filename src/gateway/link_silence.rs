//! Decides whether this router's links to the replicas of a service are silent: connections open and live, and nothing
//! comes back on them.
//!
//! Such a link shows in no failed connection. It is suspected once requests have waited at several replicas for
//! [`SUSPICION_TIME`] and no replica of the service has responded directly meanwhile. Connections are then opened over other
//! routers where that is possible, and directly where not. The suspicion is confirmed by a response that comes over another
//! router: the replicas respond to others. A request that may be repeated is sent directly once in [`TRIAL_INTERVAL`]; any
//! direct response ends the silence.
//!
//! Load patterns handled: a cut whose connections hang behind a device that accepts them; a cut of one service only; one
//! replica that is silent while the others respond (no suspicion); a full service whose replicas respond to nobody for a
//! while (a suspicion that costs connections, and is not confirmed); a cut that ends while only requests come that must not be
//! repeated (the verdict expires).
//!
//! Rejected: a verdict by silence alone, since all routers of a full service would then take themselves for cut off.

use std::time::Duration;

use smallvec::SmallVec;

use super::load::ReplicaKey;

/// How long requests wait without any response before the links are suspected.
const SUSPICION_TIME: Duration = Duration::from_millis(500);
/// The number of replicas at which requests must wait, if the service has as many.
const SUSPICION_REPLICAS: usize = 2;
/// The time between two requests that are sent over silent links.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// How long links stay silent without a request that finds out.
const MAX_SILENCE: Duration = Duration::from_secs(10);

/// What is known about the direct links to the replicas of one service.
#[derive(Debug, Default)]
pub(crate) struct LinkSilence {
    /// The requests that wait for the head of a direct response, and when they were sent.
    waiting: SmallVec<[(ReplicaKey, Duration); 8]>,
    /// When a replica last responded directly.
    responded_at: Duration,
    silent: Option<Silence>,
}

#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Duration,
    next_trial_at: Duration,
    is_confirmed: bool,
}

/// How the next request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkUse {
    /// As the path to its replica says.
    Direct,
    /// Over another router where one connects, because the links are silent.
    Relayed,
}

/// A change of the verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SilenceChange {
    /// The links are silent, while replicas respond to other routers.
    Confirmed,
    /// A replica responds directly again, after this time.
    Ended(Duration),
}

impl LinkSilence {
    /// Records that a request is sent directly.
    pub(crate) fn sent(&mut self, replica: ReplicaKey, now: Duration) {
        self.waiting.push((replica, now));
    }

    /// Records that a request no longer waits for the head of its response.
    pub(crate) fn ended(&mut self, replica: ReplicaKey, sent_at: Duration) {
        let position = self.waiting.iter().position(|at| *at == (replica, sent_at));
        if let Some(position) = position {
            self.waiting.swap_remove(position);
        }
    }

    /// Records a part of a direct response.
    pub(crate) fn responded(&mut self, now: Duration) -> Option<SilenceChange> {
        self.responded_at = now;
        let silence = self.silent.take().filter(|silence| silence.is_confirmed)?;
        Some(SilenceChange::Ended(now.saturating_sub(silence.since)))
    }

    /// Records a part of a response that came over another router.
    pub(crate) fn relayed_responded(&mut self) -> Option<SilenceChange> {
        let silence = self.silent.as_mut()?;
        let is_new = !std::mem::replace(&mut silence.is_confirmed, true);
        is_new.then_some(SilenceChange::Confirmed)
    }

    /// Returns whether the links are silent, while replicas respond to other routers.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.silent.is_some_and(|silence| silence.is_confirmed)
    }

    /// Returns how the next request to the service, which has `replicas`, is sent.
    pub(crate) fn next_use(
        &mut self,
        replicas: usize,
        is_retryable: bool,
        now: Duration,
    ) -> LinkUse {
        self.expire(now);
        if self.silent.is_none() && self.is_suspected(replicas, now) {
            self.silent = Some(Silence {
                since: now,
                next_trial_at: now + TRIAL_INTERVAL,
                is_confirmed: false,
            });
        }
        let Some(silence) = &mut self.silent else {
            return LinkUse::Direct;
        };
        if is_retryable && now >= silence.next_trial_at {
            silence.next_trial_at = now + TRIAL_INTERVAL;
            return LinkUse::Direct;
        }
        LinkUse::Relayed
    }

    fn expire(&mut self, now: Duration) {
        let is_over = |silence: &Silence| match silence.is_confirmed {
            true => now >= silence.since + MAX_SILENCE,
            // A suspicion ends with the requests that caused it.
            false => self.waiting.is_empty(),
        };
        if self.silent.as_ref().is_some_and(is_over) {
            self.silent = None;
        }
    }

    fn is_suspected(&self, replicas: usize, now: Duration) -> bool {
        if now < self.responded_at + SUSPICION_TIME {
            return false;
        }
        let mut silent: SmallVec<[ReplicaKey; SUSPICION_REPLICAS]> = SmallVec::new();
        for (replica, sent_at) in &self.waiting {
            let is_old = now >= *sent_at + SUSPICION_TIME;
            if is_old && silent.len() < SUSPICION_REPLICAS && !silent.contains(replica) {
                silent.push(*replica);
            }
        }
        !silent.is_empty() && silent.len() >= SUSPICION_REPLICAS.min(replicas)
    }
}
