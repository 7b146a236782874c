//! Changes of belief in the order of time, those that many routers made at once in one line.

use std::fmt::Write;

use super::change::join;
use super::{LogLine, REQUESTS};

/// Which part of the logs a timeline shows.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Span {
    /// The moment in the middle, in milliseconds since the Unix epoch; all of the logs where absent.
    pub(crate) around_unix_ms: Option<u64>,
    /// How long before and after it, in milliseconds.
    pub(crate) within_ms: u64,
}

/// Returns the changes of belief in `span`, with the routers that made each and the time until the last of them.
pub(crate) fn timeline(lines: &[LogLine], span: Span) -> String {
    let is_shown = |line: &&LogLine| {
        let is_near = span
            .around_unix_ms
            .is_none_or(|at| line.unix_ms.abs_diff(at) <= span.within_ms);
        is_near && &*line.part != REQUESTS
    };
    let mut text = String::new();
    for change in join(lines.iter().filter(is_shown)) {
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{}  {}  ({})",
            change.unix_ms,
            change.text,
            change.who()
        );
    }
    if text.is_empty() {
        text.push_str("no change of belief in this span\n");
    }
    text
}
