//! The routers under the crocuswharf policy. They run the library's routing code and messages over modelled links.

use std::time::{Duration, Instant};

use crocuswharf::{
    Cells, Choice, ChoiceContext, InstanceTag, LevelKey, Lookup, LookupMessage, Observation,
    ObservationMessage, ObservationsMessage, OwnerReply, OwnerReplyMessage, PoolModel, PoolView,
    Preference, PromptPrefix, ReplicaRole, ReplicaView, ViewChunkMessage, choose,
};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Ablation;
use super::baselines::PolicyKind;
use super::faults::Faults;
use super::report::PolicyReport;
use super::scenario::{Scenario, ZONES};
use super::simulation::delay_between;

/// The timeout of a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(3);
/// The interval at which a router sends queued observations.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// The delay of the transfer of a cell's model to a router that joins the cell.
const TRANSFER_DELAY: Duration = Duration::from_millis(5);
/// The delay from reading a batch of cache events to its arrival at the routers.
const CACHE_EVENT_LAG: Duration = Duration::from_millis(500);
/// The fraction of frames between routers that are lost, without and with faults.
const FRAME_LOSS: f64 = 0.001;
const FRAME_LOSS_FAULTS: f64 = 0.01;
/// The size of a frame's header, which holds its length and kind.
const FRAME_BYTES: u64 = 6;
/// The number of owners queried in turn per cell.
const MAX_OWNERS: usize = 2;
/// The attempt number of the first lookup to a second cell.
const SECOND_CELL_ATTEMPT: u32 = 100;
/// The pool id in messages.
const POOL_ID: u32 = 1;

/// A scheduled event between routers.
#[derive(Debug)]
pub(crate) enum RouterEvent {
    Lookup {
        request: usize,
        owner: usize,
        message: LookupMessage,
        attempt: u32,
    },
    Reply {
        request: usize,
        message: OwnerReplyMessage,
        attempt: u32,
    },
    Timeout {
        request: usize,
        attempt: u32,
    },
    Observations {
        router: usize,
        message: ObservationsMessage,
    },
    Flush {
        router: usize,
    },
    Import {
        router: usize,
        chunks: Vec<ViewChunkMessage>,
    },
}

/// An action that the simulation has to perform for a router.
#[derive(Debug)]
pub(crate) enum RouterAction {
    Dispatch {
        request: usize,
        position: usize,
        expected_warm_tokens: u32,
        expected_ttft: Duration,
    },
    Fail {
        request: usize,
    },
}

/// A request that is being routed or waits for its first token.
#[derive(Clone, Debug)]
struct Pending {
    /// The router that received the request.
    entry: usize,
    prefix: PromptPrefix,
    cell: usize,
    excluded: Option<InstanceTag>,
    attempt: u32,
    placed: Option<InstanceTag>,
    /// The cell and reply of the first lookup, while a second cell is queried.
    first_reply: Option<(usize, OwnerReply)>,
}

/// All routers of one simulation.
pub(crate) struct Routers {
    is_enabled: bool,
    ablation: Ablation,
    preference: Preference,
    names: Vec<String>,
    replicas: Vec<ReplicaView>,
    pool_view: PoolView,
    /// The routers from which the cells were computed; indices in the cells refer to this list.
    members: Vec<usize>,
    is_up: Vec<bool>,
    models: Vec<PoolModel>,
    outboxes: Vec<Vec<(usize, Observation)>>,
    pending: std::collections::HashMap<usize, Pending>,
    events: Vec<(Duration, RouterEvent)>,
    actions: Vec<RouterAction>,
    decisions_us: Vec<f64>,
    reply_us: f64,
    frame_loss: f64,
    rng: ChaCha8Rng,
    lookups: u64,
    lookup_bytes: u64,
    observation_bytes: u64,
    second_asks: u64,
    spills: u64,
    fallbacks: u64,
}

impl Routers {
    pub(crate) fn new(
        scenario: &Scenario,
        kind: PolicyKind,
        ablation: Ablation,
        faults: Faults,
        seed: u64,
    ) -> Self {
        let is_enabled = kind == PolicyKind::Crocuswharf;
        let names: Vec<_> = (0..scenario.routers)
            .map(|r| format!("router-{r}"))
            .collect();
        let replicas: Vec<_> = (0..scenario.replicas)
            .map(|index| replica_view(scenario, index))
            .collect();
        let ids: Vec<_> = replicas.iter().map(|r| r.id.clone()).collect();
        let cells = Cells::new(&ids, &names);
        let mut model = PoolModel::new(ablation.features);
        model.set_replicas(&replicas, cells.clone());
        let loss = if faults == Faults::default() {
            FRAME_LOSS
        } else {
            FRAME_LOSS_FAULTS
        };
        Self {
            is_enabled,
            ablation,
            preference: Preference {
                recomputation_price: scenario.recomputation_price,
                ttft_deadline_ms: scenario.ttft_deadline_ms,
                ..Preference::default()
            },
            members: (0..names.len()).collect(),
            is_up: vec![true; names.len()],
            models: if is_enabled {
                vec![model; names.len()]
            } else {
                Vec::new()
            },
            outboxes: vec![Vec::new(); names.len()],
            names,
            pool_view: PoolView::new(replicas.clone(), cells),
            replicas,
            pending: std::collections::HashMap::new(),
            events: Vec::new(),
            actions: Vec::new(),
            decisions_us: Vec::new(),
            reply_us: 0.0,
            frame_loss: loss,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x0c0c),
            lookups: 0,
            lookup_bytes: 0,
            observation_bytes: 0,
            second_asks: 0,
            spills: 0,
            fallbacks: 0,
        }
    }

    pub(crate) fn instance(&self, replica: usize) -> InstanceTag {
        self.replicas[replica].instance()
    }

    pub(crate) fn cell_of(&self, replica: usize) -> usize {
        self.pool_view.cells().cell_of_replica(replica)
    }

    pub(crate) fn take_events(&mut self) -> Vec<(Duration, RouterEvent)> {
        std::mem::take(&mut self.events)
    }

    pub(crate) fn take_actions(&mut self) -> Vec<RouterAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the durations of the decisions since the last call, in microseconds.
    pub(crate) fn take_decisions_us(&mut self) -> Vec<f64> {
        std::mem::take(&mut self.decisions_us)
    }

    /// Starts routing a request.
    pub(crate) fn route(
        &mut self,
        request: usize,
        entry: usize,
        prefix: PromptPrefix,
        excluded: Option<usize>,
        now: Duration,
    ) {
        let cells = self
            .pool_view
            .cells()
            .preferred_cells(prefix.owner_key(), 1);
        let pending = Pending {
            entry,
            cell: cells[0],
            prefix,
            excluded: excluded.map(|e| self.instance(e)),
            attempt: 0,
            placed: None,
            first_reply: None,
        };
        self.pending.insert(request, pending);
        if self.ablation.without_owner {
            self.choose_locally(request, now);
        } else {
            self.query_owner(request, now);
        }
    }

    fn new_lookup(&self, request: usize, pending: &Pending) -> Lookup {
        let first = pending.first_reply.as_ref();
        let price = first.map_or(self.preference.recomputation_price, |f| f.1.price);
        let mut lookup = Lookup::new(
            request as u32,
            pending.cell,
            &pending.prefix,
            price,
            pending.entry % ZONES,
        );
        lookup.excluded = pending.excluded.into_iter().collect();
        lookup.is_probe = first.is_some();
        lookup
    }

    fn query_owner(&mut self, request: usize, now: Duration) {
        let pending = &self.pending[&request];
        let (entry, attempt) = (pending.entry, pending.attempt);
        let key = pending.prefix.owner_key();
        let owners = self.pool_view.cells().owners(pending.cell, key, MAX_OWNERS);
        let is_second = pending.first_reply.is_some();
        let owner_index = if is_second {
            attempt - SECOND_CELL_ATTEMPT
        } else {
            attempt
        };
        let Some(&owner) = owners.get(owner_index as usize) else {
            return self.choose_locally(request, now);
        };
        let owner = self.members[owner];
        let lookup = self.new_lookup(request, pending);
        if owner == entry {
            let reply = self.reply_as_owner(owner, &lookup, now);
            return self.handle_reply(request, reply, now);
        }
        let message = LookupMessage::new(POOL_ID, &lookup);
        self.lookups += 1;
        self.second_asks += u64::from(owner_index > 0);
        self.lookup_bytes += message.encoded_len() as u64 + FRAME_BYTES;
        if !self.drops_frame() {
            let at = now + delay_between(entry % ZONES, owner % ZONES);
            let event = RouterEvent::Lookup {
                request,
                owner,
                message,
                attempt,
            };
            self.events.push((at, event));
        }
        let timeout = RouterEvent::Timeout { request, attempt };
        self.events.push((now + LOOKUP_TIMEOUT, timeout));
    }

    fn drops_frame(&mut self) -> bool {
        self.rng.random::<f64>() < self.frame_loss
    }

    /// Replies to a lookup at `owner`. Unless it is a probe, sends the placement to the other routers of the cell.
    fn reply_as_owner(&mut self, owner: usize, lookup: &Lookup, now: Duration) -> OwnerReply {
        let started = Instant::now();
        let reply = self.models[owner].reply_to(lookup, now, &mut self.rng);
        self.reply_us = micros_since(started);
        if let Some(first) = reply.candidates.first().filter(|_| !lookup.is_probe) {
            let placed = Observation::Placed {
                request: lookup.request,
                levels: lookup.levels.clone(),
                prompt_tokens: lookup.prompt_tokens,
                instance: first.instance,
                at: now,
            };
            self.send_observations(owner, lookup.cell, &[placed], now);
        }
        reply
    }

    /// Chooses without an owner: by the reply of the first cell if there is one, otherwise by the entry router's own
    /// model if it is in the cell, otherwise among the home replicas.
    fn choose_locally(&mut self, request: usize, now: Duration) {
        let pending = self
            .pending
            .get_mut(&request)
            .expect("the request is pending");
        if let Some((cell, reply)) = pending.first_reply.take() {
            pending.cell = cell;
            return self.choose_replica(request, Some(&reply), now);
        }
        self.fallbacks += u64::from(!self.ablation.without_owner);
        let pending = &self.pending[&request];
        let (entry, cell) = (pending.entry, pending.cell);
        let lookup = self.new_lookup(request, pending);
        if self.ablation.without_owner {
            let reply = self.models[entry].reply_to(&lookup, now, &mut self.rng);
            return self.choose_replica(request, Some(&reply), now);
        }
        let is_in_cell = self.routers_of(cell).contains(&entry);
        let reply = is_in_cell.then(|| self.reply_as_owner(entry, &lookup, now));
        self.choose_replica(request, reply.as_ref(), now);
    }

    /// Handles the reply of a cell, and queries a second cell if the first one is busy.
    fn handle_reply(&mut self, request: usize, reply: OwnerReply, now: Duration) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let Some((first_cell, first)) = pending.first_reply.take() else {
            let count = reply.cells_to_query();
            let cells = self.pool_view.cells();
            let cells = cells.preferred_cells(pending.prefix.owner_key(), count);
            if cells.len() < 2 {
                return self.choose_replica(request, Some(&reply), now);
            }
            let second = cells[self.rng.random_range(1..cells.len())];
            pending.first_reply = Some((pending.cell, reply));
            pending.cell = second;
            pending.attempt = SECOND_CELL_ATTEMPT;
            return self.query_owner(request, now);
        };
        let (entry, second_cell) = (pending.entry, pending.cell);
        if !reply.is_better_than(&first) {
            pending.cell = first_cell;
            return self.choose_replica(request, Some(&first), now);
        }
        self.spills += 1;
        let (tag, levels) = (request as u32, pending.prefix.levels.clone());
        let prompt_tokens = pending.prefix.prompt_tokens;
        if let Some(candidate) = first.candidates.first() {
            let instance = candidate.instance;
            let withdrawn = Observation::Withdrawn {
                request: tag,
                instance,
            };
            self.send_observations(entry, first_cell, &[withdrawn], now);
        }
        let placed = Observation::Placed {
            request: tag,
            levels,
            prompt_tokens,
            instance: reply.candidates[0].instance,
            at: now,
        };
        self.send_observations(entry, second_cell, &[placed], now);
        self.choose_replica(request, Some(&reply), now);
    }

    fn choose_replica(&mut self, request: usize, reply: Option<&OwnerReply>, now: Duration) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        pending.attempt = u32::MAX;
        let context = ChoiceContext {
            zone: pending.entry % ZONES,
            cell: pending.cell,
            excluded: pending.excluded.into_iter().collect(),
        };
        let started = Instant::now();
        let choice = choose(
            &self.pool_view,
            &pending.prefix,
            reply,
            &self.preference,
            context,
            now,
            &mut self.rng,
        );
        self.decisions_us
            .push(self.reply_us + micros_since(started));
        let Choice::Replica(placement) = choice else {
            self.actions.push(RouterAction::Fail { request });
            return;
        };
        pending.placed = Some(placement.instance);
        self.actions.push(RouterAction::Dispatch {
            request,
            position: placement.position,
            expected_warm_tokens: placement.expected_warm_tokens,
            expected_ttft: placement.expected_ttft,
        });
        if !placement.from_owner {
            let placed = Observation::Placed {
                request: request as u32,
                levels: pending.prefix.levels.clone(),
                prompt_tokens: pending.prefix.prompt_tokens,
                instance: placement.instance,
                at: now,
            };
            let (entry, cell) = (pending.entry, pending.cell);
            self.queue_observation(entry, cell, placed, now);
        }
    }

    /// Queues an observation that the router sends to the routers of `cell` with its next batch.
    fn queue_observation(
        &mut self,
        router: usize,
        cell: usize,
        observation: Observation,
        now: Duration,
    ) {
        if self.routers_of(cell).contains(&router) {
            self.models[router].record(&observation);
        }
        if self.outboxes[router].is_empty() {
            self.events
                .push((now + FLUSH_INTERVAL, RouterEvent::Flush { router }));
        }
        self.outboxes[router].push((cell, observation));
    }

    fn routers_of(&self, cell: usize) -> Vec<usize> {
        let routers = self.pool_view.cells().routers(cell).iter();
        routers.map(|&r| self.members[r]).collect()
    }

    /// Sends observations to the other routers of `cell` immediately.
    fn send_observations(
        &mut self,
        from: usize,
        cell: usize,
        observations: &[Observation],
        now: Duration,
    ) {
        if self.ablation.without_owner {
            return;
        }
        let message = ObservationsMessage {
            pool: POOL_ID,
            observations: observations
                .iter()
                .map(|o| ObservationMessage::new(o, now))
                .collect(),
        };
        let bytes = message.encoded_len() as u64 + FRAME_BYTES;
        for router in self.routers_of(cell) {
            if router == from {
                continue;
            }
            self.observation_bytes += bytes;
            if !self.drops_frame() {
                let at = now + delay_between(from % ZONES, router % ZONES);
                let message = message.clone();
                self.events
                    .push((at, RouterEvent::Observations { router, message }));
            }
        }
    }

    /// Handles an event between routers.
    pub(crate) fn handle_event(&mut self, event: RouterEvent, now: Duration) {
        match event {
            RouterEvent::Lookup {
                request,
                owner,
                message,
                attempt,
            } => {
                if !self.is_up[owner] {
                    return;
                }
                let reply = self.reply_as_owner(owner, &message.lookup(), now);
                let message = OwnerReplyMessage::new(&reply);
                self.lookup_bytes += message.encoded_len() as u64 + FRAME_BYTES;
                if self.drops_frame() {
                    return;
                }
                let entry = self.pending[&request].entry;
                let at = now + delay_between(entry % ZONES, owner % ZONES);
                let event = RouterEvent::Reply {
                    request,
                    message,
                    attempt,
                };
                self.events.push((at, event));
            }
            RouterEvent::Reply {
                request,
                message,
                attempt,
                ..
            } => {
                self.receive_reply(request, &message, attempt, now);
            }
            RouterEvent::Timeout { request, attempt } => {
                let Some(pending) = self.pending.get_mut(&request) else {
                    return;
                };
                if pending.attempt == attempt {
                    pending.attempt += 1;
                    self.query_owner(request, now);
                }
            }
            RouterEvent::Observations { router, message } => {
                if !self.is_up[router] {
                    return;
                }
                for observation in &message.observations {
                    if let Some(observation) = observation.observation(now) {
                        self.models[router].record(&observation);
                    }
                }
            }
            RouterEvent::Flush { router } => self.flush(router, now),
            RouterEvent::Import { router, chunks } => {
                for chunk in &chunks {
                    self.models[router].import(chunk, now);
                }
            }
        }
    }

    fn receive_reply(
        &mut self,
        request: usize,
        message: &OwnerReplyMessage,
        attempt: u32,
        now: Duration,
    ) {
        let reply = message.reply();
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        if pending.attempt == attempt {
            return self.handle_reply(request, reply, now);
        }
        let (entry, cell, placed) = (pending.entry, pending.cell, pending.placed);
        let late_instance = reply.candidates.first().map(|c| c.instance);
        if let Some(instance) = late_instance.filter(|&l| Some(l) != placed) {
            let request = request as u32;
            self.queue_observation(
                entry,
                cell,
                Observation::Withdrawn { request, instance },
                now,
            );
        }
    }

    fn flush(&mut self, router: usize, now: Duration) {
        let mut outbox = std::mem::take(&mut self.outboxes[router]);
        if !self.is_up[router] {
            return;
        }
        outbox.sort_by_key(|&(cell, _)| cell);
        for batch in outbox.chunk_by(|a, b| a.0 == b.0) {
            let observations: Vec<_> = batch.iter().map(|(_, o)| o.clone()).collect();
            self.send_observations(router, batch[0].0, &observations, now);
        }
    }

    /// Records the first token of a response at the entry router.
    pub(crate) fn record_first_token(
        &mut self,
        request: usize,
        entry: usize,
        cached_tokens: u32,
        instance: InstanceTag,
        now: Duration,
    ) {
        if !self.is_enabled {
            return;
        }
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        let observation = Observation::FirstToken {
            request: request as u32,
            instance,
            cached_tokens: Some(cached_tokens),
            at: now,
        };
        if self.ablation.without_owner {
            self.models[entry].record(&observation);
        } else {
            self.queue_observation(entry, pending.cell, observation, now);
        }
    }

    /// Records the end of a response at the entry router.
    pub(crate) fn record_finish(
        &mut self,
        request: usize,
        entry: usize,
        cell: usize,
        instance: InstanceTag,
        now: Duration,
    ) {
        let observation = Observation::Finished {
            request: request as u32,
            instance,
            at: now,
        };
        if self.ablation.without_owner {
            self.models[entry].record(&observation);
        } else {
            self.queue_observation(entry, cell, observation, now);
        }
    }

    /// Sends load reports to the routers of each replica's cell.
    pub(crate) fn load_reports(&mut self, at: Duration, waiting: &[u32], now: Duration) {
        if !self.is_enabled || self.ablation.without_reports {
            return;
        }
        for (replica, &waiting_requests) in waiting.iter().enumerate() {
            let instance = self.instance(replica);
            let observation = Observation::Load {
                instance,
                waiting_requests,
                at,
            };
            self.broadcast(replica, &observation, now);
        }
    }

    /// Sends an engine's evictions to the routers of its cell, reduced to the levels that they track.
    pub(crate) fn cache_events(&mut self, replica: usize, evicted: Vec<LevelKey>, now: Duration) {
        if !self.is_enabled {
            return;
        }
        let instance = self.instance(replica);
        let routers = self.routers_of(self.pool_view.cells().cell_of_replica(replica));
        let Some(&publisher) = routers.first() else {
            return;
        };
        let keys = self.models[publisher].known_levels(instance, evicted);
        if keys.is_empty() {
            return;
        }
        let observation = Observation::Evicted {
            instance,
            keys,
            at: now,
        };
        self.broadcast(replica, &observation, now + CACHE_EVENT_LAG);
    }

    /// Sends an observation of a replica to all routers of its cell, to be received at `at`.
    fn broadcast(&mut self, replica: usize, observation: &Observation, at: Duration) {
        let message = ObservationsMessage {
            pool: POOL_ID,
            observations: vec![ObservationMessage::new(observation, at)],
        };
        let bytes = message.encoded_len() as u64 + FRAME_BYTES;
        let cell = self.pool_view.cells().cell_of_replica(replica);
        for (index, router) in self.routers_of(cell).into_iter().enumerate() {
            if self.ablation.without_owner || index > 0 {
                self.observation_bytes += bytes;
            }
            let message = message.clone();
            self.events
                .push((at, RouterEvent::Observations { router, message }));
        }
    }

    pub(crate) fn set_available(&mut self, replica: usize, is_available: bool) {
        self.replicas[replica].is_available = is_available;
        for model in &mut self.models {
            model.set_available(replica, is_available);
        }
        self.update_pool_view();
    }

    pub(crate) fn set_identity(&mut self, replica: usize, incarnation: u64) {
        self.replicas[replica].incarnation = incarnation;
        self.replicas[replica].is_available = true;
        for model in &mut self.models {
            model.set_identity(replica, incarnation, 1);
            model.set_available(replica, true);
        }
        self.update_pool_view();
    }

    fn update_pool_view(&mut self) {
        let cells = self.pool_view.cells().clone();
        self.pool_view = PoolView::new(self.replicas.clone(), cells);
    }

    pub(crate) fn set_routers_up(&mut self, up: &[bool]) {
        self.is_up = up.to_vec();
    }

    /// Restarts the routers that were down, with empty models.
    pub(crate) fn restart_routers(&mut self, up: &[bool]) {
        if self.is_enabled {
            for router in (0..up.len()).filter(|&r| up[r] && !self.is_up[r]) {
                let mut model = PoolModel::new(self.ablation.features);
                model.set_replicas(&self.replicas, self.pool_view.cells().clone());
                self.models[router] = model;
                self.outboxes[router].clear();
            }
        }
        self.is_up = up.to_vec();
    }

    /// Recomputes the cells from the live routers, and transfers the cells' models to the routers that joined them.
    pub(crate) fn update_members(&mut self, up: &[bool], now: Duration) {
        if !self.is_enabled {
            return;
        }
        let count = self.pool_view.cells().len();
        let before: Vec<_> = (0..count).map(|cell| self.routers_of(cell)).collect();
        self.members = (0..up.len()).filter(|&r| up[r]).collect();
        let names: Vec<_> = self
            .members
            .iter()
            .map(|&r| self.names[r].clone())
            .collect();
        let ids: Vec<_> = self.replicas.iter().map(|r| r.id.clone()).collect();
        let cells = Cells::new(&ids, &names);
        for model in &mut self.models {
            model.set_cells(cells.clone());
        }
        self.pool_view = PoolView::new(self.replicas.clone(), cells);
        for (cell, before) in before.iter().enumerate() {
            self.transfer_model(cell, before, now);
        }
    }

    fn transfer_model(&mut self, cell: usize, before: &[usize], now: Duration) {
        let Some(&from) = before.iter().find(|&&r| self.is_up[r]) else {
            return;
        };
        for router in self.routers_of(cell) {
            if before.contains(&router) {
                continue;
            }
            let chunks = self.models[from].export(POOL_ID, cell, now);
            let bytes: usize = chunks.iter().map(Message::encoded_len).sum();
            self.observation_bytes += bytes as u64;
            self.events
                .push((now + TRANSFER_DELAY, RouterEvent::Import { router, chunks }));
        }
    }

    /// Writes the routers' counters to `report`.
    pub(crate) fn fill_report(&self, report: &mut PolicyReport, secs: f64) {
        report.lookups = self.lookups;
        report.lookup_bytes = self.lookup_bytes;
        report.observation_bytes = self.observation_bytes;
        report.second_asks = self.second_asks;
        report.spills = self.spills;
        report.fallbacks = self.fallbacks;
        let bytes = (self.lookup_bytes + self.observation_bytes) as f64;
        report.control_bytes_per_router_second = (bytes / secs / self.names.len() as f64).round();
    }
}

fn micros_since(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e6
}

fn replica_view(scenario: &Scenario, index: usize) -> ReplicaView {
    ReplicaView {
        id: format!("replica-{index}").into(),
        incarnation: 1,
        weights_version: 1,
        zone: index % ZONES,
        role: ReplicaRole::Both,
        is_available: true,
        prefill_tokens_per_second: scenario.prefill_tokens_per_second,
        cache_tokens: scenario.cache_tokens,
        decode_slots: scenario.decode_slots as u32,
        busy_until: Duration::ZERO,
    }
}
