//! Structured log lines that never hold a request up.
//!
//! Each line of the project is a part, a sentence and `key=value` fields. This sink writes it as one JSON object, so that
//! an operator can select by field. Lines go through a bounded queue to a thread of its own; where standard output is not
//! read, lines are dropped and counted, and no request waits. Each kind of line has a rate, so that an outage can't flood
//! the log; refusals and failures are kinds of their own and keep their room beside served requests.
//!
//! simplelog writes text from the calling thread, so the queue is that of `tracing-appender`, its nearest kin for this.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};
use serde_json::{Map, Value};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

use super::log::LogSettings;
use crate::error::{Error, ErrorKind};

/// The lines that may wait for standard output: some seconds' worth at the highest rates.
const LINES_IN_HAND: usize = 4_096;
/// The lines of one kind in a second; docs/OPERATIONS.md tells what that is in bytes.
const LINES_PER_SECOND: u32 = 50;
/// The kinds whose rates are remembered; more share one.
const MAX_KINDS: usize = 256;
const SECOND: Duration = Duration::from_secs(1);

/// Writes what is queued when it is dropped.
#[derive(Debug)]
pub struct LogGuard {
    _worker: WorkerGuard,
}

struct JsonLog {
    level: LevelFilter,
    writer: NonBlocking,
    dropped: ErrorCounter,
    rates: Mutex<Rates>,
}

/// Bounds the lines of each kind in a second.
#[derive(Debug, Default)]
pub(crate) struct Rates {
    kinds: HashMap<String, Rate>,
}

#[derive(Debug)]
struct Rate {
    since: Instant,
    lines: u32,
    suppressed: u64,
}

/// Starts the process's log as JSON lines on standard output.
///
/// # Errors
///
/// Fails with [`ErrorKind::Io`] where the process has a log already.
pub fn start_json_logs(settings: LogSettings) -> Result<LogGuard, Error> {
    let (writer, worker) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(LINES_IN_HAND)
        .finish(std::io::stdout());
    let sink = JsonLog {
        level: settings.level.filter(),
        dropped: writer.error_counter(),
        writer,
        rates: Mutex::default(),
    };
    log::set_max_level(sink.level);
    log::set_boxed_logger(Box::new(sink))
        .map_err(|error| Error::new(ErrorKind::Io, format!("log can't be started: {error}")))?;
    Ok(LogGuard { _worker: worker })
}

impl Log for JsonLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        // Lines of HTTP libraries can hold headers, and with them keys.
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
            let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
            rates.take(&kind, Instant::now())
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
        // A full queue is counted by the writer.
        let _ = self.writer.clone().write_all(&bytes);
    }

    fn flush(&self) {}
}

impl Rates {
    /// Takes a line of a kind; returns the lines that were suppressed before it, or `None` where it is one too many.
    pub(crate) fn take(&mut self, kind: &str, now: Instant) -> Option<u64> {
        let kind = if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind) {
            "others"
        } else {
            kind
        };
        let rate = self.kinds.entry(kind.to_owned()).or_insert(Rate {
            since: now,
            lines: 0,
            suppressed: 0,
        });
        if now.duration_since(rate.since) >= SECOND {
            rate.since = now;
            rate.lines = 0;
        }
        rate.lines += 1;
        if rate.lines > LINES_PER_SECOND {
            rate.suppressed += 1;
            return None;
        }
        Some(std::mem::take(&mut rate.suppressed))
    }
}

/// Splits a line of the project into its part, its sentence and its fields.
pub(crate) fn parse_line(text: &str) -> Map<String, Value> {
    let (part, rest) = text.split_once(": ").unwrap_or(("", text));
    let fields_at = first_field(rest).unwrap_or(rest.len());
    let (message, mut fields) = rest.split_at(fields_at);
    let mut line = Map::new();
    line.insert("part".to_owned(), part.into());
    line.insert("message".to_owned(), message.trim().into());
    while let Some((name, after)) = fields.trim_start().split_once('=') {
        let (value, rest) = split_value(after);
        line.insert(name.to_owned(), number_or_text(value));
        fields = rest;
    }
    line
}

/// Returns where the first `name=` begins, at the start of a word.
fn first_field(text: &str) -> Option<usize> {
    let mut at = 0;
    for word in text.split(' ') {
        let name = word.split_once('=').map(|(name, _)| name);
        let is_name = |name: &str| {
            !name.is_empty()
                && name
                    .bytes()
                    .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
        };
        if name.is_some_and(is_name) {
            return Some(at);
        }
        at += word.len() + 1;
    }
    None
}

/// Splits a value off: a quoted one ends at its quote, another one before the next field.
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

fn number_or_text(value: &str) -> Value {
    match value.parse::<u64>() {
        // An id made of digits with a leading zero is no number.
        Ok(number) if number.to_string() == value => number.into(),
        _ => match value {
            "true" => true.into(),
            "false" => false.into(),
            text => text.into(),
        },
    }
}
