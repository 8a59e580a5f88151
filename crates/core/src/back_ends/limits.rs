//! Rate limits that overloaded back ends announce for all nodes together, and this node's share of them.
//!
//! Nodes don't coordinate. All nodes rank each other in the same way for a back end; the first few share its limit
//! evenly, the others send it nothing. The sum then holds without messages between them: in any span of time the
//! sharers together send what the limit allows for that span plus one request each, and there are at most
//! [`SHARERS_ABOVE_RATE`] sharers more than the limit allows requests per second.

use std::collections::BTreeMap;
use std::time::Duration;

use speedy::{Readable, Writable};

use super::request_rate::RequestRate;
use crate::membership::rank_by_address;
use crate::time::Timestamp;
use crate::world::{Address, BackEndId};

/// The number of nodes that share a limit, in addition to one per allowed request per second. It is more than one
/// because callers connect to all nodes, and a node without a share refuses its callers when all back ends of a service
/// are overloaded.
const SHARERS_ABOVE_RATE: usize = 3;

/// An answer without a limit lifts the limit only if its request was sent at least this long after the limit was
/// announced, because answers may arrive out of order.
pub const LIFT_DELAY: Duration = Duration::from_secs(1);

/// A limit that is not announced again within this time expires, and the back end gets requests again. Announcements
/// reach each of 330 nodes several times within this time.
pub const LIMIT_EXPIRY: Duration = Duration::from_secs(60);

/// The largest number of back ends whose limits are kept: twice the number that a system is designed for.
const LIMITS_MAXIMUM: usize = 8_192;

/// Limits that one node announces to others. A node that doesn't know this kind of message drops it.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct LimitNotice {
    /// The address on which the sender receives notices; it identifies the sender.
    pub sender: Address,
    /// The limits.
    pub limits: Vec<AnnouncedLimit>,
}

impl LimitNotice {
    /// The largest number of limits in one notice: with names of a hundred bytes it still fits a datagram.
    pub const LIMITS_MAXIMUM: usize = 8;
}

/// A limit that a back end announced.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct AnnouncedLimit {
    /// The back end.
    pub back_end: BackEndId,
    /// The rate that it accepts from all nodes together; `None` if it announces no limit any more.
    pub limit: Option<RequestRate>,
    /// The age of its announcement, in milliseconds.
    pub age_millis: u32,
}

/// A limit that was not known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// The limit.
    pub limit: RequestRate,
    /// Whether no limit of the back end was known before.
    pub is_new: bool,
}

/// The nodes that share the limits of back ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharingNodes {
    /// This node; `None` before it has an address.
    pub own: Option<Address>,
    /// The other known nodes.
    pub peers: Vec<Address>,
    /// The possible number of nodes; at least this many are assumed.
    pub count: u32,
}

impl SharingNodes {
    /// This node's share of `limit`; `None` if only other nodes share it.
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

/// The last announcement of a back end.
#[derive(Clone, Copy, Debug)]
struct LimitState {
    /// The announced rate; `None` if the limit was lifted, which is kept to reject older announcements of a limit.
    limit: Option<RequestRate>,
    announced_at: Timestamp,
    /// This node's share; `None` if only other nodes share the limit.
    share: Option<RequestRate>,
    /// When this node last sent it a request, or learned of the limit.
    sent_at: Timestamp,
}

/// The limits of overloaded back ends, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct BackEndLimits {
    nodes: SharingNodes,
    limits: BTreeMap<BackEndId, LimitState>,
}

impl BackEndLimits {
    /// Sets the nodes that share the limits.
    pub fn set_nodes(&mut self, nodes: SharingNodes) {
        if self.nodes == nodes {
            return;
        }
        self.nodes = nodes;
        for (back_end, state) in &mut self.limits {
            state.share = state.limit.and_then(|limit| self.nodes.share_of(limit, back_end));
        }
    }

    /// Records a limit that a back end announced in an answer that arrived at `now`; `None` if that limit was known
    /// already.
    pub fn record_limit(&mut self, id: &BackEndId, limit: RequestRate, now: Timestamp) -> Option<LimitChange> {
        let is_new = self.limits.get(id).is_none_or(|known| known.limit.is_none());
        self.update(id, Some(limit), now, now).then_some(LimitChange { limit, is_new })
    }

    /// Records that an answer to a request sent at `sent_at` announced no limit; returns whether this lifts a limit.
    pub fn record_no_limit(&mut self, id: &BackEndId, sent_at: Timestamp) -> bool {
        let shows_lift = |state: &LimitState| state.limit.is_some() && sent_at >= state.announced_at + LIFT_DELAY;
        self.limits.get(id).is_some_and(shows_lift) && self.update(id, None, sent_at, sent_at)
    }

    /// Applies a peer's notice; returns the limits that were not known. The latest announcement of a back end takes
    /// effect, however it arrived.
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

    /// Records what a back end announced at `announced_at`; returns whether the limit differs from the known one or was
    /// lifted.
    fn update(&mut self, id: &BackEndId, limit: Option<RequestRate>, announced_at: Timestamp, now: Timestamp) -> bool {
        if let Some(known) = self.limits.get_mut(id)
            && known.limit == limit
        {
            known.announced_at = announced_at;
            return false;
        }
        let before = self.limits.get(id).filter(|known| known.limit.is_some());
        // A node without a limit may have sent a request a moment ago.
        let sent_at = before.map_or(now, |known| known.sent_at);
        let share = limit.and_then(|limit| self.nodes.share_of(limit, id));
        if self.limits.len() < LIMITS_MAXIMUM || self.limits.contains_key(id) {
            self.limits.insert(id.clone(), LimitState { limit, announced_at, share, sent_at });
        }
        true
    }

    /// How long this node must still wait before its next request to the back end, because of the limit; `None` if it
    /// may send now.
    ///
    /// If only other nodes share the limit, it is the interval at which one of them may send a request.
    pub fn wait_left(&self, id: &BackEndId, now: Timestamp) -> Option<Duration> {
        let state = self.limits.get(id)?;
        let limit = state.limit?;
        let Some(share) = state.share else {
            return Some(limit.interval());
        };
        let next_at = state.sent_at + share.interval();
        (next_at > now).then(|| next_at.since(now))
    }

    /// Records that this node sends the back end a request.
    pub fn record_sent(&mut self, id: &BackEndId, now: Timestamp) {
        if let Some(state) = self.limits.get_mut(id) {
            state.sent_at = now;
        }
    }

    /// The limits of these back ends, as announced to peers.
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

    /// A random sample of the known limits, as many as fit one notice.
    pub fn sample(&self, random: &mut fastrand::Rng, now: Timestamp) -> Vec<AnnouncedLimit> {
        let chosen = random.choose_multiple(self.limits.keys(), LimitNotice::LIMITS_MAXIMUM);
        self.announcements(chosen, now)
    }

    /// Removes expired limits.
    pub fn tidy(&mut self, now: Timestamp) {
        self.limits.retain(|_, state| now.since(state.announced_at) < LIMIT_EXPIRY);
    }
}
