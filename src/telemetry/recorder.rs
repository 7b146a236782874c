//! Records finished requests for operators: burn rates, explanations, metrics, hot prefixes and repairs.

use std::sync::Arc;
use std::time::Duration;

use crate::burn::{BurnTracker, EventCounts, MemberStats, ObjectiveKind, Observation, Window};
use crate::explain::{Explanation, Explanations};
use crate::id::{RequestId, RouterId};
use crate::service::Objectives;
use crate::status::{HotPrefix, HotPrefixes, Repair, Repairs};
use crate::telemetry::request::RequestMetrics;

/// The maximum number of explanations that a router keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExplanationCapacity {
    /// For all other requests, such as those that completed at the first attempt.
    pub normal: usize,
    /// For requests that failed, were retried or could not be claimed.
    pub notable: usize,
}

impl Default for ExplanationCapacity {
    fn default() -> Self {
        Self {
            normal: 1_024,
            notable: 1_024,
        }
    }
}

/// A finished request, as reported by the request path.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// The data evaluated by the objectives.
    pub observation: Observation,
    /// The decisions made for the request and their reasons.
    pub explanation: Explanation,
    /// The name of the prompt's prefix, if it has one.
    pub prefix: Option<Arc<str>>,
}

/// Records the finished requests of one router in bounded memory.
#[derive(Debug)]
pub struct RequestRecorder {
    router: RouterId,
    burn: BurnTracker,
    explanations: Explanations,
    metrics: RequestMetrics,
    hot_prefixes: HotPrefixes,
    repairs: Repairs,
}

impl RequestRecorder {
    /// Creates an empty recorder for the router named `router` that starts at `now`.
    #[must_use]
    pub fn new(router: RouterId, capacity: ExplanationCapacity, now: Duration) -> Self {
        Self {
            burn: BurnTracker::new(now),
            explanations: Explanations::new(capacity.normal, capacity.notable),
            metrics: RequestMetrics::new(router.clone()),
            hot_prefixes: HotPrefixes::new(now),
            repairs: Repairs::default(),
            router,
        }
    }

    /// Records a finished request, evaluated against the `objectives` of its service.
    pub fn record(&mut self, entry: CompletedRequest, objectives: &Objectives, now: Duration) {
        self.burn.record(&entry.observation, objectives, now);
        self.metrics.record(&entry.observation, &entry.explanation);
        if let Some(prefix) = &entry.prefix {
            self.hot_prefixes.record(prefix, now);
        }
        self.explanations.push(entry.explanation);
    }

    /// Records that `part` automatically performed `action` because of `evidence`.
    pub fn record_repair(&mut self, part: &str, action: &str, evidence: &str, unix_now: Duration) {
        self.repairs.push(part, action, evidence, unix_now);
    }

    /// Returns up to `limit` of the most requested prefixes, in descending order of requests.
    #[must_use]
    pub fn hottest(&self, limit: usize) -> Vec<HotPrefix> {
        self.hot_prefixes.hottest(limit)
    }

    /// Returns the most recent repairs, newest first.
    #[must_use]
    pub fn repairs(&self) -> Vec<Repair> {
        self.repairs.latest()
    }

    /// Removes the burn statistics of services for which `is_kept` returns `false`.
    pub fn retain_services(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.burn.retain(is_kept);
    }

    /// Returns this router's statistics for a burn report over `window`.
    #[must_use]
    pub fn stats(&self, window: Window, now: Duration) -> MemberStats {
        self.burn.stats(window, now)
    }

    /// Returns the explanation of the request `id`, if it is still kept.
    #[must_use]
    pub fn explain(&self, id: RequestId) -> Option<Arc<Explanation>> {
        self.explanations.find(id)
    }

    /// Returns the ids of up to `limit` of the most recent [notable](Explanation::is_notable) requests, newest first.
    #[must_use]
    pub fn notable(&self, limit: usize) -> Vec<RequestId> {
        self.explanations.notable().take(limit).collect()
    }

    /// Updates the gauges of this router's own burn rates before a scrape.
    ///
    /// `objectives` returns the objectives of the named service.
    pub fn update_gauges(&self, objectives: impl Fn(&str) -> Option<Objectives>, now: Duration) {
        for (service, windows) in self.burn.totals(now) {
            let Some(objectives) = objectives(service) else {
                continue;
            };
            for (window, tally) in Window::ALL.into_iter().zip(&windows) {
                self.set_window_gauges(service, window, tally, &objectives);
            }
        }
    }

    fn set_window_gauges(
        &self,
        service: &str,
        window: Window,
        tally: &EventCounts,
        objectives: &Objectives,
    ) {
        for kind in ObjectiveKind::ALL {
            let rate = tally.burn_rate(kind, kind.allowed_share(objectives));
            metrics::gauge!(
                "crocuswharf_burn_rate",
                "router" => self.router.to_string(),
                "service" => service.to_owned(),
                "objective" => kind.name(),
                "window" => window.name()
            )
            .set(rate.unwrap_or(0.0));
        }
    }
}
