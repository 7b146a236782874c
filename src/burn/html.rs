//! The burn report as a self-contained HTML page.
//!
//! Plots are SVG drawn by `plotters`, and their text consists of constants and numbers only. All names are escaped.

use std::fmt::Write;
use std::ops::Range;

use plotters::prelude::*;

use crate::burn::Window;
use crate::burn::report::{Alarm, ContributorReport, ObjectiveReport, Report, ServiceReport};
use crate::error::{Error, ErrorKind};

const PLOT_SIZE_PX: (u32, u32) = (560, 220);
const STYLE: &str = "body{font:15px/1.4 system-ui,sans-serif;margin:2em auto;max-width:72em;padding:0 1em;color:#222}\
table{border-collapse:collapse;margin:.6em 0}td,th{padding:.25em .7em;border-bottom:1px solid #ddd;text-align:right}\
td:first-child,th:first-child{text-align:left}.fast{background:#b00020;color:#fff}.slow{background:#ffd54f}\
.missing{border-left:4px solid #b00020;padding:.3em .8em;background:#fdecea}\
.plots{display:flex;flex-wrap:wrap;gap:1em}figure{margin:0}figcaption{font-size:.9em}svg{max-width:100%;height:auto}";

/// Renders `report` as a standalone HTML page.
///
/// # Errors
///
/// Fails with [`ErrorKind::Io`] if a plot cannot be drawn.
pub fn render_html(report: &Report) -> Result<String, Error> {
    let mut page = String::with_capacity(64 << 10);
    page.push_str("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">");
    page.push_str("<meta name=\"viewport\" content=\"width=device-width\">");
    let _ = write!(
        page,
        "<title>crocuswharf burn report</title><style>{STYLE}</style></head><body>"
    );
    let _ = write!(
        page,
        "<h1>Burn report</h1><p>{} members included; statistics cover {} s to {} s; details over {}.</p>",
        report.members.len(),
        report.shortest_held_s,
        report.longest_held_s,
        report.window.name(),
    );
    for missing in &report.missing {
        let _ = write!(
            page,
            "<p class=\"missing\">Missing: <b>{}</b> ({}). Its requests are not included in this report.</p>",
            escape(&missing.router),
            escape(&missing.reason),
        );
    }
    for service in &report.services {
        write_service(&mut page, report.window, service)?;
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn write_service(page: &mut String, window: Window, service: &ServiceReport) -> Result<(), Error> {
    let _ = write!(page, "<section><h2>{}</h2>", escape(&service.service));
    let _ = write!(page, "<p>{} requests.</p>", service.requests);
    page.push_str("<table><tr><th>latency</th><th>p50</th><th>p95</th><th>p99</th></tr>");
    let rows = [
        ("time to first token", &service.ttft),
        ("time between tokens", &service.token_interval),
    ];
    for (name, latency) in rows {
        let _ = write!(
            page,
            "<tr><td>{name}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
            milliseconds(latency.p50_ms),
            milliseconds(latency.p95_ms),
            milliseconds(latency.p99_ms),
        );
    }
    page.push_str(
        "</table><table><tr><th>objective</th><th>limit</th><th>allowed</th><th>budget left</th>",
    );
    for window in Window::ALL {
        let _ = write!(page, "<th>burn {}</th>", window.name());
    }
    page.push_str("<th>alarm</th></tr>");
    for objective in &service.objectives {
        write_objective(page, objective);
    }
    page.push_str("</table><div class=\"plots\">");
    for objective in &service.objectives {
        let name = objective.objective.name();
        let plot = plot_burn(objective, window)?;
        let _ = write!(
            page,
            "<figure>{plot}<figcaption>Burn rate of {name} over the last {}; 1 spends exactly the budget.\
             </figcaption></figure>",
            window.name()
        );
    }
    page.push_str("</div>");
    for objective in &service.objectives {
        write_contributors(page, objective);
    }
    page.push_str("</section>");
    Ok(())
}

fn write_objective(page: &mut String, objective: &ObjectiveReport) {
    let left = objective
        .budget_left_percent
        .map_or_else(|| "–".to_owned(), |left| format!("{left:.1} %"));
    let _ = write!(
        page,
        "<tr><td>{}</td><td>{}</td><td>{:.2} %</td><td>{left}</td>",
        objective.objective.name(),
        milliseconds(objective.limit_ms),
        objective.allowed_percent,
    );
    for burn in &objective.burn_rates {
        let rate = burn
            .rate
            .map_or_else(|| "–".to_owned(), |rate| format!("{rate:.2}"));
        let _ = write!(page, "<td>{rate}</td>");
    }
    page.push_str(match objective.alarm {
        Alarm::None => "<td>–</td></tr>",
        Alarm::Slow => "<td class=\"slow\">slow</td></tr>",
        Alarm::Fast => "<td class=\"fast\">fast</td></tr>",
    });
}

fn write_contributors(page: &mut String, objective: &ObjectiveReport) {
    let dimensions = [
        ("account", &objective.accounts),
        ("replica", &objective.replicas),
        ("availability zone", &objective.zones),
    ];
    if dimensions
        .iter()
        .all(|(_, contributors)| contributors.is_empty())
    {
        return;
    }
    let _ = write!(
        page,
        "<h3>Top contributors to bad events of {}</h3>",
        objective.objective.name()
    );
    for (dimension, contributors) in dimensions {
        let _ = write!(
            page,
            "<table><tr><th>{dimension}</th><th>bad, at least</th><th>at most</th><th>share</th></tr>"
        );
        for contributor in contributors {
            write_contributor(page, contributor);
        }
        page.push_str("</table>");
    }
}

fn write_contributor(page: &mut String, contributor: &ContributorReport) {
    let _ = write!(
        page,
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.0} %</td></tr>",
        escape(&contributor.name),
        contributor.bad - contributor.error,
        contributor.bad,
        contributor.share_percent,
    );
}

fn plot_burn(objective: &ObjectiveReport, window: Window) -> Result<String, Error> {
    let mut svg = String::new();
    draw_burn(&mut svg, objective, window)
        .map_err(|error| Error::new(ErrorKind::Io, format!("plot: {error}")))?;
    Ok(svg)
}

#[expect(
    clippy::cast_precision_loss,
    reason = "plot coordinates need only a few hundred pixels of precision"
)]
fn draw_burn(
    svg: &mut String,
    objective: &ObjectiveReport,
    window: Window,
) -> Result<(), Box<dyn std::error::Error>> {
    let slices = window.counter_slices();
    let unit_s = if window == Window::FiveMinutes {
        60.0
    } else {
        3_600.0
    };
    let span = window.span().as_secs_f64() / unit_s;
    let width = span / slices as f64;
    let max_rate = objective
        .series
        .iter()
        .flatten()
        .copied()
        .fold(1.0, f64::max);
    let y_range: Range<f64> = 0.0..max_rate * 1.15;
    let area = SVGBackend::with_string(svg, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(46)
        .build_cartesian_2d(-span..0.0, y_range)?;
    let x_label = if window == Window::FiveMinutes {
        "minutes"
    } else {
        "hours"
    };
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc(x_label)
        .y_desc("burn rate")
        .draw()?;
    chart.draw_series(LineSeries::new([(-span, 1.0), (0.0, 1.0)], RED))?;
    let slice_count = objective.series.len() as f64;
    let bars = objective
        .series
        .iter()
        .enumerate()
        .filter_map(|(index, rate)| {
            let start = -(slice_count - index as f64) * width;
            rate.map(|rate| {
                Rectangle::new([(start, 0.0), (start + width * 0.9, rate)], BLUE.filled())
            })
        });
    chart.draw_series(bars)?;
    area.present()?;
    Ok(())
}

fn milliseconds(value_ms: Option<u64>) -> String {
    value_ms.map_or_else(|| "–".to_owned(), |value_ms| format!("{value_ms} ms"))
}

/// Escapes `text` for use in HTML content and quoted attribute values.
pub(super) fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            '\'' => escaped.push_str("&#39;"),
            other => escaped.push(other),
        }
    }
    escaped
}
