//! A back end that starts again under its name: nothing that was known of its former life holds for the new one, in
//! whichever order the news come.

mod support {
    pub mod relay_fixture;
}

use std::net::SocketAddr;
use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::back_ends::{
    BackEnd, BackEndState, Directory, DirectoryChange, DirectoryChanges, DirectoryListing, DirectoryUpdate,
    EngineStage, Usability,
};
use havengate_core::duties::usage::{
    UsageConfig, UsageCountsMessage, UsageReports, UsageStep, UsageTable, WindowNumber,
};
use havengate_core::duties::{HolderId, Lease, LeaseConfig, LeaseStep};
use havengate_core::relay::{
    EngineTag, Prompt, PromptIndex, PromptIndexConfig, PromptPart, Suspicions, UnreachableNotice, Urgency,
};
use havengate_core::stages::{ChangeEnd, ChangesConfig, OrderAnswer, StageChanges, StagedEngine};
use havengate_core::store::{ObjectVersion, Position, Revision};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, BackEndId, BackEndName, NodeName, ServiceName, StartMoment};
use support::relay_fixture::back_end;

const START: Timestamp = Timestamp::from_millis(10_000);

fn id(started: Option<u64>) -> BackEndId {
    BackEndId::of_life(BackEndName::new("engine-1"), started.map(StartMoment))
}

/// The engine in the life that began at `started`.
fn life(started: u64) -> BackEnd {
    BackEnd { id: id(Some(started)), ..back_end(1, Some(EngineStage::Prefill)) }
}

fn draining(started: u64) -> BackEnd {
    BackEnd { state: BackEndState::Draining, ..life(started) }
}

fn put(revision: u64, back_end: BackEnd) -> DirectoryChanges {
    DirectoryChanges { position: Position::from(Revision(revision)), changes: vec![DirectoryChange::Put(back_end)] }
}

fn spoiled(revision: u64) -> DirectoryChanges {
    let name = id(None).name().clone();
    DirectoryChanges { position: Position::from(Revision(revision)), changes: vec![DirectoryChange::Spoiled(name)] }
}

fn listing(revision: u64, back_ends: Vec<BackEnd>) -> DirectoryListing {
    DirectoryListing { position: Position::from(Revision(revision)), back_ends, spoiled: Vec::new() }
}

fn directory_of(back_end: BackEnd) -> Directory {
    let mut directory = Directory::new();
    assert!(directory.adopt(listing(10, vec![back_end]), START));
    directory
}

fn usability(directory: &Directory, now: Timestamp) -> Option<Usability> {
    directory.entries().next().map(|entry| entry.usability(now))
}

#[test]
fn the_directory_knows_one_life_at_a_time() {
    let mut directory = directory_of(life(100));
    assert!(directory.apply(put(11, life(200)), START));
    assert!(directory.get(&life(100).id).is_none());
    assert!(directory.get(&life(200).id).is_some());
    assert_eq!(directory.entries().count(), 1);
}

#[test]
fn a_new_life_is_usable_though_the_former_one_has_left() {
    let mut directory = directory_of(draining(100));
    let later = START + Duration::from_secs(30);
    assert_eq!(usability(&directory, later), Some(Usability::Unusable));
    directory.apply(put(11, life(200)), later);
    assert_eq!(usability(&directory, later), Some(Usability::Usable));
    directory.apply(put(12, draining(300)), later);
    assert_eq!(usability(&directory, later), Some(Usability::LastResort), "its own leaving counts from now");
}

#[test]
fn old_news_of_a_former_life_never_overwrite_the_present_one() {
    let mut directory = directory_of(life(100));
    assert!(directory.apply(put(20, life(200)), START));
    assert!(!directory.apply(put(15, life(100)), START));
    assert!(!directory.adopt(listing(15, vec![life(100)]), START));
    assert!(directory.get(&life(200).id).is_some());
    // What leads on from an old revision may hold old changes; the last one of each back end decides.
    let both = vec![DirectoryChange::Put(life(100)), DirectoryChange::Put(life(200))];
    assert!(directory.apply(DirectoryChanges { position: Position::from(Revision(20)), changes: both }, START));
    assert!(directory.get(&life(200).id).is_some());
}

#[test]
fn the_store_tells_which_of_two_lives_is_the_later_one_and_not_their_clocks() {
    let mut directory = directory_of(life(200));
    assert!(directory.apply(put(11, life(100)), START));
    assert!(directory.get(&life(100).id).is_some());
    assert_eq!(directory.former_life(&life(300).id), Some(&life(100).id));
    assert_eq!(directory.former_life(&life(100).id), None);
}

#[test]
fn an_engine_that_does_not_say_when_it_started_is_served_as_one_life() {
    let silent = BackEnd { id: id(None), ..life(1) };
    let mut directory = directory_of(silent.clone());
    directory.apply(put(11, BackEnd { slots: 9, ..silent }), START);
    assert!(directory.get(&id(None)).is_some());
    assert!(id(None).may_be_life_of(Some(StartMoment(7))));
    assert!(id(Some(7)).may_be_life_of(None));
    assert!(!id(Some(7)).may_be_life_of(Some(StartMoment(8))));
}

#[test]
fn a_spoiled_entry_names_no_back_end_at_once_also_where_it_is_told_on() {
    let mut reader = directory_of(life(100));
    let mut fed = directory_of(life(100));
    let mut far_behind = directory_of(life(100));
    assert!(reader.apply(spoiled(11), START));
    assert_eq!(reader.entries().count(), 0);
    let Some(DirectoryUpdate::Changes(changes)) = reader.news_since(Position::from(Revision(10))) else {
        panic!("the changes are known");
    };
    assert!(fed.apply(changes, START));
    assert_eq!(fed.entries().count(), 0);
    assert!(far_behind.adopt(reader.listing(), START));
    assert_eq!(far_behind.entries().count(), 0);
    assert!(reader.apply(put(12, life(100)), START));
    assert_eq!(reader.entries().count(), 1);
    assert_eq!(reader.listing().spoiled, Vec::new());
}

#[test]
fn a_listing_with_a_spoiled_entry_removes_the_back_end_at_once() {
    let mut directory = directory_of(life(100));
    let name = id(None).name().clone();
    let with_spoiled = DirectoryListing { spoiled: vec![name], ..listing(11, Vec::new()) };
    assert!(directory.adopt(with_spoiled.clone(), START));
    assert_eq!(directory.entries().count(), 0);
    let changed_at = directory.changed_at();
    assert!(directory.adopt(DirectoryListing { position: Position::from(Revision(12)), ..with_spoiled }, START));
    assert_eq!(directory.changed_at(), changed_at, "the same again is no news");
}

#[test]
fn any_number_of_spoiled_entries_takes_bounded_memory() {
    let mut directory = directory_of(life(100));
    let names: Vec<BackEndName> = (0..20_000).map(|number| BackEndName::new(format!("spoiled-{number}"))).collect();
    let changes = names.iter().cloned().map(DirectoryChange::Spoiled).collect();
    assert!(directory.apply(DirectoryChanges { position: Position::from(Revision(11)), changes }, START));
    assert!(directory.listing().spoiled.len() <= 1_000);
    assert!(directory.adopt(DirectoryListing { spoiled: names, ..listing(12, vec![life(100)]) }, START));
    assert!(directory.listing().spoiled.len() <= 1_000);
    assert_eq!(directory.entries().count(), 1);
}

fn prompt() -> Prompt {
    let parts = vec![PromptPart { id: 7, tokens: 12_000 }, PromptPart { id: 99, tokens: 3_000 }];
    Prompt { tokens: 15_000, output_tokens_maximum: 10, parts }
}

#[test]
fn what_a_former_life_kept_and_was_reading_is_not_expected_of_the_new_one() {
    let mut index = PromptIndex::new(PromptIndexConfig::default());
    let reading = index.begin(&life(100), &prompt(), Urgency::InTime, START);
    index.end(reading, true, START);
    index.begin(&life(100), &prompt(), Urgency::InTime, START);
    assert!(index.kept_tokens_of(&life(100).id, &prompt()) > 0);
    assert_eq!(index.kept_tokens_of(&life(200).id, &prompt()), 0);
    assert!(index.backlog(&life(100).id, EngineStage::Prefill, Urgency::InTime, START) > 0.0);
    assert_eq!(index.backlog(&life(200).id, EngineStage::Prefill, Urgency::InTime, START), 0.0);
    index.retain_engines([&life(200).id].into_iter(), START + Duration::from_secs(60));
    assert_eq!(index.kept_tokens_of(&life(100).id, &prompt()), 0);
}

#[test]
fn a_new_life_is_not_suspected_for_the_former_one() {
    let mut suspicions = Suspicions::default();
    let peer = |number| Address(SocketAddr::from(([10, 0, 0, number], 7_000)));
    for number in 1..=5 {
        let back_ends = vec![(EngineTag::from(&life(100).id), 0)];
        suspicions.receive(&UnreachableNotice { sender: peer(number), back_ends }, START);
    }
    assert!(suspicions.is_suspected(EngineTag::from(&life(100).id), START));
    assert!(!suspicions.is_suspected(EngineTag::from(&life(200).id), START));
}

fn staged(started: u64) -> StagedEngine {
    StagedEngine { id: life(started).id, zone: "zone".into(), stage: EngineStage::Decode }
}

#[test]
fn an_order_for_a_former_life_ends_with_it_and_the_new_life_gets_its_stage_at_once() {
    let service = ServiceName::new("model");
    let mut changes = StageChanges::new(ChangesConfig::default());
    let begun = changes.plan(&service, &[staged(100)], 1, START);
    assert_eq!(begun[0].engine, life(100).id);
    changes.ordered(&life(100).id);
    changes.answered(&life(100).id, OrderAnswer::Unknown, START);
    let later = START + Duration::from_millis(500);
    let stage_of = |engine: &BackEndId| (*engine == life(200).id).then_some(EngineStage::Decode);
    let ended = changes.observe(stage_of, later);
    assert_eq!(ended[0].1, ChangeEnd::EngineGone);
    let begun = changes.plan(&service, &[staged(200)], 1, later);
    assert_eq!(begun[0].engine, life(200).id);
    changes.answered(&life(100).id, OrderAnswer::Accepted, later);
    assert_eq!(
        changes.due(later + ChangesConfig::default().drain_time).len(),
        1,
        "the late answer was the former life's"
    );
}

#[test]
fn a_spoiled_lease_is_taken_after_its_time_under_a_term_that_none_was_above() {
    let own = HolderId { node: NodeName::new("node-1"), life: 1 };
    let mut lease = Lease::new(LeaseConfig::default(), own);
    lease.observe(None, ObjectVersion::default().at(Revision(730)), START);
    assert_eq!(lease.is_unclaimed(), Some(false));
    assert_eq!(lease.step(START), LeaseStep::Wait(LeaseConfig::default().takeover_delay()));
    let after = START + LeaseConfig::default().takeover_delay();
    let LeaseStep::Write(write) = lease.step(after) else {
        panic!("the lease can be taken");
    };
    assert_eq!((write.record.term, write.expected), (Term(731), ObjectVersion::default().at(Revision(730))));
    // Spoiled anew, its time begins anew.
    lease.observe(None, ObjectVersion::default().at(Revision(740)), after);
    assert_eq!(lease.step(after), LeaseStep::Wait(LeaseConfig::default().takeover_delay()));
}

#[test]
fn no_window_is_reported_again_after_the_ledger_was_spoiled() {
    let config = UsageConfig { window_seconds: 5.0, late_seconds: 10.0 };
    let at = |seconds: f64| Duration::from_secs_f64(350_000_000.0 * 5.0 + seconds);
    let mut table = UsageTable::default();
    for window in 0..8 {
        let window = WindowNumber(350_000_000 + window);
        let sender = Address(SocketAddr::from(([10, 0, 0, 1], 7_000)));
        let message = UsageCountsMessage { sender, incarnation: 1, window, counts: vec![("press".into(), 3)] };
        table.receive(&message);
    }
    let mut reports = UsageReports::default();
    reports.start_new_ledger(ObjectVersion::default().at(Revision(9)), config.first_unreported(at(12.0)));
    assert_eq!(reports.step(&config, &table, at(12.0)), UsageStep::Idle, "windows 0 to 2 may have been reported");
    let UsageStep::Write(write) = reports.step(&config, &table, at(40.0)) else {
        panic!("later windows are due");
    };
    assert_eq!(write.expected, ObjectVersion::default().at(Revision(9)));
    assert_eq!(write.ledger.reports[0].window, WindowNumber(350_000_003));
}
