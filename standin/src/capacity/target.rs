//! The size that the design has to carry, as the users gave it.

/// Routers.
pub(super) const NODES: f64 = 400.0;
/// Requests a second at the peak, over all routers.
pub(super) const REQUESTS_PER_SECOND: f64 = 6_600.0;
/// Client accounts.
pub(super) const ACCOUNTS: f64 = 41_000.0;
/// Models in steady use.
pub(super) const MODELS: f64 = 7.0;
/// Changes of configuration a day.
pub(super) const CHANGES_PER_DAY: f64 = 1_200.0;
/// What control may take of a core at each node, per hundred.
pub(super) const CORE_PERCENT: f64 = 2.3;
/// The memory that control may take at each node, in bytes.
pub(super) const MEMORY_BYTES: f64 = 32.0 * 1024.0 * 1024.0;
/// What control may send from each node, in bytes a second.
pub(super) const BYTES_PER_SECOND: f64 = 4_000.0;
