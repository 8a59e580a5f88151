//! Estimates of engine rates and KV cache moves, which need no configuration.

use std::time::Duration;

use havengate_core::back_ends::EngineStage;
use havengate_core::relay::EngineModel;
use havengate_core::time::Timestamp;

const START: Timestamp = Timestamp::from_millis(1_000_000);

/// Observes prefills of an engine with a random rate. A quarter of them are slow because they queue behind others, and one
/// in twenty looks too fast.
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
        model.observe_prefill(EngineStage::Prefill, tokens, took);
    }
    Ok((rate, model.rate(EngineStage::Prefill)))
}

/// The size of the random input of one run, in bytes; the low part of arbtest's seed.
const SIZE: u64 = 0x4000;

#[test]
fn rate_estimates_are_accurate_despite_outliers() {
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
fn one_sample_moves_an_estimate_by_a_limited_step() {
    let mut model = EngineModel::default();
    for _ in 0..200 {
        model.observe_prefill(EngineStage::Decode, 10_000, Duration::from_millis(50));
    }
    let before = model.rate(EngineStage::Decode);
    model.observe_prefill(EngineStage::Decode, 10_000, Duration::from_nanos(1));
    model.observe_prefill(EngineStage::Decode, 10_000, Duration::from_secs(3_600));
    let after = model.rate(EngineStage::Decode);
    assert!((0.9..1.1).contains(&(after / before)), "{before} to {after}");
}

#[test]
fn short_prefills_are_not_counted_as_samples() {
    let mut model = EngineModel::default();
    model.observe_prefill(EngineStage::Prefill, 100, Duration::from_secs(1));
    assert!(model.estimates(START).iter().all(|(_, estimate)| estimate.samples == 0));
}

#[test]
fn a_move_is_estimated_by_its_tokens() {
    let mut model = EngineModel::default();
    for _ in 0..400 {
        model.observe_move(10_000, Duration::from_millis(30), START);
    }
    assert!((25.0..36.0).contains(&model.move_millis(10_000.0, START)));
}

fn after(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

#[test]
fn the_wait_for_an_answer_is_not_part_of_the_move_time() {
    for wait in [0, 20, 200, 600] {
        let mut model = EngineModel::default();
        for number in 0..100 {
            let now = after(number * 20);
            model.observe_wait(Duration::from_millis(wait), now);
            model.observe_move(10_000, Duration::from_millis(wait + 8), now);
        }
        let estimated = model.move_millis(10_000.0, after(2_000));
        assert!(
            (4.0..20.0).contains(&estimated),
            "{estimated} ms estimated for a move of 8 ms, after a wait of {wait} ms"
        );
    }
}

#[test]
fn the_estimate_stays_high_while_slow_moves_continue() {
    let mut model = EngineModel::default();
    let move_of =
        |model: &mut EngineModel, millis, at| model.observe_move(10_000, Duration::from_millis(millis), after(at));
    (0..200).for_each(|number| move_of(&mut model, 10, number * 50));
    let before = model.move_millis(10_000.0, after(10_000));
    (0..200).for_each(|number| move_of(&mut model, 320, 10_000 + number * 50));
    let meanwhile = model.move_millis(10_000.0, after(20_000));
    assert!(meanwhile > 3.0 * before, "{before} ms estimated before and {meanwhile} ms while moves take 320 ms");
}

#[test]
fn the_move_estimate_decays_to_the_prior_without_moves() {
    let mut model = EngineModel::default();
    (0..300).for_each(|_| model.observe_move(10_000, Duration::from_millis(650), START));
    let estimated = |millis| model.move_millis(10_000.0, after(millis));
    assert!(estimated(0) > 500.0);
    assert!(estimated(3_000) < 100.0, "{} ms after 3 s", estimated(3_000));
    assert!(estimated(20_000) < 11.0, "{} ms after 20 s", estimated(20_000));
}

#[test]
fn extreme_samples_of_moves_and_waits_have_no_lasting_effect() {
    let extremes = [Duration::ZERO, Duration::from_nanos(1), Duration::from_secs(36_000), Duration::MAX];
    for took in extremes {
        let mut model = EngineModel::default();
        model.observe_wait(took, START);
        model.observe_move(u32::MAX, took, START);
        // A clock that was set back yields an earlier timestamp.
        model.observe_move(1_000, took, Timestamp::ZERO);
        model.observe_move(0, took, START);
        let later = START + Duration::from_secs(60);
        (0..20).for_each(|_| model.observe_wait(Duration::from_millis(5), later));
        (0..50).for_each(|_| model.observe_move(10_000, Duration::from_millis(13), later));
        let estimated = model.move_millis(10_000.0, later);
        assert!((2.0..14.0).contains(&estimated), "{estimated} ms estimated for a move of 8 ms, after {took:?}");
    }
}
