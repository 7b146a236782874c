//! Tests of the reports of crashes between routers.

use prost::Message;
use smallvec::smallvec;

use super::ms;
use crate::gateway::crash_report::CrashReport;
use crate::request::quarantine::{Crash, Kept, Progress, Quarantine};

fn crash(request: u64, replica: u32, at_ms: u64) -> Crash {
    Crash {
        parts: smallvec![7, 8],
        request,
        id: "r1".into(),
        ran: ms(80),
        replica,
        at: ms(at_ms),
        progress: Progress::Begun,
        is_down: true,
    }
}

#[test]
fn report_decoded_is_what_was_sent() {
    let crashes = [crash(1, 5, 9_000)];
    let kept = Kept {
        key: 7,
        at: ms(8_000),
        is_complete: true,
    };
    let bytes = CrashReport::of(&crashes, [kept], ms(10_000)).encode_to_vec();
    let (decoded, answers) = CrashReport::decode(&bytes[..])
        .unwrap()
        .into_parts(ms(30_000));
    let later = Crash {
        at: ms(29_000),
        ..crashes[0].clone()
    };
    assert_eq!(decoded.collect::<Vec<_>>(), [later]);
    let later = Kept {
        at: ms(28_000),
        ..kept
    };
    assert_eq!(answers.collect::<Vec<_>>(), [later]);
}

/// A request that comes again must not be hidden by those that a crash broke off beside it.
#[test]
fn of_all_keeps_requests_with_several_crashes_and_is_bounded() {
    let mut quarantine = Quarantine::default();
    for replica in 1..=3 {
        quarantine.record_crash(crash(1, replica, 1_000 * u64::from(replica)));
    }
    for request in 100..180 {
        let beside = Crash {
            parts: smallvec![request],
            ..crash(request, 4, 9_000)
        };
        quarantine.record_crash(beside);
    }
    let report = CrashReport::of_all(&quarantine, ms(10_000));
    let size = report.encoded_len();
    let (crashes, _) = report.into_parts(ms(10_000));
    let crashes: Vec<_> = crashes.collect();
    assert_eq!(crashes.iter().filter(|crash| crash.request == 1).count(), 3);
    assert!(crashes.len() <= 32);
    assert!(size <= 3_000, "{size} bytes");
}
