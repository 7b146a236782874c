//! `crocuswharf status`: members, replicas, hot openings and repairs.

use anyhow::Context;
use argh::FromArgs;

use crate::status::{FleetStatus, render_status};

/// Show members, replicas, hot openings, and what was repaired lately and why.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Fetches the status with `fetch`, which takes a path at the operators' interface, and returns what to print.
///
/// # Errors
///
/// Fails where the status can't be fetched or read.
pub async fn status(
    args: &StatusArgs,
    colour: bool,
    fetch: impl AsyncFn(&str) -> anyhow::Result<String>,
) -> anyhow::Result<String> {
    let text = super::progress::while_waiting("asking all routers", fetch("/status")).await?;
    let status: FleetStatus = serde_json::from_str(&text).context("the router's status")?;
    if args.json {
        return Ok(serde_json::to_string_pretty(&status)? + "\n");
    }
    Ok(render_status(&status, colour))
}
