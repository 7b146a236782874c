//! Logs: where they go and which lines they hold.
//!
//! Only this project's own lines are let through. The lines of HTTP libraries at low levels can hold headers, and with
//! them keys, so no level of ours may switch them on.

use std::io;

use serde::{Deserialize, Serialize};
use simplelog::{Config, ConfigBuilder, LevelFilter, ThreadLogMode, WriteLogger};

use crate::error::{Error, ErrorKind};

/// Settings of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The lowest level that is written.
    pub level: LogLevel,
    /// Where lines go.
    pub target: LogTarget,
}

/// The levels of log lines; each holds those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Nothing is written.
    Off,
    /// What needs a person.
    Error,
    /// What may need one if it goes on.
    Warn,
    /// Changes of state.
    Info,
    /// Each request.
    Debug,
    /// Each step.
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

/// Where log lines go; VMs have no disks, so no file is offered.
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

/// Returns the format and the filter of the log.
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

/// Starts the process's log.
///
/// # Errors
///
/// Fails with [`ErrorKind::Io`] where the process has a log already.
pub fn start_logs(settings: LogSettings) -> Result<(), Error> {
    let level = settings.level.filter();
    let started = match settings.target {
        LogTarget::Stderr => WriteLogger::init(level, log_config(), io::stderr()),
        LogTarget::Stdout => WriteLogger::init(level, log_config(), io::stdout()),
    };
    started.map_err(|error| Error::new(ErrorKind::Io, format!("log can't be started: {error}")))
}
