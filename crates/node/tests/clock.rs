//! The process's own clock.

use std::fs;
use std::time::Duration;

use havengate_core::time::Timestamp;
use havengate_node::clock::Clock;

/// The time since the machine started, suspended or not, as the system itself tells it.
fn system_uptime() -> Duration {
    let text = fs::read_to_string("/proc/uptime").expect("the system tells it");
    let seconds = text.split_whitespace().next().and_then(|seconds| seconds.parse().ok()).expect("seconds");
    Duration::from_secs_f64(seconds)
}

/// A machine that was suspended for seconds woke up with a lease that it believed to be in force, since the steady clock had stood
/// still. Nothing here can suspend a machine; what can be shown is that the clock goes with the one that counts it.
#[test]
fn the_clock_goes_with_the_time_since_the_machine_started() {
    // The system tells it to the hundredth, cut off.
    let told = Duration::from_millis(11);
    let before = system_uptime();
    let clock = Clock::start();
    let started_between = before..=system_uptime() + told;
    for _ in 0..100 {
        let earliest = system_uptime().saturating_sub(*started_between.end());
        let since_start = clock.now().since(Timestamp::ZERO);
        let latest = system_uptime() + told - *started_between.start();
        assert!(earliest <= since_start && since_start <= latest, "{earliest:?} <= {since_start:?} <= {latest:?}");
    }
}

#[test]
fn a_clock_with_a_past_tells_what_was_before_its_start() {
    let past = Duration::from_secs(60);
    let clock = Clock::start_with_past(past);
    let started = clock.now();
    assert!(started >= Timestamp::ZERO + past);
    assert!(clock.now() >= started);
    assert!(started - past < started, "a minute ago has a time of its own");
}
