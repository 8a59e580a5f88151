//! Tests of the candidate selection and of the true time estimate.

use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::duties::{HolderWatch, HolderWatchConfig, TrueTime, TrueTimeConfig, UnavailableCandidates};
use havengate_core::time::Timestamp;
use havengate_core::world::Address;

fn address(number: u8) -> Address {
    Address(SocketAddr::from(([10, 0, 0, number], 8_000)))
}

fn seconds(seconds: f64) -> Timestamp {
    Timestamp::from_millis((seconds * 1e3) as u64)
}

fn watch_of(number: u8) -> HolderWatch {
    HolderWatch::new(HolderWatchConfig::default(), address(number))
}

#[test]
fn the_second_candidate_acts_only_while_the_first_is_silent() {
    let ranked = [address(1), address(2)];
    let mut first = watch_of(1);
    assert!(first.should_act(&ranked, false, |_| None, seconds(10.0)));
    let mut second = watch_of(2);
    let received = |at: f64| move |_| Some(seconds(at));
    assert!(!second.should_act(&ranked, false, received(9.5), seconds(10.0)));
    assert!(!second.should_act(&ranked, false, received(9.5), seconds(12.0)));
    assert!(second.should_act(&ranked, false, received(9.5), seconds(13.5)));
    assert!(!second.should_act(&ranked, false, received(13.6), seconds(13.7)), "the first candidate is up again");
}

#[test]
fn a_candidate_with_a_new_predecessor_waits_for_the_silence_timeout() {
    let mut second = watch_of(2);
    assert!(!second.should_act(&[address(1), address(2)], false, |_| None, seconds(10.0)));
    assert!(second.should_act(&[address(1), address(2)], false, |_| None, seconds(13.5)));
    assert!(
        !second.should_act(&[address(3), address(2)], false, |_| None, seconds(13.6)),
        "another node is ranked before it now"
    );
}

#[test]
fn a_holder_continues_while_it_is_a_candidate() {
    let mut second = watch_of(2);
    assert!(second.should_act(&[address(1), address(2)], true, |_| Some(seconds(10.0)), seconds(10.0)));
    assert!(!second.should_act(&[address(1), address(3)], true, |_| Some(seconds(10.0)), seconds(10.0)));
}

/// Guards against duties that no node performs: a first candidate without paths to engines still reports its demand.
#[test]
fn a_candidate_that_declared_itself_unavailable_counts_as_silent_for_three_seconds() {
    let mut unavailable = UnavailableCandidates::default();
    unavailable.record(address(1), seconds(10.0));
    assert!(unavailable.contains(address(1), seconds(12.9)));
    assert!(!unavailable.contains(address(2), seconds(12.9)));
    assert!(!unavailable.contains(address(1), seconds(13.0)));
    let mut second = watch_of(2);
    let ranked = [address(1), address(2)];
    assert!(!second.should_act(&ranked, false, |_| Some(seconds(6.0)), seconds(6.0)));
    let reported = |candidate| Some(seconds(10.0)).filter(|_| !unavailable.contains(candidate, seconds(10.1)));
    assert!(second.should_act(&ranked, false, reported, seconds(10.1)));
}

const EPOCH: Duration = Duration::from_secs(1_780_000_000);

#[test]
fn a_temporary_jump_of_the_time_of_day_is_ignored() {
    let mut time = TrueTime::new(TrueTimeConfig::default());
    let mut at = |now: f64, time_of_day: f64| {
        let estimated = time.at(seconds(now), EPOCH + Duration::from_secs_f64(time_of_day));
        (estimated - EPOCH).as_secs_f64()
    };
    let assert_close = |estimated: f64, expected: f64| {
        assert!((estimated - expected).abs() < 0.002, "{estimated} instead of {expected}")
    };
    assert_close(at(10.0, 100.0), 100.0);
    assert_close(at(20.0, 110.1), 110.1);
    assert_close(at(21.0, 113.2), 111.1);
    assert_close(at(25.0, 117.2), 115.1);
    assert_close(at(26.0, 116.1), 116.1);
    assert_close(at(27.0, 115.1), 117.1);
    assert_close(at(90.0, 178.1), 178.1);
}

#[test]
fn a_lasting_jump_of_the_time_of_day_is_accepted_after_a_delay() {
    let mut time = TrueTime::new(TrueTimeConfig::default());
    let mut at = |now: f64, time_of_day: f64| {
        let estimated = time.at(seconds(now), EPOCH + Duration::from_secs_f64(time_of_day));
        (estimated - EPOCH).as_secs_f64()
    };
    at(10.0, 100.0);
    assert!((at(20.0, 10.0) - 110.0).abs() < 0.002);
    assert!((at(70.0, 60.0) - 160.0).abs() < 0.002);
    assert!((at(81.0, 71.0) - 71.0).abs() < 0.002);
}
