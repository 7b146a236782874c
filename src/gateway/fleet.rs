//! Which replicas there are, as the platform's list, other routers and the replicas' own answers tell.
//!
//! The list lags, lapses while the platform is away, and may hold entries that no replica wrote. So a replica is known by
//! its id and the time of its start, versions of weights only grow within one life, and an entry that lapsed during an
//! outage is kept until the replica had time to write again. Weighed: asking each replica instead, which costs a priced
//! call per replica and router. See docs/design/gateway.md.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::route::ModelName;
use crate::id::{ReplicaId, ServiceName, WeightsVersion, ZoneName};

/// How long after the platform's return a lapsed entry may still come back; the platform's page says about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// How long a replica may be loading before the list decides again; several times the longest load in the brief.
const LOADING_LIMIT: Duration = Duration::from_secs(3);
/// The most replicas that are kept; more than twice the target of docs/CAPACITY.md.
const MAX_REPLICAS: usize = 4_096;

/// The model weights of a replica.
pub type LoadedWeights = SmallVec<[(ModelName, WeightsVersion); 1]>;

/// Whether a replica takes new requests, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// One replica as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaRecord {
    /// The replica's id.
    pub id: ReplicaId,
    /// When it started, in milliseconds since the Unix epoch; tells two lives of one id apart.
    pub born_ms: u64,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ReplicaState,
    /// The weights that it serves.
    pub weights: LoadedWeights,
}

/// What one entry of the platform's list says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicaEntry {
    /// A replica.
    Present(ReplicaRecord),
    /// The entry is gone.
    Gone(ReplicaId),
    /// The entry names no replica.
    Malformed {
        /// The entry's name.
        id: ReplicaId,
        /// What is wrong with it.
        reason: Arc<str>,
    },
}

/// What a replica does at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplicaPhase {
    /// It takes requests.
    Serving,
    /// It loads weights until it is told otherwise or this time has come.
    Loading(Duration),
    /// It takes no new requests any more.
    Leaving,
}

/// A replica with all that is known of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnownReplica {
    /// What the list last said, with the newest weights that anyone has told.
    pub record: ReplicaRecord,
    /// What it does.
    pub phase: ReplicaPhase,
    /// Set where its entry lapsed during an outage: when it counts as gone.
    pub lapses_at: Option<Duration>,
}

impl KnownReplica {
    /// Tells whether the replica takes new requests.
    #[must_use]
    pub(crate) const fn is_open(&self) -> bool {
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

/// What a change of the fleet was, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FleetChange {
    /// A replica, or a new life of one, was added.
    Added(ReplicaId),
    /// A replica takes no new requests.
    Leaving(ReplicaId),
    /// A replica is gone.
    Removed(ReplicaId),
    /// A replica's entry lapsed during an outage; the replica is kept for now.
    Lapsed(ReplicaId),
    /// A replica serves other weights or is in another phase.
    Changed(ReplicaId),
    /// An entry names no replica.
    Ignored(ReplicaId, Arc<str>),
}

/// All replicas that this router knows.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    replicas: BTreeMap<ReplicaId, KnownReplica>,
    /// When the platform last came back after an outage.
    returned_at: Option<Duration>,
    is_listed: bool,
}

impl Fleet {
    /// Returns all replicas, leaving ones included.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = &KnownReplica> {
        self.replicas.values()
    }

    /// Returns the replica called `id`.
    #[must_use]
    pub(crate) fn get(&self, id: &str) -> Option<&KnownReplica> {
        self.replicas.get(id)
    }

    /// Tells whether the whole list has been read once.
    #[must_use]
    pub(crate) const fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Notes that the platform answers again after an outage.
    pub(crate) fn platform_returned(&mut self, now: Duration) {
        self.returned_at = Some(now);
    }

    /// Takes the whole list: what it does not name is gone.
    pub(crate) fn take_list(
        &mut self,
        entries: Vec<ReplicaEntry>,
        now: Duration,
    ) -> Vec<FleetChange> {
        self.is_listed = true;
        let mut named: Vec<ReplicaId> = Vec::with_capacity(entries.len());
        let mut changes = Vec::new();
        for entry in entries {
            named.push(Arc::clone(id_of(&entry)));
            changes.extend(self.take_entry(entry, now));
        }
        named.sort_unstable();
        let missing: Vec<_> = self
            .replicas
            .keys()
            .filter(|id| named.binary_search(id).is_err())
            .cloned()
            .collect();
        for id in missing {
            changes.extend(self.lose(id, now));
        }
        changes
    }

    /// Takes one entry that changed.
    pub(crate) fn take_entry(&mut self, entry: ReplicaEntry, now: Duration) -> Option<FleetChange> {
        match entry {
            ReplicaEntry::Present(record) => self.put(record, now),
            ReplicaEntry::Gone(id) => self.lose(id, now),
            // A replica that is known keeps its place: it writes its own entry again at its next heartbeat.
            ReplicaEntry::Malformed { id, reason } => Some(FleetChange::Ignored(id, reason)),
        }
    }

    /// Notes that a replica loads weights, as the router that ordered it tells.
    pub(crate) fn begin_loading(
        &mut self,
        id: &str,
        born_ms: u64,
        now: Duration,
    ) -> Option<FleetChange> {
        let known = self.life_mut(id, born_ms)?;
        if known.phase == ReplicaPhase::Leaving {
            return None;
        }
        known.phase = ReplicaPhase::Loading(now + LOADING_LIMIT);
        Some(FleetChange::Changed(id.into()))
    }

    /// Notes that a replica serves a version of a model, as an answer or another router tells.
    pub(crate) fn note_weights(
        &mut self,
        id: &str,
        born_ms: u64,
        model: &ModelName,
        version: WeightsVersion,
    ) -> Option<FleetChange> {
        let known = self.life_mut(id, born_ms)?;
        let is_newer = raise_weights(&mut known.record.weights, model, version);
        let was_loading = matches!(known.phase, ReplicaPhase::Loading(_));
        if was_loading {
            known.phase = ReplicaPhase::Serving;
        }
        (is_newer || was_loading).then(|| FleetChange::Changed(id.into()))
    }

    /// Notes that a replica leaves, as another router tells.
    pub(crate) fn note_leaving(&mut self, id: &str, born_ms: u64) -> Option<FleetChange> {
        let known = self.life_mut(id, born_ms)?;
        if known.phase == ReplicaPhase::Leaving {
            return None;
        }
        known.phase = ReplicaPhase::Leaving;
        Some(FleetChange::Leaving(id.into()))
    }

    /// Ends waits whose time has come.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        self.replicas.retain(|id, known| {
            let is_gone = known.lapses_at.is_some_and(|at| now >= at);
            if is_gone {
                changes.push(FleetChange::Removed(Arc::clone(id)));
            }
            !is_gone
        });
        for (id, known) in &mut self.replicas {
            if matches!(known.phase, ReplicaPhase::Loading(until) if now >= until) {
                known.phase = ReplicaPhase::Serving;
                changes.push(FleetChange::Changed(Arc::clone(id)));
            }
        }
        changes
    }

    fn life_mut(&mut self, id: &str, born_ms: u64) -> Option<&mut KnownReplica> {
        let known = self.replicas.get_mut(id)?;
        (known.record.born_ms == born_ms).then_some(known)
    }

    fn put(&mut self, mut record: ReplicaRecord, now: Duration) -> Option<FleetChange> {
        let id = Arc::clone(&record.id);
        let phase = match record.state {
            ReplicaState::Ready => ReplicaPhase::Serving,
            ReplicaState::Draining => ReplicaPhase::Leaving,
        };
        let known = self
            .replicas
            .get(&id)
            .filter(|known| known.record.born_ms >= record.born_ms);
        let Some(known) = known else {
            if self.replicas.len() >= MAX_REPLICAS && !self.replicas.contains_key(&id) {
                return Some(FleetChange::Ignored(id, "too many replicas".into()));
            }
            let added = KnownReplica {
                record,
                phase,
                lapses_at: None,
            };
            self.replicas.insert(Arc::clone(&id), added);
            return Some(FleetChange::Added(id));
        };
        if known.record.born_ms > record.born_ms {
            return Some(FleetChange::Ignored(id, "an earlier life".into()));
        }
        for (model, version) in &known.record.weights {
            raise_weights(&mut record.weights, model, *version);
        }
        let shows_newer = record.weights != known.record.weights;
        let phase = match (known.phase, phase) {
            (ReplicaPhase::Leaving, _) | (_, ReplicaPhase::Leaving) => ReplicaPhase::Leaving,
            (ReplicaPhase::Loading(until), _) if !shows_newer && now < until => {
                ReplicaPhase::Loading(until)
            }
            _ => ReplicaPhase::Serving,
        };
        let updated = KnownReplica {
            record,
            phase,
            lapses_at: None,
        };
        if *known == updated {
            return None;
        }
        let has_begun_to_leave =
            known.phase != ReplicaPhase::Leaving && phase == ReplicaPhase::Leaving;
        self.replicas.insert(Arc::clone(&id), updated);
        Some(if has_begun_to_leave {
            FleetChange::Leaving(id)
        } else {
            FleetChange::Changed(id)
        })
    }

    /// Removes a replica whose entry is gone, unless the entry may only have lapsed.
    fn lose(&mut self, id: ReplicaId, now: Duration) -> Option<FleetChange> {
        let known = self.replicas.get_mut(&id)?;
        let grace_end = self.returned_at.map(|at| at + LAPSE_GRACE);
        let may_return = grace_end.is_some_and(|end| now < end);
        if may_return && known.phase != ReplicaPhase::Leaving {
            if known.lapses_at.is_some() {
                return None;
            }
            known.lapses_at = grace_end;
            return Some(FleetChange::Lapsed(id));
        }
        if known.lapses_at.is_some_and(|at| now < at) {
            return None;
        }
        self.replicas.remove(&id);
        Some(FleetChange::Removed(id))
    }
}

fn id_of(entry: &ReplicaEntry) -> &ReplicaId {
    match entry {
        ReplicaEntry::Present(record) => &record.id,
        ReplicaEntry::Gone(id) | ReplicaEntry::Malformed { id, .. } => id,
    }
}

/// Raises the version of `model`; versions never go back within one life of a replica.
fn raise_weights(weights: &mut LoadedWeights, model: &ModelName, version: WeightsVersion) -> bool {
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
