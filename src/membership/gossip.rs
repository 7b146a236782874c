//! Gossip on heartbeats: which records are sent, and how received records are merged.

use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::id::RouterId;
use crate::membership::member::{Liveness, Member};
use crate::membership::message::{Heartbeat, MemberRecord, Stage};
use crate::membership::state::{Action, KnownMember, Membership};
use crate::membership::sync;

/// How far the version of a record may be above the known one. Versions start low and rise by one with each change, so a
/// record beyond that is malformed. The next version is always accepted, so that a member can refute each record that is.
const MAX_VERSION_STEP: u64 = 1 << 32;

impl Membership {
    pub(super) fn synchronize(
        &mut self,
        heartbeat: &Heartbeat,
        sender: &Member,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let requested = if heartbeat.bucket_digests.is_empty() {
            0
        } else {
            sync::differing_buckets(
                &sync::bucket_digests(self.members()),
                &heartbeat.bucket_digests,
            )
        };
        let buckets = requested | heartbeat.requested_buckets;
        if buckets == 0 {
            return;
        }
        let mut records = self.records_in_buckets(buckets, &heartbeat.updates, rng);
        records.truncate(sync::MAX_RECORDS_PER_MESSAGE);
        let mut response = self.new_heartbeat(Stage::Records, Some(&sender.router));
        response.updates = records;
        response.requested_buckets = requested;
        actions.push(Action::Send {
            to: sender.peers,
            heartbeat: response,
        });
    }

    /// Returns the records of the members in `buckets`, except those equal to one in `known`, in random order.
    pub(super) fn records_in_buckets(
        &self,
        buckets: u32,
        known: &[MemberRecord],
        rng: &mut impl Rng,
    ) -> Vec<MemberRecord> {
        let all = self.others.values().map(|known| &known.member);
        let mut records: Vec<MemberRecord> = all
            .filter(|member| sync::includes(buckets, &member.router))
            .map(MemberRecord::full)
            .filter(|record| !known.contains(record))
            .collect();
        records.shuffle(rng);
        records
    }

    pub(super) fn send(&mut self, to: &Member, stage: Stage) -> Action {
        Action::Send {
            to: to.peers,
            heartbeat: self.new_heartbeat(stage, Some(&to.router)),
        }
    }

    /// Creates a heartbeat with the gossip that is due. If the receiver is suspected or removed, includes that too.
    pub(super) fn new_heartbeat(&mut self, stage: Stage, receiver: Option<&RouterId>) -> Heartbeat {
        let mut updates = Vec::new();
        if let Some(known) = receiver.and_then(|router| self.others.get(router))
            && known.member.liveness != Liveness::Alive
        {
            updates.push(MemberRecord::liveness_only(&known.member));
        }
        for router in self.gossip_queue.take(self.fingers.len()) {
            if let Some(known) = self.others.get(&router)
                && Some(&router) != receiver
            {
                updates.push(MemberRecord::compact(&known.member));
            }
        }
        Heartbeat {
            stage: stage.into(),
            sender: Some(MemberRecord::full(&self.own)),
            digest: sync::digest(self.members()),
            updates,
            target: Bytes::new(),
            ..Heartbeat::default()
        }
    }

    pub(super) fn merge(&mut self, record: MemberRecord, now: Duration) {
        let is_own = record.router == *self.own.router;
        let known = if is_own {
            self.own.version
        } else {
            let known = self.others.get(record.router.as_str());
            known.map_or(0, |known| known.member.version)
        };
        if record.version.saturating_sub(known) > MAX_VERSION_STEP {
            return;
        }
        if is_own {
            self.merge_own(&record);
            return;
        }
        let Some(liveness) = record.known_liveness() else {
            return;
        };
        let router = RouterId::from(record.router.as_str());
        let full = record.to_member();
        match self.others.get_mut(&router) {
            None => {
                let Some(member) = full.filter(Member::is_present) else {
                    return;
                };
                self.others.insert(
                    router.clone(),
                    KnownMember {
                        member,
                        changed_at: now,
                    },
                );
                self.ring_is_stale = true;
            }
            Some(known) => {
                let before = known.member.precedence();
                let after = (record.incarnation, record.version, liveness);
                if after <= before {
                    return;
                }
                match full {
                    Some(member) => known.member = member,
                    // Alive records are always sent in full, so this one is malformed.
                    None if liveness == Liveness::Alive => return,
                    None => {
                        known.member.incarnation = record.incarnation;
                        known.member.version = record.version;
                        known.member.liveness = liveness;
                    }
                }
                if before.2 != liveness {
                    known.changed_at = now;
                }
                assert_increases(before, known.member.precedence());
                let was_present = before.2 != Liveness::Removed;
                self.ring_is_stale |= was_present != known.member.is_present();
            }
        }
        self.gossip_queue.add(router);
        self.mark_changed();
    }

    /// Merges what others report about this router. Refutes a suspicion or removal, and accepts that its VM is leaving.
    pub(super) fn merge_own(&mut self, record: &MemberRecord) {
        if record.incarnation > self.own.incarnation {
            self.superseded = true;
            return;
        }
        if record.incarnation < self.own.incarnation || record.version < self.own.version {
            return;
        }
        let full = record.to_member();
        if full.is_some_and(|member| member.leaving) && !self.own.leaving {
            self.leaving_by_vm_list = true;
            self.set_leaving(true);
        } else if record.known_liveness() != Some(Liveness::Alive)
            || record.version > self.own.version
        {
            self.raise_own_version(record.version);
        }
    }

    pub(super) fn apply_vm_list_to_own(&mut self, is_leaving: bool) {
        if is_leaving && !self.own.leaving {
            self.leaving_by_vm_list = true;
            self.set_leaving(true);
        } else if !is_leaving && self.leaving_by_vm_list {
            self.leaving_by_vm_list = false;
            self.set_leaving(false);
        }
    }

    pub(super) fn set_leaving(&mut self, leaving: bool) {
        if self.own.leaving != leaving {
            self.own.leaving = leaving;
            self.raise_own_version(self.own.version);
        }
    }

    pub(super) fn send_leaving_record(&mut self, record: MemberRecord) -> Option<Action> {
        let router = RouterId::from(record.router.as_str());
        let member = self.others.get(&router)?.member.clone();
        let mut action = self.send(&member, Stage::Records);
        if let Action::Send { heartbeat, .. } = &mut action {
            heartbeat.updates.push(record);
        }
        Some(action)
    }

    pub(super) fn raise_own_version(&mut self, above: u64) {
        let before = self.own.precedence();
        self.own.version = above + 1;
        assert_increases(before, self.own.precedence());
        self.mark_changed();
    }
}

type Precedence = (u64, u64, Liveness);

/// Asserts that a record is only ever replaced by one of higher precedence, so that no older incarnation returns.
fn assert_increases(before: Precedence, after: Precedence) {
    assert!(
        after > before,
        "record precedence must increase, but went from {before:?} to {after:?}"
    );
}
