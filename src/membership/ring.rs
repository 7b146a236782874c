//! The order of routers by a hash of their names, and the bounded peers that follow from it.
//!
//! Each router probes those at distances of powers of two, so that it talks with a logarithm of the fleet, every router
//! is probed by as many, and news reaches all in a logarithm of steps. All routers with the same members work out the
//! same order, so that none has to be agreed.

use xxhash_rust::xxh3::xxh3_64;

use crate::id::RouterId;

/// The order of routers by a hash of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ring {
    routers: Vec<(u64, RouterId)>,
}

impl Ring {
    /// Orders `routers`.
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

    /// Tells whether there is no router.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routers.is_empty()
    }

    /// Returns the place of `router` in the order.
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
