//! What follows a try, by the kind of request and by how the try ended.

use yare::parameterized;

use super::ms;
use crate::gateway::attempt::{CallProgress, NextStep, TryEnd};
use crate::gateway::route::CallKind;

const STREAM: CallKind = CallKind::Stream {
    is_resumable: false,
};
const RESUMABLE: CallKind = CallKind::Stream { is_resumable: true };

#[parameterized(
    safe_failed = { CallKind::Idempotent, TryEnd::Failed, NextStep::Resend },
    safe_broken = { CallKind::Idempotent, TryEnd::Broken, NextStep::Resend },
    safe_late = { CallKind::Idempotent, TryEnd::TimedOut, NextStep::Resend },
    resumable_broken = { RESUMABLE, TryEnd::Broken, NextStep::Resend },
    once_failed = { CallKind::NonIdempotent, TryEnd::Failed, NextStep::Deliver },
    once_broken = { CallKind::NonIdempotent, TryEnd::Broken, NextStep::Fail },
    once_late = { CallKind::NonIdempotent, TryEnd::TimedOut, NextStep::TimeOut },
    stream_broken = { STREAM, TryEnd::Broken, NextStep::Fail },
    once_refused = { CallKind::NonIdempotent, TryEnd::Refused, NextStep::Resend },
    stream_refused = { STREAM, TryEnd::Refused, NextStep::Resend },
    once_unsent = { CallKind::NonIdempotent, TryEnd::Unsent, NextStep::Reconnect },
)]
fn try_ended_first(kind: CallKind, end: TryEnd, expected: NextStep) {
    let mut progress = CallProgress::new(kind, 2, ms(1_000));
    assert_eq!(progress.try_ended(end, ms(900)), expected);
}

#[test]
fn try_ended_attempts_used_up() {
    let mut progress = CallProgress::new(CallKind::Idempotent, 2, ms(1_000));
    assert_eq!(
        progress.try_ended(TryEnd::Failed, ms(900)),
        NextStep::Resend
    );
    assert_eq!(
        progress.try_ended(TryEnd::Failed, ms(800)),
        NextStep::Deliver
    );
}

#[test]
fn try_ended_refused_after_run_is_no_refusal() {
    let mut progress = CallProgress::new(CallKind::Idempotent, 3, ms(1_000));
    assert_eq!(
        progress.try_ended(TryEnd::Broken, ms(900)),
        NextStep::Resend
    );
    for _ in 0..3 {
        assert_eq!(
            progress.try_ended(TryEnd::Refused, ms(800)),
            NextStep::Resend
        );
    }
    let last = progress.try_ended(TryEnd::Refused, ms(700));
    assert_eq!(last, NextStep::Fail, "the first send may have run");
}

#[test]
fn try_ended_no_time_refuses_what_never_ran() {
    let mut progress = CallProgress::new(CallKind::NonIdempotent, 1, ms(1_000));
    assert_eq!(progress.try_ended(TryEnd::Refused, ms(1)), NextStep::Refuse);
}
