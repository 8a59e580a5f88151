//! Selection of the nodes that read the store and of the readers that feed each node.
//!
//! Each call to the store has a cost, and the call rate is limited for all nodes together. So only a few nodes, the
//! readers, follow the store; every node, readers included, is fed by two readers. This needs no agreement: each node
//! computes the readers from the nodes that it knows, and differing views only lead to one reader more or fewer.
//! A node whose knowledge is not confirmed in time, in whichever way, asks the store itself.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::membership::rank_by_address;
use crate::time::Timestamp;
use crate::world::Address;

/// The key by which nodes are ranked as readers.
const READERS_KEY: &[u8] = b"readers of the store";

/// The number of readers, and how they feed the other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadersConfig {
    /// Number of readers in a small deployment. Three tolerate one that is cut off and another one that crashes.
    pub readers_minimum: usize,
    /// One more reader is added per this number of nodes, since each reader feeds a part of them.
    pub nodes_per_reader: usize,
    /// Number of readers that feed a node. One of them may lose the store without announcing it.
    pub feeds_per_node: usize,
    /// A reader that was unreachable or cut off from the store is not used for this time while there are others.
    pub suspension: Duration,
    /// Knowledge that was not confirmed for this time is stale, and the node asks the store itself. Longer than a reader's
    /// watch plus the wait of a feed; shorter than the time within which new requests to a draining back end must stop.
    pub stale_after: Duration,
}

impl Default for ReadersConfig {
    fn default() -> Self {
        ReadersConfig {
            readers_minimum: 3,
            nodes_per_reader: 100,
            feeds_per_node: 2,
            suspension: Duration::from_secs(3),
            stale_after: Duration::from_millis(1_600),
        }
    }
}

/// One node's view of which nodes read the store.
#[derive(Clone, Debug)]
pub struct Readers {
    config: ReadersConfig,
    own_address: Address,
    suspended: BTreeMap<Address, Timestamp>,
    distant: BTreeSet<Address>,
}

impl Readers {
    /// The view of the node at `own_address`.
    pub fn new(config: ReadersConfig, own_address: Address) -> Self {
        Readers { config, own_address, suspended: BTreeMap::new(), distant: BTreeSet::new() }
    }

    /// Sets the nodes in other regions. They may be readers all the same, but feed this node only if nearer readers don't
    /// suffice.
    pub fn set_distant(&mut self, distant: BTreeSet<Address>) {
        self.distant = distant;
    }

    /// Whether the node at `address` is in another region.
    pub fn is_distant(&self, address: Address) -> bool {
        self.distant.contains(&address)
    }

    /// The readers among this node and its `peers`.
    pub fn of(&self, peers: &[Address]) -> Vec<Address> {
        let count = self.config.readers_minimum + peers.len() / self.config.nodes_per_reader;
        self.ranked_nodes(peers).into_iter().take(count).collect()
    }

    /// Whether this node reads the store.
    pub fn includes_own(&self, peers: &[Address]) -> bool {
        self.of(peers).contains(&self.own_address)
    }

    /// The readers other than itself that feed this node. Suspended readers come last but are not excluded: when all
    /// readers have lost the store, the node stays with them and learns from them when it is back. Of the others, those
    /// in the own region come first.
    pub fn feeds(&self, peers: &[Address], now: Timestamp) -> Vec<Address> {
        // Each node ranks the readers by its own address, so that the load of feeding is spread over them.
        let own_key = self.own_address.to_string();
        let mut readers = rank_by_address(own_key.as_bytes(), self.of(peers), |address| *address);
        readers.retain(|reader| *reader != self.own_address);
        readers.sort_by_key(|reader| (self.is_suspended(*reader, now), self.is_distant(*reader)));
        readers.truncate(self.config.feeds_per_node);
        readers
    }

    fn is_suspended(&self, reader: Address, now: Timestamp) -> bool {
        self.suspended.get(&reader).is_some_and(|suspended_at| now.since(*suspended_at) < self.config.suspension)
    }

    /// Suspends `reader`, which could not be reached or whose own knowledge is stale.
    pub fn suspend(&mut self, reader: Address, now: Timestamp) {
        self.suspended.retain(|_, suspended_at| now.since(*suspended_at) < self.config.suspension);
        self.suspended.insert(reader, now);
    }

    /// Whether knowledge that was confirmed at `confirmed_at` is stale.
    pub fn is_stale(&self, confirmed_at: Option<Timestamp>, now: Timestamp) -> bool {
        confirmed_at.is_none_or(|confirmed_at| now.since(confirmed_at) > self.config.stale_after)
    }

    fn ranked_nodes(&self, peers: &[Address]) -> Vec<Address> {
        let nodes = peers.iter().copied().chain([self.own_address]);
        rank_by_address(READERS_KEY, nodes, |address| *address)
    }
}
