//! Chooses the router over which a connection is opened.
//!
//! Handles many connections at once: the less busy one of two random routers is chosen, and one that has refused is left
//! out for a while. Rejected: rendezvous hashing of replicas over routers, which leads all routers that are cut off to
//! the same helper.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;

use crate::id::{RouterId, ZoneName};

/// How long a router is not asked again after it refused or did not answer.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// A router that may open connections for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Helper {
    /// The router.
    pub(crate) router: RouterId,
    /// Its address for other routers.
    pub(crate) address: SocketAddr,
    /// Its availability zone.
    pub(crate) zone: ZoneName,
}

#[derive(Clone, Debug)]
struct HelperState {
    helper: Helper,
    /// The connections of this router that are open or being opened over it.
    open: u32,
    avoid_until: Duration,
}

/// The routers that may open connections for this one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Helpers {
    known: Vec<HelperState>,
}

impl Helpers {
    /// Sets the routers; what is known about those that remain is kept.
    pub(crate) fn set(&mut self, helpers: impl IntoIterator<Item = Helper>) {
        let mut before = std::mem::take(&mut self.known);
        for helper in helpers {
            let same = before
                .iter()
                .position(|state| state.helper.router == helper.router);
            let state = same.map(|index| before.swap_remove(index));
            let (open, avoid_until) =
                state.map_or_else(Default::default, |state| (state.open, state.avoid_until));
            self.known.push(HelperState {
                helper,
                open,
                avoid_until,
            });
        }
    }

    /// Chooses a router and counts a connection over it, until [`Helpers::closed`]; after `refused`, one of another zone
    /// if there is one.
    pub(crate) fn choose(
        &mut self,
        refused: Option<&Helper>,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<Helper> {
        let is_usable = |state: &&mut HelperState| {
            now >= state.avoid_until
                && refused.is_none_or(|refused| refused.router != state.helper.router)
        };
        let is_elsewhere =
            |state: &HelperState| refused.is_none_or(|refused| refused.zone != state.helper.zone);
        let has_elsewhere = self
            .known
            .iter_mut()
            .any(|state| is_usable(&state) && is_elsewhere(state));
        let candidates = self
            .known
            .iter_mut()
            .filter(|state| is_usable(state) && (!has_elsewhere || is_elsewhere(state)));
        let drawn = candidates.sample(rng, 2);
        let chosen = drawn.into_iter().min_by_key(|state| state.open)?;
        chosen.open += 1;
        Some(chosen.helper.clone())
    }

    /// Records that a connection over a router is closed, or was not opened.
    pub(crate) fn closed(&mut self, router: &RouterId) {
        if let Some(state) = self.find(router) {
            state.open = state.open.saturating_sub(1);
        }
    }

    /// Records that a router refused to open a connection, or did not answer.
    pub(crate) fn refused(&mut self, router: &RouterId, now: Duration) {
        if let Some(state) = self.find(router) {
            state.avoid_until = now + AVOID_TIME;
        }
    }

    /// Returns whether a router may be asked: it is alive, ready and does not leave.
    pub(crate) fn contains(&self, router: &RouterId) -> bool {
        let mut known = self.known.iter();
        known.any(|state| state.helper.router == *router)
    }

    fn find(&mut self, router: &RouterId) -> Option<&mut HelperState> {
        let mut known = self.known.iter_mut();
        known.find(|state| state.helper.router == *router)
    }
}
