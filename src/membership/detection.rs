//! Detection of routers that are gone: probes, help of others, suspicion and removal.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::id::RouterId;
use crate::membership::member::{Liveness, Member};
use crate::membership::message::{Heartbeat, MemberRecord, Stage, decode_address, encode_address};
use crate::membership::probe::Probe;
use crate::membership::state::{Membership, Outcome};
use crate::membership::sync;

/// How many others are asked to probe a router that did not answer.
const HELPERS: usize = 3;
/// The fleet size at which the time for refutation begins to grow, as a power of two.
const SUSPICION_BASE_LOG2: f64 = 4.0;

impl Membership {
    pub(super) fn absorb_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if gap < self.options.pause {
            return;
        }
        // Answers may wait unread, so that nothing can be concluded from their absence.
        self.probes.clear();
        for known in self.others.values_mut() {
            if known.member.liveness == Liveness::Suspected {
                known.since += gap;
            }
        }
        if gap >= self.options.removed_life / 2 {
            // Others may have forgotten the removals that happened meanwhile.
            self.others.clear();
            self.ring_is_stale = true;
            self.changed();
        }
    }

    pub(super) fn probe_next_finger(&mut self, now: Duration, outcomes: &mut Vec<Outcome>) {
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
            outcomes.push(self.probe(Some(router), to, now));
            return;
        }
    }

    pub(super) fn try_contact(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        outcomes: &mut Vec<Outcome>,
    ) {
        let present: BTreeSet<SocketAddr> = self
            .members()
            .flat_map(|member| [member.peers, member.callers])
            .collect();
        let removed = self
            .others
            .values()
            .map(|known| known.member.peers)
            .chain(self.seeds.iter().copied())
            .chain(self.contacts.iter().copied());
        let lost: BTreeSet<SocketAddr> = removed.filter(|to| !present.contains(to)).collect();
        let lost: Vec<SocketAddr> = lost.into_iter().collect();
        if let Some(to) = lost.choose(rng) {
            outcomes.push(self.probe(None, *to, now));
        }
    }

    pub(super) fn probe(
        &mut self,
        router: Option<RouterId>,
        to: SocketAddr,
        now: Duration,
    ) -> Outcome {
        let sequence = self.probes.begin(Probe {
            router: router.clone(),
            to,
            deadline: now + self.options.probe_timeout,
            indirect: false,
        });
        let mut heartbeat = self.compose(Stage::Probe, router.as_ref());
        heartbeat.sequence = sequence;
        Outcome::Send { to, heartbeat }
    }

    /// Asks others about a peer that did not answer, or suspects it where they had no answer either.
    pub(super) fn continue_probe(
        &mut self,
        sequence: u64,
        probe: Probe,
        now: Duration,
        rng: &mut impl Rng,
        outcomes: &mut Vec<Outcome>,
    ) {
        let Some(router) = probe.router.clone() else {
            return;
        };
        if probe.indirect {
            self.suspect(&router, now, outcomes);
            return;
        }
        let mut helpers: Vec<Member> = self
            .others
            .values()
            .filter(|known| known.member.liveness == Liveness::Alive)
            .filter(|known| known.member.router != router)
            .map(|known| known.member.clone())
            .collect();
        // A partial shuffle leaves the chosen ones at the end.
        let (chosen, _) = helpers.partial_shuffle(rng, HELPERS);
        for helper in chosen.iter() {
            let mut heartbeat = self.compose(Stage::ProbeFor, Some(&helper.router));
            heartbeat.sequence = sequence;
            heartbeat.target = encode_address(probe.to);
            outcomes.push(Outcome::Send {
                to: helper.peers,
                heartbeat,
            });
        }
        let waiting = Probe {
            indirect: true,
            deadline: now + self.options.indirect_timeout,
            ..probe
        };
        self.probes.resume(sequence, waiting);
    }

    pub(super) fn suspect(
        &mut self,
        router: &RouterId,
        now: Duration,
        outcomes: &mut Vec<Outcome>,
    ) {
        let Some(known) = self.others.get_mut(router) else {
            return;
        };
        if known.member.liveness != Liveness::Alive {
            return;
        }
        known.member.liveness = Liveness::Suspected;
        known.since = now;
        let member = known.member.clone();
        self.rumors.add(router.clone());
        self.changed();
        // The suspected router hears at once and may refute.
        outcomes.push(self.send(&member, Stage::Records));
    }

    pub(super) fn end_suspicions(&mut self, now: Duration) {
        let limit = self.suspicion_limit();
        let mut changed = false;
        for (router, known) in &mut self.others {
            let age = now.saturating_sub(known.since);
            if known.member.liveness == Liveness::Suspected && age >= limit {
                known.member.liveness = Liveness::Removed;
                known.since = now;
                self.rumors.add(router.clone());
                changed = true;
            }
        }
        let removed_life = self.options.removed_life;
        self.others.retain(|_, known| {
            known.member.is_present() || now.saturating_sub(known.since) < removed_life
        });
        if changed {
            self.ring_is_stale = true;
            self.changed();
        }
    }

    pub(super) fn suspicion_limit(&self) -> Duration {
        let size_log2 = (self.ring.len().max(1) as f64).log2();
        self.options
            .suspicion
            .mul_f64((size_log2 / SUSPICION_BASE_LOG2).max(1.0))
    }

    pub(super) fn acknowledge(
        &mut self,
        probe: &Heartbeat,
        sender: &Member,
        now: Duration,
    ) -> Outcome {
        let mut heartbeat = self.compose(Stage::Acknowledge, Some(&sender.router));
        heartbeat.sequence = probe.sequence;
        if heartbeat.digest != probe.digest && self.next_sync <= now {
            self.next_sync = now + self.options.sync_interval;
            heartbeat.bucket_digests = sync::bucket_digests(self.members());
        }
        Outcome::Reply { heartbeat }
    }

    pub(super) fn take_acknowledgement(
        &mut self,
        heartbeat: &Heartbeat,
        sender: &Member,
        outcomes: &mut Vec<Outcome>,
    ) {
        if let Some(relay) = self.probes.end_relay(heartbeat.sequence) {
            let mut answer = self.compose(Stage::AcknowledgeFor, None);
            answer.sequence = relay.sequence;
            answer.updates.push(MemberRecord::whole(sender));
            outcomes.push(Outcome::Send {
                to: relay.asker,
                heartbeat: answer,
            });
            return;
        }
        self.probes.end_by(heartbeat.sequence, &sender.router);
    }

    pub(super) fn take_relayed(&mut self, heartbeat: &Heartbeat) {
        for update in &heartbeat.updates {
            self.probes.end_by(heartbeat.sequence, &update.router);
        }
    }

    pub(super) fn relay_probe(
        &mut self,
        request: &Heartbeat,
        asker: &Member,
        now: Duration,
        outcomes: &mut Vec<Outcome>,
    ) {
        let Some(to) = decode_address(&request.target) else {
            return;
        };
        let deadline = now + self.options.indirect_timeout;
        let begun = self
            .probes
            .begin_relay(asker.peers, request.sequence, deadline);
        if let Some(sequence) = begun {
            let mut heartbeat = self.compose(Stage::Probe, None);
            heartbeat.sequence = sequence;
            outcomes.push(Outcome::Send { to, heartbeat });
        }
    }
}
