//! The names with the greatest weight, in bounded memory whatever the number of names.
//!
//! This is the space-saving sketch of Metwally, Agrawal and El Abbadi: a full sketch gives the place of the lightest
//! name to a new one and keeps the weight taken over as the new name's possible error. Every name heavier than the
//! total divided by the capacity is in the sketch.

use std::sync::Arc;

/// One name in a [`TopK`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Heavy {
    pub(crate) name: Arc<str>,
    /// At least the name's true weight.
    pub(crate) weight: u64,
    /// At most this much of `weight` may belong to other names.
    pub(crate) error: u64,
}

/// A space-saving sketch of weighted names.
#[derive(Clone, Debug)]
pub(crate) struct TopK {
    capacity: usize,
    entries: Vec<Heavy>,
}

impl TopK {
    /// Makes an empty sketch that keeps at most `capacity` names.
    pub(crate) const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: Vec::new(),
        }
    }

    /// Adds `weight` to `name`.
    pub(crate) fn add(&mut self, name: &Arc<str>, weight: u64) {
        if weight == 0 {
            return;
        }
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.name == *name) {
            entry.weight = entry.weight.saturating_add(weight);
            return;
        }
        if self.entries.len() < self.capacity {
            self.entries.push(Heavy {
                name: name.clone(),
                weight,
                error: 0,
            });
            return;
        }
        let Some(lightest) = self.entries.iter_mut().min_by_key(|entry| entry.weight) else {
            return;
        };
        lightest.name = name.clone();
        lightest.error = lightest.weight;
        lightest.weight = lightest.weight.saturating_add(weight);
    }

    /// Adds another sketch of the same capacity.
    ///
    /// A name that only one side kept may have had up to the other side's least weight there, if that side was full.
    pub(crate) fn merge(&mut self, other: &Self) {
        let own_floor = self.floor();
        let other_floor = other.floor();
        let mut merged: Vec<Heavy> = Vec::with_capacity(self.entries.len() + other.entries.len());
        for entry in &self.entries {
            merged.push(entry.plus(other.find(&entry.name), other_floor));
        }
        for entry in &other.entries {
            if self.find(&entry.name).is_none() {
                merged.push(entry.plus(None, own_floor));
            }
        }
        merged.sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.name.cmp(&b.name)));
        merged.truncate(self.capacity);
        self.entries = merged;
        self.check();
    }

    /// Returns the kept names, heaviest first.
    pub(crate) fn heaviest(&self) -> Vec<Heavy> {
        let mut entries = self.entries.clone();
        entries.sort_by(|a, b| b.weight.cmp(&a.weight).then_with(|| a.name.cmp(&b.name)));
        entries
    }

    /// Takes over entries that another member sent; entries beyond the capacity are ignored.
    pub(crate) fn restore(capacity: usize, entries: impl IntoIterator<Item = Heavy>) -> Self {
        let mut sketch = Self::new(capacity);
        for entry in entries.into_iter().take(capacity) {
            if sketch.find(&entry.name).is_none() {
                let error = entry.error.min(entry.weight);
                sketch.entries.push(Heavy { error, ..entry });
            }
        }
        sketch.check();
        sketch
    }

    fn find(&self, name: &str) -> Option<&Heavy> {
        self.entries.iter().find(|entry| &*entry.name == name)
    }

    /// The greatest weight that a name outside the sketch can have.
    fn floor(&self) -> u64 {
        if self.entries.len() < self.capacity {
            return 0;
        }
        self.entries
            .iter()
            .map(|entry| entry.weight)
            .min()
            .unwrap_or(0)
    }

    fn check(&self) {
        assert!(
            self.entries.len() <= self.capacity,
            "a sketch outgrew its capacity"
        );
        for entry in &self.entries {
            assert!(
                entry.error <= entry.weight,
                "a sketch's error exceeds its weight"
            );
        }
    }
}

impl Heavy {
    fn plus(&self, other: Option<&Self>, floor: u64) -> Self {
        let (weight, error) = other.map_or((floor, floor), |other| (other.weight, other.error));
        Self {
            name: self.name.clone(),
            weight: self.weight.saturating_add(weight),
            error: self.error.saturating_add(error),
        }
    }
}
