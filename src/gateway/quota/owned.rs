//! The quotas of the configuration as one router sees them: the accounts that it owns and what it answers to quota
//! requests.
//!
//! A router answers for an account only while it believes that it is the owner, so that a router whose view of the fleet
//! is old grants nothing. Rejected: answering every request, with which each former owner would go on granting the whole
//! rate to those that still ask it.
//!
//! Load pattern handled: one account floods all routers while routers join, leave, die and are cut off.

use std::collections::HashMap;
use std::time::Duration;

use super::fleet_share::FleetShare;
use super::message::{QuotaReply, QuotaRequest};
use super::owner::QuotaOwner;
use super::{AccountKey, QuotaLimit};
use crate::id::RouterId;

/// The interval at which the routers that are alive are recorded while no quota is in use.
const IDLE_OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);

/// The quotas of the configuration and the buckets of the accounts that this router owns.
#[derive(Debug)]
pub(crate) struct OwnedQuotas {
    /// The limit of each account of the configuration; `None` if it has no quota.
    limits: HashMap<AccountKey, Option<QuotaLimit>>,
    /// The accounts with a quota that this router owns, as of a generation of the membership.
    owned: HashMap<AccountKey, QuotaLimit>,
    owned_generation: Option<u64>,
    owner: QuotaOwner,
    fleet: FleetShare,
    /// Whether any account has had a quota, or a router has asked for one.
    is_active: bool,
    next_idle_observation: Duration,
}

/// What an update has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QuotaUpdate {
    /// How long this router was paused, if it was; its buckets are empty then.
    pub(crate) pause: Option<Duration>,
    /// The size of the whole fleet.
    pub(crate) fleet: usize,
    /// The number of routers that this one sees.
    pub(crate) visible: usize,
    /// The number of accounts with a quota that this router owns.
    pub(crate) owned: usize,
}

impl OwnedQuotas {
    /// Creates the state of a router that was started at `now` and whose settings name `expected` routers.
    pub(crate) fn new(expected: usize, now: Duration) -> Self {
        Self {
            limits: HashMap::new(),
            owned: HashMap::new(),
            owned_generation: None,
            owner: QuotaOwner::new(now),
            fleet: FleetShare::new(expected, now),
            is_active: false,
            next_idle_observation: now,
        }
    }

    /// Replaces the limits of all accounts; [`OwnedQuotas::update`] is to be called next.
    pub(crate) fn set_limits(
        &mut self,
        limits: impl Iterator<Item = (AccountKey, Option<QuotaLimit>)>,
    ) {
        let checked = |limit: QuotaLimit| limit.checked();
        self.limits = limits
            .map(|(account, limit)| (account, limit.and_then(checked)))
            .collect();
        self.owned_generation = None;
        self.is_active |= self.limits.values().any(Option::is_some);
    }

    /// Returns whether any quota is in use.
    pub(crate) const fn is_active(&self) -> bool {
        self.is_active
    }

    /// Enables the quotas, since a request needs tokens of an account that no configuration names.
    pub(crate) const fn activate(&mut self) {
        self.is_active = true;
    }

    /// Records the routers that are alive while no quota is in use, so that the share of this router is known when one is;
    /// to be called at least every 500 ms. Returns the size of the whole fleet once a second.
    pub(crate) fn observe_idle<'a>(
        &mut self,
        alive: impl Iterator<Item = (&'a RouterId, bool)>,
        now: Duration,
    ) -> Option<usize> {
        self.owner.tick(now);
        if now < self.next_idle_observation {
            return None;
        }
        self.next_idle_observation = now + IDLE_OBSERVATION_INTERVAL;
        Some(self.fleet.observe(alive, now).1)
    }

    /// Updates the accounts that this router owns and the share of their limits that it grants; to be called at least every
    /// 500 ms.
    ///
    /// `alive` are the routers that are believed to be alive, with whether each is leaving, `generation` changes with them,
    /// and `is_own` tells whether this router owns an account.
    pub(crate) fn update<'a>(
        &mut self,
        alive: impl Iterator<Item = (&'a RouterId, bool)>,
        generation: u64,
        is_own: impl Fn(AccountKey) -> bool,
        now: Duration,
    ) -> QuotaUpdate {
        let pause = self.owner.tick(now);
        let (visible, fleet) = self.fleet.observe(alive, now);
        if self.owned_generation.replace(generation) != Some(generation) {
            let limits = self.limits.iter();
            self.owned = limits
                .filter_map(|(account, limit)| Some((*account, (*limit)?)))
                .filter(|(account, _)| is_own(*account))
                .collect();
            self.owner.remove_unknown(|account| !is_own(account));
        }
        let share = visible as f64 / fleet as f64;
        self.owner.set_owned(&self.owned, share, now);
        QuotaUpdate {
            pause,
            fleet,
            visible,
            owned: self.owned.len(),
        }
    }

    /// Returns the answer to a quota request; `is_own` is whether this router owns the account.
    pub(crate) fn answer(
        &mut self,
        request: &QuotaRequest,
        is_own: bool,
        now: Duration,
    ) -> QuotaReply {
        if !is_own {
            return QuotaReply {
                is_not_owner: true,
                ..QuotaReply::default()
            };
        }
        let limit = match self.limits.get(&request.account) {
            Some(Some(limit)) => *limit,
            Some(None) => return QuotaReply::grant_all(request),
            None => {
                self.is_active = true;
                QuotaLimit {
                    rate_per_s: f64::from(request.rate_per_s),
                    burst: f64::from(request.burst),
                }
            }
        };
        self.owner.request(request, limit, now)
    }
}
