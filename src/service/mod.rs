//! The services that callers may send requests to, and the rules for each kind of service.
//!
//! A service is either a model that a pool of engines serves or a plain HTTP service. Operations of a plain service are
//! treated as not idempotent unless the service declares them so, because retrying an operation that is wrongly assumed
//! to be idempotent could run a payment twice.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::field_error::FieldErrors;
use crate::id::{PoolName, PreferenceName};

/// The complete state of one service, as contained in a change ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The kind of backend server behind the service.
    pub kind: ServiceKind,
    /// The pool whose replicas serve the service.
    pub pool: PoolName,
    /// The routing preference; the default preference applies if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preference: Option<PreferenceName>,
    /// The maximum size of a request body, in bytes.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: usize,
    /// The time limit for a complete response, in milliseconds.
    #[serde(default = "default_request_timeout_ms")]
    pub request_timeout_ms: u64,
    /// The operations of a plain service that may be retried; all others run at most once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub idempotent_operations: Vec<Operation>,
    /// The load that retries and hedged requests may add, in percent of requests.
    #[serde(default = "default_retry_budget_percent")]
    pub retry_budget_percent: u32,
    /// The service-level objectives, which the burn report evaluates.
    #[serde(default)]
    pub objectives: Objectives,
}

/// The kind of backend server behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that implement the chat completions API and cache prompt prefixes.
    Model,
    /// Any other HTTP service, reached under `/services/NAME/`.
    Plain,
}

/// An operation of a plain service: a method and a path that may end with the wildcard `*`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// The HTTP method, in upper case.
    pub method: Arc<str>,
    /// The path relative to the service, beginning with `/`; a final `*` matches any suffix.
    pub path: Arc<str>,
}

impl Operation {
    /// Returns whether a request with `method` and `path` matches this operation.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        if !self.method.eq_ignore_ascii_case(method) {
            return false;
        }
        match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == &*self.path,
        }
    }
}

impl Service {
    /// Returns whether a request is idempotent, so that it may safely run more than once.
    ///
    /// Inference has no side effects outside the engine, so every request to a model service is idempotent.
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

/// Service-level objectives, each met by a percentage of the requests in a window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Objectives {
    /// The maximum time to first token of a good request, in milliseconds.
    pub ttft_ms: u64,
    /// The maximum time between tokens of a good request, in milliseconds.
    pub token_interval_ms: u64,
    /// The percentage of requests that must meet each of the two latency objectives.
    pub latency_percent: f64,
    /// The percentage of requests that must end with a complete response.
    pub complete_percent: f64,
    /// The percentage of prompt prefix tokens that may be recomputed although some replica had them cached.
    pub avoidable_recomputation_percent: f64,
    /// The length of the window, in hours.
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

/// The highest value of `body_limit_bytes`.
const MAX_BODY_LIMIT_BYTES: usize = 64 << 20;

impl Service {
    /// Checks that all fields are in range and reports violations to `faults`.
    ///
    /// References to other objects are checked with the whole configuration.
    pub(crate) fn check(&self, faults: &mut FieldErrors<'_>) {
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

    fn check_operations(&self, faults: &mut FieldErrors<'_>) {
        let is_allowed = self.kind == ServiceKind::Plain || self.idempotent_operations.is_empty();
        let reason = "only a plain service has operations";
        faults.require(is_allowed, "idempotent_operations", reason);
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
            let prefix = operation.path.strip_suffix('*').unwrap_or(&operation.path);
            let is_path = prefix.starts_with('/') && !prefix.contains('*');
            let reason = "a path begins with / and has a * at its end at most";
            faults.require(is_path, &field("path"), reason);
        }
    }
}

impl Objectives {
    fn check(&self, faults: &mut FieldErrors<'_>) {
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
