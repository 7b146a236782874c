//! Tests of the key of a whole request.

use std::sync::Arc;

use crate::gateway::call::hash_request;
use crate::gateway::prompt::{Prompt, PromptPart};

/// A large limit on a body.
const MAX_BODY_BYTES: usize = 4 << 20;

#[test]
fn hash_request_is_the_same_only_for_the_same_path_caller_and_body() {
    let key = hash_request("dues", "POST", "pay", "/pay/x?y=1", &[b"body"], None);
    assert_eq!(
        key,
        hash_request("dues", "POST", "pay", "/pay/x?y=1", &[b"body"], None)
    );
    let others = [
        hash_request("", "POST", "pay", "/pay/x?y=1", &[b"body"], None),
        hash_request("dues", "PUT", "pay", "/pay/x?y=1", &[b"body"], None),
        hash_request("dues", "POST", "safe", "/pay/x?y=1", &[b"body"], None),
        hash_request("dues", "POST", "pay", "/pay/x?y=2", &[b"body"], None),
        hash_request("dues", "POST", "pay", "/pay/x?y=1", &[b"bodies"], None),
        hash_request("dues", "POST", "pay", "/pay/x?y=1b", &[b"ody"], None),
    ];
    assert!(!others.contains(&key));
}

#[test]
fn hash_request_covers_bodies_at_the_size_limit_to_their_end() {
    let body = vec![7; MAX_BODY_BYTES];
    let mut other = body.clone();
    other[MAX_BODY_BYTES - 1] = 8;
    let key = |body: &[u8]| hash_request("dues", "POST", "pay", "/pay/x", &[body], None);
    assert_eq!(key(&body), key(&body.clone()));
    assert_ne!(key(&body), key(&other));
}

fn prompt(model: &str, ids: &[&str]) -> Prompt {
    let parts = ids.iter().map(|id| PromptPart {
        id: Arc::from(*id),
        tokens: 10,
    });
    Prompt {
        model: model.into(),
        tokens: 100,
        output_tokens: 10,
        parts: parts.collect(),
    }
}

#[test]
fn hash_request_with_a_prompt_is_the_same_only_for_the_same_prompt() {
    let key =
        |prompt: &Prompt| hash_request("dues", "POST", "ask", "/ask/x", &[b"body"], Some(prompt));
    let known = key(&prompt("m0", &["aa", "bb", "cc"]));
    assert_eq!(known, key(&prompt("m0", &["aa", "bb", "cc"])));
    let others = [
        key(&prompt("m1", &["aa", "bb", "cc"])),
        key(&prompt("m0", &["aa", "bb", "cd"])),
        key(&prompt("m0", &["aa", "bb"])),
        key(&prompt("m0", &["aa", "b", "bcc"])),
        hash_request("dues", "POST", "ask", "/ask/x", &[b"body"], None),
    ];
    assert!(!others.contains(&known));
}
