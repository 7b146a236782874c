//! The weights versions that the operator named, with the time from which each one counts.
//!
//! Weights are outdated from the time at which the first newer version was named, so a version is kept for as long as
//! weights older than it have to be judged by it.
//!
//! Load patterns handled: versions named faster than they are rolled out (each one is kept until its successor is old); a
//! replica that is stuck on a version for hours.
//!
//! Rejected: keeping each version for a fixed time after it was named, since older weights would then be judged by its
//! successor, which may have been named a moment ago.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::route::ModelName;
use crate::id::WeightsVersion;

/// The named versions of one model, oldest first, each with the time from which it counts as named.
pub(crate) type VersionTimes = Vec<(WeightsVersion, Duration)>;

/// The named versions of all models.
#[derive(Debug, Default)]
pub(crate) struct NamedVersions {
    models: BTreeMap<ModelName, VersionTimes>,
}

impl NamedVersions {
    /// Returns the versions by model.
    pub(crate) const fn models(&self) -> &BTreeMap<ModelName, VersionTimes> {
        &self.models
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
