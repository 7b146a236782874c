use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::*;
use crate::id::RouterId;
use crate::protocol::{Vm, VmState};

pub(crate) mod fleet;
mod leaving;
mod random;
mod traffic;

use self::fleet::{Fleet, address, member};

const PATIENCE: Duration = Duration::from_secs(120);

fn settled(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    let took = fleet.time_to_agreement(PATIENCE);
    assert!(took.is_some(), "{:?}", fleet.disagreement());
    fleet
}

fn liveness_at(fleet: &Fleet, viewer: usize, subject: usize) -> Option<Liveness> {
    let state = fleet.nodes[viewer].state.as_ref()?;
    state
        .get(&member(subject, 1).router)
        .map(|member| member.liveness)
}

#[test]
fn tick_crashed_router_is_suspected_then_removed() {
    let mut fleet = settled(9, 1);
    fleet.crash(4);
    let begin = fleet.now;
    let mut suspected = None;
    while (0..9).all(|viewer| liveness_at(&fleet, viewer, 4) != Some(Liveness::Removed)) {
        fleet.step();
        if (0..9).any(|viewer| liveness_at(&fleet, viewer, 4) == Some(Liveness::Suspected)) {
            suspected.get_or_insert(fleet.now);
        }
        assert!(fleet.now - begin < PATIENCE, "the crashed router stays");
    }
    let suspected = suspected.expect("suspicion comes first");
    assert!(fleet.now - suspected >= MembershipOptions::default().suspicion);
}

#[test]
fn tick_one_way_link_is_bridged_by_others() {
    let mut fleet = settled(9, 2);
    fleet.cuts.insert((1, 5));
    for _ in 0..1_200 {
        fleet.step();
        for viewer in 0..9 {
            assert_eq!(liveness_at(&fleet, viewer, 5), Some(Liveness::Alive));
        }
    }
}

#[test]
fn tick_paused_router_refutes() {
    let mut fleet = settled(9, 3);
    fleet.nodes[3].paused_until = fleet.now + Duration::from_secs(20);
    fleet.run_for(Duration::from_secs(20));
    assert_eq!(liveness_at(&fleet, 0, 3), Some(Liveness::Removed));
    assert!(
        fleet.time_to_agreement(PATIENCE).is_some(),
        "{:?}",
        fleet.disagreement()
    );
}

#[test]
fn tick_zone_partition_heals() {
    let mut fleet = settled(9, 4);
    fleet.cut_zone(1);
    fleet.run_for(Duration::from_secs(60));
    assert_eq!(liveness_at(&fleet, 0, 1), Some(Liveness::Removed));
    fleet.heal();
    assert!(
        fleet.time_to_agreement(PATIENCE).is_some(),
        "{:?}",
        fleet.disagreement()
    );
}

#[test]
fn receive_later_life_supersedes() {
    let mut fleet = settled(9, 5);
    let stale = fleet.nodes[2].state.take();
    fleet.start(2);
    assert!(
        fleet.time_to_agreement(PATIENCE).is_some(),
        "{:?}",
        fleet.disagreement()
    );
    let current = fleet.nodes[2].incarnation;
    let mut stale = stale.expect("the first life ran");
    for outcome in stale.tick(fleet.now, &mut fleet.rng) {
        fleet.act(2, None, outcome);
    }
    fleet.run_for(Duration::from_secs(10));
    let seen = fleet.nodes[0]
        .state
        .as_ref()
        .and_then(|state| state.get(&member(2, 1).router));
    assert_eq!(seen.map(|member| member.incarnation), Some(current));
    let heartbeat = Heartbeat {
        sender: Some(MemberRecord::whole(&member(0, 9))),
        updates: vec![MemberRecord::whole(&member(2, current))],
        ..Heartbeat::default()
    };
    stale.receive(&heartbeat, fleet.now, &mut fleet.rng);
    assert!(stale.is_superseded());
}

#[test]
fn observe_vms_leaving_reaches_router_and_returns() {
    let mut fleet = settled(9, 6);
    let vm = |index: usize, state| Vm {
        address: address(index, 7_000),
        zone: member(index, 1).zone,
        state,
    };
    let mut watcher = fleet.nodes[0].state.take().expect("the watcher runs");
    for outcome in watcher.observe_vms(&[vm(7, VmState::Leaving)]) {
        fleet.act(0, None, outcome);
    }
    fleet.nodes[0].state = Some(watcher);
    assert!(fleet.time_to_agreement(PATIENCE).is_some());
    let leaving = |fleet: &Fleet, viewer: usize| {
        let state = fleet.nodes[viewer].state.as_ref().expect("the viewer runs");
        state.get(&member(7, 1).router).map(|member| member.leaving)
    };
    assert_eq!(leaving(&fleet, 3), Some(true));
    let own = fleet.nodes[7].state.as_mut().expect("the router runs");
    own.observe_vms(&[vm(7, VmState::Running)]);
    assert!(fleet.time_to_agreement(PATIENCE).is_some());
    assert_eq!(leaving(&fleet, 3), Some(false));
}

#[test]
fn receive_malformed_records_are_ignored() {
    let mut fleet = settled(3, 7);
    let state = fleet.nodes[0].state.as_mut().expect("the router runs");
    let generation = state.generation();
    let mut nameless = MemberRecord::whole(&member(1, u64::MAX));
    nameless.zone.clear();
    let mut odd = MemberRecord::whole(&member(1, u64::MAX));
    odd.liveness = 9;
    let heartbeat = Heartbeat {
        sender: Some(MemberRecord::whole(&member(1, 1))),
        updates: vec![nameless, odd],
        ..Heartbeat::default()
    };
    state.receive(&heartbeat, fleet.now, &mut fleet.rng);
    assert_eq!(state.generation(), generation);
}

#[test]
fn owner_of_lost_member_moves_only_its_share() {
    let members: Vec<RouterId> = (0..9).map(|index| member(index, 1).router).collect();
    let rest: Vec<RouterId> = members[1..].to_vec();
    let mut owned = [0_u32; 9];
    for key in 0..9_000_u64 {
        let hash = xxh3_64(&key.to_le_bytes());
        let owner = owner_of(hash, &members).expect("there are members");
        let index = members
            .iter()
            .position(|router| router == owner)
            .expect("is a member");
        owned[index] += 1;
        let next = owner_of(hash, &rest).expect("there are members");
        assert!(owner == next || *owner == members[0]);
    }
    assert!(
        owned.iter().all(|count| (800..1_200).contains(count)),
        "{owned:?}"
    );
}

#[test]
fn watchers_of_are_distinct_members() {
    let members: Vec<RouterId> = (0..9).map(|index| member(index, 1).router).collect();
    let watchers: BTreeSet<_> = watchers_of(3, &members, 2).into_iter().collect();
    assert_eq!(watchers.len(), 2);
    assert_eq!(watchers_of(3, &members[..1], 2).len(), 1);
}

#[yare::parameterized(
    rises = { LoadLevel::Normal, 80, LoadLevel::Busy },
    stays_above_exit = { LoadLevel::Busy, 65, LoadLevel::Busy },
    falls = { LoadLevel::Busy, 59, LoadLevel::Normal },
    fills = { LoadLevel::Normal, 99, LoadLevel::Full },
    stays_full = { LoadLevel::Full, 90, LoadLevel::Full },
    empties = { LoadLevel::Full, 10, LoadLevel::Normal },
)]
fn next_load(from: LoadLevel, percent: u32, expected: LoadLevel) {
    assert_eq!(from.next(percent), expected);
}

#[test]
fn fingers_every_router_is_probed_by_as_many() {
    let members: Vec<RouterId> = (0..400).map(|index| member(index, 1).router).collect();
    let ring = Ring::new(&members);
    let mut probed = std::collections::BTreeMap::new();
    for router in &members {
        for finger in ring.fingers(router) {
            *probed.entry(finger).or_insert(0) += 1;
        }
    }
    assert_eq!(probed.len(), 400);
    assert!(probed.values().all(|count| *count == 9));
}
