use proptest::prelude::*;

use super::super::{KeptBudget, KeptPlan};
use super::*;
use crate::pool::KeptCache;

fn budget() -> KeptBudget {
    let kept = KeptCache {
        address: ([127, 0, 0, 1], 1).into(),
        import_tokens_per_second: 100_000.0,
        total_tokens_per_second: 40_000.0,
    };
    KeptBudget::new(&kept, 2, secs(0))
}

#[yare::parameterized(
    cheaper = { 10_000, 20_000.0, KeptPlan::Import { tokens: 10_000 } },
    engine_is_faster = { 10_000, 200_000.0, KeptPlan::Recompute },
    too_short_to_pay = { 200, 20_000.0, KeptPlan::Recompute },
    above_the_budget = { 30_000, 20_000.0, KeptPlan::Recompute },
)]
fn plan_imports_where_cheaper(cold: u32, prefill: f64, plan: KeptPlan) {
    assert_eq!(budget().plan(cold, prefill, secs(1)), plan);
}

#[yare::parameterized(
    hot = { 2.0, false, true },
    rare = { 0.1, false, false },
    kept_already = { 2.0, true, false },
)]
fn exports_hot_openings_once(rate: f64, is_kept: bool, exports: bool) {
    assert_eq!(budget().exports(10_000, rate, is_kept, secs(1)), exports);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(64),
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn plan_any_requests_stay_within_rate(
        steps in proptest::collection::vec((0_u64..500, 500_u32..20_000), 1..200),
    ) {
        let mut budget = budget();
        let (mut now, mut imported) = (secs(0), 0_u64);
        for (wait_ms, cold) in steps {
            now += ms(wait_ms);
            if let KeptPlan::Import { tokens } = budget.plan(cold, 20_000.0, now) {
                imported += u64::from(tokens);
            }
            prop_assert!(imported as f64 <= 20_000.0 * (1.0 + now.as_secs_f64()) + 1.0);
        }
    }
}
