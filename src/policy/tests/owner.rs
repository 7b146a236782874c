use rand::RngExt;

use super::super::{Learning, Observation, OwnerView};
use super::*;

fn view(count: usize) -> OwnerView {
    let replicas = replicas(count);
    let cells = cells_of(&replicas);
    let mut view = OwnerView::new(Learning::default());
    view.set_replicas(&replicas, cells);
    view
}

#[test]
fn answer_second_request_goes_where_it_is_warm() {
    let mut view = view(8);
    let first = view.answer(&lookup(1, 7), secs(1), &mut rng(1));
    let second = view.answer(&lookup(2, 7), secs(5), &mut rng(2));
    assert_eq!(first.candidates[0].warm_tokens, 0);
    assert_eq!(second.candidates[0].instance, first.candidates[0].instance);
    assert_eq!(second.candidates[0].warm_tokens, 14_000);
}

#[test]
fn answer_probe_places_nothing() {
    let mut view = view(8);
    let mut probe = lookup(1, 7);
    probe.is_probe = true;
    view.answer(&probe, secs(1), &mut rng(1));
    let reply = view.answer(&lookup(2, 7), secs(1), &mut rng(2));
    assert_eq!(reply.candidates[0].warm_tokens, 0);
    assert_eq!(reply.candidates[0].wait, Duration::ZERO);
}

#[test]
fn answer_hot_opening_spreads_in_a_second_and_shrinks_again() {
    let mut view = view(8);
    let mut used = std::collections::HashSet::new();
    for request in 0..200_u32 {
        let now = secs(1) + ms(u64::from(request) * 5);
        let reply = view.answer(&lookup(request, 7), now, &mut rng(request.into()));
        used.insert(reply.candidates[0].instance);
    }
    assert!(used.len() >= 4, "{used:?}");
    let mut later = std::collections::HashSet::new();
    for request in 0..20_u32 {
        let now = secs(60 + u64::from(request));
        let reply = view.answer(&lookup(1_000 + request, 7), now, &mut rng(3));
        later.insert(reply.candidates[0].instance);
    }
    assert!(later.len() <= 2, "{later:?}");
}

#[test]
fn answer_herd_of_cold_openings_spreads() {
    let mut view = view(8);
    let mut counts = std::collections::HashMap::new();
    for request in 0..80_u32 {
        let reply = view.answer(
            &lookup(request, u64::from(request) + 10),
            secs(1),
            &mut rng(4),
        );
        *counts.entry(reply.candidates[0].instance).or_insert(0) += 1;
    }
    assert!(counts.values().all(|&c| c <= 15), "{counts:?}");
}

#[test]
fn record_peers_placements_give_the_same_model() {
    let (mut owner, mut peer) = (view(8), view(8));
    let reply = owner.answer(&lookup(1, 7), secs(1), &mut rng(1));
    peer.record(&Observation::Placed {
        request: 1,
        levels: lookup(1, 7).levels,
        prompt_tokens: 14_400,
        instance: reply.candidates[0].instance,
        at: secs(1),
    });
    let (one, other) = (
        owner.answer(&lookup(2, 7), secs(3), &mut rng(1)),
        peer.answer(&lookup(2, 7), secs(3), &mut rng(1)),
    );
    assert_eq!(one.candidates[0], other.candidates[0]);
}

#[yare::parameterized(
    restart = { 2, 1 },
    new_weights = { 1, 2 },
)]
fn set_identity_forgets_the_old_life(incarnation: u64, weights_version: u64) {
    let mut view = view(1);
    let old = view.answer(&lookup(1, 7), secs(1), &mut rng(1)).candidates[0];
    view.set_identity(0, incarnation, weights_version);
    let new = view.answer(&lookup(2, 7), secs(2), &mut rng(1)).candidates[0];
    assert_ne!(old.instance, new.instance);
    assert_eq!(new.warm_tokens, 0);
    view.record(&Observation::Finished {
        request: 1,
        instance: old.instance,
        at: secs(3),
    });
    assert_eq!(view.unknown_instances(), 1);
}

#[test]
fn import_restores_what_a_peer_exported() {
    let (mut peer, mut restarted) = (view(8), view(8));
    let placed = peer.answer(&lookup(1, 7), secs(1), &mut rng(1)).candidates[0];
    for chunk in peer.export(1, 0, secs(2)) {
        restarted.import(&chunk, secs(2));
    }
    let reply = restarted.answer(&lookup(2, 7), secs(3), &mut rng(1));
    assert_eq!(reply.candidates[0].instance, placed.instance);
    assert_eq!(reply.candidates[0].warm_tokens, 14_000);
}

#[test]
fn import_chunk_of_dead_instance_changes_nothing() {
    let (mut peer, mut restarted) = (view(1), view(1));
    peer.answer(&lookup(1, 7), secs(1), &mut rng(1));
    restarted.set_identity(0, 2, 1);
    for chunk in peer.export(1, 0, secs(2)) {
        restarted.import(&chunk, secs(2));
    }
    let reply = restarted.answer(&lookup(2, 7), secs(3), &mut rng(1));
    assert_eq!(reply.candidates[0].warm_tokens, 0);
}

/// Drives a view with random events; the view's own assertions are the checks, and an answer never names an instance
/// that is not the present one.
#[test]
fn answer_random_events_names_present_instances_only() {
    for seed in 0..u64::from(cases(20)) {
        let mut random = rng(seed);
        let mut view = view(6);
        let mut identities = [(1_u64, 1_u64); 6];
        let mut placed = Vec::new();
        for step in 0..400_u32 {
            let now = ms(u64::from(step) * 50);
            let replica = random.random_range(0..6);
            match random.random_range(0..10) {
                0 => {
                    identities[replica].0 += 1;
                    view.set_identity(replica, identities[replica].0, identities[replica].1);
                }
                1 => {
                    identities[replica].1 += 1;
                    view.set_identity(replica, identities[replica].0, identities[replica].1);
                }
                2 => view.set_available(replica, random.random()),
                3..=4 if !placed.is_empty() => {
                    let (request, instance) = placed[random.random_range(0..placed.len())];
                    let cached_tokens = Some(random.random_range(0..14_400));
                    view.record(&Observation::Answered {
                        request,
                        instance,
                        cached_tokens,
                        at: now,
                    });
                }
                _ => {
                    let manual = random.random_range(2..40);
                    let reply = view.answer(&lookup(step, manual), now, &mut random);
                    let pool = view.pool_view();
                    for candidate in &reply.candidates {
                        let position = pool.position_of(candidate.instance);
                        let position = position.expect("a candidate is a present instance");
                        assert!(pool.replicas()[position].is_available, "seed {seed}");
                    }
                    placed.extend(reply.candidates.first().map(|c| (step, c.instance)));
                }
            }
        }
    }
}
