use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::membership::Liveness;
use crate::membership::tests::fleet::{Fleet, address, member};

const LIFE: Duration = Duration::from_secs(10);

fn members(count: usize) -> Vec<Member> {
    (0..count).map(|index| member(index, 1)).collect()
}

fn plan(members: &[Member], seed: u64) -> Directory {
    plan_at(members, 0, seed)
}

fn plan_at(members: &[Member], own: usize, seed: u64) -> Directory {
    let own = member(own, 1).router;
    Directory::new(members, &own, LIFE, &mut ChaCha8Rng::seed_from_u64(seed))
}

fn listed(answer: &Entries) -> BTreeSet<SocketAddr> {
    answer.entries.iter().map(|entry| entry.address).collect()
}

#[yare::parameterized(
    leaving = { |member: &mut Member| member.leaving = true },
    suspected = { |member: &mut Member| member.liveness = Liveness::Suspected },
)]
fn answer_without(change: fn(&mut Member)) {
    let mut members = members(9);
    change(&mut members[4]);
    let directory = plan(&members, 1);
    for _ in 0..100 {
        assert!(!listed(&directory.answer(None)).contains(&address(4, 8_000)));
    }
}

#[test]
fn answer_only_suspected_left_are_named() {
    let mut members = members(3);
    for member in &mut members {
        member.liveness = Liveness::Suspected;
    }
    assert_eq!(plan(&members, 1).answer(None).entries.len(), 3);
}

#[test]
fn answer_second_address_in_other_zone() {
    let directory = plan(&members(9), 1);
    for _ in 0..72 {
        let answer = directory.answer(None);
        assert_ne!(answer.entries[0].zone, answer.entries[1].zone);
        assert_eq!(listed(&answer).len(), 9);
    }
}

#[test]
fn answer_zone_kept_while_it_has_room() {
    let mut members = members(9);
    let directory = plan(&members, 1);
    for _ in 0..72 {
        assert_eq!(&*directory.answer(Some("yaba")).entries[0].zone, "yaba");
    }
    for member in members.iter_mut().filter(|member| &*member.zone == "yaba") {
        member.load = LoadLevel::Full;
    }
    let directory = plan(&members, 1);
    let first_in_yaba = (0..72)
        .filter(|_| &*directory.answer(Some("yaba")).entries[0].zone == "yaba")
        .count();
    assert!(first_in_yaba < 10, "{first_in_yaba}");
}

#[test]
fn answer_busy_router_gets_fewer_turns() {
    let mut members = members(9);
    members[2].load = LoadLevel::Busy;
    let directory = plan(&members, 1);
    let mut firsts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for _ in 0..(8 * 8 + 3) {
        *firsts
            .entry(directory.answer(None).entries[0].address)
            .or_default() += 1;
    }
    assert_eq!(firsts[&address(2, 8_000)], 3);
    assert_eq!(firsts[&address(3, 8_000)], 8);
}

/// How often a router hears how active each other is, in seconds.
const HEARD_EVERY: usize = 4;

/// Returns the requests at the busiest VM over the mean, as the mean and the worst over many seconds.
///
/// Callers ask the router that they are connected to, about every ten seconds; where `skewed`, a tenth of them makes half
/// the requests.
fn spread(callers: usize, skewed: bool, zones: &[Option<&str>], seed: u64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut heard = vec![members(9); 9];
    let mut place: Vec<usize> = vec![0; callers];
    let requests = |caller: usize| {
        if skewed && caller.is_multiple_of(10) {
            9
        } else {
            1
        }
    };
    let total: usize = (0..callers).map(requests).sum();
    let mut ratios = Vec::new();
    for second in 0..600_usize {
        let mut active = [0; 9];
        for (caller, router) in place.iter().enumerate() {
            active[*router] += requests(caller);
        }
        ratios.push(active.into_iter().max().unwrap_or_default() as f64 / (total as f64 / 9.0));
        for (index, view) in heard.iter_mut().enumerate() {
            for (other, member) in view.iter_mut().enumerate() {
                if other == index || (second + other + index) % HEARD_EVERY == 0 {
                    member.activity = active[other] as u32;
                }
            }
        }
        let plans: Vec<Directory> = (0..9)
            .map(|index| plan_at(&heard[index], index, rng.random()))
            .collect();
        for (caller, router) in place.iter_mut().enumerate() {
            if second == 0 || rng.random_range(0..10) == 0 {
                let zone = zones[caller % zones.len()];
                let first = plans[*router].answer(zone).entries[0].address;
                *router = (0..9)
                    .find(|index| address(*index, 8_000) == first)
                    .expect("is listed");
            }
        }
    }
    ratios.drain(..60);
    let worst = ratios.iter().copied().fold(0.0, f64::max);
    (ratios.iter().sum::<f64>() / ratios.len() as f64, worst)
}

#[yare::parameterized(
    ninety = { 90, false },
    nine_hundred = { 900, false },
    nine_hundred_skewed = { 900, true },
    nine_thousand = { 9_000, false },
    nine_thousand_skewed = { 9_000, true },
)]
fn answer_spreads_requests(callers: usize, skewed: bool) {
    for zones in [&[None][..], &[Some("ikeja"), Some("yaba"), Some("apapa")]] {
        let (mean, worst) = spread(callers, skewed, zones, 5);
        println!(
            "{callers} callers, skewed {skewed}, {} zones: busiest over mean {mean:.3} on average, {worst:.3} at worst",
            zones.len()
        );
        assert!(worst <= 1.25, "{worst}");
    }
}

#[yare::parameterized(nine = { 9 }, ninety = { 90 })]
fn answer_lost_zone_is_left_out(size: usize) {
    let mut fleet = Fleet::new(size, 8);
    assert!(fleet.time_to_agreement(Duration::from_secs(120)).is_some());
    let begin = fleet.now;
    let lost: BTreeSet<SocketAddr> = (0..size)
        .filter(|index| index % 3 == 1)
        .map(|index| address(index, 8_000))
        .collect();
    for index in (0..size).filter(|index| index % 3 == 1) {
        fleet.crash(index);
    }
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let names_lost = |fleet: &Fleet, rng: &mut ChaCha8Rng| {
        let states = fleet.nodes.iter().filter_map(|node| node.state.as_ref());
        states
            .map(|state| Directory::new(state.members(), &state.own().router, LIFE, rng))
            .any(|directory| {
                directory
                    .entries
                    .iter()
                    .any(|entry| lost.contains(&entry.address))
            })
    };
    while names_lost(&fleet, &mut rng) {
        fleet.step();
        assert!(
            fleet.now - begin < Duration::from_secs(60),
            "a lost VM stays listed"
        );
    }
    println!(
        "{size} members: a lost zone is out of every answer after {:?}",
        fleet.now - begin
    );
}
