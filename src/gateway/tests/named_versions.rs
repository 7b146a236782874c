//! Replays of when weights count as outdated.

use std::sync::Arc;
use std::time::Duration;

use yare::parameterized;

use super::ms;
use crate::gateway::list_watch::ReadTime;
use crate::gateway::named_versions::NamedVersions;
use crate::gateway::route::ModelName;
use crate::gateway::shared::Snapshot;
use crate::gateway::updates::WeightsUpdate;
use crate::id::WeightsVersion;

const KEEP: Duration = ms(60_000);
const MAX_AGE: Duration = ms(6_000);

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

/// Returns the time of a watch that was sent and answered at these times.
fn watch(sent_ms: u64, received_ms: u64) -> ReadTime {
    ReadTime::of_watch(ms(sent_ms), ms(received_ms))
}

/// Returns the time of a list that was requested at this time.
fn list(sent_ms: u64) -> ReadTime {
    ReadTime {
        sent_at: ms(sent_ms),
        complete_until: ms(sent_ms),
    }
}

/// Records the versions that a read has found, like the control thread.
fn learn(named: &mut NamedVersions, read: ReadTime, now_ms: u64, versions: &[WeightsVersion]) {
    let found_at = named.found_at(read, ms(now_ms), MAX_AGE);
    for version in versions {
        named.record(&model(), *version, found_at);
    }
    named.confirm(read.complete_until);
}

/// Returns versions of which the first was found at 1 s, long after the router's start, and which are complete until 20 s.
fn complete_until_20_s() -> NamedVersions {
    let mut named = NamedVersions::default();
    learn(&mut named, list(0), 100, &[]);
    learn(&mut named, watch(150, 1_000), 1_000, &[1]);
    learn(&mut named, watch(17_000, 20_000), 20_000, &[]);
    named
}

/// A version that is found after a gap may have been named at any time since its begin.
#[parameterized(
    list_after_another_source = { list(24_000), 24_200, 20_000 },
    list_after_a_short_gap = { list(20_010), 20_200, 20_000 },
    list_after_a_long_gap = { list(400_000), 400_200, 394_200 },
    slow_list = { list(20_010), 21_200, 20_000 },
    watch_after_a_hanging_one = { watch(24_600, 24_700), 24_700, 20_100 },
    watch_after_a_long_gap = { watch(60_000, 60_200), 60_200, 54_200 },
    watch_without_a_gap = { watch(20_010, 22_000), 22_000, 21_990 },
    watch_read_after_a_pause = { watch(20_010, 25_000), 25_000, 23_000 },
)]
fn found_at_counts_from_the_begin_of_a_gap(read: ReadTime, now_ms: u64, expected_ms: u64) {
    let mut named = complete_until_20_s();
    learn(&mut named, read, now_ms, &[2]);
    assert_eq!(outdated_since(&named, 1), Some(ms(expected_ms)));
}

#[test]
fn found_at_first_list_leaves_the_grace_of_a_start() {
    let mut named = NamedVersions::default();
    learn(&mut named, list(500_000), 500_200, &[7]);
    assert_eq!(outdated_since(&named, 6), Some(ms(494_200)));
}

/// Versions 2 and 3 were named within the gap; only the newest one is in the list.
#[test]
fn found_at_covers_versions_that_were_never_learned() {
    let mut named = complete_until_20_s();
    learn(&mut named, list(23_000), 23_200, &[4]);
    assert_eq!(outdated_since(&named, 1), Some(ms(20_000)));
    // Without a further gap, the next one counts from its own time.
    learn(&mut named, watch(23_250, 25_000), 25_000, &[5]);
    assert_eq!(outdated_since(&named, 4), Some(ms(24_750)));
    assert_eq!(outdated_since(&named, 1), Some(ms(20_000)));
}

/// A router follows another one, which last knew all versions at 30 s when it died.
#[test]
fn confirm_counts_from_what_another_router_vouched_for() {
    let mut named = complete_until_20_s();
    named.confirm(ms(30_000));
    // An update that was held up vouches for less.
    named.confirm(ms(29_000));
    learn(&mut named, list(32_500), 32_600, &[2]);
    assert_eq!(outdated_since(&named, 1), Some(ms(30_000)));
}

/// The store comes back from an older copy; the operator names the lost version 3 again, then 4.
#[test]
fn record_older_copy_of_the_store_changes_no_age() {
    let mut named = complete_until_20_s();
    learn(&mut named, watch(20_010, 21_000), 21_000, &[2]);
    learn(&mut named, watch(21_010, 22_000), 22_000, &[3]);
    let before = outdated_since(&named, 1);
    learn(&mut named, list(25_000), 25_100, &[2]);
    learn(&mut named, watch(25_150, 26_000), 26_000, &[3]);
    assert_eq!(outdated_since(&named, 1), before);
    learn(&mut named, watch(26_050, 28_000), 28_000, &[4]);
    assert_eq!(outdated_since(&named, 3), Some(ms(27_950)));
}

/// A source whose watch hangs is left before older weights expire; one that waits for changes is not.
#[test]
fn is_current_hanging_watch_is_not_passed_on() {
    let mut named = NamedVersions::default();
    assert!(!named.is_current(ms(0)));
    named.confirm(ms(20_000));
    assert!(named.is_current(ms(23_400)));
    assert!(!named.is_current(ms(24_000)));
}

/// An update that is under way for long must not make a version younger. The requests are sent at 10.3 s.
#[parameterized(
    answered_at_once = { 10_300_200, 10_200_000 },
    answered_after_the_wait = { 10_500_900, 10_400_900 },
    held_up_after_its_creation = { 10_301_000, 10_300_900 },
    created_within_a_millisecond = { 10_300_999, 10_300_500 },
)]
fn named_at_is_never_younger_at_another_router(created_us: u64, named_us: u64) {
    let (created, named_at) = (
        Duration::from_micros(created_us),
        Duration::from_micros(named_us),
    );
    let update = WeightsUpdate::of_named(&model(), 2, named_at, created);
    let received = update.named_at(ms(10_300));
    assert!(received <= named_at, "{received:?}");
    assert!(named_at - received < ms(202), "{received:?}");
}
