//! State changes of replicas, broadcast between routers.
//!
//! The platform's list shows a load or a departure up to a second late. The router that orders a load, or learns of a
//! departure first, therefore notifies all others at once, so that they do not send requests that the replica would
//! refuse.

use super::fleet::{Fleet, FleetChange};
use super::weights::LoadTarget;

/// The state of a replica in a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum NoticePhase {
    /// The replica is about to load weights.
    Loading = 0,
    /// The replica serves the weights.
    Loaded = 1,
    /// The replica accepts no new requests.
    Leaving = 2,
}

/// A notice about one incarnation of a replica.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReplicaNotice {
    /// The ID of the replica.
    #[prost(string, tag = "1")]
    pub replica: String,
    /// The start time of the replica, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub born_ms: u64,
    /// The state of the replica, a [`NoticePhase`].
    #[prost(enumeration = "NoticePhase", tag = "3")]
    pub phase: i32,
    /// The model that is loaded.
    #[prost(string, tag = "4")]
    pub model: String,
    /// The weights version that is loaded.
    #[prost(uint64, tag = "5")]
    pub version: u64,
}

/// A batch of notices.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReplicaNotices {
    /// The notices, oldest first.
    #[prost(message, repeated, tag = "1")]
    pub notices: Vec<ReplicaNotice>,
    /// Whether the sender holds the lease for orders to replicas.
    #[prost(bool, tag = "2")]
    pub from_holder: bool,
}

impl ReplicaNotice {
    /// Creates a notice about loading weights.
    #[must_use]
    pub(crate) fn of_load(target: &LoadTarget, phase: NoticePhase) -> Self {
        Self {
            replica: target.replica.to_string(),
            born_ms: target.born_ms,
            phase: phase.into(),
            model: target.model.to_string(),
            version: target.version,
        }
    }

    /// Creates a notice about a departing replica.
    #[must_use]
    pub(crate) fn of_leaving(replica: &str, born_ms: u64) -> Self {
        Self {
            replica: replica.to_owned(),
            born_ms,
            phase: NoticePhase::Leaving.into(),
            model: String::new(),
            version: 0,
        }
    }

    /// Applies the notice to `fleet`; a notice about another incarnation of the replica has no effect.
    pub(crate) fn apply(&self, fleet: &mut Fleet, now: std::time::Duration) -> Option<FleetChange> {
        match NoticePhase::try_from(self.phase).ok()? {
            NoticePhase::Loading => fleet.start_loading(&self.replica, self.born_ms, now),
            NoticePhase::Loaded => {
                let model = self.model.as_str().into();
                fleet.record_weights(&self.replica, self.born_ms, &model, self.version)
            }
            NoticePhase::Leaving => fleet.record_draining(&self.replica, self.born_ms),
        }
    }
}
