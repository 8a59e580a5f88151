//! What back ends in need take from all nodes together, and which part of it is this node's.
//!
//! Nothing is agreed on. All nodes rank each other alike for a back end; the first few share its limit evenly, the others send it nothing. The sum
//! then holds without a message between them: in any span of time the sharers together send the limit's part for that span and one request each, and
//! there are at most [`SHARERS_BESIDE_RATE`] sharers more than the limit allows requests a second.

use std::collections::BTreeMap;
use std::time::Duration;

use speedy::{Readable, Writable};

use super::request_rate::RequestRate;
use crate::membership::rank_by_address;
use crate::time::Timestamp;
use crate::world::{Address, BackEndId};

/// The nodes that share a limit, beside one for each request a second that it allows. A few more than one: callers come to all nodes, and a node
/// without a part refuses its callers where all back ends of a service are in need.
const SHARERS_ABOVE_RATE: usize = 3;

/// A request must be sent so long after a back end named a limit for its answer to show that there is none any more: answers overtake each other.
pub const LIFT_DELAY: Duration = Duration::from_secs(1);

/// A limit that nobody has heard named for this time is forgotten, and the back end is asked again. News of it reach each of 330 nodes several times in this
/// time.
pub const LIMIT_EXPIRY: Duration = Duration::from_secs(60);

/// Back ends whose limits are remembered: twice those that a system is designed for.
const LIMITS_MAXIMUM: usize = 8_192;

/// What one node tells others of limits. A node that doesn't know this kind of message drops it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LimitNotice {
    /// Where the sender takes notices; names it.
    pub sender: Address,
    /// The limits.
    pub limits: Vec<AnnouncedLimit>,
}

impl LimitNotice {
    /// The limits in one notice: with names of a hundred bytes it still fits a datagram.
    pub const LIMITS_MAXIMUM: usize = 8;
}

/// What a back end said that it takes.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AnnouncedLimit {
    /// The back end.
    pub back_end: BackEndId,
    /// What it takes from all nodes together; `None`: it named no limit any more.
    pub limit: Option<RequestRate>,
    /// How long ago it said so, in milliseconds.
    pub age_millis: u32,
}

/// A limit that was not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The limit.
    pub limit: RequestRate,
    /// Whether none was known before.
    pub is_new: bool,
}

/// The nodes that share what back ends take.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharingNodes {
    /// This node; `None` before it has an address.
    pub own: Option<Address>,
    /// The other nodes that are known.
    pub peers: Vec<Address>,
    /// The nodes that there may be, at least.
    pub count: u32,
}

impl SharingNodes {
    /// This node's part of `limit`; `None` where others share it.
    fn share_of(&self, limit: RequestRate, back_end: &BackEndId) -> Option<RequestRate> {
        let known = self.peers.len() + 1;
        let possible = usize::try_from(self.count).unwrap_or(usize::MAX).max(known);
        let sharers = (limit.as_per_second() as usize + SHARERS_ABOVE_RATE).min(possible);
        let is_sharer = known <= sharers || self.rank(back_end)? < sharers;
        is_sharer.then(|| limit.divided_by(sharers))
    }

    fn rank(&self, back_end: &BackEndId) -> Option<usize> {
        let own = self.own?;
        let nodes = self.peers.iter().copied().chain([own]);
        let key = back_end.to_string();
        rank_by_address(key.as_bytes(), nodes, |address| *address).iter().position(|address| *address == own)
    }
}

/// What a back end said last.
#[derive(Clone, Copy, Debug)]
struct LimitState {
    /// What it takes; `None`: it named no limit any more. That is kept against older news of one.
    limit: Option<RequestRate>,
    announced_at: Timestamp,
    /// This node's part; `None` where others share the limit.
    share: Option<RequestRate>,
    /// When this node last sent it a request, or first heard of the limit.
    sent_at: Timestamp,
}

/// What back ends in need take, by their lives.
#[derive(Clone, Debug, Default)]
pub struct BackEndLimits {
    nodes: SharingNodes,
    limits: BTreeMap<BackEndId, LimitState>,
}

impl BackEndLimits {
    /// Shares the limits among these nodes from now on.
    pub fn set_nodes(&mut self, nodes: SharingNodes) {
        if self.nodes == nodes {
            return;
        }
        self.nodes = nodes;
        for (back_end, state) in &mut self.limits {
            state.share = state.limit.and_then(|limit| self.nodes.share_of(limit, back_end));
        }
    }

    /// Takes in a limit that a back end named in an answer that came at `now`; `None` where it is the one that was known.
    pub fn record_limit(&mut self, id: &BackEndId, limit: RequestRate, now: Timestamp) -> Option<LimitChange> {
        let is_new = self.limits.get(id).is_none_or(|known| known.limit.is_none());
        self.update(id, Some(limit), now, now).then_some(LimitChange { limit, is_new })
    }

    /// Takes in that an answer to a request that was sent at `sent_at` named no limit; returns whether the back end had one until then.
    pub fn record_no_limit(&mut self, id: &BackEndId, sent_at: Timestamp) -> bool {
        let shows_lift = |state: &LimitState| state.limit.is_some() && sent_at >= state.announced_at + LIFT_DELAY;
        self.limits.get(id).is_some_and(shows_lift) && self.update(id, None, sent_at, sent_at)
    }

    /// Takes in what a peer tells; returns what was not known. Of several words of a back end the one that it said last counts, whichever way it came.
    pub fn receive(&mut self, notice: LimitNotice, now: Timestamp) -> Vec<AnnouncedLimit> {
        let mut announced = notice.limits;
        announced.truncate(LimitNotice::LIMITS_MAXIMUM);
        announced.retain(|announced| {
            let announced_at = now - Duration::from_millis(u64::from(announced.age_millis));
            let is_newest = self.limits.get(&announced.back_end).is_none_or(|known| known.announced_at < announced_at);
            is_newest
                && now.since(announced_at) < LIMIT_EXPIRY
                && self.update(&announced.back_end, announced.limit, announced_at, now)
        });
        announced
    }

    /// Notes what a back end said at `said_at`; returns whether it is another limit, or end of one, than was known.
    fn update(&mut self, id: &BackEndId, limit: Option<RequestRate>, announced_at: Timestamp, now: Timestamp) -> bool {
        if let Some(known) = self.limits.get_mut(id)
            && known.limit == limit
        {
            known.announced_at = announced_at;
            return false;
        }
        let before = self.limits.get(id).filter(|known| known.limit.is_some());
        // A node that was free to send may have done so a moment ago.
        let sent_at = before.map_or(now, |known| known.sent_at);
        let share = limit.and_then(|limit| self.nodes.share_of(limit, id));
        if self.limits.len() < LIMITS_MAXIMUM || self.limits.contains_key(id) {
            self.limits.insert(id.clone(), LimitState { limit, announced_at, share, sent_at });
        }
        true
    }

    /// How long this node still may send the back end nothing, where that is bound by its limit; `None` when it may.
    ///
    /// Where others share the limit, it is the time in which one of them may send a request.
    pub fn wait_left(&self, id: &BackEndId, now: Timestamp) -> Option<Duration> {
        let state = self.limits.get(id)?;
        let limit = state.limit?;
        let Some(share) = state.share else {
            return Some(limit.interval());
        };
        let next_at = state.sent_at + share.interval();
        (next_at > now).then(|| next_at.since(now))
    }

    /// Notes that this node sends the back end a request.
    pub fn record_sent(&mut self, id: &BackEndId, now: Timestamp) {
        if let Some(state) = self.limits.get_mut(id) {
            state.sent_at = now;
        }
    }

    /// What peers are told of these back ends.
    pub fn announcements<'i>(
        &self,
        ids: impl IntoIterator<Item = &'i BackEndId>,
        now: Timestamp,
    ) -> Vec<AnnouncedLimit> {
        let announced = |id: &BackEndId| {
            let state = self.limits.get(id)?;
            let age_millis = u32::try_from(now.since(state.announced_at).as_millis()).unwrap_or(u32::MAX);
            Some(AnnouncedLimit { back_end: id.clone(), limit: state.limit, age_millis })
        };
        ids.into_iter().filter_map(announced).collect()
    }

    /// Some of the back ends that have said something of limits lately, chosen anew each time, as many as fit one notice.
    pub fn sample(&self, random: &mut fastrand::Rng, now: Timestamp) -> Vec<AnnouncedLimit> {
        let chosen = random.choose_multiple(self.limits.keys(), LimitNotice::LIMITS_MAXIMUM);
        self.announcements(chosen, now)
    }

    /// Forgets limits that nobody has heard named for long.
    pub fn tidy(&mut self, now: Timestamp) {
        self.limits.retain(|_, state| now.since(state.announced_at) < LIMIT_EXPIRY);
    }
}
