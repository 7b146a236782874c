//! The scripted cases of the independent review: `crocuswharf-review CASE FOLDER`, run in the repository's root.
//!
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With `TROUBLE=0` in the
//! environment, the disruption is left out.

mod batches;
mod caller;
mod deployment;
mod isolation;
mod keepalive;
mod left;
mod record;
mod repeated;
mod router;
mod server;
mod unmarked;
mod unreadable;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::record::Record;

/// The longest time of a case; a script may run for 120 s.
const LIMIT: Duration = Duration::from_secs(112);

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: crocuswharf-review CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new());
    record.add(format!("case {case}, trouble={has_trouble}"));
    // The processes that a case started end with its future.
    let result = tokio::select! {
        result = run(case, &record, has_trouble) => result,
        () = tokio::time::sleep(LIMIT) => Err(anyhow::anyhow!("the case took too long")),
        () = interrupted() => Err(anyhow::anyhow!("the case was interrupted")),
    };
    let (verdict, code) = match result {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(error) => (format!("the case could not run: {error:#}"), 2),
    };
    record.add(&verdict);
    println!("{case}: {verdict}");
    if let Err(error) = std::fs::write(PathBuf::from(folder).join("record.txt"), record.text()) {
        eprintln!("record.txt: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}

async fn run(case: &str, record: &Arc<Record>, has_trouble: bool) -> anyhow::Result<bool> {
    match case {
        "batches" => batches::run(record, has_trouble).await,
        "isolation" => isolation::run(record, has_trouble).await,
        "keepalive" => keepalive::run(record, has_trouble).await,
        "left" => left::run(record, has_trouble).await,
        "unmarked" => unmarked::run(record, has_trouble).await,
        "repeated" => repeated::run(record, has_trouble).await,
        "unreadable" => unreadable::run(record, has_trouble).await,
        _ => anyhow::bail!("there is no case {case}"),
    }
}

/// Waits for a signal that asks this process to end.
async fn interrupted() {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
