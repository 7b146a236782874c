//! Storage of the most recent explanations of one router.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use crate::explain::Explanation;
use crate::id::RequestId;

/// Two ring buffers of explanations: of [notable](Explanation::is_notable) requests and of all others.
///
/// A high rate of normal requests therefore evicts only normal ones.
#[derive(Debug)]
pub struct Explanations {
    normal: Ring,
    notable: Ring,
    by_id: HashMap<RequestId, Arc<Explanation>>,
}

#[derive(Debug)]
struct Ring {
    capacity: usize,
    ids: VecDeque<RequestId>,
}

impl Explanations {
    /// Creates empty ring buffers for `normal_capacity` and `notable_capacity` explanations.
    #[must_use]
    pub fn new(normal_capacity: usize, notable_capacity: usize) -> Self {
        Self {
            normal: Ring::new(normal_capacity),
            notable: Ring::new(notable_capacity),
            by_id: HashMap::new(),
        }
    }

    /// Stores `explanation`, replacing the oldest one of its kind if the ring buffer is full.
    ///
    /// If an explanation with the same id is stored already, the new one is discarded.
    pub fn push(&mut self, mut explanation: Explanation) {
        if self.by_id.contains_key(&explanation.id) {
            return;
        }
        explanation.truncate();
        let id = explanation.id;
        let ring = if explanation.is_notable() {
            &mut self.notable
        } else {
            &mut self.normal
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
            self.normal.ids.len() + self.notable.ids.len(),
            "explanation count differs from the ring buffers"
        );
    }

    /// Returns the explanation of the request `id`, if it is stored.
    #[must_use]
    pub fn find(&self, id: RequestId) -> Option<Arc<Explanation>> {
        self.by_id.get(&id).cloned()
    }

    /// Returns the ids of the notable requests, newest first.
    pub fn notable(&self) -> impl Iterator<Item = RequestId> {
        self.notable.ids.iter().rev().copied()
    }

    /// Returns the number of stored explanations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no explanation is stored.
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

    /// Adds `id` and returns the evicted id, if any.
    fn push(&mut self, id: RequestId) -> Option<RequestId> {
        let oldest = (self.ids.len() >= self.capacity)
            .then(|| self.ids.pop_front())
            .flatten();
        self.ids.push_back(id);
        oldest
    }
}
