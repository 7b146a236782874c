//! `crocuswharf burn`: the report on service-level burn.

use std::path::PathBuf;

use anyhow::Context;
use argh::FromArgs;

use crate::burn::{Report, Window, render_html, render_table};

/// Show which objectives burn their error budget, how fast, and on whom.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct BurnArgs {
    /// show this service only
    #[argh(option)]
    service: Option<String>,
    /// window of latencies, names and plots: 5m, 1h, 6h or 3d (default 1h)
    #[argh(option, default = "Window::Hour", from_str_fn(parse_window))]
    window: Window,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// write a standalone page with plots to this file as well
    #[argh(option)]
    html: Option<PathBuf>,
}

fn parse_window(name: &str) -> Result<Window, String> {
    Window::parse(name).map_err(|error| error.to_string())
}

/// Fetches the report with `fetch`, which takes a path at the operators' interface, and returns what to print.
///
/// # Errors
///
/// Fails where the report can't be fetched or read, where no such service has figures, and where the page can't be
/// written.
pub async fn burn(
    args: &BurnArgs,
    colour: bool,
    fetch: impl AsyncFn(&str) -> anyhow::Result<String>,
) -> anyhow::Result<String> {
    let path = format!("/burn?window={}", args.window.name());
    let text = super::progress::while_waiting("asking all routers", fetch(&path)).await?;
    let mut report: Report = serde_json::from_str(&text).context("the router's report")?;
    if let Some(service) = &args.service {
        report.services.retain(|each| &*each.service == service);
        anyhow::ensure!(
            !report.services.is_empty(),
            "service: {service:?} has no figures"
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
