//! Who is to act, and what time it is.

use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::duties::{HolderWatch, HolderWatchConfig, TrueTime, TrueTimeConfig};
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
fn the_first_acts_and_the_next_only_while_the_first_is_silent() {
    let ranked = [address(1), address(2)];
    let mut first = watch_of(1);
    assert!(first.should_act(&ranked, false, |_| None, seconds(10.0)));
    let mut next = watch_of(2);
    let heard = |at: f64| move |_| Some(seconds(at));
    assert!(!next.should_act(&ranked, false, heard(9.5), seconds(10.0)));
    assert!(!next.should_act(&ranked, false, heard(9.5), seconds(12.0)));
    assert!(next.should_act(&ranked, false, heard(9.5), seconds(13.5)));
    assert!(!next.should_act(&ranked, false, heard(13.6), seconds(13.7)), "the first is back");
}

#[test]
fn one_that_has_just_learned_who_is_before_it_waits_for_a_sign_of_it() {
    let mut next = watch_of(2);
    assert!(!next.should_act(&[address(1), address(2)], false, |_| None, seconds(10.0)));
    assert!(next.should_act(&[address(1), address(2)], false, |_| None, seconds(13.5)));
    assert!(
        !next.should_act(&[address(3), address(2)], false, |_| None, seconds(13.6)),
        "another one is before it now"
    );
}

#[test]
fn a_holder_goes_on_while_it_is_a_candidate() {
    let mut next = watch_of(2);
    assert!(next.should_act(&[address(1), address(2)], true, |_| Some(seconds(10.0)), seconds(10.0)));
    assert!(!next.should_act(&[address(1), address(3)], true, |_| Some(seconds(10.0)), seconds(10.0)));
}

const EPOCH: Duration = Duration::from_secs(1_780_000_000);

#[test]
fn a_time_of_day_that_jumps_and_goes_back_is_not_followed() {
    let mut time = TrueTime::new(TrueTimeConfig::default());
    let mut at = |now: f64, of_day: f64| {
        let told = time.at(seconds(now), EPOCH + Duration::from_secs_f64(of_day));
        (told - EPOCH).as_secs_f64()
    };
    let close = |told: f64, truth: f64| assert!((told - truth).abs() < 0.002, "{told}, in truth {truth}");
    close(at(10.0, 100.0), 100.0);
    close(at(20.0, 110.1), 110.1);
    close(at(21.0, 113.2), 111.1);
    close(at(25.0, 117.2), 115.1);
    close(at(26.0, 116.1), 116.1);
    close(at(27.0, 115.1), 117.1);
    close(at(90.0, 178.1), 178.1);
}

#[test]
fn a_time_of_day_that_stays_elsewhere_is_believed_in_the_end() {
    let mut time = TrueTime::new(TrueTimeConfig::default());
    let mut at = |now: f64, of_day: f64| {
        let told = time.at(seconds(now), EPOCH + Duration::from_secs_f64(of_day));
        (told - EPOCH).as_secs_f64()
    };
    at(10.0, 100.0);
    assert!((at(20.0, 10.0) - 110.0).abs() < 0.002);
    assert!((at(70.0, 60.0) - 160.0).abs() < 0.002);
    assert!((at(81.0, 71.0) - 71.0).abs() < 0.002);
}
