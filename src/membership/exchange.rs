//! What rides on heartbeats and how records of others are taken in.

use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use rand::seq::SliceRandom;

use crate::id::RouterId;
use crate::membership::member::{Liveness, Member};
use crate::membership::message::{Heartbeat, MemberRecord, Stage};
use crate::membership::state::{Known, Membership, Outcome};
use crate::membership::sync;

impl Membership {
    pub(super) fn synchronise(
        &mut self,
        heartbeat: &Heartbeat,
        sender: &Member,
        rng: &mut impl Rng,
        outcomes: &mut Vec<Outcome>,
    ) {
        let wanted = if heartbeat.bucket_digests.is_empty() {
            0
        } else {
            sync::differing(
                &sync::bucket_digests(self.members()),
                &heartbeat.bucket_digests,
            )
        };
        let buckets = wanted | heartbeat.wanted_buckets;
        if buckets == 0 {
            return;
        }
        let mut records = self.records_in(buckets, &heartbeat.updates, rng);
        records.truncate(sync::MAX_RECORDS_PER_MESSAGE);
        let mut answer = self.compose(Stage::Records, Some(&sender.router));
        answer.updates = records;
        answer.wanted_buckets = wanted;
        outcomes.push(Outcome::Send {
            to: sender.peers,
            heartbeat: answer,
        });
    }

    /// Returns the records of `buckets` but those that `known` holds already, in random order.
    pub(super) fn records_in(
        &self,
        buckets: u32,
        known: &[MemberRecord],
        rng: &mut impl Rng,
    ) -> Vec<MemberRecord> {
        let all = self.others.values().map(|known| &known.member);
        let mut records: Vec<MemberRecord> = all
            .filter(|member| sync::is_in(buckets, &member.router))
            .map(MemberRecord::whole)
            .filter(|record| !known.contains(record))
            .collect();
        records.shuffle(rng);
        records
    }

    pub(super) fn send(&mut self, to: &Member, stage: Stage) -> Outcome {
        Outcome::Send {
            to: to.peers,
            heartbeat: self.compose(stage, Some(&to.router)),
        }
    }

    /// Makes a heartbeat with the rumors that are due, and with what is held against the receiver.
    pub(super) fn compose(&mut self, stage: Stage, receiver: Option<&RouterId>) -> Heartbeat {
        let mut updates = Vec::new();
        if let Some(known) = receiver.and_then(|router| self.others.get(router))
            && known.member.liveness != Liveness::Alive
        {
            updates.push(MemberRecord::verdict(&known.member));
        }
        for router in self.rumors.take(self.fingers.len()) {
            if let Some(known) = self.others.get(&router)
                && Some(&router) != receiver
            {
                updates.push(MemberRecord::short(&known.member));
            }
        }
        Heartbeat {
            stage: stage.into(),
            sender: Some(MemberRecord::whole(&self.own)),
            digest: sync::digest(self.members()),
            updates,
            target: Bytes::new(),
            ..Heartbeat::default()
        }
    }

    pub(super) fn merge(&mut self, record: MemberRecord, now: Duration) {
        if record.router == *self.own.router {
            self.merge_own(&record);
            return;
        }
        let Some(liveness) = record.known_liveness() else {
            return;
        };
        let router = RouterId::from(record.router.as_str());
        let whole = record.to_member();
        match self.others.get_mut(&router) {
            None => {
                let Some(member) = whole.filter(Member::is_present) else {
                    return;
                };
                self.others
                    .insert(router.clone(), Known { member, since: now });
                self.ring_is_stale = true;
            }
            Some(known) => {
                let before = known.member.precedence();
                let after = (record.incarnation, record.version, liveness);
                if after <= before {
                    return;
                }
                match whole {
                    Some(member) => known.member = member,
                    // An alive record always comes whole; anything else is malformed.
                    None if liveness == Liveness::Alive => return,
                    None => {
                        known.member.incarnation = record.incarnation;
                        known.member.version = record.version;
                        known.member.liveness = liveness;
                    }
                }
                if before.2 != liveness {
                    known.since = now;
                }
                assert_advances(before, known.member.precedence());
                let was_present = before.2 != Liveness::Removed;
                self.ring_is_stale |= was_present != known.member.is_present();
            }
        }
        self.rumors.add(router);
        self.changed();
    }

    /// Takes what others say of this router: it refutes that it is gone and accepts that its VM leaves.
    pub(super) fn merge_own(&mut self, record: &MemberRecord) {
        if record.incarnation > self.own.incarnation {
            self.superseded = true;
            return;
        }
        if record.incarnation < self.own.incarnation || record.version < self.own.version {
            return;
        }
        let whole = record.to_member();
        if whole.is_some_and(|member| member.leaving) && !self.own.leaving {
            self.leaving_by_vm_list = true;
            self.set_leaving(true);
        } else if record.known_liveness() != Some(Liveness::Alive)
            || record.version > self.own.version
        {
            self.raise_own_version(record.version);
        }
    }

    pub(super) fn take_vm_list_on_own(&mut self, leaves: bool) {
        if leaves && !self.own.leaving {
            self.leaving_by_vm_list = true;
            self.set_leaving(true);
        } else if !leaves && self.leaving_by_vm_list {
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

    pub(super) fn tell_leaving(&mut self, record: MemberRecord) -> Option<Outcome> {
        let router = RouterId::from(record.router.as_str());
        let member = self.others.get(&router)?.member.clone();
        let mut outcome = self.send(&member, Stage::Records);
        if let Outcome::Send { heartbeat, .. } = &mut outcome {
            heartbeat.updates.push(record);
        }
        Some(outcome)
    }

    pub(super) fn raise_own_version(&mut self, above: u64) {
        let before = self.own.precedence();
        self.own.version = above + 1;
        assert_advances(before, self.own.precedence());
        self.changed();
    }
}

type Precedence = (u64, u64, Liveness);

/// Asserts that a record only ever gives way to a greater one, so that no older incarnation comes back.
fn assert_advances(before: Precedence, after: Precedence) {
    assert!(
        after > before,
        "membership went back from {before:?} to {after:?}"
    );
}
