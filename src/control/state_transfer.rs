//! State transfer between routers: recovers state from peers after a restart, and serves it to peers that restart.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use super::snapshot_builder::SnapshotBuilder;
use crate::backend::Backend;
use crate::id::{PoolName, ReplicaId};
use crate::membership::Member;
use crate::recovery::{
    PeerRequest, Recovery, RecoveryPeer, Section, StateChunk, StateRequest, StateServer,
};

/// How long the encoded items of a section are cached for requests of further chunks. When many routers restart
/// together, their recovery takes seconds.
const ITEMS_TTL: Duration = Duration::from_secs(10);

/// The state of a replica, as sent to a restarting router.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub(crate) struct ReplicaHealth {
    /// The pool.
    #[prost(string, tag = "1")]
    pub(crate) pool: String,
    /// The replica.
    #[prost(string, tag = "2")]
    pub(crate) replica: String,
    /// The last known incarnation.
    #[prost(uint64, tag = "3")]
    pub(crate) incarnation: u64,
    /// The last known weights version.
    #[prost(uint64, tag = "4")]
    pub(crate) weights_version: u64,
    /// Whether that incarnation has reported that it is leaving.
    #[prost(bool, tag = "5")]
    pub(crate) leaving: bool,
}

impl ReplicaHealth {
    /// Returns the state of a replica, or `None` if it has never responded.
    pub(crate) fn new(pool: &PoolName, replica: &ReplicaId, backend: &Backend) -> Option<Self> {
        (backend.incarnation() > 0).then(|| Self {
            pool: pool.to_string(),
            replica: replica.to_string(),
            incarnation: backend.incarnation(),
            weights_version: backend.weights_version(),
            leaving: backend.has_announced_leaving(),
        })
    }
}

/// The client and server sides of state transfer.
#[derive(Debug)]
pub(crate) struct StateTransfer {
    server: StateServer,
    recoveries: Vec<Recovery>,
    has_configuration: bool,
    generation: u64,
    items: BTreeMap<Section, (Duration, u64, Vec<Bytes>)>,
}

impl StateTransfer {
    /// Starts recovering the sections that don't depend on the configuration.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            server: StateServer::new(now),
            recoveries: vec![Recovery::new(&[Section::Members], now)],
            has_configuration: false,
            generation: 0,
            items: BTreeMap::new(),
        }
    }

    /// Starts recovering the sections that depend on the configuration. Later calls have no effect.
    pub(crate) fn configuration_loaded(&mut self, now: Duration) {
        if !std::mem::replace(&mut self.has_configuration, true) {
            self.recoveries.push(Recovery::new(&[Section::Health], now));
        }
    }

    /// Returns the next requests to send, each with its recipient.
    pub(crate) fn next<'a>(
        &mut self,
        own: &Member,
        members: impl Iterator<Item = &'a Member>,
        now: Duration,
    ) -> Vec<PeerRequest> {
        self.recoveries.retain(|recovery| !recovery.is_done());
        if self.recoveries.is_empty() {
            return Vec::new();
        }
        let peers: Vec<RecoveryPeer> = members
            .filter(|member| member.router != own.router)
            .map(|member| RecoveryPeer {
                address: member.peers,
                in_zone: member.zone == own.zone,
            })
            .collect();
        let rng = &mut rand::rng();
        let next = |recovery: &mut Recovery| recovery.next_requests(&peers, now, rng);
        self.recoveries.iter_mut().flat_map(next).collect()
    }

    /// Handles a chunk from a peer and returns its items.
    pub(crate) fn handle_chunk(
        &mut self,
        from: SocketAddr,
        section: Section,
        chunk: &StateChunk,
        now: Duration,
    ) -> Vec<Bytes> {
        let handle =
            |recovery: &mut Recovery| recovery.handle_chunk(from, section, chunk.clone(), now);
        self.recoveries.iter_mut().flat_map(handle).collect()
    }

    /// Answers a request of a restarting peer. `encode` returns the items of a section and is called if they are not
    /// cached.
    pub(crate) fn serve(
        &mut self,
        request: StateRequest,
        encode: impl FnOnce(Section) -> Vec<Bytes>,
        now: Duration,
    ) -> StateChunk {
        let Ok(section) = Section::try_from(request.section) else {
            return StateChunk::default();
        };
        let is_supported = matches!(section, Section::Members | Section::Health);
        if !is_supported || !self.has_complete(section) {
            return StateChunk::default();
        }
        let is_fresh =
            |(encoded_at, ..): &(Duration, u64, Vec<Bytes>)| now < *encoded_at + ITEMS_TTL;
        if !self.items.get(&section).is_some_and(is_fresh) {
            self.generation += 1;
            let items = (now, self.generation, encode(section));
            self.items.insert(section, items);
        }
        let (_, generation, items) = &self.items[&section];
        self.server
            .chunk(request, *generation, Some(items), now, &mut rand::rng())
    }

    /// Returns whether this router has a complete copy of a section.
    fn has_complete(&self, section: Section) -> bool {
        let recovered = self.recoveries.iter().all(Recovery::is_done);
        recovered && (section != Section::Health || self.has_configuration)
    }
}

/// Encodes the state of all known replicas.
pub(crate) fn encode_health(builder: &SnapshotBuilder) -> Vec<Bytes> {
    builder
        .backends()
        .filter_map(|(pool, replica, backend)| ReplicaHealth::new(pool, replica, backend))
        .map(|item| prost::Message::encode_to_vec(&item).into())
        .collect()
}
