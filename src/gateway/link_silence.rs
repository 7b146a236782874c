//! Decides whether this router's links to the replicas of a service are silent: connections open or live, and no response
//! comes back on them.
//!
//! Such a link shows in no failed connection. It is suspected once requests to several replicas have had no answer for
//! [`SUSPICION_TIME`], whether they still wait or were broken off, and no replica of the service has responded directly
//! meanwhile. Connections are then opened over other routers where that is possible, and directly where not. The
//! suspicion is confirmed by a response that comes over another router: the replicas respond to others. A request that
//! may be repeated is sent directly once in [`TRIAL_INTERVAL`]; any direct response ends the silence.
//!
//! Load patterns handled: a cut whose connections hang, or are reset, behind a device that accepts them; a cut of one
//! service only; requests whose deadlines are shorter than the suspicion takes; one replica that is silent while the others
//! respond, and several for a second (no suspicion); a full service whose replicas respond to nobody for a while (a
//! suspicion that costs connections, and is not confirmed); a cut that ends while only requests come that must not be
//! repeated (the verdict expires).
//!
//! Rejected: a verdict by silence alone, since all routers of a full service would then take themselves for cut off.

use std::time::Duration;

use smallvec::SmallVec;

use super::load::ReplicaKey;

/// How long requests have no answer before the links are suspected; a sound replica may be silent for a second.
const SUSPICION_TIME: Duration = Duration::from_millis(1_100);
/// The number of replicas that must not have answered, if the service has as many.
const SUSPICION_REPLICAS: usize = 2;
/// The time between two requests that are sent over silent links.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);
/// How long links stay silent without a request that finds out.
const MAX_SILENCE: Duration = Duration::from_secs(10);

/// What is known about the direct links to the replicas of one service.
#[derive(Debug, Default)]
pub(crate) struct LinkSilence {
    /// The first replicas to which requests were sent directly since one last responded directly, and when.
    unanswered: SmallVec<[(ReplicaKey, Duration); SUSPICION_REPLICAS]>,
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
        let is_known = self.unanswered.iter().any(|(known, _)| *known == replica);
        if !is_known && self.unanswered.len() < SUSPICION_REPLICAS {
            self.unanswered.push((replica, now));
        }
    }

    /// Records a part of a direct response.
    pub(crate) fn responded(&mut self, now: Duration) -> Option<SilenceChange> {
        self.unanswered.clear();
        let silence = self.silent.take().filter(|silence| silence.is_confirmed)?;
        Some(SilenceChange::Ended(now.saturating_sub(silence.since)))
    }

    /// Records a part of a response that came over another router.
    pub(crate) fn relayed_responded(&mut self) -> Option<SilenceChange> {
        let silence = self.silent.as_mut()?;
        let is_new = !std::mem::replace(&mut silence.is_confirmed, true);
        is_new.then_some(SilenceChange::Confirmed)
    }

    /// Returns whether the links are silent, as far as this router can tell.
    pub(crate) const fn is_suspected(&self) -> bool {
        self.silent.is_some()
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
        if self.silent.is_none() && self.has_no_answer(replicas, now) {
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
        let is_over = |silence: Silence| now >= silence.since + MAX_SILENCE;
        if self.silent.is_some_and(is_over) {
            self.silent = None;
            self.unanswered.clear();
        }
    }

    fn has_no_answer(&self, replicas: usize, now: Duration) -> bool {
        let is_old = |(_, sent_at): &(ReplicaKey, Duration)| now >= *sent_at + SUSPICION_TIME;
        let old = self.unanswered.iter().filter(|entry| is_old(entry)).count();
        old > 0 && old >= SUSPICION_REPLICAS.min(replicas)
    }
}
