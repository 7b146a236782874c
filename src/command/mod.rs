//! The operators' command line, `crocuswharf`.
//!
//! Each subcommand has a module with its arguments and a function that returns what to print. The exit status is 0
//! where what was asked for is done, 1 where it was refused or failed, and 2 for wrong usage.

use std::process::ExitCode;

use argh::FromArgs;

mod client;
mod settings;
#[cfg(test)]
mod tests;
mod ticket;

pub(crate) use self::client::OperatorClient;
pub(crate) use self::settings::CommandSettings;

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
    match command {
        Command::Ticket(command) => ticket::run(command, connect).await,
    }
}
