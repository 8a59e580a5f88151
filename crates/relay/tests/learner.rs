//! How a node applies what it pulls from another: configuration updates, ages, and incarnations of back ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use havengate_core::back_ends::{BackEnd, BackEndState, DirectoryChange, DirectoryChanges, DirectoryListing};
use havengate_core::routing::{CallerLimits, ConfigurationNumber, TrafficConfiguration};
use havengate_core::store::{Position, Revision};
use havengate_core::world::{Address, BackEndId, BackEndName, StartMoment};
use havengate_node::clock::Clock;
use havengate_relay::control::{Learner, Source};
use havengate_relay::knowledge::{Knowledge, SharedKnowledge, SharedTimestamp};
use havengate_relay::metrics::RelayMetrics;

struct Node {
    learner: Learner,
    knowledge: SharedKnowledge,
    configuration_current_at: SharedTimestamp,
    metrics: RelayMetrics,
}

impl Node {
    fn new() -> Self {
        let (metrics, configuration_current_at) = (RelayMetrics::new(), SharedTimestamp::default());
        let knowledge: SharedKnowledge = Arc::new(ArcSwap::from_pointee(Knowledge::nothing()));
        // Ages are subtracted from the clock, so it must start well after zero.
        let clock = Clock::start_with_past(Duration::from_secs(100));
        let learner = Learner::new(Arc::clone(&knowledge), configuration_current_at.clone(), clock, metrics.clone());
        Node { learner, knowledge, configuration_current_at, metrics }
    }

    fn version(&self) -> u64 {
        self.knowledge.load().configuration_number().0
    }

    /// Pulls the configuration from `peer`; returns the number of updates received.
    fn fetch_from(&self, peer: &Node) -> usize {
        let asked_at = self.learner.clock().now();
        let answer = peer.learner.answer(self.learner.pull_of_configuration(), Duration::ZERO);
        let updates = answer.configuration.len();
        self.learner.apply_answer(answer, asked_at);
        updates
    }

    fn new_incarnations(&self) -> u64 {
        let text = self.metrics.encode().expect("metrics are text");
        let line = text.lines().find_map(|line| line.strip_prefix("havengate_new_lives_total "));
        line.and_then(|count| count.parse().ok()).expect("the counter is exported")
    }
}

fn configuration(version: u64, head_maximum_bytes: u64) -> TrafficConfiguration {
    let limits = CallerLimits {
        head_maximum_bytes,
        body_maximum_bytes: 1_000,
        head_time_limit: Duration::from_secs(3),
        idle_time_limit: Duration::from_secs(15),
    };
    let version = ConfigurationNumber(version);
    TrafficConfiguration {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits,
        tenants: None,
        tenant_limits: None,
    }
}

fn incarnation(started: u64) -> BackEnd {
    BackEnd {
        id: BackEndId::of_incarnation(BackEndName::new("engine-1"), Some(StartMoment(started))),
        service: "model".into(),
        address: Address(SocketAddr::from(([10, 0, 0, 1], 80))),
        zone: "zone".into(),
        slots: 8,
        state: BackEndState::Ready,
        stage: None,
        preemptible: false,
    }
}

#[test]
fn a_node_applies_the_updates_of_another_and_forwards_them() {
    let (reader, second, third) = (Node::new(), Node::new(), Node::new());
    reader.learner.adopt_configuration(configuration(3, 10));
    assert_eq!(second.fetch_from(&reader), 1, "the full configuration");
    assert_eq!(third.fetch_from(&second), 1);
    for version in [5, 6, 9] {
        reader.learner.adopt_configuration(configuration(version, 10 * version));
    }
    assert_eq!((second.fetch_from(&reader), second.version()), (3, 9));
    assert_eq!((third.fetch_from(&second), third.version()), (3, 9), "the updates as they were received");
    assert_eq!(third.knowledge.load().configuration.as_ref().map(|active| active.configuration.clone()), {
        Some(configuration(9, 90))
    });
    assert_eq!(second.fetch_from(&reader), 0, "there is nothing newer");
    assert_eq!((reader.fetch_from(&third), reader.version()), (0, 9));
}

#[test]
fn a_node_that_cannot_apply_an_update_pulls_the_full_configuration_next() {
    let (reader, other) = (Node::new(), Node::new());
    reader.learner.adopt_configuration(configuration(3, 10));
    // Another writer has assigned the same version to a different configuration.
    other.learner.adopt_configuration(TrafficConfiguration { tenants: Some(Vec::new()), ..configuration(3, 77) });
    let mut second = configuration(4, 20);
    second.tenants = Some(Vec::new());
    reader.learner.adopt_configuration(second.clone());
    let first_answer = reader.learner.answer(other.learner.pull_of_configuration(), Duration::ZERO);
    assert_eq!(first_answer.configuration.len(), 1);
    other.fetch_from(&reader);
    other.fetch_from(&reader);
    assert_eq!(other.knowledge.load().configuration.as_ref().map(|active| active.configuration.clone()), Some(second));
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let (ahead, behind) = (Node::new(), Node::new());
    ahead.learner.adopt_configuration(configuration(9, 10));
    behind.learner.adopt_configuration(configuration(5, 10));
    assert_eq!((ahead.fetch_from(&behind), ahead.version()), (0, 9));
    ahead.learner.adopt_configuration(configuration(8, 10));
    assert_eq!(ahead.version(), 9);
}

#[test]
fn a_confirmation_counts_only_for_a_node_that_has_the_configuration_of_the_peer() {
    let (reader, second) = (Node::new(), Node::new());
    reader.learner.adopt_configuration(configuration(3, 10));
    reader.learner.advance_configuration_position(Position::from(Revision(40)));
    reader.learner.confirm_configuration(reader.learner.clock().now());
    reader.learner.mark_configuration_current(reader.learner.clock().now());
    let asked_at = second.learner.clock().now();
    let without_configuration = reader.learner.answer(second.learner.pull_of_directory(Duration::ZERO), Duration::ZERO);
    second.learner.apply_answer(without_configuration, asked_at);
    assert_eq!((second.learner.configuration_confirmed_at(), second.configuration_current_at.get()), (None, None));
    assert_eq!(second.learner.configuration_position(), None);
    second.fetch_from(&reader);
    assert!(second.learner.configuration_confirmed_at().is_some() && second.configuration_current_at.get().is_some());
    assert_eq!(second.learner.configuration_position(), Some(Position::from(Revision(40))));
}

#[test]
fn the_transit_time_of_an_answer_does_not_reduce_ages() {
    let (reader, second) = (Node::new(), Node::new());
    reader.learner.adopt_listing(DirectoryListing::default(), reader.learner.clock().now(), Source::Store);
    // The answer was requested ten seconds ago and created half a second later.
    let asked_at = second.learner.clock().now() - Duration::from_secs(10);
    let answer = reader.learner.answer(second.learner.pull_of_directory(Duration::ZERO), Duration::from_millis(500));
    second.learner.apply_answer(answer, asked_at);
    let confirmed_at = second.knowledge.load().directory_confirmed_at.expect("the directory was confirmed");
    assert!(confirmed_at <= asked_at + Duration::from_millis(500));
}

#[test]
fn a_new_incarnation_counts_once_despite_repeated_updates() {
    let node = Node::new();
    let listing = DirectoryListing {
        position: Position::from(Revision(10)),
        back_ends: vec![incarnation(1)],
        malformed: Vec::new(),
    };
    let now = || node.learner.clock().now();
    node.learner.adopt_listing(listing, now(), Source::Store);
    let changes = vec![DirectoryChange::Put(incarnation(2)), DirectoryChange::Put(incarnation(3))];
    let update = |revision| DirectoryChanges { position: Position::from(Revision(revision)), changes: changes.clone() };
    node.learner.apply_changes(update(12), now(), Source::Store);
    assert_eq!(node.new_incarnations(), 1, "an incarnation that ended before it was observed does not count");
    node.learner.apply_changes(update(12), now(), Source::Peer);
    node.learner.apply_changes(update(13), now(), Source::Peer);
    assert_eq!(node.new_incarnations(), 1);
}
