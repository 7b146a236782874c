//! Replays of when weights count as outdated.

use std::sync::Arc;
use std::time::Duration;

use super::ms;
use crate::gateway::named_versions::NamedVersions;
use crate::gateway::route::ModelName;
use crate::gateway::shared::Snapshot;
use crate::id::WeightsVersion;

const KEEP: Duration = ms(60_000);

fn model() -> ModelName {
    Arc::from("m")
}

/// Returns since when weights of `version` are outdated.
fn outdated_since(named: &NamedVersions, version: WeightsVersion) -> Option<Duration> {
    let snapshot = Snapshot {
        named: named.models().clone(),
        ..Snapshot::default()
    };
    snapshot.outdated_since(&model(), version)
}

#[test]
fn prune_keeps_the_age_of_stuck_weights() {
    let mut named = NamedVersions::default();
    named.record(&model(), 1, ms(0));
    named.record(&model(), 2, ms(1_000));
    named.prune(ms(62_000), KEEP);
    named.record(&model(), 3, ms(62_000));
    for now_ms in (62_000..300_000).step_by(100) {
        named.prune(ms(now_ms), KEEP);
        let since = outdated_since(&named, 1).unwrap();
        assert!(
            since == ms(1_000) || since + KEEP <= ms(now_ms),
            "weights of version 1 are {:?} old at {now_ms} ms",
            ms(now_ms) - since
        );
    }
}

#[test]
fn prune_versions_in_quick_succession_are_dropped_once_old() {
    let mut named = NamedVersions::default();
    for version in 1..=1_000 {
        named.record(&model(), version, ms(version * 1_000));
        named.prune(ms(version * 1_000), KEEP);
        assert!(named.models()[&model()].len() <= 62, "{version}");
        assert_eq!(outdated_since(&named, version), None);
        if version > 1 {
            let newest = Some(ms(version * 1_000));
            assert_eq!(outdated_since(&named, version - 1), newest);
        }
    }
    named.prune(ms(1_060_000), KEEP);
    assert_eq!(named.models()[&model()].len(), 1);
}
