//! The burn report: the merged statistics of all members.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::burn::detail::{LatencyHistogram, SliceDetail};
use crate::burn::message::{HistogramMessage, MemberStats, ServiceStats};
use crate::burn::sketch::TopK;
use crate::burn::{EventCounts, ObjectiveKind, Window};
use crate::error::Error;
use crate::id::{RouterId, ServiceName};
use crate::service::Objectives;

/// The share of the error budget whose consumption within [`Window::Hour`] triggers the fast alarm.
const FAST_BUDGET_SHARE: f64 = 0.10;
/// The share of the error budget whose consumption within [`Window::SixHours`] triggers the slow alarm.
const SLOW_BUDGET_SHARE: f64 = 0.25;
/// The upper bound of an alarm threshold, as a share of the burn rate at which every event is bad.
const MAX_THRESHOLD_SHARE: f64 = 0.72;
/// The minimum number of bad requests that can raise an alarm.
const MIN_BAD_REQUESTS: u64 = 5;
/// The minimum number of recomputed tokens that can raise an alarm.
const MIN_BAD_TOKENS: u64 = 10_000;
/// The maximum number of accounts, replicas and zones listed for each objective.
const MAX_CONTRIBUTORS: usize = 5;

/// The result of querying one member for its statistics.
#[derive(Debug)]
pub struct MemberReply {
    /// The member.
    pub router: RouterId,
    /// Its statistics, or the error that prevented the query.
    pub stats: Result<MemberStats, Error>,
}

/// The merged report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The window of the latencies, contributors and series.
    pub window: Window,
    /// The members whose statistics are included.
    pub members: Vec<RouterId>,
    /// The members that could not be queried; their requests are not included.
    pub missing: Vec<MissingMember>,
    /// The shortest time for which an included member has been counting, in seconds.
    pub shortest_held_s: u64,
    /// The longest time for which an included member has been counting, in seconds.
    pub longest_held_s: u64,
    /// The reports of the services.
    pub services: Vec<ServiceReport>,
}

/// A member that could not be queried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingMember {
    /// The member.
    pub router: RouterId,
    /// The reason why it could not be queried.
    pub reason: String,
}

/// The burn report of one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The name of the service.
    pub service: ServiceName,
    /// The number of requests within the report's window.
    pub requests: u64,
    /// The times to first token.
    pub ttft: LatencyReport,
    /// The mean times between tokens.
    pub token_interval: LatencyReport,
    /// The reports of the objectives.
    pub objectives: Vec<ObjectiveReport>,
}

/// Percentiles of a merged histogram, in milliseconds; `None` if the histogram is empty.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LatencyReport {
    /// The number of recorded latencies.
    pub count: u64,
    /// The median.
    pub p50_ms: Option<u64>,
    /// The 95th percentile.
    pub p95_ms: Option<u64>,
    /// The 99th percentile.
    pub p99_ms: Option<u64>,
}

/// The burn report of one objective.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectiveReport {
    /// The objective.
    pub objective: ObjectiveKind,
    /// The limit of a latency objective, in milliseconds.
    pub limit_ms: Option<u64>,
    /// The share of events that may be bad, in percent.
    pub allowed_percent: f64,
    /// The remaining share of the error budget, in percent; negative if overspent, `None` without events.
    pub budget_left_percent: Option<f64>,
    /// The burn rate over each window; a rate of 1 spends exactly the budget over the objective's window.
    pub burn_rates: Vec<BurnRate>,
    /// The alarm raised for this objective.
    pub alarm: Alarm,
    /// The client accounts with the most bad events.
    pub accounts: Vec<ContributorReport>,
    /// The replicas with the most bad events.
    pub replicas: Vec<ContributorReport>,
    /// The availability zones with the most bad events.
    pub zones: Vec<ContributorReport>,
    /// The burn rate in each time slice of the window, oldest first; `None` for slices without events.
    pub series: Vec<Option<f64>>,
}

/// The burn rate over one window.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct BurnRate {
    /// The window.
    pub window: Window,
    /// The number of good events.
    pub good: u64,
    /// The number of bad events.
    pub bad: u64,
    /// The share of bad events divided by the allowed share; `None` without events.
    pub rate: Option<f64>,
}

/// The severity of an objective's burn rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alarm {
    /// No action needed.
    None,
    /// The budget will be exhausted in about a day; investigate during working hours.
    Slow,
    /// The budget will be exhausted within hours; act immediately.
    Fast,
}

/// A contributor to the bad events of an objective.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ContributorReport {
    /// The name of the account, replica or zone.
    pub name: Arc<str>,
    /// The estimated number of bad events that it caused: at least `bad - error` and at most `bad`.
    pub bad: u64,
    /// The number of these events that may belong to other names.
    pub error: u64,
    /// Its share of all bad events, in percent.
    pub share_percent: f64,
}

/// The statistics of one service, merged over all members.
#[derive(Default)]
struct MergedService {
    windows: [EventCounts; 4],
    series: Vec<EventCounts>,
    detail: SliceDetail,
}

impl Report {
    /// Merges the members' `replies` over `window` for the services in `objectives`.
    ///
    /// A service without statistics is listed without burn rates. Statistics of a service that is not in `objectives`
    /// are omitted, because they cannot be evaluated without objectives.
    #[must_use]
    pub fn merge(
        objectives: &BTreeMap<ServiceName, Objectives>,
        window: Window,
        replies: Vec<MemberReply>,
    ) -> Self {
        let mut report = Self {
            window,
            members: Vec::new(),
            missing: Vec::new(),
            shortest_held_s: u64::MAX,
            longest_held_s: 0,
            services: Vec::new(),
        };
        let mut merged: BTreeMap<&str, MergedService> = BTreeMap::new();
        for name in objectives.keys() {
            merged.insert(name, MergedService::default());
        }
        for reply in replies {
            report.merge_reply(reply, &mut merged);
        }
        report.shortest_held_s = report.shortest_held_s.min(report.longest_held_s);
        for (name, objectives) in objectives {
            let service = ServiceReport::new(name, objectives, window, &merged[&**name]);
            report.services.push(service);
        }
        report
    }

    fn merge_reply(&mut self, reply: MemberReply, merged: &mut BTreeMap<&str, MergedService>) {
        let stats = match reply.stats {
            Ok(stats) => stats,
            Err(error) => {
                self.missing.push(MissingMember {
                    router: reply.router,
                    reason: error.to_string(),
                });
                return;
            }
        };
        let recorded_s = stats.recorded_ms / 1_000;
        self.shortest_held_s = self.shortest_held_s.min(recorded_s);
        self.longest_held_s = self.longest_held_s.max(recorded_s);
        for service in &stats.services {
            if let Some(merged) = merged.get_mut(&*service.service) {
                merged.add(service);
            }
        }
        self.members.push(reply.router);
    }

    /// Returns the most severe alarm of all services.
    #[must_use]
    pub fn alarm(&self) -> Alarm {
        let objectives = self.services.iter().flat_map(|service| &service.objectives);
        objectives
            .map(|objective| objective.alarm)
            .max()
            .unwrap_or(Alarm::None)
    }
}

impl MergedService {
    fn add(&mut self, stats: &ServiceStats) {
        for (total, part) in self.windows.iter_mut().zip(&stats.windows) {
            total.add(&EventCounts::from(part));
        }
        let max_slices = Window::ALL.map(Window::counter_slices).into_iter().max();
        let slices = stats.series.len().min(max_slices.unwrap_or(0));
        if self.series.len() < slices {
            self.series.resize(slices, EventCounts::default());
        }
        for (total, part) in self.series.iter_mut().zip(&stats.series) {
            total.add(&EventCounts::from(part));
        }
        let empty = HistogramMessage::default();
        self.detail.merge(&SliceDetail::decode(
            stats.ttft.as_ref().unwrap_or(&empty),
            stats.token_interval.as_ref().unwrap_or(&empty),
            &stats.contributors,
        ));
    }
}

impl ServiceReport {
    fn new(
        name: &ServiceName,
        objectives: &Objectives,
        window: Window,
        merged: &MergedService,
    ) -> Self {
        Self {
            service: name.clone(),
            requests: merged.windows[window as usize].requests,
            ttft: LatencyReport::new(merged.detail.ttft()),
            token_interval: LatencyReport::new(merged.detail.token_interval()),
            objectives: ObjectiveKind::ALL
                .map(|kind| ObjectiveReport::new(kind, objectives, window, merged))
                .to_vec(),
        }
    }
}

impl LatencyReport {
    fn new(latency: &LatencyHistogram) -> Self {
        Self {
            count: latency.len(),
            p50_ms: latency.percentile_ms(50.0),
            p95_ms: latency.percentile_ms(95.0),
            p99_ms: latency.percentile_ms(99.0),
        }
    }
}

impl ObjectiveReport {
    fn new(
        kind: ObjectiveKind,
        objectives: &Objectives,
        window: Window,
        merged: &MergedService,
    ) -> Self {
        let allowed_share = kind.allowed_share(objectives);
        let burn_rates: Vec<BurnRate> = Window::ALL
            .map(|each| BurnRate::new(each, kind, allowed_share, &merged.windows[each as usize]))
            .to_vec();
        let budget = budget_rate(&burn_rates, objectives);
        let contributors = merged.detail.contributors(kind);
        let bad = merged.windows[window as usize].bad[kind as usize];
        Self {
            objective: kind,
            limit_ms: match kind {
                ObjectiveKind::Ttft => Some(objectives.ttft_ms),
                ObjectiveKind::TokenInterval => Some(objectives.token_interval_ms),
                ObjectiveKind::Complete | ObjectiveKind::Recomputation => None,
            },
            allowed_percent: allowed_share * 100.0,
            budget_left_percent: budget.map(|rate| (1.0 - rate) * 100.0),
            alarm: evaluate_alarm(kind, objectives, allowed_share, &burn_rates),
            burn_rates,
            accounts: top_contributors(&contributors.accounts, bad),
            replicas: top_contributors(&contributors.replicas, bad),
            zones: top_contributors(&contributors.zones, bad),
            series: merged
                .series
                .iter()
                .rev()
                .map(|counts| counts.burn_rate(kind, allowed_share))
                .collect(),
        }
    }
}

impl BurnRate {
    fn new(window: Window, kind: ObjectiveKind, allowed_share: f64, counts: &EventCounts) -> Self {
        Self {
            window,
            good: counts.good[kind as usize],
            bad: counts.bad[kind as usize],
            rate: counts.burn_rate(kind, allowed_share),
        }
    }
}

/// Returns the burn rate over the [`Window`] closest to the objective's own window, which equals the spent share of
/// the budget.
fn budget_rate(burn_rates: &[BurnRate], objectives: &Objectives) -> Option<f64> {
    let window_s = u64::from(objectives.window_hours) * 3_600;
    let nearest = burn_rates
        .iter()
        .min_by_key(|burn| burn.window.span().as_secs().abs_diff(window_s));
    nearest.and_then(|burn| burn.rate)
}

/// Returns the alarm for the given burn rates.
///
/// An alarm requires a long window, which shows that the burn is significant, and a short one, which shows that it
/// continues.
fn evaluate_alarm(
    kind: ObjectiveKind,
    objectives: &Objectives,
    allowed_share: f64,
    burn_rates: &[BurnRate],
) -> Alarm {
    let window_hours = f64::from(objectives.window_hours);
    let max_rate = 1.0 / allowed_share;
    let threshold = |share: f64, hours: f64| {
        (share * window_hours / hours).clamp(1.0, (MAX_THRESHOLD_SHARE * max_rate).max(1.0))
    };
    let min_bad = match kind {
        ObjectiveKind::Recomputation => MIN_BAD_TOKENS,
        _ => MIN_BAD_REQUESTS,
    };
    let exceeds = |window: Window, limit: f64| {
        let burn = &burn_rates[window as usize];
        burn.bad >= min_bad && burn.rate.is_some_and(|rate| rate >= limit)
    };
    let fast = threshold(FAST_BUDGET_SHARE, 1.0);
    let slow = threshold(SLOW_BUDGET_SHARE, 6.0);
    if exceeds(Window::Hour, fast) && exceeds(Window::FiveMinutes, fast) {
        Alarm::Fast
    } else if exceeds(Window::SixHours, slow) && exceeds(Window::Hour, slow) {
        Alarm::Slow
    } else {
        Alarm::None
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a share needs no more than 52 bits"
)]
fn top_contributors(sketch: &TopK, bad: u64) -> Vec<ContributorReport> {
    let report = |hitter: crate::burn::sketch::HeavyHitter| ContributorReport {
        name: hitter.name,
        bad: hitter.weight,
        error: hitter.error,
        share_percent: hitter.weight as f64 * 100.0 / bad.max(1) as f64,
    };
    let entries = sketch.top().into_iter().take(MAX_CONTRIBUTORS);
    entries.map(report).collect()
}
