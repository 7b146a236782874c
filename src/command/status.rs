//! `crocuswharf status`: prints members, replicas, hot prefixes and repairs.

use anyhow::Context;
use argh::FromArgs;

use crate::status::{FleetStatus, render_status};

/// Show members, replicas, hot prompt prefixes, and recent repairs with their reasons.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Fetches the status and returns the text to print. `fetch` gets a path of the operator API.
///
/// # Errors
///
/// Returns an error if the status can't be fetched or parsed.
pub async fn status(
    args: &StatusArgs,
    colour: bool,
    fetch: impl AsyncFn(&str) -> anyhow::Result<String>,
) -> anyhow::Result<String> {
    let text = super::progress::report_wait("waiting for all routers", fetch("/status")).await?;
    let status: FleetStatus =
        serde_json::from_str(&text).context("invalid status from the router")?;
    if args.json {
        return Ok(serde_json::to_string_pretty(&status)? + "\n");
    }
    Ok(render_status(&status, colour))
}
