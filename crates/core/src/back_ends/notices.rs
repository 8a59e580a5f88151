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
pub const REST_MAXIMUM: Duration = Duration::from_secs(3_600);

/// Back ends that said that they leave and are remembered. Twice the back ends that a system is designed for: all of them may
/// be replaced within hours, and one that left long ago is in no directory any more.
const LEAVING_MAXIMUM: usize = 8_192;

/// What an answer says of the back end that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackEndNotice {
    /// It leaves: it finishes what it has and must get nothing new.
    pub leaves: bool,
    /// It wants nothing from this node for so long.
    pub rest: Option<Duration>,
    /// It takes no more than this from all nodes together.
    pub limit: Option<RequestRate>,
}

/// What a notice has changed in what the node believes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NoticeEffect {
    /// Whether it was not known before that the back end leaves.
    pub leaves: bool,
    /// How long the back end rests from now on, where that is longer than was known before.
    pub rest: Option<Duration>,
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
    Leaves,
    /// It asked for rest that is not over.
    Rests,
    /// This node has sent it its part of what it takes, or has none.
    AtLimit,
}

impl Ineligibility {
    /// The word in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Ineligibility::Leaves => "leaves",
            Ineligibility::Rests => "rests",
            Ineligibility::AtLimit => "at_limit",
        }
    }
}

/// What back ends have said of themselves, by their lives.
#[derive(Clone, Debug, Default)]
pub struct BackEndNotices {
    /// When it was first heard that a life leaves. It is never taken back: nothing but a new life makes a back end stay.
    leaving: BTreeMap<BackEndId, Timestamp>,
    /// The keys of `leaving`, oldest first.
    leaving_order: VecDeque<BackEndId>,
    /// Until when a life wants nothing.
    resting: BTreeMap<BackEndId, Timestamp>,
    /// What lives in need take from all nodes together.
    pub limits: BackEndLimits,
}

impl BackEndNotices {
    /// Takes in what an answer said that came at `now`.
    pub fn note(&mut self, id: &BackEndId, notice: BackEndNotice, now: Timestamp) -> NoticeEffect {
        let leaves = notice.leaves && self.note_leaving(id, now);
        let rest = notice.rest.and_then(|rest| self.note_rest(id, rest.min(REST_MAXIMUM), now));
        let limit = notice.limit.and_then(|limit| self.limits.name(id, limit, now));
        NoticeEffect { leaves, rest, limit }
    }

    /// Takes in what a peer tells; returns the back ends of which it was not known.
    pub fn receive(&mut self, notice: &DrainNotice, now: Timestamp) -> Vec<BackEndId> {
        let told = notice.back_ends.iter().take(DrainNotice::BACK_ENDS_MAXIMUM);
        let news = told.filter(|told| {
            let age = Duration::from_millis(u64::from(told.age_millis));
            self.note_leaving(&told.back_end, now - age)
        });
        news.map(|told| told.back_end.clone()).collect()
    }

    /// What peers are told of these back ends, as far as they leave.
    pub fn told<'i>(&self, ids: impl IntoIterator<Item = &'i BackEndId>, now: Timestamp) -> Vec<DrainingBackEnd> {
        let told = |id: &BackEndId| {
            let age = now.since(*self.leaving.get(id)?).as_millis();
            Some(DrainingBackEnd { back_end: id.clone(), age_millis: u32::try_from(age).unwrap_or(u32::MAX) })
        };
        ids.into_iter().filter_map(told).collect()
    }

    /// The back ends of which was heard last that they leave, as many as fit one notice.
    pub fn newest(&self, now: Timestamp) -> Vec<DrainingBackEnd> {
        self.told(self.leaving_order.iter().rev().take(DrainNotice::BACK_ENDS_MAXIMUM), now)
    }

    /// Takes in that a back end said at `said_at` that it leaves; returns whether that was not known.
    fn note_leaving(&mut self, id: &BackEndId, said_at: Timestamp) -> bool {
        if let Some(known) = self.leaving.get_mut(id) {
            *known = (*known).min(said_at);
            return false;
        }
        self.leaving.insert(id.clone(), said_at);
        self.leaving_order.push_back(id.clone());
        if self.leaving_order.len() > LEAVING_MAXIMUM
            && let Some(oldest) = self.leaving_order.pop_front()
        {
            self.leaving.remove(&oldest);
        }
        true
    }

    /// The later end counts: each time of rest that was asked for holds to its end.
    fn note_rest(&mut self, id: &BackEndId, rest: Duration, now: Timestamp) -> Option<Duration> {
        self.resting.retain(|_, until| *until > now);
        let until = now + rest;
        if self.resting.get(id).is_some_and(|known| *known >= until) {
            return None;
        }
        self.resting.insert(id.clone(), until);
        Some(rest)
    }

    /// How long the back end still wants nothing from this node; `None` when it takes requests.
    pub fn rest_left(&self, id: &BackEndId, now: Timestamp) -> Option<Duration> {
        let until = self.resting.get(id)?;
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
        let told = match self.unwelcome(&entry.back_end.id, now) {
            Some(_) => Usability::Unusable,
            None if self.leaving.contains_key(&entry.back_end.id) => Usability::LastResort,
            None => Usability::Usable,
        };
        entry.usability(now).max(told)
    }

    /// Why nothing new may be sent to a back end, by its own word; `None` when something may.
    pub fn unwelcome(&self, id: &BackEndId, now: Timestamp) -> Option<Ineligibility> {
        let has_left = self.leaving.get(id).is_some_and(|said_at| now.since(*said_at) >= LAST_RESORT);
        if has_left {
            return Some(Ineligibility::Leaves);
        }
        if self.rest_left(id, now).is_some() {
            return Some(Ineligibility::Rests);
        }
        self.limits.wait_left(id, now).map(|_| Ineligibility::AtLimit)
    }

    /// Notes that this node calls a back end now, for a caller or for itself, and tells what speaks against it. A back end that names a limit
    /// counts each call, whatever it is for.
    pub fn note_call(&mut self, id: &BackEndId, now: Timestamp) -> Option<Ineligibility> {
        let unwelcome = self.unwelcome(id, now);
        self.limits.note_sent(id, now);
        unwelcome
    }

    /// What speaks against a call to a back end; where nothing does, the call is noted. One that is held back takes no turn.
    pub fn note_call_if_welcome(&mut self, id: &BackEndId, now: Timestamp) -> Option<Ineligibility> {
        self.unwelcome(id, now).or_else(|| self.note_call(id, now))
    }

    /// When the first of these back ends takes requests again, where each of them that is usable otherwise rests or is at its limit; `None` where one
    /// takes them now, or none is usable.
    pub fn all_rest_for<'e>(
        &self,
        entries: impl Iterator<Item = &'e DirectoryEntry>,
        now: Timestamp,
    ) -> Option<Duration> {
        let stays = |entry: &&DirectoryEntry| {
            entry.usability(now) == Usability::Usable && !self.leaving.contains_key(&entry.back_end.id)
        };
        let waits: Option<Vec<Duration>> =
            entries.filter(stays).map(|entry| self.wait_left(&entry.back_end.id, now)).collect();
        waits?.into_iter().min()
    }

    /// How long the back end still wants nothing, or no more, from this node.
    fn wait_left(&self, id: &BackEndId, now: Timestamp) -> Option<Duration> {
        self.rest_left(id, now).max(self.limits.wait_left(id, now))
    }
}
