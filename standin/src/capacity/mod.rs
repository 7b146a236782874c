//! Measures what each role of a router costs at several sizes and projects it to the target's size.
//!
//! Each figure is measured at sizes that fit one machine, fitted by a straight line, and read off at the target's size.
//! A figure whose line fits badly shows so by its coefficient of determination. docs/CAPACITY.md holds the result.

use argh::FromArgs;

mod configuration;
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

/// The roles in the order of the report; those that measure memory come before those that free much of it.
const ROLES: [(&str, Measure); 4] = [
    ("membership", membership::measure),
    ("peers", peers::measure),
    ("records", records::measure),
    ("configuration", configuration::measure),
];

/// Measures and prints.
///
/// # Errors
///
/// Fails where a role can't be measured on this machine.
pub fn run(args: &CapacityArgs) -> anyhow::Result<()> {
    let only = args.only.clone();
    // A thread of its own, because some roles drive a runtime and the program stands in one already.
    let measured = std::thread::spawn(move || measure_roles(only.as_deref())).join();
    let report = measured.map_err(|_| anyhow::anyhow!("a measurement has panicked"))??;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", report.render());
    }
    Ok(())
}

fn measure_roles(only: Option<&str>) -> anyhow::Result<Report> {
    let mut report = Report::default();
    for (name, measure) in ROLES {
        if only.is_some_and(|only| !name.contains(only)) {
            continue;
        }
        eprintln!("measuring {name}");
        report.figures.extend(measure()?);
    }
    Ok(report)
}
