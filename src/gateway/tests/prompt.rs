//! Tests of prompt descriptions, including malformed ones.

use http::header::{HeaderMap, HeaderName, HeaderValue};
use yare::parameterized;

use crate::gateway::headers::HeaderNames;
use crate::gateway::prompt::{Prompt, PromptError};

/// Returns header names that are used in tests only.
pub(crate) fn header_names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        leaving: name("x-leaving"),
        limit: name("x-limit"),
        request_id: name("x-id"),
        deadline_ms: name("x-deadline"),
        caller_key: name("x-key"),
        account: name("x-account"),
        expected_replica: name("x-expect"),
        replica: name("x-replica"),
        expected_weights: name("x-expect-weights"),
        weights: name("x-weights"),
        not_run: name("x-not-run"),
        signature: name("x-signature"),
        model: name("x-model"),
        token_counts: name("x-counts"),
        parts: name("x-parts"),
        cache_scope: name("x-scope"),
        fetch_from: name("x-fetch"),
        save_to: name("x-save"),
        priority: name("x-rank"),
        last_event_id: name("last-event-id"),
        resumes: name("x-resumes"),
        reserved: vec![name("x-account"), name("x-scope")],
    }
}

fn headers(counts: &'static str, parts: &'static str) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("x-model", HeaderValue::from_static("m"));
    headers.insert("x-counts", HeaderValue::from_static(counts));
    headers.insert("x-parts", HeaderValue::from_static(parts));
    headers
}

#[test]
fn from_headers_shared_parts_are_all_but_the_last() {
    let headers = headers("1460,80", "5c:800,91:410,e4:250");
    let prompt = Prompt::from_headers(&headers, &header_names())
        .unwrap()
        .unwrap();
    let request = prompt.placement_request(None, 0, None);
    assert_eq!(request.shared_tokens, 1_210);
    assert_eq!(request.own_tokens, 250);
    assert_eq!(prompt.output_tokens, 80);
}

#[parameterized(
    no_output = { "1460", "5c:800", PromptError::Counts },
    no_number = { "many,80", "5c:800", PromptError::Counts },
    no_tokens = { "1460,80", "5c", PromptError::Parts },
    negative = { "1460,80", "5c:-1", PromptError::Parts },
)]
fn from_headers_bad_input(counts: &'static str, parts: &'static str, error: PromptError) {
    assert_eq!(
        Prompt::from_headers(&headers(counts, parts), &header_names()),
        Err(error)
    );
}

#[test]
fn placement_request_isolated_account_has_its_own_prefix() {
    let headers = headers("1460,80", "5c:800,e4:250");
    let prompt = Prompt::from_headers(&headers, &header_names())
        .unwrap()
        .unwrap();
    assert_ne!(
        prompt.placement_request(None, 0, None).prefix,
        prompt.placement_request(Some("dues"), 0, None).prefix
    );
}
