//! Metrics and logs.
//!
//! Metrics use a single process-wide recorder in the Prometheus text format, because the `metrics` macros support only
//! a global recorder. A process that runs several routers, such as the demonstration, therefore distinguishes them by
//! the label `router`; metrics of connections and of the platform client cover the whole process. Client accounts are
//! not a label: with 41,000 accounts, a scrape would not finish in time. The burn report lists accounts instead.
//!
//! docs/operations/metrics.md lists every metric, and docs/operations/README.md the alarms based on them.

use std::sync::{Mutex, OnceLock, PoisonError};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

use crate::error::{Error, ErrorKind};

mod catalog;
mod json;
mod log;
mod recorder;
mod request;
#[cfg(test)]
mod tests;
mod text;

pub use self::catalog::{METRICS, MetricDescription, MetricKind, render_metrics_page};
pub use self::json::{LogGuard, start_json_logs};
pub use self::log::{LogLevel, LogSettings, LogTarget, log_config, start_logs};
pub use self::recorder::{CompletedRequest, ExplanationCapacity, RequestRecorder};
pub use self::request::RequestMetrics;
pub(crate) use self::text::printable;

/// The upper bounds of the buckets of all histograms, in seconds. They include the objectives of 53 ms and 370 ms.
const BUCKETS_SECONDS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.035, 0.053, 0.1, 0.2, 0.37, 0.75, 1.5, 3.0, 6.0, 15.0, 60.0,
];

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();
/// Held while the recorder is installed.
static INSTALLING: Mutex<()> = Mutex::new(());

/// Returns the handle of the process-wide recorder, which is installed on the first call.
///
/// # Errors
///
/// Fails with [`ErrorKind::Io`] if another library has installed a recorder.
pub fn install_recorder() -> Result<PrometheusHandle, Error> {
    // Between setting the global recorder and storing its handle, another thread would find neither.
    let _installing = INSTALLING.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = RECORDER.get() {
        return Ok(handle.clone());
    }
    let install_error = |error: &dyn std::fmt::Display| {
        Error::new(
            ErrorKind::Io,
            format!("failed to install the metrics recorder: {error}"),
        )
    };
    let handle = match build_and_install() {
        Ok(handle) => handle,
        Err(error) => return Err(install_error(&error)),
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
