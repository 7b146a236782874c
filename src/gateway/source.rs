//! Whether this router asks the platform itself or a router of its zone, and what it can tell routers that ask it.
//!
//! Who asks the platform is found by rendezvous hashing over the routers of a zone. A wrong guess costs extra calls and
//! never correctness: a router that gets no news goes to the platform itself for a while.

use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::fleet::ReplicaEntry;
use crate::id::RouterId;
use crate::membership::watchers_of;

/// One router in so many of a zone asks the platform itself, and one in any case.
const ROUTERS_PER_WATCHER: usize = 16;
/// How long a router asks the platform itself after it got no news from another.
const DIRECT_TIME: Duration = Duration::from_secs(3);
/// The longest pause between two readings of the configuration, which also bounds how long revoked keys work.
const MAX_CONFIGURATION_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a question for news waits at another router; so old is what it tells of other routers' work.
pub(crate) const NEWS_WAIT: Duration = Duration::from_millis(200);
/// How much older than a reading's interval another router's confirmation may be: a slow store answers in 0.25 s.
const NEWS_SLACK_AGE: Duration = Duration::from_millis(350);
/// The groups of changes that are kept for routers that ask.
const MAX_GROUPS: usize = 128;

/// Returns the pause between two readings of the configuration: half of the time in which one has to be in force.
pub(crate) fn configuration_interval(in_force_within: Duration) -> Duration {
    (in_force_within / 2).min(MAX_CONFIGURATION_INTERVAL)
}

/// Tells whether a configuration that was confirmed so long ago may be told to others, or taken from them.
///
/// A router whose calls hang must not keep others from what the platform has changed.
pub(crate) fn is_news(age: Duration, interval: Duration) -> bool {
    age < interval + NEWS_SLACK_AGE
}

/// Where a router gets its news from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// From the platform.
    Platform,
    /// From another router.
    Router(RouterId),
}

/// Decides where the news come from.
#[derive(Debug, Default)]
pub(crate) struct SourceChoice {
    direct_until: Duration,
}

impl SourceChoice {
    /// Chooses among the routers of the own zone that are believed to run, the own one included.
    pub(crate) fn choose(&self, own: &RouterId, zone: &[&RouterId], now: Duration) -> Source {
        if now < self.direct_until {
            return Source::Platform;
        }
        let watchers = watchers(zone);
        if watchers.is_empty() || watchers.contains(&own) {
            return Source::Platform;
        }
        let place = xxh3_64_with_seed(own.as_bytes(), 1) as usize % watchers.len();
        Source::Router(watchers[place].clone())
    }

    /// Notes that another router had no news or could not be reached.
    pub(crate) fn failed(&mut self, now: Duration) {
        self.direct_until = now + DIRECT_TIME;
    }
}

/// Returns the routers of a zone that ask the platform themselves.
pub(crate) fn watchers<'a>(zone: &[&'a RouterId]) -> Vec<&'a RouterId> {
    let count = 1 + zone.len() / ROUTERS_PER_WATCHER;
    watchers_of(xxh3_64(b"platform"), zone.iter().copied(), count)
}

/// The latest changes of the list of replicas.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// What is known of the list before the first group.
    begins_at: u64,
    groups: VecDeque<(u64, Vec<ReplicaEntry>)>,
}

impl ChangeLog {
    /// Begins anew with a whole list as of a revision.
    pub(crate) fn restart(&mut self, as_of: u64) {
        self.begins_at = as_of;
        self.groups.clear();
    }

    /// Adds changes that lead up to a revision.
    pub(crate) fn push(&mut self, as_of: u64, entries: Vec<ReplicaEntry>) {
        self.groups.push_back((as_of, entries));
        while self.groups.len() > MAX_GROUPS {
            if let Some((dropped, _)) = self.groups.pop_front() {
                self.begins_at = dropped;
            }
        }
    }

    /// Returns what changed after a revision; `None` where that is not kept, and the whole list has to be told.
    pub(crate) fn since(&self, as_of: u64) -> Option<impl Iterator<Item = &ReplicaEntry>> {
        let is_kept = as_of >= self.begins_at && as_of > 0;
        is_kept.then(|| {
            let groups = self.groups.iter().filter(move |(group, _)| *group > as_of);
            groups.flat_map(|(_, entries)| entries)
        })
    }
}
