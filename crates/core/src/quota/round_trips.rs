//! Whether peers answer this node.
//!
//! A node whose messages are lost in one direction still sees all peers, but they have replaced it as home. So a node
//! that grants asks one peer after the other, and stops granting when none of them answers. Once peers have sent
//! messages about limits, only these are asked: nodes of a previous build don't answer. While there are none, this node
//! can't tell whether its messages arrive nowhere or all peers are of a previous build, and grants an equal share.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use crate::time::Timestamp;
use crate::world::Address;

/// How often a peer is asked while this node grants.
const INTERVAL: Duration = Duration::from_millis(400);

/// Without an answer for this time, this node stops granting: about five messages to different peers.
const CONFIRMATION: Duration = Duration::from_secs(2);

/// Answers to older messages don't count.
const PENDING: usize = 3;

/// The round trips between this node and its peers.
#[derive(Debug)]
pub(super) struct RoundTrips {
    is_granting: bool,
    asked_at: Option<Timestamp>,
    confirmed_at: Timestamp,
    pending: VecDeque<(Address, u64)>,
    peers: Vec<Address>,
    /// The peers that have sent a message about limits.
    known: BTreeSet<Address>,
    /// The peer that was asked last.
    cursor: Option<Address>,
}

impl RoundTrips {
    pub(super) fn new(now: Timestamp) -> Self {
        RoundTrips {
            is_granting: false,
            asked_at: None,
            confirmed_at: now,
            pending: VecDeque::new(),
            peers: Vec::new(),
            known: BTreeSet::new(),
            cursor: None,
        }
    }

    /// Whether this node may grant. One that has not granted before may begin without confirmation.
    pub(super) fn may_grant(&self, now: Timestamp) -> bool {
        !self.is_granting || self.known.is_empty() || now.since(self.confirmed_at) < CONFIRMATION
    }

    /// To be called with whether this node grants or would grant if it were confirmed.
    pub(super) fn set_granting(&mut self, is_granting: bool, now: Timestamp) {
        if is_granting && !self.is_granting {
            self.confirmed_at = now;
        }
        self.is_granting = is_granting;
    }

    /// When the next peer is to be asked.
    pub(super) fn next_ask(&self, now: Timestamp) -> Option<Timestamp> {
        self.is_granting.then(|| self.asked_at.map_or(now, |at| at + INTERVAL))
    }

    /// Records that a peer has sent a message about limits.
    pub(super) fn add_known(&mut self, peer: Address) {
        self.known.insert(peer);
    }

    /// Sets the peers, in ascending order.
    pub(super) fn set_peers(&mut self, peers: &[Address]) {
        self.peers = peers.to_vec();
        self.known.retain(|peer| peers.binary_search(peer).is_ok());
    }

    /// The largest share of a limit that this node may grant.
    pub(super) fn largest_share(&self) -> f64 {
        if self.known.is_empty() { 1.0 / (self.peers.len() + 1) as f64 } else { 1.0 }
    }

    /// The peer to ask now with a message of number `sequence`, if one is due.
    pub(super) fn ask(&mut self, sequence: u64, now: Timestamp) -> Option<Address> {
        self.next_ask(now).filter(|at| *at <= now)?;
        self.asked_at = Some(now);
        let peer = if self.known.is_empty() { self.following(&self.peers) } else { self.following(&self.known) }?;
        self.cursor = Some(peer);
        self.pending.push_back((peer, sequence));
        if self.pending.len() > PENDING {
            self.pending.pop_front();
        }
        Some(peer)
    }

    /// The first of `nodes` after the one that was asked last.
    fn following<'a>(&self, nodes: impl IntoIterator<Item = &'a Address, IntoIter: Clone>) -> Option<Address> {
        let mut nodes = nodes.into_iter();
        let first = nodes.clone().next();
        let following = nodes.find(|node| self.cursor.is_none_or(|cursor| **node > cursor));
        following.or(first).copied()
    }

    /// Whether the answer is one to a recent message of this node.
    pub(super) fn receive_answer(&mut self, sender: Address, sequence: u64, now: Timestamp) -> bool {
        let Some(index) = self.pending.iter().position(|pending| *pending == (sender, sequence)) else { return false };
        self.pending.remove(index);
        self.known.insert(sender);
        self.confirmed_at = now;
        true
    }
}
