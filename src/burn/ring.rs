//! A ring buffer of time slices that overwrites slices older than its window.

use std::time::Duration;

/// The time slices of one window. There is one more slice than fits into the window, so that the window stays fully
/// covered while the current slice is incomplete.
#[derive(Debug)]
pub(super) struct Ring<T> {
    width: Duration,
    newest: u64,
    slots: Vec<Option<Slot<T>>>,
}

#[derive(Debug)]
struct Slot<T> {
    number: u64,
    value: T,
}

impl<T: Default> Ring<T> {
    /// Creates an empty ring buffer that covers `span` with `slices` slices.
    ///
    /// # Panics
    ///
    /// Panics if `slices` is zero.
    pub(super) fn new(span: Duration, slices: usize) -> Self {
        assert!(slices > 0, "ring buffer must have at least one slice");
        let width = span / u32::try_from(slices).expect("slice count fits in u32");
        Self {
            width,
            newest: 0,
            slots: (0..=slices).map(|_| None).collect(),
        }
    }

    /// Returns the slice that contains `now`, reset if its slot held an older slice.
    ///
    /// If `now` is earlier than in a previous call, the newest slice is returned.
    pub(super) fn current(&mut self, now: Duration) -> &mut T {
        self.newest = self.slice_number(now).max(self.newest);
        let number = self.newest;
        let index = self.slot_index(number);
        let slot = &mut self.slots[index];
        if slot.as_ref().is_none_or(|slot| slot.number != number) {
            *slot = Some(Slot {
                number,
                value: T::default(),
            });
        }
        &mut slot.as_mut().expect("slot was filled above").value
    }

    /// Returns the slices within the window that ends at `now`, each with its age in number of slices.
    pub(super) fn slices(&self, now: Duration) -> impl Iterator<Item = (usize, &T)> {
        let newest = self.slice_number(now).max(self.newest);
        self.slots.iter().flatten().filter_map(move |slot| {
            let age = usize::try_from(newest - slot.number).ok()?;
            (age < self.slots.len()).then_some((age, &slot.value))
        })
    }

    fn slice_number(&self, now: Duration) -> u64 {
        u64::try_from(now.as_millis() / self.width.as_millis()).unwrap_or(u64::MAX)
    }

    fn slot_index(&self, number: u64) -> usize {
        usize::try_from(number % self.slots.len() as u64)
            .expect("index is less than the slot count")
    }
}
