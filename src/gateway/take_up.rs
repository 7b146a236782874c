//! Keeps a stream at the release that began it, whether this router resumes it or its caller takes it up again.

use std::time::Duration;

use http::StatusCode;
use tokio::sync::oneshot;

use super::call::{Call, RETRY_AFTER_BUSY};
use super::clock::boot_time;
use super::control::Event;
use super::dispatch::Dispatch;
use super::response::LocalReply;
use super::shared::{Replica, Shared, Snapshot};
use super::stream_origin::{Origin, ReleaseKey, StreamKey};
use crate::id::ServiceName;

/// How much longer a lookup may take than the replies of other routers.
const LOOKUP_SLACK: Duration = Duration::from_millis(50);
/// How long other routers may take to reply to a lookup.
pub(crate) const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Why a stream that is taken up does not go on: its caller has to begin it anew.
const ORIGIN_UNKNOWN: &str =
    "it is not known which software version began the stream, it has to be begun anew";
/// The same, since no replica can go on with it.
pub(crate) const RELEASE_GONE: &str =
    "no replica has the software version that began the stream, it has to be begun anew";

/// A lookup of the release that began a stream.
#[derive(Debug)]
pub(crate) struct StreamLookup {
    /// The stream, if the caller names one.
    pub(crate) stream: Option<StreamKey>,
    /// The services that may have begun it.
    pub(crate) services: Vec<ServiceName>,
    /// Gets the result.
    pub(crate) result: oneshot::Sender<Origin>,
}

/// Returns the refusal of a stream that can't go on, which has not run and names no time to return.
const fn begin_anew(reason: &'static str) -> LocalReply {
    LocalReply {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason,
        retry_after: None,
    }
}

impl Call {
    /// Finds the release that began the stream which the caller takes up again, if it does, and selects its service.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the release is not known or serves no more.
    pub(crate) async fn resolve_take_up(&mut self, shared: &Shared) -> Result<(), LocalReply> {
        if self.take_up.is_none() {
            return Ok(());
        }
        let release = match self.find_origin(shared).await {
            Origin::Known(release) | Origin::Sole(release) => release,
            Origin::Unknown => return Err(begin_anew(ORIGIN_UNKNOWN)),
            Origin::Unconfirmed => {
                let reason = "it is not known yet which software version began the stream";
                return Err(LocalReply::not_run(reason, RETRY_AFTER_BUSY));
            }
        };
        let snapshot = shared.snapshot.load();
        if !serves(&snapshot, &self.service, release) {
            // A target without a weight gets no requests.
            let targets = self.route.targets.iter().filter(|target| target.weight > 0);
            let mut services = targets.map(|target| &target.service);
            let service = services.find(|service| serves(&snapshot, service, release));
            self.service = service.ok_or(begin_anew(RELEASE_GONE))?.clone();
        }
        self.release = Some(release);
        if let Some(stream) = self.stream {
            shared.record_stream(stream, release, &self.service);
        }
        Ok(())
    }

    async fn find_origin(&self, shared: &Shared) -> Origin {
        let known = self.stream.and_then(|stream| shared.find_stream(stream));
        let origin = match known {
            Some(release) => Origin::Known(release),
            None => {
                let targets = self.route.targets.iter();
                let services = targets.map(|target| target.service.clone()).collect();
                let limit = (LOOKUP_TIMEOUT + LOOKUP_SLACK).min(self.remaining());
                shared.look_up_stream(self.stream, services, limit).await
            }
        };
        let outcome = match origin {
            Origin::Known(_) => "known",
            Origin::Sole(_) => "sole",
            Origin::Unknown => "unknown",
            Origin::Unconfirmed => "unconfirmed",
        };
        metrics::counter!("crocuswharf_gateway_take_ups_total", "origin" => outcome).increment(1);
        origin
    }
}

/// Returns whether a replica of `service` is of `release`.
fn serves(snapshot: &Snapshot, service: &ServiceName, release: ReleaseKey) -> bool {
    let replicas = snapshot.services.get(service).into_iter().flatten();
    replicas
        .into_iter()
        .any(|replica| replica.release == release)
}

impl Dispatch {
    /// Records that bytes of a stream from `replica` are passed on. From the first ones on, it goes on only at their
    /// release.
    pub(crate) fn pass_on_from(&mut self, replica: &Replica) {
        if self.release.is_some() || !self.call.can_be_taken_up() {
            return;
        }
        self.release = Some(replica.release);
        if let Some(stream) = self.call.stream {
            let service = &replica.known.record.service;
            self.shared.record_stream(stream, replica.release, service);
        }
    }
}

impl Shared {
    /// Records that events of `release` are passed on to the caller of `stream`; other routers are told while the service
    /// has several releases.
    fn record_stream(&self, stream: StreamKey, release: ReleaseKey, service: &ServiceName) {
        let is_recorded = self
            .lock_streams()
            .record(stream, release, true, boot_time());
        let is_told = !self.releases().mixed.contains(service)
            || self.send_to_control(Event::StreamBegun(stream, release));
        if !is_recorded || !is_told {
            metrics::counter!("crocuswharf_gateway_observations_dropped_total").increment(1);
        }
    }

    fn find_stream(&self, stream: StreamKey) -> Option<ReleaseKey> {
        self.lock_streams().find(stream, boot_time())
    }

    async fn look_up_stream(
        &self,
        stream: Option<StreamKey>,
        services: Vec<ServiceName>,
        limit: Duration,
    ) -> Origin {
        let (result, origin) = oneshot::channel();
        let lookup = StreamLookup {
            stream,
            services,
            result,
        };
        if !self.send_to_control(Event::StreamLookup(lookup)) {
            return Origin::Unconfirmed;
        }
        match tokio::time::timeout(limit, origin).await {
            Ok(Ok(origin)) => origin,
            _ => Origin::Unconfirmed,
        }
    }
}
