use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;
use yare::parameterized;

use super::*;
use crate::id::RouterId;
use crate::protocol::{Vm, VmState};

pub(crate) mod fleet;
mod leaving;
mod random;
mod traffic;

use self::fleet::{Fleet, address, member};

const TIMEOUT: Duration = Duration::from_secs(120);

fn converged_fleet(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(size, seed);
    let convergence_time = fleet.time_to_convergence(TIMEOUT);
    assert!(convergence_time.is_some(), "{:?}", fleet.divergence());
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
    let mut fleet = converged_fleet(9, 1);
    fleet.crash(4);
    let begin = fleet.now;
    let mut suspected = None;
    while (0..9).all(|viewer| liveness_at(&fleet, viewer, 4) != Some(Liveness::Removed)) {
        fleet.step();
        if (0..9).any(|viewer| liveness_at(&fleet, viewer, 4) == Some(Liveness::Suspected)) {
            suspected.get_or_insert(fleet.now);
        }
        assert!(
            fleet.now - begin < TIMEOUT,
            "the crashed router is not removed"
        );
    }
    let suspected = suspected.expect("the router is suspected before it is removed");
    assert!(fleet.now - suspected >= MembershipOptions::default().suspicion_timeout);
}

#[test]
fn tick_one_way_failure_is_covered_by_indirect_probes() {
    let mut fleet = converged_fleet(9, 2);
    fleet.blocked_links.insert((1, 5));
    for _ in 0..1_200 {
        fleet.step();
        for viewer in 0..9 {
            assert_eq!(liveness_at(&fleet, viewer, 5), Some(Liveness::Alive));
        }
    }
}

#[test]
fn tick_paused_router_refutes() {
    let mut fleet = converged_fleet(9, 3);
    fleet.nodes[3].paused_until = fleet.now + Duration::from_secs(20);
    fleet.run_for(Duration::from_secs(20));
    assert_eq!(liveness_at(&fleet, 0, 3), Some(Liveness::Removed));
    assert!(
        fleet.time_to_convergence(TIMEOUT).is_some(),
        "{:?}",
        fleet.divergence()
    );
}

#[test]
fn tick_zone_partition_heals() {
    let mut fleet = converged_fleet(9, 4);
    fleet.partition_zone(1);
    fleet.run_for(Duration::from_secs(60));
    assert_eq!(liveness_at(&fleet, 0, 1), Some(Liveness::Removed));
    fleet.heal();
    assert!(
        fleet.time_to_convergence(TIMEOUT).is_some(),
        "{:?}",
        fleet.divergence()
    );
}

#[test]
fn receive_newer_incarnation_supersedes() {
    let mut fleet = converged_fleet(9, 5);
    let stale = fleet.nodes[2].state.take();
    fleet.start(2);
    assert!(
        fleet.time_to_convergence(TIMEOUT).is_some(),
        "{:?}",
        fleet.divergence()
    );
    let current = fleet.nodes[2].incarnation;
    let mut stale = stale.expect("the first incarnation ran");
    for action in stale.tick(fleet.now, &mut fleet.rng) {
        fleet.perform(2, None, action);
    }
    fleet.run_for(Duration::from_secs(10));
    let seen = fleet.nodes[0]
        .state
        .as_ref()
        .and_then(|state| state.get(&member(2, 1).router));
    assert_eq!(seen.map(|member| member.incarnation), Some(current));
    let heartbeat = Heartbeat {
        sender: Some(MemberRecord::full(&member(0, 9))),
        updates: vec![MemberRecord::full(&member(2, current))],
        ..Heartbeat::default()
    };
    stale.receive(&heartbeat, fleet.now, &mut fleet.rng);
    assert!(stale.is_superseded());
}

/// A record with the highest version can't be refuted, and raising the own version above it ended the control thread.
#[parameterized(
    highest = { u64::MAX },
    next_to_highest = { u64::MAX - 1 },
)]
fn receive_own_record_with_an_implausible_version_is_ignored(version: u64) {
    let mut fleet = converged_fleet(3, 8);
    let mut own = member(0, fleet.nodes[0].incarnation);
    own.version = version;
    own.liveness = Liveness::Suspected;
    let heartbeat = Heartbeat {
        sender: Some(MemberRecord::full(&member(1, 9))),
        updates: vec![MemberRecord::full(&own)],
        ..Heartbeat::default()
    };
    let (now, nodes, rng) = (fleet.now, &mut fleet.nodes, &mut fleet.rng);
    for node in nodes {
        let state = node.state.as_mut().expect("all routers run");
        state.receive(&heartbeat, now, rng);
        state.leave();
    }
    assert_eq!(liveness_at(&fleet, 0, 0), Some(Liveness::Alive));
    assert_eq!(liveness_at(&fleet, 2, 0), Some(Liveness::Alive));
}

/// A record of a router at the highest version that is accepted must be refutable, or the router stays locked out.
#[test]
fn receive_own_record_with_the_highest_accepted_version_is_refuted() {
    let mut fleet = converged_fleet(3, 8);
    let mut own = member(0, fleet.nodes[0].incarnation);
    own.version = 1 << 32;
    own.liveness = Liveness::Suspected;
    let heartbeat = Heartbeat {
        sender: Some(MemberRecord::full(&member(1, 9))),
        updates: vec![MemberRecord::full(&own)],
        ..Heartbeat::default()
    };
    let (now, nodes, rng) = (fleet.now, &mut fleet.nodes, &mut fleet.rng);
    for node in nodes {
        let state = node.state.as_mut().expect("all routers run");
        state.receive(&heartbeat, now, rng);
    }
    assert_eq!(liveness_at(&fleet, 2, 0), Some(Liveness::Suspected));
    fleet.run_for(Duration::from_secs(5));
    assert_eq!(liveness_at(&fleet, 2, 0), Some(Liveness::Alive));
}

#[test]
fn observe_vms_leaving_is_gossiped_and_reverted() {
    let mut fleet = converged_fleet(9, 6);
    let vm = |index: usize, state| Vm {
        address: address(index, 7_000),
        zone: member(index, 1).zone,
        state,
    };
    let mut watcher = fleet.nodes[0].state.take().expect("the watcher runs");
    for action in watcher.observe_vms(&[vm(7, VmState::Leaving)]) {
        fleet.perform(0, None, action);
    }
    fleet.nodes[0].state = Some(watcher);
    assert!(fleet.time_to_convergence(TIMEOUT).is_some());
    let leaving = |fleet: &Fleet, viewer: usize| {
        let state = fleet.nodes[viewer].state.as_ref().expect("the viewer runs");
        state.get(&member(7, 1).router).map(|member| member.leaving)
    };
    assert_eq!(leaving(&fleet, 3), Some(true));
    let own = fleet.nodes[7].state.as_mut().expect("the router runs");
    own.observe_vms(&[vm(7, VmState::Running)]);
    assert!(fleet.time_to_convergence(TIMEOUT).is_some());
    assert_eq!(leaving(&fleet, 3), Some(false));
}

#[test]
fn receive_malformed_records_are_ignored() {
    let mut fleet = converged_fleet(3, 7);
    let state = fleet.nodes[0].state.as_mut().expect("the router runs");
    let generation = state.generation();
    let mut without_zone = MemberRecord::full(&member(1, u64::MAX));
    without_zone.zone.clear();
    let mut unknown_liveness = MemberRecord::full(&member(1, u64::MAX));
    unknown_liveness.liveness = 9;
    let heartbeat = Heartbeat {
        sender: Some(MemberRecord::full(&member(1, 1))),
        updates: vec![without_zone, unknown_liveness],
        ..Heartbeat::default()
    };
    state.receive(&heartbeat, fleet.now, &mut fleet.rng);
    assert_eq!(state.generation(), generation);
}

#[test]
fn owner_of_removed_member_moves_only_its_keys() {
    let members: Vec<RouterId> = (0..9).map(|index| member(index, 1).router).collect();
    let rest: Vec<RouterId> = members[1..].to_vec();
    let mut keys_by_owner = [0_u32; 9];
    for key in 0..9_000_u64 {
        let hash = xxh3_64(&key.to_le_bytes());
        let owner = owner_of(hash, &members).expect("there are members");
        let index = members
            .iter()
            .position(|router| router == owner)
            .expect("the owner is a member");
        keys_by_owner[index] += 1;
        let new_owner = owner_of(hash, &rest).expect("there are members");
        assert!(owner == new_owner || *owner == members[0]);
    }
    assert!(
        keys_by_owner
            .iter()
            .all(|count| (800..1_200).contains(count)),
        "{keys_by_owner:?}"
    );
}

#[test]
fn watchers_of_returns_distinct_members() {
    let members: Vec<RouterId> = (0..9).map(|index| member(index, 1).router).collect();
    let watchers: BTreeSet<_> = watchers_of(3, &members, 2).into_iter().collect();
    assert_eq!(watchers.len(), 2);
    assert_eq!(watchers_of(3, &members[..1], 2).len(), 1);
}

#[yare::parameterized(
    enters_busy = { LoadLevel::Normal, 80, LoadLevel::Busy },
    stays_busy = { LoadLevel::Busy, 65, LoadLevel::Busy },
    leaves_busy = { LoadLevel::Busy, 59, LoadLevel::Normal },
    enters_full = { LoadLevel::Normal, 99, LoadLevel::Full },
    stays_full = { LoadLevel::Full, 90, LoadLevel::Full },
    leaves_full = { LoadLevel::Full, 10, LoadLevel::Normal },
)]
fn next_load(from: LoadLevel, percent: u32, expected: LoadLevel) {
    assert_eq!(from.next(percent), expected);
}

#[test]
fn fingers_every_router_is_probed_by_equally_many() {
    let members: Vec<RouterId> = (0..400).map(|index| member(index, 1).router).collect();
    let ring = Ring::new(&members);
    let mut probes_per_router = std::collections::BTreeMap::new();
    for router in &members {
        for finger in ring.fingers(router) {
            *probes_per_router.entry(finger).or_insert(0) += 1;
        }
    }
    assert_eq!(probes_per_router.len(), 400);
    assert!(probes_per_router.values().all(|count| *count == 9));
}
