//! The directory when the store comes back from an older copy.

mod support {
    pub mod relay_fixture;
}

use std::time::Duration;

use havengate_core::back_ends::{
    BackEnd, BackEndState, DOUBTED, Directory, DirectoryChange, DirectoryChanges, DirectoryListing, DirectoryUpdate,
    LAST_RESORT, Usability, WRITTEN_AGAIN,
};
use havengate_core::store::{Position, Revision, StoreEra};
use havengate_core::time::Timestamp;
use havengate_core::world::{BackEndId, BackEndName, StartMoment};
use speedy::{LittleEndian, Readable, Writable};
use support::relay_fixture::back_end;

const START: Timestamp = Timestamp::from_millis(1_000);

/// When the store goes back in these tests: long after what happened before has lost its effect.
const BACK: Timestamp = Timestamp::from_millis(11_000);

fn position(era: u64, revision: u64) -> Position {
    Position::new(StoreEra::new(era).expect("an era"), Revision(revision))
}

fn listing(era: u64, revision: u64, back_ends: Vec<BackEnd>) -> DirectoryListing {
    DirectoryListing { position: position(era, revision), back_ends, spoiled: Vec::new() }
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
    assert!(directory.adopt(listing(2, 300, vec![draining(1), ready(2)]), BACK));
    assert_eq!(usability(&directory, 1, BACK + LAST_RESORT), Some(Usability::Unusable));
    assert!(directory.apply(changes(2, 301, vec![DirectoryChange::Put(draining(2))]), BACK));
    assert_eq!((directory.position(), directory.went_back()), (position(2, 301), true));
}

#[test]
fn what_is_told_of_a_former_era_is_dropped_however_high_its_revision() {
    let mut directory = directory_of(&[1]);
    assert!(directory.adopt(listing(2, 300, vec![ready(1)]), BACK));
    assert!(!directory.adopt(listing(1, 900, vec![draining(1)]), BACK));
    assert!(!directory.apply(changes(1, 901, vec![DirectoryChange::Gone(ready(1).id.name().clone())]), BACK));
    assert_eq!((directory.position(), usability(&directory, 1, BACK)), (position(2, 300), Some(Usability::Usable)));
}

#[test]
fn changes_never_lead_from_one_era_to_another() {
    let mut directory = directory_of(&[1]);
    assert!(!directory.apply(changes(2, 600, Vec::new()), BACK));
    assert_eq!(directory.position(), position(1, 500));
}

#[test]
fn an_entry_that_the_copy_lacks_serves_until_it_must_have_been_written_again() {
    let mut directory = directory_of(&[1, 2]);
    assert!(directory.adopt(listing(2, 300, vec![ready(2)]), BACK));
    // Another reader's list of the same era says no more than the first one.
    assert!(directory.adopt(listing(2, 301, vec![ready(2)]), BACK + WRITTEN_AGAIN / 2));
    let until = BACK + WRITTEN_AGAIN;
    assert_eq!(usability(&directory, 1, until - Duration::from_millis(1)), Some(Usability::Usable));
    assert_eq!(usability(&directory, 1, until), Some(Usability::LastResort));
    assert_eq!(usability(&directory, 1, until + LAST_RESORT), Some(Usability::Unusable));
    assert_eq!(directory.listing().back_ends, [ready(2)], "others are told what the store says");
}

#[test]
fn an_entry_that_is_written_again_serves_on() {
    let mut directory = directory_of(&[1, 2]);
    assert!(directory.adopt(listing(2, 300, vec![ready(2)]), BACK));
    directory.apply(changes(2, 301, vec![DirectoryChange::Put(ready(1))]), BACK + WRITTEN_AGAIN / 2);
    let late = BACK + WRITTEN_AGAIN + LAST_RESORT;
    assert_eq!(usability(&directory, 1, late), Some(Usability::Usable));
}

#[test]
fn an_entry_that_goes_in_the_new_era_is_gone_at_once() {
    let mut directory = directory_of(&[1, 2]);
    assert!(directory.adopt(listing(2, 300, vec![ready(2)]), BACK));
    directory.apply(changes(2, 301, vec![DirectoryChange::Gone(ready(1).id.name().clone())]), BACK);
    directory.apply(changes(2, 302, vec![DirectoryChange::Gone(ready(2).id.name().clone())]), BACK);
    assert_eq!(usability(&directory, 2, BACK), Some(Usability::LastResort));
    assert_eq!(usability(&directory, 2, BACK + LAST_RESORT), Some(Usability::Unusable));
}

#[test]
fn a_life_that_was_gone_and_is_in_the_copy_gets_nothing_until_its_entry_would_have_lapsed() {
    for gone_before in [Duration::from_millis(100), Duration::from_secs(9)] {
        let mut directory = directory_of(&[1, 2]);
        let gone_at = BACK - gone_before;
        directory.apply(changes(1, 501, vec![DirectoryChange::Gone(ready(1).id.name().clone())]), gone_at);
        directory.apply(changes(1, 502, Vec::new()), BACK - Duration::from_millis(50));
        assert!(directory.adopt(listing(2, 300, vec![ready(1), ready(2)]), BACK));
        let until = BACK + DOUBTED;
        assert_eq!(usability(&directory, 1, BACK), Some(Usability::Unusable));
        assert_eq!(usability(&directory, 1, until - Duration::from_millis(1)), Some(Usability::Unusable));
        assert_eq!(usability(&directory, 1, until), Some(Usability::Usable), "somebody keeps it");
        assert_eq!(usability(&directory, 2, BACK), Some(Usability::Usable));
    }
}

#[test]
fn a_life_that_said_that_it_leaves_leaves_though_the_copy_says_ready() {
    let mut directory = directory_of(&[1, 2]);
    directory.apply(changes(1, 501, vec![DirectoryChange::Put(draining(1))]), START);
    assert!(directory.adopt(listing(2, 300, vec![ready(1), ready(2)]), BACK));
    directory.apply(changes(2, 301, vec![DirectoryChange::Put(ready(1))]), BACK);
    assert_eq!(usability(&directory, 1, BACK), Some(Usability::Unusable));
    assert_eq!(directory.listing().back_ends, [draining(1), ready(2)], "and others are told so");
    let mut other = Directory::new();
    assert!(other.adopt(listing(2, 300, vec![ready(1), ready(2)]), BACK));
    directory.apply(changes(2, 302, vec![DirectoryChange::Put(draining(1))]), BACK);
    let Some(DirectoryUpdate::Changes(news)) = directory.news_since(other.position()) else {
        panic!("it stands in the same era");
    };
    assert!(other.apply(news, BACK));
    assert_eq!(other.listing().back_ends, [draining(1), ready(2)], "what is nothing new here may be new to others");
}

#[test]
fn the_former_life_in_the_copy_gets_nothing_and_the_present_one_serves_once_it_is_written_again() {
    let life = |started| BackEnd {
        id: BackEndId::of_life(BackEndName::new("engine-1"), Some(StartMoment(started))),
        ..ready(1)
    };
    let mut directory = Directory::new();
    assert!(directory.adopt(listing(1, 500, vec![life(200)]), START));
    assert!(directory.adopt(listing(2, 300, vec![life(100)]), BACK));
    assert_eq!(directory.get(&life(100).id).map(|entry| entry.usability(BACK)), Some(Usability::Unusable));
    directory.apply(changes(2, 301, vec![DirectoryChange::Put(life(200))]), BACK);
    assert_eq!(directory.get(&life(200).id).map(|entry| entry.usability(BACK)), Some(Usability::Usable));
}

#[test]
fn a_replica_of_the_former_era_is_told_all_and_one_of_a_later_era_nothing() {
    let mut directory = directory_of(&[1, 2]);
    assert!(directory.adopt(listing(2, 300, vec![ready(1)]), BACK));
    for former in [position(1, 200), position(1, 300), position(1, 900)] {
        assert_eq!(directory.news_since(former), Some(DirectoryUpdate::Listing(directory.listing())));
    }
    assert_eq!(directory.news_since(position(3, 1)), None);
}

#[test]
fn a_replica_without_an_era_is_told_none_and_no_change_that_may_not_lead_on_from_its_own() {
    let mut directory = directory_of(&[1]);
    directory.apply(changes(1, 510, vec![DirectoryChange::Put(ready(2))]), START);
    let put = DirectoryChange::Put(ready(2));
    let told = DirectoryChanges { position: position(0, 510), changes: vec![put] };
    assert_eq!(directory.news_since(position(0, 500)), Some(DirectoryUpdate::Changes(told)));
    assert!(directory.adopt(listing(2, 300, vec![ready(1)]), BACK));
    directory.apply(changes(2, 310, vec![DirectoryChange::Put(ready(2))]), BACK);
    let whole = DirectoryUpdate::Listing(listing(0, 310, vec![ready(1), ready(2)]));
    assert_eq!(directory.news_since(position(0, 305)), Some(whole));
    assert_eq!(directory.news_since(position(0, 311)), None);
}

#[test]
fn a_listing_behind_the_store_itself_is_one_of_an_older_copy_though_no_era_is_told() {
    let mut directory = Directory::new();
    assert!(directory.adopt(listing(0, 500, vec![ready(1), ready(2)]), START));
    directory.adopt_older(listing(0, 300, vec![draining(1)]), BACK);
    assert_eq!((directory.position(), directory.went_back()), (position(0, 300), true));
    assert_eq!(usability(&directory, 1, BACK + LAST_RESORT), Some(Usability::Unusable));
    assert_eq!(usability(&directory, 2, BACK), Some(Usability::Usable));
    assert!(directory.apply(changes(0, 301, vec![DirectoryChange::Put(draining(2))]), BACK));
}

#[test]
fn a_position_without_an_era_is_told_as_the_bare_revision() {
    let bytes = |value: &dyn Fn() -> Vec<u8>| value();
    for revision in [0, 1, 500, Position::REVISION_MAXIMUM.0] {
        let bare = bytes(&|| Revision(revision).write_to_vec_with_ctx(LittleEndian {}).expect("written"));
        let packed = bytes(&|| position(0, revision).write_to_vec_with_ctx(LittleEndian {}).expect("written"));
        assert_eq!(bare, packed);
    }
}

#[test]
fn positions_are_read_as_they_were_told_and_keep_their_order() {
    let eras = [0, 1, 7, StoreEra::MAXIMUM.number()];
    let revisions = [0, 1, 500, Position::REVISION_MAXIMUM.0];
    let all = eras.iter().flat_map(|era| revisions.iter().map(|revision| position(*era, *revision)));
    let mut before = None;
    for position in all {
        let bytes = position.write_to_vec().expect("written");
        assert_eq!(Position::read_from_buffer(&bytes).expect("read"), position);
        assert!(before < Some(position));
        before = Some(position);
    }
    assert_eq!(StoreEra::new(StoreEra::MAXIMUM.number() + 1), None);
    assert_eq!(StoreEra::new(u64::MAX), None);
}
