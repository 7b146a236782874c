//! `crocuswharf timeline` and `crocuswharf explain --log`, which read saved logs.

use std::path::PathBuf;

use argh::FromArgs;

use crate::error::{Error, ErrorKind};
use crate::saved_log::{TimeRange, read_logs, request_history, timeline};

/// The default for the time that a timeline covers before and after its point in time, in seconds.
const DEFAULT_WITHIN_S: f64 = 5.0;

/// Show the state changes that routers observed, in order of time, from their saved logs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub(crate) struct TimelineArgs {
    /// a saved log file, or a directory of them; may be repeated
    #[argh(option)]
    log: Vec<PathBuf>,
    /// the point in time, in milliseconds since the Unix epoch (default: all of the logs)
    #[argh(option)]
    at: Option<u64>,
    /// the seconds to show before and after that time (default 5)
    #[argh(option, default = "DEFAULT_WITHIN_S")]
    within: f64,
}

/// Returns the timeline for `args`.
///
/// # Errors
///
/// Returns an error that names the missing or invalid option, or the file that can't be read.
pub(crate) fn render_timeline(args: &TimelineArgs) -> Result<String, Error> {
    if args.log.is_empty() {
        return Err(invalid_input(
            "--log: at least one saved log is required".to_owned(),
        ));
    }
    if !(args.within >= 0.0 && args.within.is_finite()) {
        let message = format!(
            "--within: {} is not allowed: it must be a finite number, at least 0",
            args.within
        );
        return Err(invalid_input(message));
    }
    let span = TimeRange {
        around_unix_ms: args.at,
        within_ms: (args.within * 1_000.0) as u64,
    };
    Ok(timeline(&read_logs(&args.log)?, span))
}

/// Returns the history of one request from saved logs.
///
/// # Errors
///
/// Returns an error that names the file that can't be read, or the request if no log line mentions it.
pub(crate) fn explain_from_logs(request: &str, logs: &[PathBuf]) -> Result<String, Error> {
    let lines = read_logs(logs)?;
    request_history(request, &lines).ok_or_else(|| {
        let count = lines.len();
        invalid_input(format!(
            "request {request}: none of {count} log lines mentions it"
        ))
    })
}

fn invalid_input(message: String) -> Error {
    Error::new(ErrorKind::InvalidInput, message)
}
