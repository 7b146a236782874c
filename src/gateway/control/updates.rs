//! Gets platform updates and serves them to other routers.
//!
//! A router gets updates from the platform or from another router of its zone ([`crate::gateway::source`]). In both
//! cases, known state is never replaced by older state.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};

use crate::gateway::cache_isolation::IsolationChange;
use crate::gateway::clock::boot_time;
use crate::gateway::fleet::ReplicaEntry;
use crate::gateway::list_watch::{ListWatchEvent, store_backoff, wait_until};
use crate::gateway::load::{LoadMessage, SpeedReport};
use crate::gateway::request_end::ConfigurationChange;
use crate::gateway::revision::{StoreRevision, revision_era};
use crate::gateway::route::{ModelName, RouteTable};
use crate::gateway::shared::Shared;
use crate::gateway::source::{
    ChangeLog, UPDATE_WAIT, UpdateSource, configuration_interval, is_current,
};
use crate::gateway::store::{ConfigurationRead, NamedWeights, PlatformStore, StoreFault};
use crate::gateway::updates::{
    PlatformUpdate, ReplicaUpdate, UpdateRequest, WeightsUpdate, age_ms,
};
use crate::id::{RouterId, WeightsVersion};
use crate::peer::{Body, Kind, ReplyHandle};

use super::{Control, Event};

/// The number of consecutive failed reads after which the platform counts as unreachable; a single one may be a lost
/// packet.
const OUTAGE_FAILED_READS: u32 = 2;
/// How much longer than the requested wait a reply may take before the platform is queried instead.
const UPDATE_SLACK: Duration = Duration::from_millis(300);
/// Two reports of the same recovery of the platform differ by less than this.
const RECOVERY_SLACK: Duration = Duration::from_millis(500);
/// The maximum size of a configuration that is sent in a frame between routers.
const MAX_RELAYED_CONFIGURATION_BYTES: usize = 768 << 10;

/// The known state of the platform and its revisions.
#[derive(Debug, Default)]
pub(super) struct PlatformState {
    /// The era of the store; `None` before any state is known.
    pub(super) era: Option<u64>,
    pub(super) configuration_revision: StoreRevision,
    pub(super) configuration: Bytes,
    pub(super) replicas_as_of: StoreRevision,
    pub(super) weights_as_of: StoreRevision,
    pub(super) changes: ChangeLog,
    /// The number of consecutive failed reads of the configuration.
    pub(super) failed_reads: u32,
    pub(super) recovered_at: Option<Duration>,
}

/// A pending update request of another router.
#[derive(Debug)]
pub(super) struct PendingUpdate {
    pub(super) router: RouterId,
    pub(super) request: UpdateRequest,
    pub(super) reply: ReplyHandle,
    pub(super) until: Duration,
    /// Whether the router gets what the others observed of the speeds of replicas; it does once a second.
    pub(super) wants_speeds: bool,
    /// The generation of the unreachable replicas when the request arrived.
    pub(super) unreachable_generation: u64,
}

pub(super) fn set_flag(flag: &watch::Sender<bool>, value: bool) {
    flag.send_if_modified(|known| std::mem::replace(known, value) != value);
}

/// Polls the configuration while `is_active` is true; each successful read confirms that the known configuration is
/// current.
pub(super) async fn poll_configuration(
    store: Arc<PlatformStore>,
    shared: Arc<Shared>,
    mut is_active: watch::Receiver<bool>,
    events: mpsc::Sender<Event>,
) {
    let mut revision = 0;
    let mut backoff = store_backoff();
    loop {
        if !wait_until(&mut is_active, true).await {
            return;
        }
        let interval = poll_interval(&shared);
        let sent_at = boot_time();
        let result = (store.read_configuration)(revision).await;
        let pause = match &result {
            Ok(Some(read)) => {
                revision = read.revision;
                backoff.reset();
                interval.saturating_sub(boot_time().saturating_sub(sent_at))
            }
            Ok(None) => interval / 4,
            Err(_) => backoff.next_delay(&mut rand::rng()),
        };
        let event = Event::Configuration(sent_at, Box::new(result));
        if events.send(event).await.is_err() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Returns the interval between reads of the configuration for the current bounds.
fn poll_interval(shared: &Shared) -> Duration {
    configuration_interval(shared.bounds().configuration())
}

impl Control {
    /// Detects that the store came back from an older copy, from its responses or from updates of other routers.
    ///
    /// What the copy lacks is written again by those who wrote it, except for leases. Until then, known state is kept:
    /// the configuration and the named weights by the operator's own version numbers, and replicas as after an outage.
    pub(super) fn detect_store_restoration(&mut self, now: Duration) {
        if self.table.is_none() && !self.fleet.has_list() {
            return;
        }
        let platform = &mut self.platform;
        let revisions = [
            platform.configuration_revision,
            platform.replicas_as_of,
            platform.weights_as_of,
        ];
        let eras = revisions.into_iter().map(revision_era);
        let latest = eras.fold((self.store.era)(), u64::max);
        let Some(known) = platform.era.replace(latest) else {
            return;
        };
        if latest <= known {
            platform.era = Some(known);
            return;
        }
        log::warn!("store: The store came back from an older copy. era={latest} before={known}");
        metrics::counter!("crocuswharf_gateway_store_restorations_total").increment(1);
        platform.recovered_at = Some(now);
        self.fleet.platform_recovered(now);
        self.lease.store_restored(now);
    }

    pub(super) fn handle_configuration(
        &mut self,
        sent_at: Duration,
        result: Result<Option<ConfigurationRead>, StoreFault>,
        now: Duration,
    ) {
        let read = match result {
            Ok(read) => read,
            Err(fault) => {
                self.platform.failed_reads += 1;
                if self.platform.failed_reads == OUTAGE_FAILED_READS {
                    log::warn!("store: Failed to read the configuration. fault=\"{fault}\"");
                }
                return;
            }
        };
        let failed = std::mem::take(&mut self.platform.failed_reads);
        if failed >= OUTAGE_FAILED_READS {
            log::info!("store: Reads of the configuration succeed again. failed_reads={failed}");
            self.platform.recovered_at = Some(now);
            self.fleet.platform_recovered(now);
        }
        if let Some(read) = read {
            self.apply_configuration(read.revision, read.changed, sent_at);
        }
    }

    /// Applies a configuration, or the confirmation that there is no newer one; either was current at `confirmed_at`.
    pub(super) fn apply_configuration(
        &mut self,
        revision: StoreRevision,
        changed: Option<Bytes>,
        confirmed_at: Duration,
    ) {
        let known = self.platform.configuration_revision;
        if revision < known {
            log::warn!("config: An older revision was ignored. revision={revision} known={known}");
            return;
        }
        if revision > known {
            let Some(bytes) = changed else {
                return;
            };
            let configuration = match (self.store.decode_configuration)(&bytes) {
                Ok(configuration) => configuration,
                Err(fault) => {
                    log::error!(
                        "config: Rejected a configuration. revision={revision} fault=\"{fault}\""
                    );
                    return;
                }
            };
            let before = self.table.as_ref().map_or(0, |table| table.version());
            if configuration.version < before {
                // The store may show it after a restoration; the operator then writes the newer one again. Until then,
                // the known one is not confirmed: a later one may be lost.
                let version = configuration.version;
                log::error!("config: Rejected a configuration. version={version} known={before}");
                return;
            }
            log::info!(
                "config: Configuration applied. version={} before={before} revision={revision} routes={} age_ms={}",
                configuration.version,
                configuration.routes.len(),
                boot_time().saturating_sub(confirmed_at).as_millis()
            );
            self.platform.configuration_revision = revision;
            self.platform.configuration = bytes;
            let table = RouteTable::new(configuration);
            log_cache_isolation(self.table.as_deref(), &table);
            self.set_quotas(&table);
            self.set_release_services(&table);
            self.table = Some(Arc::new(table));
            self.is_dirty = true;
            // Traffic must use the new table before it counts as confirmed.
            self.publish();
            self.shared.record_configuration(ConfigurationChange {
                applied_at: boot_time(),
                is_change: before > 0,
            });
        }
        self.shared.confirm(confirmed_at);
    }

    pub(super) fn handle_replicas(&mut self, event: ListWatchEvent<ReplicaEntry>, now: Duration) {
        match event {
            ListWatchEvent::Listed(entries, as_of, _) => self.replace_replicas(entries, as_of, now),
            ListWatchEvent::Changed(entries, as_of, _) => self.change_replicas(entries, as_of, now),
            ListWatchEvent::Unchanged(..) => {}
            ListWatchEvent::Disconnected(fault) => {
                log::warn!("store: Failed to watch the replicas. fault=\"{fault}\"");
            }
            ListWatchEvent::Recovered(failures) => {
                log::info!("store: Watching the replicas again. faults={failures}");
                self.platform.recovered_at = Some(now);
                self.fleet.platform_recovered(now);
            }
        }
    }

    pub(super) fn replace_replicas(
        &mut self,
        entries: Vec<ReplicaEntry>,
        as_of: StoreRevision,
        now: Duration,
    ) {
        if as_of < self.platform.replicas_as_of {
            return;
        }
        self.platform.replicas_as_of = as_of;
        self.platform.changes.reset(as_of);
        let changes = self.fleet.apply_list(entries, now);
        self.is_dirty = true;
        self.apply_fleet_changes(changes);
    }

    pub(super) fn change_replicas(
        &mut self,
        entries: Vec<ReplicaEntry>,
        as_of: StoreRevision,
        now: Duration,
    ) {
        if as_of <= self.platform.replicas_as_of {
            return;
        }
        self.platform.replicas_as_of = as_of;
        let mut changes = Vec::new();
        for entry in &entries {
            changes.extend(self.fleet.apply_entry(entry.clone(), now));
        }
        self.platform.changes.push(as_of, entries);
        self.apply_fleet_changes(changes);
    }

    pub(super) fn handle_weights(&mut self, event: ListWatchEvent<NamedWeights>, now: Duration) {
        let (entries, as_of, read) = match event {
            ListWatchEvent::Listed(entries, as_of, read)
            | ListWatchEvent::Changed(entries, as_of, read) => (entries, as_of, read),
            ListWatchEvent::Unchanged(_, read) => {
                self.named.confirm(read.complete_until);
                return;
            }
            ListWatchEvent::Disconnected(fault) => {
                log::warn!("store: Failed to watch the named weights. fault=\"{fault}\"");
                return;
            }
            ListWatchEvent::Recovered(failures) => {
                log::info!("store: Watching the named weights again. faults={failures}");
                return;
            }
        };
        self.platform.weights_as_of = self.platform.weights_as_of.max(as_of);
        let max_age = self.shared.weights_bounds().initial_age();
        let found_at = self.named.found_at(read, now, max_age);
        for named in entries {
            self.record_named_weights(&named.model, named.version, found_at);
        }
        self.named.confirm(read.complete_until);
    }

    /// Records that the operator named a version, which counts from `named_at`.
    pub(super) fn record_named_weights(
        &mut self,
        model: &ModelName,
        version: WeightsVersion,
        named_at: Duration,
    ) {
        if self.named.record(model, version, named_at) {
            let age_ms = boot_time().saturating_sub(named_at).as_millis();
            log::info!("rollout: Weights named. model={model} version={version} age_ms={age_ms}");
            self.is_dirty = true;
        }
    }

    /// Applies the reply of another router to a request sent at `sent_at`.
    pub(super) fn handle_update(
        &mut self,
        sent_at: Duration,
        update: Option<PlatformUpdate>,
        now: Duration,
    ) {
        self.is_update_pending = false;
        let mut update = update;
        if let Some(load) = update.as_mut().and_then(|update| update.others_load.take()) {
            if let UpdateSource::Router(source) = &self.current_source {
                let source = Arc::clone(source);
                self.unreachable
                    .record_aggregate(Arc::clone(&source), &load.reachability, now);
                if let Some(speeds) = &load.speeds {
                    self.peer_speeds.record_aggregate(source, speeds, now);
                }
            }
            self.merge_limits(&load.limits, now);
            self.apply_others_load(load.into_loads());
        }
        let interval = poll_interval(&self.shared);
        let is_fresh = |update: &PlatformUpdate| {
            is_current(Duration::from_millis(update.confirmed_age_ms), interval)
        };
        let has_replied = update.is_some();
        let Some(update) = update.filter(|update| !update.is_unavailable && is_fresh(update))
        else {
            log::info!(
                "source: No update from another router. source={:?} replied={has_replied}",
                self.current_source
            );
            if has_replied {
                self.source.had_no_state(now);
            } else {
                self.source.failed(now);
            }
            return;
        };
        self.source.succeeded();
        if let Some(age_ms) = update.recovered_age_ms {
            let at = now.saturating_sub(Duration::from_millis(age_ms));
            if self
                .platform
                .recovered_at
                .is_none_or(|known| known + RECOVERY_SLACK < at)
            {
                self.platform.recovered_at = Some(at);
                self.fleet.platform_recovered(at);
            }
        }
        // The reply was created after the request was sent, so this time is not later than the actual confirmation.
        let confirmed_at = sent_at.saturating_sub(Duration::from_millis(update.confirmed_age_ms));
        let changed = (!update.configuration.is_empty()).then_some(update.configuration);
        if update.configuration_revision >= self.platform.configuration_revision {
            self.apply_configuration(update.configuration_revision, changed, confirmed_at);
        }
        let entries: Vec<_> = update
            .replicas
            .into_iter()
            .map(ReplicaUpdate::into_entry)
            .collect();
        if update.has_all_replicas {
            self.replace_replicas(entries, update.replicas_as_of, now);
        } else {
            self.change_replicas(entries, update.replicas_as_of, now);
        }
        self.platform.weights_as_of = self.platform.weights_as_of.max(update.weights_as_of);
        for named in update.weights {
            let named_at = named.named_at(sent_at);
            let model = named.model.into();
            self.record_named_weights(&model, named.version, named_at);
        }
        if let Some(age_ms) = update.weights_complete_age_ms {
            let complete_until = sent_at.saturating_sub(Duration::from_millis(age_ms));
            self.named.confirm(complete_until);
        }
    }

    /// Queues the update request of a router until there is an update or its wait time has passed.
    pub(super) fn enqueue_update_request(
        &mut self,
        router: RouterId,
        mut request: UpdateRequest,
        reply: ReplyHandle,
    ) {
        let wait = Duration::from_millis(u64::from(request.wait_ms));
        let mut wants_speeds = false;
        if let Some(mut load) = request.load.take() {
            let from = Arc::clone(&router);
            self.unreachable
                .record_follower(from, &load.reachability, boot_time());
            if let Some(speeds) = load.speeds.take() {
                let from = Arc::clone(&router);
                self.peer_speeds.record_follower(from, &speeds, boot_time());
                wants_speeds = true;
            }
            self.merge_limits(&load.limits, boot_time());
            let loads = load.into_loads();
            self.peer_loads
                .record_follower(Arc::clone(&router), loads, boot_time());
        }
        self.pending_updates.push(PendingUpdate {
            router,
            request,
            reply,
            until: boot_time() + wait,
            wants_speeds,
            unreachable_generation: self.unreachable_generation,
        });
    }

    /// Replies to the routers for which there is an update, and to those whose wait time has passed.
    pub(super) fn answer_update_requests(&mut self, now: Duration) {
        let is_unavailable = !self.can_provide_updates();
        let pending = std::mem::take(&mut self.pending_updates).into_iter();
        let (due, waiting): (Vec<_>, Vec<_>) = pending.partition(|waiting| {
            is_unavailable
                || now >= waiting.until
                || self.has_update_for(&waiting.request)
                || waiting.unreachable_generation != self.unreachable_generation
        });
        self.pending_updates = waiting;
        if due.is_empty() {
            return;
        }
        let total = self.peer_loads.total(&self.own_loads());
        let reachability = self.unreachable.total_report(now);
        let limits = self.limit_reports(now);
        for waiting in due {
            let mut update = self.update_for(&waiting.request, is_unavailable, now);
            let others = self.peer_loads.total_excluding(&waiting.router, &total);
            let mut others_load = LoadMessage::of(&others);
            others_load.reachability = reachability.clone();
            others_load.limits = limits.clone();
            others_load.speeds = waiting.wants_speeds.then(|| {
                let own = self.own_speeds(now);
                let others = self
                    .peer_speeds
                    .total_excluding(Some(&waiting.router), &own);
                SpeedReport::of(&others)
            });
            update.others_load = Some(others_load);
            waiting.reply.send(Body::encode(Kind::News, &update));
        }
    }

    /// Returns whether this router can serve updates, which requires current state read from the platform directly.
    pub(super) fn can_provide_updates(&self) -> bool {
        self.current_source == UpdateSource::Platform
            && self.platform.failed_reads < OUTAGE_FAILED_READS
            && is_current(
                boot_time().saturating_sub(self.shared.confirmed_at()),
                poll_interval(&self.shared),
            )
            && self.named.is_current(boot_time())
            && self.fleet.has_list()
            && self.table.is_some()
    }

    pub(super) fn has_update_for(&self, request: &UpdateRequest) -> bool {
        request.configuration_revision < self.platform.configuration_revision
            || request.replicas_as_of < self.platform.replicas_as_of
            || request.weights_as_of < self.platform.weights_as_of
    }

    pub(super) fn update_for(
        &self,
        request: &UpdateRequest,
        is_unavailable: bool,
        now: Duration,
    ) -> PlatformUpdate {
        let platform = &self.platform;
        if is_unavailable {
            return PlatformUpdate {
                is_unavailable,
                ..PlatformUpdate::default()
            };
        }
        let age_of =
            |at: Duration| u64::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u64::MAX);
        let has_configuration = request.configuration_revision >= platform.configuration_revision
            || platform.configuration.len() > MAX_RELAYED_CONFIGURATION_BYTES;
        let changed = platform.changes.since(request.replicas_as_of);
        let has_all_replicas = changed.is_none();
        let replicas = match changed {
            Some(changed) => changed.filter_map(ReplicaUpdate::of).collect(),
            None => {
                let known = self
                    .fleet
                    .replicas()
                    .filter(|known| known.remove_at.is_none());
                known
                    .map(|known| ReplicaUpdate::of_record(&known.record))
                    .collect()
            }
        };
        let named = self.named.models().iter().flat_map(|(model, versions)| {
            let versions = versions.iter();
            versions.map(|(version, at)| WeightsUpdate::of_named(model, *version, *at, now))
        });
        let knows_weights = request.weights_as_of >= platform.weights_as_of;
        PlatformUpdate {
            is_unavailable,
            confirmed_age_ms: age_of(self.shared.confirmed_at()) + 1,
            configuration_revision: platform.configuration_revision,
            configuration: if has_configuration {
                Bytes::new()
            } else {
                platform.configuration.clone()
            },
            replicas_as_of: platform.replicas_as_of,
            has_all_replicas,
            replicas,
            weights_as_of: platform.weights_as_of,
            weights: if knows_weights {
                Vec::new()
            } else {
                named.collect()
            },
            recovered_age_ms: platform.recovered_at.map(age_of),
            weights_complete_age_ms: self.named.complete_until().map(|at| age_ms(at, now)),
            others_load: None,
        }
    }

    /// Selects the source of updates, and sends an update request if it is another router.
    pub(super) fn select_source(&mut self, now: Duration) {
        let zone = self.peers.zone_routers();
        let mut source = self.source.choose(self.peers.own(), &zone, now);
        // A configuration that is too large for a frame must be read from the platform.
        let is_large = self.platform.configuration.len() > MAX_RELAYED_CONFIGURATION_BYTES;
        if self.table.is_none() || is_large {
            source = UpdateSource::Platform;
        }
        if source != self.current_source {
            log::info!("source: Changed. source={source:?}");
            self.current_source = source;
        }
        let is_direct = self.current_source == UpdateSource::Platform;
        let is_reachable = self.platform.failed_reads < OUTAGE_FAILED_READS;
        set_flag(&self.polls_configuration, is_direct);
        set_flag(&self.watches_lists, is_direct && is_reachable);
        if let UpdateSource::Router(router) = self.current_source.clone()
            && !self.is_update_pending
            && self.source.may_ask(now)
        {
            self.is_update_pending = true;
            let mut load = LoadMessage::of(&self.own_loads());
            load.reachability = self.unreachable.local_report(now);
            load.speeds = self.due_speed_report(now);
            load.limits = self.limit_reports(now);
            let request = UpdateRequest {
                configuration_revision: self.platform.configuration_revision,
                replicas_as_of: self.platform.replicas_as_of,
                weights_as_of: self.platform.weights_as_of,
                wait_ms: UPDATE_WAIT.as_millis() as u32,
                load: Some(load),
            };
            self.peers
                .request_update(&router, &request, UPDATE_WAIT + UPDATE_SLACK);
        }
    }
}

/// Logs the scope of the accounts that share cached parts when it is new, and how many accounts find nothing cached.
fn log_cache_isolation(before: Option<&RouteTable>, table: &RouteTable) {
    let isolation = table.cache_isolation();
    let isolated = isolation.isolated_len();
    let sharing = table
        .configuration()
        .accounts
        .len()
        .saturating_sub(isolated);
    // A router that has just started names the same scope as the others, so its first configuration makes nothing cold.
    let (change, cold) = match before.map(|before| isolation.change_since(before.cache_isolation()))
    {
        None => (IsolationChange::default(), 0),
        Some(Some(change)) => (change, sharing + change.added),
        Some(None) => return,
    };
    log::info!(
        "config: Cache scope in force. version={} scope={} isolated_accounts={isolated} newly_isolated={} no_longer_isolated={} cold_accounts={cold}",
        table.version(),
        isolation.domain(None),
        change.added,
        change.removed,
    );
}
