//! The status as text for a terminal.

use std::fmt::Write;

use crate::status::{FleetStatus, MemberStatus, ReplicaStatus};
use crate::telemetry::printable;

const YELLOW: &str = "\u{1b}[33m";
const RESET: &str = "\u{1b}[0m";
/// How many openings the text shows.
const OPENINGS_SHOWN: usize = 10;
/// How many repairs of each member the text shows.
const REPAIRS_SHOWN: usize = 5;
/// How many requests that went wrong the text shows for each member.
const REQUESTS_SHOWN: usize = 3;

/// Renders `status` as tables; `colour` is for terminals only.
#[must_use]
pub fn render_status(status: &FleetStatus, colour: bool) -> String {
    let mut text = String::new();
    write_summary(&mut text, status, colour);
    write_members(&mut text, status);
    write_replicas(&mut text, status);
    write_openings(&mut text, status);
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
        "{} members answered router {}, {} did not; revision in force: {}",
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

/// Shows the replicas as the asked router sees them, or the first member if that one is missing.
fn write_replicas(text: &mut String, status: &FleetStatus) {
    let is_asked = |member: &&MemberStatus| member.router == status.asked;
    let Some(member) = status
        .members
        .iter()
        .find(is_asked)
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

fn write_openings(text: &mut String, status: &FleetStatus) {
    let openings = status.hottest(OPENINGS_SHOWN);
    if openings.is_empty() {
        return;
    }
    let _ = writeln!(text, "\n{:>9}  opening (service/account/hash)", "requests");
    for heat in openings {
        let _ = writeln!(text, "{:>9}  {}", heat.requests, printable(&heat.opening));
    }
}

fn write_repairs(text: &mut String, status: &FleetStatus) {
    for member in &status.members {
        for repair in member.repairs.iter().take(REPAIRS_SHOWN) {
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
        for id in member.notable_requests.iter().take(REQUESTS_SHOWN) {
            let _ = writeln!(
                text,
                "went wrong at {}: request {id} (see explain)",
                printable(&member.router)
            );
        }
    }
}
