//! Estimates of engines that nothing is configured of.

use std::time::Duration;

use havengate_core::back_ends::EngineStage;
use havengate_core::relay::EngineModel;

/// Engines that were drawn at random; readings of one wait for others now and then, and few look too fast.
fn estimate(random: &mut arbtest::arbitrary::Unstructured<'_>, samples: u32) -> arbtest::arbitrary::Result<(f64, f64)> {
    let rate = f64::from(random.int_in_range(20..=500_u32)?);
    let mut model = EngineModel::default();
    for _ in 0..samples {
        let tokens = random.int_in_range(1_000..=20_000_u32)?;
        let slowness = match random.int_in_range(0..=19)? {
            0 => 0.2,
            1..=5 => f64::from(random.int_in_range(110..=500_u32)?) / 100.0,
            _ => f64::from(random.int_in_range(98..=106_u32)?) / 100.0,
        };
        let took = Duration::from_secs_f64(f64::from(tokens) / rate * slowness / 1e3);
        model.observe_reading(EngineStage::Prefill, tokens, took);
    }
    Ok((rate, model.rate(EngineStage::Prefill)))
}

/// The bytes of randomness of one run, beside its seed.
const SIZE: u64 = 0x4000;

#[test]
fn a_rate_is_found_whatever_the_engine_and_despite_outliers() {
    for seed in 1..=50_u64 {
        arbtest::arbtest(|random| {
            let (rate, estimated) = estimate(random, 400)?;
            assert!((0.75..1.3).contains(&(estimated / rate)), "{rate} tokens/ms estimated as {estimated}");
            Ok(())
        })
        .seed(seed << 32 | SIZE);
    }
}

#[test]
fn one_sample_moves_an_estimate_only_so_far() {
    let mut model = EngineModel::default();
    for _ in 0..200 {
        model.observe_reading(EngineStage::Decode, 10_000, Duration::from_millis(50));
    }
    let before = model.rate(EngineStage::Decode);
    model.observe_reading(EngineStage::Decode, 10_000, Duration::from_nanos(1));
    model.observe_reading(EngineStage::Decode, 10_000, Duration::from_secs(3_600));
    let after = model.rate(EngineStage::Decode);
    assert!((0.9..1.1).contains(&(after / before)), "{before} to {after}");
}

#[test]
fn short_readings_show_nothing() {
    let mut model = EngineModel::default();
    model.observe_reading(EngineStage::Prefill, 100, Duration::from_secs(1));
    assert!(model.estimates().iter().all(|(_, estimate)| estimate.samples == 0));
}

#[test]
fn a_move_is_estimated_by_its_tokens() {
    let mut model = EngineModel::default();
    for _ in 0..400 {
        model.observe_move(10_000, Duration::from_millis(30));
    }
    assert!((25.0..36.0).contains(&model.move_millis(10_000.0)));
}
