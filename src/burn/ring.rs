//! A ring of time slices that forgets what is older than its window.

use std::time::Duration;

/// Slices of one window, with one more than fits the window, so that the running slice never shortens it.
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
    /// Makes an empty ring that covers `span` with `slices` slices.
    pub(super) fn new(span: Duration, slices: usize) -> Self {
        assert!(slices > 0, "a ring without slices holds nothing");
        let width = span / u32::try_from(slices).expect("few slices");
        Self {
            width,
            newest: 0,
            slots: (0..=slices).map(|_| None).collect(),
        }
    }

    /// Returns the slice of `now`, emptied if its place held an older one.
    ///
    /// A `now` before that of an earlier call counts into the newest slice.
    pub(super) fn current(&mut self, now: Duration) -> &mut T {
        self.newest = self.number(now).max(self.newest);
        let number = self.newest;
        let index = self.index(number);
        let slot = &mut self.slots[index];
        if slot.as_ref().is_none_or(|slot| slot.number != number) {
            *slot = Some(Slot {
                number,
                value: T::default(),
            });
        }
        &mut slot.as_mut().expect("filled above").value
    }

    /// Returns the slices within the window that ends at `now`, each with its age in slices.
    pub(super) fn slices(&self, now: Duration) -> impl Iterator<Item = (usize, &T)> {
        let newest = self.number(now).max(self.newest);
        self.slots.iter().flatten().filter_map(move |slot| {
            let age = usize::try_from(newest - slot.number).ok()?;
            (age < self.slots.len()).then_some((age, &slot.value))
        })
    }

    fn number(&self, now: Duration) -> u64 {
        u64::try_from(now.as_millis() / self.width.as_millis()).unwrap_or(u64::MAX)
    }

    fn index(&self, number: u64) -> usize {
        usize::try_from(number % self.slots.len() as u64).expect("below the slot count")
    }
}
