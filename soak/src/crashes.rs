//! Checks that a request which crashes the replicas that run it is refused after some crashes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crocuswharf_platform_fakes::replica::ReceivedRequest;

use crate::callers::RequestKind;
use crate::checker::{Finding, Records, finding};
use crate::loss::Member;

/// The number of crashes after which the request is known.
const KNOWN_AFTER: usize = 3;
/// The time that routers have to learn of the last of these crashes, by the users' sheets.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// The number of times that the request may reach replicas after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// How long a router has run before it counts as in touch with the others.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// How long after a crash its router and its replica's link must be sound, so that all routers learn of the crash.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// Checks, between the times at which no router was running, how often the request reached replicas once it was known.
///
/// Only routers count that were in touch with the others.
pub(crate) fn check_crashing_request(records: &Records) -> Vec<Finding> {
    let sent = records.sent.iter();
    let sent = sent.filter(|sent| sent.kind == RequestKind::Crashing);
    let routers: HashMap<&str, usize> = sent.map(|sent| (sent.id.as_str(), sent.router)).collect();
    let was_in_touch = |seen: &ReceivedRequest| {
        let router = *routers.get(seen.id())?;
        let from = seen.at.checked_sub(CONTACT_TIME).unwrap_or(seen.at);
        records
            .is_available(Member::Router(router), from, seen.at)
            .then_some(router)
    };
    let is_reported = |seen: &ReceivedRequest| {
        let end = seen.at + REPORT_TIME;
        let replica = Member::Replica(seen.replica);
        let is_sound = |member| records.is_available(member, seen.at, end);
        let is_linked =
            |router| is_sound(Member::Router(router)) && is_sound(Member::ReplicaLinks(router));
        seen.ran && is_sound(replica) && was_in_touch(seen).is_some_and(is_linked)
    };
    let mut findings = Vec::new();
    for (from, to) in periods(records) {
        let arrivals = records.received.iter();
        let arrivals = arrivals.filter(|seen| seen.at >= from && to.is_none_or(|to| seen.at < to));
        let mut arrivals: Vec<_> = arrivals
            .filter(|seen| routers.contains_key(seen.id()))
            .collect();
        arrivals.sort_by_key(|seen| seen.at);
        let mut crashes = arrivals.iter().filter(|seen| is_reported(seen));
        let Some(third) = crashes.nth(KNOWN_AFTER - 1) else {
            continue;
        };
        let late = arrivals
            .iter()
            .filter(|seen| seen.at > third.at + STABLE_TIME);
        let late: Vec<_> = late.filter(|seen| was_in_touch(seen).is_some()).collect();
        if late.len() > MAX_LATE_ARRIVALS {
            let ids: Vec<_> = late.iter().map(|seen| seen.id()).collect();
            let seen = format!(
                "{} later than {STABLE_TIME:?} after {} crashed the third replica: {ids:?}; {} in all",
                late.len(),
                third.id(),
                arrivals.len()
            );
            findings.push(finding("a request that crashes replicas is refused", seen));
        }
    }
    findings
}

/// Returns the periods between the times at which no router was running; the last one has no end.
fn periods(records: &Records) -> Vec<(Instant, Option<Instant>)> {
    let Some(first) = records.sent.iter().map(|sent| sent.at).min() else {
        return Vec::new();
    };
    let starts = std::iter::once(first).chain(records.all_routers_down.iter().copied());
    let ends = records.all_routers_down.iter().copied().map(Some);
    starts.zip(ends.chain(std::iter::once(None))).collect()
}
