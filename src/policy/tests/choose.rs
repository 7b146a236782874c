use super::super::{Candidate, Choice, Deciding, OwnerReply, Placement, PoolView, choose};
use super::*;
use crate::preference::Preference;
use crate::prefix::Opening;

fn opening() -> Opening {
    Opening {
        levels: smallvec![levels(7)[0], levels(7)[1]],
        shared_level: 1,
        prompt_tokens: 14_400,
        ..Opening::default()
    }
}

fn pool(change: impl Fn(usize, &mut ReplicaView)) -> PoolView {
    let mut replicas = replicas(4);
    for (index, replica) in replicas.iter_mut().enumerate() {
        change(index, replica);
    }
    let cells = cells_of(&replicas);
    PoolView::new(replicas, cells)
}

fn reply(pool: &PoolView, positions: &[usize]) -> OwnerReply {
    let candidates = positions.iter().map(|&p| Candidate {
        instance: pool.replicas()[p].instance(),
        warm_tokens: 14_000,
        wait: ms(20),
    });
    OwnerReply {
        candidates: candidates.collect(),
        ..OwnerReply::default()
    }
}

fn decide(pool: &PoolView, reply: Option<&OwnerReply>, deciding: Deciding) -> Choice {
    let preference = Preference::default();
    choose(
        pool,
        &opening(),
        reply,
        &preference,
        deciding,
        secs(1),
        &mut rng(1),
    )
}

fn placement(choice: Choice) -> Placement {
    match choice {
        Choice::Replica(placement) => *placement,
        other => panic!("no replica was chosen: {other:?}"),
    }
}

#[test]
fn choose_owners_first_candidate_stands() {
    let pool = pool(|_, _| {});
    let reply = reply(&pool, &[2, 0]);
    let placement = placement(decide(&pool, Some(&reply), Deciding::default()));
    assert_eq!((placement.position, placement.is_owners), (2, true));
    assert_eq!(placement.expected_ttft, ms(40));
    assert_eq!(placement.considered.len(), 2);
}

#[yare::parameterized(
    ejected = { |_, r: &mut ReplicaView| r.is_available = false },
    decodes_only = { |_, r: &mut ReplicaView| r.role = ReplicaRole::Decode },
)]
fn choose_unfit_candidate_gives_way(change: fn(usize, &mut ReplicaView)) {
    let pool = pool(|i, r| {
        if i == 2 {
            change(i, r)
        }
    });
    let reply = reply(&pool, &[2, 0]);
    let placement = placement(decide(&pool, Some(&reply), Deciding::default()));
    assert_eq!((placement.position, placement.is_owners), (0, false));
}

#[yare::parameterized(
    dead = { |r: &mut ReplicaView| r.incarnation = 2 },
    older_weights = { |r: &mut ReplicaView| r.weights_version = 2 },
)]
fn choose_candidate_of_other_instance_is_not_relied_on(change: fn(&mut ReplicaView)) {
    let before = pool(|_, _| {});
    let reply = reply(&before, &[2]);
    let after = pool(|i, r| {
        if i == 2 {
            change(r)
        }
    });
    let placement = placement(decide(&after, Some(&reply), Deciding::default()));
    assert!(!placement.is_owners);
}

#[test]
fn choose_without_reply_takes_a_home() {
    let pool = pool(|_, _| {});
    let placement = placement(decide(&pool, None, Deciding::default()));
    let homes = pool.cells().homes_of(0, 7, 2);
    assert!(homes.contains(&placement.position));
}

#[test]
fn choose_excluded_replica_is_left_out() {
    let pool = pool(|i, r| r.is_available = i == 2);
    let deciding = Deciding {
        excluded: Some(pool.replicas()[2].instance()),
        ..Deciding::default()
    };
    assert_eq!(decide(&pool, None, deciding), Choice::NoReplica);
}

#[test]
fn choose_past_deadline_sheds() {
    let pool = pool(|_, r| r.busy_until = secs(100));
    let choice = decide(&pool, None, Deciding::default());
    assert!(matches!(choice, Choice::Shed { expected_ttft } if expected_ttft >= secs(99)));
}
