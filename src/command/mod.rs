//! The command line for operators, `crocuswharf`.
//!
//! Each subcommand has a module with its arguments and a function that returns the text to print. The exit status is 0
//! on success, 1 if the operation was refused or failed, and 2 for a usage error.

use std::io::IsTerminal;
use std::process::ExitCode;

use argh::FromArgs;

use crate::error::Error;

mod burn;
mod client;
mod explain;
mod progress;
mod saved_logs;
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

/// Operate a crocuswharf deployment.
#[derive(Debug, FromArgs)]
struct Arguments {
    /// the settings file (default crocuswharf.json)
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
    Timeline(saved_logs::TimelineArgs),
    Ticket(ticket::TicketCommand),
}

/// The result of a command.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum CommandOutcome {
    /// The command succeeded; the text is printed to standard output.
    Done(String),
    /// The operation was refused or failed; the text is printed to standard error.
    Failed(String),
    /// The command line is invalid; the text is printed to standard error.
    Usage(String),
}

/// Runs the command line `arguments`, whose first element is the program name.
pub async fn run(arguments: &[String]) -> ExitCode {
    match execute(arguments).await {
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
    // A write fails if the reader has closed the pipe, which is not an error of the command.
    let _ = writeln!(std::io::stdout(), "{}", text.trim_end());
}

/// Parses and executes the command line `arguments`.
async fn execute(arguments: &[String]) -> CommandOutcome {
    let args: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    let arguments = match Arguments::from_args(&["crocuswharf"], &args) {
        Ok(arguments) => arguments,
        Err(exit) if exit.status.is_ok() => return CommandOutcome::Done(exit.output),
        Err(exit) => return CommandOutcome::Usage(exit.output),
    };
    if arguments.version {
        return CommandOutcome::Done(format!("crocuswharf {}", env!("CARGO_PKG_VERSION")));
    }
    let Some(command) = arguments.command else {
        return CommandOutcome::Usage("missing command; see crocuswharf --help".to_owned());
    };
    let connect = || {
        CommandSettings::read(&arguments.settings)
            .and_then(|settings| OperatorClient::new(&settings))
    };
    let colour = std::io::stdout().is_terminal();
    match command {
        Command::Burn(args) => {
            run_report(connect, async |client| {
                burn(&args, colour, async |path| fetch(&client, path).await).await
            })
            .await
        }
        Command::Explain(args) if !args.log.is_empty() => {
            into_outcome(saved_logs::explain_from_logs(&args.request, &args.log))
        }
        Command::Explain(args) => {
            run_report(connect, async |client| {
                explain(&args, async |path| fetch(&client, path).await).await
            })
            .await
        }
        Command::Status(args) => {
            run_report(connect, async |client| {
                status(&args, colour, async |path| fetch(&client, path).await).await
            })
            .await
        }
        Command::Timeline(args) => into_outcome(saved_logs::render_timeline(&args)),
        Command::Ticket(command) => ticket::run(command, connect).await,
    }
}

fn into_outcome(text: Result<String, Error>) -> CommandOutcome {
    match text {
        Ok(text) => CommandOutcome::Done(text),
        Err(error) => CommandOutcome::Failed(error.to_string()),
    }
}

/// Connects, runs a command that fetches one report, and converts its result.
async fn run_report(
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

/// Fetches `path` from the operator API and fails unless the status code is in the 2xx range.
async fn fetch(client: &OperatorClient, path: &str) -> anyhow::Result<String> {
    let response = client.get(path).await?;
    let text = String::from_utf8_lossy(&response.body).into_owned();
    anyhow::ensure!(
        response.is_success(),
        "the router returned status {}: {text}",
        response.status
    );
    Ok(text)
}
