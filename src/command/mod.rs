//! The operators' command line, `crocuswharf`.
//!
//! Each subcommand has a module with its arguments and a function that returns what to print. The exit status is 0
//! where what was asked for is done, 1 where it was refused or failed, and 2 for wrong usage.

use std::io::IsTerminal;
use std::process::ExitCode;

use argh::FromArgs;

use crate::error::Error;

mod burn;
mod client;
mod explain;
mod progress;
mod saved;
mod settings;
mod status;
#[cfg(test)]
mod tests;
mod ticket;

pub use self::burn::{BurnArgs, burn};
pub(crate) use self::client::OperatorClient;
pub use self::explain::{ExplainArgs, explain};
pub(crate) use self::settings::CommandSettings;
pub use self::status::{StatusArgs, status};

/// Drives a crocuswharf deployment.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// the settings file; crocuswharf.json where absent
    #[argh(option, default = "String::from(\"crocuswharf.json\")")]
    settings: String,
    /// print the version
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Burn(BurnArgs),
    Explain(ExplainArgs),
    Status(StatusArgs),
    Timeline(saved::TimelineArgs),
    Ticket(ticket::TicketCommand),
}

/// How a command ended.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CommandOutcome {
    /// What was asked for is done; the text goes to the standard output.
    Done(String),
    /// It was refused or failed; the text goes to the standard error.
    Failed(String),
    /// The command was used wrongly; the text goes to the standard error.
    Usage(String),
}

/// Runs the command line `arguments`, the program's name first.
pub async fn run(arguments: &[String]) -> ExitCode {
    match outcome(arguments).await {
        CommandOutcome::Done(text) => {
            print_text(&text);
            ExitCode::SUCCESS
        }
        CommandOutcome::Failed(text) => {
            eprintln!("{}", text.trim_end());
            ExitCode::from(1)
        }
        CommandOutcome::Usage(text) => {
            eprintln!("{}", text.trim_end());
            ExitCode::from(2)
        }
    }
}

fn print_text(text: &str) {
    use std::io::Write;
    // A reader that closed the pipe wants no more, which is no failure of the command.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}

async fn outcome(arguments: &[String]) -> CommandOutcome {
    let words: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["crocuswharf"], &words) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => return CommandOutcome::Done(exit.output),
        Err(exit) => return CommandOutcome::Usage(exit.output),
    };
    if arguments.version {
        return CommandOutcome::Done(format!("crocuswharf {}", env!("CARGO_PKG_VERSION")));
    }
    let Some(command) = arguments.command else {
        return CommandOutcome::Usage("a command is missing; try crocuswharf --help".to_owned());
    };
    let connect = || {
        CommandSettings::read(&arguments.settings)
            .and_then(|settings| OperatorClient::new(&settings))
    };
    let colour = std::io::stdout().is_terminal();
    match command {
        Command::Burn(args) => {
            report(connect, async |client| {
                burn(&args, colour, async |path| fetch(&client, path).await).await
            })
            .await
        }
        Command::Explain(args) if !args.log.is_empty() => {
            printed(saved::explain_from_logs(&args.request, &args.log))
        }
        Command::Explain(args) => {
            report(connect, async |client| {
                explain(&args, async |path| fetch(&client, path).await).await
            })
            .await
        }
        Command::Status(args) => {
            report(connect, async |client| {
                status(&args, colour, async |path| fetch(&client, path).await).await
            })
            .await
        }
        Command::Timeline(args) => printed(saved::show_timeline(&args)),
        Command::Ticket(command) => ticket::run(command, connect).await,
    }
}

fn printed(text: Result<String, Error>) -> CommandOutcome {
    match text {
        Ok(text) => CommandOutcome::Done(text),
        Err(error) => CommandOutcome::Failed(error.to_string()),
    }
}

/// Runs a command that reads one report from a router.
async fn report(
    connect: impl FnOnce() -> Result<OperatorClient, Error>,
    run: impl AsyncFnOnce(OperatorClient) -> anyhow::Result<String>,
) -> CommandOutcome {
    let client = match connect() {
        Ok(client) => client,
        Err(error) => return CommandOutcome::Failed(error.to_string()),
    };
    match run(client).await {
        Ok(text) => CommandOutcome::Done(text),
        Err(error) => CommandOutcome::Failed(format!("{error:#}")),
    }
}

async fn fetch(client: &OperatorClient, path: &str) -> anyhow::Result<String> {
    let answer = client.get(path).await?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    anyhow::ensure!(
        answer.is_success(),
        "the router answered {}: {text}",
        answer.status
    );
    Ok(text)
}
