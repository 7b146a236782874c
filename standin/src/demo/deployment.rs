//! The two deployments that the stand-ins can play.

use std::str::FromStr;

/// The shape of one deployment as it is today.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its availability zones.
    pub zones: [&'static str; 3],
    /// The model service.
    pub model_service: &'static str,
    /// The replicas of the model service.
    pub engines: usize,
    /// The plain service.
    pub plain_service: &'static str,
    /// The replicas of the plain service.
    pub plain_replicas: usize,
    /// The replicas that may load weights at once.
    pub concurrent_loads: u32,
    /// The time that new weights take a replica, in milliseconds.
    pub weights_load_ms: u64,
    /// The price of recomputation in its routing preference, in tenths.
    pub recomputation_price_tenths: u32,
    /// The pieces of a manual, at the least and at the most.
    pub manual_pieces: (u32, u32),
}

/// Shinewell Lagos Dues and Advice Routing.
pub const SHINEWELL: Deployment = Deployment {
    name: "shinewell",
    zones: ["ikeja", "yaba", "apapa"],
    model_service: "shine-assistant",
    engines: 18,
    plain_service: "stand-ledger",
    plain_replicas: 3,
    concurrent_loads: 3,
    weights_load_ms: 300,
    recomputation_price_tenths: 30,
    manual_pieces: (2, 4),
};

/// Cedarbunk Pod Care Routing Fleet.
pub const CEDARBUNK: Deployment = Deployment {
    name: "cedarbunk",
    zones: ["coast-a", "coast-b", "coast-c"],
    model_service: "wharf-llm",
    engines: 12,
    plain_service: "dispatch-app",
    plain_replicas: 3,
    concurrent_loads: 2,
    weights_load_ms: 600,
    recomputation_price_tenths: 60,
    manual_pieces: (4, 8),
};

impl FromStr for Deployment {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "shinewell" => Ok(SHINEWELL),
            "cedarbunk" => Ok(CEDARBUNK),
            _ => Err(format!(
                "{name:?} is no deployment: use shinewell or cedarbunk"
            )),
        }
    }
}
