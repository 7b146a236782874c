//! The hash ring of routers, and the bounded set of peers that each router probes.
//!
//! Each router probes the routers at distances of powers of two on the ring (its fingers, as in Chord). It thus
//! communicates with a number of peers logarithmic in the fleet size, each router is probed by equally many others, and
//! gossip reaches all routers in a logarithmic number of hops. All routers with the same members compute the same ring,
//! so no agreement protocol is needed.

use xxhash_rust::xxh3::xxh3_64;

use crate::id::RouterId;

/// The routers, ordered by a hash of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ring {
    routers: Vec<(u64, RouterId)>,
}

impl Ring {
    /// Creates the ring of `routers`.
    #[must_use]
    pub fn new<'a>(routers: impl IntoIterator<Item = &'a RouterId>) -> Self {
        let mut routers: Vec<_> = routers
            .into_iter()
            .map(|router| (xxh3_64(router.as_bytes()), router.clone()))
            .collect();
        routers.sort();
        routers.dedup();
        Self { routers }
    }

    /// Returns the number of routers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Returns whether there are no routers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routers.is_empty()
    }

    /// Returns the position of `router` on the ring.
    #[must_use]
    pub fn position(&self, router: &RouterId) -> Option<usize> {
        let key = (xxh3_64(router.as_bytes()), router.clone());
        self.routers.binary_search(&key).ok()
    }

    /// Returns the router at `position`.
    #[must_use]
    pub fn get(&self, position: usize) -> Option<&RouterId> {
        self.routers.get(position).map(|(_, router)| router)
    }

    /// Returns the routers that `router` probes: those at distances 1, 2, 4 and so on.
    #[must_use]
    pub fn fingers(&self, router: &RouterId) -> Vec<RouterId> {
        let Some(position) = self.position(router) else {
            return Vec::new();
        };
        let distances = std::iter::successors(Some(1), |distance| Some(distance * 2));
        distances
            .take_while(|distance| *distance < self.len())
            .filter_map(|distance| self.get((position + distance) % self.len()))
            .cloned()
            .collect()
    }
}
