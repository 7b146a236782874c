//! The state of membership at one router, and how ticks and messages change it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::id::RouterId;
use crate::membership::member::{Liveness, LoadLevel, Member};
use crate::membership::message::{Heartbeat, MemberRecord, Stage};
use crate::membership::probe::Probes;
use crate::membership::ring::Ring;
use crate::membership::rumor::Rumors;
use crate::membership::sync;
use crate::protocol::{Vm, VmState};

/// How often suspicions and old removals are looked through.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// The times that membership keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipOptions {
    /// How often one peer is probed.
    pub probe_interval: Duration,
    /// How long a probe may stay unanswered before others are asked to probe too.
    pub probe_timeout: Duration,
    /// How long those others may take.
    pub indirect_timeout: Duration,
    /// How long a suspected router has for its refutation in a fleet of up to 16; it grows with the logarithm.
    pub suspicion: Duration,
    /// How often a router that is not a member is tried: a seed, one of the VM list or a removed one.
    pub contact_interval: Duration,
    /// How often members are compared by digests per bucket, at most.
    pub sync_interval: Duration,
    /// How long a removed router is remembered.
    pub removed_life: Duration,
    /// The time between two ticks from which the process counts as having been paused.
    pub pause: Duration,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(400),
            indirect_timeout: Duration::from_millis(600),
            suspicion: Duration::from_secs(3),
            contact_interval: Duration::from_secs(5),
            sync_interval: Duration::from_secs(2),
            removed_life: Duration::from_mins(10),
            pause: Duration::from_millis(500),
        }
    }
}

/// What the caller has to do after an event.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Send a heartbeat to the router at an address.
    Send {
        /// Where the router listens for routers.
        to: SocketAddr,
        /// What to send.
        heartbeat: Heartbeat,
    },
    /// Answer the heartbeat that was just received.
    Reply {
        /// What to answer.
        heartbeat: Heartbeat,
    },
}

/// The state of membership at one router.
#[derive(Debug)]
pub struct Membership {
    pub(super) options: MembershipOptions,
    pub(super) own: Member,
    /// Whether the VM list was the one to tell that this router leaves.
    pub(super) leaving_by_vm_list: bool,
    /// Whether a later life of this router's name has been seen.
    pub(super) superseded: bool,
    pub(super) others: BTreeMap<RouterId, Known>,
    pub(super) contacts: BTreeSet<SocketAddr>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) ring: Ring,
    /// Whether members came or went since the ring was built.
    pub(super) ring_is_stale: bool,
    pub(super) fingers: Vec<RouterId>,
    pub(super) next_finger: usize,
    pub(super) probes: Probes,
    pub(super) rumors: Rumors,
    pub(super) next_probe: Duration,
    pub(super) next_contact: Duration,
    pub(super) next_expiry: Duration,
    pub(super) next_sync: Duration,
    pub(super) last_tick: Duration,
    pub(super) generation: u64,
}

#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) member: Member,
    /// When the liveness last changed.
    pub(super) since: Duration,
}

impl Membership {
    /// Begins with this router alone, which knows the addresses of some others.
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
            contacts: BTreeSet::new(),
            seeds,
            ring: Ring::default(),
            ring_is_stale: true,
            fingers: Vec::new(),
            next_finger: 0,
            probes: Probes::default(),
            rumors: Rumors::default(),
            next_probe: now,
            next_contact: now,
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

    /// Returns the members, suspected ones and this router included, in no particular order.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let others = self.others.values().map(|known| &known.member);
        std::iter::once(&self.own).chain(others.filter(|member| member.is_present()))
    }

    /// Returns what is known of `router`, also after its removal.
    #[must_use]
    pub fn get(&self, router: &RouterId) -> Option<&Member> {
        if *router == self.own.router {
            return Some(&self.own);
        }
        self.others.get(router).map(|known| &known.member)
    }

    /// Returns the order of the members by hash.
    #[must_use]
    pub const fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Returns a number that grows with each change of what [`Membership::members`] shows.
    #[must_use]
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Tells whether a later life of this router's name has been seen; such a router stays quiet.
    #[must_use]
    pub const fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the number of routers that this one probes in turn.
    #[must_use]
    pub fn probed_peers(&self) -> usize {
        self.fingers.len()
    }

    /// Tells the others how busy this router is.
    pub fn set_load(&mut self, load: LoadLevel) {
        if self.own.load != load {
            self.own.load = load;
            self.raise_own_version(self.own.version);
        }
    }

    /// Notes how many requests this router started lately; its next heartbeats tell the peers that it probes.
    pub fn set_activity(&mut self, requests: u32) {
        self.own.activity = requests;
    }

    /// Tells the others that this router leaves.
    pub fn leave(&mut self) {
        self.leaving_by_vm_list = false;
        self.set_leaving(true);
    }

    /// Returns what tells all members of this router's own record at once, such as before it leaves.
    pub fn tell_all(&mut self) -> Vec<Outcome> {
        let present = self.others.values().map(|known| known.member.clone());
        let present: Vec<Member> = present.filter(Member::is_present).collect();
        present
            .iter()
            .map(|member| self.send(member, Stage::Records))
            .collect()
    }

    /// Takes the platform's VM list, which lags: it names routers to try and routers that leave, and removes none.
    ///
    /// Returns what tells the routers concerned, which may not see the list themselves.
    pub fn observe_vms(&mut self, vms: &[Vm]) -> Vec<Outcome> {
        self.contacts = vms.iter().map(|vm| vm.address).collect();
        let leaving: BTreeSet<SocketAddr> = vms
            .iter()
            .filter(|vm| vm.state == VmState::Leaving)
            .map(|vm| vm.address)
            .collect();
        let stands_at =
            |member: &Member| leaving.contains(&member.peers) || leaving.contains(&member.callers);
        let own_leaves = stands_at(&self.own);
        let told: Vec<MemberRecord> = self
            .others
            .values()
            .filter(|known| known.member.takes_new_work() && stands_at(&known.member))
            .map(|known| {
                let mut record = MemberRecord::whole(&known.member);
                record.leaving = true;
                record
            })
            .collect();
        self.take_vm_list_on_own(own_leaves);
        told.into_iter()
            .filter_map(|record| self.tell_leaving(record))
            .collect()
    }

    /// Advances the time: ends waits, probes the next peer, tries lost contact.
    pub fn tick(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Outcome> {
        self.absorb_pause(now);
        let mut outcomes = Vec::new();
        if self.superseded {
            return outcomes;
        }
        for (sequence, probe) in self.probes.take_expired(now) {
            self.continue_probe(sequence, probe, now, rng, &mut outcomes);
        }
        if self.next_expiry <= now {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.end_suspicions(now);
        }
        if self.next_probe <= now {
            // Spread, so that routers started together do not stay in step.
            self.next_probe = now
                + self
                    .options
                    .probe_interval
                    .mul_f64(rng.random_range(0.9..1.1));
            self.probe_next_finger(now, &mut outcomes);
        }
        if self.next_contact <= now {
            let alone = self.others.values().all(|known| !known.member.is_present());
            let interval = if alone {
                self.options.probe_interval
            } else {
                self.options.contact_interval
            };
            self.next_contact = now + interval.mul_f64(rng.random_range(0.75..1.25));
            self.try_contact(now, rng, &mut outcomes);
        }
        self.refresh_ring();
        outcomes
    }

    /// Takes a heartbeat from another router.
    pub fn receive(
        &mut self,
        heartbeat: &Heartbeat,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Vec<Outcome> {
        let mut outcomes = Vec::new();
        let (Some(stage), Some(sender)) = (
            heartbeat.known_stage(),
            heartbeat.sender.as_ref().and_then(MemberRecord::to_member),
        ) else {
            return outcomes;
        };
        if self.superseded || sender.liveness != Liveness::Alive {
            return outcomes;
        }
        let version = self.own.version;
        self.merge(MemberRecord::whole(&sender), now);
        if let Some(known) = self.others.get_mut(&sender.router)
            && known.member.precedence() == sender.precedence()
        {
            known.member.activity = sender.activity;
        }
        for update in &heartbeat.updates {
            self.merge(update.clone(), now);
        }
        if heartbeat.digest == sync::digest(self.members()) {
            self.rumors.confirm(self.fingers.len());
        }
        match stage {
            Stage::Probe => outcomes.push(self.acknowledge(heartbeat, &sender, now)),
            Stage::Acknowledge => self.take_acknowledgement(heartbeat, &sender, &mut outcomes),
            Stage::AcknowledgeFor => self.take_relayed(heartbeat),
            Stage::ProbeFor => self.relay_probe(heartbeat, &sender, now, &mut outcomes),
            Stage::Records if version != self.own.version => {
                outcomes.push(self.send(&sender, Stage::Records));
            }
            Stage::Records => {}
        }
        self.synchronise(heartbeat, &sender, rng, &mut outcomes);
        self.refresh_ring();
        outcomes
    }

    /// Returns the whole records of all members, for a router that restarts.
    #[must_use]
    pub fn records(&self) -> Vec<MemberRecord> {
        self.members().map(MemberRecord::whole).collect()
    }

    /// Takes records that a peer handed over.
    pub fn merge_records(&mut self, records: Vec<MemberRecord>, now: Duration) {
        for record in records {
            self.merge(record, now);
        }
        self.refresh_ring();
    }

    pub(super) fn changed(&mut self) {
        self.generation += 1;
        assert!(
            self.own.liveness == Liveness::Alive,
            "a router counted itself as gone"
        );
    }

    /// Builds the ring anew where members came or went.
    pub(super) fn refresh_ring(&mut self) {
        if !std::mem::take(&mut self.ring_is_stale) {
            return;
        }
        self.ring = Ring::new(self.members().map(|member| &member.router));
        self.fingers = self.ring.fingers(&self.own.router);
        self.next_finger = 0;
    }
}
