//! Exchanges with other routers what they know about the limits of replicas ([`crate::gateway::replica_limit`]).

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::exchange::log_limit_change;
use crate::gateway::load::replica_key;
use crate::gateway::replica_limit::LimitReport;

use super::Control;

impl Control {
    /// Returns what this router knows about the limits of replicas, which is nothing unless one of them has named one.
    pub(super) fn limit_reports(&self, now: Duration) -> Vec<LimitReport> {
        let replicas = self.replica_states.iter();
        let reports = replicas.filter_map(|((id, born_ms), (load, _))| {
            load.limit_report(replica_key(id, *born_ms), now)
        });
        reports.collect()
    }

    /// Applies what another router knows about the limits of replicas.
    pub(super) fn merge_limits(&self, reports: &[LimitReport], now: Duration) {
        if reports.is_empty() {
            return;
        }
        let reports: HashMap<_, _> = reports.iter().map(|report| (report.key, report)).collect();
        for ((id, born_ms), (load, _)) in &self.replica_states {
            let report = reports.get(&replica_key(id, *born_ms));
            if let Some(change) = report.and_then(|report| load.merge_limit(report, now)) {
                log_limit_change(id, change, "router");
            }
        }
    }

    /// Sets the gauges of the limits in force.
    pub(super) fn record_limit_gauges(&self, now: Duration) {
        let loads = self.replica_states.values();
        let rates = loads.filter_map(|(load, _)| load.limit_rate_per_s(now));
        let (count, sum) = rates.fold((0_u32, 0.0), |(count, sum), rate| (count + 1, sum + rate));
        metrics::gauge!("crocuswharf_gateway_limited_replicas").set(f64::from(count));
        metrics::gauge!("crocuswharf_gateway_limits_per_second").set(sum);
    }
}
