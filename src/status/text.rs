//! The fleet status as text for a terminal.

use std::fmt::Write;

use crate::status::{FleetStatus, MemberStatus, ReplicaStatus};
use crate::telemetry::printable;

const YELLOW: &str = "\u{1b}[33m";
const RESET: &str = "\u{1b}[0m";
/// The maximum number of prefixes shown.
const MAX_PREFIXES: usize = 10;
/// The maximum number of repairs shown for each member.
const MAX_REPAIRS: usize = 5;
/// The maximum number of notable requests shown for each member.
const MAX_REQUESTS: usize = 3;

/// Renders `status` as text tables, with terminal escape sequences if `colour` is set.
#[must_use]
pub fn render_status(status: &FleetStatus, colour: bool) -> String {
    let mut text = String::new();
    write_summary(&mut text, status, colour);
    write_members(&mut text, status);
    write_replicas(&mut text, status);
    write_prefixes(&mut text, status);
    write_repairs(&mut text, status);
    write_requests(&mut text, status);
    text
}

fn write_summary(text: &mut String, status: &FleetStatus, colour: bool) {
    let revisions: Vec<String> = status
        .revisions()
        .into_iter()
        .map(|(revision, members)| format!("{revision} at {members}"))
        .collect();
    let _ = writeln!(
        text,
        "{} members replied to router {}, {} did not; revision in force: {}",
        status.members.len(),
        printable(&status.asked),
        status.missing.len(),
        revisions.join(", "),
    );
    for missing in &status.missing {
        let line = format!(
            "MISSING {}: {}",
            printable(&missing.router),
            printable(&missing.reason)
        );
        if colour {
            let _ = writeln!(text, "{YELLOW}{line}{RESET}");
        } else {
            let _ = writeln!(text, "{line}");
        }
    }
}

fn write_members(text: &mut String, status: &FleetStatus) {
    let _ = writeln!(
        text,
        "\n{:<20} {:<12} {:>9} {:>9} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8}  state",
        "router",
        "zone",
        "uptime s",
        "revision",
        "alive",
        "open",
        "reads",
        "writes",
        "watches",
        "refused"
    );
    for member in &status.members {
        let _ = writeln!(
            text,
            "{:<20} {:<12} {:>9} {:>9} {:>6} {:>6} {:>8} {:>8} {:>8} {:>8}  {}",
            printable(&member.router),
            printable(&member.zone),
            member.uptime_s,
            member.revision,
            member.members_alive,
            member.open_requests,
            member.store.reads,
            member.store.writes,
            member.store.watches,
            member.store.refused,
            if member.draining {
                "leaving"
            } else {
                "serving"
            },
        );
    }
}

/// Writes the replicas as seen by the queried router, or by the first member if that router is missing.
fn write_replicas(text: &mut String, status: &FleetStatus) {
    let is_queried = |member: &&MemberStatus| member.router == status.asked;
    let Some(member) = status
        .members
        .iter()
        .find(is_queried)
        .or_else(|| status.members.first())
    else {
        return;
    };
    if member.replicas.is_empty() {
        return;
    }
    let _ = writeln!(
        text,
        "\nreplicas as router {} sees them\n{:<16} {:<20} {:<12} {:>12} {:>8} {:>9} {:>13}  state",
        printable(&member.router),
        "pool",
        "replica",
        "zone",
        "incarnation",
        "weights",
        "in flight",
        "queued tokens"
    );
    for replica in &member.replicas {
        write_replica(text, replica);
    }
}

fn write_replica(text: &mut String, replica: &ReplicaStatus) {
    let queued = replica
        .queued_prefill_tokens
        .map_or_else(|| "-".to_owned(), |tokens| tokens.to_string());
    let _ = writeln!(
        text,
        "{:<16} {:<20} {:<12} {:>12} {:>8} {:>9} {:>13}  {}",
        printable(&replica.pool),
        printable(&replica.replica),
        printable(&replica.zone),
        replica.incarnation,
        replica.weights_version,
        replica.in_flight,
        queued,
        if replica.available {
            "available"
        } else {
            "no new work"
        },
    );
}

fn write_prefixes(text: &mut String, status: &FleetStatus) {
    let prefixes = status.hottest(MAX_PREFIXES);
    if prefixes.is_empty() {
        return;
    }
    let _ = writeln!(text, "\n{:>9}  prefix (service/account/hash)", "requests");
    for prefix in prefixes {
        let _ = writeln!(
            text,
            "{:>9}  {}",
            prefix.requests,
            printable(&prefix.opening)
        );
    }
}

fn write_repairs(text: &mut String, status: &FleetStatus) {
    for member in &status.members {
        for repair in member.repairs.iter().take(MAX_REPAIRS) {
            let _ = writeln!(
                text,
                "repaired at {} by {} ({}): {} Evidence: {}",
                repair.unix_ms,
                printable(&member.router),
                printable(&repair.part),
                printable(&repair.action),
                printable(&repair.evidence),
            );
        }
    }
}

fn write_requests(text: &mut String, status: &FleetStatus) {
    for member in &status.members {
        for id in member.notable_requests.iter().take(MAX_REQUESTS) {
            let _ = writeln!(
                text,
                "went wrong at {}: request {id} (see explain)",
                printable(&member.router)
            );
        }
    }
}
