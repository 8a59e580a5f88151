//! Which nodes read the store, and from which of them the others learn.
//!
//! Each call to the store has a price, and its rate is limited for all nodes together. So a few nodes, the readers, follow
//! the store; every node, readers included, is fed by two readers. Nothing is agreed on: each node works the readers out
//! from the nodes that it has heard of, and two nodes that know different ones only lead to a reader more or less. A node
//! whose knowledge is not confirmed in time, by whatever way, asks the store itself.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::membership::rank_by_address;
use crate::time::Timestamp;
use crate::world::Address;

/// Ranks the nodes as readers.
const READERS_KEY: &[u8] = b"readers of the store";

/// How many read the store, and how the others learn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadersConfig {
    /// Readers of a small deployment. With three, one may be cut off and another one die.
    pub readers_minimum: usize,
    /// One more reader for so many nodes: each feeds some of them.
    pub nodes_per_reader: usize,
    /// The readers that feed a node. One may be cut off from the store without a word.
    pub feeds_per_node: usize,
    /// A reader that could not be reached, or was cut off, is passed over for this time while there are others.
    pub suspension: Duration,
    /// Knowledge that was not confirmed for this time is stale: the node asks the store itself. Longer than a reader's
    /// watch and the wait of a feed together, shorter than the time in which a back end that leaves must get nothing new.
    pub stale: Duration,
}

impl Default for ReadersConfig {
    fn default() -> Self {
        ReadersConfig {
            readers_minimum: 3,
            nodes_per_reader: 100,
            feeds_per_node: 2,
            suspension: Duration::from_secs(3),
            stale: Duration::from_millis(1_600),
        }
    }
}

/// One node's view of who reads the store.
#[derive(Clone, Debug)]
pub struct Readers {
    config: ReadersConfig,
    own: Address,
    suspended: BTreeMap<Address, Timestamp>,
}

impl Readers {
    /// The view of the node at `own`.
    pub fn new(config: ReadersConfig, own: Address) -> Self {
        Readers { config, own, suspended: BTreeMap::new() }
    }

    /// The readers among this node and its `peers`.
    pub fn of(&self, peers: &[Address]) -> Vec<Address> {
        let count = self.config.readers_minimum + peers.len() / self.config.nodes_per_reader;
        self.ranked(peers).into_iter().take(count).collect()
    }

    /// Whether this node reads the store.
    pub fn includes_own(&self, peers: &[Address]) -> bool {
        self.of(peers).contains(&self.own)
    }

    /// The readers that feed this node, others than itself. Suspended ones come last: when the store is lost to all, it is
    /// as well to stay with them and to hear when it is back.
    pub fn feeds(&self, peers: &[Address], now: Timestamp) -> Vec<Address> {
        // Each node ranks the readers anew, so that they share the work of feeding.
        let own_key = self.own.to_string();
        let mut readers = rank_by_address(own_key.as_bytes(), self.of(peers), |address| *address);
        readers.retain(|reader| *reader != self.own);
        readers.sort_by_key(|reader| self.is_suspended(*reader, now));
        readers.truncate(self.config.feeds_per_node);
        readers
    }

    fn is_suspended(&self, reader: Address, now: Timestamp) -> bool {
        self.suspended.get(&reader).is_some_and(|since| now.since(*since) < self.config.suspension)
    }

    /// Notes that `reader` could not be reached, or that its own knowledge is stale.
    pub fn suspend(&mut self, reader: Address, now: Timestamp) {
        self.suspended.retain(|_, since| now.since(*since) < self.config.suspension);
        self.suspended.insert(reader, now);
    }

    /// Whether knowledge that was confirmed at `confirmed_at` is stale.
    pub fn is_stale(&self, confirmed_at: Option<Timestamp>, now: Timestamp) -> bool {
        confirmed_at.is_none_or(|confirmed_at| now.since(confirmed_at) > self.config.stale)
    }

    fn ranked(&self, peers: &[Address]) -> Vec<Address> {
        let nodes = peers.iter().copied().chain([self.own]);
        rank_by_address(READERS_KEY, nodes, |address| *address)
    }
}
