//! Compares the responses that callers received with the requests that replicas received.
//!
//! The checker doesn't depend on the cluster, so that its tests can pass it records that break each promise.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crocuswharf_platform_fakes::daemon::{REVOCATION_LIMIT, WEIGHTS_LIMIT};
use crocuswharf_platform_fakes::replica::{
    BegunStream, FIRST_VERSION, ReceivedOrder, ReceivedRequest, stream_text_after,
};

use crate::callers::{Outcome, RequestKind, SentRequest, request_body};
use crate::configuration::Changes;
use crate::crashes::check_crashing_request;
use crate::cut_off::{CutPeriod, check_cuts};
use crate::loss::{AvailabilityChange, Silence, check_loss, check_route, check_size};
use crate::outdated::check_begins;
use crate::unanswered::check_end;

/// The maximum time from the start of a request to its complete response: the route allows 3 s, and the users allow
/// another half second.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(3_500);
/// The number of requests per run that may run on more replicas than their route allows, as the users count it.
const MAX_OVER_LIMIT: usize = 3;
/// The number of streams per run that may hold events of two software versions, as the users count it.
const MAX_JOINED: usize = 2;
/// How long requests may still reach a replica after it registered as draining, by the users' larger sheet.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The promise.
    pub promise: &'static str,
    /// What was observed instead.
    pub seen: String,
}

/// A period in which a router was paused, not running or recovering.
#[derive(Clone, Copy, Debug)]
pub struct RouterOutage {
    /// The index of the router.
    pub router: usize,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub to: Instant,
}

/// The history of a caller's key.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyRecord {
    /// When the store acknowledged the configuration without this key.
    pub revoked_at: Option<Instant>,
}

/// All observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// The requests that callers sent.
    pub sent: Vec<SentRequest>,
    /// The requests that replicas received.
    pub received: Vec<ReceivedRequest>,
    /// The orders that replicas received, each with the id of the replica.
    pub orders: Vec<(&'static str, ReceivedOrder)>,
    /// The streams that replicas began, each with the id of the replica.
    pub begun: Vec<(&'static str, BegunStream)>,
    /// When the store acknowledged each version of the weights.
    pub named_weights: Vec<(Instant, u64)>,
    /// The keys, by index.
    pub keys: Vec<KeyRecord>,
    /// The periods in which routers were unavailable.
    pub outages: Vec<RouterOutage>,
    /// The changes in the availability of parts of the cluster, all of which are available at first.
    pub availability: Vec<AvailabilityChange>,
    /// The periods in which replicas were silent.
    pub silences: Vec<Silence>,
    /// The periods in which routers were cut off from all replicas.
    pub cuts: Vec<CutPeriod>,
    /// When no router was running, so that what routers know of crashes was lost.
    pub all_routers_down: Vec<Instant>,
    /// When the store acknowledged each configuration, with the operator's changes in it.
    pub configurations: Vec<(Instant, Changes)>,
    /// The weights version published in the final phase, and when.
    pub published_weights: Option<(u64, Instant)>,
    /// The replica that registered as draining in the final phase, and when.
    pub draining_replica: Option<(&'static str, Instant)>,
}

/// Returns a finding for each broken promise.
#[must_use]
pub fn check_records(records: &Records) -> Vec<Finding> {
    let mut runs: HashMap<&str, Vec<&ReceivedRequest>> = HashMap::new();
    for seen in records.received.iter().filter(|seen| seen.ran) {
        runs.entry(seen.id()).or_default().push(seen);
    }
    let mut findings = Vec::new();
    let mut excess = 0;
    for sent in &records.sent {
        let runs = runs.remove(sent.id.as_str()).unwrap_or_default();
        findings.extend(check_runs(records, sent, &runs));
        findings.extend(check_outcome(sent, &runs));
        let loss = check_loss(records, sent, &runs);
        findings.extend(loss.or_else(|| check_end(records, sent)));
        findings.extend(check_route(records, sent, &runs));
        findings.extend(check_size(records, sent));
        findings.extend(check_response_time(records, sent));
        let replicas: BTreeSet<_> = runs.iter().map(|run| run.replica).collect();
        excess += usize::from(replicas.len() > records.max_attempts(sent));
    }
    if excess > MAX_OVER_LIMIT {
        let seen = format!("{excess} requests ran at more replicas than their routes allow");
        findings.push(finding("runs stay within the route's attempts", seen));
    }
    for run in runs.values().flatten() {
        let seen = format!("{:?} ran at {} as {}", run.id(), run.replica, run.target);
        findings.push(finding("only callers' requests run", seen));
    }
    findings.extend(check_versions(&records.sent));
    findings.extend(check_cache_scopes(&records.received));
    findings.extend(check_orders(&records.orders));
    findings.extend(check_crashing_request(records));
    findings.extend(check_begins(records));
    findings.extend(check_cuts(records));
    findings.extend(check_final_phase(records));
    findings
}

pub(crate) const fn finding(promise: &'static str, seen: String) -> Finding {
    Finding { promise, seen }
}

fn check_runs(records: &Records, sent: &SentRequest, runs: &[&ReceivedRequest]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let id = &sent.id;
    if runs.len() > 1 && !sent.kind.may_repeat() {
        let replicas: Vec<_> = runs.iter().map(|run| run.replica).collect();
        let seen = format!("{id}, {:?}, ran at {replicas:?}", sent.kind);
        findings.push(finding("what may not be repeated runs once", seen));
    }
    let is_public = records.may_be_public(sent);
    let revoked_at = records.keys.get(sent.key).and_then(|key| key.revoked_at);
    let revoked_at = revoked_at.filter(|_| !is_public);
    if !runs.is_empty() && revoked_at.is_some_and(|at| sent.at > at + REVOCATION_LIMIT) {
        let delay = sent.at - revoked_at.expect("a revocation time is set");
        let seen = format!("{id} was sent {delay:?} after its key was revoked, and ran");
        findings.push(finding("a revoked key stops working in time", seen));
    }
    let target = format!("POST /{}/x?y=1", sent.kind.route());
    for run in runs {
        let is_whole = run.target == target && run.body == request_body(sent.kind, id).as_bytes();
        let has_account = match run.account() {
            Some(account) => account == "dues",
            None => is_public,
        };
        if !is_whole || !has_account || run.has_key() {
            let seen = format!("{id} ran as {} for {:?}", run.target, run.account());
            findings.push(finding("requests run as their callers sent them", seen));
        }
    }
    findings
}

fn check_outcome(sent: &SentRequest, runs: &[&ReceivedRequest]) -> Option<Finding> {
    let Outcome::Answer {
        status,
        signature,
        body,
        is_complete,
        ..
    } = &sent.outcome
    else {
        return None;
    };
    let (id, kind) = (&sent.id, sent.kind);
    let says_not_run = matches!(status, 408 | 421 | 429 | 503);
    if says_not_run && !runs.is_empty() && !kind.may_repeat() {
        let seen = format!(
            "{id}, {kind:?}, got {status} and ran at {}",
            runs[0].replica
        );
        return Some(finding("what is refused has not run", seen));
    }
    if !(200..300).contains(status) {
        let is_forged = signature.is_some() && *status != 500;
        let seen = format!("{id} got {status} with the signature {signature:?}");
        return is_forged.then(|| finding("only a replica's answer bears its signature", seen));
    }
    let signer = signature.as_deref().unwrap_or_default();
    let ran_there = runs.iter().any(|run| run.replica == signer);
    let is_right = if kind.is_stream() {
        let whole = stream_text_after(sent.take_up.as_ref().map_or(0, |taken| taken.last_event));
        let (text, _) = without_versions(body);
        whole.starts_with(&text) && (!is_complete || text.len() == whole.len())
    } else {
        !is_complete || body == signer.as_bytes()
    };
    let seen = format!(
        "{id}, {kind:?}, got {status} signed {signer:?}, complete {is_complete}: {:?}",
        String::from_utf8_lossy(body)
    );
    (!ran_there || !is_right).then(|| finding("answers are whole and the replica's own", seen))
}

fn check_response_time(records: &Records, sent: &SentRequest) -> Option<Finding> {
    let took = sent.ended_at - sent.at;
    let during_outage = records.outages.iter().any(|outage| {
        outage.router == sent.router && outage.from <= sent.ended_at && sent.at <= outage.to
    });
    if took <= MAX_RESPONSE_TIME || during_outage {
        return None;
    }
    let seen = format!(
        "{} at router {} took {took:?}: {:?}",
        sent.id, sent.router, sent.outcome
    );
    Some(finding("every request is answered in time", seen))
}

/// Returns the text of a stream as the first software version writes it, and the versions of its events.
fn without_versions(body: &[u8]) -> (String, BTreeSet<String>) {
    let mut versions = BTreeSet::new();
    let text = String::from_utf8_lossy(body);
    let lines = text.split('\n').map(|line| {
        let Some(data) = line.strip_prefix("data: ") else {
            return line;
        };
        let (event, version) = data.split_once(' ').unwrap_or((data, FIRST_VERSION));
        versions.insert(version.to_owned());
        &line[.."data: ".len() + event.len()]
    });
    let lines: Vec<_> = lines.collect();
    (lines.join("\n"), versions)
}

/// Returns the streams that hold events of two software versions, over all attempts of their callers.
pub(crate) fn joined_streams(sent: &[SentRequest]) -> Vec<String> {
    let mut streams: BTreeMap<&str, BTreeSet<String>> = BTreeMap::new();
    for sent in sent.iter().filter(|sent| sent.kind.is_stream()) {
        let Outcome::Answer {
            status: 200, body, ..
        } = &sent.outcome
        else {
            continue;
        };
        let first = sent.take_up.as_ref();
        let first = first.map_or(&sent.id, |taken| &taken.first_attempt);
        let versions = without_versions(body).1;
        streams.entry(first).or_default().extend(versions);
    }
    let joined = streams.iter().filter(|(_, versions)| versions.len() > 1);
    joined
        .map(|(stream, versions)| format!("{stream} of {versions:?}"))
        .collect()
}

/// Checks that no more than a few streams hold events of two software versions.
fn check_versions(sent: &[SentRequest]) -> Option<Finding> {
    let joined = joined_streams(sent);
    let seen = format!("{} streams: {joined:?}", joined.len());
    (joined.len() > MAX_JOINED).then(|| finding("a stream goes on at its software version", seen))
}

/// Checks that each cache scope is used for one weights version only: cache entries are separated by weights and by client
/// account.
fn check_cache_scopes(seen: &[ReceivedRequest]) -> Vec<Finding> {
    let mut weights = BTreeMap::new();
    let mut findings = Vec::new();
    for (scope, version) in seen.iter().filter_map(ReceivedRequest::cache_scope) {
        let known = weights.entry(scope).or_insert(version);
        if *known != version {
            let seen = format!("{scope} was used for the weights {known} and {version}");
            findings.push(finding("cached entries are used for one version", seen));
        }
    }
    findings
}

/// Checks that each fencing number is used by one lease holder only.
fn check_orders(orders: &[(&'static str, ReceivedOrder)]) -> Vec<Finding> {
    let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
    let mut findings = Vec::new();
    for (replica, order) in orders {
        let holder = holders
            .entry(order.fencing_number)
            .or_insert(order.holder.as_str());
        if *holder != order.holder {
            let seen = format!("{replica} had {order:?}, whose number {holder} has used");
            findings.push(finding("one holder gives orders", seen));
        }
    }
    findings
}

fn check_final_phase(records: &Records) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let Some((replica, at)) = records.draining_replica {
        let late = records
            .received
            .iter()
            .filter(|seen| seen.replica == replica && seen.at > at + DRAIN_BOUND);
        let late: Vec<_> = late.map(ReceivedRequest::id).collect();
        if !late.is_empty() {
            let seen =
                format!("{late:?} reached {replica} later than {DRAIN_BOUND:?} after its notice");
            findings.push(finding("a leaving replica gets nothing new", seen));
        }
    }
    if let Some((version, at)) = records.published_weights {
        let late = records
            .received
            .iter()
            .filter(|seen| seen.ran && seen.at > at + WEIGHTS_LIMIT)
            .filter(|seen| {
                let weights = seen.cache_scope().map(|(_, weights)| weights);
                weights.is_some_and(|weights| weights != version.to_string())
            });
        let late: Vec<_> = late.map(|seen| (seen.id(), seen.cache_scope())).collect();
        if !late.is_empty() {
            let seen =
                format!("{late:?} ran although {version} was named {WEIGHTS_LIMIT:?} before");
            findings.push(finding(
                "nothing begins on old weights after the bound",
                seen,
            ));
        }
    }
    findings
}

/// Counts of the requests that had to be served, and the outcomes of those that were not.
#[derive(Clone, Debug, Default)]
pub(crate) struct Served {
    /// The requests sent with a valid key over a connection that could be opened.
    pub(crate) owed: usize,
    /// The requests among [`Self::owed`] that were served.
    pub(crate) served: usize,
    /// The outcomes of the others, with their counts.
    others: BTreeMap<String, usize>,
}

impl Served {
    /// Counts the requests sent since `from`; the keys before `first_valid_key` are revoked.
    pub(crate) fn since(sent: &[SentRequest], from: Instant, first_valid_key: usize) -> Self {
        let mut share = Self::default();
        for sent in sent.iter().filter(|sent| sent.at >= from) {
            if sent.kind == RequestKind::Crashing {
                continue;
            }
            // A caller whose connection can't be opened would use another router.
            if sent.key < first_valid_key || sent.outcome == Outcome::NoConnection {
                continue;
            }
            // A stream can't be taken up where nobody knows which software version began it.
            if sent.take_up.is_some() {
                continue;
            }
            // The caller has sent it to another router, and that request counts.
            if sent.outcome.is_turned_away() {
                continue;
            }
            share.owed += 1;
            let outcome = match &sent.outcome {
                Outcome::Answer {
                    status: 200,
                    is_complete: true,
                    ..
                } => {
                    share.served += 1;
                    continue;
                }
                Outcome::Answer {
                    status,
                    is_complete,
                    ..
                } => {
                    format!("{:?} {status} complete {is_complete}", sent.kind)
                }
                Outcome::NoConnection => continue,
                Outcome::NoAnswer(reason) => format!("{:?} {reason}", sent.kind),
            };
            *share.others.entry(outcome).or_default() += 1;
        }
        share
    }
}

/// Returns the ids of the requests to `router` that ended after `signal_at`, when it was told to shut down, and that
/// reached a replica but got no response. Streams that may not be resumed are left out.
pub(crate) fn lost_requests(records: &Records, router: usize, signal_at: Instant) -> Vec<String> {
    let lost = records.sent.iter().filter(|sent| {
        let ended_later = sent.router == router && sent.ended_at > signal_at;
        let is_lost = matches!(sent.outcome, Outcome::NoAnswer(_));
        ended_later && is_lost && sent.kind != RequestKind::Stream
    });
    let was_forwarded =
        |sent: &&SentRequest| records.received.iter().any(|seen| seen.id() == sent.id);
    lost.filter(was_forwarded)
        .map(|sent| sent.id.clone())
        .collect()
}
