//! The results of a comparison.

use std::fmt::Write;

use serde::Serialize;

/// The settings and results of a comparison.
#[derive(Debug, Serialize)]
pub(crate) struct Comparison {
    pub(crate) deployment: String,
    pub(crate) seed: u64,
    pub(crate) requests: usize,
    pub(crate) routers: usize,
    pub(crate) replicas: usize,
    pub(crate) load: f64,
    pub(crate) faults: String,
    pub(crate) arrivals_per_second: f64,
    pub(crate) policies: Vec<PolicyReport>,
}

/// The results of one policy.
#[derive(Debug, Default, Serialize)]
pub(crate) struct PolicyReport {
    pub(crate) name: &'static str,
    pub(crate) requests: usize,
    pub(crate) failed: usize,
    pub(crate) prefix_hit_rate: f64,
    pub(crate) ttft_ms_p50: f64,
    pub(crate) ttft_ms_p95: f64,
    pub(crate) ttft_ms_p99: f64,
    pub(crate) recomputed_tokens: u64,
    pub(crate) avoidable_recomputed_tokens: u64,
    pub(crate) decision_us_p50: f64,
    pub(crate) retried: usize,
    pub(crate) lookups: u64,
    pub(crate) lookup_bytes: u64,
    pub(crate) observation_bytes: u64,
    pub(crate) control_bytes_per_router_second: f64,
    pub(crate) second_asks: u64,
    pub(crate) spills: u64,
    pub(crate) fallbacks: u64,
    pub(crate) expected_warm_error_tokens: f64,
    pub(crate) expected_wait_error_ms: f64,
}

impl Comparison {
    /// Formats the results as a text table.
    pub(crate) fn table(&self) -> String {
        let mut text = format!(
            "{} seed {} load {} faults {}: {} requests at {:.1}/s, {} routers, {} replicas\n",
            self.deployment,
            self.seed,
            self.load,
            self.faults,
            self.requests,
            self.arrivals_per_second,
            self.routers,
            self.replicas
        );
        for p in &self.policies {
            let _ = writeln!(
                text,
                "{:16} hit {:.3}  ttft ms p50 {:7.0} p95 {:7.0} p99 {:7.0}  recomputed {:10} avoidable {:10}  failed {} \
                 retried {}  {:.2} us  lookups {} second {} spills {} fallbacks {} bytes/s {:.0}  error warm {:.0} \
                 wait {:.1} ms",
                p.name,
                p.prefix_hit_rate,
                p.ttft_ms_p50,
                p.ttft_ms_p95,
                p.ttft_ms_p99,
                p.recomputed_tokens,
                p.avoidable_recomputed_tokens,
                p.failed,
                p.retried,
                p.decision_us_p50,
                p.lookups,
                p.second_asks,
                p.spills,
                p.fallbacks,
                p.control_bytes_per_router_second,
                p.expected_warm_error_tokens,
                p.expected_wait_error_ms,
            );
        }
        text
    }
}

/// Returns the nearest-rank percentile of `sorted` at `quantile`, or 0 if it is empty.
pub(crate) fn percentile(sorted: &[f64], quantile: f64) -> f64 {
    let Some(last) = sorted.len().checked_sub(1) else {
        return 0.0;
    };
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    sorted[rank.saturating_sub(1).min(last)]
}
