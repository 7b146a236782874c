//! Tests of the key of a whole request.

use crate::gateway::call::hash_request;

/// A large limit on a body.
const MAX_BODY_BYTES: usize = 4 << 20;

#[test]
fn hash_request_is_the_same_only_for_the_same_path_caller_and_body() {
    let key = hash_request("dues", "POST", "pay", "/pay/x?y=1", b"body");
    assert_eq!(
        key,
        hash_request("dues", "POST", "pay", "/pay/x?y=1", b"body")
    );
    let others = [
        hash_request("", "POST", "pay", "/pay/x?y=1", b"body"),
        hash_request("dues", "PUT", "pay", "/pay/x?y=1", b"body"),
        hash_request("dues", "POST", "safe", "/pay/x?y=1", b"body"),
        hash_request("dues", "POST", "pay", "/pay/x?y=2", b"body"),
        hash_request("dues", "POST", "pay", "/pay/x?y=1", b"bodies"),
        hash_request("dues", "POST", "pay", "/pay/x?y=1b", b"ody"),
    ];
    assert!(!others.contains(&key));
}

#[test]
fn hash_request_covers_bodies_at_the_size_limit_to_their_end() {
    let body = vec![7; MAX_BODY_BYTES];
    let mut other = body.clone();
    other[MAX_BODY_BYTES - 1] = 8;
    let key = |body: &[u8]| hash_request("dues", "POST", "pay", "/pay/x", body);
    assert_eq!(key(&body), key(&body.clone()));
    assert_ne!(key(&body), key(&other));
}
