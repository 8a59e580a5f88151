//! Where short prompts are processed, by the latency of earlier ones.

use std::time::Duration;

use havengate_core::relay::ShortPrefill;

const TARGET: Duration = Duration::from_millis(250);

fn prefill_engine_count(short_prefill: &ShortPrefill) -> usize {
    let mut random = fastrand::Rng::with_seed(1);
    (0..1_000).filter(|_| short_prefill.prefers_prefill_engine(TARGET, &mut random)).count()
}

fn after(prefill_engine_millis: u64, decode_engine_millis: u64, requests: usize) -> ShortPrefill {
    let mut short_prefill = ShortPrefill::default();
    for _ in 0..requests {
        short_prefill.observe(true, Duration::from_millis(prefill_engine_millis));
        short_prefill.observe(false, Duration::from_millis(decode_engine_millis));
    }
    short_prefill
}

#[test]
fn prefill_engines_are_preferred_while_fast_enough_even_if_decode_engines_are_faster() {
    assert_eq!(prefill_engine_count(&ShortPrefill::default()), 1_000);
    assert_eq!(prefill_engine_count(&after(60, 20, 50)), 1_000);
}

#[test]
fn a_few_slow_requests_change_the_preference_and_probes_restore_it() {
    let slow = after(1_500, 40, 5);
    assert!((50..200).contains(&prefill_engine_count(&slow)), "{}", prefill_engine_count(&slow));
    let mut recovered = slow;
    (0..12).for_each(|_| recovered.observe(true, Duration::from_millis(30)));
    assert_eq!(prefill_engine_count(&recovered), 1_000);
}

#[test]
fn the_faster_one_is_preferred_when_both_are_slow() {
    assert_eq!(prefill_engine_count(&after(300, 900, 50)), 1_000);
    assert!(prefill_engine_count(&after(900, 300, 50)) < 200);
}
