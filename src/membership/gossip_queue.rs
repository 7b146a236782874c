//! The queue of changed records that still have to be gossiped.

use std::collections::BTreeMap;

use crate::id::RouterId;

/// The maximum number of records piggybacked on one heartbeat.
pub(crate) const MAX_PIGGYBACKED_RECORDS: usize = 12;
/// How many times each record is sent, as a multiple of the number of peers that a router probes.
const TRANSMISSIONS_PER_PEER: u32 = 2;

/// The number of transmissions that a heartbeat from a peer with the same members counts as.
const CONFIRMATION_TRANSMISSIONS: u32 = 4;

/// The records that still have to be gossiped, each with the number of its transmissions so far.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    transmissions: BTreeMap<RouterId, u32>,
}

impl GossipQueue {
    /// Queues the record of `router`, restarting its count if it is already queued.
    pub(crate) fn add(&mut self, router: RouterId) {
        self.transmissions.insert(router, 0);
    }

    /// Records that one more peer has all the queued records, which follows from an equal digest of the members.
    pub(crate) fn confirm(&mut self, peers: usize) {
        let limit = transmission_limit(peers);
        for sent in self.transmissions.values_mut() {
            *sent += CONFIRMATION_TRANSMISSIONS;
        }
        self.transmissions.retain(|_, sent| *sent < limit);
    }

    /// Returns the records to send on one heartbeat, least transmitted first, and counts the transmission.
    ///
    /// `peers` is the number of routers that this one probes.
    pub(crate) fn take(&mut self, peers: usize) -> Vec<RouterId> {
        let limit = transmission_limit(peers);
        let mut order: Vec<_> = self
            .transmissions
            .iter()
            .map(|(router, sent)| (*sent, router.clone()))
            .collect();
        order.sort();
        order.truncate(MAX_PIGGYBACKED_RECORDS);
        for (sent, router) in &order {
            if sent + 1 >= limit {
                self.transmissions.remove(router);
            } else {
                self.transmissions.insert(router.clone(), sent + 1);
            }
        }
        order.into_iter().map(|(_, router)| router).collect()
    }
}

fn transmission_limit(peers: usize) -> u32 {
    TRANSMISSIONS_PER_PEER * u32::try_from(peers.max(1)).unwrap_or(u32::MAX)
}
