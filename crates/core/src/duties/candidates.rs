//! Which node is to hold the lease: the first in rank, the next one while the first is silent, and whoever holds it already.

use std::time::Duration;

use crate::membership::rank_by_address;
use crate::time::Timestamp;
use crate::world::Address;

/// Ranks the nodes that may hold the lease.
const CANDIDATES_KEY: &[u8] = b"deciders on stages";

/// The nodes that are told of demand and usage: the first, and the one that stands in for it.
pub const CANDIDATES: usize = 2;

/// The nodes among `own` and its `peers` that are told of demand and usage, the first in rank first.
pub fn candidates(own: Address, peers: &[Address]) -> Vec<Address> {
    let mut ranked = rank_by_address(CANDIDATES_KEY, peers.iter().copied().chain([own]), |address| *address);
    ranked.truncate(CANDIDATES);
    ranked
}

/// Limits of a [`HolderWatch`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderWatchConfig {
    /// The first in rank tells the next one of its demand every second; one that was silent for this time is taken for gone.
    /// Three of its datagrams may be lost.
    pub silence: Duration,
}

impl Default for HolderWatchConfig {
    fn default() -> Self {
        HolderWatchConfig { silence: Duration::from_millis(3_200) }
    }
}

/// One candidate's view of whether it is to act.
///
/// Two nodes may think so at once; the lease lets one of them. Without standing in, a first node that was killed was missed
/// only after the ten seconds in which peers go on naming it.
#[derive(Clone, Copy, Debug)]
pub struct HolderWatch {
    config: HolderWatchConfig,
    own: Address,
    /// The node that was ranked before this one, and since when.
    before: Option<(Address, Timestamp)>,
}

impl HolderWatch {
    /// The view of the node at `own`.
    pub fn new(config: HolderWatchConfig, own: Address) -> Self {
        HolderWatch { config, own, before: None }
    }

    /// Whether this node is to act at `now`, where `ranked` are the candidates, `holds` tells that it holds the lease, and
    /// `heard_at` when the one ranked before it was last heard of directly.
    ///
    /// A holder goes on while it is a candidate: a change of hands takes longer than most duties may wait, and a first node
    /// that has just come back knows nothing of what was counted.
    pub fn should_act(
        &mut self,
        ranked: &[Address],
        holds: bool,
        heard_at: impl Fn(Address) -> Option<Timestamp>,
        now: Timestamp,
    ) -> bool {
        let Some(place) = ranked.iter().position(|candidate| *candidate == self.own) else {
            self.before = None;
            return false;
        };
        let Some(before) = place.checked_sub(1).map(|place| ranked[place]) else {
            self.before = None;
            return true;
        };
        let since = match self.before {
            Some((known, since)) if known == before => since,
            _ => now,
        };
        self.before = Some((before, since));
        let last_sign = heard_at(before).map_or(since, |heard_at| heard_at.max(since));
        holds || now.since(last_sign) >= self.config.silence
    }
}
