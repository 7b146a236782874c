//! Logs and metrics of requests.

use std::time::Duration;

use super::call::Call;
use super::caller_stream::SharedActivity;
use super::clock::boot_time;
use super::dispatch::Dispatch;
use super::events::StreamPosition;
use super::forwarding::BodyEnd;
use super::request_end::{ClosedBy, RequestEnd, RequestProgress};
use super::response::LocalReply;
use super::shared::Shared;

/// How much longer than until all routers must have applied a change requests count as beside it.
const CHANGE_SLACK: Duration = Duration::from_secs(1);

/// A request that has ended, as its log line names it.
#[derive(Debug)]
pub(crate) struct EndedRequest<'a> {
    /// The ID of the caller's attempt; empty if its head was not accepted.
    pub(crate) id: &'a str,
    /// The replica of the last attempt; empty before the first one.
    pub(crate) replica: &'a str,
    /// How it ended.
    pub(crate) end: RequestEnd,
    /// How far it came.
    pub(crate) progress: &'a RequestProgress,
    /// When its head was complete.
    pub(crate) arrived_at: Duration,
    /// When its connection last received or sent a byte.
    pub(crate) last_byte_at: Duration,
    /// The version of the configuration that was in force when it arrived.
    pub(crate) configuration_version: u64,
}

impl Shared {
    /// Records how a request ended, whatever ended it.
    pub(crate) fn log_request_end(&self, ended: &EndedRequest<'_>) {
        let now = boot_time();
        let is_beside_change = self.is_beside_change(ended.arrived_at, now);
        count_end(ended.end, is_beside_change);
        let Some(closed_by) = ended.end.closed_by() else {
            return;
        };
        let since_ms = |at: Duration| now.saturating_sub(at).as_millis();
        log::info!(
            "request: {} id={} phase={} end={} closed_by={} bytes_read={} bytes_sent={} since_last_byte_ms={} age_ms={} \
             replica={} configuration_version={} version_at_arrival={} configuration_age_ms={} in_force_ms={} \
             beside_change={is_beside_change}",
            unanswered_sentence(closed_by),
            or_dash(ended.id),
            ended.progress.phase().name(),
            ended.end.name(),
            closed_by.name(),
            ended.progress.bytes_read(),
            ended.progress.bytes_sent(),
            since_ms(ended.last_byte_at),
            since_ms(ended.arrived_at),
            or_dash(ended.replica),
            self.configuration_version(),
            ended.configuration_version,
            self.freshness(now).age.as_millis(),
            self.in_force(now).as_millis(),
        );
    }

    /// Records what a connection that has ended read and did not handle.
    pub(crate) fn log_connection_end(&self, activity: &SharedActivity) {
        let (unhandled, dropped) = (activity.unhandled_bytes(), activity.dropped_bytes());
        if unhandled + dropped == 0 {
            return;
        }
        if activity.is_body_unread() {
            let bytes = unhandled + dropped;
            log::info!("front: The rest of a rejected request was dropped. bytes={bytes}");
            return;
        }
        let closed_by = match activity.closed_by() {
            None if self.is_leaving() => Some(ClosedBy::Stop),
            closed_by => closed_by,
        };
        if unhandled > 0 {
            self.log_unhandled(partial_head_sentence(closed_by), closed_by, unhandled);
        }
        if dropped > 0 {
            metrics::counter!("crocuswharf_gateway_crossed_requests_total").increment(1);
            let sentence = "A request crossed the close of its connection.";
            self.log_unhandled(sentence, closed_by, dropped);
        }
    }

    fn log_unhandled(&self, sentence: &str, closed_by: Option<ClosedBy>, bytes: u64) {
        let now = boot_time();
        log::info!(
            "front: {sentence} closed_by={} bytes={bytes} configuration_version={} in_force_ms={}",
            closed_by.map_or("-", ClosedBy::name),
            self.configuration_version(),
            self.in_force(now).as_millis()
        );
    }

    /// Returns how long the version in force has been applied.
    fn in_force(&self, now: Duration) -> Duration {
        now.saturating_sub(self.configuration_change().applied_at)
    }

    /// Returns whether a request that arrived at `arrived_at` and ends now counts as beside a change.
    fn is_beside_change(&self, arrived_at: Duration, now: Duration) -> bool {
        let window = self.change_window();
        self.configuration_change()
            .is_beside(arrived_at, now, window)
    }

    /// Returns how long requests count as beside a change after it was applied.
    pub(crate) fn change_window(&self) -> Duration {
        self.bounds().configuration() + CHANGE_SLACK
    }

    /// Records the end of a request that a replica responded to.
    pub(crate) fn log_completion(
        &self,
        dispatch: &Dispatch,
        status: u16,
        outcome: &'static str,
        body_end: BodyEnd,
    ) {
        let call = &dispatch.call;
        let took = boot_time().saturating_sub(call.arrived_at);
        record_metrics(call, outcome, took);
        let (replica, sends) = dispatch.last_attempt();
        let version = self.configuration_version();
        // Served and other requests use different sentences, so that log rate limiting does not let one kind suppress
        // the other.
        let sentence = if outcome == "complete" {
            "Served."
        } else {
            "Ended."
        };
        log::info!(
            "request: {sentence} id={} route={} service={} replica={replica} status={status} outcome={outcome} \
             took_ms={} sends={sends} runs={} configuration_version={version} framing={} position={}",
            call.id_text(),
            call.route.name,
            call.service,
            took.as_millis(),
            dispatch.retry_state.runs,
            body_end.framing.name(),
            body_end.position.map_or("-", StreamPosition::name)
        );
    }

    /// Records a response that the gateway generated.
    pub(crate) fn log_local_reply(&self, id: &str, route: &str, answer: &LocalReply) {
        metrics::counter!(
            "crocuswharf_gateway_own_answers_total",
            "status" => answer.status.as_str().to_owned(),
            "reason" => answer.reason
        )
        .increment(1);
        let age = self.freshness(boot_time()).age;
        log::info!(
            "request: Answered by the gateway. id={id} route={route} status={} reason=\"{}\" configuration_version={} configuration_age_ms={}",
            answer.status.as_u16(),
            answer.reason,
            self.configuration_version(),
            age.as_millis()
        );
    }
}

/// Counts a request that has ended; beside changes and away from them only if it was answered or the gateway cut it.
fn count_end(end: RequestEnd, is_beside_change: bool) {
    let closed_by = end.closed_by();
    metrics::counter!(
        "crocuswharf_gateway_request_ends_total",
        "end" => end.name(),
        "closed_by" => closed_by.map_or("-", ClosedBy::name)
    )
    .increment(1);
    let is_cut = closed_by.is_some_and(ClosedBy::is_gateway);
    if closed_by.is_none() || is_cut {
        metrics::counter!(
            "crocuswharf_gateway_requests_beside_change_total",
            "end" => if is_cut { "cut" } else { "answered" },
            "beside_change" => if is_beside_change { "true" } else { "false" }
        )
        .increment(1);
    }
}

/// Returns the sentence about a connection that ended inside a head.
const fn partial_head_sentence(closed_by: Option<ClosedBy>) -> &'static str {
    match closed_by {
        Some(ClosedBy::CallerClosed | ClosedBy::CallerReset) => {
            "The caller left inside the head of a request."
        }
        _ => "A connection ended inside the head of a request.",
    }
}

/// Returns the sentence about a request without a whole response.
///
/// Each kind has its own, so that log rate limiting does not let callers that leave suppress the others.
const fn unanswered_sentence(closed_by: ClosedBy) -> &'static str {
    match closed_by {
        ClosedBy::CallerClosed | ClosedBy::CallerReset => "Unanswered, since the caller left.",
        ClosedBy::InvalidRequest => "Unanswered, since its connection became invalid.",
        ClosedBy::MemoryLimit => "Unanswered, since the memory for callers is used up.",
        ClosedBy::IdleLimit | ClosedBy::HeadLimit | ClosedBy::StallLimit => {
            "Unanswered, since its connection was closed."
        }
        ClosedBy::Deadline => "Unanswered, since its deadline passed.",
        ClosedBy::Replica => "Unanswered, since its replica broke off.",
        ClosedBy::OldWeights => {
            "Unanswered, since its replica had not begun it on weights that are too old."
        }
        ClosedBy::Stop => "Unanswered, since the process stops.",
        ClosedBy::Task => "Unanswered, since its task ended.",
    }
}

const fn or_dash(text: &str) -> &str {
    if text.is_empty() { "-" } else { text }
}

fn record_metrics(call: &Call, outcome: &'static str, took: Duration) {
    let route = call.route.name.to_string();
    metrics::counter!(
        "crocuswharf_gateway_requests_total",
        "route" => route.clone(),
        "outcome" => outcome
    )
    .increment(1);
    metrics::histogram!("crocuswharf_gateway_request_seconds", "route" => route)
        .record(took.as_secs_f64());
}
