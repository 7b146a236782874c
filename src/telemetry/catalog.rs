//! The catalog of all metrics.

use std::fmt::Write;

use metrics::Unit;

/// The type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A monotonically increasing count.
    Counter,
    /// A value that can increase and decrease.
    Gauge,
    /// A distribution of values.
    Histogram,
}

impl MetricKind {
    const fn name(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Histogram => "histogram",
        }
    }
}

/// The description of a metric.
#[derive(Clone, Copy, Debug)]
pub struct MetricDescription {
    /// The name, with the unit as its suffix.
    pub name: &'static str,
    /// The type.
    pub kind: MetricKind,
    /// The unit.
    pub unit: Unit,
    /// The names of the labels, all of low cardinality.
    pub labels: &'static [&'static str],
    /// The help text, one sentence.
    pub help: &'static str,
}

const fn metric(
    name: &'static str,
    kind: MetricKind,
    unit: Unit,
    labels: &'static [&'static str],
    help: &'static str,
) -> MetricDescription {
    MetricDescription {
        name,
        kind,
        unit,
        labels,
        help,
    }
}

/// All metrics, sorted by name.
pub const METRICS: &[MetricDescription] = &[
    metric(
        "crocuswharf_attempts_total",
        MetricKind::Counter,
        Unit::Count,
        &["router", "service", "cause"],
        "Dispatches to replicas, by cause: first, retry, hedge or resume.",
    ),
    metric(
        "crocuswharf_avoidable_tokens_total",
        MetricKind::Counter,
        Unit::Count,
        &["router", "service"],
        "Opening tokens that were recomputed although a replica held them warm.",
    ),
    metric(
        "crocuswharf_burn_rate",
        MetricKind::Gauge,
        Unit::Count,
        &["router", "service", "objective", "window"],
        "Burn rate of an objective at this router alone; 1 spends exactly the budget.",
    ),
    metric(
        "crocuswharf_gateway_beside_change_ms_total",
        MetricKind::Counter,
        Unit::Milliseconds,
        &[],
        "Time that counts as beside a change of the configuration, added when a change is applied.",
    ),
    metric(
        "crocuswharf_gateway_connections_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Connections that the gateway opened to replicas.",
    ),
    metric(
        "crocuswharf_gateway_control_panics_total",
        MetricKind::Counter,
        Unit::Count,
        &["step"],
        "Steps of the control thread and its tasks that ended with a panic.",
    ),
    metric(
        "crocuswharf_gateway_crossed_requests_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Connections on which bytes of a request arrived after the gateway had closed them.",
    ),
    metric(
        "crocuswharf_gateway_cut_offs_total",
        MetricKind::Counter,
        Unit::Count,
        &["change"],
        "Changes of the verdict whether this router reaches no replicas while others do: cut_off or restored; silent or responding for links that carry nothing.",
    ),
    metric(
        "crocuswharf_gateway_expired_orders_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Orders that were not sent because the lease had expired meanwhile.",
    ),
    metric(
        "crocuswharf_gateway_known_streams",
        MetricKind::Gauge,
        Unit::Count,
        &[],
        "Streams whose release this router knows, since it has begun them or was told of them.",
    ),
    metric(
        "crocuswharf_gateway_limit_requests_total",
        MetricKind::Counter,
        Unit::Count,
        &["outcome"],
        "Sends to replicas that name a limit, by whether they were granted or denied.",
    ),
    metric(
        "crocuswharf_gateway_limited_replicas",
        MetricKind::Gauge,
        Unit::Count,
        &[],
        "Replicas whose limit is applied, also for a short time after its end.",
    ),
    metric(
        "crocuswharf_gateway_limits_per_second",
        MetricKind::Gauge,
        Unit::Count,
        &[],
        "The requests per second that the limited replicas get together from all routers.",
    ),
    metric(
        "crocuswharf_gateway_memory_budget_bytes",
        MetricKind::Gauge,
        Unit::Bytes,
        &[],
        "The memory that callers' connections may hold together.",
    ),
    metric(
        "crocuswharf_gateway_memory_evictions_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Callers' connections that were evicted, since memory or places for others were used up.",
    ),
    metric(
        "crocuswharf_gateway_memory_held_bytes",
        MetricKind::Gauge,
        Unit::Bytes,
        &[],
        "The memory that callers' connections hold together.",
    ),
    metric(
        "crocuswharf_gateway_memory_refusals_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Requests and connections that were refused, since the memory for callers was used up.",
    ),
    metric(
        "crocuswharf_gateway_observations_dropped_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Observations of replicas that the gateway dropped because the control thread's queue was full.",
    ),
    metric(
        "crocuswharf_gateway_outdated_begins_total",
        MetricKind::Counter,
        Unit::Count,
        &["bound"],
        "Requests that replicas began on weights for which newer ones had been named 1.5 s ago or earlier, within or beyond the bound.",
    ),
    metric(
        "crocuswharf_gateway_outdated_withdrawals_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Requests that were taken off replicas that had not begun them, since their weights became too old.",
    ),
    metric(
        "crocuswharf_gateway_own_answers_total",
        MetricKind::Counter,
        Unit::Count,
        &["status", "reason"],
        "Answers that the gateway gave itself, by status and reason.",
    ),
    metric(
        "crocuswharf_gateway_path_changes_total",
        MetricKind::Counter,
        Unit::Count,
        &["path"],
        "Changes of the path on which connections to a replica are opened: direct, or relayed over other routers.",
    ),
    metric(
        "crocuswharf_gateway_placements_beyond_memory_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Placements at a replica without free memory for the request, since no other one was better.",
    ),
    metric(
        "crocuswharf_gateway_quota_charged_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Units of quotas that sends used without being granted: repeated and resumed ones.",
    ),
    metric(
        "crocuswharf_gateway_quota_denials_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Waiting requests for which this router denied quota as the owner of their account.",
    ),
    metric(
        "crocuswharf_gateway_quota_granted_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Units of quotas that this router granted as the owner of accounts.",
    ),
    metric(
        "crocuswharf_gateway_quota_owned_accounts",
        MetricKind::Gauge,
        Unit::Count,
        &[],
        "Accounts with a quota that this router owns.",
    ),
    metric(
        "crocuswharf_gateway_quota_requests_total",
        MetricKind::Counter,
        Unit::Count,
        &["outcome"],
        "Requests of accounts with a quota, by whether it was granted or denied.",
    ),
    metric(
        "crocuswharf_gateway_quota_share",
        MetricKind::Gauge,
        Unit::Count,
        &[],
        "Share of each quota that this router may grant; below 1 while routers are missing.",
    ),
    metric(
        "crocuswharf_gateway_quota_timeouts_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Requests whose quota was decided without the owner, since they had waited too long.",
    ),
    metric(
        "crocuswharf_gateway_quota_unanswered_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Quota requests that the owner of the account did not answer.",
    ),
    metric(
        "crocuswharf_gateway_refused_parts",
        MetricKind::Gauge,
        Unit::Count,
        &[],
        "Parts of prompts under which requests are refused, since replicas crashed under them.",
    ),
    metric(
        "crocuswharf_gateway_refused_requests",
        MetricKind::Gauge,
        Unit::Count,
        &[],
        "Whole requests that are refused, since replicas crashed under them.",
    ),
    metric(
        "crocuswharf_gateway_relay_requests_total",
        MetricKind::Counter,
        Unit::Count,
        &["outcome"],
        "Connections that this router asked other routers to open for it, by their answer.",
    ),
    metric(
        "crocuswharf_gateway_relays_served_total",
        MetricKind::Counter,
        Unit::Count,
        &["outcome"],
        "Connections that other routers asked this one to open for them, by its answer.",
    ),
    metric(
        "crocuswharf_gateway_replica_probes_total",
        MetricKind::Counter,
        Unit::Count,
        &["outcome"],
        "Connections that this router opened to find out whether an unreachable replica is back, by outcome: connected or failed.",
    ),
    metric(
        "crocuswharf_gateway_replica_signals_total",
        MetricKind::Counter,
        Unit::Count,
        &["signal"],
        "Responses in which a replica asked for no or fewer requests, by signal: leaving, retry_after, or a change of its limit.",
    ),
    metric(
        "crocuswharf_gateway_replica_speed",
        MetricKind::Gauge,
        Unit::Count,
        &["service", "rank"],
        "Prefill rates of a service's replicas as multiples of 50 tokens per millisecond: rank is min, median or max.",
    ),
    metric(
        "crocuswharf_gateway_request_ends_total",
        MetricKind::Counter,
        Unit::Count,
        &["end", "closed_by"],
        "Requests that have ended: whole, part or none of the answer was taken; closed_by says who ended the last two.",
    ),
    metric(
        "crocuswharf_gateway_request_seconds",
        MetricKind::Histogram,
        Unit::Seconds,
        &["route"],
        "Time from a request's head to the end of its answer.",
    ),
    metric(
        "crocuswharf_gateway_requests_beside_change_total",
        MetricKind::Counter,
        Unit::Count,
        &["end", "beside_change"],
        "Requests that were answered whole or that the gateway cut, beside changes of the configuration and away from them.",
    ),
    metric(
        "crocuswharf_gateway_requests_total",
        MetricKind::Counter,
        Unit::Count,
        &["route", "outcome"],
        "Requests that a replica answered, by how the answer ended.",
    ),
    metric(
        "crocuswharf_gateway_speed_observations_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Streams whose time to the first event told about the speed of a replica.",
    ),
    metric(
        "crocuswharf_gateway_store_restorations_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "How often the platform's store came back from an older copy.",
    ),
    metric(
        "crocuswharf_gateway_suspected_parts",
        MetricKind::Gauge,
        Unit::Count,
        &[],
        "Parts of prompts under which a replica crashed, and no answer was kept since.",
    ),
    metric(
        "crocuswharf_gateway_suspected_requests",
        MetricKind::Gauge,
        Unit::Count,
        &[],
        "Whole requests under which replicas crashed and none has answered since.",
    ),
    metric(
        "crocuswharf_gateway_take_ups_total",
        MetricKind::Counter,
        Unit::Count,
        &["origin"],
        "Streams that callers took up again, by whether their release was known, the sole one, unknown or unconfirmed.",
    ),
    metric(
        "crocuswharf_gateway_unreachable_replicas",
        MetricKind::Gauge,
        Unit::Count,
        &[],
        "Replicas that requests avoid, since several routers could not connect to them.",
    ),
    metric(
        "crocuswharf_observations_dropped_total",
        MetricKind::Counter,
        Unit::Count,
        &[],
        "Observations that traffic threads dropped because the control thread's queue was full.",
    ),
    metric(
        "crocuswharf_opening_tokens_total",
        MetricKind::Counter,
        Unit::Count,
        &["router", "service"],
        "Tokens of prompt openings in ended requests.",
    ),
    metric(
        "crocuswharf_peer_bytes_total",
        MetricKind::Counter,
        Unit::Bytes,
        &["kind", "direction"],
        "Bytes between routers, by kind of frame and direction.",
    ),
    metric(
        "crocuswharf_peer_dropped_frames_total",
        MetricKind::Counter,
        Unit::Count,
        &["kind"],
        "Frames between routers that were dropped for want of room or connection.",
    ),
    metric(
        "crocuswharf_request_duration_seconds",
        MetricKind::Histogram,
        Unit::Seconds,
        &["router", "service"],
        "Time from a request to the end of its answer.",
    ),
    metric(
        "crocuswharf_requests_total",
        MetricKind::Counter,
        Unit::Count,
        &["router", "service", "ending"],
        "Ended requests, by ending: complete, incomplete, refused or caller.",
    ),
    metric(
        "crocuswharf_store_calls_total",
        MetricKind::Counter,
        Unit::Count,
        &["kind", "outcome"],
        "Calls to the platform's object API, by kind and outcome.",
    ),
    metric(
        "crocuswharf_time_to_first_token_seconds",
        MetricKind::Histogram,
        Unit::Seconds,
        &["router", "service"],
        "Time from a request to the first token of its answer, or the first byte of a plain one.",
    ),
    metric(
        "crocuswharf_token_interval_seconds",
        MetricKind::Histogram,
        Unit::Seconds,
        &["router", "service"],
        "Mean time between the tokens of one answer.",
    ),
    metric(
        "crocuswharf_warm_tokens_expected_total",
        MetricKind::Counter,
        Unit::Count,
        &["router", "service"],
        "Prompt tokens that were expected to be warm at the chosen replica.",
    ),
    metric(
        "crocuswharf_warm_tokens_found_total",
        MetricKind::Counter,
        Unit::Count,
        &["router", "service"],
        "Prompt tokens that engines found warm.",
    ),
];

/// Registers the help text and unit of each metric with the recorder.
pub(super) fn describe_all() {
    for metric in METRICS {
        match metric.kind {
            MetricKind::Counter => {
                metrics::describe_counter!(metric.name, metric.unit, metric.help);
            }
            MetricKind::Gauge => metrics::describe_gauge!(metric.name, metric.unit, metric.help),
            MetricKind::Histogram => {
                metrics::describe_histogram!(metric.name, metric.unit, metric.help);
            }
        }
    }
}

/// Renders the table of metrics in docs/operations/metrics.md.
#[must_use]
pub fn render_metrics_page() -> String {
    let mut page = String::from("| metric | kind | labels | meaning |\n|---|---|---|---|\n");
    for metric in METRICS {
        let _ = writeln!(
            page,
            "| `{}` | {} | {} | {} |",
            metric.name,
            metric.kind.name(),
            metric.labels.join(", "),
            metric.help
        );
    }
    page
}
