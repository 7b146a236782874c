//! The weights versions that the operator named, with the time from which each one counts.
//!
//! Weights are outdated from the time at which the first newer version was named, so a version is kept for as long as
//! weights older than it have to be judged by it. The platform doesn't tell when a version was named. One that is found
//! after a gap, in which this router didn't hear from the store, counts from the begin of the gap: requests would
//! otherwise begin on older weights for too long. Since a gap may be long, and the rollout may have just begun, some grace
//! is left in any case.
//!
//! Load patterns handled: a watch that hangs or fails for seconds; a list after another router was followed that has died;
//! a list without a gap, after a compaction of the store; several versions within a gap, of which only the newest is found;
//! versions named faster than they are rolled out (each one is kept until its successor is old); a
//! replica that is stuck on a version for hours.
//!
//! Rejected: keeping each version for a fixed time after it was named, since older weights would then be judged by its
//! successor, which may have been named a moment ago.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::list_watch::{ReadTime, WATCH_TIMEOUT};
use super::route::ModelName;
use crate::id::WeightsVersion;

/// The time since a router last knew all named versions from which other routers don't rely on it any more. A watch that
/// ends without changes is answered within less.
const MAX_SOURCE_AGE: Duration = Duration::from_secs(WATCH_TIMEOUT.as_secs() + 1);

/// The named versions of one model, oldest first, each with the time from which it counts as named.
pub(crate) type VersionTimes = Vec<(WeightsVersion, Duration)>;

/// The named versions of all models.
#[derive(Debug, Default)]
pub(crate) struct NamedVersions {
    models: BTreeMap<ModelName, VersionTimes>,
    /// The time up to which all named versions are known; `None` before the first list.
    complete_until: Option<Duration>,
}

impl NamedVersions {
    /// Returns the versions by model.
    pub(crate) const fn models(&self) -> &BTreeMap<ModelName, VersionTimes> {
        &self.models
    }

    /// Returns the time up to which all named versions are known; `None` before the first list.
    pub(crate) const fn complete_until(&self) -> Option<Duration> {
        self.complete_until
    }

    /// Returns from when a version counts as named that was first found by a read of the store; at most `max_age` before
    /// `now`.
    ///
    /// The version may have been named in the gap before the read was sent.
    pub(crate) fn found_at(&self, read: ReadTime, now: Duration, max_age: Duration) -> Duration {
        let known_until = self.complete_until.unwrap_or_default();
        let gap = read.sent_at.saturating_sub(known_until);
        let earliest = read.complete_until.saturating_sub(gap);
        earliest.max(now.saturating_sub(max_age))
    }

    /// Returns whether the named versions may be passed on to other routers: a router whose watch hangs must not keep others
    /// from learning of new versions.
    pub(crate) fn is_current(&self, now: Duration) -> bool {
        let known_until = self.complete_until;
        known_until.is_some_and(|known_until| now < known_until + MAX_SOURCE_AGE)
    }

    /// Records that all versions named until then are known.
    pub(crate) fn confirm(&mut self, complete_until: Duration) {
        self.complete_until = self.complete_until.max(Some(complete_until));
    }

    /// Records that a version counts as named at `named_at`; returns whether it is newer than the known ones.
    pub(crate) fn record(
        &mut self,
        model: &ModelName,
        version: WeightsVersion,
        named_at: Duration,
    ) -> bool {
        let versions = self.models.entry(Arc::clone(model)).or_default();
        let newest = versions.last();
        if newest.is_some_and(|(newest, _)| version <= *newest) {
            return false;
        }
        versions.push((version, named_at));
        true
    }

    /// Drops the versions whose successor was named longer than `keep` ago. Weights that are older than both have expired
    /// by either of them if `keep` is at least the bound on old weights.
    pub(crate) fn prune(&mut self, now: Duration, keep: Duration) {
        for versions in self.models.values_mut() {
            let is_old = |(_, named_at): &(WeightsVersion, Duration)| now >= *named_at + keep;
            let successors = versions.iter().skip(1);
            let dropped = successors.take_while(|successor| is_old(successor)).count();
            versions.drain(..dropped);
        }
    }
}
