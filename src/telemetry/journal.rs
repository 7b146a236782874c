//! What a router keeps for operators: burn, explanations, metrics, hot openings and repairs.

use std::sync::Arc;
use std::time::Duration;

use crate::burn::{Burn, MemberFigures, ObjectiveKind, Observation, Tally, Window};
use crate::explain::{Explanation, Explanations};
use crate::id::{RequestId, RouterId};
use crate::service::Objectives;
use crate::status::{Heat, OpeningHeat, Repair, Repairs};
use crate::telemetry::request::RequestMetrics;

/// How many explanations a router keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JournalCapacity {
    /// Of requests that went smoothly.
    pub smooth: usize,
    /// Of requests that failed, were retried or could not be claimed.
    pub notable: usize,
}

impl Default for JournalCapacity {
    fn default() -> Self {
        Self {
            smooth: 1_024,
            notable: 1_024,
        }
    }
}

/// One ended request, as the request path reports it.
#[derive(Clone, Debug)]
pub struct JournalEntry {
    /// What the objectives count.
    pub observation: Observation,
    /// What was done and why.
    pub explanation: Explanation,
    /// The name of the prompt's opening, if it has one.
    pub opening: Option<Arc<str>>,
}

/// Everything that one router keeps of its ended requests, bounded in memory.
#[derive(Debug)]
pub struct Journal {
    router: RouterId,
    burn: Burn,
    explanations: Explanations,
    metrics: RequestMetrics,
    heat: Heat,
    repairs: Repairs,
}

impl Journal {
    /// Starts an empty journal of the router called `router` at `now`.
    #[must_use]
    pub fn new(router: RouterId, capacity: JournalCapacity, now: Duration) -> Self {
        Self {
            burn: Burn::new(now),
            explanations: Explanations::new(capacity.smooth, capacity.notable),
            metrics: RequestMetrics::new(router.clone()),
            heat: Heat::new(now),
            repairs: Repairs::default(),
            router,
        }
    }

    /// Takes in one ended request, judged by the `objectives` of its service.
    pub fn record(&mut self, entry: JournalEntry, objectives: &Objectives, now: Duration) {
        self.burn.record(&entry.observation, objectives, now);
        self.metrics.record(&entry.observation, &entry.explanation);
        if let Some(opening) = &entry.opening {
            self.heat.record(opening, now);
        }
        self.explanations.push(entry.explanation);
    }

    /// Notes that `part` did `action` by itself because of `evidence`.
    pub fn repaired(&mut self, part: &str, action: &str, evidence: &str, unix_now: Duration) {
        self.repairs.push(part, action, evidence, unix_now);
    }

    /// Returns the openings that were asked for most, at most `limit`, hottest first.
    #[must_use]
    pub fn hottest(&self, limit: usize) -> Vec<OpeningHeat> {
        self.heat.hottest(limit)
    }

    /// Returns what was repaired lately, latest first.
    #[must_use]
    pub fn repairs(&self) -> Vec<Repair> {
        self.repairs.latest()
    }

    /// Forgets the burn of services for which `is_kept` says no.
    pub fn retain_services(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.burn.retain(is_kept);
    }

    /// Returns this router's part of a burn report over `window`.
    #[must_use]
    pub fn figures(&self, window: Window, now: Duration) -> MemberFigures {
        self.burn.figures(window, now)
    }

    /// Finds what was done with the request `id`.
    #[must_use]
    pub fn explain(&self, id: RequestId) -> Option<Arc<Explanation>> {
        self.explanations.find(id)
    }

    /// Returns the latest requests that went wrong, at most `limit`, latest first.
    #[must_use]
    pub fn notable(&self, limit: usize) -> Vec<RequestId> {
        self.explanations.notable().take(limit).collect()
    }

    /// Sets the gauges of this router's own burn rates, for a scrape that follows.
    ///
    /// `objectives` gives the objectives of a service by name.
    pub fn update_gauges(&self, objectives: impl Fn(&str) -> Option<Objectives>, now: Duration) {
        for (service, windows) in self.burn.totals(now) {
            let Some(objectives) = objectives(service) else {
                continue;
            };
            for (window, tally) in Window::ALL.into_iter().zip(&windows) {
                self.update_window(service, window, tally, &objectives);
            }
        }
    }

    fn update_window(&self, service: &str, window: Window, tally: &Tally, objectives: &Objectives) {
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
