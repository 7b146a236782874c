//! `crocuswharf burn`: prints the report of error-budget burn rates.

use std::path::PathBuf;

use anyhow::Context;
use argh::FromArgs;

use crate::burn::{Report, Window, render_html, render_table};

/// Show which objectives burn their error budget, at which rate, and who is affected.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct BurnArgs {
    /// show only this service
    #[argh(option)]
    service: Option<String>,
    /// window of the latencies, affected names and plots: 5m, 1h, 6h or 3d (default 1h)
    #[argh(option, default = "Window::Hour", from_str_fn(parse_window))]
    window: Window,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// also write a self-contained HTML page with plots to this file
    #[argh(option)]
    html: Option<PathBuf>,
}

fn parse_window(name: &str) -> Result<Window, String> {
    Window::parse(name).map_err(|error| error.to_string())
}

/// Fetches the report and returns the text to print. `fetch` gets a path of the operator API.
///
/// # Errors
///
/// Returns an error if the report can't be fetched or parsed, if the report has no data for the selected service, or if
/// the HTML page can't be written.
pub async fn burn(
    args: &BurnArgs,
    colour: bool,
    fetch: impl AsyncFn(&str) -> anyhow::Result<String>,
) -> anyhow::Result<String> {
    let path = format!("/burn?window={}", args.window.name());
    let text = super::progress::report_wait("waiting for all routers", fetch(&path)).await?;
    let mut report: Report =
        serde_json::from_str(&text).context("invalid report from the router")?;
    if let Some(service) = &args.service {
        report.services.retain(|entry| &*entry.service == service);
        anyhow::ensure!(
            !report.services.is_empty(),
            "service: no data for {service:?}"
        );
    }
    if let Some(file) = &args.html {
        let page = render_html(&report)?;
        std::fs::write(file, page).with_context(|| file.display().to_string())?;
    }
    if args.json {
        return Ok(serde_json::to_string_pretty(&report)? + "\n");
    }
    Ok(render_table(&report, colour))
}
