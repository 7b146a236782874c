//! Services: what callers may ask for, and how each kind is treated.
//!
//! A service is either a model behind an engine pool or a plain HTTP service. Operations of a plain service are not
//! idempotent unless the service says so, because a wrong guess there runs a payment twice.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::fault::Faults;
use crate::id::{PoolName, PreferenceName};

/// The whole state of one service, as a change ticket carries it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The kind of backend server behind the service.
    pub kind: ServiceKind,
    /// The pool whose replicas serve it.
    pub pool: PoolName,
    /// The routing preference that applies; the default preference where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preference: Option<PreferenceName>,
    /// The largest request body in bytes.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: usize,
    /// The longest time for a whole answer in milliseconds.
    #[serde(default = "default_request_timeout_ms")]
    pub request_timeout_ms: u64,
    /// The operations of a plain service that may be repeated; all others run at most once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub idempotent_operations: Vec<Operation>,
    /// The share of requests, per hundred, that retries and hedges may add.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: u32,
    /// The service-level objectives, for the burn report.
    #[serde(default)]
    pub objectives: Objectives,
}

/// The kinds of backend server that a service can stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that speak the chat completions interface and cache prompt openings.
    Model,
    /// Any HTTP service, called under `/services/NAME/`.
    Plain,
}

/// One operation of a plain service: a method and a path, whose last segment may be `*`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// The HTTP method, in upper case.
    pub method: Arc<str>,
    /// The path below the service, beginning with `/`; a final `*` matches any rest.
    pub path: Arc<str>,
}

impl Operation {
    /// Tells whether a call with `method` and `path` is this operation.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        if !self.method.eq_ignore_ascii_case(method) {
            return false;
        }
        match self.path.strip_suffix('*') {
            Some(stem) => path.starts_with(stem),
            None => path == &*self.path,
        }
    }
}

impl Service {
    /// Tells whether a call may safely run more than once.
    ///
    /// Answers of a model have no effect outside the engine, so every call of a model service is idempotent.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        match self.kind {
            ServiceKind::Model => true,
            ServiceKind::Plain => self
                .idempotent_operations
                .iter()
                .any(|operation| operation.matches(method, path)),
        }
    }
}

/// Service-level objectives; each is met by a share of requests over the window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objectives {
    /// The time to first token within which a request counts as good, in milliseconds.
    pub ttft_ms: u64,
    /// The time between tokens within which a request counts as good, in milliseconds.
    pub token_interval_ms: u64,
    /// The share of requests, per hundred, that must meet each of the two times.
    pub latency_percent: f64,
    /// The share of requests, per hundred, that must end with a complete answer.
    pub complete_percent: f64,
    /// The share of opening tokens, per hundred, that may be recomputed although they were warm somewhere.
    pub avoidable_recomputation_percent: f64,
    /// The window over which the shares hold, in hours.
    pub window_hours: u32,
}

impl Default for Objectives {
    fn default() -> Self {
        Self {
            ttft_ms: 370,
            token_interval_ms: 53,
            latency_percent: 95.0,
            complete_percent: 99.9,
            avoidable_recomputation_percent: 10.0,
            window_hours: 72,
        }
    }
}

const fn default_body_limit_bytes() -> usize {
    4 << 20
}

const fn default_request_timeout_ms() -> u64 {
    120_000
}

const fn default_retry_budget_percent() -> u32 {
    10
}

/// The largest request body that a service may allow, in bytes.
const MAX_BODY_LIMIT_BYTES: usize = 64 << 20;

impl Service {
    /// Checks the ranges of all fields; references are checked with the whole configuration.
    pub(crate) fn check(&self, faults: &mut Faults<'_>) {
        faults.require_range(
            "body_limit_bytes",
            self.body_limit_bytes,
            1,
            MAX_BODY_LIMIT_BYTES,
        );
        faults.require_range("request_timeout_ms", self.request_timeout_ms, 1, 3_600_000);
        faults.require_range("retry_budget_percent", self.retry_budget_percent, 0, 100);
        self.check_operations(faults);
        self.objectives.check(faults);
    }

    fn check_operations(&self, faults: &mut Faults<'_>) {
        let only_plain = self.kind == ServiceKind::Plain || self.idempotent_operations.is_empty();
        let reason = "only a plain service has operations";
        faults.require(only_plain, "idempotent_operations", reason);
        for (index, operation) in self.idempotent_operations.iter().enumerate() {
            let field = |name: &str| format!("idempotent_operations[{index}].{name}");
            let is_method = !operation.method.is_empty()
                && operation
                    .method
                    .bytes()
                    .all(|byte| byte.is_ascii_uppercase());
            faults.require(
                is_method,
                &field("method"),
                "a method is upper-case letters",
            );
            let stem = operation.path.strip_suffix('*').unwrap_or(&operation.path);
            let is_path = stem.starts_with('/') && !stem.contains('*');
            let reason = "a path begins with / and has a * at its end at most";
            faults.require(is_path, &field("path"), reason);
        }
    }
}

impl Objectives {
    fn check(&self, faults: &mut Faults<'_>) {
        faults.require_range("objectives.ttft_ms", self.ttft_ms, 1, 3_600_000);
        faults.require_range(
            "objectives.token_interval_ms",
            self.token_interval_ms,
            1,
            3_600_000,
        );
        faults.require_range(
            "objectives.latency_percent",
            self.latency_percent,
            1.0,
            100.0,
        );
        faults.require_range(
            "objectives.complete_percent",
            self.complete_percent,
            1.0,
            100.0,
        );
        let share = self.avoidable_recomputation_percent;
        faults.require_range(
            "objectives.avoidable_recomputation_percent",
            share,
            0.0,
            100.0,
        );
        faults.require_range("objectives.window_hours", self.window_hours, 1, 2_160);
    }
}
