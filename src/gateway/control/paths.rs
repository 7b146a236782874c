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
            if pool.is_relayed() {
                self.probe_path(pool, || pool.take_due_path_probe(now));
            }
        }
        if self.relays.needs_probe(self.replica_states.len()) {
            let mut pools = self.replica_states.values().map(|(_, pool)| pool);
            if let Some(pool) = pools.find(|pool| !self.relays.has_failed(pool.key())) {
                self.probe_path(pool, || true);
            }
        }
    }

    /// Returns whether this router can open a direct connection to no replica, as control calls need one.
    pub(super) fn reaches_no_replicas(&self) -> bool {
        let mut pools = self.replica_states.values().map(|(_, pool)| pool);
        let mut links = self.links.values();
        self.relays.is_cut_off()
            || (!self.links.is_empty() && links.all(|links| links.are_silent()))
            || (!self.replica_states.is_empty() && pools.all(|pool| pool.is_relayed()))
    }

    /// Probes the direct path to a replica if it is due and not too many probes run.
    fn probe_path(&self, pool: &Arc<ReplicaPool>, is_due: impl FnOnce() -> bool) {
        let Ok(permit) = Arc::clone(&self.path_probes).try_acquire_owned() else {
            return;
        };
        if !is_due() {
            return;
        }
        let pool = Arc::clone(pool);
        tokio::spawn(async move {
            pool.probe_path().await;
            drop(permit);
        });
    }
}
