//! Request ids that tell which router made them.
//!
//! An id is a UUID of version 7: 48 bits of Unix milliseconds, then random bits. The last 32 of these are the tag of
//! the router instead; 42 random bits a millisecond remain to each router.

use std::time::Duration;

use rand::Rng;
use uuid::Builder;

use crate::id::RequestId;

/// The tag of a router in the request ids that it makes.
pub type RouterTag = u32;

/// Returns the tag of the router called `router`.
///
/// Two routers may share a tag by chance; `explain` then asks both.
#[must_use]
pub fn router_tag(router: &str) -> RouterTag {
    let hash = xxhash_rust::xxh3::xxh3_64(router.as_bytes());
    u32::try_from(hash & u64::from(u32::MAX)).expect("masked to 32 bits")
}

/// Makes a request id at `unix_now` for the router with `tag`.
pub fn new_request_id(tag: RouterTag, unix_now: Duration, rng: &mut impl Rng) -> RequestId {
    let mut bytes = [0; 10];
    rng.fill_bytes(&mut bytes);
    bytes[6..].copy_from_slice(&tag.to_be_bytes());
    let unix_ms = u64::try_from(unix_now.as_millis()).unwrap_or(u64::MAX);
    let id = Builder::from_unix_timestamp_millis(unix_ms, &bytes).into_uuid();
    assert_eq!(tag_of(id), tag, "a request id lost its router's tag");
    id
}

/// Returns the tag of the router that made `id`.
#[must_use]
pub const fn tag_of(id: RequestId) -> RouterTag {
    let bytes = id.as_bytes();
    u32::from_be_bytes([bytes[12], bytes[13], bytes[14], bytes[15]])
}
