//! What a slice of time keeps beyond counts: histograms of latency, and who caused the bad events.

use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::burn::message::{BurnerFigure, HistogramFigures, ObjectiveBurners};
use crate::burn::sketch::{Heavy, TopK};
use crate::burn::{ObjectiveKind, Observation, Tally};

/// The longest latency that a histogram tells apart from longer ones, in milliseconds.
const MAX_LATENCY_MS: u64 = 600_000;
/// The significant decimal digits of a histogram's values.
const LATENCY_DIGITS: u8 = 2;
/// The most values that a member's histogram may list.
const MAX_HISTOGRAM_VALUES: usize = 4_096;
const ACCOUNTS_KEPT: usize = 32;
const REPLICAS_KEPT: usize = 32;
const ZONES_KEPT: usize = 8;

/// A histogram of latencies in milliseconds, without memory until something is recorded.
#[derive(Clone, Debug, Default)]
pub(super) struct Latency {
    histogram: Option<Histogram<u32>>,
}

impl Latency {
    fn record(&mut self, latency: Duration) {
        let latency_ms = u64::try_from(latency.as_millis()).unwrap_or(MAX_LATENCY_MS);
        self.record_n(latency_ms, 1);
    }

    fn record_n(&mut self, latency_ms: u64, count: u32) {
        let histogram = self.histogram.get_or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_DIGITS)
                .expect("the bounds are constant and valid")
        });
        histogram.saturating_record_n(latency_ms.min(MAX_LATENCY_MS), count);
    }

    pub(super) fn merge(&mut self, other: &Self) {
        let Some(theirs) = &other.histogram else {
            return;
        };
        match &mut self.histogram {
            Some(ours) => ours.add(theirs).expect("all histograms have equal bounds"),
            None => self.histogram = Some(theirs.clone()),
        }
    }

    /// Returns the number of recorded latencies.
    pub(super) fn len(&self) -> u64 {
        self.histogram.as_ref().map_or(0, Histogram::len)
    }

    /// Returns the latency in milliseconds that `percent` of the recorded ones do not exceed.
    pub(super) fn percentile_ms(&self, percent: f64) -> Option<u64> {
        self.histogram
            .as_ref()
            .filter(|histogram| !histogram.is_empty())
            .map(|histogram| histogram.value_at_percentile(percent))
    }

    pub(super) fn figures(&self) -> HistogramFigures {
        let mut figures = HistogramFigures::default();
        let Some(histogram) = &self.histogram else {
            return figures;
        };
        for value in histogram.iter_recorded() {
            figures.values_ms.push(value.value_iterated_to());
            figures.counts.push(value.count_at_value());
        }
        figures
    }

    pub(super) fn restore(figures: &HistogramFigures) -> Self {
        let mut latency = Self::default();
        let pairs = figures.values_ms.iter().zip(&figures.counts);
        for (value_ms, count) in pairs.take(MAX_HISTOGRAM_VALUES) {
            latency.record_n(*value_ms, *count);
        }
        latency
    }
}

/// Who caused the bad events of one objective.
#[derive(Clone, Debug)]
pub(super) struct Burners {
    pub(super) accounts: TopK,
    pub(super) replicas: TopK,
    pub(super) zones: TopK,
}

impl Default for Burners {
    fn default() -> Self {
        Self {
            accounts: TopK::new(ACCOUNTS_KEPT),
            replicas: TopK::new(REPLICAS_KEPT),
            zones: TopK::new(ZONES_KEPT),
        }
    }
}

impl Burners {
    fn merge(&mut self, other: &Self) {
        self.accounts.merge(&other.accounts);
        self.replicas.merge(&other.replicas);
        self.zones.merge(&other.zones);
    }

    fn restore(figures: &ObjectiveBurners) -> Self {
        Self {
            accounts: restore(ACCOUNTS_KEPT, &figures.accounts),
            replicas: restore(REPLICAS_KEPT, &figures.replicas),
            zones: restore(ZONES_KEPT, &figures.zones),
        }
    }
}

/// The details of one slice, or of several merged.
#[derive(Clone, Debug, Default)]
pub(super) struct Detail {
    ttft: Latency,
    token_interval: Latency,
    burners: [Burners; 4],
}

impl Detail {
    pub(super) fn record(&mut self, observation: &Observation, tally: &Tally) {
        if let Some(ttft) = observation.ttft {
            self.ttft.record(ttft);
        }
        if let Some(interval) = observation.token_interval {
            self.token_interval.record(interval);
        }
        for (burners, bad) in self.burners.iter_mut().zip(tally.bad) {
            burners.accounts.add(&observation.account, bad);
            if let Some(replica) = &observation.replica {
                burners.replicas.add(replica, bad);
            }
            if let Some(zone) = &observation.zone {
                burners.zones.add(zone, bad);
            }
        }
    }

    pub(super) fn merge(&mut self, other: &Self) {
        self.ttft.merge(&other.ttft);
        self.token_interval.merge(&other.token_interval);
        for (ours, theirs) in self.burners.iter_mut().zip(&other.burners) {
            ours.merge(theirs);
        }
    }

    pub(super) const fn ttft(&self) -> &Latency {
        &self.ttft
    }

    pub(super) const fn token_interval(&self) -> &Latency {
        &self.token_interval
    }

    pub(super) const fn burners(&self, kind: ObjectiveKind) -> &Burners {
        &self.burners[kind as usize]
    }

    pub(super) fn burner_figures(&self) -> Vec<ObjectiveBurners> {
        let figures = |burners: &Burners| ObjectiveBurners {
            accounts: list(&burners.accounts),
            replicas: list(&burners.replicas),
            zones: list(&burners.zones),
        };
        self.burners.iter().map(figures).collect()
    }

    pub(super) fn restore(
        ttft: &HistogramFigures,
        token_interval: &HistogramFigures,
        burners: &[ObjectiveBurners],
    ) -> Self {
        let mut detail = Self {
            ttft: Latency::restore(ttft),
            token_interval: Latency::restore(token_interval),
            ..Self::default()
        };
        for (ours, theirs) in detail.burners.iter_mut().zip(burners) {
            *ours = Burners::restore(theirs);
        }
        detail
    }
}

fn list(sketch: &TopK) -> Vec<BurnerFigure> {
    let figure = |heavy: Heavy| BurnerFigure {
        name: heavy.name.to_string(),
        weight: heavy.weight,
        error: heavy.error,
    };
    sketch.heaviest().into_iter().map(figure).collect()
}

fn restore(capacity: usize, figures: &[BurnerFigure]) -> TopK {
    let heavy = |figure: &BurnerFigure| Heavy {
        name: Arc::from(&*figure.name),
        weight: figure.weight,
        error: figure.error,
    };
    TopK::restore(capacity, figures.iter().take(capacity).map(heavy))
}
