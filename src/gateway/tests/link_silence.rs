//! Direct links that are silent, replayed without a network.

use super::ms;
use crate::gateway::link_silence::{LinkSilence, LinkUse, SilenceChange};

const REPLICAS: usize = 4;

/// Returns links on which two replicas have not answered requests of 0.3 and 0.4 s.
fn unanswered_links() -> LinkSilence {
    let mut links = LinkSilence::default();
    links.responded(ms(200));
    links.sent(1, ms(300));
    links.sent(2, ms(400));
    links
}

fn next_use(links: &mut LinkSilence, now_ms: u64) -> LinkUse {
    links.next_use(REPLICAS, false, ms(now_ms))
}

#[test]
fn next_use_several_silent_replicas_are_relayed_until_one_responds() {
    let mut links = unanswered_links();
    assert_eq!(next_use(&mut links, 1_400), LinkUse::Direct);
    assert_eq!(next_use(&mut links, 1_500), LinkUse::Relayed);
    assert!(!links.is_confirmed());
    assert_eq!(links.relayed_responded(), Some(SilenceChange::Confirmed));
    assert_eq!(links.relayed_responded(), None);
    assert!(links.is_confirmed());
    assert_eq!(next_use(&mut links, 4_000), LinkUse::Relayed);
    assert_eq!(
        links.responded(ms(5_500)),
        Some(SilenceChange::Ended(ms(4_000)))
    );
    assert_eq!(next_use(&mut links, 5_500), LinkUse::Direct);
}

/// A sound replica may be silent for a second or so.
#[test]
fn next_use_one_silent_replica_of_several_is_direct() {
    let mut links = LinkSilence::default();
    links.sent(1, ms(300));
    links.sent(1, ms(400));
    assert_eq!(next_use(&mut links, 2_500), LinkUse::Direct);
    assert_eq!(links.next_use(1, false, ms(2_500)), LinkUse::Relayed);
}

#[test]
fn next_use_other_replicas_respond_is_direct() {
    let mut links = unanswered_links();
    for now_ms in (1_000..4_000).step_by(100) {
        links.responded(ms(now_ms));
        links.sent(3, ms(now_ms));
        links.sent(4, ms(now_ms));
        assert_eq!(next_use(&mut links, now_ms + 90), LinkUse::Direct);
    }
}

/// All replicas of a full service respond late, to other routers too.
#[test]
fn next_use_suspicion_ends_with_a_late_response() {
    let mut links = unanswered_links();
    assert_eq!(next_use(&mut links, 1_600), LinkUse::Relayed);
    assert_eq!(links.responded(ms(1_700)), None, "it was not confirmed");
    assert_eq!(next_use(&mut links, 1_700), LinkUse::Direct);
}

#[test]
fn next_use_repeatable_request_tries_the_links_once_a_second() {
    let mut links = unanswered_links();
    assert_eq!(next_use(&mut links, 1_500), LinkUse::Relayed);
    links.relayed_responded();
    let trials: Vec<u64> = (1_500..5_000)
        .step_by(10)
        .filter(|now_ms| links.next_use(REPLICAS, true, ms(*now_ms)) == LinkUse::Direct)
        .collect();
    assert_eq!(trials, [2_500, 3_500, 4_500]);
}

#[test]
fn next_use_verdict_expires_without_trials() {
    let mut links = unanswered_links();
    assert_eq!(next_use(&mut links, 1_500), LinkUse::Relayed);
    links.relayed_responded();
    assert_eq!(next_use(&mut links, 11_400), LinkUse::Relayed);
    assert_eq!(next_use(&mut links, 11_500), LinkUse::Direct);
}
