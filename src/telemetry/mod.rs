//! Metrics and logs.
//!
//! Metrics go through one process-wide recorder in the Prometheus text format, because the `metrics` macros know no
//! other. A process that runs several routers, such as the demonstration, therefore tells them apart by the label
//! `router`; figures of connections and of the platform's client are those of the whole process. Client accounts are
//! no label: at 41,000 of them a scrape would no longer end in time. The burn report names accounts instead.
//!
//! docs/operations/metrics.md lists every metric, and docs/operations/README.md the alarms that stand on them.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::error::{Error, ErrorKind};

mod catalog;
mod journal;
mod json;
mod log;
mod request;
#[cfg(test)]
mod tests;
mod text;

pub use self::catalog::{METRICS, MetricDescription, MetricKind, render_metrics_page};
pub use self::journal::{Journal, JournalCapacity, JournalEntry};
pub use self::json::{LogGuard, start_json_logs};
pub use self::log::{LogLevel, LogSettings, LogTarget, log_config, start_logs};
pub use self::request::RequestMetrics;
pub(crate) use self::text::printable;

/// The upper bounds of the buckets of all histograms in seconds; they hold the objectives of 53 ms and 370 ms.
const BUCKETS_SECONDS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.035, 0.053, 0.1, 0.2, 0.37, 0.75, 1.5, 3.0, 6.0, 15.0, 60.0,
];

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the process-wide recorder once and returns its handle each time.
///
/// # Errors
///
/// Fails with [`ErrorKind::Io`] where another library has installed a recorder.
pub fn install_recorder() -> Result<PrometheusHandle, Error> {
    if let Some(handle) = RECORDER.get() {
        return Ok(handle.clone());
    }
    let failed = |error: &dyn std::fmt::Display| {
        Error::new(ErrorKind::Io, format!("metrics can't be recorded: {error}"))
    };
    let handle = match build_and_install() {
        Ok(handle) => handle,
        Err(error) => return RECORDER.get().cloned().ok_or_else(|| failed(&error)),
    };
    catalog::describe_all();
    Ok(RECORDER.get_or_init(|| handle).clone())
}

fn build_and_install() -> anyhow::Result<PrometheusHandle> {
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &BUCKETS_SECONDS)?
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder)?;
    Ok(handle)
}
