//! Standin.
fn main() {}
