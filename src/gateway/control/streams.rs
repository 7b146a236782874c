//! Exchanges with other routers which releases began streams, and keeps the record of releases in the platform's store
//! ([`crate::gateway::stream_origin`], [`crate::gateway::releases`]).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::gateway::clock::boot_time;
use crate::gateway::releases::{RecordCall, ReleaseRecord};
use crate::gateway::route::{CallKind, RouteTable};
use crate::gateway::store::StoreFault;
use crate::gateway::stream_origin::{
    OriginSearch, ReleaseKey, StreamKey, StreamMessage, StreamReply,
};
use crate::gateway::take_up::{LOOKUP_TIMEOUT, StreamLookup};
use crate::peer::{Body, Kind, ReplyHandle};
use crate::store::{ObjectVersion, PutCondition, PutOutcome};

use super::contain::result_or;
use super::{Control, Event, enqueue};

/// How many more routers are asked for a stream than know it, since some may have gone and others come.
const ASKED_BEYOND_HOLDERS: usize = 2;
/// A stream that may be resumed may last for this many times its route's timeout, with all attempts of its caller.
const TIMEOUTS_OF_RESUMABLE: u32 = 2;
/// The maximum number of streams in one message.
const MAX_STREAMS_IN_MESSAGE: usize = 4_096;

/// Returns to how many of `others` a stream is told.
///
/// As many as half of the streams are known after the loss of all but one router of a small fleet, of 87 % of a larger one and of
/// 79 % of the largest, where each message counts.
pub(crate) const fn holders(others: usize) -> usize {
    match others {
        0..=15 => 8,
        16..=127 => 5,
        _ => 3,
    }
}

impl Control {
    /// Applies the routes of a new configuration.
    pub(super) fn set_release_services(&mut self, table: &RouteTable) {
        let routes = table.configuration().routes.iter();
        let streams = routes.filter(|route| route.kind.is_stream());
        let (mut services, mut stream_life) = (Vec::new(), Duration::ZERO);
        for route in streams {
            let timeouts = match route.kind {
                CallKind::Stream { is_resumable: true } => TIMEOUTS_OF_RESUMABLE,
                _ => 1,
            };
            stream_life = stream_life.max(route.timeout * timeouts);
            services.extend(
                route
                    .targets
                    .iter()
                    .map(|target| Arc::clone(&target.service)),
            );
        }
        services.sort_unstable();
        services.dedup();
        self.releases.set_services(&services, stream_life);
        self.update_releases(boot_time());
    }

    /// Updates the releases that serve, and tells other routers the streams of services that have several of them now.
    pub(super) fn update_releases(&mut self, now: Duration) {
        if !self.releases.is_active() || !self.fleet.has_list() {
            return;
        }
        let replicas = self.fleet.replicas().map(|known| &known.record);
        let replicas = replicas.map(|record| (&record.service, &record.software_version));
        self.releases.observe(replicas, now);
        let view = self.releases.view(now);
        let before = self.shared.releases();
        if *before == view {
            return;
        }
        let mixed: Vec<_> = view.mixed.difference(&before.mixed).cloned().collect();
        for service in before.mixed.symmetric_difference(&view.mixed) {
            log::info!(
                "releases: Releases of a service changed. service={service} is_mixed={} releases={}",
                view.mixed.contains(service),
                self.releases.keys_of(service).len()
            );
        }
        // Traffic tells the streams that begin from here on.
        self.shared.set_releases(view);
        for service in mixed {
            let releases = self.releases.keys_of(&service);
            let streams = self.shared.lock_streams().own_streams(&releases);
            self.tell_streams(&streams);
        }
    }

    /// Forgets streams that can't be taken up any more.
    pub(super) fn expire_streams(&self, now: Duration) {
        let stream_life = self.releases.stream_life();
        let mut streams = self.shared.lock_streams();
        streams.expire(stream_life, now);
        metrics::gauge!("crocuswharf_gateway_known_streams").set(streams.len() as f64);
    }

    /// Updates the releases that serve, and their record in the platform's store.
    pub(super) fn advance_releases(&mut self, now: Duration) {
        self.update_releases(now);
        let era = (self.store.era)();
        let rank = self.lease_rank().filter(|_| !self.shared.is_leaving());
        let Some(call) = self.releases.next_call(era, rank, now) else {
            return;
        };
        let (store, events) = (Arc::clone(&self.store), self.events.clone());
        tokio::spawn(async move {
            let event = match call {
                RecordCall::Read => {
                    let read = async {
                        let read = (store.read_releases)(()).await;
                        let log = |fault: &StoreFault| {
                            log::info!("releases: Failed to read the record. fault=\"{fault}\"");
                        };
                        read.inspect_err(log).ok()
                    };
                    Event::ReleasesRead(result_or("releases", read, None).await)
                }
                RecordCall::Write(record, version) => {
                    let condition = version.map_or(PutCondition::Absent, PutCondition::Version);
                    let write = async { (store.write_releases)(record.clone(), condition).await };
                    let outcome = result_or("releases", write, PutOutcome::Unknown).await;
                    let version = match outcome {
                        PutOutcome::Stored(version) => Some(version),
                        _ => None,
                    };
                    Event::ReleasesWritten(record, version)
                }
            };
            enqueue(&events, event);
        });
    }

    /// Applies the result of a read of the record.
    pub(super) fn handle_releases_read(
        &mut self,
        result: Option<Option<(ObjectVersion, ReleaseRecord)>>,
        now: Duration,
    ) {
        log::debug!("releases: The record was read. result={result:?}");
        self.releases.record_read(result, (self.store.era)(), now);
        self.update_releases(now);
    }

    /// Applies the result of a write of the record, and announces it to the other routers.
    pub(super) fn handle_releases_written(
        &mut self,
        record: ReleaseRecord,
        version: Option<ObjectVersion>,
    ) {
        log::info!(
            "releases: The record was written. is_stored={} releases={:?}",
            version.is_some(),
            record.services
        );
        let recorded = self.releases.record_written(record, version);
        if !recorded.is_empty() {
            self.peers.broadcast_streams(&StreamMessage {
                recorded,
                ..StreamMessage::default()
            });
        }
        self.update_releases(boot_time());
    }

    /// Tells the routers to which their hashes lead which releases began these streams.
    pub(super) fn tell_streams(&self, streams: &[(StreamKey, ReleaseKey)]) {
        let mut messages: HashMap<SocketAddr, StreamMessage> = HashMap::new();
        let count = holders(self.peers.alive().count().saturating_sub(1));
        for (stream, release) in streams {
            for holder in self.peers.stream_holders(*stream, count) {
                let message = messages.entry(holder).or_default();
                if message.streams.len() < MAX_STREAMS_IN_MESSAGE {
                    message.streams.push(*stream);
                    message.releases.push(*release);
                }
            }
        }
        for (holder, message) in &messages {
            self.peers.send_streams(*holder, message);
        }
    }

    /// Looks up the release that began a stream at the other routers that may know it.
    pub(super) fn look_up_stream(&self, lookup: StreamLookup) {
        let StreamLookup {
            stream,
            services,
            result,
        } = lookup;
        let own = self.releases.reply(services.iter(), boot_time());
        let count = holders(self.peers.alive().count().saturating_sub(1));
        let asked = self
            .peers
            .stream_holders(stream.unwrap_or_default(), count + ASKED_BEYOND_HOLDERS);
        let is_alone = asked.is_empty() && self.shared.quota.fleet() <= 1;
        let message = StreamMessage {
            wanted: stream,
            services: services.iter().map(ToString::to_string).collect(),
            ..StreamMessage::default()
        };
        let requests = asked.into_iter();
        let mut replies: FuturesUnordered<_> = requests
            .map(|holder| self.peers.request_stream(holder, &message, LOOKUP_TIMEOUT))
            .collect();
        let mut search = OriginSearch::new(own, is_alone);
        tokio::spawn(async move {
            let mut found = None;
            while found.is_none()
                && let Some(reply) = replies.next().await
            {
                found = reply.and_then(|reply| search.add(reply));
            }
            // The caller may have left.
            let _ = result.send(found.unwrap_or_else(|| search.end()));
        });
    }

    /// Handles a message of another router about streams.
    pub(super) fn handle_streams(&mut self, message: &StreamMessage, reply: Option<ReplyHandle>) {
        let now = boot_time();
        let mut streams = self.shared.lock_streams();
        for (stream, release) in message.streams.iter().zip(&message.releases) {
            if !streams.record(*stream, *release, false, now) {
                metrics::counter!("crocuswharf_gateway_observations_dropped_total").increment(1);
            }
        }
        let release = message.wanted.and_then(|wanted| streams.find(wanted, now));
        drop(streams);
        if !message.recorded.is_empty() {
            self.releases.announce(&message.recorded);
            self.update_releases(now);
        }
        if let Some(reply) = reply {
            let known = self.releases.reply(message.services.iter(), now);
            let answer = StreamReply { release, ..known };
            reply.send(Body::encode(Kind::Streams, &answer));
        }
    }
}
