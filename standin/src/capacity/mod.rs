//! Measures what each role of a router costs at several sizes and projects it to the target's size.
//!
//! Each figure is measured at sizes that fit one machine, fitted by a straight line, and read off at the target's size.
//! A figure whose line fits badly shows so by its coefficient of determination. docs/CAPACITY.md holds the result.

use argh::FromArgs;

mod fit;
mod membership;
mod peers;
mod records;
mod report;
mod target;
#[cfg(test)]
mod tests;
mod usage;

use self::report::Report;

/// Measures slopes and projects them to the target's size.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityArgs {
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
    /// measure only roles whose name contains this
    #[argh(option)]
    only: Option<String>,
}

type Measure = fn() -> anyhow::Result<Vec<report::Figure>>;

/// The roles in the order of the report.
const ROLES: [(&str, Measure); 3] = [
    ("peers", peers::measure),
    ("records", records::measure),
    ("membership", membership::measure),
];

/// Measures and prints.
///
/// # Errors
///
/// Fails where a role can't be measured on this machine.
pub fn run(args: &CapacityArgs) -> anyhow::Result<()> {
    let mut report = Report::default();
    for (name, measure) in ROLES {
        let is_wanted = args.only.as_ref().is_none_or(|only| name.contains(&**only));
        if !is_wanted {
            continue;
        }
        eprintln!("measuring {name}");
        report.figures.extend(measure()?);
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", report.render());
    }
    Ok(())
}
