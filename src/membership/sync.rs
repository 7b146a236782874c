//! Anti-entropy: finds members on which two routers differ by comparing digests, to repair what gossip missed.

use xxhash_rust::xxh3::xxh3_64;

use crate::id::RouterId;
use crate::membership::member::Member;

/// The number of buckets that members are assigned to by a hash of their names.
pub(crate) const BUCKETS: usize = 16;
/// The maximum number of records in a response to a request for buckets.
pub(crate) const MAX_RECORDS_PER_MESSAGE: usize = 24;

/// Returns the bucket of `router`.
pub(crate) fn bucket_of(router: &RouterId) -> usize {
    (xxh3_64(router.as_bytes()) % BUCKETS as u64) as usize
}

/// Returns the digest of all present members.
pub(crate) fn digest<'a>(members: impl IntoIterator<Item = &'a Member>) -> u64 {
    members
        .into_iter()
        .filter(|member| member.is_present())
        .fold(0, |digest, member| digest ^ member.digest())
}

/// Returns the digest of the present members in each bucket.
pub(crate) fn bucket_digests<'a>(members: impl IntoIterator<Item = &'a Member>) -> Vec<u32> {
    let mut digests = vec![0; BUCKETS];
    for member in members.into_iter().filter(|member| member.is_present()) {
        digests[bucket_of(&member.router)] ^= member.digest() as u32;
    }
    digests
}

/// Returns the buckets in which two routers differ, as a bit mask.
pub(crate) fn differing_buckets(own: &[u32], theirs: &[u32]) -> u32 {
    own.iter()
        .zip(theirs)
        .enumerate()
        .filter(|(_, (own, theirs))| own != theirs)
        .fold(0, |buckets, (index, _)| buckets | 1 << index)
}

/// Returns whether the bucket of `router` is in the bit mask `buckets`.
pub(crate) fn includes(buckets: u32, router: &RouterId) -> bool {
    buckets & 1 << bucket_of(router) != 0
}
