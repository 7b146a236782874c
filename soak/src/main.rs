//! Command-line runner of the fault soak.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::Context;
use argh::FromArgs;
use crocuswharf_soak::{Overlay, Report, Size, run};

/// Inject faults into real router processes and their dependencies, and check what callers and replicas observe.
#[derive(Debug, FromArgs)]
struct Args {
    /// the first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// the number of consecutive seeds to run (default 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// start no further seed after this many minutes (default 60)
    #[argh(option, default = "60.0")]
    minutes: f64,
    /// the number of router processes (default 3)
    #[argh(option, default = "3")]
    processes: usize,
    /// how long faults are injected for each seed, in seconds (default 20)
    #[argh(option, default = "20.0")]
    disturbed_s: f64,
    /// inject the faults of the base plan only, without silent replicas and changes of the configuration
    #[argh(switch)]
    base_only: bool,
    /// also send a request again and again that crashes the replicas that run it
    #[argh(switch)]
    crashing_request: bool,
    /// cut routers off from all replicas also with --base-only
    #[argh(switch)]
    cuts: bool,
    /// the daemon's executable (default: crocuswharf-platform in the folder of this program)
    #[argh(option)]
    daemon: Option<PathBuf>,
    /// the folder for the logs of failed seeds (default: target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    logs: PathBuf,
}

fn main() -> anyhow::Result<ExitCode> {
    let args: Args = argh::from_env();
    let default_daemon =
        std::env::current_exe().context("cannot determine the path of this program")?;
    let default_daemon = default_daemon.with_file_name("crocuswharf-platform");
    let daemon = args.daemon.clone().unwrap_or(default_daemon);
    anyhow::ensure!(
        daemon.exists(),
        "--daemon: {} does not exist",
        daemon.display()
    );
    anyhow::ensure!(args.processes > 0, "--processes: must be at least 1");
    let size = Size {
        routers: args.processes,
        app_replicas: 3,
        model_replicas: 4,
        length: Duration::from_secs_f64(args.disturbed_s),
        overlays: overlays(&args).leak(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("cannot create the Tokio runtime")?;
    let end = Instant::now() + Duration::from_secs_f64(args.minutes * 60.0);
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        if Instant::now() >= end {
            println!("seeds from {seed} on were not run: the time is over");
            break;
        }
        let report = runtime.block_on(run(&daemon, seed, size))?;
        print_report(&report);
        if !report.findings.is_empty() {
            failed += 1;
            save_logs(&args.logs, &report)?;
        }
    }
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn overlays(args: &Args) -> Vec<Overlay> {
    let mut overlays = Vec::new();
    if !args.base_only {
        overlays.extend([
            Overlay::Silence,
            Overlay::Configuration,
            Overlay::Fields,
            Overlay::Uneven,
            Overlay::Versions,
            Overlay::Weights,
            Overlay::Cuts,
        ]);
    }
    if args.crashing_request {
        overlays.push(Overlay::CrashingRequest);
    }
    if args.cuts && args.base_only {
        overlays.push(Overlay::Cuts);
    }
    overlays
}

fn print_report(report: &Report) {
    println!(
        "seed {}: {} faults, {} of {} requests served, {} promises broken",
        report.seed,
        report.faults,
        report.served,
        report.sent,
        report.findings.len()
    );
    let (beside, away) = (report.ends.beside, report.ends.away);
    println!(
        "  read whole and not answered: {} of {} beside changes, {} of {} away from them",
        beside.unanswered, beside.requests, away.unanswered, away.requests
    );
    let (take_ups, went_on) = report.take_ups;
    println!(
        "  streams taken up: {went_on} of {take_ups} went on, {} joined from two versions",
        report.joined
    );
    for finding in report.findings.iter().take(20) {
        println!("  {}: {}", finding.promise, finding.seen);
    }
}

fn save_logs(folder: &Path, report: &Report) -> anyhow::Result<()> {
    let folder = folder.join(format!("seed-{}", report.seed));
    std::fs::create_dir_all(&folder)
        .with_context(|| format!("cannot create the folder {}", folder.display()))?;
    for (router, lines) in &report.logs {
        let file = folder.join(format!("{router}.log"));
        std::fs::write(&file, lines.join("\n")).with_context(|| file.display().to_string())?;
    }
    println!("  logs are in {}", folder.display());
    Ok(())
}
