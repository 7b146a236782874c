//! Checks that streams don't begin on weights for which newer ones were named too long ago.
//!
//! It handles replicas that carry out orders late or not at all while requests wait at them. Judging requests by when they
//! reached a replica was rejected: one that was sent in time may still begin too late.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crocuswharf_platform_fakes::daemon::WEIGHTS_LIMIT;
use crocuswharf_platform_fakes::replica::{BegunStream, ReceivedRequest};

use crate::checker::{Finding, Records, finding};
use crate::loss::Member;

/// How long a router has been sound before it counts as in touch, by the users' larger sheet.
pub(crate) const TOUCH_TIME: Duration = Duration::from_secs(4);

/// How long before the bound on old weights routers withdraw requests that have not begun.
const WITHDRAWAL_TIME: Duration = Duration::from_millis(800);

/// Checks the streams that replicas began for requests of routers in touch, over links that were sound.
pub(crate) fn check_begins(records: &Records) -> Vec<Finding> {
    let sent = records.sent.iter();
    let routers: HashMap<&str, usize> = sent.map(|sent| (sent.id.as_str(), sent.router)).collect();
    let mut findings = Vec::new();
    for (replica, begun) in &records.begun {
        let Some(delay) = records.delay_after_newer(begun) else {
            continue;
        };
        let Some(router) = routers.get(begun.id.as_str()) else {
            continue;
        };
        let from = begun.at.checked_sub(TOUCH_TIME).unwrap_or(begun.at);
        let mut members = Member::of_contact(*router).into_iter();
        let is_sound = members.all(|member| records.is_available(member, from, begun.at))
            && records.is_available(Member::ReplicaLinks(*router), from, begun.at)
            && records.is_available(Member::Replica(replica), from, begun.at);
        if delay > WEIGHTS_LIMIT && is_sound {
            let seen = format!(
                "{} of router {router} began at {replica} on {}, {delay:?} after a newer version was named",
                begun.id, begun.weights
            );
            findings.push(finding(
                "no request begins on old weights after the bound",
                seen,
            ));
        }
    }
    findings
}

impl Records {
    /// Returns whether a request that its replica would have begun at `at` may be withdrawn from it, since its weights are
    /// too old by then.
    pub(crate) fn may_be_withdrawn(&self, request: &ReceivedRequest, at: Instant) -> bool {
        let version = request.header("x-crocuswharf-expect-version");
        let Some(version) = version.and_then(|version| version.parse::<u64>().ok()) else {
            return false;
        };
        let named = self.named_weights.iter();
        let newer = named.filter(|(_, newer)| *newer > version);
        let first = newer.map(|(at, _)| *at).min();
        first.is_some_and(|first| at + WITHDRAWAL_TIME >= first + WEIGHTS_LIMIT)
    }

    /// Returns how long after the first newer version was named a stream began.
    fn delay_after_newer(&self, begun: &BegunStream) -> Option<Duration> {
        let named = self.named_weights.iter();
        let newer = named.filter(|(_, version)| *version > begun.weights);
        let first = newer.map(|(at, _)| *at).min()?;
        begun.at.checked_duration_since(first)
    }
}
