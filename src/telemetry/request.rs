//! Metrics of finished requests.

use std::collections::HashMap;

use metrics::{Counter, Histogram, Label};

use crate::burn::{Ending, MAX_SERVICES, Observation};
use crate::explain::{AttemptCause, Explanation};
use crate::id::{RouterId, ServiceName};

/// The label value shared by all services beyond [`MAX_SERVICES`].
const OTHER_SERVICES: &str = "other";

/// The metric handles for one router's requests, registered once per service.
#[derive(Debug)]
pub struct RequestMetrics {
    router: RouterId,
    services: HashMap<ServiceName, ServiceMetrics>,
}

#[derive(Debug)]
struct ServiceMetrics {
    endings: [Counter; 4],
    causes: [Counter; 4],
    ttft: Histogram,
    token_interval: Histogram,
    duration: Histogram,
    prefix_tokens: Counter,
    avoidable_tokens: Counter,
    warm_expected: Counter,
    warm_found: Counter,
}

impl RequestMetrics {
    /// Creates the request metrics of the router named `router`, with no handles registered yet.
    #[must_use]
    pub fn new(router: RouterId) -> Self {
        Self {
            router,
            services: HashMap::new(),
        }
    }

    /// Records a finished request.
    #[expect(
        clippy::cast_precision_loss,
        reason = "the duration of a request in milliseconds fits in 52 bits"
    )]
    pub fn record(&mut self, observation: &Observation, explanation: &Explanation) {
        let service = self.service(&observation.service);
        service.endings[observation.ending as usize].increment(1);
        if let Some(ttft) = observation.ttft {
            service.ttft.record(ttft);
        }
        if let Some(interval) = observation.token_interval {
            service.token_interval.record(interval);
        }
        service.duration.record(explanation.total_ms as f64 / 1e3);
        service.prefix_tokens.increment(observation.prefix_tokens);
        service
            .avoidable_tokens
            .increment(observation.avoidable_tokens);
        for attempt in &explanation.attempts {
            service.causes[attempt.cause as usize].increment(1);
        }
        let chosen = explanation
            .choice
            .as_ref()
            .and_then(|choice| choice.candidates.first());
        if let Some(chosen) = chosen {
            service.warm_expected.increment(chosen.warm_tokens.into());
        }
        if let Some(found) = explanation.warm_tokens_found {
            service.warm_found.increment(found.into());
        }
    }

    fn service(&mut self, name: &ServiceName) -> &ServiceMetrics {
        let is_full = self.services.len() >= MAX_SERVICES;
        let name = if is_full && !self.services.contains_key(name) {
            ServiceName::from(OTHER_SERVICES)
        } else {
            name.clone()
        };
        self.services
            .entry(name.clone())
            .or_insert_with(|| ServiceMetrics::new(&self.router, &name))
    }
}

impl ServiceMetrics {
    fn new(router: &RouterId, service: &ServiceName) -> Self {
        let labels = vec![
            Label::new("router", router.to_string()),
            Label::new("service", service.to_string()),
        ];
        let counter = |name: &'static str| metrics::counter!(name, labels.clone());
        let histogram = |name: &'static str| metrics::histogram!(name, labels.clone());
        let labeled_counter = |name: &'static str, key: &'static str, value: &'static str| {
            let mut labels = labels.clone();
            labels.push(Label::from_static_parts(key, value));
            metrics::counter!(name, labels)
        };
        Self {
            endings: ENDINGS.map(|ending| {
                labeled_counter("crocuswharf_requests_total", "ending", ending_name(ending))
            }),
            causes: CAUSES.map(|cause| {
                labeled_counter("crocuswharf_attempts_total", "cause", cause_name(cause))
            }),
            ttft: histogram("crocuswharf_time_to_first_token_seconds"),
            token_interval: histogram("crocuswharf_token_interval_seconds"),
            duration: histogram("crocuswharf_request_duration_seconds"),
            prefix_tokens: counter("crocuswharf_opening_tokens_total"),
            avoidable_tokens: counter("crocuswharf_avoidable_tokens_total"),
            warm_expected: counter("crocuswharf_warm_tokens_expected_total"),
            warm_found: counter("crocuswharf_warm_tokens_found_total"),
        }
    }
}

const ENDINGS: [Ending; 4] = [
    Ending::Complete,
    Ending::Incomplete,
    Ending::Refused,
    Ending::Caller,
];
const CAUSES: [AttemptCause; 4] = [
    AttemptCause::First,
    AttemptCause::Retry,
    AttemptCause::Hedge,
    AttemptCause::Resume,
];

const fn ending_name(ending: Ending) -> &'static str {
    match ending {
        Ending::Complete => "complete",
        Ending::Incomplete => "incomplete",
        Ending::Refused => "refused",
        Ending::Caller => "caller",
    }
}

const fn cause_name(cause: AttemptCause) -> &'static str {
    match cause {
        AttemptCause::First => "first",
        AttemptCause::Retry => "retry",
        AttemptCause::Hedge => "hedge",
        AttemptCause::Resume => "resume",
    }
}
