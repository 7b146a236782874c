//! The history of one request: its own log lines, and the state changes that routers logged about its replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use super::change::group_changes;
use super::{LogLine, REQUEST_PART};

/// The time before the request's first line from which state changes are shown, in milliseconds: the longest delay that
/// the users' requirements allow, which is the one on weights.
const BEFORE_MS: u64 = 10_000;
/// The time after the request's last line up to which state changes are shown, in milliseconds: other routers detect a
/// crash within one or two heartbeats.
const AFTER_MS: u64 = 2_000;
/// The time before and after the request within which other requests at its replicas are counted, in milliseconds.
const OTHER_REQUESTS_MS: u64 = 1_000;
/// The parts whose log lines are about the platform, not about a single replica.
const PLATFORM_PARTS: [&str; 5] = ["config", "control", "gateway", "source", "store"];

/// Returns the history of the request `id` as text, or `None` if no log line contains the id.
pub(crate) fn request_history(id: &str, lines: &[LogLine]) -> Option<String> {
    let own_lines: Vec<_> = lines
        .iter()
        .filter(|line| has_field(line, "id", id))
        .collect();
    let from_ms = own_lines.first()?.unix_ms;
    let to_ms = own_lines.last()?.unix_ms;
    let mut text = format!("request {id}, {from_ms} ms since the Unix epoch\n");
    for line in &own_lines {
        let fields = line.fields_text(&["id"]);
        let what = format!("{}: {} {fields}", line.part, line.message);
        push_line(&mut text, line.unix_ms, from_ms, &line.router, &what);
    }
    let span = from_ms.saturating_sub(BEFORE_MS)..=to_ms + AFTER_MS;
    let near = || lines.iter().filter(|line| span.contains(&line.unix_ms));
    let replicas: BTreeSet<_> = own_lines
        .iter()
        .filter_map(|line| line.field("replica"))
        .collect();
    for replica in replicas.iter().filter(|replica| *replica != "-") {
        let _ = writeln!(text, "\nwhat routers saw of replica {replica}:");
        let of_replica = || near().filter(|line| has_field(line, "replica", replica));
        push_changes(&mut text, of_replica(), from_ms);
        let others = of_replica().filter(|line| {
            let is_near = line.unix_ms + OTHER_REQUESTS_MS >= from_ms
                && line.unix_ms <= to_ms + OTHER_REQUESTS_MS;
            is_near && !has_field(line, "id", id)
        });
        push_other_requests(&mut text, others);
    }
    let routers: BTreeSet<_> = own_lines.iter().map(|line| &*line.router).collect();
    let _ = writeln!(text, "\nwhat its routers believed of the platform:");
    let of_platform = near()
        .filter(|line| routers.contains(&*line.router))
        .filter(|line| PLATFORM_PARTS.contains(&&*line.part));
    push_changes(&mut text, of_platform, from_ms);
    Some(text)
}

fn has_field(line: &LogLine, name: &str, value: &str) -> bool {
    line.field(name).is_some_and(|own| own == value)
}

/// Appends the state changes among `lines`, ignoring lines about single requests.
fn push_changes<'a>(text: &mut String, lines: impl Iterator<Item = &'a LogLine>, from_ms: u64) {
    for change in group_changes(lines.filter(|line| &*line.part != REQUEST_PART)) {
        push_line(
            text,
            change.unix_ms,
            from_ms,
            &change.reporters(),
            &change.text,
        );
    }
}

/// Appends the outcomes of other requests among `lines` with their counts.
fn push_other_requests<'a>(text: &mut String, lines: impl Iterator<Item = &'a LogLine>) {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for line in lines.filter(|line| &*line.part == REQUEST_PART) {
        let details = ["end", "outcome", "reason"].map(|name| line.field(name));
        let details: Vec<_> = details.into_iter().flatten().collect();
        let what = format!("{} {}", line.message, details.join(", "));
        *counts.entry(what).or_default() += 1;
    }
    for (what, count) in counts {
        let _ = writeln!(
            text,
            "  others' requests within {OTHER_REQUESTS_MS} ms: {count} x {what}"
        );
    }
}

/// Appends one line; writing to a string cannot fail.
fn push_line(text: &mut String, unix_ms: u64, from_ms: u64, reporters: &str, what: &str) {
    let after_ms = i128::from(unix_ms) - i128::from(from_ms);
    let _ = writeln!(
        text,
        "  {after_ms:>7} ms  {}  ({reporters})",
        what.trim_end()
    );
}
