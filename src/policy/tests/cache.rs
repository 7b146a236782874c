use proptest::prelude::*;

use super::super::cache::CacheModel;
use super::*;

#[test]
fn warm_tokens_needs_whole_parent() {
    let mut cache = CacheModel::new(100_000);
    cache.place(&levels(7), 400, secs(1));
    assert_eq!(cache.warm_tokens(&levels(7)), 14_000);
    assert_eq!(cache.warm_tokens(&levels(8)), 2_000);
}

#[test]
fn place_over_capacity_drops_oldest_chain_from_its_end() {
    let mut cache = CacheModel::new(20_000);
    cache.place(&levels(7), 0, secs(1));
    cache.place(&levels(8), 0, secs(2));
    assert_eq!(cache.warm_tokens(&levels(8)), 14_000);
    assert_eq!(cache.warm_tokens(&levels(7)), 8_000);
}

#[yare::parameterized(
    before_last_use = { 1, 14_000 },
    after_last_use = { 3, 12_000 },
)]
fn evicted_counts_only_after_last_use(event_secs: u64, warm: u32) {
    let mut cache = CacheModel::new(100_000);
    cache.place(&levels(7), 0, secs(2));
    cache.evicted(7, secs(event_secs));
    assert_eq!(cache.warm_tokens(&levels(7)), warm);
}

#[test]
fn correct_missing_tokens_shrinks_capacity() {
    let mut cache = CacheModel::new(14_000);
    cache.place(&levels(7), 0, secs(1));
    cache.correct(14_000, 0);
    assert!(cache.warm_tokens(&levels(7)) < 14_000);
}

#[test]
fn victims_name_what_place_would_drop() {
    let mut cache = CacheModel::new(20_000);
    cache.place(&levels(7), 0, secs(1));
    let victims: Vec<_> = cache.victims(10_000).collect();
    assert_eq!(victims, [(7, 4_000)]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(64),
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn place_any_order_holds_no_more_than_capacity(
        manuals in proptest::collection::vec((2_u64..40, 0_u32..3_000), 1..200),
    ) {
        let mut cache = CacheModel::new(50_000);
        for (index, (manual, rest)) in manuals.into_iter().enumerate() {
            cache.place(&levels(manual), rest, secs(index as u64));
            let held: u32 = cache.entries().iter().map(|e| e.held_tokens).sum();
            prop_assert!(held <= 50_000);
            prop_assert_eq!(cache.warm_tokens(&levels(manual)), 14_000);
            prop_assert!(cache.entries().is_sorted_by_key(|e| e.last_used));
        }
    }
}
