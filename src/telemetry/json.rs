//! Non-blocking structured logs.
//!
//! A log line of this project consists of a part, a sentence and `key=value` fields. [`JsonLog`] writes each line as a
//! JSON object, so that operators can filter by field. A bounded queue passes the lines to a writer thread. If standard
//! output is not read, lines are dropped and counted, and requests are never blocked. Each kind of line is rate limited,
//! so that an outage cannot flood the log; rejected and failed requests are kinds of their own, so served requests do
//! not use up their limit.
//!
//! The queue is that of `tracing-appender`, because simplelog writes text on the calling thread.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Mutex, PoisonError, mpsc};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

use super::log::LogSettings;
use crate::error::{Error, ErrorKind};

/// The maximum number of lines queued for standard output: a few seconds of lines at the highest rates.
const MAX_QUEUED_LINES: usize = 4_096;
/// The maximum number of lines of one kind per second. docs/OPERATIONS.md gives the resulting log volume in bytes.
const MAX_LINES_PER_SECOND: u32 = 50;
/// The maximum number of kinds with a rate of their own; all further kinds share one.
const MAX_KINDS: usize = 256;
const SECOND: Duration = Duration::from_secs(1);

/// Flushes the queued lines when dropped, for up to about a second if standard output is not read.
#[derive(Debug)]
pub struct LogGuard {
    worker: WorkerGuard,
}

/// Writes log lines as JSON objects to a non-blocking writer.
struct JsonLog {
    level: LevelFilter,
    writer: NonBlocking,
    dropped: ErrorCounter,
    limiter: Mutex<RateLimiter>,
}

/// Limits the number of lines per second of each kind.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    kinds: HashMap<String, KindRate>,
}

#[derive(Debug)]
struct KindRate {
    window_start: Instant,
    lines: u32,
    suppressed: u64,
}

/// Installs a logger for the process that writes JSON lines to standard output.
///
/// # Errors
///
/// Fails with [`ErrorKind::Io`] if the process already has a logger.
pub fn start_json_logs(settings: LogSettings) -> Result<LogGuard, Error> {
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stdout());
    let sink = JsonLog {
        level: settings.level.filter(),
        dropped: writer.error_counter(),
        writer,
        limiter: Mutex::default(),
    };
    log::set_max_level(sink.level);
    log::set_boxed_logger(Box::new(sink))
        .map_err(|error| Error::new(ErrorKind::Io, format!("failed to start the log: {error}")))?;
    Ok(LogGuard { worker })
}

impl LogGuard {
    /// Flushes the queued lines for at most `limit`.
    ///
    /// A process that has to exit in time uses this, since its reader may be stuck. Lines that are lost then can't be
    /// reported: they would need the same reader.
    pub fn flush_within(self, limit: Duration) {
        let (flushed, end) = mpsc::channel();
        let flushing = std::thread::Builder::new()
            .name("log-flush".to_owned())
            .spawn(move || {
                drop(self.worker);
                // Nothing waits for it once the limit has passed.
                let _ = flushed.send(());
            });
        if flushing.is_ok() {
            // Both a flush and the limit end the wait.
            let _ = end.recv_timeout(limit);
        }
    }
}

impl Log for JsonLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        // Log lines of HTTP libraries can contain headers and thus keys.
        metadata.level() <= self.level && metadata.target().starts_with("crocuswharf")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let text = record.args().to_string();
        let mut line = parse_line(&text);
        let kind = format!("{}: {}", line["part"], line["message"]);
        let suppressed = {
            let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
            limiter.admit(&kind, Instant::now())
        };
        let Some(suppressed) = suppressed else {
            return;
        };
        if suppressed > 0 {
            line.insert("suppressed_before".to_owned(), suppressed.into());
        }
        let dropped = self.dropped.dropped_lines();
        if dropped > 0 {
            line.insert("dropped_so_far".to_owned(), dropped.into());
        }
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let unix_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        line.insert("unix_ms".to_owned(), unix_ms.into());
        line.insert("level".to_owned(), record.level().as_str().into());
        let mut bytes = Value::Object(line).to_string().into_bytes();
        bytes.push(b'\n');
        // The writer counts lines dropped because the queue is full.
        let _ = self.writer.clone().write_all(&bytes);
    }

    fn flush(&self) {}
}

impl RateLimiter {
    /// Counts a line of `kind` at `now`. Returns the number of lines suppressed before it, or `None` if this line is to
    /// be suppressed.
    pub(crate) fn admit(&mut self, kind: &str, now: Instant) -> Option<u64> {
        let kind = if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind) {
            "others"
        } else {
            kind
        };
        let rate = self.kinds.entry(kind.to_owned()).or_insert(KindRate {
            window_start: now,
            lines: 0,
            suppressed: 0,
        });
        if now.duration_since(rate.window_start) >= SECOND {
            rate.window_start = now;
            rate.lines = 0;
        }
        rate.lines += 1;
        if rate.lines > MAX_LINES_PER_SECOND {
            rate.suppressed += 1;
            return None;
        }
        Some(std::mem::take(&mut rate.suppressed))
    }
}

/// Parses a log line of this project into its part, message and fields.
pub(crate) fn parse_line(text: &str) -> Map<String, Value> {
    let (part, rest) = text.split_once(": ").unwrap_or(("", text));
    let fields_start = first_field(rest).unwrap_or(rest.len());
    let (message, mut fields) = rest.split_at(fields_start);
    let mut line = Map::new();
    line.insert("part".to_owned(), part.into());
    line.insert("message".to_owned(), message.trim().into());
    while let Some((name, after)) = fields.trim_start().split_once('=') {
        let (value, rest) = split_value(after);
        line.insert(name.to_owned(), parse_value(value));
        fields = rest;
    }
    line
}

/// Returns the byte index of the first word that starts with `name=`.
fn first_field(text: &str) -> Option<usize> {
    let mut index = 0;
    for word in text.split(' ') {
        let name = word.split_once('=').map(|(name, _)| name);
        let is_name = |name: &str| {
            !name.is_empty()
                && name
                    .bytes()
                    .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
        };
        if name.is_some_and(is_name) {
            return Some(index);
        }
        index += word.len() + 1;
    }
    None
}

/// Splits `text` after the first value. A quoted value ends at the closing quote, an unquoted one before the next
/// field.
fn split_value(text: &str) -> (&str, &str) {
    if let Some(quoted) = text.strip_prefix('"')
        && let Some((value, rest)) = quoted.split_once('"')
    {
        return (value, rest);
    }
    let end = first_field(text).unwrap_or(text.len());
    let (value, rest) = text.split_at(end);
    (value.trim_end(), rest)
}

fn parse_value(value: &str) -> Value {
    match value.parse::<u64>() {
        // An id of digits with a leading zero is not a number.
        Ok(number) if number.to_string() == value => number.into(),
        _ => match value {
            "true" => true.into(),
            "false" => false.into(),
            text => text.into(),
        },
    }
}
