//! Selects the node that should hold the lease: the current holder, else the first-ranked candidate, or the second one
//! while the first is silent.

use std::time::Duration;

use crate::membership::rank_by_address;
use crate::time::Timestamp;
use crate::world::Address;

/// Hash key that ranks the nodes that may hold the lease.
const CANDIDATES_KEY: &[u8] = b"deciders on stages";

/// How many nodes receive demand and usage: the first-ranked one and its substitute.
pub const CANDIDATES: usize = 2;

/// The nodes among `own` and its `peers` that receive demand and usage, in rank order.
pub fn candidates(own: Address, peers: &[Address]) -> Vec<Address> {
    let mut ranked = rank_by_address(CANDIDATES_KEY, peers.iter().copied().chain([own]), |address| *address);
    ranked.truncate(CANDIDATES);
    ranked
}

/// Limits of a [`HolderWatch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderWatchConfig {
    /// The first-ranked candidate sends its demand to the next one every second; after this much silence it is assumed to
    /// be down. Up to three of its datagrams may be lost.
    pub silence: Duration,
}

impl Default for HolderWatchConfig {
    fn default() -> Self {
        HolderWatchConfig { silence: Duration::from_millis(3_200) }
    }
}

/// One candidate's decision whether it should act.
///
/// Two nodes may decide to act at the same time; the lease admits only one of them. Without this substitution, a killed
/// first-ranked node was replaced only after ten seconds, the time for which peers still list it.
#[derive(Clone, Copy, Debug)]
pub struct HolderWatch {
    config: HolderWatchConfig,
    own: Address,
    /// The node ranked directly before this one, and since when that has been so.
    predecessor: Option<(Address, Timestamp)>,
}

impl HolderWatch {
    /// The watch of the node at `own`.
    pub fn new(config: HolderWatchConfig, own: Address) -> Self {
        HolderWatch { config, own, predecessor: None }
    }

    /// Whether this node should act at `now`. `ranked` holds the candidates, `holds_lease` says whether this node holds the
    /// lease, and `received_at` gives the time of the last message received directly from a node.
    ///
    /// A holder continues while it is a candidate: a handover takes longer than most duties may wait, and a first-ranked
    /// node that has just restarted lacks the counts.
    pub fn should_act(
        &mut self,
        ranked: &[Address],
        holds_lease: bool,
        received_at: impl Fn(Address) -> Option<Timestamp>,
        now: Timestamp,
    ) -> bool {
        let Some(rank) = ranked.iter().position(|candidate| *candidate == self.own) else {
            self.predecessor = None;
            return false;
        };
        let Some(predecessor) = rank.checked_sub(1).map(|rank| ranked[rank]) else {
            self.predecessor = None;
            return true;
        };
        let since = match self.predecessor {
            Some((known, since)) if known == predecessor => since,
            _ => now,
        };
        self.predecessor = Some((predecessor, since));
        let last_received = received_at(predecessor).map_or(since, |received_at| received_at.max(since));
        holds_lease || now.since(last_received) >= self.config.silence
    }
}
