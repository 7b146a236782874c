//! Saved logs: what several routers wrote, joined into the story of one request or into a timeline.
//!
//! A router that is gone can't be asked, and a request that failed may have met several processes. So the lines that
//! routers write to standard output hold what decided, and this module puts the lines of many routers together: it works
//! on files alone. docs/OPERATIONS.md walks through three kinds of failed request.
//!
//! Rejected: an index or a database of lines. A day's log of one router is bounded by the rate of each kind of line, and
//! reading it whole takes less time than reading the answer.

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
pub(crate) use self::timeline::{Span, timeline};

/// The part whose lines are about single requests.
const REQUESTS: &str = "request";

/// One line that a router wrote.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LogLine {
    /// The router: the word before the line's object, or else the file's name.
    pub(crate) router: Arc<str>,
    /// When it was written, by the router's wall clock.
    pub(crate) unix_ms: u64,
    /// The part that wrote it.
    pub(crate) part: Arc<str>,
    /// What happened.
    pub(crate) message: Arc<str>,
    /// The other fields.
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Returns a field as text.
    pub(crate) fn field(&self, name: &str) -> Option<String> {
        self.fields.get(name).map(text_of)
    }

    /// Returns the fields as text, without those named in `left_out`.
    fn fields_text(&self, left_out: &[&str]) -> String {
        let fields = self.fields.iter();
        let fields = fields.filter(|(name, _)| !left_out.contains(&name.as_str()));
        let words: Vec<_> = fields
            .map(|(name, value)| format!("{name}={}", text_of(value)))
            .collect();
        words.join(" ")
    }
}

fn text_of(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Reads the lines of saved logs, in the order of their time; a folder stands for all files in it.
///
/// Lines without an object, such as those of other programs in the same file, are passed over.
///
/// # Errors
///
/// Names the file that can't be read, or says that none of them holds a line of a router.
pub(crate) fn read_logs(paths: &[PathBuf]) -> Result<Vec<LogLine>, Error> {
    let mut lines = Vec::new();
    for path in paths {
        for file in files_of(path)? {
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

fn files_of(path: &Path) -> Result<Vec<PathBuf>, Error> {
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

/// Parses one line; what stands before its object names the router, if anything does.
fn parse(line: &str, file: &Arc<str>) -> Option<LogLine> {
    let (before, object) = line.split_at(line.find('{')?);
    let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let unix_ms = fields.remove("unix_ms")?.as_u64()?;
    let message = text_of(&fields.remove("message")?).into();
    let part = text_of(&fields.remove("part")?).into();
    fields.remove("level");
    let router = before.split_whitespace().last();
    Some(LogLine {
        router: router.map_or_else(|| Arc::clone(file), Arc::from),
        unix_ms,
        part,
        message,
        fields,
    })
}
