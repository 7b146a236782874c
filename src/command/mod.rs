//! The operators' command line.

mod burn;
mod explain;
mod progress;
mod status;
#[cfg(test)]
mod tests;

pub use self::burn::{BurnArgs, burn};
pub use self::explain::{ExplainArgs, explain};
pub use self::status::{StatusArgs, status};
