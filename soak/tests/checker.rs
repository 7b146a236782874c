//! Passes the checker records that break one promise each, and expects exactly that finding.

use std::time::{Duration, Instant};

use crocuswharf_platform_fakes::daemon::{REVOCATION_LIMIT, WEIGHTS_LIMIT};
use crocuswharf_platform_fakes::replica::{ReceivedOrder, ReceivedRequest, stream_text};
use crocuswharf_soak::{
    KeyRecord, Outcome, Records, RequestKind, RouterOutage, SentRequest, check_records,
};

const SECOND: Duration = Duration::from_secs(1);

fn answer(status: u16, signature: &str, body: &str, is_complete: bool) -> Outcome {
    Outcome::Answer {
        status,
        signature: (!signature.is_empty()).then(|| signature.to_owned()),
        body: body.into(),
        is_complete,
        closes: false,
    }
}

fn seen_run(replica: &'static str, id: &str, kind: RequestKind) -> ReceivedRequest {
    ReceivedRequest::valid(replica, id, kind.route(), &format!("body of {id}"))
}

/// Returns the records of one request that succeeded.
fn valid_records(kind: RequestKind) -> Records {
    let body = if kind.is_stream() {
        stream_text()
    } else {
        "a".to_owned()
    };
    let at = Instant::now();
    let sent = SentRequest {
        id: "r1".into(),
        kind,
        key: 0,
        router: 0,
        at,
        ended_at: at + SECOND,
        outcome: answer(200, "a", &body, true),
    };
    Records {
        sent: vec![sent],
        received: vec![seen_run("a", "r1", kind)],
        keys: vec![KeyRecord::default()],
        ..Records::default()
    }
}

#[track_caller]
fn assert_single_finding(records: &Records, promise: &str) {
    let findings = check_records(records);
    let promises: Vec<_> = findings.iter().map(|finding| finding.promise).collect();
    assert_eq!(promises, [promise], "{findings:?}");
}

#[test]
fn check_records_valid_records_finds_nothing() {
    for kind in [
        RequestKind::Pay,
        RequestKind::Safe,
        RequestKind::Stream,
        RequestKind::Resumable,
    ] {
        assert_eq!(check_records(&valid_records(kind)), []);
    }
}

#[test]
fn check_records_second_run_is_found_unless_it_may_be_repeated() {
    for (kind, is_found) in [
        (RequestKind::Pay, true),
        (RequestKind::Stream, true),
        (RequestKind::Safe, false),
    ] {
        let mut records = valid_records(kind);
        records.received.push(seen_run("b", "r1", kind));
        if is_found {
            assert_single_finding(&records, "what may not be repeated runs once");
        } else {
            assert_eq!(check_records(&records), []);
        }
    }
}

#[test]
fn check_records_refusal_of_what_ran_is_found() {
    let mut records = valid_records(RequestKind::Pay);
    records.sent[0].outcome = answer(503, "", "", true);
    assert_single_finding(&records, "what is refused has not run");
}

#[test]
fn check_records_answers_that_are_not_the_replicas_are_found() {
    let promise = "answers are whole and the replica's own";
    let mut records = valid_records(RequestKind::Pay);
    records.sent[0].outcome = answer(200, "b", "b", true);
    assert_single_finding(&records, promise);
    records.sent[0].outcome = answer(200, "", "a", true);
    assert_single_finding(&records, promise);
    let mut records = valid_records(RequestKind::Resumable);
    records.sent[0].outcome = answer(200, "a", "id: 1\ndata: e1\n\n", true);
    assert_single_finding(&records, promise);
    // A stream that is visibly truncated is allowed; one that repeats an event is not.
    records.sent[0].outcome = answer(200, "a", "id: 1\ndata: e1\n\n", false);
    assert_eq!(check_records(&records), []);
    let twice = "id: 1\ndata: e1\n\nid: 1\ndata: e1\n\n";
    records.sent[0].outcome = answer(200, "a", twice, false);
    assert_single_finding(&records, promise);
}

#[test]
fn check_records_forged_signature_is_found() {
    let mut records = valid_records(RequestKind::Pay);
    records.sent[0].outcome = answer(502, "a", "", true);
    assert_single_finding(&records, "only a replica's answer bears its signature");
}

#[test]
fn check_records_changed_request_is_found() {
    let mut records = valid_records(RequestKind::Pay);
    records.received[0].body = "another body".into();
    assert_single_finding(&records, "requests run as their callers sent them");
    let mut records = valid_records(RequestKind::Pay);
    records.received[0].add_key();
    assert_single_finding(&records, "requests run as their callers sent them");
}

#[test]
fn check_records_run_that_nobody_sent_is_found() {
    let mut records = valid_records(RequestKind::Pay);
    records.received.push(seen_run("a", "r2", RequestKind::Pay));
    assert_single_finding(&records, "only callers' requests run");
}

#[test]
fn check_records_revoked_key_that_works_too_long_is_found() {
    let mut records = valid_records(RequestKind::Pay);
    let sent_at = records.sent[0].at;
    records.keys[0].revoked_at = Some(sent_at - REVOCATION_LIMIT);
    assert_eq!(check_records(&records), []);
    records.keys[0].revoked_at = Some(sent_at - REVOCATION_LIMIT - SECOND);
    assert_single_finding(&records, "a revoked key stops working in time");
}

#[test]
fn check_records_late_answer_is_found_unless_its_router_was_down() {
    let mut records = valid_records(RequestKind::Pay);
    records.sent[0].ended_at = records.sent[0].at + 4 * SECOND;
    assert_single_finding(&records, "every request is answered in time");
    let from = records.sent[0].at + SECOND;
    let outage = |router| RouterOutage {
        router,
        from,
        to: from + SECOND,
    };
    records.outages.push(outage(1));
    assert_single_finding(&records, "every request is answered in time");
    records.outages.push(outage(0));
    assert_eq!(check_records(&records), []);
}

#[test]
fn check_records_scope_of_two_versions_is_found() {
    let mut records = valid_records(RequestKind::Resumable);
    let mut other = seen_run("b", "r1", RequestKind::Resumable);
    other.expect_weights(2);
    records.received.push(other);
    assert_single_finding(&records, "cached entries are used for one version");
}

#[test]
fn check_records_number_with_two_holders_is_found() {
    let mut records = valid_records(RequestKind::Pay);
    let order = |holder: &str| ReceivedOrder {
        born_ms: 1,
        fencing_number: 7,
        holder: holder.into(),
    };
    records.orders = vec![("a", order("x")), ("b", order("x"))];
    assert_eq!(check_records(&records), []);
    records.orders.push(("c", order("y")));
    assert_single_finding(&records, "one holder gives orders");
}

#[test]
fn check_records_runs_past_the_limits_in_the_final_phase_are_found() {
    let mut records = valid_records(RequestKind::Stream);
    let at = records.received[0].at;
    records.draining_replica = Some(("a", at - 4 * SECOND));
    assert_single_finding(&records, "a leaving replica gets nothing new");
    records.draining_replica = None;
    records.published_weights = Some((2, at - WEIGHTS_LIMIT - SECOND));
    assert_single_finding(&records, "nothing begins on old weights after the bound");
}

#[test]
fn check_records_runs_at_too_many_replicas_are_found() {
    let mut records = Records::default();
    for number in 0..4 {
        let id = format!("s{number}");
        let mut single = valid_records(RequestKind::Safe);
        single.sent[0].id.clone_from(&id);
        records.sent.append(&mut single.sent);
        for replica in ["a", "b", "c"] {
            records
                .received
                .push(seen_run(replica, &id, RequestKind::Safe));
        }
    }
    assert_single_finding(&records, "runs stay within the route's attempts");
}
