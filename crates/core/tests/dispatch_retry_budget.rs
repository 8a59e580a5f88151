//! The retry budget limits retries to a share of the traffic.

use arbtest::arbtest;
use havengate_core::dispatch::{RetryBudget, RetryBudgetConfig};

#[test]
fn retries_stay_below_the_ratio_of_traffic_plus_the_burst() {
    for seed in [0x11_0000_0400, 0x22_0000_0400, 0x33_0000_0400] {
        arbtest(|input| {
            let config = RetryBudgetConfig::default();
            let mut budget = RetryBudget::new(config);
            let (mut attempts, mut retries) = (0_u32, 0_u32);
            while !input.is_empty() {
                if input.arbitrary::<u8>()? < 60 {
                    attempts += 1;
                    budget.record_first_attempt();
                } else if budget.try_withdraw() {
                    retries += 1;
                }
                let bound = f64::from(attempts) * config.ratio + config.burst;
                assert!(f64::from(retries) <= bound + 1e-6, "{retries} retries for {attempts} first attempts");
            }
            Ok(())
        })
        .seed(seed);
    }
}

#[test]
fn the_balance_is_capped_at_the_burst() {
    let mut budget = RetryBudget::new(RetryBudgetConfig { ratio: 0.1, burst: 3.0 });
    (0..1_000).for_each(|_| budget.record_first_attempt());
    let granted = (0..100).filter(|_| budget.try_withdraw()).count();
    assert_eq!(granted, 3);
}
