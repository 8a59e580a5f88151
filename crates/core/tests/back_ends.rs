//! The directory of back ends, and their health state.

mod support {
    pub mod relay_fixture;
}

use std::time::Duration;

use havengate_core::back_ends::{
    BackEnd, BackEndHealth, BackEndState, Directory, DirectoryChange, DirectoryChanges, DirectoryListing,
    DirectoryUpdate, HealthLimits, LAST_RESORT, Usability,
};
use havengate_core::store::{Position, Revision};
use havengate_core::time::Timestamp;
use support::relay_fixture::back_end;

const START: Timestamp = Timestamp::from_millis(1_000);

fn listing(revision: u64, numbers: &[u8]) -> DirectoryListing {
    let back_ends = numbers.iter().map(|number| back_end(*number, None)).collect();
    DirectoryListing { position: Position::from(Revision(revision)), back_ends, malformed: Vec::new() }
}

fn changes(revision: u64, changes: Vec<DirectoryChange>) -> DirectoryChanges {
    DirectoryChanges { position: Position::from(Revision(revision)), changes }
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
fn a_draining_back_end_is_a_last_resort_and_then_unusable() {
    let mut directory = directory_of(&[1, 2]);
    directory.apply(changes(11, vec![DirectoryChange::Put(draining(1))]), START);
    assert_eq!(usability(&directory, 1, START), Some(Usability::LastResort));
    assert_eq!(usability(&directory, 2, START), Some(Usability::Usable));
    assert_eq!(usability(&directory, 1, START + LAST_RESORT), Some(Usability::Unusable));
}

#[test]
fn a_heartbeat_of_a_draining_back_end_does_not_lengthen_its_last_resort() {
    let mut directory = directory_of(&[1]);
    directory.apply(changes(11, vec![DirectoryChange::Put(draining(1))]), START);
    let later = START + LAST_RESORT;
    directory.apply(changes(12, vec![DirectoryChange::Put(draining(1))]), later);
    assert_eq!(usability(&directory, 1, later), Some(Usability::Unusable));
}

#[test]
fn a_removed_entry_is_a_last_resort_until_it_is_forgotten_or_written_again() {
    let mut directory = directory_of(&[1, 2]);
    directory.apply(changes(11, vec![DirectoryChange::Gone(back_end(1, None).id.name().clone())]), START);
    assert_eq!(usability(&directory, 1, START), Some(Usability::LastResort));
    assert_eq!(directory.listing().back_ends, vec![back_end(2, None)], "peers do not get it");
    directory.apply(changes(12, vec![DirectoryChange::Put(back_end(1, None))]), START);
    assert_eq!(usability(&directory, 1, START), Some(Usability::Usable));
    directory.apply(changes(13, vec![DirectoryChange::Gone(back_end(1, None).id.name().clone())]), START);
    directory.apply(changes(14, Vec::new()), START + LAST_RESORT);
    assert_eq!(usability(&directory, 1, START + LAST_RESORT), None);
}

#[test]
fn a_draining_back_end_is_forgotten_once_its_entry_is_removed() {
    let mut directory = directory_of(&[1]);
    directory.apply(changes(11, vec![DirectoryChange::Put(draining(1))]), START);
    directory.apply(changes(12, vec![DirectoryChange::Gone(back_end(1, None).id.name().clone())]), START + LAST_RESORT);
    assert_eq!(directory.entries().count(), 0);
}

#[test]
fn an_older_listing_or_change_is_ignored() {
    let mut directory = directory_of(&[1]);
    assert!(!directory.adopt(listing(9, &[1, 2]), START));
    directory.apply(changes(9, vec![DirectoryChange::Put(back_end(3, None))]), START);
    assert_eq!(directory.listing(), listing(10, &[1]));
}

#[test]
fn entries_missing_from_a_newer_listing_are_removed() {
    let mut directory = directory_of(&[1, 2]);
    assert!(directory.adopt(listing(20, &[2]), START));
    assert_eq!(usability(&directory, 1, START), Some(Usability::LastResort));
    assert_eq!(directory.position(), Position::from(Revision(20)));
}

#[test]
fn the_revision_never_decreases() {
    let property = |choices: &mut arbtest::arbitrary::Unstructured<'_>| {
        let mut directory = Directory::new();
        let mut highest = Position::default();
        for _ in 0..30 {
            let revision = choices.int_in_range(1..=50_u64)?;
            if choices.arbitrary()? {
                directory.adopt(listing(revision, &[1]), START);
            } else {
                directory.apply(changes(revision, vec![DirectoryChange::Put(back_end(2, None))]), START);
            }
            assert!(directory.position() >= highest);
            highest = directory.position();
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
fn many_failures_eject_and_one_probe_at_a_time_is_admitted() {
    let mut health = health();
    let ejections = (0..10).filter(|_| health.record_failure(START)).count();
    assert_eq!(ejections, 1, "requests in flight do not eject again");
    assert!(!health.admits(START));
    let probe = START + HealthLimits::default().back_off_minimum;
    assert!(health.admits(probe));
    health.record_send(probe);
    assert!(!health.admits(probe), "one probe at a time");
    health.record_success();
    assert!(health.admits(probe) && !health.is_ejected());
}

#[test]
fn an_unreachable_back_end_is_ejected_at_once_and_longer_each_time() {
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
fn a_probe_without_an_answer_does_not_block_forever() {
    let mut health = health();
    health.record_unreachable(START);
    let probe = START + HealthLimits::default().back_off_minimum;
    health.record_send(probe);
    assert!(!health.admits(probe + Duration::from_millis(500)));
    assert!(health.admits(probe + Duration::from_secs(3)));
}

/// Applies a store reader's update to a replica that it feeds.
fn apply_update(update: Option<DirectoryUpdate>, replica: &mut Directory) {
    match update {
        Some(DirectoryUpdate::Changes(changes)) => drop(replica.apply(changes, START)),
        Some(DirectoryUpdate::Listing(listing)) => drop(replica.adopt(listing, START)),
        None => {}
    }
}

#[test]
fn a_replica_that_is_slightly_behind_gets_only_the_changes() {
    let mut directory = directory_of(&[1, 2]);
    let mut replica = directory.clone();
    directory.apply(changes(11, vec![DirectoryChange::Put(back_end(3, None))]), START);
    directory.apply(changes(12, Vec::new()), START);
    directory.apply(changes(13, vec![DirectoryChange::Gone(back_end(1, None).id.name().clone())]), START);
    let update = directory.update_since(replica.position());
    assert!(matches!(&update, Some(DirectoryUpdate::Changes(update)) if update.changes.len() == 2), "{update:?}");
    apply_update(update, &mut replica);
    assert_eq!(replica.listing(), directory.listing());
}

#[test]
fn an_up_to_date_replica_gets_a_confirmation() {
    let mut directory = directory_of(&[1]);
    directory.apply(changes(12, Vec::new()), START);
    assert_eq!(directory.changed_at(), Position::from(Revision(10)), "a confirmation is no change");
    let confirmed = Some(DirectoryUpdate::Changes(changes(12, Vec::new())));
    assert_eq!(directory.update_since(Position::from(Revision(11))), confirmed);
    assert_eq!(
        directory.update_since(Position::from(Revision(12))),
        confirmed,
        "also for a replica at the same revision"
    );
    assert_eq!(directory.update_since(Position::from(Revision(13))), None, "a replica that is ahead gets nothing");
    assert_eq!(Directory::new().update_since(Position::from(Revision(0))), None);
}

#[test]
fn a_redundant_update_is_no_change() {
    let mut directory = directory_of(&[1]);
    let unchanged =
        vec![DirectoryChange::Put(back_end(1, None)), DirectoryChange::Gone(back_end(9, None).id.name().clone())];
    directory.apply(changes(11, unchanged), START);
    assert_eq!((directory.position().revision, directory.changed_at().revision), (Revision(11), Revision(10)));
    let twice = vec![DirectoryChange::Put(draining(1)), DirectoryChange::Put(back_end(1, None))];
    directory.apply(changes(12, twice), START);
    assert_eq!(usability(&directory, 1, START), Some(Usability::Usable), "the last change of a back end takes effect");
    assert_eq!(
        directory.changed_at(),
        Position::from(Revision(12)),
        "another reader may have passed on only the first one"
    );
}

#[test]
fn a_replica_that_got_the_first_of_two_changes_from_another_reader_gets_the_second() {
    let gone = |number: u8| DirectoryChange::Gone(back_end(number, None).id.name().clone());
    let pairs = [
        [DirectoryChange::Put(draining(1)), DirectoryChange::Put(back_end(1, None))],
        [DirectoryChange::Put(back_end(2, None)), gone(2)],
        [gone(1), DirectoryChange::Put(back_end(1, None))],
    ];
    for [first, second] in pairs {
        let (mut one, mut other) = (directory_of(&[1]), directory_of(&[1]));
        let mut replica = directory_of(&[1]);
        one.apply(changes(11, vec![first.clone()]), START);
        apply_update(one.update_since(replica.position()), &mut replica);
        other.apply(changes(12, vec![first, second.clone()]), START);
        apply_update(other.update_since(replica.position()), &mut replica);
        assert_eq!(replica.listing(), other.listing(), "after {second:?}");
    }
}

#[test]
fn a_replica_that_is_far_behind_gets_the_full_directory() {
    let mut directory = directory_of(&[1, 2]);
    let mut replica = directory.clone();
    for revision in 11..2_000 {
        let number = u8::try_from(revision % 7).unwrap() + 1;
        let change = if revision % 14 < 7 {
            DirectoryChange::Put(draining(number))
        } else {
            DirectoryChange::Put(back_end(number, None))
        };
        directory.apply(changes(revision, vec![change]), START);
    }
    let update = directory.update_since(replica.position());
    assert!(matches!(update, Some(DirectoryUpdate::Listing(_))));
    apply_update(update, &mut replica);
    assert_eq!(replica.listing(), directory.listing());
    assert!(
        matches!(directory.update_since(Position::from(Revision(9))), Some(DirectoryUpdate::Listing(_))),
        "older than the kept history"
    );
}

/// Two readers apply the same changes in batches that end at different revisions; a replica that either of them feeds,
/// in any order, reaches the same state.
#[test]
fn a_replica_fed_by_two_readers_converges_with_them() {
    arbtest::arbtest(|u| {
        let mut readers = [directory_of(&[1, 2, 3]), directory_of(&[1, 2, 3])];
        let mut replica = readers[0].clone();
        let mut pending: [Vec<(u64, DirectoryChange)>; 2] = Default::default();
        for revision in 11..60 {
            let number = u.int_in_range(1..=5)?;
            let change = match u.int_in_range(0..=2)? {
                0 => DirectoryChange::Put(back_end(number, None)),
                1 => DirectoryChange::Put(draining(number)),
                _ => DirectoryChange::Gone(back_end(number, None).id.name().clone()),
            };
            for (reader, pending) in readers.iter_mut().zip(&mut pending) {
                pending.push((revision, change.clone()));
                if u.ratio(1, 3)? {
                    let batch = pending.drain(..).map(|(_, change)| change).collect();
                    reader.apply(changes(revision, batch), START);
                }
            }
            let source = &readers[usize::from(u.ratio(1, 2)?)];
            apply_update(source.update_since(replica.position()), &mut replica);
        }
        for (reader, pending) in readers.iter_mut().zip(&mut pending) {
            reader.apply(changes(60, pending.drain(..).map(|(_, change)| change).collect()), START);
        }
        apply_update(readers[0].update_since(replica.position()), &mut replica);
        assert_eq!(readers[0].listing(), readers[1].listing());
        assert_eq!(replica.listing(), readers[0].listing());
        Ok(())
    })
    .seed(1 << 32 | 4_096);
}
