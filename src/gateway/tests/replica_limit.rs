//! Tests of the limits that replicas name: what a head says, and what a router makes of responses and reports.

use http::header::{HeaderMap, HeaderName, HeaderValue};
use yare::parameterized;

use super::ms;
use crate::gateway::replica_limit::{LimitChange, LimitReport, NamedLimit, ReplicaLimit};

const NAME: HeaderName = HeaderName::from_static("x-limit");

#[parameterized(
    absent = { &[], NamedLimit::None },
    decimal = { &[" 5.9 "], NamedLimit::PerSecond(5.9) },
    whole = { &["12"], NamedLimit::PerSecond(12.0) },
    zero = { &["0"], NamedLimit::PerSecond(0.2) },
    tiny = { &["0.001"], NamedLimit::PerSecond(0.2) },
    huge = { &["1e300"], NamedLimit::PerSecond(1_000_000.0) },
    negative = { &["-3"], NamedLimit::Unreadable },
    infinite = { &["inf"], NamedLimit::Unreadable },
    not_a_number = { &["NaN"], NamedLimit::Unreadable },
    text = { &["many"], NamedLimit::Unreadable },
    empty = { &[""], NamedLimit::Unreadable },
    not_ascii = { &["\u{fc}"], NamedLimit::Unreadable },
    twice = { &["7", "3.5"], NamedLimit::PerSecond(3.5) },
    listed = { &["7, 3.5"], NamedLimit::PerSecond(3.5) },
    twice_once_readable = { &["many", "3.5"], NamedLimit::PerSecond(3.5) },
)]
fn of_headers_value(values: &[&str], expected: NamedLimit) {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(NAME, HeaderValue::from_bytes(value.as_bytes()).unwrap());
    }
    assert_eq!(NamedLimit::of_headers(&headers, &NAME), expected);
}

#[test]
fn record_delayed_response_does_not_bring_limit_back() {
    let mut limit = ReplicaLimit::default();
    let named = NamedLimit::PerSecond(6.0);
    assert_eq!(
        limit.record(named, ms(1_000)),
        Some(LimitChange::Named(6.0))
    );
    assert_eq!(limit.record(NamedLimit::Unreadable, ms(1_900)), None);
    assert_eq!(limit.record(NamedLimit::None, ms(900)), None);
    assert_eq!(limit.rate_per_s(ms(60_000)), Some(6.0));
    assert_eq!(
        limit.record(NamedLimit::None, ms(2_000)),
        Some(LimitChange::Ended)
    );
    assert_eq!(limit.record(named, ms(1_500)), None);
    assert_eq!(limit.rate_per_s(ms(6_000)), None);
    assert_eq!(
        limit.record(named, ms(7_000)),
        Some(LimitChange::Named(6.0))
    );
}

/// All routers learn of the end at once. The work returned at once, too, and the replica named a limit again.
#[test]
fn rate_per_s_returns_in_steps_after_the_end() {
    let mut limit = ReplicaLimit::default();
    limit.record(NamedLimit::PerSecond(6.0), ms(1_000));
    limit.record(NamedLimit::None, ms(2_000));
    let rates = [2_000, 2_499, 2_500, 3_000, 4_999].map(|at| limit.rate_per_s(ms(at)));
    assert_eq!(rates, [6.0, 6.0, 12.0, 24.0, 192.0].map(Some));
    assert_eq!(limit.rate_per_s(ms(5_000)), None);
}

/// Two routers with different clocks exchange what they know; neither keeps the other from the end of the limit.
#[test]
fn merge_end_reaches_other_router_and_stays() {
    let (mut left, mut right) = (ReplicaLimit::default(), ReplicaLimit::default());
    let offset = ms(500_000);
    left.record(NamedLimit::PerSecond(6.0), ms(1_000));
    let report = left.report(7, ms(1_200)).unwrap();
    assert_eq!(
        right.merge(&report, ms(1_201) + offset),
        Some(LimitChange::Named(6.0))
    );
    let stale = left.report(7, ms(1_900)).unwrap();
    right.record(NamedLimit::None, ms(2_000) + offset);
    assert_eq!(right.merge(&stale, ms(1_940) + offset), None);
    let report = right.report(7, ms(2_100) + offset).unwrap();
    assert_eq!(left.merge(&report, ms(2_101)), Some(LimitChange::Ended));
    assert_eq!(left.rate_per_s(ms(2_600)), Some(12.0));
    assert_eq!(left.report(7, ms(12_200)), None);
}

#[parameterized(
    not_a_number = { f64::NAN },
    negative = { -1.0 },
    infinite = { f64::INFINITY },
)]
fn merge_report_with_invalid_rate_is_ignored(rate_per_s: f64) {
    let report = LimitReport {
        key: 7,
        rate_per_s,
        age_ms: 10,
        ended_age_ms: None,
    };
    let mut limit = ReplicaLimit::default();
    assert_eq!(limit.merge(&report, ms(1_000)), None);
    assert_eq!(limit.rate_per_s(ms(1_000)), None);
}
