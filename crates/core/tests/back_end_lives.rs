//! A back end that restarts under the same name: nothing known about the previous incarnation applies to the new one,
//! in whichever order updates arrive.

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
    BackEndId::of_incarnation(BackEndName::new("engine-1"), started.map(StartMoment))
}

/// The engine's incarnation that started at `started`.
fn incarnation(started: u64) -> BackEnd {
    BackEnd { id: id(Some(started)), ..back_end(1, Some(EngineStage::Prefill)) }
}

fn draining(started: u64) -> BackEnd {
    BackEnd { state: BackEndState::Draining, ..incarnation(started) }
}

fn put(revision: u64, back_end: BackEnd) -> DirectoryChanges {
    DirectoryChanges { position: Position::from(Revision(revision)), changes: vec![DirectoryChange::Put(back_end)] }
}

fn malformed(revision: u64) -> DirectoryChanges {
    let name = id(None).name().clone();
    DirectoryChanges { position: Position::from(Revision(revision)), changes: vec![DirectoryChange::Malformed(name)] }
}

fn listing(revision: u64, back_ends: Vec<BackEnd>) -> DirectoryListing {
    DirectoryListing { position: Position::from(Revision(revision)), back_ends, malformed: Vec::new() }
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
fn the_directory_holds_one_incarnation_per_name() {
    let mut directory = directory_of(incarnation(100));
    assert!(directory.apply(put(11, incarnation(200)), START));
    assert!(directory.get(&incarnation(100).id).is_none());
    assert!(directory.get(&incarnation(200).id).is_some());
    assert_eq!(directory.entries().count(), 1);
}

#[test]
fn a_new_incarnation_is_usable_after_the_previous_one_drained() {
    let mut directory = directory_of(draining(100));
    let later = START + Duration::from_secs(30);
    assert_eq!(usability(&directory, later), Some(Usability::Unusable));
    directory.apply(put(11, incarnation(200)), later);
    assert_eq!(usability(&directory, later), Some(Usability::Usable));
    directory.apply(put(12, draining(300)), later);
    assert_eq!(usability(&directory, later), Some(Usability::LastResort), "its own drain starts now");
}

#[test]
fn stale_updates_of_a_previous_incarnation_never_overwrite_the_current_one() {
    let mut directory = directory_of(incarnation(100));
    assert!(directory.apply(put(20, incarnation(200)), START));
    assert!(!directory.apply(put(15, incarnation(100)), START));
    assert!(!directory.adopt(listing(15, vec![incarnation(100)]), START));
    assert!(directory.get(&incarnation(200).id).is_some());
    // An update since an old revision may contain old changes; the last one of each back end takes effect.
    let both = vec![DirectoryChange::Put(incarnation(100)), DirectoryChange::Put(incarnation(200))];
    assert!(directory.apply(DirectoryChanges { position: Position::from(Revision(20)), changes: both }, START));
    assert!(directory.get(&incarnation(200).id).is_some());
}

#[test]
fn store_order_and_not_start_times_decides_which_incarnation_is_current() {
    let mut directory = directory_of(incarnation(200));
    assert!(directory.apply(put(11, incarnation(100)), START));
    assert!(directory.get(&incarnation(100).id).is_some());
    assert_eq!(directory.other_incarnation(&incarnation(300).id), Some(&incarnation(100).id));
    assert_eq!(directory.other_incarnation(&incarnation(100).id), None);
}

#[test]
fn an_engine_without_a_start_time_counts_as_one_incarnation() {
    let without_start = BackEnd { id: id(None), ..incarnation(1) };
    let mut directory = directory_of(without_start.clone());
    directory.apply(put(11, BackEnd { slots: 9, ..without_start }), START);
    assert!(directory.get(&id(None)).is_some());
    assert!(id(None).may_be_same_incarnation(Some(StartMoment(7))));
    assert!(id(Some(7)).may_be_same_incarnation(None));
    assert!(!id(Some(7)).may_be_same_incarnation(Some(StartMoment(8))));
}

#[test]
fn a_malformed_entry_removes_the_back_end_at_once_on_every_replica() {
    let mut reader = directory_of(incarnation(100));
    let mut follower = directory_of(incarnation(100));
    let mut far_behind = directory_of(incarnation(100));
    assert!(reader.apply(malformed(11), START));
    assert_eq!(reader.entries().count(), 0);
    let Some(DirectoryUpdate::Changes(changes)) = reader.update_since(Position::from(Revision(10))) else {
        panic!("the changes should be known");
    };
    assert!(follower.apply(changes, START));
    assert_eq!(follower.entries().count(), 0);
    assert!(far_behind.adopt(reader.listing(), START));
    assert_eq!(far_behind.entries().count(), 0);
    assert!(reader.apply(put(12, incarnation(100)), START));
    assert_eq!(reader.entries().count(), 1);
    assert_eq!(reader.listing().malformed, Vec::new());
}

#[test]
fn a_listing_with_a_malformed_entry_removes_the_back_end_at_once() {
    let mut directory = directory_of(incarnation(100));
    let name = id(None).name().clone();
    let with_malformed = DirectoryListing { malformed: vec![name], ..listing(11, Vec::new()) };
    assert!(directory.adopt(with_malformed.clone(), START));
    assert_eq!(directory.entries().count(), 0);
    let changed_at = directory.changed_at();
    assert!(directory.adopt(DirectoryListing { position: Position::from(Revision(12)), ..with_malformed }, START));
    assert_eq!(directory.changed_at(), changed_at, "a repeated listing is no change");
}

#[test]
fn malformed_entries_take_bounded_memory() {
    let mut directory = directory_of(incarnation(100));
    let names: Vec<BackEndName> = (0..20_000).map(|number| BackEndName::new(format!("spoiled-{number}"))).collect();
    let changes = names.iter().cloned().map(DirectoryChange::Malformed).collect();
    assert!(directory.apply(DirectoryChanges { position: Position::from(Revision(11)), changes }, START));
    assert!(directory.listing().malformed.len() <= 1_000);
    assert!(directory.adopt(DirectoryListing { malformed: names, ..listing(12, vec![incarnation(100)]) }, START));
    assert!(directory.listing().malformed.len() <= 1_000);
    assert_eq!(directory.entries().count(), 1);
}

fn prompt() -> Prompt {
    let parts = vec![PromptPart { id: 7, tokens: 12_000 }, PromptPart { id: 99, tokens: 3_000 }];
    Prompt { tokens: 15_000, output_tokens_maximum: 10, parts }
}

#[test]
fn cached_parts_and_prefills_of_a_previous_incarnation_do_not_count_for_the_new_one() {
    let mut index = PromptIndex::new(PromptIndexConfig::default());
    let prefill = index.begin(&incarnation(100), &prompt(), Urgency::InTime, START);
    index.end(prefill, true, START);
    index.begin(&incarnation(100), &prompt(), Urgency::InTime, START);
    assert!(index.cached_tokens_of(&incarnation(100).id, &prompt()) > 0);
    assert_eq!(index.cached_tokens_of(&incarnation(200).id, &prompt()), 0);
    assert!(index.backlog(&incarnation(100).id, EngineStage::Prefill, Urgency::InTime, START) > 0.0);
    assert_eq!(index.backlog(&incarnation(200).id, EngineStage::Prefill, Urgency::InTime, START), 0.0);
    index.retain_engines([&incarnation(200).id].into_iter(), START + Duration::from_secs(60));
    assert_eq!(index.cached_tokens_of(&incarnation(100).id, &prompt()), 0);
}

#[test]
fn suspicions_of_a_previous_incarnation_do_not_apply_to_the_new_one() {
    let mut suspicions = Suspicions::default();
    let peer = |number| Address(SocketAddr::from(([10, 0, 0, number], 7_000)));
    for number in 1..=5 {
        let back_ends = vec![(EngineTag::from(&incarnation(100).id), 0)];
        suspicions.receive(&UnreachableNotice { sender: peer(number), back_ends }, START);
    }
    assert!(suspicions.is_suspected(EngineTag::from(&incarnation(100).id), START));
    assert!(!suspicions.is_suspected(EngineTag::from(&incarnation(200).id), START));
}

fn staged(started: u64) -> StagedEngine {
    StagedEngine { id: incarnation(started).id, zone: "zone".into(), stage: EngineStage::Decode, version: None }
}

#[test]
fn an_order_for_a_previous_incarnation_ends_with_it_and_the_new_one_gets_its_stage_at_once() {
    let service = ServiceName::new("model");
    let mut changes = StageChanges::new(ChangesConfig::default());
    let begun = changes.plan(&service, &[staged(100)], 1, START);
    assert_eq!(begun[0].engine, incarnation(100).id);
    changes.ordered(&incarnation(100).id);
    changes.answered(&incarnation(100).id, OrderAnswer::Unknown, START);
    let later = START + Duration::from_millis(500);
    let stage_of = |engine: &BackEndId| (*engine == incarnation(200).id).then_some(EngineStage::Decode);
    let ended = changes.observe(stage_of, later);
    assert_eq!(ended[0].1, ChangeEnd::EngineGone);
    let begun = changes.plan(&service, &[staged(200)], 1, later);
    assert_eq!(begun[0].engine, incarnation(200).id);
    changes.answered(&incarnation(100).id, OrderAnswer::Accepted, later);
    assert_eq!(
        changes.due(later + ChangesConfig::default().drain_time).len(),
        1,
        "the late answer belonged to the previous incarnation"
    );
}

#[test]
fn a_malformed_lease_is_taken_after_it_expires_under_a_higher_term() {
    let own = HolderId { node: NodeName::new("node-1"), life: 1 };
    let mut lease = Lease::new(LeaseConfig::default(), own);
    lease.observe(None, ObjectVersion::default().at(Revision(730)), START);
    assert_eq!(lease.is_unclaimed(), Some(false));
    assert_eq!(lease.step(START), LeaseStep::Wait(LeaseConfig::default().takeover_delay()));
    let after = START + LeaseConfig::default().takeover_delay();
    let LeaseStep::Write(write) = lease.step(after) else {
        panic!("the lease should be taken");
    };
    assert_eq!((write.record.term, write.expected), (Term(731), ObjectVersion::default().at(Revision(730))));
    // When the record becomes malformed again, its time to expiry restarts.
    lease.observe(None, ObjectVersion::default().at(Revision(740)), after);
    assert_eq!(lease.step(after), LeaseStep::Wait(LeaseConfig::default().takeover_delay()));
}

#[test]
fn no_window_is_reported_again_after_the_ledger_became_malformed() {
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
        panic!("later windows should be due");
    };
    assert_eq!(write.expected, ObjectVersion::default().at(Revision(9)));
    assert_eq!(write.ledger.reports[0].window, WindowNumber(350_000_003));
}
