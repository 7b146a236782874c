//! Measures the cost of each role of a router at several sizes and extrapolates it to the target size.
//!
//! Each figure is measured at sizes that fit on one machine, fitted with a straight line and extrapolated to the target
//! size. The coefficient of determination shows how well the line fits. docs/CAPACITY.md holds the result.

use argh::FromArgs;

mod configuration;
mod fit;
mod membership;
mod owner;
mod peers;
mod records;
mod report;
mod router;
mod target;
#[cfg(test)]
mod tests;
mod usage;

use self::report::Report;

/// measure the cost of each role and extrapolate it to the target size
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityArgs {
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
    /// measure only the roles whose name contains this text
    #[argh(option)]
    only: Option<String>,
}

type Measure = fn() -> anyhow::Result<Vec<report::Figure>>;

/// The roles in the order of the report. Roles that measure memory precede those that free much of it.
const ROLES: [(&str, Measure); 6] = [
    ("membership", membership::measure),
    ("owner", owner::measure),
    ("peers", peers::measure),
    ("records", records::measure),
    ("configuration", configuration::measure),
    ("router", router::measure),
];

/// Measures the selected roles and prints the report.
///
/// # Errors
///
/// Returns an error if a role can't be measured on this machine.
pub fn run(args: &CapacityArgs) -> anyhow::Result<()> {
    let only = args.only.clone();
    // Some roles start a runtime, which must not happen on a thread that already belongs to one.
    let measured = std::thread::spawn(move || measure_roles(only.as_deref())).join();
    let report = measured.map_err(|_| anyhow::anyhow!("a measurement panicked"))??;
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
