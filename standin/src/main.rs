//! The program that runs the stand-ins, the demonstration and the comparison of policies.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use crocuswharf_standin::{capacity, compare, demo, engine, plain, platform, serve};

/// The exit code for what was refused or failed.
const EXIT_FAILED: u8 = 1;

/// Stand-ins for the systems that crocuswharf serves.
#[derive(Debug, FromArgs)]
struct Args {
    /// print the version
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Capacity(capacity::CapacityArgs),
    Compare(compare::CompareArgs),
    Demo(demo::DemoArgs),
    Engine(EngineArgs),
    Plain(PlainArgs),
    Platform(PlatformArgs),
}

/// Run one fake model engine.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// the settings file, such as examples/engine.json
    #[argh(positional)]
    settings: PathBuf,
}

/// Run one replica of a fake plain service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plain")]
struct PlainArgs {
    /// the address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// Run a fake platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// the address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

fn main() -> ExitCode {
    // Wrong usage exits with code 2, which `argh` would report as 1.
    let args: Args = crocuswharf::parse_args();
    if args.version {
        println!("crocuswharf-standin {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = args.command else {
        eprintln!("crocuswharf-standin: a command is missing; see --help");
        return ExitCode::from(crocuswharf::EXIT_USAGE);
    };
    match run(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_FAILED),
        Err(error) => {
            eprintln!("crocuswharf-standin: {error:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

#[tokio::main]
async fn run(command: Command) -> anyhow::Result<bool> {
    match command {
        Command::Capacity(args) => capacity::run(&args).map(|()| true),
        Command::Compare(args) => compare::run(&args).map(|()| true),
        Command::Demo(args) => demo::run(&args).await,
        Command::Engine(args) => {
            let settings: engine::EngineSettings = crocuswharf::read_json(&args.settings)?;
            settings.check()?;
            let listen = settings.listen;
            let served = engine::Engine::new(settings).serve(listen).await?;
            serve_until_signal(served).await
        }
        Command::Plain(args) => {
            let served = plain::PlainService::default().serve(args.listen).await?;
            serve_until_signal(served).await
        }
        Command::Platform(args) => {
            let served = platform::Platform::new().serve(args.listen).await?;
            serve_until_signal(served).await
        }
    }
}

async fn serve_until_signal(served: serve::Served) -> anyhow::Result<bool> {
    println!("listening on {}", served.address);
    tokio::signal::ctrl_c().await?;
    Ok(true)
}
