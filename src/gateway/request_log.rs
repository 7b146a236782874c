//! Logs and metrics of requests.

use std::time::Duration;

use super::call::Call;
use super::clock::boot_time;
use super::dispatch::Dispatch;
use super::events::StreamPosition;
use super::forwarding::BodyEnd;
use super::response::LocalReply;
use super::shared::Shared;

impl Shared {
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
