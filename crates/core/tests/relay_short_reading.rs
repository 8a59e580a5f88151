//! Where short prompts are read, by how long they took.

use std::time::Duration;

use havengate_core::relay::ShortPrefill;

const TARGET: Duration = Duration::from_millis(250);

fn times_apart(short_reading: &ShortPrefill) -> usize {
    let mut random = fastrand::Rng::with_seed(1);
    (0..1_000).filter(|_| short_reading.prefers_prefill_engine(TARGET, &mut random)).count()
}

fn after(apart_millis: u64, there_millis: u64, requests: usize) -> ShortPrefill {
    let mut short_reading = ShortPrefill::default();
    for _ in 0..requests {
        short_reading.observe(true, Duration::from_millis(apart_millis));
        short_reading.observe(false, Duration::from_millis(there_millis));
    }
    short_reading
}

#[test]
fn prompts_are_read_apart_while_that_is_fast_enough_even_if_the_other_way_is_faster() {
    assert_eq!(times_apart(&ShortPrefill::default()), 1_000);
    assert_eq!(times_apart(&after(60, 20, 50)), 1_000);
}

#[test]
fn a_few_slow_requests_turn_the_way_and_some_still_look_whether_it_is_fast_again() {
    let slow = after(1_500, 40, 5);
    assert!((50..200).contains(&times_apart(&slow)), "{}", times_apart(&slow));
    let mut again = slow;
    (0..12).for_each(|_| again.observe(true, Duration::from_millis(30)));
    assert_eq!(times_apart(&again), 1_000);
}

#[test]
fn where_both_are_slow_the_faster_one_is_taken() {
    assert_eq!(times_apart(&after(300, 900, 50)), 1_000);
    assert!(times_apart(&after(900, 300, 50)) < 200);
}
