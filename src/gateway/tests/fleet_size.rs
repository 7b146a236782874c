//! Tests of the number of routers that share a budget.

use super::ms;
use crate::gateway::fleet_size::FleetSize;
use crate::request::retry::RetryBudget;

#[test]
fn observe_partition_keeps_the_larger_number_for_a_while() {
    let mut size = FleetSize::default();
    assert_eq!(size.observe(195, ms(0)), 195);
    assert_eq!(size.observe(1, ms(100)), 195);
    assert_eq!(size.observe(190, ms(20_000)), 195);
    assert_eq!(size.observe(190, ms(30_000)), 190);
    assert_eq!(size.observe(191, ms(30_100)), 191);
}

/// Replays a restart of 40 of 195 routers while a service rejects everything: 4,966 requests in ten seconds, each
/// retried as often as its router's budget permits. The specification allows 0.2 x 4,966 + 430 retries in all.
#[test]
fn with_reserve_restarts_under_rejections_stay_within_the_slack() {
    let (share, slack, fleet) = (0.2 * 0.7, 430.0 * 0.6, 195);
    let mut retries = 0;
    for router in 0..fleet {
        let is_restarted = router < 40;
        let mut size = FleetSize::default();
        // A restarted router knows only itself during its first requests.
        let known = |request: usize| {
            if is_restarted && request < 5 {
                1
            } else {
                fleet
            }
        };
        let mut budget = RetryBudget::with_reserve(share, slack / known(0) as f64);
        for request in 0..4_966 / fleet {
            let routers = size.observe(known(request), ms(400 * request as u64));
            budget.set_reserve(slack / routers as f64);
            budget.deposit();
            while budget.withdraw() {
                retries += 1;
            }
        }
    }
    assert!(retries <= 1_423, "{retries}");
}
