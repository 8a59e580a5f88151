//! The takeover by which a holder that has lost its claims, or is new to a slot, obtains them before it votes.
//!
//! A holder that is new to a slot fences a majority of every earlier holder set, and needs their claims: any claim that
//! was won under such a set is known to one of them. If too few of them still have the claims, it waits instead until
//! every claim of the fenced sets has expired.
//!
//! A holder that was restarted within a version needs the claims of a majority that does not include itself. Waiting is
//! no substitute here: a restarted process doesn't know whether it had been fenced, and only another holder that still
//! votes can confirm that the version is current.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{TakeOverReply, TakeOverRequest};
use super::slot_map::{HolderSet, MapVersion, Slot, SlotHolder, SlotIndex};
use crate::membership::{Incarnation, Member};
use crate::request::IdempotencyKey;
use crate::time::Timestamp;
use crate::world::Address;

/// A takeover of one slot in one version.
#[derive(Debug)]
pub(super) struct TakeOver {
    version: MapVersion,
    sets: Vec<HolderSet>,
    gone: Vec<Address>,
    is_restart: bool,
    sources: BTreeMap<Address, Source>,
    fenced_since: Option<Timestamp>,
}

/// A previous holder, and the progress of taking over its claims.
#[derive(Debug, Default)]
struct Source {
    /// Its incarnation, once it has answered and is thereby fenced.
    incarnation: Option<Incarnation>,
    /// The last key that has been taken over.
    after: Option<IdempotencyKey>,
    /// The version since which it has had all claims, once all of them have been taken over.
    complete_since: Option<MapVersion>,
    next_send: Timestamp,
}

impl TakeOver {
    /// A takeover of `slot` by `me`, which is one of its current holders.
    pub fn new(slot: &Slot, me: Member) -> Self {
        let mapped = slot.current.holders.iter().find(|holder| holder.member.address == me.address);
        let is_restart = mapped.is_none_or(|holder| holder.member.incarnation != me.incarnation);
        let sets = if is_restart { vec![slot.current.clone()] } else { slot.history.clone() };
        let addresses = sets.iter().flat_map(HolderSet::addresses).filter(|address| *address != me.address);
        let sources =
            addresses.filter(|address| !slot.gone.contains(address)).map(|address| (address, Source::default()));
        TakeOver {
            version: slot.current.version,
            sources: sources.collect(),
            sets,
            gone: slot.gone.clone(),
            is_restart,
            fenced_since: None,
        }
    }

    /// The requests to send now, one to each holder that has not handed over all of its claims.
    pub fn requests(
        &mut self,
        slot: SlotIndex,
        new_holder: Member,
        now: Timestamp,
        resend_interval: Duration,
    ) -> Vec<(Address, TakeOverRequest)> {
        let version = self.version;
        let is_due = |source: &Source| source.complete_since.is_none() && source.next_send <= now;
        let due = self.sources.iter_mut().filter(|(_, source)| is_due(source));
        due.map(|(address, source)| {
            source.next_send = now + resend_interval;
            (*address, TakeOverRequest { slot, version, new_holder, after: source.after.clone() })
        })
        .collect()
    }

    /// When [`TakeOver::requests`] is due next.
    pub fn next_send(&self) -> Option<Timestamp> {
        let unfinished = self.sources.values().filter(|source| source.complete_since.is_none());
        unfinished.map(|source| source.next_send).min()
    }

    /// Whether `reply` is the awaited page. The next page is requested immediately.
    pub fn accept(&mut self, from: Address, reply: &TakeOverReply, me: Address, now: Timestamp) -> bool {
        let Some(source) = self.sources.get_mut(&from) else { return false };
        if reply.version != self.version || source.complete_since.is_some() {
            return false;
        }
        if source.incarnation.is_some_and(|known| known != reply.incarnation) {
            *source = Source { incarnation: Some(reply.incarnation), ..Source::default() };
            return false;
        }
        if reply.after != source.after {
            return false;
        }
        source.incarnation = Some(reply.incarnation);
        source.after = reply.records.last().map(|record| record.key.clone()).or(source.after.take());
        if reply.is_last {
            source.complete_since = reply.complete_since;
        } else {
            source.next_send = now;
        }
        self.update_fenced_since(me, now);
        true
    }

    /// Sets the machines that no longer exist.
    pub fn set_gone(&mut self, gone: &[Address]) {
        self.gone = gone.to_vec();
        self.sources.retain(|address, _| !gone.contains(address));
    }

    /// Restarts the takeover from a holder whose claims could not all be kept.
    pub fn restart_source(&mut self, from: Address) {
        self.sources.insert(from, Source::default());
    }

    /// Whether the holder may vote now.
    pub fn is_ready(&mut self, me: Address, now: Timestamp, quarantine: Duration) -> bool {
        self.update_fenced_since(me, now);
        let has_claims = self.sets.iter().all(|set| set.has_majority(|holder| self.is_complete(holder)));
        let is_quarantine_over = self.fenced_since.is_some_and(|since| now.since(since) >= quarantine);
        has_claims || (is_quarantine_over && !self.is_restart)
    }

    fn update_fenced_since(&mut self, me: Address, now: Timestamp) {
        let is_fenced = |holder: &SlotHolder| {
            let address = holder.member.address;
            let source = self.sources.get(&address);
            address == me || self.gone.contains(&address) || source.is_some_and(|source| source.incarnation.is_some())
        };
        if self.fenced_since.is_none() && self.sets.iter().all(|set| set.has_majority(is_fenced)) {
            self.fenced_since = Some(now);
        }
    }

    /// A holder that was removed from the slot and added again has different claims, so `since` must match.
    fn is_complete(&self, holder: &SlotHolder) -> bool {
        let source = self.sources.get(&holder.member.address);
        source.is_some_and(|source| source.complete_since == Some(holder.since))
    }
}
