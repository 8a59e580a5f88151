//! What nodes take from each other when the store has come back from an older copy, and beside nodes that know no eras.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use havengate_core::back_ends::{DirectoryChanges, DirectoryListing, DirectoryUpdate};
use havengate_core::replication::PullAnswer;
use havengate_core::store::{Position, Revision, StoreEra};
use havengate_core::world::Address;
use havengate_node::clock::Clock;
use havengate_relay::control::{Learner, Source};
use havengate_relay::knowledge::{Knowledge, SharedMoment};
use havengate_relay::metrics::RelayMetrics;

fn learner() -> Learner {
    let knowledge = Arc::new(ArcSwap::from_pointee(Knowledge::nothing()));
    // Ages are subtracted from the clock, which must not end at its start.
    let clock = Clock::start_with_past(Duration::from_secs(100));
    Learner::new(knowledge, SharedMoment::default(), clock, RelayMetrics::new())
}

fn position(era: u64, revision: u64) -> Position {
    Position::new(StoreEra::new(era).expect("an era"), Revision(revision))
}

/// A node whose directory stands there, as the store has told.
fn node_at(era: u64, revision: u64) -> Learner {
    let node = learner();
    list(&node, era, revision);
    node
}

fn list(node: &Learner, era: u64, revision: u64) {
    let listing = DirectoryListing { position: position(era, revision), ..DirectoryListing::default() };
    node.adopt_listing(listing, node.clock().now(), Source::Store);
}

fn peer() -> Address {
    Address(SocketAddr::from(([10, 0, 0, 9], 7_000)))
}

/// One pull of `node` from `other`, which is known by its digests as `other_tells`.
fn pull(node: &Learner, other: &Learner, other_tells: Position) {
    node.note_peer(peer(), other_tells);
    let asked_at = node.clock().now();
    let pull = node.pull_for(peer(), node.pull_of_directory(Duration::ZERO));
    let answer = other.answer(pull, Duration::ZERO);
    node.learn(node.placed(peer(), answer), asked_at);
}

#[test]
fn a_node_of_the_former_era_learns_the_new_one_from_a_peer_and_feeds_nobody_with_the_former() {
    let (ahead, behind) = (node_at(2, 300), node_at(1, 500));
    pull(&ahead, &behind, position(1, 500));
    assert_eq!(ahead.directory_position(), Some(position(2, 300)));
    pull(&behind, &ahead, position(2, 300));
    assert_eq!(behind.directory_position(), Some(position(2, 300)));
}

#[test]
fn an_era_that_was_only_heard_of_is_asked_for_and_not_believed() {
    let node = node_at(1, 500);
    let mut eras = node.eras();
    node.note_peer(peer(), position(4, 20));
    assert!(eras.has_changed().expect("the learner lives") && *eras.borrow_and_update() == position(4, 20).era);
    assert_eq!(node.pull_of_directory(Duration::ZERO).directory, position(4, 0));
    assert_eq!(node.directory_position(), Some(position(1, 500)));
    list(&node, 1, 510);
    assert_eq!(node.directory_position(), Some(position(1, 510)), "the store has the word");
}

#[test]
fn a_node_is_fed_by_one_that_knows_no_eras_as_long_as_the_store_did_not_go_back() {
    let (node, former_build) = (node_at(3, 500), node_at(0, 510));
    pull(&node, &former_build, position(0, 510));
    assert_eq!(node.directory_position(), Some(position(3, 510)));
    list(&node, 4, 300);
    pull(&node, &former_build, position(0, 510));
    assert_eq!(node.directory_position(), Some(position(4, 300)));
    assert_eq!(node.pull_for(peer(), node.pull_of_directory(Duration::ZERO)).directory, position(0, 300));
}

#[test]
fn a_node_that_knows_no_eras_is_told_none() {
    let (node, former_build) = (node_at(3, 510), node_at(0, 500));
    node.set_configuration_at(position(3, 505));
    let answer = node.answer(former_build.pull_of_directory(Duration::ZERO), Duration::ZERO);
    assert_eq!((answer.directory.as_ref().map(DirectoryUpdate::position), answer.newest_at), {
        (Some(position(0, 510)), Some(position(0, 505)))
    });
    list(&node, 4, 600);
    let answer = node.answer(former_build.pull_of_directory(Duration::ZERO), Duration::ZERO);
    assert!(matches!(answer.directory, Some(DirectoryUpdate::Listing(_))), "changes may not lead on from its own");
    assert_eq!(answer.newest_at, None, "a watch from there may miss what it lacks");
}

#[test]
fn a_node_that_starts_hears_the_era_and_is_told_the_whole_directory_in_it() {
    let (node, reader) = (learner(), node_at(3, 510));
    pull(&node, &reader, position(3, 510));
    assert_eq!(node.directory_position(), Some(position(3, 510)));
}

#[test]
fn a_listing_of_the_store_that_was_asked_for_before_a_peer_told_more_is_only_late() {
    let node = node_at(3, 500);
    let asked_from = position(3, 500);
    let news = DirectoryUpdate::Changes(DirectoryChanges { position: position(3, 520), changes: Vec::new() });
    node.learn(told(&node, news), node.clock().now());
    let late = DirectoryListing { position: position(3, 510), ..DirectoryListing::default() };
    node.adopt_own_listing(late, asked_from, node.clock().now());
    assert_eq!(node.directory_position(), Some(position(3, 520)));
    let behind = DirectoryListing { position: position(3, 400), ..DirectoryListing::default() };
    node.adopt_own_listing(behind, position(3, 520), node.clock().now());
    assert_eq!(node.directory_position(), Some(position(3, 400)), "the store has less than it told: it went back");
}

/// An answer with these news, confirmed just now.
fn told(node: &Learner, news: DirectoryUpdate) -> PullAnswer {
    let confirmed = node.answer(node.pull_of_directory(Duration::ZERO), Duration::ZERO);
    PullAnswer { directory: Some(news), ..confirmed }
}
