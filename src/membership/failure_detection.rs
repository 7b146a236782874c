//! Failure detection: direct and indirect probes, suspicion and removal.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::id::RouterId;
use crate::membership::member::{Liveness, Member};
use crate::membership::message::{Heartbeat, MemberRecord, Stage, decode_address, encode_address};
use crate::membership::probe::Probe;
use crate::membership::state::{Action, Membership};
use crate::membership::sync;

/// The number of routers that are asked to probe a router indirectly after it did not answer.
const INDIRECT_PROBES: usize = 3;
/// The binary logarithm of the fleet size above which the suspicion timeout grows.
const SUSPICION_BASE_LOG2: f64 = 4.0;

impl Membership {
    pub(super) fn handle_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap < self.options.pause_threshold {
            return;
        }
        // Acknowledgements may have arrived during the pause without being read, so a missing one proves nothing.
        self.probes.clear();
        for known in self.others.values_mut() {
            if known.member.liveness == Liveness::Suspected {
                known.changed_at += gap;
            }
        }
        if gap >= self.options.removed_ttl / 2 {
            // Other routers may no longer remember removals that happened during the pause.
            self.others.clear();
            self.ring_is_stale = true;
            self.mark_changed();
        }
    }

    pub(super) fn probe_next_finger(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for _ in 0..self.fingers.len() {
            self.next_finger = (self.next_finger + 1) % self.fingers.len();
            let router = self.fingers[self.next_finger].clone();
            if self.probes.is_probing(&router) {
                continue;
            }
            let Some(known) = self.others.get(&router) else {
                continue;
            };
            let to = known.member.peers;
            actions.push(self.probe(Some(router), to, now));
            return;
        }
    }

    pub(super) fn try_reconnect(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let member_addresses: BTreeSet<SocketAddr> = self
            .members()
            .flat_map(|member| [member.peers, member.callers])
            .collect();
        let known_addresses = self
            .others
            .values()
            .map(|known| known.member.peers)
            .chain(self.seeds.iter().copied())
            .chain(self.vm_addresses.iter().copied());
        let candidates: BTreeSet<SocketAddr> = known_addresses
            .filter(|to| !member_addresses.contains(to))
            .collect();
        let candidates: Vec<SocketAddr> = candidates.into_iter().collect();
        if let Some(to) = candidates.choose(rng) {
            actions.push(self.probe(None, *to, now));
        }
    }

    pub(super) fn probe(
        &mut self,
        router: Option<RouterId>,
        to: SocketAddr,
        now: Duration,
    ) -> Action {
        let sequence = self.probes.start(Probe {
            router: router.clone(),
            to,
            deadline: now + self.options.probe_timeout,
            indirect: false,
        });
        let mut heartbeat = self.new_heartbeat(Stage::Probe, router.as_ref());
        heartbeat.sequence = sequence;
        Action::Send { to, heartbeat }
    }

    /// Requests indirect probes of a router that did not answer, or suspects the router if those timed out as well.
    pub(super) fn handle_probe_timeout(
        &mut self,
        sequence: u64,
        probe: Probe,
        now: Duration,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let Some(router) = probe.router.clone() else {
            return;
        };
        if probe.indirect {
            self.suspect(&router, now, actions);
            return;
        }
        let mut candidates: Vec<Member> = self
            .others
            .values()
            .filter(|known| known.member.liveness == Liveness::Alive)
            .filter(|known| known.member.router != router)
            .map(|known| known.member.clone())
            .collect();
        // `partial_shuffle` moves the selected elements to the end of the slice and returns them first.
        let (helpers, _) = candidates.partial_shuffle(rng, INDIRECT_PROBES);
        for helper in helpers.iter() {
            let mut heartbeat = self.new_heartbeat(Stage::ProbeFor, Some(&helper.router));
            heartbeat.sequence = sequence;
            heartbeat.target = encode_address(probe.to);
            actions.push(Action::Send {
                to: helper.peers,
                heartbeat,
            });
        }
        let indirect_probe = Probe {
            indirect: true,
            deadline: now + self.options.indirect_timeout,
            ..probe
        };
        self.probes.reinsert(sequence, indirect_probe);
    }

    pub(super) fn suspect(&mut self, router: &RouterId, now: Duration, actions: &mut Vec<Action>) {
        let Some(known) = self.others.get_mut(router) else {
            return;
        };
        if known.member.liveness != Liveness::Alive {
            return;
        }
        known.member.liveness = Liveness::Suspected;
        known.changed_at = now;
        let member = known.member.clone();
        self.gossip_queue.add(router.clone());
        self.mark_changed();
        // Notifies the suspected router immediately, so that it can refute.
        actions.push(self.send(&member, Stage::Records));
    }

    pub(super) fn expire_members(&mut self, now: Duration) {
        let timeout = self.suspicion_timeout();
        let mut changed = false;
        for (router, known) in &mut self.others {
            let age = now.saturating_sub(known.changed_at);
            if known.member.liveness == Liveness::Suspected && age >= timeout {
                known.member.liveness = Liveness::Removed;
                known.changed_at = now;
                self.gossip_queue.add(router.clone());
                changed = true;
            }
        }
        let removed_ttl = self.options.removed_ttl;
        self.others.retain(|_, known| {
            known.member.is_present() || now.saturating_sub(known.changed_at) < removed_ttl
        });
        if changed {
            self.ring_is_stale = true;
            self.mark_changed();
        }
    }

    pub(super) fn suspicion_timeout(&self) -> Duration {
        let size_log2 = (self.ring.len().max(1) as f64).log2();
        self.options
            .suspicion_timeout
            .mul_f64((size_log2 / SUSPICION_BASE_LOG2).max(1.0))
    }

    pub(super) fn acknowledge(
        &mut self,
        probe: &Heartbeat,
        sender: &Member,
        now: Duration,
    ) -> Action {
        let mut heartbeat = self.new_heartbeat(Stage::Acknowledge, Some(&sender.router));
        heartbeat.sequence = probe.sequence;
        if heartbeat.digest != probe.digest && self.next_sync <= now {
            self.next_sync = now + self.options.sync_interval;
            heartbeat.bucket_digests = sync::bucket_digests(self.members());
        }
        Action::Reply { heartbeat }
    }

    pub(super) fn handle_acknowledgement(
        &mut self,
        heartbeat: &Heartbeat,
        sender: &Member,
        actions: &mut Vec<Action>,
    ) {
        if let Some(relay) = self.probes.finish_relay(heartbeat.sequence) {
            let mut report = self.new_heartbeat(Stage::AcknowledgeFor, None);
            report.sequence = relay.sequence;
            report.updates.push(MemberRecord::full(sender));
            actions.push(Action::Send {
                to: relay.requester,
                heartbeat: report,
            });
            return;
        }
        self.probes.acknowledge(heartbeat.sequence, &sender.router);
    }

    pub(super) fn handle_relayed_acknowledgement(&mut self, heartbeat: &Heartbeat) {
        for update in &heartbeat.updates {
            self.probes.acknowledge(heartbeat.sequence, &update.router);
        }
    }

    pub(super) fn relay_probe(
        &mut self,
        request: &Heartbeat,
        requester: &Member,
        now: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(to) = decode_address(&request.target) else {
            return;
        };
        let deadline = now + self.options.indirect_timeout;
        let started = self
            .probes
            .start_relay(requester.peers, request.sequence, deadline);
        if let Some(sequence) = started {
            let mut heartbeat = self.new_heartbeat(Stage::Probe, None);
            heartbeat.sequence = sequence;
            actions.push(Action::Send { to, heartbeat });
        }
    }
}
