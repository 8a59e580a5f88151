//! Which other nodes there are, as their digests show it.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{Digest, PeerAddresses};
use crate::routing::ConfigurationNumber;
use crate::store::Position;
use crate::time::Timestamp;
use crate::world::Address;

/// Limits of a [`PeerTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTableConfig {
    /// The peers that get a digest each time.
    pub fan_out: usize,
    /// The peers that a digest names.
    pub peers_named: usize,
    /// A peer that was not heard from for this time is no longer named to others, nor asked first.
    pub fresh: Duration,
    /// A peer that nobody has named for this time is no longer told of readings, nor a reader. With many nodes a digest of a peer itself
    /// comes seldom, its name much more often: at 330 nodes three to four times in this time.
    pub recent: Duration,
    /// A peer that was not heard from for this time is forgotten; longer than the window of the retry budget.
    pub forgotten: Duration,
    /// The nodes that a node assumes until it has had time to hear of them: its part of what is shared is then small.
    pub assumed_nodes: u32,
    /// The time in which all nodes are heard of, a few rounds of digests.
    pub settling: Duration,
}

impl Default for PeerTableConfig {
    fn default() -> Self {
        PeerTableConfig {
            fan_out: 3,
            peers_named: 8,
            fresh: Duration::from_secs(2),
            recent: Duration::from_secs(10),
            forgotten: Duration::from_secs(25),
            assumed_nodes: 16,
            settling: Duration::from_secs(3),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    /// When a digest came from it; `None` for a peer that others named.
    heard_at: Option<Timestamp>,
    named_at: Timestamp,
    notices: Address,
    configuration: ConfigurationNumber,
    directory: Position,
}

/// The other nodes that this one knows of. Seeds are never forgotten.
#[derive(Clone, Debug)]
pub struct PeerTable {
    config: PeerTableConfig,
    own_address: Address,
    seeds: Vec<Address>,
    started_at: Timestamp,
    peers: BTreeMap<Address, Peer>,
}

impl PeerTable {
    /// A table that knows the seeds only, of a node that starts at `now`.
    pub fn new(config: PeerTableConfig, own_address: Address, seeds: Vec<Address>, now: Timestamp) -> Self {
        PeerTable { config, own_address, seeds, started_at: now, peers: BTreeMap::new() }
    }

    /// Replaces the seeds, when the settings have changed.
    pub fn set_seeds(&mut self, seeds: Vec<Address>) {
        self.seeds = seeds;
    }

    /// Takes a digest in.
    pub fn receive(&mut self, digest: &Digest, now: Timestamp) {
        for peer in &digest.peers {
            self.note(*peer, now);
        }
        self.note(digest.sender, now);
        if let Some(peer) = self.peers.get_mut(&digest.sender.control) {
            peer.heard_at = Some(now);
            peer.configuration = digest.configuration;
            peer.directory = digest.directory;
        }
    }

    /// Forgets peers that nothing was heard of for long.
    pub fn tick(&mut self, now: Timestamp) {
        let forgotten = self.config.forgotten;
        self.peers.retain(|_, peer| now.since(peer.named_at) < forgotten);
    }

    /// The nodes that were there within the time after which they are forgotten, this one included; at least those that
    /// are assumed while the node has just started.
    pub fn nodes(&self, now: Timestamp) -> u32 {
        let known = u32::try_from(self.peers.len()).unwrap_or(u32::MAX).saturating_add(1);
        if now.since(self.started_at) < self.config.settling { known.max(self.config.assumed_nodes) } else { known }
    }

    /// The peers that were heard from lately.
    pub fn fresh(&self, now: Timestamp) -> impl Iterator<Item = Address> {
        let fresh = self.config.fresh;
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.heard_at.is_some_and(|heard_at| now.since(heard_at) < fresh))
            .map(|(address, _)| *address)
    }

    /// Where the peers that were heard of lately take notices of readings, in order.
    pub fn notice_addresses(&self, now: Timestamp) -> Vec<Address> {
        self.recently_named(now).map(|(_, peer)| peer.notices).collect()
    }

    /// The peers that were heard of lately, in order.
    pub fn recent(&self, now: Timestamp) -> Vec<Address> {
        self.recently_named(now).map(|(control, _)| *control).collect()
    }

    fn recently_named(&self, now: Timestamp) -> impl Iterator<Item = (&Address, &Peer)> {
        let recent = self.config.recent;
        self.peers.iter().filter(move |(_, peer)| now.since(peer.named_at) < recent)
    }

    /// A few peers at random for the next digest, and those to be named in it.
    pub fn next_digest(&self, now: Timestamp, random: &mut fastrand::Rng) -> (Vec<Address>, Vec<PeerAddresses>) {
        let mut receivers: Vec<Address> = self.peers.keys().copied().collect();
        for seed in &self.seeds {
            if *seed != self.own_address && !receivers.contains(seed) {
                receivers.push(*seed);
            }
        }
        random.shuffle(&mut receivers);
        receivers.truncate(self.config.fan_out);
        let name = |control: Address| PeerAddresses { control, notices: self.peers[&control].notices };
        let mut named: Vec<PeerAddresses> = self.fresh(now).map(name).collect();
        random.shuffle(&mut named);
        named.truncate(self.config.peers_named);
        (receivers, named)
    }

    /// A peer that has a newer configuration or a newer directory, whichever is asked for.
    pub fn ahead(
        &self,
        configuration: Option<ConfigurationNumber>,
        directory: Option<Position>,
        now: Timestamp,
        random: &mut fastrand::Rng,
    ) -> Option<Address> {
        let is_ahead = |peer: &Peer| {
            configuration.is_some_and(|version| peer.configuration > version)
                || directory.is_some_and(|position| peer.directory > position)
        };
        let ahead: Vec<Address> = self.fresh(now).filter(|address| is_ahead(&self.peers[address])).collect();
        (!ahead.is_empty()).then(|| ahead[random.usize(..ahead.len())])
    }

    fn note(&mut self, named: PeerAddresses, now: Timestamp) {
        if named.control == self.own_address {
            return;
        }
        let peer = self.peers.entry(named.control).or_insert(Peer {
            heard_at: None,
            named_at: now,
            notices: named.notices,
            configuration: ConfigurationNumber::default(),
            directory: Position::default(),
        });
        peer.named_at = now;
        peer.notices = named.notices;
    }
}
