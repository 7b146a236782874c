//! What a router that follows the platform tells routers that follow it.
//!
//! Each call of the platform is priced and its rates grow more slowly than the fleet, so only a few routers of a zone ask
//! the platform itself. The others ask one of those what has changed since what they know, and when the configuration was
//! last confirmed. See docs/design/gateway.md.

use std::sync::Arc;

use bytes::Bytes;
use smallvec::SmallVec;

use super::fleet::{ReplicaEntry, ReplicaRecord, ReplicaState};
use super::loads::WorkNews;
use crate::membership::{decode_address, encode_address};

/// What a router knows, and how long it waits for news.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct NewsRequest {
    /// The revision of the configuration that it has.
    #[prost(uint64, tag = "1")]
    pub(crate) configuration_revision: u64,
    /// The platform's revision up to which it knows the replicas; 0 for nothing.
    #[prost(uint64, tag = "2")]
    pub(crate) replicas_as_of: u64,
    /// The platform's revision up to which it knows the named weights; 0 for nothing.
    #[prost(uint64, tag = "3")]
    pub(crate) weights_as_of: u64,
    /// How long it waits for news, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub(crate) wait_ms: u32,
    /// The work that its requests make at replicas.
    #[prost(message, optional, tag = "5")]
    pub(crate) work: Option<WorkNews>,
}

/// What has changed since.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct News {
    /// Whether the sender can't tell, because it doesn't follow the platform or has lost it.
    #[prost(bool, tag = "1")]
    pub(crate) is_lost: bool,
    /// The time since the configuration was known to be current, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub(crate) confirmed_age_ms: u64,
    /// The configuration's revision.
    #[prost(uint64, tag = "3")]
    pub(crate) configuration_revision: u64,
    /// The configuration as the platform holds it, where the asker has another revision.
    #[prost(bytes = "bytes", tag = "4")]
    pub(crate) configuration: Bytes,
    /// The platform's revision as of which the replicas are told.
    #[prost(uint64, tag = "5")]
    pub(crate) replicas_as_of: u64,
    /// Whether `replicas` are all there are, and not just those that changed.
    #[prost(bool, tag = "6")]
    pub(crate) has_all_replicas: bool,
    /// The replicas, in the order of their changes.
    #[prost(message, repeated, tag = "7")]
    pub(crate) replicas: Vec<ReplicaNews>,
    /// The platform's revision as of which the weights are told.
    #[prost(uint64, tag = "8")]
    pub(crate) weights_as_of: u64,
    /// All named weights, where the asker knows an earlier state.
    #[prost(message, repeated, tag = "9")]
    pub(crate) weights: Vec<WeightsNews>,
    /// The time since the platform came back after an outage, in milliseconds, if it did.
    #[prost(uint64, optional, tag = "10")]
    pub(crate) returned_age_ms: Option<u64>,
    /// The work that all other routers' requests make at replicas.
    #[prost(message, optional, tag = "11")]
    pub(crate) others_work: Option<WorkNews>,
}

/// One replica's entry as it travels.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct ReplicaNews {
    /// The replica's id.
    #[prost(string, tag = "1")]
    pub(crate) id: String,
    /// Whether its entry is gone; nothing else is set then.
    #[prost(bool, tag = "2")]
    pub(crate) is_gone: bool,
    /// When it started, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub(crate) born_ms: u64,
    /// The service that it belongs to.
    #[prost(string, tag = "4")]
    pub(crate) service: String,
    /// Where it listens: IP and port in network order.
    #[prost(bytes = "bytes", tag = "5")]
    pub(crate) address: Bytes,
    /// Its availability zone.
    #[prost(string, tag = "6")]
    pub(crate) zone: String,
    /// The requests that it runs at once.
    #[prost(uint32, tag = "7")]
    pub(crate) slots: u32,
    /// Whether it is leaving.
    #[prost(bool, tag = "8")]
    pub(crate) is_draining: bool,
    /// The weights that it serves.
    #[prost(message, repeated, tag = "9")]
    pub(crate) weights: Vec<WeightsNews>,
}

/// A version of a model's weights as it travels.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct WeightsNews {
    /// The model.
    #[prost(string, tag = "1")]
    pub(crate) model: String,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    /// For named weights: the time since they were heard of, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub(crate) age_ms: u64,
}

impl ReplicaNews {
    /// Encodes an entry; `None` for one that names no replica.
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
            born_ms: record.born_ms,
            service: record.service.to_string(),
            address: encode_address(record.address),
            zone: record.zone.to_string(),
            slots: record.slots,
            is_draining: record.state == ReplicaState::Draining,
            weights: weights
                .map(|(model, version)| WeightsNews {
                    model: model.to_string(),
                    version: *version,
                    age_ms: 0,
                })
                .collect(),
        }
    }

    /// Decodes the entry; one whose address can't be read names no replica.
    pub(crate) fn into_entry(self) -> ReplicaEntry {
        let id: Arc<str> = self.id.into();
        if self.is_gone {
            return ReplicaEntry::Gone(id);
        }
        let Some(address) = decode_address(&self.address) else {
            let reason = "no address in a router's news".into();
            return ReplicaEntry::Malformed { id, reason };
        };
        let weights = self.weights.into_iter();
        ReplicaEntry::Present(ReplicaRecord {
            id,
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
        })
    }
}
