//! What back ends say of themselves in their answers, against what the directory says.

mod support {
    pub mod relay_fixture;
}

use std::time::Duration;

use arbtest::arbitrary::{self, Unstructured};
use havengate_core::back_ends::{
    BackEnd, BackEndNotice, BackEndNotices, BackEndState, Directory, DirectoryChange, DirectoryChanges,
    DirectoryListing, DrainNotice, DrainingBackEnd, Ineligibility, LAST_RESORT, NoticeEffect, REST_MAXIMUM,
    RequestRate, Usability,
};
use havengate_core::relay::PeerNotice;
use havengate_core::store::{Position, Revision};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId, BackEndName, StartMoment};
use speedy::Writable;
use support::relay_fixture::back_end;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const LEAVES: BackEndNotice = BackEndNotice { leaves: true, rest: None, limit: None };

fn rest(millis: u64) -> BackEndNotice {
    BackEndNotice { rest: Some(Duration::from_millis(millis)), ..BackEndNotice::default() }
}

fn after(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

fn directory_of(back_ends: &[BackEnd]) -> Directory {
    let mut directory = Directory::new();
    let listing =
        DirectoryListing { position: Position::from(Revision(1)), back_ends: back_ends.to_vec(), spoiled: Vec::new() };
    assert!(directory.adopt(listing, START));
    directory
}

fn usability(notices: &BackEndNotices, directory: &Directory, id: &BackEndId, now: Timestamp) -> Option<Usability> {
    directory.get(id).map(|entry| notices.usability(entry, now))
}

#[test]
fn one_that_leaves_is_a_last_resort_for_a_moment_and_then_nothing_whatever_the_directory_says() {
    let stays = back_end(1, None);
    let mut directory = directory_of(std::slice::from_ref(&stays));
    let mut notices = BackEndNotices::default();
    assert_eq!(notices.note(&stays.id, LEAVES, START), NoticeEffect { leaves: true, ..NoticeEffect::default() });
    assert_eq!(usability(&notices, &directory, &stays.id, START), Some(Usability::LastResort));
    let end = START + LAST_RESORT;
    assert_eq!(usability(&notices, &directory, &stays.id, end), Some(Usability::Unusable));
    // It says so again, its entry lapses with the store and comes back as it was: nothing of this begins a new moment.
    assert_eq!(notices.note(&stays.id, LEAVES, end), NoticeEffect::default());
    let name = stays.id.name().clone();
    for (revision, change) in [(2, DirectoryChange::Gone(name)), (3, DirectoryChange::Put(stays.clone()))] {
        directory.apply(DirectoryChanges { position: Position::from(Revision(revision)), changes: vec![change] }, end);
        assert_eq!(usability(&notices, &directory, &stays.id, end), Some(Usability::Unusable));
    }
}

#[test]
fn the_earlier_word_counts_where_the_directory_knew_first() {
    let leaving = BackEnd { state: BackEndState::Draining, ..back_end(1, None) };
    let directory = directory_of(std::slice::from_ref(&leaving));
    let mut notices = BackEndNotices::default();
    let end = START + LAST_RESORT;
    notices.note(&leaving.id, LEAVES, end);
    assert_eq!(usability(&notices, &directory, &leaving.id, end), Some(Usability::Unusable));
}

#[test]
fn a_new_life_of_one_that_left_or_rested_is_used() {
    let life = |started| BackEnd {
        id: BackEndId::of_life(back_end(1, None).id.name().clone(), Some(StartMoment(started))),
        ..back_end(1, None)
    };
    let (former, present) = (life(1), life(2));
    let mut notices = BackEndNotices::default();
    notices.note(&former.id, BackEndNotice { leaves: true, ..rest(60_000) }, START);
    let directory = directory_of(std::slice::from_ref(&present));
    assert_eq!(usability(&notices, &directory, &present.id, after(5_000)), Some(Usability::Usable));
}

#[test]
fn one_that_rests_is_used_again_at_the_end_of_the_longest_rest_that_it_asked_for() {
    let resting = back_end(1, None);
    let directory = directory_of(std::slice::from_ref(&resting));
    let mut notices = BackEndNotices::default();
    assert_eq!(notices.note(&resting.id, rest(3_000), START).rest, Some(Duration::from_millis(3_000)));
    assert_eq!(notices.note(&resting.id, rest(500), after(1_000)).rest, None, "it ends before the first one");
    for (millis, expected) in [(0, Usability::Unusable), (2_999, Usability::Unusable), (3_000, Usability::Usable)] {
        assert_eq!(usability(&notices, &directory, &resting.id, after(millis)), Some(expected), "after {millis} ms");
    }
}

#[test]
fn each_call_to_one_in_need_takes_a_turn_and_one_that_is_held_back_takes_none() {
    let id = back_end(1, None).id;
    let mut notices = BackEndNotices::default();
    let limit = RequestRate::per_second(1.0);
    notices.note(&id, BackEndNotice { limit, ..BackEndNotice::default() }, START);
    assert_eq!(
        notices.note_call_if_welcome(&id, START),
        Some(Ineligibility::AtLimit),
        "it has just been sent something"
    );
    assert_eq!(notices.note_call_if_welcome(&id, after(1_000)), None);
    assert_eq!(notices.note_call_if_welcome(&id, after(1_500)), Some(Ineligibility::AtLimit));
    assert_eq!(
        notices.note_call(&id, after(1_999)),
        Some(Ineligibility::AtLimit),
        "it is made all the same, and counts"
    );
    assert_eq!(notices.unwelcome(&id, after(2_500)), Some(Ineligibility::AtLimit));
    assert_eq!(notices.unwelcome(&id, after(2_999)), None);
}

#[test]
fn no_value_of_an_answer_keeps_a_back_end_out_for_ever() {
    let mut notices = BackEndNotices::default();
    let id = back_end(1, None).id;
    let endless = BackEndNotice { rest: Some(Duration::MAX), ..BackEndNotice::default() };
    assert_eq!(notices.note(&id, endless, START).rest, Some(REST_MAXIMUM));
    assert_eq!(notices.unwelcome(&id, START + REST_MAXIMUM), None);
}

#[test]
fn all_rest_only_where_none_takes_requests() {
    let back_ends = [back_end(1, None), back_end(2, None), back_end(3, None)];
    let directory = directory_of(&back_ends);
    let all_rest_for = |notices: &BackEndNotices| notices.all_rest_for(directory.entries(), START);
    let mut notices = BackEndNotices::default();
    notices.note(&back_ends[0].id, rest(3_000), START);
    notices.note(&back_ends[1].id, rest(2_000), START);
    assert_eq!(all_rest_for(&notices), None, "the third takes requests");
    notices.note(&back_ends[2].id, LEAVES, START);
    assert_eq!(
        all_rest_for(&notices),
        Some(Duration::from_millis(2_000)),
        "the third leaves, so waiting for it is no use"
    );
    assert_eq!(notices.all_rest_for(std::iter::empty(), START), None);
}

#[test]
fn a_replaced_fleet_is_remembered_and_no_more_than_two() {
    let mut notices = BackEndNotices::default();
    let life = |number: u64| BackEndId::of_life(back_end(1, None).id.name().clone(), Some(StartMoment(number)));
    let (of_the_design, two_fleets) = (4_100, 8_192);
    for number in 0..=two_fleets {
        notices.note(&life(number), LEAVES, START);
    }
    let says = |number| notices.unwelcome(&life(number), START + LAST_RESORT);
    assert_eq!((says(0), says(two_fleets - of_the_design)), (None, Some(Ineligibility::Leaves)));
}

/// What the back end said, as a list; the simplest thing that could be kept.
#[derive(Default)]
struct Said {
    left_at: Option<Timestamp>,
    rests: Vec<(Timestamp, Duration)>,
}

/// Notices and changes of the directory in any order: nothing is sent to a back end later than it allows, and it is used when its own word and
/// the directory allow it.
fn own_word_holds(unstructured: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let subject = back_end(1, None);
    let mut directory = directory_of(std::slice::from_ref(&subject));
    let (mut notices, mut said) = (BackEndNotices::default(), Said::default());
    let (mut now, mut revision) = (START, 1);
    for _ in 0..40 {
        now = now + Duration::from_millis(unstructured.int_in_range(0..=900)?);
        match unstructured.int_in_range(0..=5)? {
            0 => {
                notices.note(&subject.id, LEAVES, now);
                said.left_at = said.left_at.or(Some(now));
            }
            1 | 2 => {
                let millis = unstructured.int_in_range(1..=4_000)?;
                notices.note(&subject.id, rest(millis), now);
                said.rests.push((now, Duration::from_millis(millis)));
            }
            change => {
                revision += 1;
                let change = match change {
                    3 => DirectoryChange::Put(subject.clone()),
                    4 => DirectoryChange::Put(BackEnd { state: BackEndState::Draining, ..subject.clone() }),
                    _ => DirectoryChange::Gone(subject.id.name().clone()),
                };
                directory.apply(
                    DirectoryChanges { position: Position::from(Revision(revision)), changes: vec![change] },
                    now,
                );
            }
        }
        let Some(entry) = directory.get(&subject.id) else {
            continue;
        };
        let rests = said.rests.iter().any(|(from, rest)| now.since(*from) < *rest);
        let gone = said.left_at.is_some_and(|at| now.since(at) >= LAST_RESORT);
        let expected = match said.left_at {
            _ if rests || gone => Usability::Unusable,
            Some(_) => entry.usability(now).max(Usability::LastResort),
            None => entry.usability(now),
        };
        assert_eq!(notices.usability(entry, now), expected);
        assert_eq!(notices.unwelcome(&subject.id, now).is_some(), rests || gone);
    }
    Ok(())
}

#[test]
fn a_back_ends_own_word_holds_against_any_course_of_the_directory() {
    for seed in 1..=300 {
        arbtest::arbtest(own_word_holds).seed(seed << 32 | 0x200);
    }
}

fn notice(back_ends: Vec<DrainingBackEnd>) -> DrainNotice {
    let sender = Address(std::net::SocketAddr::from(([10, 0, 0, 9], 7_000)));
    DrainNotice { sender, back_ends }
}

#[test]
fn what_a_peer_tells_counts_from_the_moment_at_which_the_back_end_said_it() {
    let leaving = back_end(1, None);
    let directory = directory_of(std::slice::from_ref(&leaving));
    let (mut sender, mut receiver) = (BackEndNotices::default(), BackEndNotices::default());
    sender.note(&leaving.id, LEAVES, START);
    let told = sender.told([&leaving.id, &back_end(2, None).id], after(400));
    assert_eq!(told, [DrainingBackEnd { back_end: leaving.id.clone(), age_millis: 400 }], "the second one stays");
    // It was 100 ms on its way, and this node heard of it itself meanwhile.
    receiver.note(&leaving.id, LEAVES, after(450));
    assert_eq!(receiver.receive(&notice(told.clone()), after(500)), []);
    let said_at = START + Duration::from_millis(100);
    assert_eq!(usability(&receiver, &directory, &leaving.id, said_at + LAST_RESORT), Some(Usability::Unusable));
    assert_eq!(BackEndNotices::default().receive(&notice(told), after(500)), [leaving.id]);
}

#[test]
fn the_newest_that_leave_fit_one_datagram_also_under_long_names() {
    let mut notices = BackEndNotices::default();
    let id = |number: u64| {
        let name = BackEndName::new(format!("{number:0100}"));
        BackEndId::of_life(name, Some(StartMoment(number)))
    };
    (0..20).for_each(|number| {
        notices.note(&id(number), LEAVES, after(number));
    });
    let newest = notices.newest(after(20));
    assert_eq!((newest.len(), &newest[0].back_end), (DrainNotice::BACK_ENDS_MAXIMUM, &id(19)));
    let bytes = PeerNotice::Leaving(notice(newest)).write_to_vec().expect("it can be written");
    assert!(bytes.len() <= 1_400, "{} bytes", bytes.len());
}
