//! The other nodes of the deployment, as learned from digests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::message::{Digest, PeerAddresses};
use crate::routing::ConfigurationNumber;
use crate::store::Position;
use crate::time::Timestamp;
use crate::world::Address;

/// Sizes and times of a [`PeerTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTableConfig {
    /// Number of peers that each digest is sent to.
    pub fan_out: usize,
    /// Maximum number of peers that a digest lists.
    pub listed_peers: usize,
    /// A peer that has sent no digest for this time is no longer listed in digests, nor pulled from first.
    pub fresh_for: Duration,
    /// A peer that was not seen for this time gets no more prefill notices and is no store reader. A peer is seen when it
    /// sends a digest or is listed in one. With many nodes its own digests arrive rarely, but others list it much more
    /// often: at 330 nodes, three to four times in this time.
    pub recent_for: Duration,
    /// A peer that was not seen for this time is removed; longer than the window of the retry budget.
    pub forget_after: Duration,
    /// Number of nodes assumed until a new node has had time to discover them. It keeps the new node's part of shared
    /// budgets small.
    pub assumed_nodes: u32,
    /// The time within which a new node discovers all others: a few rounds of digests.
    pub settling_time: Duration,
}

impl Default for PeerTableConfig {
    fn default() -> Self {
        PeerTableConfig {
            fan_out: 3,
            listed_peers: 8,
            fresh_for: Duration::from_secs(2),
            recent_for: Duration::from_secs(10),
            forget_after: Duration::from_secs(25),
            assumed_nodes: 16,
            settling_time: Duration::from_secs(3),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    /// When its latest digest arrived; `None` for a peer known only from other digests.
    digest_at: Option<Timestamp>,
    /// When a digest last came from it or listed it.
    seen_at: Timestamp,
    notices: Address,
    configuration: ConfigurationNumber,
    directory: Position,
}

/// The other nodes that this one knows. Seeds are never removed.
#[derive(Clone, Debug)]
pub struct PeerTable {
    config: PeerTableConfig,
    own_address: Address,
    seeds: Vec<Address>,
    started_at: Timestamp,
    peers: BTreeMap<Address, Peer>,
    /// The peers in other regions.
    distant: BTreeSet<Address>,
}

impl PeerTable {
    /// A table with only the seeds, for a node that starts at `now`.
    pub fn new(config: PeerTableConfig, own_address: Address, seeds: Vec<Address>, now: Timestamp) -> Self {
        PeerTable { config, own_address, seeds, started_at: now, peers: BTreeMap::new(), distant: BTreeSet::new() }
    }

    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&mut self, seeds: Vec<Address>) {
        self.seeds = seeds;
    }

    /// Sets the peers in other regions, which are pulled from only if no other peer is ahead.
    pub fn set_distant(&mut self, distant: BTreeSet<Address>) {
        self.distant = distant;
    }

    /// Records the sender of a digest, its versions and the peers that the digest lists.
    pub fn receive(&mut self, digest: &Digest, now: Timestamp) {
        for peer in &digest.peers {
            self.record(*peer, now);
        }
        self.record(digest.sender, now);
        if let Some(peer) = self.peers.get_mut(&digest.sender.control) {
            peer.digest_at = Some(now);
            peer.configuration = digest.configuration;
            peer.directory = digest.directory;
        }
    }

    /// Removes the peers that were not seen for [`PeerTableConfig::forget_after`].
    pub fn tick(&mut self, now: Timestamp) {
        let forget_after = self.config.forget_after;
        self.peers.retain(|_, peer| now.since(peer.seen_at) < forget_after);
    }

    /// The number of known nodes, this one included; at least [`PeerTableConfig::assumed_nodes`] until the node has had
    /// time to discover the others.
    pub fn nodes(&self, now: Timestamp) -> u32 {
        let known = u32::try_from(self.peers.len()).unwrap_or(u32::MAX).saturating_add(1);
        if now.since(self.started_at) < self.config.settling_time {
            known.max(self.config.assumed_nodes)
        } else {
            known
        }
    }

    /// The peers that have sent a digest recently.
    pub fn fresh(&self, now: Timestamp) -> impl Iterator<Item = Address> {
        let fresh_for = self.config.fresh_for;
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.digest_at.is_some_and(|digest_at| now.since(digest_at) < fresh_for))
            .map(|(address, _)| *address)
    }

    /// The addresses for prefill notices of the peers that were seen recently, in the order of [`PeerTable::recent`].
    pub fn notice_addresses(&self, now: Timestamp) -> Vec<Address> {
        self.recently_seen(now).map(|(_, peer)| peer.notices).collect()
    }

    /// The addresses of the known peers.
    pub fn known(&self) -> impl Iterator<Item = PeerAddresses> {
        self.peers.iter().map(|(control, peer)| PeerAddresses { control: *control, notices: peer.notices })
    }

    /// The addresses of the peer at `control` if it was seen recently.
    pub fn recent_peer(&self, control: Address, now: Timestamp) -> Option<PeerAddresses> {
        let peer = self.peers.get(&control).filter(|peer| now.since(peer.seen_at) < self.config.recent_for)?;
        Some(PeerAddresses { control, notices: peer.notices })
    }

    /// The peers that were seen recently, ordered by address.
    pub fn recent(&self, now: Timestamp) -> Vec<Address> {
        self.recently_seen(now).map(|(control, _)| *control).collect()
    }

    fn recently_seen(&self, now: Timestamp) -> impl Iterator<Item = (&Address, &Peer)> {
        let recent_for = self.config.recent_for;
        self.peers.iter().filter(move |(_, peer)| now.since(peer.seen_at) < recent_for)
    }

    /// The receivers of the next digest and the peers to list in it, both chosen at random.
    pub fn next_digest(&self, now: Timestamp, random: &mut fastrand::Rng) -> (Vec<Address>, Vec<PeerAddresses>) {
        let mut receivers: Vec<Address> = self.peers.keys().copied().collect();
        for seed in &self.seeds {
            if *seed != self.own_address && !receivers.contains(seed) {
                receivers.push(*seed);
            }
        }
        random.shuffle(&mut receivers);
        receivers.truncate(self.config.fan_out);
        let addresses_of = |control: Address| PeerAddresses { control, notices: self.peers[&control].notices };
        let mut listed: Vec<PeerAddresses> = self.fresh(now).map(addresses_of).collect();
        random.shuffle(&mut listed);
        listed.truncate(self.config.listed_peers);
        (receivers, listed)
    }

    /// A random peer whose configuration is newer than `configuration` or whose directory is newer than `directory`; one
    /// in the own region, if there is any.
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
        let mut ahead: Vec<Address> = self.fresh(now).filter(|address| is_ahead(&self.peers[address])).collect();
        if ahead.iter().any(|address| !self.distant.contains(address)) {
            ahead.retain(|address| !self.distant.contains(address));
        }
        (!ahead.is_empty()).then(|| ahead[random.usize(..ahead.len())])
    }

    fn record(&mut self, addresses: PeerAddresses, now: Timestamp) {
        if addresses.control == self.own_address {
            return;
        }
        let peer = self.peers.entry(addresses.control).or_insert(Peer {
            digest_at: None,
            seen_at: now,
            notices: addresses.notices,
            configuration: ConfigurationNumber::default(),
            directory: Position::default(),
        });
        peer.seen_at = now;
        peer.notices = addresses.notices;
    }
}
