//! Tests of when a caller's connection counts as quiet.

use std::time::Duration;

use super::ms;
use crate::gateway::caller_activity::{CallerActivity, CloseStep, QuietReason};
use crate::gateway::route::CallerLimits;

fn limits(idle_ms: u64) -> CallerLimits {
    CallerLimits {
        idle_timeout: ms(idle_ms),
        header_timeout: ms(3_000),
        ..CallerLimits::default()
    }
}

#[test]
fn expiry_of_idle_connection_follows_the_higher_limit() {
    let activity = CallerActivity::new(ms(0), limits(1_000));
    let expiry = |idle_ms| activity.expiry(limits(idle_ms));
    assert_eq!(expiry(1_000), Some((ms(1_000), QuietReason::Idle)));
    assert_eq!(expiry(4_000), Some((ms(4_000), QuietReason::Idle)));
    assert_eq!(expiry(200), Some((ms(1_000), QuietReason::Idle)));
}

#[test]
fn expiry_after_response_follows_the_limit_in_force_at_its_end() {
    let mut activity = CallerActivity::new(ms(0), limits(4_000));
    activity.request_began(ms(100));
    assert_eq!(activity.expiry(limits(4_000)), None);
    activity.request_ended(ms(9_000), limits(200));
    // The last bytes of the response are taken later.
    activity.sent(ms(9_100), false);
    let expected = Some((ms(9_300), QuietReason::Idle));
    assert_eq!(activity.expiry(limits(200)), expected);
}

#[test]
fn expiry_of_head_counts_from_its_first_byte() {
    let mut activity = CallerActivity::new(ms(0), limits(500));
    for at_ms in [400, 900, 3_000] {
        activity.received(ms(at_ms));
    }
    let expected = Some((ms(3_400), QuietReason::SlowHead));
    assert_eq!(activity.expiry(limits(500)), expected);
    activity.request_began(ms(3_300));
    activity.received(ms(3_350));
    assert_eq!(activity.expiry(limits(500)), None);
}

#[test]
fn expiry_of_blocked_response_counts_from_the_last_progress() {
    let mut activity = CallerActivity::new(ms(0), limits(500));
    activity.request_began(ms(0));
    activity.sent(ms(100), true);
    activity.sent(ms(1_000), false);
    assert_eq!(activity.expiry(limits(500)), None);
    activity.sent(ms(2_000), true);
    activity.request_ended(ms(2_100), limits(500));
    activity.sent(ms(2_200), true);
    let expected = ms(2_000) + Duration::from_secs(30);
    let expected = Some((expected, QuietReason::Stalled));
    assert_eq!(activity.expiry(limits(500)), expected);
}

/// A request can cross each of these closes.
#[test]
fn close_refuses_while_a_request_is_awaited() {
    let mut activity = CallerActivity::new(ms(0), limits(500));
    assert_eq!(activity.close(Some(QuietReason::Idle)), CloseStep::Refuse);
    assert_eq!(activity.close(None), CloseStep::Wait, "the first request");
    activity.received(ms(100));
    let slow_head = Some(QuietReason::SlowHead);
    assert_eq!(activity.close(slow_head), CloseStep::Refuse);
    activity.request_began(ms(200));
    assert_eq!(activity.close(None), CloseStep::Wait);
    activity.request_ended(ms(300), limits(500));
    assert_eq!(activity.close(None), CloseStep::Refuse);
}

/// The refusal would follow a part of the response.
#[test]
fn close_while_response_is_blocked_sends_no_refusal() {
    let mut activity = CallerActivity::new(ms(0), limits(500));
    activity.request_began(ms(0));
    activity.sent(ms(100), true);
    activity.request_ended(ms(200), limits(500));
    assert_eq!(activity.close(None), CloseStep::Wait);
    let stalled = Some(QuietReason::Stalled);
    assert_eq!(activity.close(stalled), CloseStep::Drop);
}
