//! Saved logs: merges the log files of several routers into the history of one request or into a timeline.
//!
//! A terminated router cannot be queried, and a failed request may have passed through several processes. Routers
//! therefore log the data behind their decisions to standard output, and this module merges the log lines of many
//! routers using the files alone. docs/OPERATIONS.md explains three kinds of failed requests.
//!
//! Rejected: an index or a database of log lines. The size of a router's daily log is bounded by the rate limit of each
//! kind of line, and reading all of it takes the program less time than a person needs to read the output.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use serde_json::{Map, Value};

use crate::error::{Error, ErrorKind};

mod change;
mod history;
#[cfg(test)]
mod tests;
mod timeline;

pub(crate) use self::history::request_history;
pub(crate) use self::timeline::{TimeRange, timeline};

/// The part whose log lines are about single requests.
const REQUEST_PART: &str = "request";

/// One log line of a router.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LogLine {
    /// The name of the router: the word before the line's JSON object, or else the file name.
    pub(crate) router: Arc<str>,
    /// The time at which it was written, by the router's wall clock, in milliseconds since the Unix epoch.
    pub(crate) unix_ms: u64,
    /// The part of the router that wrote it.
    pub(crate) part: Arc<str>,
    /// The message, without fields.
    pub(crate) message: Arc<str>,
    /// The other fields.
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Returns the value of the named field as text.
    pub(crate) fn field(&self, name: &str) -> Option<String> {
        self.fields.get(name).map(value_text)
    }

    /// Returns the fields as text, except for those in `excluded`.
    fn fields_text(&self, excluded: &[&str]) -> String {
        let fields = self.fields.iter();
        let fields = fields.filter(|(name, _)| !excluded.contains(&name.as_str()));
        let words: Vec<_> = fields
            .map(|(name, value)| format!("{name}={}", value_text(value)))
            .collect();
        words.join(" ")
    }
}

fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Reads the log lines of all `paths`, sorted by time. For a folder, all files directly in it are read.
///
/// Lines without a JSON object, such as those of other programs in the same file, are skipped.
///
/// # Errors
///
/// Fails with [`ErrorKind::Io`] if a file cannot be read, and with [`ErrorKind::InvalidInput`] if no file contains a log
/// line of a router.
pub(crate) fn read_logs(paths: &[PathBuf]) -> Result<Vec<LogLine>, Error> {
    let mut lines = Vec::new();
    for path in paths {
        for file in list_files(path)? {
            let text = std::fs::read(&file).map_err(|error| unreadable(&file, &error))?;
            let name = file.file_stem().unwrap_or(file.as_os_str());
            let router: Arc<str> = name.to_string_lossy().into();
            let text = String::from_utf8_lossy(&text);
            lines.extend(text.lines().filter_map(|line| parse(line, &router)));
        }
    }
    if lines.is_empty() {
        let message = "--log: the files hold no line of a router".to_owned();
        return Err(Error::new(ErrorKind::InvalidInput, message));
    }
    lines.sort_by_key(|line| line.unix_ms);
    Ok(lines)
}

fn list_files(path: &Path) -> Result<Vec<PathBuf>, Error> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries = std::fs::read_dir(path).map_err(|error| unreadable(path, &error))?;
    let mut files = Vec::new();
    for entry in entries {
        let file = entry.map_err(|error| unreadable(path, &error))?.path();
        if file.is_file() {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn unreadable(path: &Path, error: &std::io::Error) -> Error {
    Error::new(ErrorKind::Io, format!("--log: {}: {error}", path.display()))
}

/// Parses one log line. The last word before its JSON object is the router's name; without one, the file name is used.
fn parse(line: &str, file_name: &Arc<str>) -> Option<LogLine> {
    let (before, object) = line.split_at(line.find('{')?);
    let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let unix_ms = fields.remove("unix_ms")?.as_u64()?;
    let message = value_text(&fields.remove("message")?).into();
    let part = value_text(&fields.remove("part")?).into();
    fields.remove("level");
    let router = before.split_whitespace().last();
    Some(LogLine {
        router: router.map_or_else(|| Arc::clone(file_name), Arc::from),
        unix_ms,
        part,
        message,
        fields,
    })
}
