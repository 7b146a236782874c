//! The burn report: all members' figures joined.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::burn::detail::{Detail, Latency};
use crate::burn::message::{HistogramFigures, MemberFigures, ServiceFigures};
use crate::burn::sketch::TopK;
use crate::burn::{ObjectiveKind, Tally, Window};
use crate::error::Error;
use crate::id::{RouterId, ServiceName};
use crate::service::Objectives;

/// The share of the budget that the fast alarm sees spent within [`Window::Hour`].
const FAST_BUDGET_SHARE: f64 = 0.10;
/// The share of the budget that the slow alarm sees spent within [`Window::SixHours`].
const SLOW_BUDGET_SHARE: f64 = 0.25;
/// No alarm waits for more than this share of the rate at which every event is bad.
const MAX_SHARE_OF_FULL_BURN: f64 = 0.72;
/// The bad requests below which no alarm is raised.
const MIN_BAD_REQUESTS: u64 = 5;
/// The recomputed tokens below which no alarm is raised.
const MIN_BAD_TOKENS: u64 = 10_000;
/// How many accounts, replicas and zones a report names for each objective.
const BURNERS_SHOWN: usize = 5;

/// What a router got when it asked one member.
#[derive(Debug)]
pub struct MemberAnswer {
    /// The member.
    pub router: RouterId,
    /// Its figures, or why there are none.
    pub figures: Result<MemberFigures, Error>,
}

/// The joined report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The window of latencies, burners and series.
    pub window: Window,
    /// The members whose figures are in the report.
    pub members: Vec<RouterId>,
    /// The members that could not be asked; their requests are in no figure.
    pub missing: Vec<MissingMember>,
    /// The shortest time that a member of the report has counted, in seconds.
    pub shortest_held_s: u64,
    /// The longest time that a member of the report has counted, in seconds.
    pub longest_held_s: u64,
    /// The services.
    pub services: Vec<ServiceReport>,
}

/// A member that could not be asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingMember {
    /// The member.
    pub router: RouterId,
    /// Why it could not be asked.
    pub reason: String,
}

/// The burn of one service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// The requests within the report's window.
    pub requests: u64,
    /// Times to first token.
    pub ttft: LatencyReport,
    /// Times between tokens.
    pub token_interval: LatencyReport,
    /// The objectives.
    pub objectives: Vec<ObjectiveReport>,
}

/// Percentiles of a merged histogram, in milliseconds; `None` where nothing was recorded.
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

/// The burn of one objective.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ObjectiveReport {
    /// The objective.
    pub objective: ObjectiveKind,
    /// The limit of a latency objective, in milliseconds.
    pub limit_ms: Option<u64>,
    /// The share of events that may be bad, per hundred.
    pub allowed_percent: f64,
    /// The share of the error budget that is left, per hundred; negative when overspent, `None` without events.
    pub budget_left_percent: Option<f64>,
    /// The burn rates; 1 spends exactly the budget over the objective's window.
    pub burn_rates: Vec<BurnRate>,
    /// The alarm.
    pub alarm: Alarm,
    /// The client accounts with the most bad events.
    pub accounts: Vec<BurnerReport>,
    /// The replicas with the most bad events.
    pub replicas: Vec<BurnerReport>,
    /// The availability zones with the most bad events.
    pub zones: Vec<BurnerReport>,
    /// The burn rate in each slice of the window, oldest first; `None` where nothing happened.
    pub series: Vec<Option<f64>>,
}

/// The burn rate over one window.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct BurnRate {
    /// The window.
    pub window: Window,
    /// The good events.
    pub good: u64,
    /// The bad events.
    pub bad: u64,
    /// The share of bad events over the allowed share; `None` without events.
    pub rate: Option<f64>,
}

/// How urgent the burn of an objective is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alarm {
    /// Nothing to do.
    None,
    /// The budget will be gone in about a day: look into it in working hours.
    Slow,
    /// The budget will be gone in hours: act now.
    Fast,
}

/// One name that burns the budget.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BurnerReport {
    /// The name.
    pub name: Arc<str>,
    /// The bad events that it caused, at least `bad - error` and at most `bad`.
    pub bad: u64,
    /// How many of them may belong to other names.
    pub error: u64,
    /// Its share of all bad events, per hundred.
    pub share_percent: f64,
}

/// The joined figures of one service.
#[derive(Default)]
struct Joined {
    windows: [Tally; 4],
    series: Vec<Tally>,
    detail: Detail,
}

impl Report {
    /// Joins the members' `answers` over `window` for the services in `objectives`.
    ///
    /// A service without figures is listed too, without rates. Figures of a service that is not in `objectives` are
    /// left out: without objectives nothing can be judged.
    #[must_use]
    pub fn join(
        objectives: &BTreeMap<ServiceName, Objectives>,
        window: Window,
        answers: Vec<MemberAnswer>,
    ) -> Self {
        let mut report = Self {
            window,
            members: Vec::new(),
            missing: Vec::new(),
            shortest_held_s: u64::MAX,
            longest_held_s: 0,
            services: Vec::new(),
        };
        let mut joined: BTreeMap<&str, Joined> = BTreeMap::new();
        for name in objectives.keys() {
            joined.insert(name, Joined::default());
        }
        for answer in answers {
            report.take_in(answer, &mut joined);
        }
        report.shortest_held_s = report.shortest_held_s.min(report.longest_held_s);
        for (name, objectives) in objectives {
            let service = ServiceReport::of(name, objectives, window, &joined[&**name]);
            report.services.push(service);
        }
        report
    }

    fn take_in(&mut self, answer: MemberAnswer, joined: &mut BTreeMap<&str, Joined>) {
        let figures = match answer.figures {
            Ok(figures) => figures,
            Err(error) => {
                self.missing.push(MissingMember {
                    router: answer.router,
                    reason: error.to_string(),
                });
                return;
            }
        };
        let held_s = figures.held_ms / 1_000;
        self.shortest_held_s = self.shortest_held_s.min(held_s);
        self.longest_held_s = self.longest_held_s.max(held_s);
        for service in &figures.services {
            if let Some(joined) = joined.get_mut(&*service.service) {
                joined.add(service);
            }
        }
        self.members.push(answer.router);
    }

    /// Returns the most urgent alarm of all services.
    #[must_use]
    pub fn alarm(&self) -> Alarm {
        let objectives = self.services.iter().flat_map(|service| &service.objectives);
        objectives
            .map(|objective| objective.alarm)
            .max()
            .unwrap_or(Alarm::None)
    }
}

impl Joined {
    fn add(&mut self, figures: &ServiceFigures) {
        for (total, part) in self.windows.iter_mut().zip(&figures.windows) {
            total.add(&Tally::from(part));
        }
        let longest = Window::ALL.map(Window::tally_slices).into_iter().max();
        let slices = figures.series.len().min(longest.unwrap_or(0));
        if self.series.len() < slices {
            self.series.resize(slices, Tally::default());
        }
        for (total, part) in self.series.iter_mut().zip(&figures.series) {
            total.add(&Tally::from(part));
        }
        let none = HistogramFigures::default();
        self.detail.merge(&Detail::restore(
            figures.ttft.as_ref().unwrap_or(&none),
            figures.token_interval.as_ref().unwrap_or(&none),
            &figures.burners,
        ));
    }
}

impl ServiceReport {
    fn of(name: &ServiceName, objectives: &Objectives, window: Window, joined: &Joined) -> Self {
        Self {
            service: name.clone(),
            requests: joined.windows[window as usize].requests,
            ttft: LatencyReport::of(joined.detail.ttft()),
            token_interval: LatencyReport::of(joined.detail.token_interval()),
            objectives: ObjectiveKind::ALL
                .map(|kind| ObjectiveReport::of(kind, objectives, window, joined))
                .to_vec(),
        }
    }
}

impl LatencyReport {
    fn of(latency: &Latency) -> Self {
        Self {
            count: latency.len(),
            p50_ms: latency.percentile_ms(50.0),
            p95_ms: latency.percentile_ms(95.0),
            p99_ms: latency.percentile_ms(99.0),
        }
    }
}

impl ObjectiveReport {
    fn of(kind: ObjectiveKind, objectives: &Objectives, window: Window, joined: &Joined) -> Self {
        let allowed_share = kind.allowed_share(objectives);
        let burn_rates: Vec<BurnRate> = Window::ALL
            .map(|each| BurnRate::of(each, kind, allowed_share, &joined.windows[each as usize]))
            .to_vec();
        let budget = budget_rate(&burn_rates, objectives);
        let burners = joined.detail.burners(kind);
        let bad = joined.windows[window as usize].bad[kind as usize];
        Self {
            objective: kind,
            limit_ms: match kind {
                ObjectiveKind::Ttft => Some(objectives.ttft_ms),
                ObjectiveKind::TokenInterval => Some(objectives.token_interval_ms),
                ObjectiveKind::Complete | ObjectiveKind::Recomputation => None,
            },
            allowed_percent: allowed_share * 100.0,
            budget_left_percent: budget.map(|rate| (1.0 - rate) * 100.0),
            alarm: alarm(kind, objectives, allowed_share, &burn_rates),
            burn_rates,
            accounts: heaviest(&burners.accounts, bad),
            replicas: heaviest(&burners.replicas, bad),
            zones: heaviest(&burners.zones, bad),
            series: joined
                .series
                .iter()
                .rev()
                .map(|tally| tally.burn_rate(kind, allowed_share))
                .collect(),
        }
    }
}

impl BurnRate {
    fn of(window: Window, kind: ObjectiveKind, allowed_share: f64, tally: &Tally) -> Self {
        Self {
            window,
            good: tally.good[kind as usize],
            bad: tally.bad[kind as usize],
            rate: tally.burn_rate(kind, allowed_share),
        }
    }
}

/// Returns the burn rate over the held window nearest to the objective's own, which is the spent share of the budget.
fn budget_rate(burn_rates: &[BurnRate], objectives: &Objectives) -> Option<f64> {
    let window_s = u64::from(objectives.window_hours) * 3_600;
    let nearest = burn_rates
        .iter()
        .min_by_key(|burn| burn.window.span().as_secs().abs_diff(window_s));
    nearest.and_then(|burn| burn.rate)
}

/// Raises an alarm only where a long window shows that it matters and a short one that it goes on.
fn alarm(
    kind: ObjectiveKind,
    objectives: &Objectives,
    allowed_share: f64,
    burn_rates: &[BurnRate],
) -> Alarm {
    let window_hours = f64::from(objectives.window_hours);
    let full_burn = 1.0 / allowed_share;
    let threshold = |share: f64, hours: f64| {
        (share * window_hours / hours).clamp(1.0, (MAX_SHARE_OF_FULL_BURN * full_burn).max(1.0))
    };
    let min_bad = match kind {
        ObjectiveKind::Recomputation => MIN_BAD_TOKENS,
        _ => MIN_BAD_REQUESTS,
    };
    let burns = |window: Window, limit: f64| {
        let burn = &burn_rates[window as usize];
        burn.bad >= min_bad && burn.rate.is_some_and(|rate| rate >= limit)
    };
    let fast = threshold(FAST_BUDGET_SHARE, 1.0);
    let slow = threshold(SLOW_BUDGET_SHARE, 6.0);
    if burns(Window::Hour, fast) && burns(Window::FiveMinutes, fast) {
        Alarm::Fast
    } else if burns(Window::SixHours, slow) && burns(Window::Hour, slow) {
        Alarm::Slow
    } else {
        Alarm::None
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a share needs no more than 52 bits"
)]
fn heaviest(sketch: &TopK, bad: u64) -> Vec<BurnerReport> {
    let report = |heavy: crate::burn::sketch::Heavy| BurnerReport {
        name: heavy.name,
        bad: heavy.weight,
        error: heavy.error,
        share_percent: heavy.weight as f64 * 100.0 / bad.max(1) as f64,
    };
    let entries = sketch.heaviest().into_iter().take(BURNERS_SHOWN);
    entries.map(report).collect()
}
