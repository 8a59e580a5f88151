//! Estimates of engines that nothing is configured of.

use std::time::Duration;

use havengate_core::back_ends::EngineStage;
use havengate_core::relay::EngineModel;
use havengate_core::time::Timestamp;

const START: Timestamp = Timestamp::from_millis(1_000_000);

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
        model.observe_prefill(EngineStage::Prefill, tokens, took);
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
        model.observe_prefill(EngineStage::Decode, 10_000, Duration::from_millis(50));
    }
    let before = model.rate(EngineStage::Decode);
    model.observe_prefill(EngineStage::Decode, 10_000, Duration::from_nanos(1));
    model.observe_prefill(EngineStage::Decode, 10_000, Duration::from_secs(3_600));
    let after = model.rate(EngineStage::Decode);
    assert!((0.9..1.1).contains(&(after / before)), "{before} to {after}");
}

#[test]
fn short_readings_show_nothing() {
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
fn what_an_engine_takes_to_begin_an_answer_is_no_part_of_a_move() {
    for wait in [0, 20, 200, 600] {
        let mut model = EngineModel::default();
        for number in 0..100 {
            let now = after(number * 20);
            model.observe_wait(Duration::from_millis(wait), now);
            model.observe_move(10_000, Duration::from_millis(wait + 8), now);
        }
        let believed = model.move_millis(10_000.0, after(2_000));
        assert!((4.0..20.0).contains(&believed), "{believed} ms believed of a move of 8 ms, after a wait of {wait} ms");
    }
}

#[test]
fn moves_that_are_made_and_slow_are_believed_slow_for_as_long() {
    let mut model = EngineModel::default();
    let move_of =
        |model: &mut EngineModel, millis, at| model.observe_move(10_000, Duration::from_millis(millis), after(at));
    (0..200).for_each(|number| move_of(&mut model, 10, number * 50));
    let before = model.move_millis(10_000.0, after(10_000));
    (0..200).for_each(|number| move_of(&mut model, 320, 10_000 + number * 50));
    let meanwhile = model.move_millis(10_000.0, after(20_000));
    assert!(meanwhile > 3.0 * before, "{before} ms believed before and {meanwhile} ms while moves take 320 ms");
}

#[test]
fn what_was_learned_of_moves_is_forgotten_when_none_is_made() {
    let mut model = EngineModel::default();
    (0..300).for_each(|_| model.observe_move(10_000, Duration::from_millis(650), START));
    let believed = |millis| model.move_millis(10_000.0, after(millis));
    assert!(believed(0) > 500.0);
    assert!(believed(3_000) < 100.0, "{} ms after 3 s", believed(3_000));
    assert!(believed(20_000) < 11.0, "{} ms after 20 s", believed(20_000));
}

#[test]
fn no_sample_of_a_move_or_a_wait_makes_a_belief_that_lasts() {
    let odd = [Duration::ZERO, Duration::from_nanos(1), Duration::from_secs(36_000), Duration::MAX];
    for took in odd {
        let mut model = EngineModel::default();
        model.observe_wait(took, START);
        model.observe_move(u32::MAX, took, START);
        // A clock that stepped back gives an earlier moment.
        model.observe_move(1_000, took, Timestamp::ZERO);
        model.observe_move(0, took, START);
        let later = START + Duration::from_secs(60);
        (0..20).for_each(|_| model.observe_wait(Duration::from_millis(5), later));
        (0..50).for_each(|_| model.observe_move(10_000, Duration::from_millis(13), later));
        let believed = model.move_millis(10_000.0, later);
        assert!((2.0..14.0).contains(&believed), "{believed} ms believed of a move of 8 ms, after {took:?}");
    }
}
