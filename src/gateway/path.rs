//! Decides whether connections to replicas are opened directly or over another router.
//!
//! Handles routers whose links to some or all replicas are cut while the other routers reach them
//! (docs/design/partitions.md). A failed direct connection alone says nothing: the replica may be down. Its path counts as
//! cut once another router has connected where this one has not. Rejected: reports of what other routers reach, which
//! come too late for the requests that arrive first, and say nothing about whether they have room.

use std::time::Duration;

use smallvec::SmallVec;

use super::load::ReplicaKey;

/// The pause between two probes of a direct path, and the maximum to which it grows.
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(500);
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(2);
/// The time within which new connections return to a direct path, and their share at its beginning.
const RESTORE_TIME: Duration = Duration::from_secs(1);
const MIN_RESTORED_SHARE: f64 = 0.25;
/// How long a replica may be silent on its direct connections before those of a cut path are no longer used.
const MAX_DIRECT_SILENCE: Duration = Duration::from_secs(1);
/// How long no replica responds directly before the router counts as cut off.
const CUT_OFF_SILENCE: Duration = Duration::from_millis(200);
/// The number of replicas that can't be connected directly to a router that is cut off, if it knows as many.
const CUT_OFF_REPLICAS: usize = 2;

/// The path to one replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Path {
    /// Since when connections are opened over other routers; `None` if they are opened directly.
    relayed_since: Option<Duration>,
    restored_at: Option<Duration>,
    next_probe_at: Duration,
    probe_pause: Duration,
}

impl Path {
    /// Returns whether connections are opened over other routers.
    pub(crate) const fn is_relayed(&self) -> bool {
        self.relayed_since.is_some()
    }

    /// Returns whether the next connection is opened directly; `draw` is random, from 0 to 1.
    pub(crate) fn prefers_direct(&self, now: Duration, draw: f64) -> bool {
        if self.is_relayed() {
            return false;
        }
        self.restored_at.is_none_or(|at| {
            let progress = now.saturating_sub(at).as_secs_f64() / RESTORE_TIME.as_secs_f64();
            draw < MIN_RESTORED_SHARE + progress
        })
    }

    /// Returns whether an idle direct connection may be used, if the replica last responded directly at `responded_at`.
    pub(crate) fn allows_idle_direct(&self, responded_at: Option<Duration>, now: Duration) -> bool {
        let is_responsive = responded_at.is_some_and(|at| now < at + MAX_DIRECT_SILENCE);
        !self.is_relayed() || is_responsive
    }

    /// Records that the direct path is cut; returns whether this was not known.
    pub(crate) fn cut(&mut self, now: Duration) -> bool {
        if self.is_relayed() {
            return false;
        }
        *self = Self {
            relayed_since: Some(now),
            restored_at: None,
            next_probe_at: now + MIN_PROBE_PAUSE,
            probe_pause: MIN_PROBE_PAUSE,
        };
        true
    }

    /// Records a direct connection; returns for how long the path was cut if it was until now.
    pub(crate) fn connected(&mut self, now: Duration) -> Option<Duration> {
        let relayed_since = self.relayed_since.take()?;
        self.restored_at = Some(now);
        Some(now.saturating_sub(relayed_since))
    }

    /// Returns whether the direct path is to be probed now; the next probe is due after a longer pause.
    pub(crate) fn take_due_probe(&mut self, now: Duration) -> bool {
        if !self.is_relayed() || now < self.next_probe_at {
            return false;
        }
        self.next_probe_at = now + self.probe_pause;
        self.probe_pause = (self.probe_pause * 2).min(MAX_PROBE_PAUSE);
        true
    }
}

/// What a router can say about its links to all replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Reach {
    /// The replicas that could not be connected directly since one responded directly.
    failed: SmallVec<[ReplicaKey; CUT_OFF_REPLICAS]>,
    first_failed_at: Duration,
    /// Whether another router has connected to a replica since the first failure.
    has_relayed: bool,
    cut_off_since: Option<Duration>,
}

/// A change of the verdict on a router's links.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReachChange {
    /// The router reaches no replica, and others do.
    CutOff,
    /// The router reaches a replica again, after this time.
    Restored(Duration),
}

impl Reach {
    /// Returns whether the router reaches no replica, and others do.
    pub(crate) const fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Records that a direct connection failed.
    pub(crate) fn direct_failed(&mut self, replica: ReplicaKey, now: Duration) {
        if self.failed.is_empty() {
            self.first_failed_at = now;
        }
        if self.failed.len() < CUT_OFF_REPLICAS && !self.failed.contains(&replica) {
            self.failed.push(replica);
        }
    }

    /// Records that another router has connected to a replica.
    pub(crate) fn relayed(&mut self) {
        self.has_relayed |= !self.failed.is_empty();
    }

    /// Records a response or an accepted connection of a replica over a direct path; returns the change of the verdict.
    pub(crate) fn direct_responded(&mut self, now: Duration) -> Option<ReachChange> {
        self.failed.clear();
        self.has_relayed = false;
        let since = self.cut_off_since.take()?;
        Some(ReachChange::Restored(now.saturating_sub(since)))
    }

    /// Returns whether another replica is to be probed for the verdict: requests may all go to one.
    pub(crate) fn needs_probe(&self, replicas: usize, now: Duration) -> bool {
        let is_silent = now >= self.first_failed_at + CUT_OFF_SILENCE;
        let is_open = self.failed.len() < CUT_OFF_REPLICAS.min(replicas);
        !self.is_cut_off() && self.has_relayed && is_silent && is_open
    }

    /// Returns whether a direct connection to this replica has failed since one responded directly.
    pub(crate) fn has_failed(&self, replica: ReplicaKey) -> bool {
        self.failed.contains(&replica)
    }

    /// Returns the change of the verdict by the passage of time, for a router that knows `replicas`.
    pub(crate) fn evaluate(&mut self, replicas: usize, now: Duration) -> Option<ReachChange> {
        let is_silent = now >= self.first_failed_at + CUT_OFF_SILENCE;
        let has_failed =
            !self.failed.is_empty() && self.failed.len() >= CUT_OFF_REPLICAS.min(replicas);
        if self.is_cut_off() || !has_failed || !self.has_relayed || !is_silent {
            return None;
        }
        self.cut_off_since = Some(now);
        Some(ReachChange::CutOff)
    }
}
