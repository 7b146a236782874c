//! Comparison of two routers' members by digests, for what gossip missed.

use xxhash_rust::xxh3::xxh3_64;

use crate::id::RouterId;
use crate::membership::member::Member;

/// The buckets into which members fall by a hash of their names.
pub(crate) const BUCKETS: usize = 16;
/// The most records that answer one request for buckets.
pub(crate) const MAX_RECORDS_PER_MESSAGE: usize = 24;

/// Returns the bucket of `router`.
pub(crate) fn bucket_of(router: &RouterId) -> usize {
    (xxh3_64(router.as_bytes()) % BUCKETS as u64) as usize
}

/// Returns the digest over all present members.
pub(crate) fn digest<'a>(members: impl IntoIterator<Item = &'a Member>) -> u64 {
    members
        .into_iter()
        .filter(|member| member.is_present())
        .fold(0, |digest, member| digest ^ member.digest())
}

/// Returns one digest per bucket over all present members.
pub(crate) fn bucket_digests<'a>(members: impl IntoIterator<Item = &'a Member>) -> Vec<u32> {
    let mut digests = vec![0; BUCKETS];
    for member in members.into_iter().filter(|member| member.is_present()) {
        digests[bucket_of(&member.router)] ^= member.digest() as u32;
    }
    digests
}

/// Returns the buckets in which two sides differ, one bit each.
pub(crate) fn differing(own: &[u32], theirs: &[u32]) -> u32 {
    own.iter()
        .zip(theirs)
        .enumerate()
        .filter(|(_, (own, theirs))| own != theirs)
        .fold(0, |buckets, (index, _)| buckets | 1 << index)
}

/// Tells whether `router` falls into one of `buckets`.
pub(crate) fn is_in(buckets: u32, router: &RouterId) -> bool {
    buckets & 1 << bucket_of(router) != 0
}
