//! Tests of the schedule of a shutdown.

use yare::parameterized;

use super::ms;
use crate::gateway::leaving::{LeavePhase, LeaveSchedule};

#[parameterized(
    cached_directory = { 2_900, 0, 0, LeavePhase::Serving },
    expired_directory_busy = { 3_100, 2, 3_000, LeavePhase::Refusing },
    expired_directory_recent_arrival = { 3_900, 0, 3_000, LeavePhase::Refusing },
    expired_directory_quiet = { 4_000, 0, 3_000, LeavePhase::Closing },
    long_request_within_grace = { 7_500, 1, 1_000, LeavePhase::Refusing },
    long_request_at_end_of_grace = { 7_530, 1, 1_000, LeavePhase::Closing },
)]
fn phase_case(now_ms: u64, open: usize, last_arrival_ms: u64, expected: LeavePhase) {
    let schedule = LeaveSchedule::new(ms(0), ms(8_000), ms(1_000));
    assert_eq!(
        schedule.phase(ms(now_ms), open, ms(last_arrival_ms)),
        expected
    );
}

#[test]
fn phase_short_grace_leaves_time_for_open_requests() {
    let schedule = LeaveSchedule::new(ms(0), ms(2_000), ms(1_000));
    assert!(!schedule.refuses_at(ms(1_299)));
    assert!(schedule.refuses_at(ms(1_300)));
}

#[parameterized(
    at_close = { 7_520, 320 },
    responses_flushed_to_the_last = { 7_760, 80 },
    late = { 8_100, 0 },
)]
fn time_left_case(now_ms: u64, expected_ms: u64) {
    let schedule = LeaveSchedule::new(ms(0), ms(8_000), ms(1_000));
    assert_eq!(schedule.time_left(ms(now_ms)), ms(expected_ms));
}
