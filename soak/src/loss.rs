//! Checks that what a sound replica can still answer isn't lost, and that routes come and go with the configuration.

use std::time::{Duration, Instant};

use crocuswharf_platform_fakes::daemon::REVOCATION_LIMIT;
use crocuswharf_platform_fakes::replica::{Mode, ReceivedRequest};

use crate::callers::{Outcome, RequestKind, SentRequest, request_body};
use crate::checker::{Finding, Records, finding};
use crate::configuration::Changes;

/// The time that callers allow a request, as their header says.
const CALLER_DEADLINE: Duration = Duration::from_millis(2_000);
/// The time that a replica which goes on and its router have for a response until the request's deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(300);

/// A part of the cluster that may be unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Member {
    /// The router with this index.
    Router(usize),
    /// The replica with this id.
    Replica(&'static str),
    /// The router with this index as one that has not been told to leave.
    Entry(usize),
    /// The links between the router with this index and all replicas.
    ReplicaLinks(usize),
    /// The link between the router with this index and the store.
    StoreLink(usize),
    /// The store.
    Store,
}

impl Member {
    /// Returns the parts on which it depends whether a router is in touch.
    pub(crate) const fn of_contact(router: usize) -> [Self; 4] {
        [
            Self::Router(router),
            Self::Entry(router),
            Self::StoreLink(router),
            Self::Store,
        ]
    }
}

/// A change in whether a part runs and its connections are sound.
#[derive(Clone, Copy, Debug)]
pub struct AvailabilityChange {
    /// The part.
    pub member: Member,
    /// When it changed.
    pub at: Instant,
    /// Whether it runs and its connections are sound from then on.
    pub is_available: bool,
}

/// A period in which a replica sent nothing.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// The id of the replica.
    pub replica: &'static str,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
}

/// Checks that a request to an available router isn't lost if a replica that ran it could respond in time.
///
/// A silent replica is sound and goes on. The router may leave it only for one that begins a response, so replicas that
/// ran the request and began none excuse nothing.
pub(crate) fn check_loss(
    records: &Records,
    sent: &SentRequest,
    runs: &[&ReceivedRequest],
) -> Option<Finding> {
    let summary = match &sent.outcome {
        Outcome::NoConnection => return None,
        Outcome::NoAnswer(reason) => format!("got no answer ({reason})"),
        Outcome::Answer {
            status,
            is_complete,
            signature,
            body,
            ..
        } if !is_complete || (matches!(status, 500 | 502 | 504) && signature.is_none()) => {
            format!(
                "got {status} with {} bytes, complete {is_complete},",
                body.len()
            )
        }
        Outcome::Answer { .. } => return None,
    };
    let is_available = records.is_available(Member::Router(sent.router), sent.at, sent.ended_at);
    let links = Member::ReplicaLinks(sent.router);
    let is_cut_off = !records.is_available(links, sent.at, sent.ended_at);
    if sent.kind == RequestKind::Crashing || !is_available || is_cut_off {
        return None;
    }
    let deadline = records.deadline(sent);
    let mut waited_for = None;
    for run in runs {
        match records.response_time(run, deadline) {
            Some(at) if records.may_be_withdrawn(run, at) => {}
            Some(at) if at + RESPONSE_MARGIN <= deadline => waited_for = Some((run, at)),
            _ if records.begins_no_response(run, deadline) => {}
            _ => return None,
        }
    }
    let (run, at) = waited_for?;
    let mut silences = records.silences.iter();
    let silence = silences.rfind(|silence| silence.replica == run.replica && silence.to == at);
    let seen = format!(
        "{}, {:?}, at router {} {} after {:?}, though {} of {:?} had it after {:?} and could respond after {:?}, \
         silent {:?}",
        sent.id,
        sent.kind,
        sent.router,
        summary,
        sent.ended_at - sent.at,
        run.replica,
        runs.iter()
            .map(|run| (run.replica, run.mode))
            .collect::<Vec<_>>(),
        run.at - sent.at,
        at - sent.at,
        silence.map(|silence| silence.to - silence.from),
    );
    Some(finding(
        "what a sound replica can still answer is not lost",
        seen,
    ))
}

/// Checks that a request runs only if a recent configuration has its route, and finds no route only where one lacks it.
pub(crate) fn check_route(
    records: &Records,
    sent: &SentRequest,
    runs: &[&ReceivedRequest],
) -> Option<Finding> {
    let route = sent.kind.route();
    let is_removed = |(_, changes): &(Instant, Changes)| changes.removed_routes.contains(&route);
    let was_missing = !records.configurations.is_empty()
        && records
            .recent_changes(sent.at)
            .all(|changes| !changes.allows(route));
    if !runs.is_empty() && was_missing {
        let seen = format!("{} ran on {route}", sent.id);
        return Some(finding("a removed route stops working in time", seen));
    }
    let is_denied = matches!(sent.outcome, Outcome::Answer { status: 404, .. });
    let was_removed = records.configurations.iter().any(is_removed);
    let seen = format!("{} on {route} got 404", sent.id);
    (is_denied && !was_removed).then(|| finding("routes of all configurations are found", seen))
}

/// Checks that a request is too large only where a recent configuration has a limit below its size.
pub(crate) fn check_size(records: &Records, sent: &SentRequest) -> Option<Finding> {
    let length = request_body(sent.kind, &sent.id).len() as u64;
    let is_over = |changes: &Changes| changes.body_limit() < length;
    let may_reject = match sent.outcome {
        Outcome::Answer { status: 413, .. } => records.recent_changes(sent.at).any(is_over),
        Outcome::Answer { status: 431, .. } => false,
        _ => return None,
    };
    let seen = format!("{} with {length} bytes: {:?}", sent.id, sent.outcome);
    (!may_reject).then(|| finding("requests within the limits are not too large", seen))
}

impl Records {
    /// Returns whether `member` was available all the time.
    pub(crate) fn is_available(&self, member: Member, from: Instant, to: Instant) -> bool {
        let changes = self.availability.iter();
        let mut changes: Vec<_> = changes.filter(|change| change.member == member).collect();
        changes.sort_by_key(|change| change.at);
        let before = changes.iter().rfind(|change| change.at <= from);
        let mut during = changes
            .iter()
            .filter(|change| change.at > from && change.at <= to);
        before.is_none_or(|change| change.is_available) && during.all(|change| change.is_available)
    }

    /// Returns the changes in all configurations that a router may have applied when it got a request sent at `at`.
    fn recent_changes(&self, at: Instant) -> impl Iterator<Item = &Changes> {
        let configurations = &self.configurations;
        let is_outdated = |(end, _): &(Instant, Changes)| *end + REVOCATION_LIMIT < at;
        let outdated = configurations
            .iter()
            .filter(|&entry| is_outdated(entry))
            .count();
        let recent = configurations[outdated.saturating_sub(1)..].iter();
        let later = at + REVOCATION_LIMIT;
        recent
            .take_while(move |(from, _)| *from < later)
            .map(|(_, changes)| changes)
    }

    /// Returns whether a router may have applied a configuration in which the request needs no key.
    pub(crate) fn may_be_public(&self, sent: &SentRequest) -> bool {
        let mut changes = self.recent_changes(sent.at);
        changes.any(|changes| changes.is_public(sent.kind.route()))
    }

    /// Returns on how many replicas the request may run, by the largest limit that its router may have applied.
    pub(crate) fn max_attempts(&self, sent: &SentRequest) -> usize {
        let route = sent.kind.route();
        let limits = self.recent_changes(sent.at);
        let limits = limits.map(|changes| changes.max_attempts(route));
        let default = Changes::default().max_attempts(route);
        limits.max().unwrap_or(default) as usize
    }

    /// Returns until when a request must be answered, under the shortest timeout that its router may have applied.
    pub(crate) fn deadline(&self, sent: &SentRequest) -> Instant {
        let timeouts = self.recent_changes(sent.at);
        let timeouts = timeouts.filter_map(|changes| changes.route_timeout);
        sent.at + timeouts.fold(CALLER_DEADLINE, Duration::min)
    }

    /// Returns when a replica that stays available until `deadline` responds to what it runs.
    fn response_time(&self, run: &ReceivedRequest, deadline: Instant) -> Option<Instant> {
        let delay = match run.mode {
            Mode::Serve => Duration::ZERO,
            Mode::Slow(time) => time,
            _ => return None,
        };
        let silences = self.silences_of(run, deadline).map(|silence| silence.to);
        let at = silences.fold(run.at + delay, Instant::max);
        self.is_available(Member::Replica(run.replica), run.at, deadline)
            .then_some(at)
    }

    /// Returns whether the replica can't have begun a response before `deadline`.
    fn begins_no_response(&self, run: &ReceivedRequest, deadline: Instant) -> bool {
        let mut silences = self.silences_of(run, deadline);
        matches!(
            run.mode,
            Mode::Break | Mode::Mute | Mode::Fail | Mode::WrongId
        ) || silences.any(|silence| silence.from <= run.at && silence.to >= deadline)
    }

    fn silences_of(
        &self,
        run: &ReceivedRequest,
        deadline: Instant,
    ) -> impl Iterator<Item = &Silence> {
        let (replica, at) = (run.replica, run.at);
        let silences = self.silences.iter();
        let silences = silences.filter(move |silence| silence.replica == replica);
        silences.filter(move |silence| silence.to > at && silence.from < deadline)
    }
}
