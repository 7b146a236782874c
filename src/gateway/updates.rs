//! Messages that relay platform updates between routers.
//!
//! Platform calls are charged, and the permitted call rate grows more slowly than the fleet, so only a few routers of
//! each zone query the platform directly. The others request from one of those the changes since the revisions that
//! they know and the age of the last confirmation. See docs/design/gateway.md.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;

use super::fleet::{ReplicaEntry, ReplicaRecord, ReplicaState};
use super::load::LoadMessage;
use super::route::ModelName;
use crate::id::WeightsVersion;
use crate::membership::{decode_address, encode_address};

/// A request for updates: the revisions that the sender knows and how long it waits.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct UpdateRequest {
    /// The known revision of the configuration.
    #[prost(uint64, tag = "1")]
    pub(crate) configuration_revision: u64,
    /// The platform revision up to which the replicas are known; 0 if none are.
    #[prost(uint64, tag = "2")]
    pub(crate) replicas_as_of: u64,
    /// The platform revision up to which the named weights are known; 0 if none are.
    #[prost(uint64, tag = "3")]
    pub(crate) weights_as_of: u64,
    /// How long to wait for an update, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub(crate) wait_ms: u32,
    /// The load that the sender's requests cause at replicas.
    #[prost(message, optional, tag = "5")]
    pub(crate) load: Option<LoadMessage>,
}

/// The changes since the requested revisions.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct PlatformUpdate {
    /// Whether the sender has no updates, because it does not query the platform or can't reach it.
    #[prost(bool, tag = "1")]
    pub(crate) is_unavailable: bool,
    /// The time since the configuration was known to be current, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) confirmed_age_ms: u64,
    /// The revision of the configuration.
    #[prost(uint64, tag = "3")]
    pub(crate) configuration_revision: u64,
    /// The configuration as stored by the platform; empty if the receiver already has it.
    #[prost(bytes = "bytes", tag = "4")]
    pub(crate) configuration: Bytes,
    /// The platform revision of `replicas`.
    #[prost(uint64, tag = "5")]
    pub(crate) replicas_as_of: u64,
    /// Whether `replicas` is the complete list rather than the changes only.
    #[prost(bool, tag = "6")]
    pub(crate) has_all_replicas: bool,
    /// The replicas in the order of their changes.
    #[prost(message, repeated, tag = "7")]
    pub(crate) replicas: Vec<ReplicaUpdate>,
    /// The platform revision of `weights`.
    #[prost(uint64, tag = "8")]
    pub(crate) weights_as_of: u64,
    /// All named weights; empty if the receiver already knows them.
    #[prost(message, repeated, tag = "9")]
    pub(crate) weights: Vec<WeightsUpdate>,
    /// The time since the platform recovered from an outage, in milliseconds; `None` if it had none.
    #[prost(uint64, optional, tag = "10")]
    pub(crate) recovered_age_ms: Option<u64>,
    /// The load that the requests of all other routers cause at replicas.
    #[prost(message, optional, tag = "11")]
    pub(crate) others_load: Option<LoadMessage>,
    /// The time since all named weights were known, in milliseconds; `None` from a router that doesn't tell it.
    #[prost(uint64, optional, tag = "12")]
    pub(crate) weights_complete_age_ms: Option<u64>,
}

/// The wire format of a [`ReplicaEntry`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct ReplicaUpdate {
    /// The id of the replica.
    #[prost(string, tag = "1")]
    pub(crate) id: String,
    /// Whether the entry is gone; all other fields are unset then.
    #[prost(bool, tag = "2")]
    pub(crate) is_gone: bool,
    /// The start time, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub(crate) born_ms: u64,
    /// The service that the replica belongs to.
    #[prost(string, tag = "4")]
    pub(crate) service: String,
    /// The address that the replica listens on: IP and port in network byte order.
    #[prost(bytes = "bytes", tag = "5")]
    pub(crate) address: Bytes,
    /// The availability zone of the replica.
    #[prost(string, tag = "6")]
    pub(crate) zone: String,
    /// The maximum number of requests that the replica runs concurrently.
    #[prost(uint32, tag = "7")]
    pub(crate) slots: u32,
    /// Whether the replica is draining.
    #[prost(bool, tag = "8")]
    pub(crate) is_draining: bool,
    /// The weights that the replica serves.
    #[prost(message, repeated, tag = "9")]
    pub(crate) weights: Vec<WeightsUpdate>,
    /// The revision of the store at which the entry was written.
    #[prost(uint64, tag = "10")]
    pub(crate) revision: u64,
    /// The version of the replica's software.
    #[prost(string, tag = "11")]
    pub(crate) software_version: String,
}

/// The wire format of a version of a model's weights.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct WeightsUpdate {
    /// The name of the model.
    #[prost(string, tag = "1")]
    pub(crate) model: String,
    /// The version of the weights.
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    /// For named weights: the time since they were learned, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub(crate) age_ms: u64,
}

impl WeightsUpdate {
    /// Encodes a version that counts as named at `named_at`, for an update that is created at `now`.
    pub(crate) fn of_named(
        model: &ModelName,
        version: WeightsVersion,
        named_at: Duration,
        now: Duration,
    ) -> Self {
        Self {
            model: model.to_string(),
            version,
            age_ms: age_ms(named_at, now),
        }
    }

    /// Returns from when the version counts as named; the request for the update was sent at `sent_at`.
    ///
    /// The update was created later, so that the time for which it was under way makes the version no younger.
    pub(crate) const fn named_at(&self, sent_at: Duration) -> Duration {
        sent_at.saturating_sub(Duration::from_millis(self.age_ms))
    }
}

/// Returns the time since `at` in milliseconds, rounded up.
pub(crate) fn age_ms(at: Duration, now: Duration) -> u64 {
    let age = now.saturating_sub(at).as_nanos().div_ceil(1_000_000);
    u64::try_from(age).unwrap_or(u64::MAX)
}

impl ReplicaUpdate {
    /// Encodes an entry; returns `None` for a malformed one.
    pub(crate) fn of(entry: &ReplicaEntry) -> Option<Self> {
        match entry {
            ReplicaEntry::Present(record) => Some(Self::of_record(record)),
            ReplicaEntry::Gone(id) => Some(Self {
                id: id.to_string(),
                is_gone: true,
                ..Self::default()
            }),
            ReplicaEntry::Malformed { .. } => None,
        }
    }

    /// Encodes a replica.
    pub(crate) fn of_record(record: &ReplicaRecord) -> Self {
        let weights = record.weights.iter();
        Self {
            id: record.id.to_string(),
            is_gone: false,
            revision: record.revision,
            born_ms: record.born_ms,
            service: record.service.to_string(),
            address: encode_address(record.address),
            zone: record.zone.to_string(),
            slots: record.slots,
            is_draining: record.state == ReplicaState::Draining,
            software_version: record.software_version.to_string(),
            weights: weights
                .map(|(model, version)| WeightsUpdate {
                    model: model.to_string(),
                    version: *version,
                    age_ms: 0,
                })
                .collect(),
        }
    }

    /// Decodes the entry; returns [`ReplicaEntry::Malformed`] if the address is invalid.
    pub(crate) fn into_entry(self) -> ReplicaEntry {
        let id: Arc<str> = self.id.into();
        if self.is_gone {
            return ReplicaEntry::Gone(id);
        }
        let Some(address) = decode_address(&self.address) else {
            let reason = "invalid address in an update from a router".into();
            return ReplicaEntry::Malformed { id, reason };
        };
        let weights = self.weights.into_iter();
        ReplicaEntry::Present(ReplicaRecord {
            id,
            revision: self.revision,
            born_ms: self.born_ms,
            service: self.service.into(),
            address,
            zone: self.zone.into(),
            slots: self.slots,
            state: if self.is_draining {
                ReplicaState::Draining
            } else {
                ReplicaState::Ready
            },
            weights: weights
                .map(|weights| (weights.model.into(), weights.version))
                .collect::<SmallVec<_>>(),
            software_version: self.software_version.into(),
        })
    }
}
