//! Request ids that identify the router that generated them.
//!
//! An id is a version 7 UUID: a 48-bit Unix timestamp in milliseconds, followed by random bits. The last 32 bits are
//! replaced by the tag of the router, which leaves each router 42 random bits per millisecond.

use std::time::Duration;

use rand::Rng;
use uuid::Builder;

use crate::id::RequestId;

/// The tag of a router in the request ids that it generates.
pub type RouterTag = u32;

/// Returns the tag of the router named `router`, a hash of its name.
///
/// The tags of two routers can collide; `explain` then queries both.
#[must_use]
pub fn router_tag(router: &str) -> RouterTag {
    let hash = xxhash_rust::xxh3::xxh3_64(router.as_bytes());
    u32::try_from(hash & u64::from(u32::MAX)).expect("masked to 32 bits")
}

/// Generates a request id at `unix_now` for the router with `tag`.
pub fn new_request_id(tag: RouterTag, unix_now: Duration, rng: &mut impl Rng) -> RequestId {
    let mut bytes = [0; 10];
    rng.fill_bytes(&mut bytes);
    bytes[6..].copy_from_slice(&tag.to_be_bytes());
    let unix_ms = u64::try_from(unix_now.as_millis()).unwrap_or(u64::MAX);
    let id = Builder::from_unix_timestamp_millis(unix_ms, &bytes).into_uuid();
    assert_eq!(
        router_tag_of(id),
        tag,
        "request id does not contain its router's tag"
    );
    id
}

/// Returns the tag of the router that generated `id`.
#[must_use]
pub const fn router_tag_of(id: RequestId) -> RouterTag {
    let bytes = id.as_bytes();
    u32::from_be_bytes([bytes[12], bytes[13], bytes[14], bytes[15]])
}
