//! State changes: log lines that one router wrote, or that several routers wrote with the same content at about the
//! same time.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::LogLine;

/// The maximum time after the first router's line at which the same line of another router counts as the same change,
/// in milliseconds: the longest configuration delay that the users' requirements allow.
const SAME_CHANGE_MS: u64 = 3_000;
/// Fields whose values differ between routers for the same change; ignored when changes are compared.
const ROUTER_FIELDS: [&str; 4] = ["age_ms", "suppressed_before", "dropped_so_far", "took_ms"];

/// A state change and the routers that logged it.
#[derive(Clone, Debug)]
pub(crate) struct StateChange<'a> {
    /// The time at which the first router logged it.
    pub(crate) unix_ms: u64,
    /// The content of the log lines.
    pub(crate) text: String,
    first_router: &'a Arc<str>,
    routers: BTreeSet<&'a Arc<str>>,
    last_unix_ms: u64,
}

impl StateChange<'_> {
    /// Returns the router that logged it, or the number of routers and the time between the first and the last line.
    pub(crate) fn reporters(&self) -> String {
        if self.routers.len() == 1 {
            return self.first_router.to_string();
        }
        let spread_ms = self.last_unix_ms - self.unix_ms;
        format!("{} routers within {spread_ms} ms", self.routers.len())
    }
}

/// Groups log lines, which must be sorted by time, into state changes.
pub(crate) fn group_changes<'a>(
    lines: impl IntoIterator<Item = &'a LogLine>,
) -> Vec<StateChange<'a>> {
    let mut changes: Vec<StateChange<'a>> = Vec::new();
    for line in lines {
        let fields = line.fields_text(&ROUTER_FIELDS);
        let text = format!("{}: {} {fields}", line.part, line.message);
        let is_recent = |change: &&mut StateChange<'_>| {
            line.unix_ms <= change.unix_ms.saturating_add(SAME_CHANGE_MS)
        };
        let mut recent = changes.iter_mut().rev().take_while(is_recent);
        if let Some(same) = recent.find(|change| change.text == text) {
            same.routers.insert(&line.router);
            same.last_unix_ms = line.unix_ms;
            continue;
        }
        changes.push(StateChange {
            unix_ms: line.unix_ms,
            text,
            first_router: &line.router,
            routers: BTreeSet::from([&line.router]),
            last_unix_ms: line.unix_ms,
        });
    }
    changes
}
