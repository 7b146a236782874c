//! Burn of the service-level objectives: how fast each service spends its error budget, and on whom.
//!
//! Each router counts its own requests in rings of time slices. A report merges the rings of all members: counts are
//! added and histograms merged, because an average of percentiles is not a percentile. A member that could not be
//! asked is named in the report and never counted as good.
//!
//! Rejected: deriving the report from scraped metrics, which would need a metrics store beside the routers and can't
//! name accounts, as 41,000 accounts are no label. See docs/operations/burn-alarms.md.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{AccountId, ReplicaId, ServiceName, ZoneName};
use crate::service::Objectives;

mod detail;
mod html;
mod message;
mod report;
mod ring;
mod sketch;
mod table;
#[cfg(test)]
mod tests;
mod window;

pub use self::html::render_html;
pub use self::message::{
    BurnerFigure, HistogramFigures, MemberFigures, ObjectiveBurners, ServiceFigures, TallyFigures,
};
pub use self::report::{
    Alarm, BurnRate, BurnerReport, LatencyReport, MemberAnswer, MissingMember, ObjectiveReport,
    Report, ServiceReport,
};
pub(crate) use self::sketch::{Heavy, TopK};
pub use self::table::render_table;
pub use self::window::Window;

use self::detail::Detail;
use self::ring::Ring;

/// The most services that one router keeps figures for.
pub const MAX_SERVICES: usize = 64;

/// The objectives that every service has, in the order in which figures list them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// Time to first token.
    Ttft,
    /// Mean time between the tokens of one answer.
    TokenInterval,
    /// Share of requests with a complete answer.
    Complete,
    /// Share of opening tokens that were recomputed although they were warm somewhere.
    Recomputation,
}

impl ObjectiveKind {
    /// All objectives, in the order of the arrays in [`Tally`].
    pub const ALL: [Self; 4] = [
        Self::Ttft,
        Self::TokenInterval,
        Self::Complete,
        Self::Recomputation,
    ];

    /// Returns the name that reports show.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ttft => "ttft",
            Self::TokenInterval => "token_interval",
            Self::Complete => "complete",
            Self::Recomputation => "recomputation",
        }
    }

    /// Returns the share of events that `objectives` allow to be bad, above 0 and at most 1.
    #[must_use]
    pub fn allowed_share(self, objectives: &Objectives) -> f64 {
        let percent = match self {
            Self::Ttft | Self::TokenInterval => 100.0 - objectives.latency_percent,
            Self::Complete => 100.0 - objectives.complete_percent,
            Self::Recomputation => objectives.avoidable_recomputation_percent,
        };
        (percent / 100.0).clamp(SMALLEST_ALLOWED_SHARE, 1.0)
    }
}

/// A target of 100 per cent would make every burn rate infinite.
const SMALLEST_ALLOWED_SHARE: f64 = 1e-6;

/// How a request ended, as the objectives see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The caller got the whole answer.
    Complete,
    /// The answer broke off, or its outcome is unknown.
    Incomplete,
    /// The request was refused with "not run", for want of capacity or of a claim.
    Refused,
    /// The caller went away or asked for something that is not allowed; no objective counts it.
    Caller,
}

/// What one ended request contributes to the objectives.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The service that was called.
    pub service: ServiceName,
    /// The client account that called.
    pub account: AccountId,
    /// The replica that answered or was tried last.
    pub replica: Option<ReplicaId>,
    /// The availability zone of that replica.
    pub zone: Option<ZoneName>,
    /// How the request ended.
    pub ending: Ending,
    /// The time to the first token, or to the first byte of a plain answer; `None` where none came.
    pub ttft: Option<Duration>,
    /// The mean time between tokens; `None` for answers of fewer than two tokens.
    pub token_interval: Option<Duration>,
    /// The tokens of the prompt's opening.
    pub opening_tokens: u64,
    /// The opening tokens that were recomputed although a replica held them warm.
    pub avoidable_tokens: u64,
}

/// Good and bad events per objective over some time.
///
/// Recomputation counts tokens; the other objectives count requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The requests that any objective counts.
    pub requests: u64,
    /// The good events, in the order of [`ObjectiveKind::ALL`].
    pub good: [u64; 4],
    /// The bad events, in the order of [`ObjectiveKind::ALL`].
    pub bad: [u64; 4],
}

impl Tally {
    /// Adds the events of `other`.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        for index in 0..ObjectiveKind::ALL.len() {
            self.good[index] = self.good[index].saturating_add(other.good[index]);
            self.bad[index] = self.bad[index].saturating_add(other.bad[index]);
        }
    }

    /// Returns the share of bad events over `allowed_share`, or `None` without events.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "a share needs no more than 52 bits"
    )]
    pub fn burn_rate(&self, kind: ObjectiveKind, allowed_share: f64) -> Option<f64> {
        let bad = self.bad[kind as usize] as f64;
        let total = self.good[kind as usize] as f64 + bad;
        (total > 0.0).then(|| bad / total / allowed_share)
    }

    fn count(&mut self, kind: ObjectiveKind, is_good: bool) {
        let side = if is_good {
            &mut self.good
        } else {
            &mut self.bad
        };
        side[kind as usize] += 1;
    }
}

impl Observation {
    /// Judges the request against `objectives`.
    ///
    /// A request that ended without a first token is bad for time to first token as well: shedding load must not make
    /// latency look better.
    #[must_use]
    pub fn judge(&self, objectives: &Objectives) -> Tally {
        let mut tally = Tally::default();
        if self.ending == Ending::Caller {
            return tally;
        }
        tally.requests = 1;
        tally.count(ObjectiveKind::Complete, self.ending == Ending::Complete);
        let ttft_limit = Duration::from_millis(objectives.ttft_ms);
        tally.count(
            ObjectiveKind::Ttft,
            self.ttft.is_some_and(|ttft| ttft <= ttft_limit),
        );
        if let Some(interval) = self.token_interval {
            let limit = Duration::from_millis(objectives.token_interval_ms);
            tally.count(ObjectiveKind::TokenInterval, interval <= limit);
        }
        let avoidable = self.avoidable_tokens.min(self.opening_tokens);
        let recomputation = ObjectiveKind::Recomputation as usize;
        tally.bad[recomputation] = avoidable;
        tally.good[recomputation] = self.opening_tokens - avoidable;
        for kind in [
            ObjectiveKind::Ttft,
            ObjectiveKind::TokenInterval,
            ObjectiveKind::Complete,
        ] {
            let events = tally.good[kind as usize] + tally.bad[kind as usize];
            assert!(events <= 1, "a request counted twice for {}", kind.name());
        }
        tally
    }
}

/// The figures of one service at one router.
#[derive(Debug)]
struct ServiceBurn {
    tallies: [Ring<Tally>; 4],
    details: [Ring<Detail>; 4],
}

impl ServiceBurn {
    fn new() -> Self {
        Self {
            tallies: Window::ALL.map(|window| Ring::new(window.span(), window.tally_slices())),
            details: Window::ALL.map(|window| Ring::new(window.span(), window.detail_slices())),
        }
    }
}

/// What one router knows of the burn of its own requests, bounded in memory.
#[derive(Debug)]
pub struct Burn {
    started: Duration,
    services: BTreeMap<ServiceName, ServiceBurn>,
    dropped: u64,
}

impl Burn {
    /// Starts to count at `now`.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Self {
            started: now,
            services: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Counts one ended request against its service's `objectives`.
    ///
    /// Beyond [`MAX_SERVICES`] services the observation is dropped and counted.
    pub fn record(&mut self, observation: &Observation, objectives: &Objectives, now: Duration) {
        let tally = observation.judge(objectives);
        if tally.requests == 0 {
            return;
        }
        let is_known = self.services.contains_key(&observation.service);
        if !is_known && self.services.len() >= MAX_SERVICES {
            self.dropped += 1;
            return;
        }
        let service = self
            .services
            .entry(observation.service.clone())
            .or_insert_with(ServiceBurn::new);
        for ring in &mut service.tallies {
            ring.current(now).add(&tally);
        }
        for ring in &mut service.details {
            ring.current(now).record(observation, &tally);
        }
    }

    /// Forgets the services for which `is_kept` says no, such as those that a ticket removed.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.services.retain(|name, _| is_kept(name));
    }

    /// Returns how many observations were dropped for want of room.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns each service's counts over all windows, in the order of [`Window::ALL`].
    pub fn totals(&self, now: Duration) -> impl Iterator<Item = (&str, [Tally; 4])> {
        self.services.iter().map(move |(name, service)| {
            (
                &**name,
                Window::ALL.map(|window| service.total(window, now)),
            )
        })
    }

    /// Returns this router's figures: counts over all windows, and details over `window`.
    #[must_use]
    pub fn figures(&self, window: Window, now: Duration) -> MemberFigures {
        let held = now.saturating_sub(self.started);
        MemberFigures {
            held_ms: u64::try_from(held.as_millis()).unwrap_or(u64::MAX),
            services: self
                .services
                .iter()
                .map(|(name, service)| service.figures(name, window, now))
                .collect(),
        }
    }
}

impl ServiceBurn {
    fn figures(&self, name: &str, window: Window, now: Duration) -> ServiceFigures {
        let mut detail = Detail::default();
        for (_, slice) in self.details[window as usize].slices(now) {
            detail.merge(slice);
        }
        let mut series = vec![TallyFigures::default(); window.tally_slices()];
        for (age, slice) in self.tallies[window as usize].slices(now) {
            if let Some(figures) = series.get_mut(age) {
                *figures = TallyFigures::from(slice);
            }
        }
        ServiceFigures {
            service: name.to_owned(),
            windows: Window::ALL
                .map(|each| TallyFigures::from(&self.total(each, now)))
                .to_vec(),
            series,
            ttft: Some(detail.ttft().figures()),
            token_interval: Some(detail.token_interval().figures()),
            burners: detail.burner_figures(),
        }
    }

    fn total(&self, window: Window, now: Duration) -> Tally {
        let mut total = Tally::default();
        for (_, slice) in self.tallies[window as usize].slices(now) {
            total.add(slice);
        }
        total
    }
}
