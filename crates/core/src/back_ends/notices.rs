//! Statements that back ends make about themselves in their answers to a node, besides the outcome of the request.
//!
//! The directory also shows that a back end drains, but only once the store has recorded it; an answer comes from the
//! back end itself, even while the store is unavailable. A request for backoff is made only in answers, and to one node
//! at a time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use speedy::{Readable, Writable};

use super::directory_entry::{DirectoryEntry, LAST_RESORT, Usability};
use super::limits::{BackEndLimits, LimitChange};
use super::request_rate::RequestRate;
use crate::time::Timestamp;
use crate::world::{Address, BackEndId};

/// The longest backoff that one answer can request. A faulty answer may contain a value of any size, and a back end
/// that really needs a longer time gets one more request after this one.
pub const BACKOFF_MAXIMUM: Duration = Duration::from_secs(3_600);

/// The largest number of draining back ends that are remembered. It is twice the number that a system is designed for:
/// all of them may be replaced within hours, and a back end that drained long ago is no longer in any directory.
const DRAINING_MAXIMUM: usize = 8_192;

/// What an answer states about the back end that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackEndNotice {
    /// It drains: it finishes its running requests and must get no new ones.
    pub draining: bool,
    /// How long it asks this node to send no requests.
    pub backoff: Option<Duration>,
    /// The highest rate that it accepts from all nodes together.
    pub limit: Option<RequestRate>,
}

/// The changes that a notice made to the node's local view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeEffect {
    /// Whether it was not known before that the back end drains.
    pub draining: bool,
    /// How long the back end backs off from now on, if that ends later than was known before.
    pub backoff: Option<Duration>,
    /// The rate that the back end accepts from all nodes together, if it differs from the last announced one.
    pub limit: Option<LimitChange>,
}

/// Draining back ends that one node announces to others. Backoffs are not announced, since each is meant for a single
/// node.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct DrainNotice {
    /// The address on which the sender receives notices; it identifies the sender.
    pub sender: Address,
    /// The back ends.
    pub back_ends: Vec<DrainingBackEnd>,
}

impl DrainNotice {
    /// The largest number of back ends in one notice: with names of a hundred bytes it still fits a datagram.
    pub const BACK_ENDS_MAXIMUM: usize = 8;
}

/// A back end that announced its drain.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct DrainingBackEnd {
    /// The back end.
    pub back_end: BackEndId,
    /// The age of its announcement, in milliseconds.
    pub age_millis: u32,
}

/// Why no new requests may be sent to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ineligibility {
    /// It announced its drain so long ago that it may terminate at any time.
    Draining,
    /// Its requested backoff is not over.
    BackingOff,
    /// This node has used up its share of the back end's rate limit, or has none.
    AtLimit,
}

impl Ineligibility {
    /// The name in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Ineligibility::Draining => "leaves",
            Ineligibility::BackingOff => "rests",
            Ineligibility::AtLimit => "at_limit",
        }
    }
}

/// The statements of back ends about themselves, by incarnation.
#[derive(Clone, Debug, Default)]
pub struct BackEndNotices {
    /// When each incarnation announced its drain. This is never revoked: only a new incarnation makes the back end
    /// available again.
    draining_since: BTreeMap<BackEndId, Timestamp>,
    /// The keys of `draining_since`, oldest first.
    draining_order: VecDeque<BackEndId>,
    /// The end of each incarnation's requested backoff.
    backoff_until: BTreeMap<BackEndId, Timestamp>,
    /// The rate limits of overloaded incarnations, for all nodes together.
    pub limits: BackEndLimits,
}

impl BackEndNotices {
    /// Records the notice of an answer that arrived at `now`.
    pub fn record(&mut self, id: &BackEndId, notice: BackEndNotice, now: Timestamp) -> NoticeEffect {
        let draining = notice.draining && self.record_draining(id, now);
        let backoff = notice.backoff.and_then(|backoff| self.record_backoff(id, backoff.min(BACKOFF_MAXIMUM), now));
        let limit = notice.limit.and_then(|limit| self.limits.record_limit(id, limit, now));
        NoticeEffect { draining, backoff, limit }
    }

    /// Applies a peer's notice; returns the back ends that were not known to drain.
    pub fn receive(&mut self, notice: &DrainNotice, now: Timestamp) -> Vec<BackEndId> {
        let announced = notice.back_ends.iter().take(DrainNotice::BACK_ENDS_MAXIMUM);
        let unknown = announced.filter(|announced| {
            let age = Duration::from_millis(u64::from(announced.age_millis));
            self.record_draining(&announced.back_end, now - age)
        });
        unknown.map(|announced| announced.back_end.clone()).collect()
    }

    /// Those of these back ends that drain, as announced to peers.
    pub fn announcements<'i>(
        &self,
        ids: impl IntoIterator<Item = &'i BackEndId>,
        now: Timestamp,
    ) -> Vec<DrainingBackEnd> {
        let announced = |id: &BackEndId| {
            let age = now.since(*self.draining_since.get(id)?).as_millis();
            Some(DrainingBackEnd { back_end: id.clone(), age_millis: u32::try_from(age).unwrap_or(u32::MAX) })
        };
        ids.into_iter().filter_map(announced).collect()
    }

    /// The back ends that were most recently learned to drain, as many as fit one notice.
    pub fn newest(&self, now: Timestamp) -> Vec<DrainingBackEnd> {
        self.announcements(self.draining_order.iter().rev().take(DrainNotice::BACK_ENDS_MAXIMUM), now)
    }

    /// Records that a back end announced its drain at `announced_at`; returns whether that was not known.
    fn record_draining(&mut self, id: &BackEndId, announced_at: Timestamp) -> bool {
        if let Some(known) = self.draining_since.get_mut(id) {
            *known = (*known).min(announced_at);
            return false;
        }
        self.draining_since.insert(id.clone(), announced_at);
        self.draining_order.push_back(id.clone());
        if self.draining_order.len() > DRAINING_MAXIMUM
            && let Some(oldest) = self.draining_order.pop_front()
        {
            self.draining_since.remove(&oldest);
        }
        true
    }

    /// Records a requested backoff; the latest end counts, so that each backoff is observed in full.
    fn record_backoff(&mut self, id: &BackEndId, backoff: Duration, now: Timestamp) -> Option<Duration> {
        self.backoff_until.retain(|_, until| *until > now);
        let until = now + backoff;
        if self.backoff_until.get(id).is_some_and(|known| *known >= until) {
            return None;
        }
        self.backoff_until.insert(id.clone(), until);
        Some(backoff)
    }

    /// The remaining time of the back end's backoff for this node; `None` if it is not backing off.
    pub fn backoff_left(&self, id: &BackEndId, now: Timestamp) -> Option<Duration> {
        let until = self.backoff_until.get(id)?;
        (*until > now).then(|| until.since(now))
    }

    /// Whether a back end may be sent a request, by its directory entry and its own statements. The earlier drain time
    /// of both counts: a directory that doesn't show the drain yet, or lists the back end again, changes nothing, since
    /// the store can't record the announcement while it is unavailable.
    ///
    /// An overloaded back end gets requests up to this node's share of its limit and no more, even if no other back end
    /// is left: requests of all nodes beyond the limit would keep it overloaded.
    ///
    /// A back end that is backing off is no last resort either: a request that it rejects costs a retry that another
    /// one could serve. Without this rule, callers are refused for lack of retries while other engines have capacity.
    pub fn usability(&self, entry: &DirectoryEntry, now: Timestamp) -> Usability {
        let announced = match self.ineligibility(&entry.back_end.id, now) {
            Some(_) => Usability::Unusable,
            None if self.draining_since.contains_key(&entry.back_end.id) => Usability::LastResort,
            None => Usability::Usable,
        };
        entry.usability(now).max(announced)
    }

    /// Why no new requests may be sent to a back end, by its own statements; `None` if they may.
    pub fn ineligibility(&self, id: &BackEndId, now: Timestamp) -> Option<Ineligibility> {
        let is_drained =
            self.draining_since.get(id).is_some_and(|announced_at| now.since(*announced_at) >= LAST_RESORT);
        if is_drained {
            return Some(Ineligibility::Draining);
        }
        if self.backoff_left(id, now).is_some() {
            return Some(Ineligibility::BackingOff);
        }
        self.limits.wait_left(id, now).map(|_| Ineligibility::AtLimit)
    }

    /// Records that this node calls a back end now, for a caller or for itself, and returns why the back end is
    /// ineligible, if it is. A back end that announces a limit counts each call, whatever its purpose.
    pub fn record_call(&mut self, id: &BackEndId, now: Timestamp) -> Option<Ineligibility> {
        let ineligibility = self.ineligibility(id, now);
        self.limits.record_sent(id, now);
        ineligibility
    }

    /// Why a back end may not be called; if it may, the call is recorded. A withheld call doesn't count against the
    /// limit.
    pub fn record_call_if_eligible(&mut self, id: &BackEndId, now: Timestamp) -> Option<Ineligibility> {
        self.ineligibility(id, now).or_else(|| self.record_call(id, now))
    }

    /// How long until the first of these back ends accepts requests again, if all that are otherwise usable are backing
    /// off or at their limit; `None` if one accepts requests now, or none is usable.
    pub fn wait_until_available<'e>(
        &self,
        entries: impl Iterator<Item = &'e DirectoryEntry>,
        now: Timestamp,
    ) -> Option<Duration> {
        let is_available = |entry: &&DirectoryEntry| {
            entry.usability(now) == Usability::Usable && !self.draining_since.contains_key(&entry.back_end.id)
        };
        let waits: Option<Vec<Duration>> =
            entries.filter(is_available).map(|entry| self.wait_left(&entry.back_end.id, now)).collect();
        waits?.into_iter().min()
    }

    /// How long the back end still accepts no requests from this node, because of a backoff or its limit.
    fn wait_left(&self, id: &BackEndId, now: Timestamp) -> Option<Duration> {
        self.backoff_left(id, now).max(self.limits.wait_left(id, now))
    }
}
