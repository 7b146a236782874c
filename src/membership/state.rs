//! The membership state of one router, and how ticks and messages change it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::id::RouterId;
use crate::membership::gossip_queue::GossipQueue;
use crate::membership::member::{Liveness, LoadLevel, Member};
use crate::membership::message::{Heartbeat, MemberRecord, Stage};
use crate::membership::probe::Probes;
use crate::membership::ring::Ring;
use crate::membership::sync;
use crate::protocol::{Vm, VmState};

/// How often suspicions and removed members are checked for expiry.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// The timeouts and intervals of membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// How often a peer is probed.
    pub probe_interval: Duration,
    /// How long to wait for an acknowledgement before requesting indirect probes.
    pub probe_timeout: Duration,
    /// How long to wait for the result of indirect probes.
    pub indirect_timeout: Duration,
    /// How long a suspected router has to refute in a fleet of up to 16; grows with the logarithm of the fleet size.
    pub suspicion_timeout: Duration,
    /// How often to probe an address that belongs to no member: a seed, an address from the VM list or a removed
    /// router.
    pub reconnect_interval: Duration,
    /// The minimum time between two comparisons of members by bucket digests.
    pub sync_interval: Duration,
    /// How long a removed router is remembered.
    pub removed_ttl: Duration,
    /// The minimum time between two ticks after which the process is considered to have been paused.
    pub pause_threshold: Duration,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(400),
            indirect_timeout: Duration::from_millis(600),
            suspicion_timeout: Duration::from_secs(3),
            reconnect_interval: Duration::from_secs(5),
            sync_interval: Duration::from_secs(2),
            removed_ttl: Duration::from_mins(10),
            pause_threshold: Duration::from_millis(500),
        }
    }
}

/// An action that the caller has to perform after an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a heartbeat to the router at an address.
    Send {
        /// The address where the router listens for other routers.
        to: SocketAddr,
        /// The heartbeat to send.
        heartbeat: Heartbeat,
    },
    /// Reply to the heartbeat that was just received.
    Reply {
        /// The reply.
        heartbeat: Heartbeat,
    },
}

/// The membership state of one router.
#[derive(Debug)]
pub struct Membership {
    pub(super) options: MembershipOptions,
    pub(super) own: Member,
    /// Whether this router is leaving because the VM list shows it as leaving.
    pub(super) leaving_by_vm_list: bool,
    /// Whether a newer incarnation of this router has been seen.
    pub(super) superseded: bool,
    pub(super) others: BTreeMap<RouterId, KnownMember>,
    pub(super) vm_addresses: BTreeSet<SocketAddr>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) ring: Ring,
    /// Whether members were added or removed since the ring was built.
    pub(super) ring_is_stale: bool,
    pub(super) fingers: Vec<RouterId>,
    pub(super) next_finger: usize,
    pub(super) probes: Probes,
    pub(super) gossip_queue: GossipQueue,
    pub(super) next_probe: Duration,
    pub(super) next_reconnect: Duration,
    pub(super) next_expiry: Duration,
    pub(super) next_sync: Duration,
    pub(super) last_tick: Duration,
    pub(super) generation: u64,
}

#[derive(Clone, Debug)]
pub(super) struct KnownMember {
    pub(super) member: Member,
    /// When the liveness last changed.
    pub(super) changed_at: Duration,
}

impl Membership {
    /// Creates the state of a router that knows only itself and the addresses in `seeds`.
    #[must_use]
    pub fn new(
        own: Member,
        seeds: Vec<SocketAddr>,
        options: MembershipOptions,
        now: Duration,
    ) -> Self {
        let mut membership = Self {
            options,
            own,
            leaving_by_vm_list: false,
            superseded: false,
            others: BTreeMap::new(),
            vm_addresses: BTreeSet::new(),
            seeds,
            ring: Ring::default(),
            ring_is_stale: true,
            fingers: Vec::new(),
            next_finger: 0,
            probes: Probes::default(),
            gossip_queue: GossipQueue::default(),
            next_probe: now,
            next_reconnect: now,
            next_expiry: now,
            next_sync: now,
            last_tick: now,
            generation: 0,
        };
        membership.refresh_ring();
        membership
    }

    /// Returns this router's own record.
    #[must_use]
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// Returns the members, including suspected ones and this router, in no particular order.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let others = self.others.values().map(|known| &known.member);
        std::iter::once(&self.own).chain(others.filter(|member| member.is_present()))
    }

    /// Returns the record of `router`, which may have been removed.
    #[must_use]
    pub fn get(&self, router: &RouterId) -> Option<&Member> {
        if *router == self.own.router {
            return Some(&self.own);
        }
        self.others.get(router).map(|known| &known.member)
    }

    /// Returns the hash ring of the members.
    #[must_use]
    pub const fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Returns a number that increases with each change to [`Membership::members`].
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns whether a newer incarnation of this router has been seen. A superseded router sends no messages.
    #[must_use]
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the number of routers that this one probes in turn.
    #[must_use]
    pub fn probed_peers(&self) -> usize {
        self.fingers.len()
    }

    /// Sets the load level of this router and gossips it.
    pub fn set_load(&mut self, load: LoadLevel) {
        if self.own.load != load {
            self.own.load = load;
            self.raise_own_version(self.own.version);
        }
    }

    /// Sets the number of requests that this router started recently. Its next heartbeats carry it to the peers that it
    /// probes.
    pub fn set_activity(&mut self, requests: u32) {
        self.own.activity = requests;
    }

    /// Marks this router as leaving and gossips it.
    pub fn leave(&mut self) {
        self.leaving_by_vm_list = false;
        self.set_leaving(true);
    }

    /// Returns the actions that send this router's own record to all members at once, for example before it leaves.
    pub fn broadcast_own(&mut self) -> Vec<Action> {
        let present = self.others.values().map(|known| known.member.clone());
        let present: Vec<Member> = present.filter(Member::is_present).collect();
        present
            .iter()
            .map(|member| self.send(member, Stage::Records))
            .collect()
    }

    /// Applies the platform's VM list. Since the list lags, it only supplies addresses to probe and marks routers as
    /// leaving, but never removes a router.
    ///
    /// Returns the actions that notify the affected routers, which may not read the list themselves.
    pub fn observe_vms(&mut self, vms: &[Vm]) -> Vec<Action> {
        self.vm_addresses = vms.iter().map(|vm| vm.address).collect();
        let leaving: BTreeSet<SocketAddr> = vms
            .iter()
            .filter(|vm| vm.state == VmState::Leaving)
            .map(|vm| vm.address)
            .collect();
        let is_on_leaving_vm =
            |member: &Member| leaving.contains(&member.peers) || leaving.contains(&member.callers);
        let own_is_leaving = is_on_leaving_vm(&self.own);
        let announcements: Vec<MemberRecord> = self
            .others
            .values()
            .filter(|known| known.member.takes_new_work() && is_on_leaving_vm(&known.member))
            .map(|known| {
                let mut record = MemberRecord::full(&known.member);
                record.leaving = true;
                record
            })
            .collect();
        self.apply_vm_list_to_own(own_is_leaving);
        announcements
            .into_iter()
            .filter_map(|record| self.send_leaving_record(record))
            .collect()
    }

    /// Advances the time: handles timeouts, probes the next peer and tries to reach routers that are not members.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Action> {
        self.handle_pause(now);
        let mut actions = Vec::new();
        if self.superseded {
            return actions;
        }
        for (sequence, probe) in self.probes.take_expired(now) {
            self.handle_probe_timeout(sequence, probe, now, rng, &mut actions);
        }
        if self.next_expiry <= now {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.expire_members(now);
        }
        if self.next_probe <= now {
            // Jittered, so that routers that started together do not stay synchronized.
            self.next_probe = now
                + self
                    .options
                    .probe_interval
                    .mul_f64(rng.random_range(0.9..1.1));
            self.probe_next_finger(now, &mut actions);
        }
        if self.next_reconnect <= now {
            let is_alone = self.others.values().all(|known| !known.member.is_present());
            let interval = if is_alone {
                self.options.probe_interval
            } else {
                self.options.reconnect_interval
            };
            self.next_reconnect = now + interval.mul_f64(rng.random_range(0.75..1.25));
            self.try_reconnect(now, rng, &mut actions);
        }
        self.refresh_ring();
        actions
    }

    /// Handles a heartbeat from another router.
    pub fn receive(
        &mut self,
        heartbeat: &Heartbeat,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let (Some(stage), Some(sender)) = (
            heartbeat.known_stage(),
            heartbeat.sender.as_ref().and_then(MemberRecord::to_member),
        ) else {
            return actions;
        };
        if self.superseded || sender.liveness != Liveness::Alive {
            return actions;
        }
        let version = self.own.version;
        self.merge(MemberRecord::full(&sender), now);
        if let Some(known) = self.others.get_mut(&sender.router)
            && known.member.precedence() == sender.precedence()
        {
            known.member.activity = sender.activity;
        }
        for update in &heartbeat.updates {
            self.merge(update.clone(), now);
        }
        if heartbeat.digest == sync::digest(self.members()) {
            self.gossip_queue.confirm(self.fingers.len());
        }
        match stage {
            Stage::Probe => actions.push(self.acknowledge(heartbeat, &sender, now)),
            Stage::Acknowledge => self.handle_acknowledgement(heartbeat, &sender, &mut actions),
            Stage::AcknowledgeFor => self.handle_relayed_acknowledgement(heartbeat),
            Stage::ProbeFor => self.relay_probe(heartbeat, &sender, now, &mut actions),
            Stage::Records if version != self.own.version => {
                actions.push(self.send(&sender, Stage::Records));
            }
            Stage::Records => {}
        }
        self.synchronize(heartbeat, &sender, rng, &mut actions);
        self.refresh_ring();
        actions
    }

    /// Returns the full records of all members, for a router that is recovering after a restart.
    #[must_use]
    pub fn records(&self) -> Vec<MemberRecord> {
        self.members().map(MemberRecord::full).collect()
    }

    /// Merges records received from a peer during recovery.
    pub fn merge_records(&mut self, records: Vec<MemberRecord>, now: Duration) {
        for record in records {
            self.merge(record, now);
        }
        self.refresh_ring();
    }

    pub(super) fn mark_changed(&mut self) {
        self.generation += 1;
        assert!(
            self.own.liveness == Liveness::Alive,
            "a router's own record must be alive"
        );
    }

    /// Rebuilds the ring if members were added or removed.
    pub(super) fn refresh_ring(&mut self) {
        if !std::mem::take(&mut self.ring_is_stale) {
            return;
        }
        self.ring = Ring::new(self.members().map(|member| &member.router));
        self.fingers = self.ring.fingers(&self.own.router);
        self.next_finger = 0;
    }
}
