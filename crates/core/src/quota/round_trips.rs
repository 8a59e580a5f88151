//! Detects whether peers answer this node.
//!
//! A node whose messages are lost in one direction still sees all peers, but they have replaced it as home. So a node
//! that grants asks peers, and stops granting when none of them answers. Peers that have sent
//! messages about limits are asked first: nodes of a previous build don't answer. If none of these has answered, the others
//! are asked: the only one may have been the home that this node has replaced. While there are none, this node
//! can't distinguish whether its messages are lost or all peers are of a previous build, and grants an equal share.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::time::Timestamp;
use crate::world::Address;

/// How often a peer is asked while this node grants.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Without an answer for this time, this node stops granting: after five messages to different peers.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(2);

/// How many unanswered messages are kept. Answers to older ones don't count. A known peer with an unanswered message is not
/// asked again.
const PENDING_MAXIMUM: usize = 5;

/// The round trips between this node and its peers.
#[derive(Debug)]
pub(super) struct RoundTrips {
    is_granting: bool,
    asked_at: Option<Timestamp>,
    /// When a peer last answered, or when this node began to grant.
    confirmed_at: Timestamp,
    /// The unanswered messages: receiver and sequence number.
    pending: VecDeque<(Address, u64)>,
    peers: Vec<Address>,
    /// The peers that have sent a message about limits, and when they sent the latest one.
    known: BTreeMap<Address, Timestamp>,
    /// The peer that was asked last although it was not known to answer.
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
            known: BTreeMap::new(),
            cursor: None,
        }
    }

    /// Whether this node may grant. One that has not granted before may begin without confirmation.
    pub(super) fn may_grant(&self, now: Timestamp) -> bool {
        !self.is_granting || self.known.is_empty() || now.since(self.confirmed_at) < CONFIRMATION_TIMEOUT
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
        self.is_granting.then(|| self.asked_at.map_or(now, |at| at + ASK_INTERVAL))
    }

    /// Records that a peer has sent a message about limits.
    pub(super) fn add_known(&mut self, peer: Address, now: Timestamp) {
        self.known.insert(peer, now);
    }

    /// Sets the peers, in ascending order.
    pub(super) fn set_peers(&mut self, peers: &[Address]) {
        self.peers = peers.to_vec();
        self.known.retain(|peer, _| peers.binary_search(peer).is_ok());
    }

    /// The largest share of a limit that this node may grant.
    pub(super) fn largest_share(&self) -> f64 {
        if self.known.is_empty() { 1.0 / (self.peers.len() + 1) as f64 } else { 1.0 }
    }

    /// The peer to ask now with a message of number `sequence`, if one is due.
    pub(super) fn ask(&mut self, sequence: u64, now: Timestamp) -> Option<Address> {
        self.next_ask(now).filter(|at| *at <= now)?;
        self.asked_at = Some(now);
        let peer = self.next_known().or_else(|| self.next_peer())?;
        self.pending.push_back((peer, sequence));
        if self.pending.len() > PENDING_MAXIMUM {
            self.pending.pop_front();
        }
        Some(peer)
    }

    /// The known peer that sent a message most recently, of those without an unanswered message. When a zone fails, this
    /// asks the nodes of the others.
    fn next_known(&self) -> Option<Address> {
        let is_pending = |peer: &Address| self.pending.iter().any(|(pending, _)| pending == peer);
        let answering = self.known.iter().filter(|(peer, _)| !is_pending(peer));
        let latest = answering.max_by_key(|(_, sent_at)| **sent_at);
        latest.map(|(peer, _)| *peer)
    }

    /// The peer after the one that was asked last.
    fn next_peer(&mut self) -> Option<Address> {
        let following = self.peers.iter().find(|peer| self.cursor.is_none_or(|cursor| **peer > cursor));
        self.cursor = following.or(self.peers.first()).copied();
        self.cursor
    }

    /// Whether the answer is one to a recent message of this node.
    pub(super) fn receive_answer(&mut self, sender: Address, sequence: u64, now: Timestamp) -> bool {
        let Some(index) = self.pending.iter().position(|pending| *pending == (sender, sequence)) else { return false };
        self.pending.remove(index);
        self.known.insert(sender, now);
        self.confirmed_at = now;
        true
    }
}
