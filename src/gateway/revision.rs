//! Revisions of the platform's store that stay ordered when the store comes back from an older copy.
//!
//! A store that is restored from a copy loses its last changes and hands out their revisions again. Its era, which rises
//! with each restoration, tells the two apart. A [`StoreRevision`] therefore holds the era in its upper bits: any
//! revision of a later era is greater than all revisions of earlier ones, so that the comparisons by which a router
//! ignores outdated state need to know nothing of eras. It is also the fencing number of the lease for orders, which
//! must not fall either. See docs/design/gateway.md.
//!
//! Rejected: forgetting all state when the era changes, because a router would then refuse all requests until the
//! operator and the replicas have written theirs again.

/// A revision of the platform's store, ordered across its eras; 0 is before all revisions.
pub type StoreRevision = u64;

/// The number of bits for the revision within an era.
const NUMBER_BITS: u32 = 44;
/// The greatest revision within an era.
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// The greatest era.
const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

/// Returns the revision that the store calls `number` in `era`; either is limited to what fits.
#[must_use]
pub const fn store_revision(era: u64, number: u64) -> StoreRevision {
    let era = if era > MAX_ERA { MAX_ERA } else { era };
    let number = if number > MAX_NUMBER {
        MAX_NUMBER
    } else {
        number
    };
    (era << NUMBER_BITS) | number
}

/// Returns the era of a revision.
#[must_use]
pub const fn revision_era(revision: StoreRevision) -> u64 {
    revision >> NUMBER_BITS
}

/// Returns a revision as the store of its era numbers it.
#[must_use]
pub const fn revision_number(revision: StoreRevision) -> u64 {
    revision & MAX_NUMBER
}
