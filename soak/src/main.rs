//! Runs the fault soak by hand.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use anyhow::Context;
use argh::FromArgs;
use crocuswharf_soak::{Report, Size, run};

/// Disturb real router processes, and check what callers and replicas see.
#[derive(Debug, FromArgs)]
struct Args {
    /// the first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds to run, one after the other (default 1)
    #[argh(option, default = "1")]
    seeds: u64,
    /// begin no further seed after so many minutes (default 60)
    #[argh(option, default = "60.0")]
    minutes: f64,
    /// the router processes of a world (default 3)
    #[argh(option, default = "3")]
    processes: usize,
    /// how many seconds a world is disturbed (default 20)
    #[argh(option, default = "20.0")]
    disturbed_s: f64,
    /// the daemon (default: crocuswharf-platform beside this program)
    #[argh(option)]
    daemon: Option<PathBuf>,
    /// where the logs of failed seeds go (default: target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    logs: PathBuf,
}

fn main() -> anyhow::Result<ExitCode> {
    let args: Args = argh::from_env();
    let beside = std::env::current_exe().context("the place of this program")?;
    let beside = beside.with_file_name("crocuswharf-platform");
    let daemon = args.daemon.clone().unwrap_or(beside);
    anyhow::ensure!(daemon.exists(), "--daemon: {} is missing", daemon.display());
    anyhow::ensure!(args.processes > 0, "--processes: 0 is too few");
    let size = Size {
        routers: args.processes,
        app_replicas: 3,
        model_replicas: 4,
        length: Duration::from_secs_f64(args.disturbed_s),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("a runtime")?;
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
            keep_logs(&args.logs, &report)?;
        }
    }
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
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
    for finding in report.findings.iter().take(20) {
        println!("  {}: {}", finding.promise, finding.seen);
    }
}

fn keep_logs(folder: &Path, report: &Report) -> anyhow::Result<()> {
    let folder = folder.join(format!("seed-{}", report.seed));
    std::fs::create_dir_all(&folder).with_context(|| format!("folder {}", folder.display()))?;
    for (router, lines) in &report.logs {
        let file = folder.join(format!("{router}.log"));
        std::fs::write(&file, lines.join("\n")).with_context(|| file.display().to_string())?;
    }
    println!("  logs are in {}", folder.display());
    Ok(())
}
