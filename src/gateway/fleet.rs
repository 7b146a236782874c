//! The set of known replicas, built from the platform's list, notices of other routers and responses of the replicas.
//!
//! The list is delayed, its entries expire while the platform is unreachable, and it may contain entries that no
//! replica wrote. A replica is therefore identified by its id and its start time, entries are ordered by the revision at
//! which the store accepted them, weights versions only increase within one incarnation, and an entry that disappears
//! right after an outage is retained until the replica has had time to write it again. Start times are compared for
//! equality only, because the clock of a restarted replica may have been set back. Rejected: polling each replica, because every call is charged per replica and router. See
//! docs/design/gateway.md.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::revision::revision_era;
use super::route::ModelName;
use crate::id::{ReplicaId, ServiceName, WeightsVersion, ZoneName};

/// How long after an outage of the platform an expired entry may reappear; the platform documents about two seconds.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);
/// How long a replica may stay in the loading phase before the list is trusted again; several times the longest
/// specified load time.
const LOADING_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an incarnation that has departed is remembered; a store that comes back from an older copy lists it again.
const DEPARTED_TTL: Duration = Duration::from_secs(60);
/// How long the entry of a departed replica is withheld after a restoration of the store; without heartbeats it expires
/// within three of their intervals and the grace period.
const RESTORED_ENTRY_DELAY: Duration = Duration::from_secs(6);
/// The maximum number of replicas; more than twice the target of docs/CAPACITY.md.
const MAX_REPLICAS: usize = 4_096;

/// The versions of the model weights that a replica serves.
pub type LoadedWeights = SmallVec<[(ModelName, WeightsVersion); 1]>;

/// Whether a replica accepts new requests, according to its own entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

/// One replica as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// The id of the replica.
    pub id: ReplicaId,
    /// The revision of the store at which the entry was written; orders the entries of one replica.
    pub revision: u64,
    /// The start time, in milliseconds since the Unix epoch; distinguishes incarnations of the same id.
    pub born_ms: u64,
    /// The service that the replica belongs to.
    pub service: ServiceName,
    /// The address that the replica listens on.
    pub address: SocketAddr,
    /// The availability zone of the replica.
    pub zone: ZoneName,
    /// The maximum number of requests that the replica runs concurrently.
    pub slots: u32,
    /// Whether the replica accepts new requests.
    pub state: ReplicaState,
    /// The weights that the replica serves.
    pub weights: LoadedWeights,
    /// The version of the replica's software, which is not that of its weights; empty if its entry names none.
    pub software_version: Arc<str>,
}

/// One entry of the platform's list, or its removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaEntry {
    /// A replica.
    Present(ReplicaRecord),
    /// The entry was deleted or has expired.
    Gone(ReplicaId),
    /// The entry does not describe a replica.
    Malformed {
        /// The name of the entry.
        id: ReplicaId,
        /// The reason why the entry is invalid.
        reason: Arc<str>,
    },
}

/// The current phase of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaPhase {
    /// Accepts requests.
    Serving,
    /// Loads weights until a notice reports the end of the load or this time is reached.
    Loading(Duration),
    /// Accepts no new requests.
    Draining,
}

/// A replica with everything that is known about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnownReplica {
    /// The last listed record, with the newest weights versions from any source.
    pub record: ReplicaRecord,
    /// The current phase.
    pub phase: ReplicaPhase,
    /// When to remove the replica; set if its entry expired during an outage.
    pub remove_at: Option<Duration>,
}

impl KnownReplica {
    /// Returns whether the replica accepts new requests.
    #[must_use]
    pub(crate) const fn is_accepting(&self) -> bool {
        matches!(self.phase, ReplicaPhase::Serving)
    }

    /// Returns the version of `model` that the replica serves.
    #[must_use]
    pub(crate) fn version_of(&self, model: &str) -> Option<WeightsVersion> {
        let weights = self.record.weights.iter();
        weights
            .filter(|(name, _)| **name == *model)
            .map(|(_, version)| *version)
            .next()
    }
}

/// An incarnation that was removed or replaced by another one.
#[derive(Clone, Debug)]
struct DepartedReplica {
    born_ms: u64,
    was_draining: bool,
    /// The era of the store in which it departed.
    era: u64,
    departed_at: Duration,
    /// Its entry in a restored store, and when to trust it.
    withheld: Option<(ReplicaRecord, Duration)>,
}

/// A change to the fleet, for logging and notices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FleetChange {
    /// A replica or a new incarnation of one was added.
    Added(ReplicaId),
    /// The incarnation of a replica that started at this time stopped accepting new requests.
    Draining(ReplicaId, u64),
    /// A replica was removed.
    Removed(ReplicaId),
    /// The entry of a replica expired during an outage; the replica is retained for a grace period.
    Retained(ReplicaId),
    /// The weights, the phase or the record of a replica changed.
    Changed(ReplicaId),
    /// An entry was ignored for the given reason.
    Ignored(ReplicaId, Arc<str>),
}

/// All replicas known to this router.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    replicas: BTreeMap<ReplicaId, KnownReplica>,
    /// The last incarnation of each id that has departed.
    departed: BTreeMap<ReplicaId, DepartedReplica>,
    /// The latest era of the store in which an entry was written.
    era: u64,
    /// When the platform last recovered from an outage.
    recovered_at: Option<Duration>,
    has_list: bool,
}

impl Fleet {
    /// Returns all replicas, including those that are draining.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = &KnownReplica> {
        self.replicas.values()
    }

    /// Returns the replica called `id`.
    #[must_use]
    pub(crate) fn get(&self, id: &str) -> Option<&KnownReplica> {
        self.replicas.get(id)
    }

    /// Returns whether the complete list has been read at least once.
    #[must_use]
    pub(crate) const fn has_list(&self) -> bool {
        self.has_list
    }

    /// Records that the platform responds again after an outage.
    pub(crate) fn platform_recovered(&mut self, now: Duration) {
        self.recovered_at = Some(now);
    }

    /// Applies a complete list; replicas that are not listed are removed.
    pub(crate) fn apply_list(
        &mut self,
        entries: Vec<ReplicaEntry>,
        now: Duration,
    ) -> Vec<FleetChange> {
        self.has_list = true;
        let mut listed: Vec<ReplicaId> = Vec::with_capacity(entries.len());
        let mut changes = Vec::new();
        for entry in entries {
            listed.push(Arc::clone(entry_id(&entry)));
            changes.extend(self.apply_entry(entry, now));
        }
        listed.sort_unstable();
        let missing: Vec<_> = self
            .replicas
            .keys()
            .filter(|id| listed.binary_search(id).is_err())
            .cloned()
            .collect();
        for id in missing {
            changes.extend(self.remove_missing(id, now));
        }
        changes
    }

    /// Applies a change of one entry.
    pub(crate) fn apply_entry(
        &mut self,
        entry: ReplicaEntry,
        now: Duration,
    ) -> Option<FleetChange> {
        match entry {
            ReplicaEntry::Present(record) => self.upsert(record, now),
            ReplicaEntry::Gone(id) => {
                if let Some(departed) = self.departed.get_mut(&id) {
                    departed.withheld = None;
                }
                self.remove_missing(id, now)
            }
            // A known replica is kept: it rewrites its own entry at the next heartbeat.
            ReplicaEntry::Malformed { id, reason } => Some(FleetChange::Ignored(id, reason)),
        }
    }

    /// Records that a replica loads weights, as reported by the router that ordered the load.
    pub(crate) fn start_loading(
        &mut self,
        id: &str,
        born_ms: u64,
        now: Duration,
    ) -> Option<FleetChange> {
        let known = self.incarnation_mut(id, born_ms)?;
        if known.phase == ReplicaPhase::Draining {
            return None;
        }
        known.phase = ReplicaPhase::Loading(now + LOADING_TIMEOUT);
        Some(FleetChange::Changed(id.into()))
    }

    /// Records that a replica serves a version of a model, as reported by a response or another router.
    pub(crate) fn record_weights(
        &mut self,
        id: &str,
        born_ms: u64,
        model: &ModelName,
        version: WeightsVersion,
    ) -> Option<FleetChange> {
        let known = self.incarnation_mut(id, born_ms)?;
        let is_newer = raise_version(&mut known.record.weights, model, version);
        let was_loading = matches!(known.phase, ReplicaPhase::Loading(_));
        if was_loading {
            known.phase = ReplicaPhase::Serving;
        }
        (is_newer || was_loading).then(|| FleetChange::Changed(id.into()))
    }

    /// Records that a replica is draining, as reported by another router.
    pub(crate) fn record_draining(&mut self, id: &str, born_ms: u64) -> Option<FleetChange> {
        let known = self.incarnation_mut(id, born_ms)?;
        if known.phase == ReplicaPhase::Draining {
            return None;
        }
        known.phase = ReplicaPhase::Draining;
        Some(FleetChange::Draining(id.into(), born_ms))
    }

    /// Removes replicas whose grace period is over and ends loading phases that timed out.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let is_due = |known: &KnownReplica| known.remove_at.is_some_and(|at| now >= at);
        let due = self.replicas.iter().filter(|(_, known)| is_due(known));
        let due: Vec<_> = due.map(|(id, _)| Arc::clone(id)).collect();
        for id in due {
            self.remove(&id, now);
            changes.push(FleetChange::Removed(id));
        }
        changes.extend(self.admit_withheld(now));
        self.departed
            .retain(|_, departed| now < departed.departed_at + DEPARTED_TTL);
        for (id, known) in &mut self.replicas {
            if matches!(known.phase, ReplicaPhase::Loading(until) if now >= until) {
                known.phase = ReplicaPhase::Serving;
                changes.push(FleetChange::Changed(Arc::clone(id)));
            }
        }
        changes
    }

    /// Adds the replicas whose entries are still in the store long after its restoration, and which therefore live.
    fn admit_withheld(&mut self, now: Duration) -> Vec<FleetChange> {
        let withheld = self
            .departed
            .values_mut()
            .filter_map(|departed| departed.withheld.take_if(|(_, trust_at)| now >= *trust_at));
        let records: Vec<_> = withheld.map(|(record, _)| record).collect();
        for record in &records {
            self.departed.remove(&record.id);
        }
        let admitted = records.into_iter();
        admitted
            .filter_map(|record| self.upsert(record, now))
            .collect()
    }

    /// Removes a replica and remembers the incarnation.
    fn remove(&mut self, id: &ReplicaId, now: Duration) {
        if let Some(known) = self.replicas.remove(id) {
            self.departed
                .insert(Arc::clone(id), self.departure_of(&known, now));
        }
    }

    fn departure_of(&self, known: &KnownReplica, now: Duration) -> DepartedReplica {
        DepartedReplica {
            born_ms: known.record.born_ms,
            was_draining: known.phase == ReplicaPhase::Draining,
            era: self.era,
            departed_at: now,
            withheld: None,
        }
    }

    /// Returns the change to report for an entry of an incarnation that has departed and stays so; `None` if the entry
    /// counts.
    fn withhold(&mut self, record: &ReplicaRecord, now: Duration) -> Option<FleetChange> {
        let departed = self.departed.get_mut(&record.id)?;
        if departed.born_ms != record.born_ms {
            return None;
        }
        let is_replaced = self
            .replicas
            .get(&record.id)
            .is_some_and(|known| known.record.born_ms != record.born_ms);
        let reason = if is_replaced {
            "an earlier incarnation"
        } else if departed.was_draining {
            "the replica has left"
        } else if revision_era(record.revision) > departed.era {
            let trust_at = departed
                .withheld
                .as_ref()
                .map_or(now + RESTORED_ENTRY_DELAY, |(_, trust_at)| *trust_at);
            departed.withheld = Some((record.clone(), trust_at));
            "the replica had departed before the store was restored"
        } else {
            return None;
        };
        Some(FleetChange::Ignored(Arc::clone(&record.id), reason.into()))
    }

    fn incarnation_mut(&mut self, id: &str, born_ms: u64) -> Option<&mut KnownReplica> {
        let known = self.replicas.get_mut(id)?;
        (known.record.born_ms == born_ms).then_some(known)
    }

    fn upsert(&mut self, mut record: ReplicaRecord, now: Duration) -> Option<FleetChange> {
        let id = Arc::clone(&record.id);
        if let Some(ignored) = self.withhold(&record, now) {
            return Some(ignored);
        }
        self.era = self.era.max(revision_era(record.revision));
        // An incarnation whose entry had only expired is back.
        let is_back = |departed: &DepartedReplica| departed.born_ms == record.born_ms;
        if self.departed.get(&id).is_some_and(is_back) {
            self.departed.remove(&id);
        }
        let phase = match record.state {
            ReplicaState::Ready => ReplicaPhase::Serving,
            ReplicaState::Draining => ReplicaPhase::Draining,
        };
        let known = self
            .replicas
            .get(&id)
            .filter(|known| known.record.born_ms == record.born_ms || is_older(&record, known));
        let Some(known) = known else {
            if self.replicas.len() >= MAX_REPLICAS && !self.replicas.contains_key(&id) {
                return Some(FleetChange::Ignored(id, "too many replicas".into()));
            }
            let added = KnownReplica {
                record,
                phase,
                remove_at: None,
            };
            if let Some(replaced) = self.replicas.insert(Arc::clone(&id), added) {
                let departure = self.departure_of(&replaced, now);
                self.departed.insert(Arc::clone(&id), departure);
            }
            return Some(FleetChange::Added(id));
        };
        if is_older(&record, known) {
            return Some(FleetChange::Ignored(id, "an older entry".into()));
        }
        for (model, version) in &known.record.weights {
            raise_version(&mut record.weights, model, *version);
        }
        let has_newer_weights = record.weights != known.record.weights;
        let phase = match (known.phase, phase) {
            (ReplicaPhase::Draining, _) | (_, ReplicaPhase::Draining) => ReplicaPhase::Draining,
            (ReplicaPhase::Loading(until), _) if !has_newer_weights && now < until => {
                ReplicaPhase::Loading(until)
            }
            _ => ReplicaPhase::Serving,
        };
        let updated = KnownReplica {
            record,
            phase,
            remove_at: None,
        };
        if is_same_state(known, &updated) {
            self.replicas.insert(id, updated);
            return None;
        }
        let starts_draining =
            known.phase != ReplicaPhase::Draining && phase == ReplicaPhase::Draining;
        let born_ms = updated.record.born_ms;
        self.replicas.insert(Arc::clone(&id), updated);
        Some(if starts_draining {
            FleetChange::Draining(id, born_ms)
        } else {
            FleetChange::Changed(id)
        })
    }

    /// Removes a replica that is no longer listed, unless its entry may only have expired during an outage.
    fn remove_missing(&mut self, id: ReplicaId, now: Duration) -> Option<FleetChange> {
        let known = self.replicas.get_mut(&id)?;
        let grace_end = self.recovered_at.map(|at| at + EXPIRY_GRACE);
        let may_reappear = grace_end.is_some_and(|end| now < end);
        if may_reappear && known.phase != ReplicaPhase::Draining {
            if known.remove_at.is_some() {
                return None;
            }
            known.remove_at = grace_end;
            return Some(FleetChange::Retained(id));
        }
        if known.remove_at.is_some_and(|at| now < at) {
            return None;
        }
        self.remove(&id, now);
        Some(FleetChange::Removed(id))
    }
}

/// Returns whether the store accepted `record` before the entry that `known` is based on.
fn is_older(record: &ReplicaRecord, known: &KnownReplica) -> bool {
    record.revision < known.record.revision
}

/// Returns whether two states of a replica differ at most in the revision of the entry.
fn is_same_state(before: &KnownReplica, after: &KnownReplica) -> bool {
    let mut before = before.clone();
    before.record.revision = after.record.revision;
    before == *after
}

fn entry_id(entry: &ReplicaEntry) -> &ReplicaId {
    match entry {
        ReplicaEntry::Present(record) => &record.id,
        ReplicaEntry::Gone(id) | ReplicaEntry::Malformed { id, .. } => id,
    }
}

/// Raises the version of `model` if `version` is newer, since versions never decrease within one incarnation; returns
/// whether it was raised.
fn raise_version(weights: &mut LoadedWeights, model: &ModelName, version: WeightsVersion) -> bool {
    let known = weights.iter_mut().find(|(name, _)| name == model);
    match known {
        Some((_, known)) if *known >= version => false,
        Some((_, known)) => {
            *known = version;
            true
        }
        None => {
            weights.push((Arc::clone(model), version));
            true
        }
    }
}
