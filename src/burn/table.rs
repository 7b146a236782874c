//! The burn report as a text table for a terminal.

use std::fmt::Write;

use crate::burn::report::{Alarm, ContributorReport, ObjectiveReport, Report, ServiceReport};
use crate::burn::{ObjectiveKind, Window};
use crate::telemetry::printable;

const RED: &str = "\u{1b}[31m";
const YELLOW: &str = "\u{1b}[33m";
const RESET: &str = "\u{1b}[0m";

/// Renders `report` as a text table, with terminal escape sequences if `colour` is set.
#[must_use]
pub fn render_table(report: &Report, colour: bool) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "members {} queried, {} missing; statistics cover {} s to {} s; window {}",
        report.members.len() + report.missing.len(),
        report.missing.len(),
        report.shortest_held_s,
        report.longest_held_s,
        report.window.name(),
    );
    for missing in &report.missing {
        let router = printable(&missing.router);
        let reason = printable(&missing.reason);
        let _ = writeln!(text, "MISSING {router}: {reason} (not included below)");
    }
    for service in &report.services {
        write_service(&mut text, service, colour);
    }
    text
}

fn write_service(text: &mut String, service: &ServiceReport, colour: bool) {
    let _ = writeln!(
        text,
        "\n{}: {} requests; ttft p50 {} p95 {} p99 {}; token interval p50 {} p95 {} p99 {}",
        printable(&service.service),
        service.requests,
        milliseconds(service.ttft.p50_ms),
        milliseconds(service.ttft.p95_ms),
        milliseconds(service.ttft.p99_ms),
        milliseconds(service.token_interval.p50_ms),
        milliseconds(service.token_interval.p95_ms),
        milliseconds(service.token_interval.p99_ms),
    );
    let _ = write!(
        text,
        "  {:<15} {:>9} {:>9} {:>8}",
        "objective", "limit", "allowed", "left"
    );
    for window in Window::ALL {
        let _ = write!(text, " {:>8}", window.name());
    }
    let _ = writeln!(text, "  alarm");
    for objective in &service.objectives {
        write_objective(text, objective, colour);
    }
    for objective in &service.objectives {
        write_contributors(text, objective);
    }
}

fn write_objective(text: &mut String, objective: &ObjectiveReport, colour: bool) {
    let _ = write!(
        text,
        "  {:<15} {:>9} {:>8.2}% {:>8}",
        objective.objective.name(),
        milliseconds(objective.limit_ms),
        objective.allowed_percent,
        objective
            .budget_left_percent
            .map_or_else(|| "-".to_owned(), |left| format!("{left:.1}%")),
    );
    for burn in &objective.burn_rates {
        let rate = burn
            .rate
            .map_or_else(|| "-".to_owned(), |rate| format!("{rate:.2}"));
        let _ = write!(text, " {rate:>8}");
    }
    let (name, escape) = match objective.alarm {
        Alarm::None => ("-", ""),
        Alarm::Slow => ("SLOW", YELLOW),
        Alarm::Fast => ("FAST", RED),
    };
    if colour && !escape.is_empty() {
        let _ = writeln!(text, "  {escape}{name}{RESET}");
    } else {
        let _ = writeln!(text, "  {name}");
    }
}

fn write_contributors(text: &mut String, objective: &ObjectiveReport) {
    let unit = match objective.objective {
        ObjectiveKind::Recomputation => "tokens",
        _ => "requests",
    };
    let dimensions = [
        ("accounts", &objective.accounts),
        ("replicas", &objective.replicas),
        ("zones", &objective.zones),
    ];
    for (dimension, contributors) in dimensions {
        if contributors.is_empty() {
            continue;
        }
        let names: Vec<String> = contributors
            .iter()
            .map(|contributor| format_contributor(contributor, unit))
            .collect();
        let _ = writeln!(
            text,
            "  {} by {dimension}: {}",
            objective.objective.name(),
            names.join(", ")
        );
    }
}

fn format_contributor(contributor: &ContributorReport, unit: &str) -> String {
    let name = printable(&contributor.name);
    let share_percent = contributor.share_percent;
    if contributor.error == 0 {
        return format!("{name} {} {unit} ({share_percent:.0}%)", contributor.bad);
    }
    let min_bad = contributor.bad - contributor.error;
    format!(
        "{name} {min_bad} to {} {unit} (up to {share_percent:.0}%)",
        contributor.bad
    )
}

fn milliseconds(value_ms: Option<u64>) -> String {
    value_ms.map_or_else(|| "-".to_owned(), |value_ms| format!("{value_ms} ms"))
}
