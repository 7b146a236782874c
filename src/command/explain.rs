//! `crocuswharf explain`: what was done with one request, and why.

use std::path::PathBuf;

use anyhow::Context;
use argh::FromArgs;

use crate::explain::{Explanation, render_explanation};
use crate::id::RequestId;

/// Tell what was done with one request, and why.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// the request's id, from the answer's header or a log line
    #[argh(positional)]
    pub(crate) request: String,
    /// a saved log, or a folder of them, to read instead of asking a router; may be given more than once
    #[argh(option)]
    pub(crate) log: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Fetches the explanation with `fetch`, which takes a path at the operators' interface, and returns what to print.
///
/// # Errors
///
/// Fails where the id is none, where no router has the explanation, and where it can't be fetched or read.
pub async fn explain(
    args: &ExplainArgs,
    fetch: impl AsyncFn(&str) -> anyhow::Result<String>,
) -> anyhow::Result<String> {
    let request: RequestId = args
        .request
        .parse()
        .with_context(|| format!("request: {} is not an id", args.request))?;
    let path = format!("/explain/{request}");
    let text = super::progress::while_waiting("asking the request's router", fetch(&path)).await?;
    let explanation: Explanation =
        serde_json::from_str(&text).context("the router's explanation")?;
    if args.json {
        return Ok(serde_json::to_string_pretty(&explanation)? + "\n");
    }
    Ok(render_explanation(&explanation))
}
