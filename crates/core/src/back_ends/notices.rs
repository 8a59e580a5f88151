//! What back ends say of themselves in their answers to a node, beside the outcome of the request.
//!
//! The directory tells that a back end leaves as well, but only once the store has taken that; an answer comes from the back
//! end itself, also while the store is away. That it wants rest is said in answers alone, and to one node at a time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use speedy::{Readable, Writable};

use super::directory_entry::{DirectoryEntry, LAST_RESORT, Usability};
use super::limits::{BackEndLimits, LimitChange};
use super::request_rate::RequestRate;
use crate::time::Timestamp;
use crate::world::{Address, BackEndId};

/// The longest rest that a back end is granted at one word. A value of any size may stand in an answer that went wrong, and
/// a back end that means so long a time is asked once more after it.
pub const BACKOFF_MAXIMUM: Duration = Duration::from_secs(3_600);

/// Back ends that said that they leave and are remembered. Twice the back ends that a system is designed for: all of them may
/// be replaced within hours, and one that left long ago is in no directory any more.
const DRAINING_MAXIMUM: usize = 8_192;

/// What an answer says of the back end that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackEndNotice {
    /// It leaves: it finishes what it has and must get nothing new.
    pub draining: bool,
    /// It wants nothing from this node for so long.
    pub backoff: Option<Duration>,
    /// It takes no more than this from all nodes together.
    pub limit: Option<RequestRate>,
}

/// What a notice has changed in what the node believes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeEffect {
    /// Whether it was not known before that the back end leaves.
    pub draining: bool,
    /// How long the back end rests from now on, where that is longer than was known before.
    pub backoff: Option<Duration>,
    /// What the back end takes from all nodes together, where that is not what it said before.
    pub limit: Option<LimitChange>,
}

/// Back ends that said that they leave, as one node tells others. That one wants rest is not told: it is said to one node.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct DrainNotice {
    /// Where the sender takes notices; names it.
    pub sender: Address,
    /// The back ends.
    pub back_ends: Vec<DrainingBackEnd>,
}

impl DrainNotice {
    /// The back ends in one notice: with names of a hundred bytes it still fits a datagram.
    pub const BACK_ENDS_MAXIMUM: usize = 8;
}

/// A back end that said that it leaves.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct DrainingBackEnd {
    /// The back end.
    pub back_end: BackEndId,
    /// How long ago it said so, in milliseconds.
    pub age_millis: u32,
}

/// Why nothing new may be sent to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ineligibility {
    /// It said so long ago that it leaves that it may end.
    Draining,
    /// It asked for rest that is not over.
    BackingOff,
    /// This node has sent it its part of what it takes, or has none.
    AtLimit,
}

impl Ineligibility {
    /// The word in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Ineligibility::Draining => "leaves",
            Ineligibility::BackingOff => "rests",
            Ineligibility::AtLimit => "at_limit",
        }
    }
}

/// What back ends have said of themselves, by their lives.
#[derive(Clone, Debug, Default)]
pub struct BackEndNotices {
    /// When it was first heard that a life leaves. It is never taken back: nothing but a new life makes a back end stay.
    draining: BTreeMap<BackEndId, Timestamp>,
    /// The keys of `leaving`, oldest first.
    draining_order: VecDeque<BackEndId>,
    /// Until when a life wants nothing.
    backing_off: BTreeMap<BackEndId, Timestamp>,
    /// What lives in need take from all nodes together.
    pub limits: BackEndLimits,
}

impl BackEndNotices {
    /// Takes in what an answer said that came at `now`.
    pub fn record(&mut self, id: &BackEndId, notice: BackEndNotice, now: Timestamp) -> NoticeEffect {
        let draining = notice.draining && self.record_draining(id, now);
        let backoff = notice.backoff.and_then(|backoff| self.record_backoff(id, backoff.min(BACKOFF_MAXIMUM), now));
        let limit = notice.limit.and_then(|limit| self.limits.record_limit(id, limit, now));
        NoticeEffect { draining, backoff, limit }
    }

    /// Takes in what a peer tells; returns the back ends of which it was not known.
    pub fn receive(&mut self, notice: &DrainNotice, now: Timestamp) -> Vec<BackEndId> {
        let announced = notice.back_ends.iter().take(DrainNotice::BACK_ENDS_MAXIMUM);
        let unknown = announced.filter(|announced| {
            let age = Duration::from_millis(u64::from(announced.age_millis));
            self.record_draining(&announced.back_end, now - age)
        });
        unknown.map(|announced| announced.back_end.clone()).collect()
    }

    /// What peers are told of these back ends, as far as they leave.
    pub fn announcements<'i>(
        &self,
        ids: impl IntoIterator<Item = &'i BackEndId>,
        now: Timestamp,
    ) -> Vec<DrainingBackEnd> {
        let announced = |id: &BackEndId| {
            let age = now.since(*self.draining.get(id)?).as_millis();
            Some(DrainingBackEnd { back_end: id.clone(), age_millis: u32::try_from(age).unwrap_or(u32::MAX) })
        };
        ids.into_iter().filter_map(announced).collect()
    }

    /// The back ends of which was heard last that they leave, as many as fit one notice.
    pub fn newest(&self, now: Timestamp) -> Vec<DrainingBackEnd> {
        self.announcements(self.draining_order.iter().rev().take(DrainNotice::BACK_ENDS_MAXIMUM), now)
    }

    /// Takes in that a back end said at `said_at` that it leaves; returns whether that was not known.
    fn record_draining(&mut self, id: &BackEndId, announced_at: Timestamp) -> bool {
        if let Some(known) = self.draining.get_mut(id) {
            *known = (*known).min(announced_at);
            return false;
        }
        self.draining.insert(id.clone(), announced_at);
        self.draining_order.push_back(id.clone());
        if self.draining_order.len() > DRAINING_MAXIMUM
            && let Some(oldest) = self.draining_order.pop_front()
        {
            self.draining.remove(&oldest);
        }
        true
    }

    /// The later end counts: each time of rest that was asked for holds to its end.
    fn record_backoff(&mut self, id: &BackEndId, backoff: Duration, now: Timestamp) -> Option<Duration> {
        self.backing_off.retain(|_, until| *until > now);
        let until = now + backoff;
        if self.backing_off.get(id).is_some_and(|known| *known >= until) {
            return None;
        }
        self.backing_off.insert(id.clone(), until);
        Some(backoff)
    }

    /// How long the back end still wants nothing from this node; `None` when it takes requests.
    pub fn backoff_left(&self, id: &BackEndId, now: Timestamp) -> Option<Duration> {
        let until = self.backing_off.get(id)?;
        (*until > now).then(|| until.since(now))
    }

    /// Whether a back end may be sent a request, by what the directory says of it and by its own word. The earlier of both counts: a
    /// directory that hasn't heard of its leaving, or lists it anew, changes nothing: while the
    /// store is away it can't take a back end's word.
    ///
    /// One in need is used up to this node's part of what it takes and no further, also where nothing else is left: what all nodes sent it beside its
    /// limit would keep it in need.
    ///
    /// One that rests is no last resort either: what it would turn away costs a repeat that another one could serve. Without
    /// this, callers are refused for want of a repeat while engines with room stand by.
    pub fn usability(&self, entry: &DirectoryEntry, now: Timestamp) -> Usability {
        let announced = match self.ineligibility(&entry.back_end.id, now) {
            Some(_) => Usability::Unusable,
            None if self.draining.contains_key(&entry.back_end.id) => Usability::LastResort,
            None => Usability::Usable,
        };
        entry.usability(now).max(announced)
    }

    /// Why nothing new may be sent to a back end, by its own word; `None` when something may.
    pub fn ineligibility(&self, id: &BackEndId, now: Timestamp) -> Option<Ineligibility> {
        let is_drained = self.draining.get(id).is_some_and(|announced_at| now.since(*announced_at) >= LAST_RESORT);
        if is_drained {
            return Some(Ineligibility::Draining);
        }
        if self.backoff_left(id, now).is_some() {
            return Some(Ineligibility::BackingOff);
        }
        self.limits.wait_left(id, now).map(|_| Ineligibility::AtLimit)
    }

    /// Notes that this node calls a back end now, for a caller or for itself, and tells what speaks against it. A back end that names a limit
    /// counts each call, whatever it is for.
    pub fn record_call(&mut self, id: &BackEndId, now: Timestamp) -> Option<Ineligibility> {
        let ineligibility = self.ineligibility(id, now);
        self.limits.record_sent(id, now);
        ineligibility
    }

    /// What speaks against a call to a back end; where nothing does, the call is noted. One that is held back takes no turn.
    pub fn record_call_if_eligible(&mut self, id: &BackEndId, now: Timestamp) -> Option<Ineligibility> {
        self.ineligibility(id, now).or_else(|| self.record_call(id, now))
    }

    /// When the first of these back ends takes requests again, where each of them that is usable otherwise rests or is at its limit; `None` where one
    /// takes them now, or none is usable.
    pub fn wait_until_available<'e>(
        &self,
        entries: impl Iterator<Item = &'e DirectoryEntry>,
        now: Timestamp,
    ) -> Option<Duration> {
        let is_available = |entry: &&DirectoryEntry| {
            entry.usability(now) == Usability::Usable && !self.draining.contains_key(&entry.back_end.id)
        };
        let waits: Option<Vec<Duration>> =
            entries.filter(is_available).map(|entry| self.wait_left(&entry.back_end.id, now)).collect();
        waits?.into_iter().min()
    }

    /// How long the back end still wants nothing, or no more, from this node.
    fn wait_left(&self, id: &BackEndId, now: Timestamp) -> Option<Duration> {
        self.backoff_left(id, now).max(self.limits.wait_left(id, now))
    }
}
