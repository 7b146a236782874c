//! The record of a router in the membership.

use std::net::SocketAddr;

use xxhash_rust::xxh3::Xxh3;

use crate::id::{Incarnation, RouterId, ZoneName};

/// The state of a router according to failure detection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// The router responds.
    #[default]
    Alive,
    /// The router did not respond and has not refuted the suspicion yet.
    Suspected,
    /// The router did not refute the suspicion in time.
    Removed,
}

/// The load of a router, in levels coarse enough to change rarely.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadLevel {
    /// The router has spare capacity.
    #[default]
    Normal,
    /// The router should get fewer new callers than the others.
    Busy,
    /// The router should get new callers only if no other router can take them.
    Full,
}

impl LoadLevel {
    /// The utilization in percent at which a level is entered, and below which it is left.
    const BUSY_PERCENT: (u32, u32) = (75, 60);
    const FULL_PERCENT: (u32, u32) = (95, 85);

    /// Returns the level after this one at the given utilization. A level is left at a lower utilization than it is
    /// entered (hysteresis).
    #[must_use]
    pub const fn next(self, utilization_percent: u32) -> Self {
        let full = match self {
            Self::Full => Self::FULL_PERCENT.1,
            _ => Self::FULL_PERCENT.0,
        };
        let busy = match self {
            Self::Normal => Self::BUSY_PERCENT.0,
            _ => Self::BUSY_PERCENT.1,
        };
        if utilization_percent >= full {
            return Self::Full;
        }
        if utilization_percent >= busy {
            return Self::Busy;
        }
        Self::Normal
    }
}

/// The record of a router in the membership.
///
/// Only the router itself raises its version or sets `leaving`. Other routers change nothing but the liveness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The router's name.
    pub router: RouterId,
    /// The availability zone of its VM.
    pub zone: ZoneName,
    /// The address where it listens for other routers.
    pub peers: SocketAddr,
    /// The address where it listens for callers.
    pub callers: SocketAddr,
    /// The incarnation of its process, which is higher after each restart.
    pub incarnation: Incarnation,
    /// The version of this record, which the router raises with each change and refutation.
    pub version: u64,
    /// The state according to failure detection.
    pub liveness: Liveness,
    /// Whether the router is leaving, as reported by itself or by the VM list.
    pub leaving: bool,
    /// How busy it is.
    pub load: LoadLevel,
    /// The number of requests that it started in the last seconds. Known only from its own heartbeats, not gossiped.
    pub activity: u32,
}

impl Member {
    /// Returns the precedence among records of the same router; the greatest one wins.
    #[must_use]
    pub const fn precedence(&self) -> (Incarnation, u64, Liveness) {
        (self.incarnation, self.version, self.liveness)
    }

    /// Returns whether the router counts as a member.
    #[must_use]
    pub fn is_present(&self) -> bool {
        self.liveness != Liveness::Removed
    }

    /// Returns whether new callers and new ownership may be assigned to the router.
    #[must_use]
    pub fn takes_new_work(&self) -> bool {
        self.liveness == Liveness::Alive && !self.leaving
    }

    /// Returns a hash of the fields that are equal on all routers once gossip has converged.
    #[must_use]
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(self.router.as_bytes());
        hasher.update(&self.incarnation.to_le_bytes());
        hasher.update(&self.version.to_le_bytes());
        hasher.update(&[self.liveness as u8]);
        hasher.digest()
    }
}
