//! Which releases may have begun a stream that still lives. A release is one software version of a service.
//!
//! A router knows the releases of the replicas that it has seen for as long as a stream may last. One that has just
//! started knows nothing of the time before, and if all routers were killed at once, nobody does. So the releases are also
//! recorded in the platform's store, once when a release begins and once when it has ended. A release that is not recorded
//! yet begins no stream that can be taken up, unless its service has no other one.
//!
//! Load patterns handled: a release that replaces replica by replica, or all at once; replicas that come back with an
//! earlier version; all routers killed before, within and after a release; a store that is away, or that comes back from
//! an older copy.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::stream_origin::{ReleaseKey, StreamReply, release_key};
use crate::id::ServiceName;
use crate::store::ObjectVersion;

/// The maximum number of releases of a service that are recorded; entries of the list come from any writer.
const MAX_RECORDED: usize = 64;
/// How much later each further candidate writes, so that candidates rarely write at the same time.
const RANK_DELAY: Duration = Duration::from_millis(200);
/// The interval at which the record is read until it is known, and after a write without a result.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// The releases that serve, as recorded in the platform's store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRecord {
    /// The era of the store in which the record was written. A store that came back from an older copy may lack releases.
    pub era: u64,
    /// The software versions of each service.
    pub services: BTreeMap<Arc<str>, Vec<Arc<str>>>,
}

/// A call to the platform's store for the record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RecordCall {
    Read,
    /// Writes the record, conditional on the version that is known.
    Write(ReleaseRecord, Option<ObjectVersion>),
}

/// The releases that traffic threads need to know.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReleaseView {
    /// The services whose streams are told to other routers, since they have several releases.
    pub(crate) mixed: HashSet<ServiceName>,
    /// The releases that are recorded; `None` if that is not known.
    pub(crate) recorded: Option<HashSet<ReleaseKey>>,
}

/// The releases of the services with streams that can be taken up.
#[derive(Debug)]
pub(crate) struct Releases {
    /// When a replica of each release was last seen.
    seen: BTreeMap<ServiceName, BTreeMap<Arc<str>, Duration>>,
    /// How long a stream may last.
    stream_life: Duration,
    /// Since when this router has seen the replicas, or all that were before.
    complete_from: Option<Duration>,
    record: Option<ReleaseRecord>,
    record_version: Option<ObjectVersion>,
    /// Releases that another router has announced as recorded.
    announced: HashSet<ReleaseKey>,
    /// Since when the record lacks a release or has one too many.
    outdated_since: Option<Duration>,
    is_call_pending: bool,
    next_call_at: Duration,
}

impl Releases {
    /// Creates the state of a router that has seen no replica.
    pub(crate) fn new() -> Self {
        Self {
            seen: BTreeMap::new(),
            stream_life: Duration::ZERO,
            complete_from: None,
            record: None,
            record_version: None,
            announced: HashSet::new(),
            outdated_since: None,
            is_call_pending: false,
            next_call_at: Duration::ZERO,
        }
    }

    /// Sets the services with streams that can be taken up, and how long these may last.
    pub(crate) fn set_services(&mut self, services: &[ServiceName], stream_life: Duration) {
        self.seen.retain(|service, _| services.contains(service));
        for service in services {
            self.seen.entry(Arc::clone(service)).or_default();
        }
        self.stream_life = self.stream_life.max(stream_life);
    }

    /// Returns whether any service has streams that can be taken up.
    pub(crate) fn is_active(&self) -> bool {
        !self.seen.is_empty()
    }

    /// Returns how long a stream may last.
    pub(crate) const fn stream_life(&self) -> Duration {
        self.stream_life
    }

    /// Records the service and the software version of each replica in the complete list.
    pub(crate) fn observe<'a>(
        &mut self,
        replicas: impl Iterator<Item = (&'a ServiceName, &'a Arc<str>)>,
        now: Duration,
    ) {
        self.complete_from.get_or_insert(now + self.stream_life);
        for (service, version) in replicas {
            let Some(versions) = self.seen.get_mut(service) else {
                continue;
            };
            match versions.get_mut(version) {
                Some(seen_at) => *seen_at = now,
                None => drop(versions.insert(Arc::clone(version), now)),
            }
        }
        for versions in self.seen.values_mut() {
            versions.retain(|_, seen_at| now <= *seen_at + self.stream_life);
        }
    }

    /// Returns whether the releases that are known are all that may have begun a stream that still lives.
    pub(crate) fn is_complete(&self, now: Duration) -> bool {
        self.complete_from.is_some_and(|from| now >= from)
    }

    /// Returns what is known about the releases of `services`.
    pub(crate) fn reply(
        &self,
        services: impl Iterator<Item = impl AsRef<str>>,
        now: Duration,
    ) -> StreamReply {
        let mut seen = Vec::new();
        for service in services {
            let service = service.as_ref();
            let versions = self.seen.get(service).into_iter().flatten();
            seen.extend(versions.map(|(version, _)| release_key(service, version)));
        }
        StreamReply {
            release: None,
            seen,
            is_complete: self.is_complete(now),
        }
    }

    /// Returns what traffic threads need to know.
    pub(crate) fn view(&self, now: Duration) -> ReleaseView {
        let is_complete = self.is_complete(now);
        let services = self.seen.iter();
        let mixed = services.filter(|(_, versions)| versions.len() > 1 || !is_complete);
        let recorded = self.record.as_ref().map(|record| {
            let keys = record_keys(record);
            keys.chain(self.announced.iter().copied()).collect()
        });
        ReleaseView {
            mixed: mixed.map(|(service, _)| Arc::clone(service)).collect(),
            recorded,
        }
    }

    /// Returns the keys of all releases of a service that were seen lately.
    pub(crate) fn keys_of(&self, service: &str) -> Vec<ReleaseKey> {
        let versions = self.seen.get(service).into_iter().flatten();
        versions
            .map(|(version, _)| release_key(service, version))
            .collect()
    }

    /// Returns the call to the store that is due; `rank` is this router's rank among those that may write.
    pub(crate) fn next_call(
        &mut self,
        era: u64,
        rank: Option<usize>,
        now: Duration,
    ) -> Option<RecordCall> {
        if !self.is_active() || self.complete_from.is_none() {
            return None;
        }
        let known = self.record.as_ref();
        let wanted = self.wanted_record(era, now);
        let may_write = rank.is_some();
        let is_outdated =
            known.is_some_and(|known| *known != wanted && !self.is_announced(&wanted, may_write));
        if !is_outdated {
            self.outdated_since = None;
        }
        if self.is_call_pending || now < self.next_call_at || (known.is_some() && !is_outdated) {
            return None;
        }
        if known.is_none() {
            return Some(self.begin_call(RecordCall::Read, now));
        }
        let since = *self.outdated_since.get_or_insert(now);
        // The last rank is that of the routers that don't write: they read what the others have written.
        let is_due = |rank: usize| now >= since + RANK_DELAY * rank as u32;
        match rank {
            Some(rank) if is_due(rank) => {
                let call = RecordCall::Write(wanted, self.record_version);
                Some(self.begin_call(call, now))
            }
            None if is_due(3) => Some(self.begin_call(RecordCall::Read, now)),
            _ => None,
        }
    }

    fn begin_call(&mut self, call: RecordCall, now: Duration) -> RecordCall {
        self.is_call_pending = true;
        self.next_call_at = now + READ_INTERVAL;
        call
    }

    /// Returns the record that names all releases that may have begun a stream that still lives.
    fn wanted_record(&self, era: u64, now: Duration) -> ReleaseRecord {
        let services = self.seen.iter().map(|(service, versions)| {
            let mut versions: Vec<_> = versions.keys().take(MAX_RECORDED).cloned().collect();
            let known = self.record.as_ref();
            let known = known.and_then(|known| known.services.get(service));
            if !self.is_complete(now) {
                versions.extend(known.into_iter().flatten().cloned());
                versions.sort();
                versions.dedup();
            }
            (Arc::clone(service), versions)
        });
        let services = services.filter(|(_, versions)| !versions.is_empty());
        ReleaseRecord {
            era,
            services: services.collect(),
        }
    }

    /// Returns whether another router has announced that the releases of `wanted` are recorded, and with `is_exact` no
    /// others.
    fn is_announced(&self, wanted: &ReleaseRecord, is_exact: bool) -> bool {
        let wanted: HashSet<_> = record_keys(wanted).collect();
        !self.announced.is_empty()
            && wanted.is_subset(&self.announced)
            && (!is_exact || wanted.len() == self.announced.len())
    }

    /// Applies the result of a read; `None` if it failed, and an inner `None` if there is no record yet.
    ///
    /// A record that was written in the present era of the store, or none before its first one, names all releases before.
    pub(crate) fn record_read(
        &mut self,
        result: Option<Option<(ObjectVersion, ReleaseRecord)>>,
        era: u64,
        now: Duration,
    ) {
        self.is_call_pending = false;
        let Some(read) = result else {
            return;
        };
        let (version, record) = read
            .map_or((None, ReleaseRecord::default()), |(version, record)| {
                (Some(version), record)
            });
        for (service, versions) in &mut self.seen {
            for recorded in record.services.get(service).into_iter().flatten() {
                versions.entry(Arc::clone(recorded)).or_insert(now);
            }
        }
        if record.era == era {
            self.complete_from = self.complete_from.map(|from| from.min(now));
        }
        self.next_call_at = self.next_call_at.min(now);
        self.announced.clear();
        self.record = Some(record);
        self.record_version = version;
    }

    /// Applies the result of a write; returns the releases that are recorded now, for the other routers.
    pub(crate) fn record_written(
        &mut self,
        written: ReleaseRecord,
        version: Option<ObjectVersion>,
    ) -> Vec<ReleaseKey> {
        self.is_call_pending = false;
        let Some(version) = version else {
            // Another router may have written, or this write may still be carried out.
            self.record = None;
            return Vec::new();
        };
        let keys = record_keys(&written).collect();
        self.announced.clear();
        self.record = Some(written);
        self.record_version = Some(version);
        keys
    }

    /// Records that another router has recorded `releases`.
    pub(crate) fn announce(&mut self, releases: &[ReleaseKey]) {
        self.announced = releases.iter().copied().collect();
    }
}

fn record_keys(record: &ReleaseRecord) -> impl Iterator<Item = ReleaseKey> {
    let services = record.services.iter();
    services.flat_map(|(service, versions)| {
        versions
            .iter()
            .map(move |version| release_key(service, version))
    })
}
