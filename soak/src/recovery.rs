//! The final phase of a run: after the last fault has ended, the cluster must recover completely.

use std::time::{Duration, Instant};

use crocuswharf_platform_fakes::daemon::{GRACE, WEIGHTS_LIMIT};
use rustix::process::Signal;

use crate::callers::lock;
use crate::checker::{Served, finding, lost_requests};
use crate::cluster::{Cluster, RECOVERY};
use crate::plan::{Fault, late_faults_end};

/// The time after the last fault from which routers and store count as stable, by the users' larger sheet.
const STABILIZATION: Duration = Duration::from_secs(4);
/// The duration of the final phase: a rollout is given one and a half times the time limit for new weights.
const FINAL_PHASE: Duration = Duration::from_secs(9);
/// The minimum share of requests that must be served in the final phase, which has no faults.
const MIN_SERVED_SHARE: f64 = 0.95;

impl Cluster {
    /// Checks that the cluster recovers after the last fault has ended.
    pub(crate) async fn check_recovery(&mut self, late_faults: &[(Duration, Fault)]) {
        let faults_ended_at = Instant::now();
        for router in 0..self.routers.len() {
            let daemon = self.routers[router]
                .daemon
                .as_ref()
                .expect("every router was restarted");
            while !daemon.is_ready().await && faults_ended_at.elapsed() < RECOVERY {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
            if !daemon.is_ready().await {
                self.findings.push(finding(
                    "routers are ready again in time",
                    format!("router {router} is not ready {RECOVERY:?} after the last fault"),
                ));
            }
        }
        self.wait_until(faults_ended_at + STABILIZATION).await;
        self.play_late_faults(late_faults).await;
        let phase_start = Instant::now();
        self.publish_weights();
        self.records.published_weights = Some((self.weights_version, phase_start));
        // A replica that the crashing request restarts would register as ready again.
        if !self.has_crashing_request {
            let drained = &self.replicas[0].0;
            drained.register("draining");
            self.records.draining_replica = Some((drained.id, phase_start));
        }
        self.wait_until(phase_start + WEIGHTS_LIMIT).await;
        self.check_termination().await;
        self.wait_until(phase_start + FINAL_PHASE).await;
        self.check_final_phase(phase_start);
    }

    async fn play_late_faults(&mut self, faults: &[(Duration, Fault)]) {
        let started_at = Instant::now();
        for (after, fault) in faults {
            self.wait_until(started_at + *after).await;
            self.apply(fault).await;
        }
        self.wait_until(started_at + late_faults_end(faults)).await;
    }

    /// Shuts the first router down while there are no faults, and checks that no request is lost.
    async fn check_termination(&mut self) {
        let signal_at = Instant::now();
        self.signal(0, Signal::TERM);
        self.routers[0].is_terminating = true;
        self.wait_until(signal_at + GRACE).await;
        self.check_exit(0, signal_at + GRACE).await;
        self.records.sent = lock(&self.callers.sent).clone();
        self.records.received = self.received();
        let lost = lost_requests(&self.records, 0, signal_at);
        if !lost.is_empty() {
            self.findings.push(finding(
                "a router that leaves ends what it has begun",
                format!("{lost:?} were passed on and lost"),
            ));
        }
    }

    fn check_final_phase(&mut self, from: Instant) {
        let first_valid_key = *lock(&self.callers.first_valid_key);
        let share = Served::since(&lock(&self.callers.sent), from, first_valid_key);
        if (share.served as f64) < share.owed as f64 * MIN_SERVED_SHARE {
            self.findings.push(finding(
                "requests are served again in the calm",
                format!("{share:?}"),
            ));
        }
        let outdated = self.replicas.iter().map(|(replica, _)| replica);
        let outdated = outdated.filter(|replica| replica.id.starts_with("llm"));
        let outdated: Vec<_> = outdated
            .filter(|replica| replica.version() != self.weights_version)
            .map(|replica| (replica.id, replica.version()))
            .collect();
        if !outdated.is_empty() {
            self.findings.push(finding(
                "named weights reach all replicas",
                format!(
                    "{outdated:?} {FINAL_PHASE:?} after {} was named",
                    self.weights_version
                ),
            ));
        }
    }
}
