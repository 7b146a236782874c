//! Follows an attempt until it is known whether its replica has survived it.
//!
//! Each attempt has one watch, from when the request is sent to the end of the response. A replica may crash at any point of
//! it: before the head, before the first event, in the middle of the body, while another replica is tried beside it, or
//! after the caller has left. However the attempt ends, its watch reports the crash in the same way.
//!
//! A broken connection may be all that was lost: a response can be garbled or cut off while the replica lives. One that
//! has crashed refuses connections until it is back, so the router checks that before it reports, and asks another router
//! before it trusts its own links ([`super::path`]). What a cut link broke off is not reported. An attempt that is
//! dropped before its end, such as one whose caller has left, is reported only if the replica is down shortly
//! afterwards.

use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;

use super::call::Call;
use super::clock::boot_time;
use super::shared::{Observation, Replica, Shared};
use crate::request::quarantine::{Crash, KEPT_EVENTS, Progress};

/// The times between a broken connection and the checks; a process that ends may close its listener last.
const BROKEN_CHECK_DELAYS: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(40)];
/// The time after which the replica of a dropped attempt is checked. A replica that crashes later has most likely stopped
/// to work on the request before.
const DROPPED_CHECK_DELAY: Duration = Duration::from_millis(300);

/// The watch of one attempt. If it is dropped before it was settled, so was the attempt.
#[derive(Debug)]
pub(crate) struct AttemptWatch {
    shared: Arc<Shared>,
    call: Arc<Call>,
    replica: Arc<Replica>,
    sent_at: Duration,
    /// The expected time to the first event at the reference speed, until that has come ([`super::load`]).
    expected_ms: Option<f64>,
    /// Whether the attempt counts among those that wait for their begin; only the events of streams show it.
    is_waiting: bool,
    progress: Progress,
    is_settled: bool,
}

impl AttemptWatch {
    /// Creates the watch of an attempt that is about to be sent to `replica`.
    pub(crate) fn new(
        shared: Arc<Shared>,
        call: Arc<Call>,
        replica: Arc<Replica>,
        expected_ms: Option<f64>,
    ) -> Self {
        let sent_at = boot_time();
        let is_waiting = call.prompt.is_some() && call.route.kind.is_stream();
        if is_waiting {
            replica.load.with_waits(|waits| waits.record_send(sent_at));
        }
        Self {
            shared,
            call,
            replica,
            sent_at,
            expected_ms,
            is_waiting,
            progress: Progress::Waiting,
            is_settled: false,
        }
    }

    /// Records that the head of the response has arrived.
    pub(crate) fn record_head(&mut self) {
        self.progress = Progress::of_events(0);
    }

    /// Records that `events` complete events have arrived.
    pub(crate) fn record_events(&mut self, events: u32) {
        let before = std::mem::replace(&mut self.progress, Progress::of_events(events));
        if before < Progress::WentOn && events >= KEPT_EVENTS {
            self.shared.record_kept(&self.call, boot_time(), false);
        }
    }

    /// Records that the replica has begun the request.
    pub(crate) fn record_begin(&mut self) {
        let now = boot_time();
        let waited = now.saturating_sub(self.sent_at);
        if std::mem::take(&mut self.is_waiting) {
            let load = &self.replica.load;
            load.with_waits(|waits| waits.record_begin(self.sent_at, now));
        }
        if let Some(expected_ms) = self.expected_ms.take() {
            self.replica.load.record_first_event(expected_ms, waited);
        }
        self.log_outdated_begin(now, waited);
    }

    /// Logs a request that has begun on weights for which there are newer ones.
    fn log_outdated_begin(&self, now: Duration, waited: Duration) {
        let Some(prompt) = &self.call.prompt else {
            return;
        };
        let version = self.replica.known.version_of(&prompt.model);
        let version = version.unwrap_or_default();
        let snapshot = self.shared.snapshot.load();
        let Some(named_at) = snapshot.outdated_since(&prompt.model, version) else {
            return;
        };
        let age = now.saturating_sub(named_at);
        if age < self.shared.weights_bounds().stale_after {
            return;
        }
        let bound_ms = self.shared.bounds().weights_ms;
        let is_beyond = bound_ms.is_some_and(|ms| age >= Duration::from_millis(ms));
        let bound = if is_beyond { "beyond" } else { "within" };
        metrics::counter!("crocuswharf_gateway_outdated_begins_total", "bound" => bound)
            .increment(1);
        log::info!(
            "request: Begun on older weights. id={} replica={} weights={version} newer_age_ms={} first_event_ms={} bound={bound}",
            self.call.id_text(),
            self.replica.known.record.id,
            age.as_millis(),
            waited.as_millis()
        );
    }

    /// Records that the whole response has arrived.
    pub(crate) fn complete(&mut self) {
        if !std::mem::replace(&mut self.is_settled, true) {
            self.shared.record_kept(&self.call, boot_time(), true);
        }
    }

    /// Records that the attempt shows nothing about the request: it was not run, or not answered as the protocol wants.
    pub(crate) const fn settle(&mut self) {
        self.is_settled = true;
    }

    /// Records that the replica broke the attempt off.
    pub(crate) fn broken(&mut self) {
        if std::mem::replace(&mut self.is_settled, true) {
            return;
        }
        tokio::spawn(report_broken(
            Arc::clone(&self.shared),
            Arc::clone(&self.replica),
            self.crash(),
            self.part_ids(),
        ));
    }

    /// Returns the crash of the replica under this attempt, as if it ended now.
    fn crash(&self) -> Crash {
        let at = boot_time();
        Crash {
            parts: self.call.parts.clone(),
            request: self.call.request_key(),
            id: self.call.id_text().into(),
            ran: at.saturating_sub(self.sent_at),
            replica: self.replica.key,
            at,
            progress: self.progress,
            is_down: false,
        }
    }

    /// Returns the IDs of the prompt's shared parts with their keys, for the log.
    fn part_ids(&self) -> String {
        let prompt = self.call.prompt.as_ref();
        let parts = prompt.map_or(&[][..], |prompt| prompt.shared_parts());
        let parts = parts.iter().zip(&self.call.parts);
        let parts: Vec<_> = parts
            .map(|(part, key)| format!("{}/{key:016x}", part.id))
            .collect();
        parts.join(",")
    }
}

impl Drop for AttemptWatch {
    fn drop(&mut self) {
        if self.is_waiting {
            let load = &self.replica.load;
            load.with_waits(|waits| waits.end_wait(self.sent_at));
        }
        if self.is_settled {
            return;
        }
        // There is none while the process ends.
        if let Ok(runtime) = Handle::try_current() {
            let (shared, replica) = (Arc::clone(&self.shared), Arc::clone(&self.replica));
            runtime.spawn(check_dropped(
                shared,
                replica,
                self.crash(),
                self.part_ids(),
            ));
        }
    }
}

async fn report_broken(
    shared: Arc<Shared>,
    replica: Arc<Replica>,
    mut crash: Crash,
    parts: String,
) {
    for delay in BROKEN_CHECK_DELAYS {
        tokio::time::sleep(delay).await;
        crash.is_down = replica.pool.is_down().await;
        if crash.is_down {
            break;
        }
    }
    let is_cut = replica.pool.is_relayed() || replica.pool.has_suspected_links();
    if !crash.is_down && is_cut {
        log::info!(
            "request: A cut link broke a request off. id={} replica={} ran_ms={}",
            crash.id,
            replica.known.record.id,
            crash.ran.as_millis()
        );
        return;
    }
    log_crash("Replica broke a request off.", &replica, &crash, &parts);
    shared.observe(Observation::Crash(crash));
}

async fn check_dropped(
    shared: Arc<Shared>,
    replica: Arc<Replica>,
    mut crash: Crash,
    parts: String,
) {
    tokio::time::sleep(DROPPED_CHECK_DELAY).await;
    crash.is_down = replica.pool.is_down().await;
    if crash.is_down {
        let text = "Replica crashed under a request whose attempt was dropped.";
        log_crash(text, &replica, &crash, &parts);
        shared.observe(Observation::Crash(crash));
    }
}

fn log_crash(text: &str, replica: &Replica, crash: &Crash, parts: &str) {
    log::info!(
        "request: {text} id={} replica={} request_key={:016x} progress={:?} ran_ms={} is_down={} parts={parts}",
        crash.id,
        replica.known.record.id,
        crash.request,
        crash.progress,
        crash.ran.as_millis(),
        crash.is_down
    );
}
