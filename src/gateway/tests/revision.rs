//! Tests of the order of revisions across eras of the store.

use crate::gateway::revision::{revision_era, revision_number, store_revision};

#[test]
fn store_revision_later_era_is_greater() {
    assert!(store_revision(2, 5) > store_revision(1, 900_000));
    assert!(store_revision(1, 6) > store_revision(1, 5));
    assert_eq!(store_revision(0, 5), 5);
}

#[test]
fn store_revision_parts_are_restored() {
    let revision = store_revision(3, 17);
    assert_eq!((revision_era(revision), revision_number(revision)), (3, 17));
}

#[test]
fn store_revision_too_large_parts_are_limited() {
    let revision = store_revision(u64::MAX, u64::MAX);
    assert_eq!(revision, u64::MAX);
    assert!(store_revision(1, u64::MAX) < store_revision(2, 0));
}
