//! The limit that a replica in need names in its responses: how many requests per second it takes from all routers
//! together, for as long as it says so.
//!
//! A router learns a limit from its own responses and from the reports of others. What it learns is ordered by the time at
//! which the request was sent, so that a response that was delayed does not bring a limit back that has ended. All
//! routers learn of the end within moments; the rate is doubled in steps before it is free, so that their requests don't
//! return at once. An incarnation of a replica begins without a limit.
//!
//! Whether a request may be sent is decided by the router that owns the limit ([`super::quota`]). Rejected: a share of the
//! limit for each router, because at 90 routers a burst of one request each exceeds a limit of six per second; and a few
//! routers that alone send to the replica, because two views of the fleet name two sets of them. See
//! docs/design/replica-limits.md.
//!
//! Load patterns handled: one hot home that is limited; limits that come and go; all replicas of a service limited below
//! its load; routers that learn of a limit or of its end some hundred milliseconds apart.

use std::time::Duration;

use http::header::{HeaderMap, HeaderName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::load::ReplicaKey;
use super::quota::{AccountKey, QuotaLimit};

/// The lowest rate that is applied, in requests per second. A replica that names less still gets a request now and then,
/// since only its responses tell that the limit has ended.
const MIN_RATE_PER_S: f64 = 0.2;
/// The highest rate that is applied, in requests per second.
const MAX_RATE_PER_S: f64 = 1_000_000.0;
/// The length of the burst in seconds of the rate, beyond one request.
const BURST_S: f64 = 0.25;
/// How long a limit that has ended is still applied, at a growing rate.
const RAMP: Duration = Duration::from_secs(3);
/// The time in which the rate doubles after the end of a limit.
const RAMP_DOUBLING: Duration = Duration::from_millis(500);
/// How long the end of a limit is reported to other routers.
const ENDED_TTL: Duration = Duration::from_secs(10);
/// By how much a report of another router has to be newer to change what is known: its age leaves out the time in transit.
const REPORT_SLACK: Duration = Duration::from_millis(50);
/// The smallest relative change of a limit that is logged.
const MIN_LOGGED_CHANGE: f64 = 0.05;
/// Distinguishes the keys of limits from those of accounts, which share the owners' messages.
const LIMIT_KEY_SEED: u64 = 0x6c69_6d69_7473;

/// What a response says about the limit of its replica.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum NamedLimit {
    /// It names none.
    #[default]
    None,
    /// The requests per second that the replica takes.
    PerSecond(f64),
    /// Its value can't be read, and changes nothing.
    Unreadable,
}

impl NamedLimit {
    /// Reads the header `name`; of several values the lowest readable one counts.
    ///
    /// A value that is negative, infinite or not a number can't be read.
    pub(crate) fn of_headers(headers: &HeaderMap, name: &HeaderName) -> Self {
        let mut lowest = Self::None;
        for value in headers.get_all(name) {
            let text = value.to_str().unwrap_or_default();
            for rate in text.split(',').map(parse_rate) {
                lowest = match (lowest, rate) {
                    (Self::PerSecond(known), Some(rate)) => Self::PerSecond(known.min(rate)),
                    (_, Some(rate)) => Self::PerSecond(rate),
                    (Self::None, None) => Self::Unreadable,
                    (known, None) => known,
                };
            }
        }
        lowest
    }
}

fn parse_rate(text: &str) -> Option<f64> {
    let rate: f64 = text.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then(|| rate.clamp(MIN_RATE_PER_S, MAX_RATE_PER_S))
}

/// How the limit of a replica has changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LimitChange {
    /// The replica names this many requests per second.
    Named(f64),
    /// The replica names no limit any more.
    Ended,
}

/// The limit of one incarnation of a replica, as one router knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ReplicaLimit {
    latest: Option<LatestLimit>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct LatestLimit {
    /// The rate that was named last.
    rate_per_s: f64,
    /// When the request was sent whose response first named no limit any more.
    ended_at: Option<Duration>,
    /// When the latest request was sent whose response told about the limit.
    asked_at: Duration,
}

/// What a router knows about the limit of a replica, for other routers.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LimitReport {
    /// The key of the replica.
    #[prost(fixed32, tag = "1")]
    pub(crate) key: ReplicaKey,
    /// The requests per second that the replica named last.
    #[prost(double, tag = "2")]
    pub(crate) rate_per_s: f64,
    /// How long ago the request was sent whose response told so, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub(crate) age_ms: u32,
    /// How long ago the limit ended, in milliseconds; `None` while it is named.
    #[prost(uint32, optional, tag = "4")]
    pub(crate) ended_age_ms: Option<u32>,
}

impl ReplicaLimit {
    /// Records what the response to a request that was sent at `asked_at` says; returns the change, if there is one.
    pub(crate) fn record(&mut self, named: NamedLimit, asked_at: Duration) -> Option<LimitChange> {
        let rate_per_s = match named {
            NamedLimit::PerSecond(rate_per_s) => Some(rate_per_s),
            NamedLimit::None => None,
            NamedLimit::Unreadable => return None,
        };
        self.update(rate_per_s, asked_at, asked_at)
    }

    /// Records what another router has reported; returns the change, if there is one.
    pub(crate) fn merge(&mut self, report: &LimitReport, now: Duration) -> Option<LimitChange> {
        let before = |age_ms: u32| now.saturating_sub(Duration::from_millis(u64::from(age_ms)));
        let asked_at = before(report.age_ms);
        let known = self.latest.map(|latest| latest.asked_at);
        if known.is_some_and(|known| asked_at <= known + REPORT_SLACK) {
            return None;
        }
        let rate_per_s = parse_rate(&report.rate_per_s.to_string())?;
        match report.ended_age_ms {
            Some(age_ms) => self.update(None, asked_at, before(age_ms)),
            None => self.update(Some(rate_per_s), asked_at, asked_at),
        }
    }

    fn update(
        &mut self,
        named: Option<f64>,
        asked_at: Duration,
        ended_at: Duration,
    ) -> Option<LimitChange> {
        let Some(latest) = &mut self.latest else {
            let rate_per_s = named?;
            self.latest = Some(LatestLimit {
                rate_per_s,
                ended_at: None,
                asked_at,
            });
            return Some(LimitChange::Named(rate_per_s));
        };
        let Some(rate_per_s) = named else {
            if asked_at <= latest.asked_at {
                return None;
            }
            latest.asked_at = asked_at;
            if latest.ended_at.is_some() {
                return None;
            }
            latest.ended_at = Some(ended_at);
            return Some(LimitChange::Ended);
        };
        if asked_at < latest.asked_at {
            return None;
        }
        latest.asked_at = asked_at;
        let was_ended = latest.ended_at.take().is_some();
        let before = std::mem::replace(&mut latest.rate_per_s, rate_per_s);
        let is_changed = (rate_per_s - before).abs() > before * MIN_LOGGED_CHANGE;
        (was_ended || is_changed).then_some(LimitChange::Named(rate_per_s))
    }

    /// Returns the rate that all routers together may send at `now`, in requests per second; `None` if there is no limit.
    pub(crate) fn rate_per_s(&self, now: Duration) -> Option<f64> {
        let latest = self.latest?;
        let Some(ended_at) = latest.ended_at else {
            return Some(latest.rate_per_s);
        };
        let elapsed = now.saturating_sub(ended_at);
        let doublings = elapsed.as_millis() / RAMP_DOUBLING.as_millis();
        (elapsed < RAMP).then(|| latest.rate_per_s * f64::from(1_u32 << doublings))
    }

    /// Returns the report for other routers; `None` if there is nothing to report. Forgets a limit that ended long ago.
    pub(crate) fn report(&mut self, key: ReplicaKey, now: Duration) -> Option<LimitReport> {
        let age_ms =
            |at: Duration| u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
        let is_old = |ended_at: Duration| now >= ended_at + ENDED_TTL;
        self.latest
            .take_if(|latest| latest.ended_at.is_some_and(is_old));
        let latest = self.latest?;
        Some(LimitReport {
            key,
            rate_per_s: latest.rate_per_s,
            age_ms: age_ms(latest.asked_at),
            ended_age_ms: latest.ended_at.map(age_ms),
        })
    }
}
/// Returns the key under which the limit of an incarnation of a replica is shared between routers.
pub(crate) fn limit_key(id: &str, born_ms: u64) -> AccountKey {
    xxh3_64_with_seed(id.as_bytes(), born_ms ^ LIMIT_KEY_SEED)
}

/// Returns the rate and the burst that the owner of a limit grants.
pub(crate) fn granted_limit(rate_per_s: f64) -> QuotaLimit {
    QuotaLimit {
        rate_per_s,
        burst: 1.0 + rate_per_s * BURST_S,
    }
}
