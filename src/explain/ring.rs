//! The latest explanations of one router.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::explain::Explanation;
use crate::id::RequestId;

/// Two rings of explanations: of all requests, and of those that are [notable](Explanation::is_notable).
///
/// A flood of smooth requests pushes out smooth ones only.
#[derive(Debug)]
pub struct Explanations {
    smooth: Ring,
    notable: Ring,
    by_id: HashMap<RequestId, Arc<Explanation>>,
}

#[derive(Debug)]
struct Ring {
    capacity: usize,
    ids: VecDeque<RequestId>,
}

impl Explanations {
    /// Makes empty rings for `smooth_capacity` and `notable_capacity` explanations.
    #[must_use]
    pub fn new(smooth_capacity: usize, notable_capacity: usize) -> Self {
        Self {
            smooth: Ring::new(smooth_capacity),
            notable: Ring::new(notable_capacity),
            by_id: HashMap::new(),
        }
    }

    /// Keeps `explanation`, in place of the oldest of its kind if the ring is full.
    ///
    /// An id that is already kept keeps its first explanation.
    pub fn push(&mut self, mut explanation: Explanation) {
        if self.by_id.contains_key(&explanation.id) {
            return;
        }
        explanation.bound();
        let id = explanation.id;
        let ring = if explanation.is_notable() {
            &mut self.notable
        } else {
            &mut self.smooth
        };
        if ring.capacity == 0 {
            return;
        }
        if let Some(oldest) = ring.push(id) {
            self.by_id.remove(&oldest);
        }
        self.by_id.insert(id, Arc::new(explanation));
        assert_eq!(
            self.by_id.len(),
            self.smooth.ids.len() + self.notable.ids.len(),
            "explanations and their rings differ"
        );
    }

    /// Finds the explanation of the request `id`.
    #[must_use]
    pub fn find(&self, id: RequestId) -> Option<Arc<Explanation>> {
        self.by_id.get(&id).cloned()
    }

    /// Returns the ids of the notable requests, latest first.
    pub fn notable(&self) -> impl Iterator<Item = RequestId> {
        self.notable.ids.iter().rev().copied()
    }

    /// Returns how many explanations are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Tells whether no explanation is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

impl Ring {
    const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ids: VecDeque::new(),
        }
    }

    /// Adds `id` and returns the id that had to go.
    fn push(&mut self, id: RequestId) -> Option<RequestId> {
        let oldest = (self.ids.len() >= self.capacity)
            .then(|| self.ids.pop_front())
            .flatten();
        self.ids.push_back(id);
        oldest
    }
}
