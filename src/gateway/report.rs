//! What the gateway logs and counts of its requests.

use std::time::Duration;

use super::answer::OwnAnswer;
use super::call::Call;
use super::clock::boot_time;
use super::running::Running;
use super::shared::Shared;

impl Shared {
    /// Notes the end of a request that a replica answered.
    pub(crate) fn log_end(&self, running: &Running, status: u16, outcome: &'static str) {
        let call = &running.call;
        let took = boot_time().saturating_sub(call.arrived);
        count(call, outcome, took);
        let (replica, sends) = running.last_try();
        let version = self
            .snapshot
            .load()
            .table
            .as_ref()
            .map_or(0, |table| table.version());
        // Served requests and others are kinds of their own, so that neither crowds the other out of the log.
        let sentence = if outcome == "complete" {
            "Served."
        } else {
            "Ended."
        };
        log::info!(
            "request: {sentence} id={} route={} service={} replica={replica} status={status} outcome={outcome} \
             took_ms={} sends={sends} runs={} configuration_version={version}",
            call.id_text(),
            call.route.name,
            call.service,
            took.as_millis(),
            running.progress.runs
        );
    }

    /// Notes an answer of the gateway's own.
    pub(crate) fn log_own_answer(&self, id: &str, route: &str, answer: &OwnAnswer) {
        metrics::counter!(
            "crocuswharf_gateway_own_answers_total",
            "status" => answer.status.as_str().to_owned(),
            "reason" => answer.reason
        )
        .increment(1);
        let age = self.freshness(boot_time()).age;
        log::info!(
            "request: Answered by the gateway. id={id} route={route} status={} reason=\"{}\" configuration_age_ms={}",
            answer.status.as_u16(),
            answer.reason,
            age.as_millis()
        );
    }
}

fn count(call: &Call, outcome: &'static str, took: Duration) {
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
