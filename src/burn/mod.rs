//! Error budget burn rates of the service-level objectives, and the accounts, replicas and zones behind them.
//!
//! Each router counts its own requests in ring buffers of time slices. A report merges the buffers of all members:
//! counts are added and histograms are merged, because an average of percentiles is not a percentile. A member that
//! could not be queried is listed in the report as missing, and its requests are never counted as good.
//!
//! Rejected: computing the report from scraped metrics. That requires a metrics store next to the routers and cannot
//! report accounts, because 41,000 accounts are too many label values. See docs/operations/burn-alarms.md.

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
    ContributorMessage, ContributorsMessage, CountsMessage, HistogramMessage, MemberStats,
    ServiceStats,
};
pub use self::report::{
    Alarm, BurnRate, ContributorReport, LatencyReport, MemberReply, MissingMember, ObjectiveReport,
    Report, ServiceReport,
};
pub(crate) use self::sketch::{HeavyHitter, TopK};
pub use self::table::render_table;
pub use self::window::Window;

use self::detail::SliceDetail;
use self::ring::Ring;

/// The maximum number of services that a router keeps statistics for.
pub const MAX_SERVICES: usize = 64;

/// The objectives that every service has, in the order in which statistics list them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectiveKind {
    /// Time to first token.
    Ttft,
    /// Mean time between the output tokens of a response.
    TokenInterval,
    /// Share of requests with a complete response.
    Complete,
    /// Share of prompt prefix tokens that were recomputed although some replica had them cached.
    Recomputation,
}

impl ObjectiveKind {
    /// All objectives, in the order of the arrays in [`EventCounts`].
    pub const ALL: [Self; 4] = [
        Self::Ttft,
        Self::TokenInterval,
        Self::Complete,
        Self::Recomputation,
    ];

    /// Returns the name used in reports and metric labels.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Ttft => "ttft",
            Self::TokenInterval => "token_interval",
            Self::Complete => "complete",
            Self::Recomputation => "recomputation",
        }
    }

    /// Returns the share of events that may be bad under `objectives`, above 0 and at most 1.
    #[must_use]
    pub fn allowed_share(self, objectives: &Objectives) -> f64 {
        let percent = match self {
            Self::Ttft | Self::TokenInterval => 100.0 - objectives.latency_percent,
            Self::Complete => 100.0 - objectives.complete_percent,
            Self::Recomputation => objectives.avoidable_recomputation_percent,
        };
        (percent / 100.0).clamp(MIN_ALLOWED_SHARE, 1.0)
    }
}

/// The lower bound of an allowed share. Without it, a target of 100 percent would make every burn rate infinite.
const MIN_ALLOWED_SHARE: f64 = 1e-6;

/// How a request ended, as evaluated by the objectives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The caller received the complete response.
    Complete,
    /// The response was truncated, or its outcome is unknown.
    Incomplete,
    /// The request was rejected without being run, because capacity or an idempotency claim was missing.
    Refused,
    /// The caller disconnected or sent an invalid request. No objective counts it.
    Caller,
}

/// The data of a finished request that the objectives evaluate.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The requested service.
    pub service: ServiceName,
    /// The client account of the caller.
    pub account: AccountId,
    /// The replica that responded or was tried last.
    pub replica: Option<ReplicaId>,
    /// The availability zone of that replica.
    pub zone: Option<ZoneName>,
    /// How the request ended.
    pub ending: Ending,
    /// The time to the first token, or to the first byte of a plain response; `None` if none arrived.
    pub ttft: Option<Duration>,
    /// The mean time between tokens; `None` for responses of fewer than two tokens.
    pub token_interval: Option<Duration>,
    /// The number of tokens in the prompt prefix.
    pub prefix_tokens: u64,
    /// The number of prefix tokens that were recomputed although a replica had them cached.
    pub avoidable_tokens: u64,
}

/// The number of good and bad events per objective over a period.
///
/// [`ObjectiveKind::Recomputation`] counts tokens; the other objectives count requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCounts {
    /// The number of requests that any objective counts.
    pub requests: u64,
    /// The number of good events per objective, in the order of [`ObjectiveKind::ALL`].
    pub good: [u64; 4],
    /// The number of bad events per objective, in the order of [`ObjectiveKind::ALL`].
    pub bad: [u64; 4],
}

impl EventCounts {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        for index in 0..ObjectiveKind::ALL.len() {
            self.good[index] = self.good[index].saturating_add(other.good[index]);
            self.bad[index] = self.bad[index].saturating_add(other.bad[index]);
        }
    }

    /// Returns the share of bad events divided by `allowed_share`, or `None` if there are no events.
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

    fn increment(&mut self, kind: ObjectiveKind, is_good: bool) {
        let events = if is_good {
            &mut self.good
        } else {
            &mut self.bad
        };
        events[kind as usize] += 1;
    }
}

impl Observation {
    /// Evaluates the request against `objectives` and returns its events.
    ///
    /// A request that ended without a first token is also bad for time to first token, so that load shedding does not
    /// improve the reported latency.
    #[must_use]
    pub fn count_events(&self, objectives: &Objectives) -> EventCounts {
        let mut counts = EventCounts::default();
        if self.ending == Ending::Caller {
            return counts;
        }
        counts.requests = 1;
        counts.increment(ObjectiveKind::Complete, self.ending == Ending::Complete);
        let ttft_limit = Duration::from_millis(objectives.ttft_ms);
        counts.increment(
            ObjectiveKind::Ttft,
            self.ttft.is_some_and(|ttft| ttft <= ttft_limit),
        );
        if let Some(interval) = self.token_interval {
            let limit = Duration::from_millis(objectives.token_interval_ms);
            counts.increment(ObjectiveKind::TokenInterval, interval <= limit);
        }
        let avoidable = self.avoidable_tokens.min(self.prefix_tokens);
        let recomputation = ObjectiveKind::Recomputation as usize;
        counts.bad[recomputation] = avoidable;
        counts.good[recomputation] = self.prefix_tokens - avoidable;
        for kind in [
            ObjectiveKind::Ttft,
            ObjectiveKind::TokenInterval,
            ObjectiveKind::Complete,
        ] {
            let events = counts.good[kind as usize] + counts.bad[kind as usize];
            assert!(
                events <= 1,
                "request produced more than one event for {}",
                kind.name()
            );
        }
        counts
    }
}

/// The counters of one service at one router, one ring buffer per [`Window`].
#[derive(Debug)]
struct ServiceCounters {
    counts: [Ring<EventCounts>; 4],
    details: [Ring<SliceDetail>; 4],
}

impl ServiceCounters {
    fn new() -> Self {
        Self {
            counts: Window::ALL.map(|window| Ring::new(window.span(), window.counter_slices())),
            details: Window::ALL.map(|window| Ring::new(window.span(), window.detail_slices())),
        }
    }
}

/// Tracks the error budget burn of one router's own requests in bounded memory.
#[derive(Debug)]
pub struct BurnTracker {
    started: Duration,
    services: BTreeMap<ServiceName, ServiceCounters>,
    dropped: u64,
}

impl BurnTracker {
    /// Creates a tracker that starts counting at `now`.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Self {
            started: now,
            services: BTreeMap::new(),
            dropped: 0,
        }
    }

    /// Records a finished request, evaluated against the `objectives` of its service.
    ///
    /// Observations of services beyond [`MAX_SERVICES`] are dropped; see [`Self::dropped`].
    pub fn record(&mut self, observation: &Observation, objectives: &Objectives, now: Duration) {
        let counts = observation.count_events(objectives);
        if counts.requests == 0 {
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
            .or_insert_with(ServiceCounters::new);
        for ring in &mut service.counts {
            ring.current(now).add(&counts);
        }
        for ring in &mut service.details {
            ring.current(now).record(observation, &counts);
        }
    }

    /// Removes the services for which `is_kept` returns `false`, such as those that a ticket deleted.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.services.retain(|name, _| is_kept(name));
    }

    /// Returns the number of observations dropped because of [`MAX_SERVICES`].
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the counts of each service over all windows, in the order of [`Window::ALL`].
    pub fn totals(&self, now: Duration) -> impl Iterator<Item = (&str, [EventCounts; 4])> {
        self.services.iter().map(move |(name, service)| {
            (
                &**name,
                Window::ALL.map(|window| service.total(window, now)),
            )
        })
    }

    /// Returns this router's statistics: counts over all windows, and histograms and contributors over `window`.
    #[must_use]
    pub fn stats(&self, window: Window, now: Duration) -> MemberStats {
        let recorded = now.saturating_sub(self.started);
        MemberStats {
            recorded_ms: u64::try_from(recorded.as_millis()).unwrap_or(u64::MAX),
            services: self
                .services
                .iter()
                .map(|(name, service)| service.stats(name, window, now))
                .collect(),
        }
    }
}

impl ServiceCounters {
    fn stats(&self, name: &str, window: Window, now: Duration) -> ServiceStats {
        let mut detail = SliceDetail::default();
        for (_, slice) in self.details[window as usize].slices(now) {
            detail.merge(slice);
        }
        let mut series = vec![CountsMessage::default(); window.counter_slices()];
        for (age, slice) in self.counts[window as usize].slices(now) {
            if let Some(counts) = series.get_mut(age) {
                *counts = CountsMessage::from(slice);
            }
        }
        ServiceStats {
            service: name.to_owned(),
            windows: Window::ALL
                .map(|each| CountsMessage::from(&self.total(each, now)))
                .to_vec(),
            series,
            ttft: Some(detail.ttft().encode()),
            token_interval: Some(detail.token_interval().encode()),
            contributors: detail.encode_contributors(),
        }
    }

    fn total(&self, window: Window, now: Duration) -> EventCounts {
        let mut total = EventCounts::default();
        for (_, slice) in self.counts[window as usize].slices(now) {
            total.add(slice);
        }
        total
    }
}
