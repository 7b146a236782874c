//! What the gateway logs and counts of its requests.

use std::time::Duration;

use super::answer::OwnAnswer;
use super::call::Call;
use super::clock::boot_time;
use super::shared::Shared;

impl Shared {
    /// Notes the end of a request that a replica answered.
    pub(crate) fn log_end(&self, call: &Call, status: u16, outcome: &'static str, runs: u32) {
        let took = boot_time().saturating_sub(call.arrived);
        count(call, outcome, took);
        if outcome == "complete" {
            log::debug!(
                "request: Ended. id={} route={} status={status} outcome={outcome} took_ms={}",
                call.id_text(),
                call.route.name,
                took.as_millis()
            );
            return;
        }
        log::info!(
            "request: Ended. id={} route={} service={} status={status} outcome={outcome} took_ms={} runs={runs}",
            call.id_text(),
            call.route.name,
            call.service,
            took.as_millis()
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
