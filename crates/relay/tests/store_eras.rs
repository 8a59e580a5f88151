//! What nodes learn from each other after the store was restored from an older snapshot, and from nodes of a build that
//! predates eras.

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
use havengate_relay::knowledge::{Knowledge, SharedTimestamp};
use havengate_relay::metrics::RelayMetrics;

fn learner() -> Learner {
    let knowledge = Arc::new(ArcSwap::from_pointee(Knowledge::nothing()));
    // Ages are subtracted from the clock, so it must start well after zero.
    let clock = Clock::start_with_past(Duration::from_secs(100));
    Learner::new(knowledge, SharedTimestamp::default(), clock, RelayMetrics::new())
}

fn position(era: u64, revision: u64) -> Position {
    Position::new(StoreEra::new(era).expect("a valid era"), Revision(revision))
}

/// A node whose directory was listed from the store at this position.
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

/// One pull of `node` from `other`, whose digests announce the position `announced`.
fn pull(node: &Learner, other: &Learner, announced: Position) {
    node.record_peer_position(peer(), announced);
    let asked_at = node.clock().now();
    let pull = node.pull_for(peer(), node.pull_of_directory(Duration::ZERO));
    let answer = other.answer(pull, Duration::ZERO);
    node.apply_answer(node.with_own_era(peer(), answer), asked_at);
}

#[test]
fn a_previous_era_is_replaced_by_the_newer_one_of_a_peer_and_never_spreads() {
    let (ahead, behind) = (node_at(2, 300), node_at(1, 500));
    pull(&ahead, &behind, position(1, 500));
    assert_eq!(ahead.directory_position(), Some(position(2, 300)));
    pull(&behind, &ahead, position(2, 300));
    assert_eq!(behind.directory_position(), Some(position(2, 300)));
}

#[test]
fn an_era_that_was_only_observed_is_pulled_but_not_trusted() {
    let node = node_at(1, 500);
    let mut eras = node.eras();
    node.record_peer_position(peer(), position(4, 20));
    assert!(eras.has_changed().expect("the learner is alive") && *eras.borrow_and_update() == position(4, 20).era);
    assert_eq!(node.pull_of_directory(Duration::ZERO).directory, position(4, 0));
    assert_eq!(node.directory_position(), Some(position(1, 500)));
    list(&node, 1, 510);
    assert_eq!(node.directory_position(), Some(position(1, 510)), "the store is authoritative");
}

#[test]
fn a_node_accepts_updates_without_an_era_until_the_store_is_restored() {
    let (node, old_build) = (node_at(3, 500), node_at(0, 510));
    pull(&node, &old_build, position(0, 510));
    assert_eq!(node.directory_position(), Some(position(3, 510)));
    list(&node, 4, 300);
    pull(&node, &old_build, position(0, 510));
    assert_eq!(node.directory_position(), Some(position(4, 300)));
    assert_eq!(node.pull_for(peer(), node.pull_of_directory(Duration::ZERO)).directory, position(0, 300));
}

#[test]
fn a_peer_without_eras_is_sent_positions_without_an_era() {
    let (node, old_build) = (node_at(3, 510), node_at(0, 500));
    node.set_configuration_position(position(3, 505));
    let answer = node.answer(old_build.pull_of_directory(Duration::ZERO), Duration::ZERO);
    assert_eq!((answer.directory.as_ref().map(DirectoryUpdate::position), answer.newest_at), {
        (Some(position(0, 510)), Some(position(0, 505)))
    });
    list(&node, 4, 600);
    let answer = node.answer(old_build.pull_of_directory(Duration::ZERO), Duration::ZERO);
    assert!(
        matches!(answer.directory, Some(DirectoryUpdate::Listing(_))),
        "changes may not apply to the directory of the peer"
    );
    assert_eq!(answer.newest_at, None, "a watch from there may miss changes that the peer lacks");
}

#[test]
fn a_starting_node_learns_the_era_and_the_full_directory_from_a_peer() {
    let (node, reader) = (learner(), node_at(3, 510));
    pull(&node, &reader, position(3, 510));
    assert_eq!(node.directory_position(), Some(position(3, 510)));
}

#[test]
fn a_listing_requested_before_an_update_from_a_peer_is_outdated_and_not_a_restore() {
    let node = node_at(3, 500);
    let asked_from = position(3, 500);
    let update = DirectoryUpdate::Changes(DirectoryChanges { position: position(3, 520), changes: Vec::new() });
    node.apply_answer(answer_with(&node, update), node.clock().now());
    let late = DirectoryListing { position: position(3, 510), ..DirectoryListing::default() };
    node.adopt_store_listing(late, asked_from, node.clock().now());
    assert_eq!(node.directory_position(), Some(position(3, 520)));
    let behind = DirectoryListing { position: position(3, 400), ..DirectoryListing::default() };
    node.adopt_store_listing(behind, position(3, 520), node.clock().now());
    assert_eq!(
        node.directory_position(),
        Some(position(3, 400)),
        "the store is behind its own answer: it was restored"
    );
}

/// An answer with this update, confirmed just now.
fn answer_with(node: &Learner, update: DirectoryUpdate) -> PullAnswer {
    let confirmed = node.answer(node.pull_of_directory(Duration::ZERO), Duration::ZERO);
    PullAnswer { directory: Some(update), ..confirmed }
}
