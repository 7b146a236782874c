//! Decides which configuration is in force in this process.
//!
//! States come from the platform's watch, from plain reads, from peers and from tickets accepted here, in any order and
//! as late as they like. Only a higher revision is adopted, and a floor asserts that the revision in force never falls.

use std::sync::Arc;
use std::time::Duration;

use super::{Configuration, StoredState};
use crate::account::AccountKeys;
use crate::id::Revision;

/// Where a state came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateSource {
    /// The platform, by a watch or a read.
    Store,
    /// Another router.
    Peer,
    /// A ticket that this router submitted.
    Ticket,
}

impl StateSource {
    /// Returns the label under which metrics and logs show the source.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Ticket => "ticket",
        }
    }
}

/// What an offered state came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The state is in force now; peers should hear of its revision.
    Adopted {
        /// The revision that was in force before.
        before: Revision,
    },
    /// The state has the revision that is in force.
    Same,
    /// The state is older than the one in force.
    Older,
    /// The state has the revision in force and other content, which no sound platform or peer gives; it is ignored.
    Diverged,
}

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    state: Arc<StoredState>,
    configuration: Arc<Configuration>,
    keys: Arc<AccountKeys>,
    floor: Revision,
    adopted_at: Duration,
}

impl InForce {
    /// Begins with the empty configuration, revision zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a state from anywhere and adopts it if it is newer than the one in force.
    pub fn offer(&mut self, state: StoredState, now: Duration) -> Adoption {
        let before = self.state.revision();
        if state.revision() < before {
            return Adoption::Older;
        }
        if state.revision() == before {
            return self.compare(state);
        }
        self.configuration = Arc::new(state.configuration());
        self.keys = Arc::new(AccountKeys::new(&self.configuration.accounts));
        self.state = Arc::new(state);
        self.adopted_at = now;
        self.raise_floor();
        Adoption::Adopted { before }
    }

    /// Returns the stored state in force.
    #[must_use]
    pub const fn state(&self) -> &Arc<StoredState> {
        &self.state
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns the keys of the configuration in force.
    #[must_use]
    pub const fn keys(&self) -> &Arc<AccountKeys> {
        &self.keys
    }

    /// Returns the revision in force.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.state.revision()
    }

    /// Returns when the revision in force was adopted.
    #[must_use]
    pub const fn adopted_at(&self) -> Duration {
        self.adopted_at
    }

    fn compare(&mut self, state: StoredState) -> Adoption {
        if state.root.shards != self.state.root.shards {
            return Adoption::Diverged;
        }
        // A state from a peer lacks the root's version, which saves the watch a read.
        if self.state.root_version.is_none() && state.root_version.is_some() {
            self.state = Arc::new(state);
        }
        Adoption::Same
    }

    fn raise_floor(&mut self) {
        let revision = self.state.revision();
        assert!(
            revision > self.floor,
            "revision {revision} would replace revision {} in force",
            self.floor
        );
        assert_eq!(
            revision, self.configuration.revision,
            "state and configuration are of one revision"
        );
        self.floor = revision;
    }
}
