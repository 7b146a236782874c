//! Requests that a router has read whole and that ended without a response.
//!
//! All of them are counted, since their share beside changes of the configuration is compared with that at other times.
//! Those without an excuse are findings.

use std::time::Duration;

use crocuswharf_platform_fakes::replica::{Mode, ReceivedRequest};

use crate::callers::{Outcome, RequestKind, SentRequest};
use crate::checker::{Finding, Records, finding};
use crate::loss::Member;

/// How long after a change of the configuration the end of a request counts as beside it.
const BESIDE_LIMIT: Duration = Duration::from_secs(4);
/// The time after the last byte of a request within which its connection may end without a response, since the two may
/// have crossed, unless the request reached a replica.
const CROSSING_LIMIT: Duration = Duration::from_millis(200);
/// How long before a request its router must have been available.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// The share of its time after which a request may end with its deadline.
const JUDGED_SHARE: f64 = 0.7;

/// Counts of requests by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// All requests over connections that could be opened.
    pub requests: usize,
    /// Those that were read whole and got neither a response nor a refusal.
    pub unanswered: usize,
}

/// The ends of requests, by whether the configuration had changed shortly before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndsByChange {
    /// The requests that ended beside a change.
    pub beside: Ends,
    /// The other requests.
    pub away: Ends,
}

impl EndsByChange {
    /// Counts the ends of all requests, whatever excuses them.
    #[must_use]
    pub fn count(records: &Records) -> Self {
        let mut ends = Self::default();
        for sent in &records.sent {
            if sent.outcome == Outcome::NoConnection {
                continue;
            }
            let count = if records.last_change(sent).is_some() {
                &mut ends.beside
            } else {
                &mut ends.away
            };
            count.requests += 1;
            count.unanswered += usize::from(records.is_unanswered(sent));
        }
        ends
    }
}

/// Checks that a request which was read whole got a response or a refusal.
///
/// Excused are an unavailable router, a replica that broke off, and a request that has used most of its time.
pub(crate) fn check_end(records: &Records, sent: &SentRequest) -> Option<Finding> {
    if sent.kind == RequestKind::Crashing || !records.is_unanswered(sent) {
        return None;
    }
    let took = sent.ended_at - sent.at;
    let stable_since = sent.at.checked_sub(STABLE_TIME).unwrap_or(sent.at);
    let router = Member::Router(sent.router);
    let is_stable = records.is_available(router, stable_since, sent.ended_at);
    let judged_time = (records.deadline(sent) - sent.at).mul_f64(JUDGED_SHARE);
    let broke_off = |seen: &ReceivedRequest| {
        let is_sound = matches!(
            seen.mode,
            Mode::Serve | Mode::Slow(_) | Mode::Refuse | Mode::Mute
        );
        !is_sound || !records.is_available(Member::Replica(seen.replica), seen.at, sent.ended_at)
    };
    let links = Member::ReplicaLinks(sent.router);
    let is_stable = is_stable && records.is_available(links, sent.at, sent.ended_at);
    if !is_stable || took >= judged_time || records.arrivals(sent).any(broke_off) {
        return None;
    }
    let arrivals = records.arrivals(sent);
    let arrivals: Vec<_> = arrivals.map(|seen| (seen.replica, seen.mode)).collect();
    let seen = format!(
        "{}, {:?}, at router {} ended after {took:?}, {:?} after a change, passed on to {arrivals:?}: {:?}",
        sent.id,
        sent.kind,
        sent.router,
        records.last_change(sent),
        sent.outcome,
    );
    Some(finding("a request that was read whole is answered", seen))
}

impl Records {
    /// Returns the time since the last change of the configuration, if the request ended beside it.
    fn last_change(&self, sent: &SentRequest) -> Option<Duration> {
        let times = self.configurations.iter().map(|(at, _)| *at);
        let since = |at| sent.ended_at.checked_duration_since(at);
        let last: Option<Duration> = times.filter_map(since).min();
        last.filter(|time| *time <= BESIDE_LIMIT)
    }

    /// Returns whether a request was read whole and ended without a response, as far as its caller can know.
    fn is_unanswered(&self, sent: &SentRequest) -> bool {
        matches!(sent.outcome, Outcome::NoAnswer(_))
            && (sent.ended_at - sent.at > CROSSING_LIMIT || self.arrivals(sent).next().is_some())
    }

    fn arrivals(&self, sent: &SentRequest) -> impl Iterator<Item = &ReceivedRequest> {
        let received = self.received.iter();
        received.filter(|seen| seen.id() == sent.id)
    }
}
