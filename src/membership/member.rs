//! One router as the others know it.

use std::net::SocketAddr;

use xxhash_rust::xxh3::Xxh3;

use crate::id::{Incarnation, RouterId, ZoneName};

/// Whether a router is believed to run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Liveness {
    /// It answers.
    #[default]
    Alive,
    /// It did not answer and has not refuted that yet.
    Suspected,
    /// It did not refute in time.
    Removed,
}

/// How busy a router is, in levels coarse enough to change rarely.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadLevel {
    /// It has room.
    #[default]
    Normal,
    /// It should get fewer new callers than the others.
    Busy,
    /// It should get new callers only where no other can.
    Full,
}

impl LoadLevel {
    /// The utilisation in percent from which a level is entered, and below which it is left.
    const BUSY_PERCENT: (u32, u32) = (75, 60);
    const FULL_PERCENT: (u32, u32) = (95, 85);

    /// Returns the level that follows this one at a utilisation, with room between entering and leaving a level.
    #[must_use]
    pub const fn next(self, utilisation_percent: u32) -> Self {
        let full = match self {
            Self::Full => Self::FULL_PERCENT.1,
            _ => Self::FULL_PERCENT.0,
        };
        let busy = match self {
            Self::Normal => Self::BUSY_PERCENT.0,
            _ => Self::BUSY_PERCENT.1,
        };
        if utilisation_percent >= full {
            return Self::Full;
        }
        if utilisation_percent >= busy {
            return Self::Busy;
        }
        Self::Normal
    }
}

/// One router as the others know it.
///
/// Only the router itself raises its version or tells that it leaves. Others raise the liveness alone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The router's name.
    pub router: RouterId,
    /// The availability zone of its VM.
    pub zone: ZoneName,
    /// Where it listens for routers.
    pub peers: SocketAddr,
    /// Where it listens for callers.
    pub callers: SocketAddr,
    /// The life of its process.
    pub incarnation: Incarnation,
    /// The version of this record, which the router raises with each change and refutation.
    pub version: u64,
    /// Whether it is believed to run.
    pub liveness: Liveness,
    /// Whether it has told that it leaves, or the VM list has.
    pub leaving: bool,
    /// How busy it is.
    pub load: LoadLevel,
    /// The requests that it started in the last seconds, as it told directly; not gossiped.
    pub activity: u32,
}

impl Member {
    /// Returns what decides between two records of one router: the greater one holds.
    #[must_use]
    pub const fn precedence(&self) -> (Incarnation, u64, Liveness) {
        (self.incarnation, self.version, self.liveness)
    }

    /// Tells whether the router counts as a member.
    #[must_use]
    pub fn is_present(&self) -> bool {
        self.liveness != Liveness::Removed
    }

    /// Tells whether new callers and new ownership may go to the router.
    #[must_use]
    pub fn takes_new_work(&self) -> bool {
        self.liveness == Liveness::Alive && !self.leaving
    }

    /// Returns a hash of what must be equal everywhere once gossip has settled.
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
