//! Takes in what the store and the peers tell, and publishes it. Versions and revisions only rise.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use havengate_core::back_ends::{Directory, DirectoryListing};
use havengate_core::replication::{Pull, PullAnswer};
use havengate_core::routing::TrafficConfiguration;
use havengate_core::world::Address;
use havengate_node::clock::Clock;

use crate::knowledge::{ActiveConfiguration, Knowledge, SharedKnowledge};
use crate::metrics::RelayMetrics;
use crate::protocol::DirectoryChanges;

/// Where a piece of knowledge came from, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// Another node.
    Peer,
}

impl Source {
    fn code(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Peer => "peer",
        }
    }
}

/// Takes knowledge in. Copies share it.
#[derive(Clone)]
pub struct Learner {
    directory: Rc<RefCell<Directory>>,
    knowledge: SharedKnowledge,
    clock: Clock,
    metrics: RelayMetrics,
}

impl Learner {
    /// A learner that publishes to `knowledge`.
    pub fn new(knowledge: SharedKnowledge, clock: Clock, metrics: RelayMetrics) -> Self {
        Learner { directory: Rc::default(), knowledge, clock, metrics }
    }

    /// The node's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// What is known now.
    pub fn knowledge(&self) -> Arc<Knowledge> {
        self.knowledge.load_full()
    }

    /// Adopts a configuration if it is newer than the one in force.
    pub fn adopt_configuration(&self, configuration: TrafficConfiguration, source: Source) {
        let knowledge = self.knowledge.load_full();
        if knowledge.configuration.is_some() && configuration.version <= knowledge.configuration_number() {
            return;
        }
        log::info!(
            event = "configuration_adopted",
            version = configuration.version.0,
            before = knowledge.configuration_number().0,
            routes = configuration.routes.len(),
            source = source.code();
            ""
        );
        let active = Arc::new(ActiveConfiguration::new(configuration));
        self.publish(Knowledge { configuration: Some(active), ..(*knowledge).clone() });
    }

    /// Replaces the directory by a listing that is not older.
    pub fn adopt_listing(&self, listing: DirectoryListing, source: Source) {
        let back_ends = listing.back_ends.len();
        let revision = listing.revision.0;
        if self.directory.borrow_mut().adopt(listing, self.clock.now()) {
            log::info!(event = "directory_adopted", revision, back_ends, source = source.code(); "");
            self.publish_directory();
        }
    }

    /// Applies changes that the store told.
    pub fn apply_changes(&self, changes: DirectoryChanges) {
        let now = self.clock.now();
        self.directory.borrow_mut().apply(changes.changes, changes.revision, now);
        self.publish_directory();
    }

    /// Sets the number of nodes, and where those that were heard from lately take notices.
    pub fn set_peers(&self, nodes: u32, peers: Vec<Address>) {
        let knowledge = self.knowledge.load_full();
        if knowledge.nodes == nodes && *knowledge.peers == peers {
            return;
        }
        log::info!(event = "peers_changed", nodes, before = knowledge.nodes, reachable = peers.len(); "");
        self.publish(Knowledge { nodes, peers: Arc::new(peers), ..(*knowledge).clone() });
    }

    /// What a peer that has `pull` lacks.
    pub fn answer(&self, pull: Pull) -> PullAnswer {
        let knowledge = self.knowledge.load();
        let newer = knowledge.configuration.as_ref().filter(|active| active.configuration.version > pull.configuration);
        let directory = self.directory.borrow();
        let directory_newer = directory.is_known() && directory.revision() > pull.directory;
        PullAnswer {
            configuration: newer.map(|active| active.configuration.clone()),
            directory: directory_newer.then(|| directory.listing()),
        }
    }

    fn publish_directory(&self) {
        let directory = Arc::new(self.directory.borrow().clone());
        let directory_confirmed_at = Some(self.clock.now());
        let knowledge = self.knowledge.load_full();
        self.publish(Knowledge { directory, directory_confirmed_at, ..(*knowledge).clone() });
    }

    fn publish(&self, knowledge: Knowledge) {
        let configuration = knowledge.configuration_number().0;
        self.metrics.set_knowledge(configuration, knowledge.directory.revision().0, knowledge.nodes);
        self.knowledge.store(Arc::new(knowledge));
    }
}
