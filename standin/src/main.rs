//! Small fakes of the systems that crocuswharf serves, a demonstration and a comparison of routing policies.

mod compare;

use argh::FromArgs;

/// small fakes of the systems that crocuswharf serves, a demonstration and a comparison of routing policies
#[derive(FromArgs, Debug)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Compare(compare::CompareArgs),
}

fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Compare(args) => compare::run(&args),
    }
}
