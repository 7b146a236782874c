//! The request journal that the control thread keeps, and the reports that operators request from this router.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::{Shared, Snapshot};
use crate::configuration::Configuration;
use crate::id::{Incarnation, ReplicaId};
use crate::peer::{Body, Kind, PeerEvent};
use crate::service::Objectives;
use crate::status::{
    MemberStatus, ReplicaStatus, ReportReply, ReportRequest, RequestedReport, StoreCalls,
};
use crate::telemetry::{CompletedRequest, ExplanationCapacity, RequestRecorder};

/// The maximum number of prompt prefixes and of requests listed in a status report.
const STATUS_ENTRIES: usize = 16;

/// The journal of this router and the time when it was started.
#[derive(Debug)]
pub(crate) struct Reports {
    journal: RequestRecorder,
    started: Instant,
}

impl Reports {
    /// Creates an empty journal.
    pub(crate) fn new(shared: &Shared) -> Self {
        let router = Arc::clone(&shared.settings.router);
        Self {
            journal: RequestRecorder::new(router, ExplanationCapacity::default(), Duration::ZERO),
            started: Instant::now(),
        }
    }

    /// Records a finished request. A request to a service that has been removed is dropped, because its objectives are
    /// no longer known.
    pub(crate) fn record(&mut self, entry: CompletedRequest, configuration: &Configuration) {
        let service = configuration.services.get(&entry.observation.service);
        if let Some(service) = service {
            let now = self.started.elapsed();
            self.journal.record(entry, &service.objectives, now);
        }
    }

    /// Records a restart or a change of availability of a replica, by comparing its incarnation and availability before
    /// and after a load poll.
    pub(crate) fn record_replica_change(
        &mut self,
        replica: &ReplicaId,
        before: Option<(Incarnation, bool)>,
        after: Option<(Incarnation, bool)>,
    ) {
        let Some(((old, was_available), (new, is_available))) = before.zip(after) else {
            return;
        };
        let is_first_report = old == 0;
        if !is_first_report && old != new {
            self.record_restart(replica, old, new);
        }
        if !is_first_report && was_available != is_available {
            self.record_availability(replica, is_available);
        }
    }

    fn record_restart(&mut self, replica: &ReplicaId, before: Incarnation, after: Incarnation) {
        let action = format!("Forgot what was warm at replica {replica}.");
        let evidence = format!("its incarnation went from {before} to {after}");
        self.journal
            .record_repair("control", &action, &evidence, unix_now());
    }

    fn record_availability(&mut self, replica: &ReplicaId, is_available: bool) {
        let (action, evidence) = if is_available {
            ("Sends new work again to", "its load report came")
        } else {
            (
                "Sends no new work to",
                "it gave no load report, or said that it leaves",
            )
        };
        let action = format!("{action} replica {replica}.");
        self.journal
            .record_repair("control", &action, evidence, unix_now());
    }

    /// Removes the burn rates of services that are no longer configured.
    pub(crate) fn retain_services(&mut self, configuration: &Configuration) {
        self.journal
            .retain_services(|name| configuration.services.contains_key(name));
    }

    /// Updates the gauges before a metrics scrape.
    pub(crate) fn update_gauges(&self, configuration: &Configuration) {
        let objectives = |name: &str| -> Option<Objectives> {
            let service = configuration.services.get(name)?;
            Some(service.objectives.clone())
        };
        self.journal
            .update_gauges(objectives, self.started.elapsed());
    }

    /// Answers a report request that a peer sends on behalf of an operator.
    pub(crate) fn answer_peer(&self, event: PeerEvent, shared: &Shared) {
        let Some(reply) = event.reply else {
            return;
        };
        let request = event
            .body
            .decode::<ReportRequest>()
            .and_then(|request| request.report());
        let answer = match request {
            Ok(request) => self.answer(request, shared),
            Err(error) => ReportReply::failed(&error),
        };
        reply.send(Body::encode(Kind::Status, &answer));
    }

    /// Returns the requested report for this router.
    pub(crate) fn answer(&self, request: RequestedReport, shared: &Shared) -> ReportReply {
        match request {
            RequestedReport::Burn(window) => {
                ReportReply::burn(self.journal.stats(window, self.started.elapsed()))
            }
            RequestedReport::Explain(id) => {
                ReportReply::explanation(self.journal.explain(id).as_deref())
            }
            RequestedReport::Status => ReportReply::status(&self.status(shared)),
        }
    }

    fn status(&self, shared: &Shared) -> MemberStatus {
        let snapshot = shared.snapshot.load();
        let calls = shared.store.counts();
        MemberStatus {
            router: Arc::clone(&shared.settings.router),
            zone: Arc::clone(&shared.settings.zone),
            uptime_s: self.started.elapsed().as_secs(),
            revision: snapshot.configuration.revision,
            draining: shared.draining.load(Ordering::Relaxed),
            open_requests: shared.open_requests() as u64,
            members_alive: u32::try_from(snapshot.members.len()).unwrap_or(u32::MAX),
            store: StoreCalls {
                reads: calls.reads,
                writes: calls.writes,
                watches: calls.watches,
                refused: calls.refused,
            },
            replicas: replicas(&snapshot),
            openings: self.journal.hottest(STATUS_ENTRIES),
            repairs: self.journal.repairs(),
            notable_requests: self.journal.notable(STATUS_ENTRIES),
        }
    }
}

fn replicas(snapshot: &Snapshot) -> Vec<ReplicaStatus> {
    let mut replicas = Vec::new();
    for (name, pool) in &snapshot.pools {
        for view in &pool.replicas {
            let load = view.load.as_ref();
            replicas.push(ReplicaStatus {
                pool: Arc::clone(name),
                replica: Arc::clone(&view.replica.id),
                zone: Arc::clone(&view.replica.zone),
                available: view.available,
                incarnation: view.incarnation,
                weights_version: view.weights_version,
                in_flight: view.in_flight.load(Ordering::Relaxed),
                queued_prefill_tokens: load.map(|load| load.queued_prefill_tokens),
            });
        }
    }
    replicas.sort_by(|a, b| (&a.pool, &a.replica).cmp(&(&b.pool, &b.replica)));
    replicas
}

fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
