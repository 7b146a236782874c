//! Heavy hitters: the names with the greatest weight, in memory that does not depend on the number of names.
//!
//! This is the space-saving sketch of Metwally, Agrawal and El Abbadi. A full sketch replaces the entry of least weight
//! with the new name, which inherits that weight as its maximum error. Every name whose weight exceeds the total
//! divided by the capacity is in the sketch.

use std::sync::Arc;

/// An entry of a [`TopK`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HeavyHitter {
    pub(crate) name: Arc<str>,
    /// An upper bound of the name's true weight.
    pub(crate) weight: u64,
    /// The maximum overestimate: the true weight is at least `weight - error`.
    pub(crate) error: u64,
}

/// A space-saving sketch of weighted names.
#[derive(Clone, Debug)]
pub(crate) struct TopK {
    capacity: usize,
    entries: Vec<HeavyHitter>,
}

impl TopK {
    /// Creates an empty sketch of at most `capacity` names.
    pub(crate) const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: Vec::new(),
        }
    }

    /// Adds `weight` to the weight of `name`.
    pub(crate) fn add(&mut self, name: &Arc<str>, weight: u64) {
        if weight == 0 {
            return;
        }
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.name == *name) {
            entry.weight = entry.weight.saturating_add(weight);
            return;
        }
        if self.entries.len() < self.capacity {
            self.entries.push(HeavyHitter {
                name: name.clone(),
                weight,
                error: 0,
            });
            return;
        }
        let Some(smallest) = self.entries.iter_mut().min_by_key(|entry| entry.weight) else {
            return;
        };
        smallest.name = name.clone();
        smallest.error = smallest.weight;
        smallest.weight = smallest.weight.saturating_add(weight);
    }

    /// Merges another sketch of the same capacity into this one.
    ///
    /// A name that is missing from a full sketch may have had up to the minimum weight of that sketch, so this weight is
    /// added to both its weight and its error.
    pub(crate) fn merge(&mut self, other: &Self) {
        let own_min_weight = self.min_weight();
        let other_min_weight = other.min_weight();
        let mut merged: Vec<HeavyHitter> =
            Vec::with_capacity(self.entries.len() + other.entries.len());
        for entry in &self.entries {
            merged.push(entry.merged_with(other.find(&entry.name), other_min_weight));
        }
        for entry in &other.entries {
            if self.find(&entry.name).is_none() {
                merged.push(entry.merged_with(None, own_min_weight));
            }
        }
        merged.sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.name.cmp(&b.name)));
        merged.truncate(self.capacity);
        self.entries = merged;
        self.assert_valid();
    }

    /// Returns the entries in descending order of weight.
    pub(crate) fn top(&self) -> Vec<HeavyHitter> {
        let mut entries = self.entries.clone();
        entries.sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.name.cmp(&b.name)));
        entries
    }

    /// Creates a sketch from entries received from another member. Entries beyond the capacity are ignored.
    pub(crate) fn from_entries(
        capacity: usize,
        entries: impl IntoIterator<Item = HeavyHitter>,
    ) -> Self {
        let mut sketch = Self::new(capacity);
        for entry in entries.into_iter().take(capacity) {
            if sketch.find(&entry.name).is_none() {
                let error = entry.error.min(entry.weight);
                sketch.entries.push(HeavyHitter { error, ..entry });
            }
        }
        sketch.assert_valid();
        sketch
    }

    fn find(&self, name: &str) -> Option<&HeavyHitter> {
        self.entries.iter().find(|entry| &*entry.name == name)
    }

    /// Returns the maximum weight that a name outside the sketch can have.
    fn min_weight(&self) -> u64 {
        if self.entries.len() < self.capacity {
            return 0;
        }
        self.entries
            .iter()
            .map(|entry| entry.weight)
            .min()
            .unwrap_or(0)
    }

    fn assert_valid(&self) {
        assert!(
            self.entries.len() <= self.capacity,
            "sketch exceeds its capacity"
        );
        for entry in &self.entries {
            assert!(
                entry.error <= entry.weight,
                "sketch entry has an error greater than its weight"
            );
        }
    }
}

impl HeavyHitter {
    fn merged_with(&self, other: Option<&Self>, min_weight: u64) -> Self {
        let (weight, error) = other.map_or((min_weight, min_weight), |other| {
            (other.weight, other.error)
        });
        Self {
            name: self.name.clone(),
            weight: self.weight.saturating_add(weight),
            error: self.error.saturating_add(error),
        }
    }
}
