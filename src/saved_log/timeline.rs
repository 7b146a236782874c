//! A timeline of state changes, in which the same change of several routers is one line.

use std::fmt::Write;

use super::change::group_changes;
use super::{LogLine, REQUEST_PART};

/// The part of the logs that a timeline covers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TimeRange {
    /// The middle of the range, in milliseconds since the Unix epoch; `None` covers all of the logs.
    pub(crate) around_unix_ms: Option<u64>,
    /// The time covered before and after the middle, in milliseconds.
    pub(crate) within_ms: u64,
}

/// Returns the state changes in `range` as text, each with the routers that logged it and the time between the first
/// and the last of them.
pub(crate) fn timeline(lines: &[LogLine], range: TimeRange) -> String {
    let is_shown = |line: &&LogLine| {
        let is_near = range
            .around_unix_ms
            .is_none_or(|at| line.unix_ms.abs_diff(at) <= range.within_ms);
        is_near && &*line.part != REQUEST_PART
    };
    let mut text = String::new();
    for change in group_changes(lines.iter().filter(is_shown)) {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{}  {}  ({})",
            change.unix_ms,
            change.text,
            change.reporters()
        );
    }
    if text.is_empty() {
        text.push_str("no state changes in this time range\n");
    }
    text
}
