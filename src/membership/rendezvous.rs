//! Ownership by rendezvous hashing: each router computes a score for each member, and the member with the highest score
//! is the owner.
//!
//! When a member joins or leaves, only the keys that it owns move. Routers with different views of the members disagree
//! about few owners, and correctness never depends on ownership.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::RouterId;

/// Returns the owner of `hash` among `members`, or `None` if there are no members.
#[must_use]
pub fn owner_of<'a>(
    hash: u64,
    members: impl IntoIterator<Item = &'a RouterId>,
) -> Option<&'a RouterId> {
    members
        .into_iter()
        .max_by_key(|router| (score(hash, router), *router))
}

/// Returns the `count` members that should watch the platform for a zone, highest score first.
///
/// `members` are the members in that zone. A wrong result costs an extra watch but never affects correctness.
#[must_use]
pub fn watchers_of<'a>(
    topic: u64,
    members: impl IntoIterator<Item = &'a RouterId>,
    count: usize,
) -> Vec<&'a RouterId> {
    let mut scored: Vec<_> = members
        .into_iter()
        .map(|router| (score(topic, router), router))
        .collect();
    scored.sort_by(|left, right| right.cmp(left));
    scored.truncate(count);
    scored.into_iter().map(|(_, router)| router).collect()
}

fn score(hash: u64, router: &RouterId) -> u64 {
    xxh3_64_with_seed(router.as_bytes(), hash)
}
