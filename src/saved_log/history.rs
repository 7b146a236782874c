//! The story of one request: its own lines, and what routers believed of the replicas that it met.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use super::change::join;
use super::{LogLine, REQUESTS};

/// How long before the request's first line a change of belief can still matter, in milliseconds: the longest bound of
/// the users' sheets, that on weights.
const BEFORE_MS: u64 = 10_000;
/// How long after its last line, in milliseconds: others notice a crash within a heartbeat or two.
const AFTER_MS: u64 = 2_000;
/// How long before and after the request others' requests at its replicas are counted, in milliseconds.
const OTHERS_MS: u64 = 1_000;
/// The parts whose lines tell what a router believes of the platform rather than of one replica.
const PLATFORM_PARTS: [&str; 5] = ["config", "control", "gateway", "source", "store"];

/// Returns the story of the request `id`; `None` where no line holds it.
pub(crate) fn request_history(id: &str, lines: &[LogLine]) -> Option<String> {
    let own: Vec<_> = lines.iter().filter(|line| is_of(line, "id", id)).collect();
    let from_ms = own.first()?.unix_ms;
    let to_ms = own.last()?.unix_ms;
    let mut text = format!("request {id}, {from_ms} ms since the Unix epoch\n");
    for line in &own {
        let fields = line.fields_text(&["id"]);
        let what = format!("{}: {} {fields}", line.part, line.message);
        push(&mut text, line.unix_ms, from_ms, &line.router, &what);
    }
    let span = from_ms.saturating_sub(BEFORE_MS)..=to_ms + AFTER_MS;
    let near = || lines.iter().filter(|line| span.contains(&line.unix_ms));
    let replicas: BTreeSet<_> = own
        .iter()
        .filter_map(|line| line.field("replica"))
        .collect();
    for replica in replicas.iter().filter(|replica| *replica != "-") {
        let _ = writeln!(text, "\nwhat routers saw of replica {replica}:");
        let of_replica = || near().filter(|line| is_of(line, "replica", replica));
        push_changes(&mut text, of_replica(), from_ms);
        let others = of_replica().filter(|line| {
            let is_near = line.unix_ms + OTHERS_MS >= from_ms && line.unix_ms <= to_ms + OTHERS_MS;
            is_near && !is_of(line, "id", id)
        });
        push_others(&mut text, others);
    }
    let routers: BTreeSet<_> = own.iter().map(|line| &*line.router).collect();
    let _ = writeln!(text, "\nwhat its routers believed of the platform:");
    let of_platform = near()
        .filter(|line| routers.contains(&*line.router))
        .filter(|line| PLATFORM_PARTS.contains(&&*line.part));
    push_changes(&mut text, of_platform, from_ms);
    Some(text)
}

fn is_of(line: &LogLine, name: &str, value: &str) -> bool {
    line.field(name).is_some_and(|own| own == value)
}

/// Lists changes of belief, without single requests.
fn push_changes<'a>(text: &mut String, lines: impl Iterator<Item = &'a LogLine>, from_ms: u64) {
    for change in join(lines.filter(|line| &*line.part != REQUESTS)) {
        push(text, change.unix_ms, from_ms, &change.who(), &change.text);
    }
}

/// Counts what became of others' requests at the same replica at the time.
fn push_others<'a>(text: &mut String, lines: impl Iterator<Item = &'a LogLine>) {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for line in lines.filter(|line| &*line.part == REQUESTS) {
        let details = ["end", "outcome", "reason"].map(|name| line.field(name));
        let details: Vec<_> = details.into_iter().flatten().collect();
        let what = format!("{} {}", line.message, details.join(", "));
        *counts.entry(what).or_default() += 1;
    }
    for (what, count) in counts {
        let _ = writeln!(
            text,
            "  others' requests within {OTHERS_MS} ms: {count} x {what}"
        );
    }
}

/// Adds one line; writing to a string can't fail.
fn push(text: &mut String, unix_ms: u64, from_ms: u64, who: &str, what: &str) {
    let after_ms = i128::from(unix_ms) - i128::from(from_ms);
    let _ = writeln!(text, "  {after_ms:>7} ms  {}  ({who})", what.trim_end());
}
