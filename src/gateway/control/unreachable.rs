//! Maintains the shared view of unreachable replicas ([`crate::gateway::load`]) and probes replicas for it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::gateway::clock::boot_time;
use crate::gateway::load::{ConnectionSample, ReplicaKey, replica_key};
use crate::gateway::upstream::ReplicaPool;
use crate::id::{ReplicaId, RouterId};

use super::Control;

/// The interval between evaluations; much shorter than the timeout of a connection.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);

impl Control {
    /// Updates the view of unreachable replicas, publishes it, and probes the replicas that are due at this router.
    pub(super) fn advance_reachability(&mut self, now: Duration) {
        if now < self.next_reachability_check {
            return;
        }
        self.next_reachability_check = now + EVALUATION_INTERVAL;
        let samples = self
            .replica_states
            .iter()
            .map(|((id, born_ms), (load, pool))| {
                let sample = ConnectionSample {
                    failed_at: pool.failed_at(),
                    responded_at: load.responded_at().max(pool.connected_at()),
                };
                (replica_key(id, *born_ms), sample)
            });
        self.unreachable.observe(samples, now);
        let changes = self.unreachable.evaluate(now);
        if !changes.is_empty() {
            self.unreachable_generation += 1;
        }
        let replicas = self.replicas_by_key(&changes.added, &changes.removed);
        let name = |key| replicas.get(key).map_or("-", |(id, _)| &***id);
        for key in &changes.added {
            log::warn!("health: Replica unreachable. replica={}", name(key));
        }
        for key in &changes.removed {
            log::info!(
                "health: Replica no longer unreachable. replica={}",
                name(key)
            );
        }
        let snapshot = self.shared.snapshot.load();
        let services = snapshot.services.values();
        let excluded = self.unreachable.excluded(services.map(|replicas| {
            let accepting = replicas
                .iter()
                .filter(|replica| replica.known.is_accepting());
            accepting.map(|replica| replica.key).collect()
        }));
        metrics::gauge!("crocuswharf_gateway_unreachable_replicas").set(excluded.len() as f64);
        self.shared.set_unreachable(excluded);
        if !self.reaches_no_replicas() {
            self.probe_unreachable(now);
        }
    }

    fn probe_unreachable(&mut self, now: Duration) {
        let staying = self.peers.alive().filter(|member| !member.leaving);
        let routers: Vec<&RouterId> = staying.map(|member| &member.router).collect();
        let due = self.unreachable.due_probes(&routers, now);
        for (id, pool) in self.replicas_by_key(&due, &[]).into_values() {
            let (id, pool) = (Arc::clone(id), Arc::clone(pool));
            tokio::spawn(async move {
                let started_at = boot_time();
                let is_reachable = pool.probe().await;
                let outcome = if is_reachable { "connected" } else { "failed" };
                metrics::counter!("crocuswharf_gateway_replica_probes_total", "outcome" => outcome)
                    .increment(1);
                log::info!(
                    "health: Replica probed. replica={id} outcome={outcome} time_ms={}",
                    boot_time().saturating_sub(started_at).as_millis()
                );
            });
        }
    }

    /// Returns the ids and the connections of the replicas with these keys.
    fn replicas_by_key(
        &self,
        keys: &[ReplicaKey],
        more_keys: &[ReplicaKey],
    ) -> HashMap<ReplicaKey, (&ReplicaId, &Arc<ReplicaPool>)> {
        if keys.is_empty() && more_keys.is_empty() {
            return HashMap::new();
        }
        let replicas = self.replica_states.iter();
        replicas
            .map(|((id, born_ms), (_, pool))| (replica_key(id, *born_ms), (id, pool)))
            .filter(|(key, _)| keys.contains(key) || more_keys.contains(key))
            .collect()
    }
}
