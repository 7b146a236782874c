//! The details of a time slice besides event counts: latency histograms and the top contributors of bad events.

use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::burn::message::{ContributorMessage, ContributorsMessage, HistogramMessage};
use crate::burn::sketch::{HeavyHitter, TopK};
use crate::burn::{EventCounts, ObjectiveKind, Observation};

/// The highest trackable latency of a histogram, in milliseconds. Longer latencies are recorded as this value.
const MAX_LATENCY_MS: u64 = 600_000;
/// The number of significant decimal digits of histogram values.
const LATENCY_DIGITS: u8 = 2;
/// The maximum number of values read from a member's histogram.
const MAX_HISTOGRAM_VALUES: usize = 4_096;
const MAX_ACCOUNTS: usize = 32;
const MAX_REPLICAS: usize = 32;
const MAX_ZONES: usize = 8;

/// A histogram of latencies in milliseconds. It allocates no memory until the first value is recorded.
#[derive(Clone, Debug, Default)]
pub(super) struct LatencyHistogram {
    histogram: Option<Histogram<u32>>,
}

impl LatencyHistogram {
    fn record(&mut self, latency: Duration) {
        let latency_ms = u64::try_from(latency.as_millis()).unwrap_or(MAX_LATENCY_MS);
        self.record_n(latency_ms, 1);
    }

    fn record_n(&mut self, latency_ms: u64, count: u32) {
        let histogram = self.histogram.get_or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_DIGITS)
                .expect("constant bounds are valid")
        });
        histogram.saturating_record_n(latency_ms.min(MAX_LATENCY_MS), count);
    }

    pub(super) fn merge(&mut self, other: &Self) {
        let Some(others) = &other.histogram else {
            return;
        };
        match &mut self.histogram {
            Some(own) => own.add(others).expect("histograms have equal bounds"),
            None => self.histogram = Some(others.clone()),
        }
    }

    /// Returns the number of recorded latencies.
    pub(super) fn len(&self) -> u64 {
        self.histogram.as_ref().map_or(0, Histogram::len)
    }

    /// Returns the given percentile of the recorded latencies in milliseconds, or `None` if the histogram is empty.
    pub(super) fn percentile_ms(&self, percent: f64) -> Option<u64> {
        self.histogram
            .as_ref()
            .filter(|histogram| !histogram.is_empty())
            .map(|histogram| histogram.value_at_percentile(percent))
    }

    pub(super) fn encode(&self) -> HistogramMessage {
        let mut message = HistogramMessage::default();
        let Some(histogram) = &self.histogram else {
            return message;
        };
        for value in histogram.iter_recorded() {
            message.values_ms.push(value.value_iterated_to());
            message.counts.push(value.count_at_value());
        }
        message
    }

    pub(super) fn decode(message: &HistogramMessage) -> Self {
        let mut latency = Self::default();
        let pairs = message.values_ms.iter().zip(&message.counts);
        for (value_ms, count) in pairs.take(MAX_HISTOGRAM_VALUES) {
            latency.record_n(*value_ms, *count);
        }
        latency
    }
}

/// The top contributors to the bad events of one objective.
#[derive(Clone, Debug)]
pub(super) struct Contributors {
    pub(super) accounts: TopK,
    pub(super) replicas: TopK,
    pub(super) zones: TopK,
}

impl Default for Contributors {
    fn default() -> Self {
        Self {
            accounts: TopK::new(MAX_ACCOUNTS),
            replicas: TopK::new(MAX_REPLICAS),
            zones: TopK::new(MAX_ZONES),
        }
    }
}

impl Contributors {
    fn merge(&mut self, other: &Self) {
        self.accounts.merge(&other.accounts);
        self.replicas.merge(&other.replicas);
        self.zones.merge(&other.zones);
    }

    fn decode(message: &ContributorsMessage) -> Self {
        Self {
            accounts: decode_sketch(MAX_ACCOUNTS, &message.accounts),
            replicas: decode_sketch(MAX_REPLICAS, &message.replicas),
            zones: decode_sketch(MAX_ZONES, &message.zones),
        }
    }
}

/// The details of one time slice, or of several slices merged.
#[derive(Clone, Debug, Default)]
pub(super) struct SliceDetail {
    ttft: LatencyHistogram,
    token_interval: LatencyHistogram,
    contributors: [Contributors; 4],
}

impl SliceDetail {
    pub(super) fn record(&mut self, observation: &Observation, counts: &EventCounts) {
        if let Some(ttft) = observation.ttft {
            self.ttft.record(ttft);
        }
        if let Some(interval) = observation.token_interval {
            self.token_interval.record(interval);
        }
        for (contributors, bad) in self.contributors.iter_mut().zip(counts.bad) {
            contributors.accounts.add(&observation.account, bad);
            if let Some(replica) = &observation.replica {
                contributors.replicas.add(replica, bad);
            }
            if let Some(zone) = &observation.zone {
                contributors.zones.add(zone, bad);
            }
        }
    }

    pub(super) fn merge(&mut self, other: &Self) {
        self.ttft.merge(&other.ttft);
        self.token_interval.merge(&other.token_interval);
        for (own, others) in self.contributors.iter_mut().zip(&other.contributors) {
            own.merge(others);
        }
    }

    pub(super) const fn ttft(&self) -> &LatencyHistogram {
        &self.ttft
    }

    pub(super) const fn token_interval(&self) -> &LatencyHistogram {
        &self.token_interval
    }

    pub(super) const fn contributors(&self, kind: ObjectiveKind) -> &Contributors {
        &self.contributors[kind as usize]
    }

    pub(super) fn encode_contributors(&self) -> Vec<ContributorsMessage> {
        let encode = |contributors: &Contributors| ContributorsMessage {
            accounts: encode_sketch(&contributors.accounts),
            replicas: encode_sketch(&contributors.replicas),
            zones: encode_sketch(&contributors.zones),
        };
        self.contributors.iter().map(encode).collect()
    }

    pub(super) fn decode(
        ttft: &HistogramMessage,
        token_interval: &HistogramMessage,
        contributors: &[ContributorsMessage],
    ) -> Self {
        let mut detail = Self {
            ttft: LatencyHistogram::decode(ttft),
            token_interval: LatencyHistogram::decode(token_interval),
            ..Self::default()
        };
        for (own, others) in detail.contributors.iter_mut().zip(contributors) {
            *own = Contributors::decode(others);
        }
        detail
    }
}

fn encode_sketch(sketch: &TopK) -> Vec<ContributorMessage> {
    let message = |hitter: HeavyHitter| ContributorMessage {
        name: hitter.name.to_string(),
        weight: hitter.weight,
        error: hitter.error,
    };
    sketch.top().into_iter().map(message).collect()
}

fn decode_sketch(capacity: usize, messages: &[ContributorMessage]) -> TopK {
    let hitter = |message: &ContributorMessage| HeavyHitter {
        name: Arc::from(&*message.name),
        weight: message.weight,
        error: message.error,
    };
    TopK::from_entries(capacity, messages.iter().take(capacity).map(hitter))
}
