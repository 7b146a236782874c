//! Ownership by rendezvous hashing: each router scores each member, and the highest score owns.
//!
//! A member that joins or leaves moves only what it owns. Routers that disagree about the members disagree about few
//! owners, and ownership is never what correctness rests on.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::RouterId;

/// Returns the owner of `hash` among `members`, or `None` where there are none.
#[must_use]
pub fn owner_of<'a>(
    hash: u64,
    members: impl IntoIterator<Item = &'a RouterId>,
) -> Option<&'a RouterId> {
    members
        .into_iter()
        .max_by_key(|router| (score(hash, router), *router))
}

/// Returns the `count` members that shall watch the platform for a zone, best first.
///
/// `members` are those of the zone. A wrong guess costs an extra watch and never correctness.
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
