//! The active configuration of this process, and the rule by which a newer one replaces it.
//!
//! States arrive from the platform's watch, from plain reads, from peers and from tickets accepted by this router, in
//! any order and with any delay. Only a state with a higher revision is adopted, and an assertion checks that the
//! active revision never decreases.

use std::sync::Arc;
use std::time::Duration;

use super::{Configuration, StoredState};
use crate::account::AccountKeys;
use crate::id::Revision;

/// The source of a state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateSource {
    /// The platform, through a watch or a read.
    Store,
    /// Another router.
    Peer,
    /// A ticket that this router submitted to the platform.
    Ticket,
}

impl StateSource {
    /// Returns the label of the source in metrics and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Ticket => "ticket",
        }
    }
}

/// The result of offering a state for adoption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The state is now active. Its revision should be announced to peers.
    Adopted {
        /// The revision that was active before.
        before: Revision,
    },
    /// The state has the active revision.
    Same,
    /// The state has a lower revision than the active one.
    Older,
    /// The state has the active revision but different content. It is ignored; a correct platform or peer never sends
    /// one.
    Diverged,
}

/// The active configuration.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfiguration {
    state: Arc<StoredState>,
    configuration: Arc<Configuration>,
    keys: Arc<AccountKeys>,
    highest_revision: Revision,
    adopted_at: Duration,
}

impl ActiveConfiguration {
    /// Creates an empty configuration with revision zero.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adopts `state` if its revision is higher than the active one.
    pub fn offer(&mut self, state: StoredState, now: Duration) -> Adoption {
        let before = self.state.revision();
        if state.revision() < before {
            return Adoption::Older;
        }
        if state.revision() == before {
            return self.offer_same_revision(state);
        }
        self.configuration = Arc::new(state.configuration());
        self.keys = Arc::new(AccountKeys::new(&self.configuration.accounts));
        self.state = Arc::new(state);
        self.adopted_at = now;
        self.record_revision();
        Adoption::Adopted { before }
    }

    /// Returns the active stored state.
    #[must_use]
    pub const fn state(&self) -> &Arc<StoredState> {
        &self.state
    }

    /// Returns the active configuration.
    #[must_use]
    pub const fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns the account keys of the active configuration.
    #[must_use]
    pub const fn keys(&self) -> &Arc<AccountKeys> {
        &self.keys
    }

    /// Returns the active revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.state.revision()
    }

    /// Returns the time at which the active revision was adopted.
    #[must_use]
    pub const fn adopted_at(&self) -> Duration {
        self.adopted_at
    }

    fn offer_same_revision(&mut self, state: StoredState) -> Adoption {
        if state.root.shards != self.state.root.shards {
            return Adoption::Diverged;
        }
        // The active state came from a peer and has no root version. Replacing it by a state that has one saves the
        // watch a read.
        if self.state.root_version.is_none() && state.root_version.is_some() {
            self.state = Arc::new(state);
        }
        Adoption::Same
    }

    fn record_revision(&mut self) {
        let revision = self.state.revision();
        assert!(
            revision > self.highest_revision,
            "revision {revision} is not above the active revision {}",
            self.highest_revision
        );
        assert_eq!(
            revision, self.configuration.revision,
            "the state and the configuration have different revisions"
        );
        self.highest_revision = revision;
    }
}
