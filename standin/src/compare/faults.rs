//! The faults that a comparison can inject.

use std::fmt;
use std::str::FromStr;

/// The faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Faults {
    /// Engines crash and restart with empty caches.
    pub(crate) crash: bool,
    /// Batches of cache events are lost.
    pub(crate) gaps: bool,
    /// The most requested prefixes change abruptly.
    pub(crate) shift: bool,
    /// A third of the routers restart at the same time.
    pub(crate) restart: bool,
}

impl FromStr for Faults {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let none = Self::default();
        match name {
            "none" => Ok(none),
            "crash" => Ok(Self {
                crash: true,
                ..none
            }),
            "gaps" => Ok(Self { gaps: true, ..none }),
            "shift" => Ok(Self {
                shift: true,
                ..none
            }),
            "restart" => Ok(Self {
                restart: true,
                ..none
            }),
            "all" => Ok(Self {
                crash: true,
                gaps: true,
                shift: true,
                restart: true,
            }),
            _ => Err(format!(
                "faults: unknown fault {name}; expected none, crash, gaps, shift, restart or all"
            )),
        }
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = [
            (self.crash, "crash"),
            (self.gaps, "gaps"),
            (self.shift, "shift"),
            (self.restart, "restart"),
        ];
        let mut on = names.iter().filter(|n| n.0).map(|n| n.1);
        match (on.clone().count(), on.next()) {
            (4, _) => f.write_str("all"),
            (_, Some(name)) => f.write_str(name),
            (_, None) => f.write_str("none"),
        }
    }
}
