//! The directory after the store is restored from an older snapshot.

mod support {
    pub mod relay_fixture;
}

use std::time::Duration;

use havengate_core::back_ends::{
    BackEnd, BackEndState, Directory, DirectoryChange, DirectoryChanges, DirectoryListing, DirectoryUpdate,
    LAST_RESORT, QUARANTINE, REWRITE_GRACE, Usability,
};
use havengate_core::store::{Position, Revision, StoreEra};
use havengate_core::time::Timestamp;
use havengate_core::world::{BackEndId, BackEndName, StartMoment};
use speedy::{LittleEndian, Readable, Writable};
use support::relay_fixture::back_end;

const START: Timestamp = Timestamp::from_millis(1_000);

/// When the store is restored in these tests: long after earlier events have lost their effect.
const RESTORED_AT: Timestamp = Timestamp::from_millis(11_000);

fn position(era: u64, revision: u64) -> Position {
    Position::new(StoreEra::new(era).expect("an era"), Revision(revision))
}

fn listing(era: u64, revision: u64, back_ends: Vec<BackEnd>) -> DirectoryListing {
    DirectoryListing { position: position(era, revision), back_ends, malformed: Vec::new() }
}

fn changes(era: u64, revision: u64, changes: Vec<DirectoryChange>) -> DirectoryChanges {
    DirectoryChanges { position: position(era, revision), changes }
}

fn ready(number: u8) -> BackEnd {
    back_end(number, None)
}

fn draining(number: u8) -> BackEnd {
    BackEnd { state: BackEndState::Draining, ..ready(number) }
}

fn usability(directory: &Directory, number: u8, now: Timestamp) -> Option<Usability> {
    directory.get(&ready(number).id).map(|entry| entry.usability(now))
}

/// A directory in era 1 at revision 500.
fn directory_of(numbers: &[u8]) -> Directory {
    let mut directory = Directory::new();
    assert!(directory.adopt(listing(1, 500, numbers.iter().map(|number| ready(*number)).collect()), START));
    directory
}

#[test]
fn a_lower_revision_of_a_later_era_is_newer() {
    let mut directory = directory_of(&[1, 2]);
    assert!(directory.adopt(listing(2, 300, vec![draining(1), ready(2)]), RESTORED_AT));
    assert_eq!(usability(&directory, 1, RESTORED_AT + LAST_RESORT), Some(Usability::Unusable));
    assert!(directory.apply(changes(2, 301, vec![DirectoryChange::Put(draining(2))]), RESTORED_AT));
    assert_eq!((directory.position(), directory.was_restored()), (position(2, 301), true));
}

#[test]
fn updates_of_a_previous_era_are_ignored_however_high_their_revision() {
    let mut directory = directory_of(&[1]);
    assert!(directory.adopt(listing(2, 300, vec![ready(1)]), RESTORED_AT));
    assert!(!directory.adopt(listing(1, 900, vec![draining(1)]), RESTORED_AT));
    assert!(!directory.apply(changes(1, 901, vec![DirectoryChange::Gone(ready(1).id.name().clone())]), RESTORED_AT));
    assert_eq!(
        (directory.position(), usability(&directory, 1, RESTORED_AT)),
        (position(2, 300), Some(Usability::Usable))
    );
}

#[test]
fn changes_never_cross_eras() {
    let mut directory = directory_of(&[1]);
    assert!(!directory.apply(changes(2, 600, Vec::new()), RESTORED_AT));
    assert_eq!(directory.position(), position(1, 500));
}

#[test]
fn an_entry_missing_from_the_snapshot_is_usable_until_the_rewrite_grace_ends() {
    let mut directory = directory_of(&[1, 2]);
    assert!(directory.adopt(listing(2, 300, vec![ready(2)]), RESTORED_AT));
    // Another reader's listing of the same era adds nothing to the first one.
    assert!(directory.adopt(listing(2, 301, vec![ready(2)]), RESTORED_AT + REWRITE_GRACE / 2));
    let until = RESTORED_AT + REWRITE_GRACE;
    assert_eq!(usability(&directory, 1, until - Duration::from_millis(1)), Some(Usability::Usable));
    assert_eq!(usability(&directory, 1, until), Some(Usability::LastResort));
    assert_eq!(usability(&directory, 1, until + LAST_RESORT), Some(Usability::Unusable));
    assert_eq!(directory.listing().back_ends, [ready(2)], "others get what the store lists");
}

#[test]
fn an_entry_that_is_written_again_stays_usable() {
    let mut directory = directory_of(&[1, 2]);
    assert!(directory.adopt(listing(2, 300, vec![ready(2)]), RESTORED_AT));
    directory.apply(changes(2, 301, vec![DirectoryChange::Put(ready(1))]), RESTORED_AT + REWRITE_GRACE / 2);
    let late = RESTORED_AT + REWRITE_GRACE + LAST_RESORT;
    assert_eq!(usability(&directory, 1, late), Some(Usability::Usable));
}

#[test]
fn an_entry_removed_in_the_new_era_becomes_a_last_resort_at_once() {
    let mut directory = directory_of(&[1, 2]);
    assert!(directory.adopt(listing(2, 300, vec![ready(2)]), RESTORED_AT));
    directory.apply(changes(2, 301, vec![DirectoryChange::Gone(ready(1).id.name().clone())]), RESTORED_AT);
    directory.apply(changes(2, 302, vec![DirectoryChange::Gone(ready(2).id.name().clone())]), RESTORED_AT);
    assert_eq!(usability(&directory, 2, RESTORED_AT), Some(Usability::LastResort));
    assert_eq!(usability(&directory, 2, RESTORED_AT + LAST_RESORT), Some(Usability::Unusable));
}

#[test]
fn a_removed_incarnation_in_the_snapshot_is_quarantined_until_its_entry_would_have_expired() {
    for removed_before in [Duration::from_millis(100), Duration::from_secs(9)] {
        let mut directory = directory_of(&[1, 2]);
        let removed_at = RESTORED_AT - removed_before;
        directory.apply(changes(1, 501, vec![DirectoryChange::Gone(ready(1).id.name().clone())]), removed_at);
        directory.apply(changes(1, 502, Vec::new()), RESTORED_AT - Duration::from_millis(50));
        assert!(directory.adopt(listing(2, 300, vec![ready(1), ready(2)]), RESTORED_AT));
        let until = RESTORED_AT + QUARANTINE;
        assert_eq!(usability(&directory, 1, RESTORED_AT), Some(Usability::Unusable));
        assert_eq!(usability(&directory, 1, until - Duration::from_millis(1)), Some(Usability::Unusable));
        assert_eq!(usability(&directory, 1, until), Some(Usability::Usable), "the back end keeps its entry alive");
        assert_eq!(usability(&directory, 2, RESTORED_AT), Some(Usability::Usable));
    }
}

#[test]
fn a_draining_incarnation_stays_draining_though_the_snapshot_lists_it_as_ready() {
    let mut directory = directory_of(&[1, 2]);
    directory.apply(changes(1, 501, vec![DirectoryChange::Put(draining(1))]), START);
    assert!(directory.adopt(listing(2, 300, vec![ready(1), ready(2)]), RESTORED_AT));
    directory.apply(changes(2, 301, vec![DirectoryChange::Put(ready(1))]), RESTORED_AT);
    assert_eq!(usability(&directory, 1, RESTORED_AT), Some(Usability::Unusable));
    assert_eq!(directory.listing().back_ends, [draining(1), ready(2)], "others get it as draining");
    let mut other = Directory::new();
    assert!(other.adopt(listing(2, 300, vec![ready(1), ready(2)]), RESTORED_AT));
    directory.apply(changes(2, 302, vec![DirectoryChange::Put(draining(1))]), RESTORED_AT);
    let Some(DirectoryUpdate::Changes(update)) = directory.update_since(other.position()) else {
        panic!("it should be in the same era");
    };
    assert!(other.apply(update, RESTORED_AT));
    assert_eq!(other.listing().back_ends, [draining(1), ready(2)], "a redundant change here may be new to others");
}

#[test]
fn the_previous_incarnation_in_the_snapshot_is_unusable_and_the_current_one_usable_once_written_again() {
    let incarnation = |started| BackEnd {
        id: BackEndId::of_incarnation(BackEndName::new("engine-1"), Some(StartMoment(started))),
        ..ready(1)
    };
    let mut directory = Directory::new();
    assert!(directory.adopt(listing(1, 500, vec![incarnation(200)]), START));
    assert!(directory.adopt(listing(2, 300, vec![incarnation(100)]), RESTORED_AT));
    assert_eq!(
        directory.get(&incarnation(100).id).map(|entry| entry.usability(RESTORED_AT)),
        Some(Usability::Unusable)
    );
    directory.apply(changes(2, 301, vec![DirectoryChange::Put(incarnation(200))]), RESTORED_AT);
    assert_eq!(directory.get(&incarnation(200).id).map(|entry| entry.usability(RESTORED_AT)), Some(Usability::Usable));
}

#[test]
fn a_replica_of_a_previous_era_gets_a_listing_and_one_of_a_later_era_nothing() {
    let mut directory = directory_of(&[1, 2]);
    assert!(directory.adopt(listing(2, 300, vec![ready(1)]), RESTORED_AT));
    for previous in [position(1, 200), position(1, 300), position(1, 900)] {
        assert_eq!(directory.update_since(previous), Some(DirectoryUpdate::Listing(directory.listing())));
    }
    assert_eq!(directory.update_since(position(3, 1)), None);
}

#[test]
fn a_replica_without_an_era_gets_no_era_and_no_change_that_may_not_apply_to_its_revision() {
    let mut directory = directory_of(&[1]);
    directory.apply(changes(1, 510, vec![DirectoryChange::Put(ready(2))]), START);
    let put = DirectoryChange::Put(ready(2));
    let announced = DirectoryChanges { position: position(0, 510), changes: vec![put] };
    assert_eq!(directory.update_since(position(0, 500)), Some(DirectoryUpdate::Changes(announced)));
    assert!(directory.adopt(listing(2, 300, vec![ready(1)]), RESTORED_AT));
    directory.apply(changes(2, 310, vec![DirectoryChange::Put(ready(2))]), RESTORED_AT);
    let full = DirectoryUpdate::Listing(listing(0, 310, vec![ready(1), ready(2)]));
    assert_eq!(directory.update_since(position(0, 305)), Some(full));
    assert_eq!(directory.update_since(position(0, 311)), None);
}

#[test]
fn a_listing_behind_the_store_counts_as_a_restore_even_without_a_reported_era() {
    let mut directory = Directory::new();
    assert!(directory.adopt(listing(0, 500, vec![ready(1), ready(2)]), START));
    directory.adopt_restored(listing(0, 300, vec![draining(1)]), RESTORED_AT);
    assert_eq!((directory.position(), directory.was_restored()), (position(0, 300), true));
    assert_eq!(usability(&directory, 1, RESTORED_AT + LAST_RESORT), Some(Usability::Unusable));
    assert_eq!(usability(&directory, 2, RESTORED_AT), Some(Usability::Usable));
    assert!(directory.apply(changes(0, 301, vec![DirectoryChange::Put(draining(2))]), RESTORED_AT));
}

#[test]
fn a_position_without_an_era_is_encoded_as_the_bare_revision() {
    let bytes = |value: &dyn Fn() -> Vec<u8>| value();
    for revision in [0, 1, 500, Position::REVISION_MAXIMUM.0] {
        let bare = bytes(&|| Revision(revision).write_to_vec_with_ctx(LittleEndian {}).expect("encoded"));
        let packed = bytes(&|| position(0, revision).write_to_vec_with_ctx(LittleEndian {}).expect("encoded"));
        assert_eq!(bare, packed);
    }
}

#[test]
fn positions_round_trip_and_keep_their_order() {
    let eras = [0, 1, 7, StoreEra::MAXIMUM.number()];
    let revisions = [0, 1, 500, Position::REVISION_MAXIMUM.0];
    let all = eras.iter().flat_map(|era| revisions.iter().map(|revision| position(*era, *revision)));
    let mut before = None;
    for position in all {
        let bytes = position.write_to_vec().expect("encoded");
        assert_eq!(Position::read_from_buffer(&bytes).expect("decoded"), position);
        assert!(before < Some(position));
        before = Some(position);
    }
    assert_eq!(StoreEra::new(StoreEra::MAXIMUM.number() + 1), None);
    assert_eq!(StoreEra::new(u64::MAX), None);
}
