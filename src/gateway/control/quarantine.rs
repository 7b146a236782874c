//! Collects what routers see of crashes under parts of prompts and whole requests, and publishes which to refuse.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::gateway::crash_report::CrashReport;
use crate::request::quarantine::{Crash, SuspectKey, Suspects};

use super::Control;

/// The interval at which a router sends all that it knows to a random one.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The least time between publications; a crash brings many changes at once.
const PUBLICATION_INTERVAL: Duration = Duration::from_millis(5);
/// The delay after which a crash is reported, with all others that this router sees meanwhile.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// What this router has seen or learned, and neither reported to the others nor published yet.
#[derive(Debug, Default)]
pub(super) struct PendingCrashes {
    crashes: Vec<Crash>,
    kept: Vec<(SuspectKey, Duration)>,
    /// When to report it; `None` if there is nothing.
    report_at: Option<Duration>,
    next_full_report: Duration,
    /// When to publish the suspects; `None` if they have not changed.
    publish_at: Option<Duration>,
    last_publication: Duration,
    /// The suspects whose refusal was logged.
    refused: BTreeSet<SuspectKey>,
}

impl PendingCrashes {
    fn schedule_report(&mut self, now: Duration) {
        self.report_at.get_or_insert(now + REPORT_DELAY);
    }

    fn schedule_publication(&mut self, now: Duration) {
        let earliest = self.last_publication + PUBLICATION_INTERVAL;
        self.publish_at.get_or_insert(now.max(earliest));
    }

    /// Returns when something is due next, if anything is.
    pub(super) fn due_at(&self) -> Option<Duration> {
        [self.report_at, self.publish_at]
            .into_iter()
            .flatten()
            .min()
    }
}

impl Control {
    /// Handles a crash that this router saw.
    pub(super) fn handle_crash(&mut self, crash: Crash, now: Duration) {
        if self.quarantine.record_crash(crash.clone()) {
            self.recall_kept(&crash, now);
            self.pending_crashes.crashes.push(crash);
            self.pending_crashes.schedule_report(now);
            self.pending_crashes.schedule_publication(now);
        }
    }

    /// Handles an answer that this router relayed under a suspected key.
    pub(super) fn handle_kept(&mut self, key: SuspectKey, now: Duration) {
        if self.quarantine.record_kept(key, now) {
            self.pending_crashes.kept.push((key, now));
            self.pending_crashes.schedule_report(now);
            self.pending_crashes.schedule_publication(now);
        }
    }

    /// Handles the report of another router.
    pub(super) fn handle_crash_report(&mut self, report: CrashReport, now: Duration) {
        let (crashes, kept) = report.into_parts(now);
        let mut is_changed = false;
        for (key, at) in kept {
            is_changed |= self.quarantine.record_kept(key, at);
        }
        for crash in crashes {
            if self.quarantine.record_crash(crash.clone()) {
                self.recall_kept(&crash, now);
                is_changed = true;
            }
        }
        if is_changed {
            self.pending_crashes.schedule_publication(now);
        }
    }

    /// Tells all routers of answers that this router kept under the parts of a crash.
    fn recall_kept(&mut self, crash: &Crash, now: Duration) {
        for part in &crash.keys {
            let is_known = self.quarantine.kept().any(|(known, _)| known == *part);
            if is_known {
                continue;
            }
            if let Some(at) = self.shared.last_kept(*part, now) {
                self.quarantine.record_kept(*part, at);
                self.pending_crashes.kept.push((*part, at));
                self.pending_crashes.schedule_report(now);
            }
        }
    }

    /// Publishes the suspects and sends the reports that are due.
    pub(super) fn release_pending_crashes(&mut self, now: Duration) {
        let pending = &mut self.pending_crashes;
        if pending.report_at.is_some_and(|at| at <= now) {
            let kept = std::mem::take(&mut pending.kept);
            let report = CrashReport::of(&std::mem::take(&mut pending.crashes), kept, now);
            pending.report_at = None;
            self.peers.broadcast_crashes(&report);
        }
        if pending.publish_at.is_some_and(|at| at <= now) {
            pending.publish_at = None;
            pending.last_publication = now;
            self.publish_suspects(now);
        }
        // A router that starts gets requests at once, also those that the others refuse.
        let mut receivers = self.peers.newcomers();
        let is_full_report_due = self.pending_crashes.next_full_report <= now;
        if is_full_report_due {
            self.pending_crashes.next_full_report = now + REPORT_INTERVAL;
            self.quarantine.expire(now);
            receivers.extend(self.peers.random_other(&mut rand::rng()));
        }
        if !receivers.is_empty() {
            let report = CrashReport::of_all(&self.quarantine, now);
            for to in receivers.into_iter().filter(|_| !report.is_empty()) {
                self.peers.send_crashes(to, &report);
            }
        }
        // Refusals and crashes end with time.
        if is_full_report_due && !self.shared.suspects.load().is_empty() {
            self.pending_crashes.schedule_publication(now);
        }
    }

    /// Publishes the suspects, and logs what has changed.
    fn publish_suspects(&mut self, now: Duration) {
        let suspects = self.quarantine.suspects();
        let refused = refused_keys(&suspects, now);
        let before = self.shared.suspects.load_full();
        self.log_refusals(&refused, &before, &suspects, now);
        if *before == suspects {
            return;
        }
        self.log_suspects(&before, &suspects);
        let requests = suspects.values().filter(|status| status.is_request).count();
        metrics::gauge!("crocuswharf_gateway_suspected_parts")
            .set((suspects.len() - requests) as f64);
        metrics::gauge!("crocuswharf_gateway_suspected_requests").set(requests as f64);
        self.shared.set_suspects(suspects);
    }

    fn log_refusals(
        &mut self,
        refused: &BTreeSet<SuspectKey>,
        before: &Suspects,
        suspects: &Suspects,
        now: Duration,
    ) {
        let refused_before = std::mem::replace(&mut self.pending_crashes.refused, refused.clone());
        for key in refused.difference(&refused_before) {
            let status = suspects[key];
            let refused_ms = status.refused_for(now).unwrap_or_default().as_millis();
            if status.is_request {
                log::warn!(
                    "quarantine: A request that crashes replicas is refused. request_key={key:016x} points={} refused_ms={refused_ms} crashes={}",
                    status.points,
                    self.describe_crashes(*key)
                );
            } else {
                log::warn!(
                    "quarantine: Requests with a part of prompts are refused. prompt_part={key:016x} points={} refused_ms={refused_ms}",
                    status.points
                );
            }
        }
        for key in refused_before.difference(refused) {
            let status = suspects.get(key).or_else(|| before.get(key));
            if status.is_some_and(|status| status.is_request) {
                let is_cleared = !suspects.contains_key(key);
                log::info!(
                    "quarantine: A request is no longer refused. request_key={key:016x} is_cleared={is_cleared}"
                );
            } else {
                log::info!(
                    "quarantine: Requests with a part of prompts are no longer refused. prompt_part={key:016x}"
                );
            }
        }
        let is_request = |key: &&SuspectKey| suspects[*key].is_request;
        let requests = refused.iter().filter(is_request).count();
        metrics::gauge!("crocuswharf_gateway_refused_parts").set((refused.len() - requests) as f64);
        metrics::gauge!("crocuswharf_gateway_refused_requests").set(requests as f64);
    }

    /// Logs the suspects whose requests are no longer sent again after a crash, and those whose requests are again.
    ///
    /// Most suspects are so only until the next answer, after each crash of a replica.
    fn log_suspects(&self, before: &Suspects, after: &Suspects) {
        let is_suspected = |suspects: &Suspects, key: &SuspectKey| {
            let status = suspects.get(key);
            status.is_some_and(|status| !status.allows_resend())
        };
        for (key, status) in after {
            if is_suspected(before, key) || !is_suspected(after, key) {
                continue;
            }
            if status.is_request {
                log::info!(
                    "quarantine: A request is suspected. request_key={key:016x} points={} crashes={}",
                    status.points,
                    self.describe_crashes(*key)
                );
            } else {
                log::info!(
                    "quarantine: A part of prompts is suspected. prompt_part={key:016x} points={}",
                    status.points
                );
            }
        }
        for (key, status) in before {
            if !is_suspected(before, key) || is_suspected(after, key) {
                continue;
            }
            if status.is_request {
                log::info!("quarantine: A request is cleared. request_key={key:016x}");
            } else {
                log::info!("quarantine: A part of prompts is cleared. prompt_part={key:016x}");
            }
        }
    }

    /// Returns the crashes under the key of a whole request: for each, the request's id, how long it ran, the replica's
    /// incarnation and the evidence.
    fn describe_crashes(&self, key: SuspectKey) -> String {
        let crashes = self.quarantine.live_crashes(key);
        let texts: Vec<String> = crashes
            .filter_map(|crash| {
                let request = crash.request.as_ref()?;
                let (id, ran_ms) = (&request.id, request.ran.as_millis());
                let (replica, evidence) = (crash.replica, crash.evidence);
                Some(format!("{id}/{ran_ms}ms/{replica:08x}/{evidence:?}"))
            })
            .collect();
        texts.join(",")
    }
}

fn refused_keys(suspects: &Suspects, now: Duration) -> BTreeSet<SuspectKey> {
    let refused = suspects
        .iter()
        .filter(|(_, status)| status.refused_for(now).is_some());
    refused.map(|(key, _)| *key).collect()
}
