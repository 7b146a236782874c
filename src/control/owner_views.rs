//! Cache-aware routing state on the control thread: the views of all pools, and the observations that the routers of a
//! cell share.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use xxhash_rust::xxh3::xxh3_64;

use super::snapshot::ReplicaView;
use crate::error::Error;
use crate::id::{PoolName, RouterId};
use crate::membership::{Liveness, Member};
use crate::peer::{Body, Kind, Links};
use crate::policy::{
    self, Cells, Lookup, LookupMessage, ModelFeatures, Observation, ObservationMessage,
    ObservationsMessage, OwnerReply, OwnerReplyMessage, PoolModel,
};
use crate::protocol::LoadReport;

/// The maximum number of observations queued for the next batch. Further ones are not sent, which makes cache
/// predictions on peers less accurate.
const MAX_PENDING_OBSERVATIONS: usize = 4_096;

/// The data that traffic threads need to query the owner of a prompt prefix.
#[derive(Debug)]
pub(crate) struct PoolRouting {
    /// The pool's tag, which represents its name in peer messages.
    pub(crate) tag: u32,
    /// The replicas, as input to the routing policy.
    pub(crate) pool: policy::PoolView,
    /// The routers from which the cells were computed.
    pub(crate) members: Arc<[Member]>,
    /// The index of this router's availability zone among the zones of the pool.
    pub(crate) zone: usize,
    /// The origin of the timestamps in `pool`.
    pub(crate) started: Instant,
}

/// The owner views of all pools.
pub(crate) struct OwnerViews {
    own: RouterId,
    own_zone: Arc<str>,
    links: Links,
    started: Instant,
    rng: StdRng,
    members: Arc<[Member]>,
    pools: HashMap<u32, PoolOwnerView>,
    pending: Vec<(u32, usize, Observation)>,
}

/// The owner view of one pool, and the index of this router's zone in the pool.
struct PoolOwnerView {
    view: PoolModel,
    zone: usize,
}

impl OwnerViews {
    /// Creates the views of the router `own`, which sends messages over `links`.
    pub(crate) fn new(own: RouterId, own_zone: Arc<str>, links: Links, started: Instant) -> Self {
        Self {
            own,
            own_zone,
            links,
            started,
            rng: StdRng::from_rng(&mut rand::rng()),
            members: Arc::from([]),
            pools: HashMap::new(),
            pending: Vec::new(),
        }
    }

    /// Updates the live routers. Cells are recomputed by the next [`OwnerViews::update_pool`].
    pub(crate) fn set_members(&mut self, members: &Arc<[Member]>) {
        let live = members
            .iter()
            .filter(|m| m.liveness != Liveness::Removed && !m.leaving);
        self.members = live.cloned().collect();
    }

    /// Updates a pool's replicas and returns the routing data for traffic threads.
    pub(crate) fn update_pool(
        &mut self,
        name: &PoolName,
        pool: &crate::pool::Pool,
        replicas: &[ReplicaView],
    ) -> Arc<PoolRouting> {
        let tag = tag_of(name);
        let mut zones: Vec<_> = replicas.iter().map(|r| &r.replica.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let zone_of = |zone: &Arc<str>| zones.binary_search(&zone).unwrap_or(usize::MAX);
        let views: Vec<_> = replicas
            .iter()
            .map(|r| replica_view(pool, r, zone_of(&r.replica.zone)))
            .collect();
        let ids: Vec<_> = replicas.iter().map(|r| &r.replica.id).collect();
        let routers: Vec<_> = self.members.iter().map(|m| &m.router).collect();
        let cells = Cells::new(&ids, &routers);
        let owner = self.pools.entry(tag).or_insert_with(|| PoolOwnerView {
            view: PoolModel::new(ModelFeatures::default()),
            zone: 0,
        });
        owner.zone = zone_of(&self.own_zone);
        owner.view.set_replicas(&views, cells);
        Arc::new(PoolRouting {
            tag,
            pool: owner.view.pool_view(),
            members: Arc::clone(&self.members),
            zone: owner.zone,
            started: self.started,
        })
    }

    /// Records a load report of the replica at `position`.
    pub(crate) fn record_load(&mut self, name: &PoolName, position: usize, load: &LoadReport) {
        let at = self
            .now()
            .saturating_sub(Duration::from_millis(load.age_ms));
        let Some(owner) = self.pools.get_mut(&tag_of(name)) else {
            return;
        };
        owner
            .view
            .set_identity(position, load.incarnation, load.weights_version);
        if let Some(instance) = owner.view.instance(position) {
            owner.view.record(&Observation::Load {
                instance,
                waiting_requests: load.waiting_requests,
                at,
            });
        }
    }

    /// Answers a lookup from this or another router, and sends the resulting placement to the other routers of the
    /// cell.
    pub(crate) fn answer(&mut self, tag: u32, lookup: &Lookup) -> OwnerReply {
        let now = self.now();
        let Some(owner) = self.pools.get_mut(&tag) else {
            return OwnerReply::default();
        };
        let reply = owner.view.reply_to(lookup, now, &mut self.rng);
        if let Some(first) = reply.candidates.first().filter(|_| !lookup.is_probe) {
            let placed = Observation::Placed {
                request: lookup.request,
                levels: lookup.levels.clone(),
                prompt_tokens: lookup.prompt_tokens,
                instance: first.instance,
                at: now,
            };
            self.send_to_cell(tag, lookup.cell, &[placed]);
        }
        reply
    }

    /// Records an observation from a traffic thread of this router, and queues it for the next batch to the cell.
    pub(crate) fn observe(&mut self, tag: u32, cell: usize, observation: Observation) {
        if let Some(owner) = self.pools.get_mut(&tag) {
            owner.view.record(&observation);
        }
        if self.pending.len() < MAX_PENDING_OBSERVATIONS {
            self.pending.push((tag, cell, observation));
        }
    }

    /// Sends the queued observations to the routers of their cells.
    pub(crate) fn flush(&mut self) {
        let mut pending = std::mem::take(&mut self.pending);
        pending.sort_by_key(|&(tag, cell, _)| (tag, cell));
        for batch in pending.chunk_by(|a, b| (a.0, a.1) == (b.0, b.1)) {
            let observations: Vec<_> = batch.iter().map(|(_, _, o)| o.clone()).collect();
            self.send_to_cell(batch[0].0, batch[0].1, &observations);
        }
    }

    /// Answers a peer's lookup.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a valid lookup.
    pub(crate) fn handle_lookup(&mut self, body: &Body) -> Result<Body, Error> {
        let message: LookupMessage = body.decode()?;
        let reply = self.answer(message.pool, &message.lookup());
        Ok(Body::encode(Kind::Lookup, &OwnerReplyMessage::new(&reply)))
    }

    /// Records a peer's batch of observations.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not a valid batch.
    pub(crate) fn handle_observations(&mut self, body: &Body) -> Result<(), Error> {
        let message: ObservationsMessage = body.decode()?;
        let now = self.now();
        if let Some(owner) = self.pools.get_mut(&message.pool) {
            let observations = message.observations.iter();
            for observation in observations.filter_map(|o| o.observation(now)) {
                owner.view.record(&observation);
            }
        }
        Ok(())
    }

    fn send_to_cell(&self, tag: u32, cell: usize, observations: &[Observation]) {
        let Some(owner) = self.pools.get(&tag) else {
            return;
        };
        let now = self.now();
        let observations = observations.iter();
        let message = ObservationsMessage {
            pool: tag,
            observations: observations
                .map(|o| ObservationMessage::new(o, now))
                .collect(),
        };
        let body = Body::encode(Kind::Observation, &message);
        let routers = owner.view.cells().routers(cell).iter();
        let peers = routers.filter_map(|&r| self.members.get(r));
        for peer in peers.filter(|m| m.router != self.own) {
            self.links.send(peer.peers, body.clone());
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Returns the tag that represents a pool's name in peer messages.
#[expect(
    clippy::cast_possible_truncation,
    reason = "the low half of the hash is the tag"
)]
fn tag_of(name: &PoolName) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

fn replica_view(pool: &crate::pool::Pool, known: &ReplicaView, zone: usize) -> policy::ReplicaView {
    policy::ReplicaView {
        id: Arc::clone(&known.replica.id),
        incarnation: known.incarnation,
        weights_version: known.weights_version,
        zone,
        role: known.replica.role,
        is_available: known.available,
        prefill_tokens_per_second: pool.prefill_tokens_per_second,
        cache_tokens: pool.cache_tokens,
        decode_slots: pool.decode_slots,
        busy_until: Duration::ZERO,
    }
}
