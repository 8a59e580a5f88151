//! The directory of back ends, and their health.

mod support {
    pub mod relay_fixture;
}

use std::time::Duration;

use havengate_core::back_ends::{
    BackEnd, BackEndHealth, BackEndState, Directory, DirectoryChange, DirectoryListing, HealthLimits, LAST_RESORT,
    Usability,
};
use havengate_core::store::Revision;
use havengate_core::time::Timestamp;
use support::relay_fixture::back_end;

const START: Timestamp = Timestamp::from_millis(1_000);

fn listing(revision: u64, numbers: &[u8]) -> DirectoryListing {
    let back_ends = numbers.iter().map(|number| back_end(*number, None)).collect();
    DirectoryListing { revision: Revision(revision), back_ends }
}

fn usability(directory: &Directory, number: u8, now: Timestamp) -> Option<Usability> {
    let id = back_end(number, None).id;
    directory.entries().find(|entry| entry.back_end.id == id).map(|entry| entry.usability(now))
}

fn draining(number: u8) -> BackEnd {
    BackEnd { state: BackEndState::Draining, ..back_end(number, None) }
}

fn directory_of(numbers: &[u8]) -> Directory {
    let mut directory = Directory::new();
    assert!(directory.adopt(listing(10, numbers), START));
    directory
}

#[test]
fn a_draining_back_end_is_a_last_resort_and_then_nothing() {
    let mut directory = directory_of(&[1, 2]);
    directory.apply(vec![DirectoryChange::Put(draining(1))], Revision(11), START);
    assert_eq!(usability(&directory, 1, START), Some(Usability::LastResort));
    assert_eq!(usability(&directory, 2, START), Some(Usability::Usable));
    assert_eq!(usability(&directory, 1, START + LAST_RESORT), Some(Usability::Unusable));
}

#[test]
fn a_heartbeat_of_a_draining_back_end_does_not_lengthen_its_last_resort() {
    let mut directory = directory_of(&[1]);
    directory.apply(vec![DirectoryChange::Put(draining(1))], Revision(11), START);
    let later = START + LAST_RESORT;
    directory.apply(vec![DirectoryChange::Put(draining(1))], Revision(12), later);
    assert_eq!(usability(&directory, 1, later), Some(Usability::Unusable));
}

#[test]
fn a_vanished_entry_is_a_last_resort_until_it_is_forgotten_or_comes_back() {
    let mut directory = directory_of(&[1, 2]);
    directory.apply(vec![DirectoryChange::Gone(back_end(1, None).id)], Revision(11), START);
    assert_eq!(usability(&directory, 1, START), Some(Usability::LastResort));
    assert_eq!(directory.listing().back_ends, vec![back_end(2, None)], "peers are not told of it");
    directory.apply(vec![DirectoryChange::Put(back_end(1, None))], Revision(12), START);
    assert_eq!(usability(&directory, 1, START), Some(Usability::Usable));
    directory.apply(vec![DirectoryChange::Gone(back_end(1, None).id)], Revision(13), START);
    directory.apply(Vec::new(), Revision(14), START + LAST_RESORT);
    assert_eq!(usability(&directory, 1, START + LAST_RESORT), None);
}

#[test]
fn a_draining_back_end_is_forgotten_once_it_has_vanished() {
    let mut directory = directory_of(&[1]);
    directory.apply(vec![DirectoryChange::Put(draining(1))], Revision(11), START);
    directory.apply(vec![DirectoryChange::Gone(back_end(1, None).id)], Revision(12), START + LAST_RESORT);
    assert_eq!(directory.entries().count(), 0);
}

#[test]
fn an_older_listing_or_change_is_not_taken() {
    let mut directory = directory_of(&[1]);
    assert!(!directory.adopt(listing(9, &[1, 2]), START));
    directory.apply(vec![DirectoryChange::Put(back_end(3, None))], Revision(9), START);
    assert_eq!(directory.listing(), listing(10, &[1]));
}

#[test]
fn what_a_newer_listing_lacks_has_vanished() {
    let mut directory = directory_of(&[1, 2]);
    assert!(directory.adopt(listing(20, &[2]), START));
    assert_eq!(usability(&directory, 1, START), Some(Usability::LastResort));
    assert_eq!(directory.revision(), Revision(20));
}

#[test]
fn the_revision_never_falls() {
    let property = |choices: &mut arbtest::arbitrary::Unstructured<'_>| {
        let mut directory = Directory::new();
        let mut highest = Revision(0);
        for _ in 0..30 {
            let revision = choices.int_in_range(1..=50_u64)?;
            if choices.arbitrary()? {
                directory.adopt(listing(revision, &[1]), START);
            } else {
                directory.apply(vec![DirectoryChange::Put(back_end(2, None))], Revision(revision), START);
            }
            assert!(directory.revision() >= highest);
            highest = directory.revision();
        }
        Ok(())
    };
    for seed in 1..=100_u64 {
        arbtest::arbtest(property).seed(seed << 32 | 0x400);
    }
}

fn health() -> BackEndHealth {
    BackEndHealth::new(HealthLimits::default())
}

#[test]
fn a_few_failures_among_successes_do_not_eject() {
    let mut health = health();
    for turn in 0..100 {
        if turn % 4 == 0 {
            assert!(!health.record_failure(START));
        } else {
            health.record_success();
        }
    }
    assert!(health.admits(START));
}

#[test]
fn many_failures_eject_and_one_probe_at_a_time_comes_back() {
    let mut health = health();
    let ejections = (0..10).filter(|_| health.record_failure(START)).count();
    assert_eq!(ejections, 1, "what was under way does not eject again");
    assert!(!health.admits(START));
    let probe = START + HealthLimits::default().back_off_minimum;
    assert!(health.admits(probe));
    health.record_send(probe);
    assert!(!health.admits(probe), "one probe at a time");
    health.record_success();
    assert!(health.admits(probe) && !health.is_ejected());
}

#[test]
fn a_back_end_that_cant_be_reached_is_ejected_at_once_and_longer_each_time() {
    let mut health = health();
    assert!(health.record_unreachable(START));
    let limits = HealthLimits::default();
    let mut now = START;
    let mut back_off = limits.back_off_minimum;
    for _ in 0..8 {
        assert!(!health.admits(now + back_off - Duration::from_millis(1)));
        now = now + back_off;
        assert!(health.admits(now));
        health.record_send(now);
        assert!(health.record_unreachable(now));
        back_off = (2 * back_off).min(limits.back_off_maximum);
    }
    assert_eq!(back_off, limits.back_off_maximum);
}

#[test]
fn a_probe_that_never_comes_back_does_not_block_for_ever() {
    let mut health = health();
    health.record_unreachable(START);
    let probe = START + HealthLimits::default().back_off_minimum;
    health.record_send(probe);
    assert!(!health.admits(probe + Duration::from_millis(500)));
    assert!(health.admits(probe + Duration::from_secs(3)));
}
