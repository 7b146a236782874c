//! Cli.
fn main() {}
