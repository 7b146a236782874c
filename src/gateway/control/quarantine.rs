//! Collects what routers see of crashes under parts of prompts and whole requests, and publishes which to refuse.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::gateway::crash_report::CrashReport;
use crate::request::quarantine::{Crash, Kept, SuspectKey, SuspectKind, SuspectStatus, Suspects};

use super::Control;

/// The interval at which a router sends all that it knows to a random one.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// The least time between publications; a crash brings many changes at once.
const PUBLICATION_INTERVAL: Duration = Duration::from_millis(5);
/// The maximum number of crashes named in one line of the log.
const MAX_LOGGED_CRASHES: usize = 12;
/// The delay after which a crash is reported, with all others that this router sees meanwhile.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// What this router has seen or learned, and neither reported to the others nor published yet.
#[derive(Debug, Default)]
pub(super) struct PendingCrashes {
    crashes: Vec<Crash>,
    kept: Vec<Kept>,
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
    pub(super) fn handle_kept(&mut self, kept: Kept, now: Duration) {
        if self.quarantine.record_kept(kept) {
            self.pending_crashes.kept.push(kept);
            self.pending_crashes.schedule_report(now);
            self.pending_crashes.schedule_publication(now);
        }
    }

    /// Handles the report of another router.
    pub(super) fn handle_crash_report(&mut self, report: CrashReport, now: Duration) {
        let (crashes, kept) = report.into_parts(now);
        let mut is_changed = false;
        for kept in kept {
            is_changed |= self.quarantine.record_kept(kept);
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
            if self.quarantine.has_kept(*part) {
                continue;
            }
            if let Some(at) = self.shared.last_kept(*part, now) {
                let kept = Kept {
                    key: *part,
                    at,
                    is_complete: false,
                };
                self.quarantine.record_kept(kept);
                self.pending_crashes.kept.push(kept);
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
        let (parts, requests) = count_kinds(suspects.values());
        metrics::gauge!("crocuswharf_gateway_suspected_parts").set(parts);
        metrics::gauge!("crocuswharf_gateway_suspected_requests").set(requests);
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
            let text = match status.kind {
                SuspectKind::Part => "Requests with a part of prompts are refused.",
                SuspectKind::Request => "A request that crashes replicas is refused.",
            };
            log::warn!(
                "quarantine: {text} kind={:?} key={key:016x} points={} refused_ms={} crashes={}",
                status.kind,
                status.points,
                status.refused_for(now).unwrap_or_default().as_millis(),
                self.describe_crashes(*key)
            );
        }
        for key in refused_before.difference(refused) {
            let Some(status) = suspects.get(key).or_else(|| before.get(key)) else {
                continue;
            };
            let text = match status.kind {
                SuspectKind::Part => "Requests with a part of prompts are no longer refused.",
                SuspectKind::Request => "A request is no longer refused.",
            };
            log::info!(
                "quarantine: {text} kind={:?} key={key:016x} is_cleared={} crashes={}",
                status.kind,
                !suspects.contains_key(key),
                self.describe_crashes(*key)
            );
        }
        let (parts, requests) = count_kinds(refused.iter().map(|key| &suspects[key]));
        metrics::gauge!("crocuswharf_gateway_refused_parts").set(parts);
        metrics::gauge!("crocuswharf_gateway_refused_requests").set(requests);
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
            let text = match status.kind {
                SuspectKind::Part => "A part of prompts is suspected.",
                SuspectKind::Request => "A request is suspected.",
            };
            log::info!(
                "quarantine: {text} kind={:?} key={key:016x} points={} crashes={}",
                status.kind,
                status.points,
                self.describe_crashes(*key)
            );
        }
        for (key, status) in before {
            if !is_suspected(before, key) || is_suspected(after, key) {
                continue;
            }
            let text = match status.kind {
                SuspectKind::Part => "A part of prompts is cleared.",
                SuspectKind::Request => "A request is cleared.",
            };
            log::info!("quarantine: {text} kind={:?} key={key:016x}", status.kind);
        }
    }

    /// Returns the newest crashes under `key`: for each, the request's id, how long it ran, the replica's incarnation, how
    /// far the answer had got, and whether the replica was down afterwards.
    fn describe_crashes(&self, key: SuspectKey) -> String {
        let crashes: Vec<_> = self.quarantine.live_crashes(key).collect();
        let newest = crashes.len().saturating_sub(MAX_LOGGED_CRASHES);
        let texts = crashes[newest..].iter().map(|crash| {
            let (id, ran_ms, replica) = (&crash.id, crash.ran.as_millis(), crash.replica);
            let state = if crash.is_down { "down" } else { "up" };
            format!("{id}/{ran_ms}ms/{replica:08x}/{:?}/{state}", crash.progress)
        });
        texts.collect::<Vec<_>>().join(",")
    }
}

/// Returns how many of `statuses` are those of parts, and of whole requests.
fn count_kinds<'a>(statuses: impl Iterator<Item = &'a SuspectStatus>) -> (f64, f64) {
    let mut counts = (0, 0);
    for status in statuses {
        match status.kind {
            SuspectKind::Part => counts.0 += 1,
            SuspectKind::Request => counts.1 += 1,
        }
    }
    (f64::from(counts.0), f64::from(counts.1))
}

fn refused_keys(suspects: &Suspects, now: Duration) -> BTreeSet<SuspectKey> {
    let refused = suspects
        .iter()
        .filter(|(_, status)| status.refused_for(now).is_some());
    refused.map(|(key, _)| *key).collect()
}
