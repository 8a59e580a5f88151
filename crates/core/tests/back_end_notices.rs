//! Statements of back ends in their answers, combined with the directory.

mod support {
    pub mod relay_fixture;
}

use std::time::Duration;

use arbtest::arbitrary::{self, Unstructured};
use havengate_core::back_ends::{
    BACKOFF_MAXIMUM, BackEnd, BackEndNotice, BackEndNotices, BackEndState, Directory, DirectoryChange,
    DirectoryChanges, DirectoryListing, DrainNotice, DrainingBackEnd, Ineligibility, LAST_RESORT, NoticeEffect,
    RequestRate, Usability,
};
use havengate_core::relay::PeerNotice;
use havengate_core::store::{Position, Revision};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId, BackEndName, StartMoment};
use speedy::Writable;
use support::relay_fixture::back_end;

const START: Timestamp = Timestamp::from_millis(1_000_000);
const DRAINING: BackEndNotice = BackEndNotice { draining: true, backoff: None, limit: None };

fn backoff(millis: u64) -> BackEndNotice {
    BackEndNotice { backoff: Some(Duration::from_millis(millis)), ..BackEndNotice::default() }
}

fn after(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

fn directory_of(back_ends: &[BackEnd]) -> Directory {
    let mut directory = Directory::new();
    let listing = DirectoryListing {
        position: Position::from(Revision(1)),
        back_ends: back_ends.to_vec(),
        malformed: Vec::new(),
    };
    assert!(directory.adopt(listing, START));
    directory
}

fn usability(notices: &BackEndNotices, directory: &Directory, id: &BackEndId, now: Timestamp) -> Option<Usability> {
    directory.get(id).map(|entry| notices.usability(entry, now))
}

#[test]
fn a_draining_back_end_is_a_last_resort_and_then_unusable_whatever_the_directory_lists() {
    let ready = back_end(1, None);
    let mut directory = directory_of(std::slice::from_ref(&ready));
    let mut notices = BackEndNotices::default();
    assert_eq!(notices.record(&ready.id, DRAINING, START), NoticeEffect { draining: true, ..NoticeEffect::default() });
    assert_eq!(usability(&notices, &directory, &ready.id, START), Some(Usability::LastResort));
    let drain_end = START + LAST_RESORT;
    assert_eq!(usability(&notices, &directory, &ready.id, drain_end), Some(Usability::Unusable));
    // Neither a repeated announcement nor an entry that expires and is written again as ready starts a new last-resort
    // period.
    assert_eq!(notices.record(&ready.id, DRAINING, drain_end), NoticeEffect::default());
    let name = ready.id.name().clone();
    for (revision, change) in [(2, DirectoryChange::Gone(name)), (3, DirectoryChange::Put(ready.clone()))] {
        directory
            .apply(DirectoryChanges { position: Position::from(Revision(revision)), changes: vec![change] }, drain_end);
        assert_eq!(usability(&notices, &directory, &ready.id, drain_end), Some(Usability::Unusable));
    }
}

#[test]
fn the_earlier_drain_time_counts_when_the_directory_learned_first() {
    let draining_back_end = BackEnd { state: BackEndState::Draining, ..back_end(1, None) };
    let directory = directory_of(std::slice::from_ref(&draining_back_end));
    let mut notices = BackEndNotices::default();
    let drain_end = START + LAST_RESORT;
    notices.record(&draining_back_end.id, DRAINING, drain_end);
    assert_eq!(usability(&notices, &directory, &draining_back_end.id, drain_end), Some(Usability::Unusable));
}

#[test]
fn a_new_incarnation_is_usable_after_the_previous_one_drained_or_backed_off() {
    let incarnation = |started| BackEnd {
        id: BackEndId::of_incarnation(back_end(1, None).id.name().clone(), Some(StartMoment(started))),
        ..back_end(1, None)
    };
    let (previous, current) = (incarnation(1), incarnation(2));
    let mut notices = BackEndNotices::default();
    notices.record(&previous.id, BackEndNotice { draining: true, ..backoff(60_000) }, START);
    let directory = directory_of(std::slice::from_ref(&current));
    assert_eq!(usability(&notices, &directory, &current.id, after(5_000)), Some(Usability::Usable));
}

#[test]
fn a_back_end_is_usable_again_after_the_longest_requested_backoff() {
    let backing_off = back_end(1, None);
    let directory = directory_of(std::slice::from_ref(&backing_off));
    let mut notices = BackEndNotices::default();
    assert_eq!(notices.record(&backing_off.id, backoff(3_000), START).backoff, Some(Duration::from_millis(3_000)));
    assert_eq!(
        notices.record(&backing_off.id, backoff(500), after(1_000)).backoff,
        None,
        "it ends before the first backoff"
    );
    for (millis, expected) in [(0, Usability::Unusable), (2_999, Usability::Unusable), (3_000, Usability::Usable)] {
        assert_eq!(
            usability(&notices, &directory, &backing_off.id, after(millis)),
            Some(expected),
            "after {millis} ms"
        );
    }
}

#[test]
fn each_call_to_a_limited_back_end_counts_and_a_withheld_call_does_not() {
    let id = back_end(1, None).id;
    let mut notices = BackEndNotices::default();
    let limit = RequestRate::per_second(1.0);
    notices.record(&id, BackEndNotice { limit, ..BackEndNotice::default() }, START);
    assert_eq!(notices.record_call_if_eligible(&id, START), Some(Ineligibility::AtLimit), "a request was just sent");
    assert_eq!(notices.record_call_if_eligible(&id, after(1_000)), None);
    assert_eq!(notices.record_call_if_eligible(&id, after(1_500)), Some(Ineligibility::AtLimit));
    assert_eq!(
        notices.record_call(&id, after(1_999)),
        Some(Ineligibility::AtLimit),
        "the call is made anyway and counts"
    );
    assert_eq!(notices.ineligibility(&id, after(2_500)), Some(Ineligibility::AtLimit));
    assert_eq!(notices.ineligibility(&id, after(2_999)), None);
}

#[test]
fn no_backoff_value_excludes_a_back_end_forever() {
    let mut notices = BackEndNotices::default();
    let id = back_end(1, None).id;
    let endless = BackEndNotice { backoff: Some(Duration::MAX), ..BackEndNotice::default() };
    assert_eq!(notices.record(&id, endless, START).backoff, Some(BACKOFF_MAXIMUM));
    assert_eq!(notices.ineligibility(&id, START + BACKOFF_MAXIMUM), None);
}

#[test]
fn a_wait_is_reported_only_when_no_back_end_accepts_requests() {
    let back_ends = [back_end(1, None), back_end(2, None), back_end(3, None)];
    let directory = directory_of(&back_ends);
    let wait_until_available = |notices: &BackEndNotices| notices.wait_until_available(directory.entries(), START);
    let mut notices = BackEndNotices::default();
    notices.record(&back_ends[0].id, backoff(3_000), START);
    notices.record(&back_ends[1].id, backoff(2_000), START);
    assert_eq!(wait_until_available(&notices), None, "the third accepts requests");
    notices.record(&back_ends[2].id, DRAINING, START);
    assert_eq!(
        wait_until_available(&notices),
        Some(Duration::from_millis(2_000)),
        "the third drains, so waiting for it is useless"
    );
    assert_eq!(notices.wait_until_available(std::iter::empty(), START), None);
}

#[test]
fn drain_statements_of_two_replaced_fleets_are_kept_and_no_more() {
    let mut notices = BackEndNotices::default();
    let incarnation =
        |number: u64| BackEndId::of_incarnation(back_end(1, None).id.name().clone(), Some(StartMoment(number)));
    let (of_the_design, two_fleets) = (4_100, 8_192);
    for number in 0..=two_fleets {
        notices.record(&incarnation(number), DRAINING, START);
    }
    let ineligibility_of = |number| notices.ineligibility(&incarnation(number), START + LAST_RESORT);
    assert_eq!(
        (ineligibility_of(0), ineligibility_of(two_fleets - of_the_design)),
        (None, Some(Ineligibility::Draining))
    );
}

/// All statements of the back end, as a reference model.
#[derive(Default)]
struct Statements {
    drained_at: Option<Timestamp>,
    backoffs: Vec<(Timestamp, Duration)>,
}

/// Applies notices and directory changes in any order: a back end gets no requests after it disallows them, and it is
/// used when its own statements and the directory allow it.
fn own_statements_take_precedence(unstructured: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let subject = back_end(1, None);
    let mut directory = directory_of(std::slice::from_ref(&subject));
    let (mut notices, mut statements) = (BackEndNotices::default(), Statements::default());
    let (mut now, mut revision) = (START, 1);
    for _ in 0..40 {
        now = now + Duration::from_millis(unstructured.int_in_range(0..=900)?);
        match unstructured.int_in_range(0..=5)? {
            0 => {
                notices.record(&subject.id, DRAINING, now);
                statements.drained_at = statements.drained_at.or(Some(now));
            }
            1 | 2 => {
                let millis = unstructured.int_in_range(1..=4_000)?;
                notices.record(&subject.id, backoff(millis), now);
                statements.backoffs.push((now, Duration::from_millis(millis)));
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
        let is_backing_off = statements.backoffs.iter().any(|(from, backoff)| now.since(*from) < *backoff);
        let is_drained = statements.drained_at.is_some_and(|at| now.since(at) >= LAST_RESORT);
        let expected = match statements.drained_at {
            _ if is_backing_off || is_drained => Usability::Unusable,
            Some(_) => entry.usability(now).max(Usability::LastResort),
            None => entry.usability(now),
        };
        assert_eq!(notices.usability(entry, now), expected);
        assert_eq!(notices.ineligibility(&subject.id, now).is_some(), is_backing_off || is_drained);
    }
    Ok(())
}

#[test]
fn own_statements_take_precedence_over_any_directory_history() {
    for seed in 1..=300 {
        arbtest::arbtest(own_statements_take_precedence).seed(seed << 32 | 0x200);
    }
}

fn notice(back_ends: Vec<DrainingBackEnd>) -> DrainNotice {
    let sender = Address(std::net::SocketAddr::from(([10, 0, 0, 9], 7_000)));
    DrainNotice { sender, back_ends }
}

#[test]
fn a_notice_counts_from_the_time_of_the_back_ends_statement() {
    let draining_back_end = back_end(1, None);
    let directory = directory_of(std::slice::from_ref(&draining_back_end));
    let (mut sender, mut receiver) = (BackEndNotices::default(), BackEndNotices::default());
    sender.record(&draining_back_end.id, DRAINING, START);
    let announced = sender.announcements([&draining_back_end.id, &back_end(2, None).id], after(400));
    assert_eq!(
        announced,
        [DrainingBackEnd { back_end: draining_back_end.id.clone(), age_millis: 400 }],
        "the second one does not drain"
    );
    // The notice took 100 ms, and the receiver learned of the drain from the back end itself in the meantime.
    receiver.record(&draining_back_end.id, DRAINING, after(450));
    assert_eq!(receiver.receive(&notice(announced.clone()), after(500)), []);
    let announced_at = START + Duration::from_millis(100);
    assert_eq!(
        usability(&receiver, &directory, &draining_back_end.id, announced_at + LAST_RESORT),
        Some(Usability::Unusable)
    );
    assert_eq!(BackEndNotices::default().receive(&notice(announced), after(500)), [draining_back_end.id]);
}

#[test]
fn the_newest_draining_back_ends_fit_one_datagram_with_long_names() {
    let mut notices = BackEndNotices::default();
    let id = |number: u64| {
        let name = BackEndName::new(format!("{number:0100}"));
        BackEndId::of_incarnation(name, Some(StartMoment(number)))
    };
    (0..20).for_each(|number| {
        notices.record(&id(number), DRAINING, after(number));
    });
    let newest = notices.newest(after(20));
    assert_eq!((newest.len(), &newest[0].back_end), (DrainNotice::BACK_ENDS_MAXIMUM, &id(19)));
    let bytes = PeerNotice::Drains(notice(newest)).write_to_vec().expect("it can be encoded");
    assert!(bytes.len() <= 1_400, "{} bytes", bytes.len());
}
