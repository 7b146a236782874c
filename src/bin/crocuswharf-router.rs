//! The router daemon, which runs on each entry VM.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use argh::FromArgs;
use crocuswharf::{Router, RouterSettings, start_logs};
use tokio::signal::unix::{SignalKind, signal};

/// Route language-model traffic, as configured by a JSON settings file.
#[derive(Debug, FromArgs)]
struct Args {
    /// print the version
    #[argh(switch)]
    version: bool,
    /// validate the settings and exit
    #[argh(switch)]
    check: bool,
    /// the settings file, such as examples/router.json
    #[argh(positional)]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: Args = crocuswharf::parse_args();
    if args.version {
        println!("crocuswharf-router {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = &args.settings else {
        eprintln!("crocuswharf-router: missing settings file argument; see --help");
        return ExitCode::from(crocuswharf::EXIT_USAGE);
    };
    match RouterSettings::from_file(path)
        .map_err(anyhow::Error::from)
        .and_then(|settings| run(settings, args.check))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crocuswharf-router: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: RouterSettings, check_only: bool) -> anyhow::Result<()> {
    if check_only {
        println!("settings are valid");
        return Ok(());
    }
    start_logs(settings.log)?;
    let drain_limit = settings.times.drain_limit();
    let router = Router::start(settings)?;
    let signals = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("can't create the signal runtime")?;
    signals.block_on(async {
        wait_for_signal().await?;
        let report = router.drain(drain_limit).await;
        router.close(report.time_left).await;
        Ok(())
    })
}

/// Waits for the first SIGTERM or SIGINT. Later signals are ignored while the router drains.
async fn wait_for_signal() -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("can't install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("can't install the SIGINT handler")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
