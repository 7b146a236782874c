//! What changed lately and how often it still has to be told.

use std::collections::BTreeMap;

use crate::id::RouterId;

/// The most records that ride on one heartbeat.
pub(crate) const MAX_RUMORS_PER_MESSAGE: usize = 12;
/// How many times each record is told, as a multiple of the peers that a router probes.
const TELLINGS_PER_PEER: u32 = 2;

/// What a peer with the same members counts for, in tellings.
const CONFIRMATION_TELLINGS: u32 = 4;

/// The records that still have to be told.
#[derive(Debug, Default)]
pub(crate) struct Rumors {
    told: BTreeMap<RouterId, u32>,
}

impl Rumors {
    /// Begins to tell the record of `router`, anew where it was told before.
    pub(crate) fn add(&mut self, router: RouterId) {
        self.told.insert(router, 0);
    }

    /// Counts that one more peer knows all that is told here, since its members are the same.
    pub(crate) fn confirm(&mut self, peers: usize) {
        let limit = telling_limit(peers);
        for told in self.told.values_mut() {
            *told += CONFIRMATION_TELLINGS;
        }
        self.told.retain(|_, told| *told < limit);
    }

    /// Takes the records for one heartbeat, those told least first.
    ///
    /// `peers` is the number of routers that this one probes.
    pub(crate) fn take(&mut self, peers: usize) -> Vec<RouterId> {
        let limit = telling_limit(peers);
        let mut order: Vec<_> = self
            .told
            .iter()
            .map(|(router, told)| (*told, router.clone()))
            .collect();
        order.sort();
        order.truncate(MAX_RUMORS_PER_MESSAGE);
        for (told, router) in &order {
            if told + 1 >= limit {
                self.told.remove(router);
            } else {
                self.told.insert(router.clone(), told + 1);
            }
        }
        order.into_iter().map(|(_, router)| router).collect()
    }
}

fn telling_limit(peers: usize) -> u32 {
    TELLINGS_PER_PEER * u32::try_from(peers.max(1)).unwrap_or(u32::MAX)
}
