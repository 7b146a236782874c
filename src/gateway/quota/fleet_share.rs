//! The share of a quota that the owner of an account may grant while it does not see all routers.
//!
//! If the fleet is partitioned, each part has its own owner of an account. Each owner grants the share of the routers that
//! it sees among those that were seen recently, so that the shares add up to at most the whole quota. Routers that
//! announced that they leave don't count, so that a planned change of the fleet costs nothing of the quota. Rejected:
//! [`FleetSize`](crate::gateway::fleet_size), which counts routers that left as planned and forgets a partition after 30
//! seconds.
//!
//! Load pattern handled: one account floods both parts of a partitioned fleet; routers are restarted one after another.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::RouterId;

/// How long a router that disappeared without notice counts; as long as the membership remembers it.
const MEMORY: Duration = Duration::from_mins(2);

/// The routers that were seen recently.
#[derive(Debug)]
pub(crate) struct FleetShare {
    seen: HashMap<RouterId, Duration>,
    /// The number of routers that the settings name, which counts until this router has had time to meet them.
    expected: usize,
    expected_until: Duration,
}

impl FleetShare {
    /// Creates the state of a router that was started at `now` and whose settings name `expected` routers.
    pub(crate) fn new(expected: usize, now: Duration) -> Self {
        Self {
            seen: HashMap::new(),
            expected,
            expected_until: now + MEMORY,
        }
    }

    /// Records the routers that are alive, with whether each is leaving; returns how many of them there are and how many
    /// the whole fleet has, each at least 1.
    pub(crate) fn observe<'a>(
        &mut self,
        alive: impl Iterator<Item = (&'a RouterId, bool)>,
        now: Duration,
    ) -> (usize, usize) {
        self.seen.retain(|_, seen_at| now < *seen_at + MEMORY);
        let mut visible = 0;
        for (router, is_leaving) in alive {
            if is_leaving {
                self.seen.remove(router);
                continue;
            }
            visible += 1;
            match self.seen.get_mut(router) {
                Some(seen_at) => *seen_at = now,
                None => drop(self.seen.insert(router.clone(), now)),
            }
        }
        let mut fleet = self.seen.len();
        if now < self.expected_until {
            fleet = fleet.max(self.expected);
        }
        (visible.max(1), fleet.max(visible).max(1))
    }
}
