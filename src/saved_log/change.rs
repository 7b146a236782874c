//! Changes of belief: what one router wrote, or many routers wrote alike within a short time.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::LogLine;

/// How long after the first router's line another router's counts as the same change, in milliseconds: the longest bound
/// on a configuration in the users' sheets.
const SAME_CHANGE_MS: u64 = 3_000;
/// Fields in which routers differ about the same change.
const OWN_FIELDS: [&str; 4] = ["age_ms", "suppressed_before", "dropped_so_far", "took_ms"];

/// A change, with the routers that wrote of it.
#[derive(Clone, Debug)]
pub(crate) struct Change<'a> {
    /// When the first router wrote of it.
    pub(crate) unix_ms: u64,
    /// What they wrote.
    pub(crate) text: String,
    first_router: &'a Arc<str>,
    routers: BTreeSet<&'a Arc<str>>,
    last_unix_ms: u64,
}

impl Change<'_> {
    /// Returns who wrote of it, and how far apart.
    pub(crate) fn who(&self) -> String {
        if self.routers.len() == 1 {
            return self.first_router.to_string();
        }
        let spread_ms = self.last_unix_ms - self.unix_ms;
        format!("{} routers within {spread_ms} ms", self.routers.len())
    }
}

/// Joins lines, which come in the order of their time, into changes.
pub(crate) fn join<'a>(lines: impl IntoIterator<Item = &'a LogLine>) -> Vec<Change<'a>> {
    let mut changes: Vec<Change<'a>> = Vec::new();
    for line in lines {
        let fields = line.fields_text(&OWN_FIELDS);
        let text = format!("{}: {} {fields}", line.part, line.message);
        let is_near = |change: &&mut Change<'_>| {
            line.unix_ms <= change.unix_ms.saturating_add(SAME_CHANGE_MS)
        };
        let mut near = changes.iter_mut().rev().take_while(is_near);
        if let Some(same) = near.find(|change| change.text == text) {
            same.routers.insert(&line.router);
            same.last_unix_ms = line.unix_ms;
            continue;
        }
        changes.push(Change {
            unix_ms: line.unix_ms,
            text,
            first_router: &line.router,
            routers: BTreeSet::from([&line.router]),
            last_unix_ms: line.unix_ms,
        });
    }
    changes
}
