//! Exchanges the loads of replicas with other routers ([`crate::gateway::load`]).

use std::time::Duration;

use crate::gateway::clock::boot_time;
use crate::gateway::load::{LoadMap, LoadMessage, replica_key, subtract};
use crate::gateway::source::UpdateSource;

use super::Control;

/// The interval between exchanges of aggregated loads.
const LOAD_INTERVAL: Duration = Duration::from_millis(150);

impl Control {
    /// Returns the loads that this router's requests cause at replicas.
    pub(super) fn own_loads(&self) -> LoadMap {
        let now = boot_time();
        let replicas = self.replica_states.values();
        let latest_response = replicas.filter_map(|(load, _)| load.responded_at()).max();
        let replicas = self.replica_states.iter();
        let loads = replicas.map(|((id, born_ms), (load, _))| {
            let mut sample = load.sample(now);
            sample.begin_wait = load.with_waits(|waits| waits.reported_wait(now, latest_response));
            (replica_key(id, *born_ms), sample)
        });
        loads.filter(|(_, load)| !load.is_zero()).collect()
    }

    /// Applies the loads caused by all other routers, and the weights named in their responses.
    pub(super) fn apply_others_load(&mut self, others: LoadMap) {
        let mut changes = Vec::new();
        for (id, born_ms) in self.replica_states.keys() {
            let load = others.get(&replica_key(id, *born_ms));
            let Some(version) = load.map(|load| load.version).filter(|version| *version > 0) else {
                continue;
            };
            let known = self
                .fleet
                .get(id)
                .and_then(|known| known.record.weights.first());
            if let Some((model, known)) = known.cloned().filter(|(_, known)| *known < version) {
                log::debug!(
                    "fleet: Newer weights reported by another router. replica={id} before={known} version={version}"
                );
                changes.extend(self.fleet.record_weights(id, *born_ms, &model, version));
            }
        }
        self.apply_fleet_changes(changes);
        self.shared.set_others_load(others);
    }

    /// Sends this router's aggregated loads to the other aggregating routers, and applies the loads they reported.
    pub(super) fn exchange_loads(&mut self, now: Duration) {
        if self.current_source != UpdateSource::Platform || now < self.next_load_exchange {
            return;
        }
        self.next_load_exchange = now + LOAD_INTERVAL;
        self.peer_loads.expire(now);
        let own = self.own_loads();
        let mut message = LoadMessage::of(&self.peer_loads.local_total(&own));
        message.reachability = self.unreachable.local_report(now);
        message.speeds = self.due_speed_report(now);
        message.limits = self.limit_reports(now);
        self.peers.broadcast_loads(&message);
        let others = subtract(&self.peer_loads.total(&own), Some(&own));
        self.apply_others_load(others);
    }
}
