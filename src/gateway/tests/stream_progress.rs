//! Replays streams over the decision on their progress.

use yare::parameterized;

use super::ms;
use crate::gateway::stream_progress::{Lack, StreamProgress, has_fields};

/// Replays a stream that sends `bytes` each 100 ms from `now` on, and returns when it counts as silent, and when as late.
fn replay(bytes: &[u8], is_resumable: bool) -> (Option<u64>, Option<u64>) {
    let mut progress = StreamProgress::new(ms(5_000), is_resumable, ms(0));
    let (mut silent, mut late) = (None, None);
    for now_ms in (0..10_000).step_by(100) {
        progress.record(bytes, ms(now_ms));
        if !progress.wait(ms(now_ms)).is_zero() {
            continue;
        }
        match progress.lack(ms(now_ms)) {
            Lack::Late => late = late.or(Some(now_ms)),
            Lack::Silent(since) => {
                assert_eq!(since, ms(0));
                silent = silent.or(Some(now_ms));
            }
            Lack::None => {}
        }
    }
    (silent, late)
}

/// A replica that sends a byte or a comment now and then counted as one that goes on.
#[parameterized(
    nothing = { b"", true, Some(1_200) },
    comments = { b":\n\n: keep\r\n\r\n", true, Some(1_200) },
    events = { b"id: 1\ndata: x\n\n", true, None },
    opaque_bytes = { b"x", false, None },
)]
fn lack_only_events_are_progress(bytes: &[u8], is_resumable: bool, silent_ms: Option<u64>) {
    let (silent, late) = replay(bytes, is_resumable);
    assert_eq!(silent, silent_ms);
    assert_eq!(late, Some(5_200), "every stream ends");
}

/// A caller that took bytes slowly enough kept its stream without end.
#[test]
fn time_for_caller_ends() {
    let progress = StreamProgress::new(ms(5_000), false, ms(0));
    assert_eq!(progress.time_for_caller(ms(5_200)), ms(30_000));
    assert!(progress.time_for_caller(ms(36_000)).is_zero());
}

#[parameterized(
    blank = { "\n\r\n", false },
    comment = { ": x\n\n", false },
    data = { ": x\ndata: 1\n\n", true },
    carriage_return = { "data\r\n\r\n", true },
)]
fn has_fields_of(text: &str, expected: bool) {
    assert_eq!(has_fields(text.as_bytes()), expected);
}
