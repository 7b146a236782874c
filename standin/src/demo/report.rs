//! What the demonstration found, as a table or as JSON.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::caller::Outcome;

/// The figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct DemoReport {
    requests: usize,
    complete: usize,
    refused_not_run: usize,
    failed: usize,
    ran_twice: usize,
    out_of_order: u64,
    prefix_hit_rate: f64,
    ttft_ms_p50: f64,
    ttft_ms_p95: f64,
    #[serde(skip)]
    troubles: Vec<String>,
}

impl DemoReport {
    /// Adds up the callers' outcomes and the ledger's runs.
    pub(crate) fn new(outcomes: &[Outcome], runs: &BTreeMap<String, u32>) -> Self {
        let complete = outcomes.iter().filter(|outcome| outcome.complete).count();
        let refused_not_run = outcomes
            .iter()
            .filter(|outcome| outcome.refused_not_run)
            .count();
        let opening_tokens: u64 = outcomes.iter().map(|outcome| outcome.opening_tokens).sum();
        let warm_tokens: u64 = outcomes.iter().map(|outcome| outcome.warm_tokens).sum();
        let ttft = ttft_histogram(outcomes);
        Self {
            requests: outcomes.len(),
            complete,
            refused_not_run,
            failed: outcomes.len() - complete - refused_not_run,
            ran_twice: runs.values().filter(|runs| **runs > 1).count(),
            out_of_order: outcomes.iter().map(|outcome| outcome.out_of_order).sum(),
            prefix_hit_rate: warm_tokens as f64 / opening_tokens.max(1) as f64,
            ttft_ms_p50: ttft.value_at_quantile(0.5) as f64 / 1_000.0,
            ttft_ms_p95: ttft.value_at_quantile(0.95) as f64 / 1_000.0,
            troubles: outcomes
                .iter()
                .filter(|outcome| !outcome.complete)
                .filter_map(|outcome| outcome.trouble.clone())
                .collect(),
        }
    }

    /// Tells whether every promise was kept.
    pub(crate) const fn passed(&self) -> bool {
        self.failed == 0 && self.ran_twice == 0 && self.out_of_order == 0
    }

    /// Prints the figures.
    pub(crate) fn print(&self, json: bool) {
        if json {
            println!("{}", serde_json::to_string(self).unwrap_or_default());
            return;
        }
        println!("requests         {:>10}", self.requests);
        println!("complete         {:>10}", self.complete);
        println!("refused not run  {:>10}", self.refused_not_run);
        println!("failed           {:>10}", self.failed);
        println!("ran twice        {:>10}", self.ran_twice);
        println!("out of order     {:>10}", self.out_of_order);
        println!("prefix hit rate  {:>10.3}", self.prefix_hit_rate);
        println!("TTFT p50         {:>7.1} ms", self.ttft_ms_p50);
        println!("TTFT p95         {:>7.1} ms", self.ttft_ms_p95);
        for trouble in self.troubles.iter().take(5) {
            println!("trouble: {trouble}");
        }
    }
}

fn ttft_histogram(outcomes: &[Outcome]) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are a valid precision");
    for ttft in outcomes.iter().filter_map(|outcome| outcome.ttft) {
        histogram
            .record(micros(ttft))
            .expect("the histogram grows with its values");
    }
    histogram
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
