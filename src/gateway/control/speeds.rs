//! Exchanges what routers observe of the speeds of replicas ([`crate::gateway::load`]) and publishes the speeds.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::load::{
    ReplicaKey, ReplicaSpeed, SpeedMap, SpeedReport, replica_key, service_speeds,
};

use super::Control;

/// The interval between reports of observations, and between publications of speeds.
const SPEED_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between log lines about the speeds.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

impl Control {
    /// Returns what this router has observed.
    pub(super) fn own_speeds(&self, now: Duration) -> SpeedMap {
        let replicas = self.replica_states.iter();
        replicas
            .map(|((id, born_ms), (load, _))| (replica_key(id, *born_ms), load.speed_sums(now)))
            .collect()
    }

    /// Returns the report of this router and its followers if one is due to the other routers.
    pub(super) fn due_speed_report(&mut self, now: Duration) -> Option<SpeedReport> {
        let is_used = self.shared.settings.placement.uses_replica_speeds;
        if !is_used || now < self.next_speed_report {
            return None;
        }
        self.next_speed_report = now + SPEED_INTERVAL;
        let own = self.own_speeds(now);
        Some(SpeedReport::of(&self.peer_speeds.local_total(&own)))
    }

    /// Publishes the speeds of all replicas.
    pub(super) fn publish_speeds(&mut self, now: Duration) {
        let is_used = self.shared.settings.placement.uses_replica_speeds;
        if !is_used || now < self.next_speeds {
            return;
        }
        self.next_speeds = now + SPEED_INTERVAL;
        self.peer_speeds.expire(now);
        let total = self
            .peer_speeds
            .total_excluding(None, &self.own_speeds(now));
        let is_logged = now >= self.next_speed_log;
        if is_logged {
            self.next_speed_log = now + LOG_INTERVAL;
        }
        let snapshot = self.shared.snapshot.load();
        let before = self.shared.speeds();
        let mut published: HashMap<ReplicaKey, ReplicaSpeed> = HashMap::new();
        for (service, replicas) in &snapshot.services {
            let keys: Vec<_> = replicas.iter().map(|replica| replica.key).collect();
            let speeds = service_speeds(&keys, &total, &before);
            let mut sorted: Vec<_> = speeds.iter().map(|(_, speed)| speed.speed).collect();
            sorted.sort_by(f64::total_cmp);
            if let (Some(least), Some(most)) = (sorted.first(), sorted.last()) {
                let median = sorted[sorted.len() / 2];
                for (rank, speed) in [("min", *least), ("median", median), ("max", *most)] {
                    metrics::gauge!("crocuswharf_gateway_replica_speed", "service" => service.to_string(), "rank" => rank)
                        .set(speed);
                }
                if is_logged {
                    log::info!(
                        "health: Speeds of replicas. service={service} min={least:.2} median={median:.2} max={most:.2}"
                    );
                }
            }
            published.extend(speeds);
        }
        drop(snapshot);
        self.shared.set_speeds(published);
    }
}
