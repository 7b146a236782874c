//! Log settings and the plain text logger.
//!
//! Only log lines of this project are written. At verbose levels, lines of HTTP libraries can contain headers and thus
//! keys, so no configured level enables them.

use std::io;

use serde::{Deserialize, Serialize};
use simplelog::{Config, ConfigBuilder, LevelFilter, ThreadLogMode, WriteLogger};

use crate::error::{Error, ErrorKind};

/// The settings of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: LogLevel,
    /// The destination of log lines.
    pub target: LogTarget,
}

/// The log levels, from least to most verbose. Each level includes the previous ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Nothing is written.
    Off,
    /// Conditions that require an operator's action.
    Error,
    /// Conditions that may require an operator's action if they persist.
    Warn,
    /// State changes.
    Info,
    /// A line for each request.
    Debug,
    /// A line for each processing step.
    Trace,
}

impl LogLevel {
    pub(crate) const fn filter(self) -> LevelFilter {
        match self {
            Self::Off => LevelFilter::Off,
            Self::Error => LevelFilter::Error,
            Self::Warn => LevelFilter::Warn,
            Self::Info => LevelFilter::Info,
            Self::Debug => LevelFilter::Debug,
            Self::Trace => LevelFilter::Trace,
        }
    }
}

/// The destination of log lines. Files are not supported because VMs have no disks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogTarget {
    /// The standard error stream.
    Stderr,
    /// The standard output stream.
    Stdout,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            target: LogTarget::Stderr,
        }
    }
}

/// Returns the format and filter configuration of the plain text log.
#[must_use]
pub fn log_config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_thread_mode(ThreadLogMode::Names)
        .add_filter_allow_str("crocuswharf")
        .build()
}

/// Installs the process's plain text logger.
///
/// # Errors
///
/// Fails with [`ErrorKind::Io`] if the process already has a logger.
pub fn start_logs(settings: LogSettings) -> Result<(), Error> {
    let level = settings.level.filter();
    let started = match settings.target {
        LogTarget::Stderr => WriteLogger::init(level, log_config(), io::stderr()),
        LogTarget::Stdout => WriteLogger::init(level, log_config(), io::stdout()),
    };
    started.map_err(|error| Error::new(ErrorKind::Io, format!("failed to start the log: {error}")))
}
