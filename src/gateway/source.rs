//! Selects where a router gets platform updates from, and keeps the changes that it passes on to other routers.
//!
//! The routers that query the platform directly are found by rendezvous hashing over the routers of a zone. A wrong
//! selection costs extra calls but never correctness: a router that gets no updates queries the platform itself for a
//! while.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::fleet::ReplicaEntry;
use crate::id::{RouterId, ZoneName};
use crate::membership::watchers_of;

/// One in this many routers of a zone queries the platform directly, and at least one.
const ROUTERS_PER_WATCHER: usize = 16;
/// How long a router queries the platform directly after another router failed to provide an update.
const DIRECT_DURATION: Duration = Duration::from_secs(3);
/// How long after its start a router waits for routers that have no state yet instead of querying the platform; shorter
/// than the time after which the users expect a restarted VM to meet the bounds.
const START_PHASE: Duration = Duration::from_millis(2_500);
/// The pause before another router is asked after one had no state yet.
const NOT_READY_PAUSE: Duration = Duration::from_millis(200);
/// The maximum interval between reads of the configuration, which also limits how long revoked keys work.
const MAX_CONFIGURATION_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a request for updates waits at another router; the load figures of other routers get as old as this.
pub(crate) const UPDATE_WAIT: Duration = Duration::from_millis(200);
/// How much older than the read interval the confirmation of another router may be; a slow store responds in 0.25 s.
const MAX_EXTRA_AGE: Duration = Duration::from_millis(350);
/// The number of change batches kept for other routers.
const MAX_BATCHES: usize = 128;

/// Returns the interval between reads of the configuration: half of the time within which a change must be in force.
pub(crate) fn configuration_interval(in_force_within: Duration) -> Duration {
    (in_force_within / 2).min(MAX_CONFIGURATION_INTERVAL)
}

/// Returns whether a configuration of this age may be passed on to other routers or accepted from them.
///
/// A router whose calls hang must not keep others from learning of changes on the platform.
pub(crate) fn is_current(age: Duration, interval: Duration) -> bool {
    age < interval + MAX_EXTRA_AGE
}

/// Where a router gets its updates from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// The platform itself.
    Platform,
    /// Another router.
    Router(RouterId),
}

/// Selects the source of updates.
///
/// Load pattern handled: all routers start at once. Those that query the platform have no state yet when the others ask
/// them first; if each of the others then queried the platform, their number would decide the load of the store.
#[derive(Debug)]
pub(crate) struct SourceSelector {
    started_at: Duration,
    direct_until: Duration,
    ask_after: Duration,
    /// The number of consecutive replies without state; each selects the next router.
    not_ready: usize,
}

impl SourceSelector {
    /// Creates the selector of a router that starts at `now`.
    pub(crate) const fn new(now: Duration) -> Self {
        Self {
            started_at: now,
            direct_until: Duration::ZERO,
            ask_after: Duration::ZERO,
            not_ready: 0,
        }
    }

    /// Selects among the routers of this zone that are believed to be alive, including this one.
    pub(crate) fn choose(&self, own: &RouterId, zone: &[&RouterId], now: Duration) -> UpdateSource {
        if now < self.direct_until {
            return UpdateSource::Platform;
        }
        let watchers = watchers(zone);
        if watchers.is_empty() || watchers.contains(&own) {
            return UpdateSource::Platform;
        }
        let hash = xxh3_64_with_seed(own.as_bytes(), 1) as usize;
        let index = hash.wrapping_add(self.not_ready) % watchers.len();
        UpdateSource::Router(watchers[index].clone())
    }

    /// Returns whether another router may be asked at `now`.
    pub(crate) fn may_ask(&self, now: Duration) -> bool {
        now >= self.ask_after
    }

    /// Records that another router sent an update.
    pub(crate) const fn succeeded(&mut self) {
        self.not_ready = 0;
    }

    /// Records that another router responded that it has no current state.
    pub(crate) fn had_no_state(&mut self, now: Duration) {
        if now >= self.started_at + START_PHASE {
            self.failed(now);
            return;
        }
        self.not_ready += 1;
        self.ask_after = now + NOT_READY_PAUSE;
    }

    /// Records that another router was unreachable.
    pub(crate) fn failed(&mut self, now: Duration) {
        self.not_ready = 0;
        self.direct_until = now + DIRECT_DURATION;
    }
}

/// Returns the routers of a zone that query the platform directly.
pub(crate) fn watchers<'a>(zone: &[&'a RouterId]) -> Vec<&'a RouterId> {
    let count = 1 + zone.len() / ROUTERS_PER_WATCHER;
    watchers_of(xxh3_64(b"platform"), zone.iter().copied(), count)
}

/// Returns the other routers that query the platform directly, given all routers and their zones; all others if this is
/// the only one, since its followers query the platform as soon as it can't provide updates.
pub(crate) fn witnesses<'a>(
    own: &RouterId,
    routers: &[(&'a RouterId, &'a ZoneName)],
) -> Vec<&'a RouterId> {
    let mut zones: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for (router, zone) in routers {
        zones.entry(*zone).or_default().push(*router);
    }
    let direct = zones.values().flat_map(|zone| watchers(zone));
    let witnesses: Vec<_> = direct.filter(|router| *router != own).collect();
    if !witnesses.is_empty() {
        return witnesses;
    }
    let all = routers.iter().map(|(router, _)| *router);
    all.filter(|router| *router != own).collect()
}

/// The recent changes to the list of replicas.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// The revision that the oldest batch builds on.
    base_revision: u64,
    batches: VecDeque<(u64, Vec<ReplicaEntry>)>,
}

impl ChangeLog {
    /// Clears the log after the complete list as of a revision was read.
    pub(crate) fn reset(&mut self, as_of: u64) {
        self.base_revision = as_of;
        self.batches.clear();
    }

    /// Appends the changes that lead up to a revision.
    pub(crate) fn push(&mut self, as_of: u64, entries: Vec<ReplicaEntry>) {
        self.batches.push_back((as_of, entries));
        while self.batches.len() > MAX_BATCHES {
            if let Some((dropped, _)) = self.batches.pop_front() {
                self.base_revision = dropped;
            }
        }
    }

    /// Returns the changes after a revision; `None` if they are no longer kept and the complete list must be sent.
    pub(crate) fn since(&self, as_of: u64) -> Option<impl Iterator<Item = &ReplicaEntry>> {
        let is_kept = as_of >= self.base_revision && as_of > 0;
        is_kept.then(|| {
            let batches = self
                .batches
                .iter()
                .filter(move |(revision, _)| *revision > as_of);
            batches.flat_map(|(_, entries)| entries)
        })
    }
}
