//! The report: the points and the fitted line of each figure, and its cost at the target size.

use std::fmt::Write;

use serde::Serialize;

use super::fit::{Line, Point};
use super::target;

/// How a figure's value translates to the cost per router at the target size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub(super) enum Cost {
    /// The value is processor time per event, in microseconds; the rate is per router.
    Processor { events_per_second: f64 },
    /// The value is memory per copy, in bytes; the copies are per router.
    Memory { copies: f64 },
    /// The value is the network traffic per message, in bytes; the rate is per router.
    Network { messages_per_second: f64 },
    /// The value is a number of calls, which is not part of the totals.
    Count,
    /// The value is the latency seen by an operator or caller, in milliseconds, which is not part of the totals.
    Wait,
}

/// A measured figure of one role.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Figure {
    /// The role.
    pub(super) role: &'static str,
    /// What was measured.
    pub(super) name: &'static str,
    /// The unit of the size.
    pub(super) along: &'static str,
    /// Whether the cost counts against the budget of control.
    pub(super) is_control: bool,
    /// The measured points.
    pub(super) points: Vec<Point>,
    /// The target size.
    pub(super) target_size: f64,
    /// The kind of cost.
    pub(super) cost: Cost,
}

/// All measured figures.
#[derive(Debug, Default, Serialize)]
pub(super) struct Report {
    pub(super) figures: Vec<Figure>,
}

/// The cost of control per router at the target size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Totals {
    pub(super) core_percent: f64,
    pub(super) memory_bytes: f64,
    pub(super) bytes_per_second: f64,
}

impl Figure {
    /// Returns the line fitted to the points.
    pub(super) fn line(&self) -> Line {
        Line::fit(&self.points)
    }

    /// Returns the value extrapolated to the target size.
    pub(super) fn projected(&self) -> f64 {
        self.line().at(self.target_size)
    }

    fn add_to(&self, totals: &mut Totals) {
        let value = self.projected();
        match self.cost {
            Cost::Processor { events_per_second } => {
                totals.core_percent += value * events_per_second / 1e4;
            }
            Cost::Memory { copies } => totals.memory_bytes += value * copies,
            Cost::Network {
                messages_per_second,
            } => totals.bytes_per_second += value * messages_per_second,
            Cost::Count | Cost::Wait => {}
        }
    }

    /// Returns the cost per router at the target size as text.
    fn describe_cost(&self) -> String {
        let mut totals = Totals::default();
        self.add_to(&mut totals);
        match self.cost {
            Cost::Processor { events_per_second } => {
                let percent = totals.core_percent;
                format!("{percent:.4} % of a core at {events_per_second:.1}/s")
            }
            Cost::Memory { .. } => format!("{:.2} MB", totals.memory_bytes / 1e6),
            Cost::Network {
                messages_per_second,
            } => {
                let bytes = totals.bytes_per_second;
                format!("{bytes:.0} B/s at {messages_per_second:.2}/s")
            }
            Cost::Count => format!("{:.1} calls", self.projected()),
            Cost::Wait => format!("{:.1} ms", self.projected()),
        }
    }

    const fn unit(&self) -> &'static str {
        match self.cost {
            Cost::Processor { .. } => "µs",
            Cost::Memory { .. } | Cost::Network { .. } => "B",
            Cost::Count => "calls",
            Cost::Wait => "ms",
        }
    }
}

impl Report {
    /// Returns the sum of the control figures.
    pub(super) fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        for figure in self.figures.iter().filter(|figure| figure.is_control) {
            figure.add_to(&mut totals);
        }
        totals
    }

    /// Formats the report as a Markdown table, which is also readable in a terminal.
    pub(super) fn render(&self) -> String {
        let mut text = String::from(
            "| role | figure | measured (size: value) | fixed + slope | r² | at the target | costs a node |\n\
             |---|---|---|---|---|---|---|\n",
        );
        for figure in &self.figures {
            write_row(&mut text, figure);
        }
        let totals = self.totals();
        let _ = writeln!(
            text,
            "\ncontrol measured here, a node: {:.3} % of a core (of {}), {:.2} MB (of {:.2}), {:.0} B/s (of {})",
            totals.core_percent,
            target::MAX_CORE_PERCENT,
            totals.memory_bytes / 1e6,
            target::MAX_MEMORY_BYTES / 1e6,
            totals.bytes_per_second,
            target::MAX_BYTES_PER_SECOND,
        );
        text
    }
}

fn write_row(text: &mut String, figure: &Figure) {
    let line = figure.line();
    let points: Vec<String> = figure
        .points
        .iter()
        .map(|point| {
            format!(
                "{}: {}",
                format_value(point.size),
                format_value(point.value)
            )
        })
        .collect();
    let control = if figure.is_control { "" } else { " (traffic)" };
    let _ = writeln!(
        text,
        "| {}{control} | {}, {} | {} | {} + {} × {} | {:.3} | {} {} at {} | {} |",
        figure.role,
        figure.name,
        figure.unit(),
        points.join(", "),
        format_value(line.fixed),
        format_value(line.slope),
        figure.along,
        line.r_squared,
        format_value(figure.projected()),
        figure.unit(),
        format_value(figure.target_size),
        figure.describe_cost(),
    );
}

/// Formats a value with about three significant digits.
fn format_value(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 || value == 0.0 {
        format!("{value:.0}")
    } else if size >= 1.0 {
        format!("{value:.2}")
    } else if size >= 0.001 {
        format!("{value:.4}")
    } else {
        format!("{value:.2e}")
    }
}
