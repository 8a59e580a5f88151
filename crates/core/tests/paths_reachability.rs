//! When a node counts its paths to a group of back ends as lost, and when as available again.

use std::time::Duration;

use havengate_core::paths::{PathChange, PathCheck, PathFailure, Reachability, ReachabilityConfig};
use havengate_core::time::Timestamp;
use havengate_core::world::BackEndId;

fn millis(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn engine(number: usize) -> BackEndId {
    BackEndId::new(format!("engine-{number}"))
}

/// Paths to twelve back ends, with a contact just now.
fn intact_paths() -> Reachability {
    let mut paths = Reachability::new(ReachabilityConfig::default(), Timestamp::ZERO);
    paths.update(12, Timestamp::ZERO);
    paths.record_connected(&engine(0), millis(10));
    paths
}

/// Paths that were lost at 200 ms.
fn lost_paths() -> Reachability {
    let mut paths = intact_paths();
    let changes = (1..=3).filter_map(|number| paths.record_failed(&engine(number), PathFailure::Refused, millis(200)));
    assert_eq!(changes.count(), 1);
    assert!(paths.is_lost());
    paths
}

fn full_check(paths: &mut Reachability, reached: usize, at: Timestamp) -> Option<PathChange> {
    paths.begin_check();
    paths.end_check(PathCheck::Full, 4, reached, at)
}

#[test]
fn failures_of_several_back_ends_without_contact_lose_the_paths_without_a_check() {
    let mut paths = intact_paths();
    assert_eq!(paths.record_failed(&engine(1), PathFailure::Refused, millis(100)), None);
    assert_eq!(paths.record_failed(&engine(1), PathFailure::Refused, millis(101)), None, "the same back end again");
    assert_eq!(paths.record_failed(&engine(2), PathFailure::Refused, millis(102)), None);
    let lost = paths.record_failed(&engine(3), PathFailure::TimedOut, millis(103));
    let last_contact = Some(Duration::from_millis(93));
    assert_eq!(lost, Some(PathChange::Lost { failed: 3, cause: PathFailure::TimedOut, last_contact }));
}

#[test]
fn back_ends_that_crash_while_others_answer_do_not_lose_the_paths() {
    let mut paths = intact_paths();
    for number in 1..=6 {
        let at = 100 + 10 * number as u64;
        assert_eq!(paths.record_failed(&engine(number), PathFailure::Refused, millis(at)), None);
        paths.record_contact(millis(at + 1));
    }
    assert_eq!(paths.due_check(millis(200)), Some(PathCheck::Full), "several failures call for a check");
    assert_eq!(full_check(&mut paths, 3, millis(210)), None);
    assert!(!paths.is_lost());
    assert_eq!(paths.due_check(millis(400)), None, "failures before the check are settled by it");
}

#[test]
fn a_silent_back_end_among_others_needs_no_check() {
    let mut paths = intact_paths();
    paths.begin_request(millis(20));
    for at in (100..1_500).step_by(100) {
        paths.record_contact(millis(at));
        assert_eq!(paths.due_check(millis(at + 50)), None);
    }
}

#[test]
fn silence_with_a_request_in_flight_leads_to_a_check_before_the_request_times_out() {
    let mut paths = intact_paths();
    paths.begin_request(millis(1_000));
    assert_eq!(paths.due_check(millis(1_300)), None, "the request has only just been sent");
    assert_eq!(paths.due_check(millis(1_400)), Some(PathCheck::Silence));
    paths.begin_check();
    assert_eq!(paths.due_check(millis(1_450)), None, "a check is open");
    paths.record_failed(&engine(1), PathFailure::TimedOut, millis(1_700));
    paths.record_failed(&engine(2), PathFailure::TimedOut, millis(1_700));
    let lost = paths.record_failed(&engine(3), PathFailure::TimedOut, millis(1_700));
    assert!(matches!(lost, Some(PathChange::Lost { failed: 3, .. })));
}

#[test]
fn silence_without_requests_is_checked_too() {
    let paths = intact_paths();
    assert_eq!(paths.due_check(millis(3_000)), None);
    assert_eq!(paths.due_check(millis(3_010)), Some(PathCheck::Brief));
    let unknown = Reachability::new(ReachabilityConfig::default(), Timestamp::ZERO);
    assert_eq!(unknown.due_check(millis(10)), None, "no back end is known");
    let mut started = unknown;
    started.update(12, millis(10));
    assert_eq!(started.due_check(millis(10)), Some(PathCheck::Brief), "a node that starts behind a partition");
}

#[test]
fn a_check_that_reaches_half_of_the_back_ends_changes_nothing() {
    let mut paths = intact_paths();
    assert_eq!(full_check(&mut paths, 2, millis(100)), None);
    assert!(!paths.is_lost());
    let mut paths = lost_paths();
    for round in 1..10 {
        assert_eq!(full_check(&mut paths, 2, millis(200 + 500 * round)), None);
    }
    assert!(paths.is_lost());
}

#[test]
fn lost_paths_are_regained_by_two_successful_checks_in_a_row() {
    let mut paths = lost_paths();
    assert_eq!(full_check(&mut paths, 4, millis(700)), None, "one success may be chance");
    assert_eq!(full_check(&mut paths, 0, millis(1_200)), None);
    assert_eq!(full_check(&mut paths, 4, millis(1_700)), None);
    let regained = full_check(&mut paths, 3, millis(2_200));
    assert_eq!(regained, Some(PathChange::Regained { after: Duration::from_millis(2_000) }));
    assert!(!paths.is_lost());
}

#[test]
fn a_back_end_that_accepts_connections_again_needs_no_detour() {
    let mut paths = lost_paths();
    assert!(paths.needs_detour(&engine(0)), "it accepted a connection before the paths were lost");
    paths.record_connected(&engine(0), millis(300));
    assert!(!paths.needs_detour(&engine(0)));
    assert!(paths.needs_detour(&engine(1)));
    paths.record_failed(&engine(0), PathFailure::Refused, millis(400));
    assert!(paths.needs_detour(&engine(0)));
}

#[test]
fn the_only_back_end_of_a_group_loses_the_paths_alone() {
    let mut paths = Reachability::new(ReachabilityConfig::default(), Timestamp::ZERO);
    paths.update(1, Timestamp::ZERO);
    let lost = paths.record_failed(&engine(0), PathFailure::Refused, millis(10));
    assert_eq!(lost, Some(PathChange::Lost { failed: 1, cause: PathFailure::Refused, last_contact: None }));
}

#[test]
fn failures_are_doubtful_until_the_next_contact() {
    let mut paths = intact_paths();
    assert!(!paths.is_doubtful(millis(50)));
    paths.record_interrupted(&engine(1), millis(100));
    assert!(paths.is_doubtful(millis(100)));
    assert!(!paths.is_proven(Duration::from_secs(4), millis(100)));
    paths.record_contact(millis(110));
    assert!(!paths.is_doubtful(millis(110)));
    assert!(paths.is_proven(Duration::from_secs(4), millis(110)));
    assert!(!paths.is_proven(Duration::from_secs(4), millis(4_200)), "the proof is too old");
}
