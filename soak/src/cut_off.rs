//! Checks that callers of routers which are cut off from all replicas are served nearly as well as others.

use std::time::Instant;

use crate::callers::{Outcome, RequestKind, SentRequest};
use crate::checker::{Finding, Records, finding};
use crate::loss::Member;
use crate::outdated::TOUCH_TIME;

/// The number of first tries that may fail at routers that are cut off, beside a share of one in
/// [`FAILURE_SHARE_DIVISOR`] of all first tries, by the users' larger sheet.
const MAX_FAILURES: usize = 10;
const FAILURE_SHARE_DIVISOR: usize = 50;

/// A period in which routers were cut off from all replicas.
#[derive(Clone, Debug)]
pub struct CutPeriod {
    /// The indices of the routers.
    pub routers: Vec<usize>,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
}

/// Counts of first tries.
#[derive(Clone, Copy, Debug, Default)]
struct Tries {
    served: usize,
    sent: usize,
}

/// Compares the first tries at routers that were cut off for some time with those at the others.
pub(crate) fn check_cuts(records: &Records) -> Vec<Finding> {
    let findings = records.cuts.iter().filter_map(|cut| {
        let (there, elsewhere) = count_tries(records, cut);
        let is_far_less = there.served * elsewhere.sent * 3 < elsewhere.served * there.sent * 2;
        let failed = there.sent - there.served;
        let all = there.sent + elsewhere.sent;
        let are_many = failed * FAILURE_SHARE_DIVISOR > MAX_FAILURES * FAILURE_SHARE_DIVISOR + all;
        let seen = format!(
            "routers {:?}, cut off for {:?}, served {} of {} first tries, the others {} of {}",
            cut.routers,
            cut.to - cut.from,
            there.served,
            there.sent,
            elsewhere.served,
            elsewhere.sent
        );
        (is_far_less && are_many)
            .then(|| finding("routers that are cut off serve nearly as often", seen))
    });
    findings.collect()
}

/// Counts the first tries at the routers that were cut off and at the others.
fn count_tries(records: &Records, cut: &CutPeriod) -> (Tries, Tries) {
    let (mut there, mut elsewhere) = (Tries::default(), Tries::default());
    for sent in &records.sent {
        let is_within = sent.at >= cut.from + TOUCH_TIME && sent.ended_at <= cut.to;
        if !is_within || !is_first_try(records, sent) || !is_in_touch(records, sent) {
            continue;
        }
        let tries = if cut.routers.contains(&sent.router) {
            &mut there
        } else {
            &mut elsewhere
        };
        tries.sent += 1;
        tries.served += usize::from(matches!(
            sent.outcome,
            Outcome::Answer {
                status: 200,
                is_complete: true,
                ..
            }
        ));
    }
    (there, elsewhere)
}

/// Returns whether a request was sent with a valid key and takes up no stream.
fn is_first_try(records: &Records, sent: &SentRequest) -> bool {
    let revoked_at = records.keys.get(sent.key).and_then(|key| key.revoked_at);
    sent.take_up.is_none()
        && sent.kind != RequestKind::Crashing
        && revoked_at.is_none_or(|at| at > sent.ended_at)
}

fn is_in_touch(records: &Records, sent: &SentRequest) -> bool {
    let from = sent.at.checked_sub(TOUCH_TIME).unwrap_or(sent.at);
    let mut members = Member::of_contact(sent.router).into_iter();
    members.all(|member| records.is_available(member, from, sent.ended_at))
}
