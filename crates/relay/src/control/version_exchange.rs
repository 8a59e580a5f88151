//! Queries between nodes for the software versions of back ends: only the nodes that read the store see them there.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use havengate_core::replication::{PeerMessage, ReadersConfig};
use havengate_core::resumption::{BackEndTag, VersionQuery};
use havengate_core::time::Timestamp;
use havengate_core::world::Address;
use tokio::time::timeout;

use super::learner::Learner;
use super::peers::PeerExchange;
use super::reader_role::ReaderRole;

/// How often versions that are still unknown are queried.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// The pause between an update of the directory and the query: one update often follows another.
const UPDATE_PAUSE: Duration = Duration::from_millis(10);

/// The most queries at a time.
const QUERIES_MAXIMUM: usize = 4;

/// After this time in which no peer knew a version, the node reads the store.
const PEERS_TIME_LIMIT: Duration = Duration::from_secs(2);

/// The longest random addition to [`PEERS_TIME_LIMIT`].
const STORE_READ_JITTER: Duration = Duration::from_millis(500);

/// The shortest time between two reads of the store for versions.
const STORE_READ_INTERVAL: Duration = Duration::from_secs(10);

/// The state of the search for unknown versions. Clones share it.
#[derive(Clone)]
pub struct VersionExchange {
    learner: Learner,
    role: ReaderRole,
    /// Since when some versions have been unknown; `None` while all are known.
    missing_since: Rc<Cell<Option<Timestamp>>>,
    /// When the store was last read for versions.
    store_read_at: Rc<Cell<Option<Timestamp>>>,
    /// [`PEERS_TIME_LIMIT`] with this node's random addition.
    peers_time_limit: Duration,
}

impl VersionExchange {
    /// The exchange of a node that has just started.
    pub fn new(learner: Learner, role: ReaderRole) -> Self {
        let peers_time_limit = PEERS_TIME_LIMIT + STORE_READ_JITTER.mul_f64(fastrand::f64());
        VersionExchange { learner, role, missing_since: Rc::default(), store_read_at: Rc::default(), peers_time_limit }
    }

    /// Queries peers for unknown versions; never returns.
    pub async fn run(self, peers: PeerExchange) {
        let mut updates = self.learner.updates();
        loop {
            // The sender lives as long as the learner.
            let _ = timeout(QUERY_INTERVAL, updates.changed()).await;
            updates.mark_unchanged();
            tokio::time::sleep(UPDATE_PAUSE).await;
            Self::announce(&peers, self.learner.take_changed_versions(), &self.learner).await;
            let unknown = self.learner.unknown_versions();
            self.record_missing(!unknown.is_empty());
            self.query(&peers, &unknown).await;
        }
    }

    /// Whether the store must be read because no peer knows some versions.
    pub fn must_read_store(&self) -> bool {
        let now = self.learner.clock().now();
        let is_missing = self.missing_since.get().is_some_and(|since| now.since(since) >= self.peers_time_limit);
        is_missing && self.store_read_at.get().is_none_or(|at| now.since(at) >= STORE_READ_INTERVAL)
    }

    /// Records that the store is being read.
    pub fn record_store_read(&self) {
        self.store_read_at.set(Some(self.learner.clock().now()));
        log::info!(event = "software_versions_read_from_store", cause = "no peer sent them"; "");
    }

    fn record_missing(&self, is_missing: bool) {
        let since = self.missing_since.get().or_else(|| Some(self.learner.clock().now()));
        self.missing_since.set(since.filter(|_| is_missing));
    }

    /// Announces to all peers the new versions of back ends that have changed theirs under the same identity.
    async fn announce(peers: &PeerExchange, changed: Vec<BackEndTag>, learner: &Learner) {
        let receivers = peers.recent(learner.clock().now());
        for back_ends in changed.chunks(VersionQuery::BACK_ENDS_MAXIMUM) {
            for notice in learner.version_notices(back_ends, peers.own_address()) {
                peers.send_to(&PeerMessage::Versions(notice), &receivers).await;
            }
        }
    }

    /// Queries the readers that feed this node, one of which has the versions from the store, and a random peer, as the readers
    /// may be of a build that doesn't answer.
    async fn query(&self, peers: &PeerExchange, unknown: &[BackEndTag]) {
        if unknown.is_empty() {
            return;
        }
        let feeds = (0..ReadersConfig::default().feeds_per_node).filter_map(|slot| self.role.feed(slot));
        let mut receivers: BTreeSet<Address> = feeds.collect();
        receivers.extend(fastrand::choice(peers.recent(self.learner.clock().now())));
        let receivers: Vec<Address> = receivers.into_iter().collect();
        for back_ends in unknown.chunks(VersionQuery::BACK_ENDS_MAXIMUM).take(QUERIES_MAXIMUM) {
            let query = VersionQuery { sender: peers.own_address(), back_ends: back_ends.to_vec() };
            peers.send_to(&PeerMessage::VersionsWanted(query), &receivers).await;
        }
    }
}
