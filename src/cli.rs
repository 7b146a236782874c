//! Command-line parsing with the exit codes shared by all programs: 0 success, 1 rejected or failed, 2 incorrect usage.

use std::path::Path;

use argh::TopLevelCommand;

/// The exit code for incorrect command-line usage.
pub const EXIT_USAGE: u8 = 2;

/// Parses the command-line arguments, or prints the help text or the error and exits.
///
/// `argh` itself exits with 1 on incorrect usage, which scripts could not distinguish from a rejection.
#[must_use]
pub fn parse_args<T: TopLevelCommand>() -> T {
    let arguments: Vec<String> = std::env::args().collect();
    let program = arguments
        .first()
        .map(Path::new)
        .and_then(Path::file_name)
        .and_then(|name| name.to_str())
        .unwrap_or("crocuswharf");
    let rest: Vec<&str> = arguments.iter().skip(1).map(String::as_str).collect();
    match T::from_args(&[program], &rest) {
        Ok(parsed) => parsed,
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            std::process::exit(0)
        }
        Err(exit) => {
            eprintln!(
                "{}\nRun {program} --help for more information.",
                exit.output
            );
            std::process::exit(i32::from(EXIT_USAGE))
        }
    }
}
