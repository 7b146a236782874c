//! The report: each figure's points, its line and what it comes to at the target's size.

use std::fmt::Write;

use serde::Serialize;

use super::fit::{Line, Point};
use super::target;

/// What a figure costs a node at the target's size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub(super) enum Cost {
    /// The value is microseconds of processor time for each of so many events a second at one node.
    Processor { events_per_second: f64 },
    /// The value is bytes of memory, held so many times at one node.
    Memory { copies: f64 },
    /// The value is bytes on the network for each of so many messages a second from one node.
    Network { messages_per_second: f64 },
    /// The value is a count of calls; it adds up to nothing here.
    Count,
    /// The value is milliseconds that an operator or a caller waits; it adds up to nothing.
    Wait,
}

/// One measured figure of one role.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Figure {
    /// The role.
    pub(super) role: &'static str,
    /// What was measured.
    pub(super) name: &'static str,
    /// What the size counts.
    pub(super) along: &'static str,
    /// Whether it counts as control, against the budget.
    pub(super) is_control: bool,
    /// The measured points.
    pub(super) points: Vec<Point>,
    /// The size at the target.
    pub(super) target_size: f64,
    /// What it costs.
    pub(super) cost: Cost,
}

/// All figures.
#[derive(Debug, Default, Serialize)]
pub(super) struct Report {
    pub(super) figures: Vec<Figure>,
}

/// What control costs one node at the target's size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Totals {
    pub(super) core_percent: f64,
    pub(super) memory_bytes: f64,
    pub(super) bytes_per_second: f64,
}

impl Figure {
    /// Returns the fitted line.
    pub(super) fn line(&self) -> Line {
        Line::through(&self.points)
    }

    /// Returns the value at the target's size.
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

    /// Returns what a node pays at the target's size, in words.
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
    /// Returns what the measured control comes to.
    pub(super) fn totals(&self) -> Totals {
        let mut totals = Totals::default();
        for figure in self.figures.iter().filter(|figure| figure.is_control) {
            figure.add_to(&mut totals);
        }
        totals
    }

    /// Renders the report as a Markdown table, which reads well in a terminal too.
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
            target::CORE_PERCENT,
            totals.memory_bytes / 1e6,
            target::MEMORY_BYTES / 1e6,
            totals.bytes_per_second,
            target::BYTES_PER_SECOND,
        );
        text
    }
}

fn write_row(text: &mut String, figure: &Figure) {
    let line = figure.line();
    let points: Vec<String> = figure
        .points
        .iter()
        .map(|point| format!("{}: {}", short(point.size), short(point.value)))
        .collect();
    let control = if figure.is_control { "" } else { " (traffic)" };
    let _ = writeln!(
        text,
        "| {}{control} | {}, {} | {} | {} + {} × {} | {:.3} | {} {} at {} | {} |",
        figure.role,
        figure.name,
        figure.unit(),
        points.join(", "),
        short(line.fixed),
        short(line.slope),
        figure.along,
        line.r_squared,
        short(figure.projected()),
        figure.unit(),
        short(figure.target_size),
        figure.describe_cost(),
    );
}

/// Shows three significant digits.
fn short(value: f64) -> String {
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
