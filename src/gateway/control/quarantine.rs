//! Collects what routers see of crashes under parts of prompts, and publishes the parts to refuse.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::gateway::crash_report::CrashReport;
use crate::request::quarantine::{Crash, PartKey, Suspects};

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
    kept: Vec<(PartKey, Duration)>,
    /// When to report it; `None` if there is nothing.
    report_at: Option<Duration>,
    next_full_report: Duration,
    /// When to publish the suspects; `None` if they have not changed.
    publish_at: Option<Duration>,
    last_publication: Duration,
    /// The parts whose refusal was logged.
    refused: BTreeSet<PartKey>,
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

    /// Handles an answer that this router relayed under a suspected part.
    pub(super) fn handle_kept(&mut self, part: PartKey, now: Duration) {
        if self.quarantine.record_kept(part, now) {
            self.pending_crashes.kept.push((part, now));
            self.pending_crashes.schedule_report(now);
            self.pending_crashes.schedule_publication(now);
        }
    }

    /// Handles the report of another router.
    pub(super) fn handle_crash_report(&mut self, report: CrashReport, now: Duration) {
        let (crashes, kept) = report.into_parts(now);
        let mut is_changed = false;
        for (part, at) in kept {
            is_changed |= self.quarantine.record_kept(part, at);
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
        for part in &crash.parts {
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

    /// Publishes the suspected parts and sends the reports that are due.
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
        // A router that starts gets requests at once, also those under parts that the others refuse.
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

    /// Publishes the suspected parts, and logs what has changed.
    fn publish_suspects(&mut self, now: Duration) {
        let suspects = self.quarantine.suspects();
        let refused = refused_parts(&suspects, now);
        self.log_refusals(&refused, &suspects, now);
        let before = self.shared.suspects.load_full();
        if *before == suspects {
            return;
        }
        log_suspects(&before, &suspects);
        metrics::gauge!("crocuswharf_gateway_suspected_parts").set(suspects.len() as f64);
        self.shared.set_suspects(suspects);
    }

    fn log_refusals(&mut self, refused: &BTreeSet<PartKey>, suspects: &Suspects, now: Duration) {
        let before = std::mem::replace(&mut self.pending_crashes.refused, refused.clone());
        for part in refused.difference(&before) {
            let status = suspects[part];
            log::warn!(
                "quarantine: Requests with a part of prompts are refused. prompt_part={part:016x} points={} refused_ms={}",
                status.points,
                status.refused_for(now).unwrap_or_default().as_millis()
            );
        }
        for part in before.difference(refused) {
            log::info!(
                "quarantine: Requests with a part of prompts are no longer refused. prompt_part={part:016x}"
            );
        }
        metrics::gauge!("crocuswharf_gateway_refused_parts").set(refused.len() as f64);
    }
}

fn refused_parts(suspects: &Suspects, now: Duration) -> BTreeSet<PartKey> {
    let refused = suspects
        .iter()
        .filter(|(_, status)| status.refused_for(now).is_some());
    refused.map(|(part, _)| *part).collect()
}

/// Logs the parts under which requests are no longer sent again after a crash, and those under which they are again.
///
/// Most parts are suspected only until the next answer, after each crash of a replica.
fn log_suspects(before: &Suspects, after: &Suspects) {
    let is_suspected = |suspects: &Suspects, part: &PartKey| {
        let status = suspects.get(part);
        status.is_some_and(|status| !status.allows_resend())
    };
    for (part, status) in after {
        if is_suspected(after, part) && !is_suspected(before, part) {
            log::info!(
                "quarantine: A part of prompts is suspected. prompt_part={part:016x} points={}",
                status.points
            );
        }
    }
    for part in before.keys() {
        if is_suspected(before, part) && !is_suspected(after, part) {
            log::info!("quarantine: A part of prompts is cleared. prompt_part={part:016x}");
        }
    }
}
