//! Estimates which share of the peers receives this node's messages.
//!
//! In a one-way partition a node still sees all peers, but those that don't receive its messages have replaced it as home.
//! So a home asks its peers in turn, and grants for no more than the share of them that answers.

use std::collections::VecDeque;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::time::Timestamp;
use crate::world::Address;

/// How often a peer is asked while all of them answer.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

/// How often a peer is asked while some don't answer, so that the extent of a partition is soon known.
const DOUBTFUL_ASK_INTERVAL: Duration = Duration::from_millis(50);

/// After this time without an answer a peer counts as not reached.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// So many peers without an answer are a sign of a partition; a single one has probably stopped.
const DOUBTFUL_UNANSWERED: usize = 2;

/// The number of peers whose latest outcomes are kept.
const OUTCOMES_MAXIMUM: usize = 100;

/// The number of outcomes that an estimate needs, if there are so many peers.
const OUTCOMES_MINIMUM: usize = 8;

/// From this share of answers on all peers count as reached at first: nodes that have ended are still seen for a while.
const SHARE_OF_WHOLE_FLEET: f64 = 0.75;

/// From this share on all peers count as reached, by those that have not answered for [`LASTING_SILENCE`].
const LASTING_SHARE_OF_WHOLE_FLEET: f64 = 0.9;

/// A peer that is seen for so long without an answer has not ended.
const LASTING_SILENCE: Duration = Duration::from_secs(15);

/// How many standard deviations an estimate from some of the peers is lowered by.
const DEVIATIONS: f64 = 2.0;

/// Which of the peers that were asked have answered.
#[derive(Debug, Default)]
pub(super) struct ReachSamples {
    /// The peers, the one first that was asked longest ago.
    peers: VecDeque<Address>,
    /// When a peer was last asked, or would have been if there had been one without an open question.
    asked_at: Option<Timestamp>,
    /// Questions without an answer that may still come in time, the oldest one first.
    pending: VecDeque<Question>,
    /// The latest outcome for each of the peers that were asked last, the oldest one first.
    outcomes: VecDeque<Outcome>,
}

#[derive(Clone, Copy, Debug)]
struct Question {
    peer: Address,
    sequence: u64,
    asked_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Outcome {
    peer: Address,
    sequence: u64,
    /// When the first of the peer's questions without an answer was sent; `None` if the latest one was answered.
    silent_since: Option<Timestamp>,
}

impl ReachSamples {
    /// Sets the peers, in ascending order. New ones are asked first, in an order that doesn't follow zones.
    pub(super) fn set_peers(&mut self, peers: &[Address]) {
        let is_peer = |peer: &Address| peers.binary_search(peer).is_ok();
        self.peers.retain(is_peer);
        self.pending.retain(|question| is_peer(&question.peer));
        self.outcomes.retain(|outcome| is_peer(&outcome.peer));
        let mut added: Vec<Address> = peers.iter().filter(|peer| !self.peers.contains(peer)).copied().collect();
        added.sort_by_key(|peer| xxh3_64(peer.to_string().as_bytes()));
        added.into_iter().for_each(|peer| self.peers.push_front(peer));
    }

    /// Forgets the outcomes. To be called while this node grants nothing, as nothing is asked then.
    pub(super) fn clear(&mut self) {
        self.asked_at = None;
        self.pending.clear();
        self.outcomes.clear();
    }

    /// When the next peer is to be asked; `None` without peers.
    pub(super) fn next_ask(&self, now: Timestamp) -> Option<Timestamp> {
        let unanswered = self.outcomes.iter().filter(|outcome| outcome.silent_since.is_some()).count();
        let interval = if unanswered < DOUBTFUL_UNANSWERED { ASK_INTERVAL } else { DOUBTFUL_ASK_INTERVAL };
        (!self.peers.is_empty()).then(|| self.asked_at.map_or(now, |at| at + interval))
    }

    /// The peer to ask now with a message of number `sequence`, if one is due.
    pub(super) fn ask(&mut self, sequence: u64, now: Timestamp) -> Option<Address> {
        self.expire(now);
        self.next_ask(now).filter(|at| *at <= now)?;
        self.asked_at = Some(now);
        let is_pending = |peer: &Address| self.pending.iter().any(|question| question.peer == *peer);
        let index = self.peers.iter().position(|peer| !is_pending(peer))?;
        let peer = self.peers.remove(index)?;
        self.peers.push_back(peer);
        self.pending.push_back(Question { peer, sequence, asked_at: now });
        Some(peer)
    }

    /// Whether the answer is one to a question of this node, also if it is late.
    pub(super) fn receive_answer(&mut self, sender: Address, sequence: u64) -> bool {
        let is_asked = |question: &Question| question.peer == sender && question.sequence == sequence;
        if let Some(index) = self.pending.iter().position(is_asked) {
            self.pending.remove(index);
            self.add_outcome(Outcome { peer: sender, sequence, silent_since: None });
            return true;
        }
        let is_late = |outcome: &&mut Outcome| outcome.peer == sender && outcome.sequence == sequence;
        let Some(late) = self.outcomes.iter_mut().find(is_late) else { return false };
        late.silent_since.take().is_some()
    }

    /// The largest share of a limit that this node may grant, by the peers that have answered and the node itself.
    pub(super) fn largest_share(&mut self, now: Timestamp) -> f64 {
        self.expire(now);
        let peers = self.peers.len() as f64;
        (self.reached_share(now) * peers + 1.0) / (peers + 1.0)
    }

    /// The share of the peers that is certainly reached.
    fn reached_share(&self, now: Timestamp) -> f64 {
        let (peers, asked) = (self.peers.len(), self.outcomes.len());
        if asked == 0 || asked < peers.min(OUTCOMES_MINIMUM) {
            return 1.0;
        }
        let share = self.share_without_silent(|_| true);
        let share_without_lasting = self.share_without_silent(|since| now.since(since) >= LASTING_SILENCE);
        if share >= SHARE_OF_WHOLE_FLEET && share_without_lasting >= LASTING_SHARE_OF_WHOLE_FLEET {
            return 1.0;
        }
        (share - DEVIATIONS * standard_deviation(share, asked, peers)).max(0.0)
    }

    /// The share of the outcomes without the silent peers that `counts` by when their silence began.
    fn share_without_silent(&self, counts: impl Fn(Timestamp) -> bool) -> f64 {
        let silent = self.outcomes.iter().filter(|outcome| outcome.silent_since.is_some_and(&counts)).count();
        1.0 - silent as f64 / self.outcomes.len() as f64
    }

    /// Counts questions without an answer in time as not answered.
    fn expire(&mut self, now: Timestamp) {
        while let Some(question) = self.pending.pop_front_if(|question| now.since(question.asked_at) >= ANSWER_TIMEOUT)
        {
            let Question { peer, sequence, asked_at } = question;
            let earlier = self.outcomes.iter().find(|outcome| outcome.peer == peer);
            let silent_since = earlier.and_then(|outcome| outcome.silent_since).or(Some(asked_at));
            self.add_outcome(Outcome { peer, sequence, silent_since });
        }
    }

    fn add_outcome(&mut self, outcome: Outcome) {
        self.outcomes.retain(|earlier| earlier.peer != outcome.peer);
        self.outcomes.push_back(outcome);
        if self.outcomes.len() > OUTCOMES_MAXIMUM {
            self.outcomes.pop_front();
        }
    }
}

/// The standard deviation of a share that was found in `asked` of `peers`; 0 if all were asked.
fn standard_deviation(share: f64, asked: usize, peers: usize) -> f64 {
    if peers <= 1 || asked >= peers {
        return 0.0;
    }
    let not_asked = (peers - asked) as f64 / (peers - 1) as f64;
    (share * (1.0 - share) / asked as f64 * not_asked).sqrt()
}
