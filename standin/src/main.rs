//! The program that runs the stand-ins.

use argh::FromArgs;

use crocuswharf_standin::capacity;

/// Stand-ins for the systems that crocuswharf serves.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Capacity(capacity::CapacityArgs),
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Capacity(args) => capacity::run(&args),
    }
}
