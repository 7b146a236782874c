//! Single decisions of an owner and of a router.

use std::collections::HashMap;

use yare::parameterized;

use super::{ACCOUNT, charge, limit, ms};
use crate::gateway::quota::grants::{Acquired, QuotaGrants, QuotaStep};
use crate::gateway::quota::message::{QuotaReply, QuotaRequest};
use crate::gateway::quota::owner::QuotaOwner;
use crate::gateway::quota::{AccountQuota, QuotaLimit, QuotaUnit};

fn request(costs: &[u32]) -> QuotaRequest {
    QuotaRequest {
        account: ACCOUNT,
        costs: costs.to_vec(),
        ..QuotaRequest::default()
    }
}

/// Returns an owner whose bucket of 1,000 per second and 500 at once is full, at the time of 1 s.
fn full_owner() -> (QuotaOwner, QuotaLimit) {
    let limit = limit(1_000.0, 500.0);
    let mut owner = QuotaOwner::new(ms(0));
    assert_eq!(owner.request(&request(&[]), limit, ms(0)).granted, 0);
    for time in [400, 800, 1_000] {
        owner.tick(ms(time));
    }
    (owner, limit)
}

/// A request that costs more than the burst would never be granted without debt.
#[test]
fn request_above_burst_leaves_debt() {
    let (mut owner, limit) = full_owner();
    let reply = owner.request(&request(&[2_000]), limit, ms(1_000));
    assert_eq!(reply.granted, 2_000);
    let reply = owner.request(&request(&[100]), limit, ms(1_000));
    assert_eq!(
        (reply.granted, &reply.retry_after_ms[..]),
        (0, &[1_600][..])
    );
}

/// Many small parts of a fleet that each grant one large request into debt exceed the quota together.
#[test]
fn request_above_burst_is_denied_in_a_small_part_of_the_fleet() {
    let (mut owner, limit) = full_owner();
    owner.set_owned(&HashMap::from([(ACCOUNT, limit)]), 0.25, ms(1_000));
    for time in (1_000..=9_000).step_by(400) {
        owner.tick(ms(time));
    }
    assert_eq!(owner.request(&request(&[126]), limit, ms(9_000)).granted, 0);
    assert_eq!(
        owner.request(&request(&[125]), limit, ms(9_000)).granted,
        125
    );
}

/// Those who are denied first return first, and each finds the credit that the ones before have left.
#[test]
fn denied_requests_return_in_order() {
    let (mut owner, limit) = full_owner();
    let reply = owner.request(&request(&[500, 200, 200]), limit, ms(1_000));
    assert_eq!(reply.granted, 500);
    assert_eq!(reply.retry_after_ms, [0, 200, 400]);
    let reply = owner.request(&request(&[100]), limit, ms(1_000));
    assert_eq!(reply.retry_after_ms, [500]);
}

/// An owner that was paused grants nothing for that time, also before its next tick: another router may have granted.
#[test]
fn paused_owner_starts_without_credit() {
    let (mut owner, limit) = full_owner();
    let reply = owner.request(&request(&[100]), limit, ms(1_600));
    assert_eq!((reply.granted, reply.retry_after_ms.len()), (0, 1));
}

/// A reply that is malformed, late or from a router that is not the owner grants nothing.
#[parameterized(
    empty = { QuotaReply::default(), 10 },
    too_small = { QuotaReply { granted: 99, ..QuotaReply::default() }, 10 },
    other_router = { QuotaReply { granted: 100, is_not_owner: true, ..QuotaReply::default() }, 10 },
    late = { QuotaReply { granted: 100, ..QuotaReply::default() }, 500 },
    too_many = { QuotaReply { granted: 0, retry_after_ms: vec![u32::MAX; 100], ..QuotaReply::default() }, 10 },
)]
fn useless_reply_grants_nothing(reply: QuotaReply, after_ms: u64) {
    let charge = charge(limit(1_000.0, 500.0), 100);
    let mut grants = QuotaGrants::default();
    let step = grants.acquire(&charge, 1_000, ms(0));
    assert!(matches!(step, QuotaStep::Wait(_)));
    let sent = grants.next_request(ACCOUNT, ms(0)).unwrap();
    assert_eq!(grants.next_request(ACCOUNT, ms(0)), None, "one at a time");
    let decisions = grants.settle(ACCOUNT, sent.number, Some(&reply), ms(after_ms));
    assert!(matches!(decisions[..], [(_, Acquired::Denied(_))]));
    let decisions = grants.settle(ACCOUNT, sent.number, Some(&reply), ms(after_ms));
    assert!(decisions.is_empty(), "a reply counts once");
}

/// A reply with more than was asked for fills no pool, which could be used for a burst.
#[test]
fn oversized_grant_is_cut() {
    let charge = charge(limit(1_000.0, 500.0), 100);
    let mut grants = QuotaGrants::default();
    grants.acquire(&charge, 1, ms(0));
    let sent = grants.next_request(ACCOUNT, ms(0)).unwrap();
    let reply = QuotaReply {
        granted: u64::MAX,
        ..QuotaReply::default()
    };
    let decisions = grants.settle(ACCOUNT, sent.number, Some(&reply), ms(1));
    assert!(matches!(decisions[..], [(_, Acquired::Granted(until))] if until == ms(500)));
    let step = grants.acquire(&charge, 1, ms(2));
    assert!(matches!(step, QuotaStep::Wait(_)));
}

/// Token counts that can't be read cost as much as none, so that they evade no quota.
#[parameterized(
    counts = { Some("13300,24"), 13_324 },
    spaces = { Some(" 1 , 2 "), 3 },
    absent = { None, 700 },
    malformed = { Some("1;2"), 700 },
    negative = { Some("-1,2"), 700 },
    huge = { Some("4294967295,9"), u32::MAX },
)]
fn cost_of_token_counts(counts: Option<&str>, expected: u32) {
    let quota = AccountQuota {
        limit: limit(1.0, 0.0),
        unit: QuotaUnit::Tokens,
        plain_tokens: 700,
    };
    assert_eq!(quota.cost(counts), expected);
}

/// Limits that can't be calculated with end no thread and limit nothing.
#[parameterized(
    not_a_number = { f32::NAN, f32::NAN },
    infinite = { f32::INFINITY, 1.0 },
    negative = { -1.0, -1.0 },
    tiny = { f32::from_bits(1), f32::INFINITY },
    largest = { f32::MAX, f32::MAX },
)]
fn any_limit_is_decided(rate_per_s: f32, burst: f32) {
    let mut owner = QuotaOwner::new(ms(0));
    let limit = limit(f64::from(rate_per_s), f64::from(burst));
    let mut request = request(&[0, u32::MAX, 1]);
    request.charged = u64::MAX;
    request.local = u64::MAX;
    request.ahead = u32::MAX;
    for time in 0..4 {
        owner.request(&request, limit, ms(400 * time));
        owner.tick(ms(400 * time));
    }
}
