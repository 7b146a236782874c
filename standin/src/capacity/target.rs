//! The target size and the budgets, as required by the users.

/// The number of routers.
pub(super) const ROUTERS: f64 = 400.0;
/// The number of replicas of model engines.
pub(super) const REPLICAS: f64 = 1_600.0;
/// The peak rate of requests per second, over all routers.
pub(super) const REQUESTS_PER_SECOND: f64 = 6_600.0;
/// The peak rate of generated tokens per second, over all routers.
pub(super) const TOKENS_PER_SECOND: f64 = 3_200_000.0;
/// The number of cached blocks, over all replicas.
pub(super) const CACHED_BLOCKS: f64 = 35_000_000.0;
/// The number of client accounts.
pub(super) const ACCOUNTS: f64 = 41_000.0;
/// The number of models in regular use.
pub(super) const MODELS: f64 = 7.0;
/// The number of configuration changes per day.
pub(super) const CHANGES_PER_DAY: f64 = 1_200.0;
/// The processor budget of control on each router, in percent of a core.
pub(super) const MAX_CORE_PERCENT: f64 = 2.3;
/// The memory budget of control on each router, in bytes.
pub(super) const MAX_MEMORY_BYTES: f64 = 32.0 * 1024.0 * 1024.0;
/// The network budget of control on each router, in bytes per second sent.
pub(super) const MAX_BYTES_PER_SECOND: f64 = 4_000.0;
