//! Keeps the verdict on this router's links to replicas ([`crate::gateway::path`]) and probes direct paths that are cut.

use std::sync::Arc;
use std::time::Duration;

use crate::gateway::upstream::ReplicaPool;

use super::Control;

/// The interval between evaluations.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of probes at a time.
pub(super) const MAX_PATH_PROBES: usize = 4;

impl Control {
    /// Updates the verdict, and begins the probes that are due.
    pub(super) fn advance_paths(&mut self, now: Duration) {
        if now < self.next_path_check {
            return;
        }
        self.next_path_check = now + EVALUATION_INTERVAL;
        if self.relays.is_newly_cut_off(self.replica_states.len()) {
            metrics::counter!("crocuswharf_gateway_cut_offs_total", "change" => "cut_off")
                .increment(1);
            log::warn!(
                "path: This router reaches no replicas, and others do. replicas={}",
                self.replica_states.len()
            );
            self.shared.forget_failures();
        }
        let is_cut_off = self.relays.is_cut_off();
        for (_, pool) in self.replica_states.values() {
            if is_cut_off {
                pool.cut_path("this router reaches no replicas");
            }
            self.probe_path_if_due(pool, now);
        }
    }

    /// Returns whether this router can open a direct connection to no replica, as control calls need one.
    pub(super) fn reaches_no_replicas(&self) -> bool {
        let mut pools = self.replica_states.values().map(|(_, pool)| pool);
        self.relays.is_cut_off()
            || (!self.replica_states.is_empty() && pools.all(|pool| pool.is_relayed()))
    }

    fn probe_path_if_due(&self, pool: &Arc<ReplicaPool>, now: Duration) {
        let Ok(permit) = Arc::clone(&self.path_probes).try_acquire_owned() else {
            return;
        };
        if !pool.take_due_path_probe(now) {
            return;
        }
        let pool = Arc::clone(pool);
        tokio::spawn(async move {
            pool.probe_path().await;
            drop(permit);
        });
    }
}
