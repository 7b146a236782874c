//! Services: what callers may ask for, and how each kind is treated.
//!
//! A service is either a model behind an engine pool or a plain HTTP service. Operations of a plain service are not
//! idempotent unless the service says so, because a wrong guess there runs a payment twice.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

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
