//! `crocuswharf explain`: prints how one request was handled, and why.

use std::path::PathBuf;

use anyhow::Context;
use argh::FromArgs;

use crate::explain::{Explanation, render_explanation};
use crate::id::RequestId;

/// Show how one request was handled, and why.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request ID, from the response header or a log line
    #[argh(positional)]
    pub(crate) request: String,
    /// a saved log file, or a directory of them, to read instead of asking a router; may be repeated
    #[argh(option)]
    pub(crate) log: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Fetches the explanation and returns the text to print. `fetch` gets a path of the operator API.
///
/// # Errors
///
/// Returns an error if the request ID is invalid, if no router has the explanation, or if it can't be fetched or
/// parsed.
pub async fn explain(
    args: &ExplainArgs,
    fetch: impl AsyncFn(&str) -> anyhow::Result<String>,
) -> anyhow::Result<String> {
    let request: RequestId = args
        .request
        .parse()
        .with_context(|| format!("request: {} is not a valid request ID", args.request))?;
    let path = format!("/explain/{request}");
    let text =
        super::progress::report_wait("waiting for the router of the request", fetch(&path)).await?;
    let explanation: Explanation =
        serde_json::from_str(&text).context("invalid explanation from the router")?;
    if args.json {
        return Ok(serde_json::to_string_pretty(&explanation)? + "\n");
    }
    Ok(render_explanation(&explanation))
}
